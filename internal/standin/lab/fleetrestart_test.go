package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"otterstep/internal/cli"
	"otterstep/internal/clientretry"
	"otterstep/internal/control"
	"otterstep/internal/fleet/record"
	"otterstep/internal/nodestate"
	"otterstep/internal/standin"
	"otterstep/internal/standin/mutant"
)

// saveInterval is the interval at which instances of a lab save their state.
const saveInterval = time.Second

func (w *testFleet) savedFile(i Instance) string { return filepath.Join(w.opt.Dir, i.Name+".kept") }

// restartLab starts a fleet of twelve nodes that save their state, with six small boxes in two zones. The capacity of
// warm boxes is slightly above the request rate. Cold boxes fall over at 1.5 times their capacity.
func restartLab(t *testing.T, change func(*Options)) *testFleet {
	w := labWithoutCouncil(t, func(o *Options) {
		o.Instances, o.Agents, o.Boxes, o.Rate, o.SaveState, o.OperatorPorts = 12, 3, 6, 60, true, true
		o.FallMultiple, o.Zones = 1.5, []string{"room1", "room2"}
		o.AdjustBox = func(_ int, b *standin.BoxOptions) { b.Cores, b.Speed, b.Queue = 2, 0.5, 8 }
		if change != nil {
			change(o)
		}
	})
	w.waitUntil("all instances have saved the list", func() bool {
		for _, i := range w.Instances {
			text, err := os.ReadFile(w.savedFile(i) + ".a")
			if w.opt.SaveState && (err != nil || strings.Count(string(text), `"endpoint"`) < len(w.Boxes)) {
				return false
			}
		}
		return true
	})
	return w
}

// killAll kills all nodes and agents.
func (w *testFleet) killAll() {
	defer func() { w.begunAtKill = w.Clients.Begun() }()
	var all sync.WaitGroup
	for n := range w.opt.Agents {
		all.Go(func() { w.KillMachine(n) })
	}
	all.Wait()
}

// startAll starts all agents, which start the nodes.
func (w *testFleet) startAll() {
	w.t.Helper()
	for n := range w.opt.Agents {
		if err := w.StartAgent(n, false); err != nil {
			w.t.Fatal(err)
		}
	}
}

// powerCut takes discovery down and kills all nodes, agents and boxes. After meanwhile has run, it returns the boxes,
// which are cold, and starts the agents.
func (w *testFleet) powerCut(meanwhile func()) {
	w.t.Helper()
	w.Discovery.SetDown(true)
	w.killAll()
	for _, b := range w.Boxes {
		b.Crash()
	}
	meanwhile()
	for _, b := range w.Boxes {
		if err := b.Return(); err != nil {
			w.t.Fatal(err)
		}
	}
	w.startAll()
}

// editSavedState changes the saved state of an instance that is not running.
func (w *testFleet) editSavedState(i Instance, change func(*nodestate.Snapshot)) {
	w.t.Helper()
	s, v, problems := nodestate.Open(record.OS{}, w.savedFile(i), i.Name)
	defer s.Close()
	if v == nil {
		w.t.Fatalf("%s has no saved state: %v", i.Name, problems)
	}
	change(v)
	for range 2 { // both generations of the file
		if err := s.Save(*v); err != nil {
			w.t.Fatal(err)
		}
	}
}

// withAge makes saved state older by the given time, and makes it look saved before the machine's last boot.
func withAge(by time.Duration) func(*nodestate.Snapshot) {
	return func(v *nodestate.Snapshot) {
		v.Saved.Wall, v.Confirmed.Wall = v.Saved.Wall.Add(-by), v.Confirmed.Wall.Add(-by)
		v.Saved.Boot, v.Confirmed.Boot = "another", "another"
	}
}

var requestID = regexp.MustCompile(`[0-9a-f]{8}([0-9a-f]{8})`)

// violations returns descriptions of the rule violations, without those of requests that had begun when all processes
// were last killed: these got no answer, and clients may have sent them again when their connections ended.
func (w *testFleet) violations() (all []string) {
	for _, violation := range w.Ledger.Report().Descriptions {
		if id := requestID.FindStringSubmatch(violation); id != nil {
			if n, err := strconv.ParseInt(id[1], 16, 64); err == nil && int(n) <= w.begunAtKill {
				continue
			}
		}
		all = append(all, violation)
	}
	return all
}

// waitForServedShare waits until the fleet serves the given share of the request rate over one second.
func (w *testFleet) waitForServedShare(share float64) {
	w.t.Helper()
	best := 0
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); {
		was := w.served()
		time.Sleep(time.Second)
		best = max(best, w.served()-was)
		if float64(best) >= share*w.opt.Rate {
			return
		}
	}
	var boxes []string
	for _, b := range w.Boxes {
		boxes = append(boxes, b.UID()+" "+b.State())
	}
	w.t.Fatalf("the fleet serves at most %d requests per second of %v: %v, %v", best, w.opt.Rate, boxes, w.violations())
}

