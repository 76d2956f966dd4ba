// Package owner carries out the fleet's jobs at whichever agent owns the duty for it. What is
// next is package rollout's to decide, what has been done stands in the council; here are the
// calls. An owner that is cut off, stopped or slow loses the duty to another one: what it
// still sends is refused at the agents by its token, so nothing here has to be on time.
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
	idleEvery  = 250 * time.Millisecond
	leastWait  = 50 * time.Millisecond
	decideEach = 50 * time.Millisecond
	// lookEvery is how often each agent is looked at, lookWithin how long it may take; what is
	// older than freshFor is not known any more.
	lookEvery  = 250 * time.Millisecond
	lookWithin = time.Second
	freshFor   = 2 * time.Second
	healthEach = time.Second
	baseLooks  = 2 // behind the first one: a second's answers
	againAfter = 200 * time.Millisecond
	heldAfter  = time.Second // between two tries at an instance that somebody else holds
)

// The steps of an order, before each of which Options.Step is called.
const (
	BeforeIntent  = "intent"   // the intent is written
	BeforeSend    = "send"     // the order is sent
	AfterSend     = "sent"     // it was accepted
	AfterEnd      = "answered" // its end is known
	BetweenOrders = "between"  // its outcome is written

	BeforeWord = "word" // the fleet's word is told to an agent, or it is looked at
	AfterWord  = "told" // it has answered, or not
)

// Council is the way to the council.
type Council interface {
	Do(ctx context.Context, c duty.Command) (duty.Answer, error)
	Renew(ctx context.Context, r duty.Renewal) error
	// Known gives what this agent's voter knows, and Changed tells of changes in it.
	Known() (duty.View, bool)
	Changed() <-chan struct{}
	// Memories gives what the council keeps of agents: what there is at those that this owner
	// has never reached.
	Memories() map[string]duty.Memory
	// KnownDesired gives what this agent's voter knows of what the fleet should be, if that is another version
	// than the given one; else nil.
	KnownDesired(but desired.Version) *desired.State
}

// Options are what New needs.
type Options struct {
	Name    string
	Lease   time.Duration
	Clock   boottime.Clock
	Council Council
	Fleet   *group.Fleet
	Log     *slog.Logger
	Step    func(step, instance string) // for tests; may be nil
}

// Owner is an agent that may come to own the duty. Run it with Run.
type Owner struct{ opt Options }

// New makes one.
func New(opt Options) *Owner { return &Owner{opt.filled()} }

// filled gives options with what was left out.
func (o Options) filled() Options {
	if o.Step == nil {
		o.Step = func(string, string) {}
	}
	return o
}

// Run takes the duty whenever there is work and nobody has it, until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	take(ctx, o.opt, duty.Rollouts, func() bool {
		v, ok := o.opt.Council.Known()
		return ok && open(v.Jobs)
	}, o.own)
}

func open(jobs []*duty.Job) bool {
	return slices.ContainsFunc(jobs, func(j *duty.Job) bool { return j.Open() })
}

// look is what an agent said last behind this owner's token.
type look struct {
	at        time.Time
	instances []protocol.Instance
}

// tenure is one ownership of Rollouts.
type tenure struct {
	*holding
	ends   chan end
	health map[string]*health // by job; the loop's own
	// version is that of the fleet's document that bounds are of; the loop's own too.
	version desired.Version
	bounds  rollout.Limits

	mu    sync.Mutex
	looks map[string]look // by agent: those that were raised
}

// health is what a job's instances answer, looked at beside the loop.
type health struct {
	stop   context.CancelFunc
	judged int // the loop's own: the look that was judged last

	mu     sync.Mutex
	latest rollout.Counts
	looks  int
}

// end is how an order ended.
type end struct {
	job, key  string
	err       error // the instance did not come back
	withdrawn bool  // nothing was begun
}

// forgotten is why an order fails at an agent that lost its memory after the intent.
const forgotten = "its agent has lost its memory since the order was intended: whether it was done can't be told; jobs resume tries it again"

// own carries out what there is until the duty is lost, ctx ends or nothing is left.
func (o *Owner) own(ctx context.Context, h *holding) {
	t := &tenure{holding: h, ends: make(chan end), health: map[string]*health{}, looks: map[string]look{}}
	for _, a := range o.opt.Fleet.All() {
		t.work.Go(func() { t.attend(ctx, a) })
	}
	t.loop(ctx)
}

