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
	"otterstep/internal/lifecycle"
	"otterstep/internal/unixsock"
)

const (
	reportInterval  = 10 * time.Millisecond // how often the predecessor closes idle connections and reports how many are left
	handingOverIdle = 4                     // idle connections to servers that the predecessor keeps
	confirmTimeout  = time.Second           // time for the predecessor to confirm that it has stopped accepting
	minDescriptors  = 8                     // minimum of descriptors for clients and for servers, whatever the other process uses
)

// handoverManager lets this process and another one, from which it takes over or to which it hands over, act as one
// node. A node that opened its own listening socket has none.
type handoverManager struct {
	cfg      Config
	listener *handover.PausableListener
	ops      *operations
	clients  *clients
	pool     *upstream
	front    *front
	log      *slog.Logger
	path     string      // path of the Unix socket
	calls    *record.Log // the operators' calls, for a process that finds no running one; nil if the file can't be opened

	ending atomic.Bool // connections are no longer accepted, whatever the role

	mu        sync.Mutex
	role      handover.Role
	link      *handover.Link      // nil while the process is alone
	peerConns handover.ConnCounts // connections of the other process
}

// begin loads the operators' calls from the file and from a running process, so that they are in force before the
// first request. No error keeps the node from serving.
func (s *handoverManager) begin(ctx context.Context, dir string) {
	s.ops.forward = s.sendConfirmed
	s.ops.persist = s.persist
	if dir == "" {
		s.log.Warn("no handover: $TMPDIR is not set, so processes can't find each other")
		return
	}
	base := filepath.Join(dir, "otterstep-"+url.PathEscape(s.cfg.Name))
	if len(base)+len(".sock"+unixsock.TempSuffix) > unixsock.MaxPathLen {
		s.log.Warn("no handover: $TMPDIR is too long for a Unix socket", "path", base, "most", unixsock.MaxPathLen)
		return
	}
	s.path = base + ".sock"
	s.loadCalls(base + ".hand")
	defer s.persist() // a damaged file was moved aside, and the other process may have sent more
	link, err := handover.Dial(s.path, s.state())
	if errors.Is(err, handover.ErrDeadSocket) {
		s.log.Warn("no handover: the process that listened for this one has ended", "path", s.path)
		return
	}
	if err != nil {
		s.log.Error("no handover: can't connect to the serving process; both act independently", "err", err)
		return
	}
	if link == nil {
		return
	}
	if !s.attach(ctx, link, handover.EventPredecessorFound) {
		return
	}
	s.log.Info("taking over", "left_out", len(link.Peer().ManualCordons))
}

// loadCalls reads the operators' calls that earlier processes stored.
func (s *handoverManager) loadCalls(path string) {
	log, found, err := record.Open(record.OS{}, path, s.cfg.Name, func(e json.RawMessage) error {
		var st handover.State
		if err := json.Unmarshal(e, &st); err != nil {
			return err
		}
		s.merge(st)
		return nil
	})
	if err != nil {
		s.log.Error("operators' calls can't be stored for the next process", "err", err)
		return
	}
	if found.MovedTo != "" {
		s.log.Error("stored operators' calls can't be read: check the file, servers may have been cordoned",
			"kept", found.MovedTo, "why", found.Reason)
	}
	s.calls = log
}

// state returns the manual cordons, the quiesce state and the fleet's bans.
func (s *handoverManager) state() handover.State {
	cordons, delisted := s.ops.calls()
	st := handover.State{Name: s.cfg.Name, ManualCordons: cordons, Delisted: delisted, Quiesce: s.ops.life.QuiesceState()}
	if w := s.ops.fleetBans(); w.Version > 0 {
		st.FleetBans = &w
	}
	return st
}

// persist writes the state to disk, for a later process.
func (s *handoverManager) persist() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		return
	}
	if err := s.calls.Rewrite(s.state()); err != nil {
		s.log.Error("operators' calls were not stored for a later process", "err", err)
	}
}

// merge applies the state of another process.
func (s *handoverManager) merge(st handover.State) {
	s.ops.merge(st.Delisted, st.ManualCordons)
	s.ops.life.Merge(time.Now(), st.Quiesce)
	if st.FleetBans != nil {
		s.mergeFleet(*st.FleetBans)
	}
}

