// Package elapse wraps real connections so that a test can let time pass for them. It can so reach limits of minutes
// without waiting for them.
package elapse

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// group holds connections for which time passes together.
type group struct {
	mu    sync.Mutex
	conns []*Conn
}

func (g *group) add(c net.Conn) *Conn {
	wrapped := &Conn{Conn: c}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns = append(g.conns, wrapped)
	return wrapped
}

// Elapse brings all deadlines that are set on the connections forward by d, as if that much time had passed since
// they were set. Deadlines that are set later are not affected.
func (g *group) Elapse(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.elapse(d)
	}
}

// BytesRead returns how many bytes have been read from all connections.
func (g *group) BytesRead() (n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		n += c.bytesRead()
	}
	return n
}

// Blocked returns how many reads and writes of the connections have begun and not ended.
func (g *group) Blocked() (reads, writes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.mu.Lock()
		reads += c.reads
		writes += c.writes
		c.mu.Unlock()
	}
	return reads, writes
}

// WritesBegun returns how many writes of the connections have begun so far.
func (g *group) WritesBegun() (n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.conns {
		c.mu.Lock()
		n += c.writesBegun
		c.mu.Unlock()
	}
	return n
}

// Dialer wraps the connections that it opens; its zero value is ready.
type Dialer struct {
	group
}

// Dial opens a connection.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return d.add(c), nil
}

// Listener wraps accepted connections.
type Listener struct {
	net.Listener
	group
}

// Listen opens a TCP listener on a free port of 127.0.0.1.
func Listen() (*Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Wrap(l), nil
}

// Wrap returns a Listener that accepts from l.
func Wrap(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.add(c), nil
}

// Conn is a connection for which time can pass.
type Conn struct {
	net.Conn

	mu            sync.Mutex
	read, write   time.Time // deadlines; zero for none
	received      int64     // bytes read
	reads, writes int       // that have begun and not ended
	writesBegun   int64
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return s.SyscallConn()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads--
	c.received += int64(n)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.writesBegun++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	return n, err
}

func (c *Conn) bytesRead() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = at
	return c.Conn.SetReadDeadline(at)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write = at
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// elapse brings the deadlines forward by d. Errors mean that the connection is closed.
func (c *Conn) elapse(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.read.IsZero() {
		c.read = c.read.Add(-d)
		_ = c.Conn.SetReadDeadline(c.read)
	}
	if !c.write.IsZero() {
		c.write = c.write.Add(-d)
		_ = c.Conn.SetWriteDeadline(c.write)
	}
}
