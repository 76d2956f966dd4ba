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
	"otterstep/internal/comeback"
	"otterstep/internal/control"
	"otterstep/internal/fleet/record"
	"otterstep/internal/kept"
	"otterstep/internal/standin"
	"otterstep/internal/standin/mutant"
)

// keptEvery is how often instances of a lab write what they keep.
const keptEvery = time.Second

func (w *owned) keptFile(i Instance) string { return filepath.Join(w.opt.Dir, i.Name+".kept") }

// returnLab is a fleet of twelve nodes before six small boxes in two zones, whose nodes keep what they know.
// The boxes bear a little more than what is asked for when they are warm, and fall over at half as much
// again as they can do while they are cold.
func returnLab(t *testing.T, change func(*Options)) *owned {
	w := plainLab(t, func(o *Options) {
		o.Instances, o.Agents, o.Boxes, o.Rate, o.Keep, o.Doors = 12, 3, 6, 60, true, true
		o.FallMultiple, o.Zones = 1.5, []string{"room1", "room2"}
		o.Shape = func(_ int, b *standin.BoxOptions) { b.Cores, b.Speed, b.Queue = 2, 0.5, 8 }
		if change != nil {
			change(o)
		}
	})
	w.until("all instances keep the list", func() bool {
		for _, i := range w.Instances {
			text, err := os.ReadFile(w.keptFile(i) + ".a")
			if w.opt.Keep && (err != nil || strings.Count(string(text), `"endpoint"`) < len(w.Boxes)) {
				return false
			}
		}
		return true
	})
	return w
}

// down kills all nodes and agents.
func (w *owned) down() {
	defer func() { w.cut = w.Clients.Begun() }()
	var all sync.WaitGroup
	for n := range w.opt.Agents {
		all.Go(func() { w.KillMachine(n) })
	}
	all.Wait()
}

// up starts all agents, and they the nodes.
func (w *owned) up() {
	w.t.Helper()
	for n := range w.opt.Agents {
		if err := w.StartAgent(n, false); err != nil {
			w.t.Fatal(err)
		}
	}
}

// powerCut kills all nodes, agents and boxes, with discovery gone. Boxes come back cold, agents at once
// behind them.
func (w *owned) powerCut(meanwhile func()) {
	w.t.Helper()
	w.Discovery.Down(true)
	w.down()
	for _, b := range w.Boxes {
		b.Crash()
	}
	meanwhile()
	for _, b := range w.Boxes {
		if err := b.Return(); err != nil {
			w.t.Fatal(err)
		}
	}
	w.up()
}

// rekeep changes what an instance that is down has kept.
func (w *owned) rekeep(i Instance, change func(*kept.View)) {
	w.t.Helper()
	s, v, said := kept.Open(record.OS{}, w.keptFile(i), i.Name)
	defer s.Close()
	if v == nil {
		w.t.Fatalf("%s keeps nothing: %v", i.Name, said)
	}
	change(v)
	for range 2 { // both generations
		if err := s.Save(*v); err != nil {
			w.t.Fatal(err)
		}
	}
}

// aged makes what was kept so much older; it was kept before the machine's latest start then.
func aged(by time.Duration) func(*kept.View) {
	return func(v *kept.View) {
		v.Saved.Wall, v.Confirmed.Wall = v.Saved.Wall.Add(-by), v.Confirmed.Wall.Add(-by)
		v.Saved.Boot, v.Confirmed.Boot = "another", "another"
	}
}

var requestID = regexp.MustCompile(`[0-9a-f]{8}([0-9a-f]{8})`)

// broke gives the ledger's words on broken rules. Requests that the latest kill itself has taken along are
// left out: they got no answer, and their clients, who saw a connection end, may have sent them again.
func (w *owned) broke() (all []string) {
	for _, word := range w.Ledger.Report().Words {
		if id := requestID.FindStringSubmatch(word); id != nil {
			if n, err := strconv.ParseInt(id[1], 16, 64); err == nil && int(n) <= w.cut {
				continue
			}
		}
		all = append(all, word)
	}
	return all
}

