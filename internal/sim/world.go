package sim

import (
	"cmp"
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"otterstep/policy"
)

// Defects holds defects of the node itself, which tests use to show that the rule checks and
// a fault search detect them. Experiment files cannot set them.
type Defects struct {
	DuplicateAnswers bool // each answer is delivered twice
	DropEvery        int  // every n-th request gets no answer; 0: off
	DuplicateUnsafe  bool // servers get unsafe requests twice while a machine is mute or cut off
	IgnoreChanges    bool // nodes ignore updates of the server list, such as drains
	TrustSavedState  bool // nodes trust restored state as if discovery had confirmed it
}

// minFlapInterval is the shortest interval between the state changes of a flapping server.
const minFlapInterval = 50 * time.Millisecond

// Options describe a world.
type Options struct {
	Nodes     int
	Servers   []ServerOptions
	Settings  policy.Settings // of the nodes; Nodes is filled in
	Policy    string          // the balancing policy of the nodes, one of Policies; "" for "ours"
	Net       Network         // between nodes and servers
	ClientNet Distribution    // one-way latency between clients and nodes
	ListDelay Distribution    // delay until a node receives a change of the server list
	Load      Load
	For       time.Duration
	WarmUp    time.Duration // warm-up at the start that is left out of the results
	Faults    []Fault
	// Pull makes discovery a single service that nodes must query: it handles calls one at
	// a time, Call each, and rejects those that would wait longer than MaxWait. Otherwise
	// lists are pushed to the nodes.
	Pull          bool
	Call, MaxWait time.Duration
	// SavedState, if set, makes nodes persist the server list and what they learn, and restore both when they start while
	// discovery is unavailable or must be queried.
	SavedState *SavedState
	// StartEmpty makes restarted nodes start without a server list until discovery has answered.
	StartEmpty bool
	Defects    Defects
}

// SavedState describes the condition of the persisted state that restarted nodes find.
type SavedState struct {
	ExtraAge      time.Duration // added to the age of the persisted state
	UnusableShare float64       // share of the nodes whose persisted state is unusable
}

// Fault is a fault that is injected at a given time.
type Fault struct {
	At      time.Duration // from the start
	For     time.Duration // after which it is undone; 0: it is permanent
	What    string        // one of Faults
	Servers []int         // indices of the affected servers, or nodes for "node-crash"
	Amount  float64       // slow: slowdown factor; fail: share of requests; flap: interval in seconds
}

// Faults lists the kinds of faults.
var Faults = []string{"hang", "slow", "fail", "crash", "mute", "drain", "cut", "node-crash", "discovery", "stale", "flap"}

// AffectsDiscovery reports whether a fault affects discovery and hence names no servers.
func AffectsDiscovery(what string) bool { return what == "discovery" || what == "stale" }

// World is one simulated installation. Create it with New and Run it once.
type World struct {
	opt       Options
	settings  policy.Settings
	seed      uint64
	start     time.Duration
	engine    *Engine
	checker   *Checker
	servers   []*Server
	byID      map[policy.ServerID]*Server
	nodes     []*node
	clients   *clients
	results   *Results
	digest    hash.Hash64 // over all ended requests, for Results.Digest
	discovery *discovery
	lastID    uint64
	zones     int       // nodes are assigned to zones round-robin
	onEnd     func(End) // if set, called for each ended request
}

