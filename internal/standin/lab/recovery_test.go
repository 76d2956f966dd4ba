package lab

import (
	"context"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"otterstep/internal/cli"
	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/faults"
)

// states returns the state of each instance as reported by its agent.
func (w *testFleet) states() map[string]protocol.Instance {
	all := map[string]protocol.Instance{}
	for _, r := range w.Fleet.List(w.ctx(2 * time.Second)).Rows {
		all[r.Name] = r.Instance
	}
	return all
}

// starts returns how often an instance was started, according to its log.
func (w *testFleet) starts(name string) int {
	w.t.Helper()
	v, err := faults.Check(faults.Files{Logs: w.Files().Logs})
	if err != nil {
		w.t.Fatal(err)
	}
	for key, n := range v.Starts {
		if strings.HasSuffix(key, "/"+name) {
			return n
		}
	}
	return 0
}

func (w *testFleet) drain(name string) {
	w.t.Helper()
	out, code := runCtl("drain", name, "--fleet", w.FleetFile)
	if code != cli.OK {
		w.t.Fatal(out)
	}
}

// waitUpExcept waits until all instances except the named ones are up.
func (w *testFleet) waitUpExcept(down ...string) {
	w.t.Helper()
	w.waitUntil("all instances but the drained ones are up", func() bool {
		is := w.states()
		if len(is) != len(w.Instances) {
			return false
		}
		for name, i := range is {
			if !slices.Contains(down, name) && i.State != protocol.StateUp {
				return false
			}
		}
		return true
	})
}

// labWithoutCouncil starts a lab without a council.
func labWithoutCouncil(t *testing.T, change func(*Options)) *testFleet {
	w := &testFleet{Lab: testLab(t, func(o *Options) {
		useBuiltPrograms(t, o)
		o.Instances, o.Agents, o.Boxes, o.Rate = 4, 2, 1, 0
		if change != nil {
			change(o)
		}
	}), t: t}
	w.waitUpExcept()
	return w
}

func (w *testFleet) lose(n int, what string) {
	w.t.Helper()
	if err := w.LoseState(n, what); err != nil {
		w.t.Fatal(err)
	}
}

// The machine of a drained instance loses persistent state, with and without a council. The instance stays drained as
// long as any copy of its desired state is left; otherwise all instances of the machine are held until an operator
// decides. Instances that were up are restarted if their desired state is known.
func TestDrainSurvivesStateLoss(t *testing.T) {
	t.Parallel()
	for _, what := range []string{faults.Record, faults.Folder, faults.FolderAndCopy, faults.OldRecord, faults.OldRecordAndCopy, faults.OldFolder} {
		for _, council := range []bool{false, true} {
			if council != slices.Contains([]string{faults.Folder, faults.OldRecordAndCopy, faults.OldFolder}, what) && what != faults.FolderAndCopy {
				continue // the other combinations are covered by tests of package agent and by the campaign
			}
			name := what
			if council {
				name += ", with a council"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				if what != faults.Record && what != faults.FolderAndCopy {
					skipIfShort(t)
				}
				var w *testFleet
				if council {
					w = councilLab(t, func(o *Options) { o.Instances = 6 })
				} else {
					w = labWithoutCouncil(t, nil)
				}
				last := w.Instances[len(w.Instances)-1]
				n := agentIndex(last.Agent)
				if err := w.SnapshotState(n); err != nil {
					t.Fatal(err)
				}
				w.drain(last.Name)
				if council { // wait until the council knows
					w.waitUntil("the council knows of the drain", func() bool {
						a, err := w.Fleet.CouncilSubmit(w.ctx(2*time.Second), duty.Command{Report: &duty.Report{Agent: last.Agent, StateDirID: "x", QueryOnly: true}})
						return err == nil && a.ReportAnswer.Known && a.ReportAnswer.Instances[last.Name].Generation > 0
					})
				}
				before := w.starts(last.Name)
				w.KillMachine(n)
				w.lose(n, what)
				if err := w.StartAgent(n, false); err != nil {
					t.Fatal(err)
				}
				var sameAgent []string
				for _, i := range w.Instances {
					if i.Agent == last.Agent {
						sameAgent = append(sameAgent, i.Name)
					}
				}
				known := council || what != faults.FolderAndCopy
				switch {
				case known && !(what == faults.OldRecordAndCopy && !council):
					w.waitUpExcept(last.Name)
				case known: // both copies predate the drain, and there is no other source
					w.waitUpExcept()
					return
				default:
					w.waitUntil("all instances of the machine are held", func() bool {
						is := w.states()
						return !slices.ContainsFunc(sameAgent, func(n string) bool { return is[n].State != protocol.StateHeld || is[n].Message == "" })
					})
				}
				if got := w.starts(last.Name); got != before {
					t.Errorf("the drained instance was started %d more times", got-before)
				}
				if known {
					return
				}
				// Operators decide one instance down and one up. A second, contradicting decision is refused.
				out, code := runCtl("recovery", "--fleet", w.FleetFile)
				if code != cli.OK || !strings.Contains(out, last.Name) || !strings.Contains(out, "nobody knows") {
					t.Errorf("exit code %d\n%s", code, out)
				}
				for name, decision := range map[string]string{last.Name: "down", sameAgent[0]: "up"} {
					if out, code := runCtl("recovery", "decide", name, decision, "--fleet", w.FleetFile); code != cli.OK {
						t.Error(out)
					}
				}
				if out, code := runCtl("recovery", "decide", last.Name, "up", "--fleet", w.FleetFile); code != cli.Conflict {
					t.Errorf("exit code %d\n%s", code, out)
				}
				w.waitUpExcept(last.Name)
				if is := w.states()[last.Name]; is.Desired != "down" || is.State != protocol.StateDown {
					t.Errorf("%+v", is)
				}
				// The decision survives another loss of the record.
				w.KillMachine(n)
				w.lose(n, faults.Record)
				if err := w.StartAgent(n, false); err != nil {
					t.Fatal(err)
				}
				w.waitUpExcept(last.Name)
				if got := w.starts(last.Name); got != before {
					t.Errorf("the drained instance was started %d more times", got-before)
				}
			})
		}
	}
}

