// Package node is the real node: it drives the decision module of package policy
// with what happens on sockets, and decides nothing itself.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/door"
	"otterstep/internal/handover"
	"otterstep/internal/life"
	"otterstep/internal/operator"
	"otterstep/internal/sip"
	"otterstep/internal/web"
)

const (
	// The descriptors that are neither clients' nor servers' connections:
	// standard streams, listener, poller, discovery; and the operators' door, if there is one.
	otherSockets = 16
	doorSockets  = door.Connections + 2
	leastSockets = 64

	writeSpare = 50 * time.Millisecond // for a request to be written, behind its connect

	headTimeout  = 2500 * time.Millisecond // a client may take 2 s over a head; bodies have a rate, see patient
	writeTimeout = 60 * time.Second        // from the head on, with a slow body: over any deadline
	idleTimeout  = 30 * time.Second        // some ask once and never close
	maxHeader    = 16 << 10
)

// Run serves until ctx ends, then drains: it goes on accepting for a while,
// answers all that it took and returns nil. A signal of reloads makes it take over
// what can change while it runs.
func Run(ctx context.Context, cfg Config, op operator.File, reloads Reloads, log *slog.Logger) error {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(memoryLimit(cfg.MemoryMB))
	}
	gate, err := inherited(cfg)
	if err != nil {
		return err
	}
	var listener net.Listener = gate
	if gate == nil {
		if listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	return serve(ctx, cfg, op, listener, reloads, log)
}

// both has two parts told of the list, if there is a second one.
func both(first, second func(all bool, targets []target)) func(all bool, targets []target) {
	if second == nil {
		return first
	}
	return func(all bool, targets []target) {
		first(all, targets)
		second(all, targets)
	}
}

// repeatWindow is how long after an attempt a further one may be chosen, so that its last byte has gone out
// while servers still drop repeats: its connection may take all of connect to come up.
func repeatWindow(window, connect time.Duration) time.Duration {
	return max(0, window-connect-writeSpare)
}

// memoryLimit is the collector's, in bytes.
func memoryLimit(mb int) int64 { return int64(mb) << 20 * 3 / 4 }

// bodyLimit bounds clients' larger bodies together, in bytes.
func bodyLimit(mb int) int64 { return int64(mb) << 20 / 4 }

// split gives servers and clients their descriptors. A request in work takes one at each side
// and a second copy one more at the servers'; clients also have idle connections, and some
// that say nothing.
func split(descriptors int) (servers, clients int) {
	servers = descriptors * 9 / 20
	return servers, descriptors - servers
}

