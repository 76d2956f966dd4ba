// Package returns plays in virtual time how a whole fleet comes back after all of its processes
// were killed and some of what they knew was lost. What an agent may start is decided by the
// code that serves (packages recovery, pace and duty); machines, disks, links and discovery
// are models.
package returns

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

// The losses.
const (
	Nothing  = "nothing"
	AThird   = "a-third"  // of the records
	Records  = "records"  // all of them
	Memories = "memories" // records and their copies
	OldDisks = "old"      // all records and copies are put back from before the latest changes
	Mixed    = "mixed"    // each agent draws one of these
)

// Losses lists them.
var Losses = []string{Nothing, AThird, Records, Memories, OldDisks, Mixed}

// Options size a return.
type Options struct {
	Agents, Instances int
	Loss              string
	Changes           int // operators' words on instances before
	Pace              pace.Bound
	Within            time.Duration // the agents start within this
	Council           time.Duration // from when on the council answers; negative: there is none
	Away              time.Duration // until when discovery is away
	Service           time.Duration // of one call of discovery; one at a time
	Seed              uint64
	Limit             time.Duration
	// Naive goes by an agent's own record alone and takes what is missing for a first start, as
	// before there was any recovery.
	Naive bool
}

// Result is how it went.
type Result struct {
	Half, Most, All time.Duration // of what is to be up: 50%, 90%, all; 0: not within the limit
	Wrong           int           // instances started that the newest surviving word calls down
	Held            int           // instances that nobody had decided on at the limit
	Late            int           // instances to be up that were not at the limit
	StartsMost      int           // within 100 ms
	CallsMost       int           // of discovery, likewise
	Calls           int
}

const (
	settleEvery = 100 * time.Millisecond // as the agent's
	askAgain    = 200 * time.Millisecond // and up to twice it, as the agent's
	callAgain   = 250 * time.Millisecond // a node's next call of discovery, and up to twice it
	callWait    = 2 * time.Second        // the longest a call waits for its turn
	answersIn   = 20 * time.Millisecond  // of the council, at most
	startsIn    = 300 * time.Millisecond // of an instance, at most
	stretch     = 100 * time.Millisecond
)

// word is what one place says of an instance.
type word struct {
	up         bool
	generation uint64
}

type instance struct {
	name    string
	agent   *agent
	record  *word // nil: it is gone
	copied  *word
	truth   word // the newest that survives anywhere
	settled bool
	up      bool
}

type agent struct {
	name    string
	memory  recovery.Memory
	council recovery.Council
	known   bool
	back    int
	began   time.Duration
	turns   *pace.Turns
	all     []*instance
	told    map[string]duty.Desired
}

type play struct {
	opt           Options
	engine        *sim.Engine
	rng           *rand.Rand
	state         *duty.State
	agents        []*agent
	want, up      int
	back          int // agents that have reported
	busy          int // calls of discovery that wait
	result        Result
	starts, calls []time.Duration
}

// Play plays one return.
func Play(opt Options) (Result, error) {
	if opt.Agents < 1 || opt.Instances < opt.Agents || !slices.Contains(Losses, opt.Loss) {
		return Result{}, fmt.Errorf("returns: %d agents, %d instances, loss %q: at least one agent, an instance each, a loss of %v", opt.Agents, opt.Instances, opt.Loss, Losses)
	}
	p := &play{opt: opt, engine: sim.NewEngine(0), rng: sim.Stream(opt.Seed, "returns"), state: duty.New()}
	if err := p.before(); err != nil {
		return Result{}, err
	}
	p.lose()
	for _, a := range p.agents {
		p.engine.At(p.upTo(opt.Within), func() { p.begin(a) })
	}
	p.engine.Run(opt.Limit)
	for _, a := range p.agents {
		for _, i := range a.all {
			switch {
			case !i.settled:
				p.result.Held++
			case i.truth.up && !i.up:
				p.result.Late++
			}
		}
	}
	p.result.Calls = len(p.calls)
	p.result.StartsMost, p.result.CallsMost = most(p.starts), most(p.calls)
	return p.result, nil
}

func (p *play) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(p.rng.Int64N(int64(d)))
}

// most gives the most within a stretch, of times in order.
func most(times []time.Duration) (n int) {
	from := 0
	for to := range times {
		for times[to]-times[from] > stretch {
			from++
		}
		n = max(n, to-from+1)
	}
	return n
}

