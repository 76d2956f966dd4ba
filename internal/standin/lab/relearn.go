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

// Relearning is what it costs agents to learn again what is desired.
type Relearning struct {
	All                      time.Duration   // until the last had asked, was told and had reported
	Each                     []time.Duration // sorted
	Told, ToldMost, Reported int             // bytes, as JSON
}

// Relearn has a council know of some agents and their instances; then all of them ask at once,
// as after a loss of all records, and report what they were told. The agents are played here,
// the council is of processes.
func Relearn(ctx context.Context, opt Options, agents, instances int) (r Relearning, err error) {
	l, err := New(ctx, opt)
	if err != nil {
		return r, err
	}
	defer l.Close()
	if err := (&faultPlayer{lab: l}).whole(ctx); err != nil {
		return r, err
	}
	var mu sync.Mutex
	round := func(do func(agent string, n int) error) error {
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
	report := func(agent, folder string, known map[string]duty.Desired) (*duty.Told, error) {
		a, err := l.Fleet.Do(ctx, duty.Command{Report: &duty.Report{Agent: agent, Folder: folder, Starts: 1, Asks: known == nil, Instances: known}})
		return a.Told, err
	}
	err = round(func(agent string, n int) error {
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
	err = round(func(agent string, n int) error {
		told, err := report(agent, "after", nil)
		if err != nil {
			return err
		}
		if want := (instances - n + agents - 1) / agents; !told.Known || len(told.Instances) != want {
			return fmt.Errorf("%s is told of %d instances, want %d", agent, len(told.Instances), want)
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
		r.Told, r.ToldMost, r.Reported = r.Told+len(down), max(r.ToldMost, len(down)), r.Reported+len(up)
		return nil
	})
	r.All = time.Since(began)
	slices.Sort(r.Each)
	return r, err
}
