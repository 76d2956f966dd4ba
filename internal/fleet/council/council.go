// Package council is the group of agents that agree on a fleet's duties: three or five voters
// under raft, with their log on disk. It is the only place that knows raft. What is agreed on
// is package duty's.
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
	tickEvery = 100 * time.Millisecond
	mendEvery = 2 * time.Second
	// applyWithin bounds an agreement, verifyWithin the leader's making sure that it leads.
	applyWithin  = 5 * time.Second
	verifyWithin = 2 * time.Second
	askWithin    = time.Second
	// wholeEvery is how often a leader whose members are whole asks whether they still are who
	// they were.
	wholeEvery = 2 * time.Second
	// electAt is the share of a lease after which silence of a leader begins an election.
	electAt = 8
	// slowAt is the share of a lease that a write may take before a leader hands over.
	slowAt = 8
	// snapshotAt entries are made into a snapshot; trailing ones are kept for who lags.
	snapshotAt    = 1024
	trailing      = 256
	snapshotsKept = 2
	streamsKept   = 3 // idle ones to each voter
	saysMost      = duty.MaxJobs
	offersMost    = 64
	// backWithin is how long an agent counts as one that has just come back.
	backWithin = 10 * time.Second
)

// Peers is the way to the other agents.
type Peers interface {
	// Stream begins a stream to the agent in hello.To.
	Stream(ctx context.Context, agent string, hello duty.Hello) (net.Conn, error)
	// Status asks an agent for its voter's state.
	Status(ctx context.Context, agent string) (duty.Status, error)
}

// Config says what a voter is.
type Config struct {
	Name    string
	Cluster string   // the fleet's id, as all its agents have it
	Dir     string   // the folder of the log
	Witness string   // a file beside it that notices a log that was put back; none if empty
	Voters  []string // of the founding; the council itself keeps them later
	// First tells that the operator has started this fleet's agents for the first time: without
	// it a voter with an empty folder waits to be taken in, and never begins a new council.
	First bool
	Lease time.Duration
	Clock boottime.Clock
	Peers Peers
	Log   *slog.Logger
	// Disk opens the stores; the usual ones if nil.
	Disk func(dir string) (Stores, error)
}

// Council is one agent's voter. Run it with Run.
type Council struct {
	cfg Config
	log *slog.Logger

	mu        sync.Mutex
	life      *life
	why       string // why there is none, or what was wrong at last
	slow      time.Duration
	slowUntil time.Time
	said      string // what the log last said of being broken
	changed   chan struct{}
}

// life is a voter from an opening of its store to its end.
type life struct {
	id       *identity
	raft     *raft.Raft
	machine  *machine
	streams  *streams
	broken   chan struct{} // closed at the first failure
	breaking func(error)
	slow     chan time.Duration // a write of late that was slow
	writes   atomic.Uint64

	mu     sync.Mutex
	kept   identity // id, with what was learnt since
	why    error
	leases *duty.Leases
	ledIn  uint64                       // the term in which leases are known
	says   map[string]map[string]string // by duty and job
	offers map[string]string            // by who asked for a duty
	came   map[string]comer             // by agent
}

// New makes a voter; nothing is opened before Run.
func New(cfg Config) *Council {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Disk == nil {
		cfg.Disk = OpenStores
	}
	return &Council{cfg: cfg, log: cfg.Log.With("council", cfg.Cluster), changed: make(chan struct{})}
}

// Run takes part until ctx ends. A voter whose store fails steps aside and begins anew from
// what it has on disk, every mendEvery.
func (c *Council) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.live(ctx)
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		c.why = err.Error()
		again := c.said == c.why
		c.said = c.why
		c.mu.Unlock()
		if !again {
			c.log.Error("the voter steps aside and tries again", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(mendEvery):
		}
	}
}

