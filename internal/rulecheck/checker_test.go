package rulecheck

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Compares Checker, which keeps only bounded state, with a reference model that evaluates
// the complete history of each request at the end: both must count the same violations.
func TestAgainstReferenceModel(t *testing.T) {
	type event struct {
		at     time.Duration
		answer bool
		o      Outcome
		told   time.Duration
		ran    bool
	}
	const drain, late, window = 500 * time.Millisecond, 300 * time.Millisecond, time.Second
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l, want := New(drain, late), map[Violation]int{}
		for range 20 {
			effect, r := Effect(rng.IntN(3)), &Record{}
			deadline := time.Duration(1+rng.IntN(3000)) * time.Millisecond
			now := time.Duration(1)
			var history []event
			for range rng.IntN(8) {
				now += time.Duration(rng.IntN(800)) * time.Millisecond
				e := event{at: now, answer: rng.IntN(3) == 0, o: Outcome(rng.IntN(int(Outcomes)))}
				if e.answer {
					l.Answer(now, r, "r", e.o, deadline)
				} else {
					if rng.IntN(4) == 0 {
						e.told = max(1, now-time.Duration(rng.IntN(1000))*time.Millisecond)
					}
					l.Attempt(now, r, "r", "s", e.told)
					e.ran = l.Ran(now, r, "r", "s", effect, window)
				}
				history = append(history, e)
			}
			runs, lastRun, answer := 0, time.Duration(0), (*event)(nil)
			for i := range history {
				switch e := &history[i]; {
				case e.answer && answer != nil:
					want[SecondAnswer]++
				case e.answer:
					answer = e
					if e.o == Lost {
						want[NoAnswer]++
					} else if e.at > deadline {
						want[LateAnswer]++
					}
					if e.o == Refused && effect == Unsafe && runs > 0 {
						want[RefusedRan]++
					}
				default:
					if answer != nil && e.at-answer.at > late {
						want[LateAttempt]++
					}
					if e.told > 0 && e.at-e.told > drain {
						want[AfterDrain]++
					}
					dropped := effect == Keyed && runs > 0 && e.at-lastRun < window
					if dropped == e.ran {
						t.Fatalf("seed %d: repeat dropped: %v, want %v", seed, !e.ran, dropped)
					}
					if dropped {
						continue
					}
					if runs++; effect != Safe && runs > 1 {
						want[RanTwice]++
					}
					lastRun = e.at
					if answer != nil && answer.o == Refused && effect == Unsafe {
						want[RefusedRan]++
					}
				}
			}
		}
		got := l.Report()
		sum := 0
		for _, b := range []Violation{NoAnswer, SecondAnswer, LateAnswer, LateAttempt, RanTwice, RefusedRan, AfterDrain, PushedOver} {
			if got.Broken[b] != want[b] {
				t.Fatalf("seed %d: %q %d times, want %d", seed, b, got.Broken[b], want[b])
			}
			sum += want[b]
		}
		if got.Violations != sum || len(got.Descriptions) != min(sum, maxDescriptions) {
			t.Fatalf("seed %d: %d violations, %d descriptions, want %d", seed, got.Violations, len(got.Descriptions), sum)
		}
	}
}

// The number of kept descriptions is bounded however many violations there are.
func TestDescriptionsAreBounded(t *testing.T) {
	l := New(0, 0)
	for range 10 * maxDescriptions {
		l.FellOver("s1")
	}
	if r := l.Report(); r.Violations != 10*maxDescriptions || len(r.Descriptions) != maxDescriptions || r.Broken[PushedOver] != 10*maxDescriptions {
		t.Errorf("%d violations, %d descriptions", r.Violations, len(r.Descriptions))
	}
}
