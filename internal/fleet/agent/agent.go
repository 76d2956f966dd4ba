// Package agent supervises the instances on one machine and executes operators'
// commands on them. The desired state and each step of each operation are written to
// disk before they are acted on, so that after a crash at any point the next agent can
// finish the work. Instances keep serving without the agent.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/boottime"
	"otterstep/internal/fleet/agentstate"
	"otterstep/internal/fleet/council"
	"otterstep/internal/fleet/instance"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/record"
	"otterstep/internal/fleet/recovery"
)

const (
	// compactSize is the size at which the record is rewritten as one snapshot, unless
	// the snapshot takes up half of it.
	compactSize          = 4 << 20
	leaseCheckInterval   = 250 * time.Millisecond
	recordRepairInterval = 2 * time.Second
)

// Options holds the parameters of New that are not in the configuration file.
type Options struct {
	Launcher []string // the command that calls proc.Launch; required unless Runner is given
	Version  string   // of the program
	Log      *slog.Logger
	FS       record.FS       // the operating system's if nil
	Runner   instance.Runner // operating system processes if nil

	// FirstStart is set when the operator starts this agent for the first time: an empty state folder is
	// then expected and not a loss. The voters of a council bootstrap it.
	FirstStart bool
	// The following fields are used only if the agent's file has [council].
	Clock boottime.Clock // the system's if nil
	// OpenStores opens the council's stores; the default ones if nil.
	OpenStores func(dir string) (council.Stores, error)
	// StepHook, if set, is called before each step of an order given by a duty's owner.
	StepHook func(step, instance string)
}

// Agent supervises the instances on one machine. Start it with Run.
type Agent struct {
	cfg       Config
	log       *slog.Logger
	runner    instance.Runner
	started   time.Time
	version   string
	lockFile  *os.File // locked, so that only one agent uses the state folder
	refused   refusals
	council   *participant    // nil without [council]
	fleetBans *banDistributor // nil without [fleet]
	stepHook  func(step, instance string)

	commitMu sync.Mutex // held while an entry is checked, written and applied; see commit
	record   *record.Log
	// recordErr is set when the state holds changes that could not be written to the record:
	// commands are refused until a rewrite succeeds.
	recordErr       error
	loggedRecordErr string      // the last record error that was logged, so that each is logged once
	compactedSize   int64       // the record's size after the latest rewrite; see compactSize
	recordCopy      *record.Log // second copy of the desired state, outside the state folder

	mu             sync.RWMutex // guards the following fields; never held during I/O
	book           *agentstate.State
	recovery       recoveryTracker
	leases         map[string]time.Time // expiry times of the open commands' leases
	operationEnded chan struct{}        // closed and replaced whenever an operation ends

	units     map[string]*unit
	unitNames []string // names of the units, sorted
	unmanaged []string // names of running instances that are not configured
}

// New opens the record and returns an agent. Nothing is started or adopted before Run.
func New(cfg Config, opt Options) (*Agent, error) {
	if cfg.Copy == "" {
		cfg.Copy = cfg.State + ".copy"
	}
	a := &Agent{
		cfg: cfg, log: opt.Log, runner: opt.Runner, started: time.Now(), version: opt.Version,
		leases: map[string]time.Time{}, operationEnded: make(chan struct{}),
		units: map[string]*unit{}, stepHook: opt.StepHook,
		recovery: recoveryTracker{sources: map[string][]recovery.Claim{}, held: map[string]*heldInstance{}, startTimes: map[string]time.Time{}, unwanted: map[string]bool{}, reportNeeded: make(chan struct{}, 1)},
	}
	if a.log == nil {
		a.log = slog.New(slog.DiscardHandler)
	}
	if opt.FS == nil {
		opt.FS = record.OS{}
	}
	if err := os.MkdirAll(cfg.State, 0o700); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	if a.runner == nil {
		a.runner = instance.NewProcesses(cfg.State, opt.Launcher)
	}
	if err := a.lock(); err != nil {
		return nil, err
	}
	for _, def := range cfg.Instance {
		a.units[def.Name] = newUnit(a, def)
		a.unitNames = append(a.unitNames, def.Name)
	}
	slices.Sort(a.unitNames)
	a.book = agentstate.New(a.unitNames)
	if err := a.openRecord(opt.FS, opt.FirstStart); err != nil {
		a.lockFile.Close()
		return nil, err
	}
	if cfg.Council != nil {
		var err error
		if a.council, err = newParticipant(a, opt); err != nil {
			a.close()
			return nil, err
		}
		if cfg.Fleet != nil {
			a.fleetBans = newBanDistributor(a, a.council.clock)
		}
	}
	return a, nil
}

