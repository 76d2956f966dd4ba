package proxy

import (
	"net/netip"
	"strconv"
	"time"

	"otterstep/internal/sip/message"
	"otterstep/internal/sip/transaction"
)

// exchange is a request with its server transaction, its attempts and its one final
// response: the response context of RFC 3261 section 16. Only the Machine touches it.
type exchange struct {
	id       uint64
	key      string
	method   string
	request  *message.Message // as it came, with Via completed and own Routes taken off; nil once it is not needed
	loop     string           // see loopHash
	from     Peer
	way      Peer       // where responses go
	source   netip.Addr // counted against the source's bound; zero if it isn't
	server   transaction.Machine
	last     []byte // the response that a retransmission is answered with
	timer    timer
	deadline time.Duration

	own       bool // a ping of the Machine's own: nobody gets its responses
	pinned    bool // inside a dialog: the core is not asked
	asked     bool // the core owes an answer
	cancelled bool
	final     int // the code that was sent; 0 so far
	best      *message.Message
	worst     End // of the latest attempt without a response, for the final's code
	failed    bool
	open      int // branches without a final response
	branches  []*branch
}

// newExchange puts a request on the books; now is when it came.
func (m *Machine) newExchange(now time.Duration, key string, q *message.Message, from, way Peer) *exchange {
	m.lastID++
	x := &exchange{
		id: m.lastID, key: key, method: q.Method, request: q, from: from, way: way,
		server:   transaction.NewServer(m.o.Timing, q.Method == message.Invite, way.Transport.Reliable()),
		deadline: now + m.o.Deadlines[ClassOf(q.Method)],
	}
	x.timer = timer{owner: x, index: -1}
	m.exchanges[x.id] = x
	if key != "" {
		m.byKey[key] = x
	}
	m.schedule(x)
	return x
}

// schedule sets the exchange's timer: its transaction's, and its deadline while it has
// no final response.
func (m *Machine) schedule(x *exchange) {
	due := x.server.Due()
	if x.own {
		due = 0
	}
	if x.final == 0 && (due == 0 || x.deadline < due) {
		due = x.deadline
	}
	m.set(&x.timer, due)
}

// fire implements owed.
func (x *exchange) fire(m *Machine, now time.Duration) {
	if x.final == 0 && now >= x.deadline {
		m.overdue(now, x)
	}
	if act := x.server.Fire(now); act&transaction.Transmit != 0 {
		m.o.Host.Transmit(x.way, "", x.last)
	}
	m.settle(x)
}

// overdue gives the final response that is due at the deadline, or after a CANCEL that
// no server heeded.
func (m *Machine) overdue(now time.Duration, x *exchange) {
	switch {
	case x.cancelled:
		m.respondWith(now, x, 487, 0)
	case x.method == message.Invite:
		m.respondWith(now, x, 408, 0)
	default:
		m.respondWith(now, x, 504, 0) // RFC 4320 section 4.2: no 408 here
	}
	m.leave(x)
}

// leave tells the core once that an answer is not needed any more.
func (m *Machine) leave(x *exchange) {
	if x.asked {
		x.asked = false
		m.o.Host.Leave(x.id)
	}
}

// settle forgets an exchange that is over; else it sets its timer anew.
func (m *Machine) settle(x *exchange) {
	ended := x.server.State() == transaction.Terminated || x.own && x.final != 0
	if !ended || x.open > 0 && x.final == 0 {
		m.schedule(x)
		return
	}
	m.set(&x.timer, 0)
	if m.exchanges[x.id] != x {
		return
	}
	delete(m.exchanges, x.id)
	if m.byKey[x.key] == x {
		delete(m.byKey, x.key)
	}
	m.release(x)
}

// release gives back the exchange's part of its source's bound.
func (m *Machine) release(x *exchange) {
	if !x.source.IsValid() {
		return
	}
	if m.sources[x.source]--; m.sources[x.source] <= 0 {
		delete(m.sources, x.source)
	}
	x.source = netip.Addr{}
}

