package group

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/rollout"
)

const (
	// leaseTimeShare is the divisor of the remaining time that gives the time-out for one agent's lease.
	leaseTimeShare = 4
	// releaseTimeout limits the release of all leases; leases not released expire.
	releaseTimeout = time.Second
	retryDelay     = 200 * time.Millisecond
	operationWait  = 10 * time.Second
	// healthInterval is how often a rollout samples the group's health, and the length of the
	// baseline that it samples first.
	healthInterval  = time.Second
	rolloutInterval = 100 * time.Millisecond
)

// Outcomes of a command on one instance.
const (
	Done     = "done"
	Failed   = "failed"
	NoAnswer = "no-answer" // the agent did not answer, or the operation did not end in time
	Conflict = "conflict"
	Skipped  = "left" // not started
	Planned  = "would"
)

// Result is the result of a command on one instance.
type Result struct {
	Agent    string        `json:"agent"`
	Instance string        `json:"instance"`
	Outcome  string        `json:"outcome"`
	Text     string        `json:"text,omitempty"`
	Took     time.Duration `json:"took_ns"`
}

// Report is the result of a command.
type Report struct {
	ID       string           `json:"id"`
	Kind     string           `json:"kind"`
	Results  []Result         `json:"results"`
	Silent   []Unanswered     `json:"silent"`
	Conflict *protocol.Error  `json:"conflict,omitempty"` // nothing was started
	Holder   *protocol.Holder `json:"holder,omitempty"`
	Stopped  string           `json:"stopped,omitempty"` // why a rollout stopped early
}

// Plan is a command's kind and its pace over the instances.
type Plan struct {
	Kind           string        `json:"kind"`
	MaxUnavailable int           `json:"max_unavailable,omitempty"` // 0: all at once
	Pause          time.Duration `json:"pause,omitempty"`
}

// Order is a command to execute.
type Order struct {
	Plan
	Select Selector
	DryRun bool
	// Resume is the id of a command to resume with its own plan and instances.
	Resume string
	// Progress is called with each instance's result.
	Progress func(Result)
	// ID is the order's id; a new one if empty. Orders with the same id are the same
	// order.
	ID string
}

// Execute executes an order before ctx ends. It returns an error if the order itself is
// invalid; all other failures are in the report.
func (f *Fleet) Execute(ctx context.Context, o Order) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(Result) {}
	}
	listing := f.ListForSelection(ctx)
	var rows []Row
	var err error
	if o.Resume != "" {
		rows, err = f.resumedRows(ctx, &o, listing)
	} else {
		rows, err = listing.Select(o.Select)
	}
	if err != nil && len(listing.Silent) == 0 {
		return nil, err
	}
	if o.ID == "" {
		o.ID = protocol.NewID(time.Now(), rand.Uint64())
	}
	r := &Report{ID: o.ID, Kind: o.Kind, Results: []Result{}, Silent: listing.Silent}
	if err != nil { // the agents that may have the instances did not answer
		return r, nil
	}
	if o.DryRun {
		for _, row := range rows {
			r.Results = append(r.Results, Result{Agent: row.Agent, Instance: row.Name, Outcome: Planned, Text: fmt.Sprintf("%s (%s, generation %d)", o.Kind, row.State, row.Generation)})
		}
		return r, nil
	}
	c := &command{fleet: f, order: o, report: r, rows: map[string]Row{}}
	c.acquireLeases(ctx, rows)
	if r.Conflict != nil {
		return r, nil
	}
	keep, stop := context.WithCancel(ctx)
	var renewing sync.WaitGroup
	for _, a := range c.leased {
		renewing.Go(func() { c.renewLease(keep, a) })
	}
	if o.MaxUnavailable > 0 {
		c.rollOut(ctx)
	} else {
		c.runAll(ctx)
	}
	stop()
	renewing.Wait()
	c.releaseLeases("done")
	return r, nil
}

