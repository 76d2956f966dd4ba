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

// worded is a fleet whose nodes are brought the fleet's word, with whatever watches that.
type worded struct {
	*owned
	play *wordPlay
}

// wordLab starts six nodes under three agents, before eight boxes of which two may be out.
func wordLab(t *testing.T, change func(*Options)) *worded {
	var play *wordPlay
	w := &worded{owned: councilLab(t, func(o *Options) {
		o.Instances, o.Boxes, o.Fleet = 6, wordBoxes, testLease
		if change != nil {
			change(o)
		}
		play = watchWords(o)
	})}
	w.play = play
	play.begin(w.Lab)
	t.Cleanup(play.end)
	if err := play.counted(w.ctx(startWithin)); err != nil {
		t.Fatal(err)
	}
	return w
}

// say makes a change until it is agreed on, and gives its version.
func (w *worded) say(make func(*desired.State) *desired.Change) (version desired.Version) {
	w.t.Helper()
	before := w.desired().Document.Version
	w.until("a change is agreed on", func() bool {
		if version = w.desired().Document.Version; version > before {
			return true
		}
		w.play.change(w.ctx(askWithin), make)
		return false
	})
	return version
}

func (w *worded) desired() (s *desired.State) {
	w.t.Helper()
	w.until("the council tells", func() bool {
		v, err := w.Fleet.Desired(w.ctx(askWithin))
		s = v.State
		return err == nil && v.Current
	})
	return s
}

// all waits until every node has confirmed the latest version.
func (w *worded) all() {
	w.t.Helper()
	var open string
	limit := w.ctx(time.Minute)
	if _, open = w.play.rest(limit); open != "" {
		w.t.Fatal(open)
	}
}

// broken judges the fleet by what was written down.
func (w *worded) broken() []string {
	w.t.Helper()
	w.play.sampleOnce(w.ctx(askWithin)) // the periodic samples may all fall outside the short times in which a version is confirmed
	w.play.end()
	verdict, err := faults.Check(w.Files())
	if err != nil {
		w.t.Fatal(err)
	}
	broken, lives, err := w.play.judge(w.desired())
	if err != nil {
		w.t.Fatal(err)
	}
	if lives < len(w.Instances) || len(w.play.arrivals) == 0 || len(w.play.claims) == 0 {
		w.t.Errorf("judged by %d processes, %d requests and %d claims", lives, len(w.play.arrivals), len(w.play.claims))
	}
	return append(verdict.Broken, broken...)
}

func (w *worded) judge() {
	w.t.Helper()
	for _, b := range w.broken() {
		w.t.Error(b)
	}
}

func (w *worded) tool(want int, args ...string) string {
	w.t.Helper()
	out, code := ctlRun(append(args, "--fleet", w.FleetFile)...)
	if code != want {
		w.t.Errorf("%v: exit code %d, want %d\n%s", args, code, want, out)
	}
	return out
}

// A ban goes out while a node is stopped, an agent can't be reached, another one gets questions and its answers are
// lost, and a node restarts: it holds 500 ms after each node is told, whoever returns is told before it serves, and
// the tool claims no more than was confirmed.
func TestBanReachesEveryNode(t *testing.T) {
	t.Parallel()
	w := wordLab(t, nil)
	var owner string
	w.until("somebody owns the fleet", func() bool {
		v, err := w.Fleet.Desired(w.ctx(askWithin))
		owner = v.Owner
		return err == nil && v.Current && owner != ""
	})
	others := slices.DeleteFunc([]string{"m1", "m2", "m3"}, func(n string) bool { return n == owner })
	w.Relay(owner, others[0]).Set(faults.Cut, faults.Pass)
	w.Relay(owner, others[1]).Set(faults.Pass, faults.Cut)
	stopped, _ := w.play.play(context.Background(), faults.Fault{Kind: faults.NodeStop, Node: number(owner)}) // n1 is m1's, and so on
	w.play.play(context.Background(), faults.Fault{Kind: faults.NodeKill, Node: number(owner) + 3})
	out := w.tool(cli.Silent, "ban", "s1", "--reason", "disk", "--timeout", "4s")
	if !strings.Contains(out, fmt.Sprintf("%s/n%d", owner, number(owner)+1)) {
		t.Errorf("the stopped node is not named:\n%s", out)
	}
	if out := w.tool(cli.Silent, "status"); !strings.Contains(out, "disk") || !strings.Contains(out, "s1") || regexp.MustCompile(`6 confirmed`).MatchString(out) {
		t.Error(out)
	}
	if err := stopped(); err != nil {
		t.Fatal(err)
	}
	for _, o := range others {
		w.Relay(owner, o).Set(faults.Pass, faults.Pass)
	}
	w.all()
	if out := w.tool(cli.OK, "status"); !strings.Contains(out, "6 confirmed, 0 not") {
		t.Error(out)
	}
	w.tool(cli.Conflict, "apply", "-f", w.file("[budgets]\nout_share = 0.25\n[[ban]]\nserver = \"s2\"\nreason = \"x\"\n[[ban]]\nserver = \"s3\"\nreason = \"x\"\n"))
	w.tool(cli.OK, "ban", "s9", "--reason", "never listed", "--for", "1h")
	if out := w.tool(cli.OK, "status"); strings.Count(out, " s9 ") < 6 {
		t.Errorf("nobody says that s9 is not in the list:\n%s", out)
	}
	w.tool(cli.OK, "undo")
	w.tool(cli.Usage, "unban", "s9")
	if out := w.tool(cli.OK, "diff"); strings.Count(out, "->") != 3 || !strings.Contains(out, "ban s1: in -> out (disk)") {
		t.Error(out)
	}
	w.judge()
}

