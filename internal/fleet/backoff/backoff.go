// Package backoff decides when a crashed process is started again, and when no
// more. It does no I/O and has no clock.
package backoff

import "time"

// Policy says how.
type Policy struct {
	First  time.Duration // wait after the first crash; doubled after each further one
	Most   time.Duration // and never longer
	Steady time.Duration // a process that ran for so long counts as well again
	Limit  int           // crashes in a row after which it is left alone
}

// Tracker follows one process. Make it with its Policy.
type Tracker struct {
	Policy
	crashes int
	started time.Time
}

// Started notes that the process was started.
func (t *Tracker) Started(now time.Time) { t.started = now }

// Reset forgets all crashes, as when an operator starts the process.
func (t *Tracker) Reset() { t.crashes = 0 }

// Crashes gives the crashes in a row.
func (t *Tracker) Crashes() int { return t.crashes }

// Crashed notes that the process ended unasked, or could not be started. It gives
// how long to wait before the next start, or that there is to be none.
func (t *Tracker) Crashed(now time.Time) (wait time.Duration, giveUp bool) {
	if !t.started.IsZero() && now.Sub(t.started) >= t.Steady {
		t.crashes = 0
	}
	t.started = time.Time{}
	t.crashes++
	if t.crashes >= t.Limit {
		return 0, true
	}
	wait = t.First
	for range t.crashes - 1 {
		if wait = min(2*wait, t.Most); wait == t.Most {
			break
		}
	}
	return wait, false
}
