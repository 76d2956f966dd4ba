package agent

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"otterstep/internal/fleet/protocol"
)

// The record or its copy is truncated, has a bit flipped or loses a line, at 17 positions spread
// over the file. A drained instance must never be started, and an instance whose desired state
// is still in one of the two files must not be held.
func TestDamagedRecordOrCopy(t *testing.T) {
	type corruption struct {
		name string
		do   func(text []byte) []byte
	}
	var corruptions []corruption
	for _, share := range []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16} {
		at := func(text []byte) int { return min(len(text)-1, share*len(text)/16) }
		corruptions = append(corruptions,
			corruption{"cut", func(text []byte) []byte { return text[:at(text)] }},
			corruption{"flipped", func(text []byte) []byte { text[at(text)] ^= 1; return text }},
			corruption{"a line lost", func(text []byte) []byte {
				lines := strings.SplitAfter(string(text), "\n")
				n := share * len(lines) / 17
				return []byte(strings.Join(slices.Delete(lines, n, n+1), ""))
			}})
	}
	for _, file := range []string{"record", "copy"} {
		for i, s := range corruptions {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				l := w.start(nil)
				w.waitSettled(l)
				r := w.request(l, protocol.Drain)
				r.Instances = r.Instances[:1]
				if _, err := w.runCommand(l, r); err != nil {
					t.Fatal(err)
				}
				l.stop()
				w.machine.Crash("b") // as in a power failure
				path := filepath.Join(w.cfg.State, "record")
				if file == "copy" {
					path = w.cfg.State + ".copy"
				}
				text, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, s.do(text), 0o600); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				l = w.start(nil)
				defer l.stop()
				time.Sleep(time.Minute)
				if n := w.machine.Starts("a"); n != 1 {
					t.Errorf("%s %s %d: the drained instance was started %d times", file, s.name, i, n)
				}
				if w.machine.Running("b") == "" {
					t.Errorf("%s %s %d: b is held though its desired state is known: %+v", file, s.name, i, l.recoveryState())
				}
			})
		}
	}
}

// Record and copy are both damaged: an instance that does not run is held and shown with the reason,
// and started only if the policy says so. That decision is kept for the next agent.
func TestUnknownIsHeldOrStartedByPolicy(t *testing.T) {
	for name, c := range map[string]struct {
		policy string
		starts int
	}{"hold": {"hold", 1}, "policy": {"start-after 30s", 2}} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, w *fixture) {
				l := w.start(nil)
				w.waitSettled(l)
				l.stop()
				w.machine.Crash("a")
				for _, path := range []string{filepath.Join(w.cfg.State, "record"), w.cfg.State + ".copy"} {
					if err := os.WriteFile(path, []byte("nonsense\n"), 0o600); err != nil {
						t.Fatal(err)
					}
				}
				w.cfg.Recovery.Unknown = c.policy
				time.Sleep(time.Second)
				l = w.start(nil)
				defer l.stop()
				time.Sleep(20 * time.Second)
				r := l.recoveryState()
				if len(r.Held) != 1 || r.Held[0].Instance != "a" || !strings.Contains(r.Held[0].Reason, "nobody knows") || (c.starts == 2) == r.Held[0].Until.IsZero() {
					t.Errorf("%+v", r)
				}
				if w.machine.Running("b") == "" || w.machine.Starts("b") != 1 {
					t.Error("b was running and was restarted")
				}
				time.Sleep(time.Minute)
				if n := w.machine.Starts("a"); n != c.starts {
					t.Errorf("a was started %d times, want %d", n, c.starts)
				}
				if c.starts == 2 { // the next agent finds the decision in the record
					l.stop()
					l = w.start(nil)
					defer l.stop()
					w.waitSettled(l)
					if r := l.recoveryState(); len(r.Held) != 0 {
						t.Errorf("%+v", r)
					}
				}
			})
		})
	}
}

