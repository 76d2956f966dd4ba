// Package owner executes a duty at the agent that owns it: Rollouts, which runs the fleet's jobs, and Fleet,
// which reconciles the fleet with its desired state. Packages rollout and reconcile decide the next
// steps, and the council stores progress; this package makes the calls. An owner that is partitioned,
// stopped or slow loses its duty to another agent. Agents then refuse its orders by their token, so that
// correctness does not depend on timing here.
package owner

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"otterstep/internal/boottime"
	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/rollout"
)

const (
	idleInterval     = 250 * time.Millisecond
	minWait          = 50 * time.Millisecond
	decisionInterval = 50 * time.Millisecond
	// pollInterval is how often each agent is polled, callTimeout bounds a call to it. A result older than
	// freshFor is stale.
	pollInterval   = 250 * time.Millisecond
	callTimeout    = time.Second
	freshFor       = 2 * time.Second
	healthPeriod   = time.Second
	baselinePolls  = 2 // after the initial poll: one second of answers
	retryDelay     = 200 * time.Millisecond
	heldRetryDelay = time.Second // delay before the next attempt at an instance that is held by another operation
)

// Points in the processing of an order and of a fleet call at which Options.Hook is called.
const (
	BeforeIntent  = "intent"   // before the intent is written
	BeforeSend    = "send"     // before the order is sent
	AfterSend     = "sent"     // after the order was accepted and its operation has ended or failed
	AfterEnd      = "answered" // after the outcome is known
	BetweenOrders = "between"  // after the outcome is written

	BeforeFleetCall = "word" // before the desired state is sent to an agent, or the agent is polled
	AfterFleetCall  = "told" // after the agent has answered or the call has failed
)

// Council gives access to the council.
type Council interface {
	Do(ctx context.Context, c duty.Command) (duty.Answer, error)
	Renew(ctx context.Context, r duty.Renewal) error
	// Known returns the view of this agent's voter. Changed returns a channel that is closed at the next
	// change of it.
	Known() (duty.View, bool)
	Changed() <-chan struct{}
	// Memories returns the data that the council stores of agents, which lists the instances of agents that
	// this owner has never reached.
	Memories() map[string]duty.AgentData
	// KnownDesired returns the desired state as known to this agent's voter, or nil if its version equals known.
	KnownDesired(known desired.Version) *desired.State
}

// Options configures an Owner or a FleetOwner.
type Options struct {
	Name    string
	Lease   time.Duration
	Clock   boottime.Clock
	Council Council
	Fleet   *group.Fleet
	Log     *slog.Logger
	Hook    func(step, instance string) // test hook; may be nil
}

// Owner executes duty Rollouts while its agent owns it. Run it with Run.
type Owner struct{ opt Options }

// New returns an Owner.
func New(opt Options) *Owner { return &Owner{opt.withDefaults()} }

// withDefaults returns the options with defaults for unset fields.
func (o Options) withDefaults() Options {
	if o.Hook == nil {
		o.Hook = func(string, string) {}
	}
	return o
}

// Run acquires the duty whenever there are open jobs and it has no owner, until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	contend(ctx, o.opt, duty.Rollouts, func() bool {
		v, ok := o.opt.Council.Known()
		return ok && anyOpen(v.Jobs)
	}, o.runJobs)
}

func anyOpen(jobs []*duty.Job) bool {
	return slices.ContainsFunc(jobs, func(j *duty.Job) bool { return j.Open() })
}

// pollResult is an agent's latest answer since it accepted this owner's token.
type pollResult struct {
	at        time.Time
	instances []protocol.Instance
}

// jobRunner executes jobs during one ownership of duty Rollouts.
type jobRunner struct {
	*tenure
	results chan stepResult
	health  map[string]*jobHealth // by job; used by loop only
	// version is the desired-state version from which bounds was read. Both are used by loop only.
	version desired.Version
	bounds  rollout.Limits

	mu    sync.Mutex
	polls map[string]pollResult // by agent; only agents that accepted the token
}

