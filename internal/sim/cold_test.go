package sim

import (
	"fmt"
	"testing"
	"time"

	"otterstep/internal/rulecheck"
	"otterstep/internal/standin/racedetector"
)

// coldFleet has thirty nodes, each of which sees little of the load. Servers restart cold under load, one at a time and a
// third of them at once; nodes learn of this up to a second apart, and ten of them restart themselves meanwhile.
func coldFleet(o *Options) {
	o.Nodes, o.For, o.WarmUp = 30, 7*time.Second, 0
	o.ListDelay = Distribution{Kind: "uniform", Mean: 500 * time.Millisecond}
	o.Settings.Rules.ColdFrom, o.Settings.Rules.ColdFor = 0.1, 8*time.Second
	o.Settings.Rules.FallMultiple, o.Settings.Rules.FallFor = 2, 1500*time.Millisecond
	replaceServers(o, 12, func(s *ServerOptions) { s.Rules = o.Settings.Rules })
	o.Load.Rate = 1500 // the capacity of all warm servers is 2,400
	var restarted []int
	for i := range 10 {
		restarted = append(restarted, 3*i)
	}
	o.Faults = []Fault{
		{At: 2 * time.Second, For: 500 * time.Millisecond, What: "crash", Servers: []int{0}},
		{At: 2500 * time.Millisecond, For: 500 * time.Millisecond, What: "crash", Servers: []int{1, 2, 3, 4}},
		{At: 2900 * time.Millisecond, For: 300 * time.Millisecond, What: "node-crash", Servers: restarted},
		{At: 4 * time.Second, For: 200 * time.Millisecond, What: "crash", Servers: []int{5}},
	}
}

// Checks the limit on cold servers over a whole fleet: with 50 seeds (8 with -short), no cold server gets more requests
// from all nodes together than the settings allow plus random variation, N + 2*sqrt(N) + 2, even while a third of the
// servers start at once. Random choice exceeds that, which shows that the check detects it.
func TestFleetKeepsColdServerLimit(t *testing.T) {
	racedetector.Skip(t)
	t.Parallel()
	seeds := uint64(50)
	if testing.Short() {
		seeds = 8
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			r := run(t, smallWorld(coldFleet), seed+1)
			if r.ColdOver > 0 || r.Broken[rulecheck.PushedOver] > 0 {
				t.Errorf("%.1f requests beyond the limit and random variation; broken %v", r.ColdOver, r.Broken)
			}
		})
	}
	r := run(t, smallWorld(func(o *Options) { coldFleet(o); o.Policy = "random" }), 1)
	if r.ColdOver == 0 {
		t.Error("random choice does not exceed the limit on cold servers")
	}
}
