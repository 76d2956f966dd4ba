// Package ledger judges the four rules from outside the nodes, by what servers are sent
// and what clients are answered. It knows no clock and no sockets: the simulation and the
// stand-ins on loopback feed the same one.
package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Effect tells what a repeat of a request would do.
type Effect uint8

// The effects of a class.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Outcome is what a client got.
type Outcome uint8

// The outcomes of a request.
const (
	Served Outcome = iota
	Refused
	Failed
	Lost // no whole answer in the client's time
	Outcomes
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "lost"}[o] }

// Breach is a way in which a rule breaks.
type Breach string

// The breaches.
const (
	NoAnswer     Breach = "a request without an answer"
	SecondAnswer Breach = "a second answer"
	LateAnswer   Breach = "an answer after the deadline"
	LateAttempt  Breach = "an attempt after the answer"
	RanTwice     Breach = "an effect happened twice"
	RefusedRan   Breach = "a refused request has run"
	AfterDrain   Breach = "a new request after a drain"
	PushedOver   Breach = "a cold server was pushed over"
)

// Rule names the rule that a breach breaks.
func (b Breach) Rule() string {
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

// wordsMost are the breaches that are kept word for word.
const wordsMost = 100

// Record is what is known of a request. Its zero value is one that nothing is known of. A
// record is needed for as long as an attempt, a server or its client may add to it.
type Record struct {
	effect     Effect
	ran        int // effects
	keyed      time.Duration
	answered   bool
	answeredAt time.Duration
	outcome    Outcome
}

// Answered tells whether the request has its final answer, or counts as lost.
func (r *Record) Answered() bool { return r.answered }

// Ledger judges. Its memory does not grow with what it is told; records are their
// holders'. It is not safe for concurrent use.
type Ledger struct {
	drain   time.Duration // from when a node is told of a drain until attempts have to end
	late    time.Duration // after the answer an attempt may still come: it was on its way
	counts  map[Breach]int
	words   []string
	breaks  int
	repeats int
}

// New makes one with the grace of drains and of attempts that cross their request's end.
func New(drain, late time.Duration) *Ledger {
	return &Ledger{drain: drain, late: late, counts: map[Breach]int{}}
}

// Attempt notes one at a server called where. told is since when the node knows that the
// server takes nothing new; 0 for not at all.
func (l *Ledger) Attempt(now time.Duration, r *Record, id, where string, told time.Duration) {
	if r.answered && now-r.answeredAt > l.late {
		l.breach(LateAttempt, "%s went to %s %v after its final answer", id, where, now-r.answeredAt)
	}
	if told > 0 && now-told > l.drain {
		l.breach(AfterDrain, "%s went to %s %v after its drain was told", id, where, now-told)
	}
}

// Ran notes that a server runs a request. It is false for a repeat that servers drop: of
// a keyed request whose effect is less than window ago.
func (l *Ledger) Ran(now time.Duration, r *Record, id, where string, effect Effect, window time.Duration) bool {
	r.effect = effect
	if effect == Keyed && r.ran > 0 && now-r.keyed < window {
		l.repeats++
		return false
	}
	r.ran++
	r.keyed = now
	if effect != Safe && r.ran > 1 {
		l.breach(RanTwice, "%s ran %d times, last at %s", id, r.ran, where)
	}
	l.promise(r, id)
	return true
}

// promise checks a refusal's: trying again is harmless.
func (l *Ledger) promise(r *Record, id string) {
	if r.answered && r.outcome == Refused && r.effect == Unsafe && r.ran > 0 {
		l.breach(RefusedRan, "%s was refused and has run", id)
	}
}

// Answer notes a request's final answer at its client, or Lost. deadline, if not 0, is
// when it was due.
func (l *Ledger) Answer(now time.Duration, r *Record, id string, o Outcome, deadline time.Duration) {
	if r.answered {
		l.breach(SecondAnswer, "%s was answered twice, %v and %v", id, r.outcome, o)
		return
	}
	r.answered, r.answeredAt, r.outcome = true, now, o
	switch {
	case o == Lost:
		l.breach(NoAnswer, "%s had no whole answer in time", id)
	case deadline > 0 && now > deadline:
		l.breach(LateAnswer, "%s was answered %v after its time", id, now-deadline)
	}
	l.promise(r, id)
}

// Fell notes that a cold server was pushed over.
func (l *Ledger) Fell(where string) { l.breach(PushedOver, "%s fell", where) }

func (l *Ledger) breach(b Breach, format string, args ...any) {
	l.breaks++
	l.counts[b]++
	if len(l.words) < wordsMost {
		l.words = append(l.words, fmt.Sprintf("%s: %s: %s", b.Rule(), b, fmt.Sprintf(format, args...)))
	}
}

// Report is a ledger's account.
type Report struct {
	Breaks  int            // in all
	Broken  map[Breach]int // how often each
	Words   []string       // the first of them
	Repeats int            // keyed repeats that servers dropped
}

// Report gives the account so far.
func (l *Ledger) Report() Report {
	return Report{Breaks: l.breaks, Broken: maps.Clone(l.counts), Words: slices.Clone(l.words), Repeats: l.repeats}
}
