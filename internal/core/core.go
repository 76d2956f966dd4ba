// Package core drives one policy.Balancer for one pool of servers: requests, attempts,
// timers and pool membership. It is protocol-independent: a front submits requests together
// with a way to make one attempt at one server, and gets exactly one final answer for each.
// Pools share no state.
//
// A Machine is a deterministic state machine: it takes timestamped events and returns the
// actions to perform. A Loop runs a Machine on a goroutine with a real clock and makes the
// attempts.
package core

import (
	"context"
	"time"

	"otterstep/policy"
)

// Deadline margins. A client's deadline runs from when it sent the request, so the decision
// module is given slightly less time; the backstop fires between the module's deadline and
// the client's.
const (
	clientMargin   = 12 * time.Millisecond
	backstopMargin = 4 * time.Millisecond
)

// Outcome is how a request ended for its client.
type Outcome uint8

// The ways in which a request can end.
const (
	Served Outcome = iota
	Refused
	Failed
	DeadlineExceeded // failed because its deadline passed
	Duplicate        // another request has the same name
	ClientGone       // the client disconnected; there is no answer
	NumOutcomes      // number of outcomes
)

// String returns the outcome as it appears in metrics and operator output.
func (k Outcome) String() string {
	return [NumOutcomes]string{"served", "refused", "failed", "overdue", "duplicate", "left"}[k]
}

// Answer is the single final answer to a request.
type Answer struct {
	Outcome    Outcome
	RetryAfter time.Duration    // Refused
	Body       any              // Served: AttemptResult.Body
	Attempts   []AttemptSummary // Failed, DeadlineExceeded
}

// AttemptSummary says what became of an attempt of a request that failed.
type AttemptSummary struct {
	Server Server
	State  string        // a word or two for operators
	Took   time.Duration // from its beginning, or its request's last byte, to its end or to the final answer
}

// Server is one incarnation of a server process. Fronts key their connections by it rather
// than by address: a new server may take over the address of a removed one, and must not be
// reached over the old one's connections.
type Server struct {
	ID      policy.ServerID
	Addr    string
	Started time.Duration
}

// AttemptResult is the result of an attempt.
type AttemptResult struct {
	Status   policy.Status
	Body     any  // OK: what the front forwards to the client
	Rejected bool // the server rejected the request as invalid
	// BodyConsumed is set if no further attempt can be made because the request's body was streamed
	// and is no longer available.
	BodyConsumed bool
}

// Message is a front's representation of a request, which knows how to make an attempt at a
// server. It is immutable once submitted.
type Message interface {
	// Attempt makes one attempt and gives up when ctx is done, or at end at the latest,
	// however late its goroutine is scheduled. turn.Begin must be called right before the
	// first byte is written; if it returns false, nothing may be sent. The status says whether
	// the server may have processed the request. Attempt is called on its own goroutine,
	// possibly several times concurrently.
	Attempt(ctx context.Context, to Server, end time.Time, turn AttemptHandle) AttemptResult
}

// Request is a client's request as submitted by a front.
type Request struct {
	policy.Request // ID and TimeLeft are set by this package
	// Name must be unique: a second request with a name that is in use, or was recently,
	// ends as Duplicate.
	Name     string
	Deadline time.Duration // when the client gives up, in the pool's clock
	Message  Message
	Answers  chan<- Answer // for a Loop: must have room for the answer
	// While policy.Request.Uploading is set, Deadline bounds only the wait for a server: an
	// attempt that has one continues for as long as the client sends, and then calls RequestSent.
}
