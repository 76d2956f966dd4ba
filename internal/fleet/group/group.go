package group

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/protocol"
)

const (
	// listTimeShare is the divisor of the remaining time that gives the time-out for listing
	// before a command, at most maxListTime: agents that hang must leave time for the command.
	listTimeShare = 3
	maxListTime   = 5 * time.Second
	// maxConcurrentCalls limits the calls in flight.
	maxConcurrentCalls = 64
)

// New returns a fleet of agents. All tools acquire leases in the order of the agents' names
// and don't wait for a lease, so that two commands can't deadlock.
func New(agents []*client.Client) *Fleet {
	f := &Fleet{agents: slices.Clone(agents)}
	slices.SortFunc(f.agents, func(a, b *client.Client) int { return cmp.Compare(a.Name(), b.Name()) })
	return f
}

// Clients returns the clients of all agents, in the order of their names.
func (f *Fleet) Clients() []*client.Client { return slices.Clone(f.agents) }

// Row is an instance with its agent's name.
type Row struct {
	Agent string `json:"agent"`
	protocol.Instance
}

// Unanswered is an agent that gave no usable answer.
type Unanswered struct {
	Agent  string        `json:"agent"`
	Waited time.Duration `json:"waited_ns"`
	Reason string        `json:"why"`
}

// Listing is the instances of all agents, and the agents that did not answer.
type Listing struct {
	Rows   []Row        `json:"instances"`
	Silent []Unanswered `json:"silent"` // never nil, so that JSON has an array
}

// forEachAgent calls do for all agents, maxConcurrentCalls at a time, and waits for all of
// them. do must return when its context ends.
func (f *Fleet) forEachAgent(do func(n int, a *client.Client)) {
	slots := make(chan struct{}, maxConcurrentCalls)
	var all sync.WaitGroup
	for n, a := range f.agents {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			do(n, a)
		})
	}
	all.Wait()
}

// newUnanswered returns the Unanswered for an error of a call that began at a time.
func newUnanswered(agent string, began time.Time, err error) Unanswered {
	var u *client.NoAnswerError
	if errors.As(err, &u) {
		return Unanswered{agent, u.Waited, u.Err.Error()}
	}
	return Unanswered{agent, time.Since(began), err.Error()}
}

// List returns the instances of every agent that answers before ctx ends.
func (f *Fleet) List(ctx context.Context) Listing {
	began := time.Now()
	lists := make([][]protocol.Instance, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { lists[n], errs[n] = a.Instances(ctx) })
	l := Listing{Rows: []Row{}, Silent: []Unanswered{}}
	for n, a := range f.agents {
		if errs[n] != nil {
			l.Silent = append(l.Silent, newUnanswered(a.Name(), began, errs[n]))
		}
		for _, i := range lists[n] {
			l.Rows = append(l.Rows, Row{a.Name(), i})
		}
	}
	return l
}

// ListForSelection is List with a shorter time-out, so that agents that hang leave time for the
// command on the selected instances.
func (f *Fleet) ListForSelection(ctx context.Context) Listing {
	ctx, cancel := withListTimeout(ctx)
	defer cancel()
	return f.List(ctx)
}

// withListTimeout returns a context for listing before a command.
func withListTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(maxListTime, remaining(ctx)/listTimeShare))
}

// Selector selects instances. Each of Names is an instance's name, AGENT/NAME or "all";
// the group and the labels narrow the selection.
type Selector struct {
	Names  []string
	Group  string
	Labels map[string]string
}

// Empty reports whether the selector has no criterion, which is not the same as "all".
func (s Selector) Empty() bool { return len(s.Names) == 0 && s.Group == "" && len(s.Labels) == 0 }

// Select returns the rows that match a selector. A name without an instance is an error,
// which mentions agents that did not answer and may have it.
func (l Listing) Select(s Selector) ([]Row, error) {
	used := map[string]bool{}
	var rows []Row
	for _, r := range l.Rows {
		named := len(s.Names) == 0
		for _, name := range s.Names {
			if name == "all" || name == r.Name || name == r.Agent+"/"+r.Name {
				named, used[name] = true, true
			}
		}
		if !named || s.Group != "" && r.Group != s.Group {
			continue
		}
		fits := true
		for k, v := range s.Labels {
			fits = fits && r.Labels[k] == v
		}
		if fits {
			rows = append(rows, r)
		}
	}
	for _, name := range s.Names {
		if !used[name] && name != "all" {
			hint := ""
			if len(l.Silent) > 0 {
				hint = fmt.Sprintf("; %d agents that did not answer may have it", len(l.Silent))
			}
			return nil, fmt.Errorf("no instance %q%s: %w", name, hint, ErrNoInstances)
		}
	}
	if len(rows) == 0 {
		return nil, ErrNoInstances
	}
	return rows, nil
}

