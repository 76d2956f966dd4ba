package sim

import (
	"time"

	"otterstep/internal/latency"
	"otterstep/internal/rulecheck"
)

// Results are the results of a run, in virtual time or on sockets. Use NewResults to create
// them.
type Results struct {
	Asked    uint64                      `json:"asked"`     // requests, each counted once regardless of its tries
	Tries    uint64                      `json:"tries"`     // requests sent to nodes
	Attempts uint64                      `json:"attempts"`  // requests sent to servers
	Counted  uint64                      `json:"counted"`   // requests that began after the warm-up
	Within   uint64                      `json:"within"`    // requests served within their aim
	Ends     map[string]uint64           `json:"ends"`      // requests by how they ended
	Seconds  []Second                    `json:"seconds"`   // by the second in which requests began
	Broken   map[rulecheck.Violation]int `json:"broken"`    // rule violations by kind
	First    string                      `json:"first"`     // description of the first violation
	Work     map[string]time.Duration    `json:"work"`      // work done by each server
	ColdOver float64                     `json:"cold_over"` // largest excess at one cold server beyond what the rules allow plus random variation, in requests of mean work; 0: none
	Pushed   map[string]float64          `json:"pushed"`    // peak load of each cold server, as a fraction of the load that makes it fall over
	Digest   string                      `json:"digest"`    // hash of all ended requests in their order
	Events   int                         `json:"events"`    // simulation events that ran
	Open     int                         `json:"open"`      // records still open at the end
	P50, P99 time.Duration               `json:",omitzero"` // latency quantiles of served requests

	warmUp time.Duration
	served *latency.Histogram
}

// Second holds the requests that began in one second of a run, by how they ended.
type Second struct {
	Asked, Within, Refused, Failed uint64
	Tries, Attempts                uint64        // requests sent to nodes and to servers
	P50, P99                       time.Duration `json:",omitzero"` // latency quantiles of served requests

	served *latency.Histogram
}

// NewResults returns empty results of a run whose warm-up is left out of the counts.
func NewResults(warm time.Duration) *Results {
	return &Results{Ends: map[string]uint64{}, warmUp: warm, served: latency.New(3)}
}

// End is the end of a request, across all of its tries.
type End struct {
	Began time.Duration // since the run's start
	Took  time.Duration
	Aim   time.Duration
	How   string // "served", "refused", or another reason for failure
}

// RecordEnd records the end of a request.
func (r *Results) RecordEnd(e End) {
	counts := e.Began >= r.warmUp
	if counts {
		r.Counted++
		r.Ends[e.How]++
	}
	second := r.second(e.Began)
	second.Asked++
	switch e.How {
	case "served":
		if second.served == nil {
			second.served = latency.New(2)
		}
		second.served.Record(e.Took)
		if counts {
			r.served.Record(e.Took)
		}
		if e.Took <= e.Aim {
			second.Within++
			if counts {
				r.Within++
			}
		}
	case "refused":
		second.Refused++
	default:
		second.Failed++
	}
}

// RecordTry records a request sent to a node.
func (r *Results) RecordTry(since time.Duration) {
	r.Tries++
	r.second(since).Tries++
}

// attempted records a request sent to a server.
func (r *Results) attempted(since time.Duration) {
	r.Attempts++
	r.second(since).Attempts++
}

// second returns the entry for a time since the start.
func (r *Results) second(since time.Duration) *Second {
	n := max(0, int(since/time.Second))
	for n >= len(r.Seconds) {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[n]
}

// SetReport records the result of the rule checks.
func (r *Results) SetReport(l rulecheck.Report) {
	if r.Broken = l.Broken; len(l.Descriptions) > 0 {
		r.First = l.Descriptions[0]
	}
}

// Finish computes the quantiles after everything has been recorded.
func (r *Results) Finish() {
	r.P50, r.P99 = r.served.Quantile(0.5), r.served.Quantile(0.99)
	for i := range r.Seconds {
		if s := &r.Seconds[i]; s.served != nil {
			s.P50, s.P99, s.served = s.served.Quantile(0.5), s.served.Quantile(0.99), nil
		}
	}
}

// Share returns the fraction of the counted requests that were served within their aim.
func (r *Results) Share() float64 { return float64(r.Within) / float64(max(1, r.Counted)) }

// PerRequest returns the mean number of attempts per request sent to a node.
func (r *Results) PerRequest() float64 { return float64(r.Attempts) / float64(max(1, r.Tries)) }
