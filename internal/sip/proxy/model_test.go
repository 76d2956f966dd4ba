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

// world is a network in virtual time: callers, servers with moods and a core that tries
// as the module would, round one Machine. Datagrams are lost, doubled and delayed. It
// holds what the reference says of each call and looks at it after each event.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	queue events
	order int
	m     *Machine
	calls map[string]*callModel // by Call-ID
	asks  map[uint64]*askModel
	tries map[uint64]*askModel // by attempt
	last  uint64
	loss  float64
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

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

// callModel is the reference: what may be true of one call, whatever the order of things.
type callModel struct {
	method   string
	came     bool // the Machine has had the request
	deadline time.Duration
	finals   []int        // different ones that went to the caller
	final    int          // the caller's, as it arrived
	cancels  []int        // finals of the CANCEL
	ran      map[int]bool // servers that have worked on it
	up       map[int]bool // servers with an answered call that was not ended
	acked    map[int]bool
	client   transaction.Machine
	text     []byte
	caller   Peer
}

type askModel struct {
	ask     Ask
	tried   map[int]bool
	out     uint64 // the attempt that is out
	settled bool
}

var timing = transaction.Timing{T1: 50 * time.Millisecond, T2: 400 * time.Millisecond, T4: 500 * time.Millisecond}

const serversOfWorld = 4

func serverPeer(n int) Peer {
	return Peer{Transport: UDP, Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(7000+n))}
}

func newWorld(t *testing.T, seed uint64, loss float64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), calls: map[string]*callModel{}, asks: map[uint64]*askModel{},
		tries: map[uint64]*askModel{}, loss: loss, now: time.Second,
	}
	sealer, err := token.New([]byte(strings.Repeat("k", token.MinKeySize)))
	if err != nil {
		t.Fatal(err)
	}
	w.m = New(Options{
		Host: w, Timing: timing, Limits: Limits{Transactions: 400, PerSource: 400}, RetryAfter: time.Second, Sealer: sealer,
		Deadlines: [Classes]time.Duration{3 * time.Second, time.Second, time.Second, time.Second, time.Second}, DialogFor: time.Hour,
		Listen: map[Transport]netip.AddrPort{UDP: netip.MustParseAddrPort("127.0.0.1:5060")},
		Wall:   func(d time.Duration) time.Time { return time.Unix(1e9, 0).Add(d) },
	})
	list := map[uint64]Peer{}
	for n := range serversOfWorld {
		list[uint64(n)] = serverPeer(n)
	}
	w.m.Servers(list)
	return w
}

// pin is a token's content for a dialog of a caller at a server.
func (w *world) pin(server uint64) token.Claims {
	return token.Claims{Server: server, Caller: token.ReturnPath{Source: netip.MustParseAddrPort("127.0.0.8:5060")}, Expires: w.m.o.Wall(w.now).Add(time.Hour)}
}

// run runs events and the Machine's timers in order until nothing is left.
func (w *world) run() {
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
	w.t.Fatal("it does not come to rest")
}

// check holds each call against the rules.
func (w *world) check() {
	for id, c := range w.calls {
		if len(c.finals) > 1 {
			w.t.Fatalf("%s at %v: the finals %v", id, w.now, c.finals)
		}
		if len(c.cancels) > 1 {
			w.t.Fatalf("%s at %v: its CANCEL has the finals %v", id, w.now, c.cancels)
		}
		if len(c.ran) > 1 && c.method != message.Options {
			w.t.Fatalf("%s at %v: it ran at the servers %v", id, w.now, c.ran)
		}
		if c.came && len(c.finals) == 0 && w.now > c.deadline {
			w.t.Fatalf("%s at %v: no final by its deadline, %v", id, w.now, c.deadline)
		}
	}
}

// travel brings a datagram to its end, or not, or twice.
func (w *world) travel(arrive func()) {
	copies := 1
	switch r := w.rng.Float64(); {
	case r < w.loss:
		copies = 0
	case r < 1.5*w.loss:
		copies = 2
	}
	for range copies {
		w.after(time.Duration(1+w.rng.IntN(30))*time.Millisecond, arrive)
	}
}

