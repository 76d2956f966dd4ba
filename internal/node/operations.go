package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"otterstep/internal/cordon"
	"otterstep/internal/core"
	"otterstep/internal/handover"
	"otterstep/internal/lifecycle"
	"otterstep/internal/operatorapi"
	"otterstep/policy"
)

// operations carries out operators' requests.
type operations struct {
	life   *lifecycle.Lifecycle
	loop   *core.Loop // of the platform's front
	others []cordoner // further fronts with pools of their own
	names  []string   // of the servers that these fronts have from their configuration
	log    *slog.Logger

	// During a handover, forward sends a call to the other process and waits until it is in force there; persist
	// stores the calls for a later process. Both are nil if the node opened its own listening socket.
	forward func(context.Context, handover.Message) error
	persist func()
	save    func() // saves the node's state; nil if no state is saved

	mu        sync.Mutex // held until a call has taken effect, so that calls take effect in one order
	cordons   *cordon.Set
	unapplied map[string]struct{} // servers whose change of fleet ban the loop has not applied yet
}

func newOperations(l *lifecycle.Lifecycle, loop *core.Loop, log *slog.Logger) *operations {
	return &operations{life: l, loop: loop, log: log, cordons: cordon.New(), unapplied: map[string]struct{}{}}
}

// cordoner is a front that takes servers out of service. discovered is the server's ID if discovery lists it; a front whose
// servers are in its configuration goes by the name.
type cordoner interface {
	Cordon(ctx context.Context, name string, discovered policy.ServerID, out bool, called time.Duration) error
}

// addFront adds a front, before the first list comes, with the names of the servers in its configuration.
func (o *operations) addFront(c cordoner, names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.others = append(o.others, c)
	o.names = append(o.names, names...)
	o.cordons.UpdateList(false, names)
}

// apply takes a server out of service at all fronts, or puts it back. It is in force when apply returns. mu must be
// held.
func (o *operations) apply(ctx context.Context, name string, out bool, called time.Duration) error {
	id := serverID(name)
	errs := []error{o.loop.Cordon(ctx, id, out, called)}
	for _, c := range o.others {
		errs = append(errs, c.Cordon(ctx, name, id, out, called))
	}
	return errors.Join(errs...)
}

var errNotServing = errors.New("no list of servers is in place yet")

// Health implements operatorapi.Node.
func (o *operations) Health() error {
	if s := o.life.State(); s == lifecycle.Starting {
		return errNotServing
	}
	return nil
}

// Cordon implements operatorapi.Node.
func (o *operations) Cordon(ctx context.Context, id string, out bool) error {
	e, err := o.cordon(ctx, id, out)
	if err != nil {
		return err
	}
	if e.Stamp != 0 { // zero: an uncordon of a server that was never cordoned
		// No lock is held here, because both processes may forward calls to each other at the same time.
		if err := o.propagate(ctx, handover.Message{Entry: &e}); err != nil {
			return err
		}
	}
	o.mu.Lock()
	ban, banned := o.cordons.Banned(id)
	o.mu.Unlock()
	if banned && !out {
		return fmt.Errorf("%w: server %q is no longer cordoned at this node, but it is banned by the fleet, by %s: %s; end the ban with otterctl unban", operatorapi.ErrRefused, id, ban.By, ban.Reason)
	}
	return nil
}

// propagate stores a call that has taken effect here and forwards it to the other process. A repeated call is
// forwarded too: the other process may have missed the first one.
func (o *operations) propagate(ctx context.Context, m handover.Message) error {
	if o.persist != nil {
		o.persist()
	}
	if o.save != nil {
		o.save()
	}
	if o.forward == nil {
		return nil
	}
	return o.forward(ctx, m)
}

// cordon applies a call in this process.
func (o *operations) cordon(ctx context.Context, id string, out bool) (cordon.Entry, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, changed, err := o.cordons.Apply(time.Now(), id, out)
	switch {
	case errors.Is(err, cordon.ErrNeverListed):
		return e, fmt.Errorf("%w: server %q: %w", operatorapi.ErrUnknown, id, err)
	case err != nil:
		return e, fmt.Errorf("%w: server %q: %w", operatorapi.ErrRefused, id, err)
	}
	// A repeated call is carried out again: the previous one may have failed after changing the set.
	if err := o.apply(ctx, id, o.cordons.IsOut(id), o.loop.Clock().Now()); err != nil {
		return e, fmt.Errorf("server %q: %w", id, err)
	}
	if changed {
		o.log.Info("manual cordon changed", "uid", id, "out", out, "stamp", e.Stamp)
	}
	return e, nil
}

