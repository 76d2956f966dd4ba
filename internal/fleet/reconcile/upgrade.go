package reconcile

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"time"

	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
)

const (
	// trialEvery is of how many instances of a group one gets a new version first.
	trialEvery = 20
	// roundsMost bounds the jobs of one zone for one change: each mends what the one before left.
	roundsMost = 8
)

// Instance is an instance as it was seen last.
type Instance struct {
	duty.Target
	Zone    string
	Program string
	Up      bool // it is meant to be
	Serves  bool // it does
	Fresh   bool // it was seen just now
}

// Back takes a group's version back.
type Back struct {
	Group string
	To    string // the version before
	Why   string
}

// Plan is what is to be done for groups whose instances do not all have the program that is desired.
type Plan struct {
	Submit []*duty.Job
	Cancel []string // jobs on the way to what is not desired any more
	Back   []Back
	Says   map[string]string // by group
	// Judge names the groups whose new version is to be held against the old one, with the instances that have it.
	Judge map[string]Sides
	// Whole names the groups of which all has come to serve with the program of a version.
	Whole map[string]desired.Version
}

// Sides are a group's instances, by AGENT/INSTANCE: those with the version that is desired, and the others.
type Sides struct{ New, Old []string }

// Upgrades decides. Each step is a job of its own under an id that follows from the change, so that whoever decides it
// again submits the same. verdict tells of a group's version; it is asked only once its trial's job has ended well.
func Upgrades(s *desired.State, all []Instance, jobs []*duty.Job, verdict func(group string) (Verdict, string)) Plan {
	p := Plan{Says: map[string]string{}, Judge: map[string]Sides{}, Whole: map[string]desired.Version{}}
	for _, j := range jobs {
		if j.Kind == protocol.Upgrade && j.Operator == duty.Fleet && j.State == duty.Active && j.Open() && j.Program != s.Program(j.Targets[0].Group) {
			p.Cancel = append(p.Cancel, j.ID)
		}
	}
	groups := map[string][]Instance{}
	for _, i := range all {
		groups[i.Group] = append(groups[i.Group], i)
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		p.group(s, name, groups[name], jobs, verdict)
	}
	return p
}

func (p *Plan) group(s *desired.State, group string, all []Instance, jobs []*duty.Job, verdict func(string) (Verdict, string)) {
	slices.SortFunc(all, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Key(), b.Key()))
	})
	g := &change{ProgramChange: s.Programs[group], plan: p, state: s, group: group, want: s.Program(group)}
	for _, j := range jobs {
		if j.Kind == protocol.Upgrade && j.Operator == duty.Fleet && j.Change == g.Version && j.Targets[0].Group == group {
			g.jobs = append(g.jobs, j)
		}
	}
	for _, i := range all {
		switch {
		case i.Program == g.want:
			g.sides.New = append(g.sides.New, i.Key())
			switch {
			case i.Up && i.Fresh:
				g.have = append(g.have, i)
			case i.Up:
				g.lost = i.Key()
			}
		case i.Up:
			g.sides.Old = append(g.sides.Old, i.Key())
			g.lag = append(g.lag, i)
		}
	}
	if g.failed() {
		return
	}
	// What the fleet itself has taken back is the version that served before.
	tried := g.By != duty.Fleet && g.Version != 0 && len(all) > 1
	if len(g.lag) == 0 {
		if len(g.have) > 0 && g.lost == "" && g.Version != 0 && !g.Whole && !slices.ContainsFunc(g.have, func(i Instance) bool { return !i.Serves }) &&
			(!tried || g.judged(verdict)) {
			p.Whole[group] = g.Version
		}
		return
	}
	if tried && !g.trial(verdict) {
		return
	}
	g.zones()
}

// change is a group on its way to a program.
type change struct {
	desired.ProgramChange
	plan  *Plan
	state *desired.State
	group string
	want  string
	jobs  []*duty.Job // of this change
	lag   []Instance  // that are meant to be up, without it
	have  []Instance  // with it, that are reached
	lost  string      // one with it that is not
	sides Sides
}

func (c *change) says(format string, args ...any) {
	c.plan.Says[c.group] = fmt.Sprintf(format, args...)
}

