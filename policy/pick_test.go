package policy

import (
	"testing"
	"time"
)

// Guards against needless priced zone crossings, and against a local zone so full that
// requests wait while other zones are idle.
func TestPricedCrossingKeepsRequestsLocal(t *testing.T) {
	for _, price := range []float64{0, 0.08} {
		set := testSettings()
		set.Prices.CrossZone = price
		r := newRig(t, set, 14) // 1 to 4 are in the node's zone
		r.b.limit = 3
		far := 0
		for range 16 { // what the local ones have room for at least, without rounding up
			for _, s := range r.sendsOf(r.request(0)) {
				if s >= 5 {
					far++
				}
			}
			if r.b.crossedZone {
				break
			}
		}
		switch {
		case price == 0 && far < 4:
			t.Errorf("free crossing: %d of 16 went to other zones", far)
		case price > 0 && (far > 1 || r.b.crossedZone != (far == 1)):
			t.Errorf("priced crossing: %d went to other zones, noted %v", far, r.b.crossedZone)
		}
		if price == 0 {
			continue
		}
		for range 8 {
			if id := r.request(0); len(r.sendsOf(id)) != 1 {
				t.Fatal("a request waits for its zone though others have room")
			}
		}
		if !r.b.crossedZone {
			t.Error("crossing was not noted")
		}
	}
}

// Guards against staying in a zone whose servers fail, and against sending unsafe requests, which cannot be
// retried, to servers that fail now and then while others don't.
func TestFailingServersAreAvoided(t *testing.T) {
	for name, c := range map[string]struct {
		price   float64
		class   int
		fails   int // of ten outcomes of the local servers
		leaves  bool
		warning string
	}{
		"always":              {0.08, 0, 10, true, "a safe request goes to a server that always fails"},
		"more than the price": {0.08, 0, 2, true, "a safe request stays where more fails than crossing costs"},
		"less than the price": {0.3, 0, 2, false, "a safe request crosses for less than it costs"},
		"unsafe, dear":        {0.3, 2, 2, true, "an unsafe request goes where one in five fails"},
		"unsafe, free":        {0, 2, 2, true, "an unsafe request goes where one in five fails"},
	} {
		set := testSettings()
		set.Prices.CrossZone = c.price
		r := newRig(t, set, 14)
		for _, s := range r.b.ready {
			for i := range 80 {
				s.record(r.now, !s.local || i%10 >= c.fails, 1)
			}
		}
		for range 8 {
			id := r.request(c.class)
			if s := r.sendsOf(id)[0]; (s >= 5) != c.leaves {
				t.Errorf("%s: %s (server %d)", name, c.warning, s)
			}
			r.end(id, OK, 10*ms)
		}
	}
}

// Guards against a limit that stays at one request per server because servers of other zones have room, so that
// requests cross zones that idle local servers could have served.
func TestLimitGrowsWhenLocalZoneIsFull(t *testing.T) {
	r, b := newLimitRig(t)
	b.queue = nil
	before, known := b.limit, b.goodLimit
	for i := range time.Duration(20) {
		b.crossedZone = true // as a send would note it
		adjustFor(b, r.now+i*10*ms, 10*ms, 0)
	}
	if b.limit <= before || b.crossedZone {
		t.Fatalf("limit changed from %v to %v, crossing still noted: %v", before, b.limit, b.crossedZone)
	}
	if b.goodLimit != known {
		t.Fatal("the limit counts as known good though the fleet was not full")
	}
}

// Guards against small servers that hold as much as large ones, and large ones that idle.
func TestLimitFollowsServerSize(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 0)
	entries := ready(1, 2)
	entries[0].Weight, entries[1].Weight = 3, 1
	r.list(ListFull, entries...)
	r.b.limit = 4
	held := map[ServerID]int{}
	for range 20 {
		for _, s := range r.sendsOf(r.request(0)) {
			held[s]++
		}
	}
	if held[1] != 6 || held[2] != 2 {
		t.Fatalf("servers of sizes 3 and 1 hold %v", held)
	}
}

// Guards against sending heavy requests to servers too slow for them while fast ones have room.
func TestHeavyRequestsAvoidSlowServers(t *testing.T) {
	r := newRig(t, testSettings(), 6)
	send := func(hint time.Duration) ServerID {
		r.now += ms
		r.next++
		r.b.Request(r.now, Request{ID: r.next, TimeLeft: 2 * time.Second, Hint: hint})
		s := r.sendsOf(r.next)[0]
		if s == 3 {
			r.end(r.next, OK, hint)
		} else {
			r.end(r.next, OK, 5*hint)
		}
		return s
	}
	others := 0
	for range 200 {
		if send(50*ms) != 3 {
			others++
		}
	}
	if others == 0 {
		t.Error("no light request went to a slow server")
	}
	for i := range 4 { // few, so that the mean hint stays
		if s := send(200 * ms); s != 3 {
			t.Fatalf("heavy request %d went to server %d, too slow for it", i, s)
		}
	}
}

// Guards against the collapse of servers with long queues: when nearly all answers are late, the few timely ones
// do not show the congestion, so timeouts have to. A server that answers nobody shows nothing either.
func TestTimeoutsAtRespondingServersCountAsCongestion(t *testing.T) {
	for _, answers := range []bool{true, false} {
		set := testSettings()
		set.Limits.SecondCopies = false
		r := newRig(t, set, 1)
		s := r.b.ready[0]
		r.b.classes[0].baseline, s.unloadedSamples, r.b.congestedBefore, r.b.typicalLatency = 0.1, 4, true, 0.1
		r.b.limit, r.b.unloadedSamples = 8, minUnloadedSamples
		for range 200 {
			id := r.request(0)
			r.advance(900 * ms)
			if answers {
				s.answeredAt = r.now
			}
			r.end(id, Timeout, 900*ms)
			s.breaker, r.b.notClosed = closed, nil
		}
		if crowd := r.b.congestion > congestionTarget; crowd != answers || (r.b.limit < 8) != answers {
			t.Errorf("server answers others %v: congestion %.2f, limit %.2f", answers, r.b.congestion, r.b.limit)
		}
	}
}
