package proxy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"otterstep/internal/sip/message"
	"otterstep/internal/sip/token"
	"otterstep/internal/sip/transaction"
)

// simulation runs one Machine in virtual time with callers, servers of differing behavior and
// a core that retries as the decision module does. Datagrams are lost, duplicated and
// delayed. It checks each call against the reference model after each event.
type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	now         time.Duration
	queue       events
	order       int
	m           *Machine
	calls       map[string]*callModel // by Call-ID
	requests    map[uint64]*requestModel
	attempts    map[uint64]*requestModel // by attempt
	lastAttempt uint64
	loss        float64
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

// callModel is the reference model of one call, independent of the order of events.
type callModel struct {
	method   string
	received bool // the Machine has received the request
	deadline time.Duration
	finals   []int        // distinct final status codes that were sent to the caller
	final    int          // final status code that the caller received
	cancels  []int        // final status codes of the CANCEL
	ran      map[int]bool // servers that have processed it
	active   map[int]bool // servers with an answered call that was not ended
	acked    map[int]bool
	client   transaction.Machine
	text     []byte
	caller   Peer
}

type requestModel struct {
	request RoutingRequest
	tried   map[int]bool
	attempt uint64 // the attempt in progress; 0 if none
	settled bool
}

var timing = transaction.Timing{T1: 50 * time.Millisecond, T2: 400 * time.Millisecond, T4: 500 * time.Millisecond}

const numServers = 4

func serverPeer(n int) Peer {
	return Peer{Transport: UDP, Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(7000+n))}
}

func newSimulation(t *testing.T, seed uint64, loss float64) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), calls: map[string]*callModel{}, requests: map[uint64]*requestModel{},
		attempts: map[uint64]*requestModel{}, loss: loss, now: time.Second,
	}
	sealer, err := token.New([]byte(strings.Repeat("k", token.MinKeySize)))
	if err != nil {
		t.Fatal(err)
	}
	w.m = New(Options{
		Host: w, Timing: timing, Limits: Limits{Transactions: 400, PerSource: 400}, RetryAfter: time.Second, Signer: sealer,
		Deadlines: [NumClasses]time.Duration{3 * time.Second, time.Second, time.Second, time.Second, time.Second}, TokenLifetime: time.Hour,
		Listen:   map[Transport]netip.AddrPort{UDP: netip.MustParseAddrPort("127.0.0.1:5060")},
		WallTime: func(d time.Duration) time.Time { return time.Unix(1e9, 0).Add(d) },
	})
	list := map[uint64]Peer{}
	for n := range numServers {
		list[uint64(n)] = serverPeer(n)
	}
	w.m.SetServers(list)
	return w
}

// claims returns the token claims for a dialog at a server.
func (w *simulation) claims(server uint64) token.Claims {
	return token.Claims{Server: server, Caller: token.ReturnPath{Source: netip.MustParseAddrPort("127.0.0.8:5060")}, Expires: w.m.options.WallTime(w.now).Add(time.Hour)}
}

// run processes events and the Machine's timers in order until none is left.
func (w *simulation) run() {
	for range 2_000_000 {
		due := w.m.Due()
		switch {
		case len(w.queue) > 0 && (due == 0 || w.queue[0].at <= due):
			e := heap.Pop(&w.queue).(event)
			w.now = max(w.now, e.at)
			e.do()
		case due > 0:
			w.now = max(w.now, due)
			w.m.Tick(w.now)
		default:
			return
		}
		w.check()
	}
	w.t.Fatal("events remain after 2,000,000 steps")
}

// check checks the invariants of each call.
func (w *simulation) check() {
	for id, c := range w.calls {
		if len(c.finals) > 1 {
			w.t.Fatalf("%s at %v: final responses %v", id, w.now, c.finals)
		}
		if len(c.cancels) > 1 {
			w.t.Fatalf("%s at %v: CANCEL got the final responses %v", id, w.now, c.cancels)
		}
		if len(c.ran) > 1 && c.method != message.Options {
			w.t.Fatalf("%s at %v: processed by the servers %v", id, w.now, c.ran)
		}
		if c.received && len(c.finals) == 0 && w.now > c.deadline {
			w.t.Fatalf("%s at %v: no final response by the deadline, %v", id, w.now, c.deadline)
		}
	}
}

