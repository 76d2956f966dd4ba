package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"otterstep/internal/boottime"
	"otterstep/internal/control"
	"otterstep/internal/core"
	"otterstep/internal/fleet/record"
	"otterstep/internal/nodestate"
	"otterstep/internal/staleness"
	"otterstep/policy"
)

const (
	// minUptime is how long a node has to run before it saves anything but manual cordons: a node in a crash
	// loop neither wears out the disk nor overwrites good state.
	minUptime = 5 * time.Second
	// minSaveInterval is the minimum time between two saves caused by changes of the list.
	minSaveInterval = time.Second
)

// stateSaver saves the state that this node needs to restart without discovery, and restores it.
type stateSaver struct {
	interval  time.Duration
	loop      *core.Loop
	ops       *operations
	discovery *discovery
	log       *slog.Logger
	startedAt time.Time

	saving sync.Mutex // held during a save, so that the later state is the later one on disk
	store  *nodestate.Store

	mu             sync.Mutex
	current        *nodestate.Snapshot // state found at the start or last saved; nil if there is none
	age            staleness.Age
	problems       []string // problems with the files
	used           bool
	servers        map[string]target // from discovery, or the saved ones until it has answered
	rev            int64
	confirmed      staleness.Timestamp
	discoveryHeard bool // discovery has answered
	frozen         bool // by an operator: only manual cordons and fleet bans are written
	unconfirmed    int  // servers in use that discovery has not confirmed
	changed        bool // since the latest save
	saved          time.Time
	failure        error // of the latest save
}

// newStateSaver opens the saved state.
func newStateSaver(path string, interval time.Duration, node string, l *core.Loop, ops *operations, discoveryClient *discovery, log *slog.Logger) *stateSaver {
	r := &stateSaver{interval: interval, loop: l, ops: ops, discovery: discoveryClient, log: log, startedAt: time.Now(), servers: map[string]target{}}
	r.store, r.current, r.problems = nodestate.Open(record.OS{}, path, node)
	if r.current != nil {
		r.age, r.frozen = staleness.AgeBetween(r.current.Confirmed, currentStamp()), r.current.Frozen
	}
	ops.save = r.saveNow
	return r
}

func currentStamp() staleness.Timestamp {
	return staleness.Timestamp{Wall: time.Now(), Boot: nodestate.BootID(), SinceBoot: boottime.System{}.Now()}
}

// begin restores the saved state before the first request. It returns false if the node has to use the configured
// list, known, instead.
func (r *stateSaver) begin(ctx context.Context, known hostList) bool {
	defer func() { go r.run(ctx) }()
	r.discovery.onVersion = r.discoveryAnswered
	for _, s := range r.problems {
		r.log.Error("what was kept can't be used as a whole", "why", s)
	}
	v := r.current
	if v == nil {
		r.log.Info("nothing is kept from before")
		return false
	}
	if len(v.ManualCordons) > 0 { // manual cordons do not expire
		r.ops.merge(nil, v.ManualCordons)
	}
	if v.Fleet != nil { // fleet bans hold until a later version arrives
		if err := r.ops.applyFleet(ctx, *v.Fleet); err != nil {
			r.log.Error("the fleet's word that was saved can't be used", "err", err)
		}
	}
	var usable []target
	for _, s := range v.Servers {
		line := staleness.ListEntry{UID: s.UID, Endpoint: s.Endpoint, BootMs: s.BootMs}
		t := target{UID: s.UID, Endpoint: s.Endpoint, AZ: s.Zone, PodGroup: s.Group, State: s.State, Model: s.Model, CapacityHint: s.Capacity, BootMs: s.BootMs}
		if staleness.Classify(line, r.age, false, nil, nil) == staleness.Unconfirmed && t.check() == nil {
			usable = append(usable, t)
		}
	}
	newer := known.All && len(known.Targets) > 0 && known.Rev >= v.Rev
	r.log.Info("what was kept", "servers", len(v.Servers), "used", len(usable), "age", r.age.Elapsed.Round(time.Second), "age_known", r.age.Known, "rev", v.Rev, "by_hand", len(v.ManualCordons), "given_list_newer", newer)
	if newer || len(usable) == 0 {
		r.restoreMemory(ctx, v, nil)
		return false
	}
	r.mu.Lock()
	r.used, r.unconfirmed = true, len(usable)
	r.mu.Unlock()
	r.discovery.applySaved(usable)
	r.restoreMemory(ctx, v, usable)
	return true
}

// restoreMemory restores what the decision module had learnt, decayed by its age.
func (r *stateSaver) restoreMemory(ctx context.Context, v *nodestate.Snapshot, usable []target) {
	if v.Memory == nil {
		return
	}
	fresh, err := r.loop.Learned(ctx)
	if err != nil {
		return // the loop has stopped
	}
	now, clock := r.loop.Clock().Now(), r.loop.Clock()
	ages := make(map[policy.ServerID]time.Duration, len(usable))
	for _, t := range usable {
		if started := clock.FromUnixMs(t.BootMs); started > 0 {
			ages[serverID(t.UID)] = max(1, now-started)
		} else {
			ages[serverID(t.UID)] = 0
		}
	}
	if err := r.loop.Restore(ctx, staleness.Decay(*v.Memory, fresh, r.age, ages)); err != nil {
		r.log.Error("the saved learnt state can't be used; this process starts without it", "err", err)
	}
}