// ---- the Machine's host

func (w *world) Transmit(to Peer, id string, text []byte) {
	m, err := message.Parse(text)
	if err != nil {
		w.t.Fatalf("the Machine wrote what can't be read: %v\n%s", err, text)
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
		w.travel(func() { w.toCaller(c, m) })
		return
	}
	n := int(to.Addr.Port()) - 7000
	if w.mood(m.CallID, n) == 0 && m.Method == c.method { // nobody listens there
		w.after(time.Millisecond, func() { w.m.Failed(w.now, id, false) })
		return
	}
	w.travel(func() { w.toServer(c, n, m) })
}

func (w *world) Submit(a Ask) {
	q := &askModel{ask: a, tried: map[int]bool{}}
	w.asks[a.ID] = q
	w.after(time.Duration(w.rng.IntN(5))*time.Millisecond, func() { w.try(q) })
	w.after(a.Deadline-w.now, func() {
		if !q.settled {
			w.abandon(q)
			w.settle(q, AnswerOverdue)
		}
	})
}

func (w *world) try(q *askModel) {
	if q.settled {
		return
	}
	n := w.rng.IntN(serversOfWorld)
	for q.tried[n] {
		n = (n + 1) % serversOfWorld
	}
	q.tried[n] = true
	w.last++
	q.out = w.last
	w.tries[w.last] = q
	w.m.Attempt(w.now, q.ask.ID, w.last, uint64(n), serverPeer(n), func() bool { return true })
}

func (w *world) settle(q *askModel, a Answer) {
	q.settled = true
	w.m.Answer(w.now, q.ask.ID, a, time.Second)
}

func (w *world) abandon(q *askModel) {
	if q.out != 0 {
		w.m.Abandon(w.now, q.out)
		delete(w.tries, q.out)
		q.out = 0
	}
}

func (w *world) Leave(id uint64) {
	q := w.asks[id]
	if q.settled {
		w.t.Fatal("left after its answer")
	}
	q.settled = true
	w.after(time.Duration(w.rng.IntN(3))*time.Millisecond, func() { w.abandon(q) })
}

func (w *world) Finish(attempt uint64, e End) {
	q := w.tries[attempt]
	if q == nil {
		w.t.Fatalf("attempt %d ended twice", attempt)
	}
	delete(w.tries, attempt)
	q.out = 0
	w.after(0, func() {
		o := Outcomes[e]
		switch {
		case q.settled:
		case o.Final:
			w.settle(q, AnswerServed)
		case !o.Ran && len(q.tried) < 3:
			w.after(time.Duration(20+w.rng.IntN(50))*time.Millisecond, func() { w.try(q) })
		case !o.Ran:
			w.settle(q, AnswerRefused)
		default:
			w.settle(q, AnswerFailed)
		}
	})
}

func (w *world) Taken(uint64)   {}
func (w *world) Started(uint64) {}

// ---- servers

// mood is how a server takes a call: the same each time it is asked.
func (w *world) mood(callID string, server int) int {
	h := rand.New(rand.NewPCG(uint64(len(callID))<<32|uint64(server), hashOf(callID)))
	return h.IntN(10)
}

func hashOf(s string) (h uint64) {
	for _, c := range []byte(s) {
		h = h*31 + uint64(c)
	}
	return h
}

