package sim

import (
	"fmt"
	"time"

	"otterstep/internal/core"
	"otterstep/policy"
)

// Ledger judges the four rules while requests run, from outside the nodes. It holds a
// record only for requests that are open or that a server may still begin, so its memory
// goes with what is in flight and not with what was.
type Ledger struct {
	engine  *Engine
	classes []policy.Class
	told    time.Duration // a drain is kept by so long after the node was told
	open    int
	broken  map[string]int
	first   string // the first breach, worded
}

// record is what the ledger knows of a request.
type record struct {
	id       uint64
	class    int
	deadline time.Duration
	ran      int // times that it may have had an effect
	answers  int
	refused  bool
}

func newLedger(e *Engine, classes []policy.Class) *Ledger {
	return &Ledger{engine: e, classes: classes, told: 500 * time.Millisecond, broken: map[string]int{}}
}

// begin opens a record. It lives on for as long as a server or an attempt may still add
// to it.
func (l *Ledger) begin(id uint64, class int, deadline time.Duration) *record {
	l.open++
	return &record{id: id, class: class, deadline: deadline}
}

// end closes a record: its client's time is up, or it has its answer. owed tells whether
// there had to be one.
func (l *Ledger) end(r *record, owed bool) {
	l.open--
	if owed && r.answers == 0 {
		l.breaks("a request without an answer", r)
	}
}

// ran is told by a server that begins a request.
func (l *Ledger) ran(r *record, s *Server) {
	if r == nil {
		return
	}
	r.ran++
	switch c := l.classes[r.class]; {
	case c.Effect == policy.Unsafe && r.ran > 1:
		l.breaks("an unsafe request ran twice", r)
	case r.refused && c.Effect == policy.Unsafe:
		l.breaks("a refused request ran", r)
	}
}

// answered is told by a client of each answer that comes.
func (l *Ledger) answered(r *record, kind core.Kind) {
	r.answers++
	switch {
	case r.answers > 1:
		l.breaks("a second answer", r)
	case l.engine.Now() > r.deadline:
		l.breaks("an answer after the deadline", r)
	}
	if kind == core.Refused {
		if r.refused = true; r.ran > 0 && l.classes[r.class].Effect == policy.Unsafe {
			l.breaks("a refused request had run", r)
		}
	}
}

// sent is told of each attempt when its first byte leaves the node: drained is when the
// node was told that the server drains, 0 if it wasn't.
func (l *Ledger) sent(r *record, drained time.Duration) {
	if drained > 0 && l.engine.Now() > drained+l.told {
		l.breaks("a new request after a drain", r)
	}
}

func (l *Ledger) breaks(rule string, r *record) {
	if l.broken[rule]++; l.first == "" {
		l.first = rule
		if r != nil {
			l.first = fmt.Sprintf("%s: request %d at %v", rule, r.id, l.engine.Now())
		}
	}
}
