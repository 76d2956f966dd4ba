package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Memory is what a Balancer has learned, for its successor in the same node. Times are ages, as clocks differ between
// processes.
type Memory struct {
	Limit           float64        `json:"limit"`
	GoodLimit       float64        `json:"limit_known"`
	CongestedBefore bool           `json:"crowded"`
	Congestion      float64        `json:"crowding"`
	UnloadedSamples int            `json:"lone_seen"`
	TypicalLatency  float64        `json:"typical"`
	MeanSuccess     float64        `json:"mean_success"`
	MeanLatency     float64        `json:"mean_latency"`
	Pressure        float64        `json:"pressure"`
	Admitted        float64        `json:"admitted"`
	Demand          float64        `json:"demand"` // work per second
	PeakServedRate  float64        `json:"bore"`   // recent peak of the work served per second
	Classes         []ClassMemory  `json:"classes"`
	Kinds           []KindMemory   `json:"kinds"`
	Servers         []ServerMemory `json:"servers"`
	Keys            []KeyMemory    `json:"keys,omitempty"` // the servers that served them last
}

// ClassMemory holds the latency statistics of a class.
type ClassMemory struct {
	Unloaded        float64 `json:"lone"`
	Baseline        float64 `json:"yardstick"`
	UnloadedSamples float64 `json:"lone_seen"`
	Work            float64 `json:"work"`
	Samples         float64 `json:"seen"`
	MeanHint        float64 `json:"hint"`
	HintSamples     float64 `json:"hinted"`
}

// KindMemory holds the latency statistics of a machine type.
type KindMemory struct {
	Kind    int     `json:"kind"`
	Latency float64 `json:"latency"`
	Samples float64 `json:"seen"`
}

// ServerMemory holds what is known about one process of a server, from its start to its end.
type ServerMemory struct {
	Server          ServerID      `json:"server"`
	Age             time.Duration `json:"age"` // of the process; 0: it started long ago
	Open            bool          `json:"open"`
	ReopenIn        time.Duration `json:"reopen_in"`
	OpenFor         time.Duration `json:"open_for"`
	Failures        int           `json:"failures"`
	Successes       int           `json:"good"` // successes among the latest outcomes
	Failed          int           `json:"bad"`
	Latency         float64       `json:"latency"` // mean of the successes, as a multiple of the unloaded latency
	Unloaded        float64       `json:"lone"`
	UnloadedSamples float64       `json:"lone_seen"`
	SentRate        float64       `json:"rate"`
	ServedRate      float64       `json:"done"`
	ColdSaved       float64       `json:"cold_saved"`
	Earned          float64       `json:"earned"`
}

// KeyMemory names the server that served a key last.
type KeyMemory struct {
	Key    uint64   `json:"key"`
	Server ServerID `json:"server"`
}

// startTolerance is how far two processes may disagree on a server's start, as lists give milliseconds.
const startTolerance = 5 * time.Millisecond

// HandOver returns what was learned, for a successor, and gives up the budgets saved up for cold servers, so that both
// processes together spend them only once.
func (b *Balancer) HandOver(now time.Duration) Memory {
	m := b.Learned(now)
	for _, s := range b.ready {
		s.coldSaved, s.earned = min(s.coldSaved, 0), 0
	}
	return m
}

// Learned returns what was learned and changes nothing.
func (b *Balancer) Learned(now time.Duration) Memory {
	m := Memory{
		Limit: b.limit, GoodLimit: b.goodLimit, CongestedBefore: b.congestedBefore, Congestion: b.congestion, UnloadedSamples: b.unloadedSamples, TypicalLatency: b.typicalLatency,
		MeanSuccess: b.meanSuccess, MeanLatency: b.meanLatency, Pressure: b.pressure, Admitted: b.admitted, Demand: b.demand.perSecond(now), PeakServedRate: b.peakServedRate,
	}
	for i := range b.classes {
		c := &b.classes[i]
		m.Classes = append(m.Classes, ClassMemory{c.unloaded, c.baseline, c.unloadedSamples, c.work, c.samples, c.meanHint, c.hintSamples})
	}
	for kind, k := range b.kinds {
		m.Kinds = append(m.Kinds, KindMemory{kind, k.latency, k.samples})
	}
	slices.SortFunc(m.Kinds, func(x, y KindMemory) int { return cmp.Compare(x.Kind, y.Kind) })
	for _, s := range b.ready {
		sm := ServerMemory{
			Server: s.Server, OpenFor: s.openFor, Failures: len(s.failures), Successes: s.successes, Failed: s.judged - s.successes,
			Unloaded: s.unloaded, UnloadedSamples: s.unloadedSamples, SentRate: s.sentRate.perSecond(now), ServedRate: s.servedRate.perSecond(now), ColdSaved: s.coldSaved, Earned: s.earned,
		}
		if s.Started > 0 {
			sm.Age = max(1, now-s.Started)
		}
		if s.breaker != closed {
			sm.Open, sm.ReopenIn = true, max(0, s.reopenAt-now)
		}
		if s.successes > 0 {
			sm.Latency = s.latencySum / float64(s.successes)
		}
		m.Servers = append(m.Servers, sm)
	}
	for key, s := range b.keys {
		if s.State == Ready {
			m.Keys = append(m.Keys, KeyMemory{key, s.Server})
		}
	}
	slices.SortFunc(m.Keys, func(x, y KeyMemory) int { return cmp.Compare(x.Key, y.Key) })
	return m
}

