// Package council replicates a fleet's duties among a group of agents: three or five raft voters with their
// log on disk. It is the only package that uses raft. The replicated state is defined by package
// duty.
package council

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"otterstep/internal/boottime"
	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/protocol"
)

const (
	tickInterval = 100 * time.Millisecond
	restartDelay = 2 * time.Second
	// applyTimeout bounds the commit of a command, verifyTimeout the leader's check that it still leads.
	applyTimeout  = 5 * time.Second
	verifyTimeout = 2 * time.Second
	statusTimeout = time.Second
	// membershipCheckInterval is how often a leader with complete membership checks that all members still
	// have the same store.
	membershipCheckInterval = 2 * time.Second
	// electionLeaseDivisor divides the lease to give the time without contact to the leader after which an
	// election starts.
	electionLeaseDivisor = 8
	// slowWriteLeaseDivisor divides the lease to give the write latency above which a leader transfers its
	// leadership.
	slowWriteLeaseDivisor = 8
	// A snapshot is taken every snapshotThreshold entries. trailingLogs entries before it are kept for
	// followers that lag.
	snapshotThreshold = 1024
	trailingLogs      = 256
	snapshotsKept     = 2
	streamsKept       = 3 // idle streams per voter
	maxMessages       = duty.MaxJobs
	maxOffers         = 64
	// recentStartWindow is how long an agent counts as recently started.
	recentStartWindow = 10 * time.Second
)

// Peers connects to the other agents.
type Peers interface {
	// Stream opens a stream to the agent, with hello as its handshake.
	Stream(ctx context.Context, agent string, hello duty.Hello) (net.Conn, error)
	// Status returns the state of an agent's voter.
	Status(ctx context.Context, agent string) (duty.Status, error)
}

// Config configures a voter.
type Config struct {
	Name         string
	Cluster      string   // ID of the fleet, the same at all its agents
	Dir          string   // directory of the store
	ProgressFile string   // path of the progress file, which detects a store restored from an older copy; none if empty
	Voters       []string // initial voters; later the replicated state has them
	// First declares that the operator starts this fleet's agents for the first time. Without it a voter
	// with an empty directory waits until it is added to a council and never bootstraps a new one.
	First bool
	Lease time.Duration
	Clock boottime.Clock
	Peers Peers
	Log   *slog.Logger
	// OpenStores opens the stores; OpenStores if nil.
	OpenStores func(dir string) (Stores, error)
}

// Council is one agent's voter. Run it with Run.
type Council struct {
	cfg Config
	log *slog.Logger

	mu        sync.Mutex
	session   *session
	lastErr   string // why there is no session: the latest error
	slow      time.Duration
	slowUntil time.Time
	loggedErr string // the error logged last, so that it is logged once
	changed   chan struct{}
}

// session is the time from opening a voter's store until it fails or the voter ends.
type session struct {
	id      *identity
	raft    *raft.Raft
	machine *stateMachine
	streams *streamLayer
	failed  chan struct{} // closed at the first store failure
	fail    func(error)
	slow    chan time.Duration // latency of a slow write
	writes  atomic.Uint64

	mu          sync.Mutex
	savedID     identity // id, updated with the current council ID and epoch
	err         error
	leases      *duty.Leases
	leaseTerm   uint64                       // the term for which leases are initialized
	messages    map[string]map[string]string // messages of owners by duty and job
	offers      map[string]string            // pending offers by candidate
	agentStarts map[string]agentStart        // latest start by agent
}

// New returns a voter. Its store is opened by Run.
func New(cfg Config) *Council {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.OpenStores == nil {
		cfg.OpenStores = OpenStores
	}
	return &Council{cfg: cfg, log: cfg.Log.With("council", cfg.Cluster), changed: make(chan struct{})}
}

// Run takes part in the council until ctx ends. A voter whose store fails stops, and restarts from its store
// after restartDelay.
func (c *Council) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.runSession(ctx)
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.lastErr = err.Error()
		again := c.loggedErr == c.lastErr
		c.loggedErr = c.lastErr
		c.mu.Unlock()
		if !again {
			c.log.Error("voter stopped by an error; restarting", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartDelay):
		}
	}
}

