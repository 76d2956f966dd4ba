package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Times is a distribution of times.
type Times struct {
	Kind  string        // constant, exponential, lognormal or uniform
	Mean  time.Duration // of any kind
	Sigma float64       // of lognormal: the deviation of the logarithm
}

// Check returns an error that names what is impossible.
func (t Times) Check() error {
	switch t.Kind {
	case "constant", "exponential", "uniform":
	case "lognormal":
		if !(t.Sigma > 0 && t.Sigma < 4) {
			return fmt.Errorf("sigma %v: a lognormal one is above 0 and below 4", t.Sigma)
		}
	default:
		return fmt.Errorf("%q is none of constant, exponential, lognormal and uniform", t.Kind)
	}
	if t.Mean < 0 {
		return fmt.Errorf("mean %v: must not be negative", t.Mean)
	}
	return nil
}

// Draw gives one time.
func (t Times) Draw(rng *rand.Rand) time.Duration {
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
