package clienttime

import (
	"testing"
	"time"
)

// Guards against holds that take a client's time: whatever it has left, three quarters of that stay, no hold reaches the 2 s
// that lose a request, and a pause or a stall is never longer than a hold.
func TestHoldsLeaveTheClientItsTime(t *testing.T) {
	for left := -time.Second; left < time.Minute; left += 7 * time.Millisecond {
		hold, stall, pause := Hold(left), Stall(left), Pause(left)
		if hold < 0 || hold > max(0, left)/4 || hold >= 2*time.Second {
			t.Fatalf("%v left: held for %v", left, hold)
		}
		if stall > hold || pause > hold {
			t.Fatalf("%v left: stalled after %v, paused after %v, held for %v", left, stall, pause, hold)
		}
	}
}
