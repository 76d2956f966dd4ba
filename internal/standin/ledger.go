package standin

import (
	"slices"
	"sync"
	"time"

	"otterstep/internal/ledger"
)

// Effect tells what a repeat of a request would do.
type Effect = ledger.Effect

// The effects of a class.
const (
	Safe   = ledger.Safe
	Keyed  = ledger.Keyed
	Unsafe = ledger.Unsafe
)

// Outcome is what a client got.
type Outcome = ledger.Outcome

// The outcomes of a request.
const (
	Served  = ledger.Served
	Refused = ledger.Refused
	Failed  = ledger.Failed
	Lost    = ledger.Lost // no whole answer in the client's time
)

const (
	// lateSend is how long after a request's final answer an attempt may still
	// arrive: it may have been on its way.
	lateSend = 500 * time.Millisecond
	// drainGrace is the rule's half second and what sockets get beyond it.
	drainGrace = 550 * time.Millisecond
)

// Ledger feeds the ledger of the four rules with what app boxes are sent and what clients
// are answered. It remembers a bounded number of requests, the latest ones. It is safe
// for concurrent use.
type Ledger struct {
	most int

	mu       sync.Mutex
	rules    *ledger.Ledger
	epoch    time.Time // of the rules' times
	requests map[string]*ledger.Record
	order    []string // a ring of the ids in requests
	next     int
	counts   map[string]*[ledger.Outcomes]int
	arrived  int // attempts
}

// NewLedger makes one that remembers up to most requests.
func NewLedger(most int) *Ledger {
	return &Ledger{
		most: most, rules: ledger.New(drainGrace, lateSend), requests: map[string]*ledger.Record{}, order: make([]string, 0, most),
		counts: map[string]*[ledger.Outcomes]int{},
	}
}

// of needs the lock.
func (l *Ledger) of(id string) *ledger.Record {
	r := l.requests[id]
	if r == nil {
		r = &ledger.Record{}
		l.requests[id] = r
		if len(l.order) < l.most {
			l.order = append(l.order, id)
		} else {
			delete(l.requests, l.order[l.next])
			l.order[l.next] = id
			l.next = (l.next + 1) % l.most
		}
	}
	return r
}

// since gives a time as the rules have it, from an hour on so that none is 0. It needs the
// lock.
func (l *Ledger) since(at time.Time) time.Duration {
	if l.epoch.IsZero() {
		l.epoch = at.Add(-time.Hour)
	}
	return at.Sub(l.epoch)
}

// Arrived notes an attempt that a box was sent. told, if not zero, is since when
// the nodes know that the box takes nothing new.
func (l *Ledger) Arrived(id, box string, at, told time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived++
	now, since := l.since(at), time.Duration(0)
	if !told.IsZero() {
		since = l.since(told)
	}
	l.rules.Attempt(now, l.of(id), id, box, since)
}

// Ran notes that a box runs a request. It is false for a repeat that boxes drop:
// of a keyed request whose effect is less than window ago.
func (l *Ledger) Ran(id, box string, effect Effect, window time.Duration, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rules.Ran(l.since(at), l.of(id), id, box, effect, window)
}

// Answered notes a request's final answer at its client.
func (l *Ledger) Answered(id, class string, o Outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.of(id)
	if !r.Answered() {
		if l.counts[class] == nil {
			l.counts[class] = new([ledger.Outcomes]int)
		}
		l.counts[class][o]++
	}
	l.rules.Answer(l.since(at), r, id, o, 0)
}

// Fell notes that a cold box was pushed over.
func (l *Ledger) Fell(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules.Fell(box)
}

// Report is a ledger's account.
type Report struct {
	ledger.Report
	Counts  map[string][]int // by class: served, refused, failed, lost
	Arrived int              // attempts that boxes were sent
}

// Report gives the account so far.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Report: l.rules.Report(), Counts: map[string][]int{}, Arrived: l.arrived}
	for class, c := range l.counts {
		r.Counts[class] = slices.Clone(c[:])
	}
	return r
}
