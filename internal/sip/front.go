// Package sip is the SIP front of a node: sockets and a goroutine round the proxy's
// Machine, and a pool of its own in the core. It is on where the operator's file has a
// listener for it.
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

	"otterstep/internal/core"
	"otterstep/internal/serverlist"
	"otterstep/internal/sip/message"
	"otterstep/internal/sip/proxy"
	"otterstep/internal/sip/transaction"
	"otterstep/policy"
)

// eventsMost bounds what waits for the Machine. Datagrams beyond it are dropped, as
// their senders repeat them; streams wait.
const eventsMost = 4096

// endWait is how long a node that ends waits for servers to heed its last CANCELs.
const endWait = 500 * time.Millisecond

// Front carries SIP. Make it with New, then Run it.
type Front struct {
	config    Config
	log       *slog.Logger
	loop      *core.Loop
	machine   *proxy.Machine
	events    chan func()
	stopped   chan struct{}
	udp       *datagrams
	streams   *streams
	listeners []net.Listener
	transport proxy.Transport // to the servers
	dropped   atomic.Int64    // datagrams
	attempts  atomic.Uint64   // the last one's number
	pings     uint64

	// The Machine's goroutine alone touches what follows.
	later   []func() // events that came up within an event
	waiting map[uint64]waiting
	asked   map[uint64]asked
	servers map[policy.ServerID]core.Server
}

// waiting is an attempt of the core that the Machine owes an end.
type waiting struct {
	end  chan<- proxy.End
	turn core.AttemptHandle
}

// asked is a request that the core owes an answer.
type asked struct {
	ticket *core.Ticket
	left   chan struct{}
}

// New opens the listeners and makes the pool; Run carries traffic. The configuration has
// been checked.
func New(c Config, seed uint64, clock core.Clock, log *slog.Logger) (*Front, error) {
	return newFront(c, seed, clock, transaction.Standard(), log)
}

func newFront(c Config, seed uint64, clock core.Clock, timing transaction.Timing, log *slog.Logger) (_ *Front, err error) {
	f := &Front{
		config: c, log: log, events: make(chan func(), eventsMost), stopped: make(chan struct{}),
		transport: transports[c.Upstream.Transport],
		waiting:   map[uint64]waiting{}, asked: map[uint64]asked{}, servers: map[policy.ServerID]core.Server{},
	}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	options := proxy.Options{
		Host: f, Timing: timing, RetryAfter: c.RetryAfter.Duration, DialogFor: c.DialogFor.Duration,
		Limits: proxy.Limits{Transactions: c.Limits.Transactions, PerSource: c.Limits.PerSource},
		Listen: map[proxy.Transport]netip.AddrPort{}, Wall: clock.Wall,
	}
	for i, class := range c.classes() {
		options.Deadlines[i] = class.Deadline.Duration
	}
	if options.Sealer, err = c.sealer(); err != nil {
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

// Listen gives where the front takes requests.
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

// Run carries traffic until ctx ends, and returns when all goroutines have.
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
	f.log.Info("SIP is served", "listen", f.Listen(), "servers", f.config.Upstream.Transport)
	f.run(ctx)
}

// run is the Machine's goroutine.
func (f *Front) run(ctx context.Context) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-f.events:
			event()
		case <-wake.C:
		}
		f.machine.Tick(f.now())
		for len(f.later) > 0 {
			next := f.later[0]
			f.later = f.later[1:]
			next()
		}
		f.later = nil
		if due := f.machine.Due(); due > 0 {
			wake.Reset(max(0, due-f.now()))
		}
	}
}

func (f *Front) now() time.Duration { return f.loop.Clock().Now() }

// post hands an event to the Machine's goroutine; false once it has ended.
func (f *Front) post(event func()) bool {
	select {
	case f.events <- event:
		return true
	case <-f.stopped:
		return false
	}
}

// Members hands over the pool's list or changes to it, as core.Loop.UpdateServers does.
func (f *Front) Members(kind policy.ListKind, entries []policy.Entry, addrs []string) {
	// The Machine first: dialogs begin where the loop sends.
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
		f.machine.Servers(list)
	})
	f.loop.UpdateServers(kind, entries, addrs)
}

// peer reads a server's address.
func (f *Front) peer(addr string) (proxy.Peer, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return proxy.Peer{}, fmt.Errorf("a server's address: %w", err)
	}
	return proxy.Peer{Transport: f.transport, Addr: at}, nil
}

// Drain refuses requests outside dialogs from now on and waits until those taken have
// their final responses, or for the configured time; the rest get theirs at its end.
func (f *Front) Drain(ctx context.Context) {
	f.post(f.machine.Drain)
	f.wait(ctx, f.config.Drain.Duration, func(v View) bool { return v.Unanswered == 0 })
	f.post(func() { f.machine.End(f.now()) })
	// The servers' last words on what was cancelled are acknowledged.
	f.wait(ctx, endWait, func(v View) bool { return v.Clients["calling"]+v.Clients["proceeding"] == 0 })
}

// wait looks at the front until ok holds, or for d at most.
func (f *Front) wait(ctx context.Context, d time.Duration, ok func(View) bool) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	every := time.NewTicker(20 * time.Millisecond)
	defer every.Stop()
	for {
		if v, err := f.Inspect(ctx); err != nil || ok(v) {
			return
		}
		select {
		case <-every.C:
		case <-ctx.Done():
			return
		}
	}
}

