package node

import (
	"container/heap"
	"context"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"otterstep/policy"
)

// clockOrigin is what the module's clock shows when the process starts. The
// module takes a start time of 0 or less as "long ago", so servers that came up
// shortly before this process did must still get a positive one, or a cold
// server would pass for a warm one.
const clockOrigin = time.Hour

// clock is the module's clock: monotonic, from the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() time.Duration { return time.Since(c.start) + clockOrigin }

// fromUnixMs maps a wall-clock time; 0, and what is older than the clock, is 0.
func (c clock) fromUnixMs(ms int64) time.Duration {
	if ms <= 0 {
		return 0
	}
	return max(0, time.UnixMilli(ms).Sub(c.start.Round(0))+clockOrigin)
}

// Deadlines. A client counts its time from when it sent, so the module is told
// somewhat less; the backstop stands between the module's end and the client's.
const (
	clientMargin   = 12 * time.Millisecond
	backstopMargin = 4 * time.Millisecond
)

// answerKind tells how a request ended for its client.
type answerKind uint8

const (
	served answerKind = iota
	refused
	failed
	overdue   // failed because the time was up
	duplicate // its id is that of another request
	answerKinds
)

// outcomeNames are how the control socket words them; a client that left stands
// behind the last.
var outcomeNames = [answerKinds + 1]string{"served", "refused", "failed", "overdue", "duplicate", "left"}

// answer is the one final answer of a request.
type answer struct {
	kind       answerKind
	retryAfter time.Duration // refused
	reply      reply         // served
}

// request is a client's request while the node owes something for it or an
// attempt of it is out. Only the loop touches it.
type request struct {
	id       policy.RequestID
	message  *message
	answers  chan<- answer // room for the one answer
	class    int
	end      time.Duration // attempts are given up
	answered bool
	attempts []*attempt
	out      int
}

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

// loop owns the Balancer, the requests and the clock: one goroutine runs it,
// everything else posts events. It implements policy.Host; actions only start
// goroutines, answer waiting handlers or queue what must reach the module after
// the present event, since the module must not be called from within itself.
type loop struct {
	clock    clock
	upstream *upstream
	watch    func() // asks for a watch of the server list; must not block
	events   chan func()
	stopped  chan struct{}

	balancer *policy.Balancer
	now      time.Duration
	requests map[policy.RequestID]*request
	servers  map[policy.ServerID]backend
	lastID   policy.RequestID
	ids      recentIDs
	counts   [][answerKinds + 1]int64 // by class
	endBy    time.Duration            // the node ends: answers are due by then; 0: not so far
	timers   timerHeap
	queue    []func()
}

func newLoop(set policy.Settings, seed uint64, c clock, up *upstream, watch func()) (*loop, error) {
	l := &loop{
		clock: c, upstream: up, watch: watch,
		events: make(chan func(), 256), stopped: make(chan struct{}),
		ids:      newRecentIDs(set.Classes),
		counts:   make([][answerKinds + 1]int64, len(set.Classes)),
		requests: map[policy.RequestID]*request{}, servers: map[policy.ServerID]backend{},
	}
	var err error
	if l.balancer, err = policy.New(set, seed, l); err != nil {
		return nil, fmt.Errorf("decision module: %w", err)
	}
	return l, nil
}

