package node

import (
	"context"
	"time"
)

// terminationClock counts the time since SIGTERM.
type terminationClock interface {
	Elapsed() time.Duration
	// Reached returns a channel that receives once that much time has passed since SIGTERM.
	Reached(elapsed time.Duration) <-chan time.Time
}

// systemTerminationClock counts the time since a moment by the system's clock.
type systemTerminationClock struct{ terminatedAt time.Time }

// startTerminationClock returns a clock that counts from now on.
func startTerminationClock() terminationClock { return systemTerminationClock{time.Now()} }

// Elapsed implements terminationClock.
func (c systemTerminationClock) Elapsed() time.Duration { return time.Since(c.terminatedAt) }

// Reached implements terminationClock.
func (c systemTerminationClock) Reached(elapsed time.Duration) <-chan time.Time {
	return time.After(elapsed - c.Elapsed())
}

// contextUntil returns a context that is done once that much time has passed since SIGTERM.
func contextUntil(ctx context.Context, clock terminationClock, elapsed time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-clock.Reached(elapsed):
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
