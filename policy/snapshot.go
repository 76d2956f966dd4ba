package policy

import "time"

// ServerView is what a Balancer knows of a listed server.
type ServerView struct {
	Entry
	Breaker  string        // closed, open or half-open
	ReopenIn time.Duration // open: until the next trial
	Score    float64       // as of the last pick
	InFlight int           // this node's own attempts
	Success  float64       // share of the latest judged attempts that succeeded; 1 without any
	Judged   int           // how many these are, at most 100
}

// View is a Balancer's state for those who look on.
type View struct {
	Servers []ServerView // ready ones, in the order of the list
	Open    int          // requests without their final answer
	Held    int          // of these, those that wait for room
	Out     int          // attempts in flight
}

// Inspect copies the state without changing anything: no later decision depends on
// whether it was called. It costs a few words for each ready server.
func (b *Balancer) Inspect(now time.Duration) View {
	v := View{Servers: make([]ServerView, 0, len(b.ready)), Open: len(b.open), Out: b.out}
	for _, r := range b.held {
		if !r.done {
			v.Held++
		}
	}
	for _, s := range b.ready {
		sv := ServerView{Entry: s.Entry, Score: s.score, InFlight: len(s.out), Success: 1, Judged: s.kept}
		if s.kept > 0 {
			sv.Success = float64(s.good) / float64(s.kept)
		}
		switch s.breaker {
		case closed:
			sv.Breaker = "closed"
		case open:
			sv.Breaker, sv.ReopenIn = "open", max(0, s.reopenAt-now)
		case halfOpen:
			sv.Breaker = "half-open"
		}
		v.Servers = append(v.Servers, sv)
	}
	return v
}
