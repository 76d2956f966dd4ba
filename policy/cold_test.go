package policy

import (
	"math"
	"testing"
	"time"

	"otterstep/internal/standin/racing"
)

// Guards against pushing a server over that several nodes find out about on their own: a
// plain model of one cold server, whose size nobody is told, and nodes that send whatever
// their gates let through. In no window may the work sent exceed the multiple of what the
// server can do in it; and it must be found out in a few seconds, however large it is.
func TestColdServersEarnNoMoreThanTheyBear(t *testing.T) {
	racing.Skip(t)
	for _, size := range []float64{0.5, 2, 8, 32} {
		if over, did := pushCold(t, size, usual, ListFull, func(e *Entry, now time.Duration) { e.Started = now }); over > 0 || did < 0.8 {
			t.Errorf("size %v: sent %.3f too much in a window; after four seconds it does %.2f of what it can", size, over, did)
		}
	}
}

// A server that a node knows from before, as one that started long ago, may have just started anew with
// all others: as long as it is doubted it is sent what it bears, and more as it proves. Nodes that believe
// the list of before push it over.
func TestDoubtedServersBearWhatTheyAreSent(t *testing.T) {
	racing.Skip(t)
	for _, size := range []float64{0.5, 2, 8, 32} {
		if over, did := pushCold(t, size, usual, ListCached, func(e *Entry, _ time.Duration) { e.Doubted = true }); over > 0 || did < 0.5 {
			t.Errorf("size %v: sent %.3f too much in a window; after four seconds it does %.2f of what it can", size, over, did)
		}
	}
	if over, _ := pushCold(t, 0.5, usual, ListCached, func(*Entry, time.Duration) {}); over <= 0 {
		t.Error("nodes that believe a list of before push nobody over")
	}
}

// asking is how many nodes are asked for how much, as a part of what the servers can do warm.
type asking struct {
	nodes int
	part  float64
}

var usual = asking{3, 0.1}

// Nodes that come back together, fewer or more than servers, may be asked for many times what the servers can
// do, and know nothing of their size: all together they send no more than a cold one bears. Once discovery has
// said when they started that is so still, as long as none is warm.
func TestOverloadPushesNoServerOverOnTheWayBack(t *testing.T) {
	for _, a := range []asking{{3, 5}, {12, 5}, {12, 50}} {
		for _, size := range []float64{0.5, 2, 8} {
			over, did := pushCold(t, size, a, ListCached, func(e *Entry, _ time.Duration) { e.Doubted = true })
			if over > 0 || did < 0.2 {
				t.Errorf("%+v, size %v: sent %.3f too much in a window; after four seconds it does %.2f of what it can", a, size, over, did)
			}
		}
	}
}

// pushCold plays nodes that learn of four servers in the way given, all at once and as the servers
// start, and one server's work. It gives the most that was sent to it in a window beyond what it bears, in
// seconds of work, and the share of what it could do that it did from the fourth second to the sixth.
func pushCold(t *testing.T, size float64, a asking, kind ListKind, line func(e *Entry, now time.Duration)) (over, does float64) {
	const tick, work = 2 * ms, 0.02 // seconds of work of a request
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
			line(&e[i], r.now)
		}
		r.list(kind, e...)
		b.classes[0].lone, b.limit = work-0.001, 1000
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
	did, possible := 0.0, 0.0 // from the fourth second to the sixth
	for now := time.Hour; now < time.Hour+rules.ColdFor; now += tick {
		share := rules.ColdFrom + (1-rules.ColdFrom)*(now-time.Hour).Seconds()/rules.ColdFor.Seconds()
		able := size * share * tick.Seconds()
		could, sent = append(could, able), append(sent, 0)
		later := now >= time.Hour+4*time.Second && now < time.Hour+6*time.Second
		if later {
			possible += able
		}
		for able > 0 && len(queue) > 0 {
			j := &queue[0]
			done := min(able, j.left)
			if able -= done; later {
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
			if now == time.Hour+3*time.Second && kind == ListCached && a != usual { // discovery is back
				e := ready(1, 4)
				for i := range e {
					e[i].Started = time.Hour
				}
				r.list(ListFull, e...)
				r.b.classes[0].lone, r.b.limit = work-0.001, 1000
			}
			for range 200 {
				r.next++
				q := r.b.newRequest(Request{ID: r.next, Left: time.Hour}, &r.b.classes[0])
				q.end = now + time.Hour
				s := r.b.servers[1]
				if !r.b.maySend(now, q, s) {
					r.b.close(q)
					break
				}
				r.b.send(now, q, s)
				queue = append(queue, job{r, q.ID, now, work})
				sent[len(sent)-1] += work
			}
			if len(queue) > 20_000 { // it is long since over
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
		// Each node begins with a request or two, before it knows anything.
		over = max(over, s-rules.FallMultiple*c-float64(set.Nodes)*2*work)
	}
	return over, did / possible
}

// Guards against breakers that stay open for long after a fault of all servers has passed.
func TestSharedFaultsEndTogether(t *testing.T) {
	for _, failing := range []int{10, 4} { // of ten
		r := newRig(t, testSettings(), 10)
		for _, s := range r.b.ready[:failing] {
			for range failuresToOpen {
				r.b.failed(r.now, &attempt{server: s}, false)
			}
			s.openFor, s.reopenAt = openMost, r.now+openMost
		}
		first := r.b.ready[0]
		first.breaker, first.trial = halfOpen, &attempt{server: first}
		r.b.succeeded(r.now, first.trial)
		soon := 0
		for _, s := range r.b.opened {
			if s.reopenAt <= r.now+openFirst {
				soon++
			}
		}
		if want := map[int]int{10: 9, 4: 0}[failing]; soon != want || len(r.b.opened) != failing-1 {
			t.Errorf("%d of ten failed: %d trials come soon, want %d; %d are out", failing, soon, want, len(r.b.opened))
		}
	}
}

// Guards against yardsticks that a tier's cold start leaves behind: with ten times the
// latency taken for a lone one's, nodes filled the queues of warm servers and asked for more.
func TestColdLatenciesAreNoYardstickOfWarmServers(t *testing.T) {
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
			b.measure(&attempt{server: s, sent: r.now, lone: lone}, &request{class: &b.classes[0]}, took.Seconds())
		}
	}
	for range loneNeeded {
		answer(200*ms, true) // 20 ms of work
	}
	r.now += set.Rules.ColdFor
	for range 200 {
		answer(100*ms, false)
	}
	if b.crowding <= crowdingAim {
		t.Errorf("warm servers that take five times a lone request's time pass for crowded by %.2f only, %.2f is the aim", b.crowding, crowdingAim)
	}
}
