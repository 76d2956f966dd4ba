package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin"
	"otterstep/internal/standin/faults"
)

const (
	// recoveryTimeout bounds the time in which a fleet has to settle once all faults have ended, and jobTimeout is
	// added for each rollout that was submitted. Both allow for many fleets at once on one machine.
	recoveryTimeout = time.Minute
	jobTimeout      = 20 * time.Second
	requestTimeout  = 2 * time.Second
	pollInterval    = 50 * time.Millisecond
)

// FaultRun is the result of running a schedule of faults.
type FaultRun struct {
	Seed         uint64
	Schedule     faults.Schedule
	Failed       []string // violations
	Jobs         int
	OwnerChanges int           // changes of the owner
	RecoveryTime time.Duration // from the end of the last fault until all jobs had ended
	Effects      int
	Fenced       int // operations rejected because of a newer token
	MaxDown      int // most instances down at once
	StateLosses  int // losses of agents' persistent state
	Drained      string
	// Versions counts the changes of the desired state, NodeProcesses the node processes that ran.
	Versions, NodeProcesses int
	// Served and Unserved count client requests.
	Served, Unserved int
}

// String summarizes a run.
func (r FaultRun) String() string {
	lost := ""
	if r.StateLosses > 0 {
		lost = fmt.Sprintf(", %d losses of state", r.StateLosses)
	}
	if r.Versions > 0 {
		return fmt.Sprintf("%d faults, %d changes of the desired state, %d node processes", len(r.Schedule), r.Versions, r.NodeProcesses)
	}
	return fmt.Sprintf("%d faults%s, %d jobs, %d effects, %d operations fenced, %d changes of owner, at most %d down, %d requests served, %d not",
		len(r.Schedule), lost, r.Jobs, r.Effects, r.Fenced, r.OwnerChanges, r.MaxDown, r.Served, r.Unserved)
}

// Add adds the counts of another run.
func (r *FaultRun) Add(o FaultRun) {
	r.Schedule = append(r.Schedule, o.Schedule...)
	r.StateLosses += o.StateLosses
	r.Jobs += o.Jobs
	r.OwnerChanges += o.OwnerChanges
	r.Effects += o.Effects
	r.Fenced += o.Fenced
	r.MaxDown = max(r.MaxDown, o.MaxDown)
	r.Versions += o.Versions
	r.NodeProcesses += o.NodeProcesses
	r.Served += o.Served
	r.Unserved += o.Unserved
}

// Campaign configures the generation of fault schedules.
type Campaign struct {
	Faults         int
	MaxUnavailable int // max. unavailable instances per job
	// Losses adds losses of agents' persistent state. One instance of the fleet is drained first, and must never start
	// again.
	Losses bool
	// DesiredState replaces jobs by operators' changes of the desired state, with faults between operators and nodes.
	DesiredState bool
}

// RunFaults runs the fault schedule of a seed on a new fleet and checks the records and logs of the processes.
func RunFaults(ctx context.Context, opt Options, seed uint64, c Campaign) (FaultRun, error) {
	opt.Seed = seed
	run := FaultRun{Seed: seed}
	var words *stateObserver
	if c.DesiredState {
		opt.DesiredStateWait, opt.Boxes, opt.Rate = opt.Council.Lease, desiredStateBoxes, 0 // no clients: their requests fail when a node is killed
		words = newStateObserver(&opt)
		run.Schedule = faults.DrawBans(seed, opt.Agents, opt.Instances, opt.Boxes, c.Faults, opt.Council.Lease)
	} else {
		run.Schedule = faults.Draw(seed, opt.Agents, c.Faults, opt.Council.Lease, c.Losses)
	}
	l, err := New(ctx, opt)
	if err != nil {
		return run, err
	}
	defer l.Close()
	p := &faultRunner{lab: l, run: &run, maxUnavailable: c.MaxUnavailable, orders: make([]faults.Instructions, opt.Agents), powerCuts: make([]int, opt.Agents), stateLosses: make([]int, opt.Agents), restoredOld: make([]bool, opt.Agents), observer: words}
	if err := p.waitForCouncil(ctx); err != nil {
		return run, err
	}
	if words != nil {
		words.start(l)
		defer words.close()
		if err := words.waitForServerCount(ctx); err != nil {
			return run, err
		}
	}
	if c.Losses {
		if err := p.drainLast(ctx); err != nil {
			return run, err
		}
	}
	for i, f := range run.Schedule {
		if err := p.inject(ctx, i, f); err != nil {
			return run, fmt.Errorf("lab: fault %d, %v: %w", i, f, err)
		}
	}
	last := time.Now()
	for _, h := range p.pendingHeals { // faults that have not ended yet
		if h.at.After(last) {
			last = h.at
		}
	}
	if err := p.runUntil(ctx, last); err != nil {
		return run, err
	}
	if err := p.healAll(); err != nil {
		return run, err
	}
	if words != nil {
		return run, p.checkDesiredState(ctx)
	}
	return run, p.checkJobs(ctx)
}

