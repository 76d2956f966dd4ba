package wire

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"otterstep/policy"
)

// siteFile holds the settings in a site file that nodes are given; a value may be a range, from which one value is drawn.
type siteFile struct {
	Name      string
	Scale     struct{ Balancers any }
	Net       struct{ Zones []string }
	Discovery struct {
		Mode          string
		SilentNoticeS any `toml:"silent_notice_s"`
	}
	Allow struct {
		Cancel       bool
		SecondCopies bool `toml:"second_copies"`
		RetryAfter   bool `toml:"retry_after"`
		MaxAttempts  int  `toml:"max_attempts"`
	}
	Rules struct {
		FallMultiple float64 `toml:"fall_multiple"`
		FallMs       float64 `toml:"fall_ms"`
	}
	Class []struct {
		Name       string
		Effect     string
		Group      string
		AimMs      float64 `toml:"aim_ms"`
		DeadlineMs float64 `toml:"deadline_ms"`
		LateWorth  float64 `toml:"late_worth"`
		Worth      float64
		WindowMs   float64 `toml:"window_ms"`
	}
	Tenant []struct{ Name string }
}

// upperBound returns a value, or the upper end of a range.
func upperBound(v any) float64 {
	if list, ok := v.([]any); ok {
		v = list[len(list)-1]
	}
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

// settings encodes a site file's values as the JSON settings that nodes are given.
func (s *siteFile) settings(t *testing.T) []byte {
	t.Helper()
	type object = map[string]any
	effects := map[string]string{"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
	modes := map[string]string{"push": "pushed", "ask": "on_request"}
	classes, accounts := []object{}, []object{}
	for _, c := range s.Class {
		classes = append(classes, object{
			"Name": c.Name, "Effect": effects[c.Effect], "DedupScope": c.Group, "PromiseMs": c.AimMs, "DeadlineMs": c.DeadlineMs,
			"LateWorth": c.LateWorth, "Importance": c.Worth, "KeyTtlMs": c.WindowMs,
		})
	}
	for _, a := range s.Tenant {
		accounts = append(accounts, object{"Name": a.Name, "QuotaPerS": 10})
	}
	text, err := json.Marshal(object{
		"Balancers": int(upperBound(s.Scale.Balancers)), "Zones": s.Net.Zones, "RegistryMode": modes[s.Discovery.Mode],
		"Classes": classes, "Accounts": accounts,
		"Limits":   object{"Cancel": s.Allow.Cancel, "SecondCopies": s.Allow.SecondCopies, "RetryAfter": s.Allow.RetryAfter, "MaxAttempts": s.Allow.MaxAttempts},
		"Contract": object{"FallMultiple": s.Rules.FallMultiple, "FallMs": s.Rules.FallMs, "MustAskInMs": 1000 * upperBound(s.Discovery.SilentNoticeS)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against a parser that handles only one site's settings: the sites in deploy/sites differ in classes, effects,
// windows, tenants and discovery modes, and both the parser and the decision module must accept them unchanged.
func TestSiteSettings(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(files) != 2 {
		t.Fatalf("%v, %v; want two site files", files, err)
	}
	unsafe, onRequest, withoutTenants := 0, 0, 0
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var s siteFile
		if err := toml.Unmarshal(text, &s); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		site, err := ParseSite(s.settings(t))
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if err := site.Settings.Check(); err != nil {
			t.Errorf("%s: %v", path, err)
		}
		for i, c := range s.Class {
			got := site.Settings.Classes[i]
			if site.Classes[i] != c.Name || got.Deadline != time.Duration(c.DeadlineMs)*time.Millisecond ||
				got.Window != time.Duration(c.WindowMs)*time.Millisecond || got.Worth != c.Worth {
				t.Errorf("%s: class %s is parsed as %+v", path, c.Name, got)
			}
			if got.Effect == policy.Unsafe {
				unsafe++
			}
		}
		if site.Settings.ListWatched {
			onRequest++
		}
		if len(site.Tenants) != len(s.Tenant) || len(site.Settings.Tenants) != len(s.Tenant) {
			t.Errorf("%s: %d tenants of %d", path, len(site.Tenants), len(s.Tenant))
		}
		if len(site.Tenants) == 0 {
			withoutTenants++
		}
	}
	if unsafe != 1 || onRequest != 1 || withoutTenants != 1 {
		t.Errorf("%d unsafe classes, %d sites with on-request discovery, %d sites without tenants; want one of each", unsafe, onRequest, withoutTenants)
	}
}
