package standin

import (
	"testing"
	"time"
)

// The most within 100 ms is told, also behind the bound of what is kept.
func TestPeak(t *testing.T) {
	var p Peak
	began := time.Now()
	for n := range 50 {
		p.At(began.Add(time.Duration(n) * 10 * time.Millisecond))
	}
	if all, most := p.Counts(); all != 50 || most != 11 {
		t.Errorf("%d, %d within 100 ms", all, most)
	}
	for range peakMost + 5 {
		p.At(began.Add(time.Minute))
	}
	if all, most := p.Counts(); all != 50+peakMost+5 || most != peakMost {
		t.Errorf("%d, %d within 100 ms", all, most)
	}
	p.Reset()
	if all, most := p.Counts(); all+most != 0 {
		t.Errorf("%d, %d behind the reset", all, most)
	}
}