// runSession opens the store and takes part until ctx ends, which returns nil, or the store fails.
func (c *Council) runSession(ctx context.Context) error {
	id, stores, current, err := c.openStores()
	if err != nil {
		return err
	}
	defer stores.Close()
	file := &progressFile{log: c.log}
	file.open(c.cfg.ProgressFile, current)
	defer file.Close()
	sess := &session{id: id, savedID: *id, failed: make(chan struct{}), leases: duty.NewLeases(c.cfg.Lease), messages: map[string]map[string]string{}, offers: map[string]string{}, agentStarts: map[string]agentStart{}, slow: make(chan time.Duration, 1)}
	sess.streams = newStreamLayer(func(ctx context.Context, server string) (net.Conn, error) {
		councilID, epoch := sess.lineage()
		return c.cfg.Peers.Stream(ctx, duty.AgentName(server), duty.Hello{Cluster: c.cfg.Cluster, CouncilID: councilID, Epoch: epoch, From: id.serverID(), To: server})
	})
	defer sess.streams.shutdown()
	var once sync.Once
	sess.fail = func(err error) {
		once.Do(func() {
			sess.streams.shutdown() // first, so that the voter sends nothing from here on
			sess.mu.Lock()
			sess.err = err
			sess.mu.Unlock()
			close(sess.failed)
		})
	}
	sess.machine = newStateMachine(sess.fail)
	if sess.raft, err = c.open(sess, stores, file); err != nil {
		return err
	}
	c.setSession(sess)
	defer func() {
		c.setSession(nil)
		if ctx.Err() != nil && sess.raft.State() == raft.Leader {
			if err := sess.raft.LeadershipTransfer().Error(); err != nil {
				c.log.Warn("leadership transfer failed", "err", err)
			}
		}
		if err := sess.raft.Shutdown().Error(); err != nil {
			c.log.Error("raft shutdown failed", "err", err)
		}
	}()
	return c.participate(ctx, sess)
}

// openStores opens the identity and the stores. A store that is behind the progress file is treated as lost:
// its directory's contents are moved aside and a new, empty store is created.
func (c *Council) openStores() (id *identity, stores Stores, current progress, err error) {
	reason := ""
	for {
		var lost string
		if id, lost, err = openIdentity(c.cfg.Dir, c.cfg.Cluster, c.cfg.Name); err != nil {
			return nil, nil, current, err
		}
		if stores, err = c.cfg.OpenStores(c.cfg.Dir); err != nil {
			return nil, nil, current, err
		}
		reason = cmp.Or(reason, lost)
		var outdated string
		if current, outdated, err = c.checkProgress(id, stores); err != nil {
			return nil, nil, current, errors.Join(err, stores.Close())
		}
		if outdated == "" {
			break
		}
		reason = outdated
		if err := errors.Join(stores.Close(), moveAside(c.cfg.Dir)); err != nil {
			return nil, nil, current, err
		}
	}
	if reason != "" {
		c.log.Error("council store lost; this voter starts with a new ID and waits until it is added", "why", reason, "server", id.serverID())
	}
	return id, stores, current, nil
}

// checkProgress returns the progress of the store, and a reason if the progress file shows that the store is
// an older copy. An older copy is allowed for a recovery by an operator.
func (c *Council) checkProgress(id *identity, stores Stores) (current progress, reason string, err error) {
	if current, err = storeProgress(id, stores, c.cfg.Dir); err != nil || c.cfg.ProgressFile == "" || c.recoveryRequested() {
		return current, "", err
	}
	recorded, known, err := readProgress(c.cfg.ProgressFile)
	if err == nil && known && current.behind(recorded) {
		reason = fmt.Sprintf("the store was restored from an older copy: it has entry %d and term %d, but entry %d and term %d were written", current.lastIndex, current.term, recorded.lastIndex, recorded.term)
	}
	return current, reason, err
}

func (c *Council) open(sess *session, stores Stores, file *progressFile) (*raft.Raft, error) {
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Error, Output: raftLogWriter{c.log}, DisableTime: true})
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(sess.id.serverID())
	conf.HeartbeatTimeout = c.cfg.Lease / electionLeaseDivisor
	conf.ElectionTimeout, conf.LeaderLeaseTimeout = conf.HeartbeatTimeout, conf.HeartbeatTimeout
	// Followers learn of a commit with the next entry or after CommitTimeout. Only the leader's view counts
	// as current, so raft's default of 50 ms would add traffic without benefit.
	conf.CommitTimeout = c.cfg.Lease / electionLeaseDivisor
	conf.SnapshotThreshold, conf.TrailingLogs = snapshotThreshold, trailingLogs
	conf.Logger, conf.NoLegacyTelemetry = logger, true
	conf.ShutdownOnRemove = false // the voter may be added again
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(c.cfg.Dir, snapshotsKept, logger)
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: sess.streams, MaxPool: streamsKept, Timeout: c.cfg.Lease / 2, Logger: logger,
	})
	if c.recoveryRequested() {
		// Turns the voter's state into a snapshot with the voter as the only member.
		alone := raft.Configuration{Servers: []raft.Server{{ID: conf.LocalID, Address: raft.ServerAddress(conf.LocalID)}}}
		if err := raft.RecoverCluster(conf, newStateMachine(sess.fail), stores, stores, snapshots, namedTransport{transport, raft.ServerAddress(sess.id.serverID())}, alone); err != nil {
			transport.Close()
			return nil, fmt.Errorf("council: recovery: %w", err)
		}
	}
	monitored := &monitoredStores{Stores: stores, onFailure: sess.fail, onWrite: func(d time.Duration) { c.onWrite(sess, d) }, progressFile: file}
	r, err := raft.NewRaft(conf, sess.machine, monitored, monitored, snapshots, namedTransport{transport, raft.ServerAddress(sess.id.serverID())})
	if err != nil {
		transport.Close()
		return nil, fmt.Errorf("council: %w", err)
	}
	if err := sess.failure(); err != nil {
		return nil, errors.Join(err, r.Shutdown().Error())
	}
	return r, nil
}

