// Package latency counts how long things took, in memory that does not grow with their
// number: an HDR histogram of microseconds.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Longest is the greatest time that a Histogram tells apart; a longer one counts as it.
const Longest = time.Hour

// Histogram counts times from a microsecond to Longest. Make it with New. It is not safe
// for concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// New makes an empty one that keeps so many significant figures, 1 to 5: with 3 a quantile
// is within 0.1% of the time that was taken.
func New(figures int) *Histogram {
	return &Histogram{hdrhistogram.New(1, Longest.Microseconds(), figures)}
}

// Record takes a time; one below a microsecond counts as that.
func (h *Histogram) Record(d time.Duration) {
	_ = h.h.RecordValue(min(max(1, d.Microseconds()), Longest.Microseconds())) // within its bounds, so it takes it
}

// Quantile gives a quantile, q from 0 to 1; 0 if nothing was recorded.
func (h *Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.h.ValueAtQuantile(100*q)) * time.Microsecond
}

// Count gives how many times were recorded.
func (h *Histogram) Count() int64 { return h.h.TotalCount() }
