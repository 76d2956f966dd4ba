// Package nodestate stores a node's state on disk, for a restart without discovery: the servers, the operators'
// manual cordons and what the decision module has learnt. There are two generations, so that a corrupt file
// leaves the previous one. During an upgrade a second process of the node reads the files, and writes them
// only once the first process has ended.
package nodestate

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"

	"golang.org/x/sys/unix"

	"otterstep/internal/cordon"
	"otterstep/internal/fleet/record"
	"otterstep/internal/staleness"
	"otterstep/policy"
)

const (
	// FormatVersion is the version of the file format. A file of another version is moved aside.
	FormatVersion = 1
	// MaxServers is the maximum number of servers in a file.
	MaxServers = 100_000
)

// Server is an entry of discovery's list, with discovery's values.
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

// Snapshot is a snapshot of a node's state.
type Snapshot struct {
	FormatVersion int                 `json:"form"`
	Sequence      uint64              `json:"sequence"` // number of the save; the higher one is the later
	Node          string              `json:"node"`     // the owner, checked also by processes that do not hold the lock
	Saved         staleness.Timestamp `json:"saved"`
	Confirmed     staleness.Timestamp `json:"confirmed"` // when discovery last answered
	Source        string              `json:"by"`        // source of the servers
	Rev           int64               `json:"rev"`       // discovery's revision
	Servers       []Server            `json:"servers"`
	ManualCordons []cordon.Entry      `json:"hand,omitempty"` // manual cordons
	Frozen        bool                `json:"held,omitempty"` // frozen by an operator: only manual cordons and fleet bans are updated
	Memory        *policy.Memory      `json:"memory,omitempty"`
	Fleet         *cordon.FleetBans   `json:"fleet,omitempty"` // latest fleet bans
}

// check validates a snapshot that was read for node.
func (v *Snapshot) check(node string) error {
	switch {
	case v.Node != "" && v.Node != node:
		return fmt.Errorf("it is the record of %q, not of %q", v.Node, node)
	case v.FormatVersion != FormatVersion:
		return fmt.Errorf("format version %d, this program reads version %d", v.FormatVersion, FormatVersion)
	case len(v.Servers) > MaxServers:
		return fmt.Errorf("%d servers, at most %d are stored", len(v.Servers), MaxServers)
	}
	seen := make(map[string]bool, len(v.Servers))
	for _, s := range v.Servers {
		if s.UID == "" || s.Endpoint == "" || seen[s.UID] {
			return fmt.Errorf("server %q at %q: empty uid, no address or duplicate", s.UID, s.Endpoint)
		}
		seen[s.UID] = true
	}
	return nil
}

// Store is a node's two files, PATH.a and PATH.b. It is safe for concurrent use.
type Store struct {
	fs         record.FS
	path, node string

	mu       sync.Mutex
	lock     *os.File       // nil while another process of the node holds the lock
	logs     [2]*record.Log // nil if the file can't be written
	nextFile int            // index of the file that the next save replaces
	sequence uint64
}

var suffixes = [2]string{".a", ".b"}

// Open reads the latest readable snapshot of a node, nil if there is none. problems describes what is wrong with
// the files, for the operator; no problem keeps a node from starting. An unreadable file is moved aside.
func Open(fsys record.FS, path, node string) (s *Store, v *Snapshot, problems []string) {
	s = &Store{fs: fsys, path: path, node: node}
	if err := s.acquireLock(); err != nil {
		problems = append(problems, err.Error())
	}
	var best *Snapshot
	for n := range suffixes {
		got, err := s.readGeneration(n)
		if err != nil {
			problems = append(problems, err.Error())
		}
		if got != nil && (best == nil || got.Sequence > best.Sequence) {
			best, s.nextFile, s.sequence = got, 1-n, got.Sequence
		}
	}
	return s, best, problems
}

// acquireLock takes the lock, unless another process of the node holds it.
func (s *Store) acquireLock() error {
	if s.lock != nil {
		return nil
	}
	f, err := os.OpenFile(s.path+".lock", os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return fmt.Errorf("kept: state is not saved: %w", err)
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil // the other process writes; this one takes over once it has ended
		}
		return fmt.Errorf("kept: state is not saved: %s.lock: %w", s.path, err)
	}
	s.lock = f
	return nil
}

// readGeneration reads one generation; if this process holds the lock it also opens the file for writing.
func (s *Store) readGeneration(n int) (v *Snapshot, err error) {
	decode := func(text json.RawMessage) error {
		if len(text) == 0 || string(text) == "null" {
			return nil
		}
		var got Snapshot
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
		if err := record.Read(s.fs, path, decode); err != nil {
			return nil, fmt.Errorf("kept: %w", err)
		}
		return v, nil
	}
	log, found, err := record.Open(s.fs, path, s.node, decode)
	if err != nil { // the file may be readable though it is not writable
		v = nil
		if record.Read(s.fs, path, decode) != nil {
			v = nil
		}
		return v, fmt.Errorf("kept: %w", err)
	}
	s.logs[n] = log
	switch {
	case found.MovedTo != "":
		return nil, fmt.Errorf("kept: %s can't be used (%s) and was moved to %s", path, found.Reason, found.MovedTo)
	case found.TornBytes > 0:
		return v, fmt.Errorf("kept: %s is incomplete: its last %d bytes were cut off", path, found.TornBytes)
	}
	return v, nil
}

// ErrNotOwner means that another process of the node holds the lock.
var ErrNotOwner = errors.New("kept: another process of this node holds the lock")

// Save writes a snapshot in place of the older generation. The newer generation stays intact until the write is
// complete on disk.
func (s *Store) Save(v Snapshot) error {
	if len(v.Servers) > MaxServers {
		return fmt.Errorf("kept: %d servers, at most %d are stored", len(v.Servers), MaxServers)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		if err := s.acquireLock(); err != nil {
			return err
		}
		if s.lock == nil {
			return ErrNotOwner
		}
		// The previous lock holder may have written since these files were read.
		for n := range suffixes {
			got, err := s.readGeneration(n)
			if err != nil && s.logs[n] == nil {
				return err
			}
			if got != nil && got.Sequence >= s.sequence {
				s.nextFile, s.sequence = 1-n, got.Sequence
			}
		}
	}
	log := s.logs[s.nextFile]
	if log == nil { // opening it failed earlier
		got, err := s.readGeneration(s.nextFile)
		if s.logs[s.nextFile] == nil {
			return err
		}
		log = s.logs[s.nextFile]
		if got != nil {
			s.sequence = max(s.sequence, got.Sequence)
		}
	}
	v.FormatVersion, v.Sequence, v.Node = FormatVersion, s.sequence+1, s.node
	if err := log.Rewrite(v); err != nil {
		return fmt.Errorf("kept: %w", err)
	}
	s.nextFile, s.sequence = 1-s.nextFile, v.Sequence
	return nil
}

// Close releases the lock.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		_ = s.lock.Close() // releases the lock
		s.lock = nil
	}
	for n, log := range s.logs {
		if log != nil {
			_ = log.Close() // each save was synced to disk
			s.logs[n] = nil
		}
	}
}

// BootID returns the machine's boot ID, or "" if it is not available.
func BootID() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}