// An order that was sent before a loss of state arrives at an agent that has lost all tokens and can't reach the
// council. The agent refuses it, though its token is the highest that the agent knows.
func TestOldOrderAfterStateLoss(t *testing.T) {
	t.Parallel()
	w := councilLab(t, func(o *Options) { o.Agents, o.Instances = 4, 4 })
	j := w.submit(1)
	w.waitForJobEnd(j.ID)
	w.KillMachine(3)
	w.lose(3, faults.FolderAndCopy)
	w.Isolate(true, "m4")
	if err := w.StartAgent(3, false); err != nil {
		t.Fatal(err)
	}
	w.waitUntil("m4 answers", func() bool {
		_, err := w.Fleet.Client("m4").Agent(w.ctx(time.Second))
		return err == nil
	})
	before := w.starts("n4")
	f := protocol.Fence{Duty: duty.Rollouts, Token: 1 << 30}
	ctx := client.WithFence(context.Background(), f)
	_, raised := w.Fleet.Client("m4").RaiseToken(ctx, f)
	_, opened := w.Fleet.Client("m4").Open(ctx, protocol.CommandRequest{
		ID: protocol.NewID(time.Now(), 1), Kind: protocol.Restart, Resume: true, Fence: &f, OnBehalf: "ada", Instances: []protocol.InstanceGeneration{{Name: "n4"}},
	})
	for what, err := range map[string]error{"raised": raised, "opened": opened} {
		if e, ok := err.(*protocol.Error); !ok || e.Code != protocol.CodeForgetful {
			t.Errorf("%s: %v", what, err)
		}
	}
	if is := w.states()["n4"]; is.State != protocol.StateHeld || w.starts("n4") != before {
		t.Errorf("%+v, started %d times", is, w.starts("n4")-before)
	}
	w.Isolate(false, "m4")
	w.waitUpExcept()
	w.waitUntil("m4 accepts orders again", func() bool {
		r, err := w.Fleet.Client("m4").Recovery(w.ctx(time.Second))
		return err == nil && !r.Forgetful && len(r.Held) == 0
	})
	// Now the old token is refused because it is outdated.
	old := protocol.Fence{Duty: duty.Rollouts, Token: 1}
	j = w.submit(1)
	w.waitUntil("there is a newer token", func() bool { _, token := w.currentOwner(); return token > 1 })
	w.waitForJobEnd(j.ID) // so that m4 knows it
	if _, err := w.Fleet.Client("m4").RaiseToken(client.WithFence(context.Background(), old), old); err == nil {
		t.Error("an outdated token was accepted")
	}
}

