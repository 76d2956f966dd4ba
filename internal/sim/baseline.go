package sim

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"otterstep/internal/core"
	"otterstep/policy"
)

// Policies lists the balancing policies of nodes. "ours" is the decision module; the others
// are common baselines with immediate retries, and those with "+budget" limit retries to a
// fifth of the requests.
var Policies = []string{
	"ours", "random", "round-robin", "least", "two-choices", "peak-ewma",
	"random+budget", "round-robin+budget", "least+budget", "two-choices+budget", "peak-ewma+budget",
}

const (
	retryTokensPerRequest = 0.2              // retry tokens earned per request
	maxRetryTokens        = 10.0             // most tokens that can accumulate
	ewmaDecay             = 10 * time.Second // decay time constant of peak EWMA
	watchRetryInterval    = time.Second      // retry interval after a failed call for the server list
)

// baseline is a baseline balancer like those of common libraries: it chooses a server, limits
// each attempt by a time-out, and retries immediately at another server if the class may run
// twice.
type baseline struct {
	world          *World
	rng            *rand.Rand
	choice         string
	budget         bool
	tokens         float64
	servers        []*baselineServer // ready ones, in list order
	byID           map[policy.ServerID]*baselineServer
	next           int
	pending        map[*try]*baselineTry
	timers         eventQueue
	timersCreated  uint64
	pendingActions []action
}

type baselineServer struct {
	entry     policy.Entry
	inFlight  int
	ewma      float64 // seconds
	updatedAt time.Duration
}

type baselineTry struct {
	attempts   []*attempt
	mayHaveRun bool // a server may have run it
	answered   bool
}

// newBalancer creates the balancer with the named policy for a node in the given zone.
func newBalancer(w *World, name string, zone int, rng *rand.Rand) (balancer, error) {
	if name == "" || name == "ours" {
		return newMachineBalancer(w, zone, rng.Uint64())
	}
	if !slices.Contains(Policies, name) {
		return nil, fmt.Errorf("policy %q is none of %v", name, Policies)
	}
	p := &baseline{world: w, rng: rng, choice: name, byID: map[policy.ServerID]*baselineServer{}, pending: map[*try]*baselineTry{}, tokens: maxRetryTokens}
	if cut, ok := cutBudget(name); ok {
		p.choice, p.budget = cut, true
	}
	return p, nil
}

func cutBudget(name string) (string, bool) {
	const suffix = "+budget"
	if len(name) > len(suffix) && name[len(name)-len(suffix):] == suffix {
		return name[:len(name)-len(suffix)], true
	}
	return name, false
}

func (p *baseline) members(now time.Duration, kind policy.ListKind, entries []policy.Entry, _ []string) {
	switch kind {
	case policy.ListFull:
		p.servers = nil
	case policy.ListCached:
		p.servers = nil
		p.pendingActions = append(p.pendingActions, action{watch: true})
	case policy.ListFailed:
		p.after(now+watchRetryInterval, func() { p.pendingActions = append(p.pendingActions, action{watch: true}) })
	}
	for _, e := range entries {
		s := p.byID[e.Server]
		if s == nil {
			s = &baselineServer{}
			p.byID[e.Server] = s
		}
		s.entry = e
		p.servers = slices.DeleteFunc(p.servers, func(o *baselineServer) bool { return o == s })
		if e.State == policy.Ready {
			p.servers = append(p.servers, s)
		}
	}
}

func (p *baseline) after(at time.Duration, do func()) {
	p.timersCreated++
	heap.Push(&p.timers, event{at, p.timersCreated, do})
}

func (p *baseline) submit(now time.Duration, t *try) {
	p.tokens = min(maxRetryTokens, p.tokens+retryTokensPerRequest)
	q := &baselineTry{}
	p.pending[t] = q
	p.after(t.deadline-4*time.Millisecond, func() { p.answer(t, q, core.DeadlineExceeded) })
	p.send(now, t, q)
}

func (p *baseline) clientGone(_ time.Duration, t *try) {
	if q := p.pending[t]; q != nil {
		q.answered = true
		delete(p.pending, t)
	}
}

func (p *baseline) answer(t *try, q *baselineTry, kind core.Outcome) {
	if q.answered {
		return
	}
	q.answered = true
	delete(p.pending, t)
	p.pendingActions = append(p.pendingActions, action{try: t, answer: core.Answer{Outcome: kind, RetryAfter: map[core.Outcome]time.Duration{core.Refused: p.world.settings.Limits.MaxRetryAfter}[kind]}})
}

