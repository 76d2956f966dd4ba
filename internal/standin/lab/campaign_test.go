package lab

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"otterstep/internal/standin/faults"
	"otterstep/internal/standin/mutant"
)

// campaignLab returns the options of the fleet on which otterlab faults runs schedules.
func campaignLab(t *testing.T) Options {
	o := testOptions("")
	useBuiltPrograms(t, &o)
	o.Dir = t.TempDir()
	o.Instances, o.Agents, o.Boxes = 6, 3, 2
	o.Council = &Council{Voters: 3, Lease: time.Second, Orders: true}
	return o
}

// Fixed seeds of the campaign: those that have found a fault before, and some with losses of state.
func TestCampaign(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		seed   uint64
		losses bool
	}{{2148, false}, {6019, true}, {6386, true}} {
		t.Run(fmt.Sprintf("%d %v", c.seed, c.losses), func(t *testing.T) {
			t.Parallel()
			if c.seed != 6019 {
				skipIfShort(t)
			}
			o := campaignLab(t)
			if c.losses {
				o.Rate = 0 // no clients: their requests fail in a power cut
			}
			reserveSlot(t, o.Rate)
			run, err := RunFaults(context.Background(), o, c.seed, Campaign{Faults: 12, MaxUnavailable: 1, Losses: c.losses})
			if err != nil {
				t.Fatal(err)
			}
			if len(run.Failed) > 0 || run.Effects == 0 && !c.losses {
				t.Errorf("seed %d: %v\n%s\n%s", c.seed, run, strings.Join(run.Failed, "\n"), run.Schedule)
			}
		})
	}
}

// Checks the checker: it has to detect an agent that starts instances whose desired state is unknown. The schedule has
// a power cut in which the machine of the drained instance loses its record and copy.
func TestCampaignDetectsStartOfUnknownInstance(t *testing.T) {
	skipIfShort(t)
	bin := buildChangedAgent(t, mutant.Change{
		File: "internal/fleet/recovery/recovery.go",
		Old:  "\tcase f.Council == Unanswered:\n",
		New:  "\tcase f.Council == Unanswered:\n\t\treturn Decision{Action: Follow, Claim: Claim{Source: \"nobody\", Up: true}}\n",
	})
	t.Parallel()
	c := Campaign{Faults: 12, MaxUnavailable: 1, Losses: true}
	o := campaignLab(t)
	o.Rate, o.Agent = 0, []string{bin, "agent"}
	seed := uint64(1)
	for !slices.ContainsFunc(faults.Draw(seed, o.Agents, c.Faults, o.Council.Lease, true), func(f faults.Fault) bool {
		return f.Kind == faults.PowerCut && f.Agent == 2 && f.Loss == faults.RecordAndCopy
	}) {
		seed++
	}
	reserveSlot(t, o.Rate)
	run, err := RunFaults(context.Background(), o, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(run.Failed, func(s string) bool { return strings.Contains(s, "was drained and started") }) {
		t.Errorf("seed %d: %v\n%s", seed, run, strings.Join(run.Failed, "\n"))
	}
}
