// Package sip is the SIP front of a node. It runs the sockets, a goroutine that drives the
// proxy's Machine, and a separate pool in the core. It is enabled if the operator's file
// configures a listener for it.
package sip

import (
	"context"
	crand "crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"otterstep/internal/connpace"
	"otterstep/internal/core"
	"otterstep/internal/membudget"
	"otterstep/internal/serverlist"
	"otterstep/internal/sip/message"
	"otterstep/internal/sip/proxy"
	"otterstep/internal/sip/transaction"
	"otterstep/policy"
)

// maxQueuedEvents bounds the queue of events for the Machine. When it is full, datagrams are
// dropped, as their senders retransmit them; streams block.
const maxQueuedEvents = 4096

// While more events wait, the Machine's goroutine sleeps after each eventsPerTurn of them, so that others, and the
// network, have their turn (see package connpace).
const (
	eventsPerTurn = 32
	turnPause     = 50 * time.Microsecond
)

// Front proxies SIP. Make it with New, then call Run.
type Front struct {
	config    Config
	memory    *membudget.Account // of requests and of datagrams that wait
	log       *slog.Logger
	loop      *core.Loop
	machine   *proxy.Machine
	events    chan func()
	stopped   chan struct{}
	udp       *udpSocket
	streams   *streams
	listeners []net.Listener
	transport proxy.Transport // towards the servers
	dropped   atomic.Int64    // datagrams dropped because the event queue was full
	attempts  atomic.Uint64   // number of the last attempt
	pings     uint64

	// The following fields belong to the Machine's goroutine.
	deferred        []func() // events to run after the current one
	pendingAttempts map[uint64]pendingAttempt
	pendingRequests map[uint64]pendingRequest
	servers         map[policy.ServerID]core.Server
}

// pendingAttempt is an attempt of the core for which the Machine has yet to call Finish.
type pendingAttempt struct {
	end  chan<- proxy.End
	turn core.AttemptHandle
}

// pendingRequest is a request that the core has yet to answer.
type pendingRequest struct {
	ticket    *core.Ticket
	withdrawn chan struct{}
}

// New opens the listeners and makes the pool. memory is what requests can make the front hold; nil: no limit. The
// configuration must have passed Check.
func New(c Config, memory *membudget.Account, seed uint64, clock core.Clock, log *slog.Logger) (*Front, error) {
	return newFront(c, memory, seed, clock, transaction.DefaultTiming(), log)
}

func newFront(c Config, memory *membudget.Account, seed uint64, clock core.Clock, timing transaction.Timing, log *slog.Logger) (_ *Front, err error) {
	f := &Front{
		config: c, memory: memory, log: log, events: make(chan func(), maxQueuedEvents), stopped: make(chan struct{}),
		transport:       transportByName[c.Upstream.Transport],
		pendingAttempts: map[uint64]pendingAttempt{}, pendingRequests: map[uint64]pendingRequest{}, servers: map[policy.ServerID]core.Server{},
	}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	options := proxy.Options{
		Host: f, Timing: timing, RetryAfter: c.RetryAfter.Duration, TokenLifetime: c.DialogFor.Duration,
		Limits: proxy.Limits{Transactions: c.Limits.Transactions, PerSource: c.Limits.PerSource},
		Memory: memory, Listen: map[proxy.Transport]netip.AddrPort{}, WallTime: clock.Wall,
	}
	for i, class := range c.classes() {
		options.Deadlines[i] = class.Deadline.Duration
	}
	if options.Signer, err = c.signer(); err != nil {
		return nil, fmt.Errorf("sip.token_key: %w", err)
	}
	if _, err := crand.Read(options.Seed[:]); err != nil {
		return nil, fmt.Errorf("sip: random numbers: %w", err)
	}
	server, err := c.serverTLS()
	if err != nil {
		return nil, fmt.Errorf("sip.tls: %w", err)
	}
	client, err := c.clientTLS()
	if err != nil {
		return nil, fmt.Errorf("sip.upstream: %w", err)
	}
	f.streams = newStreams(f, c.Limits.Connections, client)
	if c.UDP != "" {
		if f.udp, err = listenUDP(c.UDP); err != nil {
			return nil, fmt.Errorf("sip.udp: %w", err)
		}
		options.Listen[proxy.UDP] = f.udp.addr
	}
	for _, l := range []struct {
		at        string
		transport proxy.Transport
	}{{c.TCP, proxy.TCP}, {c.TLS, proxy.TLS}} {
		if l.at == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.at)
		if err != nil {
			return nil, fmt.Errorf("sip listener: %w", err)
		}
		options.Listen[l.transport] = listener.Addr().(*net.TCPAddr).AddrPort()
		if l.transport == proxy.TLS {
			listener = tls.NewListener(listener, server)
		}
		f.listeners = append(f.listeners, listener)
	}
	f.loop, err = core.New(core.Options{
		Settings: c.settings(), Seed: seed, Clock: clock, Watch: func() {}, Drop: f.streams.drop,
	})
	if err != nil {
		return nil, fmt.Errorf("sip: %w", err)
	}
	f.machine = proxy.New(options)
	return f, nil
}

