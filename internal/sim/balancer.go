package sim

import (
	"fmt"
	"time"

	"otterstep/internal/core"
	"otterstep/policy"
)

// balancer is what decides in a node: the core's Machine, or something plainer to hold
// it against.
type balancer interface {
	members(now time.Duration, kind policy.ListKind, entries []policy.Entry, addrs []string)
	submit(now time.Duration, t *try)
	finished(now time.Duration, a *attempt, status policy.Status)
	// left tells that a try's client went away.
	left(now time.Duration, t *try)
	// tick handles the earliest timer that is due; false if none is.
	tick(now time.Duration) bool
	due() (time.Duration, bool)
	// acts gives what is to be done and forgets it.
	acts() []act
}

// attempt is one attempt of a try at one server.
type attempt struct {
	try   *try
	to    policy.ServerID
	begin func() bool // right before the first byte; false if it was given up

	inner *core.Attempt // of the core's Machine
	plain *plainServer  // of a Plain
	sent  time.Duration
	over  bool
}

// act is an attempt to be made, the answer of a try, or a wish to watch the list.
type act struct {
	watch   bool
	attempt *attempt
	try     *try
	answer  core.Answer
}

// ours is the core's Machine.
type ours struct {
	machine *core.Machine
	world   *World
	waiting map[*core.Pending]*try
}

func newOurs(w *World, zone int, seed uint64) (*ours, error) {
	set := w.settings
	set.Zone = zone
	m, err := core.NewMachine(set, seed)
	return &ours{m, w, map[*core.Pending]*try{}}, err
}

func (o *ours) members(now time.Duration, kind policy.ListKind, entries []policy.Entry, addrs []string) {
	o.machine.Members(now, kind, entries, addrs)
}

func (o *ours) submit(now time.Duration, t *try) {
	o.world.ids++
	p := o.machine.Submit(now, core.Request{
		Request: policy.Request{Class: t.class, Tenant: t.tenant, Key: t.key},
		Name:    fmt.Sprint(o.world.ids), Deadline: t.deadline, Message: t,
	})
	o.waiting[p] = t
	t.pending = p
}

func (o *ours) left(now time.Duration, t *try) {
	delete(o.waiting, t.pending)
	o.machine.Left(now, t.pending)
}

func (o *ours) finished(now time.Duration, a *attempt, status policy.Status) {
	o.machine.Finished(now, a.inner, core.Reply{Status: status}, now)
}

func (o *ours) tick(now time.Duration) bool { return o.machine.Tick(now) }

func (o *ours) due() (time.Duration, bool) { return o.machine.Due() }

func (o *ours) acts() (acts []act) {
	for _, a := range o.machine.Actions() {
		switch a.Act {
		case core.Start:
			acts = append(acts, act{attempt: &attempt{
				try: a.Attempt.Message.(*try), to: a.Attempt.To.ID, begin: a.Attempt.Begin, inner: a.Attempt,
			}})
		case core.Watch:
			acts = append(acts, act{watch: true})
		case core.Respond:
			if t := o.waiting[a.Pending]; t != nil {
				delete(o.waiting, a.Pending)
				acts = append(acts, act{try: t, answer: a.Answer})
			}
		}
	}
	return acts
}
