package core

import "time"

// clockOrigin is what the module's clock shows when the process starts. The
// module takes a start time of 0 or less as "long ago", so servers that came up
// shortly before this process did must still get a positive one, or a cold
// server would pass for a warm one.
const clockOrigin = time.Hour

// Clock is the module's clock: monotonic, from the start of the process. Make it with
// NewClock.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now()} }

// Now gives the module's time.
func (c Clock) Now() time.Duration { return time.Since(c.start) + clockOrigin }

// Start gives the wall time at which the clock was started.
func (c Clock) Start() time.Time { return c.start }

// Wall gives the wall time of a module's time.
func (c Clock) Wall(at time.Duration) time.Time { return c.start.Add(at - clockOrigin) }

// FromUnixMs maps a wall time in milliseconds; 0, and what is older than the clock, is 0.
func (c Clock) FromUnixMs(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, time.UnixMilli(ms).Sub(c.start.Round(0))+clockOrigin)
}
