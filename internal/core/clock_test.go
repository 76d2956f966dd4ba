package core

import (
	"testing"
	"time"
)

// Guards rule 4: a server that started shortly before the node did is cold too,
// so its start must not fall to 0 or below, which means long ago.
func TestStartBeforeTheProcessStaysKnown(t *testing.T) {
	c := NewClock()
	if at := c.FromUnixMs(c.start.Add(-5 * time.Second).UnixMilli()); at <= 0 || at >= c.Now() {
		t.Errorf("a start 5 s before the process is %v at %v", at, c.Now())
	}
	if at := c.FromUnixMs(0); at != 0 {
		t.Errorf("long ago is %v, want 0", at)
	}
	if at := c.FromUnixMs(1); at != 0 {
		t.Errorf("a start in 1970 is %v, want 0", at)
	}
}