// restartCase is a case of a restart of all nodes at once.
type restartCase struct {
	change     func(o *Options)
	meanwhile  func(w *testFleet) // runs while all processes are down
	afterStart func(w *testFleet) // runs after the start of all agents, while discovery is down
	minShare   float64            // of the request rate that has to be served in the end; 0.9 if 0
	minServed  int                // requests that have to be served while discovery is down
}

var restartCases = map[string]restartCase{
	// Nodes start whatever the condition of their files, log what is wrong, and use what is valid. A server that is
	// drained meanwhile gets no requests from a node that knows.
	"files of all ages": {
		minServed: 30,
		meanwhile: func(w *testFleet) {
			damage := func(n int, do func(path string) error) {
				for _, suffix := range []string{".a", ".b"} {
					if err := do(w.savedFile(w.Instances[n]) + suffix); err != nil && !errors.Is(err, os.ErrNotExist) {
						w.t.Fatal(err)
					}
				}
			}
			damage(0, func(path string) error { return os.Truncate(path, 100) })
			damage(1, func(path string) error { // the file of another node
				text, err := os.ReadFile(w.savedFile(w.Instances[2]) + ".a")
				return errors.Join(err, os.WriteFile(path, text, 0o600))
			})
			damage(3, func(path string) error { return errors.Join(os.RemoveAll(path), os.Mkdir(path, 0o700)) })
			w.editSavedState(w.Instances[5], withAge(time.Hour))
			w.editSavedState(w.Instances[6], withAge(21*24*time.Hour))
			w.editSavedState(w.Instances[7], withAge(-24*time.Hour)) // saved in the future: the wall clock was set back by a day
			w.editSavedState(w.Instances[8], withAge(40*24*time.Hour))
		},
		afterStart: func(w *testFleet) {
			for n, want := range map[int]string{
				0: "can't be used", 1: "not of", 3: "directory", 4: "used=6", 5: "age=1h", 6: "age=504h", 7: "age_known=false", 8: "used=0",
			} {
				w.waitUntil(w.Instances[n].Name+" logs "+want, func() bool {
					text, err := os.ReadFile(w.Instances[n].LogFile)
					return err == nil && strings.Contains(string(text), want)
				})
			}
			w.Boxes[0].List(standin.Terminating)
		},
	},
	"a zone cut off": {
		minServed: 15,
		afterStart: func(w *testFleet) {
			for n := 1; n < len(w.Boxes); n += 2 {
				w.Boxes[n].Hang(true)
			}
		},
	},
	// In the nodes' saved state, faster servers with other names have these addresses.
	"others at the same addresses": {
		minServed: 15,
		afterStart: func(w *testFleet) {
			for n := 0; n < len(w.Boxes); n += 2 {
				b, err := w.Boxes[n].Replace(fmt.Sprint("t", n), 1.5)
				if err != nil {
					w.t.Fatal(err)
				}
				w.Boxes[n] = b
			}
		},
	},
	"clients that retry": {
		minServed: 30,
		change: func(o *Options) {
			o.ClientBehavior = clientretry.Behavior{MaxAttempts: 3, HonorRetryAfter: 0.7, RetryImmediately: 0.3}
		},
	},
	// A lower rate would suffice to make servers fall over: see TestCheckerDetectsTrustInSavedState.
	"overload by clients that retry": {
		minServed: 30,
		minShare:  0.4,
		change: func(o *Options) {
			o.Rate, o.ClientBehavior, o.FallMultiple = 110, clientretry.Behavior{MaxAttempts: 3, HonorRetryAfter: 0.7, RetryImmediately: 0.3}, 1.2
			o.AdjustBox = func(_ int, b *standin.BoxOptions) { b.Cores, b.Speed, b.Queue = 1, 1, 1 }
		},
	},
	// All processes are killed again ten times, after 1 s, 2 s and so on up to 10 s.
	"killed repeatedly": {
		minServed: 15,
		afterStart: func(w *testFleet) {
			for after := range 10 {
				time.Sleep(time.Duration(after+1) * time.Second)
				w.killAll()
				w.startAll()
			}
		},
	},
	"two minutes without discovery": {
		minServed:  60 * 60, // half of the requests
		afterStart: func(*testFleet) { time.Sleep(2 * time.Minute) },
	},
}

