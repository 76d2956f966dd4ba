package node

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/life"
)

const (
	// A connection that was idle for less than this is one that a client goes
	// through in turn: a request may be on its way already, and would be lost.
	evictAfter = time.Second
	// Clients that connect to ask do so at once: their first head was seen to come
	// within 2 ms. One that has sent none for so long gives way when room is needed.
	silentAfter = 50 * time.Millisecond
	evictEvery  = 25 * time.Millisecond
)

// clients keeps the connections of clients within the node's descriptors. A
// connection that is not accepted would wait in the kernel, where its request
// counts as taken and goes unanswered. So while few are left, answers close
// their connections; beyond most those go that have sent no whole head yet, then
// the longest idle ones. If that won't do, because so many requests are open,
// further ones are refused at once. More than most+spare are never accepted.
type clients struct {
	most, spare int // under mu

	mu      sync.Mutex
	conns   map[*client]struct{}
	silent  list.List // of *client with no head yet, the oldest first
	idle    list.List // of *client, the longest idle first
	leaving int       // evicted and not closed yet
}

// client is a client's connection. Closing one between two requests may cross the
// next request, which then has reached the node's machine and gets no answer. So it
// is never closed from outside: eviction ends the wait for data instead, and data
// that has come by then wins.
type client struct {
	net.Conn
	group   *clients
	in      *list.List // silent or idle; nil while a request is open
	place   *list.Element
	since   time.Time // when it went there
	leaving bool      // evicted, unless data comes first
	active  bool      // a request is open
	begun   bool      // bytes of a request's head have come, and not all of it
	framing framing   // the reader's

	socket syscall.RawConn    // nil where there is none to look at
	ahead  *aheadConn         // Conn
	left   context.CancelFunc // ends the context of the connection's requests; nil: it has none
}

type clientKey struct{}

// withClient is http.Server's ConnContext.
func withClient(ctx context.Context, conn net.Conn) context.Context {
	c := conn.(*client)
	ctx, c.left = context.WithCancel(context.WithValue(ctx, clientKey{}, c))
	return ctx
}

// clientOf gives the client's connection that a request came on; nil if it is not known.
func clientOf(ctx context.Context) *client {
	c, _ := ctx.Value(clientKey{}).(*client)
	return c
}

func newClients(descriptors int) *clients {
	spare := descriptors / 8
	return &clients{most: descriptors - spare, spare: spare, conns: map[*client]struct{}{}}
}

// clientListener accepts clients.
type clientListener struct {
	net.Listener
	group *clients
}

func (g *clients) listener(l net.Listener) net.Listener {
	return clientListener{l, g}
}

// setDescriptors changes how many descriptors there are for clients.
func (g *clients) setDescriptors(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spare = n / 8
	g.most = n - g.spare
	g.evict()
}

// filled tells that the descriptors are all in use.
func (g *clients) filled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) >= g.most+g.spare
}

func (l clientListener) Accept() (net.Conn, error) {
	for l.group.filled() { // net/http accepts by one goroutine, so that one at a time gets past here
		time.Sleep(evictEvery)
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ahead := &aheadConn{Conn: conn}
	c := &client{Conn: ahead, ahead: ahead, group: l.group}
	if s, ok := conn.(syscall.Conn); ok {
		c.socket, _ = s.SyscallConn() // nil on an error: then nobody looks at it
	}
	c.framing.begin()
	return c, nil
}

var longAgo = time.Unix(1, 0)

// Read looks once more when the wait for a request is over, be it by eviction or by
// net/http's time limit for idle connections: a node that gets little CPU may have
// been stopped between that limit and here for long enough.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.waits() {
		c.Conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.stay()
		c.framing.see(b[:n])
	}
	if n == 1 && len(b) == 1 && c.open() { // net/http looks for the client's leaving no further than this
		c.ahead.watch(c.left)
	}
	return n, err
}