// attend raises the token at an agent, and looks at it from then on.
func (t *tenure) attend(ctx context.Context, a *client.Client) {
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	raised := false
	for {
		limit, cancel := context.WithTimeout(ctx, lookWithin)
		began := time.Now() // what an answer tells may be as old as its question
		var list []protocol.Instance
		var err error
		if raised {
			list, err = a.Instances(limit)
		} else {
			var r protocol.Raised
			r, err = a.Raise(limit, t.fence)
			list = r.Instances
		}
		cancel()
		switch {
		case err == nil:
			raised = true
			t.mu.Lock()
			t.looks[a.Name()] = look{began, list}
			t.mu.Unlock()
		case fenced(err):
			t.lost(err)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// seen gives all instances as they were last seen. Of agents that were never reached there is
// what the council has heard of them.
func (t *tenure) seen() (map[string]rollout.Seen, map[string]protocol.Instance) {
	all, raw := map[string]rollout.Seen{}, map[string]protocol.Instance{}
	for agent, m := range t.opt.Council.Memories() {
		for name, d := range m.Instances {
			all[duty.Target{Agent: agent, Instance: name}.Key()] = rollout.Seen{Group: d.Group}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for agent, l := range t.looks {
		maps.DeleteFunc(all, func(key string, _ rollout.Seen) bool { return strings.HasPrefix(key, agent+"/") }) // it has told better
		for _, i := range l.instances {
			key := duty.Target{Agent: agent, Instance: i.Name}.Key()
			raw[key] = i
			all[key] = rollout.Seen{
				Group: i.Group, Reached: time.Since(l.at) < freshFor,
				Serves: i.State == protocol.StateUp && i.Operation == "", Drained: i.Desired == "down", Zone: i.Labels["zone"], Stuck: stuck(i),
			}
		}
	}
	return all, raw
}

// stuck tells why an instance does not come back by itself, if it does not.
func stuck(i protocol.Instance) string {
	switch i.State {
	case protocol.StateGaveUp:
		return "crashed too often"
	case protocol.StateHeld:
		return "is held, as nobody knows what is desired of it"
	case protocol.StateUnknown:
		return "can't be told from another process"
	}
	return ""
}

// limits gives the fleet's, as this agent's voter knows them.
func (t *tenure) limits() rollout.Limits {
	if s := t.opt.Council.KnownDesired(t.version); s != nil {
		t.version, t.bounds = s.Document.Version, rollout.Limits{Zone: s.Document.Budgets.Zone, Starts: s.Document.Budgets.Starts}
	}
	return t.bounds
}

// loop decides and begins until the tenure ends.
func (t *tenure) loop(ctx context.Context) {
	desk := rollout.NewDesk()
	every := time.NewTicker(decideEach)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-t.ends:
			if e.withdrawn {
				desk.Withdrawn(e.job, e.key)
			} else {
				desk.Ended(time.Now(), e.job, e.key, e.err)
			}
		case <-every.C:
		}
		v, ok := t.opt.Council.Known()
		if !t.sees(v, ok) {
			continue // this voter has yet to hear what the leader knows
		}
		if !open(v.Jobs) && desk.Busy() == 0 {
			t.lost(errNoWork)
			return
		}
		t.observe(ctx, v.Jobs, desk)
		if !t.good() {
			continue
		}
		seen, raw := t.seen()
		to := desk.Next(time.Now(), v.Jobs, seen, t.limits())
		t.say(to.Says)
		for _, step := range to.Leave {
			_, _ = t.mark(ctx, step, duty.Left, "it is drained, and stays so") // or at the next turn
		}
		for job, why := range to.Stop {
			t.log.Warn("a job is stopped", "job", job, "why", why)
			_, _ = t.opt.Council.Do(ctx, duty.Command{Stop: &duty.Stop{Token: t.fence.Token, Job: job, Why: why}}) // or at the next turn
		}
		for _, step := range to.Begin {
			i := raw[step.Target.Key()]
			t.work.Go(func() {
				e := t.carry(ctx, step, i)
				select {
				case t.ends <- e:
				case <-ctx.Done():
				}
			})
		}
	}
}

// observe looks at what each open job's instances answer. What it was before a job began is
// written down by its first owner, and judged by from then on.
func (t *tenure) observe(ctx context.Context, jobs []*duty.Job, desk *rollout.Desk) {
	for _, j := range jobs {
		h := t.health[j.ID]
		switch {
		case !j.Open() && h != nil:
			h.stop()
			delete(t.health, j.ID)
		case !j.Open():
		case h == nil:
			h = &health{}
			var looking context.Context
			looking, h.stop = context.WithCancel(ctx)
			t.health[j.ID] = h
			t.work.Go(func() { h.look(looking, group.NewHealth(t.opt.Fleet), func() []group.Row { return t.reached(j) }) })
		default:
			c, looks := h.get()
			switch {
			case looks == 0 || looks == h.judged:
			case j.Before == nil && looks >= baseLooks:
				h.judged = looks
				base := duty.Base{Token: t.fence.Token, Job: j.ID, Answers: c}
				if _, err := t.opt.Council.Do(ctx, duty.Command{Base: &base}); err != nil {
					t.log.Debug("what was before is not written yet", "job", j.ID, "err", err)
				}
			case j.Before != nil:
				h.judged = looks
				desk.Observe(j.ID, c)
			}
		}
	}
}

// reached gives a job's instances at agents that answer: others would only be waited for. Those
// under an order are left alone: one that drains would wait for whoever looks at it.
func (t *tenure) reached(j *duty.Job) []group.Row {
	if is, ok := t.job(j.ID); ok {
		j = is
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []group.Row
	for i, target := range j.Targets {
		if l, known := t.looks[target.Agent]; known && time.Since(l.at) < freshFor && j.Steps[i].Phase != duty.Intent {
			rows = append(rows, group.Row{Agent: target.Agent, Instance: protocol.Instance{Name: target.Instance}})
		}
	}
	return rows
}

// look looks until ctx ends. The first look is only where counting begins.
func (h *health) look(ctx context.Context, of *group.Health, rows func() []group.Row) {
	every := time.NewTicker(healthEach / 2)
	defer every.Stop()
	for n := 0; ; n++ {
		c := of.Look(ctx, rows())
		h.mu.Lock()
		h.latest, h.looks = c, n
		h.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// get gives the latest counts, and how many looks they have been behind the first.
func (h *health) get() (rollout.Counts, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latest, h.looks
}

// mark writes a step of a job down, as often as it takes, and gives it as it is then.
func (t *tenure) mark(ctx context.Context, step rollout.Step, phase, text string) (duty.Step, error) {
	m := duty.Mark{Token: t.fence.Token, Job: step.Job.ID, Key: step.Target.Key(), Phase: phase, Text: text, Forgotten: text == forgotten}
	if phase == duty.Intent {
		m.IntendedAt = time.Now().Truncate(time.Millisecond)
	}
	for {
		a, err := t.opt.Council.Do(ctx, duty.Command{Mark: &m})
		var refused *protocol.Error
		switch {
		case fenced(err):
			t.lost(err)
			return duty.Step{}, err
		case err == nil:
			is, _ := a.Job.Step(m.Key)
			return is, nil
		case errors.As(err, &refused) && refused.Code != protocol.CodeNoCouncil:
			return duty.Step{}, err
		}
		select {
		case <-ctx.Done():
			return duty.Step{}, context.Cause(ctx)
		case <-time.After(againAfter):
		}
	}
}

// orderID is that of a job's order to an instance, the same whoever sends it, so that its
// agent carries it out once.
func orderID(job, key string, is duty.Step) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, job+" "+key)
	return protocol.NewID(is.IntendedAt, h.Sum64())
}

// carry carries one instance of a job through: intent, order, outcome.
func (t *tenure) carry(ctx context.Context, step rollout.Step, i protocol.Instance) end {
	key := step.Target.Key()
	e := end{job: step.Job.ID, key: key}
	t.opt.Step(BeforeIntent, key)
	if !t.good() {
		e.withdrawn = true
		return e
	}
	is, err := t.mark(ctx, step, duty.Intent, "")
	if err != nil {
		e.withdrawn = true // paused, cancelled or somebody else's by now
		return e
	}
	a := t.opt.Fleet.Agent(step.Target.Agent)
	if a == nil {
		e.err = fmt.Errorf("agent %s is not in [council]", step.Target.Agent)
		_, _ = t.mark(ctx, step, duty.Failed, e.err.Error()) // or the next owner does
		return e
	}
	phase, text := t.order(ctx, a, step, i, orderID(step.Job.ID, key, is))
	t.opt.Step(AfterEnd, key)
	if phase == "" && ctx.Err() != nil {
		e.withdrawn = true // its intent stays, and the next owner looks what became of it
		return e
	}
	if phase == duty.Failed {
		e.err = errors.New(text)
	}
	e.withdrawn = phase == duty.Waiting
	if _, err := t.mark(ctx, step, phase, text); err != nil {
		e.withdrawn = true
		return e
	}
	t.log.Info("an order has ended", "job", step.Job.ID, "instance", key, "phase", phase, "text", text)
	t.opt.Step(BetweenOrders, key)
	return e
}

// order sends an order and waits for its end. The phase is Waiting if nothing was begun.
func (t *tenure) order(ctx context.Context, a *client.Client, step rollout.Step, i protocol.Instance, id string) (phase, text string) {
	name := step.Target.Instance
	for {
		if i.Desired == "down" {
			if done, phase, text := t.drained(ctx, a, id, name); done {
				return phase, text
			}
		}
		t.opt.Step(BeforeSend, step.Target.Key())
		if !t.good() {
			return duty.Waiting, ""
		}
		fence := t.fence
		_, err := a.Open(ctx, protocol.CommandRequest{
			ID: id, Kind: step.Job.Kind, Instances: []protocol.Seen{{Name: name, Generation: i.Generation}},
			Plan: fmt.Sprintf(`{"job":%q}`, step.Job.ID), Resume: true, Fence: &fence, OnBehalf: step.Job.Operator, Program: step.Job.Program,
		})
		var refused *protocol.Error
		switch {
		case err == nil:
			o, err := group.Operate(ctx, a, id, name)
			t.opt.Step(AfterSend, step.Target.Key())
			return t.outcome(ctx, a, id, o, err)
		case fenced(err):
			t.lost(err)
			return duty.Waiting, ""
		case errors.As(err, &refused) && refused.Code == protocol.CodeConflict:
			// Somebody holds it, or it has changed since it was looked at.
			t.note(step.Job.ID, "waits: "+refused.Text)
			if j, ok := t.job(step.Job.ID); ok && j.State != duty.Active && !step.Again {
				return duty.Waiting, ""
			}
		case errors.As(err, &refused) && refused.Code == protocol.CodeTooOld:
			if started(ctx, a, id, name) {
				return duty.Done, ""
			}
			return duty.Failed, forgotten
		case errors.As(err, &refused) && refused.Code != protocol.CodeRecord && refused.Code != protocol.CodeForgetful:
			return duty.Failed, refused.Text
		}
		select {
		case <-ctx.Done():
			return duty.Waiting, ""
		case <-time.After(heldAfter):
		}
		if _, raw := t.seen(); raw[step.Target.Key()].Name != "" {
			i = raw[step.Target.Key()]
		}
	}
}

// started tells whether a process was started for an order, by the run file of its instance: that
// knows also where the agent has lost its memory.
func started(ctx context.Context, a *client.Client, id, name string) bool {
	list, err := a.Instances(ctx)
	return err == nil && slices.ContainsFunc(list, func(i protocol.Instance) bool { return i.Name == name && i.Order == id })
}

// drained settles an order to an instance that is meant to be down by now: what was begun goes
// on to its end, and nothing else does.
func (t *tenure) drained(ctx context.Context, a *client.Client, id, name string) (done bool, phase, text string) {
	c, err := a.Command(ctx, id)
	var refused *protocol.Error
	switch {
	case errors.As(err, &refused) && refused.Code == protocol.CodeNotFound:
		return true, duty.Left, "it was drained before the order came"
	case err != nil:
		return false, "", ""
	}
	for _, o := range c.Operations {
		switch {
		case o.Instance != name:
		case o.State == protocol.Done:
			return true, duty.Done, "it was drained afterwards"
		case o.State != protocol.Running:
			return true, duty.Left, "it was drained while the order was " + o.State
		default:
			return false, "", ""
		}
	}
	return true, duty.Left, "it was drained before the order was begun"
}

// outcome gives the phase of an operation that has ended.
func (t *tenure) outcome(ctx context.Context, a *client.Client, id string, o protocol.Operation, err error) (phase, text string) {
	var refused *protocol.Error
	switch {
	case fenced(err):
		t.lost(err)
		return duty.Waiting, ""
	case errors.As(err, &refused):
		return duty.Failed, refused.Text
	case err != nil: // the tenure has ended under it
		return "", err.Error()
	}
	if _, err := a.CloseCommand(ctx, id, "done"); err != nil {
		t.log.Debug("a command was not closed, its lease runs out", "command", id, "err", err)
	}
	if o.State == protocol.Done {
		return duty.Done, o.Reason
	}
	if o.Reason == "" {
		return duty.Failed, o.State
	}
	return duty.Failed, o.Reason
}

func (t *tenure) job(id string) (*duty.Job, bool) {
	v, ok := t.opt.Council.Known()
	if !ok {
		return nil, false
	}
	i := slices.IndexFunc(v.Jobs, func(j *duty.Job) bool { return j.ID == id })
	if i < 0 {
		return nil, false
	}
	return v.Jobs[i], true
}