// deliver delivers a datagram after a random delay, or drops or duplicates it.
func (w *simulation) deliver(arrive func()) {
	copies := 1
	switch r := w.rng.Float64(); {
	case r < w.loss:
		copies = 0
	case r < 1.5*w.loss:
		copies = 2
	}
	for range copies {
		w.schedule(time.Duration(1+w.rng.IntN(30))*time.Millisecond, arrive)
	}
}

// ---- Host implementation

func (w *simulation) Transmit(to Peer, id string, text []byte) {
	m, err := message.Parse(text)
	if err != nil {
		w.t.Fatalf("the Machine wrote a message that can't be parsed: %v\n%s", err, text)
	}
	c := w.calls[m.CallID]
	if c == nil {
		return // a ping
	}
	if !m.IsRequest() {
		if m.Code >= 200 && to == c.caller {
			at := &c.finals
			if m.CSeqMethod == message.Cancel {
				at = &c.cancels
			} else if m.CSeqMethod == message.Bye {
				at = new([]int)
			}
			if !slices.Contains(*at, m.Code) {
				*at = append(*at, m.Code)
			}
		}
		w.deliver(func() { w.toCaller(c, m) })
		return
	}
	n := int(to.Addr.Port()) - 7000
	if w.behavior(m.CallID, n) == 0 && m.Method == c.method { // no process listens there
		w.schedule(time.Millisecond, func() { w.m.DeliveryFailed(w.now, id, false) })
		return
	}
	w.deliver(func() { w.toServer(c, n, m) })
}

func (w *simulation) Submit(a RoutingRequest) {
	q := &requestModel{request: a, tried: map[int]bool{}}
	w.requests[a.ID] = q
	w.schedule(time.Duration(w.rng.IntN(5))*time.Millisecond, func() { w.startAttempt(q) })
	w.schedule(a.Deadline-w.now, func() {
		if !q.settled {
			w.abandon(q)
			w.settle(q, AnswerOverdue)
		}
	})
}

func (w *simulation) startAttempt(q *requestModel) {
	if q.settled {
		return
	}
	n := w.rng.IntN(numServers)
	for q.tried[n] {
		n = (n + 1) % numServers
	}
	q.tried[n] = true
	w.lastAttempt++
	q.attempt = w.lastAttempt
	w.attempts[w.lastAttempt] = q
	w.m.Attempt(w.now, q.request.ID, w.lastAttempt, uint64(n), serverPeer(n), func() bool { return true })
}

func (w *simulation) settle(q *requestModel, a Answer) {
	q.settled = true
	w.m.Answer(w.now, q.request.ID, a, time.Second)
}

func (w *simulation) abandon(q *requestModel) {
	if q.attempt != 0 {
		w.m.Abandon(w.now, q.attempt)
		delete(w.attempts, q.attempt)
		q.attempt = 0
	}
}

func (w *simulation) Withdraw(id uint64) {
	q := w.requests[id]
	if q.settled {
		w.t.Fatal("request withdrawn after its answer")
	}
	q.settled = true
	w.schedule(time.Duration(w.rng.IntN(3))*time.Millisecond, func() { w.abandon(q) })
}

func (w *simulation) Finish(attempt uint64, e End) {
	q := w.attempts[attempt]
	if q == nil {
		w.t.Fatalf("attempt %d ended twice", attempt)
	}
	delete(w.attempts, attempt)
	q.attempt = 0
	w.schedule(0, func() {
		o := Outcomes[e]
		switch {
		case q.settled:
		case o.Final:
			w.settle(q, AnswerServed)
		case !o.MayHaveRun && len(q.tried) < 3:
			w.schedule(time.Duration(20+w.rng.IntN(50))*time.Millisecond, func() { w.startAttempt(q) })
		case !o.MayHaveRun:
			w.settle(q, AnswerRefused)
		default:
			w.settle(q, AnswerFailed)
		}
	})
}

