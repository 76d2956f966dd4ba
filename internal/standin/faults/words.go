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

// Arrival is a request of a node's at a box.
type Arrival struct {
	Node, Box string
	At        time.Time
}

// Claim is what somebody was told of a node: that its process has confirmed a version.
type Claim struct {
	Node          string // AGENT/INSTANCE
	Version       uint64
	Asked, Answer time.Time
}

// Words is what a checker of the fleet's word reads.
type Words struct {
	Logs     map[string]string // nodes' own, by AGENT/INSTANCE
	Arrivals []Arrival
	Claims   []Claim
	// Agreed is when each version was known to be agreed on, Out the servers that it leaves out.
	Agreed map[uint64]time.Time
	Out    map[uint64][]string
}

const (
	// toldWithin is how long after it was told a node may still send something to a server that is out.
	toldWithin = 500 * time.Millisecond
	// oldMost is how old the latest word may be that a node comes back with for sure: what the agent takes for
	// sure, and the time of a call.
	oldMost = 5 * time.Second
	// noticed is how long an agent may take to notice that a process has ended.
	noticed = 500 * time.Millisecond
)

// life is a process of a node, by its log.
type life struct {
	began, ready time.Time
	unsure       bool // it began to serve without a word
	words        []word
}

type word struct {
	at      time.Time
	version uint64
}

// CheckWords judges what became of the fleet's word by what nodes logged, what boxes got, and what operators were
// told. It shares no code with what decides.
func CheckWords(w Words) (broken []string, lives int, err error) {
	say := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	all := map[string][]life{}
	for _, node := range slices.Sorted(maps.Keys(w.Logs)) {
		if all[node], err = readLives(w.Logs[node]); err != nil {
			return nil, 0, err
		}
		lives += len(all[node])
		for _, l := range all[node] {
			version := uint64(0)
			for _, told := range l.words {
				if told.version < version {
					say("%s took version %d behind %d at %s", node, told.version, version, told.at.Format(time.TimeOnly))
				}
				version = told.version
			}
			if l.ready.IsZero() {
				continue
			}
			had := l.version(l.ready)
			for v, at := range w.Agreed {
				if v > had && at.Before(l.ready.Add(-oldMost)) && !l.unsure {
					say("%s served from %s on with version %d, and %d had been agreed on at %s", node, l.ready.Format(time.StampMilli), had, v, at.Format(time.StampMilli))
					break
				}
			}
			if !l.unsure && len(l.words) > 0 && l.words[0].at.After(l.ready) {
				say("%s served before it was told anything, and did not say so", node)
			}
		}
	}
	names := map[string]string{}
	for node := range w.Logs {
		_, name, _ := strings.Cut(node, "/")
		names[name] = node
	}
	seen := map[string]bool{}
	for _, a := range w.Arrivals {
		l := lifeAt(all[names[a.Node]], a.At)
		if l == nil {
			continue
		}
		if from := a.At.Add(-toldWithin); l.outAll(from, a.At, func(v uint64) bool { return slices.Contains(w.Out[v], a.Box) }) {
			if key := a.Node + " " + a.Box + " " + strconv.FormatUint(l.version(from), 10); !seen[key] {
				seen[key] = true
				say("%s sent something to %s at %s, which is out by version %d", a.Node, a.Box, a.At.Format(time.StampMilli), l.version(from))
			}
		}
	}
	for _, c := range w.Claims {
		l := lifeAt(all[c.Node], c.Answer)
		if l != nil && l.version(c.Answer) >= c.Version {
			continue
		}
		if l != nil && c.Asked.Sub(l.began) < noticed { // it may speak of the process before
			if before := lifeAt(all[c.Node], l.began.Add(-time.Millisecond)); before != nil && before.version(c.Answer) >= c.Version {
				continue
			}
		}
		say("it was told at %s that %s has version %d, and its log tells of none", c.Answer.Format(time.StampMilli), c.Node, c.Version)
	}
	return broken, lives, nil
}

// version gives the one in force at a time.
func (l *life) version(at time.Time) (v uint64) {
	for _, told := range l.words {
		if !told.at.After(at) {
			v = told.version
		}
	}
	return v
}

// outAll tells whether every word that was in force at some time between two times leaves something out; false
// if there was a time without any.
func (l *life) outAll(from, to time.Time, out func(version uint64) bool) bool {
	if len(l.words) == 0 || l.words[0].at.After(from) {
		return false
	}
	for i, told := range l.words {
		followed := i+1 < len(l.words) && !l.words[i+1].at.After(from)
		if !followed && !told.at.After(to) && !out(told.version) {
			return false
		}
	}
	return true
}

func lifeAt(all []life, at time.Time) (l *life) {
	for i := range all {
		if !all[i].began.After(at) {
			l = &all[i]
		}
	}
	return l
}

// readLives reads a node's log.
func readLives(path string) (all []life, err error) {
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
			continue // of another form: not of the node's own log
		}
		if strings.Contains(line, `msg="waits for the fleet's word"`) {
			all = append(all, life{began: at})
		}
		if len(all) == 0 {
			continue
		}
		l := &all[len(all)-1]
		switch {
		case strings.Contains(line, `msg="the fleet's word"`):
			_, rest, _ := strings.Cut(line, "version=")
			version, err := strconv.ParseUint(strings.SplitN(rest, " ", 2)[0], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("faults: %s: %q: %w", path, line, err)
			}
			l.words = append(l.words, word{at, version})
		case strings.Contains(line, "told this node nothing for sure"):
			l.unsure = true
		case strings.Contains(line, "msg=ready") && l.ready.IsZero():
			l.ready = at
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("faults: %s: %w", path, err)
	}
	return all, nil
}