// faultRunner runs one schedule.
type faultRunner struct {
	lab            *Lab
	run            *FaultRun
	maxUnavailable int
	orders         []faults.Instructions
	powerCuts      []int // by agent: power cuts
	stateLosses    []int // by agent: losses of state other than the copy or the council store
	restoredOld    []bool
	jobs           []string
	pendingHeals   []heal         // faults that end later
	observer       *stateObserver // nil if the schedule has no changes of the desired state
}

// heal is the end of a fault.
type heal struct {
	at time.Time
	do func() error
}

// waitForCouncil waits until all voters are leader or follower.
func (p *faultRunner) waitForCouncil(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		voters, _ := p.lab.Fleet.Voters(limit)
		voting := 0
		for _, s := range voters {
			if s.State == duty.Leader || s.State == duty.Follower {
				voting++
			}
		}
		if voting == p.lab.opt.Council.Voters {
			return nil
		}
		select {
		case <-limit.Done():
			return fmt.Errorf("lab: only %d of %d voters are leader or follower: %w", voting, p.lab.opt.Council.Voters, limit.Err())
		case <-time.After(pollInterval):
		}
	}
}

// drainLast takes a snapshot of all agents' state, drains the last instance and waits until the council knows.
func (p *faultRunner) drainLast(ctx context.Context) error {
	l := p.lab
	limit, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for n := range p.orders {
		if err := l.SnapshotState(n); err != nil {
			return err
		}
	}
	last := l.Instances[len(l.Instances)-1]
	p.run.Drained = last.Agent + "/" + last.Name
	if _, err := l.Fleet.Execute(limit, group.Order{Plan: group.Plan{Kind: protocol.Drain}, Select: group.Selector{Names: []string{last.Name}}}); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	for {
		a, err := l.Fleet.CouncilSubmit(limit, duty.Command{Report: &duty.Report{Agent: last.Agent, StateDirID: "campaign", QueryOnly: true}})
		if err == nil && a.ReportAnswer.Known && !a.ReportAnswer.Instances[last.Name].Up {
			return nil
		}
		select {
		case <-limit.Done():
			return fmt.Errorf("lab: council has not recorded the drain: %w", limit.Err())
		case <-time.After(pollInterval):
		}
	}
}

// runUntil waits until a time and ends the faults that end before it.
func (p *faultRunner) runUntil(ctx context.Context, at time.Time) error {
	for {
		next, due := at, -1
		for i, h := range p.pendingHeals {
			if !h.at.After(next) {
				next, due = h.at, i
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(next)):
		}
		if due < 0 {
			return nil
		}
		h := p.pendingHeals[due]
		p.pendingHeals = slices.Delete(p.pendingHeals, due, due+1)
		if err := h.do(); err != nil {
			return err
		}
	}
}

func (p *faultRunner) scheduleHeal(d time.Duration, do func() error) {
	p.pendingHeals = append(p.pendingHeals, heal{time.Now().Add(d), do})
}

// changeOrders changes the orders of an agent.
func (p *faultRunner) changeOrders(n int, change func(o *faults.Instructions)) error {
	change(&p.orders[n])
	return p.lab.SetOrders(agentName(n), p.orders[n])
}

// startAgent starts an agent unless it is running.
func (p *faultRunner) startAgent(n int) error {
	p.lab.reapAgent(n) // an agent whose disk failed at its start has exited
	if p.lab.agents[n] != nil {
		return nil
	}
	return p.lab.StartAgent(n, false)
}

