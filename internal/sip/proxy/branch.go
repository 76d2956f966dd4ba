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

// branch is a forwarded or generated request with its client transaction.
type branch struct {
	exchange           *exchange // nil for the Machine's own CANCEL and BYE requests
	key                string
	id                 string           // branch parameter of its Via
	request            *message.Message // as sent
	text               []byte
	vias               []message.Field // Vias of the received request
	to                 Peer
	server             uint64 // ID of the server that it is for; 0 for a caller
	machine            transaction.Machine
	timer              timer
	attempt            uint64 // the core's attempt that waits for its end; 0 if none
	transmissions      int    // how often the request was sent
	highestProvisional int    // highest provisional status code received
	final              int
	pending            bool // counted in exchange.pendingBranches
	endCounted         bool // its end was added to Counts.Ends
	abandoned          bool // see abandonBranch
	cancelSent         bool
	ack                []byte
	byeTags            []string // To tags of late 2xx whose dialogs were ended with BYE
}

// maxLateDialogs bounds how many late 2xx of one branch, from forks behind its server, are
// ended with BYE.
const maxLateDialogs = 16

// startBranch registers a branch and sends its request.
func (m *Machine) startBranch(now time.Duration, b *branch) {
	b.text = b.request.Encode()
	b.key = clientKey(b.request.Method, b.id)
	b.machine = transaction.NewClient(now, m.options.Timing, b.request.Method == message.Invite, b.to.Transport.Reliable())
	b.timer = timer{owner: b, index: -1}
	m.branches[b.key] = b
	if x := b.exchange; x != nil {
		x.branches = append(x.branches, b)
		x.pendingBranches++
		b.pending = true
	}
	m.transmit(b)
	m.setTimer(&b.timer, b.machine.Due())
}

func (m *Machine) transmit(b *branch) {
	b.transmissions++
	m.options.Host.Transmit(b.to, b.key, b.text)
}

func clientKey(method, id string) string { return method + " " + id }

// forwardTo forwards an exchange's request to a peer (RFC 3261 section 16.6). server is the
// peer's ID in the pool, used in the token if the request may start a dialog; 0 for a caller.
func (m *Machine) forwardTo(now time.Duration, x *exchange, to Peer, server uint64, attempt uint64) {
	q := x.request.Clone()
	hops := q.MaxForwards()
	if hops < 0 {
		hops = 71
	}
	q.Set("max-forwards", strconv.Itoa(hops-1))
	if mayStartDialog(q) {
		caller := token.ReturnPath{Transport: byte(x.from.Transport), Source: x.from.Addr, Port: x.from.Port}
		claims := token.Claims{Server: server, Caller: caller, Expires: m.options.WallTime(now).Add(m.options.TokenLifetime)}
		at, param := m.listenAddress(to.Transport)
		q.Push("record-route", fmt.Sprintf("<sip:%s@%s%s;lr>", m.options.Signer.Sign(claims, q.CallID, q.FromTag), at, param))
	}
	b := &branch{exchange: x, request: q, to: to, server: server, attempt: attempt, vias: viaFields(x.request)}
	m.pushVia(b, x.loopHash)
	if attempt != 0 {
		m.attempts[attempt] = b
	}
	m.startBranch(now, b)
}

// mayStartDialog reports whether a request may start a dialog (RFC 3261 section 12, RFC 6665,
// RFC 3515).
func mayStartDialog(q *message.Message) bool {
	return q.ToTag == "" && (q.Method == message.Invite || q.Method == message.Subscribe || q.Method == "REFER")
}

func viaFields(q *message.Message) (vias []message.Field) {
	for _, f := range q.Fields {
		if f.Name == "via" {
			vias = append(vias, f)
		}
	}
	return vias
}

