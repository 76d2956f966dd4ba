// Package boottime is time as leases measure it: a clock that is never set and goes on while
// the machine sleeps (CLOCK_BOOTTIME, clock_gettime(2)). Go's monotonic clock stands still in a
// suspend, so that an owner would wake up and believe in a lease that others saw end.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since some fixed moment. Tests put clocks in its place that run fast
// or slow, or jump.
type Clock interface{ Now() time.Duration }

// System is the machine's own clock.
type System struct{}

// Now implements Clock: the time since the machine was started, sleep counted.
func (System) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Errorf("boottime: %w", err)) // Linux has had it since 2.6.39
	}
	return time.Duration(t.Nano())
}

// Func is a clock made of a function.
type Func func() time.Duration

// Now implements Clock.
func (f Func) Now() time.Duration { return f() }
