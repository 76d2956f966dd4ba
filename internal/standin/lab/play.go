package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"otterstep/internal/experiment"
	"otterstep/internal/sim"
	"otterstep/internal/standin"
)

// What one machine plays on real sockets.
const (
	playNodes   = 32
	playServers = 128
	playRate    = 5000
)

// unplayable are faults that loopback sockets don't show without privileges, or not to
// what they are in virtual time.
var unplayable = []string{"mute", "cut", "node-crash", "stale"}

// Play plays an experiment on loopback sockets: real instances of the node as opt names
// them, boxes and clients as the file has them, faults by the clock. What the machine or
// the sockets can't show is an error that says so, before anything starts. Latencies of
// the network are loopback's own.
func Play(ctx context.Context, x *experiment.Experiment, opt Options, seed uint64) (experiment.Run, error) {
	if err := playable(x); err != nil {
		return experiment.Run{}, err
	}
	o := x.Options
	opt.Instances, opt.Agents, opt.Boxes, opt.Rate, opt.Seed, opt.Asked = o.Nodes, 1, len(o.Servers), 0, seed, o.Asked
	opt.Zones = nil
	for i := range x.File.Fleet.Zones {
		opt.Zones = append(opt.Zones, fmt.Sprint("z", i))
	}
	opt.Classes = classes(x)
	rules := o.Settings.Rules
	opt.Shape = func(i int, b *standin.BoxOptions) {
		b.Cores, b.Queue, b.Speed = o.Servers[i].Parallel, o.Servers[i].Queue, 1
		b.ColdFrom, b.ColdFor, b.FallMultiple, b.FallFor = rules.ColdFrom, rules.ColdFor, rules.FallMultiple, rules.FallFor
		b.Cold = x.File.Fleet.Cold
	}
	opt.Site = func(s map[string]any) { site(s, o) }
	l, err := New(ctx, opt)
	if err != nil {
		return experiment.Run{}, err
	}
	defer l.Close()

	p := &player{lab: l, experiment: x, began: time.Now(), results: sim.NewResults(x.Options.Warm)}
	load := o.Load
	l.Begin(standin.ClientOptions{
		Rate: load.Rate, Curve: load.Curve, Classes: opt.Classes, Tenants: names(load.Tenants), Skew: load.Skew, Keys: load.Keys,
		Seed: seed, Most: 16384, Whole: true, Comeback: load.Habits, Ended: p.ended,
	})
	if err := p.faults(ctx); err != nil {
		return experiment.Run{}, err
	}
	l.Unload()
	run := x.Judge(seed, p.finish())
	if void := l.Clients.Report().Void; void != "" {
		run.Failed = append(run.Failed, "void: "+void)
	}
	return run, nil
}

// playable says what of an experiment can't be played here.
func playable(x *experiment.Experiment) error {
	var errs []error
	no := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("not on real sockets: "+format, args...))
	}
	o := x.Options
	if o.Nodes > playNodes || len(o.Servers) > playServers || o.Load.Rate > playRate {
		no("%d nodes, %d servers, %.0f requests a second; at most %d, %d and %d", o.Nodes, len(o.Servers), o.Load.Rate, playNodes, playServers, playRate)
	}
	if o.Load.Trace != nil || o.Load.Bursts || o.Load.Impatient > 0 {
		no("load.trace, load.bursts and load.impatient")
	}
	if o.Net.Loss > 0 {
		no("network.loss")
	}
	for i, f := range o.Faults {
		if slices.Contains(unplayable, f.What) {
			no("fault[%d]: %s", i+1, f.What)
		}
	}
	return errors.Join(errs...)
}

func classes(x *experiment.Experiment) []standin.Class {
	effects := map[string]standin.Effect{"safe": standin.Safe, "keyed": standin.Keyed, "unsafe": standin.Unsafe}
	var all []standin.Class
	for _, c := range x.File.Class {
		// Boxes spread work that is constant in virtual time by the least there is.
		all = append(all, standin.Class{
			Name: c.Name, Effect: effects[c.Effect], Deadline: c.Deadline.Duration, Aim: c.Aim.Duration, Window: c.Window.Duration,
			Work: c.Service.Duration, Spread: cmp.Or(c.Spread, 0.001), Share: c.Share,
		})
	}
	return all
}

func names(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprint("t", i)
	}
	return all
}

