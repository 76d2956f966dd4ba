package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/cli"
	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/standin/faults"
	"otterstep/internal/standin/mutant"
)

// desiredStateFleet is a fleet whose nodes apply the council's desired state, with an observer.
type desiredStateFleet struct {
	*testFleet
	observer *stateObserver
}

// desiredStateLab starts six nodes under three agents, with eight boxes of which two may be banned at once.
func desiredStateLab(t *testing.T, change func(*Options)) *desiredStateFleet {
	var observer *stateObserver
	w := &desiredStateFleet{testFleet: councilLab(t, func(o *Options) {
		o.Instances, o.Boxes, o.DesiredStateWait = 6, desiredStateBoxes, testLease
		if change != nil {
			change(o)
		}
		observer = newStateObserver(o)
	})}
	w.observer = observer
	observer.start(w.Lab)
	t.Cleanup(observer.close)
	if err := observer.waitForServerCount(w.ctx(startTimeout)); err != nil {
		t.Fatal(err)
	}
	return w
}

// submitUntilAgreed submits a change until the council has agreed on it, and returns its version.
func (w *desiredStateFleet) submitUntilAgreed(make func(*desired.State) *desired.Change) (version desired.Version) {
	w.t.Helper()
	before := w.desired().Document.Version
	w.waitUntil("the council agrees on the change", func() bool {
		if version = w.desired().Document.Version; version > before {
			return true
		}
		w.observer.submitChange(w.ctx(requestTimeout), make)
		return false
	})
	return version
}

func (w *desiredStateFleet) desired() (s *desired.State) {
	w.t.Helper()
	w.waitUntil("the council returns the desired state", func() bool {
		v, err := w.Fleet.Desired(w.ctx(requestTimeout))
		s = v.State
		return err == nil && v.Current
	})
	return s
}

// waitForConvergence waits until every node has confirmed the latest version.
func (w *desiredStateFleet) waitForConvergence() {
	w.t.Helper()
	var open string
	limit := w.ctx(time.Minute)
	if _, open = w.observer.waitForConvergence(limit); open != "" {
		w.t.Fatal(open)
	}
}

// check checks the logs and observations of the fleet and returns the violations.
func (w *desiredStateFleet) check() []string {
	w.t.Helper()
	w.observer.sampleOnce(w.ctx(requestTimeout)) // periodic samples may miss the short times in which a version is confirmed
	w.observer.close()
	verdict, err := faults.Check(w.Files())
	if err != nil {
		w.t.Fatal(err)
	}
	broken, lives, err := w.observer.check(w.desired())
	if err != nil {
		w.t.Fatal(err)
	}
	if lives < len(w.Instances) || len(w.observer.arrivals) == 0 || len(w.observer.claims) == 0 {
		w.t.Errorf("too little to check: %d processes, %d requests and %d claims", lives, len(w.observer.arrivals), len(w.observer.claims))
	}
	return append(verdict.Violations, broken...)
}

func (w *desiredStateFleet) expectNoViolations() {
	w.t.Helper()
	for _, b := range w.check() {
		w.t.Error(b)
	}
}

func (w *desiredStateFleet) runTool(want int, args ...string) string {
	w.t.Helper()
	out, code := runCtl(append(args, "--fleet", w.FleetFile)...)
	if code != want {
		w.t.Errorf("%v: exit code %d, want %d\n%s", args, code, want, out)
	}
	return out
}

