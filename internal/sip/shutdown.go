package sip

import (
	"context"
	"time"
)

// cancelWait is how long a node that shuts down waits for servers to respond to its last CANCELs.
const cancelWait = 500 * time.Millisecond

// Drain refuses new requests outside dialogs. It waits until those that were accepted have their final responses, for
// at most the configured time, and then ends the remaining ones. Requests inside dialogs are accepted until Shutdown.
func (f *Front) Drain(ctx context.Context) {
	f.post(f.machine.Drain)
	f.waitUntil(ctx, f.config.Drain.Duration, func(v View) bool { return v.UnansweredOutside == 0 })
	f.post(func() { f.machine.ExpireOutsideDialogs(f.now()) })
}

// Shutdown is called after Drain, once the process has nothing else to wait for. It accepts requests inside dialogs until
// none lacks its final response, or half of the configured time has passed; the other half is for the answers that are
// due then. After it no response is owed to anyone, and those given are written.
func (f *Front) Shutdown(ctx context.Context) {
	admission := f.config.Drain.Duration / 2
	f.poll(ctx, admission, f.closeIfIdle)
	f.post(f.machine.Close)
	f.waitUntil(ctx, f.config.Drain.Duration-admission, func(v View) bool { return v.Unanswered == 0 })
	f.post(func() { f.machine.ExpireAll(f.now()) })
	// Wait for the final responses to cancelled requests, so that they are acknowledged.
	f.waitUntil(ctx, cancelWait, func(v View) bool { return v.Clients["calling"]+v.Clients["proceeding"] == 0 })
	f.streams.flush()
}

// closeIfIdle calls Machine.CloseIfIdle. It returns true as well if the front has stopped or ctx is done.
func (f *Front) closeIfIdle(ctx context.Context) bool {
	closed := make(chan bool, 1)
	if !f.post(func() { closed <- f.machine.CloseIfIdle() }) {
		return true
	}
	select {
	case idle := <-closed:
		return idle
	case <-f.stopped:
	case <-ctx.Done():
	}
	return true
}

// waitUntil polls the front's state until ok holds, for at most d.
func (f *Front) waitUntil(ctx context.Context, d time.Duration, ok func(View) bool) {
	f.poll(ctx, d, func(ctx context.Context) bool {
		v, err := f.Inspect(ctx)
		return err != nil || ok(v)
	})
}

// pollInterval is how often a front that shuts down looks at its state.
const pollInterval = 20 * time.Millisecond

// poll calls done until it returns true, for at most d.
func (f *Front) poll(ctx context.Context, d time.Duration, done func(context.Context) bool) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	every := time.NewTicker(pollInterval)
	defer every.Stop()
	for !done(ctx) {
		select {
		case <-every.C:
		case <-ctx.Done():
			return
		}
	}
}
