package policy

import (
	"math"
	"testing"
	"time"
)

// newThin is a node of a bank that outnumbers its servers.
func newThin(t *testing.T) *rig {
	set := testSettings()
	set.Nodes = 100
	set.Limits.SecondCopies = false
	return newRig(t, set, 10)
}

// Guards against a node that holds its requests back because one of them is stuck: the
// fair bound in flight of a thin node is below one request.
func TestStuckAttemptDoesNotBlockAThinNode(t *testing.T) {
	r := newThin(t)
	for range 5 {
		if id := r.request(0); len(r.sendsOf(id)) != 1 {
			t.Fatalf("request %d is held behind others of this node", id)
		}
	}
}

// Guards against a crowd that thin nodes cannot bound in flight: late answers must lower
// the share that goes out, and timely ones bring all of it back.
func TestThinNodeShedsWhileAnswersAreLateAndRecovers(t *testing.T) {
	r := newThin(t)
	sent := func(latency time.Duration) (n int) {
		for range 100 {
			id := r.request(0)
			r.pass(50 * ms)
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

// Guards against the two controls sharing a clock: the bound of a node that sees enough
// never grew while the thin node's control moved the time of the last step.
func TestOutcomesLeaveTheBoundToSteer(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.serve(3*loneNeeded, 0, 20*ms)
	r.b.crowding = 0
	before := r.b.limit
	for range 20 {
		var ids []RequestID
		for range 12 { // some wait for room
			ids = append(ids, r.request(0))
		}
		r.pass(20 * ms)
		for _, id := range ids {
			if len(r.sendsOf(id)) > r.done[id] {
				r.end(id, OK, 20*ms)
			}
		}
	}
	if r.b.limit <= before {
		t.Fatalf("bound stays at %.2f though requests wait and servers are not crowded", r.b.limit)
	}
}

// Guards against small servers that are sent as much as large ones by nodes that have too
// little in flight to see them crowd.
func TestThinNodeDrawsByWeight(t *testing.T) {
	r := newThin(t)
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
		r.pass(20 * ms)
		r.end(id, OK, 20*ms)
	}
	weight, heavy := 0.0, 0.0
	for _, s := range r.b.mine {
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
// trial is then an unsafe request.
func TestTrialIsUnsafeWhereEveryClassIs(t *testing.T) {
	set := testSettings()
	set.Classes = set.Classes[2:]
	r := newRig(t, set, 3)
	bad := r.b.ready[0]
	for range failuresToOpen {
		r.b.failed(r.now, &attempt{server: bad}, false)
	}
	r.pass(bad.reopenAt - r.now)
	trial := r.request(0)
	if got := r.sendsOf(trial); len(got) != 1 || got[0] != bad.Server {
		t.Fatalf("trial went to %v, want the half-open server %d", got, bad.Server)
	}
	r.end(trial, OK, 20*ms)
	if bad.breaker != closed {
		t.Fatal("the breaker stays open after a good trial")
	}
}

// Guards against a storm of retries by many nodes when all servers turn requests away.
func TestThinNodeHasARetryBudget(t *testing.T) {
	r := newThin(t)
	r.serve(20, 0, 20*ms)
	before := len(r.h.sends)
	for range 100 {
		id := r.request(0)
		for range 4 {
			if n := len(r.sendsOf(id)); n > r.done[id] {
				r.end(id, Full, 0)
			}
			r.pass(200 * ms)
		}
	}
	if n := len(r.h.sends) - before; n > 100+15 {
		t.Fatalf("%d sends for 100 requests that were turned away, want about a tenth more", n)
	}
}

// Guards against single time-outs that cost a node with few answers most of its share.
func TestOneTimeoutHardlyLowersTheAdmittedShare(t *testing.T) {
	r := newThin(t)
	for i := range 60 {
		id := r.request(0)
		r.pass(200 * ms)
		if len(r.sendsOf(id)) == 0 {
			continue
		}
		if i%15 == 14 {
			r.pass(time.Second)
			r.end(id, Timeout, 1200*ms)
			r.b.Left(r.now, id)
		} else {
			r.end(id, OK, 200*ms)
		}
	}
	if r.b.admitted < 0.8 {
		t.Fatalf("admitted share %.2f with one time-out in 15 answers, the others quick", r.b.admitted)
	}
}

// Guards against warm servers crushed by what cold ones could carry, and the other way:
// the draw follows what a server can do now.
func TestThinNodeDrawsByColdShare(t *testing.T) {
	r := newThin(t)
	entries := ready(1, 10)
	for i := range entries {
		entries[i].Zone = 1
		if i < 5 {
			entries[i].Started = r.now // at 0.2 of its capacity
		}
	}
	r.list(ListFull, entries...)
	r.b.refresh(r.now)
	r.b.choices = append(r.b.choices[:0], r.b.ready...)
	cold := 0
	for range 6000 {
		if r.b.draw(-1) < 5 {
			cold++
		}
	}
	if cold < 900 || cold > 1100 { // 1 of 6
		t.Fatalf("%d of 6000 draws are of the five servers at a fifth of their capacity", cold)
	}
}

// Guards against shedding what would be late where late answers still pay, and against
// letting it through where the site charges for such work as much as it is worth.
func TestShedsLaterWhereLateAnswersPay(t *testing.T) {
	admitted := func(prices Prices) float64 {
		set := testSettings()
		set.Nodes = 100
		set.Classes[0].LateWorth = 0.5
		set.Prices = prices
		r := newRig(t, set, 10)
		for range 100 {
			id := r.request(0)
			r.pass(50 * ms)
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

// Guards against keeping choked servers at work: three times slower, a tenth of the usual
// load leaves them a third busy, and they recover only once they rest.
func TestFloorOfTheAdmittedShareLetsServersRest(t *testing.T) {
	r := newThin(t)
	for range 2000 {
		id := r.request(0)
		r.pass(20 * ms)
		if len(r.sendsOf(id)) > 0 {
			r.end(id, OK, 1500*ms)
		}
	}
	if r.b.admitted > 0.06 || r.b.admitted <= 0 {
		t.Fatalf("admitted share %.2f after 40 s of late answers, want about a twentieth", r.b.admitted)
	}
}

// Guards against a cold part that is not a number for good: servers may start at nothing,
// and an empty list leaves no capacity to divide by.
func TestColdPartIsANumberWithoutCapacity(t *testing.T) {
	r := newThin(t)
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
		sends += len(s.out) + s.kept
	}
	if sends == 0 {
		t.Fatal("nothing is sent to a fleet that started cold")
	}
}

// Guards against a crowd of nodes that each send on whatever comes: all together they fill the servers, which then get
// less done. Beyond its part of what servers take at a time a node holds its requests, and sheds what waits too long.
func TestThinNodeBoundsWhatItHasInFlight(t *testing.T) {
	set := testSettings()
	r := newFleet(t, set, 80, 60)[0]
	most := int(fairStart*60/80) + 1
	for range 20 {
		r.request(0)
	}
	if n := len(r.h.sends); n < most-1 || n > most || len(r.b.held) != 20-n {
		t.Fatalf("%d of 20 requests out, %d held; want %d out at most", n, len(r.b.held), most)
	}
	r.end(r.h.sends[0].id, OK, 20*ms)
	if n := len(r.h.sends); n > most+1 {
		t.Fatalf("%d sent after one answer", n)
	}
	r.pass(2 * time.Second)
	if open := len(r.b.open); open > most {
		t.Fatalf("%d requests still open long after their time", open)
	}
	if r.b.scant() {
		t.Fatal("80 nodes over 60 servers count as too many for a bound")
	}
}

// Guards against a server that is overrun by many nodes, none of which sends it enough to see that: one that turned a
// request away is left alone until the node would have met it again.
func TestThinNodeLeavesOverrunServersAlone(t *testing.T) {
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
		meeting := r.b.meeting(r.now, &request{class: &r.b.classes[0]})
		if meeting < 500*ms || meeting > meetingMost {
			t.Fatalf("%s: a meeting takes %v", name, meeting)
		}
		sent, back := 0, 0
		for r.now < from+20*time.Second {
			id := r.request(0)
			for _, s := range r.sendsOf(id) {
				switch {
				case s != bad:
				case r.now < from+meeting:
					sent++
				default:
					back++
				}
			}
			r.end(id, OK, 50*ms)
			r.pass(20 * ms)
		}
		if (sent == 0) != c.left || back == 0 {
			t.Errorf("%s: %d requests sent there within %v, %d in the 20 s after", name, sent, meeting, back)
		}
	}
}

// Guards against 80 nodes that each hold connections to all of 60 servers and meet each every few seconds only, against
// servers that get much more or less than others by it, and against a node that keeps to servers that are gone.
func TestThinNodesKeepToSubsets(t *testing.T) {
	set := testSettings()
	set.Zone = 100 // none of the servers'
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
		for _, s := range r.b.mine {
			gone = append(gone, Entry{Server: s.Server, State: Draining})
		}
		r.list(ListDelta, gone...)
		if id := r.request(0); len(r.sendsOf(id)) != 1 || len(r.b.mine) < subsetLeast {
			t.Fatalf("node %d keeps to servers that drain", i)
		}
	}
	for s := range ServerID(servers) {
		if n := count[s+1]; n < nodes*each/servers/2 || n > nodes*each/servers*2 {
			t.Errorf("server %d gets %d requests of %d", s+1, n, nodes*each)
		}
	}
}

// Guards against a fleet that is busy all over and shuns so many servers that the rest are overrun in turn.
func TestThinNodeShunsFewServersAtOnce(t *testing.T) {
	r := newFleet(t, testSettings(), 80, 60)[0]
	r.serve(100, 0, 50*ms)
	for _, s := range r.b.ready {
		s.fullUntil = r.now + r.b.meeting(r.now, &request{class: &r.b.classes[0]})
	}
	r.pass(300 * ms)
	left := 0
	for _, s := range r.b.ready {
		if r.now < s.fullUntil {
			left++
		}
	}
	if most := 60/leftMost + 1; left == 0 || left > most {
		t.Errorf("%d of 60 servers are left alone", left)
	}
}

// Guards against slow machines that count for most because their weight, the cores, is the largest: what a kind can do
// shows in the answers of all its servers, also at one that this node has not met.
func TestThinNodeKnowsKindsByTheirAnswers(t *testing.T) {
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
		r.pass(20 * ms)
		r.end(id, OK, latency)
	}
	r.list(ListDelta, Entry{Server: 101, Kind: 0, State: Ready, Weight: 2}, Entry{Server: 102, Kind: 1, State: Ready, Weight: 3})
	fast, slow := r.b.servers[101].capacity(), r.b.servers[102].capacity()
	if ratio := fast / slow; ratio < 1.7 || ratio > 2.3 { // 2 cores to 3, three times as fast
		t.Errorf("capacities %.2f of the fast kind, %.2f of the slow one", fast, slow)
	}
}

// Guards against a key whose servers are jammed one like the other, and which goes on going there.
func TestThinNodeTakesAKeyAwayFromJammedServers(t *testing.T) {
	set := testSettings()
	set.WarmKeys = true
	r := newFleet(t, set, 80, 60)[0]
	r.serve(400, 0, 50*ms)
	jammed := map[ServerID]bool{}
	for i := range 12 {
		r.next++
		r.b.Request(r.now, Request{ID: r.next, Left: 2 * time.Second, Key: 7})
		s := r.sendsOf(r.next)[0]
		if jammed[s] {
			t.Fatalf("request %d goes back to server %d", i, s)
		}
		jammed[s] = true
		r.pass(10 * ms)
		r.end(r.next, OK, 300*ms)
	}
}

// Guards against copies that many nodes make of whatever is overdue, which is a crowd's doing.
func TestThinNodeSendsNoSecondCopies(t *testing.T) {
	for _, nodes := range []int{1, 80} {
		r := newFleet(t, testSettings(), nodes, 60)[0]
		r.serve(100, 0, 50*ms)
		id := r.request(0)
		r.pass(600 * ms)
		if n := len(r.sendsOf(id)); (n > 1) != (nodes == 1) {
			t.Errorf("%d nodes: %d attempts of an overdue request", nodes, n)
		}
	}
}
