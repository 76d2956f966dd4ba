// Package node is the production node: it feeds the decision module of package policy with events from the
// network and carries out its decisions.
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
	"otterstep/internal/handover"
	"otterstep/internal/lifecycle"
	"otterstep/internal/operator"
	"otterstep/internal/operatorapi"
	"otterstep/internal/requestlog"
	"otterstep/internal/sip"
	"otterstep/internal/web"
)

const (
	// File descriptors reserved for other uses than connections of clients and servers: standard streams,
	// listener, poller, discovery; and the operator API, if it is on.
	reservedDescriptors = 16
	operatorDescriptors = operatorapi.MaxConnections + 2
	minSockets          = 64

	writeReserve = 50 * time.Millisecond // for writing a request once its connection is established

	headTimeout = 2500 * time.Millisecond // clients may take 2 s to send a head; bodies have a minimum rate, see bodyrate
	readGrace   = 10 * time.Second        // time a client may take for answers beyond what its rate permits
	idleTimeout = 30 * time.Second        // some clients send one request and never close
	maxHeader   = 16 << 10
)

// Run serves until ctx ends, then drains: it goes on accepting for a while, answers every request that it
// accepted and returns nil. A signal of reloads makes it apply the settings that can change at run time.
func Run(ctx context.Context, cfg Config, op operator.File, reloads Reloads, log *slog.Logger) error {
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(memoryLimit(cfg.MemoryMB))
	}
	inherited, err := inheritedListener(cfg)
	if err != nil {
		return err
	}
	var listener net.Listener = inherited
	if inherited == nil {
		if listener, err = net.Listen("tcp", cfg.Listen); err != nil {
			return fmt.Errorf("listen: %w", err)
		}
	}
	return serve(ctx, cfg, op, listener, reloads, log)
}

// notifyBoth returns a function that passes list updates to first and, unless nil, to second.
func notifyBoth(first, second func(all bool, targets []target)) func(all bool, targets []target) {
	if second == nil {
		return first
	}
	return func(all bool, targets []target) {
		first(all, targets)
		second(all, targets)
	}
}

// repeatWindow returns how long after an attempt a further one may be started so that its last byte is sent within
// the servers' deduplication window, even if connecting takes the full connect timeout.
func repeatWindow(window, connect time.Duration) time.Duration {
	return max(0, window-connect-writeReserve)
}

// splitDescriptors divides the descriptors between connections to servers and to clients. An active request takes
// one on each side and a second copy one more on the servers' side; clients also have idle connections, and
// connections on which they never send a request.
func splitDescriptors(descriptors int) (servers, clients int) {
	servers = descriptors * 9 / 20
	return servers, descriptors - servers
}