// live opens the store and takes part until ctx ends (nil) or the store fails.
func (c *Council) live(ctx context.Context) error {
	id, stores, at, err := c.unfold()
	if err != nil {
		return err
	}
	defer stores.Close()
	seen := &witness{log: c.log}
	seen.begin(c.cfg.Witness, at)
	defer seen.Close()
	l := &life{id: id, kept: *id, broken: make(chan struct{}), leases: duty.NewLeases(c.cfg.Lease), says: map[string]map[string]string{}, offers: map[string]string{}, came: map[string]comer{}, slow: make(chan time.Duration, 1)}
	l.streams = newStreams(func(ctx context.Context, server string) (net.Conn, error) {
		founding, epoch := l.lineage()
		return c.cfg.Peers.Stream(ctx, duty.NameOf(server), duty.Hello{Cluster: c.cfg.Cluster, Founding: founding, Epoch: epoch, From: id.server(), To: server})
	})
	defer l.streams.seal()
	var once sync.Once
	l.breaking = func(err error) {
		once.Do(func() {
			l.streams.seal() // before anything else: from here on this voter says nothing
			l.mu.Lock()
			l.why = err
			l.mu.Unlock()
			close(l.broken)
		})
	}
	l.machine = newMachine(l.breaking)
	if l.raft, err = c.open(l, stores, seen); err != nil {
		return err
	}
	c.set(l)
	defer func() {
		c.set(nil)
		if ctx.Err() != nil && l.raft.State() == raft.Leader {
			if err := l.raft.LeadershipTransfer().Error(); err != nil {
				c.log.Warn("leadership could not be handed over", "err", err)
			}
		}
		if err := l.raft.Shutdown().Error(); err != nil {
			c.log.Error("raft did not end", "err", err)
		}
	}()
	return c.take(ctx, l)
}

// unfold opens the folder. One of which more was written than is there, by the witness, is as good
// as lost: it is put aside, and another takes its place.
func (c *Council) unfold() (id *identity, stores Stores, at mark, err error) {
	why := ""
	for {
		var lost string
		if id, lost, err = openIdentity(c.cfg.Dir, c.cfg.Cluster, c.cfg.Name); err != nil {
			return nil, nil, at, err
		}
		if stores, err = c.cfg.Disk(c.cfg.Dir); err != nil {
			return nil, nil, at, err
		}
		why = cmp.Or(why, lost)
		var older string
		if at, older, err = c.older(id, stores); err != nil {
			return nil, nil, at, errors.Join(err, stores.Close())
		}
		if older == "" {
			break
		}
		why = older
		if err := errors.Join(stores.Close(), putAside(c.cfg.Dir)); err != nil {
			return nil, nil, at, err
		}
	}
	if why != "" {
		c.log.Error("the council's store is lost: this voter comes as a new one and waits to be taken in", "why", why, "server", id.server())
	}
	return id, stores, at, nil
}

// older tells how far the store has come, and why it is not the latest, if it is not. One that
// an operator has go on alone may be.
func (c *Council) older(id *identity, stores Stores) (at mark, why string, err error) {
	if at, err = markOf(id, stores, c.cfg.Dir); err != nil || c.cfg.Witness == "" || c.reborn() {
		return at, "", err
	}
	seen, known, err := readMark(c.cfg.Witness)
	if err == nil && known && at.before(seen) {
		why = fmt.Sprintf("it was put back from before: it has entry %d and term %d, and entry %d and term %d were written", at.last, at.term, seen.last, seen.term)
	}
	return at, why, err
}

func (c *Council) open(l *life, stores Stores, seen *witness) (*raft.Raft, error) {
	logger := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Error, Output: lines{c.log}, DisableTime: true})
	conf := raft.DefaultConfig()
	conf.LocalID = raft.ServerID(l.id.server())
	conf.HeartbeatTimeout = c.cfg.Lease / electAt
	conf.ElectionTimeout, conf.LeaderLeaseTimeout = conf.HeartbeatTimeout, conf.HeartbeatTimeout
	// The others hear with the next entry, or after this, what is agreed on. Only the leader's word
	// counts as current, so that raft's 50 ms would buy nothing for their price.
	conf.CommitTimeout = c.cfg.Lease / electAt
	conf.SnapshotThreshold, conf.TrailingLogs = snapshotAt, trailing
	conf.Logger, conf.NoLegacyTelemetry = logger, true
	conf.ShutdownOnRemove = false // it may be taken in again
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(c.cfg.Dir, snapshotsKept, logger)
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: l.streams, MaxPool: streamsKept, Timeout: c.cfg.Lease / 2, Logger: logger,
	})
	if c.reborn() {
		// All that this voter knows becomes a snapshot with itself as the only member.
		alone := raft.Configuration{Servers: []raft.Server{{ID: conf.LocalID, Address: raft.ServerAddress(conf.LocalID)}}}
		if err := raft.RecoverCluster(conf, newMachine(l.breaking), stores, stores, snapshots, local{transport, raft.ServerAddress(l.id.server())}, alone); err != nil {
			transport.Close()
			return nil, fmt.Errorf("council: recover: %w", err)
		}
	}
	guarded := &watched{Stores: stores, failed: l.breaking, took: func(d time.Duration) { c.took(l, d) }, witness: seen}
	r, err := raft.NewRaft(conf, l.machine, guarded, guarded, snapshots, local{transport, raft.ServerAddress(l.id.server())})
	if err != nil {
		transport.Close()
		return nil, fmt.Errorf("council: %w", err)
	}
	if err := l.failure(); err != nil {
		return nil, errors.Join(err, r.Shutdown().Error())
	}
	return r, nil
}