// failed takes the version back once a job of this change was stopped; on the way back itself an operator has to look.
func (c *change) failed() bool {
	for _, j := range c.jobs {
		if j.State != duty.Stopped || j.Intents() > 0 {
			continue
		}
		why := j.Why
		for i, step := range j.Steps {
			if step.Phase == duty.Failed {
				why = fmt.Sprintf("%s: %s", j.Targets[i].Key(), step.Text)
			}
		}
		if c.By == duty.Fleet || c.Version == 0 {
			c.says("STOPPED on the way to %s, %s: job %s: %s; otterctl jobs resume goes on", words(c.want), j.Stage, j.ID, why)
		} else {
			c.plan.Back = append(c.plan.Back, Back{c.group, c.Previous, j.Stage + ": " + why})
		}
		return true
	}
	return false
}

// stage tells how many jobs a stage has had, and whether the latest goes on; one that an operator has paused or
// cancelled is the operator's to go on with.
func (c *change) stage(name string) (rounds int, waits bool) {
	for _, j := range c.jobs {
		if j.Stage != name {
			continue
		}
		if rounds++; j.State != duty.Finished {
			c.says("on the way to %s, %s: job %s is %s", words(c.want), name, j.ID, j.State)
			waits = true
		}
	}
	if rounds == roundsMost && !waits {
		c.says("STOPPED on the way to %s: %s is not whole after %d jobs", words(c.want), name, rounds)
		waits = true
	}
	return rounds, waits
}

// trial sees to a change's first instances; it tells whether the others may follow.
func (c *change) trial(verdict func(string) (Verdict, string)) bool {
	const name = "trial"
	rounds, waits := c.stage(name)
	if waits {
		return false
	}
	if !slices.ContainsFunc(c.have, func(i Instance) bool { return i.Serves }) {
		if c.lost != "" {
			c.says("waits: %s has %s already and is not reached", c.lost, words(c.want))
			return false
		}
		size := 1 + (len(c.lag)-1)/trialEvery
		first := c.have[:min(size, len(c.have))] // some have it of before, and don't serve: they are its trial
		if len(first) == 0 {
			first = reached(c.lag)
			first = first[:min(size, len(first))]
		}
		c.submit(name, rounds, first)
		return false
	}
	return c.judged(verdict)
}

// judged tells whether the version has passed; one that has not is taken back, or watched on.
func (c *change) judged(verdict func(string) (Verdict, string)) bool {
	c.plan.Judge[c.group] = c.sides
	switch v, why := verdict(c.group); v {
	case Bad:
		c.plan.Back = append(c.plan.Back, Back{c.group, c.Previous, why})
	case Pending:
		c.says("the trial of %s: %s", words(c.want), why)
	default:
		return true
	}
	return false
}

func reached(all []Instance) []Instance {
	return slices.DeleteFunc(slices.Clone(all), func(i Instance) bool { return !i.Fresh })
}

// zones has the others follow, one zone after the other; one that is not reached is waited for.
func (c *change) zones() {
	zone := c.lag[0].Zone // they are sorted
	name := "zone " + zone
	rounds, waits := c.stage(name)
	if waits {
		return
	}
	c.submit(name, rounds, reached(slices.DeleteFunc(slices.Clone(c.lag), func(i Instance) bool { return i.Zone != zone })))
}

func (c *change) submit(stage string, round int, targets []Instance) {
	if len(targets) == 0 {
		c.says("waits: no instance is reached on the way to %s, %s", words(c.want), stage)
		return
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, fmt.Sprintf("%d %q %q %d", c.Version, c.group, stage, round))
	j := &duty.Job{
		ID: protocol.NewID(time.UnixMilli(max(0, c.At.UnixMilli())), h.Sum64()), Kind: protocol.Upgrade, Operator: duty.Fleet,
		Program: c.want, Change: c.Version, Stage: stage, MaxUnavailable: c.state.Document.Budgets.Away,
	}
	for _, i := range targets {
		j.Targets = append(j.Targets, i.Target)
	}
	c.plan.Submit = append(c.plan.Submit, j)
	c.says("goes to %s, %s", words(c.want), stage)
}

func words(program string) string {
	if program == "" {
		return "the agents' own program"
	}
	return program
}
