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

// Limits of experiments on real sockets, for one machine.
const (
	maxNodes   = 32
	maxServers = 128
	maxRate    = 5000
)

// unsupportedFaults cannot be injected on loopback sockets without privileges, or behave differently there than in the
// simulator.
var unsupportedFaults = []string{"mute", "cut", "node-crash", "stale"}

// RunExperiment runs an experiment in real time on loopback sockets, with node processes as configured by opt, and boxes,
// clients and faults as configured by the experiment. If the experiment needs anything that the machine or loopback
// sockets do not support, RunExperiment returns an error before it starts any process. Network latency is that of
// loopback, whatever the experiment says.
func RunExperiment(ctx context.Context, x *experiment.Experiment, opt Options, seed uint64) (experiment.Run, error) {
	if err := checkSupported(x); err != nil {
		return experiment.Run{}, err
	}
	o := x.Options
	opt.Instances, opt.Agents, opt.Boxes, opt.Rate, opt.Seed, opt.Pull = o.Nodes, 1, len(o.Servers), 0, seed, o.Pull
	opt.Zones = nil
	for i := range x.File.Fleet.Zones {
		opt.Zones = append(opt.Zones, fmt.Sprint("z", i))
	}
	opt.Classes = boxClasses(x)
	rules := o.Settings.Rules
	opt.AdjustBox = func(i int, b *standin.BoxOptions) {
		b.Cores, b.Queue, b.Speed = o.Servers[i].Parallel, o.Servers[i].Queue, 1
		b.ColdFrom, b.ColdFor, b.FallMultiple, b.FallFor = rules.ColdFrom, rules.ColdFor, rules.FallMultiple, rules.FallFor
		b.Cold = x.File.Fleet.Cold
	}
	opt.AdjustSettings = func(s map[string]any) { applySettings(s, o) }
	l, err := New(ctx, opt)
	if err != nil {
		return experiment.Run{}, err
	}
	defer l.Close()

	p := &experimentRun{lab: l, experiment: x, start: time.Now(), results: sim.NewResults(x.Options.WarmUp)}
	load := o.Load
	l.StartClients(standin.ClientOptions{
		Rate: load.Rate, Curve: load.Curve, Classes: opt.Classes, Tenants: tenantNames(load.Tenants), Skew: load.Skew, Keys: load.Keys,
		Seed: seed, MaxOpen: 16384, FullDeadline: true, Comeback: load.Behavior, OnEnd: p.recordEnd,
	})
	if err := p.injectFaults(ctx); err != nil {
		return experiment.Run{}, err
	}
	l.StopClients()
	run := x.Evaluate(seed, p.collectResults())
	if void := l.Clients.Report().Void; void != "" {
		run.Failed = append(run.Failed, "void: "+void)
	}
	return run, nil
}

// checkSupported returns an error that lists everything in an experiment that real sockets do not support.
func checkSupported(x *experiment.Experiment) error {
	var errs []error
	unsupported := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("not on real sockets: "+format, args...))
	}
	o := x.Options
	if o.Nodes > maxNodes || len(o.Servers) > maxServers || o.Load.Rate > maxRate {
		unsupported("%d nodes, %d servers, %.0f requests a second; at most %d, %d and %d", o.Nodes, len(o.Servers), o.Load.Rate, maxNodes, maxServers, maxRate)
	}
	if o.Load.Trace != nil || o.Load.Bursts || o.Load.Impatient > 0 {
		unsupported("load.trace, load.bursts and load.impatient")
	}
	if o.Net.Loss > 0 {
		unsupported("network.loss")
	}
	for i, f := range o.Faults {
		if slices.Contains(unsupportedFaults, f.What) {
			unsupported("fault[%d]: %s", i+1, f.What)
		}
	}
	return errors.Join(errs...)
}

func boxClasses(x *experiment.Experiment) []standin.Class {
	effects := map[string]standin.Effect{"safe": standin.Safe, "keyed": standin.Keyed, "unsafe": standin.Unsafe}
	var all []standin.Class
	for _, c := range x.File.Class {
		// With a spread of 0 a box draws from 70% to 130% of the work, so a constant service time gets a negligible spread.
		all = append(all, standin.Class{
			Name: c.Name, Effect: effects[c.Effect], Deadline: c.Deadline.Duration, Aim: c.Aim.Duration, Window: c.Window.Duration,
			Work: c.Service.Duration, Spread: cmp.Or(c.Spread, 0.001), Share: c.Share,
		})
	}
	return all
}

func tenantNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprint("t", i)
	}
	return all
}

// applySettings overrides the settings of instances with those of the experiment.
func applySettings(s object, o sim.Options) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for i, c := range s["Classes"].([]object) {
		c["Importance"] = o.Settings.Classes[i].Worth
	}
	var accounts []object
	for _, name := range tenantNames(o.Load.Tenants) {
		accounts = append(accounts, object{"Name": name, "QuotaPerS": 0})
	}
	s["Accounts"] = accounts
	limits := o.Settings.Limits
	s["Limits"] = object{
		"MaxAttempts": limits.MaxAttempts, "SecondCopies": limits.SecondCopies, "Cancel": limits.Cancel, "RetryAfter": true,
		"MaxRetryAfterMs": ms(limits.MaxRetryAfter), "ConnIdleMs": 15000, "ConnectTimeoutMs": 250,
	}
	r := o.Settings.Rules
	s["Contract"] = object{"ColdFrom": r.ColdFrom, "ColdMs": ms(r.ColdFor), "FallMultiple": r.FallMultiple, "FallMs": ms(r.FallFor), "MustAskInMs": ms(r.MaxCallInterval)}
}

// experimentRun is one run of an experiment.
type experimentRun struct {
	lab        *Lab
	experiment *experiment.Experiment
	start      time.Time

	mu      sync.Mutex
	results *sim.Results
}

// recordEnd records the end of a client request.
func (p *experimentRun) recordEnd(e standin.RequestResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	began := e.Due.Sub(p.start)
	p.results.Asked++
	for range e.Tries {
		p.results.RecordTry(began)
	}
	outcome := e.Outcome.String()
	if !e.Sent {
		outcome = "not sent"
	}
	p.results.RecordEnd(sim.End{Began: began, Took: e.Took, Aim: p.experiment.Options.Settings.Classes[e.Class].Aim, How: outcome})
}

// faultEvent is the beginning or the end of a fault; the one without a fault ends the run.
type faultEvent struct {
	at     time.Duration
	fault  sim.Fault
	begins bool
}

// injectFaults starts and ends the faults at their times and returns at the end of the run.
func (p *experimentRun) injectFaults(ctx context.Context) error {
	var steps []faultEvent
	for _, f := range p.experiment.Options.Faults {
		steps = append(steps, faultEvent{f.At, f, true})
		if f.For > 0 {
			steps = append(steps, faultEvent{f.At + f.For, f, false})
		}
	}
	steps = append(steps, faultEvent{at: p.experiment.Options.For})
	slices.SortStableFunc(steps, func(a, b faultEvent) int { return cmp.Compare(a.at, b.at) })
	ctx, cancel := context.WithCancel(ctx)
	var flapping sync.WaitGroup
	defer flapping.Wait()
	defer cancel()
	for _, s := range steps {
		select {
		case <-time.After(time.Until(p.start.Add(s.at))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if s.fault.What == "" { // end of the run
			return nil
		}
		if err := p.applyFault(ctx, &flapping, s.fault, s.begins); err != nil {
			return err
		}
	}
	return nil
}

func (p *experimentRun) applyFault(ctx context.Context, flapping *sync.WaitGroup, f sim.Fault, on bool) error {
	if f.What == "discovery" {
		p.lab.Discovery.SetDown(on)
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
			flapping.Go(func() { flapBox(ctx, b, f) })
		}
	}
	return nil
}

// flapBox alternates a box's listed state between terminated and in service for as long as the fault lasts.
func flapBox(ctx context.Context, b *standin.Box, f sim.Fault) {
	end := time.After(f.For)
	if f.For == 0 {
		end = nil
	}
	ticker := time.NewTicker(time.Duration(f.Amount * float64(time.Second)))
	defer ticker.Stop()
	defer b.List(standin.InService)
	for state := standin.Terminated; ; {
		b.List(state)
		if state == standin.Terminated {
			state = standin.InService
		} else {
			state = standin.Terminated
		}
		select {
		case <-ticker.C:
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

// collectResults returns the results. It is called after the last answer.
func (p *experimentRun) collectResults() *sim.Results {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.results
	report := p.lab.Ledger.Report()
	r.Attempts = uint64(report.Arrived)
	r.SetReport(report.Report)
	r.Finish()
	return r
}
