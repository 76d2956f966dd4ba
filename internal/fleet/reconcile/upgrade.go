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
	// One of every instancesPerTrial instances of a group gets a new version first.
	instancesPerTrial = 20
	// maxRounds bounds the jobs of one stage for one change: each handles the instances that the one before
	// left behind.
	maxRounds = 8
)

// Instance is the last observed state of an instance.
type Instance struct {
	duty.Target
	Zone    string
	Program string
	Up      bool // it is desired to be up
	Serving bool
	Fresh   bool // the state is recent enough for decisions
}

// Revert reverts a group's version.
type Revert struct {
	Group  string
	To     string // the previous version
	Reason string
}

// Plan is what to do for groups whose instances do not all have the desired program.
type Plan struct {
	Submit   []*duty.Job
	Cancel   []string // jobs whose program is no longer desired
	Reverts  []Revert
	Messages map[string]string // by group
	// Trials has the groups whose new version is to be compared with the old one, with the instances of each.
	Trials map[string]Cohorts
	// Completed has the groups all of whose instances now serve with the program of a version.
	Completed map[string]desired.Version
}

// Cohorts are a group's instances, by AGENT/INSTANCE: those with the desired version, and the others.
type Cohorts struct{ New, Old []string }

// PlanUpgrades plans the next steps. Each step is a separate job whose id is derived from the change, so that another
// owner that makes the same decision submits the same job. verdict judges a group's version; it is called only once
// the trial's job has succeeded.
func PlanUpgrades(s *desired.State, all []Instance, jobs []*duty.Job, verdict func(group string) (Verdict, string)) Plan {
	p := Plan{Messages: map[string]string{}, Trials: map[string]Cohorts{}, Completed: map[string]desired.Version{}}
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
		p.planGroup(s, name, groups[name], jobs, verdict)
	}
	return p
}

func (p *Plan) planGroup(s *desired.State, group string, all []Instance, jobs []*duty.Job, verdict func(string) (Verdict, string)) {
	slices.SortFunc(all, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Key(), b.Key()))
	})
	g := &groupUpgrade{ProgramChange: s.Programs[group], plan: p, state: s, group: group, want: s.Program(group)}
	for _, j := range jobs {
		if j.Kind == protocol.Upgrade && j.Operator == duty.Fleet && j.Change == g.Version && j.Targets[0].Group == group {
			g.jobs = append(g.jobs, j)
		}
	}
	for _, i := range all {
		switch {
		case i.Program == g.want:
			g.cohorts.New = append(g.cohorts.New, i.Key())
			switch {
			case i.Up && i.Fresh:
				g.updated = append(g.updated, i)
			case i.Up:
				g.unreached = i.Key()
			}
		case i.Up:
			g.cohorts.Old = append(g.cohorts.Old, i.Key())
			g.outdated = append(g.outdated, i)
		}
	}
	if g.revertIfStopped() {
		return
	}
	// A version that the fleet itself has reverted to served before and needs no trial.
	needsTrial := g.By != duty.Fleet && g.Version != 0 && len(all) > 1
	if len(g.outdated) == 0 {
		if len(g.updated) > 0 && g.unreached == "" && g.Version != 0 && !g.Completed && !slices.ContainsFunc(g.updated, func(i Instance) bool { return !i.Serving }) &&
			(!needsTrial || g.trialPassed(verdict)) {
			p.Completed[group] = g.Version
		}
		return
	}
	if needsTrial && !g.runTrial(verdict) {
		return
	}
	g.nextZone()
}

// groupUpgrade is a group on its way to a program.
type groupUpgrade struct {
	desired.ProgramChange
	plan      *Plan
	state     *desired.State
	group     string
	want      string
	jobs      []*duty.Job // of this change
	outdated  []Instance  // desired to be up, without the program
	updated   []Instance  // with the program, reached
	unreached string      // one with the program that is not reached
	cohorts   Cohorts
}

func (c *groupUpgrade) setMessage(format string, args ...any) {
	c.plan.Messages[c.group] = fmt.Sprintf(format, args...)
}

