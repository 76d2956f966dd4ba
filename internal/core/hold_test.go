package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"otterstep/policy"
)

// holdingMessage simulates servers whose answers begin at any time, are held back, and then come whole, fail, or are relayed
// since they were held for long enough.
type holdingMessage struct {
	seed     uint64
	attempts atomic.Uint64
	relayed  atomic.Int32
	holding  atomic.Int32 // attempts that hold an answer back
	cutOff   atomic.Int32 // of those that were relayed
}

func (m *holdingMessage) Attempt(ctx context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	rng := rand.New(rand.NewPCG(m.seed, m.attempts.Add(1)))
	wait := func(most int) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(most)) * time.Millisecond):
		}
	}
	if !turn.Begin() {
		return AttemptResult{Status: policy.NotSent}
	}
	wait(900)
	released := make(chan struct{})
	if !turn.Hold(func() { close(released) }) {
		return AttemptResult{Status: policy.Cancelled}
	}
	m.holding.Add(1)
	defer m.holding.Add(-1)
	if rng.IntN(4) == 0 {
		turn.Stalled()
	}
	select {
	case <-released:
	case <-ctx.Done():
	case <-time.After(time.Duration(rng.IntN(1200))*time.Millisecond + time.Microsecond): // not in the deadline's very moment
		if end := rng.IntN(3); end > 0 && turn.EndHold() {
			return AttemptResult{Status: []policy.Status{policy.OK, policy.Reset}[end-1]}
		}
	}
	if !turn.ClaimAnswer() {
		return AttemptResult{Status: policy.Cancelled}
	}
	m.relayed.Add(1)
	select {
	case <-ctx.Done():
		m.cutOff.Add(1)
	case <-time.After(3 * time.Second):
	}
	return AttemptResult{Status: policy.OK}
}

// Guards against answers that are thrown away at the end of their client's time although they are under way: one that is
// held back then becomes the final one. Whatever else happens, there is one answer, and a relayed one is not cut off.
func TestHeldAnswerIsGivenAtTheDeadline(t *testing.T) {
	atDeadline := 0
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			l, stop := startWith(t, seed, 8, func(s *policy.Settings) { s.Limits.SecondCopies, s.Limits.Cancel = true, seed%2 == 0 })
			defer stop()
			m := &holdingMessage{seed: seed}
			answers := make(chan Answer, 2)
			if _, ok := l.Submit(Request{
				Request: policy.Request{Class: int(seed % 3)}, Name: fmt.Sprint(seed), Deadline: l.Clock().Now() + time.Second, Message: m, Answers: answers,
			}); !ok {
				t.Fatal("request not accepted")
			}
			time.Sleep(time.Second - clientMargin - 1) // right before; of the test's own clock
			held := m.holding.Load() > 0 && m.relayed.Load() == 0 && len(answers) == 0
			time.Sleep(clientMargin + 1)
			if got := int(m.relayed.Load()) + len(answers); got != 1 {
				t.Errorf("seed %d: %d relayed, %d answered at the deadline", seed, m.relayed.Load(), len(answers))
			}
			if held {
				atDeadline++
				if m.relayed.Load() != 1 && (<-answers).Outcome != Served {
					t.Errorf("seed %d: the answer that was held back is not given", seed)
				}
			}
			time.Sleep(10 * time.Second)
			v, err := l.Inspect(t.Context())
			if class := int(seed % 3); held && v.AtDeadline[class] != 1 {
				t.Errorf("seed %d: %d answers counted that were held back until the deadline", seed, v.AtDeadline[class])
			}
			if err != nil || v.Requests != 0 || v.Open != 0 || v.InFlight != 0 || m.cutOff.Load() != 0 {
				t.Errorf("seed %d: state left over: %+v, %v; %d cut off", seed, v, err, m.cutOff.Load())
			}
		})
	}
	if atDeadline < 20 {
		t.Errorf("only %d of 300 requests had an answer that was held back at their deadline", atDeadline)
	}
}

// attemptFunc is a function as a Message.
type attemptFunc func(context.Context, AttemptHandle) AttemptResult

// Attempt implements Message.
func (f attemptFunc) Attempt(ctx context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	return f(ctx, turn)
}

// Guards against answers that are cut off by a shutdown while they are held back: their requests are due earlier then.
func TestHeldAnswerIsGivenAtTheShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, stop := start(t, 1, 3)
		defer stop()
		released := make(chan struct{})
		claimed := make(chan bool, 1)
		answers := make(chan Answer, 1)
		m := attemptFunc(func(ctx context.Context, turn AttemptHandle) AttemptResult {
			if !turn.Begin() || !turn.Hold(func() { close(released) }) {
				return AttemptResult{Status: policy.NotSent}
			}
			select {
			case <-released:
			case <-ctx.Done():
			}
			claimed <- turn.ClaimAnswer()
			return AttemptResult{Status: policy.OK}
		})
		began := time.Now()
		if _, ok := l.Submit(Request{Name: "a", Deadline: l.Clock().Now() + 2*time.Second, Message: m, Answers: answers}); !ok {
			t.Fatal("request not accepted")
		}
		synctest.Wait()
		l.ShutDownIn(500 * time.Millisecond)
		if !<-claimed || time.Since(began) > 500*time.Millisecond || len(answers) != 0 {
			t.Errorf("not given behind %v, %d other answers", time.Since(began), len(answers))
		}
	})
}
