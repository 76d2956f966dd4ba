package sim

import (
	"math/rand/v2"
	"time"

	"otterstep/internal/ledger"
	"otterstep/policy"
)

// ServerOptions describe a server: Parallel requests at once, first come first served,
// with a queue behind that is bounded (an M/G/c/K queue in Kendall's notation when
// arrivals are Poisson).
type ServerOptions struct {
	Entry    policy.Entry // as discovery lists it
	Addr     string
	Parallel int
	Queue    int           // requests that wait; more are turned away unseen
	Service  map[int]Times // by class
	Rules    policy.Rules  // how a cold one behaves
}

// Server is a model of an application server.
type Server struct {
	opt    ServerOptions
	engine *Engine
	rng    *rand.Rand
	ledger *Ledger

	listed  policy.Entry  // as discovery has it now
	flaps   int           // grows as flapping begins and ends
	started time.Duration // its latest start; 0: long ago
	life    int           // grows with each crash: what was there before has gone
	busy    int
	queue   []*job
	inside  []*job // those that it has, in whatever state

	down  bool
	hang  bool
	slow  float64 // its work takes so many times longer
	fails float64 // share that is answered with an error at once
	mute  bool    // its machine is silent: what comes is lost

	pushed    float64 // work that came while it was cold, decaying
	pushedAt  time.Duration
	overSince time.Duration
	// pushedMost is the most that came while it was cold, as a part of what pushes it over.
	pushedMost float64
	cold       ledger.Cold   // what came while it was cold
	mean       float64       // of the classes' work, in seconds
	work       time.Duration // done so far, for the report
	ran        int64
}

// job is a request at a server. One of done and broken is called, once, unless the
// server hangs or its machine falls silent.
type job struct {
	class  int
	req    *record
	done   func(policy.Status)
	broken func() // the server died under it
	at     int    // among those inside
}

func (s *Server) enter(j *job) {
	j.at = len(s.inside)
	s.inside = append(s.inside, j)
}

func (s *Server) leave(j *job, status policy.Status) {
	last := s.inside[len(s.inside)-1]
	s.inside[j.at], last.at = last, j.at
	s.inside = s.inside[:len(s.inside)-1]
	if !s.mute {
		j.done(status)
	}
}

// NewServer makes one that has been up for long.
func NewServer(o ServerOptions, e *Engine, rng *rand.Rand, l *Ledger) *Server {
	s := &Server{opt: o, engine: e, rng: rng, ledger: l, slow: 1, started: o.Entry.Started}
	for class := range len(o.Service) { // in their order: a sum's last bits hang on it
		s.mean += o.Service[class].Mean.Seconds() / float64(len(o.Service))
	}
	return s
}

// share is the part of its capacity that it has while it is cold.
func (s *Server) share() float64 {
	r := s.opt.Rules
	age := s.engine.Now() - s.started
	if s.started <= 0 || age >= r.ColdFor {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*age.Seconds()/r.ColdFor.Seconds()
}

// receive takes a request that has come whole.
func (s *Server) receive(j *job) {
	if s.mute {
		return
	}
	s.enter(j)
	switch {
	case s.hang:
		s.ledger.ran(j.req, s)
		return
	case s.fails > 0 && s.rng.Float64() < s.fails:
		s.ledger.ran(j.req, s)
		s.leave(j, policy.Error)
		return
	}
	if s.push(j); s.down {
		return
	}
	switch {
	case s.busy < s.opt.Parallel:
		s.serve(j)
	case len(s.queue) < s.opt.Queue:
		s.queue = append(s.queue, j)
	default:
		s.leave(j, policy.Full)
	}
}

func (s *Server) serve(j *job) {
	if !s.ledger.ran(j.req, s) {
		s.leave(j, policy.OK) // a repeat gets the answer of the first
		return
	}
	s.busy++
	s.ran++
	took := time.Duration(float64(s.opt.Service[j.class].Draw(s.rng)) * s.slow / s.share())
	life := s.life
	s.engine.After(took, func() {
		if s.life != life {
			return
		}
		s.busy--
		s.work += took
		if !s.hang {
			s.leave(j, policy.OK)
		}
		if len(s.queue) > 0 && s.busy < s.opt.Parallel {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.serve(next)
		}
	})
}

// push notes work that comes while the server is cold. Over the multiple of what it can
// do now for as long as the rules say, it falls over: the fourth rule is broken.
func (s *Server) push(j *job) {
	now := s.engine.Now()
	share := s.share()
	if share >= 1 {
		s.overSince = 0
		s.cold.Restart()
		return
	}
	s.cold.Add(now, s.opt.Rules.FallFor, s.opt.Service[j.class].Mean.Seconds()/s.mean,
		s.opt.Rules.FallMultiple*float64(s.opt.Parallel)*share*s.opt.Rules.FallFor.Seconds()/s.mean)
	span := s.opt.Rules.FallFor.Seconds()
	if gone := (now - s.pushedAt).Seconds(); gone > 0 {
		s.pushed *= max(0, 1-gone/span)
	}
	s.pushedAt = now
	s.pushed += s.opt.Service[j.class].Mean.Seconds()
	able := float64(s.opt.Parallel) * share
	s.pushedMost = max(s.pushedMost, s.pushed/span/(s.opt.Rules.FallMultiple*able))
	switch {
	case s.pushed/span <= s.opt.Rules.FallMultiple*able:
		s.overSince = 0
	case s.overSince == 0:
		s.overSince = now
	case now-s.overSince >= s.opt.Rules.FallFor:
		s.ledger.Fell(s.opt.Addr)
		s.Crash()
	}
}

// Crash ends the process: what it held is gone, connections to it are refused.
func (s *Server) Crash() {
	s.life++
	lost := s.inside
	s.down, s.hang, s.busy, s.queue, s.inside = true, false, 0, nil, nil
	for _, j := range lost {
		j.broken()
	}
}

// Return starts it again, cold.
func (s *Server) Return() {
	s.down, s.started, s.pushed, s.overSince = false, s.engine.Now(), 0, 0
	s.cold.Restart()
}
