package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"otterstep/internal/fleet/agentstate"
	"otterstep/internal/fleet/instance"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/record"
	"otterstep/internal/standin/instances"
)

var ada = caller{name: "ada", role: "operator"}

// fixture is a simulated machine on which one agent runs at a time.
type fixture struct {
	t           *testing.T
	machine     *instances.Machine
	cfg         Config
	lastCommand int // number in the last command id
}

func newFixture(t *testing.T) *fixture {
	w := &fixture{t: t, machine: instances.NewMachine()}
	w.cfg.Name, w.cfg.State = "m1", filepath.Join(t.TempDir(), "state")
	w.cfg.Restart.First.Duration, w.cfg.Restart.Most.Duration = 100*time.Millisecond, time.Second
	w.cfg.Restart.Steady.Duration, w.cfg.Restart.Limit = 10*time.Second, 4
	w.cfg.Wait.Stop.Duration, w.cfg.Wait.Up.Duration, w.cfg.Wait.Finish.Duration = 2*time.Second, 3*time.Second, 10*time.Minute
	for _, name := range []string{"a", "b"} {
		w.cfg.Instance = append(w.cfg.Instance, instance.Spec{Name: name, Program: []string{"node"}, Control: "socket", Listen: "127.0.0.1:1"})
	}
	w.cfg.Fleet = &Fleet{Programs: []Program{{Name: "v2", Command: []string{"node-v2"}}}}
	return w
}

// runningAgent is an agent from its start to its shutdown or crash.
type runningAgent struct {
	*Agent
	runner *instances.Runner
	stop   func()
	died   chan struct{} // closed when the agent crashes
}

// start starts an agent; a nil fsys stands for the operating system's file system.
func (w *fixture) start(fsys *crashFS) *runningAgent {
	w.t.Helper()
	l := &runningAgent{runner: w.machine.Runner(), died: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	opt := Options{Runner: l.runner, FirstStart: true}
	if fsys != nil {
		fsys.onCrash = func() { l.runner.Detach(); cancel(); close(l.died) }
		opt.FS = fsys
	}
	a, err := New(w.cfg, opt)
	if err != nil {
		w.t.Fatal(err)
	}
	l.Agent = a
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	l.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			w.t.Error(err)
		}
	})
	return l
}

// waitSettled waits until no operation is running and every instance has its desired state.
func (w *fixture) waitSettled(l *runningAgent) {
	w.t.Helper()
	for range 2000 {
		settled := true
		for _, i := range l.instances() {
			settled = settled && i.Operation == "" && (i.State == protocol.StateUp) == (i.Desired == "up") && i.State != protocol.StateStopping
		}
		if settled {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatalf("instances did not reach their desired state: %+v", l.instances())
}

// crash ends an instance and waits until its agent has noticed.
func (w *fixture) crash(name string) {
	w.machine.Crash(name)
	synctest.Wait()
}

func (w *fixture) request(l *runningAgent, kind string) protocol.CommandRequest {
	w.lastCommand++
	r := protocol.CommandRequest{ID: protocol.NewID(time.Now(), uint64(w.lastCommand)), Kind: kind}
	for _, i := range l.instances() {
		r.Instances = append(r.Instances, protocol.InstanceGeneration{Name: i.Name, Generation: i.Generation})
	}
	if kind == protocol.Upgrade { // an upgrade is always ordered by a duty's owner
		r.Program, r.Fence, r.OnBehalf = "v2", &protocol.Fence{Duty: "rollouts", Token: 1}, ada.name
	}
	return r
}

// runCommand runs a command on all its instances as a tool does, and returns the ended operations.
// It continues after errors, as the agent may have crashed.
func (w *fixture) runCommand(l *runningAgent, r protocol.CommandRequest) (ends map[string]*protocol.Operation, err error) {
	ends = map[string]*protocol.Operation{}
	ada := ada
	ada.fence = r.Fence
	_, err = l.openCommand(r, ada)
	for _, i := range r.Instances {
		if _, e := l.runOperation(r.ID, i.Name, ada); e != nil {
			err = errors.Join(err, e)
			continue
		}
		waiting, stop := context.WithCancel(context.Background())
		go func() {
			select {
			case <-l.died:
				stop()
			case <-waiting.Done():
			}
		}()
		o, e := l.waitOperation(waiting, r.ID, i.Name, protocol.MaxWait)
		stop()
		err = errors.Join(err, e)
		ends[i.Name] = o
	}
	_, e := l.closeCommand(r.ID, ada, "done")
	return ends, errors.Join(err, e)
}

// crashFS is a file system that crashes the agent right before or after its nth write.
type crashFS struct {
	record.OS
	crashAt     int  // number of the write, from 1; 0: never
	crashBefore bool // crash before that write reaches the disk, else after it

	mu      sync.Mutex
	writes  int
	dead    bool
	onCrash func()
}

var errDead = errors.New("the agent is dead")

// beginWrite counts a write, and reports whether the agent has crashed before it.
func (m *crashFS) beginWrite() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.writes == m.crashAt && m.crashBefore {
		m.crashLocked()
	}
	return m.dead
}

func (m *crashFS) endWrite() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.writes == m.crashAt && !m.dead {
		m.crashLocked()
	}
	if m.dead {
		return errDead
	}
	return nil
}

