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
	// leaseShare of the time that is left is what one agent may take over a lease.
	leaseShare = 4
	// freeWithin is what giving leases back may take; they expire anyway.
	freeWithin = time.Second
	againAfter = 200 * time.Millisecond
	waitEach   = 10 * time.Second
	// healthEvery is how often a rollout looks at the group, and the least stretch of
	// time that it looks at beforehand.
	healthEvery = time.Second
	lookEvery   = 100 * time.Millisecond
)

// How an instance fared.
const (
	Done    = "done"
	Failed  = "failed"
	Silence = "no-answer" // of its agent, or not ended in time
	Refused = "conflict"
	Left    = "left" // not begun
	Would   = "would"
)

// Result is how one instance fared.
type Result struct {
	Agent    string        `json:"agent"`
	Instance string        `json:"instance"`
	Outcome  string        `json:"outcome"`
	Text     string        `json:"text,omitempty"`
	Took     time.Duration `json:"took_ns"`
}

// Report is how a command ended.
type Report struct {
	ID       string           `json:"id"`
	Kind     string           `json:"kind"`
	Results  []Result         `json:"results"`
	Silent   []Silent         `json:"silent"`
	Conflict *protocol.Error  `json:"conflict,omitempty"` // nothing was begun
	Holder   *protocol.Holder `json:"holder,omitempty"`
	Stopped  string           `json:"stopped,omitempty"` // why a rollout went no further
}

// Plan is how a command goes about its instances.
type Plan struct {
	Kind           string        `json:"kind"`
	MaxUnavailable int           `json:"max_unavailable,omitempty"` // 0: all at once
	Pause          time.Duration `json:"pause,omitempty"`
}

// Order is a command to give.
type Order struct {
	Plan
	Select Selector
	DryRun bool
	// Resume is the id of a command to take up again; its plan and instances hold.
	Resume string
	// Progress is told of each instance's end, and of what a rollout sees.
	Progress func(Result)
	// ID is the order's; a new one if empty. A second order with the same id is the
	// same order.
	ID string
}

// Give carries an order out, in the time that ctx leaves. An error is one of the
// order itself; all else is in the report.
func (f *Fleet) Give(ctx context.Context, o Order) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(Result) {}
	}
	listing := f.ListFirst(ctx)
	var rows []Row
	var err error
	if o.Resume != "" {
		rows, err = f.resumed(ctx, &o, listing)
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
	if err != nil { // those who could tell did not answer
		return r, nil
	}
	if o.DryRun {
		for _, row := range rows {
			r.Results = append(r.Results, Result{Agent: row.Agent, Instance: row.Name, Outcome: Would, Text: fmt.Sprintf("%s (%s, generation %d)", o.Kind, row.State, row.Generation)})
		}
		return r, nil
	}
	c := &command{fleet: f, order: o, report: r, rows: map[string]Row{}}
	c.take(ctx, rows)
	if r.Conflict != nil {
		return r, nil
	}
	keep, stop := context.WithCancel(ctx)
	var renewing sync.WaitGroup
	for _, a := range c.held {
		renewing.Go(func() { c.renew(keep, a) })
	}
	if o.MaxUnavailable > 0 {
		c.roll(ctx)
	} else {
		c.all(ctx)
	}
	stop()
	renewing.Wait()
	c.free("done")
	return r, nil
}

// resumed finds the command to take up again.
func (f *Fleet) resumed(ctx context.Context, o *Order, listing Listing) ([]Row, error) {
	limit, cancel := first(ctx)
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
		return nil, fmt.Errorf("no agent that answers knows of command %s: %w", o.Resume, ErrNone)
	}
	o.ID = o.Resume
	var rows []Row
	for _, r := range listing.Rows {
		if names[r.Agent+"/"+r.Name] {
			rows = append(rows, r)
		}
	}
	if len(rows) == 0 {
		return nil, ErrNone
	}
	return rows, nil
}

// command is an order under way.
type command struct {
	fleet *Fleet
	order Order
	rows  map[string]Row // by AGENT/NAME, those whose lease is held
	names []string       // keys of rows, in order
	held  []*client.Client

	mu     sync.Mutex // over the report's results
	report *Report
}

func (c *command) result(r Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Results = append(c.report.Results, r)
	c.order.Progress(r)
}

