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

// The record is cut at each byte, has each byte flipped, is empty, is another agent's or of a
// newer version, and so is its copy: what was drained is never started, the agent starts and
// says what it made of it, and whatever one of the two still tells holds.
func TestSpoiltMemories(t *testing.T) {
	type spoil struct {
		name string
		do   func(text []byte) []byte
	}
	var spoils []spoil
	for _, share := range []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16} {
		at := func(text []byte) int { return min(len(text)-1, share*len(text)/16) }
		spoils = append(spoils,
			spoil{"cut", func(text []byte) []byte { return text[:at(text)] }},
			spoil{"flipped", func(text []byte) []byte { text[at(text)] ^= 1; return text }},
			spoil{"a line lost", func(text []byte) []byte {
				lines := strings.SplitAfter(string(text), "\n")
				n := share * len(lines) / 17
				return []byte(strings.Join(slices.Delete(lines, n, n+1), ""))
			}})
	}
	for _, file := range []string{"record", "copy"} {
		for i, s := range spoils {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				l := w.start(nil)
				w.settled(l)
				r := w.request(l, protocol.Drain)
				r.Instances = r.Instances[:1]
				if _, err := w.give(l, r); err != nil {
					t.Fatal(err)
				}
				l.end()
				w.machine.Crash("b") // a power cut
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
				defer l.end()
				time.Sleep(time.Minute)
				if n := w.machine.Starts("a"); n != 1 {
					t.Errorf("%s %s %d: the drained one was started %d times", file, s.name, i, n)
				}
				if w.machine.Running("b") == "" {
					t.Errorf("%s %s %d: b is held though somebody knows of it: %+v", file, s.name, i, l.recoveryState())
				}
			})
		}
	}
}

// Both are gone or spoilt: everything is held, shown with its reason, and started only by the
// group's policy, which is written down.
func TestUnknownIsHeldOrStartedByPolicy(t *testing.T) {
	for name, c := range map[string]struct {
		policy string
		starts int
	}{"hold": {"hold", 1}, "policy": {"start-after 30s", 2}} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				l := w.start(nil)
				w.settled(l)
				l.end()
				w.machine.Crash("a")
				for _, path := range []string{filepath.Join(w.cfg.State, "record"), w.cfg.State + ".copy"} {
					if err := os.WriteFile(path, []byte("nonsense\n"), 0o600); err != nil {
						t.Fatal(err)
					}
				}
				w.cfg.Recovery.Unknown = c.policy
				time.Sleep(time.Second)
				l = w.start(nil)
				defer l.end()
				time.Sleep(20 * time.Second)
				r := l.recoveryState()
				if len(r.Held) != 1 || r.Held[0].Instance != "a" || !strings.Contains(r.Held[0].Why, "nobody knows") || (c.starts == 2) == r.Held[0].Until.IsZero() {
					t.Errorf("%+v", r)
				}
				if w.machine.Running("b") == "" || w.machine.Starts("b") != 1 {
					t.Error("b ran, and was touched")
				}
				time.Sleep(time.Minute)
				if n := w.machine.Starts("a"); n != c.starts {
					t.Errorf("a was started %d times, want %d", n, c.starts)
				}
				if c.starts == 2 { // another agent finds it decided
					l.end()
					l = w.start(nil)
					defer l.end()
					w.settled(l)
					if r := l.recoveryState(); len(r.Held) != 0 {
						t.Errorf("%+v", r)
					}
				}
			})
		})
	}
}

// An agent that ends while it holds is followed by one that holds.
func TestHoldsOutliveTheAgent(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		l := w.start(nil)
		w.settled(l)
		l.end()
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
			l.end()
		}
		l = w.start(nil)
		defer l.end()
		if err := l.decide("a", true, "ada"); err != nil {
			t.Fatal(err)
		}
		if err := l.decide("a", false, "ben"); code(err) != protocol.CodeConflict {
			t.Errorf("a second word: %v", err)
		}
		time.Sleep(time.Second)
		if w.machine.Running("a") == "" || w.machine.Running("b") != "" {
			t.Error("want a up and b held")
		}
		if _, err := w.give(l, w.request(l, protocol.Start)); err != nil { // a command decides as well
			t.Fatal(err)
		}
		if r := l.recoveryState(); len(r.Held) != 0 || w.machine.Running("b") == "" {
			t.Errorf("%+v", r)
		}
	})
}

// Instances come back in the order of their groups and at the fleet's pace; with no rate, and
// when few come back, at once.
func TestStartsArePaced(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		w.cfg.Instance[0].Group, w.cfg.Instance[1].Group = "later", "front"
		w.cfg.Pace.Rate, w.cfg.Pace.Agents, w.cfg.Pace.Burst, w.cfg.Pace.First = 2, 10, 32, []string{"front"}
		l := w.start(nil)
		defer l.end()
		time.Sleep(time.Second)
		if w.machine.Running("b") == "" || w.machine.Running("a") != "" {
			t.Error("want b, which matters first, at once, and a in its turn")
		}
		if is := l.instances()[0]; is.State != protocol.StatePaced || is.Message == "" {
			t.Errorf("%+v", is)
		}
		time.Sleep(10 * time.Second) // 10 agents, 2 a second: one each 5 s, and up to 5 s of spread
		if w.machine.Running("a") == "" {
			t.Error("a never had its turn")
		}
	})
}

// An order was carried out, and then record and copy are put back from before it: sent again, it finds
// the process that was started for it, or that came after a power cut, and restarts nothing.
func TestOrderIsNotRepeatedOnAnOldDisk(t *testing.T) {
	for _, cut := range []bool{false, true} {
		inBubble(t, func(t *testing.T, w *world) {
			l := w.start(nil)
			w.settled(l)
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
			if _, err := w.give(l, r); err != nil {
				t.Fatal(err)
			}
			l.end()
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
			defer l.end()
			w.settled(l)
			c, err := w.give(l, r)
			if err != nil || c["a"] == nil || c["a"].State != protocol.Done {
				t.Errorf("power cut %v: %+v, %v", cut, c["a"], err)
			}
			if n := w.machine.Starts("a"); n != want {
				t.Errorf("power cut %v: started %d times, want %d", cut, n, want)
			}
			// Another order restarts it.
			r = w.request(l, protocol.Restart)
			r.Instances = r.Instances[:1]
			if _, err := w.give(l, r); err != nil || w.machine.Starts("a") != want+1 {
				t.Errorf("power cut %v: another order: started %d times, %v", cut, w.machine.Starts("a"), err)
			}
		})
	}
}
