// Package lab runs a whole fleet on loopback: stand-ins for discovery, application servers (boxes) and clients, and
// real agents and nodes as separate processes, as in production.
package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/clientretry"
	"otterstep/internal/fleet/group"
	"otterstep/internal/standin"
	"otterstep/internal/standin/faults"
)

// Options configure a lab.
type Options struct {
	Dir       string            // holds configurations, logs and sockets; absolute, must exist
	Node      []string          // command that starts an instance
	NodeEnv   map[string]string // additional environment variables of instances
	Agent     []string          // command that starts an agent, including its "run" subcommand
	AgentEnv  []string          // additional environment variables of agents, as KEY=value
	Guard     []string          // command that calls Guard; none if empty
	Instances int
	Agents    int // 1 if 0
	Boxes     int
	Rate      float64 // client requests per second; no clients if 0
	Classes   []standin.Class
	Pull      bool     // nodes request the list from one discovery service instead of having it pushed
	Zones     []string // assigned to boxes and instances round-robin; a single zone if empty
	// AdjustBox, if set, changes a box's options before it starts.
	AdjustBox func(i int, o *standin.BoxOptions)
	// Council, if set, makes the agents a council; they connect to each other through relays.
	Council *Council
	// Pace limits how many instances all agents together start per second (unlimited if 0), Burst how many of them at
	// once.
	Pace  float64
	Burst int
	// SaveState has each instance save the state that it needs to restart while discovery is unavailable.
	SaveState bool
	// DesiredStateWait, if set, has agents apply the council's desired state to their instances. It is how long an
	// instance waits for the desired state before it serves. It requires Council.
	DesiredStateWait time.Duration
	// Programs are further versions of the node program, by name, for upgrades.
	Programs map[string][]string
	// OperatorPorts enables the operator API of each instance.
	OperatorPorts bool
	// FallMultiple is the load, as a multiple of a cold box's capacity, at which the box falls over; 3 if 0.
	FallMultiple   float64
	ClientBehavior clientretry.Behavior // how clients retry
	// AdjustSettings, if set, changes the settings in the instances' configurations.
	AdjustSettings func(settings map[string]any)
	Seed           uint64
	Log            *slog.Logger
}

// Council configures how a lab's agents elect the owner of fleet-wide work.
type Council struct {
	Voters int // 3 or 5; the first agents vote
	Lease  time.Duration
	// Orders has each agent inject the faults that a file of its own describes; see Lab.SetOrders. The agent
	// process gets the file's path as $OTTERLAB_ORDERS.
	Orders bool
	// Direct connects agents without relays.
	Direct bool
}

// Classes returns the service classes of a small booking system.
func Classes() []standin.Class {
	return []standin.Class{
		{Name: "avail-read", Effect: standin.Safe, Deadline: 1400 * time.Millisecond, Aim: 580 * time.Millisecond, Work: 60 * time.Millisecond, Share: 0.56},
		{Name: "booking-push", Effect: standin.Keyed, Deadline: 1900 * time.Millisecond, Aim: 750 * time.Millisecond, Work: 80 * time.Millisecond, Window: 6 * time.Second, Share: 0.40},
		{Name: "card-charge", Effect: standin.Unsafe, Deadline: 1900 * time.Millisecond, Aim: 750 * time.Millisecond, Work: 80 * time.Millisecond, Share: 0.04},
	}
}

var tenants = []string{"umurage-hotels", "nyungwe-lodges", "lakeside-gisenyi"}

const (
	ledgerCapacity = 200_000
	startTimeout   = 20 * time.Second
	defaultZone    = "room1"
	// Behavior of cold boxes. The instances' settings have the same values.
	coldFrom, fallMultiple = 0.32, 3.0
	coldFor, fallFor       = 8800 * time.Millisecond, time.Second
)

