package core

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

// Pending is a client's request that is unanswered or has attempts in flight. Except for
// claimed, it is accessed only by the goroutine that steps the Machine.
type Pending struct {
	Answers chan<- Answer // Request.Answers

	id              policy.RequestID
	name            idHash  // of Request.Name
	message         Message // nil once nothing more will be sent
	class           int
	attemptDeadline time.Duration // when attempts are abandoned
	deadline        time.Duration // when the client gives up
	deadlineChanges int           // how often the deadline was set
	lateFrom        time.Duration // answers from this time on miss the class's aim; 0: no aim
	uploading       bool          // the request is still being received from the client
	answered        bool
	attempts        []*Attempt
	inFlight        int
	// claimed is set once by whoever gives the final answer: the Machine, by answeredByMachine, or the attempt whose
	// answer is relayed to the client as it arrives.
	claimed atomic.Pointer[Attempt]
}

// ActionKind is a kind of action.
type ActionKind uint8

// The actions. Each ActionStart is followed by one ActionEnd.
const (
	ActionStart   ActionKind = iota // make Action.Attempt and report its result to Finished
	ActionEnd                       // Action.Attempt has ended: stop reading and writing for it
	ActionRespond                   // Action.Answer is the final answer to Action.Pending
	ActionRelease                   // the answer that Action.Attempt holds back has become the final one: end its hold
	ActionWatch                     // request a watch of the server list
	ActionDrop                      // Action.Server was removed, restarted or moved to another address
)

// Action is something to be done after an event.
type Action struct {
	Kind    ActionKind
	Attempt *Attempt
	Pending *Pending
	Answer  Answer
	Server  Server
}

// timer is an entry in the timer heap.
type timer struct {
	at   time.Duration
	fire func()
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // release the closure to the garbage collector
	*h = old[:len(old)-1]
	return last
}

// Machine owns the Balancer and the requests. It has no goroutine and no clock: each event
// carries its time, which never goes back, and Actions returns what is to be done. The same
// settings, seed and events give the same actions. It implements policy.Host; calls to the
// decision module that arise while it runs are queued until the current event is handled,
// because the module is not re-entrant.
type Machine struct {
	balancer   *policy.Balancer
	now        time.Duration
	requests   map[policy.RequestID]*Pending
	servers    map[policy.ServerID]Server
	lastID     policy.RequestID
	ids        requestIDs
	counts     [][NumOutcomes]int64 // by class
	aims       []time.Duration      // by class; 0: none, or one that scales with the request's work
	late       []int64              // by class: requests served after the class's aim
	stalled    []int64              // by class: attempts whose answer has begun and did not go on
	atDeadline []int64              // by class: requests that ended with an answer that was held back until their deadline
	shutdownAt time.Duration        // shutdown time by which answers are due; 0: no shutdown announced
	timers     timerHeap
	queue      []func()
	actions    []Action
}

// NewMachine creates a Machine. An invalid setting gives an error that names it.
func NewMachine(set policy.Settings, seed uint64) (*Machine, error) {
	m := &Machine{
		ids:    newRequestIDs(set.Classes),
		counts: make([][NumOutcomes]int64, len(set.Classes)),
		aims:   make([]time.Duration, len(set.Classes)), late: make([]int64, len(set.Classes)),
		stalled: make([]int64, len(set.Classes)), atDeadline: make([]int64, len(set.Classes)),
		requests: map[policy.RequestID]*Pending{}, servers: map[policy.ServerID]Server{},
	}
	for i, c := range set.Classes {
		if c.AimStretch == 0 {
			m.aims[i] = c.Aim
		}
	}
	var err error
	if m.balancer, err = policy.New(set, seed, m); err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	return m, nil
}

// Actions returns the pending actions in order and clears them. The slice is valid until the
// next event.
func (m *Machine) Actions() []Action {
	a := m.actions
	m.actions = m.actions[:0]
	return a
}

