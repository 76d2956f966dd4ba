package rulecheck

import (
	"testing"
	"time"
)

// With 16 requests allowed per second, up to 16 + 8 + 2 within any second count as random variation and the 27th does
// not. A restart discards earlier arrivals.
func TestColdExcess(t *testing.T) {
	var c ColdLoad
	for n := range 40 { // 26 of them within the first second
		c.Add(time.Duration(n)*38500*time.Microsecond, time.Second, 1, 16)
	}
	if c.Excess() != 0 {
		t.Fatalf("excess of %.1f at 26 requests per second, want 0", c.Excess())
	}
	at := 4 * time.Second
	for range 20 {
		c.Add(at, time.Second, 1, 16)
	}
	c.Restart()
	for range 20 {
		c.Add(at, time.Second, 1, 16)
	}
	if c.Excess() != 0 {
		t.Fatalf("excess of %.1f across a restart, want 0", c.Excess())
	}
	for range 4 {
		c.Add(at, time.Second, 2, 16)
	}
	if c.Excess() != 2 {
		t.Errorf("excess of %.1f, want 2: 20 requests and 4 of twice the work", c.Excess())
	}
}
