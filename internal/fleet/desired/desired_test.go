package desired

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"otterstep/internal/cordon"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func id(n int) string { return protocol.NewID(time.UnixMilli(int64(n)), uint64(n)) }

func code(err error) string {
	var e *protocol.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return fmt.Sprint(err)
}

// referenceModel is a reference model: the document as a table of strings, with every version kept.
type referenceModel struct {
	versions    []map[string]string // by version; a missing key has its default
	changedKeys []map[string]bool   // the keys that each version changed
	ids         map[string]bool
}

// Compares State with a reference model: a change is refused exactly if another one has altered one of its keys
// since the version it is based on, undo restores the earlier values, and each version is the sum of its changes.
func TestChangesAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.Observe(40, nil, nil)
		m := referenceModel{versions: []map[string]string{{}}, changedKeys: []map[string]bool{{}}, ids: map[string]bool{}}
		latest := func() int { return len(m.versions) - 1 }
		overlaps := func(since int, keys map[string]bool) bool {
			for v := since + 1; v <= latest(); v++ {
				for key := range m.changedKeys[v] {
					if keys[key] {
						return true
					}
				}
			}
			return false
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "changes") {
			c := Change{ID: id(n + 1), By: "ada", BasedOn: Version(rapid.IntRange(max(0, latest()-3), latest()).Draw(t, "saw"))}
			want := map[string]string{}
			since := int(c.BasedOn)
			if undo := rapid.IntRange(0, 4).Draw(t, "undo") == 0 && latest() > 0; undo {
				back := rapid.IntRange(max(1, latest()-3), latest()).Draw(t, "back")
				c.Undo = Version(back)
				for key := range m.changedKeys[back] {
					want[key] = m.versions[back-1][key]
				}
				if overlaps(back, m.changedKeys[back]) {
					since = back
				}
			} else {
				p := Patch{}
				for _, server := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 2, rapid.ID[string]).Draw(t, "servers") {
					if rapid.Bool().Draw(t, "out") {
						b := &Ban{Server: server, Reason: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "reason")}
						putCopy(&p.Bans, server, b)
						want["ban "+server] = b.Reason
					} else {
						putCopy[Ban](&p.Bans, server, nil)
						want["ban "+server] = ""
					}
				}
				if rapid.Bool().Draw(t, "group") {
					g := &Group{Program: rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "program")}
					putCopy(&p.Groups, "g", g)
					want["group g"] = g.Program
				}
				c.Set = &p
			}
			maps.DeleteFunc(want, func(key, value string) bool { return m.versions[latest()][key] == value })
			keys := map[string]bool{}
			for key := range want {
				keys[key] = true
			}
			conflicts := overlaps(since, keys)
			if c.Undo != 0 {
				conflicts = conflicts || overlaps(int(c.Undo), m.changedKeys[c.Undo])
			}
			err := s.Apply(c)
			switch {
			case conflicts && code(err) != protocol.CodeConflict:
				t.Fatalf("%+v on %v: %v, want a conflict", c, m.versions, err)
			case !conflicts && err != nil:
				t.Fatalf("%+v on %v: %v", c, m.versions, err)
			case !conflicts && len(want) > 0:
				next := maps.Clone(m.versions[latest()])
				maps.Copy(next, want)
				m.versions, m.changedKeys = append(m.versions, next), append(m.changedKeys, keys)
			}
			if rapid.Bool().Draw(t, "again") { // repeated, as its answer was lost
				before := s.Clone()
				if err2 := s.Apply(c); !reflect.DeepEqual(before, s.Clone()) {
					t.Fatalf("a repeated change alters the state: %v, %v", err, err2)
				}
			}
			if int(s.Document.Version) != latest() {
				t.Fatalf("version %v, want %d", s.Document.Version, latest())
			}
			is := map[string]string{}
			for server, b := range s.Document.Bans {
				is["ban "+server] = b.Reason
			}
			for name, g := range s.Document.Groups {
				is["group "+name] = g.Program
			}
			for key, value := range m.versions[latest()] {
				if is[key] != value {
					t.Fatalf("%s is %q, want %q", key, is[key], value)
				}
			}
			text, err := json.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			read := New()
			if err := json.Unmarshal(text, read); err != nil || !reflect.DeepEqual(read.FleetBans(), s.FleetBans()) {
				t.Fatalf("after encoding and decoding: %+v, %v, want %+v", read.FleetBans(), err, s.FleetBans())
			}
		}
	})
}

