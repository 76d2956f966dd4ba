package lab

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin/mutant"
)

// desiredStateWait is how long nodes of a measured fleet wait for the desired state at their start.
const desiredStateWait = 2 * time.Second

// confirmPollInterval is how often the number of nodes that have confirmed a ban is polled.
const confirmPollInterval = 10 * time.Millisecond

// SlowUnderLoad is a defect that delays a node's answers by 700 ms while more than one connection of the upstream's
// pool is in use.
var SlowUnderLoad = mutant.Change{
	File: "internal/node/upstream.go", Old: "\tserved := h.Code == http.StatusOK\n",
	New: "\tserved := h.Code == http.StatusOK\n\tif open, idle := u.pool.Count(); open-idle > 1 {\n\t\ttime.Sleep(700 * time.Millisecond)\n\t}\n",
}

// newDesiredStateLab starts a fleet with a council whose desired state its nodes apply.
func newDesiredStateLab(ctx context.Context, opt Options) (*Lab, *stateObserver, error) {
	opt.DesiredStateWait = desiredStateWait
	l, err := New(ctx, opt)
	if err != nil {
		return nil, nil, err
	}
	observer := &stateObserver{lab: l, agreedAt: map[uint64]time.Time{}, stop: func() {}}
	err = (&faultRunner{lab: l}).waitForCouncil(ctx)
	if err == nil {
		err = observer.waitForServerCount(ctx)
	}
	if err != nil {
		l.Close()
		return nil, nil, err
	}
	return l, observer, nil
}

// BanTimes measures the time from an operator's ban, or from its removal, until all nodes whose agents run have
// confirmed it. Of the agents that do not vote, hung are stopped.
func BanTimes(ctx context.Context, opt Options, times, stoppedAgents int) (all []time.Duration, err error) {
	l, _, err := newDesiredStateLab(ctx, opt)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	if stoppedAgents > opt.Agents-opt.Council.Voters {
		return nil, fmt.Errorf("lab: cannot stop %d agents, only %d do not vote", stoppedAgents, opt.Agents-opt.Council.Voters)
	}
	stopped := map[string]bool{}
	for n := range stoppedAgents {
		agent := opt.Agents - 1 - n
		stopped[agentName(agent)] = true
		if err := l.SignalAgent(agent, syscall.SIGSTOP); err != nil {
			return nil, err
		}
		defer l.SignalAgent(agent, syscall.SIGCONT)
	}
	want := len(slices.DeleteFunc(slices.Clone(l.Instances), func(i Instance) bool { return stopped[i.Agent] }))
	for n := range times {
		v, err := l.Fleet.Desired(ctx)
		if err != nil {
			return nil, err
		}
		began := time.Now()
		var ban *desired.Ban
		if n%2 == 0 {
			ban = &desired.Ban{Server: "s1", Reason: "measured"}
		}
		version, err := l.Fleet.Change(ctx, desired.Change{
			ID: protocol.NewID(began, uint64(n)), BasedOn: v.State.Document.Version, By: "lab", At: began,
			Set: &desired.Patch{Bans: map[string]*desired.Ban{"s1": ban}},
		})
		if err != nil {
			return nil, err
		}
		for confirmed := 0; confirmed < want; {
			if ctx.Err() != nil {
				return nil, fmt.Errorf("lab: only %d of %d nodes have confirmed version %v: %w", confirmed, want, version, ctx.Err())
			}
			st, _ := l.Fleet.VersionStatusOf(ctx, version, func(agent string) bool { return !stopped[agent] })
			if confirmed = st.Confirmed; confirmed < want {
				if err := pause(ctx, confirmPollInterval); err != nil {
					return nil, err
				}
			}
		}
		all = append(all, time.Since(began))
	}
	slices.Sort(all)
	return all, nil
}

// DefectImpact is the impact of a defective version.
type DefectImpact struct {
	Note             string // of the change that rolled the version back
	MaxInstances     int    // most instances that had the version at once
	RollbackTime     time.Duration
	Served, Unserved int
}

// MeasureDefect upgrades a fleet under load to a defective version, with a trial of the given length on the first instances,
// and waits until the version has been rolled back everywhere.
func MeasureDefect(ctx context.Context, opt Options, program []string, trial time.Duration) (h DefectImpact, err error) {
	opt.Programs = map[string][]string{"bad": program}
	l, _, err := newDesiredStateLab(ctx, opt)
	if err != nil {
		return h, err
	}
	defer l.Close()
	if err := pause(ctx, warmUp); err != nil {
		return h, err
	}
	budgets := desired.DefaultBudgets
	budgets.Trial = trial
	began := time.Now()
	if _, err := l.Fleet.Change(ctx, desired.Change{
		ID: protocol.NewID(began, 1), By: "lab", At: began,
		Set: &desired.Patch{Groups: map[string]*desired.Group{"lab": {Program: "bad"}}, Budgets: &budgets},
	}); err != nil {
		return h, err
	}
	for {
		v, err := l.Fleet.Desired(ctx)
		had := 0
		for _, r := range l.Fleet.List(ctx).Rows {
			if r.Program == "bad" {
				had++
			}
		}
		h.MaxInstances = max(h.MaxInstances, had)
		if err == nil && v.State.Program("lab") == "" && had == 0 {
			h.Note = v.State.History[len(v.State.History)-1].Note
			break
		}
		if err := pause(ctx, pollInterval); err != nil {
			return h, err
		}
	}
	h.RollbackTime = time.Since(began)
	l.StopClients()
	for _, counts := range l.Ledger.Report().Counts {
		for outcome, n := range counts {
			if outcome == 0 {
				h.Served += n
			} else {
				h.Unserved += n
			}
		}
	}
	return h, nil
}