// local is a transport under a server's own name, as the streams' address is none.
type local struct {
	*raft.NetworkTransport
	own raft.ServerAddress
}

// LocalAddr implements raft.Transport.
func (t local) LocalAddr() raft.ServerAddress { return t.own }

// EncodePeer implements raft.Transport.
func (t local) EncodePeer(_ raft.ServerID, a raft.ServerAddress) []byte { return []byte(a) }

// lines passes raft's own log on.
type lines struct{ log *slog.Logger }

// Write implements io.Writer.
func (l lines) Write(text []byte) (int, error) {
	l.log.Warn("raft", "says", string(text))
	return len(text), nil
}

func (c *Council) set(l *life) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.life = l
	if l != nil {
		c.why, c.said = "", ""
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (l *life) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.why
}

// lineage gives the council's id and epoch as this voter knows them. Until raft tells what of its
// log is agreed on the state is empty, and the folder's own word is all there is.
func (l *life) lineage() (founding string, epoch uint64) {
	l.machine.look(func(s *duty.State) { founding, epoch = s.CouncilID(), s.Epoch() })
	if founding == "" {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.kept.Founding, l.kept.Epoch
	}
	return founding, epoch
}

func (l *life) founding() string {
	founding, _ := l.lineage()
	return founding
}

// took is told how long each write took.
func (c *Council) took(l *life, d time.Duration) {
	l.writes.Add(1)
	if d < c.cfg.Lease/slowAt {
		return
	}
	c.mu.Lock()
	c.slow, c.slowUntil = max(c.slow, d), time.Now().Add(time.Minute)
	c.mu.Unlock()
	select {
	case l.slow <- d:
	default: // it is known
	}
}

// handOver gives leadership away: with a slow disk a leader makes everybody wait.
func (c *Council) handOver(l *life, took time.Duration) {
	if l.raft.State() != raft.Leader {
		return
	}
	c.log.Warn("the disk is slow: leadership is handed over", "took", took)
	if err := l.raft.LeadershipTransfer().Error(); err != nil {
		c.log.Warn("leadership could not be handed over", "err", err)
	}
}

// take takes part.
func (c *Council) take(ctx context.Context, l *life) error {
	every := time.NewTicker(tickEvery)
	defer every.Stop()
	asked, wait := time.Time{}, tickEvery*2
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.broken:
			return l.failure()
		case took := <-l.slow:
			c.handOver(l, took)
			continue
		case <-every.C:
		}
		if f, e := l.lineage(); f != "" && (l.kept.Founding != f || l.kept.Epoch != e) {
			l.mu.Lock()
			l.kept.Founding, l.kept.Epoch = f, e
			kept := l.kept
			l.mu.Unlock()
			if err := kept.save(c.cfg.Dir); err != nil {
				return err
			}
		}
		if l.raft.State() == raft.Leader {
			c.lead(l)
		}
		if time.Since(asked) < wait {
			continue
		}
		asked, wait = time.Now(), tickEvery*2
		switch {
		case l.raft.State() == raft.Leader:
			if c.members(ctx, l) {
				wait = wholeEvery
			}
		case c.cfg.First && l.raft.LastIndex() == 0 && c.cfg.Voters[0] == c.cfg.Name:
			c.found(ctx, l)
		}
	}
}

