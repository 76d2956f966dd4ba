package sim

import (
	"fmt"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/ledger"
	"otterstep/policy"
)

const (
	drainGrace = 500 * time.Millisecond // the rule's
	lateSend   = 500 * time.Millisecond // an attempt that crosses its request's answer
)

// Ledger feeds the ledger of the four rules with what happens in a World. A record lives
// for as long as an attempt, a server or a client holds it.
type Ledger struct {
	*ledger.Ledger
	engine  *Engine
	classes []policy.Class
	open    int
}

// record is what the ledger knows of a try.
type record struct {
	ledger.Record
	id       uint64
	class    int
	deadline time.Duration
}

func (r *record) name() string { return fmt.Sprint("request ", r.id) }

func newLedger(e *Engine, classes []policy.Class) *Ledger {
	return &Ledger{Ledger: ledger.New(drainGrace, lateSend), engine: e, classes: classes}
}

// begin opens a record.
func (l *Ledger) begin(id uint64, class int, deadline time.Duration) *record {
	l.open++
	return &record{id: id, class: class, deadline: deadline}
}

// end closes a record: its client's time is up, or it has its answer. owed tells whether
// there had to be one.
func (l *Ledger) end(r *record, owed bool) {
	l.open--
	if owed && !r.Answered() {
		l.Answer(l.engine.Now(), &r.Record, r.name(), ledger.Lost, 0)
	}
}

var effects = map[policy.Effect]ledger.Effect{policy.Safe: ledger.Safe, policy.Keyed: ledger.Keyed, policy.Unsafe: ledger.Unsafe}

// ran is told by a server that begins a request; false for a repeat that servers drop.
func (l *Ledger) ran(r *record, s *Server) bool {
	if r == nil {
		return true
	}
	c := l.classes[r.class]
	return l.Ran(l.engine.Now(), &r.Record, r.name(), s.opt.Addr, effects[c.Effect], c.Window)
}

// answered is told by a client of each answer that comes.
func (l *Ledger) answered(r *record, kind core.Kind) {
	o := ledger.Failed
	switch kind {
	case core.Served:
		o = ledger.Served
	case core.Refused:
		o = ledger.Refused
	}
	l.Answer(l.engine.Now(), &r.Record, r.name(), o, r.deadline)
}

// sent is told of each attempt when its first byte leaves the node: drained is when the
// node was told that the server drains, 0 if it wasn't.
func (l *Ledger) sent(r *record, s *Server, drained time.Duration) {
	l.Attempt(l.engine.Now(), &r.Record, r.name(), s.opt.Addr, drained)
}
