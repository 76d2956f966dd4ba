package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"otterstep/internal/fleet/book"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/record"
)

// What may happen to an owner.
const (
	OwnerKilled  = "kill"
	OwnerStopped = "stop"
	OwnerCut     = "cut"
)

// Takeover plays one change of owners on a fleet of its own, in the middle of a rollout, and
// gives the time from the fault to the successor's first effect.
func Takeover(ctx context.Context, opt Options, fault string) (time.Duration, error) {
	l, err := New(ctx, opt)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	run := FaultRun{}
	if err := (&faultPlayer{lab: l, run: &run}).whole(ctx); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, healWithin)
	defer cancel()
	// What the owner's agent has counts as away once it is gone; one more may be.
	most := (opt.Instances+opt.Agents-1)/opt.Agents + 1
	j, _, err := l.Fleet.Submit(ctx, everyone(most))
	if err != nil {
		return 0, err
	}
	owner := 0
	for {
		v, err := l.Fleet.View(ctx)
		if err == nil && v.Current && len(v.Duties) > 0 && len(v.Jobs) > 0 && v.Jobs[0].Intents() > 0 {
			if owner, err = strconv.Atoi(strings.TrimPrefix(v.Duties[0].Owner, "m")); err == nil {
				break
			}
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("lab: nobody owns: %w", ctx.Err())
		}
		time.Sleep(pollEvery)
	}
	owner--
	began := time.Now()
	switch fault {
	case OwnerKilled:
		l.KillAgent(owner)
	case OwnerStopped:
		err = l.SignalAgent(owner, syscall.SIGSTOP)
	case OwnerCut:
		l.Apart(true, agentName(owner))
	default:
		err = fmt.Errorf("lab: no fault %q: %s, %s or %s", fault, OwnerKilled, OwnerStopped, OwnerCut)
	}
	if err != nil {
		return 0, err
	}
	for ctx.Err() == nil {
		for n := range opt.Agents {
			at, err := firstEffect(filepath.Join(l.state(n), "record"), began)
			if err != nil {
				return 0, err
			}
			if !at.IsZero() && n != owner {
				return at.Sub(began), nil
			}
		}
		time.Sleep(pollEvery)
	}
	return 0, fmt.Errorf("lab: no effect of a successor of %s in job %s: %w", agentName(owner), j.ID, ctx.Err())
}

func everyone(most int) group.Order {
	return group.Order{Plan: group.Plan{Kind: protocol.Restart, MaxUnavailable: most}, Select: group.Selector{Names: []string{"all"}}}
}

// firstEffect gives when a record's first effect came under a token raised after a time.
func firstEffect(path string, after time.Time) (at time.Time, err error) {
	raised := false
	err = record.Read(record.OS{}, path, func(text json.RawMessage) error {
		var e book.Entry
		if err := json.Unmarshal(text, &e); err != nil {
			return err
		}
		raised = raised || e.Fence != nil && e.At.After(after)
		if raised && at.IsZero() && e.Step != nil && e.Step.Name == "term" {
			at = e.At
		}
		return nil
	})
	return at, err
}

// settleFor is how long clients send before a rollout is timed: instances that have just started
// have fewer connections to end, and drain sooner.
const settleFor = 5 * time.Second

// Rollout times one rollout of all instances, by the council if there is one, else by the tool.
func Rollout(ctx context.Context, opt Options, most int) (time.Duration, error) {
	l, err := New(ctx, opt)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	time.Sleep(settleFor)
	if opt.Council == nil {
		began := time.Now()
		r, err := l.Fleet.Give(ctx, everyone(most))
		if err == nil && (r.Stopped != "" || r.Conflict != nil) {
			err = fmt.Errorf("lab: the rollout stopped: %s", r.Stopped)
		}
		return time.Since(began), err
	}
	if err := (&faultPlayer{lab: l}).whole(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	j, _, err := l.Fleet.Submit(ctx, everyone(most))
	if err != nil {
		return 0, err
	}
	j = l.Fleet.Follow(ctx, j, func(group.Result) {}, func(string) {})
	if j.State != duty.Finished {
		err = fmt.Errorf("lab: the job is %s: %s", j.State, j.Why)
	}
	return time.Since(began), err
}

// Rest is what a fleet's agents cost while nothing happens.
type Rest struct {
	For                  time.Duration
	VoterCPU, AskerCPU   time.Duration // of one, on average
	VoterByte, AskerByte float64       // read and written by one, a second
	VoterWrites          float64       // to the council's store by one, a second
}

// AtRest measures a council and agents that only ask.
func AtRest(ctx context.Context, opt Options, wait time.Duration) (Rest, error) {
	l, err := New(ctx, opt)
	if err != nil {
		return Rest{}, err
	}
	defer l.Close()
	if err := (&faultPlayer{lab: l}).whole(ctx); err != nil {
		return Rest{}, err
	}
	type use struct {
		cpu           time.Duration
		bytes, writes float64
	}
	look := func() (all []use, err error) {
		voters, silent := l.Fleet.Voters(ctx)
		if len(silent) > 0 {
			return nil, fmt.Errorf("lab: %d agents are silent", len(silent))
		}
		for n := range opt.Agents {
			u := use{writes: float64(voters[n].Writes)}
			if u.cpu, err = cpuOf(l.AgentPid(n)); err == nil {
				u.bytes, err = bytesOf(l.AgentPid(n))
			}
			if err != nil {
				return nil, err
			}
			all = append(all, u)
		}
		return all, nil
	}
	before, err := look()
	if err != nil {
		return Rest{}, err
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return Rest{}, ctx.Err()
	case <-time.After(wait):
	}
	after, err := look()
	if err != nil {
		return Rest{}, err
	}
	r := Rest{For: time.Since(began)}
	voters := opt.Council.Voters
	for n := range after {
		cpu, bytes := after[n].cpu-before[n].cpu, (after[n].bytes-before[n].bytes)/r.For.Seconds()
		if n < voters {
			r.VoterCPU += cpu / time.Duration(voters)
			r.VoterByte += bytes / float64(voters)
			r.VoterWrites += (after[n].writes - before[n].writes) / r.For.Seconds() / float64(voters)
		} else {
			r.AskerCPU += cpu / time.Duration(opt.Agents-voters)
			r.AskerByte += bytes / float64(opt.Agents-voters)
		}
	}
	return r, nil
}

// cpuOf gives a process's processor time, in ticks of 10 ms (proc(5), stat).
func cpuOf(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("lab: %w", err)
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(f) < 13 {
		return 0, errors.New("lab: a stat line that is too short")
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("lab: %w", err)
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("lab: %w", err)
	}
	return time.Duration(user+system) * 10 * time.Millisecond, nil
}

// bytesOf gives what a process has read and written, sockets too (proc(5), io).
func bytesOf(pid int) (all float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, fmt.Errorf("lab: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), ": "); ok && (key == "rchar" || key == "wchar") {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return 0, fmt.Errorf("lab: %w", err)
			}
			all += n
		}
	}
	return all, nil
}