// lead waits, at the beginning of a term, until all of before is known, and then takes every
// lease for granted just now.
func (c *Council) lead(l *life) {
	term := l.raft.CurrentTerm()
	l.mu.Lock()
	known := l.ledIn == term
	l.mu.Unlock()
	if known || l.raft.Barrier(applyWithin).Error() != nil || l.raft.CurrentTerm() != term {
		return
	}
	l.mu.Lock()
	l.leases.StartLeading(c.cfg.Clock.Now())
	l.ledIn = term
	clear(l.says)
	l.mu.Unlock()
	c.log.Info("leads", "term", term)
	if c.reborn() {
		again := duty.Recovery{ID: rand.Text(), Voters: []string{c.cfg.Name}, By: "operator"}
		if _, err := c.propose(l, duty.Command{Recovery: &again}); err != nil {
			c.log.Error("the council could not begin anew", "err", err)
		} else if err := os.Remove(filepath.Join(c.cfg.Dir, rebornFile)); err != nil {
			c.log.Error("the council would begin anew once more", "err", err)
		}
	}
	unfounded := false
	l.machine.look(func(s *duty.State) { unfounded = s.CouncilID() == "" })
	if unfounded {
		_, _ = c.propose(l, duty.Command{Bootstrap: &duty.Bootstrap{ID: rand.Text(), Voters: c.cfg.Voters}}) // or the next leader does
	}
}

// found begins a new council, once all its voters say that they know of none.
func (c *Council) found(ctx context.Context, l *life) {
	for _, name := range c.cfg.Voters {
		if name == c.cfg.Name {
			continue
		}
		ask, cancel := context.WithTimeout(ctx, askWithin)
		s, err := c.cfg.Peers.Status(ask, name)
		cancel()
		if err != nil || s.State != duty.Blank || s.Cluster != c.cfg.Cluster {
			return
		}
	}
	own := raft.Server{ID: raft.ServerID(l.id.server()), Address: raft.ServerAddress(l.id.server())}
	if err := l.raft.BootstrapCluster(raft.Configuration{Servers: []raft.Server{own}}).Error(); err != nil {
		c.log.Error("the council could not be founded", "err", err)
	}
}

// rebornFile tells that this voter is to go on alone.
const rebornFile = "recover"

func (c *Council) reborn() bool {
	_, err := os.Stat(filepath.Join(c.cfg.Dir, rebornFile))
	return err == nil
}