func serve(ctx context.Context, cfg Config, op operator.File, listener net.Listener, reloads Reloads, log *slog.Logger) error {
	defer listener.Close()
	c := core.NewClock()
	set := cfg.Site.Settings
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		set.Classes[i].Parked = true // an answer that passes is no load once it has begun
		set.Classes[i].Window = repeatWindow(set.Classes[i].Window, cfg.Site.ConnectTimeout)
	}
	carrying := cfg.Sockets - otherSockets
	if cfg.Operator != "" {
		carrying -= doorSockets
	}
	// A request in work takes a descriptor at each side, and a second copy one more.
	set.Limits.MaxOpen = carrying / 3
	servers, forClients := split(carrying)
	clients := newClients(forClients)
	up := newUpstream(cfg.Site.ConnIdle, cfg.Site.ConnectTimeout, servers)
	disco := newDiscovery(cfg.Discovery, cfg.Site, c, log)
	l, err := core.New(core.Options{Settings: set, Seed: cfg.Seed, Clock: c, Watch: disco.watch, Drop: up.pool.Drop})
	if err != nil {
		return err
	}
	var state life.Life
	disco.members = l.Members // waits until it is in place, so that /up does not run ahead of it
	bodies := int64(64 << 20)
	if cfg.MemoryMB > 0 {
		bodies = bodyLimit(cfg.MemoryMB)
	}
	f := newFront(l, up, cfg.Site, clients, bodies, &state, op.Drain.TellUp)

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ops := newOperations(&state, l, log)
	var comes *returning // nil where nothing is kept
	if op.Kept.File != "" {
		comes = newReturning(op.Kept.File, op.Kept.Every.Duration, cfg.Name, l, ops, disco, log)
		defer comes.close()
		disco.listed = comes.listed
	}
	var fleet *fleetWord // nil where the fleet's word is not taken
	if wait := op.Fleet.Wait.Duration; wait > 0 {
		fleet = newFleetWord(wait, ops, log)
		disco.listed = both(ops.listed, disco.listed)
	}
	if cfg.Operator != "" {
		entrance, err := net.Listen("tcp", cfg.Operator)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		log.Info("operators' door", "listen", entrance.Addr().String())
		if fleet == nil {
			disco.listed = both(ops.listed, disco.listed)
		}
		answered := make(chan struct{})
		d := door.New(entrance, ops, log)
		go func() {
			defer close(answered)
			d.Run(background)
		}()
		defer func() { stop(); <-answered }()
	}
	var calls *sip.Front
	if op.SIP.On() {
		if calls, err = sip.New(op.SIP, cfg.Seed, c, log); err != nil {
			return err
		}
		if disco.model = op.SIP.Model; disco.model != "" {
			disco.apart = calls.Members
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			calls.Run(background)
		}()
		defer func() { stop(); <-ended }()
	}
	webs, err := web.Start(background, op.Web, cfg.Seed, c, log)
	if err != nil {
		return err
	}
	defer func() { stop(); webs.Wait() }()
	go l.Run(background)
	var heirs *succession // nil where the node has a listening socket of its own
	if gate, ok := listener.(*handover.Gate); ok {
		heirs = &succession{cfg: cfg, gate: gate, ops: ops, clients: clients, pool: up, front: f, log: log}
		heirs.begin(background, cfg.Temp)
	}
	disco.first = func() {
		if heirs != nil {
			heirs.ready(background)
		}
		state.Ready()
		log.Info("ready", "node", cfg.Name, "listen", listener.Addr().String())
	}
	go func() {
		if fleet != nil { // nothing is listed before, so that nothing is sent anywhere
			fleet.await(background)
		}
		if comes == nil || !comes.begin(background, cfg.Known) {
			disco.begin(cfg.Known)
		}
		disco.run(background)
	}()
	watcher := newInspector(cfg, listener.Addr().String(), l, clients, calls, webs)
	watcher.comes, watcher.fleet = comes, fleet
	go reloads.follow(background, cfg, func(addr string) { disco.move(background, addr) }, watcher.reloaded, log)
	go func() {
		for every := time.Tick(time.Second); background.Err() == nil; <-every {
			up.pool.Sweep()
		}
	}()

	go clients.run(background, &state)

	if path := op.Control.Socket; path != "" {
		controlled := make(chan struct{})
		go func() {
			defer close(controlled)
			if err := watcher.serve(background, path, state.State, log); err != nil {
				log.Error("the node serves without it", "err", err)
			}
		}()
		defer func() { stop(); <-controlled }()
	}
	server := f.server(log)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(clients.listener(listener)) }()
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}

	told := time.Now()
	state.End()
	log.Info("draining")
	callsDone := make(chan struct{})
	go func() {
		defer close(callsDone)
		if calls != nil {
			calls.Drain(background)
		}
	}()
	websDone := make(chan struct{})
	go func() {
		defer close(websDone)
		webs.Drain(background)
	}()
	longest := time.Duration(0)
	for _, class := range set.Classes {
		longest = max(longest, class.Deadline)
	}
	plan := life.Terminate(longest)
	l.EndIn(plan.Answers - time.Since(told))
	accepts := func() bool {
		if heirs != nil {
			return heirs.accepts(time.Since(told))
		}
		return time.Since(told) < plan.Accept
	}
	if err := drain(background, told, plan, accepts, f, clients, server); err != nil {
		return err
	}
	if comes != nil {
		comes.end(background)
	}
	<-callsDone
	<-websDone
	log.Info("stopped")
	return nil
}
