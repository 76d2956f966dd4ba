package proxy

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterstep/internal/sip/message"
	"otterstep/internal/sip/token"
	"otterstep/internal/sip/transaction"
)

// branch is a request sent on, with its client transaction.
type branch struct {
	exchange *exchange // nil for requests of the Machine's own: CANCEL, BYE
	key      string
	id       string           // of Via
	request  *message.Message // as it was sent
	text     []byte
	vias     []message.Field // the caller's
	to       Peer
	machine  transaction.Machine
	timer    timer
	attempt  uint64 // the core waits for its end; 0 if not
	sent     int    // datagrams or writes
	heard    int    // highest provisional code
	final    int
	counted  bool // in the exchange's open
	told     bool // its end is among the counts
	given    bool // up: see giveUp
	cancels  bool // CANCEL was sent
	ack      []byte
	ended    []string // To tags of late 2xx that were ended with BYE
}

// endedMost bounds the late 2xx of one branch that are ended: forks behind one server.
const endedMost = 16

// send puts a branch on the books and its request on the wire.
func (m *Machine) send(now time.Duration, b *branch) {
	b.text = b.request.Encode()
	b.key = clientKey(b.request.Method, b.id)
	b.machine = transaction.NewClient(now, m.o.Timing, b.request.Method == message.Invite, b.to.Transport.Reliable())
	b.timer = timer{owner: b, index: -1}
	m.branches[b.key] = b
	if x := b.exchange; x != nil {
		x.branches = append(x.branches, b)
		x.open++
		b.counted = true
	}
	m.transmit(b)
	m.set(&b.timer, b.machine.Due())
}

func (m *Machine) transmit(b *branch) {
	b.sent++
	m.o.Host.Transmit(b.to, b.key, b.text)
}

func clientKey(method, id string) string { return method + " " + id }

// forwardTo makes the branch that carries an exchange's request to a peer (RFC 3261
// section 16.6). server is the pool's id of it if this begins a dialog.
func (m *Machine) forwardTo(now time.Duration, x *exchange, to Peer, server uint64, attempt uint64) {
	q := x.request.Clone()
	hops := q.MaxForwards()
	if hops < 0 {
		hops = 71
	}
	q.Set("max-forwards", strconv.Itoa(hops-1))
	if begins(q) {
		caller := token.ReturnPath{Transport: byte(x.from.Transport), Source: x.from.Addr, Port: x.from.Port}
		pin := token.Claims{Server: server, Caller: caller, Expires: m.o.Wall(now).Add(m.o.DialogFor)}
		at, param := m.address(to.Transport)
		q.Push("record-route", fmt.Sprintf("<sip:%s@%s%s;lr>", m.o.Sealer.Sign(pin, q.CallID, q.FromTag), at, param))
	}
	b := &branch{exchange: x, request: q, to: to, attempt: attempt, vias: viasOf(x.request)}
	m.push(b, x.loop)
	if attempt != 0 {
		m.attempts[attempt] = b
	}
	m.send(now, b)
}

// begins tells the requests that may begin a dialog (RFC 3261 section 12, RFC 6665, RFC 3515).
func begins(q *message.Message) bool {
	return q.ToTag == "" && (q.Method == message.Invite || q.Method == message.Subscribe || q.Method == "REFER")
}

func viasOf(q *message.Message) (vias []message.Field) {
	for _, f := range q.Fields {
		if f.Name == "via" {
			vias = append(vias, f)
		}
	}
	return vias
}

// push gives a branch its id and Via.
func (m *Machine) push(b *branch, loop string) {
	var random [8]byte
	binary.BigEndian.PutUint64(random[:], m.rng.Uint64())
	b.id = cookie + hex.EncodeToString(random[:]) + "." + loop
	at, _ := m.address(b.to.Transport)
	b.request.Push("via", "SIP/2.0/"+b.to.Transport.String()+" "+at.String()+";branch="+b.id+";rport")
}