// Recover has this voter go on alone, as an operator has said who knows that most others are
// gone for good. It is refused while a majority lives: its word would be lost. What only the
// lost ones knew is lost.
func (c *Council) Recover(ctx context.Context) error {
	l := c.alive()
	if l == nil {
		return c.notLeader(nil)
	}
	var voters []string
	l.machine.look(func(s *duty.State) { voters = s.Voters() })
	if len(voters) == 0 {
		// Behind a start nothing of the log counts as agreed on before somebody leads, and nobody may for good:
		// its members are known all the same.
		now := l.raft.GetConfiguration()
		if err := now.Error(); err != nil {
			return fmt.Errorf("council: %w", err)
		}
		for _, s := range now.Configuration().Servers {
			if s.Suffrage == raft.Voter {
				voters = append(voters, duty.NameOf(string(s.ID)))
			}
		}
	}
	if len(voters) == 0 {
		return protocol.Errorf(protocol.CodeConflict, "%s knows of no council that it could go on with", c.cfg.Name)
	}
	lives := []string{}
	for _, name := range voters {
		if name == c.cfg.Name {
			lives = append(lives, name)
			continue
		}
		ask, cancel := context.WithTimeout(ctx, askWithin)
		s, err := c.cfg.Peers.Status(ask, name)
		cancel()
		if err == nil && s.Founding == l.founding() && s.State != duty.Broken {
			lives = append(lives, name)
		}
	}
	if len(lives)*2 > len(voters) || c.Leader() != "" {
		return protocol.Errorf(protocol.CodeConflict, "%d of %d voters live (%s): a majority goes on by itself", len(lives), len(voters), strings.Join(lives, ", "))
	}
	f, err := os.OpenFile(filepath.Join(c.cfg.Dir, rebornFile), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	c.log.Warn("goes on alone by an operator's word; voters of before are refused from now on", "voters", voters, "live", lives)
	l.breaking(errors.New("council: begins anew alone, by an operator's word"))
	return nil
}

// Backup gives the whole state, if a majority stands behind it.
func (c *Council) Backup() (*duty.Backup, error) {
	l, err := c.leading()
	if err != nil {
		return nil, err
	}
	var text []byte
	l.machine.look(func(s *duty.State) { text, err = s.Snapshot() })
	if err != nil {
		return nil, err
	}
	return duty.NewBackup(c.cfg.Cluster, time.Now(), text), nil
}

// members brings raft's members to what is agreed on, one change at a time: each new one is a
// learner first. It tells whether nothing is left to do.
func (c *Council) members(ctx context.Context, l *life) bool {
	var want []string
	l.machine.look(func(s *duty.State) { want = s.Voters() })
	now := l.raft.GetConfiguration()
	if now.Error() != nil || len(want) == 0 {
		return false
	}
	is := map[string]raft.Server{}
	for _, s := range now.Configuration().Servers {
		if name := duty.NameOf(string(s.ID)); !slices.Contains(want, name) {
			if name == c.cfg.Name { // it goes last, and not as the leader
				_ = l.raft.LeadershipTransfer().Error()
				return false
			}
			c.change(l.raft.RemoveServer(s.ID, now.Index(), applyWithin), "leaves", s.ID)
			return false
		}
		is[duty.NameOf(string(s.ID))] = s
	}
	whole := true
	for _, name := range want {
		if s, in := is[name]; in && s.Suffrage == raft.Voter && name == c.cfg.Name {
			continue
		}
		ask, cancel := context.WithTimeout(ctx, askWithin)
		there, err := c.cfg.Peers.Status(ask, name)
		cancel()
		if err != nil || there.State == duty.Broken || there.Cluster != c.cfg.Cluster || there.Agent != name || there.Founding != "" && there.Founding != l.founding() {
			whole = false
			continue
		}
		s, in := is[name]
		whole = whole && in && s.Suffrage == raft.Voter
		switch {
		case in && string(s.ID) != there.Server:
			// Its folder was lost: what it once voted and acknowledged it can't answer for.
			c.change(l.raft.RemoveServer(s.ID, now.Index(), applyWithin), "has lost its store and comes anew", s.ID)
			return false
		case !in:
			c.change(l.raft.AddNonvoter(raft.ServerID(there.Server), raft.ServerAddress(there.Server), now.Index(), applyWithin), "learns", raft.ServerID(there.Server))
			return false
		case s.Suffrage != raft.Voter && there.Applied >= l.raft.AppliedIndex():
			c.change(l.raft.AddVoter(s.ID, s.Address, now.Index(), applyWithin), "votes", s.ID)
			return false
		}
	}
	return whole
}

func (c *Council) change(f raft.IndexFuture, what string, id raft.ServerID) {
	if err := f.Error(); err != nil {
		c.log.Warn("the members could not be changed", "voter", string(id), "to", what, "err", err)
		return
	}
	c.log.Info("the members have changed", "voter", string(id), "it", what)
}

// Accept takes a stream from another voter in, or says why not.
func (c *Council) Accept(conn net.Conn) error {
	l := c.alive()
	if l == nil {
		return errSealed
	}
	return l.streams.offer(conn)
}

// Check tells what is wrong with a stream that another voter wants to begin.
func (c *Council) Check(h duty.Hello) error {
	l := c.alive()
	if l == nil {
		return protocol.Errorf(protocol.CodeNoCouncil, "%v", errSealed)
	}
	own, epoch := l.lineage()
	switch {
	case h.Cluster != c.cfg.Cluster:
		return protocol.Errorf(protocol.CodeForbidden, "a stream of the fleet %q, this is %q", h.Cluster, c.cfg.Cluster)
	case h.To != l.id.server():
		return protocol.Errorf(protocol.CodeForbidden, "a stream to %s, this is %s: its store of before is lost", h.To, l.id.server())
	case own != "" && h.Founding != "" && own != h.Founding && h.Epoch <= epoch:
		// Of a later epoch it is the council that this voter is catching up with: it knows this
		// folder as a member.
		return protocol.Errorf(protocol.CodeForbidden, "a stream of another council of %q, founded as %s, this one is %s", h.Cluster, h.Founding, own)
	}
	return nil
}

func (c *Council) alive() *life {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life == nil || c.life.failure() != nil {
		return nil
	}
	return c.life
}

// Leads tells whether this voter believes that it leads.
func (c *Council) Leads() bool {
	l := c.alive()
	return l != nil && l.raft.State() == raft.Leader
}

// Leader names the agent that leads, as this voter believes; "" if it knows of none.
func (c *Council) Leader() string {
	l := c.alive()
	if l == nil {
		return ""
	}
	_, id := l.raft.LeaderWithID()
	return duty.NameOf(string(id))
}

// Changed gives a channel that is closed when what this voter knows changes.
func (c *Council) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.life == nil {
		return c.changed
	}
	return c.life.machine.waiter()
}

