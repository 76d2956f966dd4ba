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

// countInterval is how often servers and the remaining time of bans are counted.
const countInterval = time.Second

// maxPolledPerSide bounds the number of instances on each side of a trial, new and old, whose answers are
// polled.
const maxPolledPerSide = 50

// FleetOwner executes duty Fleet while its agent owns it: it reconciles the fleet with its desired state. Package
// reconcile decides the next steps; this package makes the calls. Run it with Run.
type FleetOwner struct{ opt Options }

// NewFleetOwner returns a FleetOwner.
func NewFleetOwner(opt Options) *FleetOwner { return &FleetOwner{opt.withDefaults()} }

// Run acquires the duty whenever it has no owner, until ctx ends: an owner is needed to count the servers even
// before there is a desired state.
func (k *FleetOwner) Run(ctx context.Context) {
	contend(ctx, k.opt, duty.Fleet, func() bool {
		_, ok := k.opt.Council.Known()
		return ok
	}, func(ctx context.Context, t *tenure) {
		fr := &fleetRunner{tenure: t, seen: map[string]reconcile.AgentStatus{}, busy: map[string]bool{}, trials: map[string]*trial{}, wake: make(chan struct{}, 1)}
		for _, a := range k.opt.Fleet.Clients() {
			fr.agents = append(fr.agents, a.Name())
		}
		fr.loop(ctx)
	})
}

// fleetRunner reconciles the fleet during one ownership of duty Fleet.
type fleetRunner struct {
	*tenure
	agents     []string
	state      *desired.State // as known to this agent's voter
	countdown  reconcile.BanTimer
	countedAt  time.Duration     // time of the latest count, by Options.Clock
	trials     map[string]*trial // by group
	progress   string            // latest fingerprint of the jobs submitted by duty Fleet
	progressAt time.Duration     // when progress last changed: earlier polls are outdated
	servers    int               // as last stored at the council
	wake       chan struct{}

	mu   sync.Mutex
	seen map[string]reconcile.AgentStatus
	busy map[string]bool
}

// trial is the evaluation of a group's new version.
type trial struct {
	change  desired.Version
	judge   reconcile.Trial // used by loop only
	polling bool            // a poll is in progress; used by loop only
	health  *group.Health

	mu     sync.Mutex
	latest map[string]rollout.Counts // of a finished poll that was not judged yet
}

// loop brings agents to the latest version until the ownership ends.
func (fr *fleetRunner) loop(ctx context.Context) {
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	var v duty.View // cached, as copying it takes time linear in the number of jobs, and this duty is owned even without work
	var viewedAt time.Time
	applied := false
	for {
		changed := fr.opt.Council.Changed()
		viewChanged := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-fr.wake:
		case <-changed:
			viewChanged = true
		}
		if !applied || viewChanged || time.Since(viewedAt) >= countInterval/2 {
			var ok bool
			v, ok = fr.opt.Council.Known()
			applied, viewedAt = fr.voterHasApplied(v, ok), time.Now()
		}
		if !applied {
			continue
		}
		knownVersion := ^desired.Version(0)
		if fr.state != nil {
			knownVersion = fr.state.Document.Version
		}
		if state := fr.opt.Council.KnownDesired(knownVersion); state != nil {
			fr.state = state
		}
		if fr.state == nil || !fr.checkLease() {
			continue
		}
		fr.startCalls(ctx)
		if now := fr.opt.Clock.Now(); now < fr.countedAt || now-fr.countedAt >= countInterval {
			fr.countedAt = now
			fr.count(ctx, now)
			fr.upgrade(ctx, now, v.Jobs)
		}
	}
}

// startCalls starts the calls that are due.
func (fr *fleetRunner) startCalls(ctx context.Context) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	for _, step := range reconcile.NextCalls(fr.opt.Clock.Now(), fr.progressAt, fr.state.Document.Version, fr.agents, fr.seen, fr.busy) {
		order := protocol.FleetOrder{Version: fr.state.Document.Version}
		if step.Update {
			w := fr.state.FleetBans()
			w.Token = uint64(fr.fence.Token)
			order.Bans = &w
		}
		fr.busy[step.Agent] = true
		a := fr.opt.Fleet.Client(step.Agent)
		fr.work.Go(func() { fr.call(ctx, a, order) })
	}
}

