package agent

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/fleet/backoff"
	"otterstep/internal/fleet/instance"
	"otterstep/internal/fleet/protocol"
)

const (
	upPollInterval = 50 * time.Millisecond
	upWait         = time.Second
	// Outside operations, processes that don't serve are checked every checkInterval,
	// and those that serve every steadyCheckInterval, as they may hang.
	checkInterval       = 250 * time.Millisecond
	steadyCheckInterval = 5 * time.Second
	inspectTimeout      = time.Second
	trimInterval        = time.Minute
	// killTimeout is how long to wait for a process to end after SIGKILL.
	killTimeout = 10 * time.Second
)

// unit supervises one instance. Only its goroutine starts, signals and waits for the
// process; other goroutines read its view.
type unit struct {
	def    instance.Spec
	agent  *Agent
	log    *slog.Logger
	wakeup chan struct{} // signals that an operation was begun or the instance was released

	// The following fields are used only by the unit's goroutine.
	process    instance.Process // nil if none runs
	token      string           // of the current or last process
	startedFor string           // the order for which a process was last started, "" if none
	tracker    backoff.Tracker
	startTimer *time.Timer // next start after a crash
	checkTimer *time.Timer // next check of /up

	mu   sync.Mutex
	view view
}

type view struct {
	state   string
	since   time.Time
	pid     int
	order   string // see protocol.Instance
	crashes int
	message string
	token   string
}

func newUnit(a *Agent, def instance.Spec) *unit {
	u := &unit{
		def: def, agent: a, log: a.log.With("instance", def.Name), wakeup: make(chan struct{}, 1),
		tracker: backoff.Tracker{Policy: a.cfg.backoff()}, startTimer: time.NewTimer(time.Hour), checkTimer: time.NewTimer(time.Hour),
	}
	u.startTimer.Stop()
	u.checkTimer.Stop()
	u.setState(protocol.StateDown, "")
	return u
}

// setState updates the view.
func (u *unit) setState(state, message string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != u.view.state {
		u.view.since = time.Now()
	}
	u.view.state, u.view.message, u.view.crashes = state, message, u.tracker.Crashes()
	u.view.token = ""
	if u.process != nil {
		u.view.token = u.token
	} else {
		u.view.pid = 0
	}
}

func (u *unit) currentView() view {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.view
}

func (u *unit) setProcess(p instance.Process, token string, pid int) {
	u.process, u.token = p, token
	u.mu.Lock()
	u.view.pid, u.view.order = pid, orderOf(token)
	u.mu.Unlock()
}

// wakeFleetBans triggers sending the fleet-wide bans to the process that was just started.
func (u *unit) wakeFleetBans() {
	if h := u.agent.fleetBans; h != nil {
		h.wake(u.def.Name)
	}
}

// releaseProcess releases a process that has ended.
func (u *unit) releaseProcess() {
	u.process.Release()
	u.process = nil
}

// run supervises the instance until ctx is done; the process keeps running. Call adopt first.
func (u *unit) run(ctx context.Context) {
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	for {
		if ctx.Err() != nil {
			return
		}
		if op := u.agent.operationOn(u.def.Name); op != nil {
			u.perform(ctx, op)
			continue
		}
		var done <-chan struct{}
		if u.process != nil {
			done = u.process.Done()
			if u.agent.takeUnwanted(u.def.Name) {
				u.stopUnwanted()
			}
		} else if wait, may := u.agent.startDelay(u.def.Name); may && u.currentView().state == protocol.StateDown {
			if wait <= 0 {
				u.launch()
				continue
			}
			u.setState(protocol.StatePaced, fmt.Sprintf("started in %v to keep the fleet's start rate", wait.Round(time.Millisecond)))
			u.startTimer.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-u.wakeup:
		case <-done:
			state := u.process.State()
			u.releaseProcess()
			if _, may := u.agent.startDelay(u.def.Name); !may {
				u.setState(protocol.StateDown, "ended: "+state)
				continue
			}
			u.crashed(fmt.Sprintf("exited unexpectedly: %s", state))
		case <-u.startTimer.C:
			if wait, may := u.agent.startDelay(u.def.Name); may && wait > 0 {
				u.startTimer.Reset(wait)
			} else if may {
				u.launch()
			} else {
				u.setState(protocol.StateDown, "")
			}
		case <-u.checkTimer.C:
			if u.process != nil {
				u.checkUp(ctx)
			}
		case <-trim.C:
			if err := u.agent.runner.Trim(u.def); err != nil {
				u.log.Warn("the instance's log can't be rotated", "err", err)
			}
		}
	}
}