// pushVia generates a branch's ID and adds the proxy's Via.
func (m *Machine) pushVia(b *branch, loop string) {
	var random [8]byte
	binary.BigEndian.PutUint64(random[:], m.rng.Uint64())
	b.id = magicCookie + hex.EncodeToString(random[:]) + "." + loop
	at, _ := m.listenAddress(b.to.Transport)
	b.request.Push("via", "SIP/2.0/"+b.to.Transport.String()+" "+at.String()+";branch="+b.id+";rport")
}

// listenAddress returns the listener address to announce to a transport's peers, with its
// URI parameter. If the transport has no listener, it returns that of another transport.
func (m *Machine) listenAddress(t Transport) (netip.AddrPort, string) {
	for _, t := range []Transport{t, TCP, UDP, TLS} {
		if at, ok := m.options.Listen[t]; ok {
			if t == UDP {
				return at, ""
			}
			return at, ";transport=" + strings.ToLower(t.String())
		}
	}
	return netip.AddrPort{}, ""
}

// Attempt forwards an exchange's request to the server that the core chose. It calls begin
// just before it sends, and sends nothing if begin returns false. Host.Finish follows for
// each attempt, unless Abandon comes first.
func (m *Machine) Attempt(now time.Duration, id, attempt, server uint64, to Peer, begin func() bool) {
	x := m.exchanges[id]
	if x == nil || x.final != 0 || x.cancelled || !begin() {
		m.options.Host.Finish(attempt, NotSent)
		return
	}
	m.forwardTo(now, x, to, server, attempt)
}

// Abandon ends an attempt that the core has given up. An INVITE is cancelled; a 2xx that
// still arrives is forwarded only if the caller has no final response yet.
func (m *Machine) Abandon(now time.Duration, attempt uint64) {
	if b := m.attempts[attempt]; b != nil {
		delete(m.attempts, attempt)
		b.attempt = 0
		m.abandonBranch(now, b)
	}
}

// Answer handles the core's result for a request that was submitted to it.
func (m *Machine) Answer(now time.Duration, id uint64, a Answer, retryAfter time.Duration) {
	x := m.exchanges[id]
	if x == nil {
		return
	}
	x.awaitingCore = false
	if x.final != 0 || x.cancelled {
		return
	}
	switch a {
	case AnswerRefused:
		if x.mayHaveRun() { // the core refuses what servers drop repeats of, but the caller's next request is none
			m.respondBest(now, x)
			return
		}
		m.countRefusal("no server")
		m.respondStatus(now, x, 503, max(retryAfter, m.options.RetryAfter))
	case AnswerFailed:
		m.respondBest(now, x)
	case AnswerOverdue:
		m.respondTimeout(now, x)
	case AnswerDuplicate:
		m.respondStatus(now, x, 482, 0)
	}
}

// Answer is the core's result for a request.
type Answer uint8

// The answers. For AnswerServed the response was sent before.
const (
	AnswerServed Answer = iota
	AnswerRefused
	AnswerFailed
	AnswerOverdue
	AnswerDuplicate
)

// fire implements timerOwner.
func (b *branch) fire(m *Machine, now time.Duration) {
	act := b.machine.Fire(now)
	if act&transaction.Transmit != 0 {
		m.transmit(b)
	}
	if act&transaction.TimedOut != 0 {
		m.failBranch(now, b, b.timeoutEnd())
	}
	m.rescheduleOrRemoveBranch(now, b)
}

// timeoutEnd returns the End of a branch that received no final response.
func (b *branch) timeoutEnd() End {
	switch {
	case b.highestProvisional > 100:
		return TimedOutRinging
	case b.highestProvisional > 0:
		return TimedOutAfterTrying
	}
	return NoResponse
}

// rescheduleOrRemoveBranch removes a branch whose transaction has terminated, and else resets
// its timer.
func (m *Machine) rescheduleOrRemoveBranch(now time.Duration, b *branch) {
	if b.machine.State() != transaction.Terminated {
		m.setTimer(&b.timer, b.machine.Due())
		return
	}
	m.setTimer(&b.timer, 0)
	if m.branches[b.key] == b {
		delete(m.branches, b.key)
	}
	if b.final == 0 {
		m.failBranch(now, b, b.timeoutEnd())
	}
}

