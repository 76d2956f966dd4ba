package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"otterstep/internal/standin/racedetector"
)

// scriptHost runs a random script against one Balancer and checks the rules on each
// action: one final answer in time, no effect twice, no send after a drain notice, no
// attempt beyond the limit.
type scriptHost struct {
	servers int
	*fakeHost
	t        *testing.T
	rng      *rand.Rand
	b        *Balancer
	now      time.Duration
	open     map[RequestID]*scriptRequest
	answered map[RequestID]int
	state    map[ServerID]Entry
}

type scriptRequest struct {
	class    Class
	end      time.Duration
	attempts []*scriptAttempt
	done     bool
}

type scriptAttempt struct {
	server   Entry
	sent     time.Duration
	out      bool
	neverRan bool
}

func (w *scriptHost) Send(id RequestID, server ServerID, timeout time.Duration) {
	w.fakeHost.Send(id, server, timeout)
	p, s := w.open[id], w.state[server]
	switch {
	case p == nil || p.done:
		w.t.Errorf("%v: sent request %d, which is finished", w.now, id)
		return
	case s.State != Ready:
		w.t.Errorf("%v: sent request %d to server %d in state %d", w.now, id, server, s.State)
	case len(p.attempts) >= 4:
		w.t.Errorf("%v: request %d has too many attempts", w.now, id)
	}
	for _, a := range p.attempts {
		if a.neverRan {
			continue
		}
		if p.class.Effect == Unsafe {
			w.t.Errorf("%v: unsafe request %d sent again though it may have run", w.now, id)
		}
		if p.class.Effect == Keyed && (a.server.Cell != s.Cell || w.now-a.sent >= p.class.Window) {
			w.t.Errorf("%v: keyed request %d repeated outside its scope or window", w.now, id)
		}
	}
	p.attempts = append(p.attempts, &scriptAttempt{server: s, sent: w.now, out: true})
}

func (w *scriptHost) answer(id RequestID) *scriptRequest {
	w.answered[id]++
	p := w.open[id]
	if p == nil || p.done {
		w.t.Errorf("%v: request %d answered twice", w.now, id)
		return &scriptRequest{}
	}
	if w.now > p.end+20*ms {
		w.t.Errorf("%v: request %d answered after its end at %v", w.now, id, p.end)
	}
	p.done = true
	return p
}

func (w *scriptHost) Refuse(id RequestID, after time.Duration) {
	w.fakeHost.Refuse(id, after)
	p := w.answer(id)
	for _, a := range p.attempts {
		if !a.neverRan && p.class.Effect != Safe {
			w.t.Errorf("%v: request %d refused though it may have run", w.now, id)
		}
	}
}

func (w *scriptHost) Fail(id RequestID) {
	w.fakeHost.Fail(id)
	w.answer(id)
}

// outcome ends attempt i of a request with a random status, or with a timeout once its deadline has passed.
func (w *scriptHost) outcome(id RequestID, p *scriptRequest, i int) {
	a := p.attempts[i]
	status := []Status{OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset}[w.rng.IntN(8)]
	if w.now >= p.end {
		status = Timeout
	}
	if p.done {
		status = Cancelled
	}
	a.out = false
	a.neverRan = status == Full || status == ConnectFailed
	if status == OK {
		w.answer(id)
	}
	w.b.Outcome(w.now, Outcome{ID: id, Attempt: i, Server: a.server.Server, Status: status,
		Latency: w.now - a.sent, Ended: p.done})
}

func (w *scriptHost) step(ids []RequestID) {
	for _, id := range ids {
		p := w.open[id]
		for i, a := range p.attempts {
			if a.out && (w.now >= p.end || p.done || w.rng.IntN(12) == 0) {
				w.outcome(id, p, i)
			}
		}
		if !p.done && w.rng.IntN(400) == 0 {
			p.done = true
			w.answered[id]++
			w.b.ClientGone(w.now, id)
		}
	}
	var due []timer
	kept := w.timers[:0]
	for _, t := range w.timers {
		if t.at <= w.now {
			due = append(due, t)
		} else {
			kept = append(kept, t)
		}
	}
	w.timers = kept
	for _, t := range due {
		w.b.Timer(w.now, t.token)
	}
}

