// Package core drives one Balancer for one pool of servers: requests, attempts,
// timers and members, in one goroutine. It knows no protocol: a front hands it
// requests with a way to make one attempt at one server, and gets one final answer
// for each. Pools share nothing.
package core

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

// Deadlines. A client counts its time from when it sent, so the module is told
// somewhat less; the backstop stands between the module's end and the client's.
const (
	clientMargin   = 12 * time.Millisecond
	backstopMargin = 4 * time.Millisecond
)

// Kind tells how a request ended for its client.
type Kind uint8

// The ends of a request.
const (
	Served Kind = iota
	Refused
	Failed
	Overdue   // failed because the time was up
	Duplicate // its name is that of another request
	Left      // its client went away; there is no answer
	Kinds     // how many there are
)

// String words a kind as operators see it.
func (k Kind) String() string {
	return [Kinds]string{"served", "refused", "failed", "overdue", "duplicate", "left"}[k]
}

// Answer is the one final answer of a request.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration // Refused
	Body       any           // Served: the Reply's
}

// Server is one life of a server. A front's connections go by it, not by the
// address: a new server may stand at the address of one that has gone, and must not
// be sent what was left of the old one's connections.
type Server struct {
	ID      policy.ServerID
	Addr    string
	Started time.Duration
}

// Reply is what came of an attempt.
type Reply struct {
	Status   policy.Status
	Body     any  // OK: what the front will pass on
	Rejected bool // the server can't use the request
}

// Message is what a front was asked to do, and how it asks a server. It does not
// change once it is handed over.
type Message interface {
	// Attempt makes one attempt and gives up when ctx ends, or after wait at the
	// latest. turn.Begin is asked right before the first byte; if it says no, nothing may
	// go out. The status tells whether the request may have run. It is called on a
	// goroutine of its own, perhaps several times at once.
	Attempt(ctx context.Context, to Server, wait time.Duration, turn Turn) Reply
}

// Turn is what a front needs of the loop for one attempt. Its methods may be called on
// any goroutine.
type Turn struct {
	loop    *Loop
	attempt *attempt
}

// Begin claims the right to write the request; false once the loop gave the attempt up.
func (t Turn) Begin() bool { return t.attempt.begin() }

// Taken tells that the server has the request and works on it; see policy.Balancer.Taken.
func (t Turn) Taken() { t.tell((*policy.Balancer).Taken) }

// Started tells that the answer has begun, as that of a stream does: from then on the
// request is tried nowhere else. Telling it again changes nothing.
func (t Turn) Started() { t.tell((*policy.Balancer).Started) }

func (t Turn) tell(event func(b *policy.Balancer, now time.Duration, id policy.RequestID, index int)) {
	l, a := t.loop, t.attempt
	l.post(func() {
		if !a.over {
			event(l.balancer, l.now, a.request.id, a.index)
		}
	})
}

// Request is a client's request as a front hands it over.
type Request struct {
	policy.Request // ID and Left are the core's to set
	// Name is taken once: a second request of a name that is or lately was in use ends
	// as Duplicate.
	Name     string
	Deadline time.Duration // module's time: the client gives up
	Message  Message
	Answers  chan<- Answer // room for the one answer
}

// request is a client's request while the core owes something for it or an attempt
// of it is out. Only the loop touches it.
type request struct {
	id       policy.RequestID
	message  Message
	answers  chan<- Answer
	class    int
	end      time.Duration // attempts are given up
	answered bool
	attempts []*attempt
	out      int
}

// Ticket stands for a request that was handed over.
type Ticket struct{ request *request }

// The phases of an attempt's write. They are shared with its goroutine, so that
// nothing goes out after the loop has given the attempt up, and the loop knows
// whether anything may have.
const (
	unsent int32 = iota
	writing
	abandoned
)

type attempt struct {
	request *request
	index   int
	server  policy.ServerID
	sent    time.Duration
	phase   atomic.Int32
	cancel  context.CancelFunc
	over    bool // its outcome was told; what still comes is dropped
}