func (p *faultRunner) inject(ctx context.Context, i int, f faults.Fault) error {
	if err := p.runUntil(ctx, time.Now().Add(f.After)); err != nil {
		return err
	}
	l := p.lab
	if p.observer != nil {
		if heal, mine := p.observer.inject(ctx, f); heal != nil {
			p.scheduleHeal(f.For, heal)
			return nil
		} else if mine {
			return nil
		}
	}
	relay := l.Relay(agentName(f.Agent), agentName(f.Other))
	restoreRelay := func() error { relay.Set(faults.Pass, faults.Pass); return nil }
	switch f.Kind {
	case faults.Kill:
		l.KillAgent(f.Agent)
		p.scheduleHeal(f.For, func() error { return p.startAgent(f.Agent) })
	case faults.Stop:
		if err := l.SignalAgent(f.Agent, syscall.SIGSTOP); err != nil {
			return nil // the agent is down
		}
		p.scheduleHeal(f.For, func() error { p.resumeAgent(f.Agent); return nil })
	case faults.KillAt, faults.StopAt:
		signal := syscall.SIGKILL
		if f.Kind == faults.StopAt {
			signal = syscall.SIGSTOP
		}
		once := filepath.Join(l.opt.Dir, fmt.Sprint("once", i))
		for n := range p.orders {
			if err := p.changeOrders(n, func(o *faults.Instructions) { o.At, o.Signal, o.Once = f.Step, signal, once }); err != nil {
				return err
			}
		}
		p.scheduleHeal(f.For, func() error {
			for n := range p.orders {
				if err := p.changeOrders(n, func(o *faults.Instructions) { o.At, o.Signal = "", 0 }); err != nil {
					return err
				}
			}
			return p.reviveAtStep(once)
		})
	case faults.CutOff:
		l.Isolate(true, agentName(f.Agent))
		p.scheduleHeal(f.For, func() error { l.Isolate(false, agentName(f.Agent)); return nil })
	case faults.CutWay:
		if f.Back {
			relay.Set(faults.Pass, faults.Cut)
		} else {
			relay.Set(faults.Cut, faults.Pass)
		}
		p.scheduleHeal(f.For, restoreRelay)
	case faults.HoldWay:
		relay.HoldOnly("/run/")
		p.scheduleHeal(f.For, restoreRelay)
	case faults.HoldBans:
		relay.HoldOnly("/fleet")
		p.scheduleHeal(f.For, restoreRelay)
	case faults.ResetWay:
		relay.Set(faults.Reset, faults.Reset)
		p.scheduleHeal(f.For, restoreRelay)
	case faults.DelayAll:
		p.delayRelays(f.For / 10)
		p.scheduleHeal(f.For, func() error { p.delayRelays(0); return nil })
	case faults.DiskFails:
		if err := p.changeOrders(f.Agent, func(o *faults.Instructions) { o.Disk = "write: input/output error" }); err != nil {
			return err
		}
		p.scheduleHeal(f.For, func() error { return p.changeOrders(f.Agent, func(o *faults.Instructions) { o.Disk = "" }) })
	case faults.DiskSlow:
		if err := p.changeOrders(f.Agent, func(o *faults.Instructions) { o.Slow = f.For / 4 }); err != nil {
			return err
		}
		p.scheduleHeal(f.For, func() error { return p.changeOrders(f.Agent, func(o *faults.Instructions) { o.Slow = 0 }) })
	case faults.ClockRate:
		return p.changeOrders(f.Agent, func(o *faults.Instructions) { o.Rate = f.Rate })
	case faults.ClockJump:
		return p.changeOrders(f.Agent, func(o *faults.Instructions) { o.Jump += f.Jump })
	case faults.Lose, faults.PowerCut:
		if f.Kind == faults.PowerCut {
			l.KillMachine(f.Agent)
			p.powerCuts[f.Agent]++
		} else {
			l.KillAgent(f.Agent)
		}
		p.run.StateLosses++
		p.restoredOld[f.Agent] = p.restoredOld[f.Agent] || f.Loss == faults.OldRecordAndCopy
		if f.Loss != faults.Nothing && f.Loss != faults.Copy && f.Loss != faults.Store {
			p.stateLosses[f.Agent]++
		}
		if err := l.LoseState(f.Agent, f.Loss); err != nil {
			return err
		}
		p.scheduleHeal(f.For, func() error { return p.startAgent(f.Agent) })
	case faults.Submit:
		p.submitRollout(ctx, f)
	case faults.Cancel, faults.Pause:
		if len(p.jobs) == 0 {
			return nil
		}
		id, to := p.jobs[len(p.jobs)-1], duty.Cancelled
		if f.Kind == faults.Pause {
			to = duty.Paused
			p.scheduleHeal(f.For, func() error { p.setJobState(ctx, id, duty.Active); return nil })
		}
		p.setJobState(ctx, id, to)
	}
	return nil
}

// setJobState changes the state of a job as an operator does. It has no effect while the council is unavailable.
func (p *faultRunner) setJobState(ctx context.Context, id, to string) {
	limit, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, _ = p.lab.Fleet.CouncilSubmit(limit, duty.Command{SetJobState: &duty.SetJobState{Job: id, State: to, By: "campaign"}})
}