// gone looks without waiting whether the client has closed or reset its connection, be there bytes ahead of that or not.
// net/http's own look may come to run behind an attempt's first byte: where a client had left before it was accepted,
// both are due at once.
func (c *client) gone() bool {
	if c.socket == nil {
		return false
	}
	gone := false
	err := c.socket.Control(func(fd uintptr) { // Read would wait for net/http's look
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err != nil:
			gone = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		case n == 0:
			gone = true
		default: // the close may stand behind what is there
			look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(look, 0)
			gone = err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return gone || err != nil
}

// open tells that a request is open, and that its context can be ended.
func (c *client) open() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.active && c.left != nil
}

// SetReadDeadline is net/http's; it does not undo an eviction.
func (c *client) SetReadDeadline(at time.Time) error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.leaving {
		at = longAgo
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *client) waits() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.in != nil || c.leaving
}

// stay notes that data has come: an idle connection is none any more, though its request's
// head may not be whole, and an eviction is undone.
func (c *client) stay() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.in == &c.group.idle {
		c.move(nil)
	}
	c.begun = !c.active
	c.remain()
}

// remain undoes an eviction; it needs the lock.
func (c *client) remain() {
	if c.leaving {
		c.leaving = false
		c.group.leaving--
		c.Conn.SetReadDeadline(time.Now().Add(headTimeout))
	}
}

// state is http.Server's ConnState.
func (g *clients) state(conn net.Conn, s http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := conn.(*client)
	c.move(nil)
	c.active, c.begun = s == http.StateActive, false
	switch s {
	case http.StateNew:
		g.conns[c] = struct{}{}
		c.move(&g.silent)
	case http.StateActive:
		// An eviction may have crossed the end of the head. net/http would take the read that
		// it ends for the client's leaving, and the request would go unanswered.
		c.remain()
	case http.StateIdle:
		c.move(&g.idle)
	case http.StateClosed, http.StateHijacked:
		delete(g.conns, c)
		if c.leaving {
			c.leaving = false
			g.leaving--
		}
		if c.left != nil {
			c.left()
		}
	}
	g.evict()
}

// move puts a connection into a list, or into none.
func (c *client) move(to *list.List) {
	if c.in != nil {
		c.in.Remove(c.place)
	}
	if c.in = to; to != nil {
		c.place, c.since = to.PushBack(c), time.Now()
	}
}

// run evicts as connections come of age, when no change of state would; and all that are idle
// while the node is quiesced for long.
func (g *clients) run(ctx context.Context, state *life.Life) {
	for every := time.Tick(evictEvery); ctx.Err() == nil; <-every {
		if state.Leaves(time.Now()) {
			g.leave()
		}
		g.mu.Lock()
		g.evict()
		g.mu.Unlock()
	}
}

// count gives the connections that stay; it needs the lock.
func (g *clients) count() int { return len(g.conns) - g.leaving }

// evict makes room beyond most as far as that is safe; it needs the lock.
func (g *clients) evict() {
	for g.count() > g.most && (g.evictFrom(&g.silent, silentAfter) || g.evictFrom(&g.idle, evictAfter)) {
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

// evict needs the lock.
func (c *client) evict() {
	c.move(nil)
	c.leaving = true
	c.group.leaving++
	c.Conn.SetReadDeadline(longAgo)
}

// leave evicts all that have no request open nor begun; a request that has come by then is
// answered. http.Server's Shutdown would cut it off.
func (g *clients) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range []*list.List{&g.silent, &g.idle} {
		for e := l.Front(); e != nil; {
			c := e.Value.(*client)
			if e = e.Next(); !c.begun {
				c.evict()
			}
		}
	}
}

// trim evicts those that have been idle for so long that few requests cross. The others end
// behind their next answer: a client that goes through its connections in turn would meet
// many closes at once.
func (g *clients) trim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.evictFrom(&g.idle, evictAfter) {
	}
}

// full tells that open requests alone take up all there is.
func (g *clients) full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count()-g.silent.Len()-g.idle.Len() > g.most
}

// connected counts the connections.
func (g *clients) connected() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// empty tells that no client is connected.
func (g *clients) empty() bool { return g.connected() == 0 }

// crowded tells that few descriptors are left.
func (g *clients) crowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count() > g.most*3/4
}
