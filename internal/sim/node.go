package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/staleness"
	"otterstep/policy"
)

// Network models the links between nodes and servers: a latency for each direction, and
// message loss. A lost message is never delivered, as TCP would retransmit it too late to
// matter.
type Network struct {
	Latency Distribution
	Loss    float64
}

// minUptimeToSave is how long a node must have run before it persists anything, as in internal/node.
const minUptimeToSave = 5 * time.Second

// node is one balancer in virtual time.
type node struct {
	world          *World
	index          int
	balancer       balancer
	rng            *rand.Rand
	wakeAt         time.Duration                     // when the next timer event is scheduled; 0: none
	notReadySince  map[policy.ServerID]time.Duration // when it was told that a server is not ready
	cutOff         map[*Server]bool                  // servers it cannot reach
	open           map[*try]bool
	down           bool
	watching       bool // with Options.Pull: it receives list changes
	restoringList  bool // the list being delivered is restored, not confirmed by discovery
	discoveryHeard bool // discovery has answered since the start
	started        time.Duration
	saved          *policy.Memory // persisted at savedAt
	savedAt        time.Duration
	incarnation    int
}

func newNode(w *World, index int) (*node, error) {
	n := &node{world: w, index: index, rng: Stream(w.seed, fmt.Sprint("node ", index)), cutOff: map[*Server]bool{}}
	return n, n.start()
}

// start gives the node a new balancer, as a process without any state.
func (n *node) start() error {
	b, err := newBalancer(n.world, n.world.opt.Policy, n.index%n.world.zones, n.rng)
	n.balancer, n.wakeAt, n.down, n.watching, n.discoveryHeard, n.started = b, 0, false, false, false, n.world.engine.Now()
	n.notReadySince, n.open = map[policy.ServerID]time.Duration{}, map[*try]bool{}
	n.incarnation++
	return err
}

// afterEvent performs the balancer's actions after an event and schedules its next timer.
func (n *node) afterEvent() {
	e := n.world.engine
	for _, a := range n.balancer.actions() {
		switch {
		case a.watch:
			n.world.discovery.handleCall(n)
		case a.attempt != nil:
			n.attempt(a.attempt)
		default:
			delete(n.open, a.try)
			n.answer(a.try, a.answer)
		}
	}
	due, ok := n.balancer.due()
	if !ok || n.wakeAt != 0 && n.wakeAt <= due {
		return
	}
	n.wakeAt = max(due, e.Now())
	incarnation, at := n.incarnation, n.wakeAt
	e.At(at, func() {
		if n.incarnation != incarnation || n.down || n.wakeAt != at {
			return
		}
		n.wakeAt = 0
		for n.balancer.tick(e.Now()) {
		}
		n.afterEvent()
	})
}

// answer delivers an answer to its client.
func (n *node) answer(t *try, a core.Answer) {
	p := n.world.opt.Defects
	if p.DropEvery > 0 && t.record.id%uint64(p.DropEvery) == 0 {
		return
	}
	n.world.engine.After(n.world.opt.ClientNet.Draw(n.rng), func() {
		t.answered(a)
		if p.DuplicateAnswers {
			t.answered(a)
		}
	})
}

// members delivers a server list, or changes to it, to the node.
func (n *node) members(kind policy.ListKind, servers []*Server) {
	if n.down {
		return
	}
	entries, addrs := make([]policy.Entry, len(servers)), make([]string, len(servers))
	for i, s := range servers {
		e := s.listed
		e.Unconfirmed = n.restoringList && !n.world.opt.Defects.TrustSavedState
		entries[i], addrs[i] = e, s.opt.Addr
		if e.State == policy.Ready {
			delete(n.notReadySince, e.Server)
		} else if n.notReadySince[e.Server] == 0 {
			n.notReadySince[e.Server] = n.world.engine.Now()
		}
	}
	if n.world.opt.Defects.IgnoreChanges && kind == policy.ListDelta {
		return
	}
	n.discoveryHeard = n.discoveryHeard || kind == policy.ListFull || kind == policy.ListDelta
	n.balancer.members(n.world.engine.Now(), kind, entries, addrs)
	n.afterEvent()
}

// submit receives a client's try.
func (n *node) submit(t *try) {
	if n.down {
		t.nodeCrashed()
		return
	}
	n.open[t] = true
	n.balancer.submit(n.world.engine.Now(), t)
	n.afterEvent()
}

