package sim

import (
	"testing"
	"time"

	"otterstep/internal/comeback"
	"otterstep/internal/standin/racing"
	"otterstep/policy"
)

// calmTier is a tier on which nodes outnumber servers by half, as on the large fleet's days of another customer: nothing
// goes wrong, and servers of six cores are asked for a little over half of what they can do.
func calmTier(o *Options) {
	o.Nodes, o.For, o.Warm = 54, 20*time.Second, 0
	for i := range o.Settings.Classes {
		c := &o.Settings.Classes[i]
		c.Aim, c.Deadline, c.Effect = 500*time.Millisecond, 1250*time.Millisecond, policy.Safe
	}
	service := Times{Kind: "lognormal", Mean: 150 * time.Millisecond, Sigma: 0.4}
	servers(o, 35, func(s *ServerOptions) {
		s.Parallel, s.Queue, s.Service = 6, 24, map[int]Times{0: service, 1: service, 2: service}
	})
	o.Load.Rate, o.Load.Habits = 800, comeback.Habits{Heed: 0.85, Tries: 2}
}

// Guards the acceptance's floor on calm days: what is served within its aim is at most 0.05 below what the plainest
// policy, which chooses at random and refuses nobody, serves.
func TestManyNodesServeACalmDay(t *testing.T) {
	racing.Skip(t)
	within := map[string]float64{}
	for _, word := range []string{"", "random"} {
		r := run(t, small(func(o *Options) { calmTier(o); o.Policy = word }), 1)
		within[word] = float64(r.Within) / float64(r.Asked)
		t.Logf("%q: %d asked, %.3f within their aim, %v", word, r.Asked, within[word], r.Ends)
	}
	if within[""] < within["random"]-0.05 {
		t.Errorf("%.3f are served within their aim, the plainest policy serves %.3f", within[""], within["random"])
	}
}