// namedTransport is a transport whose local address is the server ID, as streams have no network address.
type namedTransport struct {
	*raft.NetworkTransport
	own raft.ServerAddress
}

// LocalAddr implements raft.Transport.
func (t namedTransport) LocalAddr() raft.ServerAddress { return t.own }

// EncodePeer implements raft.Transport.
func (t namedTransport) EncodePeer(_ raft.ServerID, a raft.ServerAddress) []byte { return []byte(a) }

// raftLogWriter forwards raft's log to a slog.Logger.
type raftLogWriter struct{ log *slog.Logger }

// Write implements io.Writer.
func (l raftLogWriter) Write(text []byte) (int, error) {
	l.log.Warn("raft", "says", string(text))
	return len(text), nil
}

func (c *Council) setSession(sess *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = sess
	if sess != nil {
		c.lastErr, c.loggedErr = "", ""
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (sess *session) failure() error {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	return sess.err
}

// lineage returns the council's ID and epoch as known to this voter. Until raft has determined which entries
// are committed the state is empty, and they are taken from the identity file.
func (sess *session) lineage() (councilID string, epoch uint64) {
	sess.machine.read(func(s *duty.State) { councilID, epoch = s.CouncilID(), s.Epoch() })
	if councilID == "" {
		sess.mu.Lock()
		defer sess.mu.Unlock()
		return sess.savedID.CouncilID, sess.savedID.Epoch
	}
	return councilID, epoch
}

func (sess *session) councilID() string {
	councilID, _ := sess.lineage()
	return councilID
}

// onWrite records the latency of a write to the store.
func (c *Council) onWrite(sess *session, d time.Duration) {
	sess.writes.Add(1)
	if d < c.cfg.Lease/slowWriteLeaseDivisor {
		return
	}
	c.mu.Lock()
	c.slow, c.slowUntil = max(c.slow, d), time.Now().Add(time.Minute)
	c.mu.Unlock()
	select {
	case sess.slow <- d:
	default: // a slow write is pending already
	}
}

// transferLeadership gives up leadership after a slow write, as a leader with a slow disk delays all commits.
func (c *Council) transferLeadership(sess *session, took time.Duration) {
	if sess.raft.State() != raft.Leader {
		return
	}
	c.log.Warn("slow disk write; transferring leadership", "took", took)
	if err := sess.raft.LeadershipTransfer().Error(); err != nil {
		c.log.Warn("leadership transfer failed", "err", err)
	}
}

// participate runs the voter's duties in the council until ctx ends, which returns nil, or the store fails.
func (c *Council) participate(ctx context.Context, sess *session) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastCheck, wait := time.Time{}, tickInterval*2
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sess.failed:
			return sess.failure()
		case took := <-sess.slow:
			c.transferLeadership(sess, took)
			continue
		case <-ticker.C:
		}
		if councilID, epoch := sess.lineage(); councilID != "" && (sess.savedID.CouncilID != councilID || sess.savedID.Epoch != epoch) {
			sess.mu.Lock()
			sess.savedID.CouncilID, sess.savedID.Epoch = councilID, epoch
			saved := sess.savedID
			sess.mu.Unlock()
			if err := saved.save(c.cfg.Dir); err != nil {
				return err
			}
		}
		if sess.raft.State() == raft.Leader {
			c.startTerm(sess)
		}
		if time.Since(lastCheck) < wait {
			continue
		}
		lastCheck, wait = time.Now(), tickInterval*2
		switch {
		case sess.raft.State() == raft.Leader:
			if c.reconcileMembers(ctx, sess) {
				wait = membershipCheckInterval
			}
		case c.cfg.First && sess.raft.LastIndex() == 0 && c.cfg.Voters[0] == c.cfg.Name:
			c.bootstrap(ctx, sess)
		}
	}
}