// lock prevents a second agent from using the state folder.
func (a *Agent) lock() error {
	f, err := os.OpenFile(filepath.Join(a.cfg.State, "agent.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return fmt.Errorf("agent: another one works on %s: %w", a.cfg.State, err)
	}
	a.lockFile = f
	return nil
}

// openRecord reads the record, and continues or interrupts the operations that a previous
// agent left unfinished.
func (a *Agent) openRecord(fsys record.FS, first bool) error {
	log, found, err := record.Open(fsys, filepath.Join(a.cfg.State, "record"), a.cfg.Name, func(text json.RawMessage) error {
		var e agentstate.Entry
		if err := json.Unmarshal(text, &e); err != nil {
			return err
		}
		a.book.Apply(e)
		return nil
	})
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	a.record = log
	running, err := a.runner.RunningInstances()
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	if found.MovedTo != "" {
		a.log.Error("the record was damaged; the damaged file is kept", "aside", found.MovedTo, "why", found.Reason)
	}
	if found.TornBytes > 0 {
		a.log.Warn("the record's last line was incomplete and is dropped", "bytes", found.TornBytes)
	}
	if err := a.initRecovery(fsys, found, running, first); err != nil {
		return err
	}
	a.unmanaged = slices.DeleteFunc(running, func(name string) bool { return a.units[name] != nil })
	if len(a.unmanaged) > 0 {
		a.log.Error("instances run that are not in the agent's file: nobody looks after them", "instances", a.unmanaged)
	}
	now := time.Now()
	for _, id := range a.book.OpenCommands() {
		a.leases[id] = now.Add(protocol.LeaseDuration)
	}
	for _, op := range a.book.Unfinished() {
		last, step := op.Began, "begun"
		if n := len(op.Steps); n > 0 {
			last, step = op.Steps[n-1].At, op.Steps[n-1].Name
		}
		unit := a.units[op.Instance]
		switch age := now.Sub(last); {
		case unit == nil:
			a.endOperation(&op, protocol.Interrupted, fmt.Sprintf("stopped at %q: the instance is no longer in the agent's file", step))
		case age > a.cfg.Wait.Finish.Duration:
			a.endOperation(&op, protocol.Interrupted, fmt.Sprintf("stopped at %q, %v before this agent was started", step, age.Round(time.Second)))
		default:
			a.log.Info("resuming an operation", "instance", op.Instance, "kind", op.Kind, "command", op.Command, "after", step)
		}
	}
	return nil
}

// Run supervises instances and answers requests until ctx is done. The instances keep running.
func (a *Agent) Run(ctx context.Context) error {
	defer a.close()
	servers, err := a.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var work sync.WaitGroup
	// Running processes are adopted before any is started and before requests are answered.
	for _, name := range a.unitNames {
		a.units[name].adopt()
	}
	a.resolveHeld()
	for _, name := range a.unitNames {
		work.Go(func() { a.units[name].run(ctx) })
	}
	work.Go(func() { a.runMaintenance(ctx) })
	work.Go(func() { a.runRecovery(ctx) })
	if a.council != nil {
		work.Go(func() { a.council.run(ctx) })
	}
	if a.fleetBans != nil {
		work.Go(func() { a.fleetBans.run(ctx) })
	}
	a.log.Info("ready", "agent", a.cfg.Name, "instances", len(a.unitNames))
	for _, s := range servers {
		work.Go(func() {
			if err := s.serve(ctx); err != nil {
				cancel(err)
			}
		})
	}
	work.Wait()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return fmt.Errorf("agent: %w", err)
	}
	return nil
}

// close releases the state folder. Requests still in progress can no longer write.
func (a *Agent) close() {
	a.commitMu.Lock()
	defer a.commitMu.Unlock()
	a.record.Close() // confirmed entries are already on disk
	a.recordCopy.Close()
	a.lockFile.Close()
}

// runMaintenance closes commands whose lease has expired, and repairs the record.
func (a *Agent) runMaintenance(ctx context.Context) {
	every := time.NewTicker(leaseCheckInterval)
	defer every.Stop()
	mend := time.NewTicker(recordRepairInterval)
	defer mend.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-mend.C:
			a.commitMu.Lock()
			if a.recordErr != nil || a.record.Err() != nil {
				a.repairRecord()
			}
			a.commitMu.Unlock()
		case now := <-every.C:
			a.mu.RLock()
			var expired []string
			for id, end := range a.leases {
				if now.After(end) {
					expired = append(expired, id)
				}
			}
			a.mu.RUnlock()
			for _, id := range expired {
				reason := fmt.Sprintf("lease not renewed for %v: its tool is gone", protocol.LeaseDuration)
				if _, err := a.commit(agentstate.Entry{Close: &agentstate.Close{ID: id, State: protocol.Expired, Reason: reason}}); err == nil {
					a.log.Warn("a command's lease has expired", "command", id)
				}
			}
		}
	}
}