// A ban is submitted while a node is stopped, one agent is unreachable, the answers of another are lost, and a node
// restarts. It takes effect at most 500 ms after a node gets it, a restarted node gets it before it serves, and
// otterctl shows no more nodes as confirmed than have confirmed.
func TestBanReachesEveryNode(t *testing.T) {
	t.Parallel()
	w := desiredStateLab(t, nil)
	var owner string
	w.waitUntil("the fleet has an owner", func() bool {
		v, err := w.Fleet.Desired(w.ctx(requestTimeout))
		owner = v.Owner
		return err == nil && v.Current && owner != ""
	})
	others := slices.DeleteFunc([]string{"m1", "m2", "m3"}, func(n string) bool { return n == owner })
	w.Relay(owner, others[0]).Set(faults.Cut, faults.Pass)
	w.Relay(owner, others[1]).Set(faults.Pass, faults.Cut)
	stopped, _ := w.observer.inject(context.Background(), faults.Fault{Kind: faults.NodeStop, Node: agentIndex(owner)}) // the agent of n1 is m1, and so on
	w.observer.inject(context.Background(), faults.Fault{Kind: faults.NodeKill, Node: agentIndex(owner) + 3})
	out := w.runTool(cli.NoAnswer, "ban", "s1", "--reason", "disk", "--timeout", "4s")
	if !strings.Contains(out, fmt.Sprintf("%s/n%d", owner, agentIndex(owner)+1)) {
		t.Errorf("the stopped node is not listed:\n%s", out)
	}
	if out := w.runTool(cli.NoAnswer, "status"); !strings.Contains(out, "disk") || !strings.Contains(out, "s1") || regexp.MustCompile(`6 confirmed`).MatchString(out) {
		t.Error(out)
	}
	if err := stopped(); err != nil {
		t.Fatal(err)
	}
	for _, o := range others {
		w.Relay(owner, o).Set(faults.Pass, faults.Pass)
	}
	w.waitForConvergence()
	if out := w.runTool(cli.OK, "status"); !strings.Contains(out, "6 confirmed, 0 not") {
		t.Error(out)
	}
	w.runTool(cli.Conflict, "apply", "-f", w.writeDesired("[budgets]\nout_share = 0.25\n[[ban]]\nserver = \"s2\"\nreason = \"x\"\n[[ban]]\nserver = \"s3\"\nreason = \"x\"\n"))
	w.runTool(cli.OK, "ban", "s9", "--reason", "never listed", "--for", "1h")
	if out := w.runTool(cli.OK, "status"); strings.Count(out, " s9 ") < 6 {
		t.Errorf("not all nodes report that s9 is not in the list:\n%s", out)
	}
	w.runTool(cli.OK, "undo")
	w.runTool(cli.Usage, "unban", "s9")
	if out := w.runTool(cli.OK, "diff"); strings.Count(out, "->") != 3 || !strings.Contains(out, "ban s1: in -> out (disk)") {
		t.Error(out)
	}
	w.expectNoViolations()
}