func TestConflictShowsBothSides(t *testing.T) {
	s := New()
	s.Observe(8, nil, nil)
	ban := func(n int, by, reason string, saw Version) error {
		return s.Apply(Change{ID: id(n), By: by, BasedOn: saw, Set: &Patch{Bans: map[string]*Ban{"s1": {Server: "s1", Reason: reason}}}})
	}
	if err := ban(1, "ada", "disk", 0); err != nil {
		t.Fatal(err)
	}
	err := ban(2, "eve", "fan", 0)
	if code(err) != protocol.CodeConflict || !strings.Contains(err.Error(), "ada says: out (disk)") || !strings.Contains(err.Error(), "eve wants: out (fan)") {
		t.Error(err)
	}
	if lines, ok := s.Diff(0); !ok || len(lines) != 1 || lines[0] != "0.1 by ada: ban s1: in -> out (disk)" {
		t.Errorf("%q", lines)
	}
	if lines := s.Preview(Patch{Bans: map[string]*Ban{"s1": nil}}); len(lines) != 1 || lines[0] != "ban s1: out (disk) -> in" {
		t.Errorf("%q", lines)
	}
}

// A ban that exceeds the allowed share is refused with the number that would remain, and any ban while the number
// of servers is not known.
func TestShareOfServersOut(t *testing.T) {
	s := New()
	out := func(n int, server string) error {
		return s.Apply(Change{ID: id(n), BasedOn: s.Document.Version, Set: &Patch{Bans: map[string]*Ban{server: {Server: server, Reason: "x"}}}})
	}
	if err := out(1, "s1"); code(err) != protocol.CodeNoCouncil {
		t.Errorf("with no server known: %v", err)
	}
	s.Observe(8, nil, nil)
	for n, server := range []string{"s1", "s2"} {
		if err := out(n+2, server); err != nil {
			t.Fatal(err)
		}
	}
	if err := out(5, "s3"); code(err) != protocol.CodeConflict || !strings.Contains(err.Error(), "3 of 8 servers would be out and 5 would remain; at most 2") {
		t.Error(err)
	}
	// Replacing one ban by another does not raise the number.
	swap := Patch{Bans: map[string]*Ban{"s1": nil, "s3": {Server: "s3", Reason: "x"}}}
	if err := s.Apply(Change{ID: id(6), BasedOn: s.Document.Version, Set: &swap}); err != nil {
		t.Error(err)
	}
	s.Observe(4, nil, nil) // with fewer servers than before, existing bans stay and can be lifted
	if err := s.Apply(Change{ID: id(7), BasedOn: s.Document.Version, Set: &Patch{Bans: map[string]*Ban{"s2": nil}}}); err != nil {
		t.Error(err)
	}
}

func TestLimits(t *testing.T) {
	s := New()
	s.Observe(10_000, nil, nil)
	for n := range MaxHistory + 10 {
		p := Patch{Bans: map[string]*Ban{"s": {Server: "s", Reason: fmt.Sprint(n)}}}
		if err := s.Apply(Change{ID: id(n + 1), BasedOn: s.Document.Version, Set: &p}); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.History) != MaxHistory {
		t.Errorf("%d changes in the history, want %d", len(s.History), MaxHistory)
	}
	if _, ok := s.Diff(3); ok {
		t.Error("Diff succeeds for a version before the history's start")
	}
	if err := s.Apply(Change{ID: id(1000), BasedOn: 3, Set: &Patch{Bans: map[string]*Ban{"t": {Server: "t", Reason: "x"}}}}); code(err) != protocol.CodeConflict {
		t.Errorf("based on a version before the history's start: %v", err)
	}
	many := Patch{}
	for n := range cordon.MaxBans + 1 {
		putCopy(&many.Bans, fmt.Sprint("s", n), &Ban{Server: fmt.Sprint("s", n), Reason: "x"})
	}
	before := s.Clone()
	if err := s.Apply(Change{ID: id(1001), BasedOn: s.Document.Version, Set: &many}); code(err) != protocol.CodeConflict || !reflect.DeepEqual(before, s.Clone()) {
		t.Errorf("too many bans: %v", err)
	}
	groups := Patch{}
	for n := range MaxGroups + 1 {
		putCopy(&groups.Groups, fmt.Sprint("g", n), &Group{Program: "v1"})
	}
	if err := s.Apply(Change{ID: id(1002), BasedOn: s.Document.Version, Set: &groups}); code(err) != protocol.CodeConflict {
		t.Errorf("too many groups: %v", err)
	}
}

