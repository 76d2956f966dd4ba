package standin

import (
	"slices"
	"sync"
	"time"

	"otterstep/internal/rulecheck"
)

// Effect tells what a repetition of a request would do.
type Effect = rulecheck.Effect

// The effects of a class.
const (
	Safe   = rulecheck.Safe
	Keyed  = rulecheck.Keyed
	Unsafe = rulecheck.Unsafe
)

// Outcome is how a request ended for its client.
type Outcome = rulecheck.Outcome

// The outcomes of a request.
const (
	Served  = rulecheck.Served
	Refused = rulecheck.Refused
	Failed  = rulecheck.Failed
	Lost    = rulecheck.Lost // no complete answer before the client's deadline
)

const (
	// lateAttemptGrace is how long after a request's final answer an attempt may still
	// arrive, since it may have been in transit.
	lateAttemptGrace = 500 * time.Millisecond
	// drainGrace is the 500 ms that the drain rule allows and 50 ms for delays in sockets.
	drainGrace = 550 * time.Millisecond
)

// Ledger records the attempts that app boxes receive and the answers that clients receive, and
// checks them with the checker of the four rules. It remembers a bounded number of the latest
// requests. It is safe for concurrent use.
type Ledger struct {
	maxRequests int

	mu       sync.Mutex
	rules    *rulecheck.Checker
	epoch    time.Time // origin of the times that rules is given
	requests map[string]*rulecheck.Record
	order    []string // ring buffer of the IDs in requests
	next     int
	counts   map[string]*[rulecheck.Outcomes]int
	attempts int // number of attempts that boxes received
}

// NewLedger returns a ledger that remembers up to most requests.
func NewLedger(most int) *Ledger {
	return &Ledger{
		maxRequests: most, rules: rulecheck.New(drainGrace, lateAttemptGrace), requests: map[string]*rulecheck.Record{}, order: make([]string, 0, most),
		counts: map[string]*[rulecheck.Outcomes]int{},
	}
}

// recordOf returns a request's record, which it creates if need be in place of the oldest. The
// caller holds l.mu.
func (l *Ledger) recordOf(id string) *rulecheck.Record {
	r := l.requests[id]
	if r == nil {
		r = &rulecheck.Record{}
		l.requests[id] = r
		if len(l.order) < l.maxRequests {
			l.order = append(l.order, id)
		} else {
			delete(l.requests, l.order[l.next])
			l.order[l.next] = id
			l.next = (l.next + 1) % l.maxRequests
		}
	}
	return r
}

// ruleTime converts a time to the rules' form. The first is one hour, so that none is 0, which
// means that there is no time. The caller holds l.mu.
func (l *Ledger) ruleTime(at time.Time) time.Duration {
	if l.epoch.IsZero() {
		l.epoch = at.Add(-time.Hour)
	}
	return at.Sub(l.epoch)
}

// RecordAttempt records an attempt that a box received. told, if not zero, is the time since which
// all nodes have known that the box takes no new requests.
func (l *Ledger) RecordAttempt(id, box string, at, told time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	now, since := l.ruleTime(at), time.Duration(0)
	if !told.IsZero() {
		since = l.ruleTime(told)
	}
	l.rules.Attempt(now, l.recordOf(id), id, box, since)
}

// RecordRun records that a box runs a request. It returns false for a repetition that boxes drop:
// that of a keyed request whose effect is less than window ago.
func (l *Ledger) RecordRun(id, box string, effect Effect, window time.Duration, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rules.Ran(l.ruleTime(at), l.recordOf(id), id, box, effect, window)
}

// RecordAnswer records a request's final answer at its client.
func (l *Ledger) RecordAnswer(id, class string, o Outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recordOf(id)
	if !r.Answered() {
		if l.counts[class] == nil {
			l.counts[class] = new([rulecheck.Outcomes]int)
		}
		l.counts[class][o]++
	}
	l.rules.Answer(l.ruleTime(at), r, id, o, 0)
}

// RecordFall records that a cold box fell over from overload.
func (l *Ledger) RecordFall(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.FellOver(box)
}

// Report is the result of a ledger's checks.
type Report struct {
	rulecheck.Report
	Counts  map[string][]int // by class: served, refused, failed, lost
	Arrived int              // attempts that boxes received
}

// Report returns the results so far.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Report: l.rules.Report(), Counts: map[string][]int{}, Arrived: l.attempts}
	for class, c := range l.counts {
		r.Counts[class] = slices.Clone(c[:])
	}
	return r
}
