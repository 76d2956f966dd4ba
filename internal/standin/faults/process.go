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

// Instructions tell a process under test which faults to inject into itself. The process rereads
// them from a file, so that they can change while it runs; a missing file means no faults.
type Instructions struct {
	// At names a step of an owner's order, and Signal the signal that the process sends itself
	// there: SIGSTOP or SIGKILL. Of all processes with the same Once, only the first does so.
	At     string         `json:"at,omitempty"`
	Signal syscall.Signal `json:"signal,omitempty"`
	Once   string         `json:"once,omitempty"` // path of a file that the process creates
	// Rate is the rate of its clock, 1 if 0; Jump is added to the clock.
	Rate float64       `json:"rate,omitempty"`
	Jump time.Duration `json:"jump,omitempty"`
	// Disk, if set, is the error with which writes of the council's store and of the record
	// fail; Slow delays each write of the store.
	Disk string        `json:"disk,omitempty"`
	Slow time.Duration `json:"slow,omitempty"`
}

// WriteInstructions replaces the instructions in a file.
func WriteInstructions(path string, o Instructions) error {
	text, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	return os.Rename(path+".new", path)
}

// hooks injects the faults that a process's instructions name.
type hooks struct {
	path  string
	began time.Duration // reading of the system's clock at the start

	mu     sync.Mutex
	last   Instructions
	readAt time.Time
}

const reloadInterval = 10 * time.Millisecond

func (h *hooks) orders() Instructions {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.readAt) < reloadInterval {
		return h.last
	}
	h.readAt = time.Now()
	var o Instructions
	text, err := os.ReadFile(h.path)
	if err == nil {
		err = json.Unmarshal(text, &o)
	}
	if err == nil || errors.Is(err, os.ErrNotExist) {
		h.last = o
	}
	return h.last
}

// AgentOptions returns the options of a test build's agent, which follows the instructions in a file.
func AgentOptions(path string) agent.Options {
	h := &hooks{path: path, began: boottime.System{}.Now()}
	return agent.Options{
		Clock: boottime.Func(h.now), StepHook: h.step, FS: failingFS{record.OS{}, h},
		OpenStores: func(dir string) (council.Stores, error) {
			if err := h.diskError(); err != nil {
				return nil, err
			}
			s, err := council.OpenStores(dir)
			if err != nil {
				return nil, err
			}
			return failingStores{s, h}, nil
		},
	}
}

// now returns the system's clock at the ordered rate and with the ordered jump.
func (h *hooks) now() time.Duration {
	o := h.orders()
	now := boottime.System{}.Now()
	if o.Rate != 0 {
		now = h.began + time.Duration(float64(now-h.began)*o.Rate)
	}
	return now + o.Jump
}

// step sends the process its own signal at the ordered step.
func (h *hooks) step(step, _ string) {
	o := h.orders()
	if o.At != step || o.Signal == 0 {
		return
	}
	f, err := os.OpenFile(o.Once, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return // another process was first, or this one has done so before
	}
	fmt.Fprintf(f, "%d", os.Getpid())
	f.Close()
	_ = syscall.Kill(os.Getpid(), o.Signal) // can't fail: the process is its own
}

func (h *hooks) diskError() error {
	if text := h.orders().Disk; text != "" {
		return errors.New(text)
	}
	return nil
}

// failingStores is a council's store whose writes fail or are slow as ordered.
type failingStores struct {
	council.Stores
	h *hooks
}

func (s failingStores) write(do func() error) error {
	time.Sleep(s.h.orders().Slow)
	if err := s.h.diskError(); err != nil {
		return err
	}
	return do()
}

// StoreLogs implements raft.LogStore.
func (s failingStores) StoreLogs(l []*raft.Log) error {
	return s.write(func() error { return s.Stores.StoreLogs(l) })
}

// Set implements raft.StableStore.
func (s failingStores) Set(k, v []byte) error {
	return s.write(func() error { return s.Stores.Set(k, v) })
}

// SetUint64 implements raft.StableStore.
func (s failingStores) SetUint64(k []byte, v uint64) error {
	return s.write(func() error { return s.Stores.SetUint64(k, v) })
}

// failingFS is the record's file system whose writes fail as ordered.
type failingFS struct {
	record.OS
	h *hooks
}

// Create implements record.FS.
func (d failingFS) Create(name string) (record.File, error) {
	if err := d.h.diskError(); err != nil {
		return nil, err
	}
	f, err := d.OS.Create(name)
	return failingFile{f, d.h}, err
}

// Append implements record.FS.
func (d failingFS) Append(name string) (record.File, error) {
	if err := d.h.diskError(); err != nil {
		return nil, err
	}
	f, err := d.OS.Append(name)
	return failingFile{f, d.h}, err
}

type failingFile struct {
	record.File
	h *hooks
}

// Sync implements record.File.
func (f failingFile) Sync() error {
	if err := f.h.diskError(); err != nil {
		return err
	}
	return f.File.Sync()
}

// Stopped reports whether a process is stopped by a signal (proc(5), state T).
func Stopped(pid int) bool {
	text, err := os.ReadFile(filepath.Join("/proc", fmt.Sprint(pid), "stat"))
	if err != nil {
		return false
	}
	// The command name may contain any byte, but ends at the last parenthesis.
	rest := string(text[strings.LastIndexByte(string(text), ')')+1:])
	fields := strings.Fields(rest)
	return len(fields) > 0 && fields[0] == "T"
}
