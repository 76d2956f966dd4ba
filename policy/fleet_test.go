package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"otterstep/internal/standin/racedetector"
)

// newFleet returns the nodes of a tier, each with its own seed and the same list.
func newFleet(t *testing.T, set Settings, nodes, servers int) []*rig {
	t.Helper()
	set.Nodes = nodes
	fleet := make([]*rig, nodes)
	for i := range fleet {
		h := newHost()
		b, err := New(set, uint64(i+1), h)
		if err != nil {
			t.Fatal(err)
		}
		fleet[i] = &rig{t: t, b: b, h: h, now: time.Hour, done: map[RequestID]int{}}
		fleet[i].list(ListCached, ready(1, servers)...)
	}
	return fleet
}

// Guards against nodes with equally little knowledge that all retry at the first server of the list: in a fleet that
// server got five times the load of any other.
func TestRetriesOfManyNodesSpread(t *testing.T) {
	count, most := map[ServerID]int{}, 0
	set := testSettings()
	set.Zone = 100 // no server's zone
	for _, r := range newFleet(t, set, 80, 60) {
		r.serve(12, 0, 20*ms) // a sparse node saves up for further attempts
		id := r.request(0)
		r.end(id, Full, ms)
		r.advance(200 * ms)
		for _, s := range r.sendsOf(id)[1:] {
			count[s]++
			most = max(most, count[s])
		}
	}
	if most > 7 || len(count) < 35 { // 80 balls in 60 bins
		t.Errorf("one server got %d of 80 second attempts, %d servers got any", most, len(count))
	}
}

// Once the list calls of 300 nodes have each failed three times, no more than 230 calls come in any second, 150 on
// average: a service that takes a call from each node within 2 s could answer them.
func TestListCallsOfManyNodesAreLimited(t *testing.T) {
	set := testSettings()
	set.ListWatched = true
	fleet := newFleet(t, set, 300, 3)
	const seconds = 20
	var calls [seconds]int
	for _, r := range fleet {
		for range seconds * 100 {
			before := r.h.watches
			r.advance(10 * ms)
			if r.h.watches > before {
				if at := int((r.now - time.Hour) / time.Second); at < seconds {
					calls[at]++
				}
				r.list(ListFailed)
			}
		}
	}
	sum := 0
	for at, n := range calls[4:] {
		if sum += n; n > 230 {
			t.Errorf("%d calls in second %d", n, at+4)
		}
	}
	if mean := sum / (seconds - 4); mean > 150 {
		t.Errorf("%d calls a second", mean)
	}
	t.Logf("calls by second: %v", calls)
}

// Guards against many nodes that each send a key elsewhere, so that no server keeps it warm, and against a
// hot key that overloads a single server.
func TestManyNodesAgreeOnTheServersOfAKey(t *testing.T) {
	racedetector.Skip(t)
	const nodes, servers, hot, rare = 80, 60, 1, 2
	set := testSettings()
	set.WarmKeys = true
	fleet := newFleet(t, set, nodes, servers)
	rng := rand.New(rand.NewPCG(3, 3))
	count := map[uint64]map[ServerID]int{hot: {}, rare: {}}
	for round := range 200 {
		for _, r := range fleet {
			key := 10 + rng.Uint64N(400)
			switch p := rng.Float64(); {
			case p < 0.05:
				key = hot
			case p < 0.052:
				key = rare
			}
			r.next++
			r.b.Request(r.now, Request{ID: r.next, TimeLeft: 2 * time.Second, Key: key})
			if sent := r.sendsOf(r.next); round >= 100 && count[key] != nil && len(sent) > 0 {
				count[key][sent[0]]++
			}
			r.advance(50 * ms)
			r.end(r.next, OK, 20*ms)
		}
	}
	total, most := 0, 0
	for _, n := range count[hot] {
		total, most = total+n, max(most, n)
	}
	if len(count[hot]) < 9 || len(count[hot]) > 45 || most*5 > total {
		t.Errorf("hot key: at %d servers, %d of %d requests at one of them", len(count[hot]), most, total)
	}
	if len(count[rare]) > 3 {
		t.Errorf("rare key: at %d servers", len(count[rare]))
	}
}

// Guards against a key table that grows without limit.
func TestPopularityStaysBounded(t *testing.T) {
	var p popularity
	for i := range uint64(100_000) {
		p.add(i%3 + 1)
		p.add(i + 10)
		if len(p.counts) > 3*popularitySpan || p.total > 2*popularitySpan {
			t.Fatalf("%d keys, %.0f requests", len(p.counts), p.total)
		}
	}
	if share := p.share(1); share < 0.1 || share > 0.25 { // one in six
		t.Errorf("share %.2f of a key with a sixth of the requests", share)
	}
}
