package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Defaults returns the settings for whatever a site leaves unspecified: a single
// attempt, no second copies, no cancels, and the strictest known limits for
// drains and cold servers.
func Defaults() Settings {
	return Settings{
		Nodes:          1,
		OverShareWorth: 1,
		Limits:         Limits{MaxAttempts: 1},
		Rules: Rules{
			ColdFrom: 0.1, ColdFor: 30 * time.Second,
			FallMultiple: 2, FallFor: time.Second,
			MaxCallInterval: 10 * time.Second,
		},
	}
}

// New returns a Balancer, or an error that names the invalid setting.
func New(set Settings, seed uint64, host Host) (*Balancer, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		set: set, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		servers: map[ServerID]*server{}, keys: map[uint64]*server{}, kinds: map[int]*machineKind{}, requests: map[RequestID]*request{},
		meanSuccess: 1, meanLatency: 1, refreshedAt: -1, watchDelay: watchRetryDelay, watchSpread: watchSpacing,
		admitted: 1, nodePart: 1, limitOffset: uniform(seed), limit: min(1, fairLimit/float64(set.Nodes)),
		sparseLimit: min(1, fairLimit/float64(set.Nodes)),
	}
	b.set.Limits.MaxAttempts = min(set.Limits.MaxAttempts, maxAttempts)
	for _, c := range set.Classes {
		if c.Aim == 0 {
			c.Aim = c.Deadline
		}
		b.classes = append(b.classes, class{
			Class: c, unloaded: c.Aim.Seconds() / 4, unloadedSamples: 1, work: c.Aim.Seconds() / 4, samples: 1,
		})
	}
	b.allUnsafe = !slices.ContainsFunc(set.Classes, func(c Class) bool { return c.Effect != Unsafe })
	for i := range b.classes {
		b.classes[i].aimFactor = b.aimFactor(&b.classes[i].Class)
		if set.WorthByWork {
			b.classes[i].work = 1
		}
	}
	b.typicalLatency = b.classes[0].unloaded
	for _, t := range set.Tenants {
		rate := t.QuotaPerS / float64(set.Nodes)
		b.tenants = append(b.tenants, tokenBucket{perSecond: rate, tokens: rate})
	}
	return b, nil
}

// Check returns an error that names the first invalid field.
func (s *Settings) Check() error {
	invalid := func(field string, v any) error {
		return fmt.Errorf("policy: setting %s is invalid: %v", field, v)
	}
	atLeast := func(v, least float64) bool { return v >= least && !math.IsInf(v, 1) } // NaN fails too
	switch {
	case s.Nodes < 1:
		return invalid("Nodes", s.Nodes)
	case s.Zone < 0:
		return invalid("Zone", s.Zone)
	case len(s.Classes) == 0:
		return invalid("Classes", "none given")
	case !atLeast(s.OverShareWorth, 0):
		return invalid("OverShareWorth", s.OverShareWorth)
	case !atLeast(s.Prices.Waste, 0):
		return invalid("Prices.Waste", s.Prices.Waste)
	case !atLeast(s.Prices.LateFail, 0):
		return invalid("Prices.LateFail", s.Prices.LateFail)
	case !atLeast(s.Prices.CrossZone, 0):
		return invalid("Prices.CrossZone", s.Prices.CrossZone)
	case s.Limits.MaxAttempts < 1:
		return invalid("Limits.MaxAttempts", s.Limits.MaxAttempts)
	case s.Limits.MaxOpen < 0:
		return invalid("Limits.MaxOpen", s.Limits.MaxOpen)
	case s.Limits.MaxRetryAfter < 0:
		return invalid("Limits.MaxRetryAfter", s.Limits.MaxRetryAfter)
	case !atLeast(s.Rules.ColdFrom, 0) || s.Rules.ColdFrom > 1:
		return invalid("Rules.ColdFrom", s.Rules.ColdFrom)
	case s.Rules.ColdFor < 0:
		return invalid("Rules.ColdFor", s.Rules.ColdFor)
	case !atLeast(s.Rules.FallMultiple, 0):
		return invalid("Rules.FallMultiple", s.Rules.FallMultiple)
	case s.Rules.FallFor < 0:
		return invalid("Rules.FallFor", s.Rules.FallFor)
	case s.Rules.MaxCallInterval < 0:
		return invalid("Rules.MaxCallInterval", s.Rules.MaxCallInterval)
	}
	for i, c := range s.Classes {
		field := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		switch {
		case c.Deadline <= 0:
			return invalid(field("Deadline"), c.Deadline)
		case c.Aim < 0:
			return invalid(field("Aim"), c.Aim)
		case !atLeast(c.AimStretch, 0):
			return invalid(field("AimStretch"), c.AimStretch)
		case !atLeast(c.LateWorth, 0) || c.LateWorth > 1:
			return invalid(field("LateWorth"), c.LateWorth)
		case !atLeast(c.Worth, 0):
			return invalid(field("Worth"), c.Worth)
		case c.Effect > Unsafe:
			return invalid(field("Effect"), c.Effect)
		case c.Scope > ScopeCell:
			return invalid(field("Scope"), c.Scope)
		case c.LatencyFloor < 0:
			return invalid(field("LatencyFloor"), c.LatencyFloor)
		case c.Window < 0:
			return invalid(field("Window"), c.Window)
		}
	}
	for i, t := range s.Tenants {
		if !atLeast(t.QuotaPerS, 0) {
			return invalid(fmt.Sprintf("Tenants[%d].QuotaPerS", i), t.QuotaPerS)
		}
	}
	return nil
}
