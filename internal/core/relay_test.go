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

// streamingMessage simulates servers whose answers take longer than any deadline, or that fail
// before they begin one.
type streamingMessage struct {
	mu      sync.Mutex
	rng     *rand.Rand
	relayed int
	cutOff  bool // the Loop ended an attempt whose answer was being relayed
}

func (m *streamingMessage) chance(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

func (m *streamingMessage) Attempt(ctx context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	if !turn.Begin() {
		return AttemptResult{Status: policy.NotSent}
	}
	time.Sleep(time.Duration(m.chance(1100)) * time.Millisecond) // ignores ctx: ClaimAnswer must detect that the attempt was abandoned
	if m.chance(4) == 0 {
		return AttemptResult{Status: policy.Error}
	}
	if !turn.ClaimAnswer() {
		return AttemptResult{Status: policy.Cancelled}
	}
	m.mu.Lock()
	m.relayed++
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		m.mu.Lock()
		m.cutOff = true
		m.mu.Unlock()
		return AttemptResult{Status: policy.Cancelled}
	case <-time.After(5 * time.Second):
	}
	if m.chance(3) == 0 {
		return AttemptResult{Status: policy.Reset}
	}
	return AttemptResult{Status: policy.OK}
}

// An answer that is relayed to the client as it arrives is the request's only answer, whatever
// happens with the deadline, other attempts or the client meanwhile, and it is not cut off.
func TestRelayedAnswerIsTheOnlyOne(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			l, stop := start(t, seed, 40)
			defer stop()
			rng := rand.New(rand.NewPCG(seed, 8))
			var clients sync.WaitGroup
			passed, answered := 0, 0
			var mu sync.Mutex
			for n := range 120 {
				time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
				m := &streamingMessage{rng: rand.New(rand.NewPCG(seed, uint64(n)))}
				answers := make(chan Answer, 2)
				ticket, ok := l.Submit(Request{
					Request: policy.Request{Class: n % 3}, Name: fmt.Sprint(n),
					Deadline: l.Clock().Now() + time.Second, Message: m, Answers: answers,
				})
				if !ok {
					t.Fatal("request not accepted")
				}
				leaves := rng.IntN(8) == 0
				clients.Go(func() {
					if leaves {
						time.Sleep(100 * time.Millisecond)
						l.ClientGone(ticket)
					}
					time.Sleep(10 * time.Second)
					m.mu.Lock()
					defer m.mu.Unlock()
					mu.Lock()
					defer mu.Unlock()
					got := m.relayed + len(answers)
					if got > 1 || got == 0 && !leaves || m.cutOff {
						t.Errorf("seed %d, request %d: %d relayed, %d answers, cut off %v", seed, n, m.relayed, len(answers), m.cutOff)
					}
					passed += m.relayed
					answered += len(answers)
				})
			}
			clients.Wait()
			v, err := l.Inspect(t.Context())
			if err != nil || v.Requests != 0 || v.Open != 0 || v.InFlight != 0 {
				t.Errorf("seed %d: state left over: %+v, %v", seed, v, err)
			}
			if passed < 20 || answered < 5 {
				t.Errorf("seed %d: %d relayed, %d answered otherwise: too few for a meaningful check", seed, passed, answered)
			}
		})
	}
}
