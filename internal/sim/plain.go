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

// Policies are the words for what may decide in a node. Ours is the module; the others
// are what people pick instead, each with plain retries at once, and with "+budget" with
// retries of a fifth of the requests at most.
var Policies = []string{
	"ours", "random", "round-robin", "least", "two-choices", "peak-ewma",
	"random+budget", "round-robin+budget", "least+budget", "two-choices+budget", "peak-ewma+budget",
}

const (
	budgetShare = 0.2              // retries a request
	budgetMost  = 10.0             // saved up
	ewmaSpan    = 10 * time.Second // of peak EWMA's decay
	watchAgain  = time.Second      // after a call for the list that failed
)

// plain is a balancer as most libraries have it: a choice of server, a time-out for each
// attempt, retries at another server at once where a class may run twice.
type plain struct {
	world   *World
	rng     *rand.Rand
	choice  string
	budget  bool
	tokens  float64
	servers []*plainServer // ready, in the order of the list
	byID    map[policy.ServerID]*plainServer
	next    int
	pending map[*try]*plainTry
	timers  events
	made    uint64
	out     []act
}

type plainServer struct {
	entry policy.Entry
	out   int
	ewma  float64 // seconds
	at    time.Duration
}

type plainTry struct {
	attempts []*attempt
	ran      bool // it may have
	answered bool
}

// newBalancer makes what a policy's word names, for a node in a zone.
func newBalancer(w *World, word string, zone int, rng *rand.Rand) (balancer, error) {
	if word == "" || word == "ours" {
		return newOurs(w, zone, rng.Uint64())
	}
	if !slices.Contains(Policies, word) {
		return nil, fmt.Errorf("policy %q is none of %v", word, Policies)
	}
	p := &plain{world: w, rng: rng, choice: word, byID: map[policy.ServerID]*plainServer{}, pending: map[*try]*plainTry{}, tokens: budgetMost}
	if cut, ok := cutBudget(word); ok {
		p.choice, p.budget = cut, true
	}
	return p, nil
}

func cutBudget(word string) (string, bool) {
	const suffix = "+budget"
	if len(word) > len(suffix) && word[len(word)-len(suffix):] == suffix {
		return word[:len(word)-len(suffix)], true
	}
	return word, false
}

func (p *plain) members(now time.Duration, kind policy.ListKind, entries []policy.Entry, _ []string) {
	switch kind {
	case policy.ListFull:
		p.servers = nil
	case policy.ListCached:
		p.servers = nil
		p.out = append(p.out, act{watch: true})
	case policy.ListFailed:
		p.after(now+watchAgain, func() { p.out = append(p.out, act{watch: true}) })
	}
	for _, e := range entries {
		s := p.byID[e.Server]
		if s == nil {
			s = &plainServer{}
			p.byID[e.Server] = s
		}
		s.entry = e
		p.servers = slices.DeleteFunc(p.servers, func(o *plainServer) bool { return o == s })
		if e.State == policy.Ready {
			p.servers = append(p.servers, s)
		}
	}
}

func (p *plain) after(at time.Duration, do func()) {
	p.made++
	heap.Push(&p.timers, event{at, p.made, do})
}

func (p *plain) submit(now time.Duration, t *try) {
	p.tokens = min(budgetMost, p.tokens+budgetShare)
	q := &plainTry{}
	p.pending[t] = q
	p.after(t.deadline-4*time.Millisecond, func() { p.answer(t, q, core.Overdue) })
	p.send(now, t, q)
}

func (p *plain) left(_ time.Duration, t *try) {
	if q := p.pending[t]; q != nil {
		q.answered = true
		delete(p.pending, t)
	}
}

func (p *plain) answer(t *try, q *plainTry, kind core.Kind) {
	if q.answered {
		return
	}
	q.answered = true
	delete(p.pending, t)
	p.out = append(p.out, act{try: t, answer: core.Answer{Kind: kind, RetryAfter: map[core.Kind]time.Duration{core.Refused: p.world.settings.Limits.MaxRetryAfter}[kind]}})
}

// send makes the next attempt, or gives the final answer.
func (p *plain) send(now time.Duration, t *try, q *plainTry) {
	s := p.pick(now, q)
	if s == nil {
		kind := core.Failed
		if !q.ran {
			kind = core.Refused
		}
		p.answer(t, q, kind)
		return
	}
	a := &attempt{try: t, to: s.entry.Server, plain: s, sent: now}
	a.begin = func() bool { return !a.over }
	q.attempts = append(q.attempts, a)
	s.out++
	p.out = append(p.out, act{attempt: a})
	c := p.world.settings.Classes[t.class]
	wait := t.deadline - now
	if c.Effect != policy.Unsafe {
		wait = min(wait, c.Deadline/time.Duration(p.world.settings.Limits.MaxAttempts))
	}
	p.after(now+wait, func() { p.finished(now+wait, a, policy.Timeout) })
}

func (p *plain) finished(now time.Duration, a *attempt, status policy.Status) {
	if a.over {
		return
	}
	a.over = true
	s := a.plain
	s.out--
	took := (now - a.sent).Seconds()
	if status != policy.OK && status != policy.Timeout {
		took = max(took, p.world.settings.Classes[a.try.class].Aim.Seconds()) // a failure is no fast answer
	}
	gone := (now - s.at).Seconds()
	if s.at = now; took > s.ewma {
		s.ewma = took // peaks count at once
	} else {
		keep := math.Exp(-gone / ewmaSpan.Seconds())
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
	q.ran = q.ran || status != policy.Full && status != policy.ConnectFailed && status != policy.Moot
	again := len(q.attempts) < set.Limits.MaxAttempts && !(q.ran && set.Classes[a.try.class].Effect == policy.Unsafe)
	if again && p.budget {
		if again = p.tokens >= 1; again {
			p.tokens--
		}
	}
	if !again {
		kind := core.Failed
		if !q.ran {
			kind = core.Refused
		}
		p.answer(a.try, q, kind)
		return
	}
	p.send(now, a.try, q)
}

// pick chooses among the ready servers, but for those tried if there are others.
func (p *plain) pick(now time.Duration, q *plainTry) *plainServer {
	choices := slices.DeleteFunc(slices.Clone(p.servers), func(s *plainServer) bool {
		return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.plain == s })
	})
	if len(choices) == 0 {
		choices = p.servers
	}
	n := len(choices)
	if n == 0 {
		return nil
	}
	cost := func(s *plainServer) float64 { return float64(s.out) }
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
			if s := choices[(from+i)%n]; s.out < best.out {
				best = s
			}
		}
		return best
	case "peak-ewma":
		cost = func(s *plainServer) float64 {
			return s.ewma * math.Exp(-(now-s.at).Seconds()/ewmaSpan.Seconds()) * float64(s.out+1)
		}
	}
	a, b := choices[p.rng.IntN(n)], choices[p.rng.IntN(n)]
	if cost(b) < cost(a) {
		return b
	}
	return a
}

func (p *plain) tick(now time.Duration) bool {
	if len(p.timers) == 0 || p.timers[0].at > now {
		return false
	}
	heap.Pop(&p.timers).(event).do()
	return true
}

func (p *plain) due() (time.Duration, bool) {
	if len(p.timers) == 0 {
		return 0, false
	}
	return p.timers[0].at, true
}

func (p *plain) acts() []act {
	a := p.out
	p.out = nil
	return a
}
