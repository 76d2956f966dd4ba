package node

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/metrics"
	"sync"
	"time"

	"otterstep/internal/buildinfo"
	"otterstep/internal/control"
	"otterstep/internal/core"
)

// inspector answers the control socket with what the node's parts know.
type inspector struct {
	cfg     Config
	listen  string
	loop    *core.Loop
	clients *clients
	started time.Time

	mu        sync.Mutex
	reloads   int
	reloadErr error
}

func newInspector(cfg Config, listen string, l *core.Loop, g *clients) *inspector {
	return &inspector{cfg: cfg, listen: listen, loop: l, clients: g, started: l.Clock().Start()}
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

// inspect puts together what the loop and the other parts know.
func (i *inspector) inspect(ctx context.Context, state string) (control.Inspection, error) {
	view, err := i.loop.Inspect(ctx)
	if err != nil {
		return control.Inspection{}, err
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
			ID: fmt.Sprintf("%016x", uint64(s.Server)), Endpoint: view.Listed[s.Server].Addr, Breaker: s.Breaker,
			ReopenMs: s.ReopenIn.Milliseconds(), Score: s.Score, InFlight: s.InFlight, Success: s.Success, Judged: s.Judged,
		}
		if s.Started > 0 {
			server.Started = i.loop.Clock().Wall(s.Started)
		}
		a.Servers = append(a.Servers, server)
	}
	for class, n := range view.Counts {
		by := map[string]int64{}
		for kind := range core.Kinds {
			by[kind.String()] = n[kind]
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
