package core

import (
	"time"

	"otterstep/policy"
)

// startAim sets the time from which an answer to a request, which has come whole by now, is late.
func (m *Machine) startAim(r *Pending) {
	if aim := m.aims[r.class]; aim > 0 {
		r.lateFrom = m.now + aim
	}
}

// setDeadline sets a request's deadlines and returns the time that remains for the decision module. A request that
// has come whole only after the shutdown time, as its body took so long, has its own time.
func (m *Machine) setDeadline(r *Pending, deadline time.Duration) time.Duration {
	if m.now < m.shutdownAt {
		deadline = min(deadline, m.shutdownAt)
	}
	left := max(0, deadline-m.now)
	r.deadline = m.now + left
	r.attemptDeadline = r.deadline - min(clientMargin, left/2)
	r.deadlineChanges++
	return r.attemptDeadline - m.now
}

// scheduleDeadline schedules the timers that end a request by its client's deadline: its attempts first, then the request.
// Once the deadline has changed again they do nothing.
func (m *Machine) scheduleDeadline(r *Pending) {
	left := r.deadline - m.now
	backstopAt := r.deadline - min(backstopMargin, left/4)
	change := r.deadlineChanges
	m.schedule(r.attemptDeadline, func() {
		if r.deadlineChanges != change {
			return
		}
		m.expire(r)
		m.schedule(backstopAt, func() {
			if r.deadlineChanges == change {
				m.backstop(r)
			}
		})
	})
}

// expire ends a request's wait shortly before the client's deadline. If an attempt holds an answer back, that becomes the
// final one: its server still gives it. Otherwise the attempts in flight are abandoned; the module receives these as
// time-outs of an open request and chooses the final answer.
func (m *Machine) expire(r *Pending) {
	if r.uploading { // RequestSent will change the deadline
		return
	}
	m.claimHeldAnswer(r)
	for _, a := range r.attempts {
		if !a.ended && !r.answered {
			m.abandon(a, policy.Timeout)
		}
	}
}

// claimHeldAnswer claims the final answer for the first attempt that holds one back, unless the request has an answer.
func (m *Machine) claimHeldAnswer(r *Pending) {
	for _, a := range r.attempts {
		if !a.ended && !r.answered && a.claimHeld() {
			m.atDeadline[r.class]++
			m.answerClaimed(a)
			m.emit(Action{Kind: ActionRelease, Attempt: a})
		}
	}
}

// backstop answers a request that the module has not answered shortly before the client's
// deadline, so that every request is answered in time.
func (m *Machine) backstop(r *Pending) {
	if r.uploading && r.inFlight > 0 {
		return
	}
	if !r.answered {
		m.answer(r, Answer{Outcome: DeadlineExceeded})
		m.balancer.ClientGone(m.now, r.id)
		m.release(r)
	}
}
