package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"otterstep/internal/boottime"
	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/council"
	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/owner"
	"otterstep/internal/fleet/pki"
	"otterstep/internal/fleet/protocol"
)

const (
	// callTimeout bounds a call to one voter, after which the next one is tried.
	callTimeout = time.Second
	// voterCheckInterval is how often an agent that does not vote checks whether it has become a voter.
	voterCheckInterval = 5 * time.Second
)

// participant is an agent's part in the council: its own voter, if it has one, and clients of the
// other agents. It implements owner.Council.
type participant struct {
	agent      *Agent
	peers      map[string]*client.Client
	clock      boottime.Clock
	firstStart bool
	openStores func(dir string) (council.Stores, error)

	mu         sync.Mutex
	voter      *council.Council // nil if the agent does not vote
	lastLeader string           // the last known leader
	voters     []string
}

// newParticipant requires that the agent's file has [council].
func newParticipant(a *Agent, opt Options) (*participant, error) {
	c := &participant{agent: a, peers: map[string]*client.Client{}, clock: opt.Clock, firstStart: opt.FirstStart, openStores: opt.OpenStores, voters: a.cfg.Council.Voters}
	if c.clock == nil {
		c.clock = boottime.System{}
	}
	clients, err := a.cfg.clients()
	if err != nil {
		return nil, err
	}
	for _, k := range clients {
		c.peers[k.Name()] = k
	}
	if _, err := os.Stat(council.Dir(a.cfg.State)); err == nil || slices.Contains(c.voters, a.cfg.Name) {
		c.startVoter()
	}
	return c, nil
}

// startVoter creates the agent's voter.
func (c *participant) startVoter() *council.Council {
	cfg := c.agent.cfg
	c.mu.Lock()
	defer c.mu.Unlock()
	c.voter = council.New(council.Config{
		Name: cfg.Name, Cluster: cfg.Council.Cluster, Dir: council.Dir(cfg.State), ProgressFile: cfg.Copy + ".council", Voters: cfg.Council.Voters,
		First: c.firstStart, Lease: cfg.Council.Lease.Duration, Clock: c.clock, Peers: c, Log: c.agent.log, OpenStores: c.openStores,
	})
	return c.voter
}

func (c *participant) currentVoter() *council.Council {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.voter
}

// run takes part in the council until ctx is done.
func (c *participant) run(ctx context.Context) {
	defer func() {
		for _, k := range c.peers {
			k.Close()
		}
	}()
	every := time.NewTicker(voterCheckInterval)
	defer every.Stop()
	var reporting sync.WaitGroup
	defer reporting.Wait()
	reporting.Go(func() { c.reportLoop(ctx) })
	for c.currentVoter() == nil {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		// Best effort: errors are ignored, as the next check tries again.
		if v, err := c.View(ctx); err == nil && slices.Contains(v.Voters, c.agent.cfg.Name) {
			c.agent.log.Info("this agent has become a voter")
			c.startVoter()
		}
	}
	// The owner stops before the voter: releasing its duty needs the council.
	voting, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var work sync.WaitGroup
	work.Go(func() { c.currentVoter().Run(voting) })
	all := make([]*client.Client, 0, len(c.peers))
	for _, k := range c.peers {
		all = append(all, k)
	}
	opt := owner.Options{
		Name: c.agent.cfg.Name, Lease: c.agent.cfg.Council.Lease.Duration, Clock: c.clock,
		Council: c, Fleet: group.New(all), Log: c.agent.log, Hook: c.agent.stepHook,
	}
	var owners sync.WaitGroup
	owners.Go(func() { owner.New(opt).Run(ctx) })
	if c.agent.cfg.Fleet != nil {
		owners.Go(func() { owner.NewFleetOwner(opt).Run(ctx) })
	}
	owners.Wait()
	end()
	work.Wait()
}

// Stream implements council.Peers.
func (c *participant) Stream(ctx context.Context, agent string, h duty.Hello) (net.Conn, error) {
	k := c.peers[agent]
	if k == nil {
		return nil, fmt.Errorf("agent %s is not in [council]", agent)
	}
	return k.CouncilStream(ctx, h)
}

