package agentstate

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/record"
)

var start = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// persistedBook is a State used as an agent does: each entry is checked, written and applied.
type persistedBook struct {
	*State
	t       *testing.T
	now     time.Time
	entries [][]byte
}

func (w *persistedBook) do(e Entry) (done bool, err error) {
	w.t.Helper()
	done, err = w.Check(e)
	if done || err != nil {
		return done, err
	}
	w.now = w.now.Add(time.Millisecond)
	e.At = w.now
	text, err := json.Marshal(e)
	if err != nil {
		w.t.Fatal(err)
	}
	w.entries = append(w.entries, text)
	w.Apply(e)
	return false, nil
}

var names = []string{"a", "b", "c", "d"}

func newBook(t *testing.T) *persistedBook { return &persistedBook{State: New(names), t: t, now: start} }

func (w *persistedBook) open(id, kind, operator string, instances ...string) error {
	r := protocol.CommandRequest{ID: id, Kind: kind}
	for _, name := range instances {
		i, _ := w.Instance(name)
		r.Instances = append(r.Instances, protocol.InstanceGeneration{Name: name, Generation: i.Generation})
	}
	_, err := w.do(Entry{Open: &Open{Request: r, Operator: operator}})
	return err
}

func id(n int) string { return protocol.NewID(start.Add(time.Duration(n)*time.Millisecond), uint64(n)) }

func code(err error) string {
	var e *protocol.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// Compares random sequences of changes by several operators with a model: at most one
// open command holds an instance, at most one operation is in progress on it, a
// generation grows by one for each operation, and replaying the written entries or
// loading a snapshot gives the same State.
func TestAgainstReferenceModel(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		w := newBook(t)
		holder := map[string]string{} // the model: the command that holds each instance
		busy := map[string]string{}   // and the one whose operation is in progress on it
		generation := map[string]uint64{}
		commands := map[string][]string{}
		begun := map[string]bool{}
		var ids []string
		for n := range 80 {
			switch rng.IntN(6) {
			case 0, 1:
				var chosen []string
				for _, name := range names {
					if rng.IntN(2) == 0 {
						chosen = append(chosen, name)
					}
				}
				free := len(chosen) > 0
				for _, name := range chosen {
					free = free && holder[name] == "" && busy[name] == ""
				}
				err := w.open(id(n), protocol.Kinds[rng.IntN(4)], fmt.Sprint("op", rng.IntN(2)), chosen...)
				if free != (err == nil) {
					t.Fatalf("seed %d step %d: open of %v: %v, model says free %v", seed, n, chosen, err, free)
				}
				if err == nil {
					ids = append(ids, id(n))
					commands[id(n)] = chosen
					for _, name := range chosen {
						holder[name] = id(n)
					}
				}
			case 2, 3:
				if len(ids) == 0 {
					continue
				}
				c := ids[rng.IntN(len(ids))]
				name := names[rng.IntN(len(names))]
				done, err := w.do(Entry{Begin: &Begin{ID: c, Instance: name, Run: "r"}})
				allowed := holder[name] == c && !begun[c+name]
				if allowed != (!done && err == nil) {
					t.Fatalf("seed %d step %d: begin of %s on %s: done %v, %v, model says legal %v", seed, n, c, name, done, err, allowed)
				}
				if allowed {
					begun[c+name], busy[name] = true, c
					generation[name]++
				}
			case 4:
				name := names[rng.IntN(len(names))]
				if c := busy[name]; c != "" {
					if _, err := w.do(Entry{End: &End{ID: c, Instance: name, State: protocol.Done}}); err != nil {
						t.Fatal(err)
					}
					busy[name] = ""
				}
			case 5:
				if len(ids) == 0 {
					continue
				}
				c := ids[rng.IntN(len(ids))]
				if _, err := w.do(Entry{Close: &Close{ID: c, State: protocol.Closed}}); err != nil {
					t.Fatal(err)
				}
				for _, name := range commands[c] {
					if holder[name] == c {
						holder[name] = ""
					}
				}
			}
			for _, name := range names {
				i, _ := w.Instance(name)
				held := ""
				if h := w.Holder(name); h != nil {
					held = h.Command
				}
				if i.Generation != generation[name] || i.Operation != busy[name] || held != holder[name] {
					t.Fatalf("seed %d step %d: %s is %+v held by %q, model: generation %d, busy %q, held by %q",
						seed, n, name, i, held, generation[name], busy[name], holder[name])
				}
			}
		}
		replayed := New(names)
		for _, text := range w.entries {
			var e Entry
			if err := json.Unmarshal(text, &e); err != nil {
				t.Fatal(err)
			}
			replayed.Apply(e)
		}
		requireSame(t, seed, w.State, replayed)
		loaded := New(names)
		loaded.Apply(Entry{Snapshot: w.Snapshot()})
		requireSame(t, seed, w.State, loaded)
	}
}

