// Package group commands many instances through many agents as one.
package group

import (
	"crypto/tls"
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/pki"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/tomlfile"
)

// maxAgents limits the agents of a fleet.
const maxAgents = 1000

type fleetFile struct {
	CA    string `toml:"ca"`
	Cert  string `toml:"cert"`
	Key   string `toml:"key"`
	Agent []struct {
		Name    string `toml:"name"`
		Address string `toml:"address"`
	} `toml:"agent"`
}

// Fleet is the agents that an operator manages, in the order of their names.
type Fleet struct{ agents []*client.Client }

// Load reads the operator's list of agents. Relative paths are relative to the list's directory.
func Load(path string) (*Fleet, error) {
	var file fleetFile
	f, err := tomlfile.Load(path, &file)
	if err != nil {
		return nil, err
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	at := func(p string) string {
		if filepath.IsAbs(p) {
			return p
		}
		return filepath.Join(filepath.Dir(path), p)
	}
	var conf *tls.Config
	switch {
	case file.CA != "" && file.Cert != "" && file.Key != "":
		if conf, err = pki.ClientConfig(at(file.CA), at(file.Cert), at(file.Key)); err != nil {
			f.Errorf("cert", "%v", err)
		}
	case file.CA != "" || file.Cert != "" || file.Key != "":
		f.Errorf("ca", "ca, cert and key must be given together")
	}
	if len(file.Agent) == 0 || len(file.Agent) > maxAgents {
		f.Errorf("agent", "%d are given, 1 to %d are allowed", len(file.Agent), maxAgents)
	}
	fleet := &Fleet{}
	names := map[string]bool{}
	for n, a := range file.Agent {
		key := func(name string) string { return fmt.Sprintf("agent[%d].%s", n+1, name) }
		switch {
		case !protocol.NamePattern.MatchString(a.Name):
			f.Errorf(key("name"), "%q is not a valid name", a.Name)
			continue
		case names[a.Name]:
			f.Errorf(key("name"), "%q is given twice", a.Name)
			continue
		}
		names[a.Name] = true
		address := a.Address
		if path, ok := strings.CutPrefix(address, "unix:"); ok && path != "" {
			address = "unix:" + at(path)
		}
		c, err := client.New(a.Name, address, conf)
		if err != nil {
			f.Errorf(key("address"), "%v", err)
			continue
		}
		fleet.agents = append(fleet.agents, c)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return New(fleet.agents), nil
}

// Close closes the connections to the agents.
func (f *Fleet) Close() {
	for _, a := range f.agents {
		a.Close()
	}
}

// ErrNoInstances reports that a selection matches no instance.
var ErrNoInstances = errors.New("the selection matches no instance")