// Status implements council.Peers.
func (c *participant) Status(ctx context.Context, agent string) (duty.Status, error) {
	k := c.peers[agent]
	if k == nil {
		return duty.Status{}, fmt.Errorf("agent %s is not in [council]", agent)
	}
	return k.CouncilStatus(ctx)
}

// candidates returns the other agents to call, the most likely leader first.
func (c *participant) candidates(voter *council.Council) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	leader := c.lastLeader
	if voter != nil {
		if known := voter.Leader(); known != "" {
			leader = known
		}
	}
	list := []string{leader}
	for _, name := range slices.Concat(c.voters, c.agent.cfg.Council.Voters) {
		if !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	return slices.DeleteFunc(list, func(name string) bool { return name == c.agent.cfg.Name || c.peers[name] == nil })
}

func isNoCouncil(err error) bool {
	var e *protocol.Error
	return err != nil && (!errors.As(err, &e) || e.Code == protocol.CodeNoCouncil)
}

// callLeader calls the leader: this agent's voter if it leads, else the other agents in turn until one
// answers as leader.
func (c *participant) callLeader(ctx context.Context, local func(*council.Council) error, remote func(context.Context, *client.Client) error) error {
	voter := c.currentVoter()
	var failures []string
	if voter != nil && voter.IsLeader() {
		err := local(voter)
		if !isNoCouncil(err) {
			return err
		}
		failures = append(failures, err.Error())
	}
	list := c.candidates(voter)
	asked := map[string]bool{}
	for len(list) > 0 && ctx.Err() == nil {
		name := list[0]
		list = list[1:]
		if asked[name] {
			continue
		}
		asked[name] = true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := remote(callCtx, c.peers[name])
		cancel()
		if !isNoCouncil(err) {
			c.mu.Lock()
			c.lastLeader = name
			c.mu.Unlock()
			return err
		}
		failures = append(failures, fmt.Sprintf("%s: %v", name, err))
		var e *protocol.Error
		if errors.As(err, &e) && e.Leader != "" && c.peers[e.Leader] != nil && !asked[e.Leader] {
			list = append([]string{e.Leader}, list...)
		}
	}
	return protocol.Errorf(protocol.CodeNoCouncil, "the council has no leader that can be reached from %s, so no fleet operation can begin; nodes keep serving and agents keep supervising (%s)", c.agent.cfg.Name, strings.Join(failures, "; "))
}

// Do submits a command to the council.
func (c *participant) Do(ctx context.Context, k duty.Command) (a duty.Answer, err error) {
	k.FormatVersion = duty.FormatVersion
	err = c.callLeader(ctx, func(voter *council.Council) (err error) {
		a, err = voter.Do(k)
		return err
	}, func(ctx context.Context, peer *client.Client) (err error) {
		a, err = peer.CouncilSubmit(ctx, k, true)
		return err
	})
	return a, err
}

// Renew renews a duty's lease.
func (c *participant) Renew(ctx context.Context, r duty.Renewal) error {
	return c.callLeader(ctx, func(voter *council.Council) error { return voter.Renew(r) },
		func(ctx context.Context, peer *client.Client) error { return peer.CouncilRenew(ctx, r) })
}

// View returns the committed state. If no leader can be reached, it returns the state known here or at
// another voter, marked as possibly outdated.
func (c *participant) View(ctx context.Context) (v duty.View, err error) {
	var old *duty.View
	keep := func(got duty.View, err error) error {
		if err == nil && !got.Current {
			if old == nil || got.Age < old.Age {
				old = &got
			}
			return protocol.Errorf(protocol.CodeNoCouncil, "%s does not lead", got.From)
		}
		v = got
		return err
	}
	err = c.callLeader(ctx, func(voter *council.Council) error { return keep(voter.View()) },
		func(ctx context.Context, peer *client.Client) error { return keep(peer.CouncilView(ctx, true)) })
	if err != nil {
		if voter := c.currentVoter(); voter != nil && old == nil {
			_ = keep(voter.View())
		}
		if old == nil {
			return v, err
		}
		return *old, nil
	}
	c.mu.Lock()
	c.voters = v.Voters
	c.mu.Unlock()
	return v, nil
}

