// Package instances provides fake instances for agent tests: processes that exist in
// memory only, so that a thousand of them cost little, and that fail on command.
package instances

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/cordon"
	"otterstep/internal/fleet/instance"
)

// Machine runs the processes. They survive the death of an agent; each agent reaches
// them through its own Runner.
type Machine struct {
	mu           sync.Mutex
	running      map[string]*process
	lastPID      int
	starts       map[string]int
	tokens       map[string]string // of the latest start of each instance, as run files record them
	startedTwice []string
	startErrors  map[string]error
	ignoresTerm  map[string]bool
	neverServes  map[string]bool
	counts       map[string]map[string]int64
}

// NewMachine returns a machine on which no process runs.
func NewMachine() *Machine {
	return &Machine{
		running: map[string]*process{}, starts: map[string]int{}, tokens: map[string]string{}, startErrors: map[string]error{},
		ignoresTerm: map[string]bool{}, neverServes: map[string]bool{}, counts: map[string]map[string]int64{},
	}
}

type process struct {
	machine   *Machine
	name      string
	token     string
	program   string
	pid       int
	started   time.Time
	reloads   int
	fleetBans *cordon.Set // the fleet-wide bans
	done      chan struct{}
	state     string
}

// FailStarts makes starts of an instance return err, or succeed again if err is nil.
func (m *Machine) FailStarts(name string, err error) { m.update(func() { m.startErrors[name] = err }) }

// IgnoreTerm makes an instance ignore SIGTERM.
func (m *Machine) IgnoreTerm(name string, on bool) { m.update(func() { m.ignoresTerm[name] = on }) }

// NeverServe makes an instance run without ever becoming ready.
func (m *Machine) NeverServe(name string, on bool) { m.update(func() { m.neverServes[name] = on }) }

// SetCounts sets the counts of answers, by outcome, that an instance reports.
func (m *Machine) SetCounts(name string, counts map[string]int64) {
	m.update(func() { m.counts[name] = counts })
}

func (m *Machine) update(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// Crash ends an instance's process without a request; it returns false if none runs.
func (m *Machine) Crash(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.end(name, "crashed")
}

// end removes an instance's process and records its final state. The caller holds m.mu.
func (m *Machine) end(name, state string) bool {
	p := m.running[name]
	if p == nil {
		return false
	}
	delete(m.running, name)
	p.state = state
	close(p.done)
	return true
}

// Running returns the token of an instance's process, or "" if none runs.
func (m *Machine) Running(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.running[name]; p != nil {
		return p.token
	}
	return ""
}

// Program returns the command of an instance's process, or "" if none runs.
func (m *Machine) Program(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.running[name]; p != nil {
		return p.program
	}
	return ""
}

// Starts returns how often an instance was started, failed starts included.
func (m *Machine) Starts(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts[name]
}

// StartedTwice returns the names of the instances that were started while they already ran.
func (m *Machine) StartedTwice() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string{}, m.startedTwice...)
}

var errAgentDead = errors.New("the agent is dead")

// Runner is one agent's access to a machine. Detach ends it, as the agent's death does.
type Runner struct {
	machine *Machine

	mu       sync.Mutex
	detached bool
}

// Runner returns an agent's access to the machine.
func (m *Machine) Runner() *Runner { return &Runner{machine: m} }

// Detach makes all further calls of the agent fail without effect.
func (r *Runner) Detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detached = true
}

// ifAttached runs f unless the runner is detached. It holds the runner's lock meanwhile, so that no
// effect of f comes after Detach has returned.
func (r *Runner) ifAttached(f func() error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.detached {
		return errAgentDead
	}
	r.machine.mu.Lock()
	defer r.machine.mu.Unlock()
	return f()
}

// Start implements instance.Runner.
func (r *Runner) Start(i instance.Spec, token string) (p instance.Process, pid int, err error) {
	m := r.machine
	err = r.ifAttached(func() error {
		if m.running[i.Name] != nil {
			m.startedTwice = append(m.startedTwice, i.Name)
			return fmt.Errorf("%s is already running", i.Name)
		}
		m.starts[i.Name]++
		if err := m.startErrors[i.Name]; err != nil {
			return err
		}
		m.lastPID++
		m.tokens[i.Name] = token
		started := &process{machine: m, name: i.Name, token: token, program: strings.Join(i.Program, " "), pid: m.lastPID, started: time.Now(), fleetBans: cordon.New(), done: make(chan struct{})}
		m.running[i.Name] = started
		p, pid = handle{started, r}, started.pid
		return nil
	})
	return p, pid, err
}