// Listen returns the front's listening addresses by transport.
func (f *Front) Listen() map[string]string {
	at := map[string]string{}
	if f.udp != nil {
		at["udp"] = f.udp.addr.String()
	}
	for _, l := range f.listeners {
		name := "tcp"
		if _, plain := l.(*net.TCPListener); !plain {
			name = "tls"
		}
		at[name] = l.Addr().String()
	}
	return at
}

func (f *Front) close() {
	if f.udp != nil {
		f.udp.Close()
	}
	for _, l := range f.listeners {
		l.Close()
	}
}

// Run serves traffic until ctx ends. It returns after all its goroutines have.
func (f *Front) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	defer all.Wait()
	defer f.streams.close()
	defer f.close()
	defer close(f.stopped)
	all.Go(func() { f.loop.Run(ctx) })
	if f.udp != nil {
		all.Go(f.readDatagrams)
	}
	for _, l := range f.listeners {
		transport := proxy.TCP
		if _, plain := l.(*net.TCPListener); !plain {
			transport = proxy.TLS
		}
		all.Go(func() { f.accept(l, transport) })
	}
	all.Go(func() { f.ping(ctx) })
	if entries, addrs := serverlist.Entries(f.config.Servers); len(entries) > 0 {
		f.Members(policy.ListFull, entries, addrs)
	}
	f.log.Info("SIP front started", "listen", f.Listen(), "servers", f.config.Upstream.Transport)
	f.run(ctx)
}

// run is the Machine's goroutine.
func (f *Front) run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for turn := 1; ; turn++ {
		if turn%eventsPerTurn == 0 && len(f.events) > 0 {
			time.Sleep(turnPause)
		}
		select {
		case <-ctx.Done():
			return
		case event := <-f.events:
			event()
		case <-wake.C:
		}
		f.machine.Tick(f.now())
		for len(f.deferred) > 0 {
			next := f.deferred[0]
			f.deferred = f.deferred[1:]
			next()
		}
		f.deferred = nil
		if due := f.machine.Due(); due > 0 {
			wake.Reset(max(0, due-f.now()))
		}
	}
}

func (f *Front) now() time.Duration { return f.loop.Clock().Now() }

// post queues an event for the Machine's goroutine. It returns false after that has ended.
func (f *Front) post(event func()) bool {
	select {
	case f.events <- event:
		return true
	case <-f.stopped:
		return false
	}
}

// Members applies the pool's list or changes to it, as core.Loop.UpdateServers does.
func (f *Front) Members(kind policy.ListKind, entries []policy.Entry, addrs []string) {
	// The Machine must learn of servers before the core's loop starts dialogs at them.
	f.post(func() {
		if kind == policy.ListFull || kind == policy.ListCached {
			clear(f.servers)
		}
		for i, e := range entries {
			if e.State == policy.Gone {
				delete(f.servers, e.Server)
			} else {
				f.servers[e.Server] = core.Server{ID: e.Server, Addr: addrs[i], Started: e.Started}
			}
		}
		list := make(map[uint64]proxy.Peer, len(f.servers))
		for id, s := range f.servers {
			if peer, err := f.peer(s.Addr); err == nil {
				list[uint64(id)] = peer
			}
		}
		f.machine.SetServers(list)
	})
	f.loop.UpdateServers(kind, entries, addrs)
}

