package rollout

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"otterstep/internal/fleet/duty"
)

// InstanceStatus is an instance's last state as observed by the duty's owner.
type InstanceStatus struct {
	Group string
	// Reached is set if the instance's agent refuses older owners and has answered a status
	// request after that. The state of an instance that is not reached is unknown: an older
	// owner's order may be in progress on it.
	Reached bool
	Serving bool // it is up, and no operation is in progress on it
	Drained bool // it is desired to be down
	Zone    string
	Stuck   string // why it does not come back by itself, if it does not
}

// Limits apply over all jobs together. The zero value sets no limit.
type Limits struct {
	ZoneUnavailable int     // instances of a zone that may be away at once; 0: no limit
	StartsPerSecond float64 // instances started per second; 0: no limit
}

// Step is one instance of a job to work on now.
type Step struct {
	Job    *duty.Job
	Target duty.Target
	// Resumed is set if an earlier owner recorded the intent: how far it got is not known here
	// and has to be checked first.
	Resumed bool
}

// Decision is what to do now.
type Decision struct {
	Begin    []Step
	Skip     []Step            // drained instances, which stay drained
	Stop     map[string]string // jobs to stop, with the reason
	Messages map[string]string // waiting jobs, with the reason
}

// Scheduler decides for all jobs of a fleet together: they share the budget of each group with
// each other and with instances that are away for other reasons. It does no I/O and has no
// clock. Each new owner of the duty creates one; earlier decisions are in the jobs' steps.
type Scheduler struct {
	plans     map[string]*jobPlan
	busy      map[string]string // job by key, for the instances being worked on
	nextStart time.Time         // when the next instance may be started, by Limits.StartsPerSecond
}

// jobPlan is a job's plan since it was submitted or last resumed; for a job that is not active,
// a plan that finishes what is in progress.
type jobPlan struct {
	*Plan
	resumeCount int
	active      bool
}

// NewScheduler creates a Scheduler without jobs.
func NewScheduler() *Scheduler {
	return &Scheduler{plans: map[string]*jobPlan{}, busy: map[string]string{}}
}

// Busy returns the number of steps that were begun and have not ended.
func (d *Scheduler) Busy() int { return len(d.busy) }

// Next returns what to do now. seen has every instance of the fleet by key. No step of a job
// begins before its Baseline is known.
func (d *Scheduler) Next(now time.Time, jobs []*duty.Job, seen map[string]InstanceStatus, limits Limits) Decision {
	decision := Decision{Stop: map[string]string{}, Messages: map[string]string{}}
	intents := map[string]string{} // by key, of any job
	for _, j := range jobs {
		for i, step := range j.Steps {
			if step.Phase == duty.Intent {
				intents[j.Targets[i].Key()] = j.ID
			}
		}
	}
	zones := map[string]int{} // instances that are away
	for key, s := range seen {
		if !s.Drained && (!s.Reached || !s.Serving || d.busy[key] != "" || intents[key] != "") {
			zones[s.Zone]++
		}
	}
	for _, j := range jobs {
		if !j.Open() {
			delete(d.plans, j.ID)
			continue
		}
		if j.Baseline == nil && j.Intents() == 0 {
			continue
		}
		p := d.plans[j.ID]
		if active := j.State == duty.Active; p == nil || p.resumeCount != j.ResumeCount || p.active != active {
			p = &jobPlan{d.newPlan(j), j.ResumeCount, active}
			d.plans[j.ID] = p
		}
		p.SetGroup(groupKeys(j, jobs, seen))
		limitReason := ""
		allow := func(key string, serving bool) bool {
			s := seen[key]
			switch {
			case limits.StartsPerSecond > 0 && now.Before(d.nextStart):
				limitReason = "for the start rate limit, as " + strconv.FormatFloat(limits.StartsPerSecond, 'g', 3, 64) + " instances per second may be started"
				return false
			case serving && limits.ZoneUnavailable > 0 && zones[s.Zone] >= limits.ZoneUnavailable:
				limitReason = fmt.Sprintf("%d of zone %q are away, and at most %d may be", zones[s.Zone], s.Zone, limits.ZoneUnavailable)
				return false
			}
			if limits.StartsPerSecond > 0 {
				d.nextStart = now.Add(time.Duration(float64(time.Second) / limits.StartsPerSecond))
			}
			if serving {
				zones[s.Zone]++
			}
			return true
		}
		toStart := p.Next(now, func(key string) InstanceState {
			s, known := seen[key]
			step, ownStep := j.Step(key)
			switch {
			case d.busy[key] != "", intents[key] != "" && intents[key] != j.ID:
				return Unavailable
			case !known || !s.Reached:
				return Unavailable
			case ownStep && step.Phase == duty.Intent:
				return Started // whatever its observed state
			case s.Drained:
				return Drained
			case !s.Serving:
				return Away
			}
			return Serving
		}, allow)
		for _, key := range toStart {
			i := slices.IndexFunc(j.Targets, func(t duty.Target) bool { return t.Key() == key })
			d.busy[key] = j.ID
			decision.Begin = append(decision.Begin, Step{j, j.Targets[i], j.Steps[i].Phase == duty.Intent})
		}
		for i, t := range j.Targets {
			if s := seen[t.Key()]; j.State == duty.Active && j.Steps[i].Phase == duty.NotStarted && d.busy[t.Key()] == "" && s.Reached && s.Drained {
				decision.Skip = append(decision.Skip, Step{Job: j, Target: t})
			}
		}
		if why := p.StopReason(); why != "" && j.State == duty.Active {
			decision.Stop[j.ID] = why
		}
		if why := p.WaitReason(); why != "" {
			decision.Messages[j.ID] = "waits: " + cmp.Or(limitReason, why) + unreachedSuffix(j, seen) + stuckSuffix(p.opt.Group, seen)
		}
	}
	return decision
}