// Adopt implements instance.Runner.
func (r *Runner) Adopt(i instance.Spec) (p instance.Process, token string, pid int, err error) {
	err = r.ifAttached(func() error {
		token = r.machine.tokens[i.Name]
		if running := r.machine.running[i.Name]; running != nil {
			p, pid = handle{running, r}, running.pid
		}
		return nil
	})
	return p, token, pid, err
}

// RunningInstances implements instance.Runner.
func (r *Runner) RunningInstances() (names []string, err error) {
	err = r.ifAttached(func() error {
		names = slices.Sorted(maps.Keys(r.machine.running))
		return nil
	})
	return names, err
}

// Up implements instance.Runner.
func (r *Runner) Up(_ context.Context, i instance.Spec) (up bool) {
	_ = r.ifAttached(func() error {
		up = r.machine.running[i.Name] != nil && !r.machine.neverServes[i.Name]
		return nil
	})
	return up
}

// SendStateCommand implements instance.Runner: there is no saved state here.
func (r *Runner) SendStateCommand(context.Context, instance.Spec, control.StateCommand) error {
	return control.ErrNoSavedState
}

// SendFleetBans implements instance.Runner: it applies fleet-wide bans as a node does.
func (r *Runner) SendFleetBans(_ context.Context, i instance.Spec, w control.FleetBans) (is control.FleetStatus, err error) {
	err = r.ifAttached(func() error {
		p := r.machine.running[i.Name]
		if p == nil {
			return errors.New("nobody listens")
		}
		if _, _, err := p.fleetBans.ApplyFleetBans(w.FleetBans); err != nil {
			return fmt.Errorf("%w: %w", control.ErrOutdatedBans, err)
		}
		is = control.FleetStatus{Version: w.Version, Token: w.Token, Since: time.Now(), Sure: w.Sure, Bans: len(w.Bans), Listed: len(reportedServers)}
		return nil
	})
	return is, err
}

// Inspect implements instance.Runner.
func (r *Runner) Inspect(_ context.Context, i instance.Spec) (a control.Inspection, err error) {
	err = r.ifAttached(func() error {
		p := r.machine.running[i.Name]
		if p == nil {
			return errors.New("nobody listens")
		}
		a = control.Inspection{
			Form: control.Version, Name: i.Name, Started: p.started, State: "ready", Reloads: p.reloads,
			Counts: map[string]map[string]int64{"all": r.machine.counts[i.Name]}, Servers: reportedServers,
		}
		return nil
	})
	return a, err
}

// reportedServers is the list that each instance reports, of the size of a usual answer.
var reportedServers = func() []control.Server {
	list := make([]control.Server, 10)
	for n := range list {
		list[n] = control.Server{ID: fmt.Sprintf("%016x", n), Endpoint: "127.0.0.1:8000", Breaker: "closed", Score: 0.9, Success: 1, Judged: 100}
	}
	return list
}()

// Trim implements instance.Runner.
func (r *Runner) Trim(instance.Spec) error { return nil }

// handle is one agent's handle on a process.
type handle struct {
	*process
	runner *Runner
}

// Signal implements instance.Process.
func (h handle) Signal(s syscall.Signal) error {
	m := h.machine
	return h.runner.ifAttached(func() error {
		switch {
		case m.running[h.name] != h.process:
		case s == syscall.SIGKILL, s == syscall.SIGTERM && !m.ignoresTerm[h.name]:
			m.end(h.name, "ended on "+s.String())
		case s == syscall.SIGHUP:
			h.reloads++
		}
		return nil
	})
}

// Done implements instance.Process.
func (h handle) Done() <-chan struct{} { return h.done }

// State implements instance.Process.
func (h handle) State() string { return h.state }

// Release implements instance.Process.
func (h handle) Release() {}