// send starts the next attempt, or gives the final answer if no server is available.
func (p *baseline) send(now time.Duration, t *try, q *baselineTry) {
	s := p.pick(now, q)
	if s == nil {
		kind := core.Failed
		if !q.mayHaveRun {
			kind = core.Refused
		}
		p.answer(t, q, kind)
		return
	}
	a := &attempt{try: t, to: s.entry.Server, server: s, sent: now}
	a.begin = func() bool { return !a.ended }
	q.attempts = append(q.attempts, a)
	s.inFlight++
	p.pendingActions = append(p.pendingActions, action{attempt: a})
	c := p.world.settings.Classes[t.class]
	wait := t.deadline - now
	if c.Effect != policy.Unsafe {
		wait = min(wait, c.Deadline/time.Duration(p.world.settings.Limits.MaxAttempts))
	}
	p.after(now+wait, func() { p.finished(now+wait, a, policy.Timeout) })
}

func (p *baseline) finished(now time.Duration, a *attempt, status policy.Status) {
	if a.ended {
		return
	}
	a.ended = true
	s := a.server
	s.inFlight--
	took := (now - a.sent).Seconds()
	if status != policy.OK && status != policy.Timeout {
		took = max(took, p.world.settings.Classes[a.try.class].Aim.Seconds()) // do not let a fast failure count as a fast answer
	}
	elapsed := (now - s.updatedAt).Seconds()
	if s.updatedAt = now; took > s.ewma {
		s.ewma = took // peaks take effect immediately
	} else {
		keep := math.Exp(-elapsed / ewmaDecay.Seconds())
		s.ewma = s.ewma*keep + took*(1-keep)
	}
	q := p.pending[a.try]
	if q == nil {
		return
	}
	if status == policy.OK {
		p.answer(a.try, q, core.Served)
		return
	}
	set := p.world.settings
	q.mayHaveRun = q.mayHaveRun || status != policy.Full && status != policy.ConnectFailed && status != policy.NotSent
	again := len(q.attempts) < set.Limits.MaxAttempts && !(q.mayHaveRun && set.Classes[a.try.class].Effect == policy.Unsafe)
	if again && p.budget {
		if again = p.tokens >= 1; again {
			p.tokens--
		}
	}
	if !again {
		kind := core.Failed
		if !q.mayHaveRun {
			kind = core.Refused
		}
		p.answer(a.try, q, kind)
		return
	}
	p.send(now, a.try, q)
}

// pick chooses a ready server, preferring those that the request has not tried yet.
func (p *baseline) pick(now time.Duration, q *baselineTry) *baselineServer {
	choices := slices.DeleteFunc(slices.Clone(p.servers), func(s *baselineServer) bool {
		return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.server == s })
	})
	if len(choices) == 0 {
		choices = p.servers
	}
	n := len(choices)
	if n == 0 {
		return nil
	}
	cost := func(s *baselineServer) float64 { return float64(s.inFlight) }
	switch p.choice {
	case "random":
		return choices[p.rng.IntN(n)]
	case "round-robin":
		p.next++
		return choices[p.next%n]
	case "least":
		from := p.rng.IntN(n) // ties are broken at random
		best := choices[from]
		for i := range n {
			if s := choices[(from+i)%n]; s.inFlight < best.inFlight {
				best = s
			}
		}
		return best
	case "peak-ewma":
		cost = func(s *baselineServer) float64 {
			return s.ewma * math.Exp(-(now-s.updatedAt).Seconds()/ewmaDecay.Seconds()) * float64(s.inFlight+1)
		}
	}
	a, b := choices[p.rng.IntN(n)], choices[p.rng.IntN(n)]
	if cost(b) < cost(a) {
		return b
	}
	return a
}

func (p *baseline) tick(now time.Duration) bool {
	if len(p.timers) == 0 || p.timers[0].at > now {
		return false
	}
	heap.Pop(&p.timers).(event).do()
	return true
}

func (p *baseline) due() (time.Duration, bool) {
	if len(p.timers) == 0 {
		return 0, false
	}
	return p.timers[0].at, true
}

func (p *baseline) actions() []action {
	a := p.pendingActions
	p.pendingActions = nil
	return a
}