// take takes the leases, agent by agent in the order of their names. A conflict
// gives back what was taken.
func (c *command) take(ctx context.Context, rows []Row) {
	plan, err := json.Marshal(c.order.Plan)
	if err != nil {
		plan = nil // of numbers and a word: can't be
	}
	for _, a := range c.fleet.agents {
		var mine []Row
		request := protocol.CommandRequest{ID: c.order.ID, Kind: c.order.Kind, Plan: string(plan), Resume: c.order.Resume != ""}
		for _, r := range rows {
			if r.Agent == a.Name() {
				mine = append(mine, r)
				request.Instances = append(request.Instances, protocol.Seen{Name: r.Name, Generation: r.Generation})
			}
		}
		if len(mine) == 0 {
			continue
		}
		began := time.Now()
		limit, cancel := context.WithTimeout(ctx, remaining(ctx)/leaseShare)
		_, err := a.Open(limit, request)
		cancel()
		var refused *protocol.Error
		switch {
		case err == nil:
			c.held = append(c.held, a)
			for _, r := range mine {
				key := r.Agent + "/" + r.Name
				c.rows[key] = r
				c.names = append(c.names, key)
			}
		case errors.As(err, &refused) && (refused.Code == protocol.CodeConflict || refused.Code == protocol.CodeTooOld):
			c.report.Conflict, c.report.Holder = refused, refused.Holder
			c.free("another command came first")
			for _, r := range rows {
				outcome, text := Left, ""
				if r.Agent == a.Name() && (refused.Instance == "" || refused.Instance == r.Name) {
					outcome, text = Refused, refused.Text
				}
				c.result(Result{Agent: r.Agent, Instance: r.Name, Outcome: outcome, Text: text})
			}
			return
		case errors.As(err, &refused):
			for _, r := range mine {
				c.result(Result{Agent: r.Agent, Instance: r.Name, Outcome: Failed, Text: refused.Text, Took: time.Since(began)})
			}
		default:
			s := silentOf(a.Name(), began, err)
			c.report.Silent = append(c.report.Silent, s)
			for _, r := range mine {
				c.result(Result{Agent: r.Agent, Instance: r.Name, Outcome: Silence, Text: s.Why, Took: s.Waited})
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

// free gives the leases back, also when the order's own time is over.
func (c *command) free(reason string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeWithin)
	defer cancel()
	var all sync.WaitGroup
	for _, a := range c.held {
		all.Go(func() { _, _ = a.CloseCommand(ctx, c.order.ID, reason) }) // or it expires
	}
	all.Wait()
}

// renew keeps an agent's lease until ctx ends.
func (c *command) renew(ctx context.Context, a *client.Client) {
	every := time.NewTicker(protocol.LeaseFor / 4)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			limit, cancel := context.WithTimeout(ctx, protocol.LeaseFor/4)
			_, _ = a.Renew(limit, c.order.ID) // the next one tries again; what runs ends by itself
			cancel()
		case <-ctx.Done():
			return
		}
	}
}

// all runs every instance's operation at once.
func (c *command) all(ctx context.Context) {
	var work sync.WaitGroup
	for _, key := range c.names {
		work.Go(func() { c.result(c.run(ctx, c.rows[key])) })
	}
	work.Wait()
}

// run runs an instance's operation to its end.
func (c *command) run(ctx context.Context, row Row) Result {
	began := time.Now()
	r := Result{Agent: row.Agent, Instance: row.Name}
	o, err := Operate(ctx, c.fleet.Agent(row.Agent), c.order.ID, row.Name)
	r.Took = time.Since(began)
	var refused *protocol.Error
	switch {
	case errors.As(err, &refused):
		r.Outcome, r.Text = Failed, refused.Text
	case err != nil:
		r.Outcome, r.Text = Silence, err.Error()
	case o.State == protocol.Done:
		r.Outcome, r.Text = Done, o.Reason
	default:
		r.Outcome, r.Text = Failed, cmp.Or(o.Reason, o.State)
	}
	return r
}

// Operate runs a command's operation on an instance to its end. Calls whose answer is lost are
// made again: the agent knows the command by its id and acts once. An error is the agent's
// refusal, or what stood in the way when ctx ended.
func Operate(ctx context.Context, a *client.Client, id, instance string) (protocol.Operation, error) {
	begun := false
	var last error = context.DeadlineExceeded
	for ctx.Err() == nil {
		var o protocol.Operation
		var err error
		if !begun {
			o, err = a.Run(ctx, id, instance)
			begun = err == nil
		} else {
			o, err = a.Wait(ctx, id, instance, min(waitEach, remaining(ctx)))
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
			case <-time.After(againAfter):
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

// ---- rollouts

// roll restarts a few at a time, and stops when the group gets worse.
func (c *command) roll(ctx context.Context) {
	var names []string
	for _, key := range c.names {
		if c.rows[key].Desired == "down" && c.order.Resume == "" {
			c.result(Result{Agent: c.rows[key].Agent, Instance: c.rows[key].Name, Outcome: Left, Text: "it is drained, and stays so"})
			continue
		}
		names = append(names, key)
	}
	health, rows := NewHealth(c.fleet), slices.Collect(maps.Values(c.rows))
	health.Look(ctx, rows)
	select {
	case <-time.After(healthEvery):
	case <-ctx.Done():
	}
	plan, err := rollout.New(rollout.Options{
		Instances: names, MaxUnavailable: c.order.MaxUnavailable, Pause: c.order.Pause,
	}, health.Look(ctx, rows))
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
	looked := time.Now()
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	for {
		if ctx.Err() != nil {
			plan.Stop("the time is up")
		}
		for _, key := range plan.Next(time.Now(), func(key string) rollout.Standing {
			if up[key] {
				return rollout.Serves
			}
			return rollout.Away
		}, nil) {
			go func() { ends <- end{key, c.run(ctx, c.rows[key])} }()
		}
		if plan.Over() {
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
			c.result(e.r)
		case <-every.C:
			if time.Since(looked) >= healthEvery {
				looked = time.Now()
				plan.Observe(health.Look(ctx, rows))
				c.refresh(ctx, up)
			}
		}
	}
	c.report.Stopped = plan.Stopped()
	for _, key := range plan.Left() {
		c.result(Result{Agent: c.rows[key].Agent, Instance: c.rows[key].Name, Outcome: Left, Text: "not begun: " + plan.Stopped()})
	}
}

// refresh looks which of the group serve now.
func (c *command) refresh(ctx context.Context, up map[string]bool) {
	limit, cancel := context.WithTimeout(ctx, healthEvery)
	defer cancel()
	for _, r := range New(c.held).List(limit).Rows { // others have nothing to say here
		if key := r.Agent + "/" + r.Name; slices.Contains(c.names, key) {
			if _, known := up[key]; known {
				up[key] = r.State == protocol.StateUp
			}
		}
	}
}

// Health counts what a group answers, from one look to the next.
type Health struct {
	fleet *Fleet
	last  map[string]seen
	// recent are the latest looks: one alone may hold too few answers to judge by.
	recent []rollout.Counts
}

type seen struct {
	started time.Time
	counts  rollout.Counts
}

const recentLooks = 5

// NewHealth makes one that has looked at nothing.
func NewHealth(f *Fleet) *Health { return &Health{fleet: f, last: map[string]seen{}} }

// Each gives each instance's answers since the last look, by AGENT/INSTANCE. Those that don't tell, or tell for
// the first time, are not in it; those that were restarted begin anew.
func (h *Health) Each(ctx context.Context, rows []Row) map[string]rollout.Counts {
	limit, cancel := context.WithTimeout(ctx, healthEvery)
	defer cancel()
	all := map[string]rollout.Counts{}
	for _, i := range h.fleet.Inspect(limit, rows) {
		if i.Inspection == nil {
			continue
		}
		key := i.Agent + "/" + i.Name
		is := seen{started: i.Inspection.Started}
		for _, by := range i.Inspection.Counts {
			is.counts.Served += by["served"]
			is.counts.Refused += by["refused"]
			is.counts.Failed += by["failed"] + by["overdue"]
			is.counts.Late += by["late"]
		}
		was, known := h.last[key]
		h.last[key] = is
		if !known {
			continue
		}
		if !was.started.Equal(is.started) {
			was.counts = rollout.Counts{}
		}
		all[key] = rollout.Counts{
			Served: is.counts.Served - was.counts.Served, Refused: is.counts.Refused - was.counts.Refused,
			Failed: is.counts.Failed - was.counts.Failed, Late: is.counts.Late - was.counts.Late,
		}
	}
	return all
}

// Look gives some instances' answers, together, since some looks ago.
func (h *Health) Look(ctx context.Context, rows []Row) rollout.Counts {
	var now rollout.Counts
	for _, c := range h.Each(ctx, rows) {
		now.Add(c)
	}
	if h.recent = append(h.recent, now); len(h.recent) > recentLooks {
		h.recent = h.recent[1:]
	}
	var sum rollout.Counts
	for _, c := range h.recent {
		sum.Add(c)
	}
	return sum
}