// Due returns when Tick must next be called; false if no timer is pending.
func (m *Machine) Due() (time.Duration, bool) {
	if len(m.timers) == 0 {
		return 0, false
	}
	return m.timers[0].at, true
}

// Tick handles the earliest timer that is due; it returns false if none is.
func (m *Machine) Tick(now time.Duration) bool {
	if len(m.timers) == 0 || m.timers[0].at > now {
		return false
	}
	m.step(now, heap.Pop(&m.timers).(timer).fire)
	return true
}

// step handles one event and then whatever the module's actions have queued.
func (m *Machine) step(now time.Duration, event func()) {
	m.now = max(m.now, now)
	event()
	for len(m.queue) > 0 {
		next := m.queue[0]
		m.queue = m.queue[1:]
		next()
	}
	m.queue = nil
}

// UpdateServers applies a server list, or changes to it, with the entries' addresses.
func (m *Machine) UpdateServers(now time.Duration, kind policy.ListKind, entries []policy.Entry, addrs []string) {
	m.step(now, func() { m.updateServers(kind, entries, addrs) })
}

// Cordon takes a server out of service on an operator's request until Uncordon. Attempts
// already assigned to it that have not begun are cancelled.
func (m *Machine) Cordon(now time.Duration, id policy.ServerID) { m.step(now, func() { m.cordon(id) }) }

// Uncordon puts a cordoned server back into service; called is the time of that request.
func (m *Machine) Uncordon(now time.Duration, id policy.ServerID, called time.Duration) {
	m.step(now, func() { m.balancer.Uncordon(m.now, id, called) })
}

// HandOver returns what the decision module has learned, for another process of the same node
// that takes over.
func (m *Machine) HandOver(now time.Duration) (mem policy.Memory) {
	m.step(now, func() { mem = m.balancer.HandOver(m.now) })
	return mem
}

// Learned returns a copy of what the decision module has learned, to be persisted.
func (m *Machine) Learned(now time.Duration) (mem policy.Memory) {
	m.step(now, func() { mem = m.balancer.Learned(m.now) })
	return mem
}

// Restore restores what another process of the same node has learned.
func (m *Machine) Restore(now time.Duration, mem policy.Memory) (err error) {
	m.step(now, func() { err = m.balancer.Restore(m.now, mem) })
	return err
}

// SetNodePart sets the share of its node's traffic that this process gets; see
// policy.Balancer.SetNodePart.
func (m *Machine) SetNodePart(now time.Duration, part float64) {
	m.step(now, func() { m.balancer.SetNodePart(m.now, part) })
}

// Submit accepts a request. It is answered exactly once, unless ClientGone is called first.
func (m *Machine) Submit(now time.Duration, q Request) (p *Pending) {
	m.step(now, func() { p = m.submit(q) })
	return p
}

// ClientGone reports that a request's client has disconnected.
func (m *Machine) ClientGone(now time.Duration, p *Pending) { m.step(now, func() { m.clientGone(p) }) }

// Finished reports the result of an attempt and when it ended.
func (m *Machine) Finished(now time.Duration, a *Attempt, r AttemptResult, at time.Duration) {
	m.step(now, func() { m.finished(a, r, at) })
}

// Accepted reports that a server has accepted a request and is working on it; see
// policy.Balancer.Accepted.
func (m *Machine) Accepted(now time.Duration, a *Attempt) {
	m.attemptEvent(now, a, (*policy.Balancer).Accepted)
}

// StreamStarted reports that an answer, such as a stream, has begun: from then on the request is
// not tried at another server. Repeated calls have no effect.
func (m *Machine) StreamStarted(now time.Duration, a *Attempt) {
	m.attemptEvent(now, a, (*policy.Balancer).StreamStarted)
}

