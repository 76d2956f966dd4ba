// Package conns pools connections to servers. Each connection carries one request at a time,
// and stale connections are not reused. net/http's Transport is not used because it resends
// a GET, or any request with an Idempotency-Key, on its own when a pooled connection turns
// out dead, and the decision module would not know of that attempt.
package conns

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/core"
)

// Options configures a Pool.
type Options struct {
	// MaxIdle is the maximum idle time of a connection. It should be well below the servers'
	// own, because a request that races with a server's close ends in a reset and may have run.
	MaxIdle        time.Duration
	ConnectTimeout time.Duration // timeout for connecting, including the TLS handshake
	// SettleTime is the minimum idle time of a connection before its next request. Bytes that a
	// server sent after its response have arrived by then and are detected; on a connection
	// reused immediately they would be read as the next request's response.
	SettleTime time.Duration
	MaxConns   int         // maximum number of connections, including idle ones
	TLS        *tls.Config // nil for plain TCP
	// Dial opens a TCP connection, which must implement syscall.Conn; nil for net.Dialer's.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool holds connections to many servers. It is safe for concurrent use.
type Pool struct {
	opt Options

	mu      sync.Mutex
	idle    map[core.Server][]*Conn // most recently used last
	open    int
	unasked map[core.Server]time.Time // when a server last sent bytes on an idle connection; forgotten by Sweep
}

// Conn is a connection to one incarnation of a server: a restart makes it another one.
type Conn struct {
	net.Conn
	In        *bufio.Reader    // buffers reads from ReadLimit
	ReadLimit io.LimitedReader // limits the bytes read; N is set before each response

	to        core.Server
	socket    syscall.Conn
	secure    bool // TLS
	idleSince time.Time
}

const readBuffer = 4 << 10

// DefaultSettleTime is the SettleTime for servers whose stray second answers come some milliseconds late.
const DefaultSettleTime = 10 * time.Millisecond

// The connections of a server that has sent bytes on an idle one settle for longer: its second answers come later on a
// busy machine, and may cross with a request.
const (
	unaskedSettleTime = 100 * time.Millisecond
	unaskedMemory     = time.Minute
)

// ErrExhausted means that the pool's limit is reached; it says nothing about the server.
var ErrExhausted = errors.New("connection pool exhausted: all connections to servers are in use")

// New returns an empty pool.
func New(o Options) *Pool {
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	return &Pool{opt: o, idle: map[core.Server][]*Conn{}, unasked: map[core.Server]time.Time{}}
}

// Get returns an idle connection that has settled, is not too old and is still open, or else
// a new one. The caller returns it with Put.
func (p *Pool) Get(ctx context.Context, to core.Server) (*Conn, error) {
	p.mu.Lock()
	for {
		list := p.idle[to]
		i := len(list) - 1
		settleTime := p.settleTime(to)
		for i >= 0 && time.Since(list[i].idleSince) < settleTime {
			i--
		}
		if i < 0 {
			break
		}
		c := list[i]
		p.idle[to] = slices.Delete(list, i, i+1)
		if p.usable(c) {
			p.mu.Unlock()
			return c, nil
		}
		p.close(c)
	}
	if p.open >= p.opt.MaxConns && !p.evict() {
		p.mu.Unlock()
		return nil, ErrExhausted
	}
	p.open++
	p.mu.Unlock()

	c, err := p.dial(ctx, to)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, fmt.Errorf("connect: %w", err)
	}
	return c, nil
}

// settleTime returns the minimum idle time of a server's connections; p.mu must be held.
func (p *Pool) settleTime(to core.Server) time.Duration {
	if last, sent := p.unasked[to]; sent && time.Since(last) < unaskedMemory {
		return max(p.opt.SettleTime, unaskedSettleTime)
	}
	return p.opt.SettleTime
}

// usable reports whether an idle connection is not too old, still open and without unread data; p.mu must be held.
func (p *Pool) usable(c *Conn) bool {
	if time.Since(c.idleSince) >= p.opt.MaxIdle {
		return false
	}
	state := c.inspect()
	if state == connUnread {
		p.unasked[c.to] = time.Now()
	}
	return state == connQuiet
}