// begin claims the right to write the request; false once the loop gave it up.
func (a *attempt) begin() bool { return a.phase.CompareAndSwap(unsent, writing) }

// timer is an entry of the one heap of timers.
type timer struct {
	at   time.Duration
	fire func()
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // let go of what it holds
	*h = old[:len(old)-1]
	return last
}

// Options are what a Loop is made of.
type Options struct {
	Settings policy.Settings
	Seed     uint64
	Clock    Clock
	// Watch asks for a watch of the server list; it must not block.
	Watch func()
	// Drop is told of a server that is gone, or that is no longer the process or at the
	// address that it was; it must not block.
	Drop func(Server)
}

// Loop owns the Balancer, the requests and the clock: one goroutine runs it,
// everything else posts events. It implements policy.Host; actions only start
// goroutines, answer waiting fronts or queue what must reach the module after
// the present event, since the module must not be called from within itself.
type Loop struct {
	clock   Clock
	watch   func()
	drop    func(Server)
	events  chan func()
	stopped chan struct{}

	balancer *policy.Balancer
	now      time.Duration
	requests map[policy.RequestID]*request
	servers  map[policy.ServerID]Server
	lastID   policy.RequestID
	ids      recentIDs
	counts   [][Kinds]int64 // by class
	endBy    time.Duration  // the pool ends: answers are due by then; 0: not so far
	timers   timerHeap
	queue    []func()
}

// New makes a loop; Run runs it. An impossible setting gives an error that names it.
func New(o Options) (*Loop, error) {
	l := &Loop{
		clock: o.Clock, watch: o.Watch, drop: o.Drop,
		events: make(chan func(), 256), stopped: make(chan struct{}),
		ids:      newRecentIDs(o.Settings.Classes),
		counts:   make([][Kinds]int64, len(o.Settings.Classes)),
		requests: map[policy.RequestID]*request{}, servers: map[policy.ServerID]Server{},
	}
	var err error
	if l.balancer, err = policy.New(o.Settings, o.Seed, l); err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	return l, nil
}

// Clock gives the module's clock.
func (l *Loop) Clock() Clock { return l.clock }

// Stopped is closed once Run has returned: what is handed over from then on gets no
// answer.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Members hands over a list of servers or changes to it, with the entries' addresses,
// and returns once it is in place.
func (l *Loop) Members(kind policy.ListKind, entries []policy.Entry, addrs []string) {
	placed := make(chan struct{})
	if l.post(func() { l.members(kind, entries, addrs); close(placed) }) {
		select {
		case <-placed:
		case <-l.stopped:
		}
	}
}

// Submit hands a request over; false once the loop has stopped. The answer comes on
// the request's channel, exactly once, unless Leave comes first.
func (l *Loop) Submit(q Request) (*Ticket, bool) {
	t := &Ticket{}
	return t, l.post(func() { t.request = l.submit(q) })
}

// Leave tells that a request's client went away.
func (l *Loop) Leave(t *Ticket) { l.post(func() { l.left(t.request) }) }

// EndIn tells that the pool ends after d: answers are due by then.
func (l *Loop) EndIn(d time.Duration) { l.post(func() { l.endBy = l.now + d }) }

// View is a loop's state for those who look on.
type View struct {
	policy.View
	Listed   map[policy.ServerID]Server // those of View.Servers
	Counts   [][Kinds]int64             // ends of requests so far, by class
	Requests int                        // owed an answer or with an attempt out
	Timers   int
	Members  int // servers listed, whatever their state
}

// Inspect has the loop copy its state as one event among the others, at a cost that
// grows with the listed servers only.
func (l *Loop) Inspect(ctx context.Context) (View, error) {
	var v View
	copied := make(chan struct{})
	event := func() {
		v = View{
			View: l.balancer.Inspect(l.now), Counts: slices.Clone(l.counts),
			Requests: len(l.requests), Timers: len(l.timers), Members: len(l.servers),
		}
		v.Listed = make(map[policy.ServerID]Server, len(v.Servers))
		for _, s := range v.Servers {
			v.Listed[s.Server] = l.servers[s.Server]
		}
		close(copied)
	}
	select {
	case l.events <- event:
	case <-l.stopped:
		return View{}, errStopped
	case <-ctx.Done():
		return View{}, fmt.Errorf("the loop is busy: %w", ctx.Err())
	}
	select {
	case <-copied:
		return v, nil
	case <-l.stopped:
		return View{}, errStopped
	}
}

