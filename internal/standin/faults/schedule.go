package faults

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"otterstep/internal/fleet/owner"
)

// The kinds of faults.
const (
	Kill      = "kill"       // an agent, and start it again after For
	Stop      = "stop"       // an agent's process, SIGSTOP, and SIGCONT after For
	KillAt    = "kill-at"    // whichever agent comes to Step first; started again after For
	StopAt    = "stop-at"    // likewise, SIGSTOP and SIGCONT
	CutOff    = "cut-off"    // an agent from all others
	CutWay    = "cut-way"    // requests from one to another, or the answers
	HoldWay   = "hold-way"   // orders from one to another
	ResetWay  = "reset-way"  // streams from one to another
	DelayAll  = "delay-all"  // every way
	DiskFails = "disk-fails" // of an agent
	DiskSlow  = "disk-slow"
	ClockRate = "clock-rate" // of an agent, from then on
	ClockJump = "clock-jump"
	Submit    = "submit"    // a job
	Cancel    = "cancel"    // the latest job
	Pause     = "pause"     // the latest job, and resume it after For
	Lose      = "lose"      // What of an agent's memory, with its agent killed and started again after For
	PowerCut  = "power"     // likewise with its instances killed too
	HoldWord  = "hold-word" // the fleet's word from one to another
	NodeStop  = "node-stop" // a node's process, SIGSTOP, and SIGCONT after For
	NodeKill  = "node-kill" // a node's process; its agent starts another one
	Ban       = "ban"       // the fleet leaves a box out, for For if that is not 0
	Unban     = "unban"     // and ends one such ban
	Undo      = "undo"      // the latest change is taken back
)

// What an agent may lose. Old ones are put back as they were before the schedule began.
const (
	Nothing   = "nothing"
	Record    = "record"
	Copy      = "copy"
	Both      = "record and copy"
	OldRecord = "an old record"
	OldMemory = "an old record and copy"
	Store     = "the council's store"
	Folder    = "folder"
	All       = "folder and copy"
	OldFolder = "an old folder"
)

// Memories lists them; from storesFrom on they take a voter's store away, of which the council of
// three bears one.
var Memories = []string{Nothing, Record, Copy, Both, OldRecord, OldMemory, Store, Folder, All, OldFolder}

const storesFrom, foldersFrom = 6, 7

// Kinds lists them.
var Kinds = []string{Kill, Stop, KillAt, StopAt, CutOff, CutWay, HoldWay, ResetWay, DelayAll, DiskFails, DiskSlow, ClockRate, ClockJump, Submit, Cancel, Pause}

var steps = []string{owner.BeforeIntent, owner.BeforeSend, owner.AfterSend, owner.AfterEnd, owner.BetweenOrders}

// WordKinds are those between an operator's word on the fleet and the nodes.
var WordKinds = []string{Kill, Stop, StopAt, KillAt, CutOff, CutWay, HoldWord, ResetWay, DelayAll, DiskFails, ClockJump, NodeStop, NodeKill, NodeKill, Ban, Ban, Ban, Unban, Unban, Undo}

var wordSteps = []string{owner.BeforeWord, owner.AfterWord}

// Fault is one fault of a schedule.
type Fault struct {
	After time.Duration // since the fault before it began
	For   time.Duration
	Kind  string
	Agent int // counted from 0
	Other int
	Back  bool // the answers' direction
	Step  string
	Rate  float64
	Jump  time.Duration
	What  string // is lost
	Node  int    // counted from 0
	Box   int    // likewise
}

// String words a fault.
func (f Fault) String() string {
	a, b := fmt.Sprint("m", f.Agent+1), fmt.Sprint("m", f.Other+1)
	what := f.Kind
	switch f.Kind {
	case Kill, Stop, CutOff, DiskFails, DiskSlow:
		what += " " + a
	case KillAt, StopAt:
		what += " " + f.Step
	case CutWay:
		what += " " + a + " to " + b
		if f.Back {
			what += ", answers"
		}
	case HoldWay, ResetWay, HoldWord:
		what += " " + a + " to " + b
	case Lose, PowerCut:
		what += " " + a + " and " + f.What
	case NodeStop, NodeKill:
		what += fmt.Sprint(" n", f.Node+1)
	case Ban:
		what += fmt.Sprint(" s", f.Box+1)
	case ClockRate:
		what += fmt.Sprintf(" %s %.2f", a, f.Rate)
	case ClockJump:
		what += fmt.Sprintf(" %s %v", a, f.Jump)
	}
	if f.For > 0 {
		what += " for " + f.For.String()
	}
	return fmt.Sprintf("+%v %s", f.After, what)
}

