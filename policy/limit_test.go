package policy

import (
	"testing"
	"time"
)

// adjustFor adjusts the limit for the duration d at a constant congestion.
func adjustFor(b *Balancer, from, d time.Duration, crowding float64) {
	for t := from; t < from+d; t += 10 * ms {
		b.congestion = crowding
		b.adjustLimit(t)
	}
}

func newLimitRig(t *testing.T) (*rig, *Balancer) {
	r := newRig(t, testSettings(), 4)
	r.b.unloadedSamples, r.b.typicalLatency, r.b.adjustedAt = minUnloadedSamples, 0.1, r.now
	r.b.queue = append(r.b.queue, &request{done: true}) // a queued request
	return r, r.b
}

// Guards against a limit that grows unused at low load and no longer limits anything when congestion comes.
func TestLimitGrowsOnlyWhileRequestsWait(t *testing.T) {
	r, b := newLimitRig(t)
	before := b.limit
	waiting := b.queue
	b.queue = nil
	adjustFor(b, r.now, time.Second, 0)
	if b.limit != before {
		t.Fatalf("limit changed from %v to %v though nothing waits", before, b.limit)
	}
	b.queue = waiting
	adjustFor(b, r.now+time.Second, time.Second, 0)
	if b.limit <= before {
		t.Fatal("limit did not grow while requests wait without congestion")
	}
}

// Guards against growth before there is a baseline to detect congestion with.
func TestLimitDoesNotGrowWithoutBaseline(t *testing.T) {
	r, b := newLimitRig(t)
	b.unloadedSamples = minUnloadedSamples - 1
	before := b.limit
	adjustFor(b, r.now, time.Second, 0)
	if b.limit != before {
		t.Fatal("limit grew before unloaded latencies were known")
	}
}

// Guards against servers whose throughput drops the more requests they hold, and against
// starving a fleet that is slow as a whole.
func TestLimitShrinksUnderCongestionButStaysNearLastGood(t *testing.T) {
	r, b := newLimitRig(t)
	b.congestedBefore, b.limit, b.goodLimit = true, 8, 4
	adjustFor(b, r.now, 5*time.Second, 1)
	if b.limit >= 8 {
		t.Fatal("limit did not shrink under congestion")
	}
	adjustFor(b, r.now+5*time.Second, 20*time.Second, 1)
	if b.limit < 2 || b.limit > 4 {
		t.Fatalf("limit %v after 25 s of slowness, want it near the known good 4", b.limit)
	}
}

// Guards against the overshoot of the initial fast growth, which answers reveal late.
func TestFirstCongestionCutsLimitAtOnce(t *testing.T) {
	r, b := newLimitRig(t)
	b.limit = 10
	adjustFor(b, r.now, 10*ms, 1)
	if b.limit > 7 {
		t.Fatalf("limit %v after the first sign of congestion, want well below 10", b.limit)
	}
}

// Guards against one request per server from each of many nodes, which together congest the servers.
func TestManyNodesSendLessThanOneRequestPerServer(t *testing.T) {
	set := testSettings()
	set.Nodes = 10
	r := newRig(t, set, 20)
	for range 50 {
		r.request(0)
	}
	if n := len(r.h.sends); n < 2 || n > 8 {
		t.Fatalf("%d requests in flight from one of ten nodes at twenty servers", n)
	}
}

// Guards against a baseline that grows with congestion: a server without other attempts of this node
// may still be loaded by other nodes.
func TestUnloadedLatenciesNeedAnIdleFleet(t *testing.T) {
	set := testSettings()
	set.Nodes = 7
	r := newRig(t, set, 7)
	r.b.limit = 2
	unloaded := 0
	for range 7 {
		id := r.request(0)
		if a := &r.b.requests[id].attempts[0]; a.unloaded {
			unloaded++
		}
	}
	if unloaded == 0 || unloaded > 4 {
		t.Fatalf("%d of 7 requests count as unloaded, want only the first few", unloaded)
	}
}

