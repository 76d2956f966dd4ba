// Package experiment plays one experiment from one file: a fleet, its load, what goes
// wrong when, and what must hold. It says whether that held, and how two differ.
package experiment

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"otterstep/internal/clientretry"
	"otterstep/internal/sim"
	"otterstep/internal/tomlfile"
	"otterstep/policy"
)

// Bounds of a file: what one process plays in a time that people wait for.
const (
	mostNodes   = 2000
	mostServers = 10_000
	mostClasses = 32
	mostFaults  = 256
	mostLoads   = 1_000_000 // a second
)

// File is an experiment as it is written. Times have units; all but about, class and
// load.rate has a default.
type File struct {
	About string            `toml:"about"`
	For   tomlfile.Duration `toml:"for"`
	Warm  tomlfile.Duration `toml:"warm"` // at the start that does not count
	Found *Found            `toml:"found,omitempty"`
	Fleet struct {
		Nodes    int  `toml:"nodes"`
		Servers  int  `toml:"servers"`
		Zones    int  `toml:"zones"`
		Parallel int  `toml:"parallel"` // requests that a server works on at once
		Queue    int  `toml:"queue"`    // and that wait there
		Cold     bool `toml:"cold"`     // all servers have just started
	} `toml:"fleet"`
	Network struct {
		Latency tomlfile.Duration `toml:"latency"` // mean, one way, node to server
		Clients tomlfile.Duration `toml:"clients"` // clients to node
		Loss    float64           `toml:"loss"`
		Told    tomlfile.Duration `toml:"told"` // mean time until a node hears of a change
	} `toml:"network"`
	Discovery struct {
		Asked bool              `toml:"asked"` // one service that nodes ask, in place of lists that are pushed
		Call  tomlfile.Duration `toml:"call"`  // it works on a call for so long,
		Wait  tomlfile.Duration `toml:"wait"`  // and turns away what would wait longer
	} `toml:"discovery"`
	Node struct {
		Attempts   int               `toml:"attempts"`
		Copies     bool              `toml:"copies"`
		RetryAfter tomlfile.Duration `toml:"retry_after"`
	} `toml:"node"`
	Class []Class `toml:"class"`
	Load  struct {
		Rate    float64   `toml:"rate"`
		Tenants int       `toml:"tenants"`
		Skew    float64   `toml:"skew"`
		Keys    int       `toml:"keys"`
		Bursts  bool      `toml:"bursts"`
		Curve   []float64 `toml:"curve,omitempty"` // parts of the rate, over the run
		Ramp    bool      `toml:"ramp"`            // from one of them to the next evenly, not at once
		Heed    *float64  `toml:"heed"`
		Rash    float64   `toml:"rash"`
		Tries   int       `toml:"tries"`
		// Impatient is the share of clients that leave after Patience, their mean.
		Impatient float64           `toml:"impatient"`
		Patience  tomlfile.Duration `toml:"patience"`
		Trace     string            `toml:"trace,omitempty"` // a file to play, beside this one; see ReadTrace
	} `toml:"load"`
	Fault []Fault `toml:"fault,omitempty"`
	Hold  struct {
		Within    float64           `toml:"within"`    // least share served within the aim
		P99       tomlfile.Duration `toml:"p99"`       // most, of those served
		Attempts  float64           `toml:"attempts"`  // most, a request
		From      tomlfile.Duration `toml:"from"`      // since then
		Recovered float64           `toml:"recovered"` // the least share within the aim
	} `toml:"hold"`
}

// Class is a class of requests.
type Class struct {
	Name     string            `toml:"name"`
	Share    float64           `toml:"share"`
	Effect   string            `toml:"effect"` // safe, keyed or unsafe
	Aim      tomlfile.Duration `toml:"aim"`
	Deadline tomlfile.Duration `toml:"deadline"`
	Worth    float64           `toml:"worth"`
	Window   tomlfile.Duration `toml:"window"`  // keyed: repeats are dropped for so long
	Service  tomlfile.Duration `toml:"service"` // mean time of work
	Spread   float64           `toml:"spread"`  // of its logarithm; 0: constant
}

// Fault is what goes wrong at a time.
type Fault struct {
	At      tomlfile.Duration `toml:"at"`
	For     tomlfile.Duration `toml:"for"`
	What    string            `toml:"what"`
	Servers []int             `toml:"servers,omitempty"` // counted from 0
	Nodes   []int             `toml:"nodes,omitempty"`
	Zone    *int              `toml:"zone,omitempty"` // in place of servers: all of a zone
	All     bool              `toml:"all"`
	Amount  float64           `toml:"amount"`
}

