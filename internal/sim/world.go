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

// Planted are faults of the node itself: tests show by them that the ledger and a hunt see
// such faults. No file can ask for one.
type Planted struct {
	Echo    bool // each answer comes twice
	Swallow int  // each so many-th request gets no answer; 0: none
	Again   bool // servers get unsafe requests twice while a machine is silent or cut off
	Deaf    bool // nodes are told of drains and go on as before
	Believe bool // nodes take what they kept at its word
}

// leastTurn of a server that flaps.
const leastTurn = 50 * time.Millisecond

// Options describe a world.
type Options struct {
	Nodes     int
	Servers   []ServerOptions
	Settings  policy.Settings // of the nodes; Nodes is put in
	Policy    string          // what decides in them, one of Policies; "" for ours
	Net       Network         // between nodes and servers
	ClientNet Times           // one way between clients and nodes
	Told      Times           // how late a node hears of a change of the list
	Load      Load
	For       time.Duration
	Warm      time.Duration // at the start that does not count in the results
	Faults    []Fault
	// Asked makes discovery one service for all nodes, which they have to ask: it works
	// through calls in turn, Call each, and turns away what would wait for over AskWait.
	// Else lists are pushed.
	Asked         bool
	Call, AskWait time.Duration
	// Kept, if set, has nodes keep the list and what they learn, and begin with that when they start while
	// discovery is away, or has to be asked.
	Kept *Kept
	// Blank has nodes that start again know nothing until discovery has answered.
	Blank   bool
	Planted Planted
}

// Kept is what becomes of what nodes keep.
type Kept struct {
	Older  time.Duration // what was kept is so much older than the run says
	Spoilt float64       // share of the nodes that find nothing they can use
}

// Fault is one thing that goes wrong, or right again, at a time.
type Fault struct {
	At      time.Duration // from the start
	For     time.Duration // then it is undone; 0: it stays
	What    string        // see Faults
	Servers []int         // which; of node faults: which nodes
	Amount  float64       // slow: times as long; fail: share
}

// Faults are the words for what can go wrong.
var Faults = []string{"hang", "slow", "fail", "crash", "mute", "drain", "cut", "node-crash", "discovery", "stale", "flap"}

// Broad tells that a fault is discovery's and names no servers.
func Broad(what string) bool { return what == "discovery" || what == "stale" }

// World is one simulated installation. Make it with New, then Run it once.
type World struct {
	opt      Options
	settings policy.Settings
	seed     uint64
	start    time.Duration
	engine   *Engine
	ledger   *Ledger
	servers  []*Server
	byID     map[policy.ServerID]*Server
	nodes    []*node
	clients  *clients
	results  *Results
	sum      hash.Hash64 // of all ends
	list     *discovery
	ids      uint64
	zones    int // nodes stand in them by turns
	ended    func(End)
}

// New makes a world. The same options and seed give the same run.
func New(o Options, seed uint64) (*World, error) {
	w := &World{
		opt: o, settings: o.Settings, seed: seed, start: time.Hour, engine: NewEngine(time.Hour),
		byID: map[policy.ServerID]*Server{},
	}
	w.list = &discovery{world: w, calls: map[time.Duration]int{}}
	w.settings.Nodes, w.settings.ListAsked = o.Nodes, o.Asked
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
		if f.What == "flap" && f.Amount < leastTurn.Seconds() {
			return nil, fmt.Errorf("faults[%d]: a turn of %v s, at least %v", i, f.Amount, leastTurn)
		}
		for _, n := range f.Servers {
			if n < 0 || n >= most {
				return nil, fmt.Errorf("faults[%d]: %d is not among the %d that there are", i, n, most)
			}
		}
	}
	w.ledger = newLedger(w.engine, w.settings.Classes)
	w.results, w.sum = NewResults(o.Warm), fnv.New64a()
	for i, s := range o.Servers {
		w.zones = max(w.zones, s.Entry.Zone+1)
		server := NewServer(s, w.engine, Stream(seed, fmt.Sprint("server ", i)), w.ledger)
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

// Run plays the world to its end.
func (w *World) Run() *Results {
	for _, n := range w.nodes {
		w.list.begin(n)
	}
	for _, f := range w.opt.Faults {
		w.engine.At(w.start+f.At, func() { w.fault(f, true) })
		if f.For > 0 {
			w.engine.At(w.start+f.At+f.For, func() { w.fault(f, false) })
		}
	}
	w.clients.arrive()
	longest := time.Duration(0)
	for _, c := range w.settings.Classes {
		longest = max(longest, c.Deadline)
	}
	r := w.results
	r.Events = w.engine.Run(w.start + w.opt.For + 2*longest + time.Second)
	r.Judged(w.ledger.Report())
	r.Open = w.ledger.open
	r.Digest = fmt.Sprintf("%016x", w.sum.Sum64())
	r.Finish()
	r.Work, r.Pushed = map[string]time.Duration{}, map[string]float64{}
	for _, s := range w.servers {
		r.Work[s.opt.Addr], r.Pushed[s.opt.Addr] = s.work, s.pushedMost
		r.ColdOver = max(r.ColdOver, s.cold.Over())
	}
	return r
}

// since gives the time since the run's start.
func (w *World) since() time.Duration { return w.engine.Now() - w.start }

// end takes the end of a try's request.
func (w *World) end(t *try, how string) {
	_, _ = io.WriteString(w.sum, t.word(how)) // a hash takes all
	c := w.settings.Classes[t.class]
	e := End{Began: t.began - w.start, Took: w.engine.Now() - t.began, Aim: cmp.Or(c.Aim, c.Deadline), How: how}
	w.results.Take(e)
	if w.ended != nil {
		w.ended(e)
	}
}

// troubled tells that a machine is silent or cut off.
func (w *World) troubled() bool {
	return slices.ContainsFunc(w.servers, func(s *Server) bool { return s.mute || w.nodes[0].cut[s] })
}

// fault does or undoes one.
func (w *World) fault(f Fault, on bool) {
	if Broad(f.What) {
		w.list.trouble(f.What, on)
		return
	}
	if f.What == "node-crash" {
		for _, i := range f.Servers {
			if n := w.nodes[i]; on {
				n.crash()
			} else if n.start() == nil { // the settings were good before
				w.list.begin(n)
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
				s.Crash() // whoever hung is restarted
				s.Return()
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
				n.cut[s] = on
			}
		case "crash":
			if on {
				s.Crash()
				s.opt.Entry.State = policy.Gone
			} else {
				s.Return()
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
		w.list.tell(policy.ListDelta, changed)
	}
}

// flap has discovery list a server that is well as gone and back again, by turns of
// Amount seconds.
func (w *World) flap(s *Server, f Fault, on bool) {
	s.flaps++
	turn := s.flaps
	gone := false
	var next func()
	next = func() {
		if s.flaps != turn {
			return
		}
		s.opt.Entry.State = policy.Gone
		if gone = !gone; !gone {
			s.opt.Entry.State = policy.Ready
		}
		w.list.tell(policy.ListDelta, []*Server{s})
		w.engine.After(time.Duration(f.Amount*float64(time.Second)), next)
	}
	if on {
		next()
	} else if s.opt.Entry.State = policy.Ready; !s.down {
		w.list.tell(policy.ListDelta, []*Server{s})
	}
}
