// Package rollout decides how the instances of a group are restarted: which one is
// next, when to wait, and when to stop because the group's answers get worse. It does
// no I/O and has no clock.
package rollout

import (
	"fmt"
	"slices"
	"time"

	"otterstep/internal/fleet/duty"
)

const (
	// minAnswers is the number of answers that a window needs to be judged.
	minAnswers = 20
	// A rollout stops when the share of failed answers exceeds the baseline by more than
	// maxFailedIncrease, or the share of refused ones by more than maxRefusedIncrease.
	maxFailedIncrease  = 0.05
	maxRefusedIncrease = 0.20
	// stallTimeout is how long a plan waits for instances that are away for other reasons.
	stallTimeout = 30 * time.Second
)

// InstanceState is the state of an instance with respect to a plan.
type InstanceState int

// The states of an instance.
const (
	Serving InstanceState = iota
	// Away does not serve. It counts as away, and restarting it makes no further instance unavailable; but
	// it may come up by itself while the order to it is on its way, so that no more of these are worked on
	// at once than may be away.
	Away
	Started     // an earlier order may be in progress on it: it counts as away, and resuming costs nothing
	Unavailable // it counts as away and must not be touched: another job works on it, or its state is unknown
	Drained     // it is desired to be down: it neither counts as away nor is touched
)

// Options configure a plan.
type Options struct {
	Instances      []string      // in this order
	Group          []string      // the instances counted against MaxUnavailable; Instances if nil
	MaxUnavailable int           // of the group at once, for whatever reason; at least 1
	Pause          time.Duration // between an instance's return and the next restart
	// With NoStallTimeout a plan waits without limit for instances that are away, instead of stopping.
	NoStallTimeout bool
	// With FinishOnly a plan only finishes what was begun before, and nothing stops it.
	FinishOnly bool
}

// Counts are the answers of a group over some time.
type Counts = duty.AnswerCounts

// Plan is a rollout in progress. Create it with New.
type Plan struct {
	opt          Options
	waiting      []string
	working      []string
	done         []string
	failed       []string
	lastEnd      time.Time // when the latest instance ended
	stalledSince time.Time // since when none could be started; zero if one could
	baseline     Counts
	stopReason   string
	waitReason   string
}

// New creates a plan. baseline counts the group's answers before the rollout.
func New(opt Options, baseline Counts) (*Plan, error) {
	if opt.MaxUnavailable < 1 {
		return nil, fmt.Errorf("rollout: max_unavailable: %d: must be at least 1, else nothing could ever be restarted", opt.MaxUnavailable)
	}
	if opt.Group == nil {
		opt.Group = opt.Instances
	}
	return &Plan{opt: opt, waiting: slices.Clone(opt.Instances), baseline: baseline}, nil
}

// Next returns the instances to restart now. state returns the state of an instance of the group. allow, unless it is
// nil, reports whether further limits allow one to be started; serving means that the instance serves now. Each instance
// returned counts as being worked on until Ended or Withdrawn.
func (p *Plan) Next(now time.Time, state func(name string) InstanceState, allow func(name string, serving bool) bool) []string {
	p.waitReason = ""
	if p.stopReason != "" {
		return nil
	}
	away, worked := len(p.working), len(p.working)
	for _, name := range p.opt.Group {
		if slices.Contains(p.working, name) {
			continue
		}
		switch state(name) {
		case Away:
			away++
		case Started, Unavailable:
			away++
			worked++
		}
	}
	if len(p.waiting) == 0 {
		return nil
	}
	if !p.lastEnd.IsZero() && now.Sub(p.lastEnd) < p.opt.Pause {
		p.waitReason = "for the pause between restarts"
		return nil
	}
	var toStart []string
	p.waiting = slices.DeleteFunc(p.waiting, func(name string) bool {
		switch state(name) {
		case Serving:
			if away >= p.opt.MaxUnavailable || allow != nil && !allow(name, true) {
				return false
			}
			away++
			worked++
		case Away:
			if worked >= p.opt.MaxUnavailable || allow != nil && !allow(name, false) {
				return false
			}
			worked++
		case Unavailable, Drained:
			return false
		}
		toStart = append(toStart, name)
		return true
	})
	p.working = append(p.working, toStart...)
	if len(toStart) == 0 && len(p.waiting) > 0 {
		p.waitReason = fmt.Sprintf("%d of %d are away, and at most %d may be", away, len(p.opt.Group), p.opt.MaxUnavailable)
	}
	p.checkStall(now, away)
	return toStart
}