// run handles events until ctx ends. What is out then is given up.
func (l *loop) run(ctx context.Context) {
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
func (l *loop) tick() time.Duration {
	l.now = max(l.now, l.clock.now())
	return l.now
}

// step handles one event and then what the module's actions have queued.
func (l *loop) step(event func()) {
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
func (l *loop) post(event func()) bool {
	select {
	case l.events <- event:
		return true
	case <-l.stopped:
		return false
	}
}

func (l *loop) after(at time.Duration, fire func()) {
	heap.Push(&l.timers, timer{at, fire})
}

// ---- events

// members takes a list of servers or changes to it. Connections to a server that
// is gone, or that is no longer the process or at the address that it was, are
// closed; a late word on an old server does not touch a new one at its address.
func (l *loop) members(kind policy.ListKind, entries []policy.Entry, endpoints []string) {
	old := l.servers
	if kind == policy.ListFull || kind == policy.ListCached {
		l.servers = make(map[policy.ServerID]backend, len(entries))
	} else {
		old = maps.Clone(old)
	}
	for i, e := range entries {
		if e.State == policy.Gone {
			delete(l.servers, e.Server)
		} else {
			l.servers[e.Server] = backend{e.Server, endpoints[i], e.Started}
		}
	}
	for id, b := range old {
		if l.servers[id] != b {
			l.upstream.drop(b)
		}
	}
	l.balancer.Members(l.now, kind, entries)
}

// submit takes a request in. The answer comes on answers, exactly once.
func (l *loop) submit(q policy.Request, m *message, answers chan<- answer) *request {
	if !l.ids.add(l.now, m.header.Get("X-Correlation-Id")) {
		r := &request{class: q.Class, answers: answers}
		l.answer(r, answer{kind: duplicate})
		return r
	}
	for l.lastID++; l.requests[l.lastID] != nil; l.lastID++ { // ids wrap around in the end
	}
	if l.endBy > 0 {
		m.deadline = min(m.deadline, l.endBy)
	}
	left := max(0, m.deadline-l.now)
	q.ID, q.Left = l.lastID, left-min(clientMargin, left/2)
	r := &request{id: q.ID, class: q.Class, message: m, answers: answers, end: l.now + q.Left}
	l.requests[r.id] = r
	l.balancer.Request(l.now, q)
	if !r.answered {
		l.after(r.end, func() { l.expire(r) })
		l.after(m.deadline-min(backstopMargin, left/4), func() { l.backstop(r) })
	}
	return r
}

// expire gives up what is out at the client's deadline. The module hears of
// time-outs of a request still open and words the final answer itself.
func (l *loop) expire(r *request) {
	for _, a := range r.attempts {
		if !a.over && !r.answered {
			l.abandon(a, policy.Timeout)
		}
	}
}

// backstop guards the rule that each request is answered in its client's time,
// should the module not have done so by now.
func (l *loop) backstop(r *request) {
	if !r.answered {
		l.answer(r, answer{kind: overdue})
		l.balancer.Left(l.now, r.id)
		l.settle(r)
	}
}

// left is told when the client went away.
func (l *loop) left(r *request) {
	if !r.answered {
		r.answered = true
		l.counts[r.class][answerKinds]++
		l.balancer.Left(l.now, r.id)
		l.settle(r)
	}
}

// finished takes what came of an attempt.
func (l *loop) finished(a *attempt, p reply, at time.Duration) {
	if a.over {
		return
	}
	switch {
	case p.status == policy.OK:
		l.answer(a.request, answer{kind: served, reply: p})
	case p.rejected:
		// The request is at fault, and would be at any server: nothing to hold
		// against this one, and nothing to try again.
		l.answer(a.request, answer{kind: failed})
		p.status = policy.Cancelled
	}
	l.outcome(a, p.status, at)
}

// abandon ends an attempt from this side. One that was not written yet can't
// have run, and never will: its goroutine finds the phase changed.
func (l *loop) abandon(a *attempt, status policy.Status) {
	if a.phase.CompareAndSwap(unsent, abandoned) {
		status = policy.Moot
	}
	l.outcome(a, status, l.now)
}

// outcome tells the module of an attempt's end, once for each.
func (l *loop) outcome(a *attempt, status policy.Status, at time.Duration) {
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
func (l *loop) answer(r *request, a answer) {
	if !r.answered {
		r.answered = true
		l.counts[r.class][a.kind]++
		r.answers <- a
	}
}

// settle forgets a request that is answered and has nothing out.
func (l *loop) settle(r *request) {
	if r.answered {
		r.message = nil // the heap may hold the request for a while
		if r.out == 0 {
			delete(l.requests, r.id)
		}
	}
}

// ---- actions

// Send implements policy.Host.
func (l *loop) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
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
		p := l.upstream.roundTrip(ctx, to, m, wait, a.begin)
		at := l.clock.now()
		l.post(func() { l.finished(a, p, at) })
	}()
}

// Cancel implements policy.Host.
func (l *loop) Cancel(id policy.RequestID, index int) {
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
func (l *loop) Refuse(id policy.RequestID, retryAfter time.Duration) {
	l.end(id, answer{kind: refused, retryAfter: retryAfter})
}

// Fail implements policy.Host.
func (l *loop) Fail(id policy.RequestID) { l.end(id, answer{kind: failed}) }

func (l *loop) end(id policy.RequestID, a answer) {
	if r := l.requests[id]; r != nil {
		l.answer(r, a)
		l.settle(r)
	}
}

// SetTimer implements policy.Host.
func (l *loop) SetTimer(at time.Duration, token uint64) {
	l.after(at, func() { l.balancer.Timer(l.now, token) })
}

// WatchList implements policy.Host.
func (l *loop) WatchList() { l.watch() }
