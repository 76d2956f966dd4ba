// Package transaction implements the four transaction state machines of RFC 3261 section
// 17, with the changes of RFC 6026 for INVITE. They decide what is retransmitted, what is
// delivered to the transaction user, and when a transaction ends. They handle status codes
// and times only, and use no messages, sockets or clock.
package transaction

import "time"

// Timing are the base times of RFC 3261 section 17.1.1.1.
type Timing struct {
	T1 time.Duration // estimated round-trip time
	T2 time.Duration // maximum interval between retransmissions
	T4 time.Duration // maximum time that a message stays in the network
}

// DefaultTiming returns the RFC's default values.
func DefaultTiming() Timing {
	return Timing{T1: 500 * time.Millisecond, T2: 4 * time.Second, T4: 5 * time.Second}
}

// TransactionTimeout is 64 times T1: timers B, F, H, L and M, and the minimum for D.
func (t Timing) TransactionTimeout() time.Duration { return 64 * t.T1 }

// State of a transaction.
type State uint8

// The states, named as in the RFCs. Calling also stands for the Trying state of a client
// non-INVITE transaction.
const (
	Calling State = iota
	Trying        // server non-INVITE transaction that has sent no response
	Proceeding
	Accepted // RFC 6026: a 2xx was passed on, and more may follow
	Completed
	Confirmed
	Terminated
	NumStates // number of states
)

// String returns the state's name, as shown to operators.
func (s State) String() string {
	return [NumStates]string{"calling", "trying", "proceeding", "accepted", "completed", "confirmed", "terminated"}[s]
}

// Action tells the caller what to do after an event. It is a bit set.
type Action uint8

// The actions.
const (
	Transmit Action = 1 << iota // send a client's request or a server's last response
	Deliver                     // deliver the response to the transaction user
	SendAck                     // client INVITE: acknowledge a final response of 300 or above
	TimedOut                    // tell the transaction user that no response, or no ACK, arrived in time
	Ended                       // the transaction has terminated and can be removed
)

// Machine is the state of one transaction. Use NewClient or NewServer to make one.
type Machine struct {
	timing   Timing
	invite   bool
	server   bool
	reliable bool

	state        State
	responded    bool          // server: at least one response was sent
	interval     time.Duration // delay after the next retransmission
	retransmitAt time.Duration // timers A, E and G; 0 if none is running
	expiresAt    time.Duration // timers B, D, F, H, I, J, K, L and M; 0 if none is running
	lingering    bool          // expiresAt ends the time for which retransmissions are absorbed, and is no time-out
	abandoned    bool
}

// NewClient makes a client transaction whose request is sent at now.
func NewClient(now time.Duration, t Timing, invite, reliable bool) Machine {
	m := Machine{timing: t, invite: invite, reliable: reliable, state: Calling}
	m.interval = t.T1
	m.scheduleRetransmit(now)                  // timers A and E
	m.expiresAt = now + t.TransactionTimeout() // timers B and F
	return m
}

// NewServer makes a server transaction whose request was just received.
func NewServer(t Timing, invite, reliable bool) Machine {
	m := Machine{timing: t, invite: invite, server: true, reliable: reliable, state: Trying}
	if invite {
		m.state = Proceeding
	}
	return m
}

func (m *Machine) State() State { return m.state }

// Due returns when Fire has to be called next, or 0 if no timer is running.
func (m *Machine) Due() time.Duration {
	if m.retransmitAt > 0 && (m.expiresAt == 0 || m.retransmitAt < m.expiresAt) {
		return m.retransmitAt
	}
	return m.expiresAt
}

// scheduleRetransmit sets the time of the next retransmission on an unreliable transport.
func (m *Machine) scheduleRetransmit(now time.Duration) {
	if m.reliable {
		return
	}
	m.retransmitAt = now + m.interval
	m.interval *= 2
	if !m.invite || m.server {
		m.interval = min(m.interval, m.timing.T2)
	}
}

// terminateAfter terminates the transaction after d, or at once if d is 0.
func (m *Machine) terminateAfter(now, d time.Duration) Action {
	m.retransmitAt = 0
	if d == 0 {
		m.state, m.expiresAt = Terminated, 0
		return Ended
	}
	m.expiresAt, m.lingering = now+d, true
	return 0
}

