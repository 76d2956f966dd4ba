package sim

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"otterstep/internal/clientretry"
	"otterstep/internal/rulecheck"
	"otterstep/policy"
)

// TierRestart is a scenario in which all nodes and servers of a tier are killed and restart at the same time, the servers
// cold, while discovery is unavailable and then overloaded with calls.
type TierRestart struct {
	Nodes, Servers  int
	Load            float64       // offered load as a fraction of the warm servers' capacity
	DiscoveryDown   time.Duration // how long discovery is unavailable, from the kill on
	CallTime        time.Duration // duration of a discovery call; calls are handled one at a time
	Observe         time.Duration // observed time after the restart
	SavedState      *SavedState   // persisted state; nil: nodes restart without any
	TrustSavedState bool          // nodes trust persisted state as if discovery had confirmed it
	ClientBehavior  clientretry.Behavior
	FallMultiple    float64 // load, as a multiple of its capacity, that makes a cold server fall over; 2 if 0
	Queue           int     // queue capacity of each server; 32 if 0
	ExtraRestarts   int     // all nodes are killed again after each of the first n seconds
	CutServers      bool    // every other server is unreachable for the first 3 s
}

// TierRestartResult is the result of a TierRestart. Times are counted from the restart; zero means not reached
// within Observe.
type TierRestartResult struct {
	First, Half, Most, Full time.Duration // until the rate of served requests reached any, 50%, 90%, 97% of the rate before
	Attempts, Refusals      float64       // per request served until 90% was reached
	PushedOver              int           // servers that were pushed over
	OtherViolations         int           // violations of other rules
	ColdLoads               []float64     // peak load of each cold server, as a fraction of the load that makes it fall over
	Served                  []float64     // served rate in each tenth of a second after the restart, as a fraction of before
}

const (
	restartSettleTime    = 8 * time.Second // time before the kill
	restartReferenceTime = 2 * time.Second // the end of that time, in which the reference rate is measured
	restartDownTime      = time.Second     // time from the kill to the restart
	restartRateWindow    = 5               // width of the moving average of the served rate, in tenths of a second
	restartCores         = 4
	restartMeanWork      = 20 * time.Millisecond
)

