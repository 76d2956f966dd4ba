package sim

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"otterstep/internal/comeback"
	"otterstep/internal/ledger"
	"otterstep/policy"
)

// Herd is a whole tier that is killed with its servers and comes back, all at once and cold, while discovery is
// away and overbooked behind that.
type Herd struct {
	Nodes, Servers int
	Load           float64       // of what the servers can do warm, with a tenth of it for chance; 0.5 is half
	Away           time.Duration // of discovery, from the kill on
	Call           time.Duration // of discovery, which works through the nodes' calls in turn
	For            time.Duration // that is looked at, from the return on
	Kept           *Kept         // nil: nodes come back knowing nothing
	Believe        bool          // nodes take what they kept at its word
	Comeback       comeback.Habits
	Fall           float64 // multiple of what a cold server can do that pushes it over; 2 if 0
	Queue          int     // of each server; 32 if 0
	Again          int     // all nodes are killed again at so many of the first seconds
	Cut            bool    // every other server is cut off for the first 3 s
}

// HerdResult is how a herd came back. Times count from its return; zero: not within For.
type HerdResult struct {
	First, Half, Most, Full time.Duration // of what was served before: any, 50%, 90%, 97%
	Attempts, Refusals      float64       // for each request served on the way to 90%
	Fell                    int           // servers that were pushed over
	Broken                  int           // other rules
	Pushed                  []float64     // of each server: the most that was sent, as a part of what pushes it over
	Served                  []float64     // by tenths of a second from the return on, as a share of before
}

const (
	herdSettles = 8 * time.Second // until the kill
	herdBefore  = 2 * time.Second // of which so much is the service of before
	herdDead    = time.Second
	herdWindow  = 5 // tenths of a second that service is taken over
	herdCores   = 4
	herdWork    = 20 * time.Millisecond
)

// Play plays a seed's return.
func (h Herd) Play(seed uint64) (HerdResult, error) {
	if h.Nodes < 1 || h.Servers < 1 || h.Load <= 0 || h.For < time.Second || h.Away < 0 || h.Call <= 0 {
		return HerdResult{}, errors.New("sim: a herd has at least one node and server, a load, a second to come back in, and discovery's calls take a time")
	}
	set := policy.Defaults()
	set.Classes = []policy.Class{
		{Deadline: 2 * time.Second, Aim: 600 * time.Millisecond, Worth: 1, Effect: policy.Safe},
		{Deadline: 2 * time.Second, Aim: 800 * time.Millisecond, Worth: 3, Effect: policy.Keyed, Scope: policy.ScopeAll, Window: 10 * time.Second},
		{Deadline: 2 * time.Second, Aim: 800 * time.Millisecond, Worth: 5, Effect: policy.Unsafe},
	}
	set.Limits = policy.Limits{MaxAttempts: 4, SecondCopies: true, Cancel: true, MaxRetryAfter: time.Second}
	set.Rules = policy.Rules{ColdFrom: 0.3, ColdFor: 9 * time.Second, FallMultiple: cmp.Or(h.Fall, 2), FallFor: time.Second, MustAsk: 5 * time.Second}
	rate := h.Load * float64(h.Servers*herdCores) / herdWork.Seconds()
	o := Options{
		Nodes: h.Nodes, Settings: set, For: herdSettles + herdDead + h.For, Kept: h.Kept, Blank: true,
		Net:       Network{Latency: Times{Kind: "exponential", Mean: time.Millisecond}},
		ClientNet: Times{Kind: "constant", Mean: time.Millisecond}, Told: Times{Kind: "uniform", Mean: 100 * time.Millisecond},
		Asked: true, Call: h.Call, AskWait: 2 * time.Second, Planted: Planted{Believe: h.Believe},
		Load: Load{Rate: rate, Shares: []float64{0.7, 0.2, 0.1}, Tenants: 5, Skew: 1, Habits: h.Comeback},
	}
	service := Times{Kind: "lognormal", Mean: herdWork, Sigma: 0.5}
	var servers, nodes, half []int
	for i := range h.Servers {
		o.Servers = append(o.Servers, ServerOptions{
			Entry: policy.Entry{Server: policy.ServerID(i + 1), Zone: i % 2, State: policy.Ready, Weight: 1}, Addr: fmt.Sprint("s", i+1),
			Parallel: herdCores, Queue: cmp.Or(h.Queue, 32), Service: map[int]Times{0: service, 1: service, 2: service}, Rules: set.Rules,
		})
		if servers = append(servers, i); i%2 == 1 {
			half = append(half, i)
		}
	}
	for i := range h.Nodes {
		nodes = append(nodes, i)
	}
	back := herdSettles + herdDead
	o.Faults = []Fault{
		{At: herdSettles - 50*time.Millisecond, For: 50*time.Millisecond + herdDead + h.Away, What: "discovery"},
		{At: herdSettles, For: herdDead, What: "crash", Servers: servers},
		{At: herdSettles, For: herdDead + 50*time.Millisecond, What: "node-crash", Servers: nodes},
	}
	for n := range h.Again {
		o.Faults = append(o.Faults, Fault{At: back + time.Duration(n+1)*time.Second, For: 50 * time.Millisecond, What: "node-crash", Servers: nodes})
	}
	if h.Cut && len(half) > 0 {
		o.Faults = append(o.Faults, Fault{At: back, For: 3 * time.Second, What: "cut", Servers: half})
	}
	w, err := New(o, seed)
	if err != nil {
		return HerdResult{}, err
	}
	tenths := make([]struct{ served, refused float64 }, int(o.For/tenth)+1)
	w.ended = func(e End) {
		at := &tenths[min(int((e.Began+e.Took)/tenth), len(tenths)-1)]
		switch e.How {
		case "served":
			at.served++
		case "refused":
			at.refused++
		}
	}
	res := w.Run()
	r := HerdResult{Fell: res.Broken[ledger.PushedOver]}
	for b, n := range res.Broken {
		if b != ledger.PushedOver {
			r.Broken += n
		}
	}
	for _, s := range o.Servers {
		r.Pushed = append(r.Pushed, res.Pushed[s.Addr])
	}
	slices.Sort(r.Pushed)
	before := 0.0
	for _, t := range tenths[int((herdSettles-herdBefore)/tenth):int(herdSettles/tenth)] {
		before += t.served
	}
	before /= herdBefore.Seconds() * 10
	from := int(back / tenth)
	served, refused := 0.0, 0.0
	for i := from; i < len(tenths)-1; i++ {
		at := time.Duration(i-from+1) * tenth
		if tenths[i].served > 0 && r.First == 0 {
			r.First = at
		}
		window := 0.0
		for _, t := range tenths[max(from, i-herdWindow+1) : i+1] {
			window += t.served
		}
		share := window / herdWindow / before
		r.Served = append(r.Served, share)
		for _, step := range []struct {
			at    *time.Duration
			share float64
		}{{&r.Half, 0.5}, {&r.Most, 0.9}, {&r.Full, 0.97}} {
			if *step.at == 0 && share >= step.share {
				*step.at = at
			}
		}
		if r.Most == 0 {
			served, refused = served+tenths[i].served, refused+tenths[i].refused
		}
	}
	attempts := 0.0
	for i := int(back / time.Second); i < len(res.Seconds) && time.Duration(i)*time.Second < back+max(r.Most, time.Second); i++ {
		attempts += float64(res.Seconds[i].Attempts)
	}
	if served > 0 {
		r.Attempts, r.Refusals = attempts/served, refused/served
	}
	return r, nil
}
