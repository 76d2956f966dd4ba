package proxy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"hash/maphash"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"otterstep/internal/sip/message"
	"otterstep/internal/sip/token"
	"otterstep/internal/sip/transaction"
)

// cookie marks branch ids by RFC 3261 section 8.1.1.7.
const cookie = "z9hG4bK"

// Receive takes a message in. err is what was wrong with it when it was read; q may be
// nil then.
func (m *Machine) Receive(now time.Duration, from Peer, q *message.Message, err error) {
	if err != nil {
		m.counts.Malformed++
		var e *message.Error
		if q != nil && errors.As(err, &e) && q.Answerable() {
			// Only the answer's From, To and so on are the sender's own words again; they
			// hold no line's end, so they can't do more harm there than with him.
			m.refuse(from, q, e.Code, e.Error())
		}
		return
	}
	if !q.IsRequest() {
		m.Response(now, q)
		return
	}
	from.Port = q.Via.EffectivePort()
	key := serverKey(q)
	x := m.byKey[key]
	switch {
	case q.Method == message.Ack:
		if x != nil && x.server.Ack(now) != 0 || x != nil && x.server.State() == transaction.Confirmed {
			m.settle(x)
		} else if x == nil || x.final/100 == 2 {
			m.ack(now, from, q)
		}
	case x != nil && x.method == q.Method:
		m.counts.Repeats++
		if x.server.Request()&transaction.Transmit != 0 {
			m.o.Host.Transmit(x.way, "", x.last)
		}
	case q.Method == message.Cancel:
		m.receiveCancel(now, from, key, q)
	default:
		m.request(now, from, key, q)
	}
}

// serverKey names a server transaction (RFC 3261 section 17.2.3). An ACK has its
// INVITE's; a CANCEL one of its own.
func serverKey(q *message.Message) string {
	method := q.Method
	if method == message.Ack {
		method = message.Invite
	}
	if strings.HasPrefix(q.Via.Branch, cookie) && len(q.Via.Branch) > len(cookie) {
		return method + " " + q.Via.SentBy() + " " + q.Via.Branch
	}
	// A sender by RFC 2543. Its To tag differs between INVITE and ACK, so that is not
	// among what is compared.
	via, _ := q.Get("via")
	return fmt.Sprintf("%s %q %q %q %d %q", method, q.URI, q.FromTag, q.CallID, q.CSeq, via)
}

// way gives where the responses to a request go (RFC 3261 section 18.2.2, RFC 3581).
func way(from Peer, via message.Via) Peer {
	if from.Transport == UDP && !via.Rport {
		from.Addr = netip.AddrPortFrom(from.Addr.Addr(), from.Port)
	}
	return from
}

// refuse answers without a transaction: the same for each repeat, nothing is kept.
func (m *Machine) refuse(from Peer, q *message.Message, code int, why string) {
	if q.Method == message.Ack {
		return
	}
	from.Port = q.Via.EffectivePort()
	m.fixVia(from, q)
	r := q.Response(code, m.tag(serverKey(q)))
	if code == 503 {
		r.Set("retry-after", m.spread(m.o.RetryAfter))
	}
	if why != "" {
		r.Set("warning", fmt.Sprintf("399 otterstep %q", strings.ToValidUTF8(why, "?")))
	}
	m.counts.Finals[code]++
	m.o.Host.Transmit(way(from, q.Via), "", r.Encode())
}

// refused counts a refusal by its cause.
func (m *Machine) refused(cause string) { m.counts.Refused[cause]++ }

// fixVia notes in the topmost Via where a request really came from.
func (m *Machine) fixVia(from Peer, q *message.Message) { q.Set("via", q.Via.WithReceived(from.Addr)) }

// receiveCancel takes a CANCEL that is no repeat (RFC 3261 section 9.2).
func (m *Machine) receiveCancel(now time.Duration, from Peer, key string, q *message.Message) {
	x := m.byKey[message.Invite+strings.TrimPrefix(key, message.Cancel)]
	if x == nil || x.from.Addr.Addr() != from.Addr.Addr() {
		m.refuse(from, q, 481, "")
		return
	}
	if len(m.exchanges) >= m.o.Limits.Transactions {
		m.refuse(from, q, 200, "") // the table is full: the repeats are answered one by one
	} else {
		m.fixVia(from, q)
		c := m.newExchange(now, key, q, from, way(from, q.Via))
		m.respondWith(now, c, 200, 0)
	}
	m.cancel(now, x)
}

