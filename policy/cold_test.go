package policy

import (
	"math"
	"testing"
	"time"

	"otterstep/internal/standin/racedetector"
)

// Guards against several nodes, each on its own, overloading a cold server: a plain model of one cold server
// of unknown size, and nodes that send whatever maySend allows. In no window may the work sent exceed the
// multiple of what the server can do in it, and its capacity must be found within seconds, whatever its size.
func TestColdServersAreNotOverloaded(t *testing.T) {
	racedetector.Skip(t)
	for _, size := range []float64{0.5, 2, 8, 32} {
		if over, did := simulateColdServer(t, size, usualLoad, ListFull, func(e *Entry, now time.Duration) { e.Started = now }); over > 0 || did < 0.8 {
			t.Errorf("size %v: sent %.3f s of work too much in a window; after four seconds it does %.2f of what it can", size, over, did)
		}
	}
}

// A server known from before as long running may have just restarted together with all others: while it is
// unconfirmed it is sent only what a cold one can do, and more as it answers. Nodes that trust the old list
// overload it.
func TestUnconfirmedServersAreNotOverloaded(t *testing.T) {
	racedetector.Skip(t)
	for _, size := range []float64{0.5, 2, 8, 32} {
		if over, did := simulateColdServer(t, size, usualLoad, ListCached, func(e *Entry, _ time.Duration) { e.Unconfirmed = true }); over > 0 || did < 0.5 {
			t.Errorf("size %v: sent %.3f s of work too much in a window; after four seconds it does %.2f of what it can", size, over, did)
		}
	}
	if over, _ := simulateColdServer(t, 0.5, usualLoad, ListCached, func(*Entry, time.Duration) {}); over <= 0 {
		t.Error("nodes that trust the old list overload no server")
	}
}

// offeredLoad is a number of nodes and the demand on them, as a share of what the servers can do warm.
type offeredLoad struct {
	nodes int
	part  float64
}

var usualLoad = offeredLoad{3, 0.1}

// Nodes that restart together, fewer or more than servers, may face a demand of many times what the servers can
// do, and know nothing of the servers' size: together they send no more than a cold one can do. That still holds
// once discovery has reported the start times, as long as no server is warm.
func TestRecoveryUnderOverloadDoesNotOverloadServers(t *testing.T) {
	for _, a := range []offeredLoad{{3, 5}, {12, 5}, {12, 50}} {
		for _, size := range []float64{0.5, 2, 8} {
			over, did := simulateColdServer(t, size, a, ListCached, func(e *Entry, _ time.Duration) { e.Unconfirmed = true })
			if over > 0 || did < 0.2 {
				t.Errorf("%+v, size %v: sent %.3f s of work too much in a window; after four seconds it does %.2f of what it can", a, size, over, did)
			}
		}
	}
}

