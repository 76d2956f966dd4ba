package framing

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"otterstep/internal/connpace"
	"otterstep/internal/sockbuf"
)

// Conn is a client's connection whose requests are read by a Reader.
type Conn struct {
	*connpace.Conn
	Requests *Reader
	TLS      *tls.ConnectionState // of the TLS connection that Conn reads from; nil for plain text

	isHTTP2     bool        // its memory is reserved
	interrupted atomic.Bool // see Interrupt
}

// discardBuffer is the size of the reads of Discard.
const discardBuffer = 4 << 10

// http2Bytes is what net/http holds for a connection of HTTP/2 beside what one of HTTP/1 takes.
const http2Bytes = 48 << 10

// NewConn returns c with a Reader of its own.
func NewConn(c net.Conn, limits Limits) *Conn {
	conn := &Conn{Conn: &connpace.Conn{Conn: c}}
	conn.Requests = NewReader(readerFunc(conn.readRaw), limits)
	if limits.HeadTime > 0 {
		conn.Requests.HeadStarted = func() { _ = c.SetReadDeadline(time.Now().Add(limits.HeadTime)) } // a broken connection shows in the read
	}
	return conn
}

// readerFunc is a function as an io.Reader.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// Interrupt ends the wait for the next request, so that net/http closes the connection. A request that has arrived by
// then is read all the same.
func (c *Conn) Interrupt() {
	c.interrupted.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a broken connection ends by itself
}

// lastLook is how long an interrupted connection is read for once more.
const lastLook = time.Millisecond

// readRaw reads from the connection, and once more where Interrupt has ended the wait.
func (c *Conn) readRaw(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.interrupted.Swap(false) {
		return n, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastLook)) // a broken connection shows in the read
	return c.Conn.Read(b)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Requests.Read(b)
	if !c.isHTTP2 && c.Requests.HTTP2() {
		c.isHTTP2 = true
		c.Enable()
		if !c.Requests.requests.add(http2Bytes, 1) {
			return 0, ErrNoMemory
		}
	}
	return n, err
}

// Discard reads and discards what the client still sends of a body, for up to limit or until ctx ends: many clients read no
// answer before they have sent all, and a close over unread bytes resets the connection. Nothing can be read afterwards.
func (c *Conn) Discard(ctx context.Context, limit time.Duration) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(limit)) // a broken connection shows in the read
	end := func() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }
	defer end()
	defer context.AfterFunc(ctx, end)()
	scratch := make([]byte, discardBuffer)
	for {
		if _, err := c.Conn.Read(scratch); err != nil {
			return
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.Requests.Close()
	return c.Conn.Close()
}

// Received returns the state of what has been received on the connection.
func (c *Conn) Received() sockbuf.State {
	under := c.Conn.Conn
	if secure, ok := under.(*tls.Conn); ok {
		under = secure.NetConn()
	}
	if paced, ok := under.(*connpace.Conn); ok {
		under = paced.Conn
	}
	s, ok := under.(syscall.Conn)
	if !ok {
		return sockbuf.State{}
	}
	socket, err := s.SyscallConn()
	if err != nil {
		return sockbuf.State{}
	}
	return sockbuf.Inspect(socket)
}

// Listener wraps the connections of a listener in Conn.
func Listener(l net.Listener, limits Limits) net.Listener { return listener{l, limits} }

type listener struct {
	net.Listener
	limits Limits
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c, l.limits), nil
}
