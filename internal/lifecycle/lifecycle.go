// Package lifecycle holds a node's lifecycle state. It is the single source of that state for /up, the
// operator API, signal handling and the control socket.
package lifecycle

import (
	"sync"
	"time"
)

// State is a node's lifecycle state.
type State uint8

// The states. Ending is final.
const (
	Starting State = iota // no list of servers is in place yet
	Serving
	Quiesced // drained by an operator until resumed
	Ending   // told to shut down
)

// String returns the state's name as shown to operators.
func (s State) String() string {
	return [...]string{"starting", "ready", "quiesced", "draining"}[s]
}

// A quiesced node goes on accepting. Load balancers in front of it poll /up every 0.1 s and send new
// connections for 0.2 s more; a client whose connection was closed earlier would only reconnect to this node.
const (
	closeAnswersAfter = 400 * time.Millisecond  // after the call to quiesce: each answer closes its connection
	closeIdleAfter    = 1600 * time.Millisecond // after the call to quiesce: idle connections are closed
)

// Lifecycle is the lifecycle of one node. The zero value is Starting; it is safe for concurrent use.
type Lifecycle struct {
	mu         sync.Mutex
	ready      bool
	ending     bool
	quiescedAt time.Time // zero: not quiesced
	changes    uint64    // number of calls to quiesce and resume, made here or merged
}

// Ready records that the first list of servers is in place.
func (l *Lifecycle) Ready() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = true
}

// End records that the node was told to shut down.
func (l *Lifecycle) End() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending = true
}

// Quiesce drains the node from now on. A repeated call does not restart the drain.
func (l *Lifecycle) Quiesce(now time.Time) QuiesceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes++
	if l.quiescedAt.IsZero() {
		l.quiescedAt = now
	}
	return QuiesceState{true, l.changes}
}

// Resume ends a quiesce.
func (l *Lifecycle) Resume() QuiesceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes++
	l.quiescedAt = time.Time{}
	return QuiesceState{false, l.changes}
}

// QuiesceState is the latest quiesce or resume call. Two processes of one node exchange it during a handover.
type QuiesceState struct {
	Quiesced bool   `json:"quiesced"`
	Changes  uint64 `json:"changes"` // sequence number: the higher one is the later
}

// QuiesceState returns the latest quiesce or resume call.
func (l *Lifecycle) QuiesceState() QuiesceState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return QuiesceState{!l.quiescedAt.IsZero(), l.changes}
}

// Merge applies a call that the other process received, if it is later than the latest one here.
func (l *Lifecycle) Merge(now time.Time, d QuiesceState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Changes <= l.changes {
		return
	}
	l.changes = d.Changes
	switch {
	case !d.Quiesced:
		l.quiescedAt = time.Time{}
	case l.quiescedAt.IsZero():
		l.quiescedAt = now
	}
}

// State returns the current state.
func (l *Lifecycle) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.ending:
		return Ending
	case !l.ready:
		return Starting
	case !l.quiescedAt.IsZero():
		return Quiesced
	}
	return Serving
}

// AcceptsConnections reports whether /up answers that new connections are accepted. While the node shuts down it stays true,
// since clients go on connecting for a while, unless failOnEnd makes it false at once.
func (l *Lifecycle) AcceptsConnections(failOnEnd bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready && l.quiescedAt.IsZero() && !(l.ending && failOnEnd)
}

// ClosesAfterAnswer reports whether answers close their connections because the node is quiesced.
func (l *Lifecycle) ClosesAfterAnswer(now time.Time) bool {
	return l.quiescedFor(now) >= closeAnswersAfter
}

// ClosesIdle reports whether idle connections are closed because the node is quiesced.
func (l *Lifecycle) ClosesIdle(now time.Time) bool { return l.quiescedFor(now) >= closeIdleAfter }

// quiescedFor returns how long the node has been quiesced, or a negative duration if it is not.
func (l *Lifecycle) quiescedFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quiescedAt.IsZero() {
		return -1
	}
	return now.Sub(l.quiescedAt)
}
