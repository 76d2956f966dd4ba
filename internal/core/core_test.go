package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"otterstep/policy"
)

func settings() policy.Settings {
	s := policy.Defaults()
	for _, e := range []policy.Effect{policy.Safe, policy.Keyed, policy.Unsafe} {
		s.Classes = append(s.Classes, policy.Class{Deadline: 2 * time.Second, Aim: time.Second, Worth: 1, Effect: e, Window: time.Hour})
	}
	s.Limits = policy.Limits{MaxAttempts: 4, SecondCopies: true, Cancel: true, MaxRetryAfter: time.Second}
	return s
}

// start runs a loop with ready servers 1 to n until stop is called.
func start(t *testing.T, seed uint64, n int) (l *Loop, stop func()) {
	t.Helper()
	return startWith(t, seed, n, func(*policy.Settings) {})
}

// startWith is start with changed settings.
func startWith(t *testing.T, seed uint64, n int, change func(*policy.Settings)) (l *Loop, stop func()) {
	t.Helper()
	set := settings()
	change(&set)
	l, err := New(Options{Settings: set, Seed: seed, Clock: NewClock(), Watch: func() {}, Drop: func(Server) {}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	var entries []policy.Entry
	var addrs []string
	for i := range n {
		entries = append(entries, policy.Entry{Server: policy.ServerID(i + 1), State: policy.Ready, Weight: 1})
		addrs = append(addrs, fmt.Sprint("server ", i+1))
	}
	l.UpdateServers(policy.ListFull, entries, addrs)
	return l, func() {
		cancel()
		<-l.Stopped()
	}
}

// testMessage is a Message without a protocol: the attempt function stands in for the server.
type testMessage struct {
	mu      sync.Mutex
	begun   []Server
	ran     int // attempts that their server processed, or may have
	attempt func(ctx context.Context, to Server, wait time.Duration) (policy.Status, bool)
}

func (m *testMessage) Attempt(ctx context.Context, to Server, end time.Time, turn AttemptHandle) AttemptResult {
	if !turn.Begin() {
		return AttemptResult{Status: policy.NotSent}
	}
	m.mu.Lock()
	m.begun = append(m.begun, to)
	m.mu.Unlock()
	status, ran := m.attempt(ctx, to, time.Until(end))
	if ran {
		m.mu.Lock()
		m.ran++
		m.mu.Unlock()
	}
	return AttemptResult{Status: status, Body: to.Addr}
}

// respondWith returns an attempt function that answers immediately with the given status.
func respondWith(s policy.Status) func(context.Context, Server, time.Duration) (policy.Status, bool) {
	return func(context.Context, Server, time.Duration) (policy.Status, bool) { return s, s == policy.OK }
}

// With random server failures and clients that disconnect, each request ends exactly once and
// within its deadline; an unsafe one runs at most once, and one that has run is not refused.
func TestEachRequestEndsOnce(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, stop := start(t, seed, 4)
				defer stop()
				rng := rand.New(rand.NewPCG(seed, 6))
				var mu sync.Mutex // over rng
				chance := func(n int) int {
					mu.Lock()
					defer mu.Unlock()
					return rng.IntN(n)
				}
				var clients sync.WaitGroup
				for n := range 150 {
					time.Sleep(time.Duration(chance(20)) * time.Millisecond)
					m := &testMessage{attempt: func(ctx context.Context, _ Server, wait time.Duration) (policy.Status, bool) {
						select {
						case <-time.After(time.Duration(chance(60)) * time.Millisecond):
						case <-ctx.Done():
							return policy.Reset, true
						}
						switch chance(8) {
						case 0:
							return policy.ConnectFailed, false
						case 1:
							return policy.Full, false
						case 2:
							return policy.Error, true
						case 3:
							return policy.Reset, true
						case 4:
							select { // silent
							case <-ctx.Done():
							case <-time.After(wait):
							}
							return policy.Timeout, true
						}
						return policy.OK, true
					}}
					class, leaves := chance(3), chance(10) == 0
					answers := make(chan Answer, 2)
					left := time.Duration(100+chance(1900)) * time.Millisecond
					began := time.Now()
					ticket, ok := l.Submit(Request{
						Request: policy.Request{Class: class, Key: uint64(n)}, Name: fmt.Sprint(n),
						Deadline: l.Clock().Now() + left, Message: m, Answers: answers,
					})
					if !ok {
						t.Fatal("request not accepted")
					}
					clients.Go(func() {
						if leaves {
							time.Sleep(time.Duration(chance(50)) * time.Millisecond)
							l.ClientGone(ticket)
							time.Sleep(5 * time.Second)
							if len(answers) > 1 {
								t.Errorf("%d: %d answers", n, len(answers))
							}
							return
						}
						a := <-answers
						if took := time.Since(began); took > left {
							t.Errorf("%d: ended after %v of %v", n, took, left)
						}
						time.Sleep(5 * time.Second)
						m.mu.Lock()
						defer m.mu.Unlock()
						if len(answers) > 0 {
							t.Errorf("%d: a second answer", n)
						}
						if class == 2 && (m.ran > 1 || a.Outcome == Refused && m.ran > 0) {
							t.Errorf("%d: an unsafe request ran %d times and ended as %v", n, m.ran, a.Outcome)
						}
						if a.Outcome == Served && a.Body == nil {
							t.Errorf("%d: served without a body", n)
						}
					})
				}
				clients.Wait()
				v, err := l.Inspect(t.Context())
				if err != nil || v.Requests != 0 || v.Timers > 2 || v.Open != 0 || v.Members != 4 {
					t.Errorf("state left over: %+v, %v", v, err)
				}
				ends := int64(0)
				for _, class := range v.Counts {
					for _, n := range class {
						ends += n
					}
				}
				if ends != 150 {
					t.Errorf("%d ended requests were counted, want 150", ends)
				}
			})
		})
	}
}