// toServer plays a server, statelessly but for what the call's model holds: a repeat
// gets the same responses again, as a retransmission would.
func (w *world) toServer(c *callModel, n int, q *message.Message) {
	reply := func(after time.Duration, code int) {
		q := q // CANCEL goes on with its INVITE below
		w.after(after, func() {
			r := q.Response(code, fmt.Sprint("s", n))
			if code/100 == 2 && q.Method == message.Invite {
				if c.acked[n] {
					return
				}
				c.up[n] = true
			}
			w.travel(func() { w.m.Receive(w.now, serverPeer(n), r, nil) })
		})
	}
	ms := time.Millisecond
	switch q.Method {
	case message.Ack:
		c.acked[n] = true
		return
	case message.Bye:
		delete(c.up, n)
		c.acked[n] = true // it may have overtaken the ACK
		reply(0, 200)
		return
	case message.Cancel:
		reply(0, 200)
		if mood := w.mood(q.CallID, n); mood == 3 || mood == 4 { // rings for long: it heeds the CANCEL
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
	mood := w.mood(q.CallID, n)
	if mood != 1 {
		c.ran[n] = true
	}
	switch mood {
	case 1:
		reply(5*ms, 503)
	case 2: // silent
	case 3:
		reply(0, 100)
	case 4: // rings, then nothing
		reply(0, 100)
		reply(20*ms, 180)
	case 5:
		reply(20*ms, 180)
		reply(1000*ms, 486)
	case 6:
		reply(20*ms, 500)
	case 7: // answers when its caller has given up, or about then
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

func (w *world) call(n int, method string, cancelAfter time.Duration) {
	id := fmt.Sprintf("call-%d-%d", n, w.rng.IntN(1000))
	caller := Peer{Transport: UDP, Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.3"), uint16(9000+n)), Port: uint16(9000 + n)}
	c := &callModel{
		method: method, ran: map[int]bool{}, up: map[int]bool{}, acked: map[int]bool{}, caller: caller,
		client: transaction.NewClient(w.now, timing, method == message.Invite, false),
	}
	w.calls[id] = c
	write := func(method, extra string, seq int, branch string) []byte {
		return fmt.Appendf(nil, "%s sip:desk@pool SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.3:%d;branch=z9hG4bK%s\r\nFrom: <sip:a@b>;tag=t%s\r\nTo: <sip:desk@pool>\r\nCall-ID: %s\r\nCSeq: %d %s\r\nMax-Forwards: 70\r\n%s\r\n",
			method, 9000+n, branch, id, id, seq, method, extra)
	}
	c.text = write(method, "", 1, id)
	send := func(text []byte) {
		w.travel(func() {
			q, err := message.Parse(text)
			if err != nil {
				w.t.Fatal(err)
			}
			if q.Method == c.method && !c.came {
				c.came, c.deadline = true, w.now+w.m.o.Deadlines[ClassOf(method)]
			}
			from := caller
			from.Port = 0
			w.m.Receive(w.now, from, q, nil)
		})
	}
	var resend func()
	resend = func() {
		if due := c.client.Due(); due > 0 && c.final == 0 {
			w.after(max(0, due-w.now), func() {
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
			w.after(at, func() {
				if len(c.cancels) == 0 {
					send(write(message.Cancel, "", 1, id))
				}
			})
		}
	}
}

func (w *world) toCaller(c *callModel, r *message.Message) {
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
	w.travel(func() {
		ack, err := message.Parse(text)
		if err != nil {
			w.t.Fatal(err)
		}
		from := c.caller
		from.Port = 0
		w.m.Receive(w.now, from, ack, nil)
	})
}

// Whatever is lost, doubled, late or crossed: each request that came has one final by
// its deadline and one at most; no INVITE runs at two servers; a CANCEL has one final; a
// call whose caller was told otherwise is ended at its server; nothing is left behind.
func TestAgainstTheReference(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, []float64{0, 0.1, 0.3}[seed%3])
			for n := range 40 {
				w.after(time.Duration(w.rng.IntN(2000))*time.Millisecond, func() {
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
				if c.came && len(c.finals) != 1 {
					t.Errorf("%s: the finals %v", id, c.finals)
				}
				if len(c.finals) == 1 {
					ends[c.finals[0]]++
				}
				if len(c.up) > 0 && len(c.finals) == 1 && c.finals[0]/100 != 2 {
					t.Errorf("%s was told %v, yet the servers %v hold the call", id, c.finals, c.up)
				}
			}
			if len(ends) < 4 {
				t.Errorf("only the ends %v were met", ends)
			}
			m := w.m
			if len(m.exchanges)+len(m.byKey)+len(m.branches)+len(m.attempts)+len(m.sources)+len(m.timers) > 0 {
				t.Errorf("left behind: %d exchanges, %d branches, %d attempts, %d sources, %d timers",
					len(m.exchanges), len(m.branches), len(m.attempts), len(m.sources), len(m.timers))
			}
		})
	}
}
