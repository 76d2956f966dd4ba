package clientretry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A client never retries beyond its attempt limit or deadline, never retries an unsafe
// request that may have run, and waits at least Retry-After where it honors it.
func TestRetryRules(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	outcomes := map[string]int{}
	for range 200_000 {
		h := Behavior{MaxAttempts: rng.IntN(4), HonorRetryAfter: rng.Float64(), RetryImmediately: rng.Float64() / 2}
		a := Answer{
			Attempts: 1 + rng.IntN(4), Refused: rng.IntN(2) == 0, Unsafe: rng.IntN(2) == 0,
			RetryAfter: time.Duration(rng.Int64N(int64(time.Second))), TimeLeft: time.Duration(rng.Int64N(int64(2 * time.Second))),
		}
		c := h.Draw(rng)
		wait, again := c.Retry(a, rng)
		if !again {
			outcomes["left"]++
			continue
		}
		late := a.TimeLeft-wait < minTimeLeft
		switch {
		case a.Attempts >= max(1, h.MaxAttempts), late, a.Unsafe && !a.Refused:
			t.Fatalf("client %+v retries after %v following %+v", c, wait, a)
		case wait == 0 && c.retriesImmediately:
			outcomes["at once"]++
		case !c.honorsRetryAfter, !a.Refused, wait < a.RetryAfter, wait > a.RetryAfter*3/2:
			t.Fatalf("client %+v retries after %v following %+v", c, wait, a)
		default:
			outcomes["later"]++
		}
	}
	for _, how := range []string{"left", "at once", "later"} {
		if outcomes[how] < 1000 {
			t.Errorf("outcome %q drawn %d times, want at least 1000", how, outcomes[how])
		}
	}
	if _, again := (Client{maxAttempts: 3, honorsRetryAfter: true}).Retry(Answer{Attempts: 1, Refused: true, RetryAfter: 100 * time.Millisecond, TimeLeft: time.Second}, rng); !again {
		t.Error("a client that honors Retry-After and has attempts and time left does not retry")
	}
}
