package lifecycle

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestStates(t *testing.T) {
	at := time.Unix(100, 0)
	var l Lifecycle
	step := func(name string, do func(), want State, closes, leaves bool) {
		t.Helper()
		do()
		if got := l.State(); got != want || l.ClosesAfterAnswer(at) != closes || l.ClosesIdle(at) != leaves {
			t.Errorf("%s: %v, closes %v, leaves %v; want %v, %v, %v", name, got, l.ClosesAfterAnswer(at), l.ClosesIdle(at), want, closes, leaves)
		}
	}
	step("initial state", func() {}, Starting, false, false)
	step("resume without quiesce", func() { l.Resume() }, Starting, false, false)
	step("quiesce before the first list", func() { l.Quiesce(at) }, Starting, false, false)
	step("ready", l.Ready, Quiesced, false, false)
	step("just before answers close connections", func() { at = at.Add(closeAnswersAfter - 1) }, Quiesced, false, false)
	step("answers close connections", func() { at = at.Add(1) }, Quiesced, true, false)
	step("repeated quiesce", func() { l.Quiesce(at) }, Quiesced, true, false)
	step("idle connections are closed", func() { at = at.Add(closeIdleAfter) }, Quiesced, true, true)
	step("resume", func() { l.Resume() }, Serving, false, false)
	step("repeated resume", func() { l.Resume() }, Serving, false, false)
	step("second quiesce", func() { l.Quiesce(at) }, Quiesced, false, false)
	step("told to end", l.End, Ending, false, false)
	step("resume while ending", func() { l.Resume() }, Ending, false, false)
}

// Two processes that tell each other of each call agree on the last one, even if an older call arrives again.
func TestMergeConverges(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		at := time.Unix(100, 0)
		var one, other Lifecycle
		var last QuiesceState
		for range 1 + rng.IntN(12) {
			a, b := &one, &other
			if rng.IntN(2) == 0 {
				a, b = b, a
			}
			if rng.IntN(2) == 0 {
				last = a.Quiesce(at)
			} else {
				last = a.Resume()
			}
			b.Merge(at, last)
			if rng.IntN(3) == 0 {
				a.Merge(at, b.QuiesceState())
				b.Merge(at, QuiesceState{!last.Quiesced, last.Changes - 1}) // an older call
			}
		}
		if one.QuiesceState() != last || other.QuiesceState() != last {
			t.Fatalf("seed %d: %v and %v, want %v", seed, one.QuiesceState(), other.QuiesceState(), last)
		}
	}
}
