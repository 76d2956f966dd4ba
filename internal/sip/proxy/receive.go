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

// magicCookie starts the branch IDs that follow RFC 3261 section 8.1.1.7.
const magicCookie = "z9hG4bK"

// Receive handles a message. err is the error of parsing it, in which case q may be nil.
func (m *Machine) Receive(now time.Duration, from Peer, q *message.Message, err error) {
	if err != nil {
		m.counts.Malformed++
		var e *message.Error
		if q != nil && errors.As(err, &e) && q.Answerable() {
			// The response echoes the sender's own From, To and similar fields only. These
			// contain no line breaks, so they can't inject fields.
			m.respondStateless(from, q, e.Code, e.Error())
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
			m.rescheduleOrRemove(x)
		} else if x == nil || x.final/100 == 2 {
			m.forwardAck(now, from, q)
		}
	case x != nil && x.method == q.Method:
		m.counts.Retransmissions++
		if x.server.Request()&transaction.Transmit != 0 {
			m.options.Host.Transmit(x.responseDest, "", x.lastResponse)
		}
	case q.Method == message.Cancel:
		m.receiveCancel(now, from, key, q)
	default:
		m.receiveRequest(now, from, key, q)
	}
}

// serverKey returns the key that matches a request to a server transaction (RFC 3261 section
// 17.2.3). An ACK has the key of its INVITE; a CANCEL has its own.
func serverKey(q *message.Message) string {
	method := q.Method
	if method == message.Ack {
		method = message.Invite
	}
	if strings.HasPrefix(q.Via.Branch, magicCookie) && len(q.Via.Branch) > len(magicCookie) {
		return method + " " + q.Via.SentBy() + " " + q.Via.Branch
	}
	// A client that follows RFC 2543. Its To tag differs between INVITE and ACK, so the key
	// leaves it out.
	via, _ := q.Get("via")
	return fmt.Sprintf("%s %q %q %q %d %q", method, q.URI, q.FromTag, q.CallID, q.CSeq, via)
}

// responseDest returns the destination for the responses to a request (RFC 3261 section
// 18.2.2, RFC 3581).
func responseDest(from Peer, via message.Via) Peer {
	if from.Transport == UDP && !via.Rport {
		from.Addr = netip.AddrPortFrom(from.Addr.Addr(), from.Port)
	}
	return from
}

// respondStateless responds without a transaction and keeps no state, so each retransmission
// is answered anew. why, if not empty, is sent in a Warning field.
func (m *Machine) respondStateless(from Peer, q *message.Message, code int, why string) {
	if q.Method == message.Ack {
		return
	}
	from.Port = q.Via.EffectivePort()
	m.setVia(from, q)
	r := q.Response(code, m.tag(serverKey(q)))
	if code == 503 {
		r.Set("retry-after", m.jitteredRetryAfter(m.options.RetryAfter))
	}
	if why != "" {
		r.Set("warning", fmt.Sprintf("399 otterstep %q", strings.ToValidUTF8(why, "?")))
	}
	m.counts.Finals[code]++
	m.options.Host.Transmit(responseDest(from, q.Via), "", r.Encode())
}

// countRefusal counts a refused request by cause.
func (m *Machine) countRefusal(cause string) { m.counts.Refused[cause]++ }

// setVia records a request's source address in its topmost Via.
func (m *Machine) setVia(from Peer, q *message.Message) { q.Set("via", q.Via.WithReceived(from.Addr)) }

// receiveCancel handles a CANCEL that is no retransmission (RFC 3261 section 9.2).
func (m *Machine) receiveCancel(now time.Duration, from Peer, key string, q *message.Message) {
	x := m.byKey[message.Invite+strings.TrimPrefix(key, message.Cancel)]
	if x == nil || x.from.Addr.Addr() != from.Addr.Addr() {
		m.respondStateless(from, q, 481, "")
		return
	}
	if len(m.exchanges) >= m.options.Limits.Transactions || !m.options.Memory.Reserve(answeredBytes) {
		m.respondStateless(from, q, 200, "") // the table is full, so retransmissions are answered statelessly
	} else {
		m.setVia(from, q)
		c := m.newExchange(now, key, q, from, responseDest(from, q.Via))
		c.reserved = answeredBytes
		m.respondStatus(now, c, 200, 0)
	}
	m.cancel(now, x)
}

// receiveRequest validates a new request other than ACK and CANCEL (RFC 3261 section 16.3).
func (m *Machine) receiveRequest(now time.Duration, from Peer, key string, q *message.Message) {
	loop := m.loopHash(q)
	hops := q.MaxForwards()
	switch require, _ := q.Get("proxy-require"); {
	case m.isForProxy(q):
		m.answerOptions(from, q)
		return
	case hops == 0:
		m.countRefusal("too many hops")
		m.respondStateless(from, q, 483, "")
		return
	case m.isLooped(q, loop):
		m.countRefusal("loop")
		m.respondStateless(from, q, 482, "")
		return
	case require != "":
		m.countRefusal("proxy-require")
		m.rejectExtensions(from, q, require)
		return
	}
	m.setVia(from, q)
	user := m.removeOwnRoutes(q)
	if q.ToTag == "" {
		m.receiveOutsideDialog(now, from, key, loop, q)
	} else {
		m.receiveInDialog(now, from, key, loop, user, q)
	}
}

