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

	"otterstep/internal/fleet/agentstate"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/record"
)

// Faults of an owner that Takeover injects: its agent is killed, stopped or cut off from all others.
const (
	OwnerKilled  = "kill"
	OwnerStopped = "stop"
	OwnerCut     = "cut"
)

// Takeover starts a fleet, injects a fault into the owner during a rollout, and returns the time from the fault to the
// first effect of the successor.
func Takeover(ctx context.Context, opt Options, fault string) (time.Duration, error) {
	l, err := New(ctx, opt)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	run := FaultRun{}
	if err := (&faultRunner{lab: l, run: &run}).waitForCouncil(ctx); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	// The instances of the owner's agent count as unavailable once the agent is gone; one more may be.
	maxUnavailable := (opt.Instances+opt.Agents-1)/opt.Agents + 1
	j, _, err := l.Fleet.Submit(ctx, restartOrder(maxUnavailable))
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
			return 0, fmt.Errorf("lab: no agent owns rollouts: %w", ctx.Err())
		}
		time.Sleep(pollInterval)
	}
	owner--
	began := time.Now()
	switch fault {
	case OwnerKilled:
		l.KillAgent(owner)
	case OwnerStopped:
		err = l.SignalAgent(owner, syscall.SIGSTOP)
	case OwnerCut:
		l.Isolate(true, agentName(owner))
	default:
		err = fmt.Errorf("lab: unknown fault %q, want %s, %s or %s", fault, OwnerKilled, OwnerStopped, OwnerCut)
	}
	if err != nil {
		return 0, err
	}
	for ctx.Err() == nil {
		for n := range opt.Agents {
			at, err := firstEffect(filepath.Join(l.stateDir(n), "record"), began)
			if err != nil {
				return 0, err
			}
			if !at.IsZero() && n != owner {
				return at.Sub(began), nil
			}
		}
		time.Sleep(pollInterval)
	}
	return 0, fmt.Errorf("lab: the successor of %s had no effect in job %s: %w", agentName(owner), j.ID, ctx.Err())
}

func restartOrder(maxUnavailable int) group.Order {
	return group.Order{Plan: group.Plan{Kind: protocol.Restart, MaxUnavailable: maxUnavailable}, Select: group.Selector{Names: []string{"all"}}}
}

// firstEffect returns the time of the first effect in a record under a token that was raised after the given time, or
// the zero time if there is none.
func firstEffect(path string, after time.Time) (at time.Time, err error) {
	raised := false
	err = record.Read(record.OS{}, path, func(text json.RawMessage) error {
		var e agentstate.Entry
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

// warmUp is how long clients send before a rollout is timed: instances that have just started have fewer connections
// to close and drain sooner.
const warmUp = 5 * time.Second

// Rollout measures the duration of a rollout that restarts all instances, carried out by the council if there is one
// and by the client otherwise. At most the given number of instances are unavailable at once.
func Rollout(ctx context.Context, opt Options, maxUnavailable int) (time.Duration, error) {
	l, err := New(ctx, opt)
	if err != nil {
		return 0, err
	}
	defer l.Close()
	time.Sleep(warmUp)
	if opt.Council == nil {
		began := time.Now()
		r, err := l.Fleet.Execute(ctx, restartOrder(maxUnavailable))
		if err == nil && (r.Stopped != "" || r.Conflict != nil) {
			err = fmt.Errorf("lab: the rollout stopped: %s", r.Stopped)
		}
		return time.Since(began), err
	}
	if err := (&faultRunner{lab: l}).waitForCouncil(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	j, _, err := l.Fleet.Submit(ctx, restartOrder(maxUnavailable))
	if err != nil {
		return 0, err
	}
	j = l.Fleet.Follow(ctx, j, func(group.Result) {}, func(string) {})
	if j.State != duty.Finished {
		err = fmt.Errorf("lab: the job is %s: %s", j.State, j.Reason)
	}
	return time.Since(began), err
}

// IdleCost is the resource usage of agents in an idle fleet.
type IdleCost struct {
	For                       time.Duration
	VoterCPU, NonVoterCPU     time.Duration // mean per agent
	VoterBytes, NonVoterBytes float64       // mean bytes read and written per agent and second
	VoterWrites               float64       // mean writes to the council store per voter and second
}

// MeasureIdle measures the resource usage of voters and of agents that do not vote, over the given time.
func MeasureIdle(ctx context.Context, opt Options, wait time.Duration) (IdleCost, error) {
	l, err := New(ctx, opt)
	if err != nil {
		return IdleCost{}, err
	}
	defer l.Close()
	if err := (&faultRunner{lab: l}).waitForCouncil(ctx); err != nil {
		return IdleCost{}, err
	}
	type resourceUse struct {
		cpu           time.Duration
		bytes, writes float64
	}
	measure := func() (all []resourceUse, err error) {
		voters, silent := l.Fleet.Voters(ctx)
		if len(silent) > 0 {
			return nil, fmt.Errorf("lab: %d agents did not answer", len(silent))
		}
		for n := range opt.Agents {
			usage := resourceUse{writes: float64(voters[n].Writes)}
			if usage.cpu, err = cpuTime(l.AgentPid(n)); err == nil {
				usage.bytes, err = ioBytes(l.AgentPid(n))
			}
			if err != nil {
				return nil, err
			}
			all = append(all, usage)
		}
		return all, nil
	}
	before, err := measure()
	if err != nil {
		return IdleCost{}, err
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return IdleCost{}, ctx.Err()
	case <-time.After(wait):
	}
	after, err := measure()
	if err != nil {
		return IdleCost{}, err
	}
	r := IdleCost{For: time.Since(began)}
	voters := opt.Council.Voters
	for n := range after {
		cpu, bytes := after[n].cpu-before[n].cpu, (after[n].bytes-before[n].bytes)/r.For.Seconds()
		if n < voters {
			r.VoterCPU += cpu / time.Duration(voters)
			r.VoterBytes += bytes / float64(voters)
			r.VoterWrites += (after[n].writes - before[n].writes) / r.For.Seconds() / float64(voters)
		} else {
			r.NonVoterCPU += cpu / time.Duration(opt.Agents-voters)
			r.NonVoterBytes += bytes / float64(opt.Agents-voters)
		}
	}
	return r, nil
}

// cpuTime returns the CPU time of a process, which Linux counts in ticks of 10 ms (proc(5), stat).
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("lab: %w", err)
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(f) < 13 {
		return 0, errors.New("lab: /proc/PID/stat has too few fields")
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

// ioBytes returns the number of bytes that a process has read and written, including sockets (proc(5), io).
func ioBytes(pid int) (all float64, err error) {
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