// failBranch ends a branch that received no final response.
func (m *Machine) failBranch(now time.Duration, b *branch, e End) {
	m.reportEnd(b, e)
	if x := b.exchange; x != nil && b.clearPending() {
		m.branchFailed(now, x, e)
		m.rescheduleOrRemove(x)
	}
}

// reportEnd counts a branch's end and reports it to the core, at most once.
func (m *Machine) reportEnd(b *branch, e End) {
	if b.exchange != nil && !b.endCounted {
		b.endCounted = true
		m.counts.Ends[e.String()]++
	}
	if b.attempt != 0 {
		delete(m.attempts, b.attempt)
		m.options.Host.Finish(b.attempt, e)
		b.attempt = 0
	}
}

// clearPending removes a branch from its exchange's count of pending ones. It returns false
// if it was not counted.
func (b *branch) clearPending() bool {
	if !b.pending {
		return false
	}
	b.pending = false
	b.exchange.pendingBranches--
	return true
}

// abandonBranch stops waiting for a branch. An INVITE is cancelled as soon as the server has
// sent a provisional response (RFC 3261 section 9.1); any other transaction is dropped.
func (m *Machine) abandonBranch(now time.Duration, b *branch) {
	if b.final != 0 || b.abandoned || b.machine.State() == transaction.Terminated {
		return
	}
	b.abandoned = true
	if b.request.Method == message.Invite {
		b.machine.Abandon(now)
		m.setTimer(&b.timer, b.machine.Due())
		if b.highestProvisional > 0 {
			m.sendCancel(now, b)
		}
		return
	}
	b.machine.Fail()
	m.rescheduleOrRemoveBranch(now, b)
}

// sendCancel sends the CANCEL of a branch: a separate transaction with the INVITE's branch ID.
func (m *Machine) sendCancel(now time.Duration, b *branch) {
	if b.cancelSent {
		return
	}
	b.cancelSent = true
	c := &branch{request: b.hopRequest(message.Cancel), to: b.to, server: b.server, id: b.id}
	m.startBranch(now, c)
}

// hopRequest makes the CANCEL of a branch, or the ACK to its final response. These are
// hop-by-hop and have the INVITE's top Via (RFC 3261 sections 9.1 and 17.1.1.3).
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

// Response handles a response from a server.
func (m *Machine) Response(now time.Duration, r *message.Message) {
	b := m.branches[clientKey(r.CSeqMethod, r.Via.Branch)]
	if b == nil || r.CallID != b.request.CallID && b.request.CallID != "" {
		m.counts.Unmatched++
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
		m.options.Host.Transmit(b.to, "", b.ack)
	}
	if x := b.exchange; act&transaction.Deliver != 0 && x != nil {
		switch {
		case r.Code < 200:
			m.receiveProvisional(now, x, b, r)
		case r.Code < 300:
			m.receiveSuccess(now, x, b, r)
		default:
			m.receiveFailure(now, x, b, r)
		}
	}
	m.rescheduleOrRemoveBranch(now, b)
}

// receiveProvisional handles a 1xx response. One above 100 is forwarded while the caller has no
// final response.
func (m *Machine) receiveProvisional(now time.Duration, x *exchange, b *branch, r *message.Message) {
	b.highestProvisional = max(b.highestProvisional, r.Code)
	if b.abandoned {
		m.sendCancel(now, b)
	}
	if r.Code == 100 && b.attempt != 0 {
		m.options.Host.Accepted(b.attempt)
	}
	if r.Code == 100 || x.final != 0 || x.method != message.Invite {
		return
	}
	if b.attempt != 0 {
		m.options.Host.Started(b.attempt)
	}
	m.forwardResponse(now, x, b, r)
}

