package policy

import (
	"slices"
	"testing"
	"time"
)

// comeBackRig is a node whose four servers are all in doubt; the memory's lone latency goes for its first class.
func comeBackRig(t *testing.T, lone time.Duration) *rig {
	r := newRig(t, testSettings(), 4)
	r.serve(200, 0, lone)
	m := r.b.Learnt(r.now)
	e := ready(1, 4)
	for i := range e {
		e[i].Doubted = true
	}
	r = newRig(t, testSettings(), 0)
	r.list(ListCached, e...)
	for i := range m.Servers {
		s := &m.Servers[i] // as confidence.Fade leaves it
		s.Rate, s.Done, s.ColdSaved, s.Earned, s.Good, s.Bad = 0, 0, 0, 0, 0, 0
	}
	m.Admitted, m.Demand = 1, 0
	if err := r.b.Recall(r.now, m); err != nil {
		t.Fatal(err)
	}
	return r
}

// answered asks once in so often for a time, and has each attempt answered as long after it was sent.
func (r *rig) answered(span, every, latency time.Duration) {
	seen := 0
	type job struct {
		id RequestID
		at time.Duration
	}
	var running []job
	for end := r.now + span; r.now < end; {
		r.request(0)
		r.pass(every)
		for _, s := range r.h.sends[seen:] {
			running = append(running, job{s.id, r.now + latency})
		}
		for seen = len(r.h.sends); len(running) > 0 && running[0].at <= r.now; running = running[1:] {
			if id := running[0].id; r.done[id] < len(r.sendsOf(id)) {
				r.end(id, OK, latency)
			}
		}
	}
}

// A node that has come back with nobody to ask is asked for ten times what its servers can do. What it can't
// serve in time is refused at once and not at the end of its use, what is served climbs to what they
// can do, and those who were refused together are not called back together.
func TestComingBackRefusesAtOnceAndSpreadsReturns(t *testing.T) {
	const work, tick = 50 * ms, 2 * ms // of four servers with one place each: 80 a second
	r := comeBackRig(t, work)
	free := map[ServerID]time.Duration{}
	type job struct {
		id RequestID
		to ServerID
		at time.Duration
	}
	var running []job
	began := map[RequestID]time.Duration{}
	seen := 0
	var waits, returns []time.Duration
	served := map[int]int{} // by second
	for end := r.now + 4*time.Second; r.now < end; {
		second := 3 - int((end-r.now-1)/time.Second)
		began[r.request(0)] = r.now // 500 a second
		r.pass(tick)
		for _, s := range r.h.sends[seen:] {
			free[s.server] = max(free[s.server], r.now) + work
			running = append(running, job{s.id, s.server, free[s.server]})
		}
		seen = len(r.h.sends)
		slices.SortFunc(running, func(a, b job) int { return int(a.at - b.at) })
		for len(running) > 0 && running[0].at <= r.now {
			j := running[0]
			running = running[1:]
			if r.done[j.id] < len(r.sendsOf(j.id)) {
				r.end(j.id, OK, r.now-began[j.id])
				served[second]++
			}
		}
		for id, after := range r.h.refused {
			if at, ok := began[id]; ok {
				delete(began, id)
				waits, returns = append(waits, r.now-at), append(returns, after)
			}
		}
	}
	if served[3] < 60 || served[0] == 0 {
		t.Errorf("served by second: %v, the servers can do 80", served)
	}
	slices.Sort(waits)
	if len(waits) < 1000 || waits[len(waits)*9/10] > 50*ms {
		t.Errorf("%d were refused, nine in ten after %v", len(waits), waits[len(waits)*9/10])
	}
	slices.Sort(returns)
	if few, most := returns[len(returns)/10], returns[len(returns)*9/10]; most-few < 300*ms || most > time.Second {
		t.Errorf("called back after %v to %v: in step", few, most)
	}
}

// Figures of before that answers of some servers prove wrong are dropped for all, those that nobody has met
// since too; figures that hold stay. A memory of another process that still lives is not held against them.
func TestFiguresProvedWrongAreDroppedForAll(t *testing.T) {
	for name, c := range map[string]struct {
		is      time.Duration
		dropped bool
	}{"as before": {20 * ms, false}, "somewhat slower": {35 * ms, false}, "six times slower": {120 * ms, true}, "six times faster": {3 * ms, true}} {
		r := comeBackRig(t, 20*ms)
		known := r.b.classes[0].lone
		r.answered(3*time.Second, 20*ms, c.is)
		// Dropped, it goes by what it meets, as a process that knows nothing.
		got, want := r.b.classes[0].lone, known
		if c.dropped {
			want = c.is.Seconds()
		}
		if got < 0.4*want || got > 2.3*want || r.b.before != nil {
			t.Errorf("%s: takes %v s for a lone request, was %v", name, got, known)
		}
	}
	r := newRig(t, testSettings(), 4)
	r.serve(200, 0, 20*ms)
	m := r.b.Learnt(r.now)
	r = newRig(t, testSettings(), 4)
	if err := r.b.Recall(r.now, m); err != nil {
		t.Fatal(err)
	}
	r.serve(30, 0, 200*ms)
	if r.b.before != nil || r.b.loneSeen < loneNeeded {
		t.Error("a living process's figures were dropped")
	}
}

// A node whose part is far below a request a server begins with the share that cold servers bear, and climbs.
func TestScantNodeComesBackWithAPart(t *testing.T) {
	set := testSettings()
	set.Nodes = 80
	r := newRig(t, set, 0)
	e := ready(1, 4)
	for i := range e {
		e[i].Doubted = true
	}
	r.list(ListCached, e...)
	if got := r.b.admitted; got != set.Rules.ColdFrom {
		t.Fatalf("admits %v at first", got)
	}
	for range 100 {
		r.serve(1, 0, 20*ms)
		r.pass(50 * ms)
	}
	if got := r.b.admitted; got < 0.9 {
		t.Errorf("admits %v after seconds of answers in time", got)
	}
}