// notLeader is the refusal of a voter that does not lead.
func (c *Council) notLeader(l *life) error {
	e := protocol.Errorf(protocol.CodeNoCouncil, "%s does not lead the council", c.cfg.Name)
	if l == nil {
		e.Text = fmt.Sprintf("%s has stepped aside from the council", c.cfg.Name)
		return e
	}
	if _, id := l.raft.LeaderWithID(); id != "" && duty.NameOf(string(id)) != c.cfg.Name {
		e.Leader = duty.NameOf(string(id))
	}
	return e
}

// leading gives the life if this voter leads for sure: a majority says so now.
func (c *Council) leading() (*life, error) {
	l := c.alive()
	if l == nil || l.raft.State() != raft.Leader {
		return nil, c.notLeader(l)
	}
	verified := make(chan error, 1)
	go func() { verified <- l.raft.VerifyLeader().Error() }()
	select {
	case err := <-verified:
		if err != nil {
			return nil, c.notLeader(l)
		}
	case <-time.After(verifyWithin):
		return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s leads and can't reach a majority of the council", c.cfg.Name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ledIn != l.raft.CurrentTerm() {
		return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s has just begun to lead: ask again", c.cfg.Name)
	}
	return l, nil
}

// propose has a command agreed on. An error of raft's leaves open whether it was.
func (c *Council) propose(l *life, command duty.Command) (duty.Result, error) {
	command.Form = duty.Form
	text, err := json.Marshal(command)
	if err != nil {
		return duty.Result{}, fmt.Errorf("council: %w", err)
	}
	f := l.raft.Apply(text, applyWithin)
	if err := f.Error(); err != nil {
		return duty.Result{}, protocol.Errorf(protocol.CodeNoCouncil, "not agreed on, or not known to be: %v", err)
	}
	r := f.Response().(duty.Result)
	return r, r.Err
}

// full refuses work while fewer voters have been taken in than a majority of those there are
// to be.
func (l *life) full() error {
	var want []string
	l.machine.look(func(s *duty.State) { want = s.Voters() })
	votes := 0
	f := l.raft.GetConfiguration()
	if f.Error() == nil {
		for _, s := range f.Configuration().Servers {
			if s.Suffrage == raft.Voter {
				votes++
			}
		}
	}
	if votes*2 <= len(want) || len(want) == 0 {
		return protocol.Errorf(protocol.CodeNoCouncil, "%d of %d voters have been taken in so far", votes, len(want))
	}
	return nil
}