// jobHealth polls the answer counts of a job's instances concurrently with loop.
type jobHealth struct {
	cancel context.CancelFunc
	judged int // the number of the poll that was judged last; used by loop only

	mu     sync.Mutex
	latest rollout.Counts
	polls  int
}

// stepResult is how the execution of a step ended.
type stepResult struct {
	job, key  string
	err       error // the order failed
	withdrawn bool  // no order was started, or its outcome is left to the next owner
}

// outcomeUnknown is the text of a failed order whose agent lost its state after the intent was written.
const outcomeUnknown = "the agent lost its state after the order was planned: whether it was done can't be told; use jobs resume to retry"

// runJobs executes open jobs until the duty is lost, ctx ends or no job is open.
func (o *Owner) runJobs(ctx context.Context, t *tenure) {
	jr := &jobRunner{tenure: t, results: make(chan stepResult), health: map[string]*jobHealth{}, polls: map[string]pollResult{}}
	for _, a := range o.opt.Fleet.Clients() {
		jr.work.Go(func() { jr.pollAgent(ctx, a) })
	}
	jr.loop(ctx)
}

// pollAgent sends the token to an agent until it accepts it, and polls its instances from then on.
func (jr *jobRunner) pollAgent(ctx context.Context, a *client.Client) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	raised := false
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		start := time.Now() // the answer may reflect the state at the time of the request
		var list []protocol.Instance
		var err error
		if raised {
			list, err = a.Instances(callCtx)
		} else {
			var r protocol.FenceAnswer
			r, err = a.RaiseToken(callCtx, jr.fence)
			list = r.Instances
		}
		cancel()
		switch {
		case err == nil:
			raised = true
			jr.mu.Lock()
			jr.polls[a.Name()] = pollResult{start, list}
			jr.mu.Unlock()
		case fenced(err):
			jr.cancel(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// latestInstances returns all instances as last polled, as package rollout needs them and as the agents
// reported them. Instances of agents that were never reached are taken from the council's data.
func (jr *jobRunner) latestInstances() (map[string]rollout.InstanceStatus, map[string]protocol.Instance) {
	all, raw := map[string]rollout.InstanceStatus{}, map[string]protocol.Instance{}
	for agent, m := range jr.opt.Council.Memories() {
		for name, d := range m.Instances {
			all[duty.Target{Agent: agent, Instance: name}.Key()] = rollout.InstanceStatus{Group: d.Group}
		}
	}
	jr.mu.Lock()
	defer jr.mu.Unlock()
	for agent, l := range jr.polls {
		maps.DeleteFunc(all, func(key string, _ rollout.InstanceStatus) bool { return strings.HasPrefix(key, agent+"/") }) // the agent's own answer replaces the council's data
		for _, i := range l.instances {
			key := duty.Target{Agent: agent, Instance: i.Name}.Key()
			raw[key] = i
			all[key] = rollout.InstanceStatus{
				Group: i.Group, Reached: time.Since(l.at) < freshFor,
				Serving: i.State == protocol.StateUp && i.Operation == "", Drained: i.Desired == "down", Zone: i.Labels["zone"], Stuck: stuckReason(i),
			}
		}
	}
	return all, raw
}

// stuckReason returns why an instance does not recover by itself, or "" if it may.
func stuckReason(i protocol.Instance) string {
	switch i.State {
	case protocol.StateGaveUp:
		return "crashed too often"
	case protocol.StateHeld:
		return "is held, as its desired state is unknown"
	case protocol.StateUnknown:
		return "can't be distinguished from another process"
	}
	return ""
}

// limits returns the fleet's rollout limits as known to this agent's voter.
func (jr *jobRunner) limits() rollout.Limits {
	if s := jr.opt.Council.KnownDesired(jr.version); s != nil {
		jr.version, jr.bounds = s.Document.Version, rollout.Limits{ZoneUnavailable: s.Document.Budgets.ZoneUnavailable, StartsPerSecond: s.Document.Budgets.StartsPerSecond}
	}
	return jr.bounds
}

// loop decides on steps and starts them until the ownership ends.
func (jr *jobRunner) loop(ctx context.Context) {
	desk := rollout.NewScheduler()
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-jr.results:
			if e.withdrawn {
				desk.Withdrawn(e.job, e.key)
			} else {
				desk.Ended(time.Now(), e.job, e.key, e.err)
			}
		case <-ticker.C:
		}
		v, ok := jr.opt.Council.Known()
		if !jr.voterHasApplied(v, ok) {
			continue // the local voter has not yet applied this ownership
		}
		if !anyOpen(v.Jobs) && desk.Busy() == 0 {
			jr.cancel(errNoWork)
			return
		}
		jr.observe(ctx, v.Jobs, desk)
		if !jr.checkLease() {
			continue
		}
		seen, raw := jr.latestInstances()
		decision := desk.Next(time.Now(), v.Jobs, seen, jr.limits())
		jr.setMessages(decision.Messages)
		for _, step := range decision.Skip {
			_, _ = jr.mark(ctx, step, duty.Skipped, "the instance is drained and stays drained") // if it fails, the next iteration retries
		}
		for job, why := range decision.Stop {
			jr.log.Warn("stopping job", "job", job, "why", why)
			_, _ = jr.opt.Council.Do(ctx, duty.Command{Stop: &duty.Stop{Token: jr.fence.Token, Job: job, Reason: why}}) // if it fails, the next iteration retries
		}
		for _, step := range decision.Begin {
			i := raw[step.Target.Key()]
			jr.work.Go(func() {
				e := jr.runStep(ctx, step, i)
				select {
				case jr.results <- e:
				case <-ctx.Done():
				}
			})
		}
	}
}