// wake makes the unit check for new work.
func (u *unit) wake() {
	select {
	case u.wakeup <- struct{}{}:
	default: // already signalled
	}
}

// stopUnwanted stops a process whose recovered desired state is down: a drain was in progress when
// the record was lost, or the agent had never received it.
func (u *unit) stopUnwanted() {
	u.log.Warn("draining an instance that runs and is meant to be down", "pid", u.currentView().pid)
	u.setState(protocol.StateStopping, "the newest word says down")
	if err := u.process.Signal(syscall.SIGTERM); err != nil {
		u.setState(protocol.StateRunning, fmt.Sprintf("is meant to be down, but can't be signalled: %v", err))
	}
}

// orderSeparator separates an order's id from the random part of a token.
const orderSeparator = "."

// orderOf returns the order's id in a token, "" if there is none.
func orderOf(token string) string {
	order, _, named := strings.Cut(token, orderSeparator)
	if !named {
		return ""
	}
	return order
}

// adopt adopts the running process, if any.
func (u *unit) adopt() {
	p, token, pid, err := u.agent.runner.Adopt(u.def)
	switch {
	case err != nil:
		u.log.Error("the instance's run file is locked by a process that can't be identified", "err", err)
		u.setState(protocol.StateUnknown, err.Error())
	case p == nil:
		u.startedFor = orderOf(token)
	default:
		u.setProcess(p, token, pid)
		u.startedFor = orderOf(token)
		u.tracker.RecordStart(time.Now())
		u.log.Info("adopted", "pid", pid)
		u.setState(protocol.StateRunning, "adopted")
		u.checkTimer.Reset(0)
	}
}

// checkUp checks a running process's /up and schedules the next check. A process that does
// not serve is shown as such but not restarted, as it may still hold requests.
func (u *unit) checkUp(ctx context.Context) {
	switch up, was := u.agent.runner.Up(ctx, u.def), u.currentView().state; {
	case up:
		u.setState(protocol.StateUp, "")
		u.checkTimer.Reset(steadyCheckInterval)
	case was == protocol.StateUp:
		u.setState(protocol.StateRunning, "/up has ceased to answer 200")
		fallthrough
	default:
		u.checkTimer.Reset(checkInterval)
	}
}

// crashed schedules the next start, or gives up.
func (u *unit) crashed(why string) {
	wait, giveUp := u.tracker.RecordCrash(time.Now())
	if giveUp {
		u.log.Error("crashed too often and is not restarted", "crashes", u.tracker.Crashes(), "last", why)
		u.setState(protocol.StateGaveUp, fmt.Sprintf("%s; %d crashes in a row, start it by a command", why, u.tracker.Crashes()))
		return
	}
	u.log.Warn("crashed", "why", why, "next_start_in", wait)
	u.setState(protocol.StateBackoff, fmt.Sprintf("%s; next start in %v", why, wait))
	u.startTimer.Reset(wait)
}

// launch starts the process outside of operations.
func (u *unit) launch() {
	if err := u.start(u.startedFor); err != nil {
		u.crashed(err.Error())
		return
	}
	u.log.Info("started", "pid", u.currentView().pid)
	u.checkTimer.Reset(upPollInterval)
}

// start starts a process with a new token, which contains the order that it is started for, or the
// latest such order. The run file thus identifies the order even if the record is restored from a
// state before it. by is "" if there was none.
func (u *unit) start(by string) error {
	u.startTimer.Stop()
	token := rand.Text()
	if u.startedFor = by; by != "" {
		token = by + orderSeparator + token
	}
	def, err := u.desiredSpec()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	p, pid, err := u.agent.runner.Start(def, token)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	u.setProcess(p, token, pid)
	u.tracker.RecordStart(time.Now())
	u.setState(protocol.StateRunning, "")
	u.wakeFleetBans()
	return nil
}

