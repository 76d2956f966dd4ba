package latency

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Quantiles lie within the stated part of those of all times sorted, and what is out of
// bounds counts as the bound.
func TestQuantilesAgainstSorting(t *testing.T) {
	h, rng := New(3), rand.New(rand.NewPCG(1, 2))
	if h.Quantile(0.5) != 0 {
		t.Error("a quantile of nothing")
	}
	var all []time.Duration
	for range 20_000 {
		d := time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond))
		all = append(all, d)
		h.Record(d)
	}
	slices.Sort(all)
	for _, q := range []float64{0.1, 0.5, 0.9, 0.99, 0.999} {
		want, got := all[int(q*float64(len(all)))], h.Quantile(q)
		if f := float64(got) / float64(want); f < 0.985 || f > 1.015 {
			t.Errorf("quantile %v: %v, sorted %v", q, got, want)
		}
	}
	h.Record(0)
	h.Record(100 * Longest)
	if h.Count() != 20_002 || h.Quantile(0) > time.Microsecond || h.Quantile(1) < Longest*99/100 {
		t.Errorf("%d counted, %v to %v", h.Count(), h.Quantile(0), h.Quantile(1))
	}
}