// Inspected is an instance's inspection, or why there is none.
type Inspected struct {
	Row
	Inspection *control.Inspection `json:"inspection,omitempty"`
	Err        string              `json:"error,omitempty"`
	Silent     bool                `json:"silent,omitempty"`
	Waited     time.Duration       `json:"waited_ns,omitempty"`
}

// Inspect returns the inspections of instances.
func (f *Fleet) Inspect(ctx context.Context, rows []Row) []Inspected {
	return f.forEachInstance(ctx, rows, func(ctx context.Context, r Row) (control.Inspection, error) {
		return f.Client(r.Agent).Inspect(ctx, r.Name)
	})
}

// SendStateCommand sends instances a command on their saved state.
func (f *Fleet) SendStateCommand(ctx context.Context, rows []Row, k control.StateCommand) []Inspected {
	return f.forEachInstance(ctx, rows, func(ctx context.Context, r Row) (control.Inspection, error) {
		return f.Client(r.Agent).SendStateCommand(ctx, r.Name, k)
	})
}

// forEachInstance makes a call for each of some instances, maxConcurrentCalls at a time.
func (f *Fleet) forEachInstance(ctx context.Context, rows []Row, call func(context.Context, Row) (control.Inspection, error)) []Inspected {
	all := make([]Inspected, len(rows))
	slots := make(chan struct{}, maxConcurrentCalls)
	var work sync.WaitGroup
	for n, r := range rows {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			all[n].Row = r
			began := time.Now()
			i, err := call(ctx, r)
			if err == nil {
				all[n].Inspection = &i
				return
			}
			all[n].Err, all[n].Waited = err.Error(), time.Since(began)
			var u *client.NoAnswerError
			all[n].Silent = errors.As(err, &u)
		})
	}
	work.Wait()
	return all
}

// Client returns the client of an agent, or nil if there is none of that name.
func (f *Fleet) Client(name string) *client.Client {
	for _, a := range f.agents {
		if a.Name() == name {
			return a
		}
	}
	return nil
}

// Agents returns each agent's own state, and the agents that did not answer.
func (f *Fleet) Agents(ctx context.Context) ([]protocol.Agent, []Unanswered) {
	began := time.Now()
	states := make([]protocol.Agent, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { states[n], errs[n] = a.Agent(ctx) })
	var good []protocol.Agent
	silent := []Unanswered{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newUnanswered(a.Name(), began, errs[n]))
		} else {
			good = append(good, states[n])
		}
	}
	return good, silent
}

// Recoveries returns the state of each agent's stored data and its held instances.
func (f *Fleet) Recoveries(ctx context.Context) ([]protocol.Recovery, []Unanswered) {
	began := time.Now()
	all := make([]protocol.Recovery, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { all[n], errs[n] = a.Recovery(ctx) })
	good, silent := []protocol.Recovery{}, []Unanswered{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newUnanswered(a.Name(), began, errs[n]))
		} else {
			good = append(good, all[n])
		}
	}
	return good, silent
}

// Part is the part of a command that concerns one agent.
type Part struct {
	Agent string `json:"agent"`
	protocol.Command
}

// Commands returns the latest commands of all agents, the newest first.
func (f *Fleet) Commands(ctx context.Context) ([]Part, []Unanswered) {
	began := time.Now()
	lists := make([][]protocol.Command, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { lists[n], errs[n] = a.Commands(ctx) })
	parts, silent := []Part{}, []Unanswered{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newUnanswered(a.Name(), began, errs[n]))
		}
		for _, c := range lists[n] {
			parts = append(parts, Part{a.Name(), c})
		}
	}
	slices.SortStableFunc(parts, func(x, y Part) int { return strings.Compare(y.ID, x.ID) })
	return parts, silent
}

// Command returns every agent's part of one command.
func (f *Fleet) Command(ctx context.Context, id string) ([]Part, []Unanswered) {
	return f.collectParts(func(a *client.Client) (protocol.Command, error) { return a.Command(ctx, id) })
}

// Abort ends a command at every agent that has a part of it.
func (f *Fleet) Abort(ctx context.Context, id string) ([]Part, []Unanswered) {
	return f.collectParts(func(a *client.Client) (protocol.Command, error) { return a.Abort(ctx, id) })
}

// collectParts makes a call to every agent and returns their parts of a command. Agents
// that answer CodeNotFound have no part.
func (f *Fleet) collectParts(call func(a *client.Client) (protocol.Command, error)) ([]Part, []Unanswered) {
	began := time.Now()
	found := make([]*protocol.Command, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) {
		c, err := call(a)
		var refused *protocol.Error
		if errors.As(err, &refused) && refused.Code == protocol.CodeNotFound {
			return
		}
		if errs[n] = err; err == nil {
			found[n] = &c
		}
	})
	parts, silent := []Part{}, []Unanswered{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newUnanswered(a.Name(), began, errs[n]))
		}
		if found[n] != nil {
			parts = append(parts, Part{a.Name(), *found[n]})
		}
	}
	return parts, silent
}