// Do has a command agreed on, if this voter leads. Acquire is decided here, by the lease.
func (c *Council) Do(command duty.Command) (duty.Answer, error) {
	l, err := c.leading()
	if err != nil {
		return duty.Answer{}, err
	}
	if err := l.full(); err != nil {
		return duty.Answer{}, err
	}
	if command.Report != nil && command.Report.Asks {
		// Nothing is written for it; the leader knows all, as a majority has just said.
		var r duty.Result
		l.machine.look(func(s *duty.State) { r = s.Apply(duty.Command{Form: duty.Form, Report: command.Report}) })
		if r.Err != nil {
			return duty.Answer{}, r.Err
		}
		r.Told.Back = l.back(command.Report, time.Now())
		return duty.Answer{Told: r.Told}, nil
	}
	if command.Acquire != nil {
		return c.acquire(l, *command.Acquire)
	}
	switch {
	case command.Bootstrap != nil || command.Recovery != nil:
		return duty.Answer{}, protocol.Errorf(protocol.CodeUsage, "a council founds itself")
	case command.Restore != nil && command.Restore.Backup != nil:
		if _, err := command.Restore.Backup.Check(c.cfg.Cluster); err != nil {
			return duty.Answer{}, err
		}
	}
	r, err := c.propose(l, command)
	if command.Change != nil && err == nil {
		// The others hear with the next entry that this one is agreed on, and the duty's owner may be among them: an
		// operator's ban does not wait for a heartbeat.
		l.raft.Barrier(applyWithin)
	}
	if r.Told != nil {
		r.Told.Back = l.back(command.Report, time.Now())
	}
	return duty.Answer{Token: r.Token, Job: r.Job, Told: r.Told, Kept: r.Kept, Fleet: r.Fleet}, err
}

// back counts the agents that have come back of late, one that reports a new start among them.
// Nothing but the pace of starts hangs on it.
func (l *life) back(r *duty.Report, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if came, known := l.came[r.Agent]; !known || came.starts != r.Starts || came.folder != r.Folder {
		l.came[r.Agent] = comer{r.Starts, r.Folder, now}
	}
	n := 0
	for name, c := range l.came {
		if now.Sub(c.at) <= backWithin {
			n++
		} else if len(l.came) > duty.MaxAgents {
			delete(l.came, name)
		}
	}
	return n
}

// comer is an agent that came back.
type comer struct {
	starts uint64
	folder string
	at     time.Time
}

func (c *Council) acquire(l *life, a duty.Acquire) (duty.Answer, error) {
	var is duty.Duty
	l.machine.look(func(s *duty.State) { is = s.Duty(a.Duty) })
	l.mu.Lock()
	left, ok := l.leases.Remaining(a.Duty, c.cfg.Clock.Now())
	l.mu.Unlock()
	if !ok {
		return duty.Answer{}, c.notLeader(l)
	}
	if is.Owner != "" && is.Owner != a.Owner && left > 0 {
		return duty.Answer{Left: left}, nil
	}
	l.mu.Lock()
	offer := l.offers[a.Owner]
	if offer == "" || a.Offer != offer {
		if len(l.offers) >= offersMost {
			clear(l.offers)
		}
		offer = rand.Text()
		l.offers[a.Owner] = offer
		l.mu.Unlock()
		return duty.Answer{Offer: offer}, nil
	}
	delete(l.offers, a.Owner)
	l.mu.Unlock()
	a.After, a.Offer = is.Token, ""
	r, err := c.propose(l, duty.Command{Acquire: &a})
	if err != nil {
		return duty.Answer{}, err
	}
	l.mu.Lock()
	l.leases.Granted(a.Duty, c.cfg.Clock.Now())
	l.mu.Unlock()
	c.log.Info("a duty has an owner", "duty", a.Duty, "owner", a.Owner, "token", r.Token, "before", is.Owner)
	return duty.Answer{Token: r.Token}, nil
}

