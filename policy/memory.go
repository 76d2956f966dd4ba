package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Memory is what a Balancer has learnt, for another one of the same node that goes on in its place. Times
// are ages, as clocks differ between processes.
type Memory struct {
	Limit       float64        `json:"limit"`
	LimitKnown  float64        `json:"limit_known"`
	Crowded     bool           `json:"crowded"`
	Crowding    float64        `json:"crowding"`
	LoneSeen    int            `json:"lone_seen"`
	Typical     float64        `json:"typical"`
	MeanSuccess float64        `json:"mean_success"`
	MeanLatency float64        `json:"mean_latency"`
	Pressure    float64        `json:"pressure"`
	Admitted    float64        `json:"admitted"`
	Demand      float64        `json:"demand"` // work a second
	Bore        float64        `json:"bore"`   // likewise: the most that was served of late
	Classes     []ClassMemory  `json:"classes"`
	Kinds       []KindMemory   `json:"kinds"`
	Servers     []ServerMemory `json:"servers"`
	Keys        []KeyMemory    `json:"keys,omitempty"` // who served them last
}

// ClassMemory is what is known of a class's latencies.
type ClassMemory struct {
	Lone      float64 `json:"lone"`
	Yardstick float64 `json:"yardstick"`
	LoneSeen  float64 `json:"lone_seen"`
	Work      float64 `json:"work"`
	Seen      float64 `json:"seen"`
	Hint      float64 `json:"hint"`
	Hinted    float64 `json:"hinted"`
}

// KindMemory is what is known of a kind of machine.
type KindMemory struct {
	Kind    int     `json:"kind"`
	Latency float64 `json:"latency"`
	Seen    float64 `json:"seen"`
}

// ServerMemory is what is known of one life of a server.
type ServerMemory struct {
	Server    ServerID      `json:"server"`
	Age       time.Duration `json:"age"` // of the process; 0: it started long ago
	Open      bool          `json:"open"`
	ReopenIn  time.Duration `json:"reopen_in"`
	OpenFor   time.Duration `json:"open_for"`
	Failures  int           `json:"failures"`
	Good      int           `json:"good"` // of the latest outcomes
	Bad       int           `json:"bad"`
	Latency   float64       `json:"latency"` // mean of the good ones
	Lone      float64       `json:"lone"`
	LoneSeen  float64       `json:"lone_seen"`
	Rate      float64       `json:"rate"`
	Done      float64       `json:"done"`
	ColdSaved float64       `json:"cold_saved"`
	Earned    float64       `json:"earned"`
}

// KeyMemory is who served a key last.
type KeyMemory struct {
	Key    uint64   `json:"key"`
	Server ServerID `json:"server"`
}

// sameStart is how far two processes may lie apart on when a server started, by the milliseconds of lists.
const sameStart = 5 * time.Millisecond

// Pass gives what was learnt to another Balancer, and with it the room that was saved up at cold servers:
// both have no more than one.
func (b *Balancer) Pass(now time.Duration) Memory {
	m := b.Learnt(now)
	for _, s := range b.ready {
		s.coldSaved, s.earned = min(s.coldSaved, 0), 0
	}
	return m
}