// startTerm waits, at the start of a term as leader, until all earlier entries are applied. Then it starts
// every lease anew and completes a pending recovery or bootstrap.
func (c *Council) startTerm(sess *session) {
	term := sess.raft.CurrentTerm()
	sess.mu.Lock()
	known := sess.leaseTerm == term
	sess.mu.Unlock()
	if known || sess.raft.Barrier(applyTimeout).Error() != nil || sess.raft.CurrentTerm() != term {
		return
	}
	sess.mu.Lock()
	sess.leases.StartLeading(c.cfg.Clock.Now())
	sess.leaseTerm = term
	clear(sess.messages)
	sess.mu.Unlock()
	c.log.Info("became leader", "term", term)
	if c.recoveryRequested() {
		recovery := duty.Recovery{ID: rand.Text(), Voters: []string{c.cfg.Name}, By: "operator"}
		if _, err := c.propose(sess, duty.Command{Recovery: &recovery}); err != nil {
			c.log.Error("council recovery failed", "err", err)
		} else if err := os.Remove(filepath.Join(c.cfg.Dir, recoverFile)); err != nil {
			c.log.Error("recovery file not removed; the next start would recover again", "err", err)
		}
	}
	needsBootstrap := false
	sess.machine.read(func(s *duty.State) { needsBootstrap = s.CouncilID() == "" })
	if needsBootstrap {
		_, _ = c.propose(sess, duty.Command{Bootstrap: &duty.Bootstrap{ID: rand.Text(), Voters: c.cfg.Voters}}) // if it fails, the next leader retries
	}
}

// bootstrap starts a new council once all initial voters report that they belong to none.
func (c *Council) bootstrap(ctx context.Context, sess *session) {
	for _, name := range c.cfg.Voters {
		if name == c.cfg.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		s, err := c.cfg.Peers.Status(callCtx, name)
		cancel()
		if err != nil || s.State != duty.Blank || s.Cluster != c.cfg.Cluster {
			return
		}
	}
	own := raft.Server{ID: raft.ServerID(sess.id.serverID()), Address: raft.ServerAddress(sess.id.serverID())}
	if err := sess.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{own}}).Error(); err != nil {
		c.log.Error("council bootstrap failed", "err", err)
	}
}

// recoverFile marks that this voter is to recover the council alone.
const recoverFile = "recover"

func (c *Council) recoveryRequested() bool {
	_, err := os.Stat(filepath.Join(c.cfg.Dir, recoverFile))
	return err == nil
}

