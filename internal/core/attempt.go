package core

import (
	"context"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

// Attempt is one attempt at one server.
type Attempt struct {
	Pending *Pending
	Message Message
	To      Server
	End     time.Duration // it is abandoned then at the latest

	index   int
	server  policy.ServerID
	sent    time.Duration
	phase   atomic.Int32
	release func()        // set by Hold: ends the hold
	ended   bool          // its outcome was reported; later events are ignored
	status  policy.Status // once ended
	endedAt time.Duration
	cancel  context.CancelFunc // cancels its goroutine; set by the Loop
}

// The phases of an attempt. They are shared with the attempt's goroutine, so that nothing is
// sent after the Machine has abandoned the attempt, and the Machine knows whether anything
// may have been sent.
const (
	phaseUnsent int32 = iota
	phaseWriting
	phaseHolding  // it holds back an answer whose beginning has come
	phaseRelaying // its answer is being relayed to the client; the Machine does not end it
	phaseAbandoned
)

// answeredByMachine is the value of Pending.claimed for a final answer that is no attempt's.
var answeredByMachine = new(Attempt)

// Begin claims the right to write the request; it returns false once the Machine has
// abandoned the attempt. It may be called on any goroutine.
func (a *Attempt) Begin() bool { return a.phase.CompareAndSwap(phaseUnsent, phaseWriting) }

// Hold reports that the beginning of an answer has come and is held back, so that another attempt can still answer in its
// place. When the client's time ends during the hold, the Machine claims the final answer for this attempt and calls release,
// which must not block. Hold returns false if the attempt was abandoned. Begin must have been called before. Hold may be
// called on any goroutine, once.
func (a *Attempt) Hold(release func()) bool {
	a.release = release
	return a.phase.CompareAndSwap(phaseWriting, phaseHolding)
}

// EndHold ends the hold. It returns false if the Machine has claimed the final answer for this attempt: what has come of
// the answer must then go to the client, also if the rest does not follow.
func (a *Attempt) EndHold() bool {
	return a.phase.CompareAndSwap(phaseHolding, phaseWriting) || a.phase.Load() != phaseRelaying
}

// ClaimAnswer claims the right to relay this attempt's answer to the client as it arrives, from the
// first byte on: it becomes the request's final answer, and the client's deadline no longer
// applies to it. ClaimAnswer returns false if the Machine has abandoned the attempt or the request
// has another answer; then none of this answer may reach the client. Begin must have been
// called before, and Machine.AnswerClaimed must be called next. ClaimAnswer may be called on any
// goroutine.
func (a *Attempt) ClaimAnswer() bool {
	relaying := a.phase.CompareAndSwap(phaseWriting, phaseRelaying) || a.phase.CompareAndSwap(phaseHolding, phaseRelaying) ||
		a.phase.Load() == phaseRelaying
	return relaying && a.claim()
}

// claimHeld claims the final answer for an attempt that holds one back.
func (a *Attempt) claimHeld() bool {
	return a.phase.CompareAndSwap(phaseHolding, phaseRelaying) && a.claim()
}

// claim makes the attempt's answer the final one, and returns false if there is another one.
func (a *Attempt) claim() bool {
	return a.Pending.claimed.CompareAndSwap(nil, a) || a.Pending.claimed.Load() == a
}

// abandon ends the attempt unless its answer is being relayed, and returns its phase before.
func (a *Attempt) abandon() (before int32) {
	for {
		before = a.phase.Load()
		if before == phaseRelaying || a.phase.CompareAndSwap(before, phaseAbandoned) {
			return before
		}
	}
}

// statusNames are the results of attempts as operators see them.
var statusNames = map[policy.Status]string{
	policy.OK: "served", policy.Error: "answered with an error", policy.Full: "turned away", policy.Timeout: "timed out",
	policy.ConnectFailed: "not connected", policy.Reset: "broken off", policy.Cancelled: "cancelled", policy.NotSent: "not sent",
}

// summary says what has become of the attempt by now.
func (a *Attempt) summary(now time.Duration) AttemptSummary {
	if !a.ended {
		return AttemptSummary{Server: a.To, State: "in progress", Took: now - a.sent}
	}
	return AttemptSummary{Server: a.To, State: statusNames[a.status], Took: max(0, a.endedAt-a.sent)}
}