// before is the fleet's history: all are up, then operators change some. A change is in the
// record and its copy before it counts; the latest may not have reached the council.
func (p *play) before() error {
	var all []*instance
	for n := range p.opt.Agents {
		a := &agent{name: fmt.Sprintf("m%d", n+1)}
		p.agents = append(p.agents, a)
	}
	for n := range p.opt.Instances {
		a := p.agents[n%p.opt.Agents]
		i := &instance{name: fmt.Sprintf("n%d", n+1), agent: a, record: &word{true, 1}, copied: &word{true, 1}}
		a.all = append(a.all, i)
		all = append(all, i)
	}
	for _, a := range p.agents {
		if err := p.report(a, false); err != nil {
			return err
		}
	}
	for range p.opt.Changes {
		i := all[p.rng.IntN(len(all))]
		next := word{p.rng.IntN(2) == 0, i.record.generation + 1}
		i.record, i.copied = &next, &next
		if p.rng.IntN(20) > 0 {
			if err := p.report(i.agent, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// report tells the council of an agent, or asks it.
func (p *play) report(a *agent, asks bool) error {
	r := duty.Report{Agent: a.name, Folder: "f", Starts: 1, Asks: asks}
	if !asks {
		r.Instances = map[string]duty.Desired{}
		for _, i := range a.all {
			if i.record != nil {
				r.Instances[i.name] = duty.Desired{Up: i.record.up, Generation: i.record.generation}
			}
		}
	}
	answer := p.state.Apply(duty.Command{Form: duty.Form, Report: &r})
	if answer.Err != nil {
		return fmt.Errorf("returns: %w", answer.Err)
	}
	a.told, a.known = answer.Told.Instances, answer.Told.Known
	return nil
}

// lose takes away what is lost, and notes what the newest surviving word is.
func (p *play) lose() {
	for n, a := range p.agents {
		loss := p.opt.Loss
		if loss == Mixed {
			loss = []string{Nothing, Records, Memories, OldDisks}[p.rng.IntN(4)]
		}
		switch {
		case loss == Records || loss == AThird && n%3 == 0:
			a.memory = recovery.Lost
		case loss == Memories:
			a.memory = recovery.Blank
		}
		if err := p.report(a, true); err != nil { // what the council knows
			panic(err) // asking is never refused
		}
		for _, i := range a.all {
			if a.memory != recovery.Whole {
				i.record = nil
			}
			if a.memory == recovery.Blank {
				i.copied = nil
			}
			if loss == OldDisks {
				was := word{true, 1}
				i.record, i.copied = &was, &was
			}
			for _, w := range []*word{i.record, i.copied} {
				if w != nil && w.generation > i.truth.generation {
					i.truth = *w
				}
			}
			// Without a council there is no word of it.
			if d := a.told[i.name]; p.opt.Council >= 0 && d.Generation > i.truth.generation {
				i.truth = word{d.Up, d.Generation}
			}
			if i.truth.up {
				p.want++
			}
		}
		a.told, a.known = nil, false
	}
}

// begin is an agent's start.
func (p *play) begin(a *agent) {
	a.began = p.engine.Now()
	a.turns = p.opt.Pace.Turns(p.rng.Float64)
	if p.opt.Council >= 0 {
		a.council = recovery.Silent
		p.ask(a)
	}
	p.settle(a)
}

func (p *play) ask(a *agent) {
	if p.engine.Now() < p.opt.Council {
		p.engine.After(askAgain+p.upTo(askAgain), func() { p.ask(a) })
		return
	}
	p.engine.After(p.upTo(answersIn), func() {
		if err := p.report(a, true); err != nil {
			panic(err) // asking is never refused
		}
		p.back++
		a.council, a.back = recovery.Answered, p.back
		p.settle(a)
	})
}

// settle is the agent's: it clears what is known by now.
func (p *play) settle(a *agent) {
	held := false
	for _, i := range a.all {
		if i.settled {
			continue
		}
		f := recovery.Facts{Memory: a.memory, Council: a.council, Known: a.known, Elapsed: p.engine.Now() - a.began}
		say := func(source string, w *word) {
			if w != nil {
				f.Words = append(f.Words, recovery.Word{Source: source, Up: w.up, Generation: w.generation})
			}
		}
		say("the record", i.record)
		say("its copy", i.copied)
		if d, ok := a.told[i.name]; ok && a.council == recovery.Answered {
			say("the council", &word{d.Up, d.Generation})
		}
		v := recovery.Decide(f)
		if p.opt.Naive {
			v = recovery.Verdict{Do: recovery.Follow, Word: recovery.Word{Up: i.record == nil || i.record.up}}
		}
		if v.Do != recovery.Follow {
			held = true
			continue
		}
		i.settled = true
		if v.Word.Up {
			p.turn(a, i)
		}
	}
	if held && p.opt.Council >= 0 { // else nothing will be known that is not
		p.engine.After(settleEvery, func() { p.settle(a) })
	}
}

// turn starts an instance when its turn has come.
func (p *play) turn(a *agent, i *instance) {
	at := p.engine.Now()
	if p.opt.Pace.Rate > 0 && !(a.council == recovery.Answered && a.back*len(a.all) <= p.opt.Pace.Burst) {
		at = a.began + a.turns.Next(at-a.began)
	}
	p.engine.At(at, func() {
		p.starts = append(p.starts, p.engine.Now())
		if !i.truth.up {
			p.result.Wrong++
		}
		p.engine.After(p.upTo(startsIn), func() { p.call(i) })
	})
}

// call is a node's call of discovery, which works through calls in turn.
func (p *play) call(i *instance) {
	now := p.engine.Now()
	p.calls = append(p.calls, now)
	wait := time.Duration(p.busy) * p.opt.Service
	again := func() { p.engine.After(callAgain+p.upTo(callAgain), func() { p.call(i) }) }
	switch {
	case now < p.opt.Away:
		again()
	case wait > callWait:
		p.engine.After(callWait, again)
	default:
		p.busy++
		p.engine.After(wait+p.opt.Service, func() {
			p.busy--
			i.up = true
			if i.truth.up {
				p.up++
				p.reached()
			}
		})
	}
}

// reached notes the times.
func (p *play) reached() {
	for _, step := range []struct {
		at    *time.Duration
		share float64
	}{{&p.result.Half, 0.5}, {&p.result.Most, 0.9}, {&p.result.All, 1}} {
		if *step.at == 0 && float64(p.up) >= step.share*float64(p.want) {
			*step.at = p.engine.Now()
		}
	}
}