// Recover makes this voter recover the council as its only member, by command of an operator who knows that
// most others are permanently lost. It is refused while a majority is alive, as its commits would be
// lost. Entries that only the lost voters had are lost.
func (c *Council) Recover(ctx context.Context) error {
	sess := c.currentSession()
	if sess == nil {
		return c.notLeader(nil)
	}
	var voters []string
	sess.machine.read(func(s *duty.State) { voters = s.Voters() })
	if len(voters) == 0 {
		// After a start no entry counts as committed until there is a leader, and there may never be one. The
		// raft configuration lists the members all the same.
		config := sess.raft.GetConfiguration()
		if err := config.Error(); err != nil {
			return fmt.Errorf("council: %w", err)
		}
		for _, s := range config.Configuration().Servers {
			if s.Suffrage == raft.Voter {
				voters = append(voters, duty.AgentName(string(s.ID)))
			}
		}
	}
	if len(voters) == 0 {
		return protocol.Errorf(protocol.CodeConflict, "%s belongs to no council that it could recover", c.cfg.Name)
	}
	alive := []string{}
	for _, name := range voters {
		if name == c.cfg.Name {
			alive = append(alive, name)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		s, err := c.cfg.Peers.Status(callCtx, name)
		cancel()
		if err == nil && s.CouncilID == sess.councilID() && s.State != duty.Broken {
			alive = append(alive, name)
		}
	}
	if len(alive)*2 > len(voters) || c.Leader() != "" {
		return protocol.Errorf(protocol.CodeConflict, "%d of %d voters are alive (%s): a majority goes on by itself", len(alive), len(voters), strings.Join(alive, ", "))
	}
	f, err := os.OpenFile(filepath.Join(c.cfg.Dir, recoverFile), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	c.log.Warn("recovering the council alone by an operator's command; earlier voters are refused from now on", "voters", voters, "live", alive)
	sess.fail(errors.New("council: restarting to recover the council alone, by an operator's command"))
	return nil
}

// Backup returns the whole state if this voter is verified to lead.
func (c *Council) Backup() (*duty.Backup, error) {
	sess, err := c.verifiedLeader()
	if err != nil {
		return nil, err
	}
	var text []byte
	sess.machine.read(func(s *duty.State) { text, err = s.Snapshot() })
	if err != nil {
		return nil, err
	}
	return duty.NewBackup(c.cfg.Cluster, time.Now(), text), nil
}

// reconcileMembers changes raft's configuration to the agreed voters, one change at a time. A new member is a
// learner first. It reports whether the membership is complete.
func (c *Council) reconcileMembers(ctx context.Context, sess *session) bool {
	var want []string
	sess.machine.read(func(s *duty.State) { want = s.Voters() })
	config := sess.raft.GetConfiguration()
	if config.Error() != nil || len(want) == 0 {
		return false
	}
	members := map[string]raft.Server{}
	for _, s := range config.Configuration().Servers {
		if name := duty.AgentName(string(s.ID)); !slices.Contains(want, name) {
			if name == c.cfg.Name { // removed last, by another leader
				_ = sess.raft.LeadershipTransfer().Error()
				return false
			}
			c.awaitChange(sess.raft.RemoveServer(s.ID, config.Index(), applyTimeout), "removed", s.ID)
			return false
		}
		members[duty.AgentName(string(s.ID))] = s
	}
	complete := true
	for _, name := range want {
		if s, in := members[name]; in && s.Suffrage == raft.Voter && name == c.cfg.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		peer, err := c.cfg.Peers.Status(callCtx, name)
		cancel()
		if err != nil || peer.State == duty.Broken || peer.Cluster != c.cfg.Cluster || peer.Agent != name || peer.CouncilID != "" && peer.CouncilID != sess.councilID() {
			complete = false
			continue
		}
		s, in := members[name]
		complete = complete && in && s.Suffrage == raft.Voter
		switch {
		case in && string(s.ID) != peer.Server:
			// Its store was lost, so it no longer has the votes and entries that it acknowledged.
			c.awaitChange(sess.raft.RemoveServer(s.ID, config.Index(), applyTimeout), "removed, as its store is lost and it has a new ID", s.ID)
			return false
		case !in:
			c.awaitChange(sess.raft.AddNonvoter(raft.ServerID(peer.Server), raft.ServerAddress(peer.Server), config.Index(), applyTimeout), "added as learner", raft.ServerID(peer.Server))
			return false
		case s.Suffrage != raft.Voter && peer.Applied >= sess.raft.AppliedIndex():
			c.awaitChange(sess.raft.AddVoter(s.ID, s.Address, config.Index(), applyTimeout), "promoted to voter", s.ID)
			return false
		}
	}
	return complete
}

func (c *Council) awaitChange(f raft.IndexFuture, change string, id raft.ServerID) {
	if err := f.Error(); err != nil {
		c.log.Warn("membership change failed", "voter", string(id), "to", change, "err", err)
		return
	}
	c.log.Info("membership changed", "voter", string(id), "it", change)
}

// AcceptStream accepts a stream from another voter, or returns why it can't.
func (c *Council) AcceptStream(conn net.Conn) error {
	sess := c.currentSession()
	if sess == nil {
		return errStopped
	}
	return sess.streams.enqueue(conn)
}

// CheckStream returns an error if a stream with this handshake from another voter has to be refused.
func (c *Council) CheckStream(h duty.Hello) error {
	sess := c.currentSession()
	if sess == nil {
		return protocol.Errorf(protocol.CodeNoCouncil, "%v", errStopped)
	}
	councilID, epoch := sess.lineage()
	switch {
	case h.Cluster != c.cfg.Cluster:
		return protocol.Errorf(protocol.CodeForbidden, "stream belongs to cluster %q, this is cluster %q", h.Cluster, c.cfg.Cluster)
	case h.To != sess.id.serverID():
		return protocol.Errorf(protocol.CodeForbidden, "stream is to server %s, this is %s: the earlier store is lost", h.To, sess.id.serverID())
	case councilID != "" && h.CouncilID != "" && councilID != h.CouncilID && h.Epoch <= epoch:
		// A stream with a later epoch is accepted: its council has this server as a member, which has yet to
		// catch up.
		return protocol.Errorf(protocol.CodeForbidden, "stream belongs to another council of cluster %q, with ID %s, this one has ID %s", h.Cluster, h.CouncilID, councilID)
	}
	return nil
}

func (c *Council) currentSession() *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil || c.session.failure() != nil {
		return nil
	}
	return c.session
}

// IsLeader reports whether this voter believes that it leads.
func (c *Council) IsLeader() bool {
	sess := c.currentSession()
	return sess != nil && sess.raft.State() == raft.Leader
}

// Leader returns the name of the leading agent as known to this voter, or "" if it knows none.
func (c *Council) Leader() string {
	sess := c.currentSession()
	if sess == nil {
		return ""
	}
	_, id := sess.raft.LeaderWithID()
	return duty.AgentName(string(id))
}

// Changed returns a channel that is closed at the next change of this voter's state.
func (c *Council) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == nil {
		return c.changed
	}
	return c.session.machine.changes()
}

