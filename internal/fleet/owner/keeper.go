package owner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/reconcile"
	"otterstep/internal/fleet/rollout"
)

// countEvery is how often servers are counted, and what is left of bans.
const countEvery = time.Second

// lookedAtMost is how many instances with a version, and of the others, are asked what they answer.
const lookedAtMost = 50

// Keeper is an agent that may come to own the duty of bringing the fleet to what it should be. What is next is
// package reconcile's to decide; here are the calls. Run it with Run.
type Keeper struct{ opt Options }

// NewKeeper makes one.
func NewKeeper(opt Options) *Keeper { return &Keeper{opt.filled()} }

// Run takes the duty whenever nobody has it, until ctx ends: somebody has to count the servers, also before
// anything was ever desired.
func (k *Keeper) Run(ctx context.Context) {
	take(ctx, k.opt, duty.Fleet, func() bool {
		_, ok := k.opt.Council.Known()
		return ok
	}, func(ctx context.Context, h *holding) {
		s := &stewardship{holding: h, seen: map[string]reconcile.Seen{}, busy: map[string]bool{}, trials: map[string]*trial{}, answered: make(chan struct{}, 1)}
		for _, a := range k.opt.Fleet.All() {
			s.agents = append(s.agents, a.Name())
		}
		s.loop(ctx)
	})
}

// stewardship is one ownership of the duty Fleet.
type stewardship struct {
	*holding
	agents   []string
	is       *desired.State // as this agent's voter knows it
	counting reconcile.Countdown
	counted  time.Duration     // when it was counted last, on the clock
	trials   map[string]*trial // by group
	progress string            // of the fleet's own jobs, as it was known last
	since    time.Duration     // when that changed: what was seen before says nothing of it
	servers  int               // as written down last
	answered chan struct{}

	mu   sync.Mutex
	seen map[string]reconcile.Seen
	busy map[string]bool
}

// trial is a version that is judged.
type trial struct {
	change  desired.Version
	judge   reconcile.Trial // the loop's own
	looking bool            // likewise
	health  *group.Health

	mu     sync.Mutex
	latest map[string]rollout.Counts // of a look that has ended and was not judged yet
}

// loop brings agents to the latest version until the tenure ends.
func (s *stewardship) loop(ctx context.Context) {
	every := time.NewTicker(decideEach)
	defer every.Stop()
	var v duty.View // copying it costs as much as there are jobs: this duty is held also while nothing happens
	var known time.Time
	mine := false
	for {
		changed := s.opt.Council.Changed()
		news := false
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		case <-s.answered:
		case <-changed:
			news = true
		}
		if !mine || news || time.Since(known) >= countEvery/2 {
			var ok bool
			v, ok = s.opt.Council.Known()
			mine, known = s.sees(v, ok), time.Now()
		}
		if !mine {
			continue
		}
		but := ^desired.Version(0)
		if s.is != nil {
			but = s.is.Document.Version
		}
		if is := s.opt.Council.KnownDesired(but); is != nil {
			s.is = is
		}
		if s.is == nil || !s.good() {
			continue
		}
		s.reach(ctx)
		if now := s.opt.Clock.Now(); now < s.counted || now-s.counted >= countEvery {
			s.counted = now
			s.count(ctx, now)
			s.upgrade(ctx, now, v.Jobs)
		}
	}
}

// reach begins the calls that are due.
func (s *stewardship) reach(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, step := range reconcile.Next(s.opt.Clock.Now(), s.since, s.is.Document.Version, s.agents, s.seen, s.busy) {
		order := protocol.FleetOrder{Version: s.is.Document.Version}
		if step.Tell {
			w := s.is.Word()
			w.Token = uint64(s.fence.Token)
			order.Word = &w
		}
		s.busy[step.Agent] = true
		a := s.opt.Fleet.Agent(step.Agent)
		s.work.Go(func() { s.call(ctx, a, order) })
	}
}

// call makes one call to an agent.
func (s *stewardship) call(ctx context.Context, a *client.Client, order protocol.FleetOrder) {
	s.opt.Step(BeforeWord, a.Name())
	asked := s.opt.Clock.Now()
	limit, cancel := context.WithTimeout(ctx, lookWithin)
	f, err := a.TellFleet(limit, order)
	cancel()
	if fenced(err) {
		s.lost(err)
	}
	s.opt.Step(AfterWord, a.Name())
	s.mu.Lock()
	is := s.seen[a.Name()]
	is.Asked, is.Tried, is.Err = asked, true, ""
	if err != nil {
		is.Err = err.Error()
	} else {
		is.At, is.Known, is.Fleet = asked, true, f
	}
	s.seen[a.Name()] = is
	delete(s.busy, a.Name())
	s.mu.Unlock()
	select {
	case s.answered <- struct{}{}:
	default: // it is known already that there is news
	}
}

// count ends bans whose time is over, and writes down what later owners are to know.
func (s *stewardship) count(ctx context.Context, now time.Duration) {
	over, left := s.counting.Count(now, s.is)
	for _, e := range over {
		end := desired.Change{ID: newID(), Token: s.fence.Token, By: duty.Fleet, At: time.Now(), Note: "its time is over", End: &e}
		if _, err := s.opt.Council.Do(ctx, duty.Command{Change: &end}); err != nil {
			s.log.Warn("a ban whose time is over is not ended yet", "server", e.Server, "err", err)
		}
	}
	s.mu.Lock()
	servers := reconcile.Servers(now, s.seen)
	s.mu.Unlock()
	if servers == 0 || servers == s.is.Servers && servers == s.servers {
		servers = 0 // nothing new
	}
	if servers == 0 && len(left) == 0 {
		return
	}
	note := duty.Note{Token: s.fence.Token, Servers: servers, Left: left}
	if _, err := s.opt.Council.Do(ctx, duty.Command{Note: &note}); err != nil {
		s.log.Debug("what was counted is not written down yet", "err", err)
		return
	}
	if servers > 0 {
		s.servers, s.is.Servers = servers, servers
	}
}

