package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterstep/internal/fleet/desired"
)

// A file with the fleet's desired state is applied whole, or rejected with all its errors and their lines.
func TestDesiredFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	load := func(text string) (*desired.Patch, error) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return loadDesiredFile(path, &desired.Document{Groups: map[string]*desired.Group{"old": {Program: "v1"}}})
	}
	p, err := load("[budgets]\naway = 2\nstarts = 0.5\n[[group]]\nname = \"g\"\nprogram = \"v2\"\n[[ban]]\nserver = \"s1\"\nreason = \"disk\"\nfor = \"2h\"\n")
	if err != nil {
		t.Fatal(err)
	}
	want := desired.DefaultBudgets
	want.Unavailable, want.StartsPerSecond = 2, 0.5
	if *p.Budgets != want || p.Groups["g"].Program != "v2" || p.Bans["s1"].Duration != 2*time.Hour {
		t.Errorf("%+v", p)
	}
	if g, named := p.Groups["old"]; g != nil || !named {
		t.Errorf("a group that the file no longer names: %+v", g)
	}
	_, err = load("[budgets]\naway = 0\n[[group]]\nname = \"g\"\n[[group]]\nname = \"g\"\n[[ban]]\nserver = \"s1\"\n[[ban]]\nserver = \"s2\"\nreason = \"x\"\nfor = \"1ms\"\nfro = 1\n")
	for _, want := range []string{
		":1: budgets: budgets: away: 0", `group[2].name: "g" is given twice`, `ban[1]: ban: server "s1": reason:`, `ban[2]: ban: server "s2": for: 1ms`, "did you mean ban.for?",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("lacks %q in\n%v", want, err)
		}
	}
}

func TestVersions(t *testing.T) {
	for text, want := range map[string]desired.Version{"0.17": 17, "2.1": 2<<40 | 1, "": 0, "17": 0, "0.x": 0, "-1.2": 0, "0.99999999999999999": 0} {
		got, err := parseVersion(text)
		if got != want || (err == nil) != (want != 0) {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
}
