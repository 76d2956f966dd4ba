package sim

import (
	"fmt"
	"time"

	"otterstep/internal/core"
	"otterstep/policy"
)

// balancer makes the decisions in a node: either a core.Machine or a baseline policy for
// comparison.
type balancer interface {
	members(now time.Duration, kind policy.ListKind, entries []policy.Entry, addrs []string)
	submit(now time.Duration, t *try)
	finished(now time.Duration, a *attempt, status policy.Status)
	// clientGone reports that a try's client has disconnected.
	clientGone(now time.Duration, t *try)
	// tick handles the earliest timer that is due; it returns false if none is.
	tick(now time.Duration) bool
	due() (time.Duration, bool)
	// actions returns the pending actions and clears them.
	actions() []action
}

// attempt is one attempt of a try at one server.
type attempt struct {
	try   *try
	to    policy.ServerID
	begin func() bool // called right before the first byte; false if the attempt was abandoned

	machineAttempt *core.Attempt   // set by machineBalancer
	server         *baselineServer // set by baseline
	sent           time.Duration
	ended          bool
}

// action is an action of a balancer: an attempt to make, the answer to a try, or a request to
// watch the server list.
type action struct {
	watch   bool
	attempt *attempt
	try     *try
	answer  core.Answer
}

// machineBalancer is a balancer backed by a core.Machine.
type machineBalancer struct {
	machine *core.Machine
	world   *World
	tries   map[*core.Pending]*try
}

func newMachineBalancer(w *World, zone int, seed uint64) (*machineBalancer, error) {
	set := w.settings
	set.Zone = zone
	m, err := core.NewMachine(set, seed)
	return &machineBalancer{m, w, map[*core.Pending]*try{}}, err
}

func (o *machineBalancer) members(now time.Duration, kind policy.ListKind, entries []policy.Entry, addrs []string) {
	o.machine.UpdateServers(now, kind, entries, addrs)
}

func (o *machineBalancer) submit(now time.Duration, t *try) {
	o.world.lastID++
	p := o.machine.Submit(now, core.Request{
		Request: policy.Request{Class: t.class, Tenant: t.tenant, Key: t.key},
		Name:    fmt.Sprint(o.world.lastID), Deadline: t.deadline, Message: t,
	})
	o.tries[p] = t
	t.pending = p
}

func (o *machineBalancer) clientGone(now time.Duration, t *try) {
	delete(o.tries, t.pending)
	o.machine.ClientGone(now, t.pending)
}

func (o *machineBalancer) finished(now time.Duration, a *attempt, status policy.Status) {
	o.machine.Finished(now, a.machineAttempt, core.AttemptResult{Status: status}, now)
}

func (o *machineBalancer) tick(now time.Duration) bool { return o.machine.Tick(now) }

func (o *machineBalancer) due() (time.Duration, bool) { return o.machine.Due() }

func (o *machineBalancer) actions() (acts []action) {
	for _, a := range o.machine.Actions() {
		switch a.Kind {
		case core.ActionStart:
			acts = append(acts, action{attempt: &attempt{
				try: a.Attempt.Message.(*try), to: a.Attempt.To.ID, begin: a.Attempt.Begin, machineAttempt: a.Attempt,
			}})
		case core.ActionWatch:
			acts = append(acts, action{watch: true})
		case core.ActionRespond:
			if t := o.tries[a.Pending]; t != nil {
				delete(o.tries, a.Pending)
				acts = append(acts, action{try: t, answer: a.Answer})
			}
		}
	}
	return acts
}
