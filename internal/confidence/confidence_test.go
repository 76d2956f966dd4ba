package confidence

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/standin/drawn"
	"otterstep/policy"
)

func TestMain(m *testing.M) { drawn.Main(m) }

// A plain model: a moment and a later one, between which the wall clock may be set and the machine may
// start anew. While it runs on the age is right to the spare, whatever the wall clock did; behind a new
// start it is as right as the wall clock, and one that went back makes it unknown.
func TestAgesAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		took := time.Duration(rapid.Int64Range(0, int64(60*24*time.Hour)).Draw(t, "took"))
		up := time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "up"))
		set := time.Duration(rapid.Int64Range(-int64(24*time.Hour), int64(24*time.Hour)).Draw(t, "set"))
		then := Stamp{Wall: time.Unix(1e9, 0), Boot: "a", SinceBoot: up}
		now := Stamp{Wall: then.Wall.Add(took + set), Boot: "a", SinceBoot: up + took}
		if rapid.Bool().Draw(t, "started anew") {
			now.Boot, now.SinceBoot = "b", time.Duration(rapid.Int64Range(0, int64(took)).Draw(t, "since"))
		}
		a := Between(then, now)
		switch {
		case now.Boot == "a":
			if !a.Sure || a.For != took {
				t.Fatalf("%v, took %v", a, took)
			}
		case took+set < -bootSpare:
			if a.Sure || Weight(a) != 0 || Judge(Line{}, a, false, nil, nil) != TooOld {
				t.Fatalf("a clock that went back: %v", a)
			}
		default:
			if !a.Sure || (a.For-max(0, took+set)).Abs() > 0 {
				t.Fatalf("%v, the wall clock says %v", a, took+set)
			}
		}
		later := now
		later.SinceBoot, later.Wall = now.SinceBoot+time.Minute, now.Wall.Add(time.Minute)
		if older := Between(then, later); older.Sure && a.Sure && (older.For < a.For || Weight(older) > Weight(a)) {
			t.Fatalf("%v is worth less than %v", a, older)
		}
	})
}

// Discovery's word is above all that was kept, and nobody's word is worth nothing.
func TestStandings(t *testing.T) {
	l := Line{"s1", "10.0.0.1:80", 7}
	anew, moved, other := Line{"s1", "10.0.0.1:80", 9}, Line{"s1", "10.0.0.2:80", 7}, Line{"s2", "10.0.0.1:80", 7}
	minute := Age{time.Minute, true}
	for want, all := range map[Standing][]struct {
		age       Age
		heard     bool
		named, at *Line
	}{
		Unconfirmed:  {{minute, false, nil, nil}, {Age{olderMost, true}, false, nil, nil}},
		TooOld:       {{Age{}, false, nil, nil}, {Age{olderMost + 1, true}, false, nil, nil}},
		Confirmed:    {{minute, true, &l, &l}, {Age{}, true, &l, &l}},
		Gone:         {{minute, true, nil, nil}},
		Contradicted: {{minute, true, &anew, &anew}, {minute, true, &moved, nil}, {minute, true, nil, &other}},
	} {
		for _, c := range all {
			if got := Judge(l, c.age, c.heard, c.named, c.at); got != want {
				t.Errorf("%+v: %v, want %v", c, got, want)
			}
		}
	}
}

// Forgetting closes no breaker and passes on nothing that a server had earned; from one halving to the
// next what was learnt counts half, until nothing of it is left but what was open.
func TestFade(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := Age{time.Duration(rapid.Int64Range(0, int64(3*time.Hour)).Draw(t, "age")), rapid.IntRange(0, 4).Draw(t, "sure") > 0}
		f := func(name string) float64 { return rapid.Float64Range(0.01, 100).Draw(t, name) }
		class := func(name string) policy.ClassMemory {
			return policy.ClassMemory{Lone: f(name), Yardstick: f(name), LoneSeen: f(name), Work: f(name), Seen: f(name)}
		}
		fresh := policy.Memory{Limit: 1, Typical: 1, Admitted: 1, Classes: []policy.ClassMemory{class("fresh")}}
		m := policy.Memory{Limit: f("limit"), Typical: f("typical"), Admitted: 0.5, Pressure: 3, Demand: 100, LoneSeen: 60, Classes: []policy.ClassMemory{class("old")}}
		ages := map[policy.ServerID]time.Duration{}
		for id := range policy.ServerID(rapid.IntRange(0, 5).Draw(t, "servers")) {
			s := policy.ServerMemory{Server: id, Earned: f("earned"), ColdSaved: f("saved"), Rate: f("rate"), Done: f("done"), Good: 3, Bad: 2, Lone: f("lone"), LoneSeen: f("seen")}
			if rapid.Bool().Draw(t, "open") {
				s.Open, s.ReopenIn, s.OpenFor = true, time.Minute, time.Minute
			}
			m.Servers = append(m.Servers, s)
			if rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
				ages[id] = time.Hour
			}
		}
		out := Fade(m, fresh, age, ages)
		if out.Pressure != 0 || out.Demand != 0 || out.Admitted != 1 {
			t.Fatalf("load of before: %+v", out)
		}
		if low, high := min(1, m.Limit), max(1, m.Limit); out.Limit < low || out.Limit > high {
			t.Fatalf("limit %v, was %v", out.Limit, m.Limit)
		}
		guess := fresh.Classes[0]
		guess.Lone, guess.Work = m.Classes[0].Lone, m.Classes[0].Work
		if Weight(age) == 0 && (out.Limit != 1 || out.Classes[0] != guess || out.Bore != 0) {
			t.Fatalf("%v: of no worth, and counts: %+v", age, out)
		}
		if len(out.Servers) != len(ages) {
			t.Fatalf("%d servers, %d are listed", len(out.Servers), len(ages))
		}
		for _, s := range out.Servers {
			was := m.Servers[s.Server]
			if s.Open != was.Open || s.ReopenIn > was.ReopenIn || s.OpenFor != was.OpenFor {
				t.Fatalf("a breaker: %+v, was %+v", s, was)
			}
			if s.Earned != 0 || s.ColdSaved != 0 || s.Rate != 0 || s.Done != 0 || s.Good+s.Bad != 0 || s.Age != time.Hour {
				t.Fatalf("passed on: %+v", s)
			}
		}
	})
}