// run restarts all processes at once while discovery is down, and then brings discovery back overloaded. It returns the
// number of requests served while discovery was down.
func (c restartCase) run(t *testing.T, node string) (*testFleet, int) {
	w := restartLab(t, func(o *Options) {
		if node != "" {
			o.Node = []string{node}
		}
		if c.change != nil {
			c.change(o)
		}
	})
	w.powerCut(func() {
		if c.meanwhile != nil {
			c.meanwhile(w)
		}
	})
	was := w.served()
	if c.afterStart != nil {
		c.afterStart(w)
	}
	w.waitUntil("nodes serve without discovery", func() bool { return w.served() >= was+c.minServed || len(w.violations()) > 0 })
	time.Sleep(2 * time.Second)
	servedWithoutDiscovery := w.served() - was
	for _, b := range w.Boxes {
		if b.State() == "hanging" {
			b.Heal()
		}
	}
	w.Discovery.RejectAllButOneIn(10)
	w.Discovery.SetDown(false)
	return w, servedWithoutDiscovery
}

// A fleet of twelve nodes and its boxes, which are cold, restart while discovery is down. With their saved state nodes
// serve before discovery is back and overload no box. They serve nine in ten requests once discovery is back, although
// it answers only one request in ten. No rule is broken.
func TestNodesComeBackTogether(t *testing.T) {
	t.Parallel()
	for name, c := range restartCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if name != "others at the same addresses" {
				skipIfShort(t)
			}
			w, servedWithoutDiscovery := c.run(t, "")
			w.waitForServedShare(cmp.Or(c.minShare, 0.9))
			w.waitUpExcept()
			if broke := w.violations(); len(broke) > 0 {
				t.Errorf("%v", broke)
			}
			t.Logf("served %d requests while discovery was down", servedWithoutDiscovery)
		})
	}
}

