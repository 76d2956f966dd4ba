package book

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/drawn"
)

func TestMain(m *testing.M) { drawn.Main(m) }

func fence(token protocol.Token) *protocol.Fence {
	return &protocol.Fence{Duty: "rollouts", Token: token}
}

// order is a job's order to an instance, as an owner opens it.
func order(b *Book, n int, instance string, token protocol.Token) Entry {
	i, _ := b.Instance(instance)
	return Entry{Open: &Open{Operator: "ada", Request: protocol.CommandRequest{
		ID: id(n), Kind: protocol.Restart, Resume: true, Fence: fence(token), OnBehalf: "ada",
		Instances: []protocol.Seen{{Name: instance, Generation: i.Generation}},
	}}}
}

func errCode(err error) string {
	var e *protocol.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.Code
}

// Drawn histories of owners old and new, whose calls arrive in any order, with operators and
// restarts of the agent among them: no effect under a token behind a higher one, whatever was
// accepted before; one order begins one restart; and what was fenced off goes on from the
// process that ran when it began.
func TestNoEffectBehindAHigherToken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &written{Book: New(names), t: t, now: start}
		var highest protocol.Token
		running := map[string]protocol.Token{} // by ID INSTANCE: the token of the operation under way
		first := map[string]string{}           // the run that an order's restart began from
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			token := protocol.Token(rapid.IntRange(1, 5).Draw(rt, "token"))
			n := rapid.IntRange(0, 2).Draw(rt, "order")
			instance := names[n]
			op := id(n) + " " + instance
			switch rapid.IntRange(0, 9).Draw(rt, "call") {
			case 0:
				_, err := w.do(Entry{Fence: &Fence{Fence: *fence(token), By: "m1"}})
				if (err == nil) != (token >= highest) {
					rt.Fatalf("raise to %v behind %v: %v", token, highest, err)
				}
				highest = max(highest, token)
			case 1, 2:
				if _, err := w.do(order(w.Book, n, instance, token)); err == nil {
					if token < highest {
						rt.Fatalf("opened under %v behind %v", token, highest)
					}
					highest = max(highest, token)
				}
			case 3, 4:
				run := fmt.Sprint("run", rapid.IntRange(0, 9).Draw(rt, "run"))
				before := w.Operation(id(n), instance)
				done, err := w.do(Entry{Begin: &Begin{ID: id(n), Instance: instance, Run: run, Fence: fence(token)}})
				if err == nil && !done {
					if token < highest {
						rt.Fatalf("begun under %v behind %v", token, highest)
					}
					running[op] = token
					if before == nil || before.State == protocol.Failed {
						first[op] = run
					}
					if got := w.RunAt(id(n), instance); got != first[op] {
						rt.Fatalf("%s goes on from %s, it began from %s", op, got, first[op])
					}
				}
			case 5:
				_, err := w.do(Entry{Step: &Step{ID: id(n), Instance: instance, Name: "term"}})
				if err == nil && running[op] < highest {
					rt.Fatalf("an effect under %v behind %v", running[op], highest)
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
					rt.Fatalf("closed under %v, it is %v's", token, c.Fence.Token)
				}
			case 9: // an owner comes and takes an order up
				token = highest + 1
				highest = token
				if _, err := w.do(order(w.Book, n, instance, token)); err != nil {
					rt.Fatal(err)
				}
				run := fmt.Sprint("run", rapid.IntRange(0, 9).Draw(rt, "run"))
				before := w.Operation(id(n), instance)
				done, err := w.do(Entry{Begin: &Begin{ID: id(n), Instance: instance, Run: run, Fence: fence(token)}})
				if err != nil || done != (before != nil && before.State == protocol.Done) {
					rt.Fatalf("taken up from %+v: %v, %v", before, done, err)
				}
				if !done {
					running[op] = token
				}
				if before == nil || before.State == protocol.Failed {
					first[op] = run
				}
				if got := w.RunAt(id(n), instance); got != first[op] {
					rt.Fatalf("%s goes on from %s, it began from %s", op, got, first[op])
				}
			case 8: // the agent dies and reads its record, or its snapshot
				again := New(names)
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
					again.Apply(e)
				}
				w.Book = again
				if got := w.Fences()["rollouts"]; got != highest {
					rt.Fatalf("token %v after the restart, want %v", got, highest)
				}
			}
		}
	})
}

// What nobody but the job's owner may do to its order, and what an operator did meanwhile.
func TestOrdersOfAJob(t *testing.T) {
	w := newWritten(t)
	if _, err := w.do(order(w.Book, 1, "a", 2)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		e    Entry
		code string
	}{
		"closed by a tool":                     {Entry{Close: &Close{ID: id(1), State: protocol.Closed}}, protocol.CodeConflict},
		"begun by a tool":                      {Entry{Begin: &Begin{ID: id(1), Instance: "a"}}, protocol.CodeConflict},
		"begun by an old one":                  {Entry{Begin: &Begin{ID: id(1), Instance: "a", Fence: fence(1)}}, protocol.CodeFenced},
		"begun by a new one that did not open": {Entry{Begin: &Begin{ID: id(1), Instance: "a", Fence: fence(3)}}, protocol.CodeConflict},
		"of another duty":                      {Entry{Begin: &Begin{ID: id(1), Instance: "a", Fence: &protocol.Fence{Duty: "x", Token: 9}}}, protocol.CodeConflict},
		"opened by a tool": {Entry{Open: &Open{Operator: "ada", Request: protocol.CommandRequest{
			ID: id(1), Kind: protocol.Restart, Resume: true, Instances: []protocol.Seen{{Name: "a"}}}}}, protocol.CodeConflict},
		"opened by an old one": {order(w.Book, 1, "a", 1), protocol.CodeFenced},
		"no token":             {Entry{Fence: &Fence{Fence: *fence(0)}}, protocol.CodeUsage},
		"no duty":              {Entry{Fence: &Fence{Fence: protocol.Fence{Duty: "a b", Token: 1}}}, protocol.CodeUsage},
	} {
		if _, err := w.Check(c.e); errCode(err) != c.code {
			t.Errorf("%s: %v, want %s", name, err, c.code)
		}
	}
	// Drained between the owner's look and its order: the order loses, also as one that is
	// taken up again.
	stale := order(w.Book, 2, "b", 2)
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
	// One whose owner saw the drained one while it was not known yet what is desired of it.
	if _, err := w.Check(order(w.Book, 4, "b", 2)); errCode(err) != protocol.CodeConflict || !strings.Contains(err.Error(), "b is drained") {
		t.Errorf("a drain is undone: %v", err)
	}
}

func TestFencesAreBounded(t *testing.T) {
	w := newWritten(t)
	for n := range FencesMost {
		if _, err := w.do(Entry{Fence: &Fence{Fence: protocol.Fence{Duty: fmt.Sprint("d", n), Token: 1}}}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := w.do(Entry{Fence: &Fence{Fence: protocol.Fence{Duty: "more", Token: 1}}}); errCode(err) != protocol.CodeUsage {
		t.Errorf("a duty too many: %v", err)
	}
	if _, err := w.do(Entry{Fence: &Fence{Fence: protocol.Fence{Duty: "d0", Token: 2}}}); err != nil {
		t.Errorf("a known one: %v", err)
	}
}
