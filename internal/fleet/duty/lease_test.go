package duty

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock is a clock with its own rate and offset.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) at(real time.Duration) time.Duration {
	return c.offset + time.Duration(float64(real)*c.rate)
}

// At no time do two owners hold a valid lease, with random delays of requests and answers, leader changes
// and clock drift within maxClockDrift. Two candidates and three leaders share one State.
func TestLeasesDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = 5 * time.Second
		clocks := func(n int, kind string) []clock {
			all := make([]clock, n)
			for i := range all {
				all[i] = clock{
					rapid.Float64Range(1-maxClockDrift, 1+maxClockDrift).Draw(t, kind+" rate"),
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
		leases[0].StartLeading(voters[0].at(0))
		held := make([]OwnerLease, 2)
		advance := func(label string) {
			real += time.Duration(rapid.Int64Range(0, int64(lease)/2).Draw(t, label))
			valid := 0
			for i, h := range held {
				if h.Valid(owners[i].at(real)) {
					valid++
				}
			}
			if valid > 1 {
				t.Fatalf("both leases are valid at %v: %+v", real, held)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 { // leader change
				leases[leader].stopLeading()
				leader = rapid.IntRange(0, 2).Draw(t, "leader")
				advance("election")
				leases[leader].StartLeading(voters[leader].at(real))
				continue
			}
			i := rapid.IntRange(0, 1).Draw(t, "who")
			asked := owners[i].at(real)
			advance("call")
			// The leader receives the request at one time and commits it at a later one.
			now := voters[leader].at(real)
			d := state.Duty(Rollouts)
			if d.Owner == names[i] && d.Token == held[i].Token {
				if leases[leader].Renew(Rollouts, now) {
					advance("answer")
					held[i] = held[i].Renewed(asked, lease)
				}
				continue
			}
			if left, ok := leases[leader].Remaining(Rollouts, now); !ok || left > 0 && d.Owner != "" {
				continue
			}
			r := state.Apply(Command{FormatVersion: FormatVersion, Acquire: &Acquire{Duty: Rollouts, Owner: names[i], PreviousToken: d.Token}})
			if r.Err != nil {
				t.Fatal(r.Err)
			}
			advance("commit")
			leases[leader].Granted(Rollouts, voters[leader].at(real))
			advance("answer")
			held[i] = OwnerLease{Fence: Fence{Duty: Rollouts, Token: r.Token}}.Renewed(asked, lease)
		}
		for range 3 {
			advance("after")
		}
	})
}

// With more drift than maxClockDrift two leases overlap: this shows that the property test above depends
// on the bound.
func TestExcessiveDriftOverlaps(t *testing.T) {
	const lease = 5 * time.Second
	owner, leader := clock{rate: 1 - 2*maxClockDrift}, clock{rate: 1 + maxClockDrift}
	held := OwnerLease{Fence: Fence{Duty: Rollouts, Token: 1}}.Renewed(owner.at(0), lease)
	l := NewLeases(lease)
	l.StartLeading(0)
	l.Granted(Rollouts, leader.at(0))
	leaseEnd := time.Duration(float64(lease) / leader.rate)
	if left, _ := l.Remaining(Rollouts, leader.at(leaseEnd)+1); left > 0 {
		t.Fatalf("the leader still waits for %v", left)
	}
	if !held.Valid(owner.at(leaseEnd)) {
		t.Error("the lease of the owner with the slow clock has ended already")
	}
	if slow := (clock{rate: 1 - maxClockDrift}); held.Valid(slow.at(leaseEnd) + 1) {
		t.Error("the lease of an owner within the drift bound is still valid")
	}
}

func TestEndedLeaseIsNotRenewed(t *testing.T) {
	l := NewLeases(time.Second)
	if _, ok := l.Remaining("x", 0); ok || l.Renew("x", 0) {
		t.Error("a voter that does not lead reports or renews leases")
	}
	l.StartLeading(0)
	if !l.Renew("x", 900*time.Millisecond) || l.Renew("x", 1900*time.Millisecond) {
		t.Error("renewed after it had ended, or not renewed before")
	}
	l.StartLeading(2 * time.Second) // a new leadership assumes whole leases
	if left, _ := l.Remaining("x", 2*time.Second); left != time.Second {
		t.Errorf("%v left, want a whole lease", left)
	}
}