// Known returns the state known to the agent's own voter, without any call.
func (c *participant) Known() (duty.View, bool) {
	voter := c.currentVoter()
	if voter == nil {
		return duty.View{}, false
	}
	return voter.Known()
}

// Memories returns the data that the council keeps for all agents, as known to the agent's own voter.
func (c *participant) Memories() map[string]duty.AgentData { return c.currentVoter().Memories() }

// Changed returns a channel that signals changes of the result of Known.
func (c *participant) Changed() <-chan struct{} { return c.currentVoter().Changed() }

// registerCouncilHandlers registers the handlers of an agent with a council.
func (a *Agent) registerCouncilHandlers(mux *http.ServeMux, handle func(pattern, role string, f func(r *http.Request, c caller) (any, error)), identify func(*http.Request) caller) {
	c := a.council
	handle("POST /v1/fence", pki.Agent, func(r *http.Request, by caller) (any, error) {
		var f protocol.Fence
		if err := decodeStrict(r, &f); err != nil {
			return nil, err
		}
		if by.fence == nil || f != *by.fence {
			return nil, protocol.Errorf(protocol.CodeUsage, "fence: %v in the body, %v in %s", f, by.fence, protocol.FenceHeader)
		}
		return a.raiseFence(f, by.name)
	})
	if a.fleetBans != nil {
		a.registerFleetHandlers(handle)
	} else {
		off := func(w http.ResponseWriter, _ *http.Request) {
			reply(w, nil, protocol.Errorf(protocol.CodeOff, "this agent's file has no [fleet]"))
		}
		mux.HandleFunc("/v1/fleet", off)
		mux.HandleFunc("/v1/fleet/", off)
	}
	handle("GET /v1/council/status", pki.Viewer, func(*http.Request, caller) (any, error) {
		voter := c.currentVoter()
		if voter == nil {
			return duty.Status{Agent: a.cfg.Name, Cluster: a.cfg.Council.Cluster, State: duty.Outside, Members: []duty.Member{}}, nil
		}
		return voter.Status(), nil
	})
	handle("GET /v1/council", pki.Viewer, func(r *http.Request, _ caller) (any, error) {
		if r.URL.Query().Get("direct") == "" {
			return c.View(r.Context())
		}
		voter := c.currentVoter()
		if voter == nil {
			return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s does not vote", a.cfg.Name)
		}
		return voter.View()
	})
	handle("POST /v1/council/command", pki.Viewer, func(r *http.Request, by caller) (any, error) {
		var k duty.Command
		if err := decodeLenient(r, &k); err != nil {
			return nil, err
		}
		if err := by.setOperator(&k); err != nil {
			return nil, err
		}
		if (k.Change != nil || k.Observation != nil) && a.fleetBans == nil {
			return nil, protocol.Errorf(protocol.CodeOff, "this agent's file has no [fleet]")
		}
		if k.FormatVersion != duty.FormatVersion {
			return nil, protocol.Errorf(protocol.CodeVersion, "the command has format version %d, but %s supports %d: bring tool and agents to one version", k.FormatVersion, a.cfg.Name, duty.FormatVersion)
		}
		if r.URL.Query().Get("direct") == "" {
			return c.Do(r.Context(), k)
		}
		voter := c.currentVoter()
		if voter == nil {
			return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s does not vote", a.cfg.Name)
		}
		return voter.Do(k)
	})
	handle("POST /v1/council/recover", pki.Operator, func(r *http.Request, by caller) (any, error) {
		var q protocol.Recover
		if err := decodeStrict(r, &q); err != nil {
			return nil, err
		}
		voter := c.currentVoter()
		switch {
		case q.Cluster != a.cfg.Council.Cluster:
			return nil, protocol.Errorf(protocol.CodeUsage, "cluster: %q, this agent's is %q", q.Cluster, a.cfg.Council.Cluster)
		case voter == nil:
			return nil, protocol.Errorf(protocol.CodeUsage, "%s does not vote, so it has no state to recover the council from", a.cfg.Name)
		}
		a.log.Warn("council recovery requested", "operator", by.name)
		return struct{}{}, voter.Recover(r.Context())
	})
	handle("GET /v1/council/backup", pki.Viewer, func(r *http.Request, by caller) (any, error) {
		if by.role == pki.Viewer {
			return nil, protocol.Errorf(protocol.CodeForbidden, "%q has the role %q, this takes %q", by.name, by.role, pki.Operator)
		}
		if voter := c.currentVoter(); r.URL.Query().Get("direct") != "" {
			if voter == nil {
				return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s does not vote", a.cfg.Name)
			}
			return voter.Backup()
		}
		var b *duty.Backup
		err := c.callLeader(r.Context(), func(voter *council.Council) (err error) {
			b, err = voter.Backup()
			return err
		}, func(ctx context.Context, peer *client.Client) (err error) {
			b, err = peer.CouncilBackup(ctx, true)
			return err
		})
		return b, err
	})
	handle("POST /v1/council/renew", pki.Agent, func(r *http.Request, _ caller) (any, error) {
		var q duty.Renewal
		if err := decodeLenient(r, &q); err != nil {
			return nil, err
		}
		voter := c.currentVoter()
		if voter == nil {
			return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s does not vote", a.cfg.Name)
		}
		return struct{}{}, voter.Renew(q)
	})
	mux.HandleFunc("GET /v1/council/stream", func(w http.ResponseWriter, r *http.Request) {
		if err := a.handleStream(w, r, identify(r)); err != nil {
			reply(w, nil, err)
		}
	})
}

