package web

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"

	"otterstep/internal/core"
	"otterstep/policy"
)

// Fronts are those of one process.
type Fronts struct {
	all     []*Front
	running sync.WaitGroup
	failed  chan error
}

// Start opens all listeners, or none, and carries traffic until ctx ends; Wait then. The
// configuration has been checked.
func Start(ctx context.Context, all []Config, seed uint64, clock core.Clock, log *slog.Logger) (*Fronts, error) {
	s := &Fronts{failed: make(chan error, len(all))}
	for i, c := range all {
		f, err := New(c, seed+uint64(i), clock, log)
		if err != nil {
			for _, f := range s.all {
				f.listener.Close()
			}
			return nil, err
		}
		s.all = append(s.all, f)
	}
	for _, f := range s.all {
		s.running.Go(func() {
			if err := f.Run(ctx); err != nil {
				s.failed <- fmt.Errorf("web %s: %w", f.opt.Name, err)
			}
		})
	}
	return s, nil
}

// Drain drains all at once, and returns when all have ended.
func (s *Fronts) Drain(ctx context.Context) {
	var all sync.WaitGroup
	for _, f := range s.all {
		all.Go(func() { f.Drain(ctx) })
	}
	all.Wait()
}

// Wait waits until all have ended.
func (s *Fronts) Wait() { s.running.Wait() }

// Failed gives an error of a front that has ended by itself.
func (s *Fronts) Failed() <-chan error { return s.failed }

// View is a front's state for those who look on.
type View struct {
	Name, Listen          string
	Streams, Tunnels      int64
	Cut, Gone, TurnedDown int64
	Rules                 []int64
	Connections, Idle     int
	Kept                  int64
	Pool                  core.View
	Class                 func(int) string // names a class of Pool.Counts
}

// Inspect copies the state of all.
func (s *Fronts) Inspect(ctx context.Context) (all []View, err error) {
	var errs []error
	for _, f := range s.all {
		pool, err := f.loop.Inspect(ctx)
		if err != nil {
			errs = append(errs, fmt.Errorf("web %s: %w", f.opt.Name, err))
			continue
		}
		v := View{
			Name: f.opt.Name, Listen: f.Addr(), Streams: f.streams.Load(), Tunnels: f.tunnels.Load(), Cut: f.cut.Load(),
			Gone: f.gone.Load(), TurnedDown: f.turned.Load(), Kept: f.kept.Load(), Pool: pool, Class: f.className,
		}
		for i := range f.hits {
			v.Rules = append(v.Rules, f.hits[i].Load())
		}
		v.Connections, v.Idle = f.pool.Count()
		all = append(all, v)
	}
	return all, errors.Join(errs...)
}

func (f *Front) className(class int) string {
	return f.opt.Class[class/effects].Name + "/" + [effects]string{policy.Safe: "safe", policy.Keyed: "keyed", policy.Unsafe: "unsafe"}[class%effects]
}
