package policy

import "time"

// ServerView is a Balancer's state of one listed server.
type ServerView struct {
	Entry
	Breaker  string        // closed, open or half-open
	ReopenIn time.Duration // open: until the next trial
	Score    float64       // as of the last update of the scores
	InFlight int           // attempts of this node only
	Success  float64       // share of the latest judged attempts that succeeded; 1 without any
	Judged   int           // number of these attempts, at most 100
}

// View is a Balancer's state for monitoring.
type View struct {
	Servers  []ServerView // ready ones, in the order of the list
	Open     int          // requests without a final answer
	Queued   int          // those of them that are queued for a server
	InFlight int          // attempts in flight
}

// Inspect returns a copy of the state. It has no side effects, so no later decision
// depends on whether it was called. It allocates a few words per ready server.
func (b *Balancer) Inspect(now time.Duration) View {
	v := View{Servers: make([]ServerView, 0, len(b.ready)), Open: len(b.unfinished), InFlight: b.inFlight}
	for _, r := range b.queue {
		if !r.done {
			v.Queued++
		}
	}
	for _, s := range b.ready {
		sv := ServerView{Entry: s.Entry, Score: s.score, InFlight: len(s.inFlight), Success: 1, Judged: s.judged}
		if s.judged > 0 {
			sv.Success = float64(s.successes) / float64(s.judged)
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
