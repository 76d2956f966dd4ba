package cordon

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

var at = time.Unix(100, 0).UTC()

func TestOnlyListedServersAreNamed(t *testing.T) {
	s := New()
	call := func(id string, out bool) error { _, _, err := s.Call(at, id, out); return err }
	if err := call("a", true); !errors.Is(err, ErrNeverListed) {
		t.Errorf("never listed: %v", err)
	}
	s.Listed(true, []string{"a", "b"})
	s.Listed(true, []string{"b"})
	s.Unlisted("b")
	for _, id := range []string{"a", "b"} {
		if err := call(id, true); err != nil || !s.Out(id) {
			t.Errorf("%s, listed once: %v", id, err)
		}
	}
	if err := call("a", false); err != nil || s.Out("a") {
		t.Errorf("back: %v", err)
	}
	if _, changed, err := s.Call(at, "a", false); changed || err != nil {
		t.Errorf("back twice: %v, %v", changed, err)
	}
}

func TestBounds(t *testing.T) {
	s := New()
	for i := range goneMost + 10 {
		s.Listed(false, []string{fmt.Sprint(i)})
		s.Unlisted(fmt.Sprint(i))
	}
	if len(s.gone) != goneMost || len(s.Known()) != goneMost {
		t.Errorf("%d gone servers are kept, in order %d", len(s.gone), len(s.Known()))
	}
	if _, _, err := s.Call(at, "0", true); !errors.Is(err, ErrNeverListed) {
		t.Errorf("one that left long ago: %v", err)
	}
	for i := range entriesMost {
		s.Listed(false, []string{fmt.Sprint("s", i)})
		if _, _, err := s.Call(at, fmt.Sprint("s", i), true); err != nil {
			t.Fatal(err)
		}
	}
	s.Listed(false, []string{"more"})
	if _, _, err := s.Call(at, "more", true); !errors.Is(err, ErrTooMany) {
		t.Errorf("beyond the bound: %v", err)
	}
	if _, left := s.Merge([]Entry{{"further", true, at, 1 << 40}}); len(left) != 1 {
		t.Errorf("merged beyond the bound: %v are left", left)
	}
	if _, _, err := s.Call(at, "s7", false); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Call(at, "more", true); err != nil || len(s.entries) != entriesMost {
		t.Errorf("after a call back: %v, %d entries", err, len(s.entries))
	}
}

// Guards bans by hand over an upgrade: against a plain model (the latest call of all), two
// sets that hear of each other's calls late, twice or out of order agree in the end.
func TestTwoSetsAgree(t *testing.T) {
	ids := []string{"a", "b", "c"}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		sets := [2]*Set{New(), New()}
		for _, s := range sets {
			s.Listed(true, ids)
		}
		model := map[string]bool{}
		var said []Entry
		for range 30 {
			i, id, out := rng.IntN(2), ids[rng.IntN(3)], rng.IntN(2) == 0
			// What a process is told follows on what the other has confirmed.
			sets[i].Merge(said)
			if e, changed, err := sets[i].Call(at, id, out); err != nil {
				t.Fatal(err)
			} else if changed {
				said = append(said, e)
			}
			model[id] = out
			rng.Shuffle(len(said), func(x, y int) { said[x], said[y] = said[y], said[x] })
			if rng.IntN(2) == 0 {
				sets[1-i].Merge(said[:rng.IntN(len(said)+1)])
			}
		}
		sets[0].Merge(sets[1].Entries())
		sets[1].Merge(sets[0].Entries())
		if !reflect.DeepEqual(sets[0].Entries(), sets[1].Entries()) {
			t.Fatalf("seed %d: %v and %v", seed, sets[0].Entries(), sets[1].Entries())
		}
		for id, out := range model {
			if sets[0].Out(id) != out {
				t.Errorf("seed %d: %s out is %v, want %v", seed, id, sets[0].Out(id), out)
			}
		}
	}
}

// Calls that cross, one at each process, end with the server left out.
func TestCrossingCallsLeaveOut(t *testing.T) {
	x, y := Entry{"a", true, at, 5}, Entry{"a", false, at, 5}
	for _, order := range [][]Entry{{x, y}, {y, x}} {
		s := New()
		s.Merge(order)
		if !s.Out("a") {
			t.Errorf("%v: the server is in", order)
		}
	}
}

// The fleet's word against a plain model, whatever order words come in: what the latest version says holds, no
// older one and no sender that was followed by another changes anything, and a call by hand is never undone.
func TestFleetsWord(t *testing.T) {
	ids := []string{"a", "b", "c"}
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 4))
		words := []Word{{}}
		for v := range uint64(6) {
			w := Word{Version: v + 1, Token: words[v].Token + rng.Uint64N(2)}
			for _, id := range ids {
				if rng.IntN(2) == 0 {
					w.Bans = append(w.Bans, Ban{ID: id, Reason: fmt.Sprint(v)})
				}
			}
			words = append(words, w)
		}
		s := New()
		s.Listed(true, ids)
		version, token, hand, out := uint64(0), uint64(0), map[string]bool{}, map[string]bool{}
		for range 40 {
			if rng.IntN(3) == 0 {
				id, leave := ids[rng.IntN(3)], rng.IntN(2) == 0
				if _, _, err := s.Call(at, id, leave); err != nil {
					t.Fatal(err)
				}
				hand[id] = leave
			} else {
				w := words[rng.IntN(len(words))]
				began, ended, err := s.Take(w)
				if old := w.Version < version || w.Token < token; old != errors.Is(err, ErrOld) {
					t.Fatalf("seed %d: version %d under %d after %d under %d: %v", seed, w.Version, w.Token, version, token, err)
				} else if !old {
					version, token = w.Version, w.Token
				}
				for _, id := range began {
					out[id] = true
				}
				for _, id := range ended {
					out[id] = false
				}
			}
			for _, id := range ids {
				_, banned := s.Banned(id)
				says := false
				for _, b := range words[version].Bans {
					says = says || b.ID == id
				}
				if banned != says || out[id] != says || s.Out(id) != (says || hand[id]) {
					t.Fatalf("seed %d: %s is banned %v, told %v, out %v; version %d says %v, by hand %v", seed, id, banned, out[id], s.Out(id), version, says, hand[id])
				}
			}
		}
	}
}