// submitRollout submits a restart of all instances. If no answer arrives, the job may exist or not.
func (p *faultRunner) submitRollout(ctx context.Context, f faults.Fault) {
	id := protocol.NewID(time.Now(), p.run.Seed<<8|uint64(len(p.jobs)))
	limit, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	o := group.Order{ID: id, Plan: group.Plan{Kind: protocol.Restart, MaxUnavailable: p.maxUnavailable}, Select: group.Selector{Names: []string{"all"}}}
	if _, _, err := p.lab.Fleet.Submit(limit, o); err == nil {
		p.jobs = append(p.jobs, id)
	}
}

func (p *faultRunner) delayRelays(d time.Duration) {
	for _, r := range p.lab.relays {
		r.Delay(d)
	}
}

func (p *faultRunner) resumeAgent(n int) {
	_ = p.lab.SignalAgent(n, syscall.SIGCONT) // fails if the agent was killed meanwhile
}

// reviveAtStep resumes or restarts the agent that reached the step at which it had orders to stop or die. The agent
// has written its process ID to the file named once.
func (p *faultRunner) reviveAtStep(once string) error {
	text, err := os.ReadFile(once)
	if err != nil {
		return nil // no agent reached the step
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return nil // killed while writing the file; healAll restarts it
	}
	for n := range p.orders {
		if p.lab.AgentPid(n) == pid {
			p.lab.reapAgent(n)
			p.resumeAgent(n)
			return p.startAgent(n)
		}
	}
	return nil
}

// healAll ends all faults, except that clocks keep their rate and offset.
func (p *faultRunner) healAll() error {
	for _, r := range p.lab.relays {
		r.Set(faults.Pass, faults.Pass)
		r.Delay(0)
	}
	if p.observer != nil {
		p.observer.resumeNodes()
	}
	for n := range p.orders {
		if err := p.changeOrders(n, func(o *faults.Instructions) { *o = faults.Instructions{Rate: o.Rate, Jump: o.Jump} }); err != nil {
			return err
		}
		p.lab.reapAgent(n)
		p.resumeAgent(n)
		if err := p.startAgent(n); err != nil {
			return err
		}
	}
	return nil
}

// checkJobs waits until all jobs have ended, and then checks the records and logs.
func (p *faultRunner) checkJobs(ctx context.Context) error {
	began := time.Now()
	within := recoveryTimeout + time.Duration(len(p.jobs))*jobTimeout
	limit, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var jobs []*duty.Job
	failed := func(format string, args ...any) { p.run.Failed = append(p.run.Failed, fmt.Sprintf(format, args...)) }
	missing := ""
	for {
		v, err := p.lab.Fleet.View(limit)
		if ctx.Err() != nil {
			return ctx.Err() // interrupted: no violation of the fleet
		}
		if limit.Err() != nil {
			failed("not settled %v after the last fault: %s", within, missing)
			break
		}
		missing = ""
		if err != nil || !v.Current {
			missing = fmt.Sprintf("no current answer from the council: %v", err)
		}
		for _, j := range v.Jobs {
			if j.State == duty.Paused && j.Intents() == 0 {
				p.setJobState(ctx, j.ID, duty.Active) // the scheduled resume was lost
			}
			if j.Open() || j.State == duty.Paused {
				missing = fmt.Sprintf("job %s is %s: %s %+v", j.ID, j.State, v.Messages[j.ID], j.Steps)
			}
		}
		if missing == "" {
			jobs = v.Jobs
			if len(v.Duties) > 0 {
				p.run.OwnerChanges = int(v.Duties[0].Token&(1<<protocol.EpochShift-1)) - 1
			}
			break
		}
		time.Sleep(pollInterval)
	}
	p.run.RecoveryTime, p.run.Jobs = time.Since(began), len(jobs)
	knownJobs := map[string]bool{}
	for _, j := range jobs {
		knownJobs[j.ID] = true
	}
	for _, id := range p.jobs {
		if !knownJobs[id] && len(jobs) > 0 {
			failed("job %s was acknowledged, but the council does not have it", id)
		}
	}
	if p.run.Drained != "" {
		if missing := p.waitForRecovery(limit); missing != "" {
			failed("%v after the last fault: %s", within, missing)
		}
	}
	files := p.lab.Files()
	files.Cuts, files.Restored = map[string]int{}, map[string]bool{}
	for n := range p.powerCuts {
		files.Cuts[agentName(n)], files.Restored[agentName(n)] = p.powerCuts[n], p.restoredOld[n]
	}
	verdict, err := faults.Check(files)
	if err != nil {
		return err
	}
	p.run.Failed = append(p.run.Failed, verdict.Violations...)
	p.run.Effects, p.run.Fenced, p.run.MaxDown = verdict.Effects, verdict.Fenced, verdict.MaxUnavailable
	if p.run.Drained != "" {
		p.run.MaxDown-- // the drained instance is always down
	}
	if p.run.MaxDown > p.maxUnavailable {
		failed("%d instances were unavailable at once, want at most %d", p.run.MaxDown, p.maxUnavailable)
	}
	for key, starts := range verdict.Starts {
		done, failures := 0, 0
		for _, j := range jobs {
			switch step, _ := j.Step(key); step.Phase {
			case duty.Done:
				done++
			case duty.Failed:
				failures++
			}
		}
		// If an agent lost its state during an order, an operator may have had the order repeated.
		cuts, lost := p.troublesOf(key)
		if starts < 1+done || starts > 1+done+failures+cuts+lost {
			failed("%s was started %d times: %d jobs restarted it, %d failed to, its machine had %d power cuts and lost its state %d times", key, starts, done, failures, cuts, lost)
		}
	}
	if p.run.Drained != "" {
		if n := verdict.Starts[p.run.Drained]; n != 1 {
			failed("%s was drained and started %d times since", p.run.Drained, n-1)
		}
	}
	if p.lab.Clients != nil {
		p.lab.StopClients()
		r := p.lab.Ledger.Report()
		for _, counts := range r.Counts {
			for outcome, n := range counts {
				if outcome == int(standin.Served) {
					p.run.Served += n
				} else {
					p.run.Unserved += n
				}
			}
		}
		for _, broken := range r.Descriptions {
			failed("%s", broken)
		}
	}
	return nil
}