// Found tells how a hunt's find came about.
type Found struct {
	Seed   uint64 `toml:"seed"`
	Digest string `toml:"digest"`
	Failed string `toml:"failed"` // what did not hold
}

// Experiment is a file that was checked.
type Experiment struct {
	File    File
	Options sim.Options
	path    string
	played  func() // told of each run's end, if set
}

// Load reads and checks a file, and says all that is wrong with it.
func Load(path string) (*Experiment, error) {
	var file File
	f, err := tomlfile.Load(path, &file)
	if err != nil {
		return nil, err
	}
	return build(f, path, file)
}

// parse is Load for a text that stands in no file; path names it in errors.
func parse(path string, text []byte) (*Experiment, error) {
	var file File
	return build(tomlfile.Parse(path, text, &file), path, file)
}

var effects = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}

func build(f *tomlfile.File, path string, file File) (*Experiment, error) {
	x := &Experiment{path: path}
	o := &x.Options
	duration := func(key string, d *tomlfile.Duration, or, least time.Duration) time.Duration {
		if d.Duration == 0 && !f.Has(key) {
			d.Duration = or
		}
		if d.Duration < least {
			f.Errorf(key, "%v, at least %v is needed", d.Duration, least)
		}
		return d.Duration
	}
	number := func(key string, n *int, or, most int) int {
		if *n == 0 {
			*n = or
		}
		if *n < 1 || *n > most {
			f.Errorf(key, "%d is not 1 to %d", *n, most)
		}
		return min(max(*n, 1), most)
	}
	share := func(key string, v float64) float64 {
		if !(v >= 0 && v <= 1) {
			f.Errorf(key, "%v is no share from 0 to 1", v)
		}
		return v
	}
	o.For = duration("for", &file.For, 20*time.Second, time.Second)
	o.WarmUp = duration("warm", &file.Warm, 2*time.Second, 0)
	if o.WarmUp >= o.For {
		f.Errorf("warm", "%v leaves nothing of the %v", o.WarmUp, o.For)
	}
	o.Nodes = number("fleet.nodes", &file.Fleet.Nodes, 2, mostNodes)
	servers := number("fleet.servers", &file.Fleet.Servers, 8, mostServers)
	zones := number("fleet.zones", &file.Fleet.Zones, 1, servers)
	parallel := number("fleet.parallel", &file.Fleet.Parallel, 4, 10_000)
	queue := number("fleet.queue", &file.Fleet.Queue, 32, 1_000_000)
	o.Net = sim.Network{
		Latency: sim.Distribution{Kind: "exponential", Mean: duration("network.latency", &file.Network.Latency, time.Millisecond, 0)},
		Loss:    share("network.loss", file.Network.Loss),
	}
	o.ClientNet = sim.Distribution{Kind: "constant", Mean: duration("network.clients", &file.Network.Clients, time.Millisecond, 0)}
	o.ListDelay = sim.Distribution{Kind: "uniform", Mean: duration("network.told", &file.Network.Told, 100*time.Millisecond, 0)}

	o.Pull = file.Discovery.Asked
	o.Call = duration("discovery.call", &file.Discovery.Call, 5*time.Millisecond, 0)
	o.MaxWait = duration("discovery.wait", &file.Discovery.Wait, 2*time.Second, 0)

	s := policy.Defaults()
	s.Limits = policy.Limits{
		MaxAttempts: number("node.attempts", &file.Node.Attempts, 3, 16), SecondCopies: file.Node.Copies, Cancel: true,
		MaxRetryAfter: duration("node.retry_after", &file.Node.RetryAfter, time.Second, 0),
	}
	if len(file.Class) == 0 || len(file.Class) > mostClasses {
		f.Errorf("class", "%d are given, 1 to %d are needed", len(file.Class), mostClasses)
	}
	service := map[int]sim.Distribution{}
	for i := range file.Class {
		c := &file.Class[i]
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i+1, name) }
		effect, ok := effects[c.Effect]
		if !ok {
			f.Errorf(key("effect"), "%q is none of safe, keyed and unsafe", c.Effect)
		}
		if c.Name == "" {
			f.Errorf(key("name"), "none given")
		}
		p := policy.Class{
			Aim: duration(key("aim"), &c.Aim, 300*time.Millisecond, time.Millisecond), Worth: max(c.Worth, 1),
			Effect: effect, Scope: policy.ScopeAll, Window: c.Window.Duration,
		}
		p.Deadline = duration(key("deadline"), &c.Deadline, 2*time.Second, p.Aim)
		times := sim.Distribution{Kind: "constant", Mean: duration(key("service"), &c.Service, 20*time.Millisecond, 0)}
		if c.Spread != 0 {
			times.Kind, times.Sigma = "lognormal", c.Spread
		}
		if err := times.Check(); err != nil {
			f.Errorf(key("spread"), "%v", err)
		}
		s.Classes = append(s.Classes, p)
		service[i] = times
		o.Load.Shares = append(o.Load.Shares, share(key("share"), c.Share))
	}
	o.Settings = s
	for i := range servers {
		e := policy.Entry{Server: policy.ServerID(i + 1), Zone: i % zones, State: policy.Ready, Weight: 1}
		if file.Fleet.Cold {
			e.Started = time.Hour // the simulation's start
		}
		o.Servers = append(o.Servers, sim.ServerOptions{
			Entry: e, Addr: fmt.Sprint("s", i), Parallel: parallel, Queue: queue, Service: service, Rules: s.Rules,
		})
	}
	if !(file.Load.Rate > 0 && file.Load.Rate <= mostLoads) && file.Load.Trace == "" {
		f.Errorf("load.rate", "%v requests a second: above 0 and at most %d", file.Load.Rate, mostLoads)
	}
	heed := 1.0
	if file.Load.Heed != nil {
		heed = share("load.heed", *file.Load.Heed)
	}
	o.Load = sim.Load{
		Rate: file.Load.Rate, Shares: o.Load.Shares, Tenants: number("load.tenants", &file.Load.Tenants, 1, 1_000_000), Skew: file.Load.Skew,
		Keys: file.Load.Keys, Bursts: file.Load.Bursts, Behavior: clientretry.Behavior{HonorRetryAfter: heed, RetryImmediately: share("load.rash", file.Load.Rash), MaxAttempts: number("load.tries", &file.Load.Tries, 1, 100)},
		Impatient: share("load.impatient", file.Load.Impatient), Patience: duration("load.patience", &file.Load.Patience, 200*time.Millisecond, 0),
	}
	if file.Load.Trace != "" {
		trace, err := ReadTrace(filepath.Join(filepath.Dir(path), file.Load.Trace), file.Class, o.Load.Tenants)
		if err != nil {
			f.Errorf("load.trace", "%v", err)
		}
		o.Load.Trace = trace
	}
	if curve := file.Load.Curve; len(curve) > 0 {
		for _, v := range curve {
			share("load.curve", v)
		}
		part := o.For.Seconds() / float64(len(curve))
		o.Load.Curve = func(at time.Duration) float64 {
			return curve[min(len(curve)-1, int(at.Seconds()/part))]
		}
		if file.Load.Ramp { // the parts' values hold at their middles
			o.Load.Curve = func(at time.Duration) float64 {
				x := min(max(at.Seconds()/part-0.5, 0), float64(len(curve)-1))
				n := min(int(x), len(curve)-2)
				if n < 0 {
					return curve[0]
				}
				return curve[n] + (x-float64(n))*(curve[n+1]-curve[n])
			}
		}
	}
	if len(file.Fault) > mostFaults {
		f.Errorf("fault", "%d are given, at most %d are taken", len(file.Fault), mostFaults)
	}
	for i, g := range file.Fault {
		key := func(name string) string { return fmt.Sprintf("fault[%d].%s", i+1, name) }
		if !slices.Contains(sim.Faults, g.What) {
			f.Errorf(key("what"), "%q is none of %v", g.What, sim.Faults)
		}
		fault := sim.Fault{At: g.At.Duration, For: g.For.Duration, What: g.What, Servers: g.Servers, Amount: g.Amount}
		most := servers
		if g.What == "node-crash" {
			fault.Servers, most = g.Nodes, o.Nodes
		} else if len(g.Nodes) > 0 {
			f.Errorf(key("nodes"), "only node-crash has nodes")
		}
		for n := range most {
			if g.All || g.Zone != nil && n%zones == *g.Zone && g.What != "node-crash" {
				fault.Servers = append(fault.Servers, n)
			}
		}
		if g.What == "flap" && g.Amount < 0.05 {
			f.Errorf(key("amount"), "%v s from one turn to the next, at least 0.05 are needed", g.Amount)
		}
		if len(fault.Servers) == 0 && !sim.AffectsDiscovery(g.What) {
			f.Errorf(key("servers"), "none: name servers, nodes, a zone, or all")
		}
		for _, n := range fault.Servers {
			if n < 0 || n >= most {
				f.Errorf(key("servers"), "%d is not 0 to %d", n, most-1)
				break
			}
		}
		o.Faults = append(o.Faults, fault)
	}
	share("hold.within", file.Hold.Within)
	share("hold.recovered", file.Hold.Recovered)
	x.File = file
	if err := f.Err(); err != nil {
		return nil, err
	}
	return x, nil
}
