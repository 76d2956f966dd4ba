package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is a distribution of durations.
type Distribution struct {
	Kind  string        // constant, exponential, lognormal or uniform
	Mean  time.Duration // for every kind
	Sigma float64       // lognormal: the standard deviation of the logarithm
}

// Check returns an error if a parameter is invalid.
func (t Distribution) Check() error {
	switch t.Kind {
	case "constant", "exponential", "uniform":
	case "lognormal":
		if !(t.Sigma > 0 && t.Sigma < 4) {
			return fmt.Errorf("sigma %v: a lognormal distribution needs one above 0 and below 4", t.Sigma)
		}
	default:
		return fmt.Errorf("%q is none of constant, exponential, lognormal and uniform", t.Kind)
	}
	if t.Mean < 0 {
		return fmt.Errorf("mean %v: must not be negative", t.Mean)
	}
	return nil
}

// Draw returns a random duration from the distribution.
func (t Distribution) Draw(rng *rand.Rand) time.Duration {
	mean := float64(t.Mean)
	switch t.Kind {
	case "exponential":
		return time.Duration(mean * rng.ExpFloat64())
	case "lognormal": // the mean of exp(N(m, s)) is exp(m + s^2/2)
		return time.Duration(mean * math.Exp(t.Sigma*rng.NormFloat64()-t.Sigma*t.Sigma/2))
	case "uniform":
		return time.Duration(2 * mean * rng.Float64())
	}
	return t.Mean
}
