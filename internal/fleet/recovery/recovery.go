// Package recovery decides what an agent may do with an instance when the agent's own record may
// be lost: given the known claims about the desired state, their sources and the time waited, to
// follow a claim, to wait for the council, or to hold. It does no I/O and has no clock.
package recovery

import (
	"fmt"
	"time"
)

// Memory is the condition of an agent's own record.
type Memory int

// The conditions of a record.
const (
	Whole Memory = iota // record and copy agree that it is the latest
	Older               // the record is older than its copy, as after restoring a disk from a backup
	Lost                // a record existed and is missing or damaged
	Blank               // neither record nor copy exists: a first start, or both were lost
)

func (m Memory) String() string {
	return [...]string{"whole", "older than its copy", "lost", "blank"}[m]
}

// Council is whether the fleet's council has answered.
type Council int

// The states of the council's answer.
const (
	None     Council = iota // the fleet has no council
	Silent                  // it has not answered yet
	Answered                // its claims are among those known
)

// ConfirmTimeout is how long an agent whose record is intact waits for the council before it follows
// its own record: record and copy may both have been restored from a backup, and only others
// can detect that.
const ConfirmTimeout = 3 * time.Second

// Word is the desired state of an instance according to one source. The higher generation is
// the newer.
type Word struct {
	Source     string
	Up         bool
	Generation uint64
	Program    string // see protocol.Instance
}

func (w Word) String() string {
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
	Memory  Memory
	First   bool // the operator declares the fleet's first start
	Council Council
	Known   bool   // the council has a record of this agent
	Words   []Word // all that are available, including the agent's own
	Runs    bool
	Elapsed time.Duration // since the agent started
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

// Verdict is the action with its reason.
type Verdict struct {
	Do    Action
	Word  Word          // Follow
	Until time.Duration // AwaitCouncil, Hold: since the agent started, when to decide again; 0: never
	Why   string
}

// Decide decides on an instance.
func Decide(f Facts) Verdict {
	newest, known, conflicting := newestClaim(f.Words)
	if conflicting != nil && !(f.Council == Silent && f.Elapsed < ConfirmTimeout) {
		return Verdict{Do: Hold, Why: fmt.Sprintf("%v, but %v: choose one with otterctl recovery decide", newest, *conflicting)}
	}
	switch {
	case f.Memory == Whole && f.Council == Silent && f.Elapsed < ConfirmTimeout:
		return Verdict{Do: AwaitCouncil, Until: ConfirmTimeout, Why: "waiting for the council to confirm the agent's record"}
	case f.Memory == Whole && known:
		return Verdict{Do: Follow, Word: newest, Why: newest.String()}
	case f.Memory == Whole:
		return Verdict{Do: Follow, Word: Word{Source: "the agent's file", Up: true}, Why: "the instance is new in the agent's configuration file"}
	case f.Memory == Blank && f.First && !(f.Council == Answered && f.Known):
		return Verdict{Do: Follow, Word: Word{Source: "the operator", Up: true}, Why: "the operator declares the first start"}
	case f.Memory == Blank && f.Council == Answered && !f.Known:
		return Verdict{Do: Follow, Word: Word{Source: "the council", Up: true}, Why: "the council has no record of this agent"}
	case f.Council == Silent:
		return applyGroupPolicy(f, newest, known, AwaitCouncil, "the agent's record is "+f.Memory.String()+", and the council has not answered yet")
	case known:
		return Verdict{Do: Follow, Word: newest, Why: newest.String()}
	}
	return applyGroupPolicy(f, newest, known, Hold, "the agent's record is "+f.Memory.String()+", and nobody knows the desired state")
}

// applyGroupPolicy applies the group's policy. No policy starts an instance whose newest claim is down.
func applyGroupPolicy(f Facts, newest Word, known bool, do Action, why string) Verdict {
	switch {
	case known && !newest.Up:
		return Verdict{Do: do, Why: why + "; " + newest.String()}
	case f.StartAfter == 0:
		return Verdict{Do: do, Why: why}
	case f.Elapsed < f.StartAfter:
		return Verdict{Do: do, Until: f.StartAfter, Why: fmt.Sprintf("%s; started after %v by the group's policy", why, f.StartAfter)}
	}
	return Verdict{Do: Follow, Word: Word{Source: "the group's policy", Up: true, Generation: newest.Generation}, Why: fmt.Sprintf("%s for %v: started by the group's policy", why, f.StartAfter)}
}

// newestClaim returns the claim of the highest generation, and another one of that generation that
// contradicts it.
func newestClaim(words []Word) (newest Word, known bool, conflicting *Word) {
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