// Run simulates the scenario with the given seed.
func (h TierRestart) Run(seed uint64) (TierRestartResult, error) {
	if h.Nodes < 1 || h.Servers < 1 || h.Load <= 0 || h.Observe < time.Second || h.DiscoveryDown < 0 || h.CallTime <= 0 {
		return TierRestartResult{}, errors.New("sim: invalid tier restart: at least one node and one server, a positive load, at least 1 s after the restart, a non-negative discovery outage and a positive duration of discovery calls are required")
	}
	set := policy.Defaults()
	set.Classes = []policy.Class{
		{Deadline: 2 * time.Second, Aim: 600 * time.Millisecond, Worth: 1, Effect: policy.Safe},
		{Deadline: 2 * time.Second, Aim: 800 * time.Millisecond, Worth: 3, Effect: policy.Keyed, Scope: policy.ScopeAll, Window: 10 * time.Second},
		{Deadline: 2 * time.Second, Aim: 800 * time.Millisecond, Worth: 5, Effect: policy.Unsafe},
	}
	set.Limits = policy.Limits{MaxAttempts: 4, SecondCopies: true, Cancel: true, MaxRetryAfter: time.Second}
	set.Rules = policy.Rules{ColdFrom: 0.3, ColdFor: 9 * time.Second, FallMultiple: cmp.Or(h.FallMultiple, 2), FallFor: time.Second, MaxCallInterval: 5 * time.Second}
	rate := h.Load * float64(h.Servers*restartCores) / restartMeanWork.Seconds()
	o := Options{
		Nodes: h.Nodes, Settings: set, For: restartSettleTime + restartDownTime + h.Observe, SavedState: h.SavedState, StartEmpty: true,
		Net:       Network{Latency: Distribution{Kind: "exponential", Mean: time.Millisecond}},
		ClientNet: Distribution{Kind: "constant", Mean: time.Millisecond}, ListDelay: Distribution{Kind: "uniform", Mean: 100 * time.Millisecond},
		Pull: true, Call: h.CallTime, MaxWait: 2 * time.Second, Defects: Defects{TrustSavedState: h.TrustSavedState},
		Load: Load{Rate: rate, Shares: []float64{0.7, 0.2, 0.1}, Tenants: 5, Skew: 1, Behavior: h.ClientBehavior},
	}
	service := Distribution{Kind: "lognormal", Mean: restartMeanWork, Sigma: 0.5}
	var servers, nodes, half []int
	for i := range h.Servers {
		o.Servers = append(o.Servers, ServerOptions{
			Entry: policy.Entry{Server: policy.ServerID(i + 1), Zone: i % 2, State: policy.Ready, Weight: 1}, Addr: fmt.Sprint("s", i+1),
			Parallel: restartCores, Queue: cmp.Or(h.Queue, 32), Service: map[int]Distribution{0: service, 1: service, 2: service}, Rules: set.Rules,
		})
		if servers = append(servers, i); i%2 == 1 {
			half = append(half, i)
		}
	}
	for i := range h.Nodes {
		nodes = append(nodes, i)
	}
	restartAt := restartSettleTime + restartDownTime
	o.Faults = []Fault{
		{At: restartSettleTime - 50*time.Millisecond, For: 50*time.Millisecond + restartDownTime + h.DiscoveryDown, What: "discovery"},
		{At: restartSettleTime, For: restartDownTime, What: "crash", Servers: servers},
		{At: restartSettleTime, For: restartDownTime + 50*time.Millisecond, What: "node-crash", Servers: nodes},
	}
	for n := range h.ExtraRestarts {
		o.Faults = append(o.Faults, Fault{At: restartAt + time.Duration(n+1)*time.Second, For: 50 * time.Millisecond, What: "node-crash", Servers: nodes})
	}
	if h.CutServers && len(half) > 0 {
		o.Faults = append(o.Faults, Fault{At: restartAt, For: 3 * time.Second, What: "cut", Servers: half})
	}
	w, err := New(o, seed)
	if err != nil {
		return TierRestartResult{}, err
	}
	tenths := make([]struct{ served, refused float64 }, int(o.For/tenth)+1)
	w.onEnd = func(e End) {
		at := &tenths[min(int((e.Began+e.Took)/tenth), len(tenths)-1)]
		switch e.How {
		case "served":
			at.served++
		case "refused":
			at.refused++
		}
	}
	res := w.Run()
	r := TierRestartResult{PushedOver: res.Broken[rulecheck.PushedOver]}
	for b, n := range res.Broken {
		if b != rulecheck.PushedOver {
			r.OtherViolations += n
		}
	}
	for _, s := range o.Servers {
		r.ColdLoads = append(r.ColdLoads, res.Pushed[s.Addr])
	}
	slices.Sort(r.ColdLoads)
	before := 0.0
	for _, t := range tenths[int((restartSettleTime-restartReferenceTime)/tenth):int(restartSettleTime/tenth)] {
		before += t.served
	}
	before /= restartReferenceTime.Seconds() * 10
	from := int(restartAt / tenth)
	served, refused := 0.0, 0.0
	for i := from; i < len(tenths)-1; i++ {
		at := time.Duration(i-from+1) * tenth
		if tenths[i].served > 0 && r.First == 0 {
			r.First = at
		}
		window := 0.0
		for _, t := range tenths[max(from, i-restartRateWindow+1) : i+1] {
			window += t.served
		}
		share := window / restartRateWindow / before
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
	for i := int(restartAt / time.Second); i < len(res.Seconds) && time.Duration(i)*time.Second < restartAt+max(r.Most, time.Second); i++ {
		attempts += float64(res.Seconds[i].Attempts)
	}
	if served > 0 {
		r.Attempts, r.Refusals = attempts/served, refused/served
	}
	return r, nil
}