// calls returns the latest call for each server, and the servers that have left the list.
func (o *operations) calls() (entries []cordon.Entry, delisted []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cordons.Entries(), o.cordons.Delisted()
}

// merge applies calls that another process received.
func (o *operations) merge(delisted []string, entries []cordon.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range delisted {
		o.cordons.RemoveFromList(id)
	}
	changed, rejected := o.cordons.Merge(entries)
	for _, e := range rejected {
		o.log.Error("a manual cordon or uncordon does not fit and is not in force here: repeat it", "uid", e.ID, "out", e.Out)
	}
	for _, e := range changed {
		o.log.Info("manual cordon changed, received from another process", "uid", e.ID, "out", e.Out, "stamp", e.Stamp)
		calledAt := o.loop.Clock().FromUnixMs(e.At.UnixMilli())
		for _, out := range []bool{true, o.cordons.IsOut(e.ID)} { // cordon first: the loop ignores an uncordon of a server that is not cordoned
			if err := o.apply(context.Background(), e.ID, out, calledAt); err != nil {
				o.log.Error("a manual cordon or uncordon is not in force here", "uid", e.ID, "err", err)
			}
		}
	}
}

// applyFleet applies the fleet's bans, unless later ones have been received. They are in force when it returns.
func (o *operations) applyFleet(ctx context.Context, w cordon.FleetBans) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.cordons.FleetBans()
	began, ended, err := o.cordons.ApplyFleetBans(w)
	if err != nil {
		return err
	}
	for _, id := range slices.Concat(began, ended) {
		o.unapplied[id] = struct{}{}
	}
	now := o.loop.Clock().Now()
	for id := range o.unapplied { // including changes of earlier bans that failed because the loop was busy
		if err := o.apply(ctx, id, o.cordons.IsOut(id), now); err != nil {
			return fmt.Errorf("server %q: %w", id, err)
		}
		delete(o.unapplied, id)
	}
	if w.Version != before.Version {
		o.log.Info("the fleet's word", "version", w.Version, "token", w.Token, "out", len(w.Bans), "began", began, "ended", ended)
	}
	return nil
}

// fleetBans returns the latest fleet bans.
func (o *operations) fleetBans() cordon.FleetBans {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.cordons.FleetBans()
}

// fleetStatus returns the banned servers that are not in the list, the servers that are cordoned manually, and the
// number of listed servers.
func (o *operations) fleetStatus() (missing, cordoned []string, listed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range o.cordons.FleetBans().Bans {
		if !o.cordons.IsListed(b.ID) {
			missing = append(missing, b.ID)
		}
	}
	for _, e := range o.cordons.Entries() {
		if e.Out {
			cordoned = append(cordoned, e.ID)
		}
	}
	return missing, cordoned, o.cordons.ListedCount()
}

// Quiesce implements operatorapi.Node.
func (o *operations) Quiesce(ctx context.Context) error {
	if o.life.State() == lifecycle.Ending {
		return fmt.Errorf("%w: the node is shutting down", operatorapi.ErrRefused)
	}
	d := o.life.Quiesce(time.Now())
	o.log.Info("quiesced")
	return o.propagate(ctx, handover.Message{Quiesce: &d})
}

// Resume implements operatorapi.Node.
func (o *operations) Resume(ctx context.Context) error {
	if o.life.State() == lifecycle.Ending {
		return fmt.Errorf("%w: the node is shutting down", operatorapi.ErrRefused)
	}
	d := o.life.Resume()
	o.log.Info("back to work")
	return o.propagate(ctx, handover.Message{Quiesce: &d})
}

// listed records which servers a list update names, so that only these can be cordoned.
func (o *operations) listed(all bool, targets []target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := slices.Clone(o.names)
	for _, t := range targets {
		if t.State == stateTerminated {
			o.cordons.RemoveFromList(t.UID)
		} else {
			ids = append(ids, t.UID)
		}
	}
	o.cordons.UpdateList(all, ids)
}
