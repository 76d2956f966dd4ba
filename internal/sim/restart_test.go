package sim

import (
	"testing"
	"time"

	"otterstep/internal/clientretry"
	"otterstep/internal/rulecheck"
	"otterstep/internal/standin/racedetector"
)

// powerCut kills all nodes and servers 5 s into the run, while discovery is unavailable, and restarts them a
// second later: the servers cold, and the nodes right after them with their persisted lists.
func powerCut(o *Options) {
	o.SavedState, o.For = &SavedState{}, 20*time.Second
	all := func(n int) (list []int) {
		for i := range n {
			list = append(list, i)
		}
		return list
	}
	o.Faults = []Fault{
		{At: 4900 * time.Millisecond, For: 8 * time.Second, What: "discovery"},
		{At: 5 * time.Second, For: time.Second, What: "crash", Servers: all(len(o.Servers))},
		{At: 5 * time.Second, For: 1050 * time.Millisecond, What: "node-crash", Servers: all(o.Nodes)},
	}
}

// servedIn returns how many of the requests that began in the seconds from to to of the run were served.
func servedIn(r *Results, from, to int) (n uint64) {
	for _, s := range r.Seconds[from:min(to, len(r.Seconds))] {
		n += s.Asked - s.Refused - s.Failed
	}
	return n
}

// All nodes and servers restart together, the servers cold, while discovery is unavailable: the nodes serve
// from persisted state before discovery is back, and push no server over.
func TestSimultaneousRestart(t *testing.T) {
	racedetector.Skip(t)
	for seed := range uint64(3) {
		o := smallWorld(func(o *Options) { o.Load.Rate = 900; powerCut(o) })
		r := run(t, o, seed+1)
		if r.Broken[rulecheck.PushedOver] > 0 {
			t.Errorf("seed %d: %v", seed+1, r.Broken)
		}
		away, back := servedIn(r, 7, 12), servedIn(r, 14, 19)
		if away < back/20 || back == 0 {
			t.Errorf("seed %d: served %d while discovery is unavailable, %d after that", seed+1, away, back)
		}
	}
}

// overloadedRestart is a tier of servers with small queues that reject excess requests, under three times the load that they
// can serve, with clients that retry.
func overloadedRestart(k *SavedState, believe bool) TierRestart {
	return TierRestart{
		Nodes: 12, Servers: 4, Load: 3, DiscoveryDown: 4 * time.Second, CallTime: 10 * time.Millisecond, Observe: 7 * time.Second, FallMultiple: 1.05, Queue: 1,
		SavedState: k, TrustSavedState: believe, ClientBehavior: clientretry.Behavior{MaxAttempts: 3, HonorRetryAfter: 0.7, RetryImmediately: 0.3},
	}
}

// A whole tier restarts into an overload. With persisted state of any age, nodes serve before discovery is back, push
// no server over and break no rule, even if half of the nodes have no usable state. Nodes that trust their persisted
// list push servers over; nodes whose state is too old serve nothing before discovery is back.
func TestTierRestart(t *testing.T) {
	racedetector.Skip(t)
	t.Parallel()
	const seed = 3
	for name, k := range map[string]*SavedState{"fresh": {}, "three weeks, half of them broken": {ExtraAge: 21 * 24 * time.Hour, UnusableShare: 0.5}} {
		r, err := overloadedRestart(k, false).Run(seed)
		if err != nil {
			t.Fatal(err)
		}
		if r.PushedOver > 0 || r.OtherViolations > 0 || r.First == 0 || r.First > time.Second {
			t.Errorf("%s: %d servers pushed over, %d other violations; first served after %v, 50%% after %v, 90%% after %v", name, r.PushedOver, r.OtherViolations, r.First, r.Half, r.Most)
		}
	}
	pushedOver := 0 // most seeds, but not all, show servers being pushed over
	for seed := uint64(0); pushedOver == 0 && seed < 8; seed++ {
		r, err := overloadedRestart(&SavedState{}, true).Run(seed)
		if err != nil {
			t.Fatal(err)
		}
		pushedOver = r.PushedOver
	}
	if pushedOver == 0 {
		t.Error("nodes that trust their persisted list push no server over")
	}
	again := overloadedRestart(&SavedState{}, false) // nodes killed again in each of the first 5 s neither raise their trust nor persist new state
	again.ExtraRestarts = 5
	if r, err := again.Run(seed); err != nil || r.PushedOver > 0 || r.OtherViolations > 0 || r.First == 0 || r.First > time.Second {
		t.Errorf("killed repeatedly: first served after %v, %d servers pushed over, %d other violations, %v", r.First, r.PushedOver, r.OtherViolations, err)
	}
	tooOld := overloadedRestart(&SavedState{ExtraAge: 31 * 24 * time.Hour}, false) // treated like no state at all
	if r, err := tooOld.Run(seed); err != nil || r.First != 0 && r.First < tooOld.DiscoveryDown {
		t.Errorf("state too old: first served after %v, %v", r.First, err)
	}
	if _, err := (TierRestart{Nodes: 1, Servers: 1, Load: 1, Observe: time.Second}).Run(1); err == nil {
		t.Error("a discovery whose calls take no time is accepted")
	}
}