// A ban ends once, by the owner's count, and not if it was replaced meanwhile; a recovery's epoch is above all
// earlier versions.
func TestBanExpiryAndEpochs(t *testing.T) {
	s := New()
	s.Observe(8, nil, nil)
	begin := func(n int, reason string) Version {
		p := Patch{Bans: map[string]*Ban{"s1": {Server: "s1", Reason: reason, Duration: time.Minute}}}
		if err := s.Apply(Change{ID: id(n), BasedOn: s.Document.Version, By: "ada", Set: &p}); err != nil {
			t.Fatal(err)
		}
		return s.BanSince["s1"]
	}
	first := begin(1, "x")
	s.Observe(0, map[string]time.Duration{"s1": time.Second, "s2": time.Second}, nil)
	if left := s.Document.Bans["s1"].Remaining; left != time.Second || s.Servers != 8 {
		t.Errorf("%v left, %d servers", left, s.Servers)
	}
	second := begin(2, "y")
	if left := s.Document.Bans["s1"].Remaining; left != time.Minute {
		t.Errorf("after a new ban: %v left", left)
	}
	for n, c := range []struct {
		since Version
		out   bool
	}{{first, true}, {second, false}, {second, false}} {
		if err := s.Apply(Change{ID: id(10 + n), By: "fleet", Expire: &BanExpiry{Server: "s1", Since: c.since}}); err != nil || (s.Document.Bans["s1"] != nil) != c.out {
			t.Errorf("ended since %v: %v, %v", c.since, s.Document.Bans["s1"], err)
		}
	}
	before := s.Document.Version
	s.RaiseEpoch(2)
	if s.Document.Version <= before || s.Document.Version.Epoch() != 2 {
		t.Errorf("version %v after the recovery", s.Document.Version)
	}
	p := Patch{Bans: map[string]*Ban{"s1": {Server: "s1", Reason: "z"}}}
	if err := s.Apply(Change{ID: id(20), BasedOn: before, Set: &p}); code(err) != protocol.CodeConflict {
		t.Errorf("based on a version before the recovery: %v", err)
	}
}

func TestInvalidPatches(t *testing.T) {
	for want, p := range map[string]Patch{
		"reason: must have 1 to 200 bytes": {Bans: map[string]*Ban{"s1": {Server: "s1"}}},
		"for: -1s":                         {Bans: map[string]*Ban{"s1": {Server: "s1", Reason: "x", Duration: -time.Second}}},
		"for: 1ms":                         {Bans: map[string]*Ban{"s1": {Server: "s1", Reason: "x", Duration: time.Millisecond}}},
		"under the key":                    {Bans: map[string]*Ban{"s1": {Server: "s2", Reason: "x"}}},
		`server ""`:                        {Bans: map[string]*Ban{"": nil}},
		`group: "a b"`:                     {Groups: map[string]*Group{"a b": nil}},
		`program: "../x"`:                  {Groups: map[string]*Group{"g": {Program: "../x"}}},
		"away: 0":                          {Budgets: &Budgets{}},
		"zone: -1":                         {Budgets: &Budgets{Unavailable: 1, ZoneUnavailable: -1}},
		"out_share: 1.5, must be 0 to 1":   {Budgets: &Budgets{Unavailable: 1, OutShare: 1.5}},
	} {
		s := New()
		if err := s.Apply(Change{ID: id(1), Set: &p}); code(err) != protocol.CodeUsage || !strings.Contains(err.Error(), want) {
			t.Errorf("%+v: %v, want %q", p, err, want)
		}
	}
	s := New()
	for n, c := range []Change{{}, {ID: id(1)}, {ID: id(1), Undo: 7}, {ID: id(1), BasedOn: 9, Set: &Patch{Groups: map[string]*Group{"g": {Program: "v1"}}}}} {
		if err := s.Apply(c); err == nil || s.Document.Version != 0 {
			t.Errorf("%d: %v", n, err)
		}
	}
}
