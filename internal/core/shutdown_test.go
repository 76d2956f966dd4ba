package core

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"otterstep/policy"
)

// gatedMessage is a message whose attempts stay in the connecting state until the gate opens; then they call Begin.
type gatedMessage struct {
	connecting chan struct{}
	gate       chan struct{}
	begun      chan bool
}

func newGatedMessage() *gatedMessage {
	return &gatedMessage{make(chan struct{}, 8), make(chan struct{}), make(chan bool, 8)}
}

func (m *gatedMessage) Attempt(ctx context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	m.connecting <- struct{}{}
	<-m.gate // ignores ctx: the connection is established at the moment of cancellation
	began := turn.Begin()
	m.begun <- began
	if !began {
		return AttemptResult{Status: policy.NotSent}
	}
	<-ctx.Done()
	return AttemptResult{Status: policy.Cancelled}
}

// No request may be lost when a node shuts down: the process is killed at a fixed time that no client's deadline
// extends, so requests accepted before the shutdown was announced are answered before it too, whatever state they
// are in.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, stop := startWith(t, 1, 2, func(s *policy.Settings) {
			for i := range s.Classes {
				s.Classes[i].Deadline, s.Classes[i].Aim = time.Hour, 30*time.Minute
			}
			s.Limits.MaxOpen = 0
		})
		defer stop()
		silent := func(ctx context.Context, _ Server, _ time.Duration) (policy.Status, bool) {
			<-ctx.Done()
			return policy.Reset, true
		}
		var all []chan Answer
		began := time.Now()
		for n := range 60 { // of all classes; most of them are queued
			answers := make(chan Answer, 1)
			all = append(all, answers)
			l.Submit(Request{
				Request: policy.Request{Class: n % 3, Key: uint64(n)}, Name: fmt.Sprint(n),
				Deadline: l.Clock().Now() + time.Hour, Message: &testMessage{attempt: silent}, Answers: answers,
			})
		}
		const due = 3600 * time.Millisecond
		l.ShutDownIn(due)
		for n, answers := range all {
			if a := <-answers; a.Outcome == Served {
				t.Errorf("%d: served although no server answers", n)
			}
		}
		if took := time.Since(began); took > due {
			t.Errorf("the last answer came after %v, the shutdown is due after %v", took, due)
		}
	})
}

// Guards against work for disconnected clients: an attempt that is still connecting when its client leaves never
// begins, even if the settings forbid cancelling attempts.
func TestNoAttemptBeginsAfterClientIsGone(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for class := range 3 {
			synctest.Test(t, func(t *testing.T) {
				l, stop := startWith(t, 1, 2, func(s *policy.Settings) { s.Limits.Cancel = cancel })
				defer stop()
				m := newGatedMessage()
				ticket, _ := l.Submit(Request{
					Request: policy.Request{Class: class}, Name: "a",
					Deadline: l.Clock().Now() + 2*time.Second, Message: m, Answers: make(chan Answer, 1),
				})
				<-m.connecting
				l.ClientGone(ticket)
				synctest.Wait()
				close(m.gate)
				if <-m.begun {
					t.Errorf("class %d, cancel %v: the attempt began after its client had left", class, cancel)
				}
			})
		}
	}
}

// Drains must be kept while an attempt connects: once its server is listed as draining or gone, has restarted or has
// moved to another address, the attempt never begins there, however late the connection is established, and the request
// goes to another server.
func TestNoAttemptBeginsAtRemovedServer(t *testing.T) {
	for name, change := range map[string]func(*policy.Entry, *string) policy.ListKind{
		"drains":        func(e *policy.Entry, _ *string) policy.ListKind { e.State = policy.Draining; return policy.ListDelta },
		"is gone":       func(e *policy.Entry, _ *string) policy.ListKind { e.State = policy.Gone; return policy.ListDelta },
		"has restarted": func(e *policy.Entry, _ *string) policy.ListKind { e.Started = time.Second; return policy.ListDelta },
		"has moved":     func(_ *policy.Entry, at *string) policy.ListKind { *at = "elsewhere"; return policy.ListDelta },
		"is not named":  func(e *policy.Entry, _ *string) policy.ListKind { e.Server = 3; return policy.ListFull },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, stop := startWith(t, 1, 1, func(*policy.Settings) {})
				defer stop()
				answers, m := make(chan Answer, 1), newGatedMessage()
				l.Submit(Request{
					Request: policy.Request{Class: 2}, Name: "a",
					Deadline: l.Clock().Now() + 2*time.Second, Message: m, Answers: answers,
				})
				<-m.connecting
				l.UpdateServers(policy.ListDelta, []policy.Entry{{Server: 2, State: policy.Ready, Weight: 1}}, []string{"server 2"})
				e, at := policy.Entry{Server: 1, State: policy.Ready, Weight: 1}, "server 1"
				kind := change(&e, &at)
				l.UpdateServers(kind, []policy.Entry{e}, []string{at})
				synctest.Wait()
				close(m.gate)
				if <-m.begun {
					t.Error("the attempt began")
				}
				if !<-m.begun {
					t.Error("no attempt elsewhere")
				}
			})
		})
	}
}