// request takes a new request but ACK and CANCEL (RFC 3261 section 16.3).
func (m *Machine) request(now time.Duration, from Peer, key string, q *message.Message) {
	loop := m.loopHash(q)
	hops := q.MaxForwards()
	switch require, _ := q.Get("proxy-require"); {
	case m.forUs(q):
		m.answerOptions(from, q)
		return
	case hops == 0:
		m.refused("too many hops")
		m.refuse(from, q, 483, "")
		return
	case m.looped(q, loop):
		m.refused("loop")
		m.refuse(from, q, 482, "")
		return
	case require != "":
		m.refused("proxy-require")
		m.unsupported(from, q, require)
		return
	}
	m.fixVia(from, q)
	user := m.takeRoutes(q)
	if q.ToTag == "" {
		m.outside(now, from, key, loop, q)
	} else {
		m.insideDialog(now, from, key, loop, user, q)
	}
}

// forUs tells an OPTIONS that asks the proxy itself (RFC 3261 section 11.2).
func (m *Machine) forUs(q *message.Message) bool {
	if q.Method != message.Options || q.ToTag != "" {
		return false
	}
	u, err := message.ParseURI(q.URI)
	return err == nil && u.User == "" && m.listensAt(u) || q.MaxForwards() == 0
}

// answerOptions tells whether the proxy serves.
func (m *Machine) answerOptions(from Peer, q *message.Message) {
	if m.draining || len(m.servers) == 0 {
		m.refuse(from, q, 503, "")
		return
	}
	m.refuse(from, q, 200, "")
}

// unsupported names the extensions that are not known (RFC 3261 section 16.3, item 5).
func (m *Machine) unsupported(from Peer, q *message.Message, require string) {
	m.fixVia(from, q)
	r := q.Response(420, m.tag(serverKey(q)))
	r.Set("unsupported", require)
	m.counts.Finals[420]++
	m.o.Host.Transmit(way(from, q.Via), "", r.Encode())
}

// outside takes a request outside a dialog: the core says where it goes.
func (m *Machine) outside(now time.Duration, from Peer, key, loop string, q *message.Message) {
	source := block(from.Addr.Addr())
	cause := ""
	switch {
	case m.draining:
		cause = "draining"
	case len(m.exchanges) >= m.o.Limits.Transactions-m.o.Limits.Transactions/4:
		cause = "transactions"
	case m.sources[source] >= m.o.Limits.PerSource:
		cause = "source"
	}
	if cause != "" {
		m.refused(cause)
		m.refuse(from, q, 503, "")
		return
	}
	m.counts.Requests++
	x := m.newExchange(now, key, q, from, way(from, q.Via))
	x.loop, x.source, x.asked = loop, source, true
	m.sources[source]++
	if x.method == message.Invite {
		m.respondWith(now, x, 100, 0)
	}
	m.submit(x)
}

func (m *Machine) submit(x *exchange) {
	x.asked = true
	m.o.Host.Submit(Ask{
		ID: x.id, Class: ClassOf(x.method), Name: x.key, Deadline: x.deadline,
		Key: m.hash(x.request.CallID, strconv.FormatUint(uint64(x.request.CSeq), 10)),
	})
}

// Ping asks a server of the core's choice for its OPTIONS, so that one that is out gets
// its trial where callers send nothing that may be tried. name must be new.
func (m *Machine) Ping(now time.Duration, name string) {
	at, _ := m.address(UDP)
	q := &message.Message{Method: message.Options, URI: "sip:ping@" + at.Addr().String(), CallID: name, CSeq: 1, CSeqMethod: message.Options, FromTag: name}
	q.Fields = []message.Field{
		{Name: "from", Value: "<sip:ping@" + at.String() + ">;tag=" + name}, {Name: "to", Value: "<" + q.URI + ">"},
		{Name: "call-id", Value: name}, {Name: "cseq", Value: "1 " + message.Options},
	}
	x := m.newExchange(now, "", q, Peer{}, Peer{Transport: TCP})
	x.own, x.key, x.loop = true, name, m.loopHash(q)
	m.submit(x)
}

// insideDialog takes a request inside a dialog: its token says where it goes.
func (m *Machine) insideDialog(now time.Duration, from Peer, key, loop, user string, q *message.Message) {
	to, _, code, cause := m.pinned(now, user, q)
	if code == 0 && len(m.exchanges) >= m.o.Limits.Transactions {
		code, cause = 503, "transactions"
	}
	if code != 0 {
		m.refused(cause)
		m.refuse(from, q, code, "")
		return
	}
	m.counts.Inside++
	if q.Method == message.Bye {
		m.counts.Byes++
	}
	x := m.newExchange(now, key, q, from, way(from, q.Via))
	x.loop, x.pinned = loop, true
	if x.method == message.Invite {
		m.respondWith(now, x, 100, 0)
	}
	m.forwardTo(now, x, to, 0, 0)
}