// serves waits until the fleet serves a share of what is asked for, over a second.
func (w *owned) serves(share float64) {
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
	w.t.Fatalf("the fleet serves %d a second at best, of %v that are asked for: %v, %v", best, w.opt.Rate, boxes, w.broke())
}

// returns is a case of nodes that come back together.
type returns struct {
	change    func(o *Options)
	meanwhile func(w *owned) // everything is down
	behind    func(w *owned) // all have been started, discovery is away
	share     float64        // of what is asked for that is served in the end; 0.9 if 0
	least     int            // served while discovery is away
}

var manyReturns = map[string]returns{
	// Whatever some of the files are, their nodes start, say so and go by the rest; a server that is drained
	// meanwhile gets nothing once its node is told.
	"files of all ages": {
		least: 30,
		meanwhile: func(w *owned) {
			spoil := func(n int, do func(path string) error) {
				for _, suffix := range []string{".a", ".b"} {
					if err := do(w.keptFile(w.Instances[n]) + suffix); err != nil && !errors.Is(err, os.ErrNotExist) {
						w.t.Fatal(err)
					}
				}
			}
			spoil(0, func(path string) error { return os.Truncate(path, 100) })
			spoil(1, func(path string) error { // another node's
				text, err := os.ReadFile(w.keptFile(w.Instances[2]) + ".a")
				return errors.Join(err, os.WriteFile(path, text, 0o600))
			})
			spoil(3, func(path string) error { return errors.Join(os.RemoveAll(path), os.Mkdir(path, 0o700)) })
			w.rekeep(w.Instances[5], aged(time.Hour))
			w.rekeep(w.Instances[6], aged(21*24*time.Hour))
			w.rekeep(w.Instances[7], aged(-24*time.Hour)) // the wall clock went back by a day
			w.rekeep(w.Instances[8], aged(40*24*time.Hour))
		},
		behind: func(w *owned) {
			for n, want := range map[int]string{
				0: "can't be used", 1: "not of", 3: "directory", 4: "used=6", 5: "age=1h", 6: "age=504h", 7: "age_known=false", 8: "used=0",
			} {
				w.until(w.Instances[n].Name+" says "+want, func() bool {
					text, err := os.ReadFile(w.Instances[n].LogFile)
					return err == nil && strings.Contains(string(text), want)
				})
			}
			w.Boxes[0].List(standin.Terminating)
		},
	},
	"a zone cut off": {
		least: 15,
		behind: func(w *owned) {
			for n := 1; n < len(w.Boxes); n += 2 {
				w.Boxes[n].Hang(true)
			}
		},
	},
	// Their nodes know them as fast ones, under other names.
	"others at the same addresses": {
		least: 15,
		behind: func(w *owned) {
			for n := 0; n < len(w.Boxes); n += 2 {
				b, err := w.Boxes[n].Replace(fmt.Sprint("t", n), 1.5)
				if err != nil {
					w.t.Fatal(err)
				}
				w.Boxes[n] = b
			}
		},
	},
	"clients that come back": {
		least:  30,
		change: func(o *Options) { o.Comeback = comeback.Habits{Tries: 3, Heed: 0.7, Rash: 0.3} },
	},
	// Servers would be pushed over by less than this: see TestReturnsSeeNodesThatBelieveTheirList.
	"more than boxes can do, from clients that come back": {
		least: 30,
		share: 0.4,
		change: func(o *Options) {
			o.Rate, o.Comeback, o.FallMultiple = 110, comeback.Habits{Tries: 3, Heed: 0.7, Rash: 0.3}, 1.2
			o.Shape = func(_ int, b *standin.BoxOptions) { b.Cores, b.Speed, b.Queue = 1, 1, 1 }
		},
	},
	// A second mass kill at each second of the first ten.
	"killed again and again": {
		least: 15,
		behind: func(w *owned) {
			for after := range 10 {
				time.Sleep(time.Duration(after+1) * time.Second)
				w.down()
				w.up()
			}
		},
	},
	"two minutes without discovery": {
		least:  60 * 60, // half of what is asked for
		behind: func(*owned) { time.Sleep(2 * time.Minute) },
	},
}

