package copybuffer

import (
	"testing"

	"otterstep/internal/membudget"
)

// Large buffers take half of the budget at most, further ones are small, and released room is used again.
func TestBuffersShrinkWithTheBudget(t *testing.T) {
	budget := membudget.New(6 * Large)
	account := budget.Account("buffers", 1)
	var held []*Buffer
	for n, want := range []int{Large, Large, Large, Small, Small} {
		b := Get(account)
		if len(b.Bytes) != want {
			t.Errorf("buffer %d has %d bytes, want %d", n+1, len(b.Bytes), want)
		}
		held = append(held, b)
	}
	held[0].Release()
	if again := Get(account); len(again.Bytes) != Large {
		t.Errorf("%d bytes behind a release", len(again.Bytes))
	} else {
		held[0] = again
	}
	for _, b := range held {
		b.Release()
	}
	if u := budget.Inspect()[0]; u.Held != 0 {
		t.Errorf("left behind: %+v", u)
	}
}
