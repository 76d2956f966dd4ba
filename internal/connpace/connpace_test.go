package connpace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// However the answers come, no more than the burst and the rate allow are given in any span of time, and one within
// them does not wait.
func TestAnswersKeepToTheRate(t *testing.T) {
	const interval = 50 * time.Millisecond
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := NewAnswers(interval)
		now := time.Unix(100, 0)
		var given []time.Time
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(int(2*interval) >> rng.IntN(8))))
			delay := a.Delay(now)
			now = now.Add(delay) // an answer that waits holds up those behind it
			given = append(given, now)
			if n := len(given); delay > 0 && n > answerBurst && now.Sub(given[n-1-answerBurst]) > answerBurst*interval {
				t.Fatalf("seed %d: answer %d waited for %v, though %d answers took %v", seed, n, delay, answerBurst, now.Sub(given[n-1-answerBurst]))
			}
		}
		for from := range given {
			for to := from; to < len(given); to++ {
				if most := answerBurst + int(given[to].Sub(given[from])/interval); to-from+1 > most {
					t.Fatalf("seed %d: %d answers within %v, want %d at most", seed, to-from+1, given[to].Sub(given[from]), most)
				}
			}
		}
	}
}

// A reader that never waits for its input pauses for half of the time; one that waits now and then does not pause.
func TestReadsPauseOnlyWithoutWaiting(t *testing.T) {
	const work = 40 * time.Microsecond
	run := func(waits func(n int) bool) (busy, paused time.Duration) {
		var r Reads
		now := time.Unix(100, 0)
		for n := range 1000 {
			began := now
			if waits(n) {
				now = now.Add(waited)
			}
			pause := r.Pause(began, now)
			now = now.Add(pause + work)
			busy, paused = busy+work, paused+pause
		}
		return busy, paused
	}
	if busy, paused := run(func(int) bool { return false }); paused < busy*8/10 {
		t.Errorf("paused for %v of %v", paused, busy+paused)
	}
	if _, paused := run(func(n int) bool { return n%(busyReads-1) == 0 }); paused != 0 {
		t.Errorf("paused for %v though the reader waited for its input", paused)
	}
}
