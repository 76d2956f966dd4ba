package lab

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"otterstep/internal/cli"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/standin/faults"
)

// waitForProgram waits until all instances serve with a program and the upgrade has ended.
func (w *desiredStateFleet) waitForProgram(program string) {
	w.t.Helper()
	w.waitUntil("all instances serve with "+program, func() bool {
		v, err := w.Fleet.Desired(w.ctx(requestTimeout))
		if err != nil || !v.Current || !v.State.Programs["lab"].Completed || v.State.Program("lab") != program {
			return false
		}
		rows := w.Fleet.List(w.ctx(requestTimeout)).Rows
		for _, r := range rows {
			if r.Program != program || r.State != "up" {
				return false
			}
		}
		return len(rows) == len(w.Instances)
	})
}

// historyNotes returns the author and note of each change.
func (w *desiredStateFleet) historyNotes() (notes []string) {
	for _, e := range w.desired().History {
		notes = append(notes, e.By+": "+e.Note)
	}
	return notes
}

// A fleet under load is upgraded to a new version, first in a trial and then zone by zone, with the owner killed in the
// middle. A version that does not start and one that is slow only under load are rolled back.
func TestFleetUpgrade(t *testing.T) {
	slow := "/bin/false"
	if !testing.Short() {
		slow = buildChangedNode(t, SlowUnderLoad)
	}
	t.Parallel()
	w := desiredStateLab(t, func(o *Options) {
		o.Rate, o.Zones = 30, []string{"room1", "room2"}
		o.Programs = map[string][]string{"v2": o.Node, "broken": {"/bin/false"}, "slow": {slow}}
	})
	apply := func(program string) string {
		return w.runTool(cli.OK, "apply", "--detach", "-f", w.writeDesired(fmt.Sprintf("[budgets]\naway = 1\nzone = 1\nstarts = 5.0\ntrial = \"4s\"\n[[group]]\nname = \"lab\"\nprogram = %q\n", program)))
	}
	apply("v2")
	w.waitUntil("the upgrade of a zone has begun", func() bool {
		v, err := w.Fleet.View(w.ctx(requestTimeout))
		if err != nil || !v.Current {
			return false
		}
		for _, j := range v.Jobs {
			if j.Stage != "trial" && j.Intents() > 0 {
				return true
			}
		}
		return false
	})
	owner, _ := w.currentOwner()
	if owner != "" {
		w.KillAgent(agentIndex(owner))
		if err := w.StartAgent(agentIndex(owner), false); err != nil {
			t.Fatal(err)
		}
	}
	w.waitForProgram("v2")
	stages := map[string]int{}
	v, err := w.Fleet.View(w.ctx(requestTimeout))
	if err != nil {
		t.Fatal(err)
	}
	for _, j := range v.Jobs {
		if j.State != duty.Finished {
			t.Errorf("job %+v", j)
		}
		stages[j.Stage] += len(j.Targets)
	}
	if stages["trial"] != 1 || stages["zone room1"]+stages["zone room2"] != 5 {
		t.Errorf("instances by stage: %v", stages)
	}
	starts := func() int {
		verdict, err := faults.Check(w.Files())
		if err != nil {
			t.Fatal(err)
		}
		for _, broken := range verdict.Violations {
			t.Error(broken)
		}
		if verdict.MaxUnavailable > 1 {
			t.Errorf("%d instances were unavailable at once, want at most 1", verdict.MaxUnavailable)
		}
		n := 0
		for _, s := range verdict.Starts {
			n += s
		}
		return n
	}
	if n := starts(); n != 12 {
		t.Errorf("%d starts of 6 instances, want two each", n)
	}

	apply("broken")
	w.waitUntil("the broken version is rolled back", func() bool { return w.desired().Program("lab") == "v2" })
	w.waitForProgram("v2")
	if notes := w.historyNotes(); !strings.Contains(notes[len(notes)-1], "fleet: taken back: trial: ") {
		t.Errorf("%q", notes)
	}
	if testing.Short() {
		return
	}
	apply("slow")
	w.waitUntil("the slow version is rolled back", func() bool { return w.desired().Program("lab") == "v2" })
	w.waitForProgram("v2")
	if notes := w.historyNotes(); !strings.Contains(notes[len(notes)-1], "of its answers are") || !strings.Contains(notes[len(notes)-1], "answers harmed") {
		t.Errorf("%q", notes)
	}
	starts()
	w.StopClients()
	if held := w.PrintReport(os.Stderr); !held {
		t.Error("a rule was broken")
	}
}

// The agent of the instance under trial and that instance die. No further job begins until the agent is back, and then
// the upgrade continues.
func TestAgentKilledDuringTrial(t *testing.T) {
	t.Parallel()
	w := desiredStateLab(t, func(o *Options) {
		o.Agents, o.Instances, o.Council.Voters = 4, 4, 3
		o.Programs = map[string][]string{"v2": o.Node}
	})
	for n := range 3 { // m4 does not vote
		w.Relay(agentName(n), "m4").Delay(0)
	}
	w.runTool(cli.OK, "apply", "--detach", "-f", w.writeDesired("[budgets]\ntrial = \"2s\"\n[[group]]\nname = \"lab\"\nprogram = \"v2\"\n"))
	trial := ""
	w.waitUntil("the trial has begun", func() bool {
		v, err := w.Fleet.View(w.ctx(requestTimeout))
		if err == nil && len(v.Jobs) > 0 && v.Jobs[0].Intents() > 0 {
			trial = v.Jobs[0].Targets[0].Agent
		}
		return trial != ""
	})
	w.KillMachine(agentIndex(trial))
	time.Sleep(testLease)
	v, err := w.Fleet.View(w.ctx(requestTimeout))
	if err != nil || len(v.Jobs) != 1 {
		t.Errorf("%d jobs while the trial's agent is down, %v", len(v.Jobs), err)
	}
	if err := w.StartAgent(agentIndex(trial), false); err != nil {
		t.Fatal(err)
	}
	w.waitForProgram("v2")
}
