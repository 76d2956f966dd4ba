package load

import (
	"context"
	"fmt"
	"time"
)

// Knee is the result of a search for the highest rate that a target sustains.
type Knee struct {
	Best  float64 `json:"best"`  // the highest sustained rate
	Steps []Step  `json:"steps"` // in the order in which they ran
}

// Step is one rate of a search.
type Step struct {
	Rate      float64 `json:"rate"`
	Sustained bool    `json:"held"`
	Reason    string  `json:"why,omitempty"` // why the rate was not sustained
	Report    Report  `json:"report"`
}

// KneeOptions describe a search, each step of which lasts Options.Duration.
type KneeOptions struct {
	StartRate float64       // rate of the first step
	MaxP99    time.Duration // limit on the p99 latency of the served requests
	MinServed float64       // least share of the requests that must be served
	MaxSteps  int
}

// FindKnee doubles the rate until the target no longer sustains it, and then bisects until
// the interval is below 5% of its upper end. A void step counts as not sustained: the
// result is then the generator's limit, and Reason says so.
func FindKnee(ctx context.Context, target Target, o Options, k KneeOptions) (Knee, error) {
	if k.StartRate <= 0 || k.MaxP99 <= 0 || k.MaxSteps < 1 || k.MinServed < 0 || k.MinServed > 1 {
		return Knee{}, fmt.Errorf("load: a knee search needs a rate and a p99 above 0, a share from 0 to 1 and at least one step")
	}
	var found Knee
	low, high := 0.0, 0.0
	for rate := k.StartRate; len(found.Steps) < k.MaxSteps && ctx.Err() == nil; {
		o.Rate = func(time.Duration) float64 { return rate }
		r, err := Run(ctx, target, o)
		if err != nil {
			return found, err
		}
		s := Step{Rate: rate, Report: r}
		served := float64(r.Outcomes[Served.String()]) / float64(max(1, r.Sent))
		switch {
		case r.Void != "":
			s.Reason = r.Void
		case served < k.MinServed:
			s.Reason = fmt.Sprintf("%.4f served", served)
		case r.P99 > k.MaxP99:
			s.Reason = fmt.Sprintf("p99 %v", r.P99)
		default:
			s.Sustained = true
		}
		found.Steps = append(found.Steps, s)
		if s.Sustained {
			low = rate
		} else {
			high = rate
		}
		switch {
		case high == 0:
			rate *= 2
		case high-low < 0.05*high:
			found.Best = low
			return found, nil
		default:
			rate = (low + high) / 2
		}
	}
	found.Best = low
	return found, ctx.Err()
}
