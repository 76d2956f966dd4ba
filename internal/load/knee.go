package load

import (
	"context"
	"fmt"
	"time"
)

// Knee is what a target keeps up with.
type Knee struct {
	Best  float64 `json:"best"`  // the greatest rate that held
	Steps []Step  `json:"steps"` // as they were played
}

// Step is one rate of a search.
type Step struct {
	Rate   float64 `json:"rate"`
	Held   bool    `json:"held"`
	Why    string  `json:"why,omitempty"` // it did not
	Report Report  `json:"report"`
}

// KneeOptions describe a search: each step plays o.For.
type KneeOptions struct {
	From  float64       // rate that it begins at
	P99   time.Duration // most, of the served
	Share float64       // least share served
	Steps int           // at most
}

// FindKnee doubles the rate until it does not hold, and then halves the rest until the
// step is 5% of it. A void step does not hold: the figure is then the generator's limit,
// and Why says so.
func FindKnee(ctx context.Context, target Target, o Options, k KneeOptions) (Knee, error) {
	if k.From <= 0 || k.P99 <= 0 || k.Steps < 1 || k.Share < 0 || k.Share > 1 {
		return Knee{}, fmt.Errorf("load: a knee needs a rate and a p99 above 0, a share from 0 to 1 and a step or more")
	}
	var found Knee
	low, high := 0.0, 0.0
	for rate := k.From; len(found.Steps) < k.Steps && ctx.Err() == nil; {
		o.Rate = func(time.Duration) float64 { return rate }
		r, err := Run(ctx, target, o)
		if err != nil {
			return found, err
		}
		s := Step{Rate: rate, Report: r}
		served := float64(r.Ends[Served.String()]) / float64(max(1, r.Sent))
		switch {
		case r.Void != "":
			s.Why = r.Void
		case served < k.Share:
			s.Why = fmt.Sprintf("%.4f served", served)
		case r.P99 > k.P99:
			s.Why = fmt.Sprintf("p99 %v", r.P99)
		default:
			s.Held = true
		}
		found.Steps = append(found.Steps, s)
		if s.Held {
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