// play has all come back together while discovery is away, then overbooked, and judges.
func (c returns) play(t *testing.T, node string) (*owned, int) {
	w := returnLab(t, func(o *Options) {
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
	if c.behind != nil {
		c.behind(w)
	}
	w.until("they serve without discovery", func() bool { return w.served() >= was+c.least || len(w.broke()) > 0 })
	time.Sleep(2 * time.Second)
	away := w.served() - was
	for _, b := range w.Boxes {
		if b.State() == "hanging" {
			b.Heal()
		}
	}
	w.Discovery.Overbook(10)
	w.Discovery.Down(false)
	return w, away
}

// All of a fleet of twelve and its cold boxes come back while discovery is away: with what was kept the nodes
// serve long before discovery does, push nobody over, and serve nine in ten behind its return, although it
// answers one call in ten. No rule is broken by then.
func TestNodesComeBackTogether(t *testing.T) {
	t.Parallel()
	for name, c := range manyReturns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if name != "others at the same addresses" {
				further(t)
			}
			w, away := c.play(t, "")
			w.serves(cmp.Or(c.share, 0.9))
			w.allBut()
			if broke := w.broke(); len(broke) > 0 {
				t.Errorf("%v", broke)
			}
			t.Logf("served %d while discovery was away", away)
		})
	}
}