// RequestSent reports that the last byte of a request with Uploading set has been sent to the server,
// and that its client waits for at most left from now on.
func (m *Machine) RequestSent(now time.Duration, a *Attempt, left time.Duration) {
	m.step(now, func() {
		r := a.Pending
		if a.ended || !r.uploading {
			return
		}
		r.uploading, a.sent = false, m.now
		m.startAim(r)
		left = m.setDeadline(r, m.now+left)
		m.balancer.RequestSent(m.now, r.id, a.index, left)
		m.scheduleDeadline(r)
	})
}

// AnswerClaimed reports that an attempt's ClaimAnswer returned true: its request counts as answered and is
// not tried at another server. Finished follows when the answer has ended.
func (m *Machine) AnswerClaimed(now time.Duration, a *Attempt) {
	m.step(now, func() {
		if !a.ended {
			m.answerClaimed(a)
		}
	})
}

func (m *Machine) answerClaimed(a *Attempt) {
	m.answer(a.Pending, Answer{Outcome: Served})
	m.balancer.StreamStarted(m.now, a.Pending.id, a.index)
	m.release(a.Pending)
}

// Stalled reports that an attempt's answer has begun and does not go on; see policy.Balancer.Stalled.
func (m *Machine) Stalled(now time.Duration, a *Attempt) {
	m.attemptEvent(now, a, func(b *policy.Balancer, now time.Duration, id policy.RequestID, index int) {
		m.stalled[a.Pending.class]++
		b.Stalled(now, id, index)
	})
}

func (m *Machine) attemptEvent(now time.Duration, a *Attempt, event func(*policy.Balancer, time.Duration, policy.RequestID, int)) {
	m.step(now, func() {
		if !a.ended {
			event(m.balancer, m.now, a.Pending.id, a.index)
		}
	})
}

// ShutDownIn announces that the pool shuts down after d: all answers are due by then, including
// those to requests already open. Requests whose bodies are still arriving then, and answers that
// are being relayed, may take longer.
func (m *Machine) ShutDownIn(now, d time.Duration) {
	m.step(now, func() {
		m.shutdownAt = m.now + d
		for _, id := range slices.Sorted(maps.Keys(m.requests)) {
			if r := m.requests[id]; !r.answered && !r.uploading && r.deadline > m.shutdownAt { // RequestSent sets the deadline of a request still being received
				m.balancer.ShortenDeadline(m.now, id, m.setDeadline(r, r.deadline))
				m.scheduleDeadline(r)
			}
		}
	})
}

// InFlight returns the attempts in flight.
func (m *Machine) InFlight() (out []*Attempt) {
	for _, r := range m.requests {
		for _, a := range r.attempts {
			if !a.ended {
				out = append(out, a)
			}
		}
	}
	return out
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) schedule(at time.Duration, fire func()) {
	heap.Push(&m.timers, timer{at, fire})
}

// ---- events

// updateServers applies a server list or changes to it. Connections to a server that was removed,
// restarted or moved to another address are closed; a late update about an old server does
// not affect a new one at its address. Attempts that have not begun are cancelled if their
// server drains, was removed or was replaced: connecting may take longer than the grace
// period that the rule on drains allows.
func (m *Machine) updateServers(kind policy.ListKind, entries []policy.Entry, endpoints []string) {
	old := m.servers
	if kind == policy.ListFull || kind == policy.ListCached {
		m.servers = make(map[policy.ServerID]Server, len(entries))
	} else {
		old = maps.Clone(old)
	}
	drains := map[policy.ServerID]bool{}
	for i, e := range entries {
		if e.State == policy.Gone {
			delete(m.servers, e.Server)
		} else {
			m.servers[e.Server] = Server{e.Server, endpoints[i], e.Started}
		}
		if e.State == policy.Draining {
			drains[e.Server] = true
		}
	}
	changed := len(drains) > 0
	for id, b := range old {
		if m.servers[id] != b {
			m.emit(Action{Kind: ActionDrop, Server: b})
			changed = true
		}
	}
	m.balancer.UpdateServers(m.now, kind, entries)
	if changed {
		m.cancelUnsentAll(func(a *Attempt) bool { return drains[a.server] || m.servers[a.server] != a.To })
	}
}

