// Package experiment runs experiments, each described by one file: a fleet, its load, the
// faults with their times, and the expectations. It evaluates runs against the
// expectations and compares experiments.
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

// Limits of a file, so that one process completes the experiment in acceptable time.
const (
	maxNodes   = 2000
	maxServers = 10_000
	maxClasses = 32
	maxFaults  = 256
	maxRate    = 1_000_000 // requests per second
)

// File is the file format of an experiment. Durations have units; every key but about,
// class and load.rate has a default.
type File struct {
	Description string            `toml:"about"`
	Duration    tomlfile.Duration `toml:"for"`
	WarmUp      tomlfile.Duration `toml:"warm"` // start of the run, left out of the results
	Found       *Found            `toml:"found,omitempty"`
	Fleet       struct {
		Nodes    int  `toml:"nodes"`
		Servers  int  `toml:"servers"`
		Zones    int  `toml:"zones"`
		Parallel int  `toml:"parallel"` // concurrent requests per server
		Queue    int  `toml:"queue"`    // length of a server's queue
		Cold     bool `toml:"cold"`     // all servers have just started when the run begins
	} `toml:"fleet"`
	Network struct {
		Latency   tomlfile.Duration `toml:"latency"` // mean one-way latency between node and server
		Clients   tomlfile.Duration `toml:"clients"` // one-way latency between clients and node
		Loss      float64           `toml:"loss"`
		ListDelay tomlfile.Duration `toml:"told"` // mean delay until a node learns of a change
	} `toml:"network"`
	Discovery struct {
		Pull     bool              `toml:"asked"` // nodes query one service, instead of having lists pushed to them
		CallTime tomlfile.Duration `toml:"call"`  // processing time of a call
		MaxWait  tomlfile.Duration `toml:"wait"`  // calls that would wait longer are rejected
	} `toml:"discovery"`
	Node struct {
		Attempts     int               `toml:"attempts"`
		SecondCopies bool              `toml:"copies"`
		RetryAfter   tomlfile.Duration `toml:"retry_after"`
	} `toml:"node"`
	Class []Class `toml:"class"`
	Load  struct {
		Rate             float64   `toml:"rate"`
		Tenants          int       `toml:"tenants"`
		Skew             float64   `toml:"skew"`
		Keys             int       `toml:"keys"`
		Bursts           bool      `toml:"bursts"`
		Curve            []float64 `toml:"curve,omitempty"` // factors of the rate, for equal parts of the run
		Ramp             bool      `toml:"ramp"`            // interpolate between the factors instead of stepping
		HonorRetryAfter  *float64  `toml:"heed"`
		RetryImmediately float64   `toml:"rash"`
		MaxTries         int       `toml:"tries"`
		// Impatient is the share of clients that give up, after Patience on average.
		Impatient float64           `toml:"impatient"`
		Patience  tomlfile.Duration `toml:"patience"`
		Trace     string            `toml:"trace,omitempty"` // trace file, relative to this file's directory; see ReadTrace
	} `toml:"load"`
	Fault  []Fault `toml:"fault,omitempty"`
	Expect struct {
		Within    float64           `toml:"within"`    // minimum share served within the aim
		P99       tomlfile.Duration `toml:"p99"`       // maximum p99 of the served requests
		Attempts  float64           `toml:"attempts"`  // maximum attempts per request
		From      tomlfile.Duration `toml:"from"`      // start of the recovery
		Recovered float64           `toml:"recovered"` // minimum share served within the aim after From
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
	Window   tomlfile.Duration `toml:"window"`  // keyed: how long repeats are dropped
	Service  tomlfile.Duration `toml:"service"` // mean service time
	Spread   float64           `toml:"spread"`  // standard deviation of its logarithm; 0: constant
}

// Fault is a fault that is injected at a given time.
type Fault struct {
	At       tomlfile.Duration `toml:"at"`
	Duration tomlfile.Duration `toml:"for"`
	Kind     string            `toml:"what"`
	Servers  []int             `toml:"servers,omitempty"` // indexes from 0
	Nodes    []int             `toml:"nodes,omitempty"`
	Zone     *int              `toml:"zone,omitempty"` // all servers of the zone, instead of Servers
	All      bool              `toml:"all"`
	Amount   float64           `toml:"amount"`
}

// Found records how a hunt found a failing run.
type Found struct {
	Seed    uint64 `toml:"seed"`
	Digest  string `toml:"digest"`
	Failure string `toml:"failed"` // description of the failure
}

// Experiment is a validated file.
type Experiment struct {
	File    File
	Options sim.Options
	path    string
	runDone func() // called after each run, if set
}

// Load reads and validates a file; its error lists everything that is wrong with the file.
func Load(path string) (*Experiment, error) {
	var file File
	f, err := tomlfile.Load(path, &file)
	if err != nil {
		return nil, err
	}
	return newExperiment(f, path, file)
}

// parseText is Load for a text that was not read from a file; path names it in errors.
func parseText(path string, text []byte) (*Experiment, error) {
	var file File
	return newExperiment(tomlfile.Parse(path, text, &file), path, file)
}

var effects = map[string]policy.Effect{"safe": policy.Safe, "keyed": policy.Keyed, "unsafe": policy.Unsafe}

func newExperiment(f *tomlfile.File, path string, file File) (*Experiment, error) {
	x := &Experiment{path: path}
	o := &x.Options
	duration := func(key string, d *tomlfile.Duration, def, minimum time.Duration) time.Duration {
		if d.Duration == 0 && !f.Has(key) {
			d.Duration = def
		}
		if d.Duration < minimum {
			f.Errorf(key, "%v, must be at least %v", d.Duration, minimum)
		}
		return d.Duration
	}
	number := func(key string, n *int, def, limit int) int {
		if *n == 0 {
			*n = def
		}
		if *n < 1 || *n > limit {
			f.Errorf(key, "%d is not from 1 to %d", *n, limit)
		}
		return min(max(*n, 1), limit)
	}
	share := func(key string, v float64) float64 {
		if !(v >= 0 && v <= 1) {
			f.Errorf(key, "%v is not a share from 0 to 1", v)
		}
		return v
	}
	o.For = duration("for", &file.Duration, 20*time.Second, time.Second)
	o.WarmUp = duration("warm", &file.WarmUp, 2*time.Second, 0)
	if o.WarmUp >= o.For {
		f.Errorf("warm", "%v is not shorter than the whole run of %v", o.WarmUp, o.For)
	}
	o.Nodes = number("fleet.nodes", &file.Fleet.Nodes, 2, maxNodes)
	servers := number("fleet.servers", &file.Fleet.Servers, 8, maxServers)
	zones := number("fleet.zones", &file.Fleet.Zones, 1, servers)
	parallel := number("fleet.parallel", &file.Fleet.Parallel, 4, 10_000)
	queue := number("fleet.queue", &file.Fleet.Queue, 32, 1_000_000)
	o.Net = sim.Network{
		Latency: sim.Distribution{Kind: "exponential", Mean: duration("network.latency", &file.Network.Latency, time.Millisecond, 0)},
		Loss:    share("network.loss", file.Network.Loss),
	}
	o.ClientNet = sim.Distribution{Kind: "constant", Mean: duration("network.clients", &file.Network.Clients, time.Millisecond, 0)}
	o.ListDelay = sim.Distribution{Kind: "uniform", Mean: duration("network.told", &file.Network.ListDelay, 100*time.Millisecond, 0)}

	o.Pull = file.Discovery.Pull
	o.Call = duration("discovery.call", &file.Discovery.CallTime, 5*time.Millisecond, 0)
	o.MaxWait = duration("discovery.wait", &file.Discovery.MaxWait, 2*time.Second, 0)

	s := policy.Defaults()
	s.Limits = policy.Limits{
		MaxAttempts: number("node.attempts", &file.Node.Attempts, 3, 16), SecondCopies: file.Node.SecondCopies, Cancel: true,
		MaxRetryAfter: duration("node.retry_after", &file.Node.RetryAfter, time.Second, 0),
	}
	if len(file.Class) == 0 || len(file.Class) > maxClasses {
		f.Errorf("class", "%d classes given, must be from 1 to %d", len(file.Class), maxClasses)
	}
	service := map[int]sim.Distribution{}
	for i := range file.Class {
		c := &file.Class[i]
		key := func(name string) string { return fmt.Sprintf("class[%d].%s", i+1, name) }
		effect, ok := effects[c.Effect]
		if !ok {
			f.Errorf(key("effect"), "%q is not one of safe, keyed and unsafe", c.Effect)
		}
		if c.Name == "" {
			f.Errorf(key("name"), "missing")
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
			e.Started = time.Hour // when the simulation starts
		}
		o.Servers = append(o.Servers, sim.ServerOptions{
			Entry: e, Addr: fmt.Sprint("s", i), Parallel: parallel, Queue: queue, Service: service, Rules: s.Rules,
		})
	}
	if !(file.Load.Rate > 0 && file.Load.Rate <= maxRate) && file.Load.Trace == "" {
		f.Errorf("load.rate", "%v requests per second, must be above 0 and at most %d", file.Load.Rate, maxRate)
	}
	heed := 1.0
	if file.Load.HonorRetryAfter != nil {
		heed = share("load.heed", *file.Load.HonorRetryAfter)
	}
	o.Load = sim.Load{
		Rate: file.Load.Rate, Shares: o.Load.Shares, Tenants: number("load.tenants", &file.Load.Tenants, 1, 1_000_000), Skew: file.Load.Skew,
		Keys: file.Load.Keys, Bursts: file.Load.Bursts, Behavior: clientretry.Behavior{HonorRetryAfter: heed, RetryImmediately: share("load.rash", file.Load.RetryImmediately), MaxAttempts: number("load.tries", &file.Load.MaxTries, 1, 100)},
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
		if file.Load.Ramp { // each part's factor applies at its middle
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
	if len(file.Fault) > maxFaults {
		f.Errorf("fault", "%d faults given, the limit is %d", len(file.Fault), maxFaults)
	}
	for i, entry := range file.Fault {
		key := func(name string) string { return fmt.Sprintf("fault[%d].%s", i+1, name) }
		if !slices.Contains(sim.Faults, entry.Kind) {
			f.Errorf(key("what"), "%q is not one of %v", entry.Kind, sim.Faults)
		}
		fault := sim.Fault{At: entry.At.Duration, For: entry.Duration.Duration, What: entry.Kind, Servers: entry.Servers, Amount: entry.Amount}
		count := servers
		if entry.Kind == "node-crash" {
			fault.Servers, count = entry.Nodes, o.Nodes
		} else if len(entry.Nodes) > 0 {
			f.Errorf(key("nodes"), "only node-crash takes nodes")
		}
		for n := range count {
			if entry.All || entry.Zone != nil && n%zones == *entry.Zone && entry.Kind != "node-crash" {
				fault.Servers = append(fault.Servers, n)
			}
		}
		if entry.Kind == "flap" && entry.Amount < 0.05 {
			f.Errorf(key("amount"), "%v s between state changes, must be at least 0.05", entry.Amount)
		}
		if len(fault.Servers) == 0 && !sim.AffectsDiscovery(entry.Kind) {
			f.Errorf(key("servers"), "none given: set servers, nodes, zone or all")
		}
		for _, n := range fault.Servers {
			if n < 0 || n >= count {
				f.Errorf(key("servers"), "%d is not from 0 to %d", n, count-1)
				break
			}
		}
		o.Faults = append(o.Faults, fault)
	}
	share("hold.within", file.Expect.Within)
	share("hold.recovered", file.Expect.Recovered)
	x.File = file
	if err := f.Err(); err != nil {
		return nil, err
	}
	return x, nil
}