// writeDesired writes a file with the desired state and returns its path.
func (w *desiredStateFleet) writeDesired(text string) string {
	w.t.Helper()
	path := filepath.Join(w.opt.Dir, "desired.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// runDelayedChange delays the old owner's message that removes a ban until another owner has distributed a new ban. It
// returns the violations, and whether the new ban was still in effect after the old message had arrived.
func runDelayedChange(t *testing.T, agent []string, node []string) (broken []string, out bool) {
	w := desiredStateLab(t, func(o *Options) {
		o.Agents, o.Instances, o.Council.Voters = 4, 4, 3
		if agent != nil {
			o.Agent, o.Node = agent, node
		}
	})
	owner := func() (string, duty.Token) {
		v, err := w.Fleet.View(w.ctx(requestTimeout))
		if err != nil || !v.Current {
			return "", 0
		}
		for _, d := range v.Duties {
			if d.Name == duty.Fleet {
				return d.Owner, d.Token
			}
		}
		return "", 0
	}
	w.submitUntilAgreed(banChange("s1", 0))
	w.waitForConvergence()
	var old string
	var token duty.Token
	w.waitUntil("the fleet has an owner", func() bool {
		old, token = owner()
		return old != ""
	})
	w.Relay(old, "m4").HoldOnly("/fleet") // the agent of n4 is m4, which does not vote
	w.submitUntilAgreed(unbanChange(0))
	w.waitUntil("the old owner's message is delayed", func() bool { return w.Relay(old, "m4").Held() > 0 })
	if err := w.SignalAgent(agentIndex(old), syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	w.waitUntil("there is another owner", func() bool {
		name, next := owner()
		return name != "" && name != old && next > token
	})
	latest := w.submitUntilAgreed(banChange("s1", 0))
	w.waitUntil("m4 has the new ban", func() bool {
		f, err := w.Fleet.Client("m4").Fleet(w.ctx(time.Second))
		return err == nil && f.Version == latest && f.Instances[0].Version == latest
	})
	w.Relay(old, "m4").Set(faults.Pass, faults.Pass) // delivers the old message
	time.Sleep(time.Second)
	f, err := w.Fleet.Client("m4").Fleet(w.ctx(time.Second))
	out = err == nil && f.Version == latest && f.Instances[0].Version == latest
	if err := w.SignalAgent(agentIndex(old), syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if agent == nil {
		w.waitForConvergence()
	}
	return w.check(), out
}

// An old owner's removal of a ban that arrives after a new ban has no effect.
func TestOutdatedChangeIsIgnored(t *testing.T) {
	t.Parallel()
	if broken, out := runDelayedChange(t, nil, nil); len(broken) > 0 || !out {
		t.Errorf("s1 is banned at n4: %v; %v", out, broken)
	}
}

// Checks the checker: it has to detect agents and nodes that accept outdated changes.
func TestCheckerDetectsOutdatedChange(t *testing.T) {
	skipIfShort(t)
	changes := []mutant.Change{
		{File: "internal/fleet/agentstate/state.go", Old: "\tif f.Bans.Version < b.fleetBans.Version {\n", New: "\tif false {\n"},
		{File: "internal/fleet/agentstate/state.go", Old: "\treturn f.Token == highest, b.checkFence(f.Fence)\n", New: "\treturn f.Token == highest, nil\n"},
		{File: "internal/cordon/fleet.go", Old: "\tcase w.Token < s.fleetBans.Token:\n", New: "\tcase false:\n"},
		{File: "internal/cordon/fleet.go", Old: "\tcase w.Version < s.fleetBans.Version:\n", New: "\tcase false:\n"},
	}
	agent, node := buildChangedAgent(t, changes...), buildChangedNode(t, changes...)
	t.Parallel()
	broken, _ := runDelayedChange(t, []string{agent, "agent"}, []string{node}) // the new owner's next poll repairs the state, so only the violations count
	if !slices.ContainsFunc(broken, func(s string) bool { return strings.Contains(s, "m4/n4 took version 2 behind 3") }) {
		t.Errorf("not detected: %v", broken)
	}
}

// All machines have a power cut just after the council has agreed on a ban that could not be distributed yet. After the
// restart nothing is sent to the banned server, and no operation is executed twice.
func TestBansSurvivePowerCut(t *testing.T) {
	t.Parallel()
	w := desiredStateLab(t, nil)
	w.submitUntilAgreed(banChange("s1", 0))
	w.waitForConvergence()
	for _, relay := range w.relays {
		relay.HoldOnly("/fleet")
	}
	w.submitUntilAgreed(banChange("s2", 0))
	for n := range w.opt.Agents {
		w.KillMachine(n)
	}
	for _, relay := range w.relays {
		relay.Set(faults.Reset, faults.Reset) // drops delayed messages
		relay.Set(faults.Pass, faults.Pass)
	}
	if err := w.LoseState(2, faults.RecordAndCopy); err != nil { // one machine loses its record and copy too
		t.Fatal(err)
	}
	for n := range w.opt.Agents {
		if err := w.StartAgent(n, false); err != nil {
			t.Fatal(err)
		}
	}
	w.waitForConvergence()
	w.expectNoViolations()
}

// Fixed seeds of the campaign with changes of the desired state.
func TestDesiredStateCampaign(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{4, 5} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if seed != 5 {
				skipIfShort(t)
			}
			o := campaignLab(t)
			reserveSlot(t, 0)
			run, err := RunFaults(context.Background(), o, seed, Campaign{Faults: 8, DesiredState: true})
			if err != nil {
				t.Fatal(err)
			}
			if len(run.Failed) > 0 || run.Versions == 0 {
				t.Errorf("seed %d: %v\n%s\n%s", seed, run, strings.Join(run.Failed, "\n"), run.Schedule)
			}
		})
	}
}

// Checks the checker: it has to detect nodes that serve after a restart without waiting for the desired state.
func TestCheckerDetectsNodesThatDoNotWait(t *testing.T) {
	skipIfShort(t)
	node := buildChangedNode(t, mutant.Change{File: "internal/node/node.go", Old: "\t\t\tfleet.await(background)\n", New: "\t\t\tgo fleet.await(background)\n"})
	t.Parallel()
	w := desiredStateLab(t, func(o *Options) { o.Node = []string{node} })
	w.submitUntilAgreed(banChange("s1", 0))
	w.waitForConvergence()
	w.observer.inject(context.Background(), faults.Fault{Kind: faults.NodeKill, Node: 0})
	w.waitForConvergence()
	if broken := w.check(); !slices.ContainsFunc(broken, func(s string) bool {
		return strings.Contains(s, "before it was told") || strings.Contains(s, "served from")
	}) {
		t.Errorf("not detected: %v", broken)
	}
}