var errStopped = errors.New("the loop has stopped")

// Run handles events until ctx ends. What is out then is given up.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, r := range l.requests {
				for _, a := range r.attempts {
					a.cancel()
				}
			}
			return
		case event := <-l.events:
			l.step(event)
		case <-wake.C:
		}
		for len(l.timers) > 0 && l.timers[0].at <= l.tick() {
			l.step(heap.Pop(&l.timers).(timer).fire)
		}
		if len(l.timers) > 0 {
			wake.Reset(l.timers[0].at - l.tick())
		}
	}
}

// tick moves the module's clock on; it never goes back.
func (l *Loop) tick() time.Duration {
	l.now = max(l.now, l.clock.Now())
	return l.now
}

// step handles one event and then what the module's actions have queued.
func (l *Loop) step(event func()) {
	l.tick()
	event()
	for len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = l.queue[1:]
		next()
	}
	l.queue = nil
}

// post hands an event to the loop; false once it has stopped.
func (l *Loop) post(event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return false
	}
}

func (l *Loop) after(at time.Duration, fire func()) {
	heap.Push(&l.timers, timer{at, fire})
}

// ---- events

// members takes a list of servers or changes to it. Connections to a server that
// is gone, or that is no longer the process or at the address that it was, are
// closed; a late word on an old server does not touch a new one at its address.
func (l *Loop) members(kind policy.ListKind, entries []policy.Entry, endpoints []string) {
	old := l.servers
	if kind == policy.ListFull || kind == policy.ListCached {
		l.servers = make(map[policy.ServerID]Server, len(entries))
	} else {
		old = maps.Clone(old)
	}
	for i, e := range entries {
		if e.State == policy.Gone {
			delete(l.servers, e.Server)
		} else {
			l.servers[e.Server] = Server{e.Server, endpoints[i], e.Started}
		}
	}
	for id, b := range old {
		if l.servers[id] != b {
			l.drop(b)
		}
	}
	l.balancer.Members(l.now, kind, entries)
}

// submit takes a request in.
func (l *Loop) submit(q Request) *request {
	if !l.ids.add(l.now, q.Name) {
		r := &request{class: q.Class, answers: q.Answers}
		l.answer(r, Answer{Kind: Duplicate})
		return r
	}
	for l.lastID++; l.requests[l.lastID] != nil; l.lastID++ { // ids wrap around in the end
	}
	if l.endBy > 0 {
		q.Deadline = min(q.Deadline, l.endBy)
	}
	left := max(0, q.Deadline-l.now)
	q.ID, q.Left = l.lastID, left-min(clientMargin, left/2)
	r := &request{id: q.ID, class: q.Class, message: q.Message, answers: q.Answers, end: l.now + q.Left}
	l.requests[r.id] = r
	l.balancer.Request(l.now, q.Request)
	if !r.answered {
		l.after(r.end, func() { l.expire(r) })
		l.after(q.Deadline-min(backstopMargin, left/4), func() { l.backstop(r) })
	}
	return r
}

// expire gives up what is out at the client's deadline. The module hears of
// time-outs of a request still open and words the final answer itself.
func (l *Loop) expire(r *request) {
	for _, a := range r.attempts {
		if !a.over && !r.answered {
			l.abandon(a, policy.Timeout)
		}
	}
}

// backstop guards the rule that each request is answered in its client's time,
// should the module not have done so by now.
func (l *Loop) backstop(r *request) {
	if !r.answered {
		l.answer(r, Answer{Kind: Overdue})
		l.balancer.Left(l.now, r.id)
		l.settle(r)
	}
}