// call sends the desired state to an agent, or polls it, and stores its answer.
func (fr *fleetRunner) call(ctx context.Context, a *client.Client, order protocol.FleetOrder) {
	fr.opt.Hook(BeforeFleetCall, a.Name())
	asked := fr.opt.Clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	f, err := a.SendFleetOrder(callCtx, order)
	cancel()
	if fenced(err) {
		fr.cancel(err)
	}
	fr.opt.Hook(AfterFleetCall, a.Name())
	fr.mu.Lock()
	seen := fr.seen[a.Name()]
	seen.AskedAt, seen.EverAsked, seen.Err = asked, true, ""
	if err != nil {
		seen.Err = err.Error()
	} else {
		seen.AsOf, seen.Answered, seen.Fleet = asked, true, f
	}
	fr.seen[a.Name()] = seen
	delete(fr.busy, a.Name())
	fr.mu.Unlock()
	select {
	case fr.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// count ends expired bans, and stores the counts that later owners need.
func (fr *fleetRunner) count(ctx context.Context, now time.Duration) {
	expired, remaining := fr.countdown.Advance(now, fr.state)
	for _, e := range expired {
		end := desired.Change{ID: newID(), Token: fr.fence.Token, By: duty.Fleet, At: time.Now(), Note: "expired", Expire: &e}
		if _, err := fr.opt.Council.Do(ctx, duty.Command{Change: &end}); err != nil {
			fr.log.Warn("ending an expired ban failed; retrying", "server", e.Server, "err", err)
		}
	}
	fr.mu.Lock()
	servers := reconcile.CountServers(now, fr.seen)
	fr.mu.Unlock()
	if servers == 0 || servers == fr.state.Servers && servers == fr.servers {
		servers = 0 // unchanged
	}
	if servers == 0 && len(remaining) == 0 {
		return
	}
	note := duty.Observation{Token: fr.fence.Token, Servers: servers, Left: remaining}
	if _, err := fr.opt.Council.Do(ctx, duty.Command{Observation: &note}); err != nil {
		fr.log.Debug("storing the counts failed; retrying", "err", err)
		return
	}
	if servers > 0 {
		fr.servers, fr.state.Servers = servers, servers
	}
}

// instances returns all instances that this owner has ever seen.
func (fr *fleetRunner) instances(now time.Duration) (all []reconcile.Instance) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	for agent, seen := range fr.seen {
		for _, t := range seen.Fleet.Instances {
			all = append(all, reconcile.Instance{
				Target: duty.Target{Agent: agent, Instance: t.Instance, Group: t.Group}, Zone: t.Zone, Program: t.Program,
				Up: t.Desired == "up", Serving: t.State == protocol.StateUp, Fresh: seen.Fresh(now) && seen.AsOf >= fr.progressAt,
			})
		}
	}
	return all
}

// upgrade moves groups to their desired program, one job at a time, and reverts versions that do harm.
func (fr *fleetRunner) upgrade(ctx context.Context, now time.Duration, jobs []*duty.Job) {
	progress := ""
	for _, j := range jobs {
		if j.Operator == duty.Fleet {
			progress += fmt.Sprintf("%s %s %d ", j.ID, j.State, j.Intents())
		}
	}
	if progress != fr.progress {
		fr.progress, fr.progressAt = progress, now
		return // the next decision needs polls from after the change
	}
	plan := reconcile.PlanUpgrades(fr.state, fr.instances(now), jobs, func(name string) (reconcile.Verdict, string) {
		if t := fr.trials[name]; t != nil && t.change == fr.state.Programs[name].Version {
			return t.judge.Verdict(now, fr.state.Document.Budgets.Trial)
		}
		return reconcile.Pending, "is observed from now on"
	})
	fr.setMessages(plan.Messages)
	for name, sides := range plan.Trials {
		fr.pollTrial(ctx, now, name, sides)
	}
	if len(plan.Completed) > 0 {
		if _, err := fr.opt.Council.Do(ctx, duty.Command{Observation: &duty.Observation{Token: fr.fence.Token, Whole: plan.Completed}}); err == nil {
			for name, v := range plan.Completed {
				fr.log.Info("all instances of the group have served with the version", "group", name, "version", v, "program", fr.state.Program(name))
				c := fr.state.Programs[name]
				c.Completed = true
				fr.state.Programs[name] = c
			}
		}
	}
	for _, id := range plan.Cancel {
		if _, err := fr.opt.Council.Do(ctx, duty.Command{SetJobState: &duty.SetJobState{Job: id, State: duty.Cancelled, By: duty.Fleet, Token: fr.fence.Token}}); err != nil {
			fr.log.Warn("cancelling an outdated job failed; retrying", "job", id, "err", err)
		}
	}
	for _, j := range plan.Submit {
		j.Submitted = time.Now()
		fr.log.Info("submitting job", "job", j.ID, "stage", j.Stage, "instances", len(j.Targets))
		if _, err := fr.opt.Council.Do(ctx, duty.Command{Submit: j}); err != nil {
			fr.log.Warn("submitting the job failed; retrying", "stage", j.Stage, "err", err)
		}
	}
	for _, b := range plan.Reverts {
		note := protocol.Truncate(fmt.Sprintf("taken back: %s; %s", b.Reason, fr.harmText(b.Group)))
		fr.log.Warn("reverting version", "group", b.Group, "to", b.To, "why", note)
		c := desired.Change{
			ID: newID(), Token: fr.fence.Token, BasedOn: fr.state.Document.Version, By: duty.Fleet, At: time.Now(), Note: note,
			Set: &desired.Patch{Groups: map[string]*desired.Group{b.Group: {Program: b.To}}},
		}
		if _, err := fr.opt.Council.Do(ctx, duty.Command{Change: &c}); err != nil {
			fr.log.Warn("reverting the version failed; retrying", "group", b.Group, "err", err)
		}
	}
	maps.DeleteFunc(fr.trials, func(name string, _ *trial) bool { _, judged := plan.Trials[name]; return !judged })
}

func (fr *fleetRunner) harmText(name string) string {
	if t := fr.trials[name]; t != nil {
		return t.judge.HarmSummary()
	}
	return "no answers were counted for it"
}

// pollTrial evaluates a finished poll of a trial and starts the next one.
func (fr *fleetRunner) pollTrial(ctx context.Context, now time.Duration, name string, sides reconcile.Cohorts) {
	t := fr.trials[name]
	if change := fr.state.Programs[name].Version; t == nil || t.change != change {
		t = &trial{change: change, health: group.NewHealth(fr.opt.Fleet)}
		fr.trials[name] = t
	}
	t.mu.Lock()
	counts := t.latest
	t.latest = nil
	t.mu.Unlock()
	if counts != nil {
		t.polling = false
		var newAnswers, oldAnswers duty.AnswerCounts
		for key, c := range counts {
			if slices.Contains(sides.New, key) {
				newAnswers.Add(c)
			} else if slices.Contains(sides.Old, key) {
				oldAnswers.Add(c)
			}
		}
		t.judge.Observe(now, newAnswers, oldAnswers)
	}
	if t.polling {
		return
	}
	t.polling = true
	var rows []group.Row
	for _, key := range slices.Concat(sides.New[:min(len(sides.New), maxPolledPerSide)], sides.Old[:min(len(sides.Old), maxPolledPerSide)]) {
		agent, instance, _ := strings.Cut(key, "/")
		rows = append(rows, group.Row{Agent: agent, Instance: protocol.Instance{Name: instance}})
	}
	fr.work.Go(func() {
		polled := t.health.SampleEach(ctx, rows)
		t.mu.Lock()
		t.latest = polled
		t.mu.Unlock()
	})
}

func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	return protocol.NewID(time.Now(), binary.LittleEndian.Uint64(random[:]))
}
