// Package transaction holds the four transaction machines of RFC 3261 section 17, with
// RFC 6026 for INVITE: what is sent again, what goes on to the user, and when a
// transaction ends. It knows status codes and times only: no messages, no sockets, no
// clock.
package transaction

import "time"

// Timing are the base times of RFC 3261 section 17.1.1.1.
type Timing struct {
	T1 time.Duration // an estimate of the round trip
	T2 time.Duration // the longest interval between retransmissions
	T4 time.Duration // how long a message may stay in the network
}

// Standard gives the RFC's values.
func Standard() Timing {
	return Timing{T1: 500 * time.Millisecond, T2: 4 * time.Second, T4: 5 * time.Second}
}

// Patience is 64 times T1: timers B, F, H, L and M, and the least for D.
func (t Timing) Patience() time.Duration { return 64 * t.T1 }

// State of a transaction.
type State uint8

// The states, named as in the RFCs. Calling is also the Trying of a client's
// non-INVITE transaction.
const (
	Calling State = iota
	Trying        // a server's non-INVITE transaction that has sent nothing
	Proceeding
	Accepted // RFC 6026: a 2xx went by; more of them may
	Completed
	Confirmed
	Terminated
	States // how many there are
)

// String names a state as operators see it.
func (s State) String() string {
	return [States]string{"calling", "trying", "proceeding", "accepted", "completed", "confirmed", "terminated"}[s]
}

// Act is what is to be done after an event; several may be joined.
type Act uint8

// The acts.
const (
	Transmit Act = 1 << iota // send the message in hand: a client's request, a server's last response
	Pass                     // the response or request is the user's to see
	SendAck                  // client INVITE: acknowledge a final response over 299
	TimedOut                 // the user must hear that nothing came, or that no ACK did
	Ended                    // the transaction is over and may be forgotten
)

// Machine is one transaction. Make it with NewClient or NewServer.
type Machine struct {
	timing   Timing
	invite   bool
	server   bool
	reliable bool

	state     State
	sent      bool          // a server's: some response
	interval  time.Duration // until the next retransmission but one
	resendAt  time.Duration // timers A, E and G; 0 if none runs
	endAt     time.Duration // timers B, D, F, H, I, J, K, L and M; 0 if none runs
	afterward bool          // endAt ends the wait behind the last message, not the patience
	abandoned bool
}

// NewClient makes a client transaction whose request is sent now.
func NewClient(now time.Duration, t Timing, invite, reliable bool) Machine {
	m := Machine{timing: t, invite: invite, reliable: reliable, state: Calling}
	m.interval = t.T1
	m.resend(now)                // timers A and E
	m.endAt = now + t.Patience() // timers B and F
	return m
}

// NewServer makes a server transaction whose request has just come.
func NewServer(t Timing, invite, reliable bool) Machine {
	m := Machine{timing: t, invite: invite, server: true, reliable: reliable, state: Trying}
	if invite {
		m.state = Proceeding
	}
	return m
}

// State gives the present state.
func (m *Machine) State() State { return m.state }

// Due gives when Fire is to be called next; 0 for never.
func (m *Machine) Due() time.Duration {
	if m.resendAt > 0 && (m.endAt == 0 || m.resendAt < m.endAt) {
		return m.resendAt
	}
	return m.endAt
}

// resend sets the next retransmission, if the transport may lose.
func (m *Machine) resend(now time.Duration) {
	if m.reliable {
		return
	}
	m.resendAt = now + m.interval
	m.interval *= 2
	if !m.invite || m.server {
		m.interval = min(m.interval, m.timing.T2)
	}
}

// rest ends the transaction after d, or now if d is 0.
func (m *Machine) rest(now, d time.Duration) Act {
	m.resendAt = 0
	if d == 0 {
		m.state, m.endAt = Terminated, 0
		return Ended
	}
	m.endAt, m.afterward = now+d, true
	return 0
}

// unlessReliable gives d, or 0 over a transport that loses nothing.
func (m *Machine) unlessReliable(d time.Duration) time.Duration {
	if m.reliable {
		return 0
	}
	return d
}

// Fire handles the timers that are due.
func (m *Machine) Fire(now time.Duration) Act {
	if m.state == Terminated {
		return 0
	}
	if m.endAt > 0 && now >= m.endAt {
		m.state, m.resendAt, m.endAt = Terminated, 0, 0
		if m.afterward {
			return Ended
		}
		return TimedOut | Ended
	}
	if m.resendAt > 0 && now >= m.resendAt {
		if !m.server && !m.invite && m.state == Proceeding {
			m.interval = m.timing.T2 // RFC 3261 section 17.1.2.2
		}
		m.resend(now)
		return Transmit
	}
	return 0
}

// Fail ends a transaction at once: its transport has failed for good.
func (m *Machine) Fail() Act {
	if m.state == Terminated {
		return 0
	}
	m.state, m.resendAt, m.endAt = Terminated, 0, 0
	return Ended
}

// Response takes a response into a client transaction.
func (m *Machine) Response(now time.Duration, code int) Act {
	switch {
	case m.server || m.state == Terminated:
		return 0
	case m.state == Completed:
		if m.invite && code > 299 {
			return SendAck // it was lost, or the response came twice
		}
		return 0
	case m.state == Accepted:
		if code/100 == 2 {
			return Pass
		}
		return 0
	case code < 200:
		m.state = Proceeding
		if m.invite && !m.abandoned {
			m.resendAt, m.endAt = 0, 0 // timer C, the user's, bounds the wait from here on
		}
		return Pass
	case !m.invite:
		m.state = Completed
		return Pass | m.rest(now, m.unlessReliable(m.timing.T4)) // timer K
	case code < 300:
		m.state = Accepted
		return Pass | m.rest(now, m.timing.Patience()) // timer M
	}
	m.state = Completed
	return Pass | SendAck | m.rest(now, m.unlessReliable(m.timing.Patience())) // timer D
}

// Request takes a retransmission of its request into a server transaction.
func (m *Machine) Request() Act {
	if m.server && m.sent && m.state != Confirmed && m.state != Accepted && m.state != Terminated {
		return Transmit
	}
	return 0
}

// Ack takes the ACK to a final response over 299 into a server INVITE transaction.
func (m *Machine) Ack(now time.Duration) Act {
	if !m.server || !m.invite || m.state != Completed {
		return 0
	}
	m.state = Confirmed
	return m.rest(now, m.unlessReliable(m.timing.T4)) // timer I
}

// Respond takes the user's response into a server transaction. Without Transmit in what
// it gives the response must not be sent: a final one was.
func (m *Machine) Respond(now time.Duration, code int) Act {
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
	m.sent = true
	switch {
	case code < 200:
		m.state = Proceeding
		return Transmit
	case !m.invite:
		m.state = Completed
		return Transmit | m.rest(now, m.unlessReliable(m.timing.Patience())) // timer J
	case code < 300:
		m.state = Accepted
		return Transmit | m.rest(now, m.timing.Patience()) // timer L
	}
	m.state = Completed
	m.interval = m.timing.T1
	m.resend(now)                       // timer G
	m.endAt = now + m.timing.Patience() // timer H
	return Transmit
}

// Abandon tells a client transaction that nobody waits for its end any more. It sends
// nothing again, yet for the RFC's patience knows what still comes (RFC 3261 section 9.1).
func (m *Machine) Abandon(now time.Duration) {
	if m.state == Calling || m.state == Proceeding {
		m.resendAt, m.endAt, m.afterward, m.abandoned = 0, now+m.timing.Patience(), true, true
	}
}