func requireSame(t *testing.T, seed uint64, x, y *State) {
	t.Helper()
	a, _ := json.Marshal(x.Snapshot())
	b, _ := json.Marshal(y.Snapshot())
	if string(a) != string(b) {
		t.Fatalf("seed %d: the books differ:\n%s\n%s", seed, a, b)
	}
	for _, name := range names {
		if !reflect.DeepEqual(x.Holder(name), y.Holder(name)) {
			t.Fatalf("seed %d: holder of %s: %+v and %+v", seed, name, x.Holder(name), y.Holder(name))
		}
	}
}

func TestConflictsNameTheHolder(t *testing.T) {
	w := newBook(t)
	if err := w.open(id(1), protocol.Drain, "ada", "a", "b"); err != nil {
		t.Fatal(err)
	}
	err := w.open(id(2), protocol.Restart, "ben", "b", "c")
	var e *protocol.Error
	if !errors.As(err, &e) || e.Code != protocol.CodeConflict || e.Instance != "b" || e.Holder == nil ||
		e.Holder.Operator != "ada" || e.Holder.Kind != protocol.Drain || e.Holder.Since.IsZero() {
		t.Fatalf("got %+v", e)
	}
	if w.Holder("c") != nil {
		t.Error("c is held by a command that was refused")
	}
	// Its lease has expired but its operation is in progress: no other command may begin.
	if _, err := w.do(Entry{Begin: &Begin{ID: id(1), Instance: "b"}}); err != nil {
		t.Fatal(err)
	}
	if _, err := w.do(Entry{Close: &Close{ID: id(1), State: protocol.Expired}}); err != nil {
		t.Fatal(err)
	}
	if err := w.open(id(3), protocol.Restart, "ben", "b"); code(err) != protocol.CodeConflict {
		t.Errorf("with an operation in progress: %v", err)
	}
	if _, err := w.do(Entry{End: &End{ID: id(1), Instance: "b", State: protocol.Done}}); err != nil {
		t.Fatal(err)
	}
	// State read before the operation, command sent after it.
	_, err = w.do(Entry{Open: &Open{Operator: "ben", Request: protocol.CommandRequest{
		ID: id(4), Kind: protocol.Restart, Instances: []protocol.InstanceGeneration{{Name: "b", Generation: 0}},
	}}})
	if !errors.As(err, &e) || e.Code != protocol.CodeConflict || e.Holder == nil || e.Holder.Operator != "ada" {
		t.Errorf("with an old generation: %v", err)
	}
}