// receiveSuccess forwards a 2xx. If the INVITE already got a final response other than 2xx,
// the 2xx is too late and its dialog is ended.
func (m *Machine) receiveSuccess(now time.Duration, x *exchange, b *branch, r *message.Message) {
	first := b.final == 0
	b.final = r.Code
	if first {
		defer m.reportEnd(b, Success)
		b.clearPending()
	}
	if x.final == 0 || x.final/100 == 2 && x.method == message.Invite {
		m.forwardResponse(now, x, b, r)
	} else if x.method == message.Invite {
		m.terminateLateDialog(now, b, r)
	}
}

// receiveFailure handles a final response of 300 or above.
func (m *Machine) receiveFailure(now time.Duration, x *exchange, b *branch, r *message.Message) {
	b.final = r.Code
	e := endOf(r.Code)
	// Send the response before the core learns of the end, so that the core does not retry a
	// request that is already answered.
	defer m.reportEnd(b, e)
	b.clearPending()
	if x.final != 0 {
		return
	}
	if Outcomes[e].Final || x.inDialog && e != Unavailable {
		m.forwardResponse(now, x, b, r)
		return
	}
	if !x.cancelled {
		x.keepBest(b.restoreVias(r))
	}
	m.branchFailed(now, x, e)
}

// terminateLateDialog acknowledges a late 2xx and ends its dialog, with ACK and then BYE as
// RFC 3261 section 13.2.2.4 requires for an unwanted dialog.
func (m *Machine) terminateLateDialog(now time.Duration, b *branch, r *message.Message) {
	target, _ := r.Get("contact")
	contact, err := message.ParseAddress(target)
	if err != nil {
		contact.URI = b.request.URI
	}
	ack := m.newInDialogRequest(b, r, message.Ack, contact.URI)
	m.options.Host.Transmit(b.to, "", ack.request.Encode())
	if slices.Contains(b.byeTags, r.ToTag) || len(b.byeTags) >= maxLateDialogs {
		return // a retransmitted 2xx: its ACK was lost
	}
	b.byeTags = append(b.byeTags, r.ToTag)
	m.counts.LateSuccesses++
	m.startBranch(now, m.newInDialogRequest(b, r, message.Bye, contact.URI))
}

// newInDialogRequest makes a request in the dialog that a 2xx to a branch established.
func (m *Machine) newInDialogRequest(b *branch, r *message.Message, method, uri string) *branch {
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
	// The route set is the proxies between this one and the server: the Record-Routes above
	// this proxy's own, in reverse order.
	for _, hop := range r.All("record-route") {
		if a, err := message.ParseAddress(hop); err != nil || m.isOwnURI(a.URI) {
			break
		}
		q.Push("route", hop)
	}
	late := &branch{request: q, to: b.to, server: b.server}
	m.pushVia(late, m.loopHash(q))
	return late
}

// DeliveryFailed reports that a branch's request could not be delivered. id is the one passed to
// Host.Transmit. ran is false only if the server can't have received the whole request.
func (m *Machine) DeliveryFailed(now time.Duration, id string, ran bool) {
	b := m.branches[id]
	if b == nil || b.final != 0 {
		return
	}
	e := Refused
	if ran || b.highestProvisional > 0 || b.transmissions > 1 {
		e = Reset // an earlier transmission may have arrived
	}
	b.machine.Fail()
	m.failBranch(now, b, e)
	m.rescheduleOrRemoveBranch(now, b)
}

// ConnectionClosed reports that a connection was closed. Requests that were sent on it, or to its
// address without a specific connection, may have run but get no response.
func (m *Machine) ConnectionClosed(now time.Duration, conn uint64, addr netip.AddrPort) {
	var ended []string
	for key, b := range m.branches {
		if b.to.Transport.Reliable() && (b.to.Conn == conn || b.to.Conn == 0 && b.to.Addr == addr) {
			ended = append(ended, key)
		}
	}
	slices.Sort(ended)
	for _, key := range ended {
		m.DeliveryFailed(now, key, true)
	}
}
