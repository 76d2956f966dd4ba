package policy

import (
	"math"
	"testing"
	"time"
)

// newSparse returns a node of a tier with more nodes than servers.
func newSparse(t *testing.T) *rig {
	set := testSettings()
	set.Nodes = 100
	set.Limits.SecondCopies = false
	return newRig(t, set, 10)
}

// Guards against a node that holds its requests back because one of them is stuck: the fair
// concurrency limit of a very sparse node is below one request.
func TestStuckAttemptDoesNotBlockSparseNode(t *testing.T) {
	r := newSparse(t)
	for range 5 {
		if id := r.request(0); len(r.sendsOf(id)) != 1 {
			t.Fatalf("request %d waits behind others of this node", id)
		}
	}
}

// Guards against congestion that a limit below one request cannot prevent: late answers must lower the
// admitted share, and timely ones restore it in full.
func TestSparseNodeShedsWhileAnswersAreLateAndRecovers(t *testing.T) {
	r := newSparse(t)
	sent := func(latency time.Duration) (n int) {
		for range 100 {
			id := r.request(0)
			r.advance(50 * ms)
			if len(r.sendsOf(id)) > 0 {
				n++
				r.end(id, OK, latency)
			}
		}
		return n
	}
	if n := sent(100 * ms); n != 100 {
		t.Fatalf("%d of 100 admitted though answers are quick", n)
	}
	if n := sent(time.Second); n > 50 {
		t.Fatalf("%d of 100 admitted while answers take longer than the aim", n)
	}
	for range 3 { // 15 s
		sent(100 * ms)
	}
	if n := sent(100 * ms); n < 95 {
		t.Fatalf("%d of 100 admitted long after answers are quick again", n)
	}
}

// Guards against two controls that share a clock: the limit of a node with enough traffic never grew while
// the admission control of sparse nodes reset the time of the last step.
func TestOutcomesDoNotStopLimitGrowth(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.serve(3*minUnloadedSamples, 0, 20*ms)
	r.b.congestion = 0
	before := r.b.limit
	for range 20 {
		var ids []RequestID
		for range 12 { // some wait for room
			ids = append(ids, r.request(0))
		}
		r.advance(20 * ms)
		for _, id := range ids {
			if len(r.sendsOf(id)) > r.done[id] {
				r.end(id, OK, 20*ms)
			}
		}
	}
	if r.b.limit <= before {
		t.Fatalf("limit stays at %.2f though requests wait without congestion", r.b.limit)
	}
}

// Guards against nodes that send small servers as much as large ones because they have too little in flight to see
// the small ones become congested.
func TestSparseNodeDrawsByWeight(t *testing.T) {
	r := newSparse(t)
	entries := ready(1, 10)
	for i := range 5 {
		entries[i].Weight = 3
	}
	for i := range entries {
		entries[i].Zone = 1
	}
	r.list(ListFull, entries...)
	large := 0
	for range 400 {
		id := r.request(0)
		if r.sendsOf(id)[0] <= 5 {
			large++
		}
		r.advance(20 * ms)
		r.end(id, OK, 20*ms)
	}
	weight, heavy := 0.0, 0.0
	for _, s := range r.b.subset {
		weight += s.Weight
		if s.Server <= 5 {
			heavy += s.Weight
		}
	}
	if want := 400 * heavy / weight; math.Abs(float64(large)-want) > 30 {
		t.Fatalf("%d of 400 requests went to the servers of three times the weight, want about %.0f", large, want)
	}
}

// Guards against a breaker that never closes again where no class may be repeated: the
// trial then has to be an unsafe request.
func TestTrialIsUnsafeWhereEveryClassIs(t *testing.T) {
	set := testSettings()
	set.Classes = set.Classes[2:]
	r := newRig(t, set, 3)
	bad := r.b.ready[0]
	for range failuresToOpen {
		r.b.recordFailure(r.now, &attempt{server: bad}, false)
	}
	r.advance(bad.reopenAt - r.now)
	trial := r.request(0)
	if got := r.sendsOf(trial); len(got) != 1 || got[0] != bad.Server {
		t.Fatalf("trial went to %v, want the half-open server %d", got, bad.Server)
	}
	r.end(trial, OK, 20*ms)
	if bad.breaker != closed {
		t.Fatal("the breaker stays open after a successful trial")
	}
}