// isForProxy reports whether a request is an OPTIONS for the proxy itself (RFC 3261 section
// 11.2).
func (m *Machine) isForProxy(q *message.Message) bool {
	if q.Method != message.Options || q.ToTag != "" {
		return false
	}
	u, err := message.ParseURI(q.URI)
	return err == nil && u.User == "" && m.listensAt(u) || q.MaxForwards() == 0
}

// answerOptions responds 200 if the proxy accepts new requests, else 503.
func (m *Machine) answerOptions(from Peer, q *message.Message) {
	if m.draining || len(m.servers) == 0 {
		m.respondStateless(from, q, 503, "")
		return
	}
	m.respondStateless(from, q, 200, "")
}

// rejectExtensions responds 420 with the unsupported extensions (RFC 3261 section 16.3, item
// 5).
func (m *Machine) rejectExtensions(from Peer, q *message.Message, require string) {
	m.setVia(from, q)
	r := q.Response(420, m.tag(serverKey(q)))
	r.Set("unsupported", require)
	m.counts.Finals[420]++
	m.options.Host.Transmit(responseDest(from, q.Via), "", r.Encode())
}

// receiveOutsideDialog handles a request outside a dialog, which the core routes.
func (m *Machine) receiveOutsideDialog(now time.Duration, from Peer, key, loop string, q *message.Message) {
	source := sourcePrefix(from.Addr.Addr())
	cause := ""
	switch {
	case m.draining, m.closed:
		cause = "draining"
	case len(m.exchanges) >= m.options.Limits.Transactions-m.options.Limits.Transactions/4:
		cause = "transactions"
	case m.sources[source] >= m.options.Limits.PerSource:
		cause = "source"
	case !m.options.Memory.ReserveWithin(openBytes, newDialogsPart):
		cause = "memory"
	}
	if cause != "" {
		m.countRefusal(cause)
		m.respondStateless(from, q, 503, "")
		return
	}
	m.counts.Requests++
	x := m.newExchange(now, key, q, from, responseDest(from, q.Via))
	x.loopHash, x.source, x.awaitingCore, x.reserved = loop, source, true, openBytes
	m.sources[source]++
	if x.method == message.Invite {
		m.respondStatus(now, x, 100, 0)
	}
	m.submit(x)
}

func (m *Machine) submit(x *exchange) {
	x.awaitingCore = true
	m.options.Host.Submit(RoutingRequest{
		ID: x.id, Class: ClassOf(x.method), Name: x.key, Deadline: x.deadline,
		Key: m.hash(x.request.CallID, strconv.FormatUint(uint64(x.request.CSeq), 10)),
	})
}

// Ping sends an OPTIONS to a server that the core chooses. It gives an excluded server its
// trial request when callers send none that may serve as a trial. name must be unique.
func (m *Machine) Ping(now time.Duration, name string) {
	at, _ := m.listenAddress(UDP)
	q := &message.Message{Method: message.Options, URI: "sip:ping@" + at.Addr().String(), CallID: name, CSeq: 1, CSeqMethod: message.Options, FromTag: name}
	q.Fields = []message.Field{
		{Name: "from", Value: "<sip:ping@" + at.String() + ">;tag=" + name}, {Name: "to", Value: "<" + q.URI + ">"},
		{Name: "call-id", Value: name}, {Name: "cseq", Value: "1 " + message.Options},
	}
	x := m.newExchange(now, "", q, Peer{}, Peer{Transport: TCP})
	x.internal, x.key, x.loopHash = true, name, m.loopHash(q)
	m.submit(x)
}

// receiveInDialog handles a request inside a dialog, which its token routes.
func (m *Machine) receiveInDialog(now time.Duration, from Peer, key, loop, user string, q *message.Message) {
	to, server, code, cause := m.resolveToken(now, user, q)
	switch {
	case code != 0:
	case m.closed:
		code, cause = 503, "closed"
	case len(m.exchanges) >= m.options.Limits.Transactions:
		code, cause = 503, "transactions"
	case !m.options.Memory.Reserve(openBytes):
		code, cause = 503, "memory"
	}
	if cause == "closed" && !from.Transport.Reliable() {
		m.countRefusal(cause)
		return // as if lost: the retransmission reaches the node's next process
	}
	if code != 0 {
		m.countRefusal(cause)
		m.respondStateless(from, q, code, "")
		return
	}
	m.counts.InDialog++
	if q.Method == message.Bye {
		m.counts.Byes++
	}
	x := m.newExchange(now, key, q, from, responseDest(from, q.Via))
	x.loopHash, x.inDialog, x.reserved = loop, true, openBytes
	if x.method == message.Invite {
		m.respondStatus(now, x, 100, 0)
	}
	m.forwardTo(now, x, to, server, 0)
}