// site puts the experiment's settings into those that instances are told.
func site(s object, o sim.Options) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for i, c := range s["Classes"].([]object) {
		c["Importance"] = o.Settings.Classes[i].Worth
	}
	var accounts []object
	for _, name := range names(o.Load.Tenants) {
		accounts = append(accounts, object{"Name": name, "QuotaPerS": 0})
	}
	s["Accounts"] = accounts
	limits := o.Settings.Limits
	s["Limits"] = object{
		"MaxAttempts": limits.MaxAttempts, "SecondCopies": limits.SecondCopies, "Cancel": limits.Cancel, "RetryAfter": true,
		"MaxRetryAfterMs": ms(limits.MaxRetryAfter), "ConnIdleMs": 15000, "ConnectTimeoutMs": 250,
	}
	r := o.Settings.Rules
	s["Contract"] = object{"ColdFrom": r.ColdFrom, "ColdMs": ms(r.ColdFor), "FallMultiple": r.FallMultiple, "FallMs": ms(r.FallFor), "MustAskInMs": ms(r.MustAsk)}
}

// player plays one experiment.
type player struct {
	lab        *Lab
	experiment *experiment.Experiment
	began      time.Time

	mu      sync.Mutex
	results *sim.Results
}

// ended takes the end of a client's request.
func (p *player) ended(e standin.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := e.Due.Sub(p.began)
	p.results.Asked++
	for range e.Tries {
		p.results.Tried(began)
	}
	how := e.Outcome.String()
	if !e.Sent {
		how = "not sent"
	}
	p.results.Take(sim.End{Began: began, Took: e.Took, Aim: p.experiment.Options.Settings.Classes[e.Class].Aim, How: how})
}

// step is a fault that begins or ends.
type step struct {
	at    time.Duration
	fault sim.Fault
	on    bool
}

// faults plays them by the clock until the run is over.
func (p *player) faults(ctx context.Context) error {
	var steps []step
	for _, f := range p.experiment.Options.Faults {
		steps = append(steps, step{f.At, f, true})
		if f.For > 0 {
			steps = append(steps, step{f.At + f.For, f, false})
		}
	}
	steps = append(steps, step{at: p.experiment.Options.For})
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	ctx, cancel := context.WithCancel(ctx)
	var flapping sync.WaitGroup
	defer flapping.Wait()
	defer cancel()
	for _, s := range steps {
		select {
		case <-time.After(time.Until(p.began.Add(s.at))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.fault.What == "" { // the end
			return nil
		}
		if err := p.fault(ctx, &flapping, s.fault, s.on); err != nil {
			return err
		}
	}
	return nil
}

func (p *player) fault(ctx context.Context, flapping *sync.WaitGroup, f sim.Fault, on bool) error {
	if f.What == "discovery" {
		p.lab.Discovery.Down(on)
		return nil
	}
	for _, i := range f.Servers {
		b := p.lab.Boxes[i]
		switch {
		case f.What == "hang" && on:
			b.Hang(true)
		case f.What == "crash" && on:
			b.Leave()
		case f.What == "hang", f.What == "crash":
			if err := b.Return(); err != nil {
				return err
			}
		case f.What == "slow" && on:
			b.Slow(f.Amount)
		case f.What == "slow":
			b.Slow(1)
		case f.What == "fail" && on:
			b.FailFast(f.Amount)
		case f.What == "fail":
			b.FailFast(0)
		case f.What == "drain" && on:
			b.Drain()
		case f.What == "drain":
			b.Resume()
		case f.What == "flap" && on:
			flapping.Go(func() { flap(ctx, b, f) })
		}
	}
	return nil
}

// flap lists a box as gone and back for as long as the fault lasts.
func flap(ctx context.Context, b *standin.Box, f sim.Fault) {
	end := time.After(f.For)
	if f.For == 0 {
		end = nil
	}
	turn := time.NewTicker(time.Duration(f.Amount * float64(time.Second)))
	defer turn.Stop()
	defer b.List(standin.InService)
	for state := standin.Terminated; ; {
		b.List(state)
		if state == standin.Terminated {
			state = standin.InService
		} else {
			state = standin.Terminated
		}
		select {
		case <-turn.C:
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

// finish gives the results, once the last answer is in.
func (p *player) finish() *sim.Results {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.results
	report := p.lab.Ledger.Report()
	r.Attempts = uint64(report.Arrived)
	r.Judged(report.Report)
	r.Finish()
	return r
}
