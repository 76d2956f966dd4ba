// Package listed reads the servers of a pool that the operator lists in a file.
package listed

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/netip"

	"otterstep/internal/tomlfile"
	"otterstep/policy"
)

// Server is one of them.
type Server struct {
	Name    string  `toml:"name"`
	Address string  `toml:"address"` // an address and port; there are no name look-ups
	Zone    int     `toml:"zone"`
	Weight  float64 `toml:"weight"` // rough size, comparable across servers; 0: unknown
}

// Check notes at f all that is wrong with the servers under a key such as "sip.server".
func Check(f *tomlfile.File, key string, all []Server) {
	names := map[string]bool{}
	for i, s := range all {
		key := fmt.Sprintf("%s[%d]", key, i+1)
		if _, err := netip.ParseAddrPort(s.Address); err != nil {
			f.Bad(key+".address", "%q is no address and port", s.Address)
		}
		if s.Name == "" || names[s.Name] {
			f.Bad(key+".name", "%q: each server needs a name of its own", s.Name)
		}
		if s.Weight < 0 || s.Zone < 0 {
			f.Bad(key, "weight and zone must not be negative")
		}
		names[s.Name] = true
	}
}

// Entries gives them as the decision module knows servers, with their addresses.
func Entries(all []Server) (entries []policy.Entry, addrs []string) {
	for _, s := range all {
		h := fnv.New64a()
		_, _ = io.WriteString(h, s.Name+"\x00"+s.Address) // a hash takes all
		entries = append(entries, policy.Entry{Server: policy.ServerID(h.Sum64()), Zone: s.Zone, State: policy.Ready, Weight: s.Weight})
		addrs = append(addrs, s.Address)
	}
	return entries, addrs
}
