package node

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"otterstep/internal/boottime"
	"otterstep/internal/confidence"
	"otterstep/internal/control"
	"otterstep/internal/core"
	"otterstep/internal/fleet/record"
	"otterstep/internal/kept"
	"otterstep/policy"
)

const (
	// keepFrom is how long a node has to have served before it keeps anything but calls by hand: one that
	// dies again and again at its start wears out no disk and spoils no file.
	keepFrom = 5 * time.Second
	// keepApart is the least time between two saves that changes of the list bring about.
	keepApart = time.Second
)

// returning keeps what this node needs when it comes back with nobody to ask, and brings it back.
type returning struct {
	every time.Duration
	loop  *core.Loop
	ops   *operations
	disco *discovery
	log   *slog.Logger
	began time.Time

	saving sync.Mutex // held over a save: the later call's word is the later one on the disk
	store  *kept.Store

	mu        sync.Mutex
	was       *kept.View // what was found; nil: nothing
	age       confidence.Age
	said      []string // what was wrong with it
	used      bool
	servers   map[string]target // as discovery has them, or as kept until it was heard
	rev       int64
	confirmed confidence.Stamp
	heard     bool
	held      bool // by an operator: only calls by hand are written
	doubted   int
	changed   bool // since the latest save
	saved     time.Time
	failure   error // of the latest save
}

// newReturning opens what was kept.
func newReturning(path string, every time.Duration, node string, l *core.Loop, ops *operations, disco *discovery, log *slog.Logger) *returning {
	r := &returning{every: every, loop: l, ops: ops, disco: disco, log: log, began: time.Now(), servers: map[string]target{}}
	r.store, r.was, r.said = kept.Open(record.OS{}, path, node)
	if r.was != nil {
		r.age, r.held = confidence.Between(r.was.Confirmed, stamp()), r.was.Held
	}
	ops.save = r.hand
	return r
}

func stamp() confidence.Stamp {
	return confidence.Stamp{Wall: time.Now(), Boot: kept.BootID(), SinceBoot: boottime.System{}.Now()}
}

// begin puts what was kept in place, ahead of the first request; false if the node has to go by known.
func (r *returning) begin(ctx context.Context, known hostList) bool {
	defer func() { go r.run(ctx) }()
	r.disco.heard = r.hear
	for _, s := range r.said {
		r.log.Error("what was kept can't be used as a whole", "why", s)
	}
	v := r.was
	if v == nil {
		r.log.Info("nothing is kept from before")
		return false
	}
	if len(v.Hand) > 0 { // a ban by hand never fades
		r.ops.merge(nil, v.Hand)
	}
	if v.Fleet != nil { // nor does one of the fleet's, until a later word
		if err := r.ops.take(ctx, *v.Fleet); err != nil {
			r.log.Error("the fleet's word that was kept is of no use", "err", err)
		}
	}
	var use []target
	for _, s := range v.Servers {
		line := confidence.Line{UID: s.UID, Endpoint: s.Endpoint, BootMs: s.BootMs}
		t := target{UID: s.UID, Endpoint: s.Endpoint, AZ: s.Zone, PodGroup: s.Group, State: s.State, Model: s.Model, CapacityHint: s.Capacity, BootMs: s.BootMs}
		if confidence.Judge(line, r.age, false, nil, nil) == confidence.Unconfirmed && t.check() == nil {
			use = append(use, t)
		}
	}
	newer := known.All && len(known.Targets) > 0 && known.Rev >= v.Rev
	r.log.Info("what was kept", "servers", len(v.Servers), "used", len(use), "age", r.age.For.Round(time.Second), "age_known", r.age.Sure, "rev", v.Rev, "by_hand", len(v.Hand), "given_list_newer", newer)
	if newer || len(use) == 0 {
		r.remember(ctx, v, nil)
		return false
	}
	r.mu.Lock()
	r.used, r.doubted = true, len(use)
	r.mu.Unlock()
	r.disco.recall(use)
	r.remember(ctx, v, use)
	return true
}

// remember has the module recall what it had learnt, as far as that counts by now.
func (r *returning) remember(ctx context.Context, v *kept.View, use []target) {
	if v.Memory == nil {
		return
	}
	fresh, err := r.loop.Learnt(ctx)
	if err != nil {
		return // it has stopped
	}
	now, clock := r.loop.Clock().Now(), r.loop.Clock()
	ages := make(map[policy.ServerID]time.Duration, len(use))
	for _, t := range use {
		if started := clock.FromUnixMs(t.BootMs); started > 0 {
			ages[serverID(t.UID)] = max(1, now-started)
		} else {
			ages[serverID(t.UID)] = 0
		}
	}
	if err := r.loop.Recall(ctx, confidence.Fade(*v.Memory, fresh, r.age, ages)); err != nil {
		r.log.Error("what was learnt before is of no use; this process learns anew", "err", err)
	}
}