// address gives the listener that a transport's peers are told of, with the URI
// parameter that goes with it; where that transport has none, another one's.
func (m *Machine) address(t Transport) (netip.AddrPort, string) {
	for _, t := range []Transport{t, TCP, UDP, TLS} {
		if at, ok := m.o.Listen[t]; ok {
			if t == UDP {
				return at, ""
			}
			return at, ";transport=" + strings.ToLower(t.String())
		}
	}
	return netip.AddrPort{}, ""
}

// Attempt is the core's word to try an exchange at a server. begin is asked right
// before the first byte. It is always followed by Finish for the attempt, unless
// Abandon comes first.
func (m *Machine) Attempt(now time.Duration, id, attempt, server uint64, to Peer, begin func() bool) {
	x := m.exchanges[id]
	if x == nil || x.final != 0 || x.cancelled || !begin() {
		m.o.Host.Finish(attempt, Unsent)
		return
	}
	m.forwardTo(now, x, to, server, attempt)
}

// Abandon is the core's word that it gave an attempt up. A call that may ring is
// cancelled; a 2xx that still comes is passed on only if the caller has no final yet.
func (m *Machine) Abandon(now time.Duration, attempt uint64) {
	if b := m.attempts[attempt]; b != nil {
		delete(m.attempts, attempt)
		b.attempt = 0
		m.giveUp(now, b)
	}
}

// Answer is the core's final word on an exchange that it was asked for.
func (m *Machine) Answer(now time.Duration, id uint64, a Answer, retryAfter time.Duration) {
	x := m.exchanges[id]
	if x == nil {
		return
	}
	x.asked = false
	if x.final != 0 || x.cancelled {
		return
	}
	switch a {
	case AnswerRefused:
		if x.best != nil && x.best.Code != 503 { // it may be repeated, and here is what servers say
			m.conclude(now, x)
			return
		}
		m.refused("no server")
		m.respondWith(now, x, 503, max(retryAfter, m.o.RetryAfter))
	case AnswerFailed:
		m.conclude(now, x)
	case AnswerOverdue:
		m.overdue(now, x)
	case AnswerDuplicate:
		m.respondWith(now, x, 482, 0)
	}
}

// Answer is how the core ended a request.
type Answer uint8

// The answers; what was served has been responded to by then.
const (
	AnswerServed Answer = iota
	AnswerRefused
	AnswerFailed
	AnswerOverdue
	AnswerDuplicate
)

// fire implements owed.
func (b *branch) fire(m *Machine, now time.Duration) {
	act := b.machine.Fire(now)
	if act&transaction.Transmit != 0 {
		m.transmit(b)
	}
	if act&transaction.TimedOut != 0 {
		m.lost(now, b, b.silence())
	}
	m.tidy(now, b)
}

// silence names the end of a branch that brings nothing more.
func (b *branch) silence() End {
	switch {
	case b.heard > 100:
		return RangOut
	case b.heard > 0:
		return Stalled
	}
	return Silent
}

// tidy forgets a branch that is over; else it sets its timer anew.
func (m *Machine) tidy(now time.Duration, b *branch) {
	if b.machine.State() != transaction.Terminated {
		m.set(&b.timer, b.machine.Due())
		return
	}
	m.set(&b.timer, 0)
	if m.branches[b.key] == b {
		delete(m.branches, b.key)
	}
	if b.final == 0 {
		m.lost(now, b, b.silence())
	}
}

// lost ends a branch that brings no final response.
func (m *Machine) lost(now time.Duration, b *branch, e End) {
	m.finish(b, e)
	if x := b.exchange; x != nil && b.uncount() {
		m.over(now, x, e)
		m.settle(x)
	}
}

// finish tells the core of a branch's end, once.
func (m *Machine) finish(b *branch, e End) {
	if b.exchange != nil && !b.told {
		b.told = true
		m.counts.Ends[e.String()]++
	}
	if b.attempt != 0 {
		delete(m.attempts, b.attempt)
		m.o.Host.Finish(b.attempt, e)
		b.attempt = 0
	}
}

