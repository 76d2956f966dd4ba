package life

import "time"

// What a platform grants a process between SIGTERM and SIGKILL: the longest deadline of a request, though
// no more than killMost of it counts, and killGrace more.
const (
	killMost  = 3 * time.Second
	killGrace = 700 * time.Millisecond
)

// AcceptFor is how long new connections go on coming to a process that was told to end: up to 0.4 s.
const AcceptFor = 450 * time.Millisecond

// How a process that was told to end divides its time. Clients go on using the connections that stay open,
// and on a tier of one can go nowhere else, so it serves until shortly before the kill.
const (
	closeAhead   = 50 * time.Millisecond  // of the kill: all connections are closed
	answersAhead = 100 * time.Millisecond // of the kill: answers are due
	idleAhead    = 220 * time.Millisecond // of the kill: connections without a request end
	behindAhead  = 320 * time.Millisecond // of the kill: answers end their connections, which nothing can cross
)

// Termination is the timetable of a process that was told to end. All times count from SIGTERM; each one
// but Accept is later than the one above it.
type Termination struct {
	Accept  time.Duration // new connections come until then
	Behind  time.Duration // answers close their connections from then on
	Idle    time.Duration // connections without a request are closed then
	Answers time.Duration // whatever was taken has its answer by then
	Close   time.Duration // whatever is open still, as it never became whole or its client does not read, is closed
	Kill    time.Duration // SIGKILL comes no sooner
}

// Terminate makes the timetable for a process whose requests wait for longest at most.
func Terminate(longest time.Duration) Termination {
	kill := min(longest, killMost) + killGrace
	return Termination{
		Accept: AcceptFor, Behind: kill - behindAhead, Idle: kill - idleAhead, Answers: kill - answersAhead,
		Close: kill - closeAhead, Kill: kill,
	}
}
