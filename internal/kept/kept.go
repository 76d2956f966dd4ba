// Package kept keeps what a node has to know when it comes back with nobody to ask: the servers, what
// operators said of them by hand, and what its module has learnt. It is one node's, in two
// generations, so that a file that is spoilt leaves one of before; a second process of the node
// during an upgrade reads it and writes only once the first is gone.
package kept

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	"golang.org/x/sys/unix"

	"otterstep/internal/confidence"
	"otterstep/internal/cordon"
	"otterstep/internal/fleet/record"
	"otterstep/policy"
)

const (
	// Form is the form of what is written. A file of another one is put aside.
	Form = 1
	// ServersMost bounds the servers of a file.
	ServersMost = 100_000
)

// Server is a line of discovery's list, in its own words.
type Server struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"zone,omitempty"`
	Group    int     `json:"group,omitempty"`
	State    string  `json:"state"`
	Model    string  `json:"model,omitempty"`
	Capacity float64 `json:"capacity,omitempty"`
	BootMs   int64   `json:"boot_ms,omitempty"`
}

// View is what a node knew at a time.
type View struct {
	Form      int              `json:"form"`
	Sequence  uint64           `json:"sequence"` // of its saves; the higher one is the later
	Node      string           `json:"node"`     // whose it is, for those who read the files without owning them
	Saved     confidence.Stamp `json:"saved"`
	Confirmed confidence.Stamp `json:"confirmed"` // when discovery was heard last
	By        string           `json:"by"`        // whose word the servers are
	Rev       int64            `json:"rev"`       // discovery's
	Servers   []Server         `json:"servers"`
	Hand      []cordon.Entry   `json:"hand,omitempty"`
	Held      bool             `json:"held,omitempty"` // an operator has it stay as it is, but for calls by hand
	Memory    *policy.Memory   `json:"memory,omitempty"`
	Fleet     *cordon.Word     `json:"fleet,omitempty"` // the fleet's latest
}

// check finds what makes a view unfit for use.
func (v *View) check(node string) error {
	switch {
	case v.Node != "" && v.Node != node:
		return fmt.Errorf("it is the record of %q, not of %q", v.Node, node)
	case v.Form != Form:
		return fmt.Errorf("form %d, this program reads form %d", v.Form, Form)
	case len(v.Servers) > ServersMost:
		return fmt.Errorf("%d servers, at most %d are kept", len(v.Servers), ServersMost)
	}
	seen := make(map[string]bool, len(v.Servers))
	for _, s := range v.Servers {
		if s.UID == "" || s.Endpoint == "" || seen[s.UID] {
			return fmt.Errorf("server %q at %q: nameless, without an address or there twice", s.UID, s.Endpoint)
		}
		seen[s.UID] = true
	}
	return nil
}

// Store is a node's two files, PATH.a and PATH.b. Its methods may be called at once.
type Store struct {
	fs         record.FS
	path, node string

	mu   sync.Mutex
	lock *os.File       // nil: another process of the node writes
	logs [2]*record.Log // nil: it can't be written
	next int            // which one the next save replaces
	seq  uint64
}

var suffixes = [2]string{".a", ".b"}

// Open reads what was kept for a node: the later of two generations that can be read, nil if there
// is none. said words what is wrong with the files, for the operator; nothing that is wrong keeps a
// node from starting. A file that can't be read is kept aside.
func Open(fsys record.FS, path, node string) (s *Store, v *View, said []string) {
	s = &Store{fs: fsys, path: path, node: node}
	if err := s.own(); err != nil {
		said = append(said, err.Error())
	}
	var best *View
	for n := range suffixes {
		got, err := s.read(n)
		if err != nil {
			said = append(said, err.Error())
		}
		if got != nil && (best == nil || got.Sequence > best.Sequence) {
			best, s.next, s.seq = got, 1-n, got.Sequence
		}
	}
	return s, best, said
}

// own takes the lock, if no other process of the node has it.
func (s *Store) own() error {
	if s.lock != nil {
		return nil
	}
	f, err := os.OpenFile(s.path+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("kept: nothing is written: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil // it writes, and this process does once it is gone
		}
		return fmt.Errorf("kept: nothing is written: %s.lock: %w", s.path, err)
	}
	s.lock = f
	return nil
}

// read reads one generation; the owner also makes it ready to be written.
func (s *Store) read(n int) (v *View, err error) {
	take := func(text json.RawMessage) error {
		if len(text) == 0 || string(text) == "null" {
			return nil
		}
		var got View
		if err := json.Unmarshal(text, &got); err != nil {
			return err
		}
		if err := got.check(s.node); err != nil {
			return err
		}
		v = &got
		return nil
	}
	path := s.path + suffixes[n]
	if s.lock == nil {
		if _, err := s.fs.ReadFile(path); errors.Is(err, os.ErrNotExist) {
			return nil, nil
		}
		if err := record.Read(s.fs, path, take); err != nil {
			return nil, fmt.Errorf("kept: %w", err)
		}
		return v, nil
	}
	log, found, err := record.Open(s.fs, path, s.node, take)
	if err != nil { // the disk may not be written, and read all the same
		v = nil
		if record.Read(s.fs, path, take) != nil {
			v = nil
		}
		return v, fmt.Errorf("kept: %w", err)
	}
	s.logs[n] = log
	switch {
	case found.Aside != "":
		return nil, fmt.Errorf("kept: %s can't be used (%s) and is put aside as %s", path, found.Why, found.Aside)
	case found.Torn > 0:
		return v, fmt.Errorf("kept: %s can't be used as a whole: its last %d bytes were cut", path, found.Torn)
	}
	return v, nil
}

// ErrNotOwner means that another process of the node writes.
var ErrNotOwner = errors.New("kept: another process of this node writes")

// Save writes a view in the place of the older generation. The later one stands until it is whole on
// the disk.
func (s *Store) Save(v View) error {
	if len(v.Servers) > ServersMost {
		return fmt.Errorf("kept: %d servers, at most %d are kept", len(v.Servers), ServersMost)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		if err := s.own(); err != nil {
			return err
		}
		if s.lock == nil {
			return ErrNotOwner
		}
		// The one before has written since.
		for n := range suffixes {
			got, err := s.read(n)
			if err != nil && s.logs[n] == nil {
				return err
			}
			if got != nil && got.Sequence >= s.seq {
				s.next, s.seq = 1-n, got.Sequence
			}
		}
	}
	log := s.logs[s.next]
	if log == nil { // it could not be read at the start
		got, err := s.read(s.next)
		if s.logs[s.next] == nil {
			return err
		}
		log = s.logs[s.next]
		if got != nil {
			s.seq = max(s.seq, got.Sequence)
		}
	}
	v.Form, v.Sequence, v.Node = Form, s.seq+1, s.node
	if err := log.Rewrite(v); err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	s.next, s.seq = 1-s.next, v.Sequence
	return nil
}

// Close gives the lock back.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		_ = s.lock.Close() // the lock goes with it
		s.lock = nil
	}
	for n, log := range s.logs {
		if log != nil {
			_ = log.Close() // each save was on the disk by its end
			s.logs[n] = nil
		}
	}
}

// BootID gives the id of the machine's start; "" where the system does not tell.
func BootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}