// Guards against a retry storm by many nodes when all servers reject requests.
func TestSparseNodeHasRetryBudget(t *testing.T) {
	r := newSparse(t)
	r.serve(20, 0, 20*ms)
	before := len(r.h.sends)
	for range 100 {
		id := r.request(0)
		for range 4 {
			if n := len(r.sendsOf(id)); n > r.done[id] {
				r.end(id, Full, 0)
			}
			r.advance(200 * ms)
		}
	}
	if n := len(r.h.sends) - before; n > 100+15 {
		t.Fatalf("%d sends for 100 rejected requests, want about a tenth more", n)
	}
}

// Guards against single timeouts that cost a node with few answers most of its admitted share.
func TestOneTimeoutHardlyLowersTheAdmittedShare(t *testing.T) {
	r := newSparse(t)
	for i := range 60 {
		id := r.request(0)
		r.advance(200 * ms)
		if len(r.sendsOf(id)) == 0 {
			continue
		}
		if i%15 == 14 {
			r.advance(time.Second)
			r.end(id, Timeout, 1200*ms)
			r.b.ClientGone(r.now, id)
		} else {
			r.end(id, OK, 200*ms)
		}
	}
	if r.b.admitted < 0.8 {
		t.Fatalf("admitted share %.2f with one timeout in 15 answers, the others quick", r.b.admitted)
	}
}

// Guards against warm servers overloaded by what cold ones could serve, and the reverse:
// the draw follows each server's present capacity.
func TestSparseNodeDrawsByColdShare(t *testing.T) {
	r := newSparse(t)
	entries := ready(1, 10)
	for i := range entries {
		entries[i].Zone = 1
		if i < 5 {
			entries[i].Started = r.now // at 0.2 of its capacity
		}
	}
	r.list(ListFull, entries...)
	r.b.refresh(r.now)
	r.b.candidates = append(r.b.candidates[:0], r.b.ready...)
	cold := 0
	for range 6000 {
		if r.b.drawWeighted(-1) < 5 {
			cold++
		}
	}
	if cold < 900 || cold > 1100 { // 1 of 6
		t.Fatalf("%d of 6000 draws are of the five servers at a fifth of their capacity", cold)
	}
}

// Guards against shedding requests that would be late where late answers still have worth, and against
// admitting them where the site charges as much for such work as it is worth.
func TestShedsLaterWhereLateAnswersPay(t *testing.T) {
	admitted := func(prices Prices) float64 {
		set := testSettings()
		set.Nodes = 100
		set.Classes[0].LateWorth = 0.5
		set.Prices = prices
		r := newRig(t, set, 10)
		for range 100 {
			id := r.request(0)
			r.advance(50 * ms)
			if len(r.sendsOf(id)) > 0 {
				r.end(id, OK, 500*ms) // 0.625 of the aim
			}
		}
		return r.b.admitted
	}
	if free, dear := admitted(Prices{}), admitted(Prices{Waste: 0.3, LateFail: 0.3}); free < 0.99 || dear > 0.5 {
		t.Fatalf("admitted shares %.2f without prices and %.2f with, want all and less than half", free, dear)
	}
}

// Guards against keeping overloaded servers busy: when they are three times slower, a tenth of the usual
// load keeps them busy a third of the time, and they recover only once idle.
func TestMinimumAdmittedShareLetsServersRecover(t *testing.T) {
	r := newSparse(t)
	for range 2000 {
		id := r.request(0)
		r.advance(20 * ms)
		if len(r.sendsOf(id)) > 0 {
			r.end(id, OK, 1500*ms)
		}
	}
	if r.b.admitted > 0.06 || r.b.admitted <= 0 {
		t.Fatalf("admitted share %.2f after 40 s of late answers, want about a twentieth", r.b.admitted)
	}
}