// crashLocked crashes the agent. The caller holds mu.
func (m *crashFS) crashLocked() {
	if !m.dead {
		m.dead = true
		m.onCrash()
	}
}

func (m *crashFS) check() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		return errDead
	}
	return nil
}

func (m *crashFS) Create(name string) (record.File, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	f, err := m.OS.Create(name)
	return &crashFile{f, m}, err
}

func (m *crashFS) Rename(from, to string) error {
	if err := m.check(); err != nil {
		return err
	}
	return m.OS.Rename(from, to)
}

func (m *crashFS) Append(name string) (record.File, error) {
	f, err := m.OS.Append(name)
	return &crashFile{f, m}, err
}

type crashFile struct {
	record.File
	fs *crashFS
}

func (f *crashFile) Write(b []byte) (int, error) {
	if f.fs.beginWrite() {
		return 0, errDead
	}
	return f.File.Write(b)
}

func (f *crashFile) Sync() error {
	if err := f.fs.check(); err != nil {
		return err
	}
	if err := f.File.Sync(); err != nil {
		return err
	}
	return f.fs.endWrite()
}

func (f *crashFile) Truncate(n int64) error {
	if err := f.fs.check(); err != nil {
		return err
	}
	return f.File.Truncate(n)
}

// The agent crashes right before and right after each write of each kind of operation.
// The next agent has to finish what was begun, so that record and running processes
// agree, no instance runs twice and none is left unsupervised. Sending the same command
// again must not repeat its effect.
func TestAgentCrashesAtEachWrite(t *testing.T) {
	for _, kind := range protocol.Kinds {
		for _, before := range []bool{true, false} {
			for n := 1; ; n++ {
				more := true
				t.Run(fmt.Sprintf("%s/before=%v/write %d", kind, before, n), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { more = crashAtWrite(t, kind, n, before) })
				})
				if !more || n > 200 {
					if n < 10 || n > 200 {
						t.Errorf("%s: only %d writes", kind, n-1)
					}
					break
				}
			}
		}
	}
}

