package agent

import (
	"cmp"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"otterstep/internal/fleet/backoff"
	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/instance"
	"otterstep/internal/fleet/pki"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/sip"
	"otterstep/internal/tomlfile"
)

// Config is the content of an agent's file.
type Config struct {
	Name   string `toml:"name"`
	State  string `toml:"state"`  // folder for the record, run files and logs; created if missing
	Copy   string `toml:"copy"`   // file outside the folder with a copy of the desired state, used if the record is lost; STATE.copy if empty
	Socket string `toml:"socket"` // Unix socket for tools on this machine; none if empty
	Listen string `toml:"listen"` // TCP address for remote tools, with TLS; none if empty

	TLS struct {
		CA   string `toml:"ca"`
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`

	Restart struct {
		First  tomlfile.Duration `toml:"first"`
		Most   tomlfile.Duration `toml:"most"`
		Steady tomlfile.Duration `toml:"steady"`
		Limit  int               `toml:"limit"`
	} `toml:"restart"`

	Wait struct {
		Stop tomlfile.Duration `toml:"stop"` // time between SIGTERM and SIGKILL
		Up   tomlfile.Duration `toml:"up"`   // time after a start within which /up must answer 200
		// Finish is the maximum age of an unfinished operation that a restarted agent
		// resumes; an older one is marked as interrupted.
		Finish tomlfile.Duration `toml:"finish"`
	} `toml:"wait"`

	// Recovery configures what happens to instances whose desired state is unknown.
	Recovery struct {
		Unknown string `toml:"unknown"` // "hold" (the default) or "start-after 30s"
		Group   []struct {
			Name    string `toml:"name"`
			Unknown string `toml:"unknown"`
		} `toml:"group"`
	} `toml:"recovery"`

	// Pace limits the rate at which all agents of a fleet together start instances.
	Pace struct {
		Rate   float64  `toml:"rate"`   // starts per second of all agents together; 0: unlimited
		Agents int      `toml:"agents"` // number of agents; taken from [council] if 0
		Burst  int      `toml:"burst"`  // starts that all agents together may make at once
		First  []string `toml:"first"`  // groups to start first, in this order
	} `toml:"pace"`

	// Council configures the fleet's council; nil: the agent has none and runs no part of it.
	Council *Council `toml:"council"`

	// Fleet makes this machine's instances follow the fleet's desired state, which the council keeps; nil: they
	// don't. It requires [council].
	Fleet *Fleet `toml:"fleet"`

	Instance []instance.Spec `toml:"instance"`
}

// Fleet is the [fleet] table, for a fleet whose desired state is kept by its council.
type Fleet struct {
	Programs []Program `toml:"program"`
}

// Program is a version of the node's executable, under the name used in the fleet's desired state.
type Program struct {
	Name    string   `toml:"name"`
	Command []string `toml:"command"` // the executable and its arguments
}

// maxPrograms bounds the program versions in an agent's file.
const maxPrograms = 64

// check reports errors in the table.
func (c *Fleet) check(f *tomlfile.File, cfg *Config) {
	if cfg.Council == nil {
		f.Errorf("fleet", "there is no [council], which keeps the fleet's desired state")
	}
	if len(c.Programs) > maxPrograms {
		f.Errorf("fleet.program", "%d are given, at most %d are allowed", len(c.Programs), maxPrograms)
	}
	names := map[string]bool{}
	for n, p := range c.Programs {
		key := func(name string) string { return fmt.Sprintf("fleet.program[%d].%s", n+1, name) }
		switch {
		case !protocol.NamePattern.MatchString(p.Name):
			f.Errorf(key("name"), "%q is not a valid name", p.Name)
		case names[p.Name]:
			f.Errorf(key("name"), "%q is given twice", p.Name)
		}
		names[p.Name] = true
		if len(p.Command) == 0 {
			f.Errorf(key("command"), "none given")
		}
	}
}

// Council is the [council] table, for a fleet in which each duty has one owner at a time.
type Council struct {
	Cluster string            `toml:"cluster"` // id of the fleet, the same in the files of all its agents
	Lease   tomlfile.Duration `toml:"lease"`
	Voters  []string          `toml:"voters"` // agents that bootstrap the council: 3 or 5
	Agent   []struct {
		Name    string `toml:"name"`
		Address string `toml:"address"` // in the same form as in otterctl's file
	} `toml:"agent"` // all agents of the fleet
}

// parseUnknownPolicy parses the policy for instances whose desired state is unknown: the
// delay before they are started, 0 to hold them.
func parseUnknownPolicy(text string) (after time.Duration, err error) {
	if text == "" || text == "hold" {
		return 0, nil
	}
	if rest, ok := strings.CutPrefix(text, "start-after "); ok {
		if after, err = time.ParseDuration(rest); err == nil && after > 0 {
			return after, nil
		}
	}
	return 0, fmt.Errorf("%q is neither \"hold\" nor of the form \"start-after 30s\"", text)
}

// unknownStartDelay returns the policy of a group. The configuration has been checked.
func (c *Config) unknownStartDelay(group string) time.Duration {
	text := c.Recovery.Unknown
	for _, g := range c.Recovery.Group {
		if g.Name == group {
			text = g.Unknown
		}
	}
	after, _ := parseUnknownPolicy(text)
	return after
}

// agentCount returns the number of agents that share the start rate.
func (c *Config) agentCount() int {
	if c.Pace.Agents == 0 && c.Council != nil {
		return len(c.Council.Agent)
	}
	return c.Pace.Agents
}

// compareStartOrder orders instances by the priority of their group, then by name.
func (c *Config) compareStartOrder(a, b instance.Spec) int {
	rank := func(group string) int {
		if i := slices.Index(c.Pace.First, group); i >= 0 {
			return i
		}
		return len(c.Pace.First)
	}
	return cmp.Or(cmp.Compare(rank(a.Group), rank(b.Group)), cmp.Compare(a.Name, b.Name))
}

const (
	defaultBurst       = 32
	maxAgents          = 1000
	minLease, maxLease = time.Second, time.Minute
	defaultLease       = 5 * time.Second
)

// check reports errors in the table.
func (c *Council) check(f *tomlfile.File, cfg *Config) {
	if c.Lease.Duration == 0 {
		c.Lease.Duration = defaultLease
	}
	if !protocol.NamePattern.MatchString(c.Cluster) {
		f.Errorf("council.cluster", "%q is not a valid name; all agents of the fleet use the same one", c.Cluster)
	}
	if c.Lease.Duration < minLease || c.Lease.Duration > maxLease {
		f.Errorf("council.lease", "%v is outside the range %v to %v", c.Lease.Duration, minLease, maxLease)
	}
	if err := duty.CheckVoters(c.Voters); err != nil {
		f.Errorf("council.voters", "%v", err)
	}
	if len(c.Agent) == 0 || len(c.Agent) > maxAgents {
		f.Errorf("council.agent", "%d are given, 1 to %d are allowed", len(c.Agent), maxAgents)
	}
	names := map[string]bool{}
	for n := range c.Agent {
		a := &c.Agent[n]
		key := func(name string) string { return fmt.Sprintf("council.agent[%d].%s", n+1, name) }
		switch {
		case !protocol.NamePattern.MatchString(a.Name):
			f.Errorf(key("name"), "%q is not a valid name", a.Name)
		case names[a.Name]:
			f.Errorf(key("name"), "%q is given twice", a.Name)
		}
		names[a.Name] = true
		if strings.HasPrefix(a.Address, "https://") && cfg.TLS.Cert == "" {
			f.Errorf(key("address"), "%s needs tls.ca, tls.cert and tls.key", a.Address)
		} else if _, err := client.New(a.Name, a.Address, &tls.Config{MinVersion: tls.VersionTLS13}); err != nil {
			f.Errorf(key("address"), "%v", err)
		}
	}
	for _, name := range c.Voters {
		if !names[name] {
			f.Errorf("council.voters", "%q is not among council.agent", name)
		}
	}
	if !names[cfg.Name] {
		f.Errorf("council.agent", "%q, which is this agent, is not among them", cfg.Name)
	}
}

// clients returns clients for all agents of the fleet.
func (c *Config) clients() (all []*client.Client, err error) {
	var conf *tls.Config
	if c.TLS.Cert != "" {
		if conf, err = pki.ClientConfig(c.TLS.CA, c.TLS.Cert, c.TLS.Key); err != nil {
			return nil, fmt.Errorf("agent: tls: %w", err)
		}
	}
	for _, a := range c.Council.Agent {
		k, err := client.New(a.Name, a.Address, conf)
		if err != nil {
			return nil, fmt.Errorf("agent: council: %w", err)
		}
		all = append(all, k)
	}
	return all, nil
}

// LoadConfig reads and checks an agent's file. Relative paths are resolved against the
// file's folder.
func LoadConfig(path string) (Config, error) {
	c := Config{}
	c.Restart.First.Duration, c.Restart.Most.Duration = 500*time.Millisecond, 30*time.Second
	c.Restart.Steady.Duration, c.Restart.Limit = time.Minute, 8
	c.Pace.Burst = defaultBurst
	c.Wait.Stop.Duration, c.Wait.Up.Duration, c.Wait.Finish.Duration = 15*time.Second, 30*time.Second, 10*time.Minute
	f, err := tomlfile.Load(path, &c)
	if err != nil {
		return c, err
	}
	abs, err := filepath.Abs(path)
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	resolve := func(p *string) {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(abs), *p)
		}
	}
	for _, p := range []*string{&c.State, &c.Copy, &c.Socket, &c.TLS.CA, &c.TLS.Cert, &c.TLS.Key} {
		resolve(p)
	}
	if !protocol.NamePattern.MatchString(c.Name) {
		f.Errorf("name", "%q is not a valid name: letters, digits, '.', '_' and '-', 63 at most", c.Name)
	}
	if c.State == "" {
		f.Errorf("state", "none given: the folder of the record")
	}
	if c.Socket == "" && c.Listen == "" {
		f.Errorf("socket", "neither socket nor listen is given: no tool could reach this agent")
	}
	if c.Listen != "" {
		if _, _, err := net.SplitHostPort(c.Listen); err != nil {
			f.Errorf("listen", "%v", err)
		}
		for key, file := range map[string]string{"tls.ca": c.TLS.CA, "tls.cert": c.TLS.Cert, "tls.key": c.TLS.Key} {
			if file == "" {
				f.Errorf(key, "none given, but listen requires it")
			}
		}
	}
	if c.Pace.Rate < 0 || c.Pace.Agents < 0 || c.Pace.Burst < 0 {
		f.Errorf("pace", "rate, agents and burst must not be negative")
	}
	if c.Pace.Rate > 0 && c.agentCount() == 0 {
		f.Errorf("pace.agents", "none given: rate needs the number of agents that share it")
	}
	if _, err := parseUnknownPolicy(c.Recovery.Unknown); err != nil {
		f.Errorf("recovery.unknown", "%v", err)
	}
	for n, g := range c.Recovery.Group {
		if _, err := parseUnknownPolicy(g.Unknown); err != nil {
			f.Errorf(fmt.Sprintf("recovery.group[%d].unknown", n+1), "%v", err)
		}
	}
	if c.Council != nil {
		for n := range c.Council.Agent {
			if path, ok := strings.CutPrefix(c.Council.Agent[n].Address, "unix:"); ok && path != "" {
				resolve(&path)
				c.Council.Agent[n].Address = "unix:" + path
			}
		}
		c.Council.check(f, &c)
	}
	if c.Fleet != nil {
		c.Fleet.check(f, &c)
	}
	if c.Restart.Limit < 1 {
		f.Errorf("restart.limit", "%d, at least 1 is needed", c.Restart.Limit)
	}
	if c.Restart.First.Duration <= 0 || c.Restart.Most.Duration < c.Restart.First.Duration {
		f.Errorf("restart.first", "must be above 0 and at most restart.most")
	}
	if len(c.Instance) > protocol.MaxInstances {
		f.Errorf("instance", "%d are given, at most %d are allowed", len(c.Instance), protocol.MaxInstances)
	}
	names := map[string]bool{}
	for n := range c.Instance {
		i := &c.Instance[n]
		key := func(name string) string { return fmt.Sprintf("instance[%d].%s", n+1, name) }
		for _, p := range []*string{&i.Config, &i.Operator, &i.Control} {
			resolve(p)
		}
		switch {
		case !protocol.NamePattern.MatchString(i.Name):
			f.Errorf(key("name"), "%q is not a valid name: letters, digits, '.', '_' and '-', 63 at most", i.Name)
		case names[i.Name]:
			f.Errorf(key("name"), "%q is given twice", i.Name)
		}
		names[i.Name] = true
		if i.Group != "" && !protocol.NamePattern.MatchString(i.Group) {
			f.Errorf(key("group"), "%q is not a valid name", i.Group)
		}
		if i.SIP != "" {
			if err := sip.CheckTarget(i.SIP); err != nil {
				f.Errorf(key("sip"), "%v", err)
			}
		}
		if len(i.Program) == 0 {
			f.Errorf(key("program"), "none given")
		}
		if i.Listen == "" {
			if i.Listen, err = readListen(i.Config); err != nil {
				f.Errorf(key("config"), "%v", err)
			}
		}
	}
	return c, f.Err()
}

// readListen reads an instance's listen address from the instance's configuration file.
func readListen(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var c struct{ Listen string }
	if err := json.Unmarshal(text, &c); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return "", fmt.Errorf("%s: listen: %w", path, err)
	}
	return c.Listen, nil
}

func (c *Config) backoff() backoff.Policy {
	return backoff.Policy{Initial: c.Restart.First.Duration, Max: c.Restart.Most.Duration, StableAfter: c.Restart.Steady.Duration, MaxCrashes: c.Restart.Limit}
}
