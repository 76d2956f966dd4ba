package sim

import (
	"fmt"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/rulecheck"
	"otterstep/policy"
)

const (
	drainGrace = 500 * time.Millisecond // grace period in the rule on drains
	sendGrace  = 500 * time.Millisecond // grace period for attempts that cross their request's answer
)

// Checker reports the events of a World to the checks of package rulecheck. A record lives for as
// long as an attempt, a server or a client references it.
type Checker struct {
	*rulecheck.Checker
	engine  *Engine
	classes []policy.Class
	open    int
}

// record is the checker's state of one try.
type record struct {
	rulecheck.Record
	id       uint64
	class    int
	deadline time.Duration
}

func (r *record) name() string { return fmt.Sprint("request ", r.id) }

func newChecker(e *Engine, classes []policy.Class) *Checker {
	return &Checker{Checker: rulecheck.New(drainGrace, sendGrace), engine: e, classes: classes}
}

// openRecord opens a record.
func (l *Checker) openRecord(id uint64, class int, deadline time.Duration) *record {
	l.open++
	return &record{id: id, class: class, deadline: deadline}
}

// closeRecord closes a record: its deadline has passed, or it has its answer. owed says whether an
// answer was required.
func (l *Checker) closeRecord(r *record, owed bool) {
	l.open--
	if owed && !r.Answered() {
		l.Answer(l.engine.Now(), &r.Record, r.name(), rulecheck.Lost, 0)
	}
}

var effects = map[policy.Effect]rulecheck.Effect{policy.Safe: rulecheck.Safe, policy.Keyed: rulecheck.Keyed, policy.Unsafe: rulecheck.Unsafe}

// ran records that a server begins a request; it returns false for a repeat that servers drop.
func (l *Checker) ran(r *record, s *Server) bool {
	if r == nil {
		return true
	}
	c := l.classes[r.class]
	return l.Ran(l.engine.Now(), &r.Record, r.name(), s.opt.Addr, effects[c.Effect], c.Window)
}

// answered records an answer that has arrived at a client.
func (l *Checker) answered(r *record, kind core.Outcome) {
	o := rulecheck.Failed
	switch kind {
	case core.Served:
		o = rulecheck.Served
	case core.Refused:
		o = rulecheck.Refused
	}
	l.Answer(l.engine.Now(), &r.Record, r.name(), o, r.deadline)
}

// sent records an attempt whose first byte leaves the node. drained is when the node was told
// that the server drains; 0 if it was not.
func (l *Checker) sent(r *record, s *Server, drained time.Duration) {
	l.Attempt(l.engine.Now(), &r.Record, r.name(), s.opt.Addr, drained)
}
