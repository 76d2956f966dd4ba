package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/standin/drawn"
)

func TestMain(m *testing.M) { drawn.Main(m) }

// storedState is one copy of the desired state; it may be lost or outdated.
type storedState struct {
	up         bool
	generation uint64
	exists     bool
}

// Generates histories: operators change the desired state, each change is written to the record
// first and reaches the copy and the council later or never, and disks are lost or restored from
// a backup. An instance whose newest available claim is down must never be started, a policy of
// holding must start nothing whose state is unknown, and once the council has answered, every
// instance with a claim must be decided.
func TestStaleStateStartsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record, copied, council := storedState{}, storedState{}, storedState{}
		backups := []storedState{}
		generation, up := uint64(0), true
		for range rapid.IntRange(0, 12).Draw(t, "changes") {
			generation++
			up = rapid.Bool().Draw(t, "up")
			record = storedState{up, generation, true}
			if rapid.IntRange(0, 3).Draw(t, "copied") > 0 {
				copied = record
			}
			if rapid.IntRange(0, 3).Draw(t, "reported") > 0 {
				council = record
			}
			backups = append(backups, record)
		}
		f := Facts{Memory: Whole, Elapsed: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "elapsed"))}
		switch rapid.IntRange(0, 4).Draw(t, "loss") {
		case 1:
			record.exists, f.Memory = false, Lost
		case 2:
			record.exists, copied.exists, f.Memory = false, false, Blank
		case 3:
			if len(backups) > 0 {
				record = rapid.SampledFrom(backups).Draw(t, "put back")
				if record.generation < copied.generation {
					f.Memory = Older
				}
			}
		case 4: // both are restored from a backup, which only the council can detect
			if len(backups) > 0 {
				record = rapid.SampledFrom(backups).Draw(t, "both put back")
				copied = record
			}
		}
		f.Council = Council(rapid.IntRange(0, 2).Draw(t, "council"))
		f.Known = council.exists
		if rapid.Bool().Draw(t, "policy") {
			f.StartAfter = 30 * time.Second
		}
		addClaim := func(source string, k storedState) {
			if k.exists {
				f.Words = append(f.Words, Word{Source: source, Up: k.up, Generation: k.generation})
			}
		}
		addClaim("the record", record)
		addClaim("the copy", copied)
		if f.Council == Answered {
			addClaim("the council", council)
		}
		v := Decide(f)

		var newest storedState
		for i, k := range []storedState{record, copied, council} {
			if k.exists && k.generation > newest.generation && (i < 2 || f.Council == Answered) {
				newest = k
			}
		}
		starts := v.Do == Follow && v.Word.Up
		if starts && newest.exists && !newest.up {
			t.Fatalf("%+v: starts an instance whose newest claim is down: %+v", f, v)
		}
		if starts && !newest.exists && f.Memory != Whole && f.StartAfter == 0 && (f.Council != Answered || f.Known) {
			t.Fatalf("%+v: starts an instance of unknown state: %+v", f, v)
		}
		if starts && f.Council == Silent && f.Memory != Whole && f.Elapsed < f.StartAfter {
			t.Fatalf("%+v: starts before its policy allows it: %+v", f, v)
		}
		if f.Council != Silent && newest.exists && v.Do != Follow {
			t.Fatalf("%+v: is left undecided: %+v", f, v)
		}
		if v.Do == Follow && newest.exists && v.Word.Up != newest.up {
			t.Fatalf("%+v: follows %+v, the newest is %+v", f, v, newest)
		}
		if v.Do != Follow && v.Why == "" {
			t.Fatalf("%+v: gives no reason: %+v", f, v)
		}
		if v.Until != 0 {
			later := f
			later.Elapsed = v.Until
			if again := Decide(later); again.Do == v.Do && again.Until == v.Until {
				t.Fatalf("%+v: the decision at %v is the same as before: %+v", f, v.Until, again)
			}
		}
	})
}

func TestDecisions(t *testing.T) {
	up, down := Word{Source: "the record", Up: true, Generation: 3}, Word{Source: "the council", Up: false, Generation: 3}
	for name, c := range map[string]struct {
		facts Facts
		do    Action
		up    bool
	}{
		"first start by the operator":                  {Facts{Memory: Blank, First: true}, Follow, true},
		"first start by the operator, known to others": {Facts{Memory: Blank, First: true, Council: Answered, Known: true}, Hold, false},
		"first start by the council":                   {Facts{Memory: Blank, Council: Answered}, Follow, true},
		"nothing known":                                {Facts{Memory: Blank}, Hold, false},
		"nothing known, and a policy":                  {Facts{Memory: Blank, StartAfter: time.Second, Elapsed: time.Second}, Follow, true},
		"lost, nobody answers":                         {Facts{Memory: Lost, Council: Silent, Elapsed: time.Hour}, AwaitCouncil, false},
		"lost, known down, and a policy":               {Facts{Memory: Lost, Council: Silent, StartAfter: time.Second, Elapsed: time.Hour, Words: []Word{down}}, AwaitCouncil, false},
		"equal and different":                          {Facts{Words: []Word{up, down}, Council: Answered}, Hold, false},
		"equal and different, not asked yet":           {Facts{Words: []Word{up, down}, Council: Silent}, AwaitCouncil, false},
		"whole, alone":                                 {Facts{Words: []Word{up}}, Follow, true},
		"whole, not asked yet":                         {Facts{Words: []Word{up}, Council: Silent}, AwaitCouncil, false},
		"whole, nobody answers":                        {Facts{Words: []Word{up}, Council: Silent, Elapsed: ConfirmTimeout}, Follow, true},
		"new in the file":                              {Facts{}, Follow, true},
	} {
		if v := Decide(c.facts); v.Do != c.do || v.Word.Up != c.up {
			t.Errorf("%s: %+v", name, v)
		}
	}
}