func TestRepeatedEntriesActOnce(t *testing.T) {
	w := newBook(t)
	request := Entry{Open: &Open{Operator: "ada", Request: protocol.CommandRequest{
		ID: id(1), Kind: protocol.Restart, Instances: []protocol.InstanceGeneration{{Name: "a"}, {Name: "b"}},
	}}}
	if done, err := w.do(request); done || err != nil {
		t.Fatal(done, err)
	}
	if done, err := w.do(request); !done || err != nil {
		t.Errorf("open again: done %v, %v", done, err)
	}
	begin := Entry{Begin: &Begin{ID: id(1), Instance: "a"}}
	for n := range 3 {
		if done, err := w.do(begin); done != (n > 0) || err != nil {
			t.Errorf("begin %d: done %v, %v", n, done, err)
		}
	}
	if _, err := w.do(Entry{End: &End{ID: id(1), Instance: "a", State: protocol.Failed, Reason: "x"}}); err != nil {
		t.Fatal(err)
	}
	if done, err := w.do(begin); !done || err != nil {
		t.Errorf("begin after it failed: done %v, %v, want the failure to stand", done, err)
	}
	if i, _ := w.Instance("a"); i.Generation != 1 {
		t.Errorf("generation %d, want 1", i.Generation)
	}
	other := *request.Open
	other.Operator = "ben"
	if _, err := w.do(Entry{Open: &other}); code(err) != protocol.CodeConflict {
		t.Errorf("the id of another's command: %v", err)
	}
	// After a resume, what is done stays and what failed is tried once more.
	if _, err := w.do(Entry{Close: &Close{ID: id(1), State: protocol.Closed}}); err != nil {
		t.Fatal(err)
	}
	if _, err := w.do(request); code(err) != protocol.CodeConflict {
		t.Errorf("an ended command opened again: %v", err)
	}
	request.Open.Request.Resume = true
	if done, err := w.do(request); done || err != nil {
		t.Fatal(done, err)
	}
	for n := range 2 {
		if done, err := w.do(begin); done != (n > 0) || err != nil {
			t.Errorf("resumed, begin %d: done %v, %v", n, done, err)
		}
	}
}

