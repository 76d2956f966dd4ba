package core

import (
	"testing"
	"time"

	"otterstep/policy"
)

// Guards against a request that a timer of its earlier deadline ends, before its attempts are ended at the present one.
func TestTimersOfAnEarlierDeadlineEndNothing(t *testing.T) {
	const (
		submitted   = time.Hour
		bodySent    = submitted + 110*time.Millisecond // while the attempts' end by the first deadline is 188 ms, its backstop 196 ms
		firstExpiry = submitted + 190*time.Millisecond
		loopRuns    = submitted + 198500*time.Microsecond // the attempts' end by the second deadline is 198 ms
	)
	for name, holds := range map[string]bool{"an answer is held back": true, "no answer has begun": false} {
		t.Run(name, func(t *testing.T) {
			m, err := NewMachine(settings(), 1)
			if err != nil {
				t.Fatal(err)
			}
			m.UpdateServers(submitted, policy.ListFull, []policy.Entry{{Server: 1, State: policy.Ready, Weight: 1}}, []string{"server 1"})
			m.Submit(submitted, Request{
				Request: policy.Request{Class: 2, Uploading: true}, Name: "a", Deadline: submitted + 200*time.Millisecond, Message: attemptFunc(nil),
			})
			attempt := startedAttempt(t, m)
			if !attempt.Begin() || holds && !attempt.Hold(func() {}) {
				t.Fatal("the attempt was abandoned")
			}
			m.RequestSent(bodySent, attempt, 100*time.Millisecond)
			runTimers(m, firstExpiry)
			if actions := m.Actions(); len(actions) != 0 {
				t.Fatalf("%d actions by the first deadline: %+v", len(actions), actions)
			}
			runTimers(m, loopRuns)
			released, outcomes, summaries := false, []Outcome{}, []AttemptSummary(nil)
			for _, action := range m.Actions() {
				switch action.Kind {
				case ActionRelease:
					released = true
				case ActionRespond:
					outcomes = append(outcomes, action.Answer.Outcome)
					summaries = action.Answer.Attempts
				}
			}
			switch {
			case holds && (!released || len(outcomes) != 0):
				t.Errorf("the answer that was held back is not given: released %v, answered %v", released, outcomes)
			case !holds && (len(outcomes) != 1 || outcomes[0] != Failed):
				t.Errorf("answered %v, want the module's answer, %v", outcomes, Failed)
			case !holds && (len(summaries) != 1 || summaries[0] != AttemptSummary{attempt.To, "timed out", loopRuns - bodySent}):
				t.Errorf("the answer says of the attempts: %+v", summaries)
			}
		})
	}
}

// startedAttempt returns the attempt that the Machine's pending actions start.
func startedAttempt(t *testing.T, m *Machine) *Attempt {
	t.Helper()
	for _, action := range m.Actions() {
		if action.Kind == ActionStart {
			return action.Attempt
		}
	}
	t.Fatal("no attempt was started")
	return nil
}

// runTimers runs the timers that are due, late ones in their order.
func runTimers(m *Machine, now time.Duration) {
	for m.Tick(now) {
	}
}
