package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxReadAhead limits the bytes read ahead on one connection. The protocol has clients send one request at a
// time, so a client that sends more than this after an open request does not follow it.
const maxReadAhead = 16 << 10

// errReadAheadLimit ends a connection on which more than maxReadAhead bytes followed an open request.
var errReadAheadLimit = errors.New("client sent more than 16 KiB after an open request")

// readAheadConn is a client's connection that, once told to, keeps reading after an open request. net/http
// detects a client's disconnect with a one-byte read. If bytes of another request follow, that read does not
// see the close after them, and the request would be served although its client is gone.
//
// Read must not be called concurrently; the other methods are safe for concurrent use.
type readAheadConn struct {
	net.Conn

	mu             sync.Mutex
	deadline       time.Time     // latest read deadline set by the caller
	readAheadEnded chan struct{} // closed when reading ahead has ended; nil if it is not active
	stopping       bool
	buf            []byte
	overflowed     bool  // bytes beyond buf were dropped
	err            error // error that ended reading ahead
}

// startReadAhead reads ahead until the next Read. onDisconnect is called if the connection ends before that.
func (c *readAheadConn) startReadAhead(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAheadEnded = make(chan struct{})
	go c.readAhead(c.readAheadEnded, onDisconnect)
}

func (c *readAheadConn) readAhead(ended chan struct{}, onDisconnect func()) {
	defer close(ended)
	piece := make([]byte, 512)
	for {
		n, err := c.Conn.Read(piece)
		c.mu.Lock()
		kept := min(n, maxReadAhead-len(c.buf))
		c.buf = append(c.buf, piece[:kept]...)
		c.overflowed = c.overflowed || kept < n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
		}
		closed := c.err != nil
		c.mu.Unlock()
		if closed {
			onDisconnect()
		}
		if err != nil {
			return
		}
	}
}

// Read returns the bytes read ahead before it reads from the connection.
func (c *readAheadConn) Read(b []byte) (int, error) {
	if n, err := c.readBuffered(b); n > 0 || err != nil {
		return n, err
	}
	return c.Conn.Read(b)
}

// readBuffered stops reading ahead and returns its buffered bytes, its error, or nothing if there are neither.
func (c *readAheadConn) readBuffered(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended := c.readAheadEnded; ended != nil {
		c.readAheadEnded, c.stopping = nil, true
		_ = c.Conn.SetReadDeadline(pastTime) // an error means that the connection and the read have ended
		c.mu.Unlock()
		<-ended
		c.mu.Lock()
		c.stopping = false
		_ = c.Conn.SetReadDeadline(c.deadline) // an error means the same here
	}
	switch n = copy(b, c.buf); {
	case n > 0:
		c.buf = c.buf[n:]
	case c.overflowed:
		err = errReadAheadLimit
	default:
		c.buf, err = nil, c.err
	}
	return n, err
}

// SetReadDeadline implements net.Conn. While reading ahead is being stopped it only records the deadline.
func (c *readAheadConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline = at; c.stopping {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *readAheadConn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}