// left is told when the client went away.
func (l *Loop) left(r *request) {
	if !r.answered {
		r.answered = true
		l.counts[r.class][Left]++
		l.balancer.Left(l.now, r.id)
		l.settle(r)
	}
}

// finished takes what came of an attempt.
func (l *Loop) finished(a *attempt, p Reply, at time.Duration) {
	if a.over {
		return
	}
	switch {
	case p.Status == policy.OK:
		l.answer(a.request, Answer{Kind: Served, Body: p.Body})
	case p.Rejected:
		// The request is at fault, and would be at any server: nothing to hold
		// against this one, and nothing to try again.
		l.answer(a.request, Answer{Kind: Failed})
		p.Status = policy.Cancelled
	}
	l.outcome(a, p.Status, at)
}

// abandon ends an attempt from this side. One that was not written yet can't
// have run, and never will: its goroutine finds the phase changed.
func (l *Loop) abandon(a *attempt, status policy.Status) {
	if a.phase.CompareAndSwap(unsent, abandoned) {
		status = policy.Moot
	}
	l.outcome(a, status, l.now)
}

// outcome tells the module of an attempt's end, once for each.
func (l *Loop) outcome(a *attempt, status policy.Status, at time.Duration) {
	r := a.request
	a.over = true
	a.cancel()
	r.out--
	l.balancer.Outcome(l.now, policy.Outcome{
		ID: r.id, Attempt: a.index, Server: a.server, Status: status,
		Ended: r.answered, Latency: max(0, at-a.sent),
	})
	l.settle(r)
}

// answer gives the client its final answer; only the first one counts.
func (l *Loop) answer(r *request, a Answer) {
	if !r.answered {
		r.answered = true
		l.counts[r.class][a.Kind]++
		r.answers <- a
	}
}

// settle forgets a request that is answered and has nothing out.
func (l *Loop) settle(r *request) {
	if r.answered {
		r.message = nil // the heap may hold the request for a while
		if r.out == 0 {
			delete(l.requests, r.id)
		}
	}
}

// ---- actions

// Send implements policy.Host.
func (l *Loop) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	r := l.requests[id]
	if r == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &attempt{request: r, index: len(r.attempts), server: server, sent: l.now, cancel: cancel}
	r.attempts = append(r.attempts, a)
	r.out++
	to, listed := l.servers[server]
	if r.answered || !listed {
		a.phase.Store(abandoned)
		l.queue = append(l.queue, func() { l.outcome(a, policy.Moot, l.now) })
		return
	}
	wait := r.end - l.now
	if timeout > 0 && timeout < wait {
		wait = timeout
		l.after(l.now+timeout, func() {
			if !a.over {
				l.abandon(a, policy.Timeout)
			}
		})
	}
	m := r.message
	go func() {
		p := m.Attempt(ctx, to, wait, Turn{l, a})
		at := l.clock.Now()
		l.post(func() { l.finished(a, p, at) })
	}()
}

// Cancel implements policy.Host.
func (l *Loop) Cancel(id policy.RequestID, index int) {
	r := l.requests[id]
	if r == nil || index >= len(r.attempts) {
		return
	}
	a := r.attempts[index]
	l.queue = append(l.queue, func() {
		if !a.over {
			l.abandon(a, policy.Cancelled)
		}
	})
}

// Refuse implements policy.Host.
func (l *Loop) Refuse(id policy.RequestID, retryAfter time.Duration) {
	l.end(id, Answer{Kind: Refused, RetryAfter: retryAfter})
}

// Fail implements policy.Host.
func (l *Loop) Fail(id policy.RequestID) { l.end(id, Answer{Kind: Failed}) }

func (l *Loop) end(id policy.RequestID, a Answer) {
	if r := l.requests[id]; r != nil {
		l.answer(r, a)
		l.settle(r)
	}
}

// SetTimer implements policy.Host.
func (l *Loop) SetTimer(at time.Duration, token uint64) {
	l.after(at, func() { l.balancer.Timer(l.now, token) })
}

// WatchList implements policy.Host.
func (l *Loop) WatchList() { l.watch() }
