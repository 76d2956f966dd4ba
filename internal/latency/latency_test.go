package latency

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Quantiles stay within 1.5% of those of the sorted durations, and durations out of
// bounds are recorded as the nearest bound.
func TestQuantilesMatchSortedDurations(t *testing.T) {
	h, rng := New(3), rand.New(rand.NewPCG(1, 2))
	if h.Quantile(0.5) != 0 {
		t.Error("quantile of an empty histogram is not 0")
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
			t.Errorf("quantile %v: got %v, sorted durations give %v", q, got, want)
		}
	}
	h.Record(0)
	h.Record(100 * Max)
	if h.Count() != 20_002 || h.Quantile(0) > time.Microsecond || h.Quantile(1) < Max*99/100 {
		t.Errorf("%d recorded, quantiles from %v to %v", h.Count(), h.Quantile(0), h.Quantile(1))
	}
}