// unlessReliable returns d, or 0 on a reliable transport.
func (m *Machine) unlessReliable(d time.Duration) time.Duration {
	if m.reliable {
		return 0
	}
	return d
}

// Fire handles the timers that are due at now.
func (m *Machine) Fire(now time.Duration) Action {
	if m.state == Terminated {
		return 0
	}
	if m.expiresAt > 0 && now >= m.expiresAt {
		m.state, m.retransmitAt, m.expiresAt = Terminated, 0, 0
		if m.lingering {
			return Ended
		}
		return TimedOut | Ended
	}
	if m.retransmitAt > 0 && now >= m.retransmitAt {
		if !m.server && !m.invite && m.state == Proceeding {
			m.interval = m.timing.T2 // RFC 3261 section 17.1.2.2
		}
		m.scheduleRetransmit(now)
		return Transmit
	}
	return 0
}

// Fail terminates a transaction at once, because its transport has failed.
func (m *Machine) Fail() Action {
	if m.state == Terminated {
		return 0
	}
	m.state, m.retransmitAt, m.expiresAt = Terminated, 0, 0
	return Ended
}

// Response handles a response to a client transaction.
func (m *Machine) Response(now time.Duration, code int) Action {
	switch {
	case m.server || m.state == Terminated:
		return 0
	case m.state == Completed:
		if m.invite && code > 299 {
			return SendAck // the ACK was lost, or the response was duplicated
		}
		return 0
	case m.state == Accepted:
		if code/100 == 2 {
			return Deliver
		}
		return 0
	case code < 200:
		m.state = Proceeding
		if m.invite && !m.abandoned {
			m.retransmitAt, m.expiresAt = 0, 0 // from now on the transaction user's timer C bounds the wait
		}
		return Deliver
	case !m.invite:
		m.state = Completed
		return Deliver | m.terminateAfter(now, m.unlessReliable(m.timing.T4)) // timer K
	case code < 300:
		m.state = Accepted
		return Deliver | m.terminateAfter(now, m.timing.TransactionTimeout()) // timer M
	}
	m.state = Completed
	return Deliver | SendAck | m.terminateAfter(now, m.unlessReliable(m.timing.TransactionTimeout())) // timer D
}

// Request handles a retransmitted request in a server transaction.
func (m *Machine) Request() Action {
	if m.server && m.responded && m.state != Confirmed && m.state != Accepted && m.state != Terminated {
		return Transmit
	}
	return 0
}

// Ack handles the ACK for a final response of 300 or above in a server INVITE transaction.
func (m *Machine) Ack(now time.Duration) Action {
	if !m.server || !m.invite || m.state != Completed {
		return 0
	}
	m.state = Confirmed
	return m.terminateAfter(now, m.unlessReliable(m.timing.T4)) // timer I
}

// Respond handles the transaction user's response in a server transaction. If the result
// lacks Transmit, a final response was sent before and this one must not be sent.
func (m *Machine) Respond(now time.Duration, code int) Action {
	switch {
	case !m.server || m.state == Terminated:
		return 0
	case m.state == Accepted:
		if code/100 == 2 {
			return Transmit
		}
		return 0
	case m.state != Trying && m.state != Proceeding:
		return 0
	}
	m.responded = true
	switch {
	case code < 200:
		m.state = Proceeding
		return Transmit
	case !m.invite:
		m.state = Completed
		return Transmit | m.terminateAfter(now, m.unlessReliable(m.timing.TransactionTimeout())) // timer J
	case code < 300:
		m.state = Accepted
		return Transmit | m.terminateAfter(now, m.timing.TransactionTimeout()) // timer L
	}
	m.state = Completed
	m.interval = m.timing.T1
	m.scheduleRetransmit(now)                         // timer G
	m.expiresAt = now + m.timing.TransactionTimeout() // timer H
	return Transmit
}

// StopRetransmitting makes a client transaction wait for responses without sending its request again.
func (m *Machine) StopRetransmitting() { m.retransmitAt = 0 }

// Abandon tells a client transaction that its result is no longer needed. It stops
// retransmitting, but still matches responses for 64*T1 (RFC 3261 section 9.1).
func (m *Machine) Abandon(now time.Duration) {
	if m.state == Calling || m.state == Proceeding {
		m.retransmitAt, m.expiresAt, m.lingering, m.abandoned = 0, now+m.timing.TransactionTimeout(), true, true
	}
}