// submitAndWait submits a request and waits for its answer.
func submitAndWait(t *testing.T, l *Loop, name string, class int, m Message) Answer {
	t.Helper()
	answers := make(chan Answer, 1)
	if _, ok := l.Submit(Request{
		Request: policy.Request{Class: class}, Name: name, Deadline: l.Clock().Now() + time.Second, Message: m, Answers: answers,
	}); !ok {
		t.Fatal("request not accepted")
	}
	return <-answers
}

func TestDuplicateNamesAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, stop := start(t, 1, 1)
		defer stop()
		m := &testMessage{attempt: respondWith(policy.OK)}
		if a := submitAndWait(t, l, "x", 0, m); a.Outcome != Served || a.Body != "server 1" {
			t.Errorf("first: %+v", a)
		}
		if a := submitAndWait(t, l, "x", 0, m); a.Outcome != Duplicate || len(m.begun) != 1 {
			t.Errorf("second: %+v, %d attempts", a, len(m.begun))
		}
		time.Sleep(time.Minute)
		if a := submitAndWait(t, l, "x", 0, m); a.Outcome != Served {
			t.Errorf("a minute later: %+v", a)
		}
	})
}

// A request that a server rejects as invalid fails immediately, is not retried, and does not
// count against the server.
func TestRejectedRequestsFailAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, stop := start(t, 1, 3)
		defer stop()
		for n := range 10 {
			if a := submitAndWait(t, l, fmt.Sprint(n), 0, rejectedMessage{}); a.Outcome != Failed {
				t.Errorf("%+v", a)
			}
		}
		v, err := l.Inspect(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range v.Servers {
			if s.Breaker != "closed" || s.Success < 1 {
				t.Errorf("%+v", s)
			}
		}
	})
}

type rejectedMessage struct{}

func (rejectedMessage) Attempt(_ context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	turn.Begin()
	return AttemptResult{Status: policy.Error, Rejected: true}
}

// No attempt begins at a server once the loop has abandoned it.
func TestAbandonedAttemptsNeverBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, stop := start(t, 1, 1)
		defer stop()
		m := &slowConnect{began: make(chan bool, 1)}
		if a := submitAndWait(t, l, "x", 2, m); a.Outcome != Refused {
			t.Errorf("ended as %v, want a refusal because nothing was sent", a.Outcome)
		}
		if <-m.began {
			t.Error("the attempt began after the client's deadline")
		}
	})
}

// slowConnect is slow to connect and ignores its context.
type slowConnect struct{ began chan bool }

func (m *slowConnect) Attempt(_ context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	time.Sleep(3 * time.Second)
	m.began <- turn.Begin()
	return AttemptResult{Status: policy.NotSent}
}

func TestRemovedServersAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dropped []string
		l, err := New(Options{Settings: settings(), Clock: NewClock(), Watch: func() {}, Drop: func(s Server) { dropped = append(dropped, s.Addr) }})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.Run(ctx)
		list := func(kind policy.ListKind, addr string, e policy.Entry) {
			l.UpdateServers(kind, []policy.Entry{e}, []string{addr})
		}
		list(policy.ListFull, "a", policy.Entry{Server: 1, State: policy.Ready})
		list(policy.ListDelta, "a", policy.Entry{Server: 1, State: policy.Draining})
		list(policy.ListDelta, "b", policy.Entry{Server: 1, State: policy.Ready})                       // another address
		list(policy.ListDelta, "b", policy.Entry{Server: 1, State: policy.Ready, Started: time.Second}) // another process
		list(policy.ListDelta, "b", policy.Entry{Server: 1, State: policy.Gone})
		list(policy.ListDelta, "b", policy.Entry{Server: 1, State: policy.Gone})
		if got := fmt.Sprint(dropped); got != "[a b b]" {
			t.Errorf("dropped %v", got)
		}
	})
}

func TestStoppedLoopAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, stop := start(t, 1, 1)
		stop()
		for range 300 { // more than its queue holds
			if _, ok := l.Submit(Request{Answers: make(chan Answer, 1)}); !ok {
				break
			}
		}
		if _, err := l.Inspect(t.Context()); err == nil {
			t.Error("a stopped loop was inspected")
		}
		l.UpdateServers(policy.ListFull, nil, nil) // must return
	})
}

// Accepted and StreamStarted reach the decision module until the attempt is over.
func TestTurnEventsReachTheModule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := settings()
		set.Classes[2].Parked = true
		l, err := New(Options{Settings: set, Clock: NewClock(), Watch: func() {}, Drop: func(Server) {}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.Run(ctx)
		l.UpdateServers(policy.ListFull, []policy.Entry{{Server: 1, State: policy.Ready}}, []string{"a"})
		for n := range 3 {
			m := &turnReporter{turns: make(chan AttemptHandle, 1), answer: make(chan struct{})}
			answers := make(chan Answer, 1)
			l.Submit(Request{Request: policy.Request{Class: 2}, Name: fmt.Sprint(n), Deadline: l.Clock().Now() + time.Second, Message: m, Answers: answers})
			turn := <-m.turns // the next request is sent only if this one counts as no load
			turn.Accepted()
			turn.StreamStarted()
			if n < 2 {
				defer close(m.answer)
				continue
			}
			close(m.answer)
			<-answers
			turn.StreamStarted() // the attempt is over: has no effect
		}
		v, err := l.Inspect(t.Context())
		if err != nil || v.Servers[0].InFlight != 0 || v.Servers[0].Judged != 3 || v.InFlight != 0 || v.Requests != 2 {
			t.Errorf("%+v, %v", v, err)
		}
	})
}

// turnReporter passes its AttemptHandle to the test and answers when the test says so.
type turnReporter struct {
	turns  chan AttemptHandle
	answer chan struct{}
}

func (m *turnReporter) Attempt(_ context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	turn.Begin()
	m.turns <- turn
	<-m.answer
	return AttemptResult{Status: policy.OK}
}

// An attempt is given the time at which it ends, not the time left. When it was given the time left, it counted that from
// the moment at which its goroutine was scheduled, and beside busy loops a server was told 11 ms more than its client had
// left (TestTimeLeftExcludesConnect in package node). The goroutine is delayed here by 300 ms.
func TestDelayedGoroutineKeepsItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, err := New(Options{Settings: settings(), Clock: NewClock(), Watch: func() {}, Drop: func(Server) {}})
		if err != nil {
			t.Fatal(err)
		}
		now := l.clock.Now()
		l.machine.UpdateServers(now, policy.ListFull, []policy.Entry{{Server: 1, State: policy.Ready}}, []string{"a"})
		left := time.Duration(0)
		m := &testMessage{attempt: func(_ context.Context, _ Server, wait time.Duration) (policy.Status, bool) {
			left = wait
			return policy.OK, true
		}}
		l.machine.Submit(now, Request{Name: "r", Deadline: now + time.Second, Message: m, Answers: make(chan Answer, 1)})
		for _, a := range l.machine.Actions() {
			if a.Kind == ActionStart {
				time.Sleep(300 * time.Millisecond) // virtual time in the synctest bubble
				l.runAttempt(t.Context(), a.Attempt)
			}
		}
		if left <= 0 || left > 700*time.Millisecond {
			t.Errorf("an attempt that starts 300 ms late has %v of 1 s left", left)
		}
	})
}