// checkDesiredState waits until all nodes have confirmed the latest version, and then checks logs and observations.
func (p *faultRunner) checkDesiredState(ctx context.Context) error {
	began := time.Now()
	limit, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	state, missing := p.observer.waitForConvergence(limit)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.run.RecoveryTime = time.Since(began)
	if missing != "" {
		p.run.Failed = append(p.run.Failed, fmt.Sprintf("not settled %v after the last fault: %s", recoveryTimeout, missing))
	}
	p.observer.close()
	if state == nil {
		return nil
	}
	verdict, err := faults.Check(p.lab.Files())
	if err != nil {
		return err
	}
	broken, lives, err := p.observer.check(state)
	if err != nil {
		return err
	}
	p.run.Failed = append(append(p.run.Failed, verdict.Violations...), broken...)
	p.run.Versions, p.run.NodeProcesses = len(state.History), lives
	return nil
}

// troublesOf returns how often the machine of an instance had a power cut, and how often its agent lost its record or
// had an old one put back.
func (p *faultRunner) troublesOf(key string) (cuts, lost int) {
	agent, _, _ := strings.Cut(key, "/")
	for n := range p.powerCuts {
		if agentName(n) == agent {
			return p.powerCuts[n], p.stateLosses[n]
		}
	}
	return 0, 0
}

// waitForRecovery waits until all agents have recovered their state and hold no instance, all instances but the drained
// one are up, and all voters are leader or follower. It returns what is missing when ctx ends, "" otherwise.
func (p *faultRunner) waitForRecovery(ctx context.Context) string {
	for {
		missing := ""
		all, silent := p.lab.Fleet.Recoveries(ctx)
		if len(silent) > 0 {
			missing = fmt.Sprintf("%d agents did not answer", len(silent))
		}
		for _, r := range all {
			if r.Forgetful || len(r.Held) > 0 {
				missing = fmt.Sprintf("agent %s: state lost %v, held instances %+v", r.Agent, r.Forgetful, r.Held)
			}
		}
		for _, r := range p.lab.Fleet.List(ctx).Rows {
			want := protocol.StateUp
			if r.Agent+"/"+r.Name == p.run.Drained {
				want = protocol.StateDown
			}
			if r.State != want {
				missing = fmt.Sprintf("%s is %s: %s", r.Name, r.State, r.Message)
			}
		}
		voters, _ := p.lab.Fleet.Voters(ctx)
		for _, s := range voters {
			if s.State != duty.Leader && s.State != duty.Follower {
				missing = fmt.Sprintf("voter %s is %s: %s", s.Agent, s.State, s.Reason)
			}
		}
		if missing == "" {
			return ""
		}
		select {
		case <-ctx.Done():
			return missing
		case <-time.After(pollInterval):
		}
	}
}
