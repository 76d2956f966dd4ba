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

// What a fleet may lose when all of it goes at once.
const (
	LoseNothing  = "nothing"
	LoseAThird   = "a-third"  // of the records
	LoseRecords  = "records"  // all of them
	LoseMemories = "memories" // all records and copies, but the council's
	LoseMajority = "majority" // of the council's stores
)

// Losses lists them.
var Losses = []string{LoseNothing, LoseAThird, LoseRecords, LoseMemories, LoseMajority}

// Comeback is how a fleet's return is to be measured.
type Comeback struct {
	Loss    string
	Drained int           // instances that are drained before
	Away    time.Duration // how long discovery is away, from the kill on
}

// Return is how a fleet came back.
type Return struct {
	Half, Most, All time.Duration // from the last agent's start until so many served: 50%, 90%, all
	Burst           int           // the most instances that became ready within 100 ms
	Wrong           int           // drained instances that were started
	Held            int           // instances that were held when all was over
	// Calls of discovery, and the most within 100 ms; Conns is the most that were opened to one
	// server within 100 ms.
	Calls, CallsMost, ConnsMost int
	Served                      []Share
}

// Share is how much of the service of before there is, at a time.
type Share struct {
	At   time.Duration // since the last agent's start
	Part float64
}

// Play drains some instances, kills all agents and instances at once, takes away what is to be
// lost, starts all agents and looks how the fleet comes back.
func (c Comeback) Play(ctx context.Context, opt Options) (Return, error) {
	var r Return
	l, err := New(ctx, opt)
	if err != nil {
		return r, err
	}
	defer l.Close()
	if opt.Council != nil {
		if err := (&faultPlayer{lab: l}).whole(ctx); err != nil {
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
		limit, cancel := context.WithTimeout(ctx, startWithin)
		_, err := l.Fleet.Give(limit, group.Order{Plan: group.Plan{Kind: protocol.Drain}, Select: group.Selector{Names: names}})
		cancel()
		if err != nil {
			return r, err
		}
	}
	time.Sleep(time.Second) // until the council has been told of the last word
	l.Discovery.Down(c.Away > 0)
	var all sync.WaitGroup
	for n := range opt.Agents {
		all.Go(func() { l.KillMachine(n) })
	}
	all.Wait()
	killed := time.Now()
	if err := l.lose(c.Loss); err != nil {
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
	back := time.AfterFunc(time.Until(killed.Add(c.Away)), func() { l.Discovery.Down(false) })
	defer back.Stop()
	want := len(l.Instances) - c.Drained
	limit, cancel := context.WithTimeout(ctx, healWithin+c.Away)
	defer cancel()
	for r.All == 0 && limit.Err() == nil {
		up := l.serving(limit, down)
		now := Share{time.Since(began), float64(up) / float64(want)}
		for _, step := range []struct {
			at    *time.Duration
			share float64
		}{{&r.Half, 0.5}, {&r.Most, 0.9}, {&r.All, 1}} {
			if *step.at == 0 && now.Part >= step.share {
				*step.at = now.At
			}
		}
		r.Served = append(r.Served, now)
		time.Sleep(10 * time.Millisecond)
	}
	for _, o := range l.outlets {
		n, most := o.Calls.Counts()
		r.Calls, r.CallsMost = r.Calls+n, max(r.CallsMost, most)
	}
	for _, b := range l.Boxes {
		_, most := b.Conns.Counts()
		r.ConnsMost = max(r.ConnsMost, most)
	}
	recoveries, _ := l.Fleet.Recoveries(ctx)
	for _, a := range recoveries {
		r.Held += len(a.Held)
	}
	return r, l.readies(&r, began, down)
}

// lose takes away what is to be lost; nothing runs.
func (l *Lab) lose(loss string) error {
	for n := range l.opt.Agents {
		gone := faults.Nothing
		switch loss {
		case LoseNothing:
		case LoseAThird:
			if n%3 == 0 {
				gone = faults.Record
			}
		case LoseRecords:
			gone = faults.Record
		case LoseMemories:
			gone = faults.Both
		case LoseMajority:
			if n < l.opt.Council.Voters/2+1 {
				gone = faults.Store
			}
		default:
			return fmt.Errorf("lab: no loss %q: %s", loss, strings.Join(Losses, ", "))
		}
		if err := l.Lose(n, gone); err != nil {
			return err
		}
	}
	return nil
}

// serving counts the instances that answer /up, but those that are to be down.
func (l *Lab) serving(ctx context.Context, down map[string]bool) (n int) {
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

// readies reads from the instances' logs how many came at once, and whether one did that was
// to be down.
func (l *Lab) readies(r *Return, since time.Time, down map[string]bool) error {
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
			word, _, _ := strings.Cut(strings.TrimPrefix(lines.Text(), "time="), " ")
			at, err := time.Parse(time.RFC3339Nano, word)
			if err != nil || !at.After(since) || !strings.Contains(lines.Text(), "msg=ready") {
				continue
			}
			times = append(times, at)
			if down[i.Name] {
				r.Wrong++
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
	_, r.Burst = ready.Counts()
	return nil
}
