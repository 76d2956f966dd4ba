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
	// healWithin is how long a healed fleet may take to come to rest, and jobWithin what each
	// rollout that it still has to carry out adds, with many fleets at once on one machine.
	healWithin = time.Minute
	jobWithin  = 20 * time.Second
	askWithin  = 2 * time.Second
	pollEvery  = 50 * time.Millisecond
)

// FaultRun is how a schedule of faults went.
type FaultRun struct {
	Seed     uint64
	Schedule faults.Schedule
	Failed   []string // what was broken
	Jobs     int
	Changes  int           // of owners
	Rest     time.Duration // from the last fault's end until all jobs were over
	Effects  int
	Fenced   int // operations that a newer token stopped
	Away     int // at most, at once
	Lost     int // memories
	Drained  string
	// Versions counts the changes of what the fleet should be, Lives the nodes' processes.
	Versions, Lives int
	// Served and Unserved are the clients' requests.
	Served, Unserved int
}

// String sums a run up.
func (r FaultRun) String() string {
	lost := ""
	if r.Lost > 0 {
		lost = fmt.Sprintf(", %d memories lost", r.Lost)
	}
	if r.Versions > 0 {
		return fmt.Sprintf("%d faults, %d changes of the fleet, %d processes of nodes", len(r.Schedule), r.Versions, r.Lives)
	}
	return fmt.Sprintf("%d faults%s, %d jobs, %d effects, %d stopped by a newer token, %d changes of owner, %d away at most, served %d, not %d",
		len(r.Schedule), lost, r.Jobs, r.Effects, r.Fenced, r.Changes, r.Away, r.Served, r.Unserved)
}

// Add adds another run's figures.
func (r *FaultRun) Add(o FaultRun) {
	r.Schedule = append(r.Schedule, o.Schedule...)
	r.Lost += o.Lost
	r.Jobs += o.Jobs
	r.Changes += o.Changes
	r.Effects += o.Effects
	r.Fenced += o.Fenced
	r.Away = max(r.Away, o.Away)
	r.Versions += o.Versions
	r.Lives += o.Lives
	r.Served += o.Served
	r.Unserved += o.Unserved
}

// Campaign says what schedules are drawn from.
type Campaign struct {
	Faults int
	Most   int // what each job may have away
	// Losses takes memories away too, from a fleet of which one instance was drained: it must
	// never start again.
	Losses bool
	// Words plays operators' changes of what the fleet should be in place of jobs, with faults between these and
	// the nodes.
	Words bool
}

// PlayFaults plays a seed's schedule on a fleet of its own and judges it by what the
// processes wrote down.
func PlayFaults(ctx context.Context, opt Options, seed uint64, c Campaign) (FaultRun, error) {
	opt.Seed = seed
	run := FaultRun{Seed: seed}
	var words *wordPlay
	if c.Words {
		opt.Fleet, opt.Boxes, opt.Rate = opt.Council.Lease, wordBoxes, 0 // nodes that are killed take clients' requests along
		words = watchWords(&opt)
		run.Schedule = faults.DrawWords(seed, opt.Agents, opt.Instances, opt.Boxes, c.Faults, opt.Council.Lease)
	} else {
		run.Schedule = faults.Draw(seed, opt.Agents, c.Faults, opt.Council.Lease, c.Losses)
	}
	l, err := New(ctx, opt)
	if err != nil {
		return run, err
	}
	defer l.Close()
	p := &faultPlayer{lab: l, run: &run, most: c.Most, orders: make([]faults.Orders, opt.Agents), killed: make([]int, opt.Agents), lost: make([]int, opt.Agents), old: make([]bool, opt.Agents), words: words}
	if err := p.whole(ctx); err != nil {
		return run, err
	}
	if words != nil {
		words.begin(l)
		defer words.end()
		if err := words.counted(ctx); err != nil {
			return run, err
		}
	}
	if c.Losses {
		if err := p.drain(ctx); err != nil {
			return run, err
		}
	}
	for i, f := range run.Schedule {
		if err := p.play(ctx, i, f); err != nil {
			return run, fmt.Errorf("lab: fault %d, %v: %w", i, f, err)
		}
	}
	last := time.Now()
	for _, h := range p.heals { // the rest of what was to pass by itself
		if h.at.After(last) {
			last = h.at
		}
	}
	if err := p.until(ctx, last); err != nil {
		return run, err
	}
	if err := p.heal(); err != nil {
		return run, err
	}
	if words != nil {
		return run, p.judgeWords(ctx)
	}
	return run, p.judge(ctx)
}