// pinned gives where a request inside a dialog goes, or the code and cause of a refusal.
func (m *Machine) pinned(now time.Duration, user string, q *message.Message) (to Peer, up bool, code int, cause string) {
	if user == "" {
		return Peer{}, false, 481, "no token"
	}
	wall := m.o.Wall(now)
	pin, err := m.o.Sealer.Verify(user, q.CallID, q.FromTag, wall)
	if errors.Is(err, token.ErrForged) && q.ToTag != "" {
		pin, err = m.o.Sealer.Verify(user, q.CallID, q.ToTag, wall)
		up = true
	}
	switch {
	case errors.Is(err, token.ErrExpired):
		return Peer{}, false, 481, "old token"
	case err != nil:
		return Peer{}, false, 403, "forged token"
	case up:
		c := pin.Caller
		return Peer{Transport: Transport(c.Transport), Addr: c.Source, Port: c.Port}, true, 0, ""
	}
	to, ok := m.servers[pin.Server]
	switch {
	case !ok && !m.listed:
		return Peer{}, false, 503, "no list"
	case !ok:
		return Peer{}, false, 481, "server gone"
	}
	return to, false, 0, ""
}

// ack passes the ACK to a 2xx on, which has no transaction.
func (m *Machine) ack(now time.Duration, from Peer, q *message.Message) {
	loop := m.loopHash(q)
	if q.MaxForwards() == 0 || m.looped(q, loop) {
		m.counts.Stray++
		return
	}
	m.fixVia(from, q)
	to, _, code, _ := m.pinned(now, m.takeRoutes(q), q)
	if code != 0 {
		m.counts.Stray++
		return
	}
	hops := q.MaxForwards()
	if hops < 0 {
		hops = 71
	}
	q.Set("max-forwards", strconv.Itoa(hops-1))
	b := &branch{request: q, to: to}
	m.push(b, loop)
	m.o.Host.Transmit(to, "", q.Encode())
}

// takeRoutes takes our own entries off the top of the route (RFC 3261 section 16.4) and
// gives the token that they held; "" for none.
func (m *Machine) takeRoutes(q *message.Message) (user string) {
	if u, err := message.ParseURI(q.URI); err == nil && token.HasPrefix(u.User) && m.listensAt(u) {
		// A strict router stands before us: the target is the last Route.
		if routes := q.All("route"); len(routes) > 0 {
			if last, err := message.ParseAddress(routes[len(routes)-1]); err == nil {
				user = u.User
				q.URI = last.URI
				q.Drop("route")
				for _, r := range routes[:len(routes)-1] {
					q.Fields = append(q.Fields, message.Field{Name: "route", Value: r})
				}
			}
		}
	}
	for {
		top, ok := q.Get("route")
		if !ok {
			return user
		}
		a, err := message.ParseAddress(top)
		if err != nil || !m.ours(a.URI) {
			return user
		}
		if u, _ := message.ParseURI(a.URI); user == "" && token.HasPrefix(u.User) {
			user = u.User
		}
		q.Pop("route")
	}
}

// ours tells a URI that leads to this proxy, or to any with its tokens.
func (m *Machine) ours(uri string) bool {
	u, err := message.ParseURI(uri)
	return err == nil && (token.HasPrefix(u.User) || m.listensAt(u))
}

func (m *Machine) listensAt(u message.URI) bool {
	addr, err := netip.ParseAddr(u.Host)
	if err != nil {
		return false
	}
	port := u.Port
	if port == 0 {
		port = 5060
	}
	for _, at := range m.o.Listen {
		if at.Addr().Unmap() == addr.Unmap() && int(at.Port()) == port {
			return true
		}
	}
	return false
}

// loopHash covers what decides where a request goes (RFC 3261 section 16.6, item 8): a
// request that comes back with the same one is in a loop, else it is in a spiral.
func (m *Machine) loopHash(q *message.Message) string {
	h := fnv.New32a()
	for _, part := range append([]string{q.URI, q.FromTag, q.ToTag, q.CallID, strconv.FormatUint(uint64(q.CSeq), 10), q.Method}, q.All("route")...) {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

// looped tells a request that has been here as it is now.
func (m *Machine) looped(q *message.Message, loop string) bool {
	for _, value := range q.All("via") {
		v, err := message.ParseVia(value)
		if err != nil || !strings.HasSuffix(v.Branch, "."+loop) {
			continue
		}
		for _, at := range m.o.Listen {
			if v.Host == at.Addr().String() && v.Port == int(at.Port()) {
				return true
			}
		}
	}
	return false
}

// block is what a source is bounded by: an IPv4 address or an IPv6 /64, as whoever has
// one of those has them all.
func block(a netip.Addr) netip.Addr {
	a = a.Unmap()
	if a.Is4() {
		return a
	}
	p, _ := a.Prefix(64) // of an IPv6 address there always is one
	return p.Addr()
}

func (m *Machine) hash(parts ...string) uint64 {
	var h maphash.Hash
	h.SetSeed(m.seed)
	for _, p := range parts {
		h.WriteString(p)
		h.WriteByte(0)
	}
	return h.Sum64()
}
