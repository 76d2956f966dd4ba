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

// stateMachine is the raft.FSM of the duty.State.
type stateMachine struct {
	onFailure func(error)

	mu      sync.Mutex
	state   *duty.State
	broken  bool
	changed chan struct{} // closed and replaced at each change
}

func newStateMachine(onFailure func(error)) *stateMachine {
	return &stateMachine{onFailure: onFailure, state: duty.New(), changed: make(chan struct{})}
}

// read calls f with the state, under the lock.
func (m *stateMachine) read(f func(*duty.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}

func (m *stateMachine) changes() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// notifyLocked wakes those who wait for a change. The caller holds mu.
func (m *stateMachine) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Apply implements raft.FSM. An entry that this build can't decode stops the voter: skipping it would make its
// state diverge from the other voters'.
func (m *stateMachine) Apply(l *raft.Log) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken {
		return duty.Result{Err: errStopped}
	}
	var c duty.Command
	err := json.Unmarshal(l.Data, &c)
	if err == nil && c.FormatVersion > duty.FormatVersion {
		err = fmt.Errorf("format version %d, this build supports %d: install the version that the other agents run", c.FormatVersion, duty.FormatVersion)
	}
	if err != nil {
		m.broken = true
		err = fmt.Errorf("council: entry %d: %w", l.Index, err)
		m.onFailure(err)
		return duty.Result{Err: err}
	}
	r := m.state.Apply(c)
	m.notifyLocked()
	return r
}

// Snapshot implements raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken {
		return nil, errStopped
	}
	text, err := m.state.Snapshot()
	return snapshotData(text), err
}

// Restore implements raft.FSM. As raft ends the process on an error, it stops the voter instead and returns
// nil.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	text, err := io.ReadAll(from)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		err = m.state.Load(text)
	}
	if err != nil {
		m.broken = true
		m.onFailure(fmt.Errorf("council: %w", err))
		return nil
	}
	m.notifyLocked()
	return nil
}

// snapshotData is a serialized snapshot.
type snapshotData []byte

// Persist implements raft.FSMSnapshot.
func (d snapshotData) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(d); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshotData) Release() {}