// crashAtWrite runs a command with a crash at write n, and reports whether the agent crashed.
func crashAtWrite(t *testing.T, kind string, n int, before bool) bool {
	w := newFixture(t)
	l := w.start(nil)
	w.waitSettled(l)
	if kind == protocol.Start {
		if _, err := w.runCommand(l, w.request(l, protocol.Drain)); err != nil {
			t.Fatal(err)
		}
	}
	l.stop()

	fsys := &crashFS{crashAt: n, crashBefore: before}
	l = w.start(fsys)
	if fsys.check() == nil {
		w.waitSettled(l) // requests are answered only after running processes are adopted
	}
	starts := map[string]int{"a": w.machine.Starts("a"), "b": w.machine.Starts("b")}
	r := w.request(l, kind)
	_, commandErr := w.runCommand(l, r)
	dead := fsys.check() != nil
	l.stop()
	if !dead && commandErr != nil {
		t.Fatalf("without a crash: %v", commandErr)
	}

	l = w.start(nil)
	defer l.stop()
	w.waitSettled(l)
	known := l.book.Command(r.ID) != nil
	for _, i := range l.instances() {
		o := l.book.Operation(r.ID, i.Name)
		want := 0 // starts caused by the command
		if o != nil {
			if o.State != protocol.Done {
				t.Errorf("%s: %s, %s, want it done", i.Name, o.State, o.Reason)
			}
			if kind == protocol.Start || kind == protocol.Restart || kind == protocol.Upgrade {
				want = 1
			}
			if is := w.machine.Program(i.Name); kind == protocol.Upgrade && (i.Program != "v2" || is != "node-v2") {
				t.Errorf("%s: desired program %q, running %q", i.Name, i.Program, is)
			}
			if i.Generation == 0 {
				t.Errorf("%s: generation 0 after an operation", i.Name)
			}
		}
		running := w.machine.Running(i.Name) != ""
		if running != (i.Desired == "up") {
			t.Errorf("%s: running %v, desired %s", i.Name, running, i.Desired)
		}
		if kind == protocol.Drain && o != nil && running {
			t.Errorf("%s runs after its drain", i.Name)
		}
		if got := w.machine.Starts(i.Name) - starts[i.Name]; got != want {
			t.Errorf("%s was started %d times, want %d", i.Name, got, want)
		}
	}
	if twice := w.machine.StartedTwice(); len(twice) > 0 {
		t.Errorf("%v were started while they ran", twice)
	}
	// The tool did not get the answer and sends the same command again.
	if known {
		_, err := w.runCommand(l, r)
		c := l.book.Command(r.ID)
		if dead && err != nil && c.State == protocol.Open {
			t.Errorf("sent again: %v", err)
		}
		for _, o := range c.Operations {
			if o.State != protocol.Done {
				t.Errorf("sent again: %s on %s: %s", o.State, o.Instance, o.Reason)
			}
			if most := 1; w.machine.Starts(o.Instance)-starts[o.Instance] > most {
				t.Errorf("sent again: %s was started again", o.Instance)
			}
		}
	}
	return dead
}

func withFixture(t *testing.T, f func(t *testing.T, w *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(t, newFixture(t)) })
}

// An instance ends, hangs or fails to start while a command is being executed.
func TestInstanceDiesDuringACommand(t *testing.T) {
	t.Run("before the signal", func(t *testing.T) {
		withFixture(t, func(t *testing.T, w *fixture) {
			l := w.start(nil)
			defer l.stop()
			w.waitSettled(l)
			r := w.request(l, protocol.Restart)
			w.machine.Crash("a")
			ends, err := w.runCommand(l, r)
			if err != nil || ends["a"].State != protocol.Done || w.machine.Running("a") == "" {
				t.Errorf("%+v, %v", ends["a"], err)
			}
		})
	})
	t.Run("after the signal", func(t *testing.T) {
		withFixture(t, func(t *testing.T, w *fixture) {
			l := w.start(nil)
			defer l.stop()
			w.waitSettled(l)
			w.machine.IgnoreTerm("a", true)
			go func() {
				time.Sleep(time.Second)
				w.machine.Crash("a")
			}()
			ends, err := w.runCommand(l, w.request(l, protocol.Drain))
			if err != nil || ends["a"].State != protocol.Done || w.machine.Running("a") != "" {
				t.Errorf("%+v, %v", ends["a"], err)
			}
		})
	})
	t.Run("does not end", func(t *testing.T) {
		withFixture(t, func(t *testing.T, w *fixture) {
			l := w.start(nil)
			defer l.stop()
			w.waitSettled(l)
			w.machine.IgnoreTerm("a", true)
			ends, err := w.runCommand(l, w.request(l, protocol.Restart))
			if err != nil || ends["a"].State != protocol.Failed || !strings.Contains(ends["a"].Reason, "was killed") || w.machine.Running("a") == "" {
				t.Errorf("%+v, %v, want it killed, reported and restarted", ends["a"], err)
			}
			if ends["b"].State != protocol.Done {
				t.Errorf("b: %+v", ends["b"])
			}
		})
	})
	t.Run("between stop and start", func(t *testing.T) {
		withFixture(t, func(t *testing.T, w *fixture) {
			l := w.start(nil)
			defer l.stop()
			w.waitSettled(l)
			w.machine.FailStarts("a", errors.New("no such program"))
			ends, err := w.runCommand(l, w.request(l, protocol.Restart))
			if err != nil || ends["a"].State != protocol.Failed || !strings.Contains(ends["a"].Reason, "no such program") {
				t.Errorf("%+v, %v", ends["a"], err)
			}
			w.machine.FailStarts("a", nil) // its desired state is up, so it is restarted
			w.waitSettled(l)
		})
	})
	t.Run("never serves", func(t *testing.T) {
		withFixture(t, func(t *testing.T, w *fixture) {
			l := w.start(nil)
			defer l.stop()
			w.waitSettled(l)
			w.machine.NeverServe("a", true)
			ends, err := w.runCommand(l, w.request(l, protocol.Restart))
			if err != nil || ends["a"].State != protocol.Failed || !strings.Contains(ends["a"].Reason, "does not serve") {
				t.Errorf("%+v, %v", ends["a"], err)
			}
			// An instance that hangs at startup can still be drained.
			ends, err = w.runCommand(l, w.request(l, protocol.Drain))
			if err != nil || ends["a"].State != protocol.Done {
				t.Errorf("%+v, %v", ends["a"], err)
			}
		})
	})
}

