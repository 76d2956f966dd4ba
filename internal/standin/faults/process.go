package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/raft"

	"otterstep/internal/boottime"
	"otterstep/internal/fleet/agent"
	"otterstep/internal/fleet/council"
	"otterstep/internal/fleet/record"
)

// Orders are what a process of a test does to itself. They stand in a file that it reads
// again and again, so that they may change while it runs; one that is missing orders nothing.
type Orders struct {
	// At names a step of an owner's order, and Signal what the process sends itself there:
	// SIGSTOP or SIGKILL. Of all processes that have the same Once, only the first does it.
	At     string         `json:"at,omitempty"`
	Signal syscall.Signal `json:"signal,omitempty"`
	Once   string         `json:"once,omitempty"` // a file that the process makes
	// Rate is how fast its clock runs, 1 if 0; Jump is added to it.
	Rate float64       `json:"rate,omitempty"`
	Jump time.Duration `json:"jump,omitempty"`
	// Disk fails writes of the council's store and of the record with these words, Slow makes
	// the store's writes take so long.
	Disk string        `json:"disk,omitempty"`
	Slow time.Duration `json:"slow,omitempty"`
}

// Write gives a process its orders.
func Write(path string, o Orders) error {
	text, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	return os.Rename(path+".new", path)
}

// hooks reads a process's orders.
type hooks struct {
	path  string
	began time.Duration // the system's clock at the start

	mu   sync.Mutex
	last Orders
	read time.Time
}

const readEvery = 10 * time.Millisecond

func (h *hooks) orders() Orders {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.read) < readEvery {
		return h.last
	}
	h.read = time.Now()
	var o Orders
	text, err := os.ReadFile(h.path)
	if err == nil {
		err = json.Unmarshal(text, &o)
	}
	if err == nil || errors.Is(err, os.ErrNotExist) {
		h.last = o
	}
	return h.last
}

// Options make an agent one that follows the orders in a file: the build for tests.
func Options(path string) agent.Options {
	h := &hooks{path: path, began: boottime.System{}.Now()}
	return agent.Options{
		Clock: boottime.Func(h.now), Steps: h.step, FS: disk{record.OS{}, h},
		Disk: func(dir string) (council.Stores, error) {
			if err := h.fails(); err != nil {
				return nil, err
			}
			s, err := council.OpenStores(dir)
			if err != nil {
				return nil, err
			}
			return stores{s, h}, nil
		},
	}
}

// now is the system's clock at the ordered rate, with the ordered jump.
func (h *hooks) now() time.Duration {
	o := h.orders()
	is := boottime.System{}.Now()
	if o.Rate != 0 {
		is = h.began + time.Duration(float64(is-h.began)*o.Rate)
	}
	return is + o.Jump
}

// step sends the process its own signal at the ordered step.
func (h *hooks) step(step, _ string) {
	o := h.orders()
	if o.At != step || o.Signal == 0 {
		return
	}
	f, err := os.OpenFile(o.Once, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return // another process was first, or this one has done it
	}
	fmt.Fprintf(f, "%d", os.Getpid())
	f.Close()
	_ = syscall.Kill(os.Getpid(), o.Signal) // it is its own
}

func (h *hooks) fails() error {
	if words := h.orders().Disk; words != "" {
		return errors.New(words)
	}
	return nil
}

// stores is a council's store on a disk that fails by order.
type stores struct {
	council.Stores
	h *hooks
}

func (s stores) write(do func() error) error {
	time.Sleep(s.h.orders().Slow)
	if err := s.h.fails(); err != nil {
		return err
	}
	return do()
}

// StoreLogs implements raft.LogStore.
func (s stores) StoreLogs(l []*raft.Log) error {
	return s.write(func() error { return s.Stores.StoreLogs(l) })
}

// Set implements raft.StableStore.
func (s stores) Set(k, v []byte) error {
	return s.write(func() error { return s.Stores.Set(k, v) })
}

// SetUint64 implements raft.StableStore.
func (s stores) SetUint64(k []byte, v uint64) error {
	return s.write(func() error { return s.Stores.SetUint64(k, v) })
}

// disk is the record's file system, failing by order.
type disk struct {
	record.OS
	h *hooks
}

// Create implements record.FS.
func (d disk) Create(name string) (record.File, error) {
	if err := d.h.fails(); err != nil {
		return nil, err
	}
	f, err := d.OS.Create(name)
	return file{f, d.h}, err
}

// Append implements record.FS.
func (d disk) Append(name string) (record.File, error) {
	if err := d.h.fails(); err != nil {
		return nil, err
	}
	f, err := d.OS.Append(name)
	return file{f, d.h}, err
}

type file struct {
	record.File
	h *hooks
}

// Sync implements record.File.
func (f file) Sync() error {
	if err := f.h.fails(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Stopped tells whether a process is stopped by a signal (proc(5), state T).
func Stopped(pid int) bool {
	text, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(pid), "stat"))
	if err != nil {
		return false
	}
	// The name may hold anything but ends at the last parenthesis.
	rest := string(text[strings.LastIndexByte(string(text), ')')+1:])
	fields := strings.Fields(rest)
	return len(fields) > 0 && fields[0] == "T"
}