// Cordon takes a server out of service for new dialogs, or puts it back; see core.Loop.Cordon. discovered is its ID if
// the servers come from discovery's list.
func (f *Front) Cordon(ctx context.Context, name string, discovered policy.ServerID, out bool, called time.Duration) error {
	ids := serverlist.IDs(f.config.Servers, name)
	if f.config.Model != "" {
		ids = []policy.ServerID{discovered}
	}
	for _, id := range ids {
		if err := f.loop.Cordon(ctx, id, out, called); err != nil {
			return fmt.Errorf("sip: %w", err)
		}
	}
	return nil
}

// ServerNames returns the names of the servers in the configuration.
func (f *Front) ServerNames() []string { return serverlist.Names(f.config.Servers) }

// peer parses a server's address.
func (f *Front) peer(addr string) (proxy.Peer, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return proxy.Peer{}, fmt.Errorf("server address: %w", err)
	}
	return proxy.Peer{Transport: f.transport, Addr: at}, nil
}

// ping sends an OPTIONS when a server's breaker is due a trial. An INVITE must not serve as a
// trial, so a pool that gets nothing else would never detect that the server has recovered.
func (f *Front) ping(ctx context.Context) {
	every := time.NewTicker(f.config.Ping.Duration)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		view, err := f.loop.Inspect(ctx)
		if err != nil {
			continue
		}
		for _, s := range view.Servers {
			if s.Breaker == "half-open" || s.Breaker == "open" && s.ReopenIn <= 0 {
				f.post(func() {
					f.pings++
					f.machine.Ping(f.now(), fmt.Sprintf("ping%x%x", f.pings, f.now()))
				})
				break
			}
		}
	}
}

// ---- interface to the core

// coreMessage implements core.Message for an exchange.
type coreMessage struct {
	front *Front
	id    uint64
}

// Attempt implements core.Message.
func (c coreMessage) Attempt(ctx context.Context, to core.Server, _ time.Time, turn core.AttemptHandle) core.AttemptResult {
	f := c.front
	peer, err := f.peer(to.Addr)
	if err == nil && f.transport.Reliable() {
		peer.Conn, err = f.streams.connect(ctx, peer)
	}
	switch {
	case errors.Is(err, errNoConnections), ctx.Err() != nil:
		return core.AttemptResult{Status: policy.NotSent} // no evidence about the server
	case err != nil:
		return core.AttemptResult{Status: policy.ConnectFailed}
	}
	end := make(chan proxy.End, 1)
	attempt := f.attempts.Add(1)
	if !f.post(func() {
		f.pendingAttempts[attempt] = pendingAttempt{end, turn}
		f.machine.Attempt(f.now(), c.id, attempt, uint64(to.ID), peer, turn.Begin)
	}) {
		return core.AttemptResult{Status: policy.NotSent}
	}
	select {
	case e := <-end:
		return core.AttemptResult{Status: proxy.Outcomes[e].Status}
	case <-ctx.Done():
		f.post(func() {
			delete(f.pendingAttempts, attempt)
			f.machine.Abandon(f.now(), attempt)
		})
	case <-f.stopped:
	}
	return core.AttemptResult{Status: policy.Timeout}
}

// Submit implements proxy.Host.
func (f *Front) Submit(a proxy.RoutingRequest) {
	answers := make(chan core.Answer, 1)
	ticket, ok := f.loop.Submit(core.Request{
		Request: policy.Request{Class: int(a.Class), Key: a.Key}, Name: a.Name, Deadline: a.Deadline,
		Message: coreMessage{f, a.ID}, Answers: answers,
	})
	if !ok {
		f.deferred = append(f.deferred, func() { f.machine.Answer(f.now(), a.ID, proxy.AnswerRefused, 0) })
		return
	}
	q := pendingRequest{ticket, make(chan struct{})}
	f.pendingRequests[a.ID] = q
	go func() {
		var answer core.Answer
		select {
		case answer = <-answers:
		case <-q.withdrawn:
			return
		case <-f.stopped:
			return
		}
		f.post(func() {
			if _, waits := f.pendingRequests[a.ID]; waits {
				delete(f.pendingRequests, a.ID)
				f.machine.Answer(f.now(), a.ID, answerOf[answer.Outcome], answer.RetryAfter)
			}
		})
	}()
}

