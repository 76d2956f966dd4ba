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
	"otterstep/internal/door"
	"otterstep/internal/handover"
	"otterstep/internal/life"
)

// operations carry out what the operators ask of the node.
type operations struct {
	life *life.Life
	loop *core.Loop
	log  *slog.Logger

	// passOn has the other process take a call in, where two are one node, and keep notes what
	// operators said for a later one. Both are nil elsewhere.
	passOn func(context.Context, handover.Message) error
	keep   func()
	save   func() // likewise on the node's own disk, where it keeps something there

	mu   sync.Mutex // held over a call's effect: calls take effect in one order
	hand *cordon.Set
	owed map[string]struct{} // servers of which the loop has not heard yet what the fleet says
}

func newOperations(l *life.Life, loop *core.Loop, log *slog.Logger) *operations {
	return &operations{life: l, loop: loop, log: log, hand: cordon.New(), owed: map[string]struct{}{}}
}

var errNotServing = errors.New("no list of servers is in place yet")

// Health implements door.Node.
func (o *operations) Health() error {
	if s := o.life.State(); s == life.Starting {
		return errNotServing
	}
	return nil
}

// Cordon implements door.Node.
func (o *operations) Cordon(ctx context.Context, id string, out bool) error {
	e, err := o.cordon(ctx, id, out)
	if err != nil {
		return err
	}
	if e.Stamp != 0 { // else a call back of what was never out
		// Each process tells the other with nothing held: both may do so at once.
		if err := o.spread(ctx, handover.Message{Entry: &e}); err != nil {
			return err
		}
	}
	o.mu.Lock()
	ban, banned := o.hand.Banned(id)
	o.mu.Unlock()
	if banned && !out {
		return fmt.Errorf("%w: no call by hand leaves server %q out here any more, but the fleet does, by %s: %s; otterctl unban ends that", door.ErrRefused, id, ban.By, ban.Reason)
	}
	return nil
}

// spread tells of a call that has taken effect here, also one that changed nothing: the other
// process may have missed it the first time.
func (o *operations) spread(ctx context.Context, m handover.Message) error {
	if o.keep != nil {
		o.keep()
	}
	if o.save != nil {
		o.save()
	}
	if o.passOn == nil {
		return nil
	}
	return o.passOn(ctx, m)
}

// cordon has a call take effect in this process.
func (o *operations) cordon(ctx context.Context, id string, out bool) (cordon.Entry, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, changed, err := o.hand.Call(time.Now(), id, out)
	switch {
	case errors.Is(err, cordon.ErrNeverListed):
		return e, fmt.Errorf("%w: server %q: %w", door.ErrUnknown, id, err)
	case err != nil:
		return e, fmt.Errorf("%w: server %q: %w", door.ErrRefused, id, err)
	}
	// A repeated call is carried out again: the one before may have failed half-way.
	if err := o.loop.Cordon(ctx, serverID(id), o.hand.Out(id), o.loop.Clock().Now()); err != nil {
		return e, fmt.Errorf("server %q: %w", id, err)
	}
	if changed {
		o.log.Info("by hand", "uid", id, "out", out, "stamp", e.Stamp)
	}
	return e, nil
}

// said gives the latest call for each server, and the servers that were listed once.
func (o *operations) said() (entries []cordon.Entry, known []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hand.Entries(), o.hand.Known()
}

// merge takes over what another process was told.
func (o *operations) merge(known []string, entries []cordon.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range known {
		o.hand.Unlisted(id)
	}
	changed, left := o.hand.Merge(entries)
	for _, e := range left {
		o.log.Error("a call by hand does not fit and is not in force here: repeat it", "uid", e.ID, "out", e.Out)
	}
	for _, e := range changed {
		o.log.Info("by hand, as another process was told", "uid", e.ID, "out", e.Out, "stamp", e.Stamp)
		called := o.loop.Clock().FromUnixMs(e.At.UnixMilli())
		for _, out := range []bool{true, o.hand.Out(e.ID)} { // back from where it was never out changes nothing
			if err := o.loop.Cordon(context.Background(), serverID(e.ID), out, called); err != nil {
				o.log.Error("a call by hand is not in force here", "uid", e.ID, "err", err)
			}
		}
	}
}

// take takes the fleet's word in, unless a later one has been here. It is in force when take returns.
func (o *operations) take(ctx context.Context, w cordon.Word) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.hand.Word()
	began, ended, err := o.hand.Take(w)
	if err != nil {
		return err
	}
	for _, id := range slices.Concat(began, ended) {
		o.owed[id] = struct{}{}
	}
	now := o.loop.Clock().Now()
	for id := range o.owed { // also what a word before could not bring about, as the loop was too busy
		if err := o.loop.Cordon(ctx, serverID(id), o.hand.Out(id), now); err != nil {
			return fmt.Errorf("server %q: %w", id, err)
		}
		delete(o.owed, id)
	}
	if w.Version != before.Version {
		o.log.Info("the fleet's word", "version", w.Version, "token", w.Token, "out", len(w.Bans), "began", began, "ended", ended)
	}
	return nil
}

// word gives the fleet's latest.
func (o *operations) word() cordon.Word {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hand.Word()
}

// standing tells what of the fleet's word is not as one would think: servers that it names and the list does
// not, and those that are out by hand; and how many are listed.
func (o *operations) standing() (missing, byHand []string, listed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range o.hand.Word().Bans {
		if !o.hand.Lists(b.ID) {
			missing = append(missing, b.ID)
		}
	}
	for _, e := range o.hand.Entries() {
		if e.Out {
			byHand = append(byHand, e.ID)
		}
	}
	return missing, byHand, o.hand.Size()
}

// Quiesce implements door.Node.
func (o *operations) Quiesce(ctx context.Context) error {
	if o.life.State() == life.Ending {
		return fmt.Errorf("%w: the node is ending", door.ErrRefused)
	}
	d := o.life.Quiesce(time.Now())
	o.log.Info("quiesced")
	return o.spread(ctx, handover.Message{Drained: &d})
}

// Resume implements door.Node.
func (o *operations) Resume(ctx context.Context) error {
	if o.life.State() == life.Ending {
		return fmt.Errorf("%w: the node is ending", door.ErrRefused)
	}
	d := o.life.Resume()
	o.log.Info("back to work")
	return o.spread(ctx, handover.Message{Drained: &d})
}

// listed notes which servers a list names, so that only these can be left out.
func (o *operations) listed(all bool, targets []target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(targets))
	for _, t := range targets {
		if t.State == wordGone {
			o.hand.Unlisted(t.UID)
		} else {
			ids = append(ids, t.UID)
		}
	}
	o.hand.Listed(all, ids)
}
