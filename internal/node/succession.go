package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"otterstep/internal/cordon"
	"otterstep/internal/fleet/record"
	"otterstep/internal/handover"
	"otterstep/internal/life"
	"otterstep/internal/unixsock"
)

const (
	holdsEvery   = 10 * time.Millisecond // how often a process that gives lets go, and tells what it has left
	givingIdle   = 4                     // connections to servers that it keeps beside those in use
	confirmed    = time.Second           // the predecessor may take to confirm that it gives
	leastCarried = 8                     // descriptors for clients or servers, whatever the other process holds
)

// succession makes this process and another one, from which it takes over or to which it
// hands over, one node. A node that opens its own listening socket has none.
type succession struct {
	cfg     Config
	gate    *handover.Gate
	ops     *operations
	clients *clients
	pool    *upstream
	front   *front
	log     *slog.Logger
	path    string      // of the Unix socket
	kept    *record.Log // what operators said, for a process that finds no other one; nil: it can't be kept

	ending atomic.Bool // nothing is accepted here any more, whatever the role

	mu    sync.Mutex
	role  handover.Role
	link  *handover.Link // nil while the process is alone
	holds handover.Holds // of the other one
}

// begin finds out what was there before: what operators said is in force ahead of the first
// request. No error keeps the node from serving.
func (s *succession) begin(ctx context.Context, dir string) {
	s.ops.passOn = s.tell
	s.ops.keep = s.keep
	if dir == "" {
		s.log.Warn("no handover: $TMPDIR is not set, so that processes can't meet")
		return
	}
	base := filepath.Join(dir, "otterstep-"+url.PathEscape(s.cfg.Name))
	if len(base)+len(".sock"+unixsock.Fresh) > unixsock.PathMost {
		s.log.Warn("no handover: $TMPDIR is too long for a Unix socket", "path", base, "most", unixsock.PathMost)
		return
	}
	s.path = base + ".sock"
	s.recall(base + ".hand")
	defer s.keep() // a damaged file was put aside, and the other process may know more
	link, err := handover.Dial(s.path, s.state())
	if err != nil {
		s.log.Error("the process that serves can't be asked; it and this one act apart", "err", err)
		return
	}
	if link == nil {
		return
	}
	if !s.meet(ctx, link, handover.FoundOther) {
		return
	}
	s.log.Info("taking over", "left_out", len(link.Peer().Hand))
}

// recall reads what operators said to processes before.
func (s *succession) recall(path string) {
	log, found, err := record.Open(record.OS{}, path, s.cfg.Name, func(e json.RawMessage) error {
		var st handover.State
		if err := json.Unmarshal(e, &st); err != nil {
			return err
		}
		s.merge(st)
		return nil
	})
	if err != nil {
		s.log.Error("what operators said can't be kept for the next process", "err", err)
		return
	}
	if found.Aside != "" {
		s.log.Error("what operators said before can't be read: look through it, servers may have been left out by hand",
			"kept", found.Aside, "why", found.Why)
	}
	s.kept = log
}

// state is what operators have said so far.
func (s *succession) state() handover.State {
	hand, known := s.ops.said()
	st := handover.State{Name: s.cfg.Name, Hand: hand, Known: known, Drained: s.ops.life.Drained()}
	if w := s.ops.word(); w.Version > 0 {
		st.Word = &w
	}
	return st
}

// keep puts it on the disk. Nothing depends on it while the process lives.
func (s *succession) keep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept == nil {
		return
	}
	if err := s.kept.Rewrite(s.state()); err != nil {
		s.log.Error("what operators said is not kept for a process that meets no other one", "err", err)
	}
}

// merge takes over what the other process knows.
func (s *succession) merge(st handover.State) {
	s.ops.merge(st.Known, st.Hand)
	s.ops.life.Merge(time.Now(), st.Drained)
	if st.Word != nil {
		s.word(*st.Word)
	}
}

// word takes in what the fleet told the other process. One that is older than what was told here is no news.
func (s *succession) word(w cordon.Word) {
	if err := s.ops.take(context.Background(), w); err != nil && !errors.Is(err, cordon.ErrOld) {
		s.log.Error("the fleet's word, as another process was told, is not in force here", "err", err)
	}
}

// meet makes a link the process's own, and gives it up when the other process ends; false if
// there is another one.
func (s *succession) meet(ctx context.Context, link *handover.Link, e handover.Event) bool {
	s.mu.Lock()
	if s.link != nil || s.role.After(e) == s.role {
		s.mu.Unlock()
		return false
	}
	s.link = link
	s.mu.Unlock()
	s.become(e)
	s.merge(link.Peer())
	go func() {
		err := link.Run(ctx, s.hear)
		s.mu.Lock()
		s.link, s.holds = nil, handover.Holds{}
		s.mu.Unlock()
		s.become(handover.OtherGone)
		s.log.Info("the other process is gone", "why", err)
	}()
	return true
}

// hear takes what the other process says.
func (s *succession) hear(m handover.Message) error {
	switch {
	case m.Entry != nil:
		s.ops.merge(nil, []cordon.Entry{*m.Entry})
		s.keep()
		if s.ops.save != nil { // the one of both processes that owns the file writes it
			s.ops.save()
		}
	case m.Word != nil:
		s.word(*m.Word)
		s.keep()
	case m.Drained != nil:
		s.ops.life.Merge(time.Now(), *m.Drained)
		s.keep()
	case m.Holds != nil:
		s.mu.Lock()
		s.holds = *m.Holds
		s.mu.Unlock()
		s.settle()
	case m.Memory != nil:
		if err := s.ops.loop.Recall(context.Background(), *m.Memory); err != nil {
			s.log.Error("what the predecessor has learnt is of no use; this process learns anew", "err", err)
		}
	case m.Serving:
		s.become(handover.HeirServes)
		s.pass()
	}
	return nil // what a later version says besides is not for this one
}

