package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

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
		f := Facts{Record: Intact, Elapsed: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "elapsed"))}
		switch rapid.IntRange(0, 4).Draw(t, "loss") {
		case 1:
			record.exists, f.Record = false, Lost
		case 2:
			record.exists, copied.exists, f.Record = false, false, Empty
		case 3:
			if len(backups) > 0 {
				record = rapid.SampledFrom(backups).Draw(t, "put back")
				if record.generation < copied.generation {
					f.Record = Outdated
				}
			}
		case 4: // both are restored from a backup, which only the council can detect
			if len(backups) > 0 {
				record = rapid.SampledFrom(backups).Draw(t, "both put back")
				copied = record
			}
		}
		f.Council = CouncilState(rapid.IntRange(0, 2).Draw(t, "council"))
		f.KnownToCouncil = council.exists
		if rapid.Bool().Draw(t, "policy") {
			f.StartAfter = 30 * time.Second
		}
		addClaim := func(source string, k storedState) {
			if k.exists {
				f.Claims = append(f.Claims, Claim{Source: source, Up: k.up, Generation: k.generation})
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
		starts := v.Action == Follow && v.Claim.Up
		if starts && newest.exists && !newest.up {
			t.Fatalf("%+v: starts an instance whose newest claim is down: %+v", f, v)
		}
		if starts && !newest.exists && f.Record != Intact && f.StartAfter == 0 && (f.Council != Answered || f.KnownToCouncil) {
			t.Fatalf("%+v: starts an instance of unknown state: %+v", f, v)
		}
		if starts && f.Council == Unanswered && f.Record != Intact && f.Elapsed < f.StartAfter {
			t.Fatalf("%+v: starts before its policy allows it: %+v", f, v)
		}
		if f.Council != Unanswered && newest.exists && v.Action != Follow {
			t.Fatalf("%+v: is left undecided: %+v", f, v)
		}
		if v.Action == Follow && newest.exists && v.Claim.Up != newest.up {
			t.Fatalf("%+v: follows %+v, the newest is %+v", f, v, newest)
		}
		if v.Action != Follow && v.Reason == "" {
			t.Fatalf("%+v: gives no reason: %+v", f, v)
		}
		if v.Until != 0 {
			later := f
			later.Elapsed = v.Until
			if again := Decide(later); again.Action == v.Action && again.Until == v.Until {
				t.Fatalf("%+v: the decision at %v is the same as before: %+v", f, v.Until, again)
			}
		}
	})
}

func TestDecisions(t *testing.T) {
	up, down := Claim{Source: "the record", Up: true, Generation: 3}, Claim{Source: "the council", Up: false, Generation: 3}
	for name, c := range map[string]struct {
		facts Facts
		do    Action
		up    bool
	}{
		"first start by the operator":                  {Facts{Record: Empty, FirstStart: true}, Follow, true},
		"first start by the operator, known to others": {Facts{Record: Empty, FirstStart: true, Council: Answered, KnownToCouncil: true}, Hold, false},
		"first start by the council":                   {Facts{Record: Empty, Council: Answered}, Follow, true},
		"nothing known":                                {Facts{Record: Empty}, Hold, false},
		"nothing known, and a policy":                  {Facts{Record: Empty, StartAfter: time.Second, Elapsed: time.Second}, Follow, true},
		"lost, nobody answers":                         {Facts{Record: Lost, Council: Unanswered, Elapsed: time.Hour}, AwaitCouncil, false},
		"lost, known down, and a policy":               {Facts{Record: Lost, Council: Unanswered, StartAfter: time.Second, Elapsed: time.Hour, Claims: []Claim{down}}, AwaitCouncil, false},
		"equal and different":                          {Facts{Claims: []Claim{up, down}, Council: Answered}, Hold, false},
		"equal and different, not asked yet":           {Facts{Claims: []Claim{up, down}, Council: Unanswered}, AwaitCouncil, false},
		"whole, alone":                                 {Facts{Claims: []Claim{up}}, Follow, true},
		"whole, not asked yet":                         {Facts{Claims: []Claim{up}, Council: Unanswered}, AwaitCouncil, false},
		"whole, nobody answers":                        {Facts{Claims: []Claim{up}, Council: Unanswered, Elapsed: ConfirmTimeout}, Follow, true},
		"new in the file":                              {Facts{}, Follow, true},
	} {
		if v := Decide(c.facts); v.Action != c.do || v.Claim.Up != c.up {
			t.Errorf("%s: %+v", name, v)
		}
	}
}
