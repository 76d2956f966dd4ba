package sim

import (
	"testing"
	"time"

	"otterstep/internal/clientretry"
	"otterstep/internal/rulecheck"
	"otterstep/internal/standin/racedetector"
	"otterstep/policy"
)

// faultFreeTier is a tier without faults in which nodes outnumber servers by half, and six-core servers are used at a little
// over half of their capacity. One site's large fleet runs like this on normal days.
func faultFreeTier(o *Options) {
	o.Nodes, o.For, o.WarmUp = 54, 20*time.Second, 0
	for i := range o.Settings.Classes {
		c := &o.Settings.Classes[i]
		c.Aim, c.Deadline, c.Effect = 500*time.Millisecond, 1250*time.Millisecond, policy.Safe
	}
	service := Distribution{Kind: "lognormal", Mean: 150 * time.Millisecond, Sigma: 0.4}
	replaceServers(o, 35, func(s *ServerOptions) {
		s.Parallel, s.Queue, s.Service = 6, 24, map[int]Distribution{0: service, 1: service, 2: service}
	})
	o.Load.Rate, o.Load.Behavior = 800, clientretry.Behavior{HonorRetryAfter: 0.85, MaxAttempts: 2}
}

// Without faults, the share of requests served within their aim must be at most 0.05 below that of the simplest baseline,
// which chooses servers at random and refuses nothing.
//
// Guards against a concurrency limit that does not grow: nodes once refused one request in 25 (626 of 15,858) and answered
// many late (p50 at 238 ms where servers take 150 ms) although servers were half idle. A node's limit on attempts in flight
// started at its share of four per server, here 2.6, which is also the mean that this load needs, so that it was exceeded
// half of the time. It grew only after 60 latencies measured while no other attempt was in flight at a server, of which a
// node at its limit gets hardly any. With only that evidence changed, 0.999 were served within the aim. Now the limit
// uses the latencies of all answers (policy/concurrency.go).
func TestManyNodesWithoutFaults(t *testing.T) {
	racedetector.Skip(t)
	within := map[string]float64{}
	for _, policyName := range []string{"", "random"} {
		r := run(t, smallWorld(func(o *Options) { faultFreeTier(o); o.Policy = policyName }), 1)
		within[policyName] = float64(r.Within) / float64(r.Asked)
		t.Logf("%q: %d asked, %.3f within their aim, %v", policyName, r.Asked, within[policyName], r.Ends)
	}
	if within[""] < within["random"]-0.05 {
		t.Errorf("%.3f are served within their aim, the random baseline serves %.3f", within[""], within["random"])
	}
}

// shareServed simulates a tier and returns the share of its requests that are served within their aim.
func shareServed(t *testing.T, policyName string, change func(*Options)) float64 {
	t.Helper()
	r := run(t, smallWorld(func(o *Options) {
		faultFreeTier(o)
		o.Policy = policyName
		change(o)
	}), 1)
	t.Logf("%q: %d asked, %d within their aim, %v", policyName, r.Asked, r.Within, r.Ends)
	return float64(r.Within) / float64(r.Asked)
}

// requireNearBaseline requires the share served within the aim to be at most 0.05 below that of the random baseline.
func requireNearBaseline(t *testing.T, change func(*Options)) {
	t.Helper()
	module, baseline := shareServed(t, "", change), shareServed(t, "random", change)
	if module < baseline-0.05 {
		t.Errorf("%.3f are served within their aim, the random baseline serves %.3f", module, baseline)
	}
}

// Guards against refused and late requests at the nodes of one zone while other zones have spare capacity. Nodes prefer
// servers of their own zone unless these score worse by 0.3, and high latency alone never lowers a score by that much.
// Nodes with a limit per server go on to other zones when it is reached, but in a tier with more nodes than servers a node
// has a single limit for all servers. This was seen as 36% of the attempts at 23% of the servers, of which 6% failed
// (0.2% elsewhere), and a p50 of 200 ms instead of 130 ms. Now the share of requests that may leave the zone rises with
// the latency there. This test fails only without both that change and the fix of the concurrency limit; policy's
// TestRequestsSpillFromSlowZone fails without the former alone.
func TestRequestsLeaveOverloadedZone(t *testing.T) {
	racedetector.Skip(t)
	requireNearBaseline(t, func(o *Options) {
		o.Settings.Prices.CrossZone = 0.03
		o.Load.Rate = 1000
		for i := range o.Servers {
			o.Servers[i].Entry.Zone = 1 + i%3
		}
		for i := range 3 {
			o.Servers[i].Entry.Zone = 0
		}
	})
}

// tightAims sets aims of which unloaded servers use six tenths on average.
func tightAims(o *Options) {
	o.Load.Rate = 400
	for i := range o.Settings.Classes {
		c := &o.Settings.Classes[i]
		c.Aim, c.Deadline = 250*time.Millisecond, 800*time.Millisecond
	}
}

// Guards against treating pure service time as overload where it is a large part of the aim.
func TestManyNodesServeTightAims(t *testing.T) {
	racedetector.Skip(t)
	requireNearBaseline(t, tightAims)
}

// Known failure, listed in KNOWN-RED.txt: with more than four nodes per server, nearly half of the requests are refused
// without any fault if unloaded servers take six tenths of the aim. Such nodes lower the share of requests that they admit
// while answers take more than half of their aim, whatever the unloaded latency is. A target based on each node's unloaded
// latency fixes this test, but admits more than TestShedsLaterWhereLateAnswersPay allows.
func TestVeryManyNodesServeTightAims(t *testing.T) {
	racedetector.Skip(t)
	requireNearBaseline(t, func(o *Options) {
		tightAims(o)
		o.Nodes = 160
	})
}

// Guards against a concurrency limit that is too high for cold servers. The first version of the latency-based limit used
// the aim alone, and nodes pushed cold servers over with 26 of 30 seeds when all servers of a tier restarted under load:
// full servers reject requests, nodes immediately retry them elsewhere, and each try counts as work sent. Now each
// rejection by a full server lowers the limit.
func TestServersRestartUnderManyNodes(t *testing.T) {
	racedetector.Skip(t)
	for seed := range uint64(2) {
		r := run(t, smallWorld(func(o *Options) {
			o.Settings.Rules = policy.Rules{ColdFrom: 0.3, ColdFor: 9 * time.Second, FallMultiple: 1.2, FallFor: time.Second}
			replaceServers(o, 8, func(s *ServerOptions) {
				s.Parallel, s.Queue, s.Rules = 4, 8, o.Settings.Rules
			})
			o.Nodes, o.For = 20, 10*time.Second
			o.Load.Rate = 8 * 4 / 0.02 // the full capacity of the servers
			o.Load.Behavior = clientretry.Behavior{MaxAttempts: 3, HonorRetryAfter: 0.7, RetryImmediately: 0.3}
			o.Faults = []Fault{{At: 3 * time.Second, For: time.Second, What: "crash", Servers: []int{0, 1, 2, 3, 4, 5, 6, 7}}}
		}), seed)
		if n := r.Broken[rulecheck.PushedOver]; n > 0 {
			t.Errorf("seed %d: cold servers were pushed over %d times", seed, n)
		}
	}
}
