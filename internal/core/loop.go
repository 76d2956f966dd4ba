package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"otterstep/policy"
)

// Options configure a Loop.
type Options struct {
	Settings policy.Settings
	Seed     uint64
	Clock    Clock
	// Watch requests a watch of the server list; it must not block.
	Watch func()
	// Drop is called for a server that was removed, restarted or moved to another address;
	// it must not block.
	Drop func(Server)
}

// Loop drives a Machine: one goroutine steps it by the clock, all others post events to
// that goroutine, and each attempt runs on its own goroutine.
type Loop struct {
	clock   Clock
	watch   func()
	drop    func(Server)
	events  chan func()
	stopped chan struct{}
	machine *Machine
}

// New creates a loop; call Run to start it. An invalid setting gives an error that names it.
func New(o Options) (*Loop, error) {
	m, err := NewMachine(o.Settings, o.Seed)
	if err != nil {
		return nil, err
	}
	return &Loop{
		clock: o.Clock, watch: o.Watch, drop: o.Drop, machine: m,
		events: make(chan func(), 256), stopped: make(chan struct{}),
	}, nil
}

// Ticket identifies a submitted request.
type Ticket struct{ request *Pending }

// AttemptHandle is a front's handle on one attempt. Its methods may be called on any goroutine.
type AttemptHandle struct {
	loop    *Loop
	attempt *Attempt
}

// Begin claims the right to write the request; it returns false once the loop has abandoned
// the attempt.
func (t AttemptHandle) Begin() bool { return t.attempt.Begin() }

// Hold reports that the beginning of an answer is held back; see Attempt.Hold.
func (t AttemptHandle) Hold(release func()) bool { return t.attempt.Hold(release) }

// EndHold ends the hold; see Attempt.EndHold.
func (t AttemptHandle) EndHold() bool { return t.attempt.EndHold() }

// Stalled posts Machine.Stalled.
func (t AttemptHandle) Stalled() {
	t.loop.post(func() { t.loop.machine.Stalled(t.loop.clock.Now(), t.attempt) })
}

// ClaimAnswer claims the right to relay the answer to the client as it arrives; see
// Attempt.ClaimAnswer.
func (t AttemptHandle) ClaimAnswer() bool {
	if !t.attempt.ClaimAnswer() {
		return false
	}
	t.loop.post(func() { t.loop.machine.AnswerClaimed(t.loop.clock.Now(), t.attempt) })
	return true
}

// RequestSent posts Machine.RequestSent.
func (t AttemptHandle) RequestSent(left time.Duration) {
	t.loop.post(func() { t.loop.machine.RequestSent(t.loop.clock.Now(), t.attempt, left) })
}

// Accepted posts Machine.Accepted.
func (t AttemptHandle) Accepted() {
	t.loop.post(func() { t.loop.machine.Accepted(t.loop.clock.Now(), t.attempt) })
}

// StreamStarted posts Machine.StreamStarted.
func (t AttemptHandle) StreamStarted() {
	t.loop.post(func() { t.loop.machine.StreamStarted(t.loop.clock.Now(), t.attempt) })
}

// Clock returns the pool's clock.
func (l *Loop) Clock() Clock { return l.clock }

// Stopped returns a channel that is closed once Run has returned: requests submitted after
// that get no answer.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// UpdateServers applies a server list, or changes to it, with the entries' addresses, and returns
// once it is in effect.
func (l *Loop) UpdateServers(kind policy.ListKind, entries []policy.Entry, addrs []string) {
	placed := make(chan struct{})
	if l.post(func() { l.machine.UpdateServers(l.clock.Now(), kind, entries, addrs); close(placed) }) {
		select {
		case <-placed:
		case <-l.stopped:
		}
	}
}

// Cordon takes a server out of service on an operator's request, or puts it back with called
// as the time of that request. It returns once this is in effect; on an error it may not be.
func (l *Loop) Cordon(ctx context.Context, id policy.ServerID, out bool, called time.Duration) error {
	return l.postAndWait(ctx, func() {
		if out {
			l.machine.Cordon(l.clock.Now(), id)
		} else {
			l.machine.Uncordon(l.clock.Now(), id, called)
		}
	})
}

// HandOver returns what the decision module has learned, for another process of the same node
// that takes over.
func (l *Loop) HandOver(ctx context.Context) (mem policy.Memory, err error) {
	err = l.postAndWait(ctx, func() { mem = l.machine.HandOver(l.clock.Now()) })
	return mem, err
}

// Learned returns a copy of what the decision module has learned, to be persisted. It does not
// change the module's state.
func (l *Loop) Learned(ctx context.Context) (mem policy.Memory, err error) {
	err = l.postAndWait(ctx, func() { mem = l.machine.Learned(l.clock.Now()) })
	return mem, err
}

