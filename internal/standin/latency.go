package standin

import (
	"slices"
	"sync"
	"time"
)

// latencies keeps the latest times in a ring.
type latencies struct {
	mu   sync.Mutex
	ring []time.Duration
	next int
}

func newLatencies(most int) *latencies { return &latencies{ring: make([]time.Duration, 0, most)} }

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ring) < cap(l.ring) {
		l.ring = append(l.ring, d)
		return
	}
	l.ring[l.next] = d
	l.next = (l.next + 1) % len(l.ring)
}

func (l *latencies) quantile(q float64) time.Duration {
	l.mu.Lock()
	all := slices.Clone(l.ring)
	l.mu.Unlock()
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}
