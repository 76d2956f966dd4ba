package duty

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock runs at a rate of its own, from an offset of its own.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(real time.Duration) time.Duration {
	return c.offset + time.Duration(float64(real)*c.rate)
}

// At no moment do two owners believe in their leases, whatever the delays of calls and of
// answers, changes of leader and clocks within DriftMost: drawn histories of two candidates
// and three leaders over one State.
func TestNoTwoHoldAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = 5 * time.Second
		clocks := func(n int, kind string) []clock {
			all := make([]clock, n)
			for i := range all {
				all[i] = clock{
					rapid.Float64Range(1-DriftMost, 1+DriftMost).Draw(t, kind+" rate"),
					time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, kind+" offset")),
				}
			}
			return all
		}
		owners, voters := clocks(2, "owner"), clocks(3, "voter")
		names := []string{"a", "b"}
		leases := []*Leases{NewLeases(lease), NewLeases(lease), NewLeases(lease)}
		state := New()
		leader := 0
		real := time.Duration(0)
		leases[0].Lead(voters[0].at(0))
		holds := make([]Hold, 2)
		pass := func(label string) {
			real += time.Duration(rapid.Int64Range(0, int64(lease)/2).Draw(t, label))
			good := 0
			for i, h := range holds {
				if h.Good(owners[i].at(real)) {
					good++
				}
			}
			if good > 1 {
				t.Fatalf("both hold at %v: %+v", real, holds)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 { // another leader
				leases[leader].Follow()
				leader = rapid.IntRange(0, 2).Draw(t, "leader")
				pass("election")
				leases[leader].Lead(voters[leader].at(real))
				continue
			}
			i := rapid.IntRange(0, 1).Draw(t, "who")
			asked := owners[i].at(real)
			pass("call")
			// The leader hears the call, and agrees on it, at one moment each.
			now := voters[leader].at(real)
			d := state.Duty(Rollouts)
			if d.Owner == names[i] && d.Token == holds[i].Token {
				if leases[leader].Renew(Rollouts, now) {
					pass("answer")
					holds[i] = holds[i].Renewed(asked, lease)
				}
				continue
			}
			if left, ok := leases[leader].Left(Rollouts, now); !ok || left > 0 && d.Owner != "" {
				continue
			}
			r := state.Apply(Command{Form: Form, Acquire: &Acquire{Duty: Rollouts, Owner: names[i], After: d.Token}})
			if r.Err != nil {
				t.Fatal(r.Err)
			}
			pass("commit")
			leases[leader].Granted(Rollouts, voters[leader].at(real))
			pass("answer")
			holds[i] = Hold{Fence: Fence{Duty: Rollouts, Token: r.Token}}.Renewed(asked, lease)
		}
		for range 3 {
			pass("after")
		}
	})
}

// The bound is tight: clocks a little further off than DriftMost let two hold at once, so
// that the property above is seen to depend on it.
func TestFurtherDriftOverlaps(t *testing.T) {
	const lease = 5 * time.Second
	owner, granter := clock{rate: 1 - 2*DriftMost}, clock{rate: 1 + DriftMost}
	hold := Hold{Fence: Fence{Duty: Rollouts, Token: 1}}.Renewed(owner.at(0), lease)
	l := NewLeases(lease)
	l.Lead(0)
	l.Granted(Rollouts, granter.at(0))
	over := time.Duration(float64(lease) / granter.rate)
	if left, _ := l.Left(Rollouts, granter.at(over)+1); left > 0 {
		t.Fatalf("the granter still waits for %v", left)
	}
	if !hold.Good(owner.at(over)) {
		t.Error("the slow owner has stopped already")
	}
	if slow := (clock{rate: 1 - DriftMost}); hold.Good(slow.at(over) + 1) {
		t.Error("an owner within the bound still goes on")
	}
}

func TestLeaseThatHasEndedIsNotRenewed(t *testing.T) {
	l := NewLeases(time.Second)
	if _, ok := l.Left("x", 0); ok || l.Renew("x", 0) {
		t.Error("a voter that does not lead speaks of leases")
	}
	l.Lead(0)
	if !l.Renew("x", 900*time.Millisecond) || l.Renew("x", 1900*time.Millisecond) {
		t.Error("renewed after its end, or not before it")
	}
	l.Lead(2 * time.Second) // again: whole leases are waited out
	if left, _ := l.Left("x", 2*time.Second); left != time.Second {
		t.Errorf("%v left, want a whole lease", left)
	}
}
