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
	// listShare of the whole time is what listing before a command may take, and never
	// more than listMost: agents that hang must leave time for the others.
	listTimeShare = 3
	maxListTime   = 5 * time.Second
	// atOnce bounds the calls under way.
	maxConcurrentCalls = 64
)

// New makes a fleet of agents. Everybody who commands them takes leases in the order
// of their names, so that no two can hold what the other waits for; and nobody waits.
func New(agents []*client.Client) *Fleet {
	f := &Fleet{agents: slices.Clone(agents)}
	slices.SortFunc(f.agents, func(a, b *client.Client) int { return cmp.Compare(a.Name(), b.Name()) })
	return f
}

// All gives the ways to all agents, in the order of their names.
func (f *Fleet) All() []*client.Client { return slices.Clone(f.agents) }

// Row is an instance with its agent's name.
type Row struct {
	Agent string `json:"agent"`
	protocol.Instance
}

// Silent is an agent that gave no answer, or none that can be used.
type Silent struct {
	Agent  string        `json:"agent"`
	Waited time.Duration `json:"waited_ns"`
	Why    string        `json:"why"`
}

// Listing is what the agents said.
type Listing struct {
	Rows   []Row    `json:"instances"`
	Silent []Silent `json:"silent"` // never nil, so that it stands in JSON
}

// each calls f for all agents, atOnce at a time, and waits. Calls that are under way
// when ctx ends must end with it.
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

// silentOf words an error of a call.
func newSilent(agent string, began time.Time, err error) Silent {
	var u *client.Unanswered
	if errors.As(err, &u) {
		return Silent{agent, u.Waited, u.Err.Error()}
	}
	return Silent{agent, time.Since(began), err.Error()}
}

// List asks every agent for its instances, in the time that ctx leaves.
func (f *Fleet) List(ctx context.Context) Listing {
	began := time.Now()
	lists := make([][]protocol.Instance, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { lists[n], errs[n] = a.Instances(ctx) })
	l := Listing{Rows: []Row{}, Silent: []Silent{}}
	for n, a := range f.agents {
		if errs[n] != nil {
			l.Silent = append(l.Silent, newSilent(a.Name(), began, errs[n]))
		}
		for _, i := range lists[n] {
			l.Rows = append(l.Rows, Row{a.Name(), i})
		}
	}
	return l
}

// ListFirst is List before something else: agents that hang leave time for that.
func (f *Fleet) ListForSelection(ctx context.Context) Listing {
	ctx, cancel := withListTimeout(ctx)
	defer cancel()
	return f.List(ctx)
}

// first gives the time for what comes before something else.
func withListTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, min(maxListTime, remaining(ctx)/listTimeShare))
}

// Selector names instances. Names, if any, are an instance's name or AGENT/NAME, or
// "all"; the group and the labels narrow them down.
type Selector struct {
	Names  []string
	Group  string
	Labels map[string]string
}

// Empty tells that nothing was selected at all, which is not the same as all.
func (s Selector) Empty() bool { return len(s.Names) == 0 && s.Group == "" && len(s.Labels) == 0 }

// Select gives the rows that a selector names. A name that nobody has is an error;
// it says if agents are silent that may have it.
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

// Inspected is an instance's own word, or why there is none.
type Inspected struct {
	Row
	Inspection *control.Inspection `json:"inspection,omitempty"`
	Err        string              `json:"error,omitempty"`
	Silent     bool                `json:"silent,omitempty"`
	Waited     time.Duration       `json:"waited_ns,omitempty"`
}

// Inspect asks instances what they are doing.
func (f *Fleet) Inspect(ctx context.Context, rows []Row) []Inspected {
	return f.forEachInstance(ctx, rows, func(ctx context.Context, r Row) (control.Inspection, error) {
		return f.Agent(r.Agent).Inspect(ctx, r.Name)
	})
}

// Keep has instances do something with what they keep for their way back.
func (f *Fleet) SendStateCommand(ctx context.Context, rows []Row, k control.Keep) []Inspected {
	return f.forEachInstance(ctx, rows, func(ctx context.Context, r Row) (control.Inspection, error) {
		return f.Agent(r.Agent).SendStateCommand(ctx, r.Name, k)
	})
}

// eachRow makes a call about each of some instances, a bounded number at once.
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
			var u *client.Unanswered
			all[n].Silent = errors.As(err, &u)
		})
	}
	work.Wait()
	return all
}

// Agent gives the way to an agent; nil if there is none of that name.
func (f *Fleet) Agent(name string) *client.Client {
	for _, a := range f.agents {
		if a.Name() == name {
			return a
		}
	}
	return nil
}

// Agents gives each agent's own state.
func (f *Fleet) Agents(ctx context.Context) ([]protocol.Agent, []Silent) {
	began := time.Now()
	states := make([]protocol.Agent, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { states[n], errs[n] = a.Agent(ctx) })
	var good []protocol.Agent
	silent := []Silent{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newSilent(a.Name(), began, errs[n]))
		} else {
			good = append(good, states[n])
		}
	}
	return good, silent
}

// Recoveries gives what each agent knows of its own memory.
func (f *Fleet) Recoveries(ctx context.Context) ([]protocol.Recovery, []Silent) {
	began := time.Now()
	all := make([]protocol.Recovery, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { all[n], errs[n] = a.Recovery(ctx) })
	good, silent := []protocol.Recovery{}, []Silent{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newSilent(a.Name(), began, errs[n]))
		} else {
			good = append(good, all[n])
		}
	}
	return good, silent
}

// Part is a command's part at one agent.
type Part struct {
	Agent string `json:"agent"`
	protocol.Command
}

// Commands gives the latest commands of all agents, the newest first.
func (f *Fleet) Commands(ctx context.Context) ([]Part, []Silent) {
	began := time.Now()
	lists := make([][]protocol.Command, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { lists[n], errs[n] = a.Commands(ctx) })
	parts, silent := []Part{}, []Silent{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newSilent(a.Name(), began, errs[n]))
		}
		for _, c := range lists[n] {
			parts = append(parts, Part{a.Name(), c})
		}
	}
	slices.SortStableFunc(parts, func(x, y Part) int { return strings.Compare(y.ID, x.ID) })
	return parts, silent
}

// Command asks every agent for its part of one command.
func (f *Fleet) Command(ctx context.Context, id string) ([]Part, []Silent) {
	return f.collectParts(func(a *client.Client) (protocol.Command, error) { return a.Command(ctx, id) })
}

// Abort ends a command at every agent that knows of it.
func (f *Fleet) Abort(ctx context.Context, id string) ([]Part, []Silent) {
	return f.collectParts(func(a *client.Client) (protocol.Command, error) { return a.Abort(ctx, id) })
}

// parts calls every agent for its part of a command; those that know of none have
// none.
func (f *Fleet) collectParts(call func(a *client.Client) (protocol.Command, error)) ([]Part, []Silent) {
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
	parts, silent := []Part{}, []Silent{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newSilent(a.Name(), began, errs[n]))
		}
		if found[n] != nil {
			parts = append(parts, Part{a.Name(), *found[n]})
		}
	}
	return parts, silent
}