// A crashed instance is restarted with growing delays, up to a limit of crashes.
func TestCrashesUpToTheLimit(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		l := w.start(nil)
		defer l.stop()
		w.waitSettled(l)
		began := time.Now()
		for range w.cfg.Restart.Limit - 1 {
			w.crash("a")
			w.waitSettled(l)
		}
		if waited := time.Since(began); waited < 700*time.Millisecond {
			t.Errorf("three crashes took %v, want the delays of 100, 200 and 400 ms", waited)
		}
		w.crash("a")
		time.Sleep(time.Minute)
		a := l.instances()[0]
		if a.State != protocol.StateGaveUp || w.machine.Running("a") != "" || !strings.Contains(a.Message, "4 crashes in a row") {
			t.Fatalf("after the limit: %+v", a)
		}
		if l.instances()[1].State != protocol.StateUp {
			t.Error("b is affected by the crashes of a")
		}
		if ends, err := w.runCommand(l, w.request(l, protocol.Start)); err != nil || ends["a"].State != protocol.Done {
			t.Errorf("started by a command: %+v, %v", ends["a"], err)
		}
		time.Sleep(w.cfg.Restart.Steady.Duration)
		w.crash("a")
		w.waitSettled(l)
		if c := l.instances()[0].Crashes; c != 1 {
			t.Errorf("%d crashes in a row after a steady run, want 1", c)
		}
	})
}

// An instance that runs but no longer serves is shown as running and is not restarted.
func TestInstanceStopsServing(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		l := w.start(nil)
		defer l.stop()
		w.waitSettled(l)
		w.machine.NeverServe("a", true)
		time.Sleep(steadyCheckInterval + time.Second)
		if a := l.instances()[0]; a.State != protocol.StateRunning || !strings.Contains(a.Message, "/up has ceased") || w.machine.Starts("a") != 1 {
			t.Errorf("%+v, started %d times", a, w.machine.Starts("a"))
		}
		w.machine.NeverServe("a", false)
		time.Sleep(time.Second)
		if a := l.instances()[0]; a.State != protocol.StateUp || a.Message != "" {
			t.Errorf("%+v", a)
		}
	})
}

// The lease of a tool that has died expires after protocol.LeaseDuration and not before.
func TestDeadToolLeaseExpires(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		l := w.start(nil)
		w.waitSettled(l)
		r := w.request(l, protocol.Drain)
		if _, err := l.openCommand(r, ada); err != nil {
			t.Fatal(err)
		}
		time.Sleep(protocol.LeaseDuration / 2)
		if _, err := l.renew(r.ID, ada); err != nil {
			t.Fatal(err)
		}
		l.stop() // a restart of the agent keeps the lease
		l = w.start(nil)
		defer l.stop()
		time.Sleep(protocol.LeaseDuration - time.Second)
		if h := l.instances()[0].Holder; h == nil || h.Operator != "ada" {
			t.Errorf("lease holder is %+v before the lease expires", h)
		}
		time.Sleep(2 * time.Second)
		if h := l.instances()[0].Holder; h != nil {
			t.Errorf("lease holder is still %+v", h)
		}
		if _, err := l.runOperation(r.ID, "a", ada); code(err) != protocol.CodeConflict {
			t.Errorf("an operation of an expired command: %v", err)
		}
		if w.machine.Running("a") == "" {
			t.Error("it was drained after its command had expired")
		}
	})
}