// All agents and nodes are killed during a rollout, after a drain, and the agents are started again at once, with no
// loss, with one record in three lost and with all records lost. The drained instance does not start, the rollout
// ends, and it restarts each instance at most once.
func TestRestartOfWholeFleet(t *testing.T) {
	t.Parallel()
	for name, lost := range map[string]func(n int) bool{
		"nothing lost":             func(int) bool { return false },
		"one record in three lost": func(n int) bool { return n%3 == 2 },
		"all records lost":         func(int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := councilLab(t, func(o *Options) { o.Instances = 9 })
			w.drain("n9")
			j := w.submit(1)
			w.waitUntil("three steps are done", func() bool {
				is, done := w.job(j.ID), 0
				if is != nil {
					for _, s := range is.Steps {
						if s.Phase == duty.Done {
							done++
						}
					}
				}
				return done >= 3
			})
			for n := range 3 {
				w.KillMachine(n)
			}
			for n := range 3 {
				if lost(n) {
					w.lose(n, faults.Record)
				}
				if err := w.StartAgent(n, false); err != nil {
					t.Fatal(err)
				}
			}
			w.waitUpExcept("n9")
			j = w.waitForJobEnd(j.ID)
			resumed := 0
			if j.State == duty.Stopped && strings.Contains(j.Reason, "whether it was done can't be told") {
				// The record that would tell whether an order was executed is lost. The job reports that, and only an operator can
				// have the order repeated.
				resumed = 1
				if out, code := runCtl("jobs", "resume", j.ID, "--fleet", w.FleetFile); code != cli.OK {
					t.Error(out)
				}
				j = w.waitForJobEnd(j.ID)
			}
			if j.State != duty.Finished {
				t.Errorf("job %s: %s %+v", j.State, j.Reason, j.Steps)
			}
			v, err := faults.Check(w.Files())
			if err != nil || len(v.Violations) > 0 {
				t.Errorf("%+v, %v", v, err)
			}
			for key, n := range v.Starts {
				most := 3 + resumed // the first start, the one after the kill, and the rollout's
				if strings.HasSuffix(key, "/n9") {
					most = 1
				}
				if n > most {
					t.Errorf("%s was started %d times", key, n)
				}
			}
		})
	}
}

