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

// statusTimeout limits how long one agent may take to report the versions of its instances, so that an agent
// that hangs does not delay the answers of the others.
const statusTimeout = 800 * time.Millisecond

// ErrNoFleet reports that no agent has [fleet] in its file.
var ErrNoFleet = errors.New("no agent of this fleet has [fleet] in its file")

// Desired returns the fleet's desired state. If no leader can be reached, it returns the latest state known to a
// voter, with Current false.
func (f *Fleet) Desired(ctx context.Context) (v duty.FleetView, err error) {
	var old *duty.FleetView
	err = f.askCouncil(ctx, func(ctx context.Context, a *client.Client) error {
		got, err := a.Desired(ctx, false)
		if err == nil && !got.Current {
			if old == nil || got.State.Document.Version > old.State.Document.Version {
				old = &got
			}
			return protocol.Errorf(protocol.CodeNoCouncil, "%s has only a state that may be outdated", got.From)
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

// Change submits a change of the fleet's desired state to the council, and returns the version after it.
func (f *Fleet) Change(ctx context.Context, c desired.Change) (desired.Version, error) {
	a, err := f.CouncilSubmit(ctx, duty.Command{Change: &c})
	if errors.Is(err, ErrNoCouncil) {
		err = ErrNoFleet
	}
	return a.Fleet, err
}

// VersionStatus reports which instances have confirmed a version, by the current answer of each agent.
func (f *Fleet) VersionStatus(ctx context.Context, latest desired.Version) (reconcile.Progress, map[string]protocol.FleetStatus) {
	return f.VersionStatusOf(ctx, latest, func(string) bool { return true })
}

// VersionStatusOf is VersionStatus for the agents that of selects. The others are not called and count as not confirmed.
func (f *Fleet) VersionStatusOf(ctx context.Context, latest desired.Version, of func(agent string) bool) (reconcile.Progress, map[string]protocol.FleetStatus) {
	began := time.Now()
	answers := make([]protocol.FleetStatus, len(f.agents))
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
	names, seen, reported := []string{}, map[string]reconcile.AgentStatus{}, map[string]protocol.FleetStatus{}
	for n, a := range f.agents {
		names = append(names, a.Name())
		s := reconcile.AgentStatus{Answered: errs[n] == nil, Fleet: answers[n]}
		if errs[n] != nil {
			s.Err = newUnanswered(a.Name(), began, errs[n]).Reason
		} else {
			reported[a.Name()] = answers[n]
		}
		seen[a.Name()] = s
	}
	return reconcile.VersionProgress(0, latest, names, seen), reported
}
