package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"otterstep/internal/fleet/duty"
)

// RelearnCost is the cost of agents recovering their desired state from the council.
type RelearnCost struct {
	All                                    time.Duration   // until the last agent had its state and had reported it
	Each                                   []time.Duration // per agent, sorted
	SentBytes, MaxSentBytes, ReportedBytes int             // bytes of JSON: from the council in total, in the largest answer, and reported by agents
}

// Relearn registers agents with their instances at a council. Then all of the agents request their desired state at
// once, as after a loss of all records, and report it back. The council consists of real agent processes; this
// function makes the requests of the other agents.
func Relearn(ctx context.Context, opt Options, agents, instances int) (r RelearnCost, err error) {
	l, err := New(ctx, opt)
	if err != nil {
		return r, err
	}
	defer l.Close()
	if err := (&faultRunner{lab: l}).waitForCouncil(ctx); err != nil {
		return r, err
	}
	var mu sync.Mutex
	forEachAgent := func(do func(agent string, n int) error) error {
		var work sync.WaitGroup
		errs := make([]error, agents)
		for n := range agents {
			work.Go(func() { errs[n] = do(fmt.Sprintf("machine-%03d", n+1), n) })
		}
		work.Wait()
		for _, err := range errs {
			if err != nil {
				return fmt.Errorf("lab: relearn: %w", err)
			}
		}
		return nil
	}
	report := func(agent, folder string, known map[string]duty.Desired) (*duty.ReportAnswer, error) {
		a, err := l.Fleet.CouncilSubmit(ctx, duty.Command{Report: &duty.Report{Agent: agent, StateDirID: folder, Starts: 1, QueryOnly: known == nil, Instances: known}})
		return a.ReportAnswer, err
	}
	err = forEachAgent(func(agent string, n int) error {
		known := map[string]duty.Desired{}
		for i := n; i < instances; i += agents {
			known[fmt.Sprintf("instance-%04d", i+1)] = duty.Desired{Up: i%10 > 0, Generation: uint64(i%7 + 1), Group: "booking"}
		}
		_, err := report(agent, "before", known)
		return err
	})
	if err != nil {
		return r, err
	}
	began := time.Now()
	err = forEachAgent(func(agent string, n int) error {
		told, err := report(agent, "after", nil)
		if err != nil {
			return err
		}
		if want := (instances - n + agents - 1) / agents; !told.Known || len(told.Instances) != want {
			return fmt.Errorf("agent %s got %d instances from the council, want %d", agent, len(told.Instances), want)
		}
		if _, err := report(agent, "after", told.Instances); err != nil {
			return err
		}
		took := time.Since(began)
		down, err := json.Marshal(told)
		if err != nil {
			return err
		}
		up, err := json.Marshal(told.Instances)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		r.Each = append(r.Each, took)
		r.SentBytes, r.MaxSentBytes, r.ReportedBytes = r.SentBytes+len(down), max(r.MaxSentBytes, len(down)), r.ReportedBytes+len(up)
		return nil
	})
	r.All = time.Since(began)
	slices.Sort(r.Each)
	return r, err
}
