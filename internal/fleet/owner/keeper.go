package owner

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/reconcile"
)

// countEvery is how often servers are counted, and what is left of bans.
const countEvery = time.Second

// Keeper is an agent that may come to own the duty of bringing the fleet to what it should be. What is next is
// package reconcile's to decide; here are the calls. Run it with Run.
type Keeper struct{ opt Options }

// NewKeeper makes one.
func NewKeeper(opt Options) *Keeper { return &Keeper{opt} }

// Run takes the duty whenever nobody has it, until ctx ends: somebody has to count the servers, also before
// anything was ever desired.
func (k *Keeper) Run(ctx context.Context) {
	take(ctx, k.opt, duty.Fleet, func() bool {
		_, ok := k.opt.Council.Known()
		return ok
	}, func(ctx context.Context, h *holding) {
		s := &stewardship{holding: h, seen: map[string]reconcile.Seen{}, busy: map[string]bool{}, answered: make(chan struct{}, 1)}
		for _, a := range k.opt.Fleet.All() {
			s.agents = append(s.agents, a.Name())
		}
		s.loop(ctx)
	})
}

// stewardship is one ownership of the duty Fleet.
type stewardship struct {
	*holding
	agents   []string
	is       *desired.State // as this agent's voter knows it
	counting reconcile.Countdown
	counted  time.Duration // when it was counted last, on the clock
	servers  int           // as written down last
	answered chan struct{}

	mu   sync.Mutex
	seen map[string]reconcile.Seen
	busy map[string]bool
}

// loop brings agents to the latest version until the tenure ends.
func (s *stewardship) loop(ctx context.Context) {
	every := time.NewTicker(decideEach)
	defer every.Stop()
	for {
		changed := s.opt.Council.Changed()
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		case <-s.answered:
		case <-changed:
		}
		if v, ok := s.opt.Council.Known(); !s.sees(v, ok) {
			continue
		}
		but := ^desired.Version(0)
		if s.is != nil {
			but = s.is.Document.Version
		}
		if is := s.opt.Council.KnownDesired(but); is != nil {
			s.is = is
		}
		if s.is == nil || !s.good() {
			continue
		}
		s.reach(ctx)
		if now := s.opt.Clock.Now(); now < s.counted || now-s.counted >= countEvery {
			s.counted = now
			s.count(ctx, now)
		}
	}
}

// reach begins the calls that are due.
func (s *stewardship) reach(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, step := range reconcile.Next(s.opt.Clock.Now(), s.is.Document.Version, s.agents, s.seen, s.busy) {
		order := protocol.FleetOrder{Version: s.is.Document.Version}
		if step.Tell {
			w := s.is.Word()
			w.Token = uint64(s.fence.Token)
			order.Word = &w
		}
		s.busy[step.Agent] = true
		a := s.opt.Fleet.Agent(step.Agent)
		s.work.Go(func() { s.call(ctx, a, order) })
	}
}

// call makes one call to an agent.
func (s *stewardship) call(ctx context.Context, a *client.Client, order protocol.FleetOrder) {
	s.opt.Step(BeforeWord, a.Name())
	asked := s.opt.Clock.Now()
	limit, cancel := context.WithTimeout(ctx, lookWithin)
	f, err := a.TellFleet(limit, order)
	cancel()
	if fenced(err) {
		s.lost(err)
	}
	s.opt.Step(AfterWord, a.Name())
	s.mu.Lock()
	is := s.seen[a.Name()]
	is.Asked, is.Tried, is.Err = asked, true, ""
	if err != nil {
		is.Err = err.Error()
	} else {
		is.At, is.Known, is.Fleet = asked, true, f
	}
	s.seen[a.Name()] = is
	delete(s.busy, a.Name())
	s.mu.Unlock()
	select {
	case s.answered <- struct{}{}:
	default: // it is known already that there is news
	}
}

// count ends bans whose time is over, and writes down what later owners are to know.
func (s *stewardship) count(ctx context.Context, now time.Duration) {
	over, left := s.counting.Count(now, s.is)
	for _, e := range over {
		e.Token = s.fence.Token
		end := desired.Change{ID: newID(), By: duty.Fleet, At: time.Now(), Note: "its time is over", End: &e}
		if _, err := s.opt.Council.Do(ctx, duty.Command{Change: &end}); err != nil {
			s.log.Warn("a ban whose time is over is not ended yet", "server", e.Server, "err", err)
		}
	}
	s.mu.Lock()
	servers := reconcile.Servers(now, s.seen)
	s.mu.Unlock()
	if servers == 0 || servers == s.is.Servers && servers == s.servers {
		servers = 0 // nothing new
	}
	if servers == 0 && len(left) == 0 {
		return
	}
	note := duty.Note{Token: s.fence.Token, Servers: servers, Left: left}
	if _, err := s.opt.Council.Do(ctx, duty.Command{Note: &note}); err != nil {
		s.log.Debug("what was counted is not written down yet", "err", err)
		return
	}
	if servers > 0 {
		s.servers, s.is.Servers = servers, servers
	}
}

func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	return protocol.NewID(time.Now(), binary.LittleEndian.Uint64(random[:]))
}
