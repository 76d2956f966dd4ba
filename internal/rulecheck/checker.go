// Package rulecheck checks the four rules from outside the nodes, by the requests that servers
// receive and the answers that clients get: no request is lost, no effect happens twice,
// drains are kept, and no cold server is pushed over. It uses neither a clock nor sockets, so
// that the simulation and the stand-in servers on loopback share it.
package rulecheck

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Effect says what a repeat of a request would do.
type Effect uint8

// The effects of a class.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Outcome is the result of a request at its client.
type Outcome uint8

// The outcomes of a request.
const (
	Served Outcome = iota
	Refused
	Failed
	Lost     // no complete answer before the deadline
	Outcomes // number of outcomes
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "lost"}[o] }

// Violation is a kind of rule violation.
type Violation string

// The kinds of violations.
const (
	NoAnswer     Violation = "a request without an answer"
	SecondAnswer Violation = "a second answer"
	LateAnswer   Violation = "an answer after the deadline"
	LateAttempt  Violation = "an attempt after the answer"
	RanTwice     Violation = "an effect happened twice"
	RefusedRan   Violation = "a refused request has run"
	AfterDrain   Violation = "a new request after a drain"
	PushedOver   Violation = "a cold server was pushed over"
)

// Rule returns the rule that b violates.
func (b Violation) Rule() string {
	switch b {
	case RanTwice, RefusedRan:
		return "no effect happens twice"
	case AfterDrain:
		return "drains are kept"
	case PushedOver:
		return "no cold server is pushed over"
	}
	return "no request is lost"
}

// maxDescriptions is how many violations are kept with their description.
const maxDescriptions = 100

// Record is the state of one request. The zero value is a request about which nothing is
// known yet. A record must be kept for as long as an attempt, a server or the client may add
// to it.
type Record struct {
	effect     Effect
	ran        int           // how often its effect happened
	lastRan    time.Duration // when it last ran
	answered   bool
	answeredAt time.Duration
	outcome    Outcome
}

// Answered reports whether the request has its final answer or counts as lost.
func (r *Record) Answered() bool { return r.answered }

// Checker checks the rules. Its memory use is bounded; callers hold the records. It is not
// safe for concurrent use.
type Checker struct {
	drainGrace   time.Duration // grace period for attempts after a node is told of a drain
	sendGrace    time.Duration // grace period for attempts that were in flight when the answer was given
	counts       map[Violation]int
	descriptions []string
	violations   int
	repeats      int
}

// New creates a Checker with the grace periods for drains and for attempts that cross their
// request's answer.
func New(drainGrace, sendGrace time.Duration) *Checker {
	return &Checker{drainGrace: drainGrace, sendGrace: sendGrace, counts: map[Violation]int{}}
}

// Attempt records an attempt at a server. told is when the node was told that the server
// accepts no new requests; 0 if it was not.
func (l *Checker) Attempt(now time.Duration, r *Record, id, server string, told time.Duration) {
	if r.answered && now-r.answeredAt > l.sendGrace {
		l.record(LateAttempt, "%s was sent to %s %v after its final answer", id, server, now-r.answeredAt)
	}
	if told > 0 && now-told > l.drainGrace {
		l.record(AfterDrain, "%s was sent to %s %v after the node was told of its drain", id, server, now-told)
	}
}

// Ran records that a server runs a request. It returns false for a repeat that servers drop:
// a keyed request that ran less than window ago.
func (l *Checker) Ran(now time.Duration, r *Record, id, server string, effect Effect, window time.Duration) bool {
	r.effect = effect
	if effect == Keyed && r.ran > 0 && now-r.lastRan < window {
		l.repeats++
		return false
	}
	r.ran++
	r.lastRan = now
	if effect != Safe && r.ran > 1 {
		l.record(RanTwice, "%s ran %d times, last at %s", id, r.ran, server)
	}
	l.checkRefusal(r, id)
	return true
}

// checkRefusal checks the guarantee of a refusal: that retrying the request is harmless.
func (l *Checker) checkRefusal(r *Record, id string) {
	if r.answered && r.outcome == Refused && r.effect == Unsafe && r.ran > 0 {
		l.record(RefusedRan, "%s was refused and has run", id)
	}
}

// Answer records a request's final answer at its client, or Lost. deadline, if not 0, is
// when the answer was due.
func (l *Checker) Answer(now time.Duration, r *Record, id string, o Outcome, deadline time.Duration) {
	if r.answered {
		l.record(SecondAnswer, "%s was answered twice, %v and %v", id, r.outcome, o)
		return
	}
	r.answered, r.answeredAt, r.outcome = true, now, o
	switch {
	case o == Lost:
		l.record(NoAnswer, "%s had no complete answer before its deadline", id)
	case deadline > 0 && now > deadline:
		l.record(LateAnswer, "%s was answered %v after its deadline", id, now-deadline)
	}
	l.checkRefusal(r, id)
}

// FellOver records that a cold server was overloaded until it fell over.
func (l *Checker) FellOver(server string) { l.record(PushedOver, "%s fell over", server) }

func (l *Checker) record(b Violation, format string, args ...any) {
	l.violations++
	l.counts[b]++
	if len(l.descriptions) < maxDescriptions {
		l.descriptions = append(l.descriptions, fmt.Sprintf("%s: %s: %s", b.Rule(), b, fmt.Sprintf(format, args...)))
	}
}

// Report is the result of a check.
type Report struct {
	Violations     int               // violations in total
	Broken         map[Violation]int // violations by kind
	Descriptions   []string          // descriptions of the first violations
	DroppedRepeats int               // keyed repeats that servers dropped
}

// Report returns the result so far.
func (l *Checker) Report() Report {
	return Report{Violations: l.violations, Broken: maps.Clone(l.counts), Descriptions: slices.Clone(l.descriptions), DroppedRepeats: l.repeats}
}