// Learnt gives what was learnt and changes nothing.
func (b *Balancer) Learnt(now time.Duration) Memory {
	m := Memory{
		Limit: b.limit, LimitKnown: b.limitKnown, Crowded: b.crowded, Crowding: b.crowding, LoneSeen: b.loneSeen, Typical: b.typical,
		MeanSuccess: b.meanSuccess, MeanLatency: b.meanLatency, Pressure: b.pressure, Admitted: b.admitted, Demand: b.demand.perSecond(now), Bore: b.bore,
	}
	for i := range b.classes {
		c := &b.classes[i]
		m.Classes = append(m.Classes, ClassMemory{c.lone, c.yardstick, c.loneSeen, c.work, c.seen, c.hint, c.hinted})
	}
	for kind, k := range b.kinds {
		m.Kinds = append(m.Kinds, KindMemory{kind, k.latency, k.seen})
	}
	slices.SortFunc(m.Kinds, func(x, y KindMemory) int { return cmp.Compare(x.Kind, y.Kind) })
	for _, s := range b.ready {
		sm := ServerMemory{
			Server: s.Server, OpenFor: s.openFor, Failures: len(s.failures), Good: s.good, Bad: s.kept - s.good,
			Lone: s.lone, LoneSeen: s.loneSeen, Rate: s.rate.perSecond(now), Done: s.done.perSecond(now), ColdSaved: s.coldSaved, Earned: s.earned,
		}
		if s.Started > 0 {
			sm.Age = max(1, now-s.Started)
		}
		if s.breaker != closed {
			sm.Open, sm.ReopenIn = true, max(0, s.reopenAt-now)
		}
		if s.good > 0 {
			sm.Latency = s.latencySum / float64(s.good)
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

// Recall takes over what another Balancer has learnt. An error names what is impossible in it; nothing is
// taken over then. What it says of servers that are not listed, or have started anew since, is left out.
func (b *Balancer) Recall(now time.Duration, m Memory) error {
	if err := m.check(len(b.classes)); err != nil {
		return fmt.Errorf("policy: memory: %w", err)
	}
	b.believe(now, m)
	b.limit, b.limitKnown, b.crowded, b.crowding, b.loneSeen = m.Limit, m.LimitKnown, m.Crowded, m.Crowding, m.LoneSeen
	b.typical, b.meanSuccess, b.meanLatency = m.Typical, m.MeanSuccess, m.MeanLatency
	b.pressure, b.admitted, b.pressedAt, b.steered = m.Pressure, m.Admitted, now, now
	b.demand, b.bore = meter{now, m.Demand}, m.Bore
	for i, c := range m.Classes {
		o := &b.classes[i]
		o.lone, o.yardstick, o.loneSeen, o.work, o.seen, o.hint, o.hinted = c.Lone, c.Yardstick, c.LoneSeen, c.Work, c.Seen, c.Hint, c.Hinted
	}
	for _, k := range m.Kinds {
		if o := b.kinds[k.Kind]; o != nil {
			*o = model{k.Latency, k.Seen, math.Exp(-k.Latency)}
		}
	}
	for _, sm := range m.Servers {
		if s := b.servers[sm.Server]; s != nil && s.sameLife(now, sm.Age) {
			s.recall(now, sm)
		}
	}
	for _, k := range m.Keys {
		if s := b.servers[k.Server]; s != nil {
			b.remember(k.Key, s)
		}
	}
	b.refreshed = -1
	b.relist()
	return nil
}

func (s *server) sameLife(now, age time.Duration) bool {
	if age == 0 || s.Started <= 0 {
		return age == 0 && s.Started <= 0
	}
	return (now - age - s.Started).Abs() <= sameStart
}

func (s *server) recall(now time.Duration, m ServerMemory) {
	s.lone, s.loneSeen, s.rate, s.done = m.Lone, m.LoneSeen, meter{now, m.Rate}, meter{now, m.Done}
	if s.earned = m.Earned; !s.Doubted { // else it is saved up from a random start: nodes that come back together must not be in step
		s.coldSaved, s.coldAt = m.ColdSaved, now
	}
	for range m.Bad {
		s.record(now, false, 0)
	}
	for range m.Good {
		s.record(now, true, m.Latency)
	}
	for range m.Failures {
		s.failures = append(s.failures, now)
	}
	if m.Open {
		s.breaker, s.openFor, s.reopenAt = open, m.OpenFor, now+m.ReopenIn
	}
}

// check names the first value that no Balancer can have learnt.
func (m *Memory) check(classes int) error {
	sound := func(name string, least float64, values ...float64) error {
		for _, v := range values {
			if !(v >= least) || math.IsInf(v, 1) {
				return fmt.Errorf("%s is %v", name, v)
			}
		}
		return nil
	}
	lowest := -math.MaxFloat64
	errs := []error{
		sound("limit", math.SmallestNonzeroFloat64, m.Limit), sound("limit_known", 0, m.LimitKnown), sound("crowding", lowest, m.Crowding),
		sound("typical", math.SmallestNonzeroFloat64, m.Typical), sound("mean_success", 0, m.MeanSuccess), sound("mean_latency", 0, m.MeanLatency),
		sound("pressure", 0, m.Pressure), sound("admitted", admitLeast, m.Admitted), sound("demand", 0, m.Demand, m.Bore),
	}
	if len(m.Classes) != classes {
		errs = append(errs, fmt.Errorf("classes: %d, there are %d", len(m.Classes), classes))
	}
	for _, c := range m.Classes {
		errs = append(errs, sound("classes", 0, c.Yardstick, c.LoneSeen, c.Seen, c.Hint, c.Hinted), sound("classes", math.SmallestNonzeroFloat64, c.Lone, c.Work))
	}
	for _, k := range m.Kinds {
		errs = append(errs, sound("kinds", lowest, k.Latency), sound("kinds", 0, k.Seen))
	}
	for _, s := range m.Servers {
		errs = append(errs, sound("servers", 0, s.Latency, s.LoneSeen, s.Rate, s.Done, s.Earned), sound("servers", lowest, s.Lone, s.ColdSaved))
		if s.Good < 0 || s.Bad < 0 || s.Good+s.Bad > outcomesKept || s.Failures < 0 || s.Failures > outcomesKept || s.OpenFor < 0 || s.ReopenIn < 0 || s.Age < 0 {
			errs = append(errs, fmt.Errorf("servers: %+v", s))
		}
	}
	if len(m.Keys) > 4096 {
		errs = append(errs, fmt.Errorf("keys: %d of them", len(m.Keys)))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