// discoveryAnswered records an answer of discovery.
func (r *stateSaver) discoveryAnswered(rev int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rev, r.confirmed, r.discoveryHeard, r.unconfirmed = rev, currentStamp(), true, 0
}

// listed records a list update.
func (r *stateSaver) listed(all bool, targets []target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all {
		r.servers = make(map[string]target, len(targets))
	}
	for _, t := range targets {
		if t.State == stateTerminated {
			delete(r.servers, t.UID)
		} else {
			r.servers[t.UID] = t
		}
	}
	r.changed = true
}

// run saves after changes and at regular intervals.
func (r *stateSaver) run(ctx context.Context) {
	every := time.NewTicker(minSaveInterval)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		r.mu.Lock()
		due := r.discoveryHeard && !r.frozen && time.Since(r.startedAt) >= minUptime && (r.changed || time.Since(r.saved) >= r.interval)
		r.mu.Unlock()
		if due {
			r.save(ctx)
		}
	}
}

// saveNow saves at once: an operator's call is confirmed only after it is on disk.
func (r *stateSaver) saveNow() { r.save(context.Background()) }

// save writes the current state. Until discovery has answered, the servers and their confirmation time are written
// unchanged, so that restarts without discovery do not make them look newer.
func (r *stateSaver) save(ctx context.Context) {
	r.saving.Lock()
	defer r.saving.Unlock()
	r.write(ctx)
}

// command carries out an operator's command on the saved state, and returns once the change is on disk. After
// StateForget a node that started with the saved servers goes on using them until discovery answers or it is restarted.
func (r *stateSaver) command(k control.StateCommand) error {
	r.saving.Lock()
	defer r.saving.Unlock()
	r.mu.Lock()
	previous, wasFrozen, wasHeard := r.current, r.frozen, r.discoveryHeard
	if k.Do == control.StateForget {
		r.current, r.discoveryHeard = nil, false // so that the writes below save only manual cordons and fleet bans
	} else {
		r.frozen = k.Do == control.StateHold
	}
	r.mu.Unlock()
	writes := 1
	if k.Do == control.StateForget {
		writes = 2 // overwrite both generations
	}
	var err error
	for range writes {
		r.write(context.Background())
		r.mu.Lock()
		if err = r.failure; err != nil {
			r.current, r.frozen = previous, wasFrozen
		}
		r.mu.Unlock()
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	if k.Do == control.StateForget {
		r.discoveryHeard = r.discoveryHeard || wasHeard
	}
	r.mu.Unlock()
	r.log.Info("command on saved state", "do", k.Do, "err", err)
	return err
}

// write does a save. The caller holds saving.
func (r *stateSaver) write(ctx context.Context) {
	cordons, _ := r.ops.calls()
	r.mu.Lock()
	var v nodestate.Snapshot
	if r.current != nil {
		v = *r.current
	}
	v.Frozen = r.frozen
	heard := r.discoveryHeard && !r.frozen
	if heard {
		v.Rev, v.Source, v.Confirmed = r.rev, "discovery", r.confirmed
		v.Servers = make([]nodestate.Server, 0, len(r.servers))
		for _, t := range r.servers {
			v.Servers = append(v.Servers, nodestate.Server{
				UID: t.UID, Endpoint: t.Endpoint, Zone: t.AZ, Group: t.PodGroup, State: t.State, Model: t.Model, Capacity: t.CapacityHint, BootMs: t.BootMs,
			})
		}
	}
	r.changed = false
	r.mu.Unlock()
	v.ManualCordons, v.Saved = cordons, currentStamp()
	if w := r.ops.fleetBans(); w.Version > 0 {
		v.Fleet = &w
	}
	if heard {
		mem, err := r.loop.Learned(ctx)
		if err != nil {
			return // the loop has stopped
		}
		v.Memory = &mem
	}
	err := r.store.Save(v)
	if errors.Is(err, nodestate.ErrNotOwner) {
		err = nil // the other process of this node writes the state
	}
	r.mu.Lock()
	repeated := err != nil && r.failure != nil
	r.saved, r.failure = time.Now(), err
	if err == nil && v.Saved != (staleness.Timestamp{}) {
		r.current = &v
	}
	r.mu.Unlock()
	if err != nil && !repeated {
		r.log.Error("saving the node's state failed", "err", err)
	}
}

// saveFinal saves the state at shutdown, after all requests have been answered.
func (r *stateSaver) saveFinal(ctx context.Context) {
	r.mu.Lock()
	due := r.discoveryHeard && !r.frozen && time.Since(r.startedAt) >= minUptime
	r.mu.Unlock()
	if due {
		r.save(ctx)
	}
}

// close releases the state files, so that another process of the node can write them.
func (r *stateSaver) close() { r.store.Close() }

// inspect returns the status for the control socket.
func (r *stateSaver) inspect() *control.SavedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &control.SavedState{Heard: r.discoveryHeard, Used: r.used, Said: r.problems, Held: r.frozen, Doubted: r.unconfirmed}
	if r.current != nil {
		v.Hand = len(r.current.ManualCordons)
		v.Servers, v.Rev, v.Saved = len(r.current.Servers), r.current.Rev, r.current.Saved.Wall
		v.AgeMs, v.AgeKnown = r.age.Elapsed.Milliseconds(), r.age.Known
	}
	if r.failure != nil {
		v.Failure = r.failure.Error()
	}
	return v
}
