package agentstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func fence(token protocol.Token) *protocol.Fence {
	return &protocol.Fence{Duty: "rollouts", Token: token}
}

// jobOrder is a job's order to an instance, as an owner opens it.
func jobOrder(b *State, n int, instance string, token protocol.Token) Entry {
	i, _ := b.Instance(instance)
	return Entry{Open: &Open{Operator: "ada", Request: protocol.CommandRequest{
		ID: id(n), Kind: protocol.Restart, Resume: true, Fence: fence(token), OnBehalf: "ada",
		Instances: []protocol.InstanceGeneration{{Name: instance, Generation: i.Generation}},
	}}}
}

func errCode(err error) string {
	var e *protocol.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Code
}

// Random histories of calls by old and new owners in any order, mixed with operators' commands
// and restarts of the agent: after a higher token was seen there must be no effect under a lower
// one, whatever was accepted before; one order begins one restart; and an operation that was
// fenced off continues from the process that was running when it began.
func TestNoEffectUnderOutdatedToken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &persistedBook{State: New(names), t: t, now: start}
		var highest protocol.Token
		running := map[string]protocol.Token{} // by "ID INSTANCE": the token of the operation in progress
		startRun := map[string]string{}        // the process that was running when an order's restart began
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			token := protocol.Token(rapid.IntRange(1, 5).Draw(rt, "token"))
			n := rapid.IntRange(0, 2).Draw(rt, "order")
			instance := names[n]
			op := id(n) + " " + instance
			switch rapid.IntRange(0, 9).Draw(rt, "call") {
			case 0:
				_, err := w.do(Entry{Fence: &Fence{Fence: *fence(token), By: "m1"}})
				if (err == nil) != (token >= highest) {
					rt.Fatalf("raise to %v after %v: %v", token, highest, err)
				}
				highest = max(highest, token)
			case 1, 2:
				if _, err := w.do(jobOrder(w.State, n, instance, token)); err == nil {
					if token < highest {
						rt.Fatalf("opened under %v after %v", token, highest)
					}
					highest = max(highest, token)
				}
			case 3, 4:
				run := fmt.Sprint("run", rapid.IntRange(0, 9).Draw(rt, "run"))
				before := w.Operation(id(n), instance)
				done, err := w.do(Entry{Begin: &Begin{ID: id(n), Instance: instance, Run: run, Fence: fence(token)}})
				if err == nil && !done {
					if token < highest {
						rt.Fatalf("begun under %v after %v", token, highest)
					}
					running[op] = token
					if before == nil || before.State == protocol.Failed {
						startRun[op] = run
					}
					if got := w.RunTokenAt(id(n), instance); got != startRun[op] {
						rt.Fatalf("%s continues from %s, but it began from %s", op, got, startRun[op])
					}
				}
			case 5:
				_, err := w.do(Entry{Step: &Step{ID: id(n), Instance: instance, Name: "term"}})
				if err == nil && running[op] < highest {
					rt.Fatalf("an effect under %v after %v", running[op], highest)
				}
				if errCode(err) == protocol.CodeFenced {
					if _, err := w.do(Entry{End: &End{ID: id(n), Instance: instance, State: protocol.Interrupted, Reason: err.Error()}}); err != nil {
						rt.Fatal(err)
					}
				}
			case 6:
				if o := w.Operation(id(n), instance); o != nil && o.State == protocol.Running && o.Token >= highest {
					state := rapid.SampledFrom([]string{protocol.Done, protocol.Failed}).Draw(rt, "end")
					if _, err := w.do(Entry{End: &End{ID: id(n), Instance: instance, State: state}}); err != nil {
						rt.Fatal(err)
					}
				}
			case 7:
				closing := Close{ID: id(n), State: protocol.Closed, Fence: fence(token)}
				if rapid.Bool().Draw(rt, "its lease ends") {
					closing = Close{ID: id(n), State: protocol.Expired}
				}
				c := w.Command(id(n))
				done, err := w.do(Entry{Close: &closing})
				if err == nil && !done && closing.Fence != nil && token != c.Fence.Token {
					rt.Fatalf("closed under token %v, but it was opened under %v", token, c.Fence.Token)
				}
			case 9: // a new owner resumes an order
				token = highest + 1
				highest = token
				if _, err := w.do(jobOrder(w.State, n, instance, token)); err != nil {
					rt.Fatal(err)
				}
				run := fmt.Sprint("run", rapid.IntRange(0, 9).Draw(rt, "run"))
				before := w.Operation(id(n), instance)
				done, err := w.do(Entry{Begin: &Begin{ID: id(n), Instance: instance, Run: run, Fence: fence(token)}})
				if err != nil || done != (before != nil && before.State == protocol.Done) {
					rt.Fatalf("resumed from %+v: %v, %v", before, done, err)
				}
				if !done {
					running[op] = token
				}
				if before == nil || before.State == protocol.Failed {
					startRun[op] = run
				}
				if got := w.RunTokenAt(id(n), instance); got != startRun[op] {
					rt.Fatalf("%s continues from %s, but it began from %s", op, got, startRun[op])
				}
			case 8: // the agent dies and replays its record, or its snapshot
				replayed := New(names)
				if rapid.Bool().Draw(rt, "snapshot") {
					text, err := json.Marshal(Entry{Snapshot: w.Snapshot()})
					if err != nil {
						rt.Fatal(err)
					}
					w.entries = [][]byte{text}
				}
				for _, text := range w.entries {
					var e Entry
					if err := json.Unmarshal(text, &e); err != nil {
						rt.Fatal(err)
					}
					replayed.Apply(e)
				}
				w.State = replayed
				if got := w.Fences()["rollouts"]; got != highest {
					rt.Fatalf("token %v after the restart, want %v", got, highest)
				}
			}
		}
	})
}

