package node

import (
	"sync"
	"time"
)

// manualTerminationClock is a terminationClock that a test sets.
type manualTerminationClock struct {
	mu      sync.Mutex
	elapsed time.Duration
	waiting map[chan time.Time]time.Duration // channels that have not received, and when they do
}

func newManualTerminationClock() *manualTerminationClock {
	return &manualTerminationClock{waiting: map[chan time.Time]time.Duration{}}
}

// Elapsed implements terminationClock.
func (c *manualTerminationClock) Elapsed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.elapsed
}

// Reached implements terminationClock.
func (c *manualTerminationClock) Reached(elapsed time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	reached := make(chan time.Time, 1)
	c.waiting[reached] = elapsed
	c.wake()
	return reached
}

// set moves the clock on.
func (c *manualTerminationClock) set(elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elapsed = elapsed
	c.wake()
}

// wake sends to the channels whose time has come; mu must be held.
func (c *manualTerminationClock) wake() {
	for reached, at := range c.waiting {
		if at <= c.elapsed {
			reached <- time.Time{}
			delete(c.waiting, reached)
		}
	}
}