// change drains, removes, restarts or adds a server.
func (w *scriptHost) change(start time.Duration) {
	id := ServerID(1 + w.rng.IntN(w.servers+w.servers/2))
	e := Entry{Server: id, Cell: int(id) / 3, Weight: 1, State: State(w.rng.IntN(3))}
	if w.rng.IntN(3) == 0 {
		e.State, e.Started = Ready, start
	}
	w.state[id] = e
	w.b.UpdateServers(w.now, ListDelta, []Entry{e})
}

func runScript(t *testing.T, seed uint64, servers int) []string {
	set := testSettings()
	set.Classes[0].LateWorth = 0.5
	set.Tenants = []Tenant{{QuotaPerS: 50}}
	w := &scriptHost{fakeHost: newHost(), t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour,
		servers: servers, open: map[RequestID]*scriptRequest{}, answered: map[RequestID]int{}, state: map[ServerID]Entry{}}
	b, err := New(set, seed, w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	entries := ready(1, servers)
	for i := range entries {
		entries[i].Cell = int(entries[i].Server) / 3
		w.state[entries[i].Server] = entries[i]
	}
	b.UpdateServers(w.now, ListCached, entries)
	var ids []RequestID
	for step := range 4000 {
		w.now += 5 * ms
		for range w.rng.IntN(4) {
			if step >= 3500 {
				break // let the remaining requests finish
			}
			id := RequestID(len(ids) + 1)
			class := w.rng.IntN(3)
			left := time.Duration(300+w.rng.IntN(1700)) * ms
			ids = append(ids, id)
			w.open[id] = &scriptRequest{class: set.Classes[class], end: w.now + left}
			b.Request(w.now, Request{ID: id, Class: class, Key: uint64(w.rng.IntN(50)), TimeLeft: left})
		}
		if w.rng.IntN(60) == 0 {
			w.change(w.now)
		}
		w.step(ids)
		if out := slices.DeleteFunc(slices.Clone(b.ready), func(s *server) bool { return s.breaker == closed }); len(out) != len(b.notClosed) ||
			slices.ContainsFunc(out, func(s *server) bool { return !slices.Contains(b.notClosed, s) }) {
			t.Fatalf("%d servers are listed as not closed, %d are", len(b.notClosed), len(out))
		}
	}
	for _, id := range ids {
		if w.answered[id] != 1 {
			t.Errorf("request %d got %d final answers", id, w.answered[id])
		}
	}
	if len(b.requests) > 0 || len(b.unfinished) > 0 {
		t.Errorf("%d requests and %d unfinished ones remembered at the end", len(b.requests), len(b.unfinished))
	}
	return w.log
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	racedetector.Skip(t)
	for servers, seeds := range map[int]uint64{8: 6, maxFullScan + 40: 2} { // below and above the limit for full scans
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d servers, seed %d", servers, seed), func(t *testing.T) { runScript(t, seed, servers) })
		}
	}
}

func TestSameEventsAndSeedGiveTheSameActions(t *testing.T) {
	racedetector.Skip(t)
	first, second := runScript(t, 3, 8), runScript(t, 3, 8)
	if a, b := strings.Join(first, "\n"), strings.Join(second, "\n"); a != b {
		t.Fatal("two runs of the same script differ")
	}
}

func TestInterleavedInstancesAreIndependent(t *testing.T) {
	drive := func(rigs ...*rig) {
		for i := range 300 {
			for _, r := range rigs {
				id := r.request(i % 3)
				r.advance(7 * ms)
				if n := len(r.sendsOf(id)); n > r.done[id] {
					r.end(id, OK, 7*ms)
				}
			}
		}
	}
	alone, a, b := newRig(t, testSettings(), 5), newRig(t, testSettings(), 5), newRig(t, testSettings(), 5)
	drive(alone)
	drive(a, b)
	want := strings.Join(alone.h.log, "\n")
	if strings.Join(a.h.log, "\n") != want || strings.Join(b.h.log, "\n") != want {
		t.Fatal("interleaved instances act differently from one alone")
	}
}