// Only the job's owner may change its order, and an operator's drain in the meantime prevails.
func TestJobOrders(t *testing.T) {
	w := newBook(t)
	if _, err := w.do(jobOrder(w.State, 1, "a", 2)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		e    Entry
		code string
	}{
		"closed by a tool":                       {Entry{Close: &Close{ID: id(1), State: protocol.Closed}}, protocol.CodeConflict},
		"begun by a tool":                        {Entry{Begin: &Begin{ID: id(1), Instance: "a"}}, protocol.CodeConflict},
		"begun by an old owner":                  {Entry{Begin: &Begin{ID: id(1), Instance: "a", Fence: fence(1)}}, protocol.CodeFenced},
		"begun by a new owner that did not open": {Entry{Begin: &Begin{ID: id(1), Instance: "a", Fence: fence(3)}}, protocol.CodeConflict},
		"of another duty":                        {Entry{Begin: &Begin{ID: id(1), Instance: "a", Fence: &protocol.Fence{Duty: "x", Token: 9}}}, protocol.CodeConflict},
		"opened by a tool": {Entry{Open: &Open{Operator: "ada", Request: protocol.CommandRequest{
			ID: id(1), Kind: protocol.Restart, Resume: true, Instances: []protocol.InstanceGeneration{{Name: "a"}}}}}, protocol.CodeConflict},
		"opened by an old owner": {jobOrder(w.State, 1, "a", 1), protocol.CodeFenced},
		"no token":               {Entry{Fence: &Fence{Fence: *fence(0)}}, protocol.CodeUsage},
		"no duty":                {Entry{Fence: &Fence{Fence: protocol.Fence{Duty: "a b", Token: 1}}}, protocol.CodeUsage},
	} {
		if _, err := w.Check(c.e); errCode(err) != c.code {
			t.Errorf("%s: %v, want %s", name, err, c.code)
		}
	}
	// Drained between the owner's read of the state and its order: the order is refused, also
	// when it resumes an earlier one.
	stale := jobOrder(w.State, 2, "b", 2)
	if err := w.open(id(3), protocol.Drain, "eve", "b"); err != nil {
		t.Fatal(err)
	}
	if _, err := w.do(Entry{Begin: &Begin{ID: id(3), Instance: "b"}}); err != nil {
		t.Fatal(err)
	}
	for _, e := range []Entry{
		{End: &End{ID: id(3), Instance: "b", State: protocol.Done}}, {Close: &Close{ID: id(3), State: protocol.Closed}},
	} {
		if _, err := w.do(e); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.Check(stale); errCode(err) != protocol.CodeConflict || !strings.Contains(err.Error(), "has changed since") {
		t.Errorf("a drain is undone: %v", err)
	}
	// An order with the present generation, as its owner read the drained instance before the
	// desired state was known to it.
	if _, err := w.Check(jobOrder(w.State, 4, "b", 2)); errCode(err) != protocol.CodeConflict || !strings.Contains(err.Error(), "b is drained") {
		t.Errorf("a drain is undone: %v", err)
	}
}

func TestFencesAreBounded(t *testing.T) {
	w := newBook(t)
	for n := range MaxFences {
		if _, err := w.do(Entry{Fence: &Fence{Fence: protocol.Fence{Duty: fmt.Sprint("d", n), Token: 1}}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.do(Entry{Fence: &Fence{Fence: protocol.Fence{Duty: "more", Token: 1}}}); errCode(err) != protocol.CodeUsage {
		t.Errorf("one duty too many: %v", err)
	}
	if _, err := w.do(Entry{Fence: &Fence{Fence: protocol.Fence{Duty: "d0", Token: 2}}}); err != nil {
		t.Errorf("a known duty: %v", err)
	}
}