// repairRecord rewrites the record from memory. The caller holds commitMu.
func (a *Agent) repairRecord() {
	a.mu.RLock()
	s := a.book.Snapshot()
	a.mu.RUnlock()
	err := a.record.Rewrite(agentstate.Entry{At: time.Now(), Snapshot: s})
	if err == nil {
		err = a.writeCopy()
	}
	if err != nil {
		a.recordErr = err
		a.logRecordError(err)
		return
	}
	if a.loggedRecordErr != "" {
		a.loggedRecordErr = ""
		a.log.Info("the record can be written again")
	}
	a.recordErr, a.compactedSize = nil, a.record.Size()
}

// logRecordError logs why the record can't be written, once per error. The caller holds commitMu.
func (a *Agent) logRecordError(err error) {
	if a.loggedRecordErr != err.Error() {
		a.loggedRecordErr = err.Error()
		a.log.Error("the record can't be written: commands are refused", "err", err)
	}
}

// commit checks an entry, writes it to disk and applies it. done means that the same
// change was made before.
func (a *Agent) commit(e agentstate.Entry) (done bool, err error) {
	a.commitMu.Lock()
	defer a.commitMu.Unlock()
	return a.commitLocked(e)
}

// commitLocked is commit for callers that hold commitMu.
func (a *Agent) commitLocked(e agentstate.Entry) (done bool, err error) {
	a.mu.RLock()
	done, err = a.book.Check(e)
	a.mu.RUnlock()
	if done || err != nil {
		return done, err
	}
	e.At = time.Now()
	if a.recordErr == nil && a.record.Err() == nil && a.record.Size() > max(compactSize, 2*a.compactedSize) {
		a.repairRecord()
	}
	err = a.recordErr
	if err == nil {
		err = a.record.Append(e)
	}
	if err != nil {
		a.logRecordError(err)
		return false, protocol.Errorf(protocol.CodeRecord, "nothing is begun, as the record can't be written: %v", err)
	}
	a.apply(e)
	if changesCopy(e) {
		if err := a.writeCopy(); err != nil {
			// The record has the entry, but no step may be taken until the copy has it too.
			a.recordErr = err
			a.logRecordError(err)
			return false, protocol.Errorf(protocol.CodeRecord, "nothing is begun, as the record's copy can't be written: %v", err)
		}
		select {
		case a.recovery.reportNeeded <- struct{}{}:
		default: // a report is already pending
		}
	}
	return false, nil
}

// apply applies an entry to the agent's state and to the state derived from it.
func (a *Agent) apply(e agentstate.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.book.Apply(e)
	switch {
	case e.Open != nil:
		a.leases[e.Open.Request.ID] = time.Now().Add(protocol.LeaseDuration)
	case e.Close != nil:
		delete(a.leases, e.Close.ID)
	case e.Begin != nil:
		delete(a.recovery.held, e.Begin.Instance) // an operator has set the desired state
	case e.End != nil:
		close(a.operationEnded)
		a.operationEnded = make(chan struct{})
	}
}

// recordStep records the step that an operation is about to take.
func (a *Agent) recordStep(op *protocol.Operation, name, note string) error {
	_, err := a.commit(agentstate.Entry{Step: &agentstate.Step{ID: op.Command, Instance: op.Instance, Name: name, Note: note}})
	return err
}

// endOperation ends an operation. If the entry can't be written, it is applied in memory
// only, and the record lacks it until it is repaired.
func (a *Agent) endOperation(op *protocol.Operation, state, reason string) {
	a.commitMu.Lock()
	defer a.commitMu.Unlock()
	e := agentstate.Entry{At: time.Now(), End: &agentstate.End{ID: op.Command, Instance: op.Instance, State: state, Reason: reason}}
	if _, err := a.commitLocked(e); err != nil {
		a.recordErr = err
		a.apply(e)
	}
}

func (a *Agent) operationOn(name string) *protocol.Operation {
	a.mu.RLock()
	defer a.mu.RUnlock()
	i, _ := a.book.Instance(name)
	if i.Operation == "" {
		return nil
	}
	return a.book.Operation(i.Operation, name)
}

func (a *Agent) tokenAtBegin(op *protocol.Operation) string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.book.RunTokenAt(op.Command, op.Instance)
}

