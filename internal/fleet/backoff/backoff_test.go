package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Compares the tracker with a simple model: delays double from Initial up to Max, a run of
// StableAfter resets the count, and MaxCrashes consecutive crashes stop restarts.
func TestTrackerMatchesModel(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := Policy{Initial: time.Duration(1 + rng.IntN(1000)), StableAfter: time.Duration(1 + rng.IntN(5000)), MaxCrashes: 1 + rng.IntN(12)}
		p.Max = p.Initial + time.Duration(rng.IntN(20000))
		tracker := Tracker{Policy: p}
		now := time.Unix(1, 0)
		waits := []time.Duration{} // delays of the consecutive crashes so far
		for range 60 {
			ran := time.Duration(rng.IntN(7000))
			if rng.IntN(5) > 0 {
				tracker.RecordStart(now)
				now = now.Add(ran)
				if ran >= p.StableAfter {
					waits = waits[:0]
				}
			}
			wait, giveUp := tracker.RecordCrash(now)
			want := p.Initial
			if n := len(waits); n > 0 {
				want = min(2*waits[n-1], p.Max)
			}
			waits = append(waits, want)
			if tracker.Crashes() != len(waits) {
				t.Fatalf("seed %d: %d crashes, want %d", seed, tracker.Crashes(), len(waits))
			}
			if giveUp != (len(waits) >= p.MaxCrashes) || !giveUp && wait != want {
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
	tracker := Tracker{Policy: Policy{Initial: time.Second, Max: time.Hour, MaxCrashes: 1 << 30}}
	for range 500 {
		if wait, _ := tracker.RecordCrash(time.Now()); wait <= 0 || wait > time.Hour {
			t.Fatalf("wait %v after %d crashes", wait, tracker.Crashes())
		}
	}
}