// Lab is a running fleet. Close stops all of it.
type Lab struct {
	Discovery *standin.Discovery
	Boxes     []*standin.Box
	Ledger    *standin.Ledger
	Front     *standin.Front
	Clients   *standin.Clients
	Instances []Instance
	Fleet     *group.Fleet
	FleetFile string

	opt         Options
	started     time.Time
	outlets     []*standin.Outlet
	ports       []reservedPort // one or two per instance
	spawner     *spawner
	agents      []*process // by agent index; nil if the agent is not running
	relays      map[[2]string]*faults.Relay
	lostRecords map[int][]string // by agent index: copies of records taken before each loss of state, oldest first
	guard       io.Closer
	stopFront   context.CancelFunc
	frontDone   chan struct{} // closed when the front has stopped
	stopClients context.CancelFunc
}

// New starts a fleet and returns once every instance is up. On an error nothing is left running.
func New(ctx context.Context, opt Options) (_ *Lab, err error) {
	opt.Agents = max(1, opt.Agents)
	if opt.Instances < opt.Agents || opt.Boxes < 1 {
		return nil, errors.New("lab: at least one box and one instance per agent are needed")
	}
	// As a subreaper, this process becomes the parent of instances whose agent dies.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	l, err := startBoxes(opt)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			l.Close()
		}
	}()
	opt = l.opt
	if err := l.startFleet(); err != nil {
		return nil, err
	}
	var addrs []string
	for _, i := range l.Instances {
		addrs = append(addrs, i.Addr)
	}
	return l, l.startFront(ctx, addrs)
}

// startBoxes creates a lab with discovery and boxes. On an error nothing is left running.
func startBoxes(opt Options) (*Lab, error) {
	if opt.Classes == nil {
		opt.Classes = Classes()
	}
	if opt.FallMultiple == 0 {
		opt.FallMultiple = fallMultiple
	}
	if len(opt.Zones) == 0 {
		opt.Zones = []string{defaultZone}
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	l := &Lab{
		Discovery: standin.NewDiscovery(), Ledger: standin.NewLedger(ledgerCapacity),
		opt: opt, started: time.Now(), spawner: newSpawner(), frontDone: make(chan struct{}),
		stopFront: func() {}, stopClients: func() {},
	}
	close(l.frontDone)
	for i := range opt.Boxes {
		box := standin.BoxOptions{
			UID: fmt.Sprintf("s%d", i+1), Zone: opt.Zones[i%len(opt.Zones)], Cores: 2 + i%2, Speed: 1.5 - 0.5*float64(i%2), Queue: 4,
			Classes: opt.Classes, ColdFrom: coldFrom, ColdFor: coldFor, FallMultiple: opt.FallMultiple, FallFor: fallFor,
			Seed: opt.Seed + uint64(i),
		}
		if opt.AdjustBox != nil {
			opt.AdjustBox(i, &box)
		}
		b, err := standin.NewBox(box, l.Discovery, l.Ledger)
		if err != nil {
			l.Close()
			return nil, err
		}
		l.Boxes = append(l.Boxes, b)
	}
	return l, nil
}

// startFront puts instances behind a front, starts the clients and waits until all instances are up.
func (l *Lab) startFront(ctx context.Context, addrs []string) error {
	l.Front = standin.NewFront(addrs)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	l.stopFront, l.frontDone = stop, make(chan struct{})
	done := l.frontDone
	if l.opt.Rate > 0 {
		l.StartClients(standin.ClientOptions{Rate: l.opt.Rate, Classes: l.opt.Classes, Tenants: tenants, Keys: 400, Seed: l.opt.Seed, MaxOpen: 4096, Comeback: l.opt.ClientBehavior})
	}
	go func() {
		defer close(done)
		l.Front.Run(background)
	}()
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return l.waitForInstances(ready)
}

// StartClients starts the clients, which send requests until StopClients or Close. It may be called once.
func (l *Lab) StartClients(o standin.ClientOptions) {
	ctx, cancel := context.WithCancel(context.Background())
	l.stopClients = cancel
	l.Clients = standin.NewClients(o, l.Front, l.Ledger)
	go l.Clients.Run(ctx)
}

// waitForInstances waits until the front has every instance in rotation.
func (l *Lab) waitForInstances(ctx context.Context) error {
	for l.Front.Available() < len(l.Instances) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("lab: only %d of %d instances are up: %w%s", l.Front.Available(), len(l.Instances), ctx.Err(), l.describeMissing())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

// describeMissing lists the instances that the front does not have in rotation, each with the end of its log.
func (l *Lab) describeMissing() string {
	var b strings.Builder
	out := l.Front.Unavailable()
	for _, i := range l.Instances {
		if slices.Contains(out, i.Addr) {
			fmt.Fprintf(&b, "\n%s at %s: %s", i.Name, i.Addr, logTail(i.LogFile))
		}
	}
	return b.String()
}

// logTail returns the end of a log file, or the error of reading it.
func logTail(path string) string {
	const maxBytes = 500
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-maxBytes):])
}