// revertIfStopped plans to revert the version once a job of this change was stopped, and returns true then. If the revert itself
// was stopped, it is left to an operator.
func (c *groupUpgrade) revertIfStopped() bool {
	for _, j := range c.jobs {
		if j.State != duty.Stopped || j.Intents() > 0 {
			continue
		}
		why := j.Reason
		for i, step := range j.Steps {
			if step.Phase == duty.Failed {
				why = fmt.Sprintf("%s: %s", j.Targets[i].Key(), step.Text)
			}
		}
		if c.By == duty.Fleet || c.Version == 0 {
			c.setMessage("STOPPED on the way to %s, %s: job %s: %s; continue with otterctl jobs resume", programLabel(c.want), j.Stage, j.ID, why)
		} else {
			c.plan.Reverts = append(c.plan.Reverts, Revert{c.group, c.Previous, j.Stage + ": " + why})
		}
		return true
	}
	return false
}

// stageStatus returns how many jobs a stage has had, and whether it has to wait for one of them; only an operator continues
// a job that an operator has paused or cancelled.
func (c *groupUpgrade) stageStatus(name string) (rounds int, waits bool) {
	for _, j := range c.jobs {
		if j.Stage != name {
			continue
		}
		if rounds++; j.State != duty.Finished {
			c.setMessage("on the way to %s, %s: job %s is %s", programLabel(c.want), name, j.ID, j.State)
			waits = true
		}
	}
	if rounds == maxRounds && !waits {
		c.setMessage("STOPPED on the way to %s: %s is not complete after %d jobs", programLabel(c.want), name, rounds)
		waits = true
	}
	return rounds, waits
}

// runTrial upgrades the change's first instances, and reports whether the others may follow.
func (c *groupUpgrade) runTrial(verdict func(string) (Verdict, string)) bool {
	const name = "trial"
	rounds, waits := c.stageStatus(name)
	if waits {
		return false
	}
	if !slices.ContainsFunc(c.updated, func(i Instance) bool { return i.Serving }) {
		if c.unreached != "" {
			c.setMessage("waits: %s has %s already and is not reached", c.unreached, programLabel(c.want))
			return false
		}
		size := 1 + (len(c.outdated)-1)/instancesPerTrial
		first := c.updated[:min(size, len(c.updated))] // some may have the program already without serving: the trial is theirs
		if len(first) == 0 {
			first = onlyFresh(c.outdated)
			first = first[:min(size, len(first))]
		}
		c.submit(name, rounds, first)
		return false
	}
	return c.trialPassed(verdict)
}

// trialPassed reports whether the version has passed its trial; if it failed, it is reverted, and otherwise observed further.
func (c *groupUpgrade) trialPassed(verdict func(string) (Verdict, string)) bool {
	c.plan.Trials[c.group] = c.cohorts
	switch v, why := verdict(c.group); v {
	case Failed:
		c.plan.Reverts = append(c.plan.Reverts, Revert{c.group, c.Previous, why})
	case Pending:
		c.setMessage("the trial of %s: %s", programLabel(c.want), why)
	default:
		return true
	}
	return false
}

func onlyFresh(all []Instance) []Instance {
	return slices.DeleteFunc(slices.Clone(all), func(i Instance) bool { return !i.Fresh })
}

// nextZone upgrades the remaining instances, one zone after the other; it waits for a zone whose instances are not reached.
func (c *groupUpgrade) nextZone() {
	zone := c.outdated[0].Zone // they are sorted
	name := "zone " + zone
	rounds, waits := c.stageStatus(name)
	if waits {
		return
	}
	c.submit(name, rounds, onlyFresh(slices.DeleteFunc(slices.Clone(c.outdated), func(i Instance) bool { return i.Zone != zone })))
}

func (c *groupUpgrade) submit(stage string, round int, targets []Instance) {
	if len(targets) == 0 {
		c.setMessage("waits: no instance is reached on the way to %s, %s", programLabel(c.want), stage)
		return
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, fmt.Sprintf("%d %q %q %d", c.Version, c.group, stage, round))
	j := &duty.Job{
		ID: protocol.NewID(time.UnixMilli(max(0, c.At.UnixMilli())), h.Sum64()), Kind: protocol.Upgrade, Operator: duty.Fleet,
		Program: c.want, Change: c.Version, Stage: stage, MaxUnavailable: c.state.Document.Budgets.Unavailable,
	}
	for _, i := range targets {
		j.Targets = append(j.Targets, i.Target)
	}
	c.plan.Submit = append(c.plan.Submit, j)
	c.setMessage("upgrading to %s, %s", programLabel(c.want), stage)
}

func programLabel(program string) string {
	if program == "" {
		return "the agents' own program"
	}
	return program
}
