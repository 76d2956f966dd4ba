package fleetrestart

import (
	"testing"
	"time"

	"otterstep/internal/pace"
)

func fleet(seed uint64) Options {
	return Options{
		Agents: 100, Instances: 300, Loss: Mixed, Changes: 60, Within: time.Second, CallTime: 5 * time.Millisecond,
		Council: time.Duration(seed%3) * time.Second, Seed: seed, Limit: 3 * time.Minute,
	}
}

// 300 instances under 100 agents whose machines lose nothing, their records, or records and copies,
// or have old disks restored: no instance is started that the newest surviving state says is down,
// none stays undecided once the council answers, and all that should be up are. Agents that use
// only their own records must fail this, which shows that the check detects it.
func TestLargeFleetsStartNothingStale(t *testing.T) {
	wrong := 0
	for seed := range uint64(50) {
		o := fleet(seed)
		r, err := Simulate(o)
		if err != nil || r.Wrong+r.Held+r.Late > 0 || r.All == 0 {
			t.Fatalf("seed %d: %+v, %v", seed, r, err)
		}
		if again, _ := Simulate(o); again != r {
			t.Fatalf("seed %d: %+v, and then %+v", seed, r, again)
		}
		o.Naive = true
		if r, err = Simulate(o); err != nil {
			t.Fatal(err)
		}
		wrong += r.Wrong
	}
	if wrong == 0 {
		t.Error("agents without recovery start no instance wrongly")
	}
}

// With a pace, the starts of all agents together stay under the bound in each 100 ms and are fewer
// than without one; all instances come up even if discovery is unavailable at first.
func TestPacedReturn(t *testing.T) {
	for seed := range uint64(10) {
		o := fleet(seed)
		o.Loss, o.Council, o.DiscoveryDown = Nothing, 0, 20*time.Second
		free, err := Simulate(o)
		if err != nil {
			t.Fatal(err)
		}
		o.Pace = pace.Bound{Parties: o.Agents, Rate: 50, Burst: 20}
		paced, err := Simulate(o)
		if err != nil {
			t.Fatal(err)
		}
		if bound := 5 + o.Agents; paced.StartsMost > bound || paced.StartsMost*2 > free.StartsMost {
			t.Errorf("seed %d: %d starts within 100 ms, %d without a pace", seed, paced.StartsMost, free.StartsMost)
		}
		if paced.All < o.DiscoveryDown || paced.All > o.DiscoveryDown+10*time.Second || free.All == 0 {
			t.Errorf("seed %d: back after %v, without a pace %v", seed, paced.All, free.All)
		}
	}
}

// Without a council, instances without any surviving state are held; those with a copy are not.
func TestReturnWithoutCouncil(t *testing.T) {
	for loss, holds := range map[string]bool{Nothing: false, Records: false, RecordsAndCopies: true} {
		o := fleet(1)
		o.Loss, o.Council = loss, -1
		r, err := Simulate(o)
		if err != nil || r.Wrong > 0 || r.Held > 0 != holds {
			t.Errorf("%s: %+v, %v", loss, r, err)
		}
	}
	for _, o := range []Options{{}, {Agents: 2, Instances: 1, Loss: Nothing}, {Agents: 1, Instances: 1, Loss: "x"}} {
		if _, err := Simulate(o); err == nil {
			t.Errorf("%+v is accepted", o)
		}
	}
}