// notLeader returns the error of a voter that does not lead, with the leader if it knows one.
func (c *Council) notLeader(sess *session) error {
	e := protocol.Errorf(protocol.CodeNoCouncil, "%s does not lead the council", c.cfg.Name)
	if sess == nil {
		e.Text = fmt.Sprintf("the voter of %s has stopped", c.cfg.Name)
		return e
	}
	if _, id := sess.raft.LeaderWithID(); id != "" && duty.AgentName(string(id)) != c.cfg.Name {
		e.Leader = duty.AgentName(string(id))
	}
	return e
}

// verifiedLeader returns the session if a majority confirms now that this voter leads.
func (c *Council) verifiedLeader() (*session, error) {
	sess := c.currentSession()
	if sess == nil || sess.raft.State() != raft.Leader {
		return nil, c.notLeader(sess)
	}
	verified := make(chan error, 1)
	go func() { verified <- sess.raft.VerifyLeader().Error() }()
	select {
	case err := <-verified:
		if err != nil {
			return nil, c.notLeader(sess)
		}
	case <-time.After(verifyTimeout):
		return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s leads the council but can't reach a majority of it", c.cfg.Name)
	}
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if sess.leaseTerm != sess.raft.CurrentTerm() {
		return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s has just become leader and is not ready yet: retry", c.cfg.Name)
	}
	return sess, nil
}

// propose commits a command. After an error of raft it is unknown whether the command was committed.
func (c *Council) propose(sess *session, command duty.Command) (duty.Result, error) {
	command.FormatVersion = duty.FormatVersion
	text, err := json.Marshal(command)
	if err != nil {
		return duty.Result{}, fmt.Errorf("council: %w", err)
	}
	f := sess.raft.Apply(text, applyTimeout)
	if err := f.Error(); err != nil {
		return duty.Result{}, protocol.Errorf(protocol.CodeNoCouncil, "the command was not committed, or its outcome is unknown: %v", err)
	}
	r := f.Response().(duty.Result)
	return r, r.Err
}

// checkQuorum returns an error while the members that vote are fewer than a majority of the agreed voters.
func (sess *session) checkQuorum() error {
	var want []string
	sess.machine.read(func(s *duty.State) { want = s.Voters() })
	votes := 0
	f := sess.raft.GetConfiguration()
	if f.Error() == nil {
		for _, s := range f.Configuration().Servers {
			if s.Suffrage == raft.Voter {
				votes++
			}
		}
	}
	if votes*2 <= len(want) || len(want) == 0 {
		return protocol.Errorf(protocol.CodeNoCouncil, "only %d of %d voters have joined the council so far", votes, len(want))
	}
	return nil
}

// Do commits a command if this voter leads. Whether an Acquire is proposed depends on the current lease.
func (c *Council) Do(command duty.Command) (duty.Answer, error) {
	sess, err := c.verifiedLeader()
	if err != nil {
		return duty.Answer{}, err
	}
	if err := sess.checkQuorum(); err != nil {
		return duty.Answer{}, err
	}
	if command.Report != nil && command.Report.QueryOnly {
		// A query is not logged: the verified leader has the current state.
		var r duty.Result
		sess.machine.read(func(s *duty.State) {
			r = s.Apply(duty.Command{FormatVersion: duty.FormatVersion, Report: command.Report})
		})
		if r.Err != nil {
			return duty.Answer{}, r.Err
		}
		r.ReportAnswer.RecentStarts = sess.countRecentStarts(command.Report, time.Now())
		return duty.Answer{ReportAnswer: r.ReportAnswer}, nil
	}
	if command.Acquire != nil {
		return c.acquire(sess, *command.Acquire)
	}
	switch {
	case command.Bootstrap != nil || command.Recovery != nil:
		return duty.Answer{}, protocol.Errorf(protocol.CodeUsage, "bootstrap and recovery can't be requested as commands")
	case command.Restore != nil && command.Restore.Backup != nil:
		if _, err := command.Restore.Backup.Check(c.cfg.Cluster); err != nil {
			return duty.Answer{}, err
		}
	}
	r, err := c.propose(sess, command)
	if command.Change != nil && err == nil {
		// Followers learn of the commit with the next entry, and the owner of duty Fleet may be at a follower. The
		// barrier is such an entry, so that an operator's ban does not wait for a heartbeat.
		sess.raft.Barrier(applyTimeout)
	}
	if r.ReportAnswer != nil {
		r.ReportAnswer.RecentStarts = sess.countRecentStarts(command.Report, time.Now())
	}
	return duty.Answer{Token: r.Token, Job: r.Job, ReportAnswer: r.ReportAnswer, KeptNewer: r.KeptNewer, Fleet: r.Fleet}, err
}

