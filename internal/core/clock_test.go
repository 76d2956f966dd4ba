package core

import (
	"testing"
	"time"
)

// A server that started shortly before the node is still cold, so its start time must not
// become 0 or negative, which the module reads as "long ago" and hence as warm.
func TestServerStartBeforeProcessStaysPositive(t *testing.T) {
	c := NewClock()
	if at := c.FromUnixMs(c.start.Add(-5 * time.Second).UnixMilli()); at <= 0 || at >= c.Now() {
		t.Errorf("a server start 5 s before the process maps to %v at clock %v", at, c.Now())
	}
	if at := c.FromUnixMs(0); at != 0 {
		t.Errorf("an unknown start time maps to %v, want 0", at)
	}
	if at := c.FromUnixMs(1); at != 0 {
		t.Errorf("a start in 1970 maps to %v, want 0", at)
	}
}