// Restore takes over what another Balancer has learned. If a value is invalid, nothing is taken over and the error names
// it. Servers that are not listed or have restarted since are skipped.
func (b *Balancer) Restore(now time.Duration, m Memory) error {
	if err := m.check(len(b.classes)); err != nil {
		return fmt.Errorf("policy: memory: %w", err)
	}
	b.markRestored(now, m)
	b.limit, b.goodLimit, b.congestedBefore, b.congestion, b.unloadedSamples = m.Limit, m.GoodLimit, m.CongestedBefore, m.Congestion, m.UnloadedSamples
	b.typicalLatency, b.meanSuccess, b.meanLatency = m.TypicalLatency, m.MeanSuccess, m.MeanLatency
	b.pressure, b.admitted, b.pressureAt, b.adjustedAt = m.Pressure, m.Admitted, now, now
	b.demand, b.peakServedRate = meter{now, m.Demand}, m.PeakServedRate
	for i, c := range m.Classes {
		o := &b.classes[i]
		o.unloaded, o.baseline, o.unloadedSamples, o.work, o.samples, o.meanHint, o.hintSamples = c.Unloaded, c.Baseline, c.UnloadedSamples, c.Work, c.Samples, c.MeanHint, c.HintSamples
	}
	for _, k := range m.Kinds {
		if o := b.kinds[k.Kind]; o != nil {
			*o = machineKind{k.Latency, k.Samples, math.Exp(-k.Latency)}
		}
	}
	for _, sm := range m.Servers {
		if s := b.servers[sm.Server]; s != nil && s.sameProcess(now, sm.Age) {
			s.restore(now, sm)
		}
	}
	for _, k := range m.Keys {
		if s := b.servers[k.Server]; s != nil {
			b.rememberKey(k.Key, s)
		}
	}
	b.refreshedAt = -1
	b.updateReady()
	return nil
}

func (s *server) sameProcess(now, age time.Duration) bool {
	if age == 0 || s.Started <= 0 {
		return age == 0 && s.Started <= 0
	}
	return (now - age - s.Started).Abs() <= startTolerance
}

func (s *server) restore(now time.Duration, m ServerMemory) {
	s.unloaded, s.unloadedSamples, s.sentRate, s.servedRate = m.Unloaded, m.UnloadedSamples, meter{now, m.SentRate}, meter{now, m.ServedRate}
	if s.earned = m.Earned; !s.Unconfirmed { // otherwise it is saved up from a random start, so that nodes that restart together are not in step
		s.coldSaved, s.coldAt = m.ColdSaved, now
	}
	for range m.Failed {
		s.record(now, false, 0)
	}
	for range m.Successes {
		s.record(now, true, m.Latency)
	}
	for range m.Failures {
		s.failures = append(s.failures, now)
	}
	if m.Open {
		s.breaker, s.openFor, s.reopenAt = open, m.OpenFor, now+m.ReopenIn
	}
}

// check returns an error that names the first invalid value.
func (m *Memory) check(classes int) error {
	require := func(name string, least float64, values ...float64) error {
		for _, v := range values {
			if !(v >= least) || math.IsInf(v, 1) {
				return fmt.Errorf("%s is %v", name, v)
			}
		}
		return nil
	}
	lowest := -math.MaxFloat64
	errs := []error{
		require("limit", math.SmallestNonzeroFloat64, m.Limit), require("limit_known", 0, m.GoodLimit), require("crowding", lowest, m.Congestion),
		require("typical", math.SmallestNonzeroFloat64, m.TypicalLatency), require("mean_success", 0, m.MeanSuccess), require("mean_latency", 0, m.MeanLatency),
		require("pressure", 0, m.Pressure), require("admitted", minAdmitted, m.Admitted), require("demand", 0, m.Demand, m.PeakServedRate),
	}
	if len(m.Classes) != classes {
		errs = append(errs, fmt.Errorf("classes: got %d, want %d", len(m.Classes), classes))
	}
	for _, c := range m.Classes {
		errs = append(errs, require("classes", 0, c.Baseline, c.UnloadedSamples, c.Samples, c.MeanHint, c.HintSamples), require("classes", math.SmallestNonzeroFloat64, c.Unloaded, c.Work))
	}
	for _, k := range m.Kinds {
		errs = append(errs, require("kinds", lowest, k.Latency), require("kinds", 0, k.Samples))
	}
	for _, s := range m.Servers {
		errs = append(errs, require("servers", 0, s.Latency, s.UnloadedSamples, s.SentRate, s.ServedRate, s.Earned), require("servers", lowest, s.Unloaded, s.ColdSaved))
		if s.Successes < 0 || s.Failed < 0 || s.Successes+s.Failed > maxOutcomes || s.Failures < 0 || s.Failures > maxOutcomes || s.OpenFor < 0 || s.ReopenIn < 0 || s.Age < 0 {
			errs = append(errs, fmt.Errorf("servers: invalid entry %+v", s))
		}
	}
	if len(m.Keys) > 4096 {
		errs = append(errs, fmt.Errorf("keys: got %d, at most 4096 are allowed", len(m.Keys)))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