// simulateColdServer simulates nodes that receive a list of four servers in the given way, all at once and as the
// servers start, and the work of one server. It returns the most work sent to it in a window beyond what it
// can do, in seconds, and the share of what it could do that it did from the fourth to the sixth second.
func simulateColdServer(t *testing.T, size float64, a offeredLoad, kind ListKind, setEntry func(e *Entry, now time.Duration)) (excess, utilization float64) {
	const tick, work = 2 * ms, 0.02 // seconds of work per request
	set := testSettings()
	set.Rules.FallMultiple, set.Nodes = 2, a.nodes
	rules := set.Rules
	var nodes []*rig
	for seed := range set.Nodes {
		h := newHost()
		b, err := New(set, uint64(seed), h)
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, b: b, h: h, now: time.Hour, done: map[RequestID]int{}}
		e := ready(1, 4)
		for i := range e {
			setEntry(&e[i], r.now)
		}
		r.list(kind, e...)
		b.classes[0].unloaded, b.limit = work-0.001, 1000
		nodes = append(nodes, r)
	}
	type job struct {
		node *rig
		id   RequestID
		at   time.Duration
		left float64
	}
	var queue []job
	var sent, could []float64 // by tick
	did, possible := 0.0, 0.0 // from the fourth to the sixth second
	for now := time.Hour; now < time.Hour+rules.ColdFor; now += tick {
		share := rules.ColdFrom + (1-rules.ColdFrom)*(now-time.Hour).Seconds()/rules.ColdFor.Seconds()
		capacity := size * share * tick.Seconds()
		could, sent = append(could, capacity), append(sent, 0)
		later := now >= time.Hour+4*time.Second && now < time.Hour+6*time.Second
		if later {
			possible += capacity
		}
		for capacity > 0 && len(queue) > 0 {
			j := &queue[0]
			done := min(capacity, j.left)
			if capacity -= done; later {
				did += done
			}
			if j.left -= done; j.left <= 1e-12 {
				j.node.now = now
				j.node.end(j.id, OK, now-j.at)
				queue = queue[1:]
			}
		}
		for _, r := range nodes {
			r.now = now
			r.b.demand.add(now, a.part*size*4/float64(set.Nodes)*tick.Seconds())
			if now == time.Hour+3*time.Second && kind == ListCached && a != usualLoad { // discovery is back
				e := ready(1, 4)
				for i := range e {
					e[i].Started = time.Hour
				}
				r.list(ListFull, e...)
				r.b.classes[0].unloaded, r.b.limit = work-0.001, 1000
			}
			for range 200 {
				r.next++
				q := r.b.newRequest(Request{ID: r.next, TimeLeft: time.Hour}, &r.b.classes[0])
				q.deadline = now + time.Hour
				s := r.b.servers[1]
				if !r.b.maySend(now, q, s) {
					r.b.closeRequest(q)
					break
				}
				r.b.send(now, q, s)
				queue = append(queue, job{r, q.ID, now, work})
				sent[len(sent)-1] += work
			}
			if len(queue) > 20_000 { // already far beyond overload
				return math.Inf(1), 0
			}
		}
	}
	window := int(rules.FallFor / tick)
	for from := 0; from+window <= len(sent); from++ {
		s, c := 0.0, 0.0
		for i := from; i < from+window; i++ {
			s += sent[i]
			c += could[i]
		}
		// Each node starts with a request or two, before it knows anything.
		excess = max(excess, s-rules.FallMultiple*c-float64(set.Nodes)*2*work)
	}
	return excess, did / possible
}

// Guards against breakers that stay open long after a fault of all servers has passed.
func TestBreakersRecoverTogetherAfterSharedFault(t *testing.T) {
	for _, failing := range []int{10, 4} { // of ten
		r := newRig(t, testSettings(), 10)
		for _, s := range r.b.ready[:failing] {
			for range failuresToOpen {
				r.b.recordFailure(r.now, &attempt{server: s}, false)
			}
			s.openFor, s.reopenAt = openMax, r.now+openMax
		}
		first := r.b.ready[0]
		first.breaker, first.trial = halfOpen, &attempt{server: first}
		r.b.recordSuccess(r.now, first.trial)
		soon := 0
		for _, s := range r.b.notClosed {
			if s.reopenAt <= r.now+openInitial {
				soon++
			}
		}
		if want := map[int]int{10: 9, 4: 0}[failing]; soon != want || len(r.b.notClosed) != failing-1 {
			t.Errorf("%d of ten failed: %d trials come soon, want %d; %d are out", failing, soon, want, len(r.b.notClosed))
		}
	}
}

// Guards against baselines measured while a whole tier starts cold: with ten times the unloaded latency as
// the baseline, nodes filled the queues of warm servers and kept raising their limits.
func TestColdLatenciesAreNoBaselineForWarmServers(t *testing.T) {
	set := testSettings()
	set.Rules.ColdFrom = 0.1
	r := newRig(t, set, 0)
	r.now = time.Hour
	e := ready(1, 4)
	for i := range e {
		e[i].Started = r.now
	}
	r.list(ListFull, e...)
	b := r.b
	answer := func(took time.Duration, lone bool) {
		for _, s := range b.ready {
			b.recordLatency(&attempt{server: s, sentAt: r.now, unloaded: lone}, &request{class: &b.classes[0]}, took.Seconds())
		}
	}
	for range minUnloadedSamples {
		answer(200*ms, true) // 20 ms of work
	}
	r.now += set.Rules.ColdFor
	for range 200 {
		answer(100*ms, false)
	}
	if b.congestion <= congestionTarget {
		t.Errorf("warm servers that take five times the unloaded latency show a congestion of only %.2f, the target is %.2f", b.congestion, congestionTarget)
	}
}
