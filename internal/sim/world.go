package sim

import (
	"fmt"
	"hash"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"otterstep/internal/core"
	"otterstep/policy"
)

// planted are faults of the node itself, for tests of the ledger; none in service.
type planted struct {
	answer  func(*try, core.Answer) // beside each true answer
	swallow func(*try) bool         // its answer is lost
	again   func(*job) bool         // the server gets it twice
	deaf    bool                    // the nodes note drains and go on as before
}

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
var Faults = []string{"hang", "slow", "fail", "crash", "mute", "drain", "cut", "node-crash", "discovery"}

// Results are what came of a run.
type Results struct {
	Asked    uint64                   `json:"asked"`     // requests, counted once however often they were tried
	Tries    uint64                   `json:"tries"`     // requests at nodes
	Attempts uint64                   `json:"attempts"`  // requests at servers
	Counted  uint64                   `json:"counted"`   // that ended after the warm-up
	Within   uint64                   `json:"within"`    // served within their aim
	Ends     map[string]uint64        `json:"ends"`      // by how they ended
	Seconds  []Second                 `json:"seconds"`   // by when they began
	Broken   map[string]int           `json:"broken"`    // rules, with how often
	First    string                   `json:"first"`     // breach
	Work     map[string]time.Duration `json:"work"`      // done by each server
	Digest   string                   `json:"digest"`    // of all ends in their order
	Events   int                      `json:"events"`    // of the simulation
	Open     int                      `json:"open"`      // records that the ledger still held
	Latency  *hdrhistogram.Histogram  `json:"-"`         // of served ones, microseconds
	P50, P99 time.Duration            `json:",omitzero"` // of served ones

	world *World
	sum   hash.Hash64
}

// Second is one second of a run.
type Second struct {
	Asked, Within, Refused, Failed uint64
}

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
	listens  bool // discovery tells of changes
	ids      uint64
	planted  planted
}

// New makes a world. The same options and seed give the same run.
func New(o Options, seed uint64) (*World, error) {
	w := &World{
		opt: o, settings: o.Settings, seed: seed, start: time.Hour, engine: NewEngine(time.Hour),
		byID: map[policy.ServerID]*Server{}, listens: true,
	}
	w.settings.Nodes = o.Nodes
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
		for _, n := range f.Servers {
			if n < 0 || n >= most {
				return nil, fmt.Errorf("faults[%d]: %d is not among the %d that there are", i, n, most)
			}
		}
	}
	w.ledger = newLedger(w.engine, w.settings.Classes)
	w.results = &Results{world: w, sum: fnv.New64a(), Ends: map[string]uint64{}, Latency: hdrhistogram.New(1, 600_000_000, 3)}
	for i, s := range o.Servers {
		server := NewServer(s, w.engine, Stream(seed, fmt.Sprint("server ", i)), w.ledger)
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
		n.members(policy.ListFull, w.servers)
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
	r.Broken, r.First, r.Open = w.ledger.broken, w.ledger.first, w.ledger.open
	r.Digest = fmt.Sprintf("%016x", r.sum.Sum64())
	r.P50, r.P99 = r.quantile(50), r.quantile(99)
	r.Work = map[string]time.Duration{}
	for _, s := range w.servers {
		r.Work[s.opt.Addr] = s.work
	}
	return r
}

func (r *Results) quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Share is the part of the counted requests that were served within their aim.
func (r *Results) Share() float64 { return float64(r.Within) / float64(max(1, r.Counted)) }

// PerRequest gives the attempts that a request at a node made at servers, on average.
func (r *Results) PerRequest() float64 { return float64(r.Attempts) / float64(max(1, r.Tries)) }

// end takes the end of a request.
func (r *Results) end(t *try, how string) {
	_, _ = io.WriteString(r.sum, t.word(how)) // a hash takes all
	w := r.world
	since := t.began - w.start
	if since < w.opt.Warm {
		return
	}
	r.Counted++
	r.Ends[how]++
	for int(since/time.Second) >= len(r.Seconds) {
		r.Seconds = append(r.Seconds, Second{})
	}
	second := &r.Seconds[since/time.Second]
	second.Asked++
	switch how {
	case "served":
		took := w.engine.Now() - t.began
		_ = r.Latency.RecordValue(max(1, took.Microseconds())) // deadlines are far below its most
		aim := w.settings.Classes[t.class].Aim
		if aim == 0 {
			aim = w.settings.Classes[t.class].Deadline
		}
		if took <= aim {
			r.Within++
			second.Within++
		}
	case "refused":
		second.Refused++
	default:
		second.Failed++
	}
}

// fault does or undoes one.
func (w *World) fault(f Fault, on bool) {
	if f.What == "discovery" {
		w.listens = !on
		if !on { // it is back: all hear of all
			w.tell(policy.ListFull, w.servers)
		}
		return
	}
	if f.What == "node-crash" {
		for _, i := range f.Servers {
			if n := w.nodes[i]; on {
				n.crash()
			} else if n.start() == nil { // the settings were good before
				n.members(policy.ListFull, w.servers)
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
		}
	}
	if len(changed) > 0 {
		w.tell(policy.ListDelta, changed)
	}
}

// tell has each node hear of changes, each a while later.
func (w *World) tell(kind policy.ListKind, servers []*Server) {
	if !w.listens {
		return
	}
	for _, n := range w.nodes {
		w.engine.After(w.opt.Told.Draw(n.rng), func() { n.members(kind, servers) })
	}
}
