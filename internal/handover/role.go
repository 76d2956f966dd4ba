// Package handover lets two processes act as one node while a new version takes over from an old one. The
// platform holds the clients' listening socket, which both processes inherit; over a Unix socket they exchange
// the operators' calls and the progress of the handover.
//
// Role is the state machine, without I/O; Inherit takes over the listening socket; Link is the connection between
// the processes.
package handover

// Role is the part that a process plays in a handover. The zero value is a process that is alone.
type Role uint8

// The roles. The successor is the new process, the predecessor the old one.
const (
	Alone             Role = iota
	AwaitingSuccessor      // a successor is connected, and does not serve yet
	HandingOver            // the successor serves: this process accepts no more connections
	Successor              // the predecessor serves: this process does not accept connections yet
	TookOver               // this process serves, and the predecessor finishes its requests
)

// String returns the role's name as it appears in the log.
func (r Role) String() string {
	return [...]string{"alone", "attended", "giving", "heir", "taking"}[r]
}

// Event is an event that may change the role.
type Event uint8

// The events.
const (
	EventSuccessorConnected Event = iota // a successor has connected
	EventSuccessorServing                // the successor reports that it serves
	EventPredecessorFound                // this process has connected to a predecessor
	EventServing                         // this process serves, and the predecessor has been told
	EventPeerGone                        // the other process has ended or was killed
)

// Next returns the role after an event. An event that is not possible in a role changes nothing.
func (r Role) Next(e Event) Role {
	switch {
	case e == EventPeerGone:
		return Alone // the remaining process serves, however far the handover had got
	case r == Alone && e == EventSuccessorConnected:
		return AwaitingSuccessor
	case r == Alone && e == EventPredecessorFound:
		return Successor
	case r == AwaitingSuccessor && e == EventSuccessorServing:
		return HandingOver
	case r == Successor && e == EventServing:
		return TookOver
	}
	return r
}

// Accepts reports whether the process accepts clients. While the roles of both processes agree, exactly one does.
func (r Role) Accepts() bool { return r == Alone || r == AwaitingSuccessor || r == TookOver }

// MemoryShare is the process's share of the node's memory limit.
func (r Role) MemoryShare() float64 { return r.share(0.75) }

// LoadShare is the process's share of a cold server's capacity and of quotas. The process that no longer accepts
// has few requests left to send.
func (r Role) LoadShare() float64 { return r.share(0.9) }

// share returns 1 for a process that is alone; of two processes, the one that accepts gets the given share and the
// other one the rest.
func (r Role) share(accepting float64) float64 {
	switch {
	case r == Alone:
		return 1
	case r.Accepts():
		return accepting
	}
	return 1 - accepting
}