// pass gives the heir what this process's module has learnt: it serves as many as this one did
// from its first request on.
func (s *succession) pass() {
	mem, err := s.ops.loop.Pass(context.Background())
	if err != nil {
		return // it has stopped
	}
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link != nil {
		_ = link.Say(handover.Message{Memory: &mem}) // an heir that is gone needs nothing
	}
}

// tell has the other process take something in, if there is one.
func (s *succession) tell(ctx context.Context, m handover.Message) error {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link == nil {
		return nil
	}
	if err := link.Tell(ctx, m); err != nil && !errors.Is(err, handover.ErrGone) {
		return err
	}
	return nil
}

// ready is called once this process can serve. An heir tells its predecessor, which accepts
// nothing from then on; then it accepts.
func (s *succession) ready(ctx context.Context) {
	s.mu.Lock()
	heir := s.role == handover.Heir
	s.mu.Unlock()
	if heir {
		within, cancel := context.WithTimeout(ctx, confirmed)
		defer cancel()
		if err := s.tell(within, handover.Message{Serving: true}); err != nil {
			s.log.Error("the predecessor does not confirm; both accept", "err", err)
		}
		s.become(handover.Serves)
	}
	if s.path == "" {
		return
	}
	place, err := handover.Take(s.path)
	if err != nil {
		s.log.Error("no later process can take over from this one", "err", err)
		return
	}
	go s.await(ctx, place)
}

// await waits for heirs. One that comes while there is a predecessor waits until that is gone.
func (s *succession) await(ctx context.Context, place *handover.Place) {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link != nil {
		select {
		case <-link.Done():
		case <-ctx.Done():
			place.Close()
			return
		}
	}
	err := place.Serve(ctx, s.state, func(ctx context.Context, link *handover.Link) {
		if s.meet(ctx, link, handover.HeirCame) {
			<-link.Done()
		}
	}, func(err error) { s.log.Error("a process that would take over can't be talked to", "err", err) })
	if err != nil {
		s.log.Error("no later process can take over from this one", "err", err)
	}
}

// become changes the role and all that goes by it.
func (s *succession) become(e handover.Event) {
	s.mu.Lock()
	before := s.role
	s.role = s.role.After(e)
	role, link := s.role, s.link
	s.mu.Unlock()
	if role == before {
		return
	}
	s.log.Info("handover", "role", role.String())
	s.front.giving.Store(role == handover.Giving)
	s.gate.Set(role.Accepts() && !s.ending.Load())
	s.ops.loop.Share(role.Room())
	if s.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(role.Memory() * float64(memoryLimit(s.cfg.MemoryMB))))
		s.front.bodies.most.Store(int64(role.Memory() * float64(bodyLimit(s.cfg.MemoryMB))))
	}
	s.settle()
	if role == handover.Giving {
		go s.report(link)
	}
}

// report lets go of what a process that gives needs no more, and tells the heir what is left,
// until either ends. The heir's room is what this one leaves: clients come back at the heir
// as fast as they are answered here, and would wait unheard if it heard late of their going.
func (s *succession) report(link *handover.Link) {
	every := time.NewTicker(holdsEvery)
	defer every.Stop()
	told := handover.Holds{}
	for {
		s.clients.trim()
		open, idle := s.pool.pool.Count()
		s.pool.pool.SetMost(open - idle + givingIdle)
		open, _ = s.pool.pool.Count()
		if now := (handover.Holds{Clients: s.clients.connected(), Servers: open}); now != told {
			if told = now; link.Say(handover.Message{Holds: &told}) != nil {
				return
			}
		}
		select {
		case <-every.C:
		case <-link.Done():
			return
		}
	}
}

// settle keeps both processes together within the node's limits.
func (s *succession) settle() {
	s.mu.Lock()
	role, holds := s.role, s.holds
	s.mu.Unlock()
	own := otherSockets + doorSockets
	servers, clients := split(s.cfg.Sockets - own)
	switch role {
	case handover.Attended, handover.Heir:
		servers, clients = split(s.cfg.Sockets - 2*own)
	case handover.Taking:
		servers, clients = split(s.cfg.Sockets - 2*own - holds.Servers - holds.Clients)
	case handover.Giving: // it accepts no more, and report lets go
		return
	}
	s.pool.pool.SetMost(max(servers, leastCarried))
	s.clients.setDescriptors(max(clients, leastCarried))
}

// accepts tells whether a process that was told to end so long ago may still get clients: for a
// while, unless another one accepts in its place; and whoever was accepted before is to be
// seen first.
func (s *succession) accepts(ending time.Duration) bool {
	s.mu.Lock()
	gives := s.role == handover.Giving
	s.mu.Unlock()
	if ending < life.AcceptFor && !gives {
		return true
	}
	s.ending.Store(true)
	s.gate.Set(false)
	return !s.gate.Parked()
}

// inherited opens the clients' socket: the platform's, if it holds one.
func inherited(cfg Config) (*handover.Gate, error) {
	text, held := os.LookupEnv(handover.Variable)
	if !held || text == "" {
		return nil, nil
	}
	gate, err := handover.Inherit(text, cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return gate, nil
}
