package sim

import (
	"fmt"
	"testing"
	"time"

	"otterstep/internal/ledger"
	"otterstep/internal/standin/racing"
)

// coldFleet is a fleet of thirty nodes that each see little. Servers come back cold under a burst, one by one and a
// third of them at once; nodes hear of it up to a second apart, and ten of them are new then.
func coldFleet(o *Options) {
	o.Nodes, o.For, o.Warm = 30, 7*time.Second, 0
	o.Told = Times{Kind: "uniform", Mean: 500 * time.Millisecond}
	o.Settings.Rules.ColdFrom, o.Settings.Rules.ColdFor = 0.1, 8*time.Second
	o.Settings.Rules.FallMultiple, o.Settings.Rules.FallFor = 2, 1500*time.Millisecond
	servers(o, 12, func(s *ServerOptions) { s.Rules = o.Settings.Rules })
	o.Load.Rate = 1500 // of 2,400 that all servers can do warm
	var new []int
	for i := range 10 {
		new = append(new, 3*i)
	}
	o.Faults = []Fault{
		{At: 2 * time.Second, For: 500 * time.Millisecond, What: "crash", Servers: []int{0}},
		{At: 2500 * time.Millisecond, For: 500 * time.Millisecond, What: "crash", Servers: []int{1, 2, 3, 4}},
		{At: 2900 * time.Millisecond, For: 300 * time.Millisecond, What: "node-crash", Servers: new},
		{At: 4 * time.Second, For: 200 * time.Millisecond, What: "crash", Servers: []int{5}},
	}
}

// Guards rule 4 by the sum of a fleet: over 50 seeds (8 with -short) no cold server gets more from all nodes together than the
// settings allow and chance explains, N + 2 x root of N + 2, also while a third of them start at once. Nodes that
// choose at random do that to it, so that the count sees it.
func TestColdServersGetNoMoreThanTheFleetMaySend(t *testing.T) {
	racing.Skip(t)
	t.Parallel()
	seeds := uint64(50)
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			r := run(t, small(coldFleet), seed+1)
			if r.ColdOver > 0 || r.Broken[ledger.PushedOver] > 0 {
				t.Errorf("%.1f requests over what chance explains; %v", r.ColdOver, r.Broken)
			}
		})
	}
	r := run(t, small(func(o *Options) { coldFleet(o); o.Policy = "random" }), 1)
	if r.ColdOver == 0 {
		t.Error("random choice sends cold servers no more than they bear")
	}
}