// countRecentStarts records the start in the report if it is new, and returns the number of agents that
// started recently. The number only affects the rate at which agents start instances.
func (sess *session) countRecentStarts(r *duty.Report, now time.Time) int {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if came, known := sess.agentStarts[r.Agent]; !known || came.starts != r.Starts || came.folder != r.StateDirID {
		sess.agentStarts[r.Agent] = agentStart{r.Starts, r.StateDirID, now}
	}
	n := 0
	for name, c := range sess.agentStarts {
		if now.Sub(c.at) <= recentStartWindow {
			n++
		} else if len(sess.agentStarts) > duty.MaxAgents {
			delete(sess.agentStarts, name)
		}
	}
	return n
}

// agentStart is an agent's latest start.
type agentStart struct {
	starts uint64
	folder string
	at     time.Time
}

func (c *Council) acquire(sess *session, a duty.Acquire) (duty.Answer, error) {
	var current duty.Duty
	sess.machine.read(func(s *duty.State) { current = s.Duty(a.Duty) })
	sess.mu.Lock()
	left, ok := sess.leases.Remaining(a.Duty, c.cfg.Clock.Now())
	sess.mu.Unlock()
	if !ok {
		return duty.Answer{}, c.notLeader(sess)
	}
	if current.Owner != "" && current.Owner != a.Owner && left > 0 {
		return duty.Answer{Left: left}, nil
	}
	sess.mu.Lock()
	offer := sess.offers[a.Owner]
	if offer == "" || a.Offer != offer {
		if len(sess.offers) >= maxOffers {
			clear(sess.offers)
		}
		offer = rand.Text()
		sess.offers[a.Owner] = offer
		sess.mu.Unlock()
		return duty.Answer{Offer: offer}, nil
	}
	delete(sess.offers, a.Owner)
	sess.mu.Unlock()
	a.PreviousToken, a.Offer = current.Token, ""
	r, err := c.propose(sess, duty.Command{Acquire: &a})
	if err != nil {
		return duty.Answer{}, err
	}
	sess.mu.Lock()
	sess.leases.Granted(a.Duty, c.cfg.Clock.Now())
	sess.mu.Unlock()
	c.log.Info("duty acquired", "duty", a.Duty, "owner", a.Owner, "token", r.Token, "before", current.Owner)
	return duty.Answer{Token: r.Token}, nil
}

// Renew extends a duty's lease if this voter leads. Renewals are not logged.
func (c *Council) Renew(r duty.Renewal) error {
	sess, err := c.verifiedLeader()
	if err != nil {
		return err
	}
	var current duty.Duty
	sess.machine.read(func(s *duty.State) { current = s.Duty(r.Duty) })
	if current.Owner == "" || current.Token != r.Token {
		return protocol.Errorf(protocol.CodeFenced, "token %v of duty %s is over: the latest is %v, of %q", r.Token, r.Duty, current.Token, current.Owner)
	}
	sess.mu.Lock()
	defer sess.mu.Unlock()
	if !sess.leases.Renew(r.Duty, c.cfg.Clock.Now()) {
		return protocol.Errorf(protocol.CodeFenced, "the lease of %s under token %v has ended", r.Duty, r.Token)
	}
	messages := map[string]string{}
	for _, job := range slices.Sorted(maps.Keys(r.Messages)) {
		if len(messages) == maxMessages {
			break
		}
		messages[job] = r.Messages[job]
	}
	sess.messages[r.Duty] = messages // bounded by the number of owned duties
	return nil
}