// observe polls the answer counts of each open job's instances. A job's first owner stores the baseline from
// before the job started; later counts are judged against it.
func (jr *jobRunner) observe(ctx context.Context, jobs []*duty.Job, desk *rollout.Scheduler) {
	for _, j := range jobs {
		h := jr.health[j.ID]
		switch {
		case !j.Open() && h != nil:
			h.cancel()
			delete(jr.health, j.ID)
		case !j.Open():
		case h == nil:
			h = &jobHealth{}
			var pollCtx context.Context
			pollCtx, h.cancel = context.WithCancel(ctx)
			jr.health[j.ID] = h
			jr.work.Go(func() { h.poll(pollCtx, group.NewHealth(jr.opt.Fleet), func() []group.Row { return jr.rows(j) }) })
		default:
			c, polls := h.get()
			switch {
			case polls == 0 || polls == h.judged:
			case j.Baseline == nil && polls >= baselinePolls:
				h.judged = polls
				base := duty.Baseline{Token: jr.fence.Token, Job: j.ID, Answers: c}
				if _, err := jr.opt.Council.Do(ctx, duty.Command{Baseline: &base}); err != nil {
					jr.log.Debug("storing the baseline failed; retrying", "job", j.ID, "err", err)
				}
			case j.Baseline != nil:
				h.judged = polls
				desk.Observe(j.ID, c)
			}
		}
	}
}

// rows returns a job's instances at agents that answer, as polling others would only wait for a
// timeout. Instances with an order in progress are omitted: a draining instance would wait for the
// connection of the poll.
func (jr *jobRunner) rows(j *duty.Job) []group.Row {
	if latest, ok := jr.job(j.ID); ok {
		j = latest
	}
	jr.mu.Lock()
	defer jr.mu.Unlock()
	var rows []group.Row
	for i, target := range j.Targets {
		if l, known := jr.polls[target.Agent]; known && time.Since(l.at) < freshFor && j.Steps[i].Phase != duty.Intent {
			rows = append(rows, group.Row{Agent: target.Agent, Instance: protocol.Instance{Name: target.Instance}})
		}
	}
	return rows
}

