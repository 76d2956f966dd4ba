package faults

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Arrival is a node's request on arrival at a box.
type Arrival struct {
	Node, Box string
	At        time.Time
}

// Claim is an answer to an operator: that a node's process has confirmed a version.
type Claim struct {
	Node          string // AGENT/INSTANCE
	Version       uint64
	Asked, Answer time.Time
}

// BanEvidence is the input of CheckBans, the checker of the fleet-wide bans.
type BanEvidence struct {
	Logs     map[string]string // paths of the nodes' own logs, by AGENT/INSTANCE
	Arrivals []Arrival
	Claims   []Claim
	// Agreed is when each version was known to be agreed on, Banned the servers that it bans.
	Agreed map[uint64]time.Time
	Banned map[uint64][]string
}

const (
	// sendGrace is how long after it was told of a ban a node may still send requests to the banned server.
	sendGrace = 500 * time.Millisecond
	// maxBansAge bounds the age of the bans with which a node may start to serve as confirmed: the age up to
	// which the agent takes its copy as confirmed, and the time of a call.
	maxBansAge = 5 * time.Second
	// exitNoticeDelay is how long an agent may take to notice that a process has ended.
	exitNoticeDelay = 500 * time.Millisecond
)

// processRun is one process of a node, as its log shows it.
type processRun struct {
	began, ready time.Time
	unconfirmed  bool // it began to serve without confirmed bans
	updates      []versionUpdate
}

type versionUpdate struct {
	at      time.Time
	version uint64
}

// CheckBans checks how the fleet's word was applied, from the nodes' logs, the requests that boxes received and
// the answers that operators got. It shares no code with the production code that applies it.
func CheckBans(w BanEvidence) (broken []string, lives int, err error) {
	report := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	runs := map[string][]processRun{}
	for _, node := range slices.Sorted(maps.Keys(w.Logs)) {
		if runs[node], err = readRuns(w.Logs[node]); err != nil {
			return nil, 0, err
		}
		lives += len(runs[node])
		for _, run := range runs[node] {
			version := uint64(0)
			for _, update := range run.updates {
				if update.version < version {
					report("%s took version %d behind %d at %s", node, update.version, version, update.at.Format(time.TimeOnly))
				}
				version = update.version
			}
			if run.ready.IsZero() {
				continue
			}
			applied := run.versionAt(run.ready)
			for v, at := range w.Agreed {
				if v > applied && at.Before(run.ready.Add(-maxBansAge)) && !run.unconfirmed {
					report("%s served from %s on with version %d, and %d had been agreed on at %s", node, run.ready.Format(time.StampMilli), applied, v, at.Format(time.StampMilli))
					break
				}
			}
			if !run.unconfirmed && len(run.updates) > 0 && run.updates[0].at.After(run.ready) {
				report("%s served before it was told anything, and did not log that", node)
			}
		}
	}
	nodeByName := map[string]string{}
	for node := range w.Logs {
		_, name, _ := strings.Cut(node, "/")
		nodeByName[name] = node
	}
	seen := map[string]bool{}
	for _, a := range w.Arrivals {
		run := runAt(runs[nodeByName[a.Node]], a.At)
		if run == nil {
			continue
		}
		if from := a.At.Add(-sendGrace); run.excludedThroughout(from, a.At, func(v uint64) bool { return slices.Contains(w.Banned[v], a.Box) }) {
			if key := a.Node + " " + a.Box + " " + strconv.FormatUint(run.versionAt(from), 10); !seen[key] {
				seen[key] = true
				report("%s sent a request to %s at %s, which version %d bans", a.Node, a.Box, a.At.Format(time.StampMilli), run.versionAt(from))
			}
		}
	}
	for _, c := range w.Claims {
		run := runAt(runs[c.Node], c.Answer)
		if run != nil && run.versionAt(c.Answer) >= c.Version {
			continue
		}
		if run != nil && c.Asked.Sub(run.began) < exitNoticeDelay { // the answer may be about the process before
			if before := runAt(runs[c.Node], run.began.Add(-time.Millisecond)); before != nil && before.versionAt(c.Answer) >= c.Version {
				continue
			}
		}
		report("an answer at %s claims that %s has version %d, which its log does not show", c.Answer.Format(time.StampMilli), c.Node, c.Version)
	}
	return broken, lives, nil
}

// versionAt returns the version in force at a time; 0 if none.
func (run *processRun) versionAt(at time.Time) (v uint64) {
	for _, update := range run.updates {
		if !update.at.After(at) {
			v = update.version
		}
	}
	return v
}

// excludedThroughout reports whether out holds for each version that was in force at any time between from and
// to; false if there was a time without a version.
func (run *processRun) excludedThroughout(from, to time.Time, out func(version uint64) bool) bool {
	if len(run.updates) == 0 || run.updates[0].at.After(from) {
		return false
	}
	for i, update := range run.updates {
		followed := i+1 < len(run.updates) && !run.updates[i+1].at.After(from)
		if !followed && !update.at.After(to) && !out(update.version) {
			return false
		}
	}
	return true
}

func runAt(all []processRun, at time.Time) (run *processRun) {
	for i := range all {
		if !all[i].began.After(at) {
			run = &all[i]
		}
	}
	return run
}

// readRuns reads the processes of a node from its log.
func readRuns(path string) (all []processRun, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("faults: %w", err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		at, err := time.Parse(time.RFC3339Nano, strings.TrimPrefix(strings.SplitN(line, " ", 2)[0], "time="))
		if err != nil {
			continue // not a line of the node's own log
		}
		if strings.Contains(line, `msg="waits for the fleet's word"`) {
			all = append(all, processRun{began: at})
		}
		if len(all) == 0 {
			continue
		}
		run := &all[len(all)-1]
		switch {
		case strings.Contains(line, `msg="the fleet's word"`):
			_, rest, _ := strings.Cut(line, "version=")
			version, err := strconv.ParseUint(strings.SplitN(rest, " ", 2)[0], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("faults: %s: %q: %w", path, line, err)
			}
			run.updates = append(run.updates, versionUpdate{at, version})
		case strings.Contains(line, "told this node nothing for sure"):
			run.unconfirmed = true
		case strings.Contains(line, "msg=ready") && run.ready.IsZero():
			run.ready = at
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("faults: %s: %w", path, err)
	}
	return all, nil
}