// cordon updates the module first, so that cancelled attempts are retried at other servers.
// Idle connections are dropped because a cordoned server is usually restarted.
func (m *Machine) cordon(id policy.ServerID) {
	m.balancer.Cordon(m.now, id)
	m.cancelUnsentAll(func(a *Attempt) bool { return a.server == id })
	if to, listed := m.servers[id]; listed {
		m.emit(Action{Kind: ActionDrop, Server: to})
	}
}

// cancelUnsentAll calls cancelUnsent for all requests, ordered by ID.
func (m *Machine) cancelUnsentAll(which func(*Attempt) bool) {
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		m.cancelUnsent(m.requests[id], which)
	}
}

// cancelUnsent cancels the selected attempts of a request that have not written anything yet;
// they cannot have run.
func (m *Machine) cancelUnsent(r *Pending, which func(*Attempt) bool) {
	for _, a := range r.attempts {
		if which(a) && !a.ended && a.phase.CompareAndSwap(phaseUnsent, phaseAbandoned) {
			m.queue = append(m.queue, func() {
				if !a.ended {
					m.reportOutcome(a, policy.NotSent, m.now)
				}
			})
		}
	}
}

func anyAttempt(*Attempt) bool { return true }

func (m *Machine) submit(q Request) *Pending {
	name, unused := m.ids.begin(m.now, q.Name)
	if !unused {
		r := &Pending{class: q.Class, Answers: q.Answers}
		m.answer(r, Answer{Outcome: Duplicate})
		return r
	}
	for m.lastID++; m.requests[m.lastID] != nil; m.lastID++ { // IDs eventually wrap around
	}
	r := &Pending{id: m.lastID, name: name, class: q.Class, message: q.Message, Answers: q.Answers, uploading: q.Uploading}
	if !r.uploading {
		m.startAim(r)
	}
	q.ID, q.TimeLeft = r.id, m.setDeadline(r, q.Deadline)
	m.requests[r.id] = r
	m.balancer.Request(m.now, q.Request)
	if !r.answered {
		m.scheduleDeadline(r)
	}
	return r
}

// clientGone ends a request whose client has disconnected.
func (m *Machine) clientGone(r *Pending) {
	if !r.answered {
		r.answered = true
		r.claimed.CompareAndSwap(nil, answeredByMachine)
		m.counts[r.class][ClientGone]++
		m.balancer.ClientGone(m.now, r.id)
		m.release(r)
	}
}

// finished handles the result of an attempt.
func (m *Machine) finished(a *Attempt, p AttemptResult, at time.Duration) {
	if a.ended {
		return
	}
	switch {
	case p.Status == policy.OK:
		m.answer(a.Pending, Answer{Outcome: Served, Body: p.Body})
	case p.Rejected:
		// The request is invalid, and any other server would reject it as well: do not
		// count it against this server and do not retry.
		m.answer(a.Pending, Answer{Outcome: Failed})
		p.Status = policy.Cancelled
	}
	if p.BodyConsumed {
		m.balancer.DisallowRetry(a.Pending.id)
	}
	m.reportOutcome(a, p.Status, at)
}

// abandon ends an attempt from this side. One that has not been written cannot have run and
// never will, because its goroutine sees the changed phase. One whose answer is being relayed
// to the client is left alone.
func (m *Machine) abandon(a *Attempt, status policy.Status) {
	switch a.abandon() {
	case phaseUnsent:
		status = policy.NotSent
	case phaseRelaying:
		return
	}
	m.reportOutcome(a, status, m.now)
}

