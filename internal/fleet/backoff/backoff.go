// Package backoff decides when a crashed process is restarted, and when restarts
// stop. It does no I/O and has no clock.
package backoff

import "time"

// Policy configures restarts.
type Policy struct {
	Initial     time.Duration // delay after the first crash; doubled after each further one
	Max         time.Duration // upper bound of the delay
	StableAfter time.Duration // running this long resets the crash count
	MaxCrashes  int           // consecutive crashes after which restarts stop
}

// Tracker counts the crashes of one process. Create it with its Policy set.
type Tracker struct {
	Policy
	crashes int
	started time.Time
}

// RecordStart records that the process was started.
func (t *Tracker) RecordStart(now time.Time) { t.started = now }

// Reset clears the crash count, for example when an operator starts the process.
func (t *Tracker) Reset() { t.crashes = 0 }

// Crashes returns the number of consecutive crashes.
func (t *Tracker) Crashes() int { return t.crashes }

// RecordCrash records that the process exited unexpectedly or could not be started.
// It returns the delay before the next start, or that restarts stop.
func (t *Tracker) RecordCrash(now time.Time) (wait time.Duration, giveUp bool) {
	if !t.started.IsZero() && now.Sub(t.started) >= t.StableAfter {
		t.crashes = 0
	}
	t.started = time.Time{}
	t.crashes++
	if t.crashes >= t.MaxCrashes {
		return 0, true
	}
	wait = t.Initial
	for range t.crashes - 1 {
		if wait = min(2*wait, t.Max); wait == t.Max {
			break
		}
	}
	return wait, false
}
