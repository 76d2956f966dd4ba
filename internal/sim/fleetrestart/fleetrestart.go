// Package fleetrestart simulates in virtual time how a whole fleet restarts after all of its
// processes were killed and some of their persisted state was lost. The production code
// decides what an agent may start (packages recovery, pace and duty); machines, disks, links
// and discovery are modelled.
package fleetrestart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/recovery"
	"otterstep/internal/pace"
	"otterstep/internal/sim"
)

// The kinds of data loss.
const (
	Nothing          = "nothing"
	ThirdOfRecords   = "a-third"  // the records of a third of the agents
	Records          = "records"  // all records
	RecordsAndCopies = "memories" // all records and their copies
	RestoredDisks    = "old"      // all records and copies are restored from before the latest changes
	Mixed            = "mixed"    // each agent draws one of nothing, records, memories and old
)

// Losses lists the kinds of data loss.
var Losses = []string{Nothing, ThirdOfRecords, Records, RecordsAndCopies, RestoredDisks, Mixed}

// Options configure a simulated fleet restart.
type Options struct {
	Agents, Instances int
	Loss              string
	Changes           int // changes of the desired state by operators before the kill
	Pace              pace.Bound
	Within            time.Duration // agents start within this time
	Council           time.Duration // when the council begins to answer; negative: there is none
	DiscoveryDown     time.Duration // when discovery becomes available
	CallTime          time.Duration // duration of a discovery call; calls are handled one at a time
	Seed              uint64
	Limit             time.Duration // when the simulation ends
	// Naive makes agents use only their own records and treat a missing record as a first
	// start. This is the behaviour without recovery, for comparison.
	Naive bool
}

// Result is the result of a simulated fleet restart.
type Result struct {
	Half, Most, All time.Duration // until 50%, 90% and all of the instances to be started were up; 0: not within the limit
	Wrong           int           // instances started although the newest surviving state says down
	Held            int           // instances still undecided at the limit
	Late            int           // instances that should have been up at the limit and were not
	StartsMost      int           // most instance starts within 100 ms
	CallsMost       int           // most discovery calls within 100 ms
	Calls           int           // discovery calls in total
}

const (
	decideInterval  = 100 * time.Millisecond // interval of decisions, as in the agent
	councilRetry    = 200 * time.Millisecond // least retry delay to the council, randomized up to twice this, as in the agent
	callRetry       = 250 * time.Millisecond // least retry delay of a node's discovery call, randomized up to twice this
	maxCallWait     = 2 * time.Second        // longest queueing time of a discovery call
	maxCouncilDelay = 20 * time.Millisecond  // longest response time of the council
	maxStartTime    = 300 * time.Millisecond // longest start-up time of an instance
	rateWindow      = 100 * time.Millisecond // window for StartsMost and CallsMost
)

// desiredState is one source's desired state of an instance.
type desiredState struct {
	up         bool
	generation uint64
}

type instance struct {
	name     string
	agent    *agent
	record   *desiredState // the agent's record; nil: lost
	copy     *desiredState // the copy of the record; nil: lost
	expected desiredState  // the newest state that survives anywhere
	decided  bool
	up       bool
}

type agent struct {
	name         string
	memory       recovery.RecordState
	council      recovery.CouncilState
	councilKnows bool
	answerRank   int
	began        time.Duration
	turns        *pace.Schedule
	instances    []*instance
	councilState map[string]duty.Desired
}

type simulation struct {
	opt            Options
	engine         *sim.Engine
	rng            *rand.Rand
	state          *duty.State
	agents         []*agent
	wanted, up     int
	answeredAgents int // agents that the council has answered
	queuedCalls    int // discovery calls in the queue
	result         Result
	starts, calls  []time.Duration
}

