package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"otterstep/internal/rulecheck"
	"otterstep/internal/sim"
	"otterstep/internal/standin/racedetector"
)

func loadExperiment(t testing.TB, name string) *Experiment {
	t.Helper()
	x, err := Load(filepath.Join("../../experiments", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// A hunt finds a defect injected into the node and shrinks the run to at most two faults.
// The file that it writes reproduces the violation when it is read and replayed, and a
// replay on another build (here: one without the defect) is reported as different.
func TestHuntFindsAndShrinksViolations(t *testing.T) {
	racedetector.Skip(t)
	for rule, defects := range map[rulecheck.Violation]sim.Defects{
		rulecheck.PushedOver:   {}, // violated by the random policy, which sends cold servers as much as others
		rulecheck.SecondAnswer: {DuplicateAnswers: true},
		rulecheck.RanTwice:     {DuplicateUnsafe: true},
		rulecheck.AfterDrain:   {IgnoreChanges: true},
		rulecheck.NoAnswer:     {DropEvery: 400},
	} {
		t.Run(string(rule), func(t *testing.T) {
			t.Parallel()
			x := loadExperiment(t, "calm")
			x.File.Duration.Duration, x.File.Load.Rate = 5*time.Second, 150
			x.Options.Defects = defects
			if rule == rulecheck.PushedOver {
				x.Options.Policy, x.File.Load.Rate = "random", 600
			}
			var messages []string
			found, r, err := x.Hunt(t.Context(), 3, 200, func(text string) { messages = append(messages, text) })
			if err != nil {
				t.Fatal(err)
			}
			if r.Results.Broken[rule] == 0 || len(found.File.Fault) > 2 || found.File.Load.Rate > x.File.Load.Rate || len(messages) < 2 {
				t.Fatalf("violations %v; %d faults at %.0f requests/s; progress %q", r.Results.Broken, len(found.File.Fault), found.File.Load.Rate, messages)
			}
			text, err := found.Marshal()
			if err != nil {
				t.Fatal(err)
			}
			replayed, err := parseText("found.toml", text)
			if err != nil {
				t.Fatalf("%v in\n%s", err, text)
			}
			if _, err := replayed.Replay(); err == nil || !strings.Contains(err.Error(), "another build") {
				t.Errorf("without the defect: %v", err)
			}
			replayed.Options.Defects, replayed.Options.Policy = defects, x.Options.Policy
			if _, err := replayed.Replay(); err != nil {
				t.Error(err)
			}
		})
	}
	if _, err := loadExperiment(t, "calm").Replay(); err == nil {
		t.Error("a file without [found] is replayed")
	}
}

// Where no rule is violated, the hunt finds the run with the smallest share served, and
// shrinks it to faults none of which can be left out.
func TestHuntForTheWorstRun(t *testing.T) {
	x := loadExperiment(t, "calm")
	x.File.Duration.Duration, x.File.Load.Rate = 5*time.Second, 150
	x, err := x.withFile(x.File)
	if err != nil {
		t.Fatal(err)
	}
	usual, err := x.runSeed(1)
	if err != nil {
		t.Fatal(err)
	}
	messages := []string{}
	found, r, err := x.Hunt(t.Context(), 1, 12, func(text string) { messages = append(messages, text) })
	if err != nil {
		t.Fatal(err)
	}
	// No remaining fault can be left out without losing some of the effect.
	for i := range found.File.Fault {
		less := found.File
		less.Fault = slices.Delete(slices.Clone(less.Fault), i, i+1)
		smaller, err := found.withFile(less)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := smaller.runSeed(r.Seed); err != nil || 1-got.Share >= 1-r.Share {
			t.Errorf("fault %d is not needed: %.4f without it, %v; %q", i, got.Share, err, messages)
		}
	}
	if r.Share > usual.Share-0.01 || len(r.Results.Broken) > 0 || len(found.File.Fault) == 0 {
		t.Errorf("%.3f within the aim, usually %.3f; violations %v; %d faults", r.Share, usual.Share, r.Results.Broken, len(found.File.Fault))
	}
}

func TestSweep(t *testing.T) {
	racedetector.Skip(t)
	file := "../../experiments/hang.toml"
	steps, err := Sweep(t.Context(), file, "fleet.parallel", []string{"4", "1"}, "ours", 1, 1, func() {})
	if err != nil {
		t.Fatal(err)
	}
	if len(steps) != 2 || steps[0].Runs[0].Share < steps[1].Runs[0].Share+0.05 {
		t.Errorf("%.3f with four concurrent requests, %.3f with one", steps[0].Runs[0].Share, steps[1].Runs[0].Share)
	}
	var b bytes.Buffer
	if err := PrintSweep(&b, "fleet.parallel", steps); err != nil || strings.Count(b.String(), "\n") != 3 {
		t.Errorf("%v\n%s", err, b.String())
	}
	for key, value := range map[string]string{
		"load.speed": "1", "fault[9].amount": "1", "load": "1", "about.x": "1", "class[1].effect": "rarely", "fault[x].at": "1s", "fleet.nodes": "0.5",
	} {
		if _, err := Sweep(t.Context(), file, key, []string{value}, "ours", 1, 1, func() {}); err == nil || !strings.Contains(err.Error(), file) {
			t.Errorf("%s = %s: %v", key, value, err)
		}
	}
}

// Valid traces are read with all their columns; the error for an invalid one names the
// place.
func TestTraces(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	classes := []Class{{Name: "read"}, {Name: "booking"}}
	got, err := ReadTrace(write("good.csv", "at,class,tenant,key\n1.5s,booking,1,7\n200ms,read,0,0\n"), classes, 2)
	if err != nil || len(got) != 2 || got[0].At != 200*time.Millisecond || got[1] != (sim.Arrival{At: 1500 * time.Millisecond, Class: 1, Tenant: 1, Key: 7}) {
		t.Errorf("%v, %v", got, err)
	}
	for text, want := range map[string]string{
		"1s,read,0,0\nsoon,read,0,0\n": ":2: at", "1s,write,0,0\n": ":1: class", "1s,read,2,0\n": ":1: tenant", "1s,read,0,x\n": ":1: key",
		"1s,read,0\n": "line 1", "at,class,tenant,key\n": "no request",
	} {
		if _, err := ReadTrace(write("bad.csv", text), classes, 2); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	full := write("full.csv", strings.Repeat("1s,read,0,0\n", 4))
	if _, err := readTrace(full, classes, 2, 3); err == nil || !strings.Contains(err.Error(), ":4: over 3") {
		t.Errorf("a trace above the limit: %v", err)
	}
	if got, err := readTrace(full, classes, 2, 4); err != nil || len(got) != 4 {
		t.Errorf("a trace at the limit: %d, %v", len(got), err)
	}
	text, err := os.ReadFile("../../experiments/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	changed, err := setKey(text, "load.trace", "t.csv")
	if err != nil {
		t.Fatal(err)
	}
	x := write("x.toml", string(changed))
	if _, err := Load(x); err == nil || !strings.Contains(err.Error(), "load.trace") {
		t.Errorf("a missing trace: %v", err)
	}
	write("t.csv", "3s,read,0,0\n4s,read,0,0\n")
	loaded, err := Load(x)
	if err != nil {
		t.Fatal(err)
	}
	if r, err := loaded.runSeed(1); err != nil || r.Results.Asked != 2 {
		t.Errorf("%+v, %v", r.Results, err)
	}
}

// An explicit warm-up of 0 is not replaced by the default, and a ramp is interpolated.
func TestZeroWarmUpAndRamp(t *testing.T) {
	x, err := parseText("x.toml", []byte("for = \"10s\"\nwarm = \"0s\"\n[load]\nrate = 10.0\ncurve = [0.0, 1.0]\nramp = true\n[[class]]\nname = \"a\"\neffect = \"safe\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if x.Options.WarmUp != 0 || x.Options.Net.Latency.Mean != time.Millisecond {
		t.Errorf("warm %v, latency %v", x.Options.WarmUp, x.Options.Net.Latency.Mean)
	}
	for at, want := range map[time.Duration]float64{0: 0, 2500 * time.Millisecond: 0, 5 * time.Second: 0.5, 8 * time.Second: 1} {
		if got := x.Options.Load.Curve(at); got < want-0.01 || got > want+0.01 {
			t.Errorf("at %v: %v, want %v", at, got, want)
		}
	}
}