// ping has an OPTIONS sent when a server that was out is due its trial: an INVITE may not
// be that, and a pool that gets nothing else would never learn that the server is back.
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

// ---- the core's side

// call is an exchange as the core sees it.
type call struct {
	front *Front
	id    uint64
}

// Attempt implements core.Message.
func (c call) Attempt(ctx context.Context, to core.Server, _ time.Time, turn core.AttemptHandle) core.AttemptResult {
	f := c.front
	peer, err := f.peer(to.Addr)
	if err == nil && f.transport.Reliable() {
		peer.Conn, err = f.streams.connect(ctx, peer)
	}
	switch {
	case errors.Is(err, errNoConnections), ctx.Err() != nil:
		return core.AttemptResult{Status: policy.NotSent} // says nothing of the server
	case err != nil:
		return core.AttemptResult{Status: policy.ConnectFailed}
	}
	end := make(chan proxy.End, 1)
	attempt := f.attempts.Add(1)
	if !f.post(func() {
		f.waiting[attempt] = waiting{end, turn}
		f.machine.Attempt(f.now(), c.id, attempt, uint64(to.ID), peer, turn.Begin)
	}) {
		return core.AttemptResult{Status: policy.NotSent}
	}
	select {
	case e := <-end:
		return core.AttemptResult{Status: proxy.Outcomes[e].Status}
	case <-ctx.Done():
		f.post(func() {
			delete(f.waiting, attempt)
			f.machine.Abandon(f.now(), attempt)
		})
	case <-f.stopped:
	}
	return core.AttemptResult{Status: policy.Timeout}
}

// Submit implements proxy.Host.
func (f *Front) Submit(a proxy.Ask) {
	answers := make(chan core.Answer, 1)
	ticket, ok := f.loop.Submit(core.Request{
		Request: policy.Request{Class: int(a.Class), Key: a.Key}, Name: a.Name, Deadline: a.Deadline,
		Message: call{f, a.ID}, Answers: answers,
	})
	if !ok {
		f.later = append(f.later, func() { f.machine.Answer(f.now(), a.ID, proxy.AnswerRefused, 0) })
		return
	}
	q := asked{ticket, make(chan struct{})}
	f.asked[a.ID] = q
	go func() {
		var answer core.Answer
		select {
		case answer = <-answers:
		case <-q.left:
			return
		case <-f.stopped:
			return
		}
		f.post(func() {
			if _, waits := f.asked[a.ID]; waits {
				delete(f.asked, a.ID)
				f.machine.Answer(f.now(), a.ID, answered[answer.Outcome], answer.RetryAfter)
			}
		})
	}()
}

// answered gives the core's words in the Machine's.
var answered = [core.NumOutcomes]proxy.Answer{
	core.Served: proxy.AnswerServed, core.Refused: proxy.AnswerRefused, core.Failed: proxy.AnswerFailed,
	core.DeadlineExceeded: proxy.AnswerOverdue, core.Duplicate: proxy.AnswerDuplicate, core.ClientGone: proxy.AnswerServed,
}

// Leave implements proxy.Host.
func (f *Front) Leave(id uint64) {
	if q, ok := f.asked[id]; ok {
		delete(f.asked, id)
		close(q.left)
		f.loop.ClientGone(q.ticket)
	}
}

// Finish implements proxy.Host.
func (f *Front) Finish(attempt uint64, e proxy.End) {
	if w, ok := f.waiting[attempt]; ok {
		delete(f.waiting, attempt)
		w.end <- e
	}
}

// Taken implements proxy.Host.
func (f *Front) Taken(attempt uint64) {
	if w, ok := f.waiting[attempt]; ok {
		w.turn.Accepted()
	}
}

// Started implements proxy.Host.
func (f *Front) Started(attempt uint64) {
	if w, ok := f.waiting[attempt]; ok {
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

// failed tells the Machine that a message could not be delivered, after the present event.
func (f *Front) failed(id string, ran bool) {
	if id != "" {
		f.later = append(f.later, func() { f.machine.Failed(f.now(), id, ran) })
	}
}

// receive hands a message from a stream to the Machine.
func (f *Front) receive(from proxy.Peer, m *message.Message, err error) {
	f.post(func() { f.machine.Receive(f.now(), from, m, err) })
}

// readDatagrams hands datagrams to the Machine until the socket is closed.
func (f *Front) readDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, refused, err := f.udp.receive(buf)
		if err != nil {
			return
		}
		for _, id := range refused {
			f.post(func() { f.machine.Failed(f.now(), id, false) })
		}
		if n == 0 || !from.IsValid() {
			continue
		}
		m, err := message.Parse(buf[:n])
		if err == nil && n > f.config.Limits.Message.Bytes {
			err = &message.Error{Code: 513, Text: "a message larger than is taken"}
		}
		peer := proxy.Peer{Transport: proxy.UDP, Addr: from}
		select {
		case f.events <- func() { f.machine.Receive(f.now(), peer, m, err) }:
		default:
			f.dropped.Add(1)
		}
	}
}