func (p *Pool) dial(ctx context.Context, to core.Server) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opt.ConnectTimeout)
	defer cancel()
	nc, err := p.opt.Dial(ctx, "tcp", to.Addr)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, to: to, socket: nc.(syscall.Conn), secure: p.opt.TLS != nil}
	if p.opt.TLS != nil {
		secure := tls.Client(nc, p.opt.TLS)
		if err := secure.HandshakeContext(ctx); err != nil {
			nc.Close()
			return nil, err
		}
		c.Conn = secure
	}
	c.ReadLimit.R = c.Conn
	c.In = bufio.NewReaderSize(&c.ReadLimit, readBuffer)
	return c, nil
}

// Put returns a connection to the pool, or closes it if it is not reusable.
func (p *Pool) Put(c *Conn, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable {
		p.close(c)
		return
	}
	c.idleSince = time.Now()
	if p.idle[c.to] = append(p.idle[c.to], c); p.open > p.opt.MaxConns { // the limit was lowered meanwhile
		p.evict()
	}
}

// close closes a connection; p.mu must be held.
func (p *Pool) close(c *Conn) {
	p.open--
	c.Close()
}

// evict closes the connection that has been idle longest and reports whether there was one;
// p.mu must be held.
func (p *Pool) evict() bool {
	var oldest *Conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.to] = slices.Delete(p.idle[oldest.to], 0, 1)
	p.close(oldest)
	return true
}

// Drop closes the idle connections to a server that was removed.
func (p *Pool) Drop(to core.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		p.close(c)
	}
	delete(p.idle, to)
	delete(p.unasked, to)
}

// Sweep closes idle connections that are too old or that the server has closed, to free
// their file descriptors, and forgets what servers sent long ago.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if p.usable(c) {
				kept = append(kept, c)
			} else {
				p.close(c)
			}
		}
		clear(list[len(kept):])
		if p.idle[to] = kept; len(kept) == 0 {
			delete(p.idle, to)
		}
	}
	maps.DeleteFunc(p.unasked, func(_ core.Server, last time.Time) bool { return time.Since(last) >= unaskedMemory })
}

// Close closes all idle connections. Those in use are not affected.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			p.close(c)
		}
	}
	clear(p.idle)
}

// SetMaxConns changes the maximum number of connections. Idle connections beyond it are closed
// immediately; those in use stay open until they are returned.
func (p *Pool) SetMaxConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opt.MaxConns = n
	for p.open > n && p.evict() {
	}
}

// Count returns the number of connections and how many of them are idle.
func (p *Pool) Count() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		idle += len(list)
	}
	return p.open, idle
}

// Unasked reports, without blocking, that bytes have come from the server before the next request was written, or
// that it has closed the connection. No answer to that request can follow.
func (c *Conn) Unasked() bool { return c.In.Buffered() > 0 || c.inspect() != connQuiet }

// PrecedesRequest reports that what has come from the server can't answer the request that was written last, since the
// server's machine had not received its head by then: a segment that answers a request acknowledges it too. body is
// how much of what was written follows the head. It is to be called when the first byte of an answer can be read; false
// means that nothing is known.
func (c *Conn) PrecedesRequest(body int) bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := 0
	var queue error
	err = raw.Control(func(fd uintptr) { unacknowledged, queue = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if c.secure && body > 0 {
		return false // TLS adds to the length of what follows the head
	}
	return err == nil && queue == nil && unacknowledged > body
}

// connState is what can be told of a connection on which no answer is awaited.
type connState uint8

const (
	connQuiet  connState = iota // open, nothing has come
	connUnread                  // bytes have come
	connClosed
)

// inspect returns the state of an idle connection, without blocking. A close detected here does not cost a request.
func (c *Conn) inspect() connState {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return connClosed
	}
	var b [1]byte
	var n int
	var peek error
	err = raw.Read(func(fd uintptr) bool {
		n, _, peek = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err == nil && errors.Is(peek, syscall.EAGAIN):
		return connQuiet
	case err == nil && peek == nil && n > 0:
		return connUnread
	}
	return connClosed
}
