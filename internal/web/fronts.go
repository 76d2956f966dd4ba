package web

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/serverlist"
	"otterstep/policy"
)

// Fronts holds all fronts of the process.
type Fronts struct {
	all     []*Front
	running sync.WaitGroup
	failed  chan error
}

// Start opens all listeners, or none on error, and serves until ctx ends; call Wait after
// that. memory is what the clients of each front can make it hold. The configuration must have passed CheckAll.
func Start(ctx context.Context, all []Config, memory Memory, seed uint64, clock core.Clock, log *slog.Logger) (*Fronts, error) {
	s := &Fronts{failed: make(chan error, len(all))}
	for i, c := range all {
		f, err := New(c, memory, seed+uint64(i), clock, log)
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

// Drain drains all fronts in parallel and returns when each is drained.
func (s *Fronts) Drain(ctx context.Context) {
	var all sync.WaitGroup
	for _, f := range s.all {
		all.Go(func() { f.Drain(ctx) })
	}
	all.Wait()
}

// Cordon takes the servers with a name out of service at all fronts, or puts them back; see core.Loop.Cordon.
func (s *Fronts) Cordon(ctx context.Context, name string, _ policy.ServerID, out bool, called time.Duration) error {
	for _, f := range s.all {
		for _, id := range serverlist.IDs(f.opt.Servers, name) {
			if err := f.loop.Cordon(ctx, id, out, called); err != nil {
				return fmt.Errorf("web %s: %w", f.opt.Name, err)
			}
		}
	}
	return nil
}

// ServerNames returns the names of the servers of all fronts.
func (s *Fronts) ServerNames() (names []string) {
	for _, f := range s.all {
		names = append(names, serverlist.Names(f.opt.Servers)...)
	}
	return names
}

// Wait blocks until all fronts have stopped.
func (s *Fronts) Wait() { s.running.Wait() }

// Failed delivers the errors of fronts that stopped on their own.
func (s *Fronts) Failed() <-chan error { return s.failed }

// View is a snapshot of a front's state for inspection.
type View struct {
	Name, Listen                     string
	Streams, Tunnels                 int64
	Truncated, Disconnects, Rejected int64
	RuleHits                         []int64
	Connections, Idle                int
	BufferedBytes                    int64
	Pool                             core.View
	ClassName                        func(int) string // returns the name of a class in Pool.Counts
}

// Inspect returns a snapshot of each front.
func (s *Fronts) Inspect(ctx context.Context) (all []View, err error) {
	var errs []error
	for _, f := range s.all {
		pool, err := f.loop.Inspect(ctx)
		if err != nil {
			errs = append(errs, fmt.Errorf("web %s: %w", f.opt.Name, err))
			continue
		}
		v := View{
			Name: f.opt.Name, Listen: f.Addr(), Streams: f.streams.Load(), Tunnels: f.tunnels.Load(), Truncated: f.truncated.Load(),
			Disconnects: f.disconnects.Load(), Rejected: f.rejected.Load(), BufferedBytes: f.bufferedBytes.Load(), Pool: pool, ClassName: f.className,
		}
		for i := range f.ruleHits {
			v.RuleHits = append(v.RuleHits, f.ruleHits[i].Load())
		}
		v.Connections, v.Idle = f.pool.Count()
		all = append(all, v)
	}
	return all, errors.Join(errs...)
}

func (f *Front) className(class int) string {
	return f.opt.Class[class/effectCount].Name + "/" + [effectCount]string{policy.Safe: "safe", policy.Keyed: "keyed", policy.Unsafe: "unsafe"}[class%effectCount]
}