// The number of kept commands is bounded; the id of an evicted one is refused, as it
// might act twice.
func TestEvictedCommandsAreRefused(t *testing.T) {
	w := newBook(t)
	for n := range MaxCommands + 10 {
		if err := w.open(id(n), protocol.Reload, "ada", "a"); err != nil {
			t.Fatal(err)
		}
		if _, err := w.do(Entry{Close: &Close{ID: id(n), State: protocol.Closed}}); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(w.Commands(10 * MaxCommands)); got > MaxCommands+1 {
		t.Errorf("%d commands are kept, at most %d may be", got, MaxCommands)
	}
	if err := w.open(id(3), protocol.Reload, "ada", "a"); code(err) != protocol.CodeTooOld {
		t.Errorf("an evicted id: %v", err)
	}
	if err := w.open(id(MaxCommands+20), protocol.Reload, "ada", "a"); err != nil {
		t.Errorf("a new id: %v", err)
	}
	// Open commands are never evicted.
	if w.Command(id(MaxCommands+20)) == nil {
		t.Error("an open command was evicted")
	}
	b := New(names)
	b.RaiseHorizon(start.Add(time.Hour))
	if _, err := b.Check(Entry{Open: &Open{Operator: "ada", Request: protocol.CommandRequest{
		ID: id(1), Kind: protocol.Start, Instances: []protocol.InstanceGeneration{{Name: "a"}},
	}}}); code(err) != protocol.CodeTooOld {
		t.Errorf("after a lost record: %v", err)
	}
}

// A snapshot fits into one line of the record even with the largest commands and the
// longest texts.
func TestSnapshotSizeIsBounded(t *testing.T) {
	var many []string
	for n := range protocol.MaxInstances {
		many = append(many, fmt.Sprintf("%s%04d", strings.Repeat("i", 59), n))
	}
	b := New(many)
	now, long := start, strings.Repeat("€", 10_000)
	for n := range 11 {
		r := protocol.CommandRequest{ID: id(n), Kind: protocol.Reload, Plan: strings.Repeat("p", maxPlanBytes)}
		for _, name := range many {
			i, _ := b.Instance(name)
			r.Instances = append(r.Instances, protocol.InstanceGeneration{Name: name, Generation: i.Generation})
		}
		open := Entry{At: now, Open: &Open{Request: r, Operator: "ada"}}
		if _, err := b.Check(open); err != nil {
			t.Fatal(err)
		}
		b.Apply(open)
		for _, name := range many {
			b.Apply(Entry{At: now, Begin: &Begin{ID: r.ID, Instance: name, Run: "abcdefghijklmnopqrstuvwxyz"}})
			for range maxSteps + 2 {
				b.Apply(Entry{At: now, Step: &Step{ID: r.ID, Instance: name, Name: "exited", Note: long}})
			}
			b.Apply(Entry{At: now, End: &End{ID: r.ID, Instance: name, State: protocol.Failed, Reason: long}})
		}
		b.Apply(Entry{At: now, Close: &Close{ID: r.ID, State: protocol.Closed, Reason: long}})
	}
	if n := len(b.Commands(100)); n != MaxInstances/protocol.MaxInstances {
		t.Errorf("%d commands are kept, want 10", n)
	}
	text, err := json.Marshal(Entry{Snapshot: b.Snapshot()})
	if err != nil || len(text) > record.MaxEntrySize {
		t.Errorf("%d bytes, a line holds %d; %v", len(text), record.MaxEntrySize, err)
	}
	if !utf8.ValidString(b.Commands(1)[0].Reason) {
		t.Error("a reason was cut within a character")
	}
}

func TestInvalidRequests(t *testing.T) {
	many := make([]protocol.InstanceGeneration, protocol.MaxInstances+1)
	for name, r := range map[string]protocol.CommandRequest{
		"no id":     {Kind: protocol.Start, Instances: []protocol.InstanceGeneration{{Name: "a"}}},
		"bad id":    {ID: "../../x", Kind: protocol.Start, Instances: []protocol.InstanceGeneration{{Name: "a"}}},
		"bad kind":  {ID: id(1), Kind: "explode", Instances: []protocol.InstanceGeneration{{Name: "a"}}},
		"none":      {ID: id(1), Kind: protocol.Start},
		"twice":     {ID: id(1), Kind: protocol.Start, Instances: []protocol.InstanceGeneration{{Name: "a"}, {Name: "a"}}},
		"long plan": {ID: id(1), Kind: protocol.Start, Instances: []protocol.InstanceGeneration{{Name: "a"}}, Plan: strings.Repeat("x", maxPlanBytes+1)},
		"too many":  {ID: id(1), Kind: protocol.Start, Instances: many},
	} {
		if _, err := New(names).Check(Entry{Open: &Open{Request: r}}); code(err) != protocol.CodeUsage {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := New(names).Check(Entry{Open: &Open{Request: protocol.CommandRequest{
		ID: id(1), Kind: protocol.Start, Instances: []protocol.InstanceGeneration{{Name: "z"}},
	}}}); code(err) != protocol.CodeNotFound {
		t.Errorf("unknown instance: %v", err)
	}
}

func TestStepsAreBounded(t *testing.T) {
	w := newBook(t)
	if err := w.open(id(1), protocol.Start, "ada", "a"); err != nil {
		t.Fatal(err)
	}
	if _, err := w.do(Entry{Begin: &Begin{ID: id(1), Instance: "a"}}); err != nil {
		t.Fatal(err)
	}
	for n := range maxSteps + 5 {
		if _, err := w.do(Entry{Step: &Step{ID: id(1), Instance: "a", Name: fmt.Sprint(n)}}); err != nil {
			t.Fatal(err)
		}
	}
	steps := w.Operation(id(1), "a").Steps
	if len(steps) != maxSteps || steps[len(steps)-1].Name != fmt.Sprint(maxSteps+4) {
		t.Errorf("%d steps, the last %q", len(steps), steps[len(steps)-1].Name)
	}
	if !slices.ContainsFunc(w.Unfinished(), func(o protocol.Operation) bool { return o.Instance == "a" }) {
		t.Error("the operation is not among the unfinished")
	}
}
