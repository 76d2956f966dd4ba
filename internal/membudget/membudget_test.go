package membudget

import (
	"math/rand/v2"
	"sync"
	"testing"
)

// Whatever is reserved and released, by many goroutines and while the limit changes, no account holds more than its share and
// all together no more than the budget's highest limit; what was refused is not held, and all comes back.
func TestLimitsHold(t *testing.T) {
	const limit = 1 << 20
	b := New(limit)
	heads, bodies := b.Account("heads", 0.25), b.Account("bodies", 0.5)
	connections := b.Account("connections", 1)
	var all sync.WaitGroup
	for seed := range uint64(8) {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			held := map[*Account][]int64{}
			for range 2000 {
				a := []*Account{heads, bodies, connections}[rng.IntN(3)]
				n := int64(rng.IntN(64 << 10))
				switch {
				case rng.IntN(50) == 0:
					b.SetLimit(int64(1+rng.IntN(2)) * limit / 2)
				case rng.IntN(2) == 0 && a.ReserveWithin(n, float64(1+rng.IntN(4))/4):
					held[a] = append(held[a], n)
				case len(held[a]) > 0:
					a.Release(held[a][0])
					held[a] = held[a][1:]
				}
				sum := int64(0)
				for _, u := range b.Inspect() {
					sum += u.Held
					if u.Name == "heads" && u.Held > limit/4 || u.Name == "bodies" && u.Held > limit/2 {
						t.Errorf("%+v", u)
					}
				}
				if sum > limit {
					t.Errorf("%d bytes are held in all", sum)
				}
			}
			for a, sizes := range held {
				for _, n := range sizes {
					a.Release(n)
				}
			}
		})
	}
	all.Wait()
	for _, u := range b.Inspect() {
		if u.Held != 0 || u.Refusals == 0 {
			t.Errorf("in the end: %+v", u)
		}
	}
}

// The last quarter is left to what needs it: an account refuses within a part what it grants as a whole.
func TestReserveWithin(t *testing.T) {
	a := New(100).Account("bodies", 0.8)
	if a.ReserveWithin(61, 0.75) || !a.ReserveWithin(60, 0.75) || !a.Reserve(20) || a.Reserve(1) {
		t.Errorf("%+v", a.budget.Inspect())
	}
	if a.Limit() != 80 {
		t.Errorf("limit %d", a.Limit())
	}
}
