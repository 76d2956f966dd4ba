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

func TestOnlyListedServersCanBeCordoned(t *testing.T) {
	s := New()
	call := func(id string, out bool) error { _, _, err := s.Apply(at, id, out); return err }
	if err := call("a", true); !errors.Is(err, ErrNeverListed) {
		t.Errorf("server that was never listed: %v", err)
	}
	s.UpdateList(true, []string{"a", "b"})
	s.UpdateList(true, []string{"b"})
	s.RemoveFromList("b")
	for _, id := range []string{"a", "b"} {
		if err := call(id, true); err != nil || !s.IsOut(id) {
			t.Errorf("cordon %s, which was listed before: %v", id, err)
		}
	}
	if err := call("a", false); err != nil || s.IsOut("a") {
		t.Errorf("uncordon: %v", err)
	}
	if _, changed, err := s.Apply(at, "a", false); changed || err != nil {
		t.Errorf("repeated uncordon: changed %v, %v", changed, err)
	}
}

func TestBounds(t *testing.T) {
	s := New()
	for i := range maxGone + 10 {
		s.UpdateList(false, []string{fmt.Sprint(i)})
		s.RemoveFromList(fmt.Sprint(i))
	}
	if len(s.gone) != maxGone || len(s.Delisted()) != maxGone {
		t.Errorf("%d gone servers kept, %d in eviction order, want %d", len(s.gone), len(s.Delisted()), maxGone)
	}
	if _, _, err := s.Apply(at, "0", true); !errors.Is(err, ErrNeverListed) {
		t.Errorf("server evicted from the gone list: %v", err)
	}
	for i := range maxEntries {
		s.UpdateList(false, []string{fmt.Sprint("s", i)})
		if _, _, err := s.Apply(at, fmt.Sprint("s", i), true); err != nil {
			t.Fatal(err)
		}
	}
	s.UpdateList(false, []string{"more"})
	if _, _, err := s.Apply(at, "more", true); !errors.Is(err, ErrTooMany) {
		t.Errorf("cordon beyond the bound: %v", err)
	}
	if _, rejected := s.Merge([]Entry{{"further", true, at, 1 << 40}}); len(rejected) != 1 {
		t.Errorf("merge beyond the bound: rejected %v, want one entry", rejected)
	}
	if _, _, err := s.Apply(at, "s7", false); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Apply(at, "more", true); err != nil || len(s.entries) != maxEntries {
		t.Errorf("cordon after an uncordon: %v, %d entries", err, len(s.entries))
	}
}

// Guards manual cordons across an upgrade. Two sets that receive each other's calls late, twice or out of
// order converge on the state of a simple model: the latest call for each server.
func TestTwoSetsConverge(t *testing.T) {
	ids := []string{"a", "b", "c"}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		sets := [2]*Set{New(), New()}
		for _, s := range sets {
			s.UpdateList(true, ids)
		}
		want := map[string]bool{}
		var calls []Entry
		for range 30 {
			i, id, out := rng.IntN(2), ids[rng.IntN(3)], rng.IntN(2) == 0
			// A call is made after the previous ones have been confirmed by both processes.
			sets[i].Merge(calls)
			if e, changed, err := sets[i].Apply(at, id, out); err != nil {
				t.Fatal(err)
			} else if changed {
				calls = append(calls, e)
			}
			want[id] = out
			rng.Shuffle(len(calls), func(x, y int) { calls[x], calls[y] = calls[y], calls[x] })
			if rng.IntN(2) == 0 {
				sets[1-i].Merge(calls[:rng.IntN(len(calls)+1)])
			}
		}
		sets[0].Merge(sets[1].Entries())
		sets[1].Merge(sets[0].Entries())
		if !reflect.DeepEqual(sets[0].Entries(), sets[1].Entries()) {
			t.Fatalf("seed %d: %v and %v", seed, sets[0].Entries(), sets[1].Entries())
		}
		for id, out := range want {
			if sets[0].IsOut(id) != out {
				t.Errorf("seed %d: %s out is %v, want %v", seed, id, sets[0].IsOut(id), out)
			}
		}
	}
}

// Of two concurrent calls, one at each process, the one that cordons wins.
func TestConcurrentCallsCordon(t *testing.T) {
	x, y := Entry{"a", true, at, 5}, Entry{"a", false, at, 5}
	for _, order := range [][]Entry{{x, y}, {y, x}} {
		s := New()
		s.Merge(order)
		if !s.IsOut("a") {
			t.Errorf("%v: the server is not cordoned", order)
		}
	}
}

// Fleet bans against a simple model, with updates in any order: the latest version holds, an update with an older
// version or an older sender's token is rejected, and manual calls are never undone.
func TestFleetBans(t *testing.T) {
	ids := []string{"a", "b", "c"}
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 4))
		updates := []FleetBans{{}}
		for v := range uint64(6) {
			w := FleetBans{Version: v + 1, Token: updates[v].Token + rng.Uint64N(2)}
			for _, id := range ids {
				if rng.IntN(2) == 0 {
					w.Bans = append(w.Bans, Ban{ID: id, Reason: fmt.Sprint(v)})
				}
			}
			updates = append(updates, w)
		}
		s := New()
		s.UpdateList(true, ids)
		version, token, cordoned, out := uint64(0), uint64(0), map[string]bool{}, map[string]bool{}
		for range 40 {
			if rng.IntN(3) == 0 {
				id, leave := ids[rng.IntN(3)], rng.IntN(2) == 0
				if _, _, err := s.Apply(at, id, leave); err != nil {
					t.Fatal(err)
				}
				cordoned[id] = leave
			} else {
				w := updates[rng.IntN(len(updates))]
				began, ended, err := s.ApplyFleetBans(w)
				if old := w.Version < version || w.Token < token; old != errors.Is(err, ErrOutdated) {
					t.Fatalf("seed %d: version %d with token %d after version %d with token %d: %v", seed, w.Version, w.Token, version, token, err)
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
				wantBanned := false
				for _, b := range updates[version].Bans {
					wantBanned = wantBanned || b.ID == id
				}
				if banned != wantBanned || out[id] != wantBanned || s.IsOut(id) != (wantBanned || cordoned[id]) {
					t.Fatalf("seed %d: %s: banned %v, reported %v, out %v; version %d bans it: %v, cordoned manually: %v", seed, id, banned, out[id], s.IsOut(id), version, wantBanned, cordoned[id])
				}
			}
		}
	}
}
