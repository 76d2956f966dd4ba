package core

import "time"

// clockOrigin is the reading of the pool's clock when the process starts. The decision
// module treats a server start time of 0 or less as "long ago", so servers that started
// shortly before this process must still get a positive one; otherwise a cold server would
// be taken for a warm one.
const clockOrigin = time.Hour

// Clock is the monotonic clock of the decision module. It starts with the process. Use
// NewClock to create one.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at clockOrigin.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the current reading.
func (c Clock) Now() time.Duration { return time.Since(c.start) + clockOrigin }

// Start returns the wall time at which the clock was started.
func (c Clock) Start() time.Time { return c.start }

// Wall converts a reading to wall time.
func (c Clock) Wall(at time.Duration) time.Time { return c.start.Add(at - clockOrigin) }

// FromUnixMs converts a Unix time in milliseconds to a reading; 0, and times before the
// clock's origin, give 0.
func (c Clock) FromUnixMs(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, time.UnixMilli(ms).Sub(c.start.Round(0))+clockOrigin)
}
