package proxy

import (
	"net/netip"
	"strconv"
	"time"

	"otterstep/internal/sip/message"
	"otterstep/internal/sip/transaction"
)

// exchange is a request with its server transaction, its branches and its one final
// response: the response context of RFC 3261 section 16.
type exchange struct {
	id           uint64
	key          string
	method       string
	request      *message.Message // as received, with Via completed and own Routes removed; nil after the final response
	loopHash     string           // see loopHash
	from         Peer
	responseDest Peer       // destination of responses
	source       netip.Addr // source whose limit it counts against; invalid if none
	reserved     int64      // bytes of Options.Memory
	server       transaction.Machine
	lastResponse []byte // the response to send again for a retransmission
	timer        timer
	deadline     time.Duration

	internal        bool // an OPTIONS ping by the Machine itself: its responses go nowhere
	inDialog        bool // routed by its token instead of by the core
	awaitingCore    bool // the core has yet to call Answer
	cancelled       bool
	final           int // status code of the final response; 0 if none was sent
	bestResponse    *message.Message
	lastFailure     End  // end of the last failed branch, for the choice of the final response
	failed          bool // a branch has failed
	failedMayRun    bool // a server may have processed the request of a failed branch
	pendingBranches int  // number of branches without a final response
	branches        []*branch
}

const (
	// openBytes is what a request without a final response holds, with its branches.
	openBytes = 14 << 10
	// answeredBytes is what is left of it while retransmissions may come.
	answeredBytes = 3 << 10
	// newDialogsPart is the part of the memory that requests outside dialogs leave to those inside.
	newDialogsPart = 0.75
)

// settle returns the memory that an exchange needs no longer.
func (m *Machine) settle(x *exchange, needs int64) {
	if x.reserved > needs {
		m.options.Memory.Release(x.reserved - needs)
		x.reserved = needs
	}
}

// newExchange registers a request that was received at now.
func (m *Machine) newExchange(now time.Duration, key string, q *message.Message, from, dest Peer) *exchange {
	m.lastID++
	x := &exchange{
		id: m.lastID, key: key, method: q.Method, request: q, from: from, responseDest: dest,
		server:   transaction.NewServer(m.options.Timing, q.Method == message.Invite, dest.Transport.Reliable()),
		deadline: now + m.options.Deadlines[ClassOf(q.Method)],
	}
	x.timer = timer{owner: x, index: -1}
	m.exchanges[x.id] = x
	if key != "" {
		m.byKey[key] = x
	}
	m.schedule(x)
	return x
}

// unanswered reports whether a request of a peer's still waits for its final response.
func (x *exchange) unanswered() bool { return x.final == 0 && !x.internal }

// schedule sets the exchange's timer to the transaction's next timer or, before a final
// response, to the deadline if that is earlier.
func (m *Machine) schedule(x *exchange) {
	due := x.server.Due()
	if x.internal {
		due = 0
	}
	if x.final == 0 && (due == 0 || x.deadline < due) {
		due = x.deadline
	}
	m.setTimer(&x.timer, due)
}

// fire implements timerOwner.
func (x *exchange) fire(m *Machine, now time.Duration) {
	if x.final == 0 && now >= x.deadline {
		m.respondTimeout(now, x)
	}
	if act := x.server.Fire(now); act&transaction.Transmit != 0 {
		m.options.Host.Transmit(x.responseDest, "", x.lastResponse)
	}
	m.rescheduleOrRemove(x)
}

// respondTimeout sends the final response at the deadline, or after a CANCEL to which no
// server reacted.
func (m *Machine) respondTimeout(now time.Duration, x *exchange) {
	switch {
	case x.cancelled:
		m.respondStatus(now, x, 487, 0)
	case x.method == message.Invite:
		m.respondStatus(now, x, 408, 0)
	default:
		m.respondStatus(now, x, 504, 0) // RFC 4320 section 4.2: no 408 here
	}
	m.withdraw(x)
}

// withdraw tells the core, at most once, that its answer is no longer needed.
func (m *Machine) withdraw(x *exchange) {
	if x.awaitingCore {
		x.awaitingCore = false
		m.options.Host.Withdraw(x.id)
	}
}

// rescheduleOrRemove removes an exchange that has ended, and else resets its timer.
func (m *Machine) rescheduleOrRemove(x *exchange) {
	ended := x.server.State() == transaction.Terminated || x.internal && x.final != 0
	if !ended || x.pendingBranches > 0 && x.final == 0 {
		m.schedule(x)
		return
	}
	m.setTimer(&x.timer, 0)
	if m.exchanges[x.id] != x {
		return
	}
	delete(m.exchanges, x.id)
	m.settle(x, 0)
	if m.byKey[x.key] == x {
		delete(m.byKey, x.key)
	}
	m.releaseSource(x)
}

// releaseSource removes the exchange from its source's count.
func (m *Machine) releaseSource(x *exchange) {
	if !x.source.IsValid() {
		return
	}
	if m.sources[x.source]--; m.sources[x.source] <= 0 {
		delete(m.sources, x.source)
	}
	x.source = netip.Addr{}
}

