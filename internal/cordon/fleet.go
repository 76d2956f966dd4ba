package cordon

import (
	"errors"
	"fmt"
	"time"
)

// MaxBans is the maximum number of servers that can be banned fleet-wide.
const MaxBans = 256

// Ban is a server that the fleet's operators have excluded at all nodes.
type Ban struct {
	ID     string    `json:"id"`
	Reason string    `json:"reason,omitempty"`
	By     string    `json:"by,omitempty"`
	At     time.Time `json:"at,omitzero"` // by the operator's clock, for display only
}

// FleetBans is the complete list of fleet-wide bans at a version. Versions never decrease, whatever happens to the
// fleet's council, so the higher one is the later; Token is the fencing token of the sender.
type FleetBans struct {
	Version uint64 `json:"version"`
	Token   uint64 `json:"token"`
	Bans    []Ban  `json:"bans,omitempty"`
}

// ErrOutdated is returned for fleet bans that are older than those already received.
var ErrOutdated = errors.New("outdated fleet bans")

// Check validates the bans.
func (w FleetBans) Check() error {
	if len(w.Bans) > MaxBans {
		return fmt.Errorf("%d servers are banned, at most %d are allowed", len(w.Bans), MaxBans)
	}
	seen := make(map[string]bool, len(w.Bans))
	for _, b := range w.Bans {
		if b.ID == "" || len(b.ID) > maxIDBytes || seen[b.ID] {
			return fmt.Errorf("server %.80q: empty id, id over %d bytes or banned twice", b.ID, maxIDBytes)
		}
		seen[b.ID] = true
	}
	return nil
}

// ApplyFleetBans applies the fleet's bans, unless a later version or a later sender's token has been seen, and returns the
// servers whose ban begins or ends. Manual calls are not affected.
func (s *Set) ApplyFleetBans(w FleetBans) (began, ended []string, err error) {
	switch {
	case w.Token < s.fleetBans.Token:
		return nil, nil, fmt.Errorf("%w: token %d is older than token %d", ErrOutdated, w.Token, s.fleetBans.Token)
	case w.Version < s.fleetBans.Version:
		return nil, nil, fmt.Errorf("%w: version %d is older than version %d", ErrOutdated, w.Version, s.fleetBans.Version)
	}
	if err := w.Check(); err != nil {
		return nil, nil, err
	}
	if w.Version == s.fleetBans.Version {
		s.fleetBans.Token = w.Token
		return nil, nil, nil
	}
	bans := make(map[string]Ban, len(w.Bans))
	for _, b := range w.Bans {
		if _, was := s.banned[b.ID]; !was {
			began = append(began, b.ID)
		}
		bans[b.ID] = b
	}
	for _, b := range s.fleetBans.Bans {
		if _, still := bans[b.ID]; !still {
			ended = append(ended, b.ID)
		}
	}
	s.fleetBans, s.banned = w, bans
	return began, ended, nil
}

// FleetBans returns the latest fleet bans, or the zero value if there were none.
func (s *Set) FleetBans() FleetBans { return s.fleetBans }

// Banned returns the fleet's ban of a server.
func (s *Set) Banned(id string) (Ban, bool) {
	b, banned := s.banned[id]
	return b, banned
}

// IsListed reports whether a server is in the list.
func (s *Set) IsListed(id string) bool {
	_, listed := s.listed[id]
	return listed
}

// ListedCount returns the number of servers in the list.
func (s *Set) ListedCount() int { return len(s.listed) }