// Schedule is faults one after the other; they may overlap.
type Schedule []Fault

// String words a schedule, a line a fault.
func (s Schedule) String() string {
	var b strings.Builder
	for _, f := range s {
		b.WriteString("    " + f.String() + "\n")
	}
	return b.String()
}

// Draw makes the schedule of a seed: n faults among some agents, whose lease sets how long
// they take. It begins with a job. With losses a third of the faults take memory away, and the
// stores of less than a majority of voters.
func Draw(seed uint64, agents, n int, lease time.Duration, losses bool) Schedule {
	stream, stores := uint64(32), 0
	if losses {
		stream = 33
	}
	rng := rand.New(rand.NewPCG(seed, stream))
	span := func(from, to float64) time.Duration {
		return time.Duration((from + rng.Float64()*(to-from)) * float64(lease)).Round(time.Millisecond)
	}
	all := Schedule{{Kind: Submit}}
	for len(all) < n {
		f := Fault{After: span(0, 0.8), For: span(0.1, 2.5), Kind: Kinds[rng.IntN(len(Kinds))], Agent: rng.IntN(agents), Step: steps[rng.IntN(len(steps))]}
		if f.Kind == Cancel && rng.IntN(4) > 0 {
			f.Kind = Pause // a cancel leaves little to be disturbed
		}
		f.Other = (f.Agent + 1 + rng.IntN(agents-1)) % agents
		f.Back = rng.IntN(2) == 0
		if losses && rng.IntN(3) == 0 {
			f.Kind = []string{Lose, PowerCut}[rng.IntN(2)]
			what := rng.IntN(len(Memories))
			if what >= storesFrom {
				if stores++; stores > 1 {
					what %= storesFrom
				}
			}
			f.What = Memories[what]
			if what >= foldersFrom { // a folder does not go from under running instances
				f.Kind = PowerCut
			}
		}
		switch f.Kind {
		case ClockRate:
			f.Rate, f.For = 0.8+rng.Float64()*0.4, 0
		case ClockJump:
			f.Jump, f.For = time.Duration(rng.IntN(7200)-3600)*time.Second, 0
		case DelayAll:
			f.For /= 4
		case Submit, Cancel:
			f.For = 0
		}
		all = append(all, f)
		if f.Kind == Cancel {
			all = append(all, Fault{After: span(0, 0.2), Kind: Submit})
		}
	}
	return all
}

// DrawWords makes the schedule of a seed for the fleet's word: changes by operators, and faults between them and
// so many nodes, with so many boxes.
func DrawWords(seed uint64, agents, nodes, boxes, n int, lease time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 34))
	span := func(from, to float64) time.Duration {
		return time.Duration((from + rng.Float64()*(to-from)) * float64(lease)).Round(time.Millisecond)
	}
	all := Schedule{{Kind: Ban, Box: rng.IntN(boxes)}}
	for len(all) < n {
		f := Fault{
			After: span(0, 0.8), For: span(0.1, 2.5), Kind: WordKinds[rng.IntN(len(WordKinds))], Agent: rng.IntN(agents),
			Step: wordSteps[rng.IntN(len(wordSteps))], Node: rng.IntN(nodes), Box: rng.IntN(boxes), Back: rng.IntN(2) == 0,
		}
		f.Other = (f.Agent + 1 + rng.IntN(agents-1)) % agents
		switch f.Kind {
		case DelayAll:
			f.For /= 4
		case ClockJump:
			f.Jump, f.For = time.Duration(rng.IntN(7200)-3600)*time.Second, 0
		case Ban:
			if f.For = f.For.Round(time.Second) + time.Second; rng.IntN(2) == 0 {
				f.For = 0
			}
		case Unban, Undo, NodeKill:
			f.For = 0
		}
		all = append(all, f)
	}
	return all
}