// New creates a world. The same options and seed give the same run.
func New(o Options, seed uint64) (*World, error) {
	w := &World{
		opt: o, settings: o.Settings, seed: seed, start: time.Hour, engine: NewEngine(time.Hour),
		byID: map[policy.ServerID]*Server{},
	}
	w.discovery = &discovery{world: w, calls: map[time.Duration]int{}}
	w.settings.Nodes, w.settings.ListWatched = o.Nodes, o.Pull
	if err := w.settings.Check(); err != nil {
		return nil, err
	}
	for i, f := range o.Faults {
		most := len(o.Servers)
		if f.What == "node-crash" {
			most = o.Nodes
		}
		if !slices.Contains(Faults, f.What) {
			return nil, fmt.Errorf("faults[%d]: %q is none of %v", i, f.What, Faults)
		}
		if f.What == "flap" && f.Amount < minFlapInterval.Seconds() {
			return nil, fmt.Errorf("faults[%d]: flap interval of %v s is shorter than the minimum of %v", i, f.Amount, minFlapInterval)
		}
		for _, n := range f.Servers {
			if n < 0 || n >= most {
				return nil, fmt.Errorf("faults[%d]: index %d is out of range, there are %d", i, n, most)
			}
		}
	}
	w.checker = newChecker(w.engine, w.settings.Classes)
	w.results, w.digest = NewResults(o.WarmUp), fnv.New64a()
	for i, s := range o.Servers {
		w.zones = max(w.zones, s.Entry.Zone+1)
		server := NewServer(s, w.engine, Stream(seed, fmt.Sprint("server ", i)), w.checker)
		server.listed = s.Entry
		w.servers = append(w.servers, server)
		w.byID[s.Entry.Server] = server
	}
	w.clients = newClients(w)
	for i := range o.Nodes {
		n, err := newNode(w, i)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// Run runs the simulation to its end and returns the results.
func (w *World) Run() *Results {
	for _, n := range w.nodes {
		w.discovery.sendInitialList(n)
	}
	for _, f := range w.opt.Faults {
		w.engine.At(w.start+f.At, func() { w.applyFault(f, true) })
		if f.For > 0 {
			w.engine.At(w.start+f.At+f.For, func() { w.applyFault(f, false) })
		}
	}
	w.clients.scheduleArrival()
	longest := time.Duration(0)
	for _, c := range w.settings.Classes {
		longest = max(longest, c.Deadline)
	}
	r := w.results
	r.Events = w.engine.Run(w.start + w.opt.For + 2*longest + time.Second)
	r.SetReport(w.checker.Report())
	r.Open = w.checker.open
	r.Digest = fmt.Sprintf("%016x", w.digest.Sum64())
	r.Finish()
	r.Work, r.Pushed = map[string]time.Duration{}, map[string]float64{}
	for _, s := range w.servers {
		r.Work[s.opt.Addr], r.Pushed[s.opt.Addr] = s.work, s.peakColdLoad
		r.ColdOver = max(r.ColdOver, s.cold.Excess())
	}
	return r
}

// since returns the time since the run's start.
func (w *World) since() time.Duration { return w.engine.Now() - w.start }

// requestEnded records the end of a request with its last try.
func (w *World) requestEnded(t *try, how string) {
	_, _ = io.WriteString(w.digest, t.digestLine(how)) // a hash.Hash never returns an error
	c := w.settings.Classes[t.class]
	e := End{Began: t.began - w.start, Took: w.engine.Now() - t.began, Aim: cmp.Or(c.Aim, c.Deadline), How: how}
	w.results.RecordEnd(e)
	if w.onEnd != nil {
		w.onEnd(e)
	}
}

// anyUnreachable reports whether a server is mute or cut off.
func (w *World) anyUnreachable() bool {
	return slices.ContainsFunc(w.servers, func(s *Server) bool { return s.mute || w.nodes[0].cutOff[s] })
}

// applyFault injects a fault or undoes it.
func (w *World) applyFault(f Fault, on bool) {
	if AffectsDiscovery(f.What) {
		w.discovery.applyFault(f.What, on)
		return
	}
	if f.What == "node-crash" {
		for _, i := range f.Servers {
			if n := w.nodes[i]; on {
				n.crash()
			} else if n.start() == nil { // cannot fail: the settings were valid before
				w.discovery.sendInitialList(n)
			}
		}
		return
	}
	var changed []*Server
	for _, i := range f.Servers {
		s := w.servers[i]
		switch f.What {
		case "hang":
			if s.hang = on; !on {
				s.Crash() // a hanging server is restarted
				s.Restart()
				s.opt.Entry.Started = s.started
				changed = append(changed, s)
			}
		case "slow":
			if s.slow = 1; on {
				s.slow = f.Amount
			}
		case "fail":
			if s.fails = 0; on {
				s.fails = f.Amount
			}
		case "mute":
			s.mute = on
		case "cut":
			for _, n := range w.nodes {
				n.cutOff[s] = on
			}
		case "crash":
			if on {
				s.Crash()
				s.opt.Entry.State = policy.Gone
			} else {
				s.Restart()
				s.opt.Entry.State, s.opt.Entry.Started = policy.Ready, s.started
			}
			changed = append(changed, s)
		case "drain":
			if s.opt.Entry.State = policy.Ready; on {
				s.opt.Entry.State = policy.Draining
			}
			changed = append(changed, s)
		case "flap":
			w.flap(s, f, on)
		}
	}
	if len(changed) > 0 {
		w.discovery.publish(policy.ListDelta, changed)
	}
}

// flap makes discovery list a healthy server alternately as gone and as ready, changing every
// Amount seconds.
func (w *World) flap(s *Server, f Fault, on bool) {
	s.flapEpoch++
	epoch := s.flapEpoch
	gone := false
	var next func()
	next = func() {
		if s.flapEpoch != epoch {
			return
		}
		s.opt.Entry.State = policy.Gone
		if gone = !gone; !gone {
			s.opt.Entry.State = policy.Ready
		}
		w.discovery.publish(policy.ListDelta, []*Server{s})
		w.engine.After(time.Duration(f.Amount*float64(time.Second)), next)
	}
	if on {
		next()
	} else if s.opt.Entry.State = policy.Ready; !s.down {
		w.discovery.publish(policy.ListDelta, []*Server{s})
	}
}