// faultPlayer plays one schedule.
type faultPlayer struct {
	lab    *Lab
	run    *FaultRun
	most   int
	orders []faults.Orders
	killed []int // how often each agent's instances were
	lost   []int // how often each agent's memory was taken away in part
	old    []bool
	jobs   []string
	heals  []heal    // by time
	words  *wordPlay // nil: none of the fleet's
}

// heal ends a fault.
type heal struct {
	at time.Time
	do func() error
}

// whole waits for the council.
func (p *faultPlayer) whole(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for {
		voters, _ := p.lab.Fleet.Voters(limit)
		votes := 0
		for _, s := range voters {
			if s.State == duty.Leader || s.State == duty.Follower {
				votes++
			}
		}
		if votes == p.lab.opt.Council.Voters {
			return nil
		}
		select {
		case <-limit.Done():
			return fmt.Errorf("lab: %d of %d voters: %w", votes, p.lab.opt.Council.Voters, limit.Err())
		case <-time.After(pollEvery):
		}
	}
}

// drain keeps all disks as they are and then drains the last instance, until the council knows.
func (p *faultPlayer) drain(ctx context.Context) error {
	l := p.lab
	limit, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for n := range p.orders {
		if err := l.KeepState(n); err != nil {
			return err
		}
	}
	last := l.Instances[len(l.Instances)-1]
	p.run.Drained = last.Agent + "/" + last.Name
	if _, err := l.Fleet.Give(limit, group.Order{Plan: group.Plan{Kind: protocol.Drain}, Select: group.Selector{Names: []string{last.Name}}}); err != nil {
		return fmt.Errorf("lab: %w", err)
	}
	for {
		a, err := l.Fleet.Do(limit, duty.Command{Report: &duty.Report{Agent: last.Agent, Folder: "campaign", Asks: true}})
		if err == nil && a.Told.Known && !a.Told.Instances[last.Name].Up {
			return nil
		}
		select {
		case <-limit.Done():
			return fmt.Errorf("lab: the council does not hear of a drain: %w", limit.Err())
		case <-time.After(pollEvery):
		}
	}
}

