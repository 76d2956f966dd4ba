package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// maxInWindow returns the largest number of times within any window of the given length.
func maxInWindow(all []time.Duration, within time.Duration) (n int) {
	slices.Sort(all)
	from := 0
	for to := range all {
		for all[to]-all[from] > within {
			from++
		}
		n = max(n, to-from+1)
	}
	return n
}

// startTimes returns when one party may start n events; wait is the delay between its requests.
func startTimes(b Bound, n int, draw func() float64, wait func() time.Duration) (all []time.Duration) {
	turns, now := b.NewSchedule(draw), time.Duration(0)
	for range n {
		all = append(all, turns.Next(now))
		now += wait()
	}
	return all
}

func noWait() time.Duration { return 0 }

// Property test: for any number of parties, joining times and numbers of events, no window exceeds the
// bound, every event is eventually scheduled, and with at most Burst parties the first one starts at once.
func TestRateBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bound{
			Parties: rapid.IntRange(1, 60).Draw(t, "parties"),
			Rate:    rapid.Float64Range(0.5, 200).Draw(t, "rate"),
			Burst:   rapid.IntRange(0, 40).Draw(t, "burst"),
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 33))
		var all []time.Duration
		simultaneous := rapid.Bool().Draw(t, "together")
		for range b.Parties {
			joined := time.Duration(0)
			if !simultaneous {
				joined = time.Duration(rng.Int64N(int64(10 * time.Second)))
			}
			wait := noWait
			if rng.IntN(2) == 0 {
				wait = func() time.Duration { return time.Duration(rng.Int64N(int64(3 * time.Second))) }
			}
			schedule := startTimes(b, rapid.IntRange(0, 20).Draw(t, "things"), rng.Float64, wait)
			if !slices.IsSorted(schedule) {
				t.Fatalf("schedule %v is not in ascending order", schedule)
			}
			if b.Parties <= b.Burst && len(schedule) > 0 && schedule[0] != 0 {
				t.Fatalf("first event delayed by %v", schedule[0])
			}
			for _, at := range schedule {
				all = append(all, joined+at)
			}
		}
		for _, within := range []time.Duration{0, 100 * time.Millisecond, time.Second, 10 * time.Second} {
			if n, bound := maxInWindow(all, within), b.Rate*within.Seconds()+float64(b.Parties); float64(n) > bound+1e-6 {
				t.Fatalf("%d events within %v, want at most %.1f", n, within, bound)
			}
		}
	})
}

// 1,000 parties that join at the same time are spread: from the start no 100 ms window holds many more
// events than the rate allows. Without the random offsets all of them would fall into one window.
func TestSimultaneousPartiesAreSpread(t *testing.T) {
	b := Bound{Parties: 1000, Rate: 100, Burst: 32}
	rng := rand.New(rand.NewPCG(1, 33))
	var all, unspread []time.Duration
	for range b.Parties {
		all = append(all, startTimes(b, 3, rng.Float64, noWait)...)
		unspread = append(unspread, startTimes(b, 3, func() float64 { return 0 }, noWait)...)
	}
	if n := maxInWindow(all, 100*time.Millisecond); n > 30 {
		t.Errorf("%d events within 100 ms, want at most 30 (mean 10)", n)
	}
	if n := maxInWindow(unspread, 100*time.Millisecond); n != b.Parties {
		t.Errorf("without random offsets: %d events within 100 ms, want all parties", n)
	}
}

func TestZeroRateIsUnlimited(t *testing.T) {
	for _, at := range startTimes(Bound{Parties: 1000}, 50, rand.Float64, noWait) {
		if at != 0 {
			t.Errorf("event delayed by %v without a rate limit", at)
		}
	}
}
