package core

import (
	"slices"
	"time"

	"otterstep/policy"
)

// View is a snapshot of a pool's state for operators.
type View struct {
	policy.View
	Listed  map[policy.ServerID]Server // the servers in View.Servers
	Counts  [][NumOutcomes]int64       // ended requests, by class and Outcome
	Late    []int64                    // requests served after their class's aim, by class
	Stalled []int64                    // attempts whose answer has begun and did not go on, by class
	// AtDeadline counts requests that ended with an answer that was held back until their deadline, by class.
	AtDeadline []int64
	Requests   int // unanswered or with attempts in flight
	Timers     int
	Members    int // listed servers in any state
}

// Inspect copies the state. Its cost is proportional to the number of listed servers.
func (m *Machine) Inspect(now time.Duration) View {
	m.now = max(m.now, now)
	v := View{
		View: m.balancer.Inspect(m.now), Counts: slices.Clone(m.counts), Late: slices.Clone(m.late),
		Stalled: slices.Clone(m.stalled), AtDeadline: slices.Clone(m.atDeadline),
		Requests: len(m.requests), Timers: len(m.timers), Members: len(m.servers),
	}
	v.Listed = make(map[policy.ServerID]Server, len(v.Servers))
	for _, s := range v.Servers {
		v.Listed[s.Server] = m.servers[s.Server]
	}
	return v
}
