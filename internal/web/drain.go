package web

import (
	"context"
	"time"
)

const (
	// drainMargin is the time for answers that are given at the end of their requests' deadlines.
	drainMargin = time.Second
	// flushTime is how long net/http has to write the end of the last answers.
	flushTime     = 200 * time.Millisecond
	drainInterval = 10 * time.Millisecond
)

// Drain closes the listener and waits for what is open. Streams, tunnels and bodies that still arrive may go on for the
// configured time; a request that waits for its answer has until its deadline, whatever that time is.
func (f *Front) Drain(ctx context.Context) {
	began := time.Now()
	f.draining.Store(true)
	if !f.drainAll(ctx, began.Add(f.opt.Drain.Duration)) {
		if open := f.requests.Load(); open > 0 {
			f.log.Warn("drain time expired; streams, tunnels and bodies that still arrive are cut off", "open", open)
		}
		f.endStreams()
		f.drainRequests(ctx, began.Add(f.longestDeadline()+drainMargin))
	}
	f.endRequests()
	f.server.Close()
}

// drainAll waits until nothing is open, and returns false if something is at the end.
func (f *Front) drainAll(ctx context.Context, end time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if f.server.Shutdown(ctx) != nil { // sends GOAWAY on HTTP/2 connections
		return false
	}
	return waitUntil(ctx, func() bool { return f.tunnels.Load() == 0 })
}

// drainRequests waits until no request is open.
func (f *Front) drainRequests(ctx context.Context, end time.Time) {
	requestCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if !waitUntil(requestCtx, func() bool { return f.requests.Load() == 0 }) {
		f.log.Warn("requests without an answer are cut off", "open", f.requests.Load())
		return
	}
	flushCtx, cancelFlush := context.WithTimeout(ctx, flushTime)
	defer cancelFlush()
	_ = f.server.Shutdown(flushCtx) // connections that send nothing remain open
}

// waitUntil waits until done, and returns false if ctx has ended before.
func waitUntil(ctx context.Context, done func() bool) bool {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// longestDeadline returns the longest deadline of a class.
func (f *Front) longestDeadline() (longest time.Duration) {
	for _, class := range f.opt.Class {
		longest = max(longest, class.Deadline.Duration)
	}
	return longest
}

// endWithDrain ends the exchange when a drain cuts it off; the caller calls unhook when it has ended.
func (x *exchange) endWithDrain() (unhook func()) {
	stream := context.AfterFunc(x.front.streamCtx, func() {
		if !x.awaitsAnswer() {
			x.cancel()
		}
	})
	request := context.AfterFunc(x.front.requestCtx, x.cancel)
	return func() {
		stream()
		request()
	}
}

// awaitsAnswer reports whether the request has come whole and its answer has not begun.
func (x *exchange) awaitsAnswer() bool {
	return (x.rest == nil || x.bodyEnded.Load()) && !x.relaying.Load()
}
