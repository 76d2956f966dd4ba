package group

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
)

const (
	followInterval = 250 * time.Millisecond
	// councilTimeShare is the divisor of the remaining time that gives the time-out of one agent's
	// call for an answer of the council.
	councilTimeShare = 4
)

// ErrNoCouncil reports that no agent has [council] in its file: tools execute commands themselves.
var ErrNoCouncil = errors.New("no agent of this fleet has [council] in its file")

// askCouncil makes a call to one agent after the other until one returns an answer of the council.
func (f *Fleet) askCouncil(ctx context.Context, call func(context.Context, *client.Client) error) error {
	without, last := 0, error(nil)
	for _, a := range f.agents {
		limit, cancel := context.WithTimeout(ctx, remaining(ctx)/councilTimeShare)
		err := call(limit, a)
		cancel()
		var refused *protocol.Error
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &refused):
			if last == nil { // an agent's refusal is more informative than a missing answer
				last = fmt.Errorf("%s: %w", a.Name(), err)
			}
			continue
		case refused.Code == protocol.CodeOff:
			without++
			continue
		case refused.Code != protocol.CodeNoCouncil:
			return refused
		}
		last = fmt.Errorf("%s: %w", a.Name(), err)
	}
	if without == len(f.agents) || last == nil {
		return ErrNoCouncil
	}
	return last
}

// View returns the council's state. If no leader can be reached, it returns the most recent state
// known to a voter, with Current false.
func (f *Fleet) View(ctx context.Context) (v duty.View, err error) {
	var old *duty.View
	err = f.askCouncil(ctx, func(ctx context.Context, a *client.Client) error {
		got, err := a.CouncilView(ctx, false)
		var refused *protocol.Error
		if errors.As(err, &refused) && refused.Code == protocol.CodeNotFound { // an agent older than the council
			refused.Code = protocol.CodeOff
		}
		if err == nil && !got.Current {
			if old == nil || got.Age < old.Age {
				old = &got
			}
			return protocol.Errorf(protocol.CodeNoCouncil, "has only a state that may be outdated")
		}
		v = got
		return err
	})
	if err != nil && old != nil {
		return *old, nil
	}
	return v, err
}

// CouncilSubmit submits a command to the council.
func (f *Fleet) CouncilSubmit(ctx context.Context, c duty.Command) (answer duty.Answer, err error) {
	c.FormatVersion = duty.FormatVersion
	err = f.askCouncil(ctx, func(ctx context.Context, a *client.Client) error {
		var err error
		answer, err = a.CouncilSubmit(ctx, c, false)
		return err
	})
	return answer, err
}

// Backup returns the council's whole state.
func (f *Fleet) Backup(ctx context.Context) (b *duty.Backup, err error) {
	err = f.askCouncil(ctx, func(ctx context.Context, a *client.Client) error {
		var err error
		b, err = a.CouncilBackup(ctx, false)
		return err
	})
	return b, err
}

// Voters returns the state of each agent's voter, and the agents that did not answer.
func (f *Fleet) Voters(ctx context.Context) ([]duty.Status, []Unanswered) {
	began := time.Now()
	all := make([]duty.Status, len(f.agents))
	errs := make([]error, len(f.agents))
	f.forEachAgent(func(n int, a *client.Client) { all[n], errs[n] = a.CouncilStatus(ctx) })
	states, silent := []duty.Status{}, []Unanswered{}
	for n, a := range f.agents {
		if errs[n] != nil {
			silent = append(silent, newUnanswered(a.Name(), began, errs[n]))
		} else {
			states = append(states, all[n])
		}
	}
	return states, silent
}

// Submit submits a job that executes an order to the council. The job then runs independently of
// the tool. It excludes instances of agents that did not answer.
func (f *Fleet) Submit(ctx context.Context, o Order) (*duty.Job, []Unanswered, error) {
	listing := f.ListForSelection(ctx)
	rows, err := listing.Select(o.Select)
	if err != nil {
		return nil, listing.Silent, err
	}
	if o.ID == "" {
		o.ID = protocol.NewID(time.Now(), rand.Uint64())
	}
	j := &duty.Job{ID: o.ID, Kind: o.Kind, Submitted: time.Now(), MaxUnavailable: o.MaxUnavailable, Pause: o.Pause}
	for _, r := range rows {
		j.Targets = append(j.Targets, duty.Target{Agent: r.Agent, Instance: r.Name, Group: r.Group})
	}
	a, err := f.CouncilSubmit(ctx, duty.Command{Submit: j})
	return a.Job, listing.Silent, err
}

// Follow watches a job until it has ended or ctx ends, and returns its last known state.
// progress is called with each instance's result, says with the reason why the job waits.
func (f *Fleet) Follow(ctx context.Context, j *duty.Job, progress func(Result), says func(string)) *duty.Job {
	notified := map[string]bool{}
	every := time.NewTicker(followInterval)
	defer every.Stop()
	for {
		for _, r := range Results(j) {
			if r.Outcome != Planned && !notified[r.Agent+"/"+r.Instance] && (r.Outcome != Skipped || !j.Open()) {
				notified[r.Agent+"/"+r.Instance] = true
				progress(r)
			}
		}
		if !j.Open() && j.State != duty.Paused {
			return j
		}
		select {
		case <-ctx.Done():
			return j
		case <-every.C:
		}
		limit, cancel := context.WithTimeout(ctx, healthInterval)
		v, err := f.View(limit)
		cancel()
		if err != nil {
			says(err.Error())
			continue
		}
		for _, current := range v.Jobs {
			if current.ID == j.ID {
				j = current
			}
		}
		switch why := v.Messages[j.ID]; {
		case !v.Current:
			says(fmt.Sprintf("the job's state may be %v old", v.Age.Round(time.Second)))
		case j.State == duty.Paused:
			says("paused by " + j.By)
		case why != "":
			says(why)
		}
	}
}

// Results returns a job's steps as results of a command. An unfinished instance has the outcome
// Planned while the job is open, and Skipped once it is not.
func Results(j *duty.Job) []Result {
	all := make([]Result, 0, len(j.Steps))
	for i, step := range j.Steps {
		r := Result{Agent: j.Targets[i].Agent, Instance: j.Targets[i].Instance, Text: step.Text}
		switch {
		case step.Phase == duty.Done:
			r.Outcome = Done
		case step.Phase == duty.Failed:
			r.Outcome = Failed
		case step.Phase == duty.Skipped:
			r.Outcome = Skipped
		case j.Open():
			r.Outcome = Planned
		default:
			r.Outcome, r.Text = Skipped, "not started: job "+j.State
		}
		all = append(all, r)
	}
	return all
}