func code(err error) string {
	var e *protocol.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// failingFS is a file system whose writes fail while an error is set.
type failingFS struct {
	record.OS
	mu  sync.Mutex
	err error
}

func (s *failingFS) setErr(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *failingFS) currentErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *failingFS) Create(name string) (record.File, error) {
	if err := s.currentErr(); err != nil {
		return nil, err
	}
	f, err := s.OS.Create(name)
	return failingFile{f, s}, err
}

func (s *failingFS) Append(name string) (record.File, error) {
	f, err := s.OS.Append(name)
	return failingFile{f, s}, err
}

type failingFile struct {
	record.File
	fs *failingFS
}

func (f failingFile) Write(b []byte) (int, error) {
	if err := f.fs.currentErr(); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

// While the disk is full, read-only or broken, commands are refused with the reason and
// instances stay supervised. Commands are accepted again once the disk works.
func TestDiskFullOrReadOnly(t *testing.T) {
	for _, err := range []error{syscall.ENOSPC, syscall.EROFS, syscall.EIO} {
		t.Run(err.Error(), func(t *testing.T) {
			withFixture(t, func(t *testing.T, w *fixture) {
				fsys := &failingFS{}
				l := &runningAgent{runner: w.machine.Runner(), died: make(chan struct{})}
				a, e := New(w.cfg, Options{Runner: l.runner, FS: fsys, FirstStart: true})
				if e != nil {
					t.Fatal(e)
				}
				l.Agent = a
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go a.Run(ctx)
				w.waitSettled(l)
				open := w.request(l, protocol.Restart)
				if _, e := l.openCommand(open, ada); e != nil {
					t.Fatal(e)
				}
				if _, e := l.runOperation(open.ID, "b", ada); e != nil {
					t.Fatal(e)
				}
				fsys.setErr(err) // while an operation is running
				o, e := l.waitOperation(context.Background(), open.ID, "b", protocol.MaxWait)
				if e != nil || o.State != protocol.Interrupted || !strings.Contains(o.Reason, err.Error()) {
					t.Errorf("running operation: %+v, %v, want it interrupted with the reason", o, e)
				}
				for range 3 {
					w.lastCommand++
					if _, e := l.openCommand(protocol.CommandRequest{
						ID: protocol.NewID(time.Now(), uint64(w.lastCommand)), Kind: protocol.Drain, Instances: []protocol.InstanceGeneration{{Name: "a"}},
					}, caller{name: "ben", role: "operator"}); e == nil || code(e) != protocol.CodeRecord && code(e) != protocol.CodeConflict {
						t.Errorf("a command was accepted: %v", e)
					}
				}
				if s := l.recordState(); !strings.Contains(s, err.Error()) {
					t.Errorf("record: %q", s)
				}
				w.crash("a")
				w.waitSettled(l) // b is restarted as well: its desired state is up
				fsys.setErr(nil)
				time.Sleep(protocol.LeaseDuration + 3*time.Second)
				if s := l.recordState(); s != "ok" {
					t.Errorf("record after the disk works again: %q", s)
				}
				if ends, e := w.runCommand(l, w.request(l, protocol.Drain)); e != nil || ends["a"].State != protocol.Done {
					t.Errorf("after the disk works again: %+v, %v", ends["a"], e)
				}
				cancel()
				synctest.Wait()
				l = w.start(nil) // the interruption, at first in memory only, is in the record by now
				defer l.stop()
				if o := l.book.Operation(open.ID, "b"); o == nil || o.State != protocol.Interrupted {
					t.Errorf("after a restart: %+v", o)
				}
			})
		})
	}
}

// appendRecord appends entries to the record while no agent runs.
func (w *fixture) appendRecord(entries ...agentstate.Entry) {
	w.t.Helper()
	log, _, err := record.Open(record.OS{}, filepath.Join(w.cfg.State, "record"), w.cfg.Name, func(json.RawMessage) error { return nil })
	if err != nil {
		w.t.Fatal(err)
	}
	defer log.Close()
	for _, e := range entries {
		if err := log.Append(e); err != nil {
			w.t.Fatal(err)
		}
	}
}

// An operation left by a crashed agent is finished if it is recent, or has a time in the
// future because the clock was set back; an old one is marked as interrupted and can be
// resumed or aborted.
func TestUnfinishedOperations(t *testing.T) {
	for name, c := range map[string]struct {
		ago  time.Duration
		then string
		want string
	}{
		"recent":            {time.Minute, "", protocol.Done},
		"clock set back":    {-24 * time.Hour, "", protocol.Done},
		"old":               {time.Hour, "", protocol.Interrupted},
		"old, then resumed": {time.Hour, "resume", protocol.Done},
		"old, then aborted": {time.Hour, "abort", protocol.Aborted},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, w *fixture) {
				l := w.start(nil)
				w.waitSettled(l)
				r := w.request(l, protocol.Drain)
				l.stop()
				then := time.Now().Add(-c.ago)
				w.appendRecord(
					agentstate.Entry{At: then, Open: &agentstate.Open{Request: r, Operator: "ada"}},
					agentstate.Entry{At: then, Begin: &agentstate.Begin{ID: r.ID, Instance: "a", Run: w.machine.Running("a")}},
					agentstate.Entry{At: then, Step: &agentstate.Step{ID: r.ID, Instance: "a", Name: "term"}},
				)
				l = w.start(nil)
				defer l.stop()
				time.Sleep(protocol.LeaseDuration + 5*time.Second)
				switch c.then {
				case "resume":
					r.Resume = true
					if _, err := w.runCommand(l, r); err != nil {
						t.Fatal(err)
					}
				case "abort":
					if _, err := l.abort(r.ID, "ben"); err != nil {
						t.Fatal(err)
					}
				}
				o, err := l.operation(r.ID, "a")
				if err != nil || o.State != c.want || c.want == protocol.Interrupted && !strings.Contains(o.Reason, `"term"`) {
					t.Errorf("%+v, %v, want %s", o, err, c.want)
				}
				if down := w.machine.Running("a") == ""; down != (c.want == protocol.Done) {
					t.Errorf("down %v", down)
				}
			})
		})
	}
}

