package faults

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"otterstep/internal/fleet/agentstate"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/record"
)

// Files are the files written by a fleet's processes.
type Files struct {
	// Cuts counts the power cuts of each agent's machine. Restored names agents whose record and copy
	// were both restored to an old state: no process then knows of an order that was in progress.
	Cuts     map[string]int
	Restored map[string]bool
	Records  map[string][]string // paths by agent; lost records come first, in the order of their loss
	Logs     map[string]string   // paths by AGENT/INSTANCE
}

// Verdict is the result of Check.
type Verdict struct {
	Violations []string // a description of each violated guarantee
	// MaxUnavailable is the highest number of instances that were unavailable at the same time according to their
	// own logs, Starts how often each was started.
	MaxUnavailable int
	Starts         map[string]int
	// Effects counts the effects under fences, Fenced the operations that a fence stopped.
	Effects, Fenced int
}

func (v *Verdict) violation(format string, args ...any) {
	v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
}

// Check checks a fleet by its files alone, once nothing is in progress: the tokens in each agent's
// record never decrease from one effect to the next, and no order of a job ends or starts more
// than one process. It shares no code with the production code that decides these things.
func Check(f Files) (*Verdict, error) {
	v := &Verdict{Starts: map[string]int{}}
	for _, agent := range slices.Sorted(maps.Keys(f.Records)) {
		if err := v.checkRecords(f, agent); err != nil {
			return nil, err
		}
	}
	if err := v.checkLogs(f.Logs); err != nil {
		return nil, err
	}
	return v, nil
}

// effects are the steps of an operation that have an effect on a process.
var effects = []string{"term", "kill", "launch", "hup"}

// checkRecords checks an agent's records, the lost ones included. Entries of a record that was restored
// occur twice and count once.
func (v *Verdict) checkRecords(f Files, agent string) error {
	paths := f.Records[agent]
	highest := map[string]protocol.Token{}
	fences := map[string]protocol.Fence{}   // by command
	tokens := map[string]protocol.Token{}   // of operations, by COMMAND INSTANCE
	notes := map[string]map[string]string{} // set of the steps' notes, by COMMAND INSTANCE STEP
	advance := func(by protocol.Fence, what string) {
		if by.Token < highest[by.Duty] {
			v.violation("%s: %s under token %v of %s, behind %v", agent, what, by.Token, by.Duty, highest[by.Duty])
		}
		highest[by.Duty] = max(highest[by.Duty], by.Token)
	}
	banVersion := uint64(0)
	seen := map[string]bool{}
	entry := func(text json.RawMessage) error {
		if seen[string(text)] {
			return nil
		}
		seen[string(text)] = true
		var e agentstate.Entry
		if err := json.Unmarshal(text, &e); err != nil {
			return err
		}
		switch {
		case e.Snapshot != nil:
			for d, t := range e.Snapshot.Fences {
				if len(paths) == 1 { // after a loss the agent may not know the latest fences
					advance(protocol.Fence{Duty: d, Token: t}, "a snapshot")
				}
			}
			for _, c := range e.Snapshot.Commands {
				if c.Fence == nil {
					continue
				}
				fences[c.ID] = *c.Fence
				for _, o := range c.Operations {
					tokens[c.ID+" "+o.Instance] = o.Token
				}
			}
		case e.Fence != nil:
			advance(e.Fence.Fence, "a raise")
		case e.FleetBans != nil:
			if e.FleetBans.Fence != nil {
				advance(*e.FleetBans.Fence, "the fleet's word")
			}
			if w := e.FleetBans.Bans.Version; w < banVersion && len(paths) == 1 {
				v.violation("%s: the fleet's version %d behind %d", agent, w, banVersion)
			} else {
				banVersion = w
			}
		case e.Open != nil && e.Open.Request.Fence != nil:
			advance(*e.Open.Request.Fence, "command "+e.Open.Request.ID)
			fences[e.Open.Request.ID] = *e.Open.Request.Fence
		case e.Begin != nil && e.Begin.Fence != nil:
			advance(*e.Begin.Fence, "an operation on "+e.Begin.Instance)
			tokens[e.Begin.ID+" "+e.Begin.Instance] = e.Begin.Fence.Token
		case e.End != nil && e.End.State == protocol.Interrupted && strings.Contains(e.End.Reason, " is over"):
			v.Fenced++
		case e.Step != nil:
			by, fenced := fences[e.Step.ID]
			if !fenced || !slices.Contains(append([]string{"started"}, effects...), e.Step.Name) {
				return nil
			}
			op := e.Step.ID + " " + e.Step.Instance
			if slices.Contains(effects, e.Step.Name) {
				v.Effects++
				advance(protocol.Fence{Duty: by.Duty, Token: tokens[op]}, "step "+e.Step.Name+" on "+e.Step.Instance)
			}
			if e.Step.Name == "term" || e.Step.Name == "started" {
				key := op + " " + e.Step.Name
				if notes[key] == nil {
					notes[key] = map[string]string{}
				}
				notes[key][e.Step.Note] = ""
				// After a power cut an order in progress goes on with another process.
				if powerCut := strings.HasSuffix(key, " started") && f.Cuts[agent] > 0; len(notes[key]) > 1 && !powerCut && !f.Restored[agent] {
					v.violation("%s: order %s has %s of more than one process: %v", agent, op, e.Step.Name, slices.Sorted(maps.Keys(notes[key])))
				}
			}
		}
		return nil
	}
	for _, path := range paths {
		if err := record.Read(record.OS{}, path, entry); err != nil {
			return err
		}
	}
	return nil
}

// availabilityChange is an instance's becoming unavailable (delta 1) or available (delta -1).
type availabilityChange struct {
	at    time.Time
	delta int
}

// checkLogs counts the instances' starts and the highest number of those unavailable at once, from the
// lines that tell when an instance began to drain and was ready again.
func (v *Verdict) checkLogs(files map[string]string) error {
	var all []availabilityChange
	for key, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("faults: %w", err)
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		away := true // also before the first start, which is not counted as a return
		first := true
		for lines.Scan() {
			line := lines.Text()
			at, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.SplitN(line, " ", 2)[0], "time="))
			if err != nil {
				continue // not a line of the node's own log
			}
			switch {
			case strings.Contains(line, "msg=ready"):
				v.Starts[key]++
				if away && !first {
					all = append(all, availabilityChange{at, -1})
				}
				away, first = false, false
			case strings.Contains(line, "msg=draining") && !away:
				away = true
				all = append(all, availabilityChange{at, 1})
			}
		}
		f.Close()
		if err := lines.Err(); err != nil {
			return fmt.Errorf("faults: %s: %w", path, err)
		}
	}
	slices.SortFunc(all, func(a, b availabilityChange) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.delta - b.delta
	})
	unavailable := 0
	for _, c := range all {
		unavailable += c.delta
		v.MaxUnavailable = max(v.MaxUnavailable, unavailable)
	}
	return nil
}

// CheckRestartedOnce checks that a job that has ended restarted instances as it reports: once those that are
// done, and never the others. before is how often each had been started when the job was
// submitted.
func (v *Verdict) CheckRestartedOnce(j *duty.Job, before int) {
	for i, t := range j.Targets {
		want := before
		if j.Steps[i].Phase == duty.Done {
			want++
		}
		if got := v.Starts[t.Key()]; got != want {
			v.violation("job %s: %s is %q and was started %d times, want %d", j.ID, t.Key(), j.Steps[i].Phase, got, want)
		}
	}
}