// reportOutcome reports the end of an attempt to the module, once per attempt.
func (m *Machine) reportOutcome(a *Attempt, status policy.Status, at time.Duration) {
	r := a.Pending
	a.ended, a.status, a.endedAt = true, status, at
	m.emit(Action{Kind: ActionEnd, Attempt: a})
	r.inFlight--
	m.balancer.Outcome(m.now, policy.Outcome{
		ID: r.id, Attempt: a.index, Server: a.server, Status: status,
		Ended: r.answered, Latency: max(0, at-a.sent),
	})
	m.release(r)
}

// answer gives the client its final answer; only the first call counts. If an attempt has
// claimed the request for an answer that it relays, that one takes precedence.
func (m *Machine) answer(r *Pending, a Answer) {
	if r.answered {
		return
	}
	r.answered = true
	claimed := !r.claimed.CompareAndSwap(nil, answeredByMachine)
	if r.lateFrom != 0 && m.now >= r.lateFrom && (claimed || a.Outcome == Served) {
		m.late[r.class]++
	}
	if claimed {
		m.counts[r.class][Served]++
		return
	}
	m.counts[r.class][a.Outcome]++
	if a.Outcome == Failed || a.Outcome == DeadlineExceeded {
		for _, attempt := range r.attempts {
			a.Attempts = append(a.Attempts, attempt.summary(m.now))
		}
	}
	m.emit(Action{Kind: ActionRespond, Pending: r, Answer: a})
}

// release removes a request that is answered and has no attempts in flight. Attempts that have
// not begun are cancelled even if the settings forbid cancelling: otherwise work would be
// done for a client that has disconnected.
func (m *Machine) release(r *Pending) {
	if r.answered {
		r.message = nil // the timer heap may reference the request for a while
		m.cancelUnsent(r, anyAttempt)
		if r.inFlight == 0 && m.requests[r.id] == r {
			delete(m.requests, r.id)
			m.ids.end(m.now, r.name)
			r.attempts = nil // they hold the message too, as does the one that has claimed the answer
			r.claimed.Store(answeredByMachine)
		}
	}
}

// ---- actions

// Send implements policy.Host.
func (m *Machine) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := m.requests[id]
	if r == nil {
		return
	}
	a := &Attempt{Pending: r, Message: r.message, index: len(r.attempts), server: server, sent: m.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	to, listed := m.servers[server]
	if r.answered || !listed {
		a.phase.Store(phaseAbandoned)
		m.queue = append(m.queue, func() { m.reportOutcome(a, policy.NotSent, m.now) })
		return
	}
	a.To, a.End = to, r.attemptDeadline
	if timeout > 0 && m.now+timeout < a.End {
		a.End = m.now + timeout
		m.schedule(m.now+timeout, func() {
			if !a.ended {
				m.abandon(a, policy.Timeout)
			}
		})
	}
	m.emit(Action{Kind: ActionStart, Attempt: a})
}

// Cancel implements policy.Host.
func (m *Machine) Cancel(id policy.RequestID, index int) {
	r := m.requests[id]
	if r == nil || index >= len(r.attempts) {
		return
	}
	a := r.attempts[index]
	m.queue = append(m.queue, func() {
		if !a.ended {
			m.abandon(a, policy.Cancelled)
		}
	})
}

// Refuse implements policy.Host.
func (m *Machine) Refuse(id policy.RequestID, retryAfter time.Duration) {
	m.endRequest(id, Answer{Outcome: Refused, RetryAfter: retryAfter})
}

// Fail implements policy.Host.
func (m *Machine) Fail(id policy.RequestID) { m.endRequest(id, Answer{Outcome: Failed}) }

func (m *Machine) endRequest(id policy.RequestID, a Answer) {
	if r := m.requests[id]; r != nil {
		m.answer(r, a)
		m.release(r)
	}
}

// SetTimer implements policy.Host.
func (m *Machine) SetTimer(at time.Duration, token uint64) {
	m.schedule(at, func() { m.balancer.Timer(m.now, token) })
}

// WatchList implements policy.Host.
func (m *Machine) WatchList() { m.emit(Action{Kind: ActionWatch}) }