// Restore restores what another process of the same node has learned.
func (l *Loop) Restore(ctx context.Context, mem policy.Memory) (err error) {
	var bad error
	if err := l.postAndWait(ctx, func() { bad = l.machine.Restore(l.clock.Now(), mem) }); err != nil {
		return err
	}
	return bad
}

// ShareRequestIDs returns which request IDs are in use here or were recently. From then on report is called with each
// change, on the loop's goroutine, until UnshareRequestIDs.
func (l *Loop) ShareRequestIDs(ctx context.Context, report func(IDChange)) (c IDChange, err error) {
	err = l.postAndWait(ctx, func() { c = l.machine.ids.share(l.clock.Now(), report) })
	return c, err
}

// LearnRequestIDs applies what another process of the node has reported: requests with its IDs are duplicates here.
func (l *Loop) LearnRequestIDs(ctx context.Context, c IDChange) error {
	return l.postAndWait(ctx, func() { l.machine.ids.learn(l.clock.Now(), c) })
}

// UnshareRequestIDs ends the sharing after the other process has ended.
func (l *Loop) UnshareRequestIDs() {
	l.post(func() { l.machine.ids.unshare(l.clock.Now()) })
}

// postAndWait posts an event and waits until the loop has handled it.
func (l *Loop) postAndWait(ctx context.Context, event func()) error {
	done := make(chan struct{})
	select {
	case l.events <- func() { event(); close(done) }:
	case <-l.stopped:
		return errStopped
	case <-ctx.Done():
		return fmt.Errorf("the loop is busy: %w", ctx.Err())
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return errStopped
	case <-ctx.Done():
		return fmt.Errorf("the loop is busy: %w", ctx.Err())
	}
}

// SetNodePart sets the share of its node's traffic that this process gets; see
// policy.Balancer.SetNodePart.
func (l *Loop) SetNodePart(part float64) {
	l.post(func() { l.machine.SetNodePart(l.clock.Now(), part) })
}

// Submit submits a request; it returns false once the loop has stopped. The answer is sent
// on the request's channel exactly once, unless ClientGone is called first.
func (l *Loop) Submit(q Request) (*Ticket, bool) {
	t := &Ticket{}
	return t, l.post(func() { t.request = l.machine.Submit(l.clock.Now(), q) })
}

// ClientGone reports that a request's client has disconnected.
func (l *Loop) ClientGone(t *Ticket) {
	l.post(func() { l.machine.ClientGone(l.clock.Now(), t.request) })
}

// ShutDownIn announces that the pool shuts down after d: all answers are due by then.
func (l *Loop) ShutDownIn(d time.Duration) {
	l.post(func() { l.machine.ShutDownIn(l.clock.Now(), d) })
}

// Inspect returns a copy of the loop's state, taken as one event among the others. Its cost
// is proportional to the number of listed servers.
func (l *Loop) Inspect(ctx context.Context) (View, error) {
	var v View
	err := l.postAndWait(ctx, func() { v = l.machine.Inspect(l.clock.Now()) })
	if err != nil {
		return View{}, err
	}
	return v, nil
}

var errStopped = errors.New("the loop has stopped")

// Run handles events until ctx is done; attempts in flight are then cancelled.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, a := range l.machine.InFlight() {
				a.stop()
			}
			return
		case event := <-l.events:
			event()
			l.performActions()
		case <-wake.C:
		}
		for l.machine.Tick(l.clock.Now()) {
			l.performActions()
		}
		if due, ok := l.machine.Due(); ok {
			wake.Reset(due - l.clock.Now())
		}
	}
}

// post queues an event for the loop; it returns false once the loop has stopped.
func (l *Loop) post(event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return false
	}
}

// performActions performs the Machine's pending actions. It never blocks.
func (l *Loop) performActions() {
	actions := l.machine.Actions()
	defer clear(actions) // they hold requests' messages
	for _, a := range actions {
		switch a.Kind {
		case ActionStart:
			ctx, cancel := context.WithCancel(context.Background())
			a.Attempt.cancel = cancel
			go l.runAttempt(ctx, a.Attempt)
		case ActionEnd:
			a.Attempt.stop()
		case ActionRespond:
			a.Pending.Answers <- a.Answer
		case ActionRelease:
			a.Attempt.release()
		case ActionWatch:
			l.watch()
		case ActionDrop:
			l.drop(a.Server)
		}
	}
}

// stop cancels the context of an attempt's goroutine, if one was started.
func (a *Attempt) stop() {
	if a.cancel != nil {
		a.cancel()
	}
}

// runAttempt makes one attempt and reports its result. It runs on its own goroutine.
func (l *Loop) runAttempt(ctx context.Context, a *Attempt) {
	p := a.Message.Attempt(ctx, a.To, l.clock.Wall(a.End), AttemptHandle{l, a})
	at := l.clock.Now()
	l.post(func() { l.machine.Finished(l.clock.Now(), a, p, at) })
}