// answerOf maps the core's answers to the Machine's.
var answerOf = [core.NumOutcomes]proxy.Answer{
	core.Served: proxy.AnswerServed, core.Refused: proxy.AnswerRefused, core.Failed: proxy.AnswerFailed,
	core.DeadlineExceeded: proxy.AnswerOverdue, core.Duplicate: proxy.AnswerDuplicate, core.ClientGone: proxy.AnswerServed,
}

// Withdraw implements proxy.Host.
func (f *Front) Withdraw(id uint64) {
	if q, ok := f.pendingRequests[id]; ok {
		delete(f.pendingRequests, id)
		close(q.withdrawn)
		f.loop.ClientGone(q.ticket)
	}
}

// Finish implements proxy.Host.
func (f *Front) Finish(attempt uint64, e proxy.End) {
	if w, ok := f.pendingAttempts[attempt]; ok {
		delete(f.pendingAttempts, attempt)
		w.end <- e
	}
}

// Accepted implements proxy.Host.
func (f *Front) Accepted(attempt uint64) {
	if w, ok := f.pendingAttempts[attempt]; ok {
		w.turn.Accepted()
	}
}

// Started implements proxy.Host.
func (f *Front) Started(attempt uint64) {
	if w, ok := f.pendingAttempts[attempt]; ok {
		w.turn.StreamStarted()
	}
}

// Transmit implements proxy.Host.
func (f *Front) Transmit(to proxy.Peer, id string, text []byte) {
	if to.Transport != proxy.UDP {
		f.streams.send(to, id, text)
		return
	}
	if f.udp == nil {
		f.failed(id, false)
		return
	}
	refused, err := f.udp.send(to.Addr, text)
	for _, other := range refused {
		f.failed(other, false)
	}
	if err != nil {
		f.failed(id, false)
	}
}

// failed reports to the Machine, after the current event, that a message could not be
// delivered.
func (f *Front) failed(id string, ran bool) {
	if id != "" {
		f.deferred = append(f.deferred, func() { f.machine.DeliveryFailed(f.now(), id, ran) })
	}
}

// receive queues a message from a stream for the Machine.
func (f *Front) receive(from proxy.Peer, m *message.Message, err error) {
	f.post(func() { f.machine.Receive(f.now(), from, m, err) })
}

// readDatagrams queues datagrams for the Machine until the socket is closed.
func (f *Front) readDatagrams() {
	buf := make([]byte, 64<<10)
	var pace connpace.Reads
	for {
		began := time.Now()
		n, from, refused, err := f.udp.receive(buf)
		if err != nil {
			return
		}
		time.Sleep(pace.Pause(began, time.Now()))
		for _, id := range refused {
			f.post(func() { f.machine.DeliveryFailed(f.now(), id, false) })
		}
		if n == 0 || !from.IsValid() {
			continue
		}
		m, err := message.Parse(buf[:n])
		if err == nil && n > f.config.Limits.Message.Bytes {
			err = &message.Error{Code: 513, Text: "a message larger than is taken"}
		}
		f.queueDatagram(proxy.Peer{Transport: proxy.UDP, Addr: from}, m, err, int64(datagramBytes+2*n))
	}
}

// datagramBytes is what a datagram that waits holds beside its text, which is there twice.
const datagramBytes = 1 << 10

// queueDatagram queues a datagram for the Machine, and drops it if there is no room: its sender sends it again.
func (f *Front) queueDatagram(from proxy.Peer, m *message.Message, err error, bytes int64) {
	if !f.memory.ReserveWithin(bytes, datagramsPart) {
		f.dropped.Add(1)
		return
	}
	select {
	case f.events <- func() { f.memory.Release(bytes); f.machine.Receive(f.now(), from, m, err) }:
	default:
		f.memory.Release(bytes)
		f.dropped.Add(1)
	}
}

// datagramsPart is the part of the memory that waiting datagrams leave to requests.
const datagramsPart = 0.5