// poll polls until ctx ends. The first poll only gives the start values of the counters.
func (h *jobHealth) poll(ctx context.Context, health *group.Health, rows func() []group.Row) {
	ticker := time.NewTicker(healthPeriod / 2)
	defer ticker.Stop()
	for n := 0; ; n++ {
		c := health.Sample(ctx, rows())
		h.mu.Lock()
		h.latest, h.polls = c, n
		h.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// get returns the latest counts, and the number of polls after the first.
func (h *jobHealth) get() (rollout.Counts, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latest, h.polls
}

// mark sets a step's phase at the council, retrying while the council is unavailable, and returns the step.
func (jr *jobRunner) mark(ctx context.Context, step rollout.Step, phase, text string) (duty.Step, error) {
	m := duty.SetPhase{Token: jr.fence.Token, Job: step.Job.ID, Key: step.Target.Key(), Phase: phase, Text: text, Forgotten: text == outcomeUnknown}
	if phase == duty.Intent {
		m.IntendedAt = time.Now().Truncate(time.Millisecond)
	}
	for {
		a, err := jr.opt.Council.Do(ctx, duty.Command{SetPhase: &m})
		var refused *protocol.Error
		switch {
		case fenced(err):
			jr.cancel(err)
			return duty.Step{}, err
		case err == nil:
			marked, _ := a.Job.Step(m.Key)
			return marked, nil
		case errors.As(err, &refused) && refused.Code != protocol.CodeNoCouncil:
			return duty.Step{}, err
		}
		select {
		case <-ctx.Done():
			return duty.Step{}, context.Cause(ctx)
		case <-time.After(retryDelay):
		}
	}
}

// orderID returns the ID of a job's order to an instance. It is the same for every owner that sends the order,
// so that the agent executes it once.
func orderID(job, key string, step duty.Step) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, job+" "+key)
	return protocol.NewID(step.IntendedAt, h.Sum64())
}

// runStep executes one step of a job: it writes the intent, sends the order and writes the outcome.
func (jr *jobRunner) runStep(ctx context.Context, step rollout.Step, i protocol.Instance) stepResult {
	key := step.Target.Key()
	e := stepResult{job: step.Job.ID, key: key}
	jr.opt.Hook(BeforeIntent, key)
	if !jr.checkLease() {
		e.withdrawn = true
		return e
	}
	marked, err := jr.mark(ctx, step, duty.Intent, "")
	if err != nil {
		e.withdrawn = true // the job was paused or cancelled, or the duty was lost
		return e
	}
	a := jr.opt.Fleet.Client(step.Target.Agent)
	if a == nil {
		e.err = fmt.Errorf("agent %s is not in [council]", step.Target.Agent)
		_, _ = jr.mark(ctx, step, duty.Failed, e.err.Error()) // if it fails, the next owner retries
		return e
	}
	phase, text := jr.sendOrder(ctx, a, step, i, orderID(step.Job.ID, key, marked))
	jr.opt.Hook(AfterEnd, key)
	if phase == "" && ctx.Err() != nil {
		e.withdrawn = true // the intent stays, and the next owner checks the order's outcome
		return e
	}
	if phase == duty.Failed {
		e.err = errors.New(text)
	}
	e.withdrawn = phase == duty.NotStarted
	if _, err := jr.mark(ctx, step, phase, text); err != nil {
		e.withdrawn = true
		return e
	}
	jr.log.Info("order ended", "job", step.Job.ID, "instance", key, "phase", phase, "text", text)
	jr.opt.Hook(BetweenOrders, key)
	return e
}