// ---- requests from tools

// recordState returns "ok", or why commands are refused.
func (a *Agent) recordState() string {
	a.commitMu.Lock()
	defer a.commitMu.Unlock()
	if err := errors.Join(a.record.Err(), a.recordErr); err != nil {
		return err.Error()
	}
	return "ok"
}

// state returns an instance's state. The caller holds mu.
func (a *Agent) state(u *unit) protocol.Instance {
	kept, _ := a.book.Instance(u.def.Name)
	v := u.currentView()
	i := protocol.Instance{
		Name: u.def.Name, Group: u.def.Group, Labels: u.def.Labels, Listen: u.def.Listen, Desired: "down",
		State: v.state, Pid: v.pid, Since: v.since, Generation: kept.Generation, Crashes: v.crashes, Message: v.message,
		Holder: a.book.Holder(u.def.Name), Operation: kept.Operation, Order: v.order, Program: kept.Program,
	}
	if kept.Up {
		i.Desired = "up"
	}
	if h := a.recovery.held[u.def.Name]; h != nil && v.token == "" {
		i.State, i.Desired, i.Message = protocol.StateHeld, "unknown", h.verdict.Reason
	}
	return i
}

func (a *Agent) instances() []protocol.Instance {
	a.mu.RLock()
	defer a.mu.RUnlock()
	list := make([]protocol.Instance, 0, len(a.unitNames))
	for _, name := range a.unitNames {
		list = append(list, a.state(a.units[name]))
	}
	return list
}

// raiseFence raises a duty's fencing token and returns the instances' state after it.
// Operations begun under a lower token are shown as running until they have ended.
func (a *Agent) raiseFence(f protocol.Fence, by string) (*protocol.FenceAnswer, error) {
	if _, err := a.commit(agentstate.Entry{Fence: &agentstate.Fence{Fence: f, By: by}}); err != nil {
		return nil, err
	}
	return &protocol.FenceAnswer{Instances: a.instances()}, nil
}

func (a *Agent) openCommand(r protocol.CommandRequest, who caller) (*protocol.Command, error) {
	operator := who.name
	switch {
	case r.Fence == nil && r.OnBehalf != "":
		return nil, protocol.Errorf(protocol.CodeUsage, "on_behalf: only the owner of a duty may act for somebody else")
	case r.Fence != nil && !protocol.OperatorPattern.MatchString(r.OnBehalf):
		return nil, protocol.Errorf(protocol.CodeUsage, "on_behalf: %q is not a valid operator name", r.OnBehalf)
	case r.Fence != nil:
		operator, who.fence = r.OnBehalf, r.Fence
	}
	for _, s := range r.Instances {
		if a.units[s.Name] == nil {
			return nil, &protocol.Error{Code: protocol.CodeNotFound, Instance: s.Name, Text: fmt.Sprintf("no instance %q is known here", s.Name)}
		}
	}
	if _, err := a.programCommand(r.Program); err != nil {
		return nil, protocol.Errorf(protocol.CodeUsage, "%v", err)
	}
	if r.Fence != nil {
		if err := a.checkNotHeld(r.Instances); err != nil {
			return nil, err
		}
	}
	if _, err := a.commit(agentstate.Entry{Open: &agentstate.Open{Request: r, Operator: operator}}); err != nil {
		return nil, err
	}
	return a.renew(r.ID, who)
}

// programCommand returns the command of a program version; nil for "", which stands for the
// instance's own program in the agent's file.
func (a *Agent) programCommand(name string) ([]string, error) {
	if name == "" {
		return nil, nil
	}
	if a.cfg.Fleet != nil {
		for _, p := range a.cfg.Fleet.Programs {
			if p.Name == name {
				return p.Command, nil
			}
		}
	}
	return nil, fmt.Errorf("the file of agent %s has no fleet.program %q", a.cfg.Name, name)
}

// checkNotHeld refuses a duty's orders to instances whose desired state is not known yet.
func (a *Agent) checkNotHeld(all []protocol.InstanceGeneration) error {
	a.mu.RLock()
	defer a.mu.RUnlock()
	for _, s := range all {
		if a.recovery.held[s.Name] != nil {
			return &protocol.Error{Code: protocol.CodeForgetful, Instance: s.Name, Text: fmt.Sprintf("%s is held until its desired state is known", s.Name)}
		}
	}
	return nil
}

func notFound(id string) error {
	return protocol.Errorf(protocol.CodeNotFound, "no command %s is known here", id)
}