// mergeFleet applies fleet bans that another process received. Bans that are older than those here are ignored.
func (s *handoverManager) mergeFleet(w cordon.FleetBans) {
	if err := s.ops.applyFleet(context.Background(), w); err != nil && !errors.Is(err, cordon.ErrOutdated) {
		s.log.Error("the fleet's word, received from another process, is not in force here", "err", err)
	}
}

// attach makes link the current link until the other process ends. It returns false if there already is a link or
// the event is not possible in the current role.
func (s *handoverManager) attach(ctx context.Context, link *handover.Link, e handover.Event) bool {
	s.mu.Lock()
	if s.link != nil || s.role.Next(e) == s.role {
		s.mu.Unlock()
		return false
	}
	s.link = link
	s.mu.Unlock()
	s.transition(e)
	s.merge(link.Peer())
	go func() {
		err := link.Run(ctx, s.receive)
		s.mu.Lock()
		s.link, s.peerConns = nil, handover.ConnCounts{}
		s.mu.Unlock()
		s.ops.loop.UnshareRequestIDs()
		s.transition(handover.EventPeerGone)
		s.log.Info("the other process is gone", "why", err)
	}()
	return true
}

// receive handles a message of the other process.
func (s *handoverManager) receive(m handover.Message) error {
	switch {
	case m.Entry != nil:
		s.ops.merge(nil, []cordon.Entry{*m.Entry})
		s.persist()
		if s.ops.save != nil { // of both processes, only the one that holds the lock writes the state file
			s.ops.save()
		}
	case m.FleetBans != nil:
		s.mergeFleet(*m.FleetBans)
		s.persist()
	case m.Quiesce != nil:
		s.ops.life.Merge(time.Now(), *m.Quiesce)
		s.persist()
	case m.Conns != nil:
		s.mu.Lock()
		s.peerConns = *m.Conns
		s.mu.Unlock()
		s.adjustLimits()
	case m.Memory != nil:
		if err := s.ops.loop.Restore(context.Background(), *m.Memory); err != nil {
			s.log.Error("the predecessor's learnt state can't be used; this process starts without it", "err", err)
		}
	case m.RequestIDs != nil:
		_ = s.ops.loop.LearnRequestIDs(context.Background(), *m.RequestIDs) // fails only if the loop has stopped
	case m.Serving:
		s.transition(handover.EventSuccessorServing)
		s.sendMemory()
		s.mu.Lock()
		link := s.link
		s.mu.Unlock()
		if link != nil { // before the successor may accept
			s.shareIDs(link)
		}
	}
	return nil // messages of a newer version are ignored
}

// sendMemory sends the successor what this process's decision module has learnt, so that it can carry the full load
// from its first request on.
func (s *handoverManager) sendMemory() {
	mem, err := s.ops.loop.HandOver(context.Background())
	if err != nil {
		return // the loop has stopped
	}
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link != nil {
		_ = link.Send(handover.Message{Memory: &mem}) // fails only if the successor is gone
	}
}

// sendConfirmed sends a message to the other process, if there is one, and waits until it has taken effect.
func (s *handoverManager) sendConfirmed(ctx context.Context, m handover.Message) error {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link == nil {
		return nil
	}
	if err := link.SendConfirmed(ctx, m); err != nil && !errors.Is(err, handover.ErrPeerGone) {
		return err
	}
	return nil
}

// ready is called once this process can serve. A successor first tells its predecessor, which stops accepting, and
// then starts to accept.
func (s *handoverManager) ready(ctx context.Context) {
	s.mu.Lock()
	isSuccessor := s.role == handover.Successor
	s.mu.Unlock()
	if isSuccessor {
		confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if err := s.sendConfirmed(confirmCtx, handover.Message{Serving: true}); err != nil {
			s.log.Error("the predecessor does not confirm that it has stopped accepting; both processes accept", "err", err)
		}
		s.mu.Lock()
		link := s.link
		s.mu.Unlock()
		if link != nil {
			s.shareIDs(link)
		}
		s.transition(handover.EventServing)
	}
	if s.path == "" {
		return
	}
	listener, err := handover.Listen(s.path)
	if err != nil {
		s.log.Error("no handover: can't listen for a later process", "err", err)
		return
	}
	go s.acceptSuccessors(ctx, listener)
}