type object = map[string]any

func (l *Lab) nodeConfig(name, addr, discovery string, index int) object {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	effects := map[standin.Effect]string{standin.Safe: "pure", standin.Keyed: "token", standin.Unsafe: "side_effect"}
	var classes, accounts []object
	for _, c := range l.opt.Classes {
		classes = append(classes, object{
			"Name": c.Name, "DeadlineMs": ms(c.Deadline), "PromiseMs": ms(c.Aim), "Effect": effects[c.Effect],
			"DedupScope": "all", "KeyTtlMs": ms(c.Window), "Importance": 1 + 6*float64(c.Effect%2),
		})
	}
	for _, t := range tenants {
		accounts = append(accounts, object{"Name": t, "QuotaPerS": 0})
	}
	mode := "pushed"
	if l.opt.Pull {
		mode = "on_request"
	}
	settings := object{
		"Accounts": accounts, "Classes": classes, "Balancers": l.opt.Instances, "RegistryMode": mode, "Zones": l.opt.Zones,
		"Locality": index % len(l.opt.Zones),
		"Contract": object{"ColdFrom": coldFrom, "ColdMs": ms(coldFor), "FallMultiple": l.opt.FallMultiple, "FallMs": ms(fallFor), "MustAskInMs": 5000},
		"Limits": object{
			"MaxAttempts": 4, "SecondCopies": true, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 600,
			"ConnIdleMs": 15000, "ConnectTimeoutMs": 250,
		},
	}
	if l.opt.AdjustSettings != nil {
		l.opt.AdjustSettings(settings)
	}
	return object{
		"name": name, "listen": addr, "discovery": discovery, "seed": fmt.Sprintf("%016x", l.opt.Seed+uint64(index)),
		"limits":   object{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    object{"rev": 0, "all": true, "targets": []any{}},
		"settings": settings,
	}
}

// Box returns the box with a uid.
func (l *Lab) Box(uid string) (*standin.Box, error) {
	for _, b := range l.Boxes {
		if b.UID() == uid {
			return b, nil
		}
	}
	return nil, fmt.Errorf("lab: no box %q; boxes are s1 to s%d", uid, len(l.Boxes))
}

// StopClients stops the clients and waits for their outstanding requests.
func (l *Lab) StopClients() {
	l.stopClients()
	if l.Clients != nil {
		l.Clients.Wait()
	}
}

// Close stops clients, agents, instances, boxes and discovery. No process is left running.
func (l *Lab) Close() {
	l.StopClients()
	l.stopFront()
	<-l.frontDone
	for _, a := range l.agents {
		if a != nil {
			a.kill()
		}
	}
	l.killInstances()
	for _, r := range l.relays {
		r.Close()
	}
	if l.guard != nil {
		l.guard.Close()
	}
	if l.Fleet != nil {
		l.Fleet.Close()
	}
	l.spawner.close()
	for _, o := range l.outlets {
		o.Close()
	}
	for _, p := range l.ports {
		if err := p.Close(); err != nil {
			l.opt.Log.Error("cannot release a reserved port", "addr", p.addr, "err", err)
		}
	}
	for _, b := range l.Boxes {
		b.Crash()
	}
}