// Guards against a cold budget that becomes NaN for good: servers may start at zero capacity,
// and an empty list leaves no capacity to divide by.
func TestColdBudgetIsNeverNaN(t *testing.T) {
	r := newSparse(t)
	r.b.set.Rules.ColdFrom = 0
	r.serve(20, 0, 20*ms)
	cold := ready(1, 10)
	for i := range cold {
		cold[i].Started = r.now
	}
	r.list(ListFull)
	r.b.refresh(r.now)
	r.list(ListFull, cold...)
	for _, s := range r.b.ready {
		if r.b.coldBudget(s, r.now, 0.02) || s.coldSaved != s.coldSaved || s.coldSaved > 0.02 {
			t.Fatalf("server %d may be sent work at its very start, saved %v", s.Server, s.coldSaved)
		}
	}
	r.serve(200, 0, 50*ms)
	sends := 0
	for _, s := range r.b.ready {
		sends += len(s.inFlight) + s.judged
	}
	if sends == 0 {
		t.Fatal("nothing is sent to a fleet that started cold")
	}
}

// Guards against many nodes that each send on whatever arrives and together congest the servers, whose throughput then
// drops. Beyond its part of what servers take at a time a node queues its requests, and sheds those that wait too long.
func TestSparseNodeLimitsRequestsInFlight(t *testing.T) {
	set := testSettings()
	r := newFleet(t, set, 80, 60)[0]
	most := int(fairLimit*60/80) + 1
	for range 20 {
		r.request(0)
	}
	if n := len(r.h.sends); n < most-1 || n > most || len(r.b.queue) != 20-n {
		t.Fatalf("%d of 20 requests in flight, %d queued; want %d in flight at most", n, len(r.b.queue), most)
	}
	r.end(r.h.sends[0].id, OK, 20*ms)
	if n := len(r.h.sends); n > most+1 {
		t.Fatalf("%d sent after one answer", n)
	}
	r.advance(2 * time.Second)
	if open := len(r.b.unfinished); open > most {
		t.Fatalf("%d requests still open long after their time", open)
	}
	if r.b.verySparse() {
		t.Fatal("80 nodes over 60 servers count as too many for a limit")
	}
}

// Guards against a server overloaded by many nodes, none of which sends it enough to notice: one that rejected a
// request is avoided until the node would have used it again.
func TestSparseNodeAvoidsOverloadedServers(t *testing.T) {
	for name, c := range map[string]struct {
		status  Status
		latency time.Duration
		left    bool
	}{
		"full":  {Full, ms, true},
		"usual": {OK, 60 * ms, false},
	} {
		r := newFleet(t, testSettings(), 80, 60)[0]
		r.serve(400, 0, 50*ms)
		id := r.request(0)
		bad := r.sendsOf(id)[0]
		from := r.now
		r.end(id, c.status, c.latency)
		avoidance := r.b.avoidTime(r.now, &request{class: &r.b.classes[0]})
		if avoidance < 500*ms || avoidance > maxAvoidTime {
			t.Fatalf("%s: the server is avoided for %v", name, avoidance)
		}
		sent, back := 0, 0
		for r.now < from+20*time.Second {
			id := r.request(0)
			for _, s := range r.sendsOf(id) {
				switch {
				case s != bad:
				case r.now < from+avoidance:
					sent++
				default:
					back++
				}
			}
			r.end(id, OK, 50*ms)
			r.advance(20 * ms)
		}
		if (sent == 0) != c.left || back == 0 {
			t.Errorf("%s: %d requests sent there within %v, %d in the 20 s after", name, sent, avoidance, back)
		}
	}
}

