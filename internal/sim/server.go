package sim

import (
	"math/rand/v2"
	"time"

	"otterstep/internal/rulecheck"
	"otterstep/policy"
)

// ServerOptions describe a server that processes Parallel requests at once in FIFO order,
// with a bounded queue (M/G/c/K in Kendall's notation if arrivals are Poisson).
type ServerOptions struct {
	Entry    policy.Entry // its entry in the server list
	Addr     string
	Parallel int
	Queue    int                  // queue capacity; beyond it requests are rejected without being run
	Service  map[int]Distribution // service times by class
	Rules    policy.Rules         // how it behaves while cold
}

// Server is a model of an application server.
type Server struct {
	opt     ServerOptions
	engine  *Engine
	rng     *rand.Rand
	checker *Checker

	listed      policy.Entry  // as currently listed by discovery
	flapEpoch   int           // incremented whenever flapping begins or ends
	started     time.Duration // its latest start; 0: long ago
	incarnation int           // incremented by each crash; work from before is lost
	busy        int
	queue       []*job
	jobs        []*job // all requests that it holds, queued or running

	down  bool
	hang  bool
	slow  float64 // slowdown factor
	fails float64 // share of requests that are answered with an immediate error
	mute  bool    // its machine is unreachable: incoming messages are lost

	coldWork        float64 // decaying sum of the work received while cold
	coldWorkAt      time.Duration
	overloadedSince time.Duration
	// peakColdLoad is the peak load while it was cold, as a fraction of the load that makes it
	// fall over.
	peakColdLoad float64
	cold         rulecheck.ColdLoad // excess load while it was cold
	meanWork     float64            // mean work over the classes, in seconds
	work         time.Duration      // total work done, for the report
	ran          int64
}

// job is a request at a server. Exactly one of done and onCrash is called, unless the server
// hangs or is mute.
type job struct {
	class   int
	record  *record
	done    func(policy.Status)
	onCrash func()
	index   int // index in Server.jobs
}

func (s *Server) addJob(j *job) {
	j.index = len(s.jobs)
	s.jobs = append(s.jobs, j)
}

func (s *Server) finishJob(j *job, status policy.Status) {
	last := s.jobs[len(s.jobs)-1]
	s.jobs[j.index], last.index = last, j.index
	s.jobs = s.jobs[:len(s.jobs)-1]
	if !s.mute {
		j.done(status)
	}
}

// NewServer creates a server that has been running since o.Entry.Started.
func NewServer(o ServerOptions, e *Engine, rng *rand.Rand, l *Checker) *Server {
	s := &Server{opt: o, engine: e, rng: rng, checker: l, slow: 1, started: o.Entry.Started}
	for class := range len(o.Service) { // in a fixed order, as floating-point rounding depends on it
		s.meanWork += o.Service[class].Mean.Seconds() / float64(len(o.Service))
	}
	return s
}

// capacityShare returns the fraction of its full capacity that the server has now; below 1 while it
// is cold.
func (s *Server) capacityShare() float64 {
	r := s.opt.Rules
	age := s.engine.Now() - s.started
	if s.started <= 0 || age >= r.ColdFor {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*age.Seconds()/r.ColdFor.Seconds()
}

// receive accepts a request that has arrived completely.
func (s *Server) receive(j *job) {
	if s.mute {
		return
	}
	s.addJob(j)
	switch {
	case s.hang:
		s.checker.ran(j.record, s)
		return
	case s.fails > 0 && s.rng.Float64() < s.fails:
		s.checker.ran(j.record, s)
		s.finishJob(j, policy.Error)
		return
	}
	if s.recordColdWork(j); s.down {
		return
	}
	switch {
	case s.busy < s.opt.Parallel:
		s.serve(j)
	case len(s.queue) < s.opt.Queue:
		s.queue = append(s.queue, j)
	default:
		s.finishJob(j, policy.Full)
	}
}

func (s *Server) serve(j *job) {
	if !s.checker.ran(j.record, s) {
		s.finishJob(j, policy.OK) // a repeat gets the answer to the original
		return
	}
	s.busy++
	s.ran++
	took := time.Duration(float64(s.opt.Service[j.class].Draw(s.rng)) * s.slow / s.capacityShare())
	incarnation := s.incarnation
	s.engine.After(took, func() {
		if s.incarnation != incarnation {
			return
		}
		s.busy--
		s.work += took
		if !s.hang {
			s.finishJob(j, policy.OK)
		}
		if len(s.queue) > 0 && s.busy < s.opt.Parallel {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.serve(next)
		}
	})
}

// recordColdWork records work that arrives while the server is cold. If the load exceeds
// Rules.FallMultiple of the server's current capacity for Rules.FallFor, the server falls
// over, which violates the rule that no cold server is pushed over.
func (s *Server) recordColdWork(j *job) {
	now := s.engine.Now()
	share := s.capacityShare()
	if share >= 1 {
		s.overloadedSince = 0
		s.cold.Restart()
		return
	}
	s.cold.Add(now, s.opt.Rules.FallFor, s.opt.Service[j.class].Mean.Seconds()/s.meanWork,
		s.opt.Rules.FallMultiple*float64(s.opt.Parallel)*share*s.opt.Rules.FallFor.Seconds()/s.meanWork)
	window := s.opt.Rules.FallFor.Seconds()
	if elapsed := (now - s.coldWorkAt).Seconds(); elapsed > 0 {
		s.coldWork *= max(0, 1-elapsed/window)
	}
	s.coldWorkAt = now
	s.coldWork += s.opt.Service[j.class].Mean.Seconds()
	capacity := float64(s.opt.Parallel) * share
	s.peakColdLoad = max(s.peakColdLoad, s.coldWork/window/(s.opt.Rules.FallMultiple*capacity))
	switch {
	case s.coldWork/window <= s.opt.Rules.FallMultiple*capacity:
		s.overloadedSince = 0
	case s.overloadedSince == 0:
		s.overloadedSince = now
	case now-s.overloadedSince >= s.opt.Rules.FallFor:
		s.checker.FellOver(s.opt.Addr)
		s.Crash()
	}
}

// Crash ends the process: its requests are lost, and connections to it are refused.
func (s *Server) Crash() {
	s.incarnation++
	lost := s.jobs
	s.down, s.hang, s.busy, s.queue, s.jobs = true, false, 0, nil, nil
	for _, j := range lost {
		j.onCrash()
	}
}

// Restart restarts the server, cold.
func (s *Server) Restart() {
	s.down, s.started, s.coldWork, s.overloadedSince = false, s.engine.Now(), 0, 0
	s.cold.Restart()
}