// uncount takes a branch off its exchange's open ones; false if it was off already.
func (b *branch) uncount() bool {
	if !b.counted {
		return false
	}
	b.counted = false
	b.exchange.open--
	return true
}

// giveUp ends the wait for a branch from this side. An INVITE is cancelled, as soon as
// the server has let hear of itself (RFC 3261 section 9.1); anything else is let go.
func (m *Machine) giveUp(now time.Duration, b *branch) {
	if b.final != 0 || b.given || b.machine.State() == transaction.Terminated {
		return
	}
	b.given = true
	if b.request.Method == message.Invite {
		b.machine.Abandon(now)
		m.set(&b.timer, b.machine.Due())
		if b.heard > 0 {
			m.sendCancel(now, b)
		}
		return
	}
	b.machine.Fail()
	m.tidy(now, b)
}

// sendCancel sends the CANCEL of a branch: a transaction of its own with the INVITE's
// branch id.
func (m *Machine) sendCancel(now time.Duration, b *branch) {
	if b.cancels {
		return
	}
	b.cancels = true
	c := &branch{request: b.hopRequest(message.Cancel), to: b.to, id: b.id}
	m.send(now, c)
}

// hopRequest makes the CANCEL of a branch, or the ACK to its final response, which go
// one hop and have the INVITE's top Via (RFC 3261 sections 9.1 and 17.1.1.3).
func (b *branch) hopRequest(method string) *message.Message {
	q := &message.Message{Method: method, URI: b.request.URI}
	via, _ := b.request.Get("via")
	q.Fields = append(q.Fields, message.Field{Name: "via", Value: via})
	for _, f := range b.request.Fields {
		switch f.Name {
		case "from", "to", "call-id", "route":
			q.Fields = append(q.Fields, f)
		}
	}
	q.Set("max-forwards", "70")
	q.Set("cseq", strconv.FormatUint(uint64(b.request.CSeq), 10)+" "+method)
	return q
}

// Response takes a response in.
func (m *Machine) Response(now time.Duration, r *message.Message) {
	b := m.branches[clientKey(r.CSeqMethod, r.Via.Branch)]
	if b == nil || r.CallID != b.request.CallID && b.request.CallID != "" {
		m.counts.Stray++
		return
	}
	act := b.machine.Response(now, r.Code)
	if act&transaction.SendAck != 0 {
		if b.ack == nil {
			q := b.hopRequest(message.Ack)
			to, _ := r.Get("to")
			q.Set("to", to)
			b.ack = q.Encode()
		}
		m.o.Host.Transmit(b.to, "", b.ack)
	}
	if x := b.exchange; act&transaction.Deliver != 0 && x != nil {
		switch {
		case r.Code < 200:
			m.provisional(now, x, b, r)
		case r.Code < 300:
			m.succeeded(now, x, b, r)
		default:
			m.declined(now, x, b, r)
		}
	}
	m.tidy(now, b)
}

// provisional passes a 1xx over 100 on while the caller has no final response.
func (m *Machine) provisional(now time.Duration, x *exchange, b *branch, r *message.Message) {
	b.heard = max(b.heard, r.Code)
	if b.given {
		m.sendCancel(now, b)
	}
	if r.Code == 100 && b.attempt != 0 {
		m.o.Host.Taken(b.attempt)
	}
	if r.Code == 100 || x.final != 0 || x.method != message.Invite {
		return
	}
	if b.attempt != 0 {
		m.o.Host.Started(b.attempt)
	}
	m.forward(now, x, b, r)
}

// succeeded passes a 2xx on. To an INVITE that has another final response it comes too
// late: the dialog that it began is ended.
func (m *Machine) succeeded(now time.Duration, x *exchange, b *branch, r *message.Message) {
	first := b.final == 0
	b.final = r.Code
	if first {
		defer m.finish(b, Success)
		b.uncount()
	}
	if x.final == 0 || x.final/100 == 2 && x.method == message.Invite {
		m.forward(now, x, b, r)
	} else if x.method == message.Invite {
		m.endLate(now, b, r)
	}
}