// An incomplete last line is dropped from the record. A damaged record is moved aside;
// then command ids from before are refused, and instances that were down stay down.
func TestDamagedRecord(t *testing.T) {
	t.Run("torn", func(t *testing.T) {
		withFixture(t, func(t *testing.T, w *fixture) {
			l := w.start(nil)
			w.waitSettled(l)
			if _, err := w.runCommand(l, w.request(l, protocol.Drain)); err != nil {
				t.Fatal(err)
			}
			l.stop()
			f, err := os.OpenFile(filepath.Join(w.cfg.State, "record"), os.O_APPEND|os.O_WRONLY, 0)
			if err != nil {
				t.Fatal(err)
			}
			f.WriteString(`1234abcd {"at":"2026`)
			f.Close()
			l = w.start(nil)
			defer l.stop()
			w.waitSettled(l)
			if i := l.instances()[0]; i.Desired != "down" || i.Generation != 1 {
				t.Errorf("%+v", i)
			}
		})
	})
	t.Run("damaged", func(t *testing.T) {
		withFixture(t, func(t *testing.T, w *fixture) {
			l := w.start(nil)
			w.waitSettled(l)
			r := w.request(l, protocol.Drain)
			r.Instances = r.Instances[:1]
			if _, err := w.runCommand(l, r); err != nil {
				t.Fatal(err)
			}
			l.stop()
			path := filepath.Join(w.cfg.State, "record")
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			second := slices.Index(text, '\n') + 20
			text[second] ^= 1
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			l = w.start(nil)
			defer l.stop()
			w.waitSettled(l)
			if _, err := os.Stat(path + ".damaged"); err != nil {
				t.Error(err)
			}
			if w.machine.Running("a") != "" || w.machine.Running("b") == "" || w.machine.Starts("b") != 1 {
				t.Error("want a still down, and b never restarted")
			}
			if _, err := l.openCommand(r, ada); code(err) != protocol.CodeTooOld {
				t.Errorf("a command from before: %v", err)
			}
			time.Sleep(time.Second)
			if ends, err := w.runCommand(l, w.request(l, protocol.Start)); err != nil || ends["a"].State != protocol.Done {
				t.Errorf("a new command: %+v, %v", ends["a"], err)
			}
		})
	})
}