// Guards against 80 nodes that each hold connections to all of 60 servers and use each only every few seconds, against
// subsets that load servers unevenly, and against a node that keeps using servers that are gone.
func TestSparseNodesUseSubsets(t *testing.T) {
	set := testSettings()
	set.Zone = 100 // no server's zone
	const nodes, servers, each = 80, 60, 60
	count := map[ServerID]int{}
	for i, r := range newFleet(t, set, nodes, servers) {
		r.serve(each, 0, 20*ms)
		met := map[ServerID]bool{}
		for _, s := range r.h.sends {
			met[s.server] = true
			count[s.server]++
		}
		if len(met) > servers/2 {
			t.Fatalf("node %d sends to %d servers", i, len(met))
		}
		var gone []Entry
		for _, s := range r.b.subset {
			gone = append(gone, Entry{Server: s.Server, State: Draining})
		}
		r.list(ListDelta, gone...)
		if id := r.request(0); len(r.sendsOf(id)) != 1 || len(r.b.subset) < minSubset {
			t.Fatalf("node %d keeps using servers that drain", i)
		}
	}
	for s := range ServerID(servers) {
		if n := count[s+1]; n < nodes*each/servers/2 || n > nodes*each/servers*2 {
			t.Errorf("server %d gets %d requests of %d", s+1, n, nodes*each)
		}
	}
}

// Guards against a fleet that is busy as a whole and avoids so many servers that the rest are overloaded in turn.
func TestSparseNodeAvoidsFewServersAtOnce(t *testing.T) {
	r := newFleet(t, testSettings(), 80, 60)[0]
	r.serve(100, 0, 50*ms)
	for _, s := range r.b.ready {
		s.avoidUntil = r.now + r.b.avoidTime(r.now, &request{class: &r.b.classes[0]})
	}
	r.advance(300 * ms)
	avoided := 0
	for _, s := range r.b.ready {
		if r.now < s.avoidUntil {
			avoided++
		}
	}
	if most := 60/avoidDivisor + 1; avoided == 0 || avoided > most {
		t.Errorf("%d of 60 servers are avoided", avoided)
	}
}

// Guards against slow machines that get the most because their weight, the number of cores, is the largest: the speed
// of a kind shows in the answers of all its servers, and applies to servers that this node has not used yet.
func TestSparseNodeMeasuresMachineKinds(t *testing.T) {
	r := newFleet(t, testSettings(), 80, 0)[0]
	entries := ready(1, 60)
	for i := range entries {
		if entries[i].Kind, entries[i].Weight = i%2, 2; i%2 == 1 {
			entries[i].Weight = 3
		}
	}
	r.list(ListFull, entries...)
	for range 600 {
		id := r.request(0)
		latency := 30 * ms
		if r.b.servers[r.sendsOf(id)[0]].Kind == 1 {
			latency = 90 * ms
		}
		r.advance(20 * ms)
		r.end(id, OK, latency)
	}
	r.list(ListDelta, Entry{Server: 101, Kind: 0, State: Ready, Weight: 2}, Entry{Server: 102, Kind: 1, State: Ready, Weight: 3})
	fast, slow := r.b.servers[101].capacity(), r.b.servers[102].capacity()
	if ratio := fast / slow; ratio < 1.7 || ratio > 2.3 { // 2 cores to 3, three times as fast
		t.Errorf("capacities %.2f of the fast kind, %.2f of the slow one", fast, slow)
	}
}

// Guards against sending a key on to its servers when all of them have become slow.
func TestSparseNodeMovesKeyAwayFromSlowServers(t *testing.T) {
	set := testSettings()
	set.WarmKeys = true
	r := newFleet(t, set, 80, 60)[0]
	r.serve(400, 0, 50*ms)
	jammed := map[ServerID]bool{}
	for i := range 12 {
		r.next++
		r.b.Request(r.now, Request{ID: r.next, TimeLeft: 2 * time.Second, Key: 7})
		s := r.sendsOf(r.next)[0]
		if jammed[s] {
			t.Fatalf("request %d goes back to server %d", i, s)
		}
		jammed[s] = true
		r.advance(10 * ms)
		r.end(r.next, OK, 300*ms)
	}
}

// Guards against many nodes sending copies of whatever is overdue, which is a sign of congestion.
func TestSparseNodeSendsNoSecondCopies(t *testing.T) {
	for _, nodes := range []int{1, 80} {
		r := newFleet(t, testSettings(), nodes, 60)[0]
		r.serve(100, 0, 50*ms)
		id := r.request(0)
		r.advance(600 * ms)
		if n := len(r.sendsOf(id)); (n > 1) != (nodes == 1) {
			t.Errorf("%d nodes: %d attempts of an overdue request", nodes, n)
		}
	}
}
