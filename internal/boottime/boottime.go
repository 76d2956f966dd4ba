// Package boottime provides the clock that leases are measured with: CLOCK_BOOTTIME (clock_gettime(2)),
// which is never set and keeps running while the machine is suspended. Go's monotonic clock stops during
// a suspend, so a lease holder could resume and still trust a lease that others have seen expire.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed moment. Tests substitute clocks that run fast or slow, or jump.
type Clock interface{ Now() time.Duration }

// System is the machine's own clock.
type System struct{}

// Now implements Clock: the time since the machine booted, including time spent suspended.
func (System) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Errorf("boottime: %w", err)) // CLOCK_BOOTTIME exists since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}

// Func adapts a function to Clock.
type Func func() time.Duration

// Now implements Clock.
func (f Func) Now() time.Duration { return f() }
