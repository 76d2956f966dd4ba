package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Against a plain model: waits double from First up to Most, a steady run forgives
// all crashes, and Limit crashes in a row end it.
func TestTrackerAgainstAModel(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := Policy{First: time.Duration(1 + rng.IntN(1000)), Steady: time.Duration(1 + rng.IntN(5000)), Limit: 1 + rng.IntN(12)}
		p.Most = p.First + time.Duration(rng.IntN(20000))
		tracker := Tracker{Policy: p}
		now := time.Unix(1, 0)
		waits := []time.Duration{} // of the crashes in a row so far
		for range 60 {
			ran := time.Duration(rng.IntN(7000))
			if rng.IntN(5) > 0 {
				tracker.Started(now)
				now = now.Add(ran)
				if ran >= p.Steady {
					waits = waits[:0]
				}
			}
			wait, giveUp := tracker.Crashed(now)
			want := p.First
			if n := len(waits); n > 0 {
				want = min(2*waits[n-1], p.Most)
			}
			waits = append(waits, want)
			if tracker.Crashes() != len(waits) {
				t.Fatalf("seed %d: %d crashes, want %d", seed, tracker.Crashes(), len(waits))
			}
			if giveUp != (len(waits) >= p.Limit) || !giveUp && wait != want {
				t.Fatalf("seed %d: crash %d: wait %v, give up %v, want %v of %+v", seed, len(waits), wait, giveUp, want, p)
			}
			if giveUp {
				tracker.Reset()
				waits = waits[:0]
			}
		}
	}
}

func TestHugeLimitDoesNotOverflow(t *testing.T) {
	tracker := Tracker{Policy: Policy{First: time.Second, Most: time.Hour, Limit: 1 << 30}}
	for range 500 {
		if wait, _ := tracker.Crashed(time.Now()); wait <= 0 || wait > time.Hour {
			t.Fatalf("wait %v after %d crashes", wait, tracker.Crashes())
		}
	}
}