// SetGroup replaces Options.Group.
func (p *Plan) SetGroup(group []string) { p.opt.Group = group }

// WaitReason returns why the latest Next returned nothing, "" if it returned something or nothing is left.
func (p *Plan) WaitReason() string { return p.waitReason }

// Withdrawn records that an instance was not touched after all, and queues it again.
func (p *Plan) Withdrawn(name string) {
	if i := slices.Index(p.working, name); i >= 0 {
		p.working = slices.Delete(p.working, i, i+1)
		p.waiting = append(p.waiting, name)
	}
}

// checkStall stops a plan that has waited for stallTimeout.
func (p *Plan) checkStall(now time.Time, away int) {
	switch {
	case p.opt.NoStallTimeout || len(p.working) > 0 || len(p.waiting) == 0:
		p.stalledSince = time.Time{}
	case p.stalledSince.IsZero():
		p.stalledSince = now
	case now.Sub(p.stalledSince) >= stallTimeout:
		p.stop("%d instances are away that this rollout did not restart, and at most %d may be", away, p.opt.MaxUnavailable)
	}
}

// Ended records that an instance came back, or with err that it did not.
func (p *Plan) Ended(now time.Time, name string, err error) {
	is := func(n string) bool { return n == name }
	p.working, p.waiting = slices.DeleteFunc(p.working, is), slices.DeleteFunc(p.waiting, is)
	p.lastEnd = now
	if err == nil {
		p.done = append(p.done, name)
		return
	}
	p.failed = append(p.failed, name)
	p.stop("%s did not come back: %v", name, err)
}

// Observe judges the group's recent answers.
func (p *Plan) Observe(c Counts) {
	all := c.Served + c.Refused + c.Failed
	if all < minAnswers {
		return
	}
	baseline, current := shares(p.baseline), shares(c)
	switch {
	case current[0] > baseline[0]+maxFailedIncrease:
		p.stop("the share of failed answers rose from %.1f%% to %.1f%%", 100*baseline[0], 100*current[0])
	case current[1] > baseline[1]+maxRefusedIncrease:
		p.stop("the share of refused answers rose from %.1f%% to %.1f%%", 100*baseline[1], 100*current[1])
	}
}

// shares returns the shares of failed and of refused answers.
func shares(c Counts) [2]float64 {
	all := float64(max(1, c.Served+c.Refused+c.Failed))
	return [2]float64{float64(c.Failed) / all, float64(c.Refused) / all}
}

// Stop stops the plan for an external reason.
func (p *Plan) Stop(reason string) { p.stop("%s", reason) }

// stop keeps the first reason.
func (p *Plan) stop(format string, args ...any) {
	if p.stopReason == "" && !p.opt.FinishOnly {
		p.stopReason = fmt.Sprintf(format, args...)
	}
}

// StopReason returns why the plan was stopped; "" while it continues.
func (p *Plan) StopReason() string { return p.stopReason }

// Finished reports whether no instance is being worked on and none will be.
func (p *Plan) Finished() bool {
	return len(p.working) == 0 && (len(p.waiting) == 0 || p.stopReason != "")
}

// Untouched returns the instances that were not touched.
func (p *Plan) Untouched() []string { return slices.Clone(p.waiting) }

// Done returns the instances that came back.
func (p *Plan) Done() []string { return slices.Clone(p.done) }

// Failed returns the instances that did not.
func (p *Plan) Failed() []string { return slices.Clone(p.failed) }