// authorizedCommand returns a command if the caller is its operator or the owner of its duty.
func (a *Agent) authorizedCommand(id string, who caller) (*protocol.Command, error) {
	c, err := a.command(id)
	if err != nil {
		return nil, err
	}
	if c.Fence != nil && who.fence != nil {
		a.mu.RLock()
		defer a.mu.RUnlock()
		return c, a.book.CheckOwner(id, who.fence)
	}
	if operator := who.name; c.Operator != operator {
		return nil, &protocol.Error{
			Code: protocol.CodeConflict, Text: fmt.Sprintf("command %s belongs to %s, not to %s", id, c.Operator, operator),
			Holder: &protocol.Holder{Command: c.ID, Kind: c.Kind, Operator: c.Operator, Since: c.Opened},
		}
	}
	return c, nil
}

// renew extends a command's lease by protocol.LeaseDuration from now.
func (a *Agent) renew(id string, who caller) (*protocol.Command, error) {
	c, err := a.authorizedCommand(id, who)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.leases[id]; open {
		a.leases[id] = time.Now().Add(protocol.LeaseDuration)
	} else if c.State == protocol.Open {
		return nil, protocol.Errorf(protocol.CodeConflict, "command %s has just ended", id)
	}
	return c, nil
}

func (a *Agent) closeCommand(id string, who caller, reason string) (*protocol.Command, error) {
	if _, err := a.authorizedCommand(id, who); err != nil {
		return nil, err
	}
	if _, err := a.commit(agentstate.Entry{Close: &agentstate.Close{ID: id, State: protocol.Closed, Reason: reason, Fence: who.fence}}); err != nil {
		return nil, err
	}
	return a.command(id)
}

// runOperation begins an operation, or returns the existing one.
func (a *Agent) runOperation(id, instance string, who caller) (*protocol.Operation, error) {
	if _, err := a.renew(id, who); err != nil {
		return nil, err
	}
	u := a.units[instance]
	if u == nil {
		return nil, &protocol.Error{Code: protocol.CodeNotFound, Instance: instance, Text: fmt.Sprintf("no instance %q is known here", instance)}
	}
	if _, err := a.commit(agentstate.Entry{Begin: &agentstate.Begin{ID: id, Instance: instance, Run: u.currentView().token, Fence: who.fence}}); err != nil {
		return nil, err
	}
	u.wake()
	return a.operation(id, instance)
}

func (a *Agent) operation(id, instance string) (*protocol.Operation, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	o := a.book.Operation(id, instance)
	if o == nil {
		return nil, protocol.Errorf(protocol.CodeNotFound, "no operation of command %s on %q is known here", id, instance)
	}
	return o, nil
}

// waitOperation waits until an operation has ended, at most for wait.
func (a *Agent) waitOperation(ctx context.Context, id, instance string, wait time.Duration) (*protocol.Operation, error) {
	limit := time.NewTimer(min(wait, protocol.MaxWait))
	defer limit.Stop()
	for {
		a.mu.RLock()
		ended := a.operationEnded
		a.mu.RUnlock()
		o, err := a.operation(id, instance)
		if err != nil || o.State != protocol.Running {
			return o, err
		}
		select {
		case <-ended:
		case <-limit.C:
			return o, nil
		case <-ctx.Done():
			return o, nil
		}
	}
}

// abort closes a command of any operator and marks its interrupted operations as aborted.
// A running operation is completed, as stopping it midway would leave the instance in an
// intermediate state.
func (a *Agent) abort(id, operator string) (*protocol.Command, error) {
	c, err := a.command(id)
	if err != nil {
		return nil, err
	}
	if c.Fence != nil {
		return nil, protocol.Errorf(protocol.CodeConflict, "command %s belongs to a job of the fleet: otterctl jobs pauses and cancels it", id)
	}
	reason := "aborted by " + operator
	for _, o := range c.Operations {
		if o.State == protocol.Interrupted {
			if _, err := a.commit(agentstate.Entry{End: &agentstate.End{ID: id, Instance: o.Instance, State: protocol.Aborted, Reason: reason + "; " + o.Reason}}); err != nil {
				return nil, err
			}
		}
	}
	if c.State == protocol.Open {
		if _, err := a.commit(agentstate.Entry{Close: &agentstate.Close{ID: id, State: protocol.Closed, Reason: reason}}); err != nil {
			return nil, err
		}
	}
	return a.command(id)
}

func (a *Agent) command(id string) (*protocol.Command, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	c := a.book.Command(id)
	if c == nil {
		return nil, notFound(id)
	}
	return c, nil
}

func (a *Agent) commands(n int) []*protocol.Command {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.book.Commands(n)
}
