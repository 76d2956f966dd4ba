package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"otterstep/policy"
)

// optionalMs is a duration in milliseconds in JSON. It records whether it was given, so that absent
// keys keep their defaults.
type optionalMs struct {
	value time.Duration
	given bool
}

func (m *optionalMs) UnmarshalJSON(text []byte) error {
	if string(text) == "null" {
		return nil
	}
	var v float64
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	d, ok := duration(v)
	if !ok {
		return fmt.Errorf("time %v is too long", v)
	}
	m.value, m.given = d, true
	return nil
}

func (m optionalMs) or(d time.Duration) time.Duration {
	if m.given {
		return m.value
	}
	return d
}

type settingsJSON struct {
	Accounts []struct {
		Name      string
		QuotaPerS float64
	}
	Balancers *int
	Classes   []struct {
		DeadlineMs, PromiseMs, KeyTtlMs optionalMs
		AimStretch, LateWorth           float64
		Importance                      *float64
		Name, Effect, DedupScope        string
		Streaming                       bool
	}
	Contract struct {
		ColdFrom, FallMultiple      *float64
		ColdMs, FallMs, MustAskInMs optionalMs
	}
	CountedBy  string
	Deductions struct{ Waste, LateFail, CrossZone float64 }
	Extra      struct{ WarmKeys bool }
	Kinds      []string
	Limits     struct {
		Cancel, RetryAfter, SecondCopies bool
		MaxAttempts                      *int
		MaxRetryAfterMs                  optionalMs
		ConnIdleMs, ConnectTimeoutMs     optionalMs
	}
	Locality       int
	OverShareWorth *float64
	RegistryMode   string
	Zones          []string
}

// Site holds the settings of a node, including those that the decision module does not use:
// names as they appear in protocols, in the order of their indices, and connection time-outs.
type Site struct {
	Settings       policy.Settings
	Classes        []string
	Tenants        []string
	Zones          []string
	Kinds          []string      // of machines
	ConnIdle       time.Duration // servers close connections that have been idle for this long
	ConnectTimeout time.Duration
}

// set replaces a default if a value was given.
func set[T any](to *T, given *T) {
	if given != nil {
		*to = *given
	}
}

// ParseSettings parses an instance's settings. Unknown keys are ignored, and absent ones keep
// the values of policy.Defaults; a class without an effect counts as unsafe.
func ParseSettings(text []byte) (policy.Settings, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return policy.Defaults(), fmt.Errorf("settings: %w", err)
	}
	return j.toPolicy()
}

// ParseSite parses the same settings together with those that only a node needs.
func ParseSite(text []byte) (Site, error) {
	var j settingsJSON
	if err := json.Unmarshal(text, &j); err != nil {
		return Site{}, fmt.Errorf("settings: %w", err)
	}
	s, err := j.toPolicy()
	if err != nil {
		return Site{}, err
	}
	site := Site{
		Settings: s, Zones: j.Zones, Kinds: j.Kinds,
		ConnIdle:       j.Limits.ConnIdleMs.or(15 * time.Second),
		ConnectTimeout: j.Limits.ConnectTimeoutMs.or(250 * time.Millisecond),
	}
	for i, c := range j.Classes {
		if c.Name == "" {
			return Site{}, fmt.Errorf("settings: Classes[%d].Name: none given", i)
		}
		site.Classes = append(site.Classes, c.Name)
	}
	for _, t := range j.Accounts {
		site.Tenants = append(site.Tenants, t.Name)
	}
	return site, nil
}

func (j *settingsJSON) toPolicy() (policy.Settings, error) {
	s := policy.Defaults()
	set(&s.Nodes, j.Balancers)
	set(&s.OverShareWorth, j.OverShareWorth)
	set(&s.Limits.MaxAttempts, j.Limits.MaxAttempts)
	set(&s.Rules.ColdFrom, j.Contract.ColdFrom)
	set(&s.Rules.FallMultiple, j.Contract.FallMultiple)
	s.Prices = policy.Prices{Waste: j.Deductions.Waste, LateFail: j.Deductions.LateFail, CrossZone: j.Deductions.CrossZone}
	s.Zone = j.Locality
	s.WarmKeys = j.Extra.WarmKeys
	s.WorthByWork = j.CountedBy == "work"
	s.Limits.Cancel, s.Limits.SecondCopies = j.Limits.Cancel, j.Limits.SecondCopies
	if j.Limits.RetryAfter {
		s.Limits.MaxRetryAfter = j.Limits.MaxRetryAfterMs.or(0)
	}
	s.Rules.ColdFor = j.Contract.ColdMs.or(s.Rules.ColdFor)
	s.Rules.FallFor = j.Contract.FallMs.or(s.Rules.FallFor)
	s.Rules.MaxCallInterval = j.Contract.MustAskInMs.or(s.Rules.MaxCallInterval)
	var ok bool
	if s.ListWatched, ok = lookup(j.RegistryMode, map[string]bool{"": false, "pushed": false, "on_request": true}); !ok {
		return s, fmt.Errorf("settings: RegistryMode: unknown value %q", j.RegistryMode)
	}
	for i, c := range j.Classes {
		p := policy.Class{
			Deadline: c.DeadlineMs.or(0), Aim: c.PromiseMs.or(c.DeadlineMs.or(0)), AimStretch: c.AimStretch,
			LateWorth: c.LateWorth, Worth: 1, Window: c.KeyTtlMs.or(0), Stream: c.Streaming,
		}
		set(&p.Worth, c.Importance)
		if p.Effect, ok = lookup(c.Effect, effects); !ok {
			return s, fmt.Errorf("settings: Classes[%d].Effect: unknown value %q", i, c.Effect)
		}
		if p.Scope, ok = lookup(c.DedupScope, scopes); !ok {
			return s, fmt.Errorf("settings: Classes[%d].DedupScope: unknown value %q", i, c.DedupScope)
		}
		s.Classes = append(s.Classes, p)
	}
	for _, t := range j.Accounts {
		s.Tenants = append(s.Tenants, policy.Tenant{QuotaPerS: t.QuotaPerS})
	}
	if math.IsNaN(s.OverShareWorth) {
		return s, fmt.Errorf("settings: OverShareWorth: not a number")
	}
	return s, nil
}

var effects = map[string]policy.Effect{
	"pure": policy.Safe, "token": policy.Keyed, "side_effect": policy.Unsafe, "": policy.Unsafe,
}

// scopes maps the words for a deduplication scope; an absent scope is the narrowest.
var scopes = map[string]policy.Scope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell, "": policy.ScopeCell,
}

func lookup[T any](w string, words map[string]T) (T, bool) {
	v, ok := words[w]
	return v, ok
}
