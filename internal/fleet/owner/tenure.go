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

// renewalsPerLease is the number of renewals within the usable part of a lease.
const renewalsPerLease = 4

var (
	errLeaseEnded = errors.New("the lease has ended by this owner's clock")
	errNoWork     = errors.New("no work is left")
	errVoterStale = errors.New("this agent's voter has stopped or has lost contact with the others: another agent should own the duty")
)

// tenure is one ownership of a duty, with its token and lease.
type tenure struct {
	opt    Options
	fence  duty.Fence
	log    *slog.Logger
	cancel context.CancelCauseFunc
	work   sync.WaitGroup
	began  time.Time

	leaseMu  sync.Mutex // guards the fields below
	lease    duty.OwnerLease
	messages map[string]string
}

// contend acquires a duty whenever there is work and it has no owner, until ctx ends. run executes the duty
// until its context ends.
func contend(ctx context.Context, opt Options, name string, hasWork func() bool, run func(context.Context, *tenure)) {
	for ctx.Err() == nil {
		changed := opt.Council.Changed()
		wait := idleInterval
		if hasWork() {
			request := duty.Acquire{Duty: name, Owner: opt.Name}
			a, err := opt.Council.Do(ctx, duty.Command{Acquire: &request})
			asked := opt.Clock.Now()
			if err == nil && a.Offer != "" {
				request.Offer = a.Offer
				a, err = opt.Council.Do(ctx, duty.Command{Acquire: &request})
			}
			switch {
			case err != nil:
			case a.Token != 0:
				lease := duty.OwnerLease{Fence: duty.Fence{Duty: name, Token: a.Token}}.Renewed(asked, opt.Lease)
				if why := runTenure(ctx, opt, lease, run); !errors.Is(why, errVoterStale) {
					continue
				}
				wait = opt.Lease // give other agents the chance to acquire it
			default:
				wait = min(max(a.Left/2, minWait), time.Second)
			}
			changed = nil // changes of the state do not shorten the wait
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// runTenure executes a duty until it is lost, parent ends or no work is left. It returns why it ended.
func runTenure(parent context.Context, opt Options, lease duty.OwnerLease, run func(context.Context, *tenure)) error {
	ctx, cancel := context.WithCancelCause(client.WithFence(parent, lease.Fence))
	t := &tenure{
		opt: opt, fence: lease.Fence, log: opt.Log.With("duty", lease.Duty, "token", lease.Token.String()), cancel: cancel,
		began: time.Now(), lease: lease, messages: map[string]string{},
	}
	t.log.Info("owns the duty")
	t.work.Go(func() { t.renew(ctx) })
	t.work.Go(func() { t.watchLease(ctx) })
	run(ctx, t)
	cancel(nil)
	t.work.Wait()
	why := context.Cause(ctx)
	t.log.Info("owns it no longer", "why", why)
	if errors.Is(why, errNoWork) || errors.Is(why, errVoterStale) || parent.Err() != nil {
		// Releases the duty so that the next owner need not wait for the lease to end. Orders that were sent
		// continue, and the next owner resumes them.
		releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(parent), callTimeout)
		defer cancel()
		if _, err := opt.Council.Do(releaseCtx, duty.Command{Release: &duty.Release{Fence: lease.Fence}}); err != nil {
			t.log.Warn("releasing the duty failed; its lease will expire", "err", err)
		}
	}
	return why
}

// checkLease reports whether the lease is valid, so that new work may start, and ends the tenure if not.
func (t *tenure) checkLease() bool {
	t.leaseMu.Lock()
	valid := t.lease.Valid(t.opt.Clock.Now())
	t.leaseMu.Unlock()
	if !valid {
		t.cancel(errLeaseEnded)
	}
	return valid
}

// watchLease ends the tenure as soon as the lease has ended by this machine's clock.
func (t *tenure) watchLease(ctx context.Context) {
	ticker := time.NewTicker(minWait)
	defer ticker.Stop()
	for t.checkLease() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *tenure) renew(ctx context.Context) {
	interval := duty.UsableLease(t.opt.Lease) / renewalsPerLease
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		t.leaseMu.Lock()
		r := duty.Renewal{Fence: t.fence, Messages: maps.Clone(t.messages)}
		t.leaseMu.Unlock()
		asked := t.opt.Clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, 2*interval)
		err := t.opt.Council.Renew(callCtx, r)
		cancel()
		switch {
		case err == nil:
			t.leaseMu.Lock()
			t.lease = t.lease.Renewed(asked, t.opt.Lease)
			t.leaseMu.Unlock()
		case fenced(err):
			t.cancel(err)
			return
		}
	}
}

func fenced(err error) bool {
	var e *protocol.Error
	return errors.As(err, &e) && e.Code == protocol.CodeFenced
}

// voterHasApplied reports whether this agent's voter has applied this tenure's acquisition. If it has not within a
// lease, or has stopped, the tenure ends: renewals may still succeed at other voters, and the duty would
// be kept without any work being done.
func (t *tenure) voterHasApplied(v duty.View, ok bool) bool {
	applied := ok && slices.ContainsFunc(v.Duties, func(d duty.LeasedDuty) bool { return d.Name == t.fence.Duty && d.Token >= t.fence.Token })
	if !ok || !applied && time.Since(t.began) > t.opt.Lease {
		t.cancel(errVoterStale)
	}
	return applied
}

// setMessages replaces the messages on jobs that the next renewal sends.
func (t *tenure) setMessages(messages map[string]string) {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	t.messages = messages
}

// setMessage sets the message on one job until the next setMessages.
func (t *tenure) setMessage(job, text string) {
	t.leaseMu.Lock()
	defer t.leaseMu.Unlock()
	messages := maps.Clone(t.messages)
	messages[job] = text
	t.messages = messages
}