// Renew extends a duty's lease, if this voter leads. Nothing is written for it.
func (c *Council) Renew(r duty.Renewal) error {
	l, err := c.leading()
	if err != nil {
		return err
	}
	var is duty.Duty
	l.machine.look(func(s *duty.State) { is = s.Duty(r.Duty) })
	if is.Owner == "" || is.Token != r.Token {
		return protocol.Errorf(protocol.CodeFenced, "token %v of %s is over: the latest is %v, of %q", r.Token, r.Duty, is.Token, is.Owner)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leases.Renew(r.Duty, c.cfg.Clock.Now()) {
		return protocol.Errorf(protocol.CodeFenced, "the lease of %s under token %v has ended", r.Duty, r.Token)
	}
	says := map[string]string{}
	for _, job := range slices.Sorted(maps.Keys(r.Says)) {
		if len(says) == saysMost {
			break
		}
		says[job] = r.Says[job]
	}
	l.says[r.Duty] = says // the duties are few: those that somebody owns
	return nil
}

// View gives what this voter knows; it is current only if a majority says that it leads.
func (c *Council) View() (duty.View, error) {
	_, err := c.leading()
	l := c.alive()
	if l == nil {
		return duty.View{}, c.notLeader(nil)
	}
	return c.known(l, err == nil), nil
}

// Desired gives what this voter knows of what the fleet should be; it is current only if a majority says that
// it leads.
func (c *Council) Desired() (duty.FleetView, error) {
	_, err := c.leading()
	l := c.alive()
	if l == nil {
		return duty.FleetView{}, c.notLeader(nil)
	}
	v := duty.FleetView{From: c.cfg.Name, Current: err == nil}
	l.machine.look(func(s *duty.State) { v.State, v.Owner = s.Desired(), s.Duty(duty.Fleet).Owner })
	return v, nil
}

// KnownDesired gives the same without asking anybody, and whether it differs from the version that the caller
// knows; nil if it does not, or the voter has stepped aside.
func (c *Council) KnownDesired(but desired.Version) (state *desired.State) {
	if l := c.alive(); l != nil {
		l.machine.look(func(s *duty.State) {
			if s.DesiredVersion() != but {
				state = s.Desired()
			}
		})
	}
	return state
}

// Known gives what this voter knows without asking anybody, for its own agent; false if it
// has stepped aside.
func (c *Council) Known() (duty.View, bool) {
	l := c.alive()
	if l == nil {
		return duty.View{}, false
	}
	return c.known(l, false), true
}

// Memories gives what the council keeps of agents, as this voter knows it.
func (c *Council) Memories() (all map[string]duty.Memory) {
	if l := c.alive(); l != nil {
		l.machine.look(func(s *duty.State) { all = s.Agents() })
	}
	return all
}

func (c *Council) known(l *life, current bool) duty.View {
	v := duty.View{From: c.cfg.Name, Leader: c.Leader(), Current: current}
	if at := l.raft.LastContact(); !current && !at.IsZero() {
		v.Age = time.Since(at)
	}
	now := c.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.look(func(s *duty.State) {
		v.Duties, v.Jobs, v.Voters = []duty.Owned{}, s.Jobs(), s.Voters()
		for _, d := range s.Duties() {
			o := duty.Owned{Duty: d}
			if v.Current && d.Owner != "" {
				o.Left, o.Known = l.leases.Remaining(d.Name, now)
			}
			v.Duties = append(v.Duties, o)
		}
	})
	if v.Current {
		v.Says = map[string]string{}
		for _, says := range l.says {
			maps.Copy(v.Says, says)
		}
	}
	return v
}

// Status gives the voter's own state.
func (c *Council) Status() duty.Status {
	c.mu.Lock()
	s := duty.Status{Agent: c.cfg.Name, Cluster: c.cfg.Cluster, State: duty.Broken, Why: c.why, Members: []duty.Member{}}
	if time.Now().Before(c.slowUntil) {
		s.SlowFor = c.slow
	} else {
		c.slow = 0
	}
	c.mu.Unlock()
	l := c.alive()
	if l == nil {
		return s
	}
	s.Server, s.Founding = l.id.server(), l.founding()
	s.Leader, s.Term = c.Leader(), l.raft.CurrentTerm()
	s.Writes = l.writes.Load()
	s.Last, s.Applied = l.raft.LastIndex(), l.raft.AppliedIndex()
	if f := l.raft.GetConfiguration(); f.Error() == nil {
		for _, m := range f.Configuration().Servers {
			s.Members = append(s.Members, duty.Member{Server: string(m.ID), Votes: m.Suffrage == raft.Voter})
		}
	}
	mine := slices.IndexFunc(s.Members, func(m duty.Member) bool { return m.Server == s.Server })
	switch {
	case l.raft.State() == raft.Leader:
		s.State = duty.Leader
		return s
	case l.raft.LastIndex() == 0 && s.Founding == "":
		s.State = duty.Blank
		return s
	case s.Leader == "":
		s.State = duty.Alone
	case mine >= 0 && !s.Members[mine].Votes:
		s.State = duty.Learner
	default:
		s.State = duty.Follower
	}
	if at := l.raft.LastContact(); !at.IsZero() {
		s.Contact = time.Since(at)
	}
	return s
}

// Folder gives the council's in an agent's state folder.
func Folder(state string) string { return filepath.Join(state, "council") }
