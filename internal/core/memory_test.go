package core

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"otterstep/policy"
)

// servedMessage is a message whose attempts succeed at once; if its first byte is set their answers are relayed. Its bytes stand for what a front holds of a request.
type servedMessage [4 << 10]byte

func (m *servedMessage) Attempt(_ context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	if !turn.Begin() {
		return AttemptResult{Status: policy.NotSent}
	}
	if m[0] != 0 && !turn.ClaimAnswer() {
		return AttemptResult{Status: policy.Cancelled}
	}
	return AttemptResult{Status: policy.OK}
}

// submitServed submits requests that are answered at once and are due in an hour, and returns their messages.
func submitServed(t *testing.T, l *Loop, count int) (messages []weak.Pointer[servedMessage]) {
	t.Helper()
	for n := range count {
		m := &servedMessage{byte(n % 2)}
		messages = append(messages, weak.Make(m))
		answers := make(chan Answer, 1)
		l.Submit(Request{
			Request: policy.Request{Class: 0}, Name: fmt.Sprint(n), Deadline: l.Clock().Now() + time.Hour,
			Message: m, Answers: answers,
		})
		synctest.Wait()
		if n%2 == 1 {
			continue // its answer was relayed
		}
		if a := <-answers; a.Outcome != Served {
			t.Errorf("request %d: %v", n, a.Outcome)
		}
	}
	return messages
}

// Guards against memory that requests hold after their end: the timers of their deadlines keep nothing of what a front
// knows of a request, such as its header and body.
func TestEndedRequestsReleaseTheirMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, stop := startWith(t, 1, 1, func(s *policy.Settings) {
			for i := range s.Classes {
				s.Classes[i].Deadline, s.Classes[i].Aim = time.Hour, 30*time.Minute
			}
		})
		defer stop()
		messages := submitServed(t, l, 100)
		synctest.Wait()
		runtime.GC()
		held := 0
		for _, m := range messages {
			if m.Value() != nil {
				held++
			}
		}
		if v, err := l.Inspect(t.Context()); err != nil || v.Timers < len(messages) {
			t.Fatalf("%d timers, %v: too few for the test to show anything", v.Timers, err)
		}
		if held > 1 { // the last one may be on a stack
			t.Errorf("%d of %d messages are held", held, len(messages))
		}
	})
}