// desiredSpec returns the instance's definition with the currently desired program.
func (u *unit) desiredSpec() (instance.Spec, error) {
	u.agent.mu.RLock()
	kept, _ := u.agent.book.Instance(u.def.Name)
	u.agent.mu.RUnlock()
	def := u.def
	command, err := u.agent.programCommand(kept.Program)
	if command != nil {
		def.Program = command
	}
	return def, err
}

// awaitUp waits until /up answers 200, the process ends, or the time limit is over.
func (u *unit) awaitUp(ctx context.Context) error {
	limit := u.agent.cfg.Wait.Up.Duration
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	every := time.NewTicker(upPollInterval)
	defer every.Stop()
	for {
		if u.agent.runner.Up(ctx, u.def) {
			u.setState(protocol.StateUp, "")
			u.checkTimer.Reset(steadyCheckInterval)
			return nil
		}
		select {
		case <-every.C:
		case <-u.process.Done():
			return fmt.Errorf("exited before it served: %s", u.process.State())
		case <-timeout.C:
			return fmt.Errorf("does not serve within %v", limit)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ---- operations

// errAgentEnding means that the agent exits during an operation, which the next agent
// resumes.
var errAgentEnding = errors.New("the agent is shutting down")

// perform executes an operation. Each part first checks the actual state, so that an
// operation can be resumed after the agent has died at any point.
func (u *unit) perform(ctx context.Context, op *protocol.Operation) {
	if op.Kind != protocol.Reload {
		u.tracker.Reset()
		u.startTimer.Stop()
	}
	u.log.Info("operation begins", "kind", op.Kind, "command", op.Command, "operator", op.Operator)
	var warning error
	err := u.resolveUnknown()
	if err == nil {
		switch op.Kind {
		case protocol.Drain:
			warning, err = u.stop(ctx, op)
		case protocol.Start:
			err = u.ensureUp(ctx, op)
		case protocol.Restart, protocol.Upgrade:
			// Only the process that ran when the operation began is replaced; any other
			// one was already started by it.
			if u.process != nil && u.token == u.agent.tokenAtBegin(op) && u.startedFor != op.Command {
				warning, err = u.stop(ctx, op)
			}
			if err == nil {
				err = u.ensureUp(ctx, op)
			}
		case protocol.Reload:
			err = u.reload(ctx, op)
		}
	}
	if err == nil {
		err = warning
	}
	state, reason := protocol.Done, ""
	var refused *protocol.Error
	switch {
	case err == nil:
	case ctx.Err() != nil || errors.Is(err, errAgentEnding):
		return
	case errors.As(err, &refused) && (refused.Code == protocol.CodeRecord || refused.Code == protocol.CodeFenced):
		state, reason = protocol.Interrupted, err.Error()
	default:
		state, reason = protocol.Failed, err.Error()
	}
	u.log.Info("operation ended", "kind", op.Kind, "command", op.Command, "state", state, "reason", reason)
	u.agent.endOperation(op, state, reason)
	if _, may := u.agent.startDelay(u.def.Name); u.process == nil && may && u.currentView().state != protocol.StateUnknown {
		u.crashed(reason)
	}
}

// resolveUnknown tries again to adopt a process that could not be identified.
func (u *unit) resolveUnknown() error {
	if u.currentView().state != protocol.StateUnknown {
		return nil
	}
	p, token, pid, err := u.agent.runner.Adopt(u.def)
	if err != nil {
		return err
	}
	if p == nil {
		u.setState(protocol.StateDown, "")
	} else {
		u.setProcess(p, token, pid)
		u.setState(protocol.StateRunning, "adopted")
	}
	return nil
}

// stop drains the process. If it does not end in time it is killed, which loses its
// requests; the warning says so.
func (u *unit) stop(ctx context.Context, op *protocol.Operation) (warning, err error) {
	if u.process == nil {
		u.setState(protocol.StateDown, "")
		return nil, u.agent.recordStep(op, "exited", "it did not run")
	}
	if err := u.agent.recordStep(op, "term", fmt.Sprintf("pid %d", u.currentView().pid)); err != nil {
		return nil, err
	}
	u.setState(protocol.StateStopping, "")
	if err := u.process.Signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	limit := u.agent.cfg.Wait.Stop.Duration
	if !u.waitEnded(ctx, limit) {
		if ctx.Err() != nil {
			return nil, errAgentEnding
		}
		if err := u.agent.recordStep(op, "kill", fmt.Sprintf("not ended %v after SIGTERM", limit)); err != nil {
			return nil, err
		}
		if err := u.process.Signal(syscall.SIGKILL); err != nil {
			return nil, err
		}
		if !u.waitEnded(ctx, killTimeout) {
			return nil, fmt.Errorf("not ended %v after SIGKILL", killTimeout)
		}
		warning = fmt.Errorf("not ended %v after SIGTERM, so it was killed: the requests that it held are lost", limit)
	}
	state := u.process.State()
	u.releaseProcess()
	u.setState(protocol.StateDown, "")
	return warning, u.agent.recordStep(op, "exited", state)
}

func (u *unit) waitEnded(ctx context.Context, within time.Duration) bool {
	limit := time.NewTimer(within)
	defer limit.Stop()
	select {
	case <-u.process.Done():
		return true
	case <-limit.C:
	case <-ctx.Done():
	}
	return false
}

// ensureUp starts a process if none runs, and waits until it serves.
func (u *unit) ensureUp(ctx context.Context, op *protocol.Operation) error {
	if u.process != nil {
		select {
		case <-u.process.Done(): // it ended earlier in the operation
			u.releaseProcess()
		default:
		}
	}
	if u.process == nil {
		if err := u.agent.recordStep(op, "launch", ""); err != nil {
			return err
		}
		if err := u.start(op.Command); err != nil {
			return err
		}
	}
	if err := u.agent.recordStep(op, "started", fmt.Sprintf("pid %d", u.currentView().pid)); err != nil {
		return err
	}
	err := u.awaitUp(ctx)
	if err != nil && ctx.Err() == nil {
		select {
		case <-u.process.Done():
			u.releaseProcess()
		default:
			u.setState(protocol.StateRunning, err.Error())
			u.checkTimer.Reset(checkInterval)
		}
	}
	return err
}

// reload sends SIGHUP. The result of the reload is known only if the instance has a
// control socket.
func (u *unit) reload(ctx context.Context, op *protocol.Operation) error {
	if u.process == nil {
		return errors.New("it does not run")
	}
	before := -1
	if u.def.Control != "" {
		i, err := u.inspect(ctx)
		if err != nil {
			return err
		}
		before = i.Reloads
	}
	if err := u.agent.recordStep(op, "hup", fmt.Sprintf("pid %d", u.currentView().pid)); err != nil {
		return err
	}
	if err := u.process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if before < 0 {
		return u.agent.recordStep(op, "signalled", "without a control socket the result is unknown")
	}
	limit := time.Now().Add(u.agent.cfg.Wait.Up.Duration)
	every := time.NewTicker(upPollInterval)
	defer every.Stop()
	for {
		i, err := u.inspect(ctx)
		switch {
		case err == nil && i.Reloads > before && i.ReloadError != "":
			return fmt.Errorf("the instance keeps its old configuration: %s", i.ReloadError)
		case err == nil && i.Reloads > before:
			return u.agent.recordStep(op, "reloaded", "")
		case time.Now().After(limit):
			return fmt.Errorf("no reload within %v of SIGHUP", u.agent.cfg.Wait.Up.Duration)
		}
		select {
		case <-every.C:
		case <-u.process.Done():
			state := u.process.State()
			u.releaseProcess()
			return fmt.Errorf("exited during the reload: %s", state)
		case <-ctx.Done():
			return errAgentEnding
		}
	}
}

func (u *unit) inspect(ctx context.Context) (control.Inspection, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	return u.agent.runner.Inspect(ctx, u.def)
}
