package ledger

import (
	"testing"
	"time"
)

// 16 allowed in a second: up to 16 + 8 + 2 within any second is chance, the 27th is not; a start forgets.
func TestColdCountsBeyondChance(t *testing.T) {
	var c Cold
	for n := range 40 { // 26 of them within the first second
		c.Add(time.Duration(n)*38500*time.Microsecond, time.Second, 1, 16)
	}
	if c.Over() != 0 {
		t.Fatalf("%.1f over at 26 a second", c.Over())
	}
	at := 4 * time.Second
	for range 20 {
		c.Add(at, time.Second, 1, 16)
	}
	c.Restart()
	for range 20 {
		c.Add(at, time.Second, 1, 16)
	}
	if c.Over() != 0 {
		t.Fatalf("%.1f over, though it started between", c.Over())
	}
	for range 4 {
		c.Add(at, time.Second, 2, 16)
	}
	if c.Over() != 2 {
		t.Errorf("%.1f over, want 2: 20 and 4 of twice the work", c.Over())
	}
}
