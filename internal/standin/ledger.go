package standin

import (
	"fmt"
	"slices"
	"sync"
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
	outcomes
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "lost"}[o] }

const (
	// lateSend is how long after a request's final answer an attempt may still
	// arrive: it may have been on its way.
	lateSend = 500 * time.Millisecond
	// drainGrace is the rule's half second and what sockets get beyond it.
	drainGrace = 550 * time.Millisecond
	brokenMost = 100 // broken rules that are kept word for word
)

// Ledger sees what app boxes are sent and what clients are answered, and says
// which of the four rules broke. It remembers a bounded number of requests, the
// latest ones. It is safe for concurrent use.
type Ledger struct {
	most int

	mu       sync.Mutex
	requests map[string]*record
	order    []string // a ring of the ids in requests
	next     int
	broken   []string
	breaks   int
	counts   map[string]*[outcomes]int
	repeats  int // keyed repeats that boxes dropped
	arrived  int // attempts
}

type record struct {
	effect     Effect
	ran        int // effects
	keyed      time.Time
	answered   bool
	answeredAt time.Time
	outcome    Outcome
}

// NewLedger makes one that remembers up to most requests.
func NewLedger(most int) *Ledger {
	return &Ledger{
		most: most, requests: map[string]*record{}, order: make([]string, 0, most),
		counts: map[string]*[outcomes]int{},
	}
}

// of needs the lock.
func (l *Ledger) of(id string) *record {
	r := l.requests[id]
	if r == nil {
		r = &record{}
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

// breakRule needs the lock.
func (l *Ledger) breakRule(format string, args ...any) {
	if l.breaks++; len(l.broken) < brokenMost {
		l.broken = append(l.broken, fmt.Sprintf(format, args...))
	}
}

// Arrived notes an attempt that a box was sent. told, if not zero, is since when
// the nodes know that the box takes nothing new.
func (l *Ledger) Arrived(id, box string, at, told time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived++
	r := l.of(id)
	if r.answered && at.Sub(r.answeredAt) > lateSend {
		l.breakRule("no request is lost: %s went to %s %v after its final answer", id, box, at.Sub(r.answeredAt))
	}
	if !told.IsZero() && at.Sub(told) > drainGrace {
		l.breakRule("drains are kept: %s went to %s %v after its drain was told", id, box, at.Sub(told))
	}
}

// Ran notes that a box runs a request. It is false for a repeat that boxes drop:
// of a keyed request whose effect is less than window ago.
func (l *Ledger) Ran(id, box string, effect Effect, window time.Duration, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.of(id)
	r.effect = effect
	if effect == Keyed && r.ran > 0 && at.Sub(r.keyed) < window {
		l.repeats++
		return false
	}
	r.ran++
	r.keyed = at
	if effect != Safe && r.ran > 1 {
		l.breakRule("no effect happens twice: %s ran %d times, last at %s", id, r.ran, box)
	}
	l.promise(id, r)
	return true
}

// promise checks a refusal's: trying again is harmless. It needs the lock.
func (l *Ledger) promise(id string, r *record) {
	if r.answered && r.outcome == Refused && r.effect == Unsafe && r.ran > 0 {
		l.breakRule("no effect happens twice: %s was refused and has run", id)
	}
}

// Answered notes a request's final answer at its client.
func (l *Ledger) Answered(id, class string, o Outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.of(id)
	if r.answered {
		l.breakRule("no request is lost: %s was answered twice, %v and %v", id, r.outcome, o)
		return
	}
	r.answered, r.answeredAt, r.outcome = true, at, o
	if o == Lost {
		l.breakRule("no request is lost: %s of %s had no whole answer in time", id, class)
	}
	l.promise(id, r)
	if l.counts[class] == nil {
		l.counts[class] = new([outcomes]int)
	}
	l.counts[class][o]++
}

// Fell notes that a cold box was pushed over.
func (l *Ledger) Fell(box string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakRule("no cold server is pushed over: %s fell", box)
}

// Report is a ledger's account.
type Report struct {
	Counts  map[string][]int // by class: served, refused, failed, lost
	Repeats int              // keyed repeats that boxes dropped
	Arrived int              // attempts that boxes were sent
	Breaks  int              // broken rules
	Broken  []string         // the first of them, in words
}

// Report gives the account so far.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Report{Counts: map[string][]int{}, Repeats: l.repeats, Arrived: l.arrived, Breaks: l.breaks, Broken: slices.Clone(l.broken)}
	for class, c := range l.counts {
		r.Counts[class] = slices.Clone(c[:])
	}
	return r
}