// clientGone reports to the node that a try's client has disconnected.
func (n *node) clientGone(t *try) {
	if n.open[t] {
		delete(n.open, t)
		n.balancer.clientGone(n.world.engine.Now(), t)
		n.afterEvent()
	}
}

// restore restores persisted state if it is usable, as internal/node does.
func (n *node) restore() {
	k, now := n.world.opt.SavedState, n.world.engine.Now()
	if k == nil || n.saved == nil || n.rng.Float64() < k.UnusableShare {
		n.members(policy.ListCached, nil)
		return
	}
	age := staleness.Age{Elapsed: now - n.savedAt + k.ExtraAge, Known: true}
	if staleness.Classify(staleness.ListEntry{}, age, false, nil, nil) != staleness.Unconfirmed {
		n.members(policy.ListCached, nil)
		return
	}
	n.restoringList = true
	n.members(policy.ListCached, n.world.servers)
	n.restoringList = false
	m, ok := n.balancer.(*machineBalancer)
	if !ok {
		return
	}
	ages := map[policy.ServerID]time.Duration{}
	for _, s := range n.world.servers {
		if ages[s.listed.Server] = 0; s.listed.Started > 0 {
			ages[s.listed.Server] = max(1, now-s.listed.Started)
		}
	}
	if err := m.machine.Restore(now, staleness.Decay(*n.saved, m.machine.Learned(now), age, ages)); err != nil {
		panic(err) // cannot happen: the memory came from a Machine
	}
	n.afterEvent()
}

// crash ends the node's process: its open requests are lost, and their clients notice.
func (n *node) crash() {
	settled := n.discoveryHeard && n.world.engine.Now()-n.started >= minUptimeToSave
	if m, ok := n.balancer.(*machineBalancer); ok && n.world.opt.SavedState != nil && settled {
		mem := m.machine.Learned(n.world.engine.Now())
		n.saved, n.savedAt = &mem, n.world.engine.Now()
	}
	n.down = true
	n.incarnation++
	lost := make([]*try, 0, len(n.open))
	for t := range n.open {
		lost = append(lost, t)
	}
	clear(n.open)
	sortTries(lost)
	for _, t := range lost {
		t.nodeCrashed()
	}
}

// attempt delivers one attempt to its server and returns its outcome to the balancer. Setting
// up the connection takes one round trip.
func (n *node) attempt(a *attempt) {
	w := n.world
	e := w.engine
	t := a.try
	s := w.byID[a.to]
	incarnation := n.incarnation
	finish := func(status policy.Status) {
		if n.incarnation == incarnation && !n.down {
			n.balancer.finished(e.Now(), a, status)
			n.afterEvent()
		}
	}
	latency := func() time.Duration { return w.opt.Net.Latency.Draw(n.rng) }
	lost := func() bool { return n.cutOff[s] || s.mute || w.opt.Net.Loss > 0 && n.rng.Float64() < w.opt.Net.Loss }
	e.After(2*latency(), func() {
		switch {
		case n.incarnation != incarnation:
			return
		case lost():
			return // the connection is never established; the balancer's time-out ends the attempt
		case s.down:
			finish(policy.ConnectFailed)
			return
		case !a.begin():
			finish(policy.NotSent)
			return
		}
		w.results.attempted(w.since())
		w.checker.sent(t.record, s, n.notReadySince[a.to])
		serverIncarnation := s.incarnation
		e.After(latency(), func() {
			if s.incarnation != serverIncarnation {
				finish(policy.Reset)
				return
			}
			j := &job{
				class: t.class, record: t.record,
				done: func(status policy.Status) {
					if !lost() {
						e.After(latency(), func() { finish(status) })
					}
				},
				onCrash: func() { e.After(latency(), func() { finish(policy.Reset) }) },
			}
			s.receive(j)
			if w.opt.Defects.DuplicateUnsafe && w.anyUnreachable() && w.settings.Classes[j.class].Effect == policy.Unsafe {
				repeat := *j
				s.receive(&repeat)
			}
		})
	})
}

// Attempt implements core.Message. It is never called, since node.attempt simulates attempts.
func (t *try) Attempt(context.Context, core.Server, time.Time, core.AttemptHandle) core.AttemptResult {
	panic("sim: a Machine makes no attempts")
}