// stuckSuffix describes the instances of a group that do not come back by themselves: a job that waits for these waits for
// an operator.
func stuckSuffix(group []string, seen map[string]InstanceStatus) string {
	n, first := 0, ""
	for _, key := range group {
		if s := seen[key]; s.Stuck != "" && !s.Drained {
			if n++; n == 1 {
				first = key + " " + s.Stuck
			}
		}
	}
	switch n {
	case 0:
		return ""
	case 1:
		return "; " + first + " and does not come back by itself: start or drain it"
	}
	return fmt.Sprintf("; %s and %d more do not come back by themselves: start or drain them", first, n-1)
}

// unreachedSuffix names an agent that is not reached and without which a job can't continue.
func unreachedSuffix(j *duty.Job, seen map[string]InstanceStatus) string {
	for i, t := range j.Targets {
		if s, known := seen[t.Key()]; (j.Steps[i].Phase == duty.NotStarted || j.Steps[i].Phase == duty.Intent) && (!known || !s.Reached) {
			return "; agent " + t.Agent + " is not reached, and what it has counts as away"
		}
	}
	return ""
}

// groupKeys returns the keys that count against a job's budget: the instances of its groups, as observed
// and as named by any job, since an agent that was never reached has instances too.
func groupKeys(j *duty.Job, jobs []*duty.Job, seen map[string]InstanceStatus) []string {
	groups, keys := map[string]bool{}, map[string]bool{}
	for _, t := range j.Targets {
		groups[t.Group], keys[t.Key()] = true, true
	}
	for key, s := range seen {
		if groups[s.Group] {
			keys[key] = true
		}
	}
	for _, other := range jobs {
		for _, t := range other.Targets {
			if _, known := seen[t.Key()]; !known && groups[t.Group] {
				keys[t.Key()] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(keys))
}

// newPlan creates the plan for the rest of a job. Steps that may be in progress come first.
func (d *Scheduler) newPlan(j *duty.Job) *Plan {
	opt := Options{MaxUnavailable: j.MaxUnavailable, Pause: j.Pause, NoStallTimeout: true, FinishOnly: j.State != duty.Active, Group: []string{}}
	var waiting []string
	for i, t := range j.Targets {
		switch j.Steps[i].Phase {
		case duty.Intent:
			opt.Instances = append(opt.Instances, t.Key())
		case duty.NotStarted:
			if j.State == duty.Active {
				waiting = append(waiting, t.Key())
			}
		}
	}
	opt.Instances = append(opt.Instances, waiting...)
	baseline := Counts{}
	if j.Baseline != nil {
		baseline = *j.Baseline
	}
	p, err := New(opt, baseline)
	if err != nil { // duty.CheckJob has excluded it
		p, _ = New(Options{MaxUnavailable: 1}, Counts{})
		p.Stop(err.Error())
	}
	return p
}

// Ended records the end of a step; err is why its instance did not come back.
func (d *Scheduler) Ended(now time.Time, job, key string, err error) {
	delete(d.busy, key)
	if p := d.plans[job]; p != nil {
		p.Ended(now, key, err)
	}
}

// Withdrawn records that the step was not begun, and queues the instance again.
func (d *Scheduler) Withdrawn(job, key string) {
	delete(d.busy, key)
	if p := d.plans[job]; p != nil {
		p.Withdrawn(key)
	}
}

// Observe judges the recent answers of a job's instances.
func (d *Scheduler) Observe(job string, c Counts) {
	if p := d.plans[job]; p != nil {
		p.Observe(c)
	}
}
