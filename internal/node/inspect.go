package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime/metrics"
	"sync"
	"time"

	"otterstep/internal/buildinfo"
	"otterstep/internal/control"
	"otterstep/policy"
)

// inspector answers the control socket with what the node's parts know.
type inspector struct {
	cfg     Config
	listen  string
	loop    *loop
	clients *clients
	started time.Time

	mu        sync.Mutex
	reloads   int
	reloadErr error
}

func newInspector(cfg Config, listen string, l *loop, g *clients) *inspector {
	return &inspector{cfg: cfg, listen: listen, loop: l, clients: g, started: l.clock.start}
}

// reloaded notes how a reload ended.
func (i *inspector) reloaded(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reloads++
	i.reloadErr = err
}

func (i *inspector) serve(ctx context.Context, path string, state func() string, log *slog.Logger) error {
	return control.Serve(ctx, path, func(ctx context.Context) (control.Inspection, error) {
		return i.inspect(ctx, state())
	}, log)
}

func stateName(ctx context.Context, ready bool) string {
	switch {
	case ctx.Err() != nil:
		return "draining"
	case !ready:
		return "starting"
	}
	return "ready"
}

// inspect has the loop copy what it owns, as one event among the others; all else
// is put together outside it.
func (i *inspector) inspect(ctx context.Context, state string) (control.Inspection, error) {
	var view policy.View
	var endpoints map[policy.ServerID]backend
	var counts [][answerKinds + 1]int64
	copied := make(chan struct{})
	event := func() {
		view = i.loop.balancer.Inspect(i.loop.now)
		endpoints = make(map[policy.ServerID]backend, len(view.Servers))
		for _, s := range view.Servers {
			endpoints[s.Server] = i.loop.servers[s.Server]
		}
		counts = append(counts, i.loop.counts...)
		close(copied)
	}
	select {
	case i.loop.events <- event:
	case <-i.loop.stopped:
		return control.Inspection{}, errors.New("the node has stopped")
	case <-ctx.Done():
		return control.Inspection{}, fmt.Errorf("the loop is busy: %w", ctx.Err())
	}
	select {
	case <-copied:
	case <-i.loop.stopped:
		return control.Inspection{}, errors.New("the node has stopped")
	}
	a := control.Inspection{
		Form: control.Version, Name: i.cfg.Name, Version: buildinfo.Version(), Started: i.started, State: state, Listen: i.listen,
		Open: view.Open, Held: view.Held, Attempts: view.Out, Clients: i.clients.inspect(),
		Descriptors: control.Descriptors{Open: descriptors(), Limit: i.cfg.Sockets},
		Memory:      memory(i.cfg.MemoryMB), Counts: map[string]map[string]int64{},
		Servers: make([]control.Server, 0, len(view.Servers)),
	}
	for _, s := range view.Servers {
		server := control.Server{
			ID: fmt.Sprintf("%016x", uint64(s.Server)), Endpoint: endpoints[s.Server].addr, Breaker: s.Breaker,
			ReopenMs: s.ReopenIn.Milliseconds(), Score: s.Score, InFlight: s.InFlight, Success: s.Success, Judged: s.Judged,
		}
		if s.Started > 0 {
			server.Started = i.started.Add(s.Started - clockOrigin)
		}
		a.Servers = append(a.Servers, server)
	}
	for class, n := range counts {
		by := map[string]int64{}
		for kind, name := range outcomeNames {
			by[name] = n[kind]
		}
		a.Counts[i.cfg.Site.Classes[class]] = by
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.Reloads = i.reloads; i.reloadErr != nil {
		a.ReloadError = i.reloadErr.Error()
	}
	return a, nil
}

// descriptors counts the process's own; -1 where the system does not tell.
func descriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return -1
	}
	return len(entries) - 1 // one of them reads the folder
}

func memory(limitMB int) control.Memory {
	// Unlike runtime.ReadMemStats this does not stop the world.
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"}}
	metrics.Read(samples)
	return control.Memory{Heap: samples[0].Value.Uint64(), Total: samples[1].Value.Uint64(), Limit: uint64(limitMB) << 20}
}

func (g *clients) inspect() control.Clients {
	g.mu.Lock()
	defer g.mu.Unlock()
	return control.Clients{Connections: len(g.conns), Idle: g.idle.Len(), Silent: g.silent.Len(), Most: g.most}
}