func serve(ctx context.Context, cfg Config, op operator.File, listener net.Listener, reloads Reloads, log *slog.Logger) error {
	defer listener.Close()
	c := core.NewClock()
	policySettings := cfg.Site.Settings
	policySettings.Classes = slices.Clone(policySettings.Classes)
	for i := range policySettings.Classes {
		policySettings.Classes[i].Parked = true // an answer that is passed through is no load once it has begun
		policySettings.Classes[i].Window = repeatWindow(policySettings.Classes[i].Window, cfg.Site.ConnectTimeout)
	}
	connDescriptors := cfg.Sockets - reservedDescriptors
	if cfg.Operator != "" {
		connDescriptors -= operatorDescriptors
	}
	// An active request takes a descriptor on each side, and a second copy one more.
	policySettings.Limits.MaxOpen = connDescriptors / 3
	serverDescriptors, clientDescriptors := splitDescriptors(connDescriptors)
	memory := newClientMemory(cfg.MemoryMB, clientDescriptors)
	clients := newClients(clientDescriptors, memory)
	clients.writes = writeLimits(op.Clients.MinReadRate())
	up := newUpstream(cfg.Site.ConnIdle, cfg.Site.ConnectTimeout, serverDescriptors)
	discoveryClient := newDiscovery(cfg.Discovery, cfg.Site, c, log)
	l, err := core.New(core.Options{Settings: policySettings, Seed: cfg.Seed, Clock: c, Watch: discoveryClient.requestCall, Drop: up.pool.Drop})
	if err != nil {
		return err
	}
	var state lifecycle.Lifecycle
	discoveryClient.onList = l.UpdateServers // returns once the list is in place, so that /up does not report ready before
	f := newFront(l, up, cfg.Site, clients, memory, &state, op.Drain.TellUp)
	f.failures = requestlog.New(log)

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ops := newOperations(&state, l, log)
	var saver *stateSaver // nil if no state is saved
	if op.Kept.File != "" {
		saver = newStateSaver(op.Kept.File, op.Kept.Every.Duration, cfg.Name, l, ops, discoveryClient, log)
		defer saver.close()
		discoveryClient.onTargets = saver.listed
	}
	var fleet *fleetBans // nil if fleet bans are not accepted
	if wait := op.Fleet.Wait.Duration; wait > 0 {
		fleet = newFleetBans(wait, ops, log)
		discoveryClient.onTargets = notifyBoth(ops.listed, discoveryClient.onTargets)
	}
	if cfg.Operator != "" {
		operatorListener, err := net.Listen("tcp", cfg.Operator)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		log.Info("operators' door", "listen", operatorListener.Addr().String())
		if fleet == nil {
			discoveryClient.onTargets = notifyBoth(ops.listed, discoveryClient.onTargets)
		}
		operatorDone := make(chan struct{})
		d := operatorapi.New(operatorListener, ops, log)
		go func() {
			defer close(operatorDone)
			d.Run(background)
		}()
		defer func() { stop(); <-operatorDone }()
	}
	var sipFront *sip.Front
	if op.SIP.Enabled() {
		if sipFront, err = sip.New(op.SIP, memory.calls, cfg.Seed, c, log); err != nil {
			return err
		}
		if discoveryClient.model = op.SIP.Model; discoveryClient.model != "" {
			discoveryClient.onModelList = sipFront.Members
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			sipFront.Run(background)
		}()
		defer func() { stop(); <-ended }()
	}
	webFronts, err := web.Start(background, op.Web, memory.web(), cfg.Seed, c, log)
	if err != nil {
		return err
	}
	defer func() { stop(); webFronts.Wait() }()
	if sipFront != nil {
		ops.addFront(sipFront, sipFront.ServerNames())
	}
	ops.addFront(webFronts, webFronts.ServerNames())
	go l.Run(background)
	var handovers *handoverManager // nil if the node opened its own listening socket
	if pausable, ok := listener.(*handover.PausableListener); ok {
		handovers = &handoverManager{cfg: cfg, listener: pausable, ops: ops, clients: clients, pool: up, front: f, log: log}
		handovers.begin(background, cfg.Temp)
	}
	discoveryClient.onFirst = func() {
		if handovers != nil {
			handovers.ready(background)
		}
		state.Ready()
		log.Info("ready", "node", cfg.Name, "listen", listener.Addr().String())
	}
	go func() {
		if fleet != nil { // no server is listed before, so no request is sent
			fleet.await(background)
		}
		if saver == nil || !saver.begin(background, cfg.Known) {
			discoveryClient.applyInitial(cfg.Known)
		}
		discoveryClient.run(background)
	}()
	inspect := newInspector(cfg, listener.Addr().String(), l, clients, sipFront, webFronts)
	inspect.saver, inspect.fleet, inspect.clientMemory = saver, fleet, memory
	go reloads.follow(background, cfg, func(addr string) { discoveryClient.setAddress(background, addr) }, inspect.reloaded, log)
	go func() {
		for every := time.Tick(time.Second); background.Err() == nil; <-every {
			up.pool.Sweep()
		}
	}()

	go clients.run(background, &state)

	if path := op.Control.Socket; path != "" {
		controlDone := make(chan struct{})
		go func() {
			defer close(controlDone)
			if err := inspect.serve(background, path, state.State, log); err != nil {
				log.Error("no control socket, the node serves without it", "err", err)
			}
		}()
		defer func() { stop(); <-controlDone }()
	}
	server := f.server(log)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(clients.listener(listener)) }()
	select {
	case err := <-ended:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}

	startClock := cfg.startTerminationClock
	if startClock == nil {
		startClock = startTerminationClock
	}
	clock := startClock()
	state.End()
	log.Info("draining")
	sipDone := make(chan struct{})
	go func() {
		defer close(sipDone)
		if sipFront != nil {
			sipFront.Drain(background)
		}
	}()
	webDone := make(chan struct{})
	go func() {
		defer close(webDone)
		webFronts.Drain(background)
	}()
	longest := time.Duration(0)
	for _, class := range policySettings.Classes {
		longest = max(longest, class.Deadline)
	}
	timetable := lifecycle.PlanTermination(longest)
	l.ShutDownIn(timetable.AnswersDue - clock.Elapsed())
	accepts := func() bool {
		if handovers != nil {
			return handovers.accepts(clock.Elapsed())
		}
		return clock.Elapsed() < timetable.Accept
	}
	if err := drain(background, clock, timetable, accepts, f, clients, server); err != nil {
		return err
	}
	if saver != nil {
		saver.saveFinal(background) // SIGKILL may come while transfers continue
	}
	if err := finishTransfers(background, op.Drain.TransferLimit(), clients, server, log); err != nil {
		return err
	}
	<-webDone
	<-sipDone
	if sipFront != nil { // last, as calls in progress go on while the node lives
		sipFront.Shutdown(background)
	}
	log.Info("stopped")
	return nil
}
