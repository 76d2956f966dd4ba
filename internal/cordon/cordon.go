// Package cordon keeps the set of servers that operators have excluded from traffic, manually at this node
// or fleet-wide. It has no clock and no I/O. During a handover both processes of a node keep a Set and send each
// other their changes; in whatever order these arrive, both sets converge on the latest call for each server.
package cordon

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"
)

// Bounds. A server that has left the list may still be named until maxGone further servers have left it.
const (
	maxGone    = 4096
	maxEntries = 4096 // servers that were cordoned or uncordoned manually
	maxIDBytes = 1024
)

// Errors of Apply.
var (
	ErrNeverListed = errors.New("no server of this id was ever listed")
	ErrTooMany     = errors.New("too many servers are cordoned manually, uncordon some first")
)

// Entry is the latest manual cordon or uncordon of a server.
type Entry struct {
	ID    string    `json:"id"`
	Out   bool      `json:"out"`   // cordoned
	At    time.Time `json:"at"`    // time of the call; repeated calls keep the time of the first
	Stamp uint64    `json:"stamp"` // logical clock: the higher one is the later call
}

// newerThan orders calls. Of two concurrent calls, one at each process, the one that cordons wins.
func (e Entry) newerThan(o Entry) bool {
	if e.Stamp != o.Stamp {
		return e.Stamp > o.Stamp
	}
	return e.Out && !o.Out
}

// Set holds the manual cordons and the fleet's bans. Make it with New. It is not safe for concurrent use.
type Set struct {
	listed    map[string]struct{}
	gone      map[string]struct{}
	goneOrder []string // keys of gone, oldest first; some may be listed again
	entries   map[string]Entry
	stamp     uint64

	fleetBans FleetBans      // latest fleet bans
	banned    map[string]Ban // the same by server ID
}

// New returns an empty set.
func New() *Set {
	return &Set{listed: map[string]struct{}{}, gone: map[string]struct{}{}, entries: map[string]Entry{}}
}

// UpdateList records servers named by a list; all means that the list is complete.
func (s *Set) UpdateList(all bool, ids []string) {
	if all {
		old := s.listed
		s.listed = make(map[string]struct{}, len(ids))
		for _, id := range ids {
			s.listed[id] = struct{}{}
		}
		for _, id := range slices.Sorted(maps.Keys(old)) {
			s.markGone(id)
		}
		return
	}
	for _, id := range ids {
		s.listed[id] = struct{}{}
	}
}

// RemoveFromList records that a server has left the list.
func (s *Set) RemoveFromList(id string) {
	delete(s.listed, id)
	s.markGone(id)
}

func (s *Set) markGone(id string) {
	if _, back := s.listed[id]; back {
		return
	}
	if _, noted := s.gone[id]; noted {
		return
	}
	s.gone[id] = struct{}{}
	if s.goneOrder = append(s.goneOrder, id); len(s.goneOrder) > maxGone {
		delete(s.gone, s.goneOrder[0])
		s.goneOrder = s.goneOrder[1:]
	}
}

// Apply cordons a server, if out is set, or uncordons it, as requested by an operator. A repeated call changes nothing.
func (s *Set) Apply(now time.Time, id string, out bool) (e Entry, changed bool, err error) {
	e, named := s.entries[id]
	_, listed := s.listed[id]
	_, gone := s.gone[id]
	switch {
	case !named && !listed && !gone:
		return e, false, ErrNeverListed
	case e.Out == out:
		return e, false, nil
	case !named && !s.makeRoom():
		return e, false, ErrTooMany
	}
	s.stamp++
	e = Entry{id, out, now, s.stamp}
	s.entries[id] = e
	return e, true, nil
}

// makeRoom makes room for one more entry by evicting the oldest uncordon; it returns false if every entry is a cordon.
func (s *Set) makeRoom() bool {
	if len(s.entries) < maxEntries {
		return true
	}
	oldest := Entry{}
	for _, e := range s.entries {
		if !e.Out && (oldest.ID == "" || oldest.newerThan(e)) {
			oldest = e
		}
	}
	delete(s.entries, oldest.ID)
	return oldest.ID != ""
}

// Merge applies entries of another process and returns those that were new here. Entries that exceed the
// bounds are returned in rejected.
func (s *Set) Merge(entries []Entry) (changed, rejected []Entry) {
	for _, e := range entries {
		own, named := s.entries[e.ID]
		s.stamp = max(s.stamp, e.Stamp)
		switch {
		case e.ID == "" || len(e.ID) > maxIDBytes:
			rejected = append(rejected, e)
		case named && !e.newerThan(own):
		case !named && !s.makeRoom():
			rejected = append(rejected, e)
		default:
			s.entries[e.ID] = e
			changed = append(changed, e)
		}
	}
	return changed, rejected
}

// Entries returns the latest call for each server that was named, oldest first.
func (s *Set) Entries() []Entry {
	return slices.SortedFunc(maps.Values(s.entries), func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Stamp, y.Stamp), cmp.Compare(x.ID, y.ID))
	})
}

// IsOut reports whether a server is excluded, manually or by the fleet.
func (s *Set) IsOut(id string) bool {
	_, banned := s.banned[id]
	return banned || s.entries[id].Out
}

// Delisted returns the servers that have left the list, the most recent last.
func (s *Set) Delisted() []string { return slices.Clone(s.goneOrder) }