// resumedRows sets o to the command to resume and returns its instances.
func (f *Fleet) resumedRows(ctx context.Context, o *Order, listing Listing) ([]Row, error) {
	limit, cancel := withListTimeout(ctx)
	parts, _ := f.Command(limit, o.Resume)
	cancel()
	names := map[string]bool{}
	for _, p := range parts {
		if err := json.Unmarshal([]byte(p.Plan), &o.Plan); err != nil {
			return nil, fmt.Errorf("command %s: its plan can't be read: %w", p.ID, err)
		}
		for _, i := range p.Instances {
			names[p.Agent+"/"+i] = true
		}
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("no agent that answers knows of command %s: %w", o.Resume, ErrNoInstances)
	}
	o.ID = o.Resume
	var rows []Row
	for _, r := range listing.Rows {
		if names[r.Agent+"/"+r.Name] {
			rows = append(rows, r)
		}
	}
	if len(rows) == 0 {
		return nil, ErrNoInstances
	}
	return rows, nil
}

// command is an order being executed.
type command struct {
	fleet  *Fleet
	order  Order
	rows   map[string]Row // leased instances, by AGENT/NAME
	names  []string       // keys of rows, in order
	leased []*client.Client

	mu     sync.Mutex // guards report.Results
	report *Report
}

func (c *command) addResult(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Results = append(c.report.Results, r)
	c.order.Progress(r)
}

// acquireLeases acquires the leases, agent by agent in the order of their names. On a
// conflict it releases those it has acquired.
func (c *command) acquireLeases(ctx context.Context, rows []Row) {
	plan, err := json.Marshal(c.order.Plan)
	if err != nil {
		plan = nil // unreachable: the plan holds only a string and numbers
	}
	for _, a := range c.fleet.agents {
		var agentRows []Row
		request := protocol.CommandRequest{ID: c.order.ID, Kind: c.order.Kind, Plan: string(plan), Resume: c.order.Resume != ""}
		for _, r := range rows {
			if r.Agent == a.Name() {
				agentRows = append(agentRows, r)
				request.Instances = append(request.Instances, protocol.InstanceGeneration{Name: r.Name, Generation: r.Generation})
			}
		}
		if len(agentRows) == 0 {
			continue
		}
		began := time.Now()
		limit, cancel := context.WithTimeout(ctx, remaining(ctx)/leaseTimeShare)
		_, err := a.Open(limit, request)
		cancel()
		var refused *protocol.Error
		switch {
		case err == nil:
			c.leased = append(c.leased, a)
			for _, r := range agentRows {
				key := r.Agent + "/" + r.Name
				c.rows[key] = r
				c.names = append(c.names, key)
			}
		case errors.As(err, &refused) && (refused.Code == protocol.CodeConflict || refused.Code == protocol.CodeTooOld):
			c.report.Conflict, c.report.Holder = refused, refused.Holder
			c.releaseLeases("another command came first")
			for _, r := range rows {
				outcome, text := Skipped, ""
				if r.Agent == a.Name() && (refused.Instance == "" || refused.Instance == r.Name) {
					outcome, text = Conflict, refused.Text
				}
				c.addResult(Result{Agent: r.Agent, Instance: r.Name, Outcome: outcome, Text: text})
			}
			return
		case errors.As(err, &refused):
			for _, r := range agentRows {
				c.addResult(Result{Agent: r.Agent, Instance: r.Name, Outcome: Failed, Text: refused.Text, Took: time.Since(began)})
			}
		default:
			s := newUnanswered(a.Name(), began, err)
			c.report.Silent = append(c.report.Silent, s)
			for _, r := range agentRows {
				c.addResult(Result{Agent: r.Agent, Instance: r.Name, Outcome: NoAnswer, Text: s.Reason, Took: s.Waited})
			}
		}
	}
}

func remaining(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(end)
}

// releaseLeases releases the leases, even after the order's own deadline.
func (c *command) releaseLeases(reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, a := range c.leased {
		all.Go(func() { _, _ = a.CloseCommand(ctx, c.order.ID, reason) }) // if it fails, the lease expires
	}
	all.Wait()
}

