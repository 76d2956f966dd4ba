package sim

import (
	"testing"
	"time"

	"otterstep/internal/standin/racedetector"
)

// largeTier is a tier of 80 nodes and 60 servers with on-request discovery: a single service that takes 50 ms per call, so
// 4 s for one call of each node.
func largeTier(change func(*Options)) Options {
	return smallWorld(func(o *Options) {
		replaceServers(o, 60, func(*ServerOptions) {})
		o.Nodes, o.Load.Rate, o.For = 80, 20, 20*time.Second
		o.Pull, o.Call, o.MaxWait = true, 50*time.Millisecond, 2*time.Second
		if change != nil {
			change(o)
		}
	})
}

// Guards against nodes that call discovery in lockstep, so that each call has timed out by the time discovery handles it.
// After a simultaneous start and after all watches have broken at once, every node watches the list again within 15 s, no
// more than an eighth of the nodes call within a tenth of a second, and few calls are rejected.
func TestDiscoveryCallsAreSpread(t *testing.T) {
	racedetector.Skip(t)
	for name, faults := range map[string][]Fault{
		"simultaneous start": nil,
		"watches broken":     {{At: 5 * time.Second, For: 10 * time.Millisecond, What: "discovery"}},
		"long outage":        {{At: time.Second, For: 4 * time.Second, What: "discovery"}},
	} {
		for seed := range uint64(2) {
			w, err := New(largeTier(func(o *Options) { o.Faults = faults }), seed+1)
			if err != nil {
				t.Fatal(err)
			}
			r := w.Run()
			watching, most, calls := 0, 0, 0
			for _, n := range w.nodes {
				if n.watching {
					watching++
				}
			}
			for _, n := range w.discovery.calls {
				most, calls = max(most, n), calls+n
			}
			if watching != len(w.nodes) || most > len(w.nodes)/8 || w.discovery.rejected > len(w.nodes)/4 || len(r.Broken) > 0 {
				t.Errorf("%s, seed %d: %d of %d nodes watch, %d calls, at most %d in a tenth of a second, %d rejected, broken %v",
					name, seed, watching, len(w.nodes), calls, most, w.discovery.rejected, r.Broken)
			}
		}
	}
}