// A build whose module takes what was kept at its word is seen to push boxes over in the same test.
func TestReturnsSeeNodesThatBelieveTheirList(t *testing.T) {
	further(t)
	dir := t.TempDir()
	bin, err := mutant.Build(dir, "cmd/otterstep", mutant.Change{
		File: "policy/policy.go", Old: "if s.Doubted && b.set.Rules.ColdFor > 0 {", New: "if s.Doubted && false {",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Parallel()
	c := manyReturns["more than boxes can do, from clients that come back"]
	w, _ := c.play(t, bin)
	w.until("somebody is pushed over", func() bool { return len(w.broke()) > 0 })
	if !slices.ContainsFunc(w.broke(), func(word string) bool { return strings.Contains(word, "pushed over") }) {
		t.Errorf("nobody is pushed over: %v", w.broke())
	}
}

// Without the kept list nothing is served until discovery is back.
func TestNodesWithoutKeptListsWait(t *testing.T) {
	t.Parallel()
	w := returnLab(t, func(o *Options) { o.Keep, o.Instances = false, 6 })
	w.powerCut(func() {})
	w.allBut()
	was := w.served()
	time.Sleep(2 * time.Second)
	if now := w.served(); now != was {
		t.Errorf("%d were served by nodes that know no server", now-was)
	}
	w.Discovery.Down(false)
	w.until("they serve with discovery", func() bool { return w.served() > was+100 })
}

// tell calls an instance's door.
func (w *owned) tell(i Instance, path string) {
	w.t.Helper()
	r, err := http.NewRequestWithContext(w.ctx(2*time.Second), http.MethodPost, "http://"+i.Door+path, nil)
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

// A ban told at the moment of the kill holds when all come back without discovery; and nodes that are
// killed in their first second, again and again, neither write their file nor make it any younger.
func TestBansAndCrashLoops(t *testing.T) {
	further(t)
	t.Parallel()
	w := returnLab(t, func(o *Options) { o.Instances, o.Rate = 3, 30 })
	for _, i := range w.Instances {
		w.tell(i, "/admin/cordon/s1")
	}
	w.down() // SIGKILL, right behind the last yes
	w.Discovery.Down(true)
	files := func() (all []string) {
		for _, i := range w.Instances {
			for _, suffix := range []string{".a", ".b"} {
				text, err := os.ReadFile(w.keptFile(i) + suffix)
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
		w.up()
		time.Sleep(700 * time.Millisecond)
		w.down()
	}
	if !slices.Equal(files(), before) {
		t.Error("a crash loop wrote to the files")
	}
	w.up()
	was := w.served()
	w.until("they serve without discovery", func() bool { return w.served() > was+30 })
	for _, i := range w.Instances {
		inspection, err := control.Inspect(context.Background(), i.Control)
		if err != nil {
			t.Fatal(err)
		}
		if len(inspection.Servers) != len(w.Boxes)-1 || inspection.Return == nil || !inspection.Return.Used || inspection.Return.Heard {
			t.Errorf("%s goes by %d servers, %+v", i.Name, len(inspection.Servers), inspection.Return)
		}
	}
	// An operator has one go back to nothing, and another one's file stay as it is; the ban holds at both.
	tool := func(args ...string) string {
		t.Helper()
		out, code := ctlRun(append(append([]string{"kept"}, args...), "--fleet", w.FleetFile)...)
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
	w.Discovery.Down(false)
	was = w.served()
	w.until("they serve with discovery", func() bool { return w.served() > was+30 })
	time.Sleep(2 * keptEvery)
	w.down()
	for n, servers := range []int{len(w.Boxes), len(w.Boxes), len(w.Boxes)} {
		w.rekeep(w.Instances[n], func(v *kept.View) {
			if len(v.Servers) != servers || len(v.Hand) != 1 || v.Held != (n == 1) || v.Rev == 0 {
				t.Errorf("n%d keeps %d servers, %+v by hand, held %v, rev %d", n+1, len(v.Servers), v.Hand, v.Held, v.Rev)
			}
			if n == 1 && !strings.Contains(before[2], v.Confirmed.Wall.Format("2006-01-02T15:04:05.999999999")) && !strings.Contains(before[3], v.Confirmed.Wall.Format("2006-01-02T15:04:05.999999999")) {
				t.Errorf("n2's was held, and is of %v", v.Confirmed.Wall)
			}
		})
	}
	if broke := w.broke(); len(broke) > 0 {
		t.Errorf("%v", broke)
	}
}

// Many who ask one node at once while it goes by its list are refused, and called back at different times. A
// build that calls them back together is seen.
func TestRefusalsOnTheWayBackAreSpread(t *testing.T) {
	bin, err := mutant.Build(t.TempDir(), "cmd/otterstep", mutant.Change{
		File: "policy/comeback.go", Old: "return wait/2 + time.Duration(b.rng.Float64()*float64(most-wait/2))", New: "return most",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Parallel()
	for name, program := range map[string]string{"as it is": "", "without spread": bin} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := returnLab(t, func(o *Options) {
				if o.Instances, o.Rate = 3, 20; program != "" {
					o.Node = []string{program}
				}
			})
			w.powerCut(func() {})
			was := w.served()
			w.until("they serve without discovery", func() bool { return w.served() > was+5 })
			after := w.refusals(w.Instances[0], 150)
			if len(after) < 50 {
				t.Fatalf("%d of 150 were refused", len(after))
			}
			slices.Sort(after)
			apart := after[len(after)*9/10] - after[len(after)/10]
			if spread := apart >= 50*time.Millisecond; spread != (program == "") {
				t.Errorf("eight in ten of %d are called back within %v", len(after), apart)
			}
		})
	}
}

// refusals asks an instance many times at once, and gives when those that it refused may come again.
func (w *owned) refusals(i Instance, times int) (all []time.Duration) {
	w.t.Helper()
	var asking sync.WaitGroup
	var mu sync.Mutex
	for n := range times {
		asking.Go(func() {
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
	asking.Wait()
	return all
}
