package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin"
	"otterstep/internal/standin/faults"
)

// What is lost when all agents and instances are killed at once.
const (
	LoseNothing  = "nothing"
	LoseAThird   = "a-third"  // the records of every third agent
	LoseRecords  = "records"  // the records of all agents
	LoseMemories = "memories" // the records of all agents and their copies, but not the council stores
	LoseMajority = "majority" // the council stores of a majority of the voters
)

// Losses lists the kinds of loss.
var Losses = []string{LoseNothing, LoseAThird, LoseRecords, LoseMemories, LoseMajority}

// FleetRestart configures a measurement of the restart of a whole fleet.
type FleetRestart struct {
	Loss          string
	Drained       int           // number of instances drained before the kill
	DiscoveryDown time.Duration // how long discovery is down, from the kill on
}

// RestartResult is the result of the restart of a whole fleet.
type RestartResult struct {
	Half, NineTenths, All time.Duration // from the start of the last agent until 50%, 90% and all of the instances served
	MaxReadyBurst         int           // most instances that became ready within 100 ms
	DrainedStarted        int           // drained instances that became ready
	Held                  int           // instances held at the end
	// Calls counts the requests to discovery, MaxCalls the most within 100 ms. MaxConns is the most connections that
	// were opened to one server within 100 ms.
	Calls, MaxCalls, MaxConns int
	Served                    []Share
}

// Share is the share of instances that serve at a time, of those that are meant to.
type Share struct {
	At       time.Duration // since the start of the last agent
	Fraction float64
}

// Run drains some instances, kills all agents and instances at once, removes the state that is to be lost, starts all
// agents, and measures how the instances become ready.
func (c FleetRestart) Run(ctx context.Context, opt Options) (RestartResult, error) {
	var r RestartResult
	l, err := New(ctx, opt)
	if err != nil {
		return r, err
	}
	defer l.Close()
	if opt.Council != nil {
		if err := (&faultRunner{lab: l}).waitForCouncil(ctx); err != nil {
			return r, err
		}
	}
	down := map[string]bool{}
	var names []string
	for _, i := range l.Instances[len(l.Instances)-c.Drained:] {
		down[i.Name] = true
		names = append(names, i.Name)
	}
	if c.Drained > 0 {
		limit, cancel := context.WithTimeout(ctx, startTimeout)
		_, err := l.Fleet.Execute(limit, group.Order{Plan: group.Plan{Kind: protocol.Drain}, Select: group.Selector{Names: names}})
		cancel()
		if err != nil {
			return r, err
		}
	}
	time.Sleep(time.Second) // until the last report has reached the council
	l.Discovery.SetDown(c.DiscoveryDown > 0)
	var kills sync.WaitGroup
	for n := range opt.Agents {
		kills.Go(func() { l.KillMachine(n) })
	}
	kills.Wait()
	killed := time.Now()
	if err := l.applyLoss(c.Loss); err != nil {
		return r, err
	}
	for _, o := range l.outlets {
		o.Calls.Reset()
	}
	for _, b := range l.Boxes {
		b.Conns.Reset()
	}
	for n := range opt.Agents {
		if err := l.StartAgent(n, false); err != nil {
			return r, err
		}
	}
	began := time.Now()
	restore := time.AfterFunc(time.Until(killed.Add(c.DiscoveryDown)), func() { l.Discovery.SetDown(false) })
	defer restore.Stop()
	want := len(l.Instances) - c.Drained
	limit, cancel := context.WithTimeout(ctx, recoveryTimeout+c.DiscoveryDown)
	defer cancel()
	for r.All == 0 && limit.Err() == nil {
		serving := l.countServing(limit, down)
		now := Share{time.Since(began), float64(serving) / float64(want)}
		for _, threshold := range []struct {
			at    *time.Duration
			share float64
		}{{&r.Half, 0.5}, {&r.NineTenths, 0.9}, {&r.All, 1}} {
			if *threshold.at == 0 && now.Fraction >= threshold.share {
				*threshold.at = now.At
			}
		}
		r.Served = append(r.Served, now)
		time.Sleep(10 * time.Millisecond)
	}
	for _, o := range l.outlets {
		n, peak := o.Calls.Counts()
		r.Calls, r.MaxCalls = r.Calls+n, max(r.MaxCalls, peak)
	}
	for _, b := range l.Boxes {
		_, peak := b.Conns.Counts()
		r.MaxConns = max(r.MaxConns, peak)
	}
	recoveries, _ := l.Fleet.Recoveries(ctx)
	for _, a := range recoveries {
		r.Held += len(a.Held)
	}
	return r, l.readReadyTimes(&r, began, down)
}

// applyLoss removes the state that is to be lost. No agent or instance may be running.
func (l *Lab) applyLoss(loss string) error {
	for n := range l.opt.Agents {
		kind := faults.Nothing
		switch loss {
		case LoseNothing:
		case LoseAThird:
			if n%3 == 0 {
				kind = faults.Record
			}
		case LoseRecords:
			kind = faults.Record
		case LoseMemories:
			kind = faults.RecordAndCopy
		case LoseMajority:
			if n < l.opt.Council.Voters/2+1 {
				kind = faults.Store
			}
		default:
			return fmt.Errorf("lab: unknown loss %q, want one of: %s", loss, strings.Join(Losses, ", "))
		}
		if err := l.LoseState(n, kind); err != nil {
			return err
		}
	}
	return nil
}

// countServing counts the instances that answer /up with OK, except for the drained ones.
func (l *Lab) countServing(ctx context.Context, down map[string]bool) (n int) {
	var mu sync.Mutex
	var work sync.WaitGroup
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range l.Instances {
		if down[i.Name] {
			continue
		}
		work.Go(func() {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Addr+"/up", nil)
			if err != nil {
				return
			}
			resp, err := c.Do(req)
			if err != nil {
				return
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				mu.Lock()
				n++
				mu.Unlock()
			}
		})
	}
	work.Wait()
	return n
}

// readReadyTimes reads from the instances' logs when they became ready, and sets MaxReadyBurst and DrainedStarted of the
// result.
func (l *Lab) readReadyTimes(r *RestartResult, since time.Time, down map[string]bool) error {
	var times []time.Time
	for _, i := range l.Instances {
		f, err := os.Open(i.LogFile)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			timestamp, _, _ := strings.Cut(strings.TrimPrefix(lines.Text(), "time="), " ")
			at, err := time.Parse(time.RFC3339Nano, timestamp)
			if err != nil || !at.After(since) || !strings.Contains(lines.Text(), "msg=ready") {
				continue
			}
			times = append(times, at)
			if down[i.Name] {
				r.DrainedStarted++
			}
		}
		err = errors.Join(lines.Err(), f.Close())
		if err != nil {
			return fmt.Errorf("lab: %s: %w", filepath.Base(i.LogFile), err)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var ready standin.Peak
	for _, at := range times {
		ready.At(at)
	}
	_, r.MaxReadyBurst = ready.Counts()
	return nil
}