// hear is told that discovery has answered.
func (r *returning) hear(rev int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rev, r.confirmed, r.heard, r.doubted = rev, stamp(), true, 0
}

// listed follows the list.
func (r *returning) listed(all bool, targets []target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if all {
		r.servers = make(map[string]target, len(targets))
	}
	for _, t := range targets {
		if t.State == wordGone {
			delete(r.servers, t.UID)
		} else {
			r.servers[t.UID] = t
		}
	}
	r.changed = true
}

// run saves by change and by age.
func (r *returning) run(ctx context.Context) {
	every := time.NewTicker(keepApart)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		r.mu.Lock()
		due := r.heard && !r.held && time.Since(r.began) >= keepFrom && (r.changed || time.Since(r.saved) >= r.every)
		r.mu.Unlock()
		if due {
			r.save(ctx)
		}
	}
}

// hand saves at once: whoever called by hand hears yes once it is on the disk.
func (r *returning) hand() { r.save(context.Background()) }

// save writes what is known now. Until discovery has been heard, servers and their age are as they
// were kept: a node that dies before has not made them any younger.
func (r *returning) save(ctx context.Context) {
	r.saving.Lock()
	defer r.saving.Unlock()
	r.write(ctx)
}

// keep does what an operator says with what is kept, and returns once that is on the disk. A node that goes
// by what is forgotten goes on until discovery is heard, or it is restarted.
func (r *returning) keep(k control.Keep) error {
	r.saving.Lock()
	defer r.saving.Unlock()
	r.mu.Lock()
	before, heldBefore, heardBefore := r.was, r.held, r.heard
	if k.Do == control.KeepForget {
		r.was, r.heard = nil, false // until the next answer, or save
	} else {
		r.held = k.Do == control.KeepHold
	}
	r.mu.Unlock()
	times := 1
	if k.Do == control.KeepForget {
		times = 2 // the generation before as well
	}
	var err error
	for range times {
		r.write(context.Background())
		r.mu.Lock()
		if err = r.failure; err != nil {
			r.was, r.held = before, heldBefore
		}
		r.mu.Unlock()
		if err != nil {
			break
		}
	}
	r.mu.Lock()
	if k.Do == control.KeepForget {
		r.heard = r.heard || heardBefore
	}
	r.mu.Unlock()
	r.log.Info("told what becomes of what is kept", "do", k.Do, "err", err)
	return err
}

// write does a save; saving is held.
func (r *returning) write(ctx context.Context) {
	hand, _ := r.ops.said()
	r.mu.Lock()
	var v kept.View
	if r.was != nil {
		v = *r.was
	}
	v.Held = r.held
	heard := r.heard && !r.held
	if heard {
		v.Rev, v.By, v.Confirmed = r.rev, "discovery", r.confirmed
		v.Servers = make([]kept.Server, 0, len(r.servers))
		for _, t := range r.servers {
			v.Servers = append(v.Servers, kept.Server{
				UID: t.UID, Endpoint: t.Endpoint, Zone: t.AZ, Group: t.PodGroup, State: t.State, Model: t.Model, Capacity: t.CapacityHint, BootMs: t.BootMs,
			})
		}
	}
	r.changed = false
	r.mu.Unlock()
	v.Hand, v.Saved = hand, stamp()
	if w := r.ops.word(); w.Version > 0 {
		v.Fleet = &w
	}
	if heard {
		mem, err := r.loop.Learnt(ctx)
		if err != nil {
			return // it has stopped
		}
		v.Memory = &mem
	}
	err := r.store.Save(v)
	if errors.Is(err, kept.ErrNotOwner) {
		err = nil // the other process of this node writes
	}
	r.mu.Lock()
	again := err != nil && r.failure != nil
	r.saved, r.failure = time.Now(), err
	if err == nil && v.Saved != (confidence.Stamp{}) {
		r.was = &v
	}
	r.mu.Unlock()
	if err != nil && !again {
		r.log.Error("what this node knows is not kept for its way back", "err", err)
	}
}

// end writes what is known when the node has answered all that it took.
func (r *returning) end(ctx context.Context) {
	r.mu.Lock()
	due := r.heard && !r.held && time.Since(r.began) >= keepFrom
	r.mu.Unlock()
	if due {
		r.save(ctx)
	}
}

// close lets another process of the node write.
func (r *returning) close() { r.store.Close() }

// inspect tells operators of the way back.
func (r *returning) inspect() *control.Return {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &control.Return{Heard: r.heard, Used: r.used, Said: r.said, Held: r.held, Doubted: r.doubted}
	if r.was != nil {
		v.Hand = len(r.was.Hand)
		v.Servers, v.Rev, v.Saved = len(r.was.Servers), r.was.Rev, r.was.Saved.Wall
		v.AgeMs, v.AgeKnown = r.age.For.Milliseconds(), r.age.Sure
	}
	if r.failure != nil {
		v.Failure = r.failure.Error()
	}
	return v
}
