package sim

import (
	"testing"
	"time"

	"otterstep/internal/standin/racing"
)

// large is a tier of 80 nodes over 60 servers, asked discovery included: one service that takes 50 ms for a call,
// so 4 s for one of each node.
func large(change func(*Options)) Options {
	return small(func(o *Options) {
		servers(o, 60, func(*ServerOptions) {})
		o.Nodes, o.Load.Rate, o.For = 80, 20, 20*time.Second
		o.Asked, o.Call, o.AskWait = true, 50*time.Millisecond, 2*time.Second
		if change != nil {
			change(o)
		}
	})
}

// Guards against nodes that call discovery in step, so that it has made each of them wait in vain by the time it gets
// to them: after a start of all at once and after all watches have broken at one moment, every node listens again
// within 15 s, no tenth of a second sees more than an eighth of the nodes call, and few calls are turned away.
func TestManyNodesCallDiscoveryApart(t *testing.T) {
	racing.Skip(t)
	for name, faults := range map[string][]Fault{
		"start":         nil,
		"broken":        {{At: 5 * time.Second, For: 10 * time.Millisecond, What: "discovery"}},
		"away for long": {{At: time.Second, For: 4 * time.Second, What: "discovery"}},
	} {
		for seed := range uint64(2) {
			w, err := New(large(func(o *Options) { o.Faults = faults }), seed+1)
			if err != nil {
				t.Fatal(err)
			}
			r := w.Run()
			watching, most, calls := 0, 0, 0
			for _, n := range w.nodes {
				if n.watches {
					watching++
				}
			}
			for _, n := range w.list.calls {
				most, calls = max(most, n), calls+n
			}
			if watching != len(w.nodes) || most > len(w.nodes)/8 || w.list.full > len(w.nodes)/4 || len(r.Broken) > 0 {
				t.Errorf("%s, seed %d: %d of %d nodes listen, %d calls, %d in a tenth of a second, %d turned away, broken %v",
					name, seed, watching, len(w.nodes), calls, most, w.list.full, r.Broken)
			}
		}
	}
}