// sendOrder sends an order and waits for its end. The phase is NotStarted if the order was not started.
func (jr *jobRunner) sendOrder(ctx context.Context, a *client.Client, step rollout.Step, i protocol.Instance, id string) (phase, text string) {
	name := step.Target.Instance
	for {
		if i.Desired == "down" {
			if done, phase, text := jr.resolveDrained(ctx, a, id, name); done {
				return phase, text
			}
		}
		jr.opt.Hook(BeforeSend, step.Target.Key())
		if !jr.checkLease() {
			return duty.NotStarted, ""
		}
		fence := jr.fence
		_, err := a.Open(ctx, protocol.CommandRequest{
			ID: id, Kind: step.Job.Kind, Instances: []protocol.InstanceGeneration{{Name: name, Generation: i.Generation}},
			Plan: fmt.Sprintf(`{"job":%q}`, step.Job.ID), Resume: true, Fence: &fence, OnBehalf: step.Job.Operator, Program: step.Job.Program,
		})
		var refused *protocol.Error
		switch {
		case err == nil:
			o, err := group.RunOperation(ctx, a, id, name)
			jr.opt.Hook(AfterSend, step.Target.Key())
			return jr.outcome(ctx, a, id, o, err)
		case fenced(err):
			jr.cancel(err)
			return duty.NotStarted, ""
		case errors.As(err, &refused) && refused.Code == protocol.CodeConflict:
			// The instance is held by another operation, or has changed since it was polled.
			jr.setMessage(step.Job.ID, "waits: "+refused.Text)
			if j, ok := jr.job(step.Job.ID); ok && j.State != duty.Active && !step.Resumed {
				return duty.NotStarted, ""
			}
		case errors.As(err, &refused) && refused.Code == protocol.CodeTooOld:
			if started(ctx, a, id, name) {
				return duty.Done, ""
			}
			return duty.Failed, outcomeUnknown
		case errors.As(err, &refused) && refused.Code != protocol.CodeRecord && refused.Code != protocol.CodeForgetful:
			return duty.Failed, refused.Text
		}
		select {
		case <-ctx.Done():
			return duty.NotStarted, ""
		case <-time.After(heldRetryDelay):
		}
		if _, raw := jr.latestInstances(); raw[step.Target.Key()].Name != "" {
			i = raw[step.Target.Key()]
		}
	}
}

// started reports whether a process was started for an order, by the instance's run file, which is available
// even if the agent has lost its state.
func started(ctx context.Context, a *client.Client, id, name string) bool {
	list, err := a.Instances(ctx)
	return err == nil && slices.ContainsFunc(list, func(i protocol.Instance) bool { return i.Name == name && i.Order == id })
}

// resolveDrained decides on an order to an instance that is desired to be down by now: an operation that was
// started runs to its end, and no other is started. done is false if the order is to be sent.
func (jr *jobRunner) resolveDrained(ctx context.Context, a *client.Client, id, name string) (done bool, phase, text string) {
	c, err := a.Command(ctx, id)
	var refused *protocol.Error
	switch {
	case errors.As(err, &refused) && refused.Code == protocol.CodeNotFound:
		return true, duty.Skipped, "the instance was drained before the order was sent"
	case err != nil:
		return false, "", ""
	}
	for _, o := range c.Operations {
		switch {
		case o.Instance != name:
		case o.State == protocol.Done:
			return true, duty.Done, "the instance was drained afterwards"
		case o.State != protocol.Running:
			return true, duty.Skipped, "the instance was drained; the order was " + o.State
		default:
			return false, "", ""
		}
	}
	return true, duty.Skipped, "the instance was drained before the order was started"
}

// outcome returns the phase and text of an operation that has ended.
func (jr *jobRunner) outcome(ctx context.Context, a *client.Client, id string, o protocol.Operation, err error) (phase, text string) {
	var refused *protocol.Error
	switch {
	case fenced(err):
		jr.cancel(err)
		return duty.NotStarted, ""
	case errors.As(err, &refused):
		return duty.Failed, refused.Text
	case err != nil: // ctx ended before the operation did
		return "", err.Error()
	}
	if _, err := a.CloseCommand(ctx, id, "done"); err != nil {
		jr.log.Debug("closing the command failed; its lease will expire", "command", id, "err", err)
	}
	if o.State == protocol.Done {
		return duty.Done, o.Reason
	}
	if o.Reason == "" {
		return duty.Failed, o.State
	}
	return duty.Failed, o.Reason
}

func (jr *jobRunner) job(id string) (*duty.Job, bool) {
	v, ok := jr.opt.Council.Known()
	if !ok {
		return nil, false
	}
	i := slices.IndexFunc(v.Jobs, func(j *duty.Job) bool { return j.ID == id })
	if i < 0 {
		return nil, false
	}
	return v.Jobs[i], true
}
