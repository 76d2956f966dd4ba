package staleness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/standin/fixedseed"
	"otterstep/policy"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// Compares ages with a simple model: between two points in time the wall clock may be set and the machine may
// reboot. Without a reboot the age is exact, whatever the wall clock did; after a reboot it is as accurate as
// the wall clock, and unknown if that went back by more than the tolerance.
func TestAgesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		elapsed := time.Duration(rapid.Int64Range(0, int64(60*24*time.Hour)).Draw(t, "elapsed"))
		up := time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "up"))
		clockChange := time.Duration(rapid.Int64Range(-int64(24*time.Hour), int64(24*time.Hour)).Draw(t, "clock change"))
		then := Timestamp{Wall: time.Unix(1e9, 0), Boot: "a", SinceBoot: up}
		now := Timestamp{Wall: then.Wall.Add(elapsed + clockChange), Boot: "a", SinceBoot: up + elapsed}
		if rapid.Bool().Draw(t, "rebooted") {
			now.Boot, now.SinceBoot = "b", time.Duration(rapid.Int64Range(0, int64(elapsed)).Draw(t, "since"))
		}
		a := AgeBetween(then, now)
		switch {
		case now.Boot == "a":
			if !a.Known || a.Elapsed != elapsed {
				t.Fatalf("age %v, want %v", a, elapsed)
			}
		case elapsed+clockChange < -clockTolerance:
			if a.Known || Weight(a) != 0 || Classify(ListEntry{}, a, false, nil, nil) != Expired {
				t.Fatalf("wall clock went back, but the age is used: %v", a)
			}
		default:
			if !a.Known || (a.Elapsed-max(0, elapsed+clockChange)).Abs() > 0 {
				t.Fatalf("age %v, the wall clock says %v", a, elapsed+clockChange)
			}
		}
		later := now
		later.SinceBoot, later.Wall = now.SinceBoot+time.Minute, now.Wall.Add(time.Minute)
		if older := AgeBetween(then, later); older.Known && a.Known && (older.Elapsed < a.Elapsed || Weight(older) > Weight(a)) {
			t.Fatalf("age %v has less weight than the greater age %v", a, older)
		}
	})
}

// What discovery lists overrides saved entries; without discovery an entry of unknown or too great an age is unused.
func TestStatuses(t *testing.T) {
	l := ListEntry{"s1", "10.0.0.1:80", 7}
	restarted, moved, other := ListEntry{"s1", "10.0.0.1:80", 9}, ListEntry{"s1", "10.0.0.2:80", 7}, ListEntry{"s2", "10.0.0.1:80", 7}
	minute := Age{time.Minute, true}
	for want, all := range map[Status][]struct {
		age       Age
		heard     bool
		named, at *ListEntry
	}{
		Unconfirmed:  {{minute, false, nil, nil}, {Age{maxAddressAge, true}, false, nil, nil}},
		Expired:      {{Age{}, false, nil, nil}, {Age{maxAddressAge + 1, true}, false, nil, nil}},
		Confirmed:    {{minute, true, &l, &l}, {Age{}, true, &l, &l}},
		Gone:         {{minute, true, nil, nil}},
		Contradicted: {{minute, true, &restarted, &restarted}, {minute, true, &moved, nil}, {minute, true, nil, &other}},
	} {
		for _, c := range all {
			if got := Classify(l, c.age, c.heard, c.named, c.at); got != want {
				t.Errorf("%+v: %v, want %v", c, got, want)
			}
		}
	}
}

// Decay closes no breaker and carries over nothing that a server had earned. Decayed values lie between the saved
// and the fresh ones; once the weight is 0 only open breakers and the initial guess per class are left.
func TestDecay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := Age{time.Duration(rapid.Int64Range(0, int64(3*time.Hour)).Draw(t, "age")), rapid.IntRange(0, 4).Draw(t, "sure") > 0}
		f := func(name string) float64 { return rapid.Float64Range(0.01, 100).Draw(t, name) }
		class := func(name string) policy.ClassMemory {
			return policy.ClassMemory{Unloaded: f(name), Baseline: f(name), UnloadedSamples: f(name), Work: f(name), Samples: f(name)}
		}
		fresh := policy.Memory{Limit: 1, TypicalLatency: 1, Admitted: 1, Classes: []policy.ClassMemory{class("fresh")}}
		m := policy.Memory{Limit: f("limit"), TypicalLatency: f("typical"), Admitted: 0.5, Pressure: 3, Demand: 100, UnloadedSamples: 60, Classes: []policy.ClassMemory{class("old")}}
		ages := map[policy.ServerID]time.Duration{}
		for id := range policy.ServerID(rapid.IntRange(0, 5).Draw(t, "servers")) {
			s := policy.ServerMemory{Server: id, Earned: f("earned"), ColdSaved: f("saved"), SentRate: f("rate"), ServedRate: f("done"), Successes: 3, Failed: 2, Unloaded: f("lone"), UnloadedSamples: f("seen")}
			if rapid.Bool().Draw(t, "open") {
				s.Open, s.ReopenIn, s.OpenFor = true, time.Minute, time.Minute
			}
			m.Servers = append(m.Servers, s)
			if rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
				ages[id] = time.Hour
			}
		}
		out := Decay(m, fresh, age, ages)
		if out.Pressure != 0 || out.Demand != 0 || out.Admitted != 1 {
			t.Fatalf("load was carried over: %+v", out)
		}
		if low, high := min(1, m.Limit), max(1, m.Limit); out.Limit < low || out.Limit > high {
			t.Fatalf("limit %v, saved %v, fresh 1", out.Limit, m.Limit)
		}
		guess := fresh.Classes[0]
		guess.Unloaded, guess.Work = m.Classes[0].Unloaded, m.Classes[0].Work
		if Weight(age) == 0 && (out.Limit != 1 || out.Classes[0] != guess || out.PeakServedRate != 0) {
			t.Fatalf("age %v has weight 0, but values were carried over: %+v", age, out)
		}
		if len(out.Servers) != len(ages) {
			t.Fatalf("%d servers, want the %d listed ones", len(out.Servers), len(ages))
		}
		for _, s := range out.Servers {
			was := m.Servers[s.Server]
			if s.Open != was.Open || s.ReopenIn > was.ReopenIn || s.OpenFor != was.OpenFor {
				t.Fatalf("breaker changed: %+v, was %+v", s, was)
			}
			if s.Earned != 0 || s.ColdSaved != 0 || s.SentRate != 0 || s.ServedRate != 0 || s.Successes+s.Failed != 0 || s.Age != time.Hour {
				t.Fatalf("per-server state was carried over: %+v", s)
			}
		}
	})
}
