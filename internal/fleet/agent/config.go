package agent

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"otterstep/internal/fleet/backoff"
	"otterstep/internal/fleet/instance"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/sip"
	"otterstep/internal/tomlfile"
)

// Config is an agent's file.
type Config struct {
	Name   string `toml:"name"`
	State  string `toml:"state"`  // the folder of the record, run files and logs; the agent makes it
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

	Instance []instance.Spec `toml:"instance"`
}

// LoadConfig reads and checks an agent's file. Relative paths are taken from the
// file's folder.
func LoadConfig(path string) (Config, error) {
	c := Config{}
	c.Restart.First.Duration, c.Restart.Most.Duration = 500*time.Millisecond, 30*time.Second
	c.Restart.Steady.Duration, c.Restart.Limit = time.Minute, 8
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
	for _, p := range []*string{&c.State, &c.Socket, &c.TLS.CA, &c.TLS.Cert, &c.TLS.Key} {
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