// Guards against a baseline that keeps moving after servers were measured against it.
func TestBaselineIsFixedOnceSettled(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.serve(baselineSamples, 0, 50*ms)
	want := r.b.classes[0].baseline
	if want == 0 {
		t.Fatal("no baseline after enough unloaded requests")
	}
	r.serve(50, 0, 150*ms)
	if got := r.b.classes[0].baseline; got != want {
		t.Fatalf("baseline moved from %v to %v", want, got)
	}
	if r.b.classes[0].unloaded <= want {
		t.Fatal("the class's own mean must keep following")
	}
}

// Guards against stopping all sends when servers that hold attempts of this node fail.
func TestAttemptsAtOpenServersDoNotCountTowardsLimit(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range 4 {
		r.request(0)
	}
	for _, s := range r.b.ready[:2] {
		for range failuresToOpen {
			r.b.recordFailure(r.now, &attempt{server: s}, false)
		}
	}
	for _, s := range r.b.ready[2:] {
		for _, a := range append([]*attempt(nil), s.inFlight...) {
			r.end(a.request.ID, OK, 10*ms)
		}
	}
	if id := r.request(0); len(r.sendsOf(id)) != 1 {
		t.Fatal("a free server is idle because open ones hold attempts")
	}
}

func TestTiesPreferLocalZone(t *testing.T) {
	near, far := &server{local: true, relativeWeight: 1}, &server{relativeWeight: 1}
	if better(far, near) != near || better(near, far) != near {
		t.Fatal("among equals the local zone must win")
	}
	near.load = 1
	if better(near, far) != far {
		t.Fatal("fewer in flight must win over the zone")
	}
}

func TestWarmServerIsAlwaysACandidate(t *testing.T) {
	set := testSettings()
	set.WarmKeys = true
	r := newRig(t, set, 4) // one zone
	ask := func() ServerID {
		r.next++
		r.b.Request(r.now, Request{ID: r.next, Key: 42, TimeLeft: time.Second})
		s := r.sendsOf(r.next)[0]
		r.advance(10 * ms)
		r.end(r.next, OK, 10*ms)
		r.advance(10 * ms) // scores are updated once per instant
		return s
	}
	first := ask()
	for range 20 {
		if s := ask(); s != first {
			t.Fatalf("key went to %d, though %d is warm and idle", s, first)
		}
	}
}

// Guards against ordering queued requests by an initial estimate that a busy fleet never corrects.
func TestWorkEstimateUsesAllAnswers(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	heavy := &request{class: &r.b.classes[0]}
	for range 50 {
		r.b.recordLatency(&attempt{server: r.b.ready[0]}, heavy, 0.9) // never unloaded
	}
	r.request(0) // fills a server, as does the next one
	r.request(0)
	a, b := r.request(0), r.request(1)
	if x, y := r.b.requests[a], r.b.requests[b]; x == nil || y == nil || !y.precedes(x) {
		t.Fatal("a class that takes longer for the same worth must come second")
	}
}

// Guards the clients' connections: beyond what the node can hold, the queued request with the least worth
// is refused at once, with a retry time; one with more worth takes its place.
func TestOpenRequestsAreLimited(t *testing.T) {
	set := testSettings()
	set.Classes = set.Classes[:2]
	set.Classes[1].Effect, set.Classes[1].Worth = Safe, 8
	set.Limits.MaxOpen = 20
	r := newRig(t, set, 2)
	var reads []RequestID
	for range 30 {
		reads = append(reads, r.request(0))
	}
	if n := len(r.b.unfinished); n != 20 || len(r.h.refused) != 10 {
		t.Fatalf("%d open, %d refused", n, len(r.h.refused))
	}
	for _, after := range r.h.refused {
		if after <= 0 {
			t.Error("refused without a retry time")
		}
	}
	push := r.request(1)
	if _, refused := r.h.refused[push]; refused || len(r.b.unfinished) != 20 || len(r.h.refused) != 11 {
		t.Errorf("request with more worth: refused %v, %d open", refused, len(r.b.unfinished))
	}
	for _, id := range reads[:2] {
		if len(r.sendsOf(id)) == 0 {
			t.Error("a request that had been sent was given up")
		}
	}
}
