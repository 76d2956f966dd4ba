package handover

import (
	"math/rand/v2"
	"testing"
)

func TestRoles(t *testing.T) {
	for _, c := range []struct {
		from Role
		e    Event
		to   Role
	}{
		{Alone, EventSuccessorConnected, AwaitingSuccessor}, {Alone, EventPredecessorFound, Successor}, {AwaitingSuccessor, EventSuccessorServing, HandingOver}, {Successor, EventServing, TookOver},
		{AwaitingSuccessor, EventPeerGone, Alone}, {HandingOver, EventPeerGone, Alone}, {Successor, EventPeerGone, Alone}, {TookOver, EventPeerGone, Alone},
		{Alone, EventSuccessorServing, Alone}, {Alone, EventServing, Alone}, {Successor, EventSuccessorConnected, Successor}, {TookOver, EventSuccessorConnected, TookOver}, {HandingOver, EventSuccessorConnected, HandingOver},
	} {
		if got := c.from.Next(c.e); got != c.to {
			t.Errorf("%v after %d is %v, want %v", c.from, c.e, got, c.to)
		}
	}
	for _, part := range []func(Role) float64{Role.MemoryShare, Role.LoadShare} {
		if part(AwaitingSuccessor)+part(Successor) != 1 || part(HandingOver)+part(TookOver) != 1 || part(Alone) != 1 {
			t.Error("the shares do not add up to 1")
		}
	}
}

// Guards against refused connections and against two accepting processes. Either process may die at any step; both
// never accept at the same time. Neither accepts only between the predecessor's stop and the arrival of its confirmation
// at the successor, and until the predecessor's end is noticed.
func TestExactlyOneProcessAccepts(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 3))
		old, successor := Alone, Alone
		oldAlive, successorAlive := true, true
		steps := []func(){
			func() { old, successor = old.Next(EventSuccessorConnected), successor.Next(EventPredecessorFound) },
			func() { old = old.Next(EventSuccessorServing) },     // the successor's message arrives
			func() { successor = successor.Next(EventServing) },  // the confirmation arrives
			func() { oldAlive = false },                          // the predecessor ends
			func() { successor = successor.Next(EventPeerGone) }, // the successor notices
		}
		dies := rng.IntN(2 * len(steps))
		for i, step := range steps {
			if i == dies && oldAlive {
				if successorAlive = rng.IntN(2) == 0; successorAlive {
					oldAlive = false
					successor = successor.Next(EventPeerGone)
				} else {
					old = old.Next(EventPeerGone)
				}
			}
			if successorAlive && oldAlive {
				step()
			}
			accepting := 0
			if oldAlive && old.Accepts() {
				accepting++
			}
			if (i > 0 || !oldAlive) && successorAlive && successor.Accepts() {
				accepting++
			}
			between := i == 1 && old == HandingOver && successor == Successor
			if accepting != 1 && !(accepting == 0 && (between || i == 3)) {
				t.Fatalf("seed %d, step %d: predecessor %v (alive %v), successor %v (alive %v)", seed, i, old, oldAlive, successor, successorAlive)
			}
		}
		last := successor
		if !successorAlive {
			last = old
		}
		if !last.Accepts() {
			t.Fatalf("seed %d: no process accepts at the end", seed)
		}
	}
}
