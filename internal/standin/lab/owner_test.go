package lab

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/cli"
	"otterstep/internal/fleet/ctl"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/owner"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/faults"
	"otterstep/internal/standin/mutant"
)

// testLease is short to keep tests short, but long enough for elections on a busy machine.
const testLease = 2 * time.Second

// testFleet is a lab with helpers for tests.
type testFleet struct {
	*Lab
	t           *testing.T
	begunAtKill int // number of client requests begun when all processes were last killed
}

// programs builds the node and the agent with fault injection, once for all tests, and returns their directory. They
// are built without the race detector, as in production: many processes at once then take a fifth of the time.
var programs = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "otterlab-programs-")
	if err != nil {
		return "", err
	}
	for _, program := range []string{"cmd/otterstep", "cmd/otterlab"} {
		if _, err := mutant.Build(dir, program); err != nil {
			return dir, err
		}
	}
	return dir, nil
})

// useBuiltPrograms has a lab start the programs that programs builds.
func useBuiltPrograms(t *testing.T, o *Options) {
	t.Helper()
	dir, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	o.Node, o.NodeEnv = []string{filepath.Join(dir, "otterstep")}, nil
	o.Agent, o.AgentEnv = []string{filepath.Join(dir, "otterlab"), "agent"}, nil
}

// buildChangedAgent builds the agent with fault injection with changes to its source, buildChangedNode the node. Tests
// call them before t.Parallel: a compiler beside many fleets on two cores causes needless elections.
func buildChangedAgent(t *testing.T, changes ...mutant.Change) string {
	return buildChanged(t, "cmd/otterlab", changes)
}

func buildChangedNode(t *testing.T, changes ...mutant.Change) string {
	return buildChanged(t, "cmd/otterstep", changes)
}