// respondStatus sends a response with a status code, and with Retry-After if retryAfter is
// positive.
func (m *Machine) respondStatus(now time.Duration, x *exchange, code int, retryAfter time.Duration) {
	if x.final != 0 {
		return
	}
	r := x.request.Response(code, m.tag(x.key))
	if retryAfter > 0 {
		r.Set("retry-after", m.jitteredRetryAfter(retryAfter))
	}
	m.respond(now, x, r)
}

// respond sends a response if the transaction allows it. All final responses of exchanges go
// through it. After the first one, branches that are still open are abandoned.
func (m *Machine) respond(now time.Duration, x *exchange, r *message.Message) {
	if x.final != 0 && !(x.final/100 == 2 && r.Code/100 == 2 && x.method == message.Invite) {
		return
	}
	first := x.final == 0 && r.Code >= 200
	if x.internal {
		if first {
			x.final = r.Code
		}
	} else {
		if x.server.Respond(now, r.Code)&transaction.Transmit == 0 {
			return
		}
		x.lastResponse = r.Encode()
		if first {
			x.final = r.Code
			m.counts.Finals[r.Code]++
			if r.Code/100 == 2 && x.method == message.Invite && !x.inDialog {
				m.counts.Dialogs++
			}
		}
		m.options.Host.Transmit(x.responseDest, "", x.lastResponse)
	}
	if first {
		m.settle(x, answeredBytes)
		x.bestResponse, x.request = nil, nil
		for _, b := range x.branches {
			m.abandonBranch(now, b)
		}
		x.branches = nil
	}
	m.rescheduleOrRemove(x)
}

// forwardResponse forwards a server's response to the caller.
func (m *Machine) forwardResponse(now time.Duration, x *exchange, b *branch, r *message.Message) {
	m.respond(now, x, b.restoreVias(r))
}

// restoreVias replaces the Vias of a server's response with the caller's, since the server
// may have altered them.
func (b *branch) restoreVias(r *message.Message) *message.Message {
	r.Drop("via")
	r.Fields = append(append(make([]message.Field, 0, len(r.Fields)+len(b.vias)), b.vias...), r.Fields...)
	return r
}

// cancel handles the caller's CANCEL (RFC 3261 section 16.10).
func (m *Machine) cancel(now time.Duration, x *exchange) {
	if x.final != 0 || x.cancelled || x.method != message.Invite {
		return
	}
	x.cancelled = true
	m.withdraw(x)
	for _, b := range x.branches {
		m.abandonBranch(now, b)
	}
	if x.pendingBranches == 0 {
		m.respondStatus(now, x, 487, 0)
		return
	}
	x.deadline = min(x.deadline, now+m.options.Timing.TransactionTimeout())
	m.schedule(x)
}

// branchFailed handles the end of a branch whose response, if any, was not forwarded.
func (m *Machine) branchFailed(now time.Duration, x *exchange, e End) {
	x.failed, x.lastFailure = true, e
	x.failedMayRun = x.failedMayRun || Outcomes[e].MayHaveRun
	if x.final != 0 || x.pendingBranches > 0 {
		return
	}
	switch {
	case x.cancelled:
		m.respondStatus(now, x, 487, 0)
	case x.inDialog:
		m.respondBest(now, x)
	}
}

// mayHaveRun reports whether a server may have processed the request. If so, the caller must not
// get a 503, since it takes that as leave to send the request again.
func (x *exchange) mayHaveRun() bool { return x.failedMayRun || x.pendingBranches > 0 }

// keepBest keeps a failed branch's response if it is better than those before it. A 503 is the
// worst, as it tells of its own server only.
func (x *exchange) keepBest(r *message.Message) {
	best := x.bestResponse
	if best == nil || best.Code == 503 || r.Code != 503 && r.Code < best.Code {
		x.bestResponse = r
	}
}

// takeBest returns the response to forward when no more attempts will follow, or nil if none
// fits all that the servers may have done.
func (x *exchange) takeBest() *message.Message {
	best := x.bestResponse
	x.bestResponse = nil
	if best != nil && best.Code == 503 && x.mayHaveRun() {
		return nil
	}
	return best
}

// respondBest sends the final response when no more attempts will follow (RFC 3261 section
// 16.7, step 6).
func (m *Machine) respondBest(now time.Duration, x *exchange) {
	silent := x.pendingBranches > 0 || x.failed && Outcomes[x.lastFailure].MayHaveRun && x.lastFailure >= NoResponse
	best := x.takeBest()
	switch {
	case best != nil && !silent:
		m.respond(now, x, best)
	case silent || !x.failed:
		m.respondTimeout(now, x)
	case x.inDialog && x.lastFailure == Refused:
		m.respondStatus(now, x, 481, 0) // the server process that held the dialog no longer exists
	default:
		m.respondStatus(now, x, 500, 0)
	}
}

// tag returns the To tag for the Machine's own responses. It depends on the transaction's
// key only, so that stateless responses to retransmissions carry the same tag.
func (m *Machine) tag(key string) string {
	return "o" + strconv.FormatUint(m.hash(key), 36)
}

// jitteredRetryAfter returns a random Retry-After between d and 2d in whole seconds.
func (m *Machine) jitteredRetryAfter(d time.Duration) string {
	d += time.Duration(m.rng.Int64N(int64(d) + 1))
	return strconv.Itoa(int((d + time.Second - 1) / time.Second))
}
