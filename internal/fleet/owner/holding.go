package owner

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
)

// renewals are made so many times within what an owner may use of a lease.
const renewals = 4

var (
	errLeaseOver = errors.New("the lease has ended by this owner's clock")
	errNoWork    = errors.New("nothing is left to do")
	errBlind     = errors.New("this agent's own voter has stepped aside, or hears nothing of the others: another one should own")
)

// holding is one ownership of a duty: its token and lease, whatever is done under it.
type holding struct {
	opt   Options
	fence duty.Fence
	log   *slog.Logger
	lost  context.CancelCauseFunc
	work  sync.WaitGroup
	began time.Time

	held sync.Mutex // over what follows
	hold duty.OwnerLease
	says map[string]string
}

// take takes a duty whenever there is work and nobody has it, until ctx ends. own does the work until its
// context ends.
func take(ctx context.Context, opt Options, name string, work func() bool, own func(context.Context, *holding)) {
	for ctx.Err() == nil {
		changed := opt.Council.Changed()
		wait := idleEvery
		if work() {
			want := duty.Acquire{Duty: name, Owner: opt.Name}
			a, err := opt.Council.Do(ctx, duty.Command{Acquire: &want})
			asked := opt.Clock.Now()
			if err == nil && a.Offer != "" {
				want.Offer = a.Offer
				a, err = opt.Council.Do(ctx, duty.Command{Acquire: &want})
			}
			switch {
			case err != nil:
			case a.Token != 0:
				hold := duty.OwnerLease{Fence: duty.Fence{Duty: name, Token: a.Token}}.Renewed(asked, opt.Lease)
				if why := tenant(ctx, opt, hold, own); !errors.Is(why, errBlind) {
					continue
				}
				wait = opt.Lease // others are to have their chance
			default:
				wait = min(max(a.Left/2, leastWait), time.Second)
			}
			changed = nil // a change hastens nothing
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// tenant has the work of a duty done until it is lost, parent ends or nothing is left. It gives why it ended.
func tenant(parent context.Context, opt Options, hold duty.OwnerLease, own func(context.Context, *holding)) error {
	ctx, lost := context.WithCancelCause(client.WithFence(parent, hold.Fence))
	h := &holding{
		opt: opt, fence: hold.Fence, log: opt.Log.With("duty", hold.Duty, "token", hold.Token.String()), lost: lost,
		began: time.Now(), hold: hold, says: map[string]string{},
	}
	h.log.Info("owns a duty")
	h.work.Go(func() { h.renew(ctx) })
	h.work.Go(func() { h.watch(ctx) })
	own(ctx, h)
	lost(nil)
	h.work.Wait()
	why := context.Cause(ctx)
	h.log.Info("owns it no longer", "why", why)
	if errors.Is(why, errNoWork) || errors.Is(why, errBlind) || parent.Err() != nil {
		// Nobody has to wait for the lease then. What was sent goes on, and the next owner finds it.
		let, cancel := context.WithTimeout(context.WithoutCancel(parent), lookWithin)
		defer cancel()
		if _, err := opt.Council.Do(let, duty.Command{Release: &duty.Release{Fence: hold.Fence}}); err != nil {
			h.log.Warn("the duty could not be given back: its lease runs out", "err", err)
		}
	}
	return why
}

// good tells whether anything may still be begun, and ends the tenure if not.
func (h *holding) good() bool {
	h.held.Lock()
	good := h.hold.Valid(h.opt.Clock.Now())
	h.held.Unlock()
	if !good {
		h.lost(errLeaseOver)
	}
	return good
}

// watch ends the tenure as soon as the lease is over by this machine's clock.
func (h *holding) watch(ctx context.Context) {
	every := time.NewTicker(leastWait)
	defer every.Stop()
	for h.good() {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

func (h *holding) renew(ctx context.Context) {
	each := duty.UsableLease(h.opt.Lease) / renewals
	every := time.NewTicker(each)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		h.held.Lock()
		r := duty.Renewal{Fence: h.fence, Says: maps.Clone(h.says)}
		h.held.Unlock()
		asked := h.opt.Clock.Now()
		limit, cancel := context.WithTimeout(ctx, 2*each)
		err := h.opt.Council.Renew(limit, r)
		cancel()
		switch {
		case err == nil:
			h.held.Lock()
			h.hold = h.hold.Renewed(asked, h.opt.Lease)
			h.held.Unlock()
		case fenced(err):
			h.lost(err)
			return
		}
	}
}

func fenced(err error) bool {
	var e *protocol.Error
	return errors.As(err, &e) && e.Code == protocol.CodeFenced
}

// sees tells whether this agent's own voter has heard of this tenure; one that hears nothing for a lease, or
// has stepped aside, ends it: renewals may go on by way of others, and a duty that is kept so does nothing.
func (h *holding) sees(v duty.View, ok bool) bool {
	mine := ok && slices.ContainsFunc(v.Duties, func(d duty.Owned) bool { return d.Name == h.fence.Duty && d.Token >= h.fence.Token })
	if !ok || !mine && time.Since(h.began) > h.opt.Lease {
		h.lost(errBlind)
	}
	return mine
}

// say is what is told of jobs that wait, until the next time.
func (h *holding) say(says map[string]string) {
	h.held.Lock()
	defer h.held.Unlock()
	h.says = says
}

// note says why a job waits, until the next decision says otherwise.
func (h *holding) note(job, text string) {
	h.held.Lock()
	defer h.held.Unlock()
	says := maps.Clone(h.says)
	says[job] = text
	h.says = says
}
