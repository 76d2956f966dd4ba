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
	"otterstep/internal/lifecycle"
	"otterstep/internal/membudget"
	"otterstep/internal/sip"
	"otterstep/internal/sip/proxy"
	"otterstep/internal/web"
)

// inspector serves the control socket.
type inspector struct {
	cfg          Config
	listen       string
	loop         *core.Loop
	clients      *clients
	sip          *sip.Front // nil if it is off
	webFronts    *web.Fronts
	saver        *stateSaver // nil if no state is saved
	fleet        *fleetBans  // nil if fleet bans are not accepted
	clientMemory *clientMemory
	state        func() lifecycle.State
	started      time.Time

	mu        sync.Mutex
	reloads   int
	reloadErr error
}

func newInspector(cfg Config, listen string, l *core.Loop, g *clients, s *sip.Front, webs *web.Fronts) *inspector {
	return &inspector{cfg: cfg, listen: listen, loop: l, clients: g, sip: s, webFronts: webs, started: l.Clock().Start()}
}

// reloaded records the result of a reload.
func (i *inspector) reloaded(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reloads++
	i.reloadErr = err
}

func (i *inspector) serve(ctx context.Context, path string, state func() lifecycle.State, log *slog.Logger) error {
	i.state = state
	return control.Serve(ctx, path, i, log)
}

// ApplyStateCommand implements control.Node.
func (i *inspector) ApplyStateCommand(k control.StateCommand) error {
	if i.saver == nil {
		return control.ErrNoSavedState
	}
	return i.saver.command(k)
}

// ApplyFleetBans implements control.Node.
func (i *inspector) ApplyFleetBans(ctx context.Context, w control.FleetBans) (control.FleetStatus, error) {
	if i.fleet == nil {
		return control.FleetStatus{}, control.ErrNoFleet
	}
	return i.fleet.tell(ctx, w)
}

// Inspect implements control.Node: it combines the status of the loop and of the node's other parts.
func (i *inspector) Inspect(ctx context.Context) (control.Inspection, error) {
	state := i.state().String()
	view, err := i.loop.Inspect(ctx)
	if err != nil {
		return control.Inspection{}, err
	}
	a := control.Inspection{
		Form: control.Version, Name: i.cfg.Name, Version: buildinfo.Version(), Started: i.started, State: state, Listen: i.listen,
		Open: view.Open, Held: view.Queued, Attempts: view.InFlight, Clients: i.clients.inspect(),
		Descriptors: control.Descriptors{Open: descriptors(), Limit: i.cfg.Sockets},
		Memory:      memory(i.cfg.MemoryMB, i.clientMemory.budget), Servers: serversOf(view, i.loop.Clock()),
		Counts: countsOf(view, func(class int) string { return i.cfg.Site.Classes[class] }),
	}
	if i.saver != nil {
		a.Return = i.saver.inspect()
	}
	if i.fleet != nil {
		a.Fleet = i.fleet.inspect()
	}
	if i.sip != nil {
		if a.SIP, err = i.inspectSIP(ctx); err != nil {
			return control.Inspection{}, err
		}
	}
	views, err := i.webFronts.Inspect(ctx)
	if err != nil {
		return control.Inspection{}, err
	}
	for _, v := range views {
		a.Web = append(a.Web, control.Web{
			Name: v.Name, Listen: v.Listen, Streams: v.Streams, Tunnels: v.Tunnels, Cut: v.Truncated, Gone: v.Disconnects, TurnedDown: v.Rejected,
			Rules: v.RuleHits, Connections: v.Connections, Idle: v.Idle, Kept: v.BufferedBytes, Open: v.Pool.Open, Held: v.Pool.Queued,
			Servers: serversOf(v.Pool, i.loop.Clock()), Counts: countsOf(v.Pool, v.ClassName),
		})
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if a.Reloads = i.reloads; i.reloadErr != nil {
		a.ReloadError = i.reloadErr.Error()
	}
	return a, nil
}

func serversOf(view core.View, clock core.Clock) []control.Server {
	all := make([]control.Server, 0, len(view.Servers))
	for _, s := range view.Servers {
		server := control.Server{
			ID: fmt.Sprintf("%016x", uint64(s.Server)), Endpoint: view.Listed[s.Server].Addr, Breaker: s.Breaker,
			ReopenMs: s.ReopenIn.Milliseconds(), Score: s.Score, InFlight: s.InFlight, Success: s.Success, Judged: s.Judged,
		}
		if s.Started > 0 {
			server.Started = clock.Wall(s.Started)
		}
		all = append(all, server)
	}
	return all
}

func countsOf(view core.View, name func(class int) string) map[string]map[string]int64 {
	all := map[string]map[string]int64{}
	for class, n := range view.Counts {
		by := map[string]int64{}
		for kind := range core.NumOutcomes {
			by[kind.String()] = n[kind]
		}
		by["late"] = view.Late[class] // included in those served
		by["stalled"] = view.Stalled[class]
		by["at_deadline"] = view.AtDeadline[class] // included in those served
		all[name(class)] = by
	}
	return all
}

func (i *inspector) inspectSIP(ctx context.Context) (*control.SIP, error) {
	v, err := i.sip.Inspect(ctx)
	if err != nil {
		return nil, err
	}
	return &control.SIP{
		Listen: v.Listen, Transactions: v.View.Servers, Attempts: v.Clients, Requests: v.Counts.Requests, Inside: v.InDialog,
		Dialogs: v.Dialogs, Byes: v.Byes, Finals: v.Finals, Ends: v.Ends, Refused: v.Refused, Late: v.LateSuccesses, Stray: v.Unmatched,
		Repeats: v.Retransmissions, Malformed: v.Malformed, Dropped: v.Dropped, Sources: v.Sources,
		Connections: v.Connections, TurnedAway: v.RejectedConnections, Servers: serversOf(v.Pool, i.loop.Clock()), Held: v.Pool.Queued,
		Counts: countsOf(v.Pool, func(class int) string { return proxy.Class(class).String() }),
	}, nil
}

// descriptors returns the number of the process's open file descriptors, or -1 if it is not available.
func descriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return -1
	}
	return len(entries) - 1 // one of them is the directory being read
}

func memory(limitMB int, budget *membudget.Budget) control.Memory {
	// Unlike runtime.ReadMemStats, this does not stop the world.
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/total:bytes"}}
	metrics.Read(samples)
	return control.Memory{Heap: samples[0].Value.Uint64(), Total: samples[1].Value.Uint64(), Limit: uint64(limitMB) << 20, Budget: budget.Inspect()}
}

func (g *clients) inspect() control.Clients {
	g.mu.Lock()
	defer g.mu.Unlock()
	return control.Clients{Connections: len(g.conns), Idle: g.idle.Len(), Silent: g.silent.Len(), Most: g.limit}
}