// until plays on to a time, ending the faults that end before it.
func (p *faultPlayer) until(ctx context.Context, at time.Time) error {
	for {
		next, due := at, -1
		for i, h := range p.heals {
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
		h := p.heals[due]
		p.heals = slices.Delete(p.heals, due, due+1)
		if err := h.do(); err != nil {
			return err
		}
	}
}

func (p *faultPlayer) after(d time.Duration, do func() error) {
	p.heals = append(p.heals, heal{time.Now().Add(d), do})
}

// order changes an agent's orders.
func (p *faultPlayer) order(n int, change func(o *faults.Orders)) error {
	change(&p.orders[n])
	return p.lab.Order(agentName(n), p.orders[n])
}

// start starts an agent that does not run.
func (p *faultPlayer) start(n int) error {
	p.lab.reap(n) // one that could not begin on its disk has ended
	if p.lab.agents[n] != nil {
		return nil
	}
	return p.lab.StartAgent(n, false)
}

func (p *faultPlayer) play(ctx context.Context, i int, f faults.Fault) error {
	if err := p.until(ctx, time.Now().Add(f.After)); err != nil {
		return err
	}
	l := p.lab
	if p.words != nil {
		if heal, mine := p.words.play(ctx, f); heal != nil {
			p.after(f.For, heal)
			return nil
		} else if mine {
			return nil
		}
	}
	way := l.Relay(agentName(f.Agent), agentName(f.Other))
	pass := func() error { way.Set(faults.Pass, faults.Pass); return nil }
	switch f.Kind {
	case faults.Kill:
		l.KillAgent(f.Agent)
		p.after(f.For, func() error { return p.start(f.Agent) })
	case faults.Stop:
		if err := l.SignalAgent(f.Agent, syscall.SIGSTOP); err != nil {
			return nil // it is down already
		}
		p.after(f.For, func() error { p.cont(f.Agent); return nil })
	case faults.KillAt, faults.StopAt:
		signal := syscall.SIGKILL
		if f.Kind == faults.StopAt {
			signal = syscall.SIGSTOP
		}
		once := filepath.Join(l.opt.Dir, fmt.Sprint("once", i))
		for n := range p.orders {
			if err := p.order(n, func(o *faults.Orders) { o.At, o.Signal, o.Once = f.Step, signal, once }); err != nil {
				return err
			}
		}
		p.after(f.For, func() error {
			for n := range p.orders {
				if err := p.order(n, func(o *faults.Orders) { o.At, o.Signal = "", 0 }); err != nil {
					return err
				}
			}
			return p.revive(once)
		})
	case faults.CutOff:
		l.Apart(true, agentName(f.Agent))
		p.after(f.For, func() error { l.Apart(false, agentName(f.Agent)); return nil })
	case faults.CutWay:
		if f.Back {
			way.Set(faults.Pass, faults.Cut)
		} else {
			way.Set(faults.Cut, faults.Pass)
		}
		p.after(f.For, pass)
	case faults.HoldWay:
		way.HoldOnly("/run/")
		p.after(f.For, pass)
	case faults.HoldWord:
		way.HoldOnly("/fleet")
		p.after(f.For, pass)
	case faults.ResetWay:
		way.Set(faults.Reset, faults.Reset)
		p.after(f.For, pass)
	case faults.DelayAll:
		p.delay(f.For / 10)
		p.after(f.For, func() error { p.delay(0); return nil })
	case faults.DiskFails:
		if err := p.order(f.Agent, func(o *faults.Orders) { o.Disk = "write: input/output error" }); err != nil {
			return err
		}
		p.after(f.For, func() error { return p.order(f.Agent, func(o *faults.Orders) { o.Disk = "" }) })
	case faults.DiskSlow:
		if err := p.order(f.Agent, func(o *faults.Orders) { o.Slow = f.For / 4 }); err != nil {
			return err
		}
		p.after(f.For, func() error { return p.order(f.Agent, func(o *faults.Orders) { o.Slow = 0 }) })
	case faults.ClockRate:
		return p.order(f.Agent, func(o *faults.Orders) { o.Rate = f.Rate })
	case faults.ClockJump:
		return p.order(f.Agent, func(o *faults.Orders) { o.Jump += f.Jump })
	case faults.Lose, faults.PowerCut:
		if f.Kind == faults.PowerCut {
			l.KillMachine(f.Agent)
			p.killed[f.Agent]++
		} else {
			l.KillAgent(f.Agent)
		}
		p.run.Lost++
		p.old[f.Agent] = p.old[f.Agent] || f.What == faults.OldMemory
		if f.What != faults.Nothing && f.What != faults.Copy && f.What != faults.Store {
			p.lost[f.Agent]++
		}
		if err := l.Lose(f.Agent, f.What); err != nil {
			return err
		}
		p.after(f.For, func() error { return p.start(f.Agent) })
	case faults.Submit:
		p.submit(ctx, f)
	case faults.Cancel, faults.Pause:
		if len(p.jobs) == 0 {
			return nil
		}
		id, to := p.jobs[len(p.jobs)-1], duty.Cancelled
		if f.Kind == faults.Pause {
			to = duty.Paused
			p.after(f.For, func() error { p.turn(ctx, id, duty.Active); return nil })
		}
		p.turn(ctx, id, to)
	}
	return nil
}

// turn says an operator's word; without a council nobody hears it.
func (p *faultPlayer) turn(ctx context.Context, id, to string) {
	limit, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	_, _ = p.lab.Fleet.Do(limit, duty.Command{Turn: &duty.Turn{Job: id, To: to, By: "campaign"}})
}

// submit hands in a rollout of all; one of which no answer comes may be a job or not.
func (p *faultPlayer) submit(ctx context.Context, f faults.Fault) {
	id := protocol.NewID(time.Now(), p.run.Seed<<8|uint64(len(p.jobs)))
	limit, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	o := group.Order{ID: id, Plan: group.Plan{Kind: protocol.Restart, MaxUnavailable: p.most}, Select: group.Selector{Names: []string{"all"}}}
	if _, _, err := p.lab.Fleet.Submit(limit, o); err == nil {
		p.jobs = append(p.jobs, id)
	}
}

func (p *faultPlayer) delay(d time.Duration) {
	for _, r := range p.lab.relays {
		r.Delay(d)
	}
}

func (p *faultPlayer) cont(n int) {
	_ = p.lab.SignalAgent(n, syscall.SIGCONT) // it may have been killed meanwhile
}

// revive brings back whoever came to a step and did there what it was ordered.
func (p *faultPlayer) revive(once string) error {
	text, err := os.ReadFile(once)
	if err != nil {
		return nil // nobody came to it
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return nil // killed while it wrote: heal finds it
	}
	for n := range p.orders {
		if p.lab.AgentPid(n) == pid {
			p.lab.reap(n)
			p.cont(n)
			return p.start(n)
		}
	}
	return nil
}

// heal ends every fault; clocks keep the rate that they have.
func (p *faultPlayer) heal() error {
	for _, r := range p.lab.relays {
		r.Set(faults.Pass, faults.Pass)
		r.Delay(0)
	}
	if p.words != nil {
		p.words.heal()
	}
	for n := range p.orders {
		if err := p.order(n, func(o *faults.Orders) { *o = faults.Orders{Rate: o.Rate, Jump: o.Jump} }); err != nil {
			return err
		}
		p.lab.reap(n)
		p.cont(n)
		if err := p.start(n); err != nil {
			return err
		}
	}
	return nil
}

// judge waits until all jobs are over, and then reads what was written.
func (p *faultPlayer) judge(ctx context.Context) error {
	began := time.Now()
	within := healWithin + time.Duration(len(p.jobs))*jobWithin
	limit, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var jobs []*duty.Job
	failed := func(format string, args ...any) { p.run.Failed = append(p.run.Failed, fmt.Sprintf(format, args...)) }
	open := ""
	for {
		v, err := p.lab.Fleet.View(limit)
		if ctx.Err() != nil {
			return ctx.Err() // interrupted, which says nothing of the fleet
		}
		if limit.Err() != nil {
			failed("not at rest %v after the last fault: %s", within, open)
			break
		}
		open = ""
		if err != nil || !v.Current {
			open = fmt.Sprintf("the council has no current word: %v", err)
		}
		for _, j := range v.Jobs {
			if j.State == duty.Paused && j.Intents() == 0 {
				p.turn(ctx, j.ID, duty.Active) // its own resume was not heard
			}
			if j.Open() || j.State == duty.Paused {
				open = fmt.Sprintf("job %s is %s: %s %+v", j.ID, j.State, v.Says[j.ID], j.Steps)
			}
		}
		if open == "" {
			jobs = v.Jobs
			if len(v.Duties) > 0 {
				p.run.Changes = int(v.Duties[0].Token&(1<<protocol.EpochShift-1)) - 1
			}
			break
		}
		time.Sleep(pollEvery)
	}
	p.run.Rest, p.run.Jobs = time.Since(began), len(jobs)
	known := map[string]bool{}
	for _, j := range jobs {
		known[j.ID] = true
	}
	for _, id := range p.jobs {
		if !known[id] && len(jobs) > 0 {
			failed("job %s was acknowledged and is lost", id)
		}
	}
	if p.run.Drained != "" {
		if open := p.again(limit); open != "" {
			failed("%v after the last fault: %s", within, open)
		}
	}
	files := p.lab.Files()
	files.Cuts, files.PutBack = map[string]int{}, map[string]bool{}
	for n := range p.killed {
		files.Cuts[agentName(n)], files.PutBack[agentName(n)] = p.killed[n], p.old[n]
	}
	verdict, err := faults.Check(files)
	if err != nil {
		return err
	}
	p.run.Failed = append(p.run.Failed, verdict.Broken...)
	p.run.Effects, p.run.Fenced, p.run.Away = verdict.Effects, verdict.Fenced, verdict.Away
	if p.run.Drained != "" {
		p.run.Away-- // the drained one, all the time
	}
	if p.run.Away > p.most {
		failed("%d instances were away at once, at most %d may be", p.run.Away, p.most)
	}
	for key, starts := range verdict.Starts {
		done, unsure := 0, 0
		for _, j := range jobs {
			switch step, _ := j.Step(key); step.Phase {
			case duty.Done:
				done++
			case duty.Failed:
				unsure++
			}
		}
		// An agent that lost its memory in mid-order may have been told by an operator to try again.
		cuts, lost := p.troubles(key)
		if starts < 1+done || starts > 1+done+unsure+cuts+lost {
			failed("%s was started %d times: %d jobs say that they restarted it, %d that they failed to, its machine had %d power cuts and lost its memory %d times", key, starts, done, unsure, cuts, lost)
		}
	}
	if p.run.Drained != "" {
		if n := verdict.Starts[p.run.Drained]; n != 1 {
			failed("%s was drained and started %d times since", p.run.Drained, n-1)
		}
	}
	if p.lab.Clients != nil {
		p.lab.Unload()
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
		for _, broken := range r.Words {
			failed("%s", broken)
		}
	}
	return nil
}

// judgeWords waits until every node has confirmed the latest version, and then reads what was written.
func (p *faultPlayer) judgeWords(ctx context.Context) error {
	began := time.Now()
	limit, cancel := context.WithTimeout(ctx, healWithin)
	defer cancel()
	state, open := p.words.rest(limit)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.run.Rest = time.Since(began)
	if open != "" {
		p.run.Failed = append(p.run.Failed, fmt.Sprintf("not at rest %v after the last fault: %s", healWithin, open))
	}
	p.words.end()
	if state == nil {
		return nil
	}
	verdict, err := faults.Check(p.lab.Files())
	if err != nil {
		return err
	}
	broken, lives, err := p.words.judge(state)
	if err != nil {
		return err
	}
	p.run.Failed = append(append(p.run.Failed, verdict.Broken...), broken...)
	p.run.Versions, p.run.Lives = len(state.History), lives
	return nil
}

// troubles tells how often an instance was killed with its machine, and how often its agent lost
// what it knew of orders.
func (p *faultPlayer) troubles(key string) (cuts, lost int) {
	agent, _, _ := strings.Cut(key, "/")
	for n := range p.killed {
		if agentName(n) == agent {
			return p.killed[n], p.lost[n]
		}
	}
	return 0, 0
}

// again waits until nothing is held or forgotten, all but the drained instance are up and the
// council is whole; it tells what is not.
func (p *faultPlayer) again(ctx context.Context) string {
	for {
		open := ""
		all, silent := p.lab.Fleet.Recoveries(ctx)
		if len(silent) > 0 {
			open = fmt.Sprintf("%d agents are silent", len(silent))
		}
		for _, r := range all {
			if r.Forgetful || len(r.Held) > 0 {
				open = fmt.Sprintf("%s: forgetful %v, holds %+v", r.Agent, r.Forgetful, r.Held)
			}
		}
		for _, r := range p.lab.Fleet.List(ctx).Rows {
			want := protocol.StateUp
			if r.Agent+"/"+r.Name == p.run.Drained {
				want = protocol.StateDown
			}
			if r.State != want {
				open = fmt.Sprintf("%s is %s: %s", r.Name, r.State, r.Message)
			}
		}
		voters, _ := p.lab.Fleet.Voters(ctx)
		for _, s := range voters {
			if s.State != duty.Leader && s.State != duty.Follower {
				open = fmt.Sprintf("voter %s is %s: %s", s.Agent, s.State, s.Why)
			}
		}
		if open == "" {
			return ""
		}
		select {
		case <-ctx.Done():
			return open
		case <-time.After(pollEvery):
		}
	}
}