// Simulate simulates one fleet restart.
func Simulate(opt Options) (Result, error) {
	if opt.Agents < 1 || opt.Instances < opt.Agents || !slices.Contains(Losses, opt.Loss) {
		return Result{}, fmt.Errorf("returns: invalid options: %d agents, %d instances, loss %q: want at least one agent, at least one instance per agent and a loss from %v", opt.Agents, opt.Instances, opt.Loss, Losses)
	}
	p := &simulation{opt: opt, engine: sim.NewEngine(0), rng: sim.Stream(opt.Seed, "returns"), state: duty.New()}
	if err := p.buildHistory(); err != nil {
		return Result{}, err
	}
	p.applyLoss()
	for _, a := range p.agents {
		p.engine.At(p.randUpTo(opt.Within), func() { p.startAgent(a) })
	}
	p.engine.Run(opt.Limit)
	for _, a := range p.agents {
		for _, i := range a.instances {
			switch {
			case !i.decided:
				p.result.Held++
			case i.expected.up && !i.up:
				p.result.Late++
			}
		}
	}
	p.result.Calls = len(p.calls)
	p.result.StartsMost, p.result.CallsMost = maxInWindow(p.starts), maxInWindow(p.calls)
	return p.result, nil
}

func (p *simulation) randUpTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(p.rng.Int64N(int64(d)))
}

// maxInWindow returns the largest number of the sorted times within any window of length rateWindow.
func maxInWindow(times []time.Duration) (n int) {
	from := 0
	for to := range times {
		for times[to]-times[from] > rateWindow {
			from++
		}
		n = max(n, to-from+1)
	}
	return n
}