// View returns this voter's view. It is current only if a majority confirms that the voter leads.
func (c *Council) View() (duty.View, error) {
	_, err := c.verifiedLeader()
	sess := c.currentSession()
	if sess == nil {
		return duty.View{}, c.notLeader(nil)
	}
	return c.localView(sess, err == nil), nil
}

// Desired returns this voter's view of the fleet's desired state. It is current only if a majority confirms
// that the voter leads.
func (c *Council) Desired() (duty.FleetView, error) {
	_, err := c.verifiedLeader()
	sess := c.currentSession()
	if sess == nil {
		return duty.FleetView{}, c.notLeader(nil)
	}
	v := duty.FleetView{From: c.cfg.Name, Current: err == nil}
	sess.machine.read(func(s *duty.State) { v.State, v.Owner = s.Desired(), s.Duty(duty.Fleet).Owner })
	return v, nil
}

// KnownDesired returns the local copy of the desired state without contacting other voters. It returns nil if
// its version equals known, which the caller has already, or if the voter has stopped.
func (c *Council) KnownDesired(known desired.Version) (state *desired.State) {
	if sess := c.currentSession(); sess != nil {
		sess.machine.read(func(s *duty.State) {
			if s.DesiredVersion() != known {
				state = s.Desired()
			}
		})
	}
	return state
}

// Known returns the local view without contacting other voters, for this voter's own agent. It returns false
// if the voter has stopped.
func (c *Council) Known() (duty.View, bool) {
	sess := c.currentSession()
	if sess == nil {
		return duty.View{}, false
	}
	return c.localView(sess, false), true
}

// Memories returns the local copy of the data that the council stores of agents.
func (c *Council) Memories() (all map[string]duty.AgentData) {
	if sess := c.currentSession(); sess != nil {
		sess.machine.read(func(s *duty.State) { all = s.Agents() })
	}
	return all
}

func (c *Council) localView(sess *session, current bool) duty.View {
	v := duty.View{From: c.cfg.Name, Leader: c.Leader(), Current: current}
	if at := sess.raft.LastContact(); !current && !at.IsZero() {
		v.Age = time.Since(at)
	}
	now := c.cfg.Clock.Now()
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.machine.read(func(s *duty.State) {
		v.Duties, v.Jobs, v.Voters = []duty.LeasedDuty{}, s.Jobs(), s.Voters()
		for _, d := range s.Duties() {
			o := duty.LeasedDuty{Duty: d}
			if v.Current && d.Owner != "" {
				o.Remaining, o.RemainingKnown = sess.leases.Remaining(d.Name, now)
			}
			v.Duties = append(v.Duties, o)
		}
	})
	if v.Current {
		v.Messages = map[string]string{}
		for _, messages := range sess.messages {
			maps.Copy(v.Messages, messages)
		}
	}
	return v
}

// Status returns the voter's state.
func (c *Council) Status() duty.Status {
	c.mu.Lock()
	s := duty.Status{Agent: c.cfg.Name, Cluster: c.cfg.Cluster, State: duty.Broken, Reason: c.lastErr, Members: []duty.Member{}}
	if time.Now().Before(c.slowUntil) {
		s.SlowestWrite = c.slow
	} else {
		c.slow = 0
	}
	c.mu.Unlock()
	sess := c.currentSession()
	if sess == nil {
		return s
	}
	s.Server, s.CouncilID = sess.id.serverID(), sess.councilID()
	s.Leader, s.Term = c.Leader(), sess.raft.CurrentTerm()
	s.Writes = sess.writes.Load()
	s.Last, s.Applied = sess.raft.LastIndex(), sess.raft.AppliedIndex()
	if f := sess.raft.GetConfiguration(); f.Error() == nil {
		for _, m := range f.Configuration().Servers {
			s.Members = append(s.Members, duty.Member{Server: string(m.ID), Votes: m.Suffrage == raft.Voter})
		}
	}
	own := slices.IndexFunc(s.Members, func(m duty.Member) bool { return m.Server == s.Server })
	switch {
	case sess.raft.State() == raft.Leader:
		s.State = duty.Leader
		return s
	case sess.raft.LastIndex() == 0 && s.CouncilID == "":
		s.State = duty.Blank
		return s
	case s.Leader == "":
		s.State = duty.NoLeader
	case own >= 0 && !s.Members[own].Votes:
		s.State = duty.Learner
	default:
		s.State = duty.Follower
	}
	if at := sess.raft.LastContact(); !at.IsZero() {
		s.SinceContact = time.Since(at)
	}
	return s
}

// Dir returns the council's directory within an agent's state directory.
func Dir(state string) string { return filepath.Join(state, "council") }