// Instances stay held when the agent restarts, until an operator decides.
func TestHoldsSurviveAgentRestart(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		l := w.start(nil)
		w.waitSettled(l)
		l.stop()
		w.machine.Crash("a")
		w.machine.Crash("b")
		if err := os.RemoveAll(w.cfg.State); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(w.cfg.State+".copy", nil, 0o600); err != nil {
			t.Fatal(err)
		}
		for range 3 {
			l = w.start(nil)
			time.Sleep(time.Minute)
			if r := l.recoveryState(); len(r.Held) != 2 || w.machine.Starts("a")+w.machine.Starts("b") != 2 {
				t.Errorf("%+v", r)
			}
			l.stop()
		}
		l = w.start(nil)
		defer l.stop()
		if err := l.decide("a", true, "ada"); err != nil {
			t.Fatal(err)
		}
		if err := l.decide("a", false, "ben"); code(err) != protocol.CodeConflict {
			t.Errorf("a second decision: %v", err)
		}
		time.Sleep(time.Second)
		if w.machine.Running("a") == "" || w.machine.Running("b") != "" {
			t.Error("want a up and b held")
		}
		if _, err := w.runCommand(l, w.request(l, protocol.Start)); err != nil { // a command also decides
			t.Fatal(err)
		}
		if r := l.recoveryState(); len(r.Held) != 0 || w.machine.Running("b") == "" {
			t.Errorf("%+v", r)
		}
	})
}

// After a start of the agent, instances are started in the order of their groups and at the fleet's
// rate.
func TestStartsArePaced(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		w.cfg.Instance[0].Group, w.cfg.Instance[1].Group = "later", "front"
		w.cfg.Pace.Rate, w.cfg.Pace.Agents, w.cfg.Pace.Burst, w.cfg.Pace.First = 2, 10, 32, []string{"front"}
		l := w.start(nil)
		defer l.stop()
		time.Sleep(time.Second)
		if w.machine.Running("b") == "" || w.machine.Running("a") != "" {
			t.Error("want b, whose group is first, started at once, and a later")
		}
		if is := l.instances()[0]; is.State != protocol.StatePaced || is.Message == "" {
			t.Errorf("%+v", is)
		}
		time.Sleep(10 * time.Second) // 10 agents, 2 starts per second: one each 5 s per agent, plus up to 5 s of jitter
		if w.machine.Running("a") == "" {
			t.Error("a was not started")
		}
	})
}

// After an order was executed, record and copy are restored from before it. When the order is sent again,
// the process that was started for it, or the one that replaced it after a power failure, must not be
// restarted.
func TestOrderIsNotRepeatedAfterDiskRollback(t *testing.T) {
	for _, cut := range []bool{false, true} {
		withFixture(t, func(t *testing.T, w *fixture) {
			l := w.start(nil)
			w.waitSettled(l)
			files := map[string][]byte{filepath.Join(w.cfg.State, "record"): nil, w.cfg.State + ".copy": nil}
			for path := range files {
				text, err := os.ReadFile(path)
				if err != nil {
					t.Fatal(err)
				}
				files[path] = text
			}
			r := w.request(l, protocol.Restart)
			r.Instances = r.Instances[:1]
			if _, err := w.runCommand(l, r); err != nil {
				t.Fatal(err)
			}
			l.stop()
			want := 2
			if cut {
				w.machine.Crash("a")
				want = 3
			}
			for path, text := range files {
				if err := os.WriteFile(path, text, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			l = w.start(nil)
			defer l.stop()
			w.waitSettled(l)
			c, err := w.runCommand(l, r)
			if err != nil || c["a"] == nil || c["a"].State != protocol.Done {
				t.Errorf("power failure %v: %+v, %v", cut, c["a"], err)
			}
			if n := w.machine.Starts("a"); n != want {
				t.Errorf("power failure %v: started %d times, want %d", cut, n, want)
			}
			// A new order restarts it.
			r = w.request(l, protocol.Restart)
			r.Instances = r.Instances[:1]
			if _, err := w.runCommand(l, r); err != nil || w.machine.Starts("a") != want+1 {
				t.Errorf("power failure %v: new order: started %d times, %v", cut, w.machine.Starts("a"), err)
			}
		})
	}
}
