package sim

import (
	"time"

	"otterstep/internal/latency"
	"otterstep/internal/ledger"
)

// Results are what came of a run, in virtual time or on sockets. Make them with NewResults.
type Results struct {
	Asked    uint64                   `json:"asked"`     // requests, counted once however often they were tried
	Tries    uint64                   `json:"tries"`     // requests at nodes
	Attempts uint64                   `json:"attempts"`  // requests at servers
	Counted  uint64                   `json:"counted"`   // that began after the warm-up
	Within   uint64                   `json:"within"`    // served within their aim
	Ends     map[string]uint64        `json:"ends"`      // by how they ended
	Seconds  []Second                 `json:"seconds"`   // by when they began
	Broken   map[ledger.Breach]int    `json:"broken"`    // how often
	First    string                   `json:"first"`     // breach
	Work     map[string]time.Duration `json:"work"`      // done by each server
	ColdOver float64                  `json:"cold_over"` // requests of mean work to one cold server beyond what the rules allow and chance explains; 0: none
	Pushed   map[string]float64       `json:"pushed"`    // most work sent to each while cold, as a part of what pushes it over
	Digest   string                   `json:"digest"`    // of all ends in their order
	Events   int                      `json:"events"`    // of the simulation
	Open     int                      `json:"open"`      // records that the ledger still held
	P50, P99 time.Duration            `json:",omitzero"` // of served ones

	warm   time.Duration
	served *latency.Histogram
}

// Second is one second of a run: the requests that began in it, and how these ended.
type Second struct {
	Asked, Within, Refused, Failed uint64
	Tries, Attempts                uint64        // at nodes, and at servers
	P50, P99                       time.Duration `json:",omitzero"` // of the served ones

	served *latency.Histogram
}

// NewResults makes empty ones of a run whose first part, warm, does not count.
func NewResults(warm time.Duration) *Results {
	return &Results{Ends: map[string]uint64{}, warm: warm, served: latency.New(3)}
}

// End is how a request ended, over all of its tries.
type End struct {
	Began time.Duration // since the run's start
	Took  time.Duration
	Aim   time.Duration
	How   string // "served", "refused", or another word of why not
}

// Take takes the end of a request.
func (r *Results) Take(e End) {
	counts := e.Began >= r.warm
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

// Tried notes a request at a node.
func (r *Results) Tried(since time.Duration) {
	r.Tries++
	r.second(since).Tries++
}

// attempted notes a request at a server.
func (r *Results) attempted(since time.Duration) {
	r.Attempts++
	r.second(since).Attempts++
}

// second gives the second that a time since the start falls into.
func (r *Results) second(since time.Duration) *Second {
	n := max(0, int(since/time.Second))
	for n >= len(r.Seconds) {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[n]
}

// Judged takes the ledger's account.
func (r *Results) Judged(l ledger.Report) {
	if r.Broken = l.Broken; len(l.Words) > 0 {
		r.First = l.Words[0]
	}
}

// Finish works out the quantiles, once all is taken.
func (r *Results) Finish() {
	r.P50, r.P99 = r.served.Quantile(0.5), r.served.Quantile(0.99)
	for i := range r.Seconds {
		if s := &r.Seconds[i]; s.served != nil {
			s.P50, s.P99, s.served = s.served.Quantile(0.5), s.served.Quantile(0.99), nil
		}
	}
}

// Share is the part of the counted requests that were served within their aim.
func (r *Results) Share() float64 { return float64(r.Within) / float64(max(1, r.Counted)) }

// PerRequest gives the attempts that a request at a node made at servers, on average.
func (r *Results) PerRequest() float64 { return float64(r.Attempts) / float64(max(1, r.Tries)) }
