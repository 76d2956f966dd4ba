package comeback

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Whoever comes back may: never beyond its tries or its time, never with unsafe work that
// may have run, and those who heed an answer wait for at least as long as it says.
func TestNobodyComesBackWhoMustNot(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	came := map[string]int{}
	for range 200_000 {
		h := Habits{Tries: rng.IntN(4), Heed: rng.Float64(), Rash: rng.Float64() / 2}
		a := Answer{
			Tries: 1 + rng.IntN(4), Refused: rng.IntN(2) == 0, Unsafe: rng.IntN(2) == 0,
			RetryAfter: time.Duration(rng.Int64N(int64(time.Second))), Left: time.Duration(rng.Int64N(int64(2 * time.Second))),
		}
		c := h.Draw(rng)
		wait, again := c.Again(a, rng)
		if !again {
			came["left"]++
			continue
		}
		late := a.Left-wait < leastLeft
		switch {
		case a.Tries >= max(1, h.Tries), late, a.Unsafe && !a.Refused:
			t.Fatalf("%+v comes back after %v of %+v", c, wait, a)
		case wait == 0 && c.rash:
			came["at once"]++
		case !c.heeds, !a.Refused, wait < a.RetryAfter, wait > a.RetryAfter*3/2:
			t.Fatalf("%+v comes back after %v of %+v", c, wait, a)
		default:
			came["later"]++
		}
	}
	for _, how := range []string{"left", "at once", "later"} {
		if came[how] < 1000 {
			t.Errorf("%s: %d", how, came[how])
		}
	}
	if _, again := (Client{tries: 3, heeds: true}).Again(Answer{Tries: 1, Refused: true, RetryAfter: 100 * time.Millisecond, Left: time.Second}, rng); !again {
		t.Error("one that may and would does not come back")
	}
}