// resolveToken returns the destination of a request inside a dialog, with the ID of its server or
// 0 for a caller; or the status code and cause of a refusal.
func (m *Machine) resolveToken(now time.Duration, user string, q *message.Message) (to Peer, server uint64, code int, cause string) {
	if user == "" {
		return Peer{}, 0, 481, "no token"
	}
	toCaller := false
	wall := m.options.WallTime(now)
	claims, err := m.options.Signer.Verify(user, q.CallID, q.FromTag, wall)
	if errors.Is(err, token.ErrForged) && q.ToTag != "" {
		claims, err = m.options.Signer.Verify(user, q.CallID, q.ToTag, wall)
		toCaller = true
	}
	switch {
	case errors.Is(err, token.ErrExpired):
		return Peer{}, 0, 481, "old token"
	case err != nil:
		return Peer{}, 0, 403, "forged token"
	case toCaller:
		c := claims.Caller
		return Peer{Transport: Transport(c.Transport), Addr: c.Source, Port: c.Port}, 0, 0, ""
	}
	to, ok := m.servers[claims.Server]
	switch {
	case !ok && !m.hasServerList:
		return Peer{}, 0, 503, "no list"
	case !ok:
		return Peer{}, 0, 481, "server gone"
	}
	return to, claims.Server, 0, ""
}

// forwardAck forwards the ACK to a 2xx, which has no transaction.
func (m *Machine) forwardAck(now time.Duration, from Peer, q *message.Message) {
	loop := m.loopHash(q)
	if q.MaxForwards() == 0 || m.isLooped(q, loop) {
		m.counts.Unmatched++
		return
	}
	m.setVia(from, q)
	to, _, code, _ := m.resolveToken(now, m.removeOwnRoutes(q), q)
	if code != 0 {
		m.counts.Unmatched++
		return
	}
	hops := q.MaxForwards()
	if hops < 0 {
		hops = 71
	}
	q.Set("max-forwards", strconv.Itoa(hops-1))
	b := &branch{request: q, to: to}
	m.pushVia(b, loop)
	m.options.Host.Transmit(to, "", q.Encode())
}

// removeOwnRoutes removes this proxy's entries from the top of the route set (RFC 3261
// section 16.4). It returns the token that they contained, or "".
func (m *Machine) removeOwnRoutes(q *message.Message) (user string) {
	if u, err := message.ParseURI(q.URI); err == nil && token.HasPrefix(u.User) && m.listensAt(u) {
		// The previous hop is a strict router, so the last Route holds the target.
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
		if err != nil || !m.isOwnURI(a.URI) {
			return user
		}
		if u, _ := message.ParseURI(a.URI); user == "" && token.HasPrefix(u.User) {
			user = u.User
		}
		q.Pop("route")
	}
}

// isOwnURI reports whether a URI leads to this proxy or holds a token.
func (m *Machine) isOwnURI(uri string) bool {
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
	for _, at := range m.options.Listen {
		if at.Addr().Unmap() == addr.Unmap() && int(at.Port()) == port {
			return true
		}
	}
	return false
}

// loopHash hashes all that determines a request's route (RFC 3261 section 16.6, item 8). A
// request that returns with the same hash is looped; with a different hash it is a spiral.
func (m *Machine) loopHash(q *message.Message) string {
	h := fnv.New32a()
	for _, part := range append([]string{q.URI, q.FromTag, q.ToTag, q.CallID, strconv.FormatUint(uint64(q.CSeq), 10), q.Method}, q.All("route")...) {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return strconv.FormatUint(uint64(h.Sum32()), 36)
}

// isLooped reports whether a request passed through this proxy before with the same hash.
func (m *Machine) isLooped(q *message.Message, loop string) bool {
	for _, value := range q.All("via") {
		v, err := message.ParseVia(value)
		if err != nil || !strings.HasSuffix(v.Branch, "."+loop) {
			continue
		}
		for _, at := range m.options.Listen {
			if v.Host == at.Addr().String() && v.Port == int(at.Port()) {
				return true
			}
		}
	}
	return false
}

// sourcePrefix returns the prefix that a source's limit applies to: an IPv4 address or an
// IPv6 /64, since one client usually controls a whole /64.
func sourcePrefix(a netip.Addr) netip.Addr {
	a = a.Unmap()
	if a.Is4() {
		return a
	}
	p, _ := a.Prefix(64) // can't fail for an IPv6 address
	return p.Addr()
}

func (m *Machine) hash(parts ...string) uint64 {
	var h maphash.Hash
	h.SetSeed(m.hashSeed)
	for _, p := range parts {
		h.WriteString(p)
		h.WriteByte(0)
	}
	return h.Sum64()
}