// buildHistory builds the fleet's history: all instances are up, and then operators change some. A
// change takes effect after it is written to the record and its copy; recent changes may not
// have reached the council.
func (p *simulation) buildHistory() error {
	var all []*instance
	for n := range p.opt.Agents {
		a := &agent{name: fmt.Sprintf("m%d", n+1)}
		p.agents = append(p.agents, a)
	}
	for n := range p.opt.Instances {
		a := p.agents[n%p.opt.Agents]
		i := &instance{name: fmt.Sprintf("n%d", n+1), agent: a, record: &desiredState{true, 1}, copy: &desiredState{true, 1}}
		a.instances = append(a.instances, i)
		all = append(all, i)
	}
	for _, a := range p.agents {
		if err := p.report(a, false); err != nil {
			return err
		}
	}
	for range p.opt.Changes {
		i := all[p.rng.IntN(len(all))]
		next := desiredState{p.rng.IntN(2) == 0, i.record.generation + 1}
		i.record, i.copy = &next, &next
		if p.rng.IntN(20) > 0 {
			if err := p.report(i.agent, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// report sends an agent's records to the council or, if asks is set, queries it.
func (p *simulation) report(a *agent, asks bool) error {
	r := duty.Report{Agent: a.name, StateDirID: "f", Starts: 1, QueryOnly: asks}
	if !asks {
		r.Instances = map[string]duty.Desired{}
		for _, i := range a.instances {
			if i.record != nil {
				r.Instances[i.name] = duty.Desired{Up: i.record.up, Generation: i.record.generation}
			}
		}
	}
	answer := p.state.Apply(duty.Command{FormatVersion: duty.FormatVersion, Report: &r})
	if answer.Err != nil {
		return fmt.Errorf("returns: %w", answer.Err)
	}
	a.councilState, a.councilKnows = answer.ReportAnswer.Instances, answer.ReportAnswer.Known
	return nil
}

// applyLoss discards the lost data and determines the newest surviving state of each instance.
func (p *simulation) applyLoss() {
	for n, a := range p.agents {
		loss := p.opt.Loss
		if loss == Mixed {
			loss = []string{Nothing, Records, RecordsAndCopies, RestoredDisks}[p.rng.IntN(4)]
		}
		switch {
		case loss == Records || loss == ThirdOfRecords && n%3 == 0:
			a.memory = recovery.Lost
		case loss == RecordsAndCopies:
			a.memory = recovery.Empty
		}
		if err := p.report(a, true); err != nil { // sets a.councilState to what the council knows
			panic(err) // cannot happen: queries are never refused
		}
		for _, i := range a.instances {
			if a.memory != recovery.Intact {
				i.record = nil
			}
			if a.memory == recovery.Empty {
				i.copy = nil
			}
			if loss == RestoredDisks {
				before := desiredState{true, 1}
				i.record, i.copy = &before, &before
			}
			for _, w := range []*desiredState{i.record, i.copy} {
				if w != nil && w.generation > i.expected.generation {
					i.expected = *w
				}
			}
			// The council's state counts only if there is a council.
			if d := a.councilState[i.name]; p.opt.Council >= 0 && d.Generation > i.expected.generation {
				i.expected = desiredState{d.Up, d.Generation}
			}
			if i.expected.up {
				p.wanted++
			}
		}
		a.councilState, a.councilKnows = nil, false
	}
}

// startAgent starts an agent.
func (p *simulation) startAgent(a *agent) {
	a.began = p.engine.Now()
	a.turns = p.opt.Pace.NewSchedule(p.rng.Float64)
	if p.opt.Council >= 0 {
		a.council = recovery.Unanswered
		p.askCouncil(a)
	}
	p.decide(a)
}

func (p *simulation) askCouncil(a *agent) {
	if p.engine.Now() < p.opt.Council {
		p.engine.After(councilRetry+p.randUpTo(councilRetry), func() { p.askCouncil(a) })
		return
	}
	p.engine.After(p.randUpTo(maxCouncilDelay), func() {
		if err := p.report(a, true); err != nil {
			panic(err) // cannot happen: queries are never refused
		}
		p.answeredAgents++
		a.council, a.answerRank = recovery.Answered, p.answeredAgents
		p.decide(a)
	})
}

// decide acts, as the agent does, on all instances whose desired state is known by now.
func (p *simulation) decide(a *agent) {
	held := false
	for _, i := range a.instances {
		if i.decided {
			continue
		}
		f := recovery.Facts{Record: a.memory, Council: a.council, KnownToCouncil: a.councilKnows, Elapsed: p.engine.Now() - a.began}
		add := func(source string, w *desiredState) {
			if w != nil {
				f.Claims = append(f.Claims, recovery.Claim{Source: source, Up: w.up, Generation: w.generation})
			}
		}
		add("the record", i.record)
		add("its copy", i.copy)
		if d, ok := a.councilState[i.name]; ok && a.council == recovery.Answered {
			add("the council", &desiredState{d.Up, d.Generation})
		}
		v := recovery.Decide(f)
		if p.opt.Naive {
			v = recovery.Decision{Action: recovery.Follow, Claim: recovery.Claim{Up: i.record == nil || i.record.up}}
		}
		if v.Action != recovery.Follow {
			held = true
			continue
		}
		i.decided = true
		if v.Claim.Up {
			p.startPaced(a, i)
		}
	}
	if held && p.opt.Council >= 0 { // without a council no more information will arrive
		p.engine.After(decideInterval, func() { p.decide(a) })
	}
}

// startPaced starts an instance when the pace allows it.
func (p *simulation) startPaced(a *agent, i *instance) {
	at := p.engine.Now()
	if p.opt.Pace.Rate > 0 && !(a.council == recovery.Answered && a.answerRank*len(a.instances) <= p.opt.Pace.Burst) {
		at = a.began + a.turns.Next(at-a.began)
	}
	p.engine.At(at, func() {
		p.starts = append(p.starts, p.engine.Now())
		if !i.expected.up {
			p.result.Wrong++
		}
		p.engine.After(p.randUpTo(maxStartTime), func() { p.callDiscovery(i) })
	})
}

// callDiscovery is a node's discovery call; discovery handles calls one at a time.
func (p *simulation) callDiscovery(i *instance) {
	now := p.engine.Now()
	p.calls = append(p.calls, now)
	wait := time.Duration(p.queuedCalls) * p.opt.CallTime
	again := func() { p.engine.After(callRetry+p.randUpTo(callRetry), func() { p.callDiscovery(i) }) }
	switch {
	case now < p.opt.DiscoveryDown:
		again()
	case wait > maxCallWait:
		p.engine.After(maxCallWait, again)
	default:
		p.queuedCalls++
		p.engine.After(wait+p.opt.CallTime, func() {
			p.queuedCalls--
			i.up = true
			if i.expected.up {
				p.up++
				p.recordProgress()
			}
		})
	}
}

// recordProgress notes when Half, Most and All are reached.
func (p *simulation) recordProgress() {
	for _, step := range []struct {
		at    *time.Duration
		share float64
	}{{&p.result.Half, 0.5}, {&p.result.Most, 0.9}, {&p.result.All, 1}} {
		if *step.at == 0 && float64(p.up) >= step.share*float64(p.wanted) {
			*step.at = p.engine.Now()
		}
	}
}