// file writes a file of what the fleet should be.
func (w *worded) file(text string) string {
	w.t.Helper()
	path := filepath.Join(w.opt.Dir, "desired.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// heldWord plays an owner's end of a ban that is held on the wire until another owner has brought a new ban.
func heldWord(t *testing.T, agent []string, node []string) (broken []string, out bool) {
	w := wordLab(t, func(o *Options) {
		o.Agents, o.Instances, o.Council.Voters = 4, 4, 3
		if agent != nil {
			o.Agent, o.Node = agent, node
		}
	})
	owner := func() (string, duty.Token) {
		v, err := w.Fleet.View(w.ctx(askWithin))
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
	w.say(banOf("s1", 0))
	w.all()
	var old string
	var token duty.Token
	w.until("somebody owns the fleet", func() bool {
		old, token = owner()
		return old != ""
	})
	w.Relay(old, "m4").HoldOnly("/fleet") // n4 is at m4, which does not vote
	w.say(lift(0))
	w.until("the old owner's word is held", func() bool { return w.Relay(old, "m4").Held() > 0 })
	if err := w.SignalAgent(number(old), syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	w.until("another one owns", func() bool {
		name, next := owner()
		return name != "" && name != old && next > token
	})
	latest := w.say(banOf("s1", 0))
	w.until("m4 has the new ban", func() bool {
		f, err := w.Fleet.Agent("m4").Fleet(w.ctx(time.Second))
		return err == nil && f.Version == latest && f.Instances[0].Version == latest
	})
	w.Relay(old, "m4").Set(faults.Pass, faults.Pass) // the old word arrives
	time.Sleep(time.Second)
	f, err := w.Fleet.Agent("m4").Fleet(w.ctx(time.Second))
	out = err == nil && f.Version == latest && f.Instances[0].Version == latest
	if err := w.SignalAgent(number(old), syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if agent == nil {
		w.all()
	}
	return w.broken(), out
}

// An old owner's end of a ban that arrives after a new ban changes nothing.
func TestOldWordChangesNothing(t *testing.T) {
	t.Parallel()
	if broken, out := heldWord(t, nil, nil); len(broken) > 0 || !out {
		t.Errorf("s1 is out at n4: %v; %v", out, broken)
	}
}

// A build that takes any word is seen to fail the same test.
func TestOldWordWithoutTheGuard(t *testing.T) {
	further(t)
	changes := []mutant.Change{
		{File: "internal/fleet/book/book.go", Old: "\tif f.Word.Version < b.word.Version {\n", New: "\tif false {\n"},
		{File: "internal/fleet/book/book.go", Old: "\treturn f.Token == highest, b.checkFence(f.Fence)\n", New: "\treturn f.Token == highest, nil\n"},
		{File: "internal/cordon/fleet.go", Old: "\tcase w.Token < s.word.Token:\n", New: "\tcase false:\n"},
		{File: "internal/cordon/fleet.go", Old: "\tcase w.Version < s.word.Version:\n", New: "\tcase false:\n"},
	}
	agent, node := changed(t, changes...), changedNode(t, changes...)
	t.Parallel()
	broken, _ := heldWord(t, []string{agent, "agent"}, []string{node}) // the new owner's next look mends it
	if !slices.ContainsFunc(broken, func(s string) bool { return strings.Contains(s, "m4/n4 took version 2 behind 3") }) {
		t.Errorf("the judge sees nothing: %v", broken)
	}
}

// All machines lose their power at once, with a ban agreed on just before that nobody could be told: nothing is sent
// to that server when they come back, and nothing happens twice.
func TestWordOutlivesAPowerCut(t *testing.T) {
	t.Parallel()
	w := wordLab(t, nil)
	w.say(banOf("s1", 0))
	w.all()
	for _, relay := range w.relays {
		relay.HoldOnly("/fleet")
	}
	w.say(banOf("s2", 0))
	for n := range w.opt.Agents {
		w.KillMachine(n)
	}
	for _, relay := range w.relays {
		relay.Set(faults.Reset, faults.Reset) // what was on the wire is gone
		relay.Set(faults.Pass, faults.Pass)
	}
	if err := w.Lose(2, faults.Both); err != nil { // and one of them its memory
		t.Fatal(err)
	}
	for n := range w.opt.Agents {
		if err := w.StartAgent(n, false); err != nil {
			t.Fatal(err)
		}
	}
	w.all()
	w.judge()
}

// Fixed seeds of the campaign with the fleet's word.
func TestWordsCampaign(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{4, 5} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if seed != 5 {
				further(t)
			}
			o := campaignLab(t)
			room(t, 0)
			run, err := PlayFaults(context.Background(), o, seed, Campaign{Faults: 8, Words: true})
			if err != nil {
				t.Fatal(err)
			}
			if len(run.Failed) > 0 || run.Versions == 0 {
				t.Errorf("seed %d: %v\n%s\n%s", seed, run, strings.Join(run.Failed, "\n"), run.Schedule)
			}
		})
	}
}

// A build whose nodes do not wait for the fleet's word is seen to fail as soon as one restarts.
func TestNodesThatDoNotWait(t *testing.T) {
	further(t)
	node := changedNode(t, mutant.Change{File: "internal/node/node.go", Old: "\t\t\tfleet.await(background)\n", New: "\t\t\tgo fleet.await(background)\n"})
	t.Parallel()
	w := wordLab(t, func(o *Options) { o.Node = []string{node} })
	w.say(banOf("s1", 0))
	w.all()
	w.play.play(context.Background(), faults.Fault{Kind: faults.NodeKill, Node: 0})
	w.all()
	if broken := w.broken(); !slices.ContainsFunc(broken, func(s string) bool {
		return strings.Contains(s, "before it was told") || strings.Contains(s, "served from")
	}) {
		t.Errorf("the judge sees nothing: %v", broken)
	}
}