// renewLease renews the lease at an agent until ctx ends.
func (c *command) renewLease(ctx context.Context, a *client.Client) {
	every := time.NewTicker(protocol.LeaseDuration / 4)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			limit, cancel := context.WithTimeout(ctx, protocol.LeaseDuration/4)
			_, _ = a.Renew(limit, c.order.ID) // retried at the next tick; running operations end by themselves
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// runAll runs the operations of all instances at once.
func (c *command) runAll(ctx context.Context) {
	var work sync.WaitGroup
	for _, key := range c.names {
		work.Go(func() { c.addResult(c.run(ctx, c.rows[key])) })
	}
	work.Wait()
}

// run runs an instance's operation until it ends.
func (c *command) run(ctx context.Context, row Row) Result {
	began := time.Now()
	r := Result{Agent: row.Agent, Instance: row.Name}
	o, err := RunOperation(ctx, c.fleet.Client(row.Agent), c.order.ID, row.Name)
	r.Took = time.Since(began)
	var refused *protocol.Error
	switch {
	case errors.As(err, &refused):
		r.Outcome, r.Text = Failed, refused.Text
	case err != nil:
		r.Outcome, r.Text = NoAnswer, err.Error()
	case o.State == protocol.Done:
		r.Outcome, r.Text = Done, o.Reason
	default:
		r.Outcome, r.Text = Failed, cmp.Or(o.Reason, o.State)
	}
	return r
}

// RunOperation runs a command's operation on an instance until it ends. Calls whose answer is lost are
// retried: the agent identifies the command by its id and acts once. An error is the agent's
// refusal, or the last failure before ctx ended.
func RunOperation(ctx context.Context, a *client.Client, id, instance string) (protocol.Operation, error) {
	begun := false
	var last error = context.DeadlineExceeded
	for ctx.Err() == nil {
		var o protocol.Operation
		var err error
		if !begun {
			o, err = a.Run(ctx, id, instance)
			begun = err == nil
		} else {
			o, err = a.Wait(ctx, id, instance, min(operationWait, remaining(ctx)))
		}
		var refused *protocol.Error
		switch {
		case errors.As(err, &refused):
			return o, refused
		case err != nil:
			if ctx.Err() == nil || !errors.Is(err, ctx.Err()) {
				last = err
			}
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
			}
		case o.State != protocol.Running:
			return o, nil
		default:
			last = fmt.Errorf("its operation has not ended, last step: %s", lastStep(o))
		}
	}
	return protocol.Operation{}, last
}

func lastStep(o protocol.Operation) string {
	if len(o.Steps) == 0 {
		return "none so far"
	}
	return o.Steps[len(o.Steps)-1].Name
}

