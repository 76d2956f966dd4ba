package group

import (
	"context"
	"errors"
	"time"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/reconcile"
)

// standWithin is how long one agent may take to tell how far a version has come: one that hangs is named, and
// keeps nobody from seeing the others.
const statusTimeout = 800 * time.Millisecond

// ErrNoFleet means that no agent has [fleet] in its file.
var ErrNoFleet = errors.New("no agent of this fleet has [fleet] in its file")

// Desired gives what the fleet should be, or what some voter knows of it.
func (f *Fleet) Desired(ctx context.Context) (v duty.FleetView, err error) {
	var old *duty.FleetView
	err = f.askCouncil(ctx, func(ctx context.Context, a *client.Client) error {
		got, err := a.Desired(ctx, false)
		if err == nil && !got.Current {
			if old == nil || got.State.Document.Version > old.State.Document.Version {
				old = &got
			}
			return protocol.Errorf(protocol.CodeNoCouncil, "%s knows only what may be old", got.From)
		}
		v = got
		return err
	})
	switch {
	case err != nil && old != nil:
		return *old, nil
	case errors.Is(err, ErrNoCouncil):
		return v, ErrNoFleet
	}
	return v, err
}

// Change has a change of what the fleet should be agreed on, and gives the version that stands then.
func (f *Fleet) Change(ctx context.Context, c desired.Change) (desired.Version, error) {
	a, err := f.Do(ctx, duty.Command{Change: &c})
	if errors.Is(err, ErrNoCouncil) {
		err = ErrNoFleet
	}
	return a.Fleet, err
}

// Standing tells how far a version has come, by what each agent says now of its instances.
func (f *Fleet) Standing(ctx context.Context, latest desired.Version) (reconcile.Standing, map[string]protocol.Fleet) {
	return f.Answering(ctx, latest, func(string) bool { return true })
}

// Answering is Standing by some of the agents; the others are not asked, and nothing is known of them.
func (f *Fleet) Answering(ctx context.Context, latest desired.Version, of func(agent string) bool) (reconcile.Standing, map[string]protocol.Fleet) {
	began := time.Now()
	answers := make([]protocol.Fleet, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) {
		if !of(a.Name()) {
			errs[n] = errors.New("not asked")
			return
		}
		limit, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		answers[n], errs[n] = a.Fleet(limit)
	})
	names, seen, told := []string{}, map[string]reconcile.Seen{}, map[string]protocol.Fleet{}
	for n, a := range f.agents {
		names = append(names, a.Name())
		s := reconcile.Seen{Known: errs[n] == nil, Fleet: answers[n]}
		if errs[n] != nil {
			s.Err = newSilent(a.Name(), began, errs[n]).Why
		} else {
			told[a.Name()] = answers[n]
		}
		seen[a.Name()] = s
	}
	return reconcile.Stands(0, latest, names, seen), told
}
