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

// Config is an agent's file.
type Config struct {
	Name   string `toml:"name"`
	State  string `toml:"state"`  // the folder of the record, run files and logs; the agent makes it
	Copy   string `toml:"copy"`   // a file beside the folder that tells what is desired if the record is lost; STATE.copy if empty
	Socket string `toml:"socket"` // for tools on this machine; none if empty
	Listen string `toml:"listen"` // for tools elsewhere, with TLS; none if empty

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
		Stop tomlfile.Duration `toml:"stop"` // from SIGTERM until SIGKILL
		Up   tomlfile.Duration `toml:"up"`   // from the start until /up must answer 200
		// Finish is how old an operation may be that a started agent still finishes;
		// an older one is marked as interrupted.
		Finish tomlfile.Duration `toml:"finish"`
	} `toml:"wait"`

	// Recovery says what is done with instances of which nobody knows what is desired.
	Recovery struct {
		Unknown string `toml:"unknown"` // "hold" (if empty), or "start-after 30s"
		Group   []struct {
			Name    string `toml:"name"`
			Unknown string `toml:"unknown"`
		} `toml:"group"`
	} `toml:"recovery"`

	// Pace bounds how many instances the agents of a fleet start together.
	Pace struct {
		Rate   float64  `toml:"rate"`   // starts a second, of all agents together; 0: no bound
		Agents int      `toml:"agents"` // how many there are; [council]'s if 0
		Burst  int      `toml:"burst"`  // starts that all may make at once
		First  []string `toml:"first"`  // groups that matter first, in this order
	} `toml:"pace"`

	// Council is the fleet's; nil: this agent knows of none, and nothing of it runs.
	Council *Council `toml:"council"`

	// Fleet brings this machine's instances to what the council says that the fleet should be; nil: nothing
	// does. It takes [council].
	Fleet *Fleet `toml:"fleet"`

	Instance []instance.Spec `toml:"instance"`
}

// Fleet is the table of a fleet whose desired state is kept by its council.
type Fleet struct {
	Programs []Program `toml:"program"`
}

// Program is a version of the node's program, under the name that the fleet's document has for it.
type Program struct {
	Name    string   `toml:"name"`
	Command []string `toml:"command"` // the program and its arguments
}

// programsMost bounds the versions of an agent's file.
const programsMost = 64

// check tells what is wrong with the table.
func (c *Fleet) check(f *tomlfile.File, cfg *Config) {
	if cfg.Council == nil {
		f.Bad("fleet", "there is no [council]: nobody could agree on what the fleet should be")
	}
	if len(c.Programs) > programsMost {
		f.Bad("fleet.program", "%d are given, at most %d can be", len(c.Programs), programsMost)
	}
	names := map[string]bool{}
	for n, p := range c.Programs {
		key := func(name string) string { return fmt.Sprintf("fleet.program[%d].%s", n+1, name) }
		switch {
		case !protocol.Name.MatchString(p.Name):
			f.Bad(key("name"), "%q is no name", p.Name)
		case names[p.Name]:
			f.Bad(key("name"), "%q is given twice", p.Name)
		}
		names[p.Name] = true
		if len(p.Command) == 0 {
			f.Bad(key("command"), "none given")
		}
	}
}

// Council is the table of a fleet whose work has one owner at a time.
type Council struct {
	Cluster string            `toml:"cluster"` // the fleet's id, the same in all its agents' files
	Lease   tomlfile.Duration `toml:"lease"`
	Voters  []string          `toml:"voters"` // agents that found it: 3 or 5
	Agent   []struct {
		Name    string `toml:"name"`
		Address string `toml:"address"` // as in otterctl's file
	} `toml:"agent"` // all of the fleet
}

