package policy

import (
	"slices"
	"testing"
	"time"
)

// recoveryRig is a node with four unconfirmed servers, restored from a node that measured the unloaded latency.
func recoveryRig(t *testing.T, lone time.Duration) *rig {
	r := newRig(t, testSettings(), 4)
	r.serve(200, 0, lone)
	m := r.b.Learned(r.now)
	e := ready(1, 4)
	for i := range e {
		e[i].Unconfirmed = true
	}
	r = newRig(t, testSettings(), 0)
	r.list(ListCached, e...)
	for i := range m.Servers {
		s := &m.Servers[i] // as left by staleness.Decay
		s.SentRate, s.ServedRate, s.ColdSaved, s.Earned, s.Successes, s.Failed = 0, 0, 0, 0, 0, 0
	}
	m.Admitted, m.Demand = 1, 0
	if err := r.b.Restore(r.now, m); err != nil {
		t.Fatal(err)
	}
	return r
}

// answerAll sends a request at each interval for a time span, and answers each attempt after the latency.
func (r *rig) answerAll(span, every, latency time.Duration) {
	seen := 0
	type job struct {
		id RequestID
		at time.Duration
	}
	var running []job
	for end := r.now + span; r.now < end; {
		r.request(0)
		r.advance(every)
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

// A node that has restarted without reaching discovery faces six times the demand that its servers can serve. What it
// cannot serve in time is refused at once and not only at the end of its use, the rate served rises to
// what the servers can do, and requests refused together are not told to retry together.
func TestRecoveryRefusesEarlyAndSpreadsRetries(t *testing.T) {
	const work, tick = 50 * ms, 2 * ms // four servers that serve one request at a time: 80 per second
	r := recoveryRig(t, work)
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
		began[r.request(0)] = r.now // 500 per second
		r.advance(tick)
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
		t.Errorf("%d were refused, nine in ten within %v", len(waits), waits[len(waits)*9/10])
	}
	slices.Sort(returns)
	if few, most := returns[len(returns)/10], returns[len(returns)*9/10]; most-few < 300*ms || most > time.Second {
		t.Errorf("told to retry after %v to %v: in step", few, most)
	}
}

// Restored measurements that answers of some servers refute are dropped for all servers, including those not used
// since; measurements that hold are kept. Those taken over from a process that is still alive are not checked.
func TestRefutedMeasurementsAreDroppedForAllServers(t *testing.T) {
	for name, c := range map[string]struct {
		is      time.Duration
		dropped bool
	}{"as before": {20 * ms, false}, "somewhat slower": {35 * ms, false}, "six times slower": {120 * ms, true}, "six times faster": {3 * ms, true}} {
		r := recoveryRig(t, 20*ms)
		known := r.b.classes[0].unloaded
		r.answerAll(3*time.Second, 20*ms, c.is)
		// After dropping them it goes by what it measures, like a process that knows nothing.
		got, want := r.b.classes[0].unloaded, known
		if c.dropped {
			want = c.is.Seconds()
		}
		if got < 0.4*want || got > 2.3*want || r.b.restored != nil {
			t.Errorf("%s: unloaded latency %v s, was %v", name, got, known)
		}
	}
	r := newRig(t, testSettings(), 4)
	r.serve(200, 0, 20*ms)
	m := r.b.Learned(r.now)
	r = newRig(t, testSettings(), 4)
	if err := r.b.Restore(r.now, m); err != nil {
		t.Fatal(err)
	}
	r.serve(30, 0, 200*ms)
	if r.b.restored != nil || r.b.unloadedSamples < minUnloadedSamples {
		t.Error("measurements of a live process were dropped")
	}
}

// A node whose fair limit is far below one request per server starts with the share that cold servers take, and rises.
func TestVerySparseNodeRecoversFromColdShare(t *testing.T) {
	set := testSettings()
	set.Nodes = 80
	r := newRig(t, set, 0)
	e := ready(1, 4)
	for i := range e {
		e[i].Unconfirmed = true
	}
	r.list(ListCached, e...)
	if got := r.b.admitted; got != set.Rules.ColdFrom {
		t.Fatalf("admits %v at first", got)
	}
	for range 100 {
		r.serve(1, 0, 20*ms)
		r.advance(50 * ms)
	}
	if got := r.b.admitted; got < 0.9 {
		t.Errorf("admits %v after seconds of timely answers", got)
	}
}
