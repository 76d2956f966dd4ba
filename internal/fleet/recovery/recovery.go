// Package recovery decides what an agent may do with an instance when the agent's own record may
// be lost: given the known claims about the desired state, their sources and the time waited, to
// follow a claim, to wait for the council, or to hold. It does no I/O and has no clock.
package recovery

import (
	"fmt"
	"time"
)

// RecordState is the condition of an agent's own record.
type RecordState int

// The conditions of a record.
const (
	Intact   RecordState = iota // record and copy agree that it is the latest
	Outdated                    // the record is older than its copy, as after restoring a disk from a backup
	Lost                        // a record existed and is missing or damaged
	Empty                       // neither record nor copy exists: a first start, or both were lost
)

func (m RecordState) String() string {
	return [...]string{"whole", "older than its copy", "lost", "blank"}[m]
}

// CouncilState is whether the fleet's council has answered.
type CouncilState int

// The states of the council's answer.
const (
	NoCouncil  CouncilState = iota // the fleet has no council
	Unanswered                     // it has not answered yet
	Answered                       // its claims are among those known
)

// ConfirmTimeout is how long an agent whose record is intact waits for the council before it follows
// its own record: record and copy may both have been restored from a backup, and only others
// can detect that.
const ConfirmTimeout = 3 * time.Second

// Claim is the desired state of an instance according to one source. The higher generation is
// the newer.
type Claim struct {
	Source     string
	Up         bool
	Generation uint64
	Program    string // see protocol.Instance
}

func (w Claim) String() string {
	is := "down"
	if w.Up {
		is = "up"
	}
	if w.Program != "" {
		is += " with program " + w.Program
	}
	return fmt.Sprintf("%s says %s at generation %d", w.Source, is, w.Generation)
}

// Facts are the inputs of a decision on one instance.
type Facts struct {
	Record         RecordState
	FirstStart     bool // the operator declares the fleet's first start
	Council        CouncilState
	KnownToCouncil bool    // the council has a record of this agent
	Claims         []Claim // all that are available, including the agent's own
	Running        bool
	Elapsed        time.Duration // since the agent started
	// StartAfter is the group's policy for an unknown desired state: start the instance after
	// this time; 0 holds it.
	StartAfter time.Duration
}

// Action is what an agent may do with an instance.
type Action int

// The actions.
const (
	Follow       Action = iota // apply the decision's claim
	AwaitCouncil               // wait for the council, until the decision's Until if that is set
	Hold                       // do nothing until an operator decides
)

// Decision is the action with its reason.
type Decision struct {
	Action Action
	Claim  Claim         // Follow
	Until  time.Duration // AwaitCouncil, Hold: since the agent started, when to decide again; 0: never
	Reason string
}

// Decide decides on an instance.
func Decide(f Facts) Decision {
	newest, known, conflicting := newestClaim(f.Claims)
	if conflicting != nil && !(f.Council == Unanswered && f.Elapsed < ConfirmTimeout) {
		return Decision{Action: Hold, Reason: fmt.Sprintf("%v, but %v: choose one with otterctl recovery decide", newest, *conflicting)}
	}
	switch {
	case f.Record == Intact && f.Council == Unanswered && f.Elapsed < ConfirmTimeout:
		return Decision{Action: AwaitCouncil, Until: ConfirmTimeout, Reason: "waiting for the council to confirm the agent's record"}
	case f.Record == Intact && known:
		return Decision{Action: Follow, Claim: newest, Reason: newest.String()}
	case f.Record == Intact:
		return Decision{Action: Follow, Claim: Claim{Source: "the agent's file", Up: true}, Reason: "the instance is new in the agent's configuration file"}
	case f.Record == Empty && f.FirstStart && !(f.Council == Answered && f.KnownToCouncil):
		return Decision{Action: Follow, Claim: Claim{Source: "the operator", Up: true}, Reason: "the operator declares the first start"}
	case f.Record == Empty && f.Council == Answered && !f.KnownToCouncil:
		return Decision{Action: Follow, Claim: Claim{Source: "the council", Up: true}, Reason: "the council has no record of this agent"}
	case f.Council == Unanswered:
		return applyGroupPolicy(f, newest, known, AwaitCouncil, "the agent's record is "+f.Record.String()+", and the council has not answered yet")
	case known:
		return Decision{Action: Follow, Claim: newest, Reason: newest.String()}
	}
	return applyGroupPolicy(f, newest, known, Hold, "the agent's record is "+f.Record.String()+", and nobody knows the desired state")
}

// applyGroupPolicy applies the group's policy. No policy starts an instance whose newest claim is down.
func applyGroupPolicy(f Facts, newest Claim, known bool, do Action, why string) Decision {
	switch {
	case known && !newest.Up:
		return Decision{Action: do, Reason: why + "; " + newest.String()}
	case f.StartAfter == 0:
		return Decision{Action: do, Reason: why}
	case f.Elapsed < f.StartAfter:
		return Decision{Action: do, Until: f.StartAfter, Reason: fmt.Sprintf("%s; started after %v by the group's policy", why, f.StartAfter)}
	}
	return Decision{Action: Follow, Claim: Claim{Source: "the group's policy", Up: true, Generation: newest.Generation}, Reason: fmt.Sprintf("%s for %v: started by the group's policy", why, f.StartAfter)}
}

// newestClaim returns the claim of the highest generation, and another one of that generation that
// contradicts it.
func newestClaim(words []Claim) (newest Claim, known bool, conflicting *Claim) {
	for _, w := range words {
		switch {
		case !known || w.Generation > newest.Generation:
			newest, known, conflicting = w, true, nil
		case w.Generation == newest.Generation && (w.Up != newest.Up || w.Program != newest.Program):
			conflicting = &w
		}
	}
	return newest, known, conflicting
}