// respondWith makes a response and sends it.
func (m *Machine) respondWith(now time.Duration, x *exchange, code int, retryAfter time.Duration) {
	if x.final != 0 {
		return
	}
	r := x.request.Response(code, m.tag(x.key))
	if retryAfter > 0 {
		r.Set("retry-after", m.spread(retryAfter))
	}
	m.respond(now, x, r)
}

// respond sends a response on, if the transaction allows it: the one place where a
// final response is given. What is still out then is cancelled.
func (m *Machine) respond(now time.Duration, x *exchange, r *message.Message) {
	if x.final != 0 && !(x.final/100 == 2 && r.Code/100 == 2 && x.method == message.Invite) {
		return
	}
	first := x.final == 0 && r.Code >= 200
	if x.own {
		if first {
			x.final = r.Code
		}
	} else {
		if x.server.Respond(now, r.Code)&transaction.Transmit == 0 {
			return
		}
		x.last = r.Encode()
		if first {
			x.final = r.Code
			m.counts.Finals[r.Code]++
			if r.Code/100 == 2 && x.method == message.Invite && !x.pinned {
				m.counts.Dialogs++
			}
		}
		m.o.Host.Transmit(x.way, "", x.last)
	}
	if first {
		x.best, x.request = nil, nil
		for _, b := range x.branches {
			m.giveUp(now, b)
		}
		x.branches = nil
	}
	m.settle(x)
}

// forward passes a server's response on.
func (m *Machine) forward(now time.Duration, x *exchange, b *branch, r *message.Message) {
	m.respond(now, x, b.own(r))
}

// own puts the caller's own Vias back into a server's response, whatever the server made
// of them.
func (b *branch) own(r *message.Message) *message.Message {
	r.Drop("via")
	r.Fields = append(append(make([]message.Field, 0, len(r.Fields)+len(b.vias)), b.vias...), r.Fields...)
	return r
}

// cancel is the caller's CANCEL (RFC 3261 section 16.10).
func (m *Machine) cancel(now time.Duration, x *exchange) {
	if x.final != 0 || x.cancelled || x.method != message.Invite {
		return
	}
	x.cancelled = true
	m.leave(x)
	for _, b := range x.branches {
		m.giveUp(now, b)
	}
	if x.open == 0 {
		m.respondWith(now, x, 487, 0)
		return
	}
	x.deadline = min(x.deadline, now+m.o.Timing.TransactionTimeout())
	m.schedule(x)
}

// over is told when a branch will bring no more, without its response being the final.
func (m *Machine) over(now time.Duration, x *exchange, e End) {
	x.failed, x.worst = true, e
	if x.final != 0 || x.open > 0 {
		return
	}
	switch {
	case x.cancelled:
		m.respondWith(now, x, 487, 0)
	case x.pinned:
		m.conclude(now, x)
	}
}

// conclude gives the final response of a request that nothing more will be tried for
// (RFC 3261 section 16.7, step 6).
func (m *Machine) conclude(now time.Duration, x *exchange) {
	silent := x.open > 0 || x.failed && Outcomes[x.worst].Ran && x.worst >= Silent
	switch {
	case x.best != nil && !silent:
		b := x.best
		x.best = nil
		m.respond(now, x, b)
	case silent || !x.failed:
		m.overdue(now, x)
	case x.pinned && x.worst == Refused:
		m.respondWith(now, x, 481, 0) // the process that knew the dialog is gone
	default:
		m.respondWith(now, x, 500, 0)
	}
}

// tag gives the To tag of responses of the Machine's own to a transaction: the same
// for each, also where none is on the books.
func (m *Machine) tag(key string) string {
	return "o" + strconv.FormatUint(m.hash(key), 36)
}

// spread gives a Retry-After in whole seconds, from d to twice as much.
func (m *Machine) spread(d time.Duration) string {
	d += time.Duration(m.rng.Int64N(int64(d) + 1))
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
