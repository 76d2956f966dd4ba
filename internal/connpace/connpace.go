// Package connpace keeps one connection from taking the turns of others.
//
// The goroutines of a connection that always has input wake each other. Go's scheduler runs a goroutine that was just
// woken before all that wait, in the time slice of the one that woke it, and looks at the network only when nothing is
// left to run. On few cores other connections, timers and calls are then late by seconds. A goroutine that sleeps gives
// up its turn.
package connpace

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// answerBurst is the number of answers on one connection that are given without delay.
const answerBurst = 20

// Answers paces the answers on one connection for which no server is asked: a burst at once, then one an interval.
// Create it with NewAnswers; it is safe for concurrent use.
type Answers struct {
	interval time.Duration

	mu       sync.Mutex
	freeFrom time.Time // when the next answer would be free of delay if the burst were one
}

// NewAnswers returns a pace of one answer an interval.
func NewAnswers(interval time.Duration) *Answers { return &Answers{interval: interval} }

// Delay records an answer at now and returns how long it has to wait.
func (a *Answers) Delay(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freeFrom.Before(now) {
		a.freeFrom = now
	}
	delay := a.freeFrom.Sub(now) - (answerBurst-1)*a.interval
	a.freeFrom = a.freeFrom.Add(a.interval)
	return max(0, delay)
}

const (
	// busyReads is the number of reads in a row, none of which had to wait, after which a reader pauses.
	busyReads = 16
	// waited is how long a read takes at least that had to wait for its input.
	waited   = 50 * time.Microsecond
	maxPause = 5 * time.Millisecond
)

// Reads paces a reader whose input never ends: it pauses for as long as it was busy, so that it takes half of a core
// at most. The zero value is ready to use; calls must not be concurrent.
type Reads struct {
	busy  int       // reads in a row that had to wait for nothing
	since time.Time // when the first of them began
}

// Pause records a read and returns how long the reader has to pause before the next one.
func (r *Reads) Pause(began, ended time.Time) time.Duration {
	if ended.Sub(began) >= waited {
		r.busy = 0
		return 0
	}
	if r.busy == 0 {
		r.since = began
	}
	if r.busy++; r.busy < busyReads {
		return 0
	}
	r.busy = 0
	return min(ended.Sub(r.since), maxPause)
}

// Wait records an answer and waits until it may be given, or ctx ends.
func (a *Answers) Wait(ctx context.Context) {
	delay := a.Delay(time.Now())
	if delay == 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// Conn is a connection whose reads are paced once Enable was called.
type Conn struct {
	net.Conn
	enabled atomic.Bool
	reads   Reads
}

// Enable begins the pacing.
func (c *Conn) Enable() { c.enabled.Store(true) }

// Enabled reports whether Enable was called.
func (c *Conn) Enabled() bool { return c.enabled.Load() }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.enabled.Load() {
		return c.Conn.Read(b)
	}
	began := time.Now()
	n, err := c.Conn.Read(b)
	if pause := c.reads.Pause(began, time.Now()); pause > 0 {
		time.Sleep(pause)
	}
	return n, err
}