// Desired returns the fleet's desired state. If no leader can be reached, it returns the state known here or at
// another voter, marked as possibly outdated.
func (c *participant) Desired(ctx context.Context) (v duty.FleetView, err error) {
	var old *duty.FleetView
	keep := func(got duty.FleetView, err error) error {
		if err == nil && !got.Current {
			if old == nil || got.State.Document.Version > old.State.Document.Version {
				old = &got
			}
			return protocol.Errorf(protocol.CodeNoCouncil, "%s does not lead", got.From)
		}
		v = got
		return err
	}
	err = c.callLeader(ctx, func(voter *council.Council) error { return keep(voter.Desired()) },
		func(ctx context.Context, peer *client.Client) error { return keep(peer.Desired(ctx, true)) })
	if err == nil {
		return v, nil
	}
	if voter := c.currentVoter(); voter != nil && old == nil {
		_ = keep(voter.Desired())
	}
	if old == nil {
		return v, err
	}
	return *old, nil
}

// KnownDesired returns the desired state known to the agent's own voter if its version differs from except.
func (c *participant) KnownDesired(except desired.Version) *desired.State {
	return c.currentVoter().KnownDesired(except)
}

// registerFleetHandlers registers the handlers of an agent whose fleet's desired state the council keeps.
func (a *Agent) registerFleetHandlers(handle func(pattern, role string, f func(r *http.Request, c caller) (any, error))) {
	handle("GET /v1/fleet", pki.Viewer, func(*http.Request, caller) (any, error) { return a.fleetBans.status(), nil })
	handle("POST /v1/fleet", pki.Agent, func(r *http.Request, by caller) (any, error) {
		var o protocol.FleetOrder
		if err := decodeLenient(r, &o); err != nil {
			return nil, err
		}
		if by.fence == nil || by.fence.Duty != duty.Fleet {
			return nil, protocol.Errorf(protocol.CodeUsage, "the fleet's word comes from the owner of the duty %s, with its token in %s", duty.Fleet, protocol.FenceHeader)
		}
		return a.fleetBans.handleOrder(r.Context(), o, *by.fence)
	})
	handle("GET /v1/fleet/desired", pki.Viewer, func(r *http.Request, _ caller) (any, error) {
		if r.URL.Query().Get("direct") == "" {
			return a.council.Desired(r.Context())
		}
		voter := a.council.currentVoter()
		if voter == nil {
			return nil, protocol.Errorf(protocol.CodeNoCouncil, "%s does not vote", a.cfg.Name)
		}
		return voter.Desired()
	})
}

