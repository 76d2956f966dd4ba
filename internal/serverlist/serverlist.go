// Package serverlist handles server pools that are listed statically in a configuration file.
package serverlist

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"

	"otterstep/internal/tomlfile"
	"otterstep/policy"
)

// Server is one entry of the list.
type Server struct {
	Name    string  `toml:"name"`
	Address string  `toml:"address"` // IP address and port; host names are not resolved
	Zone    int     `toml:"zone"`
	Weight  float64 `toml:"weight"` // approximate relative capacity; 0 means unknown
}

// Check validates the servers under a key such as "sip.server" and records the errors in f.
func Check(f *tomlfile.File, key string, all []Server) {
	names := map[string]bool{}
	for i, s := range all {
		key := fmt.Sprintf("%s[%d]", key, i+1)
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			f.Errorf(key+".address", "%q is not an IP address and port", s.Address)
		}
		if s.Name == "" || names[s.Name] {
			f.Errorf(key+".name", "%q: server names must be set and unique", s.Name)
		}
		if s.Weight < 0 || s.Zone < 0 {
			f.Errorf(key, "weight and zone must not be negative")
		}
		names[s.Name] = true
	}
}

// Entries converts the servers to entries of the decision module, with their addresses. A server's ID is a hash of
// its name and address.
func Entries(all []Server) (entries []policy.Entry, addrs []string) {
	for _, s := range all {
		entries = append(entries, policy.Entry{Server: s.id(), Zone: s.Zone, State: policy.Ready, Weight: s.Weight})
		addrs = append(addrs, s.Address)
	}
	return entries, addrs
}

func (s Server) id() policy.ServerID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, s.Name+"\x00"+s.Address) // writing to a hash never fails
	return policy.ServerID(h.Sum64())
}

// IDs returns the IDs of the servers with a name.
func IDs(all []Server, name string) (ids []policy.ServerID) {
	for _, s := range all {
		if s.Name == name {
			ids = append(ids, s.id())
		}
	}
	return ids
}

// Names returns the names of all servers.
func Names(all []Server) (names []string) {
	for _, s := range all {
		names = append(names, s.Name)
	}
	return names
}