// acceptSuccessors serves the handover socket. A successor that connects while there is a predecessor waits until
// the predecessor is gone.
func (s *handoverManager) acceptSuccessors(ctx context.Context, listener *handover.Listener) {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if link != nil {
		select {
		case <-link.Done():
		case <-ctx.Done():
			listener.Close()
			return
		}
	}
	err := listener.Serve(ctx, s.state, func(ctx context.Context, link *handover.Link) {
		if s.attach(ctx, link, handover.EventSuccessorConnected) {
			<-link.Done()
		}
	}, func(err error) { s.log.Error("handover: connection of a new process failed", "err", err) })
	if err != nil {
		s.log.Error("no handover: can't listen for a later process", "err", err)
	}
}

// transition changes the role and everything that depends on it.
func (s *handoverManager) transition(e handover.Event) {
	s.mu.Lock()
	previous := s.role
	s.role = s.role.Next(e)
	role, link := s.role, s.link
	s.mu.Unlock()
	if role == previous {
		return
	}
	s.log.Info("handover", "role", role.String())
	s.front.handingOver.Store(role == handover.HandingOver)
	s.listener.SetOpen(role.Accepts() && !s.ending.Load())
	s.ops.loop.SetNodePart(role.LoadShare())
	if s.cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(role.MemoryShare() * float64(memoryLimit(s.cfg.MemoryMB))))
		s.front.memory.setPart(role.MemoryShare())
	}
	s.adjustLimits()
	if role == handover.HandingOver {
		go s.reportConns(link)
	}
}

// reportConns runs in the predecessor: it closes connections that are no longer needed and reports the remaining ones to
// the successor, until either process ends. The successor may use the descriptors that are left: clients reconnect
// to it as fast as they are answered here, and would wait in the accept queue if it learnt late of closed
// connections.
func (s *handoverManager) reportConns(link *handover.Link) {
	every := time.NewTicker(reportInterval)
	defer every.Stop()
	reported := handover.ConnCounts{}
	for {
		s.clients.evictLongIdle()
		open, idle := s.pool.pool.Count()
		s.pool.pool.SetMaxConns(open - idle + handingOverIdle)
		open, _ = s.pool.pool.Count()
		if now := (handover.ConnCounts{Clients: s.clients.connected(), Servers: open}); now != reported {
			if reported = now; link.Send(handover.Message{Conns: &reported}) != nil {
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

// adjustLimits sets the connection limits so that both processes together stay within the node's limit.
func (s *handoverManager) adjustLimits() {
	s.mu.Lock()
	role, holds := s.role, s.peerConns
	s.mu.Unlock()
	reserved := reservedDescriptors + operatorDescriptors
	servers, clients := splitDescriptors(s.cfg.Sockets - reserved)
	switch role {
	case handover.AwaitingSuccessor, handover.Successor:
		servers, clients = splitDescriptors(s.cfg.Sockets - 2*reserved)
	case handover.TookOver:
		servers, clients = splitDescriptors(s.cfg.Sockets - 2*reserved - holds.Servers - holds.Clients)
	case handover.HandingOver: // it no longer accepts, and reportConns closes its connections
		return
	}
	s.pool.pool.SetMaxConns(max(servers, minDescriptors))
	s.clients.setDescriptors(max(clients, minDescriptors))
}

// accepts reports whether a process that was told to end the given time ago may still get new connections: for
// lifecycle.AcceptWindow, unless a successor accepts instead, and then until all accepted connections have been returned
// by the listener.
func (s *handoverManager) accepts(sinceTermination time.Duration) bool {
	s.mu.Lock()
	handingOver := s.role == handover.HandingOver
	s.mu.Unlock()
	if sinceTermination < lifecycle.AcceptWindow && !handingOver {
		return true
	}
	s.ending.Store(true)
	s.listener.SetOpen(false)
	return !s.listener.Paused()
}

// inheritedListener returns the listening socket that the platform holds, or nil if it holds none.
func inheritedListener(cfg Config) (*handover.PausableListener, error) {
	text, set := os.LookupEnv(handover.ListenFDVariable)
	if !set || text == "" {
		return nil, nil
	}
	listener, err := handover.Inherit(text, cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return listener, nil
}
