package node

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"otterstep/internal/connpace"
	"otterstep/internal/framing"
	"otterstep/internal/lifecycle"
	"otterstep/internal/membudget"
	"otterstep/internal/operator"
	"otterstep/internal/writelimit"
)

const (
	// Minimum idle time before eviction. A connection that was idle for less is probably in
	// rotation in its client's pool: a request may be in flight already and would be lost.
	evictIdleAfter = time.Second
	// Minimum age of a connection without a request before eviction. Clients that connect to
	// send a request do so immediately: their first head was measured to arrive within 2 ms.
	evictSilentAfter = 50 * time.Millisecond
	evictInterval    = 25 * time.Millisecond
	// Health checkers ask ten times a second; see connpace.Answers.
	upInterval = 50 * time.Millisecond

	// See client.mayHaveLeft.
	leavePollInterval = time.Millisecond
	settledPolls      = 2
	maxLeavePolls     = 30
)

// clients keeps the number of clients' connections within the node's file descriptors. A
// connection that is not accepted would wait in the kernel's queue, where its request counts
// as accepted but goes unanswered. Therefore, while few descriptors are left, answers close
// their connections. Beyond most connections, those that have not sent a complete head yet are
// evicted first, then those that have been idle longest. If that does not suffice because too
// many requests are open, further requests are refused immediately. More than most+spare
// connections are never accepted.
type clients struct {
	limit, spare   int                // under mu
	maxConnections int                // that the memory has room for
	connections    *membudget.Account // shared by all fronts
	writes         writelimit.Limits  // of writes to clients
	requests       framing.Limits

	mu      sync.Mutex
	conns   map[*client]struct{}
	silent  list.List // *client without a complete head yet, oldest first
	idle    list.List // *client, longest idle first
	evicted int       // number of connections evicted but not closed yet
}

func newClients(descriptors int, memory *clientMemory) *clients {
	g := &clients{
		conns: map[*client]struct{}{}, maxConnections: memory.maxConnections, connections: memory.connections,
		writes: writeLimits(operator.DefaultMinReadRate), requests: memory.requestLimits(),
	}
	g.divide(descriptors)
	return g
}

// divide sets how many connections are accepted with a number of descriptors; mu must be held.
func (g *clients) divide(descriptors int) {
	most := min(descriptors, g.maxConnections)
	g.spare = most / 8
	g.limit = most - g.spare
}

// writeLimits returns the limits of writes to clients that read at least bytesPerSecond.
func writeLimits(bytesPerSecond int) writelimit.Limits {
	return writelimit.Limits{Grace: readGrace, BytesPerSecond: bytesPerSecond}
}

// clientListener wraps accepted connections in client and limits the time of writes to them.
type clientListener struct {
	net.Listener
	group *clients
}

func (g *clients) listener(l net.Listener) net.Listener {
	return clientListener{l, g}
}

// setDescriptors changes the number of descriptors available to clients.
func (g *clients) setDescriptors(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.divide(n)
	g.evict()
}

// atCapacity reports whether all descriptors are in use.
func (g *clients) atCapacity() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) >= g.limit+g.spare
}

func (l clientListener) Accept() (net.Conn, error) {
	for l.group.atCapacity() { // net/http accepts in a single goroutine, so the limit cannot be exceeded
		time.Sleep(evictInterval)
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !l.group.connections.Reserve(connectionBytes) { // another front has taken the room: the connection is closed unread
		conn.Close()
		if conn, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
	}
	ahead := &readAheadConn{Conn: writelimit.NewConn(conn, l.group.writes), memory: l.group.requests.Heads}
	c := l.group.newClient(ahead)
	c.release = sync.OnceFunc(func() { l.group.connections.Release(connectionBytes) })
	c.readAhead = ahead
	if s, ok := conn.(syscall.Conn); ok {
		c.socket, _ = s.SyscallConn() // nil on an error, which disables the disconnect check
	}
	ahead.disconnected = c.disconnected
	return c, nil
}

// newClient returns a client of the group.
func (g *clients) newClient(conn net.Conn) *client {
	c := &client{Conn: conn, group: g, answers: connpace.NewAnswers(upInterval)}
	c.requests = framing.NewReader(readerFunc(c.readRaw), g.requests)
	c.requests.HeadStarted = c.limitHead
	return c
}

// connState is used as http.Server.ConnState.
func (g *clients) connState(conn net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := conn.(*client)
	c.move(nil)
	c.active, c.headStarted = s == http.StateActive, false
	switch s {
	case http.StateNew:
		g.conns[c] = struct{}{}
		c.move(&g.silent)
	case http.StateActive:
		// An eviction may have raced with the end of the head. net/http would take the read
		// that the eviction interrupts for a disconnect, and the request would go unanswered.
		c.undoEviction()
	case http.StateIdle:
		c.move(&g.idle)
	case http.StateClosed, http.StateHijacked:
		delete(g.conns, c)
		if c.evicted {
			c.evicted = false
			g.evicted--
		}
		if c.cancel != nil {
			c.cancel()
		}
	}
	g.evict()
}

// run evicts connections once they are old enough, as eviction otherwise happens only on state
// changes. It also evicts all idle connections when the node has been quiesced for long enough.
func (g *clients) run(ctx context.Context, state *lifecycle.Lifecycle) {
	for every := time.Tick(evictInterval); ctx.Err() == nil; <-every {
		if state.ClosesIdle(time.Now()) {
			g.evictAllIdle()
		}
		g.mu.Lock()
		g.evict()
		g.mu.Unlock()
	}
}

// count returns the number of connections not evicted; mu must be held.
func (g *clients) count() int { return len(g.conns) - g.evicted }

// evict evicts connections beyond most as far as that is safe; mu must be held.
func (g *clients) evict() {
	for g.count() > g.limit && (g.evictFrom(&g.silent, evictSilentAfter) || g.evictFrom(&g.idle, evictIdleAfter)) {
	}
}

func (g *clients) evictFrom(l *list.List, after time.Duration) bool {
	oldest := l.Front()
	if oldest == nil {
		return false
	}
	c := oldest.Value.(*client)
	if time.Since(c.since) < after {
		return false
	}
	c.evict()
	return true
}

// evictAllIdle evicts all connections on which no request is open or has begun. A request that has
// arrived by then is answered, whereas http.Server.Shutdown would cut it off.
func (g *clients) evictAllIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range []*list.List{&g.silent, &g.idle} {
		for e := l.Front(); e != nil; {
			c := e.Value.(*client)
			if e = e.Next(); !c.headStarted {
				c.evict()
			}
		}
	}
}

// evictLongIdle evicts connections that have been idle long enough for a race with a request to be
// rare. The others are closed after their next answer; evicting them too would make a client
// that uses its connections in rotation hit many closes at once.
func (g *clients) evictLongIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.evictFrom(&g.idle, evictIdleAfter) {
	}
}

// full reports whether open requests alone exceed the limit.
func (g *clients) full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count()-g.silent.Len()-g.idle.Len() > g.limit
}

// connected returns the number of connections, including evicted ones.
func (g *clients) connected() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// active returns the number of connections with an open request.
func (g *clients) active() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.active {
			n++
		}
	}
	return n
}

// closeWithoutRequest closes all connections on which no request is open, even if a part of its head has arrived.
func (g *clients) closeWithoutRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if !c.active {
			c.Close()
		}
	}
}

// empty reports whether no client is connected.
func (g *clients) empty() bool { return g.connected() == 0 }

// nearLimit reports whether few descriptors are left.
func (g *clients) nearLimit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count() > g.limit*3/4
}
