// Package latency records durations in an HDR histogram with microsecond resolution. Memory
// use does not depend on the number of recorded values.
package latency

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Max is the largest duration that a Histogram can represent; longer ones are recorded as Max.
const Max = time.Hour

// Histogram records durations from one microsecond to Max. Create it with New. It is not
// safe for concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// New returns an empty histogram with the given number of significant figures, 1 to 5. With
// 3 a quantile is within 0.1% of the recorded value.
func New(figures int) *Histogram {
	return &Histogram{hdrhistogram.New(1, Max.Microseconds(), figures)}
}

// Record adds a duration; one below a microsecond is recorded as a microsecond.
func (h *Histogram) Record(d time.Duration) {
	_ = h.h.RecordValue(min(max(1, d.Microseconds()), Max.Microseconds())) // cannot fail: the value is within the histogram's bounds
}

// Quantile returns the q-quantile, with q from 0 to 1, or 0 if nothing was recorded.
func (h *Histogram) Quantile(q float64) time.Duration {
	return time.Duration(h.h.ValueAtQuantile(100*q)) * time.Microsecond
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 { return h.h.TotalCount() }