// If the record is missing while instances run, it is treated as lost and not as a first
// start: instances that are down stay down. A running instance that is no longer in the
// agent's file is reported as unmanaged.
func TestLostRecordAndUnmanagedInstances(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		l := w.start(nil)
		w.waitSettled(l)
		r := w.request(l, protocol.Drain)
		r.Instances = r.Instances[:1]
		if _, err := w.runCommand(l, r); err != nil {
			t.Fatal(err)
		}
		l.stop()
		if err := os.Remove(filepath.Join(w.cfg.State, "record")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		l = w.start(nil)
		w.waitSettled(l)
		if w.machine.Running("a") != "" || w.machine.Starts("b") != 1 {
			t.Error("want a still down, and b never restarted")
		}
		if _, err := l.openCommand(r, ada); code(err) != protocol.CodeTooOld {
			t.Errorf("a command from before: %v", err)
		}
		l.stop()
		w.cfg.Instance = w.cfg.Instance[:1]
		l = w.start(nil)
		defer l.stop()
		if !slices.Equal(l.unmanaged, []string{"b"}) || w.machine.Running("b") == "" {
			t.Errorf("unmanaged %v, want b, running", l.unmanaged)
		}
	})
}

// The record's size stays bounded for any number of commands.
func TestRecordIsCompacted(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		l := w.start(nil)
		w.waitSettled(l)
		large := protocol.CommandRequest{Kind: protocol.Reload, Plan: strings.Repeat("x", 1000)}
		for range 5000 {
			w.lastCommand++
			large.ID = protocol.NewID(time.Now(), uint64(w.lastCommand))
			large.Instances = []protocol.InstanceGeneration{{Name: "a", Generation: l.instances()[0].Generation}}
			if _, err := l.openCommand(large, ada); err != nil {
				t.Fatal(err)
			}
			if _, err := l.closeCommand(large.ID, ada, ""); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Millisecond)
		}
		size := l.record.Size()
		l.stop()
		if size > 16<<20 {
			t.Errorf("%d bytes", size)
		}
		l = w.start(nil)
		defer l.stop()
		if l.book.Command(large.ID) == nil {
			t.Error("the last command is missing after the record was compacted")
		}
	})
}

func TestOneAgentPerStateDir(t *testing.T) {
	w := newFixture(t)
	first, err := New(w.cfg, Options{Runner: w.machine.Runner()})
	if err != nil {
		t.Fatal(err)
	}
	defer first.lockFile.Close()
	if _, err := New(w.cfg, Options{Runner: w.machine.Runner()}); err == nil || !strings.Contains(err.Error(), "another one works on") {
		t.Errorf("a second agent: %v", err)
	}
}

func TestReload(t *testing.T) {
	withFixture(t, func(t *testing.T, w *fixture) {
		l := w.start(nil)
		defer l.stop()
		w.waitSettled(l)
		ends, err := w.runCommand(l, w.request(l, protocol.Reload))
		if err != nil || ends["a"].State != protocol.Done || ends["a"].Steps[len(ends["a"].Steps)-1].Name != "reloaded" {
			t.Errorf("%+v, %v", ends["a"], err)
		}
		if w.machine.Starts("a") != 1 {
			t.Error("a reload restarted the instance")
		}
	})
}

func TestConfigReportsAllErrors(t *testing.T) {
	if c, err := LoadConfig("../../../deploy/agent.toml"); err != nil || len(c.Instance) != 1 || c.Instance[0].Labels["room"] == "" {
		t.Errorf("deploy/agent.toml: %+v, %v", c, err)
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "agent.toml")
	if err := os.WriteFile(path, []byte("name = \"m 1\"\nlisten = \"nowhere\"\nstat = \"x\"\n\n[restart]\nlimit = 0\n[[instance]]\nname = \"a\"\nprogram = [\"x\"]\nlisten = \"127.0.0.1:1\"\n[[instance]]\nname = \"a\"\nconfig = \"none.json\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := LoadConfig(path)
	if err == nil {
		t.Fatal("an invalid file was accepted")
	}
	for _, want := range []string{
		":1: name:", ":2: listen:", ":3: stat: unknown key, did you mean state?", "tls.ca: none given", ":6: restart.limit: 0",
		":12: instance[2].name: \"a\" is given twice", ":11: instance[2].program: none given", ":13: instance[2].config:",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("lacks %q in\n%v", want, err)
		}
	}
}
