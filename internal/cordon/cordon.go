// Package cordon keeps which servers the operators have left out, by hand at this node or by the word of
// the fleet. It has no clock and no I/O. Two processes that are one node each keep a Set and tell each other what
// changes; whatever the order, they come to agree on the latest call for each server.
package cordon

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"
)

// Bounds. A server that has left the list may still be named until so many more have.
const (
	goneMost    = 4096
	entriesMost = 4096 // servers that were named by hand
	idMost      = 1024 // bytes
)

// Errors of Call.
var (
	ErrNeverListed = errors.New("no server of this id was ever listed")
	ErrTooMany     = errors.New("too many servers are left out by hand, call some back first")
)

// Entry is the latest call for a server.
type Entry struct {
	ID    string    `json:"id"`
	Out   bool      `json:"out"`
	At    time.Time `json:"at"`    // when the call was made, or first made of several alike
	Stamp uint64    `json:"stamp"` // the higher one is the later call
}

// later orders calls. Of two made at once, one at each process, the one to leave out holds.
func (e Entry) later(o Entry) bool {
	if e.Stamp != o.Stamp {
		return e.Stamp > o.Stamp
	}
	return e.Out && !o.Out
}

// Set is what the operators have said. Make it with New. It is for one caller at a time.
type Set struct {
	listed  map[string]struct{}
	gone    map[string]struct{}
	order   []string // of gone, the oldest first; some may be listed again
	entries map[string]Entry
	stamp   uint64

	word   Word           // the fleet's latest
	banned map[string]Ban // by id, of word
}

// New makes an empty one.
func New() *Set {
	return &Set{listed: map[string]struct{}{}, gone: map[string]struct{}{}, entries: map[string]Entry{}}
}

// Listed notes servers that a list names, or all that there are.
func (s *Set) Listed(all bool, ids []string) {
	if all {
		old := s.listed
		s.listed = make(map[string]struct{}, len(ids))
		for _, id := range ids {
			s.listed[id] = struct{}{}
		}
		for _, id := range slices.Sorted(maps.Keys(old)) {
			s.leave(id)
		}
		return
	}
	for _, id := range ids {
		s.listed[id] = struct{}{}
	}
}

// Unlisted notes that a server has left the list.
func (s *Set) Unlisted(id string) {
	delete(s.listed, id)
	s.leave(id)
}

func (s *Set) leave(id string) {
	if _, back := s.listed[id]; back {
		return
	}
	if _, noted := s.gone[id]; noted {
		return
	}
	s.gone[id] = struct{}{}
	if s.order = append(s.order, id); len(s.order) > goneMost {
		delete(s.gone, s.order[0])
		s.order = s.order[1:]
	}
}

// Call takes a call for a server. It changes the entry only if it says something new.
func (s *Set) Call(now time.Time, id string, out bool) (e Entry, changed bool, err error) {
	e, named := s.entries[id]
	_, listed := s.listed[id]
	_, gone := s.gone[id]
	switch {
	case !named && !listed && !gone:
		return e, false, ErrNeverListed
	case e.Out == out:
		return e, false, nil
	case !named && !s.room():
		return e, false, ErrTooMany
	}
	s.stamp++
	e = Entry{id, out, now, s.stamp}
	s.entries[id] = e
	return e, true, nil
}

// room makes room for one more, by forgetting the earliest call back; false if all are out.
func (s *Set) room() bool {
	if len(s.entries) < entriesMost {
		return true
	}
	oldest := Entry{}
	for _, e := range s.entries {
		if !e.Out && (oldest.ID == "" || oldest.later(e)) {
			oldest = e
		}
	}
	delete(s.entries, oldest.ID)
	return oldest.ID != ""
}

// Merge takes what another process was told, and gives what is new here. What does not fit
// is in left.
func (s *Set) Merge(entries []Entry) (changed, left []Entry) {
	for _, e := range entries {
		own, named := s.entries[e.ID]
		s.stamp = max(s.stamp, e.Stamp)
		switch {
		case e.ID == "" || len(e.ID) > idMost:
			left = append(left, e)
		case named && !e.later(own):
		case !named && !s.room():
			left = append(left, e)
		default:
			s.entries[e.ID] = e
			changed = append(changed, e)
		}
	}
	return changed, left
}

// Entries gives the latest call for each server that was named, the earliest first.
func (s *Set) Entries() []Entry {
	return slices.SortedFunc(maps.Values(s.entries), func(x, y Entry) int {
		return cmp.Or(cmp.Compare(x.Stamp, y.Stamp), cmp.Compare(x.ID, y.ID))
	})
}

// Out tells whether a server is left out, by hand or by the fleet.
func (s *Set) Out(id string) bool {
	_, banned := s.banned[id]
	return banned || s.entries[id].Out
}

// Known gives the servers that were listed once and are gone, the latest last.
func (s *Set) Known() []string { return slices.Clone(s.order) }