// declined takes a final response over 299 in.
func (m *Machine) declined(now time.Duration, x *exchange, b *branch, r *message.Message) {
	b.final = r.Code
	e := endOf(r.Code)
	// The core must not try elsewhere what the server has settled, so the response
	// goes out before it hears of the end.
	defer m.finish(b, e)
	b.uncount()
	if x.final != 0 {
		return
	}
	if Outcomes[e].Final || x.pinned && e != Full {
		m.forward(now, x, b, r)
		return
	}
	if !x.cancelled && (x.best == nil || r.Code < x.best.Code) {
		x.best = b.own(r)
	}
	m.over(now, x, e)
}

// endLate acknowledges a 2xx that nobody waits for and ends its dialog (RFC 3261
// section 13.2.2.4: whoever accepts no dialog sends ACK, then BYE).
func (m *Machine) endLate(now time.Duration, b *branch, r *message.Message) {
	target, _ := r.Get("contact")
	contact, err := message.ParseAddress(target)
	if err != nil {
		contact.URI = b.request.URI
	}
	ack := m.inside(b, r, message.Ack, contact.URI)
	m.o.Host.Transmit(b.to, "", ack.request.Encode())
	if slices.Contains(b.ended, r.ToTag) || len(b.ended) >= endedMost {
		return // the 2xx again: its ACK was lost
	}
	b.ended = append(b.ended, r.ToTag)
	m.counts.Late++
	m.send(now, m.inside(b, r, message.Bye, contact.URI))
}

// inside makes a request in the dialog that a 2xx to a branch has begun.
func (m *Machine) inside(b *branch, r *message.Message, method, uri string) *branch {
	number := b.request.CSeq
	if method != message.Ack {
		number++
	}
	to, _ := r.Get("to")
	from, _ := b.request.Get("from")
	q := &message.Message{Method: method, URI: uri, CallID: b.request.CallID, CSeq: number, CSeqMethod: method}
	q.Fields = []message.Field{
		{Name: "max-forwards", Value: "70"}, {Name: "from", Value: from}, {Name: "to", Value: to},
		{Name: "call-id", Value: b.request.CallID}, {Name: "cseq", Value: strconv.FormatUint(uint64(number), 10) + " " + method},
	}
	// The route set is what stands between us and the server: the Record-Routes above
	// ours, backwards.
	for _, hop := range r.All("record-route") {
		if a, err := message.ParseAddress(hop); err != nil || m.ours(a.URI) {
			break
		}
		q.Push("route", hop)
	}
	late := &branch{request: q, to: b.to}
	m.push(late, m.loopHash(q))
	return late
}

// Failed tells that a message could not be delivered: the branch's request, by the id
// that Transmit was given. ran is false only where no part of it can have been read.
func (m *Machine) Failed(now time.Duration, id string, ran bool) {
	b := m.branches[id]
	if b == nil || b.final != 0 {
		return
	}
	e := Refused
	if ran || b.heard > 0 || b.sent > 1 {
		e = Reset // an earlier datagram may have arrived
	}
	b.machine.Fail()
	m.lost(now, b, e)
	m.tidy(now, b)
}

// Closed tells that a connection has ended: what was sent on it, or to its address on
// whichever there was, may have run and brings no response any more.
func (m *Machine) Closed(now time.Duration, conn uint64, addr netip.AddrPort) {
	var ended []string
	for key, b := range m.branches {
		if b.to.Transport.Reliable() && (b.to.Conn == conn || b.to.Conn == 0 && b.to.Addr == addr) {
			ended = append(ended, key)
		}
	}
	slices.Sort(ended)
	for _, key := range ended {
		m.Failed(now, key, true)
	}
}