// Two of three voters are lost. By an operator's command the survivor continues alone, with tokens higher than all
// before. The drained instance stays down, a voter of the old council is refused, and voters are added again. Restoring
// a backup does not revert newer state.
func TestCouncilRecovery(t *testing.T) {
	t.Parallel()
	w := councilLab(t, func(o *Options) { o.Instances = 6 })
	tool := func(want int, args ...string) string {
		t.Helper()
		out, code := runCtl(append(args, "--fleet", w.FleetFile)...)
		if code != want {
			t.Errorf("%v: exit code %d, want %d\n%s", args, code, want, out)
		}
		return out
	}
	w.waitForJobEnd(w.submit(2).ID)
	backup := filepath.Join(w.opt.Dir, "backup")
	tool(cli.OK, "backup", backup)
	tool(cli.Usage, "backup", backup) // it does not overwrite a file
	w.drain("n6")
	w.waitUntil("the council knows of the drain", func() bool {
		a, err := w.Fleet.CouncilSubmit(w.ctx(2*time.Second), duty.Command{Report: &duty.Report{Agent: "m3", StateDirID: "x", QueryOnly: true}})
		return err == nil && !a.ReportAnswer.Instances["n6"].Up
	})
	if out := tool(cli.Conflict, "council", "recover", "--voters", "m1", "--confirm", "lab"); !strings.Contains(out, "a majority goes on by itself") {
		t.Error(out)
	}
	// m2's store is saved, to return as a voter of the old council; m3's machine loses all state.
	w.KillMachine(1)
	w.KillMachine(2)
	if err := os.Rename(filepath.Join(w.stateDir(1), "council"), filepath.Join(w.opt.Dir, "m2.council")); err != nil {
		t.Fatal(err)
	}
	w.lose(2, faults.FolderAndCopy)
	w.waitUntil("m1 is no longer the leader", func() bool {
		voters, _ := w.Fleet.Voters(w.ctx(time.Second))
		return len(voters) == 1 && voters[0].State == duty.NoLeader
	})
	tool(cli.Usage, "council", "recover", "--voters", "m1")
	tool(cli.Usage, "council", "recover", "--voters", "m1", "--confirm", "another")
	tool(cli.OK, "council", "recover", "--voters", "m1", "--confirm", "lab")
	w.waitUntil("m1 is the only voter", func() bool {
		v, err := w.Fleet.View(w.ctx(time.Second))
		return err == nil && v.Current && slices.Equal(v.Voters, []string{"m1"})
	})
	for _, n := range []int{1, 2} {
		if err := w.StartAgent(n, false); err != nil {
			t.Fatal(err)
		}
	}
	w.waitUpExcept("n6")
	if is := w.states()["n6"]; is.Desired != "down" || is.State != protocol.StateDown {
		t.Errorf("the drained instance: %+v", is)
	}
	add := func(name string) {
		t.Helper()
		w.waitUntil(name+" is added as a voter", func() bool { // refused by a leader that was just elected or has lost a voter
			_, code := runCtl("council", "add", name, "--fleet", w.FleetFile)
			return code == cli.OK || code == cli.Conflict
		})
	}
	add("m3")
	w.waitUntil("m3 votes", func() bool {
		voters, _ := w.Fleet.Voters(w.ctx(time.Second))
		return slices.ContainsFunc(voters, func(s duty.Status) bool { return s.Agent == "m3" && s.State == duty.Follower })
	})
	// The voter of the old council returns with its old store.
	w.KillAgent(1)
	if err := os.RemoveAll(filepath.Join(w.stateDir(1), "council")); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(filepath.Join(w.opt.Dir, "m2.council"), filepath.Join(w.stateDir(1), "council")); err != nil {
		t.Fatal(err)
	}
	if err := w.StartAgent(1, false); err != nil {
		t.Fatal(err)
	}
	add("m2")
	time.Sleep(testLease)
	voters, _ := w.Fleet.Voters(w.ctx(time.Second))
	for _, s := range voters {
		if s.Agent == "m2" && s.State != duty.NoLeader || s.Agent == "m1" && len(s.Members) != 2 {
			t.Errorf("a voter of the old council was admitted: %+v", s)
		}
	}
	j := w.waitForJobEnd(w.submit(2).ID)
	if _, token := w.currentOwner(); token.Epoch() != 1 || j.State != duty.Finished {
		t.Errorf("token %v, job %s: %s", token, j.State, j.Reason)
	}
	// In the backup n6 is up. The drain is newer, so it stays, and the output says so.
	if out := tool(cli.Usage, "restore", backup); !strings.Contains(out, "--confirm lab restores it") {
		t.Error(out)
	}
	if out := tool(cli.OK, "restore", backup, "--confirm", "lab"); !strings.Contains(out, "m3/n6: down at generation 2 stays, the backup says up at 1") {
		t.Error(out)
	}
	text, err := os.ReadFile(backup)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"cut": string(text[:len(text)/2]), "altered": strings.Replace(string(text), "n6", "n5", 1),
		"newer": strings.Replace(string(text), `"form":1`, `"form":2`, 1), "another fleet's": strings.Replace(string(text), `"cluster":"lab"`, `"cluster":"b"`, 1),
	} {
		if err := os.WriteFile(backup, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if out, code := runCtl("restore", backup, "--confirm", "lab", "--fleet", w.FleetFile); code != cli.Usage {
			t.Errorf("%s: exit code %d\n%s", name, code, out)
		}
	}
}

