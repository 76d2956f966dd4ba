package core

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"otterstep/policy"
)

// Guards the bound of the memory of past IDs, and that they are forgotten.
func TestPastIDsExpire(t *testing.T) {
	ids := newRequestIDs(nil)
	use := func(now time.Duration, id string) bool {
		h, ok := ids.begin(now, id)
		if ok {
			ids.end(now, h)
		}
		return ok
	}
	if !use(0, "a") || use(ids.interval, "a") {
		t.Error("an ID must be new once and then known for a while")
	}
	for i := range 1000 {
		use(time.Duration(i)*ids.interval/100, fmt.Sprint("b", i))
	}
	if n := len(ids.open) + len(ids.current) + len(ids.previous); n > 250 {
		t.Errorf("%d IDs held, want at most two generations", n)
	}
	if !use(100*ids.interval, "a") {
		t.Error("an ID is never forgotten")
	}
}

// Whatever two processes that tell each other do, an ID is in use in one of them at most; one that ended recently in either is
// refused by both, and all that the other had is forgotten in time once it is gone.
func TestSharedIDsAreUsedOnce(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		one, other := newRequestIDs(nil), newRequestIDs(nil)
		now := time.Duration(0)
		before, _ := one.begin(now, "before")
		other.learn(now, one.share(now, func(c IDChange) { other.learn(now, c) }))
		one.learn(now, other.share(now, func(c IDChange) { one.learn(now, c) }))
		if _, ok := other.begin(now, "before"); ok {
			t.Fatal("an ID that was in use before the sharing is unknown to the other process")
		}
		one.end(now, before)
		open := map[string]func(){}
		endedAt := map[string]time.Duration{}
		for range 2000 {
			now += time.Duration(rng.IntN(int(one.interval / 50)))
			set := []*requestIDs{&one, &other}[rng.IntN(2)]
			id := fmt.Sprint(rng.IntN(100))
			if end := open[id]; end != nil && rng.IntN(2) == 0 {
				end()
				delete(open, id)
				endedAt[id] = now
				continue
			}
			h, ok := set.begin(now, id)
			ended, recently := endedAt[id]
			switch {
			case ok && open[id] != nil:
				t.Fatalf("seed %d: %s is in use twice", seed, id)
			case ok && recently && now-ended <= set.interval:
				t.Fatalf("seed %d: %s is in use again %v after its end", seed, id, now-ended)
			case ok:
				open[id] = func() { set.end(now, h) }
			}
		}
		one.unshare(now)
		if n := len(one.peer); n != 0 {
			t.Errorf("%d IDs of a process that is gone are in use", n)
		}
	}
}

// longMessage is a request whose body takes uploadTime, if that is not 0, and whose answer is relayed for relayTime.
type longMessage struct{ uploadTime, relayTime time.Duration }

func (m longMessage) Attempt(_ context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	if !turn.Begin() {
		return AttemptResult{Status: policy.NotSent}
	}
	if m.uploadTime > 0 {
		time.Sleep(m.uploadTime) // of the test's own clock, as below
		turn.RequestSent(2 * time.Second)
	}
	if m.relayTime > 0 && !turn.ClaimAnswer() {
		return AttemptResult{Status: policy.Cancelled}
	}
	time.Sleep(m.relayTime)
	return AttemptResult{Status: policy.OK}
}

// Guards against an ID that is served again while the request that has it is open, since servers may then mix up the
// answers: it is in use until the last byte of a long body's or a long answer's request, and remembered for a while.
func TestIDIsInUseUntilTheAnswerEnds(t *testing.T) {
	const long = 5 * time.Minute
	for name, m := range map[string]longMessage{
		"long body": {uploadTime: long}, "long answer": {relayTime: long}, "both": {long / 2, long / 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, stop := startWith(t, 1, 1, func(*policy.Settings) {})
				defer stop()
				submit := func(m Message, uploading bool) <-chan Answer {
					answers := make(chan Answer, 1)
					l.Submit(Request{
						Request: policy.Request{Class: 0, Uploading: uploading}, Name: "a", Deadline: l.Clock().Now() + 2*time.Second,
						Message: m, Answers: answers,
					})
					return answers
				}
				isDuplicate := func() bool {
					select {
					case a := <-submit(longMessage{}, false):
						return a.Outcome == Duplicate
					case <-time.After(time.Minute):
						t.Error("no answer")
						return false
					}
				}
				submit(m, m.uploadTime > 0)
				for elapsed := time.Duration(0); elapsed < long-time.Second; elapsed += 13 * time.Second {
					if !isDuplicate() {
						t.Fatalf("the ID was served again %v after the request began", elapsed)
					}
					time.Sleep(13 * time.Second)
				}
				time.Sleep(time.Second + time.Millisecond) // just behind the end
				if v, err := l.Inspect(t.Context()); err != nil || v.Requests != 0 {
					t.Fatalf("%d requests open, %v", v.Requests, err)
				}
				if !isDuplicate() {
					t.Error("the ID was served again right behind the answer")
				}
				time.Sleep(time.Minute)
				if isDuplicate() {
					t.Error("the ID is never forgotten")
				}
			})
		})
	}
}
