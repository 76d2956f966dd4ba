package standin

import (
	"sync"
	"time"
)

const (
	// peakWindow is the sliding window in which Peak counts.
	peakWindow = 100 * time.Millisecond
	// maxPeakEvents bounds the memory of the window: more events within it count as this many.
	maxPeakEvents = 10_000
)

// Peak counts events and tracks the highest number of them within any 100 ms. The zero value is ready to use.
type Peak struct {
	mu      sync.Mutex
	total   int
	highest int
	recent  []time.Time // events in the current window, maxPeakEvents at most
}

// Add counts an event that happens now.
func (p *Peak) Add() { p.At(time.Now()) }

// At counts an event at a given time, which must not be earlier than that of the event before.
func (p *Peak) At(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total++
	expired := 0
	for expired < len(p.recent) && now.Sub(p.recent[expired]) > peakWindow {
		expired++
	}
	p.recent = p.recent[expired:]
	if len(p.recent) < maxPeakEvents {
		p.recent = append(p.recent, now)
	}
	p.highest = max(p.highest, len(p.recent))
}

// Reset sets all counts to 0.
func (p *Peak) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total, p.highest, p.recent = 0, 0, nil
}

// Counts returns the number of events and the highest number within 100 ms.
func (p *Peak) Counts() (all, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total, p.highest
}
