package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/standin/drawn"
)

func TestMain(m *testing.M) { drawn.Main(m) }

// most gives the greatest number of times within any stretch.
func most(all []time.Duration, within time.Duration) (n int) {
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

// times gives a party's turns for n things that it wants at drawn moments, or all at first.
func times(b Bound, n int, draw func() float64, wait func() time.Duration) (all []time.Duration) {
	turns, now := b.Turns(draw), time.Duration(0)
	for range n {
		all = append(all, turns.Next(now))
		now += wait()
	}
	return all
}

func atOnce() time.Duration { return 0 }

// However many parties come at whatever moments with however much to begin: no stretch of time
// sees more than the bound, all is begun in the end, and who is alone begins at once.
func TestBoundHoldsByArithmetic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bound{
			Parties: rapid.IntRange(1, 60).Draw(t, "parties"),
			Rate:    rapid.Float64Range(0.5, 200).Draw(t, "rate"),
			Burst:   rapid.IntRange(0, 40).Draw(t, "burst"),
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 33))
		var all []time.Duration
		together := rapid.Bool().Draw(t, "together")
		for range b.Parties {
			came := time.Duration(0)
			if !together {
				came = time.Duration(rng.Int64N(int64(10 * time.Second)))
			}
			wait := atOnce
			if rng.IntN(2) == 0 {
				wait = func() time.Duration { return time.Duration(rng.Int64N(int64(3 * time.Second))) }
			}
			own := times(b, rapid.IntRange(0, 20).Draw(t, "things"), rng.Float64, wait)
			if !slices.IsSorted(own) {
				t.Fatalf("%v is not in order", own)
			}
			if b.Parties <= b.Burst && len(own) > 0 && own[0] != 0 {
				t.Fatalf("the first waits %v", own[0])
			}
			for _, at := range own {
				all = append(all, came+at)
			}
		}
		for _, within := range []time.Duration{0, 100 * time.Millisecond, time.Second, 10 * time.Second} {
			if n, bound := most(all, within), b.Rate*within.Seconds()+float64(b.Parties); float64(n) > bound+1e-6 {
				t.Fatalf("%d within %v, the bound is %.1f", n, within, bound)
			}
		}
	})
}

// 1,000 parties that come in the same moment are not in step: no 100 ms see many more than the
// rate's share, from the first moment on; without spread they all would begin in one.
func TestManyThatComeTogetherAreSpread(t *testing.T) {
	b := Bound{Parties: 1000, Rate: 100, Burst: 32}
	rng := rand.New(rand.NewPCG(1, 33))
	var all, inStep []time.Duration
	for range b.Parties {
		all = append(all, times(b, 3, rng.Float64, atOnce)...)
		inStep = append(inStep, times(b, 3, func() float64 { return 0 }, atOnce)...)
	}
	if n := most(all, 100*time.Millisecond); n > 30 {
		t.Errorf("%d within 100 ms, 10 are the mean", n)
	}
	if n := most(inStep, 100*time.Millisecond); n != b.Parties {
		t.Errorf("without spread %d within 100 ms, want all", n)
	}
}

func TestNoRateIsNoBound(t *testing.T) {
	for _, at := range times(Bound{Parties: 1000}, 50, rand.Float64, atOnce) {
		if at != 0 {
			t.Errorf("waits %v", at)
		}
	}
}
