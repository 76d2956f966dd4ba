package lifecycle

import "time"

// The platform sends SIGKILL killGrace after the longest request deadline has passed since SIGTERM; of that
// deadline at most maxCountedDeadline counts.
const (
	maxCountedDeadline = 3 * time.Second
	killGrace          = 700 * time.Millisecond
)

// AcceptWindow is how long a process that was told to end keeps accepting: new connections arrive for up to 0.4 s.
const AcceptWindow = 450 * time.Millisecond

// How a process that was told to end divides its time. Clients go on using open connections, and with a single
// node in the tier they have nowhere else to go, so the process serves until shortly before SIGKILL.
const (
	closeAllLead    = 50 * time.Millisecond  // before SIGKILL: all connections are closed
	answersDueLead  = 100 * time.Millisecond // before SIGKILL: answers are due
	closeIdleLead   = 220 * time.Millisecond // before SIGKILL: connections without a request are closed
	closeAnswerLead = 320 * time.Millisecond // before SIGKILL: answers close their connections, which no request can race with
)

// Termination is the shutdown timetable of a process. All times count from SIGTERM; each one but Accept
// is later than the one above it.
type Termination struct {
	Accept           time.Duration // end of the time in which new connections arrive
	CloseAfterAnswer time.Duration // from then on answers close their connections
	CloseIdle        time.Duration // connections without a request are closed
	AnswersDue       time.Duration // every accepted request has been answered
	CloseAll         time.Duration // remaining connections (incomplete requests, clients that do not read) are closed
	Kill             time.Duration // earliest time of SIGKILL
}

// PlanTermination returns the timetable for a process whose longest request deadline is longest.
func PlanTermination(longest time.Duration) Termination {
	kill := min(longest, maxCountedDeadline) + killGrace
	return Termination{
		Accept: AcceptWindow, CloseAfterAnswer: kill - closeAnswerLead, CloseIdle: kill - closeIdleLead, AnswersDue: kill - answersDueLead,
		CloseAll: kill - closeAllLead, Kill: kill,
	}
}
