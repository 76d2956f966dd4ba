// Package reconcile decides the next steps from what a fleet should be and what was seen of it. It does no
// I/O and has no clock. It goes by levels, not by edges: it can be ended anywhere and begun anew, and what it
// decides follows from what it is given alone.
package reconcile

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/protocol"
)

const (
	// Fresh is how old a look at an agent may be for anything to be decided by it.
	Fresh = 3 * time.Second
	// LookEvery is how often each agent is looked at when there is nothing to tell it.
	LookEvery = time.Second
	// AgainAfter is how long an agent that did not answer is left alone, so that one that hangs costs little.
	AgainAfter = 500 * time.Millisecond
)

// Seen is what is known of an agent: its last answer, and when it was last asked for one. Times are on the
// owner's clock.
type Seen struct {
	At    time.Duration // of the question behind Fleet
	Known bool          // it has answered this owner
	Fleet protocol.Fleet
	Asked time.Duration
	Tried bool // Asked means something
	Err   string
}

// Fresh tells whether anything may be decided by it.
func (s Seen) Fresh(now time.Duration) bool { return s.Known && now >= s.At && now-s.At < Fresh }

// passed tells whether so much time has passed since it was asked; also if the clock was set back since.
func (s Seen) passed(now, d time.Duration) bool { return now < s.Asked || now-s.Asked >= d }

// Step is a call to one agent.
type Step struct {
	Agent string
	Tell  bool // bring the word; else look only
}

// Next gives the agents to call now, in the order of their names: those that lack the latest version at once,
// and those that were not asked since something happened, all others every LookEvery. busy are those under a call.
func Next(now, since time.Duration, latest desired.Version, agents []string, seen map[string]Seen, busy map[string]bool) (steps []Step) {
	for _, name := range slices.Sorted(slices.Values(agents)) {
		s := seen[name]
		behind := s.Known && s.Fleet.Version < latest
		var due bool
		switch {
		case busy[name]:
		case !s.Tried:
			due = true
		case s.Err != "":
			due = s.passed(now, AgainAfter)
		case behind, s.Asked < since:
			due = true
		default:
			due = s.passed(now, LookEvery)
		}
		if due {
			// Of one that this owner has never seen the version is not known: it is told, and says so if it has it.
			steps = append(steps, Step{name, behind || !s.Known})
		}
	}
	return steps
}

// Standing is how far a version has come, over a whole fleet.
type Standing struct {
	Latest    desired.Version `json:"latest"`
	Confirmed int             `json:"confirmed"` // instances
	Waiting   []Waiting       `json:"waiting"`
}

// Waiting is an instance, or a whole agent, that has not confirmed the latest version, and why.
type Waiting struct {
	Agent    string          `json:"agent"`
	Instance string          `json:"instance,omitempty"` // "": all of the agent's
	Version  desired.Version `json:"version"`            // the latest that it confirmed, as far as it is known
	Why      string          `json:"why"`
}

// Stands tells how far a version has come by what is known, and by no more than that: an agent that was not
// seen just now has confirmed nothing.
func Stands(now time.Duration, latest desired.Version, agents []string, seen map[string]Seen) Standing {
	st := Standing{Latest: latest, Waiting: []Waiting{}}
	for _, name := range slices.Sorted(slices.Values(agents)) {
		s := seen[name]
		if !s.Fresh(now) {
			w := Waiting{Agent: name, Version: s.Fleet.Version, Why: "not reached"}
			if s.Err != "" {
				w.Why += ": " + protocol.Clip(s.Err)
			}
			st.Waiting = append(st.Waiting, w)
			continue
		}
		for _, t := range s.Fleet.Instances {
			switch {
			case t.Version >= latest && t.Runs:
				st.Confirmed++
				continue
			case t.Waits == "":
				t.Waits = fmt.Sprintf("has not confirmed version %v", latest)
			}
			st.Waiting = append(st.Waiting, Waiting{name, t.Instance, t.Version, t.Waits})
		}
	}
	return st
}

// Servers is how many servers the fleet has: the most that any instance lists, as one that has just come up
// lists fewer. 0: nobody has told just now.
func Servers(now time.Duration, seen map[string]Seen) (most int) {
	for _, s := range seen {
		if !s.Fresh(now) {
			continue
		}
		for _, t := range s.Fleet.Instances {
			most = max(most, t.Listed)
		}
	}
	return most
}

// Countdown counts what is left of bans that have an end, on the clock of whoever owns the duty. Each owner
// counts on from what was written down last, so that a ban lasts at least as long as it was meant to, and
// longer by what was not written at each change of owners.
type Countdown struct {
	began  map[string]counted
	last   time.Duration // on the clock
	passed time.Duration // counted since the first call; a clock that is set back adds nothing
	noted  time.Duration // of passed
}

type counted struct {
	since desired.Version
	left  time.Duration
	at    time.Duration // of passed
}

// noteShare is the share of what is left of a ban that may pass without being written down, noteLeast the
// least that is worth it.
const (
	noteShare = 8
	noteLeast = 10 * time.Second
)

// Count gives the bans that are over, and what is left of others if that is to be written down now.
func (c *Countdown) Count(now time.Duration, s *desired.State) (over []desired.BanExpiry, left map[string]time.Duration) {
	if c.began == nil {
		c.began, c.last = map[string]counted{}, now
	}
	c.passed += max(0, now-c.last)
	c.last = now
	maps.DeleteFunc(c.began, func(id string, b counted) bool { return s.BanSince[id] != b.since })
	least := time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(s.Document.Bans)) {
		b := s.Document.Bans[id]
		if b.For == 0 {
			continue
		}
		if _, known := c.began[id]; !known {
			c.began[id] = counted{s.BanSince[id], b.Left, c.passed}
		}
		is := c.began[id]
		rest := is.left - (c.passed - is.at)
		if rest <= 0 {
			over = append(over, desired.BanExpiry{Server: id, Since: is.since})
			continue
		}
		if left == nil {
			left = map[string]time.Duration{}
		}
		left[id] = rest
		if least == 0 || rest < least {
			least = rest
		}
	}
	if len(left) == 0 || c.passed-c.noted < max(noteLeast, least/noteShare) {
		return over, nil
	}
	c.noted = c.passed
	return over, left
}
