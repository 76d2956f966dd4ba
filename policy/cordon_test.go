package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"otterstep/internal/standin/racedetector"
)

// Checks cordons against a plain model: whatever the list says, nothing is sent to a server between Cordon and
// Uncordon, over 50 seeds of lists, requests and outcomes.
func TestCordonedServersGetNothing(t *testing.T) {
	racedetector.Skip(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 9))
		h := newHost()
		set := testSettings()
		set.Rules.ColdFor, set.Nodes = 5*time.Second, 1+rng.IntN(20)
		b, err := New(set, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		const servers = 6
		entry := func(i int) Entry {
			e := Entry{Server: ServerID(i + 1), State: Ready, Weight: 1, Started: time.Duration(rng.IntN(3)) * time.Second}
			if rng.IntN(4) == 0 {
				e.State = State(rng.IntN(3))
			}
			return e
		}
		full := func() {
			var all []Entry
			for i := range servers {
				if rng.IntN(5) > 0 {
					all = append(all, entry(i))
				}
			}
			b.UpdateServers(now, ListFull, all)
		}
		full()
		cordoned := map[ServerID]bool{}
		seen := 0
		attempts := map[RequestID]int{}
		for id := RequestID(1); id < 1500; id++ {
			now += time.Duration(rng.IntN(20)) * time.Millisecond
			switch rng.IntN(8) {
			case 0:
				s := ServerID(1 + rng.IntN(servers))
				b.Cordon(now, s)
				cordoned[s] = true
			case 1:
				s := ServerID(1 + rng.IntN(servers))
				b.Uncordon(now, s, now)
				delete(cordoned, s)
			case 2:
				b.UpdateServers(now, ListDelta, []Entry{entry(rng.IntN(servers))})
			case 3:
				full()
			}
			b.Request(now, Request{ID: id, Class: rng.IntN(len(set.Classes)), TimeLeft: time.Second})
			b.Timer(now, tokenSweep)
			for ; seen < len(h.sends); seen++ {
				s := h.sends[seen]
				if cordoned[s.server] {
					t.Fatalf("seed %d: request %d went to server %d, which is cordoned", seed, s.id, s.server)
				}
				status := []Status{OK, OK, OK, Error, Full, ConnectFailed}[rng.IntN(6)]
				b.Outcome(now, Outcome{
					ID: s.id, Attempt: attempts[s.id], Server: s.server, Status: status, Ended: status == OK, Latency: 10 * ms,
				})
				attempts[s.id]++
			}
		}
		if len(cordoned) < servers && seen == 0 {
			t.Errorf("seed %d: nothing was sent at all", seed)
		}
	}
}

// An uncordoned server counts as cold even if the list has not reported a restart, and is used at once: the
// next request that its budget allows is its trial.
func TestUncordonedServerIsColdAndTriedAtOnce(t *testing.T) {
	set := testSettings()
	set.Classes = set.Classes[:1]
	r := newRig(t, set, 8)
	r.serve(400, 0, 10*ms)
	r.b.Cordon(r.now, 3)
	r.b.Cordon(r.now, 3)
	r.advance(4 * time.Second)
	before := len(r.h.sends)
	r.serve(400, 0, 10*ms)
	r.b.Uncordon(r.now, 3, r.now)
	s := r.b.servers[3]
	if share := r.b.coldShare(s, r.now); share != set.Rules.ColdFrom {
		t.Errorf("counts as %v of its capacity, want %v", share, set.Rules.ColdFrom)
	}
	for _, sent := range r.h.sends[before:] {
		if sent.server == 3 {
			t.Fatal("cordoned server was sent a request")
		}
	}
	before = len(r.h.sends)
	r.serve(200, 0, 10*ms) // two seconds
	trial, used := false, 0
	for _, sent := range r.h.sends[before:] {
		if sent.server == 3 {
			used++
		}
	}
	trial = s.breaker == closed
	if used == 0 || !trial {
		t.Errorf("two seconds after the uncordon it was used %d times, trial passed: %v", used, trial)
	}
	if used > 200*3/8 {
		t.Errorf("a cold server was sent %d of 200 requests", used)
	}
}

// A restart that the list reported while the server was cordoned, and that is long past, leaves it warm.
func TestUncordonedServerMayBeWarm(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	r.b.Cordon(r.now, 2)
	r.advance(time.Second)
	e := ready(2, 2)
	e[0].Started = r.now
	r.list(ListDelta, e...)
	r.advance(20 * time.Second)
	r.b.Uncordon(r.now, 2, r.now)
	if share := r.b.coldShare(r.b.servers[2], r.now); share != 1 {
		t.Errorf("counts as %v of its capacity, want 1", share)
	}
	r.b.Uncordon(r.now, 1, r.now) // never cordoned: nothing changes
	if s := r.b.servers[1]; s.breaker != closed || s.cordon != (cordonState{}) {
		t.Errorf("%+v", s.cordon)
	}
}

// With all servers cordoned, new and queued requests are refused at once.
func TestAllServersCordoned(t *testing.T) {
	r := newRig(t, testSettings(), 2)
	r.b.Cordon(r.now, 1)
	r.b.Cordon(r.now, 2)
	id := r.request(0)
	if _, refused := r.h.refused[id]; !refused {
		t.Error("not refused at once")
	}
	r.list(ListFull, ready(1, 2)...)
	if id = r.request(0); len(r.sendsOf(id)) > 0 {
		t.Error("a list undid the cordons")
	}
	r.b.Uncordon(r.now, 1, r.now)
	before := len(r.h.sends)
	r.serve(300, 0, 10*ms)
	if len(r.h.sends) == before {
		t.Error("not served after the uncordon")
	}
}

// The record of an uncordoned server is dropped once the server is warm.
func TestUncordonedServersAreForgotten(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for id := range ServerID(1000) {
		r.b.Cordon(r.now, id)
		r.b.Uncordon(r.now, id, r.now)
		r.advance(time.Second)
	}
	if n := len(r.b.cordons); n > 12 {
		t.Errorf("%d of 1,000 uncordoned servers are still recorded", n)
	}
}

// A full list removes servers that it does not name, draining ones included.
func TestFullListForgetsDrainingServers(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	e := ready(2, 2)
	e[0].State = Draining
	r.list(ListDelta, e...)
	r.list(ListFull, ready(3, 4)...)
	if n := len(r.b.servers); n != 2 {
		t.Errorf("%d servers are kept from a list of 2", n)
	}
}
