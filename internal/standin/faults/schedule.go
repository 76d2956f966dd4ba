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
	Kill      = "kill"       // kills an agent and restarts it after For
	Stop      = "stop"       // SIGSTOP to an agent's process, and SIGCONT after For
	KillAt    = "kill-at"    // kills the first agent that reaches Step and restarts it after For
	StopAt    = "stop-at"    // likewise with SIGSTOP and SIGCONT
	CutOff    = "cut-off"    // cuts an agent off from all others
	CutWay    = "cut-way"    // drops requests from one agent to another, or the answers
	HoldWay   = "hold-way"   // holds orders from one agent to another
	ResetWay  = "reset-way"  // resets streams from one agent to another
	DelayAll  = "delay-all"  // delays all streams between agents
	DiskFails = "disk-fails" // makes an agent's writes fail
	DiskSlow  = "disk-slow"  // makes an agent's writes slow
	ClockRate = "clock-rate" // changes the rate of an agent's clock for good
	ClockJump = "clock-jump" // makes an agent's clock jump
	Submit    = "submit"     // submits a job
	Cancel    = "cancel"     // cancels the latest job
	Pause     = "pause"      // pauses the latest job and resumes it after For
	Lose      = "lose"       // kills an agent, takes Loss from its stored state and restarts it after For
	PowerCut  = "power"      // likewise, and kills the agent's instances too
	HoldBans  = "hold-word"  // holds fleet-wide bans from one agent to another
	NodeStop  = "node-stop"  // SIGSTOP to a node's process, and SIGCONT after For
	NodeKill  = "node-kill"  // kills a node's process; its agent starts another one
	Ban       = "ban"        // bans a box fleet-wide, for For if that is not 0
	Unban     = "unban"      // ends one such ban
	Undo      = "undo"       // reverts the latest change
)

// The stored state that an agent may lose. Those called old are restored to their state before the
// schedule began.
const (
	Nothing          = "nothing"
	Record           = "record"
	Copy             = "copy"
	RecordAndCopy    = "record and copy"
	OldRecord        = "an old record"
	OldRecordAndCopy = "an old record and copy"
	Store            = "the council's store"
	Folder           = "folder"
	FolderAndCopy    = "folder and copy"
	OldFolder        = "an old folder"
)

// Losses lists the losses. Those from firstStoreLoss on remove a voter's store, which a council of
// three survives once; those from firstFolderLoss on affect the whole folder.
var Losses = []string{Nothing, Record, Copy, RecordAndCopy, OldRecord, OldRecordAndCopy, Store, Folder, FolderAndCopy, OldFolder}

const firstStoreLoss, firstFolderLoss = 6, 7

// Kinds lists the kinds of faults that Draw chooses from.
var Kinds = []string{Kill, Stop, KillAt, StopAt, CutOff, CutWay, HoldWay, ResetWay, DelayAll, DiskFails, DiskSlow, ClockRate, ClockJump, Submit, Cancel, Pause}

var commandSteps = []string{owner.BeforeIntent, owner.BeforeSend, owner.AfterSend, owner.AfterEnd, owner.BetweenOrders}

// BanKinds lists the kinds of faults that DrawBans chooses from; repeated ones are more likely.
var BanKinds = []string{Kill, Stop, StopAt, KillAt, CutOff, CutWay, HoldBans, ResetWay, DelayAll, DiskFails, ClockJump, NodeStop, NodeKill, NodeKill, Ban, Ban, Ban, Unban, Unban, Undo}

var banSteps = []string{owner.BeforeFleetCall, owner.AfterFleetCall}

// Fault is one fault of a schedule.
type Fault struct {
	After time.Duration // since the start of the previous fault
	For   time.Duration
	Kind  string
	Agent int // counted from 0
	Other int
	Back  bool // the direction of the answers
	Step  string
	Rate  float64
	Jump  time.Duration
	Loss  string // what is lost
	Node  int    // counted from 0
	Box   int    // likewise
}

// String describes a fault in a line.
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
	case HoldWay, ResetWay, HoldBans:
		what += " " + a + " to " + b
	case Lose, PowerCut:
		what += " " + a + " and " + f.Loss
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

// Schedule is a sequence of faults, which may overlap.
type Schedule []Fault

// String describes a schedule with one line per fault.
func (s Schedule) String() string {
	var b strings.Builder
	for _, f := range s {
		b.WriteString("    " + f.String() + "\n")
	}
	return b.String()
}

// Draw returns the schedule for a seed: at least n faults among agents, with durations in
// proportion to the lease. It begins with the submission of a job. With losses set, a third of the
// faults remove stored state, but the stores of less than a majority of voters.
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
		f := Fault{After: span(0, 0.8), For: span(0.1, 2.5), Kind: Kinds[rng.IntN(len(Kinds))], Agent: rng.IntN(agents), Step: commandSteps[rng.IntN(len(commandSteps))]}
		if f.Kind == Cancel && rng.IntN(4) > 0 {
			f.Kind = Pause // after a cancel there is little left to disturb
		}
		f.Other = (f.Agent + 1 + rng.IntN(agents-1)) % agents
		f.Back = rng.IntN(2) == 0
		if losses && rng.IntN(3) == 0 {
			f.Kind = []string{Lose, PowerCut}[rng.IntN(2)]
			what := rng.IntN(len(Losses))
			if what >= firstStoreLoss {
				if stores++; stores > 1 {
					what %= firstStoreLoss
				}
			}
			f.Loss = Losses[what]
			if what >= firstFolderLoss { // a folder is lost only when no instance is running
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

// DrawBans returns the schedule for a seed for the fleet's word (the fleet-wide bans): changes by operators, and
// faults on the way from them to the nodes.
func DrawBans(seed uint64, agents, nodes, boxes, n int, lease time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 34))
	span := func(from, to float64) time.Duration {
		return time.Duration((from + rng.Float64()*(to-from)) * float64(lease)).Round(time.Millisecond)
	}
	all := Schedule{{Kind: Ban, Box: rng.IntN(boxes)}}
	for len(all) < n {
		f := Fault{
			After: span(0, 0.8), For: span(0.1, 2.5), Kind: BanKinds[rng.IntN(len(BanKinds))], Agent: rng.IntN(agents),
			Step: banSteps[rng.IntN(len(banSteps))], Node: rng.IntN(nodes), Box: rng.IntN(boxes), Back: rng.IntN(2) == 0,
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
