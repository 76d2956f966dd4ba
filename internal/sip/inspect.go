package sip

import (
	"context"
	"errors"
	"fmt"

	"otterstep/internal/core"
	"otterstep/internal/sip/proxy"
)

// View is a snapshot of the front's state for inspection.
type View struct {
	proxy.View
	Pool                core.View
	Listen              map[string]string
	Dropped             int64 // datagrams dropped because the event queue was full
	Connections         int
	RejectedConnections int64 // connections rejected because of the limit
}

// Inspect copies the state of the front and of its pool.
func (f *Front) Inspect(ctx context.Context) (View, error) {
	pool, err := f.loop.Inspect(ctx)
	if err != nil {
		return View{}, fmt.Errorf("SIP pool: %w", err)
	}
	v := View{Pool: pool, Listen: f.Listen(), Dropped: f.dropped.Load()}
	v.Connections, v.RejectedConnections = f.streams.counts()
	copied := make(chan struct{})
	select {
	case f.events <- func() { v.View = f.machine.Inspect(); close(copied) }:
	case <-f.stopped:
		return View{}, errors.New("SIP has stopped")
	case <-ctx.Done():
		return View{}, fmt.Errorf("SIP is busy: %w", ctx.Err())
	}
	select {
	case <-copied:
		return v, nil
	case <-f.stopped:
		return View{}, errors.New("SIP has stopped")
	}
}