// instances gives all that were ever seen by this owner.
func (s *stewardship) instances(now time.Duration) (all []reconcile.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for agent, seen := range s.seen {
		for _, t := range seen.Fleet.Instances {
			all = append(all, reconcile.Instance{
				Target: duty.Target{Agent: agent, Instance: t.Instance, Group: t.Group}, Zone: t.Zone, Program: t.Program,
				Up: t.Desired == "up", Serves: t.State == protocol.StateUp, Fresh: seen.Fresh(now) && seen.At >= s.since,
			})
		}
	}
	return all
}

// upgrade brings groups to their program, a job at a time, and takes back what does harm.
func (s *stewardship) upgrade(ctx context.Context, now time.Duration, jobs []*duty.Job) {
	progress := ""
	for _, j := range jobs {
		if j.Operator == duty.Fleet {
			progress += fmt.Sprintf("%s %s %d ", j.ID, j.State, j.Intents())
		}
	}
	if progress != s.progress {
		s.progress, s.since = progress, now
		return // what follows from that is decided by a look behind it
	}
	plan := reconcile.Upgrades(s.is, s.instances(now), jobs, func(name string) (reconcile.Verdict, string) {
		if t := s.trials[name]; t != nil && t.change == s.is.Programs[name].Version {
			return t.judge.Verdict(now, s.is.Document.Budgets.Trial)
		}
		return reconcile.Pending, "is to be watched from now on"
	})
	s.say(plan.Says)
	for name, sides := range plan.Judge {
		s.watchTrial(ctx, now, name, sides)
	}
	if len(plan.Whole) > 0 {
		if _, err := s.opt.Council.Do(ctx, duty.Command{Note: &duty.Note{Token: s.fence.Token, Whole: plan.Whole}}); err == nil {
			for name, v := range plan.Whole {
				s.log.Info("a group is whole", "group", name, "version", v, "program", s.is.Program(name))
				c := s.is.Programs[name]
				c.Whole = true
				s.is.Programs[name] = c
			}
		}
	}
	for _, id := range plan.Cancel {
		if _, err := s.opt.Council.Do(ctx, duty.Command{Turn: &duty.Turn{Job: id, To: duty.Cancelled, By: duty.Fleet, Token: s.fence.Token}}); err != nil {
			s.log.Warn("a job on the way to what is not desired any more is not cancelled yet", "job", id, "err", err)
		}
	}
	for _, j := range plan.Submit {
		j.Submitted = time.Now()
		s.log.Info("submits a job", "job", j.ID, "stage", j.Stage, "instances", len(j.Targets))
		if _, err := s.opt.Council.Do(ctx, duty.Command{Submit: j}); err != nil {
			s.log.Warn("a job is not submitted yet", "stage", j.Stage, "err", err) // it is at the next turn
		}
	}
	for _, b := range plan.Back {
		note := protocol.Clip(fmt.Sprintf("taken back: %s; %s", b.Why, s.harm(b.Group)))
		s.log.Warn("takes a version back", "group", b.Group, "to", b.To, "why", note)
		c := desired.Change{
			ID: newID(), Token: s.fence.Token, Saw: s.is.Document.Version, By: duty.Fleet, At: time.Now(), Note: note,
			Set: &desired.Part{Groups: map[string]*desired.Group{b.Group: {Program: b.To}}},
		}
		if _, err := s.opt.Council.Do(ctx, duty.Command{Change: &c}); err != nil {
			s.log.Warn("a version is not taken back yet", "group", b.Group, "err", err)
		}
	}
	maps.DeleteFunc(s.trials, func(name string, _ *trial) bool { _, judged := plan.Judge[name]; return !judged })
}

func (s *stewardship) harm(name string) string {
	if t := s.trials[name]; t != nil {
		return t.judge.Harm()
	}
	return "nothing was answered by it"
}

// watchTrial judges what a look has told, and begins the next one.
func (s *stewardship) watchTrial(ctx context.Context, now time.Duration, name string, sides reconcile.Sides) {
	t := s.trials[name]
	if change := s.is.Programs[name].Version; t == nil || t.change != change {
		t = &trial{change: change, health: group.NewHealth(s.opt.Fleet)}
		s.trials[name] = t
	}
	t.mu.Lock()
	got := t.latest
	t.latest = nil
	t.mu.Unlock()
	if got != nil {
		t.looking = false
		var is, others duty.Answers
		for key, c := range got {
			if slices.Contains(sides.New, key) {
				is.Add(c)
			} else if slices.Contains(sides.Old, key) {
				others.Add(c)
			}
		}
		t.judge.Observe(now, is, others)
	}
	if t.looking {
		return
	}
	t.looking = true
	var rows []group.Row
	for _, key := range slices.Concat(sides.New[:min(len(sides.New), lookedAtMost)], sides.Old[:min(len(sides.Old), lookedAtMost)]) {
		agent, instance, _ := strings.Cut(key, "/")
		rows = append(rows, group.Row{Agent: agent, Instance: protocol.Instance{Name: instance}})
	}
	s.work.Go(func() {
		each := t.health.Each(ctx, rows)
		t.mu.Lock()
		t.latest = each
		t.mu.Unlock()
	})
}

func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	return protocol.NewID(time.Now(), binary.LittleEndian.Uint64(random[:]))
}