func (w *simulation) Accepted(uint64) {}
func (w *simulation) Started(uint64)  {}

// ---- servers

// behavior selects how a server reacts to a call. It is the same for each retransmission.
func (w *simulation) behavior(callID string, server int) int {
	h := rand.New(rand.NewPCG(uint64(len(callID))<<32|uint64(server), hashOf(callID)))
	return h.IntN(10)
}

func hashOf(s string) (h uint64) {
	for _, c := range []byte(s) {
		h = h*31 + uint64(c)
	}
	return h
}

// toServer simulates a server. Its only state is the call's model, so that a retransmitted
// request gets the same responses again.
func (w *simulation) toServer(c *callModel, n int, q *message.Message) {
	reply := func(after time.Duration, code int) {
		q := q // the CANCEL case below reassigns q
		w.schedule(after, func() {
			r := q.Response(code, fmt.Sprint("s", n))
			if code/100 == 2 && q.Method == message.Invite {
				if c.acked[n] {
					return
				}
				c.active[n] = true
			}
			w.deliver(func() { w.m.Receive(w.now, serverPeer(n), r, nil) })
		})
	}
	ms := time.Millisecond
	switch q.Method {
	case message.Ack:
		c.acked[n] = true
		return
	case message.Bye:
		delete(c.active, n)
		c.acked[n] = true // it may have overtaken the ACK
		reply(0, 200)
		return
	case message.Cancel:
		reply(0, 200)
		if mood := w.behavior(q.CallID, n); mood == 3 || mood == 4 { // no final response yet: it reacts to the CANCEL
			invite := q.Clone()
			invite.Method, invite.CSeqMethod = message.Invite, message.Invite
			invite.Set("cseq", fmt.Sprint(q.CSeq, " ", message.Invite))
			q = invite
			reply(ms, 487)
		}
		return
	case message.Invite:
	default:
		c.ran[n] = true
		reply(10*ms, 200)
		return
	}
	mood := w.behavior(q.CallID, n)
	if mood != 1 {
		c.ran[n] = true
	}
	switch mood {
	case 1:
		reply(5*ms, 503)
	case 2: // silent
	case 3:
		reply(0, 100)
	case 4: // rings, then no final response
		reply(0, 100)
		reply(20*ms, 180)
	case 5:
		reply(20*ms, 180)
		reply(1000*ms, 486)
	case 6:
		reply(20*ms, 500)
	case 7: // answers close to the deadline or after it
		reply(20*ms, 180)
		reply(2950*ms+time.Duration(hashOf(q.CallID)%100)*ms, 200)
	default:
		reply(20*ms, 180)
		for again, at := timing.T1, 300*ms; at < 4*time.Second; again, at = min(2*again, timing.T2), at+again {
			reply(at, 200)
		}
	}
	if mood == 7 {
		for again, at := timing.T1, 3050*ms; at < 6*time.Second; again, at = min(2*again, timing.T2), at+again {
			reply(at, 200)
		}
	}
}

// ---- callers

func (w *simulation) call(n int, method string, cancelAfter time.Duration) {
	id := fmt.Sprintf("call-%d-%d", n, w.rng.IntN(1000))
	caller := Peer{Transport: UDP, Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), uint16(9000+n)), Port: uint16(9000 + n)}
	c := &callModel{
		method: method, ran: map[int]bool{}, active: map[int]bool{}, acked: map[int]bool{}, caller: caller,
		client: transaction.NewClient(w.now, timing, method == message.Invite, false),
	}
	w.calls[id] = c
	write := func(method, extra string, seq int, branch string) []byte {
		return fmt.Appendf(nil, "%s sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.3:%d;branch=z9hG4bK%s\r\nFrom: <sip:a@b>;tag=t%s\r\nTo: <sip:desk@pool>\r\nCall-ID: %s\r\nCSeq: %d %s\r\nMax-Forwards: 70\r\n%s\r\n",
			method, 9000+n, branch, id, id, seq, method, extra)
	}
	c.text = write(method, "", 1, id)
	send := func(text []byte) {
		w.deliver(func() {
			q, err := message.Parse(text)
			if err != nil {
				w.t.Fatal(err)
			}
			if q.Method == c.method && !c.received {
				c.received, c.deadline = true, w.now+w.m.options.Deadlines[ClassOf(method)]
			}
			from := caller
			from.Port = 0
			w.m.Receive(w.now, from, q, nil)
		})
	}
	var resend func()
	resend = func() {
		if due := c.client.Due(); due > 0 && c.final == 0 {
			w.schedule(max(0, due-w.now), func() {
				if c.client.Fire(w.now)&transaction.Transmit != 0 && c.final == 0 {
					send(c.text)
				}
				resend()
			})
		}
	}
	send(c.text)
	resend()
	if cancelAfter > 0 && method == message.Invite {
		for again, at := timing.T1, cancelAfter; at < cancelAfter+2*time.Second; again, at = 2*again, at+again {
			w.schedule(at, func() {
				if len(c.cancels) == 0 {
					send(write(message.Cancel, "", 1, id))
				}
			})
		}
	}
}

