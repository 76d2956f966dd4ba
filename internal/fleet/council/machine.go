package council

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"otterstep/internal/fleet/duty"
)

// machine is the duties' state under raft.
type machine struct {
	failed func(error)

	mu      sync.Mutex
	state   *duty.State
	broken  bool
	changed chan struct{} // closed and replaced with each change
}

func newMachine(failed func(error)) *machine {
	return &machine{failed: failed, state: duty.New(), changed: make(chan struct{})}
}

// look reads the state.
func (m *machine) look(f func(*duty.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

func (m *machine) waiter() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// tell needs mu.
func (m *machine) tell() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Apply implements raft.FSM. An entry that this program can't read stops the voter: going on
// without it would make another state than the others'.
func (m *machine) Apply(l *raft.Log) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken {
		return duty.Result{Err: errSealed}
	}
	var c duty.Command
	err := json.Unmarshal(l.Data, &c)
	if err == nil && c.Form > duty.Form {
		err = fmt.Errorf("form %d, this program knows form %d: bring this agent to the others' version", c.Form, duty.Form)
	}
	if err != nil {
		m.broken = true
		err = fmt.Errorf("council: entry %d: %w", l.Index, err)
		m.failed(err)
		return duty.Result{Err: err}
	}
	r := m.state.Apply(c)
	m.tell()
	return r
}

// Snapshot implements raft.FSM.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken {
		return nil, errSealed
	}
	text, err := m.state.Snapshot()
	return taken(text), err
}

// Restore implements raft.FSM. An error would end the process: the voter is sealed instead.
func (m *machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	text, err := io.ReadAll(from)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		err = m.state.Load(text)
	}
	if err != nil {
		m.broken = true
		m.failed(fmt.Errorf("council: %w", err))
		return nil
	}
	m.tell()
	return nil
}

// taken is a snapshot as text.
type taken []byte

// Persist implements raft.FSMSnapshot.
func (t taken) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(t); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (taken) Release() {}