// Checks the checker: it has to detect a balancer that trusts its saved state without limiting the load of servers that
// may be cold.
func TestCheckerDetectsTrustInSavedState(t *testing.T) {
	skipIfShort(t)
	dir := t.TempDir()
	bin, err := mutant.Build(dir, "cmd/otterstep", mutant.Change{
		File: "policy/policy.go", Old: "if s.Unconfirmed && b.set.Rules.ColdFor > 0 {", New: "if s.Unconfirmed && false {",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Parallel()
	c := restartCases["overload by clients that retry"]
	w, _ := c.run(t, bin)
	w.waitUntil("a box is pushed over", func() bool { return len(w.violations()) > 0 })
	if !slices.ContainsFunc(w.violations(), func(word string) bool { return strings.Contains(word, "pushed over") }) {
		t.Errorf("no box was pushed over: %v", w.violations())
	}
}

// Without saved state nothing is served until discovery is back.
func TestNodesWithoutSavedStateWait(t *testing.T) {
	t.Parallel()
	w := restartLab(t, func(o *Options) { o.SaveState, o.Instances = false, 6 })
	w.powerCut(func() {})
	w.waitUpExcept()
	was := w.served()
	time.Sleep(2 * time.Second)
	if now := w.served(); now != was {
		t.Errorf("%d requests were served by nodes that know no server", now-was)
	}
	w.Discovery.SetDown(false)
	w.waitUntil("nodes serve with discovery", func() bool { return w.served() > was+100 })
}

// callOperator sends a request to an instance's operator API.
func (w *testFleet) callOperator(i Instance, path string) {
	w.t.Helper()
	r, err := http.NewRequestWithContext(w.ctx(2*time.Second), http.MethodPost, "http://"+i.OperatorAddr+path, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		w.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		w.t.Fatalf("%s: %s", path, resp.Status)
	}
}

// A cordon acknowledged just before all processes are killed is in effect when they restart without discovery. Nodes
// that are killed repeatedly in their first second do not write their saved state, so that it does not look newer.
func TestBansAndCrashLoops(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	w := restartLab(t, func(o *Options) { o.Instances, o.Rate = 3, 30 })
	for _, i := range w.Instances {
		w.callOperator(i, "/admin/cordon/s1")
	}
	w.killAll() // SIGKILL right after the last acknowledgement
	w.Discovery.SetDown(true)
	files := func() (all []string) {
		for _, i := range w.Instances {
			for _, suffix := range []string{".a", ".b"} {
				text, err := os.ReadFile(w.savedFile(i) + suffix)
				if err != nil {
					w.t.Fatal(err)
				}
				all = append(all, string(text))
			}
		}
		return all
	}
	before := files()
	for range 5 {
		w.startAll()
		time.Sleep(700 * time.Millisecond)
		w.killAll()
	}
	if !slices.Equal(files(), before) {
		t.Error("a crash loop changed the saved state")
	}
	w.startAll()
	was := w.served()
	w.waitUntil("nodes serve without discovery", func() bool { return w.served() > was+30 })
	for _, i := range w.Instances {
		inspection, err := control.Inspect(context.Background(), i.Control)
		if err != nil {
			t.Fatal(err)
		}
		if len(inspection.Servers) != len(w.Boxes)-1 || inspection.Return == nil || !inspection.Return.Used || inspection.Return.Heard {
			t.Errorf("%s uses %d servers, %+v", i.Name, len(inspection.Servers), inspection.Return)
		}
	}
	// An operator has n1 discard its saved state and n2 freeze its own. The cordon stays in effect at both.
	tool := func(args ...string) string {
		t.Helper()
		out, code := runCtl(append(append([]string{"kept"}, args...), "--fleet", w.FleetFile)...)
		if code != cli.OK {
			t.Errorf("%v: exit code %d\n%s", args, code, out)
		}
		return out
	}
	tool("forget", "n1")
	tool("hold", "n2")
	if out := tool("show", "all"); strings.Count(out, "by its list") != 3 || !strings.Contains(out, "HELD") {
		t.Error(out)
	}
	w.Discovery.SetDown(false)
	was = w.served()
	w.waitUntil("nodes serve with discovery", func() bool { return w.served() > was+30 })
	time.Sleep(2 * saveInterval)
	w.killAll()
	for n, servers := range []int{len(w.Boxes), len(w.Boxes), len(w.Boxes)} {
		w.editSavedState(w.Instances[n], func(v *nodestate.Snapshot) {
			if len(v.Servers) != servers || len(v.ManualCordons) != 1 || v.Frozen != (n == 1) || v.Rev == 0 {
				t.Errorf("saved state of n%d: %d servers, manual cordons %+v, frozen %v, revision %d", n+1, len(v.Servers), v.ManualCordons, v.Frozen, v.Rev)
			}
			if n == 1 && !strings.Contains(before[2], v.Confirmed.Wall.Format("2006-01-02T15:04:05.999999999")) && !strings.Contains(before[3], v.Confirmed.Wall.Format("2006-01-02T15:04:05.999999999")) {
				t.Errorf("the saved state of n2 was frozen, but was confirmed at %v", v.Confirmed.Wall)
			}
		})
	}
	if broke := w.violations(); len(broke) > 0 {
		t.Errorf("%v", broke)
	}
}

// When many requests at once reach a node that uses its saved list of servers, those that are refused get Retry-After
// values that are spread. The test has to detect a build without the spread.
func TestRetryAfterIsSpreadDuringRecovery(t *testing.T) {
	bin, err := mutant.Build(t.TempDir(), "cmd/otterstep", mutant.Change{
		File: "policy/recovery.go", Old: "return wait/2 + time.Duration(b.rng.Float64()*float64(most-wait/2))", New: "return most",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Parallel()
	for name, program := range map[string]string{"as it is": "", "without spread": bin} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := restartLab(t, func(o *Options) {
				if o.Instances, o.Rate = 3, 20; program != "" {
					o.Node = []string{program}
				}
			})
			w.powerCut(func() {})
			was := w.served()
			w.waitUntil("nodes serve without discovery", func() bool { return w.served() > was+5 })
			after := w.retryAfters(w.Instances[0], 150)
			if len(after) < 50 {
				t.Fatalf("%d of 150 were refused", len(after))
			}
			slices.Sort(after)
			interdecile := after[len(after)*9/10] - after[len(after)/10]
			if spread := interdecile >= 50*time.Millisecond; spread != (program == "") {
				t.Errorf("eight in ten of %d Retry-After values are within %v", len(after), interdecile)
			}
		})
	}
}

// retryAfters sends many requests at once to an instance and returns the Retry-After values of those that were refused.
func (w *testFleet) retryAfters(i Instance, times int) (all []time.Duration) {
	w.t.Helper()
	var requests sync.WaitGroup
	var mu sync.Mutex
	for n := range times {
		requests.Go(func() {
			r, err := http.NewRequestWithContext(w.ctx(5*time.Second), http.MethodGet, "http://"+i.Addr+"/avail-read/k1", nil)
			if err != nil {
				w.t.Error(err)
				return
			}
			for name, value := range map[string]string{"X-Correlation-Id": fmt.Sprintf("%016x", 1<<40+n), "X-Service-Class": "avail-read", "X-Time-Left": "1.400", "X-Account": tenants[0]} {
				r.Header.Set(name, value)
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				w.t.Error(err)
				return
			}
			resp.Body.Close()
			if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); resp.StatusCode == http.StatusServiceUnavailable && err == nil {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, time.Duration(seconds*float64(time.Second)))
			}
		})
	}
	requests.Wait()
	return all
}