// unknownPolicy reads a policy for instances of which nothing is known: 0 holds.
func unknownPolicy(text string) (after time.Duration, err error) {
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

// startAfter gives the policy of a group. The file was checked.
func (c *Config) startAfter(group string) time.Duration {
	text := c.Recovery.Unknown
	for _, g := range c.Recovery.Group {
		if g.Name == group {
			text = g.Unknown
		}
	}
	after, _ := unknownPolicy(text)
	return after
}

// parties is how many agents start instances when all come back.
func (c *Config) parties() int {
	if c.Pace.Agents == 0 && c.Council != nil {
		return len(c.Council.Agent)
	}
	return c.Pace.Agents
}

// before orders instances: groups that matter first, then names.
func (c *Config) before(a, b instance.Spec) int {
	at := func(group string) int {
		if i := slices.Index(c.Pace.First, group); i >= 0 {
			return i
		}
		return len(c.Pace.First)
	}
	return cmp.Or(cmp.Compare(at(a.Group), at(b.Group)), cmp.Compare(a.Name, b.Name))
}

const (
	burstUsual           = 32
	agentsMost           = 1000
	leaseLeast, leaseMax = time.Second, time.Minute
	leaseUsual           = 5 * time.Second
)

// check tells what is wrong with the table.
func (c *Council) check(f *tomlfile.File, cfg *Config) {
	if c.Lease.Duration == 0 {
		c.Lease.Duration = leaseUsual
	}
	if !protocol.Name.MatchString(c.Cluster) {
		f.Bad("council.cluster", "%q is no name: all agents of the fleet have the same", c.Cluster)
	}
	if c.Lease.Duration < leaseLeast || c.Lease.Duration > leaseMax {
		f.Bad("council.lease", "%v, %v to %v can be", c.Lease.Duration, leaseLeast, leaseMax)
	}
	if err := duty.CheckVoters(c.Voters); err != nil {
		f.Bad("council.voters", "%v", err)
	}
	if len(c.Agent) == 0 || len(c.Agent) > agentsMost {
		f.Bad("council.agent", "%d are given, 1 to %d can be", len(c.Agent), agentsMost)
	}
	names := map[string]bool{}
	for n := range c.Agent {
		a := &c.Agent[n]
		key := func(name string) string { return fmt.Sprintf("council.agent[%d].%s", n+1, name) }
		switch {
		case !protocol.Name.MatchString(a.Name):
			f.Bad(key("name"), "%q is no name", a.Name)
		case names[a.Name]:
			f.Bad(key("name"), "%q is given twice", a.Name)
		}
		names[a.Name] = true
		if strings.HasPrefix(a.Address, "https://") && cfg.TLS.Cert == "" {
			f.Bad(key("address"), "%s needs tls.ca, tls.cert and tls.key", a.Address)
		} else if _, err := client.New(a.Name, a.Address, &tls.Config{MinVersion: tls.VersionTLS13}); err != nil {
			f.Bad(key("address"), "%v", err)
		}
	}
	for _, name := range c.Voters {
		if !names[name] {
			f.Bad("council.voters", "%q is not among council.agent", name)
		}
	}
	if !names[cfg.Name] {
		f.Bad("council.agent", "%q, which is this agent, is not among them", cfg.Name)
	}
}

// clients make the way to all agents of the fleet.
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

// LoadConfig reads and checks an agent's file. Relative paths are taken from the
// file's folder.
func LoadConfig(path string) (Config, error) {
	c := Config{}
	c.Restart.First.Duration, c.Restart.Most.Duration = 500*time.Millisecond, 30*time.Second
	c.Restart.Steady.Duration, c.Restart.Limit = time.Minute, 8
	c.Pace.Burst = burstUsual
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
	if !protocol.Name.MatchString(c.Name) {
		f.Bad("name", "%q is no name: letters, digits, '.', '_' and '-', 63 at most", c.Name)
	}
	if c.State == "" {
		f.Bad("state", "none given: the folder of the record")
	}
	if c.Socket == "" && c.Listen == "" {
		f.Bad("socket", "neither it nor listen is given: no tool could reach this agent")
	}
	if c.Listen != "" {
		if _, _, err := net.SplitHostPort(c.Listen); err != nil {
			f.Bad("listen", "%v", err)
		}
		for key, file := range map[string]string{"tls.ca": c.TLS.CA, "tls.cert": c.TLS.Cert, "tls.key": c.TLS.Key} {
			if file == "" {
				f.Bad(key, "none given, and listen needs it")
			}
		}
	}
	if c.Pace.Rate < 0 || c.Pace.Agents < 0 || c.Pace.Burst < 0 {
		f.Bad("pace", "rate, agents and burst must not be negative")
	}
	if c.Pace.Rate > 0 && c.parties() == 0 {
		f.Bad("pace.agents", "none given: how many agents the rate is for")
	}
	if _, err := unknownPolicy(c.Recovery.Unknown); err != nil {
		f.Bad("recovery.unknown", "%v", err)
	}
	for n, g := range c.Recovery.Group {
		if _, err := unknownPolicy(g.Unknown); err != nil {
			f.Bad(fmt.Sprintf("recovery.group[%d].unknown", n+1), "%v", err)
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
		f.Bad("restart.limit", "%d, at least 1 is needed", c.Restart.Limit)
	}
	if c.Restart.First.Duration <= 0 || c.Restart.Most.Duration < c.Restart.First.Duration {
		f.Bad("restart.first", "must be above 0 and at most restart.most")
	}
	if len(c.Instance) > protocol.InstancesMost {
		f.Bad("instance", "%d are given, at most %d are taken", len(c.Instance), protocol.InstancesMost)
	}
	names := map[string]bool{}
	for n := range c.Instance {
		i := &c.Instance[n]
		key := func(name string) string { return fmt.Sprintf("instance[%d].%s", n+1, name) }
		for _, p := range []*string{&i.Config, &i.Operator, &i.Control} {
			resolve(p)
		}
		switch {
		case !protocol.Name.MatchString(i.Name):
			f.Bad(key("name"), "%q is no name: letters, digits, '.', '_' and '-', 63 at most", i.Name)
		case names[i.Name]:
			f.Bad(key("name"), "%q is given twice", i.Name)
		}
		names[i.Name] = true
		if i.Group != "" && !protocol.Name.MatchString(i.Group) {
			f.Bad(key("group"), "%q is no name", i.Group)
		}
		if i.SIP != "" {
			if err := sip.CheckTarget(i.SIP); err != nil {
				f.Bad(key("sip"), "%v", err)
			}
		}
		if len(i.Program) == 0 {
			f.Bad(key("program"), "none given")
		}
		if i.Listen == "" {
			if i.Listen, err = listenOf(i.Config); err != nil {
				f.Bad(key("config"), "%v", err)
			}
		}
	}
	return c, f.Err()
}

// listenOf reads where an instance listens from its own configuration.
func listenOf(path string) (string, error) {
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
	return backoff.Policy{First: c.Restart.First.Duration, Most: c.Restart.Most.Duration, Steady: c.Restart.Steady.Duration, Limit: c.Restart.Limit}
}
