// Package reconcile derives the next steps from the desired state of a fleet and its observed state. It does no
// I/O and has no clock. It is level-triggered, not edge-triggered: it can be stopped and restarted at any point,
// as its decisions depend on its inputs alone.
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
	// MaxStatusAge bounds the age of an agent's status on which a decision may be based.
	MaxStatusAge = 3 * time.Second
	// PollInterval is the interval between status requests to an agent that is up to date.
	PollInterval = time.Second
	// RetryDelay is the delay before calling an agent again that did not answer, so that one that hangs costs
	// little.
	RetryDelay = 500 * time.Millisecond
)

// AgentStatus is the status of an agent: its last answer and the time of the last call. Times are on the owner's clock.
type AgentStatus struct {
	AsOf      time.Duration // when the call that Fleet answers was sent
	Answered  bool          // it has answered this owner
	Fleet     protocol.FleetStatus
	AskedAt   time.Duration
	EverAsked bool // AskedAt is set
	Err       string
}

// Fresh reports whether the status is recent enough for decisions.
func (s AgentStatus) Fresh(now time.Duration) bool {
	return s.Answered && now >= s.AsOf && now-s.AsOf < MaxStatusAge
}

// elapsed reports whether d has elapsed since the last call, or the clock was set back since then.
func (s AgentStatus) elapsed(now, d time.Duration) bool { return now < s.AskedAt || now-s.AskedAt >= d }

// Call is a call to one agent.
type Call struct {
	Agent  string
	Update bool // send the desired state; otherwise only request the status
}

// NextCalls returns the calls to make now, in the order of the agents' names: at once to agents that lack the latest
// version and to those not asked since the time since of the last event, to all others every PollInterval. Agents
// in busy have a call in progress.
func NextCalls(now, since time.Duration, latest desired.Version, agents []string, seen map[string]AgentStatus, busy map[string]bool) (steps []Call) {
	for _, name := range slices.Sorted(slices.Values(agents)) {
		s := seen[name]
		behind := s.Answered && s.Fleet.Version < latest
		var due bool
		switch {
		case busy[name]:
		case !s.EverAsked:
			due = true
		case s.Err != "":
			due = s.elapsed(now, RetryDelay)
		case behind, s.AskedAt < since:
			due = true
		default:
			due = s.elapsed(now, PollInterval)
		}
		if due {
			// The version of an agent that has not answered this owner is unknown: it is sent the desired
			// state, and answers with its version if it has it already.
			steps = append(steps, Call{name, behind || !s.Answered})
		}
	}
	return steps
}

// Progress is the progress of a version over the whole fleet.
type Progress struct {
	Latest      desired.Version `json:"latest"`
	Confirmed   int             `json:"confirmed"` // instances
	Unconfirmed []Unconfirmed   `json:"waiting"`
}

// Unconfirmed is an instance, or a whole agent, that has not confirmed the latest version, with the reason.
type Unconfirmed struct {
	Agent    string          `json:"agent"`
	Instance string          `json:"instance,omitempty"` // "": all instances of the agent
	Version  desired.Version `json:"version"`            // the latest that it is known to have confirmed
	Reason   string          `json:"why"`
}

// VersionProgress returns the progress of a version as far as it is known: an agent without a fresh status counts as not
// having confirmed anything.
func VersionProgress(now time.Duration, latest desired.Version, agents []string, seen map[string]AgentStatus) Progress {
	st := Progress{Latest: latest, Unconfirmed: []Unconfirmed{}}
	for _, name := range slices.Sorted(slices.Values(agents)) {
		s := seen[name]
		if !s.Fresh(now) {
			w := Unconfirmed{Agent: name, Version: s.Fleet.Version, Reason: "not reached"}
			if s.Err != "" {
				w.Reason += ": " + protocol.Truncate(s.Err)
			}
			st.Unconfirmed = append(st.Unconfirmed, w)
			continue
		}
		for _, t := range s.Fleet.Instances {
			switch {
			case t.Version >= latest && t.Running:
				st.Confirmed++
				continue
			case t.PendingReason == "":
				t.PendingReason = fmt.Sprintf("has not confirmed version %v", latest)
			}
			st.Unconfirmed = append(st.Unconfirmed, Unconfirmed{name, t.Instance, t.Version, t.PendingReason})
		}
	}
	return st
}

// CountServers returns the number of servers in the fleet: the maximum that any instance lists, since one that has
// just started lists fewer. 0 means that no fresh status is available.
func CountServers(now time.Duration, seen map[string]AgentStatus) (maxListed int) {
	for _, s := range seen {
		if !s.Fresh(now) {
			continue
		}
		for _, t := range s.Fleet.Instances {
			maxListed = max(maxListed, t.Listed)
		}
	}
	return maxListed
}

// BanTimer measures the remaining time of bans that expire, on the clock of the duty's owner. Each owner
// continues from the remaining time that was saved last, so that a ban lasts at least its duration, and longer
// by the time that was not saved at each change of owners.
type BanTimer struct {
	bans    map[string]timedBan
	last    time.Duration // on the clock
	elapsed time.Duration // since the first call; a clock that is set back adds nothing
	savedAt time.Duration // value of elapsed at the last save
}

type timedBan struct {
	since     desired.Version
	remaining time.Duration
	startedAt time.Duration // value of elapsed when the count began
}

// The remaining times are saved once 1/saveFraction of the shortest one has elapsed since the last save, but at
// most every minSaveInterval.
const (
	saveFraction    = 8
	minSaveInterval = 10 * time.Second
)

// Advance returns the expired bans, and the remaining times of the others if they are to be saved now.
func (c *BanTimer) Advance(now time.Duration, s *desired.State) (expired []desired.BanExpiry, toSave map[string]time.Duration) {
	if c.bans == nil {
		c.bans, c.last = map[string]timedBan{}, now
	}
	c.elapsed += max(0, now-c.last)
	c.last = now
	maps.DeleteFunc(c.bans, func(id string, b timedBan) bool { return s.BanSince[id] != b.since })
	shortest := time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(s.Document.Bans)) {
		b := s.Document.Bans[id]
		if b.Duration == 0 {
			continue
		}
		if _, known := c.bans[id]; !known {
			c.bans[id] = timedBan{s.BanSince[id], b.Remaining, c.elapsed}
		}
		ban := c.bans[id]
		remaining := ban.remaining - (c.elapsed - ban.startedAt)
		if remaining <= 0 {
			expired = append(expired, desired.BanExpiry{Server: id, Since: ban.since})
			continue
		}
		if toSave == nil {
			toSave = map[string]time.Duration{}
		}
		toSave[id] = remaining
		if shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	if len(toSave) == 0 || c.elapsed-c.savedAt < max(minSaveInterval, shortest/saveFraction) {
		return expired, nil
	}
	c.savedAt = c.elapsed
	return expired, toSave
}