// The machine of a drained instance restarts without its record while its disk is full or read-only. The agent logs the
// disk error and does not start the drained instance. Once the disk works again, the agent recovers.
func TestRecoveryWithFailingDisk(t *testing.T) {
	t.Parallel()
	for _, diskError := range []string{"no space left on device", "read-only file system"} {
		t.Run(diskError, func(t *testing.T) {
			t.Parallel()
			w := councilLab(t, func(o *Options) { o.Instances = 6 })
			last := w.Instances[len(w.Instances)-1]
			n := agentIndex(last.Agent)
			w.drain(last.Name)
			w.waitUntil("the council knows of the drain", func() bool {
				a, err := w.Fleet.CouncilSubmit(w.ctx(2*time.Second), duty.Command{Report: &duty.Report{Agent: last.Agent, StateDirID: "x", QueryOnly: true}})
				return err == nil && a.ReportAnswer.Known && !a.ReportAnswer.Instances[last.Name].Up
			})
			before := w.starts(last.Name)
			w.KillMachine(n)
			w.lose(n, faults.Record)
			if err := w.SetOrders(last.Agent, faults.Instructions{Disk: diskError}); err != nil {
				t.Fatal(err)
			}
			if err := w.StartAgent(n, false); err != nil {
				t.Fatal(err)
			}
			w.waitUntil("the agent logs the disk error", func() bool {
				text, err := os.ReadFile(filepath.Join(w.opt.Dir, last.Agent+".log"))
				return err == nil && strings.Contains(string(text), diskError)
			})
			time.Sleep(testLease)
			if got := w.starts(last.Name); got != before {
				t.Errorf("the drained instance was started %d more times", got-before)
			}
			if err := w.SetOrders(last.Agent, faults.Instructions{}); err != nil {
				t.Fatal(err)
			}
			if w.reapAgent(n); w.agents[n] == nil { // as its supervisor would
				if err := w.StartAgent(n, false); err != nil {
					t.Fatal(err)
				}
			}
			w.waitUpExcept(last.Name)
			if got := w.starts(last.Name); got != before {
				t.Errorf("the drained instance was started %d more times", got-before)
			}
		})
	}
}

// All processes are killed during a rollout, with an instance drained and discovery down, and three of five voters
// restart with empty stores. Agents start instances by their records, except the drained one. But voters with empty
// stores elect no leader, the rollout does not continue, and otterctl reports that. After an operator has made a
// survivor the only voter, the rollout ends.
func TestMajorityOfStoresLost(t *testing.T) {
	t.Parallel()
	w := councilLab(t, func(o *Options) { o.Agents, o.Instances, o.Council.Voters = 5, 5, 5 })
	w.drain("n5")
	j := w.submit(1)
	w.waitUntil("a step is done", func() bool {
		is := w.job(j.ID)
		return is != nil && slices.ContainsFunc(is.Steps, func(s duty.Step) bool { return s.Phase == duty.Done })
	})
	w.Discovery.SetDown(true)
	for n := range 5 {
		w.KillMachine(n)
	}
	for n := range 5 {
		if n < 3 {
			w.lose(n, faults.Store)
		}
		if err := w.StartAgent(n, false); err != nil {
			t.Fatal(err)
		}
	}
	w.waitUpExcept("n5")
	w.Discovery.SetDown(false)
	starts := func() map[string]int {
		v, err := faults.Check(w.Files())
		if err != nil {
			t.Fatal(err)
		}
		return v.Starts
	}
	before := starts()
	time.Sleep(3 * testLease) // long enough for an election
	if now := starts(); !maps.Equal(now, before) {
		t.Errorf("starts %v became %v while most stores were lost", before, now)
	}
	if out, code := runCtl("owners", "--fleet", w.FleetFile); code != cli.NoAnswer || !strings.Contains(out, "MAY BE OLD") {
		t.Errorf("exit code %d\n%s", code, out)
	}
	if out, code := runCtl("rollout", "restart", "all", "--timeout", "3s", "--fleet", w.FleetFile); code != cli.NoAnswer {
		t.Errorf("exit code %d\n%s", code, out)
	}
	w.waitUntil("m4 is the only voter", func() bool {
		_, code := runCtl("council", "recover", "--voters", "m4", "--confirm", "lab", "--fleet", w.FleetFile)
		return code == cli.OK
	})
	j = w.waitForJobEnd(j.ID)
	if _, token := w.currentOwner(); j.State != duty.Finished || token.Epoch() != 1 {
		t.Errorf("job %s: %s; token %v", j.State, j.Reason, token)
	}
	v, err := faults.Check(w.Files())
	if err != nil || len(v.Violations) > 0 || v.Starts["m5/n5"] != 1 {
		t.Errorf("%+v, %v", v, err)
	}
}