func buildChanged(t *testing.T, program string, changes []mutant.Change) string {
	t.Helper()
	if _, err := programs(); err != nil { // before t.Parallel too
		t.Fatal(err)
	}
	bin, err := mutant.Build(t.TempDir(), program, changes...)
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// councilLab starts a fleet with a council, by default three agents with three instances. There are no clients unless
// change adds them: most tests are about ownership.
func councilLab(t *testing.T, change func(*Options)) *testFleet {
	l := testLab(t, func(o *Options) {
		useBuiltPrograms(t, o)
		o.Instances, o.Agents, o.Boxes, o.Rate = 3, 3, 1, 0
		o.Council = &Council{Voters: 3, Lease: testLease, Orders: true}
		if change != nil {
			change(o)
		}
	})
	w := &testFleet{Lab: l, t: t}
	t.Cleanup(func() {
		for n := range l.opt.Agents {
			if t.Failed() { // the whole log, as the cause of an election is far from its end
				log, err := os.ReadFile(filepath.Join(l.opt.Dir, agentName(n)+".log"))
				t.Logf("%s: %s %v", agentName(n), log, err)
			}
		}
	})
	w.waitUntil("all voters are leader or follower", func() bool {
		voters, silent := l.Fleet.Voters(w.ctx(time.Second))
		votes := 0
		for _, s := range voters {
			if s.State == duty.Leader || s.State == duty.Follower {
				votes++
			}
		}
		return len(silent) == 0 && votes == l.opt.Council.Voters
	})
	return w
}

func (w *testFleet) ctx(limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	w.t.Cleanup(cancel)
	return ctx
}

// waitUntil waits until ok returns true.
func (w *testFleet) waitUntil(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	v, err := w.Fleet.View(w.ctx(time.Second))
	w.t.Fatalf("not within 90 s: %s; council state %+v, %v", what, v, err)
}

// submit submits a rollout that restarts all instances.
func (w *testFleet) submit(maxUnavailable int) *duty.Job {
	w.t.Helper()
	return w.submitOrder(group.Order{
		Plan: group.Plan{Kind: protocol.Restart, MaxUnavailable: maxUnavailable}, Select: group.Selector{Names: []string{"all"}},
	})
}

// submitOrder submits a job. It retries with the same ID while there is no leader.
func (w *testFleet) submitOrder(o group.Order) (j *duty.Job) {
	w.t.Helper()
	if o.ID == "" {
		o.ID = protocol.NewID(time.Now(), 1)
	}
	w.waitUntil("the job is accepted", func() (ok bool) {
		var err error
		j, _, err = w.Fleet.Submit(w.ctx(5*time.Second), o)
		return err == nil
	})
	return j
}

// job returns a job as confirmed by a majority of the council, nil if there is none.
func (w *testFleet) job(id string) *duty.Job {
	v, err := w.Fleet.View(w.ctx(2 * time.Second))
	if err != nil || !v.Current {
		return nil
	}
	for _, j := range v.Jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

// waitForJob waits until a majority of the council confirms a job.
func (w *testFleet) waitForJob(id string) (j *duty.Job) {
	w.t.Helper()
	w.waitUntil("job "+id+" is known", func() bool {
		j = w.job(id)
		return j != nil
	})
	return j
}

// waitForJobEnd waits until a job has ended.
func (w *testFleet) waitForJobEnd(id string) (j *duty.Job) {
	w.t.Helper()
	w.waitUntil("job "+id+" has ended", func() bool {
		j = w.job(id)
		return j != nil && !j.Open() && j.State != duty.Paused
	})
	return j
}

// currentOwner returns the owner of rollouts and its token, "" if there is none or no majority confirms it.
func (w *testFleet) currentOwner() (string, duty.Token) {
	v, err := w.Fleet.View(w.ctx(2 * time.Second))
	if err != nil || !v.Current || len(v.Duties) == 0 {
		return "", 0
	}
	return v.Duties[0].Owner, v.Duties[0].Token
}

func agentIndex(agent string) int {
	n, _ := strconv.Atoi(strings.TrimPrefix(agent, "m"))
	return n - 1
}

// checkRun checks the records and logs of all processes and reports violations as errors. Instances were started once
// before the job.
func (w *testFleet) checkRun(j *duty.Job, maxUnavailable int) *faults.Verdict {
	w.t.Helper()
	v, err := faults.Check(w.Files())
	if err != nil {
		w.t.Fatal(err)
	}
	v.CheckRestartedOnce(j, 1)
	if v.MaxUnavailable > maxUnavailable {
		v.Violations = append(v.Violations, fmt.Sprintf("%d instances were unavailable at once, want at most %d", v.MaxUnavailable, maxUnavailable))
	}
	for _, broken := range v.Violations {
		w.t.Error(broken)
	}
	return v
}

func runCtl(args ...string) (string, int) {
	root := ctl.Command()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	code := cli.RunWith(context.Background(), root, &out)
	return out.String(), code
}

// otterctl submits a rollout to the council. Its commands show the job, and their exit codes report its result.
func TestCouncilRollout(t *testing.T) {
	t.Parallel()
	w := councilLab(t, nil)
	tool := func(want int, args ...string) string {
		t.Helper()
		out, code := runCtl(append(args, "--fleet", w.FleetFile)...)
		if code != want {
			t.Errorf("%v: exit code %d, want %d\n%s", args, code, want, out)
		}
		return out
	}
	w.waitUntil("there is a leader", func() bool {
		v, err := w.Fleet.View(w.ctx(time.Second))
		return err == nil && v.Current
	})
	out := tool(cli.OK, "rollout", "restart", "all", "--max-unavailable", "1")
	if !strings.Contains(out, "goes on without this tool") || strings.Count(out, " done ") < 3 {
		t.Error(out)
	}
	v, err := w.Fleet.View(w.ctx(2 * time.Second))
	if err != nil || len(v.Jobs) != 1 {
		t.Fatalf("%+v, %v", v, err)
	}
	j := w.waitForJobEnd(v.Jobs[0].ID)
	if v := w.checkRun(j, 1); v.Effects != 6 {
		t.Errorf("%d effects, want a term and a launch for each instance", v.Effects)
	}
	if out := tool(cli.OK, "jobs", "list"); !strings.Contains(out, j.ID) || !strings.Contains(out, "done") {
		t.Error(out)
	}
	tool(cli.OK, "jobs", "show", j.ID)
	tool(cli.Conflict, "jobs", "cancel", j.ID)
	tool(cli.Usage, "jobs", "pause", protocol.NewID(time.Now(), 1))
	tool(cli.Usage, "jobs", "show", "x")
	tool(cli.Usage, "owners", "release", "nothing")
	tool(cli.Conflict, "council", "remove", "m1")
	if out := tool(cli.OK, "owners"); !strings.Contains(out, duty.Rollouts) || strings.Contains(out, "OLD") {
		t.Error(out)
	}
	if out := tool(cli.OK, "council", "status"); strings.Count(out, "follower") != 2 || strings.Count(out, "leader") < 1 {
		t.Error(out)
	}
	if out := tool(cli.OK, "-o", "json", "owners"); !strings.Contains(out, `"current": true`) {
		t.Error(out)
	}
	// Without a majority of the council, the tool reports that there is no leader, and no job starts.
	w.KillAgent(1)
	w.KillAgent(2)
	out = tool(cli.NoAnswer, "rollout", "restart", "all", "--timeout", "4s")
	if !strings.Contains(out, "no leader that can be reached") {
		t.Error(out)
	}
	if out := tool(cli.NoAnswer, "owners"); !strings.Contains(out, "MAY BE OLD") {
		t.Error(out)
	}
}

// ownershipLostLine is the log line of an owner that lost its first token: by its own clock, by the answer of a leader
// that has ended the lease and knows no other owner yet, or by the answer of a leader that knows a higher token.
var ownershipLostLine = regexp.MustCompile(`msg="owns it no longer" duty=rollouts token=0\.1 why="(the lease (of rollouts under token 0\.1 )?has ended|.*is over)`)

// The owner is stopped with SIGSTOP at each step of an order for longer than its lease. Another owner finishes the job.
// When the old owner resumes, it logs why it is no longer the owner, and nothing that it sends takes effect.
func TestOwnerStoppedAtEachStep(t *testing.T) {
	t.Parallel()
	for _, step := range []string{owner.BeforeIntent, owner.BeforeSend, owner.AfterSend, owner.AfterEnd, owner.BetweenOrders} {
		t.Run(step, func(t *testing.T) {
			t.Parallel()
			if step != owner.BeforeSend && step != owner.AfterEnd {
				skipIfShort(t)
			}
			w := councilLab(t, nil)
			once := filepath.Join(w.opt.Dir, "stopped")
			for n := range w.opt.Agents {
				if err := w.SetOrders(agentName(n), faults.Instructions{At: step, Signal: syscall.SIGSTOP, Once: once}); err != nil {
					t.Fatal(err)
				}
			}
			j := w.submit(1)
			stopped := -1
			w.waitUntil("an owner has stopped", func() bool {
				for n := range w.opt.Agents {
					if pid := w.AgentPid(n); faults.Stopped(pid) {
						stopped = n
					}
				}
				return stopped >= 0
			})
			w.waitUntil("there is another owner", func() bool {
				name, token := w.currentOwner()
				return name != "" && name != agentName(stopped) && token > 1
			})
			// The instances of the stopped agent can't be reached and count as unavailable, so the successor waits for them.
			if err := w.SignalAgent(stopped, syscall.SIGCONT); err != nil {
				t.Fatal(err)
			}
			j = w.waitForJobEnd(j.ID)
			if j.State != duty.Finished {
				t.Errorf("job %+v", j)
			}
			w.checkRun(j, 1)
			if _, token := w.currentOwner(); token != 2 {
				t.Errorf("token %v at the end, want exactly one change of the owner", token)
			}
			w.waitUntil("the old owner logs why it stops", func() bool {
				text, err := os.ReadFile(filepath.Join(w.opt.Dir, agentName(stopped)+".log"))
				return err == nil && ownershipLostLine.Match(text)
			})
		})
	}
}

// runDelayedOrder delays an order of the old owner in a relay until a successor has taken over. The order then arrives
// at an agent that the successor has reached already, or has not.
func runDelayedOrder(t *testing.T, reached bool, agent []string) (*faults.Verdict, *duty.Job) {
	w := councilLab(t, func(o *Options) {
		o.Agents, o.Instances, o.Council.Voters = 4, 4, 3
		if agent != nil {
			o.Agent = agent
		}
	})
	// The agent of n4 is m4, which does not vote, so orders for n4 always come from another machine.
	for n := range 3 {
		w.Relay(agentName(n), "m4").HoldOnly("/run/")
	}
	j := w.submitOrder(group.Order{
		Plan: group.Plan{Kind: protocol.Restart, MaxUnavailable: 1}, Select: group.Selector{Names: []string{"n4", "n1", "n2", "n3"}},
	})
	old := ""
	w.waitUntil("an order is delayed", func() bool {
		for n := range 3 {
			if w.Relay(agentName(n), "m4").Held() > 0 {
				old = agentName(n)
			}
		}
		return old != ""
	})
	if err := w.SignalAgent(agentIndex(old), syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		if name := agentName(n); name != old && !reached {
			w.Relay(name, "m4").Set(faults.Cut, faults.Cut)
		}
	}
	w.waitUntil("there is another owner", func() bool {
		name, _ := w.currentOwner()
		return name != "" && name != old
	})
	if reached {
		// The successor's own order is delayed as well, so that only the token keeps the old order from taking effect.
		w.waitUntil("m4 knows the successor", func() bool {
			c, err := w.Fleet.Client("m4").Commands(w.ctx(time.Second))
			return err == nil && len(c) == 1 && c[0].Fence.Token > 1
		})
	} else {
		w.waitUntil("the successor waits for m4", func() bool {
			v, err := w.Fleet.View(w.ctx(time.Second))
			return err == nil && strings.Contains(v.Messages[j.ID], "agent m4 is not reached")
		})
	}
	before := w.waitForJob(j.ID).Steps
	w.Relay(old, "m4").Set(faults.Pass, faults.Pass) // delivers the old order
	time.Sleep(testLease / 2)
	if is := w.waitForJob(j.ID); !reached {
		for i := range is.Steps {
			if is.Steps[i].Phase != before[i].Phase {
				t.Errorf("%s advanced to %q while m4 was unreachable", is.Targets[i].Key(), is.Steps[i].Phase)
			}
		}
	}
	for n := range 3 {
		w.Relay(agentName(n), "m4").Set(faults.Pass, faults.Pass)
	}
	if err := w.SignalAgent(agentIndex(old), syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	j = w.waitForJobEnd(j.ID)
	v, err := faults.Check(w.Files())
	if err != nil {
		t.Fatal(err)
	}
	v.CheckRestartedOnce(j, 1)
	return v, j
}

// A delayed order is refused by an agent that the successor has reached. An agent that the successor can't reach may
// execute it, so all instances of that agent count as unavailable until it can be reached.
func TestDelayedOrder(t *testing.T) {
	t.Parallel()
	for name, reached := range map[string]bool{"reached": true, "not reached": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v, j := runDelayedOrder(t, reached, nil)
			if len(v.Violations) > 0 || v.MaxUnavailable > 1 || j.State != duty.Finished {
				t.Errorf("job %s: %s; %+v", j.State, j.Reason, v)
			}
		})
	}
}

// Checks the checker: it has to detect agents that do not check tokens.
func TestCheckerDetectsMissingFencing(t *testing.T) {
	skipIfShort(t)
	bin := buildChangedAgent(t, mutant.Change{
		File: "internal/fleet/agentstate/state.go",
		Old:  "if highest := b.fences[f.Duty]; f.Token < highest {", New: "if highest := b.fences[f.Duty]; false {",
	})
	t.Parallel()
	v, _ := runDelayedOrder(t, true, []string{bin, "agent"})
	if !slices.ContainsFunc(v.Violations, func(b string) bool { return strings.Contains(b, "behind 0.2") }) {
		t.Errorf("not detected: %+v", v)
	}
}

// Connections are cut, in one direction or both, delayed, or cut between two parts of the council. Work continues where
// a majority confirms the owner, a minority starts nothing, and an answer on owners is either current or marked as
// possibly out of date. One fault causes at most one change of the owner.
func TestCuts(t *testing.T) {
	t.Parallel()
	for name, cut := range map[string]struct {
		fault   func(w *testFleet, owner string)
		changes duty.Token // of the owner, at most
	}{
		"owner cut off from all": {func(w *testFleet, owner string) { w.Isolate(true, owner) }, 1},
		"owner hears nothing": {func(w *testFleet, owner string) {
			for n := range 3 {
				if name := agentName(n); name != owner {
					w.Relay(owner, name).Set(faults.Pass, faults.Cut)
				}
			}
		}, 1},
		"owner not heard": {func(w *testFleet, owner string) {
			for n := range 3 {
				if name := agentName(n); name != owner {
					w.Relay(name, owner).Set(faults.Pass, faults.Cut)
				}
			}
		}, 1},
		"leader cut off": {func(w *testFleet, _ string) {
			v, err := w.Fleet.View(w.ctx(2 * time.Second))
			if err == nil {
				w.Isolate(true, v.Leader)
			}
		}, 1},
		"owner cut off from the other voters only": {func(w *testFleet, owner string) {
			for n := range 3 {
				if name := agentName(n); name != owner {
					w.Relay(owner, name).Set(faults.Cut, faults.Cut)
					w.Relay(name, owner).Set(faults.Cut, faults.Cut)
				}
			}
		}, 1},
		"owner cut off from those who don't vote": {func(w *testFleet, owner string) {
			for _, name := range []string{"m4", "m5"} {
				w.Relay(owner, name).Set(faults.Cut, faults.Cut)
			}
		}, 0},
		"all is slow": {func(w *testFleet, _ string) {
			for _, r := range w.relays {
				r.Delay(20 * time.Millisecond)
			}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if name != "owner cut off from all" && name != "leader cut off" {
				skipIfShort(t)
			}
			// A longer lease, as the test counts changes of the owner: pauses on a busy machine must not cause any.
			const lease = 2 * testLease
			w := councilLab(t, func(o *Options) { o.Agents, o.Instances, o.Council.Lease = 5, 5, lease })
			j := w.submit(1)
			var owner string
			var first duty.Token
			w.waitUntil("there is an owner", func() bool {
				owner, first = w.currentOwner()
				return owner != ""
			})
			cut.fault(w, owner)
			time.Sleep(lease * 3 / 2)
			for n := range 3 { // what each voter reports
				v, err := w.Fleet.Clients()[n].CouncilView(w.ctx(3*time.Second), false)
				if err == nil && v.Current && len(v.Duties) > 0 {
					if name, token := w.currentOwner(); name != "" && v.Duties[0].Token > token {
						t.Errorf("%s reports token %v, a majority %v", agentName(n), v.Duties[0].Token, token)
					}
				}
			}
			w.Isolate(false)
			for _, r := range w.relays {
				r.Set(faults.Pass, faults.Pass)
				r.Delay(0)
			}
			j = w.waitForJobEnd(j.ID)
			if j.State != duty.Finished {
				t.Errorf("job %s: %s", j.State, j.Reason)
			}
			w.checkRun(j, 1)
			if _, last := w.currentOwner(); last > first+cut.changes {
				t.Errorf("token %v became %v, want at most %d changes", first, last, cut.changes)
			}
		})
	}
}

// Clocks drift within and far beyond the assumed bound, jump, and a machine is suspended: in all cases the budget is
// kept and each instance is restarted exactly once.
func TestWrongClocks(t *testing.T) {
	t.Parallel()
	for name, orders := range map[string]map[string]faults.Instructions{
		"10% apart":     {"m1": {Rate: 0.9}, "m2": {Rate: 1.1}},
		"an hour ahead": {"m1": {Jump: time.Hour}, "m2": {Jump: time.Hour}},
		"an hour back":  {"m2": {Jump: -time.Hour}, "m3": {Jump: -time.Hour}},
		"far too slow":  {"m1": {Rate: 0.1}, "m2": {Rate: 0.1}, "m3": {Rate: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := councilLab(t, func(o *Options) { o.Instances = 6 })
			j := w.submit(1)
			w.waitUntil("the job has begun", func() bool {
				is := w.job(j.ID)
				return is != nil && is.Intents() > 0
			})
			for agent, o := range orders {
				if err := w.SetOrders(agent, o); err != nil {
					t.Fatal(err)
				}
			}
			j = w.waitForJobEnd(j.ID)
			if j.State != duty.Finished {
				t.Errorf("job %s: %s", j.State, j.Reason)
			}
			w.checkRun(j, 1)
		})
	}
	t.Run("sleeps for a minute", func(t *testing.T) {
		t.Parallel()
		w := councilLab(t, func(o *Options) { o.Instances = 6 })
		j := w.submit(1)
		owner := ""
		w.waitUntil("there is an owner", func() bool {
			owner, _ = w.currentOwner()
			return owner != ""
		})
		// The clock of a suspended machine goes on. The jump stands for a minute, to keep the test short.
		n := agentIndex(owner)
		if err := w.SignalAgent(n, syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		if err := w.SetOrders(owner, faults.Instructions{Jump: time.Minute}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(testLease / 2) // shorter than the lease, which has ended by the owner's own clock only
		if err := w.SignalAgent(n, syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		w.checkRun(w.waitForJobEnd(j.ID), 1)
		text, err := os.ReadFile(filepath.Join(w.opt.Dir, owner+".log"))
		if err != nil || !ownershipLostLine.Match(text) {
			t.Errorf("the suspended owner did not notice that it lost ownership: %v", err)
		}
	})
}

// The leader's disk fails during a rollout: the leader steps down and reports why, the others continue, and no
// acknowledged job is lost. The agent with the failing disk can't record tokens, so its two instances count as
// unavailable, and the job allows one more.
func TestCouncilDiskFaults(t *testing.T) {
	t.Parallel()
	for name, o := range map[string]faults.Instructions{
		"full":      {Disk: "write: no space left on device"},
		"read-only": {Disk: "read-only file system"},
		"fsync":     {Disk: "fsync: input/output error"},
		"slow":      {Slow: testLease},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := councilLab(t, func(o *Options) { o.Instances = 6 })
			leader := ""
			w.waitUntil("there is a leader", func() bool {
				v, err := w.Fleet.View(w.ctx(time.Second))
				leader = v.Leader
				return err == nil && v.Current
			})
			if err := w.SetOrders(leader, o); err != nil {
				t.Fatal(err)
			}
			// The job is submitted while the leader's disk fails. If it is acknowledged it has to persist; without an answer it
			// may exist or not, and a retry with the same ID is the same job.
			j := w.submit(3)
			w.waitUntil("there is another leader, and the old one reports why", func() bool {
				voters, _ := w.Fleet.Voters(w.ctx(time.Second))
				reported := false
				for _, s := range voters {
					if s.Agent == leader {
						reported = s.State == duty.Broken && strings.Contains(s.Reason, o.Disk) || o.Slow > 0 && s.SlowestWrite > 0 && s.State != duty.Leader
					}
				}
				return reported
			})
			w.waitUntil("the job continues under another leader", func() bool {
				is := w.job(j.ID)
				return is != nil && is.Intents() > 0
			})
			if err := w.SetOrders(leader, faults.Instructions{}); err != nil {
				t.Fatal(err)
			}
			j = w.waitForJobEnd(j.ID)
			if j.State != duty.Finished {
				t.Errorf("job %s: %s %+v", j.State, j.Reason, j.Steps)
			}
			w.checkRun(j, 3)
		})
	}
}

// While three of five voters are down, agents supervise their instances but no fleet-wide work begins. The job resumes
// by itself soon after the voters are back.
func TestMajorityOfVotersDown(t *testing.T) {
	t.Parallel()
	w := councilLab(t, func(o *Options) { o.Agents, o.Instances, o.Council.Voters = 5, 5, 5 })
	j := w.submit(1)
	w.waitUntil("the job has begun", func() bool {
		is := w.job(j.ID)
		return is != nil && is.Intents() > 0
	})
	for n := range 3 {
		w.KillAgent(n)
	}
	// Operations that were sent before may end; no further one begins.
	time.Sleep(2 * testLease)
	effects := func() (n int) {
		v, err := faults.Check(w.Files())
		if err != nil {
			t.Fatal(err)
		}
		return v.Effects
	}
	is := effects()
	time.Sleep(testLease)
	if later := effects(); later != is {
		t.Errorf("%d effects became %d without a majority of the council", is, later)
	}
	// The remaining agents still restart instances that crash.
	i := w.Instances[4]
	rows, err := w.Fleet.List(w.ctx(time.Second)).Select(group.Selector{Names: []string{i.Name}})
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Kill(rows[0].Pid, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	w.waitUntil("the crashed instance is up", func() bool {
		is, err := w.Fleet.List(w.ctx(time.Second)).Select(group.Selector{Names: []string{i.Name}})
		return err == nil && is[0].State == protocol.StateUp && is[0].Pid != rows[0].Pid
	})
	for n := range 3 {
		if err := w.StartAgent(n, false); err != nil {
			t.Fatal(err)
		}
	}
	restarted := time.Now()
	j = w.waitForJobEnd(j.ID)
	if took := time.Since(restarted); took > 20*testLease {
		t.Errorf("the job ended %v after the voters' return, too late", took)
	}
	if j.State != duty.Finished {
		t.Errorf("job %s: %s", j.State, j.Reason)
	}
	v, err := faults.Check(w.Files())
	if err != nil || len(v.Violations) > 0 || v.MaxUnavailable > 1 {
		t.Errorf("%+v, %v", v, err)
	}
}

// Two jobs share one budget. One of them is cancelled, which takes effect at once.
func TestCancelOneOfTwoJobs(t *testing.T) {
	t.Parallel()
	w := councilLab(t, func(o *Options) { o.Instances = 6 })
	a, b := w.submit(1), w.submit(1)
	w.waitUntil("the first has begun", func() bool {
		is := w.job(a.ID)
		return is != nil && is.Intents() > 0
	})
	if out, code := runCtl("jobs", "cancel", b.ID, "--fleet", w.FleetFile); code != cli.OK {
		t.Fatal(out)
	}
	// Once the cancellation is acknowledged no step of the job begins: only steps in phase Intent may still change.
	atCancel := w.waitForJob(b.ID)
	if atCancel.State != duty.Cancelled {
		t.Fatalf("job %+v", atCancel)
	}
	a = w.waitForJobEnd(a.ID)
	b = w.waitForJobEnd(b.ID)
	if a.State != duty.Finished || b.State != duty.Cancelled {
		t.Errorf("jobs %s, %s", a.State, b.State)
	}
	done := map[string]int{}
	for i := range a.Steps {
		if b.Steps[i].Phase != atCancel.Steps[i].Phase && atCancel.Steps[i].Phase != duty.Intent {
			t.Errorf("%s went from %q to %q after the cancellation", b.Targets[i].Key(), atCancel.Steps[i].Phase, b.Steps[i].Phase)
		}
		for _, j := range []*duty.Job{a, b} {
			if j.Steps[i].Phase == duty.Done {
				done[j.Targets[i].Key()]++
			}
		}
	}
	v, err := faults.Check(w.Files())
	if err != nil || len(v.Violations) > 0 || v.MaxUnavailable > 1 {
		t.Errorf("%+v, %v", v, err)
	}
	for key, n := range done {
		if v.Starts[key] != 1+n {
			t.Errorf("%s was started %d times for %d jobs", key, v.Starts[key], n)
		}
	}
}

// An operator releases a duty from its owner during a rollout. The next owner takes over without waiting for the end of
// the lease, and the rollout continues.
func TestOwnerReleasedByOperator(t *testing.T) {
	t.Parallel()
	w := councilLab(t, nil)
	j := w.submit(1)
	w.waitUntil("the job has begun", func() bool {
		is := w.job(j.ID)
		return is != nil && is.Intents() > 0
	})
	_, before := w.currentOwner()
	began := time.Now()
	if out, code := runCtl("owners", "release", duty.Rollouts, "--fleet", w.FleetFile); code != cli.OK || !strings.Contains(out, "token 0.1") {
		t.Fatalf("exit code %d\n%s", code, out)
	}
	w.waitUntil("there is an owner again", func() bool {
		name, token := w.currentOwner()
		return name != "" && token > before
	})
	if took := time.Since(began); took > testLease {
		t.Errorf("the next owner took over after %v, want within a lease", took)
	}
	w.checkRun(w.waitForJobEnd(j.ID), 1)
}

// The leader dies while it writes a submitted job to its disk. Submitting it again with the same ID results in one job.
func TestLeaderKilledDuringCommit(t *testing.T) {
	t.Parallel()
	w := councilLab(t, nil)
	v, err := w.Fleet.View(w.ctx(2 * time.Second))
	if err != nil {
		t.Fatal(err)
	}
	if err := w.SetOrders(v.Leader, faults.Instructions{Slow: 300 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // until the leader has read its orders
	o := restartOrder(1)
	o.ID = protocol.NewID(time.Now(), 5)
	firstResult := make(chan error, 1)
	go func() {
		_, _, err := w.Fleet.Submit(w.ctx(5*time.Second), o)
		firstResult <- err
	}()
	time.Sleep(150 * time.Millisecond)
	w.KillAgent(agentIndex(v.Leader))
	acknowledged := <-firstResult == nil
	j := w.submitOrder(o)
	if err := w.SetOrders(v.Leader, faults.Instructions{}); err != nil {
		t.Fatal(err)
	}
	if err := w.StartAgent(agentIndex(v.Leader), false); err != nil {
		t.Fatal(err)
	}
	t.Logf("acknowledged before the leader died: %v", acknowledged)
	// The job's targets are the agents that answered the second submission; each instance is restarted once.
	w.checkRun(w.waitForJobEnd(j.ID), 1)
	if v, err := w.Fleet.View(w.ctx(2 * time.Second)); err != nil || len(v.Jobs) != 1 {
		t.Errorf("%d jobs, %v", len(v.Jobs), err)
	}
}

// During a rollout, agents are replaced one by one by a version whose messages have fields that the old version does
// not know. Both versions work together, and each instance is restarted once.
func TestMixedAgentVersions(t *testing.T) {
	next := buildChangedAgent(t,
		mutant.Change{File: "internal/fleet/duty/answers.go", Old: "type Renewal struct {", New: "type Renewal struct {\n\tNewer int `json:\"newer\"`"},
		mutant.Change{File: "internal/fleet/duty/duty.go", Old: "type SetPhase struct {", New: "type SetPhase struct {\n\tNewer int `json:\"newer\"`"})
	t.Parallel()
	w := councilLab(t, func(o *Options) { o.Instances = 9 })
	j := w.submit(1)
	for n := range 3 {
		w.waitUntil("more steps are done", func() bool {
			is, done := w.job(j.ID), 0
			if is == nil {
				return false
			}
			for _, s := range is.Steps {
				if s.Phase == duty.Done {
					done++
				}
			}
			return done > 2*n || !is.Open()
		})
		w.KillAgent(n)
		w.opt.Agent = []string{next, "agent"}
		if err := w.StartAgent(n, false); err != nil {
			t.Fatal(err)
		}
	}
	j = w.waitForJobEnd(j.ID)
	if j.State != duty.Finished {
		t.Errorf("job %s: %s", j.State, j.Reason)
	}
	w.checkRun(j, 1)
}

// The owner is killed and restarted repeatedly during one rollout: each instance is restarted once, and the limit on
// unavailable instances is kept.
func TestOwnerKilledRepeatedly(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	const kills, maxUnavailable = 20, 3
	w := councilLab(t, func(o *Options) { o.Instances = 30 })
	j := w.submit(maxUnavailable)
	killed := 0
	for killed < kills {
		owner := ""
		w.waitUntil("there is an owner", func() bool {
			if is := w.job(j.ID); is != nil && !is.Open() {
				return true
			}
			owner, _ = w.currentOwner()
			return owner != ""
		})
		if is := w.job(j.ID); is != nil && !is.Open() {
			break
		}
		time.Sleep(time.Duration(killed%5) * 40 * time.Millisecond) // varies the point in time
		w.KillAgent(agentIndex(owner))
		if err := w.StartAgent(agentIndex(owner), false); err != nil {
			t.Fatal(err)
		}
		killed++
	}
	t.Logf("the owner was killed %d times", killed)
	j = w.waitForJobEnd(j.ID)
	if j.State != duty.Finished || killed < kills {
		t.Errorf("job %s: %s after %d kills", j.State, j.Reason, killed)
	}
	w.checkRun(j, maxUnavailable)
}