func (w *simulation) toCaller(c *callModel, r *message.Message) {
	if r.CSeqMethod != c.method {
		return
	}
	c.client.Response(w.now, r.Code)
	if r.Code < 200 {
		return
	}
	c.final = r.Code
	if c.method != message.Invite {
		return
	}
	q := r.Clone()
	q.Method, q.Code, q.URI, q.CSeqMethod = message.Ack, 0, "sip:desk@pool", message.Ack
	q.Set("cseq", fmt.Sprint(r.CSeq, " ", message.Ack))
	q.Set("max-forwards", "70")
	if r.Code/100 == 2 {
		q.Via.Branch += "a"
		q.Set("via", strings.ReplaceAll(fmt.Sprintf("SIP/2.0/UDP 127.0.0.3:%d;branch=%s", c.caller.Port, q.Via.Branch), "\n", ""))
	}
	if rr, ok := r.Get("record-route"); ok {
		q.Push("route", rr)
	}
	q.Drop("record-route")
	text := q.Encode()
	w.deliver(func() {
		ack, err := message.Parse(text)
		if err != nil {
			w.t.Fatal(err)
		}
		from := c.caller
		from.Port = 0
		w.m.Receive(w.now, from, ack, nil)
	})
}

// With loss, duplication, delay and crossing messages, each received request gets exactly
// one final response by its deadline, no INVITE is processed by two servers, and a CANCEL gets
// one final response. A call that failed for its caller is ended at its server. No state is
// left behind.
func TestAgainstReferenceModel(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newSimulation(t, seed, []float64{0, 0.1, 0.3}[seed%3])
			for n := range 40 {
				w.schedule(time.Duration(w.rng.IntN(2000))*time.Millisecond, func() {
					method := message.Invite
					if n%8 == 7 {
						method = []string{message.Options, message.Register, "MESSAGE"}[w.rng.IntN(3)]
					}
					cancel := time.Duration(0)
					if w.rng.IntN(3) == 0 {
						cancel = time.Duration(w.rng.IntN(3200)) * time.Millisecond
					}
					w.call(n, method, cancel)
				})
			}
			w.run()
			ends := map[int]int{}
			for id, c := range w.calls {
				if c.received && len(c.finals) != 1 {
					t.Errorf("%s: final responses %v", id, c.finals)
				}
				if len(c.finals) == 1 {
					ends[c.finals[0]]++
				}
				if len(c.active) > 0 && len(c.finals) == 1 && c.finals[0]/100 != 2 {
					t.Errorf("%s: caller got %v, but the call is still active at the servers %v", id, c.finals, c.active)
				}
			}
			if len(ends) < 4 {
				t.Errorf("only the final responses %v occurred", ends)
			}
			m := w.m
			if len(m.exchanges)+len(m.byKey)+len(m.branches)+len(m.attempts)+len(m.sources)+len(m.timers) > 0 {
				t.Errorf("left behind: %d exchanges, %d branches, %d attempts, %d sources, %d timers",
					len(m.exchanges), len(m.branches), len(m.attempts), len(m.sources), len(m.timers))
			}
		})
	}
}
