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

	"otterstep/internal/fleet/book"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/record"
)

// Files are what a fleet's processes have written down.
type Files struct {
	// Cuts counts the power cuts of each agent's machine. PutBack names agents whose record and copy
	// were both put back: no process then knows of an order that was under way.
	Cuts    map[string]int
	PutBack map[string]bool
	Records map[string][]string // by agent; those that it lost come first, in their order
	Logs    map[string]string   // by AGENT/INSTANCE
}

// Verdict is what a checker found.
type Verdict struct {
	Broken []string // each promise that was broken, in words
	// Away is the most instances that were away at once by what their own logs say, Starts how
	// often each was started.
	Away   int
	Starts map[string]int
	// Effects counts the effects under fences, Refused what shows as stopped by one.
	Effects, Fenced int
}

func (v *Verdict) broken(format string, args ...any) {
	v.Broken = append(v.Broken, fmt.Sprintf(format, args...))
}

// Check judges a fleet by its files alone, when it is at rest: the tokens in each agent's
// record never fall from one effect to the next, and no order of a job ends more than one
// process or starts more than one. It shares no code with what decides.
func Check(f Files) (*Verdict, error) {
	v := &Verdict{Starts: map[string]int{}}
	for _, agent := range slices.Sorted(maps.Keys(f.Records)) {
		if err := v.records(f, agent); err != nil {
			return nil, err
		}
	}
	if err := v.logs(f.Logs); err != nil {
		return nil, err
	}
	return v, nil
}

// effects are the steps of an operation behind which something happens.
var effects = []string{"term", "kill", "launch", "hup"}

// records reads what an agent has written, over all that it has lost: what was put back is there
// twice and counts once.
func (v *Verdict) records(f Files, agent string) error {
	paths := f.Records[agent]
	highest := map[string]protocol.Token{}
	fences := map[string]protocol.Fence{}     // of commands
	tokens := map[string]protocol.Token{}     // of operations, by COMMAND INSTANCE
	touched := map[string]map[string]string{} // by COMMAND INSTANCE STEP: notes seen
	raise := func(by protocol.Fence, what string) {
		if by.Token < highest[by.Duty] {
			v.broken("%s: %s under token %v of %s, behind %v", agent, what, by.Token, by.Duty, highest[by.Duty])
		}
		highest[by.Duty] = max(highest[by.Duty], by.Token)
	}
	worded := uint64(0)
	known := map[string]bool{}
	entry := func(text json.RawMessage) error {
		if known[string(text)] {
			return nil
		}
		known[string(text)] = true
		var e book.Entry
		if err := json.Unmarshal(text, &e); err != nil {
			return err
		}
		switch {
		case e.Snapshot != nil:
			for d, t := range e.Snapshot.Fences {
				if len(paths) == 1 { // else it may have forgotten, until it learns again
					raise(protocol.Fence{Duty: d, Token: t}, "a snapshot")
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
			raise(e.Fence.Fence, "a raise")
		case e.Fleet != nil:
			if e.Fleet.Fence != nil {
				raise(*e.Fleet.Fence, "the fleet's word")
			}
			if w := e.Fleet.Word.Version; w < worded && len(paths) == 1 {
				v.broken("%s: the fleet's version %d behind %d", agent, w, worded)
			} else {
				worded = w
			}
		case e.Open != nil && e.Open.Request.Fence != nil:
			raise(*e.Open.Request.Fence, "command "+e.Open.Request.ID)
			fences[e.Open.Request.ID] = *e.Open.Request.Fence
		case e.Begin != nil && e.Begin.Fence != nil:
			raise(*e.Begin.Fence, "an operation on "+e.Begin.Instance)
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
				raise(protocol.Fence{Duty: by.Duty, Token: tokens[op]}, "step "+e.Step.Name+" on "+e.Step.Instance)
			}
			if e.Step.Name == "term" || e.Step.Name == "started" {
				key := op + " " + e.Step.Name
				if touched[key] == nil {
					touched[key] = map[string]string{}
				}
				touched[key][e.Step.Note] = ""
				// Behind a power cut an order that was under way goes on with another process.
				if cut := strings.HasSuffix(key, " started") && f.Cuts[agent] > 0; len(touched[key]) > 1 && !cut && !f.PutBack[agent] {
					v.broken("%s: order %s has %s of more than one process: %v", agent, op, e.Step.Name, slices.Sorted(maps.Keys(touched[key])))
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

// change is an instance's coming or going.
type change struct {
	at   time.Time
	away int
}

// logs reads when instances began to drain and were ready again.
func (v *Verdict) logs(files map[string]string) error {
	var all []change
	for key, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("faults: %w", err)
		}
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		away := true // before the first start, which does not count
		first := true
		for lines.Scan() {
			line := lines.Text()
			at, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.SplitN(line, " ", 2)[0], "time="))
			if err != nil {
				continue // of another form: not of the node's own log
			}
			switch {
			case strings.Contains(line, "msg=ready"):
				v.Starts[key]++
				if away && !first {
					all = append(all, change{at, -1})
				}
				away, first = false, false
			case strings.Contains(line, "msg=draining") && !away:
				away = true
				all = append(all, change{at, 1})
			}
		}
		f.Close()
		if err := lines.Err(); err != nil {
			return fmt.Errorf("faults: %s: %w", path, err)
		}
	}
	slices.SortFunc(all, func(a, b change) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.away - b.away
	})
	now := 0
	for _, c := range all {
		now += c.away
		v.Away = max(v.Away, now)
	}
	return nil
}

// Once tells whether a job that has ended touched each of its instances as it says: those
// that are done were started once since, all others never; before says how often each had
// been started when it was submitted.
func (v *Verdict) Once(j *duty.Job, before int) {
	for i, t := range j.Targets {
		want := before
		if j.Steps[i].Phase == duty.Done {
			want++
		}
		if got := v.Starts[t.Key()]; got != want {
			v.broken("job %s: %s is %q and was started %d times, want %d", j.ID, t.Key(), j.Steps[i].Phase, got, want)
		}
	}
}
