package standin

import (
	"sync"
	"time"
)

const (
	// peakWithin is the stretch in which Peak counts.
	peakWithin = 100 * time.Millisecond
	// peakMost bounds what it tells: more within a stretch counts as this many.
	peakMost = 10_000
)

// Peak counts events, and the most of them within any 100 ms. Its zero value is ready.
type Peak struct {
	mu     sync.Mutex
	all    int
	most   int
	recent []time.Time // of the last stretch, peakMost at most
}

// Add counts an event that happens now.
func (p *Peak) Add() { p.At(time.Now()) }

// At counts an event that happened at a time, no earlier than the one before it.
func (p *Peak) At(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all++
	old := 0
	for old < len(p.recent) && now.Sub(p.recent[old]) > peakWithin {
		old++
	}
	p.recent = p.recent[old:]
	if len(p.recent) < peakMost {
		p.recent = append(p.recent, now)
	}
	p.most = max(p.most, len(p.recent))
}

// Reset begins anew.
func (p *Peak) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all, p.most, p.recent = 0, 0, nil
}

// Counts gives how many there were, and the most within 100 ms.
func (p *Peak) Counts() (all, most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all, p.most
}