// rollOut restarts a few instances at a time, and stops when the group's health degrades.
func (c *command) rollOut(ctx context.Context) {
	var names []string
	for _, key := range c.names {
		if c.rows[key].Desired == "down" && c.order.Resume == "" {
			c.addResult(Result{Agent: c.rows[key].Agent, Instance: c.rows[key].Name, Outcome: Skipped, Text: "it is drained, and stays so"})
			continue
		}
		names = append(names, key)
	}
	health, rows := NewHealth(c.fleet), slices.Collect(maps.Values(c.rows))
	health.Sample(ctx, rows)
	select {
	case <-time.After(healthInterval):
	case <-ctx.Done():
	}
	plan, err := rollout.New(rollout.Options{
		Instances: names, MaxUnavailable: c.order.MaxUnavailable, Pause: c.order.Pause,
	}, health.Sample(ctx, rows))
	if err != nil {
		c.report.Stopped = err.Error()
		return
	}
	type end struct {
		key string
		r   Result
	}
	ends := make(chan end, len(names))
	up := map[string]bool{}
	for _, key := range names {
		up[key] = c.rows[key].State == protocol.StateUp
	}
	lastSample := time.Now()
	every := time.NewTicker(rolloutInterval)
	defer every.Stop()
	for {
		if ctx.Err() != nil {
			plan.Stop("the command's time-out has passed")
		}
		for _, key := range plan.Next(time.Now(), func(key string) rollout.InstanceState {
			if up[key] {
				return rollout.Serving
			}
			return rollout.Away
		}, nil) {
			go func() { ends <- end{key, c.run(ctx, c.rows[key])} }()
		}
		if plan.Finished() {
			break
		}
		select {
		case e := <-ends:
			var err error
			if e.r.Outcome != Done {
				err = errors.New(e.r.Text)
			}
			up[e.key] = err == nil
			plan.Ended(time.Now(), e.key, err)
			c.addResult(e.r)
		case <-every.C:
			if time.Since(lastSample) >= healthInterval {
				lastSample = time.Now()
				plan.Observe(health.Sample(ctx, rows))
				c.refreshUp(ctx, up)
			}
		}
	}
	c.report.Stopped = plan.StopReason()
	for _, key := range plan.Untouched() {
		c.addResult(Result{Agent: c.rows[key].Agent, Instance: c.rows[key].Name, Outcome: Skipped, Text: "not started: " + plan.StopReason()})
	}
}

// refreshUp updates which instances of the group are up.
func (c *command) refreshUp(ctx context.Context, up map[string]bool) {
	limit, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	for _, r := range New(c.leased).List(limit).Rows { // other agents have none of the instances
		if key := r.Agent + "/" + r.Name; slices.Contains(c.names, key) {
			if _, known := up[key]; known {
				up[key] = r.State == protocol.StateUp
			}
		}
	}
}

// Health counts a group's answers from one sample to the next.
type Health struct {
	fleet *Fleet
	last  map[string]sample
	// window holds the latest samples: a single one may hold too few answers to judge by.
	window []rollout.Counts
}

type sample struct {
	started time.Time
	counts  rollout.Counts
}

const windowSamples = 5

// NewHealth returns a Health without samples.
func NewHealth(f *Fleet) *Health { return &Health{fleet: f, last: map[string]sample{}} }

// SampleEach returns each instance's answers since the last sample, by AGENT/INSTANCE. It omits instances that don't
// report, or report for the first time; after a restart it counts from zero.
func (h *Health) SampleEach(ctx context.Context, rows []Row) map[string]rollout.Counts {
	limit, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	all := map[string]rollout.Counts{}
	for _, i := range h.fleet.Inspect(limit, rows) {
		if i.Inspection == nil {
			continue
		}
		key := i.Agent + "/" + i.Name
		current := sample{started: i.Inspection.Started}
		for _, by := range i.Inspection.Counts {
			current.counts.Served += by["served"]
			current.counts.Refused += by["refused"]
			current.counts.Failed += by["failed"] + by["overdue"]
			current.counts.Late += by["late"]
		}
		previous, known := h.last[key]
		h.last[key] = current
		if !known {
			continue
		}
		if !previous.started.Equal(current.started) {
			previous.counts = rollout.Counts{}
		}
		all[key] = rollout.Counts{
			Served: current.counts.Served - previous.counts.Served, Refused: current.counts.Refused - previous.counts.Refused,
			Failed: current.counts.Failed - previous.counts.Failed, Late: current.counts.Late - previous.counts.Late,
		}
	}
	return all
}

// Sample takes a sample and returns the sum of some instances' answers over the window.
func (h *Health) Sample(ctx context.Context, rows []Row) rollout.Counts {
	var now rollout.Counts
	for _, c := range h.SampleEach(ctx, rows) {
		now.Add(c)
	}
	if h.window = append(h.window, now); len(h.window) > windowSamples {
		h.window = h.window[1:]
	}
	var sum rollout.Counts
	for _, c := range h.window {
		sum.Add(c)
	}
	return sum
}
