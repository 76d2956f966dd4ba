package standin

import (
	"testing"
	"time"
)

// The highest number within 100 ms is reported, and stays at the bound when more events come than are stored.
func TestPeak(t *testing.T) {
	var p Peak
	began := time.Now()
	for n := range 50 {
		p.At(began.Add(time.Duration(n) * 10 * time.Millisecond))
	}
	if all, most := p.Counts(); all != 50 || most != 11 {
		t.Errorf("%d, %d within 100 ms", all, most)
	}
	for range maxPeakEvents + 5 {
		p.At(began.Add(time.Minute))
	}
	if all, most := p.Counts(); all != 50+maxPeakEvents+5 || most != maxPeakEvents {
		t.Errorf("%d, %d within 100 ms", all, most)
	}
	p.Reset()
	if all, most := p.Counts(); all+most != 0 {
		t.Errorf("%d, %d after the reset", all, most)
	}
}