// setOperator sets the operator of a command to the caller, and refuses commands that the caller's role does
// not permit. A command forwarded by another agent keeps the operator that was set there.
func (c caller) setOperator(k *duty.Command) error {
	required, by := pki.Operator, (*string)(nil)
	switch {
	case k.Submit != nil:
		by = &k.Submit.Operator
	case k.SetJobState != nil && k.SetJobState.Token == 0:
		by = &k.SetJobState.By
	case k.VoterChange != nil:
		by = &k.VoterChange.By
	case k.Restore != nil:
		by = &k.Restore.By
	case k.Change != nil && k.Change.Token == 0:
		by = &k.Change.By
	case k.Report != nil && c.role == pki.Agent && c.name != k.Report.Agent:
		return protocol.Errorf(protocol.CodeForbidden, "%q may not report for %q", c.name, k.Report.Agent)
	case k.Release != nil && k.Release.Forced:
		by = &k.Release.By
	default:
		required = pki.Agent
	}
	if c.role != localRole && c.role != pki.Agent && c.role != required {
		return protocol.Errorf(protocol.CodeForbidden, "%q has the role %q, this takes %q", c.name, c.role, required)
	}
	if by == nil {
		return nil
	}
	if *by == "" || c.role == pki.Operator {
		*by = c.name
	}
	if !protocol.OperatorPattern.MatchString(*by) {
		return protocol.Errorf(protocol.CodeUsage, "%q is not a valid operator name", *by)
	}
	return nil
}

// handleStream upgrades a request to a stream between two voters.
func (a *Agent) handleStream(w http.ResponseWriter, r *http.Request, who caller) error {
	q := r.URL.Query()
	h := duty.Hello{Cluster: q.Get("cluster"), CouncilID: q.Get("founding"), From: q.Get("from"), To: q.Get("to")}
	voter := a.council.currentVoter()
	var err error
	if h.Epoch, err = strconv.ParseUint(q.Get("epoch"), 10, 64); err != nil {
		return protocol.Errorf(protocol.CodeUsage, "epoch: %q is not a number", q.Get("epoch"))
	}
	switch {
	case !who.may(pki.Agent) || who.role == pki.Agent && who.name != duty.AgentName(h.From):
		a.refused.add("role")
		return protocol.Errorf(protocol.CodeForbidden, "%q may not open a stream for the voter %q", who.name, h.From)
	case voter == nil:
		return protocol.Errorf(protocol.CodeNoCouncil, "%s does not vote", a.cfg.Name)
	case r.Header.Get("Upgrade") != client.StreamProtocol:
		return protocol.Errorf(protocol.CodeUsage, "a stream needs Upgrade: %s", client.StreamProtocol)
	}
	if err := voter.CheckStream(h); err != nil {
		return err
	}
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	// The HTTP server's deadlines do not apply to streams; raft has its own timeouts.
	err = conn.SetDeadline(time.Time{})
	if err == nil {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", client.StreamProtocol)
	}
	if err != nil {
		conn.Close()
		return nil // the peer is gone, so there is nobody to report the error to
	}
	if err := voter.AcceptStream(bufferedConn{conn, buf.Reader}); err != nil {
		a.log.Debug("a stream was not accepted", "from", h.From, "err", err)
	}
	return nil
}

// bufferedConn is a connection from which a prefix may already have been read into a buffer.
type bufferedConn struct {
	net.Conn
	r *bufio.Reader
}

// Read implements net.Conn.
func (b bufferedConn) Read(p []byte) (int, error) { return b.r.Read(p) }
