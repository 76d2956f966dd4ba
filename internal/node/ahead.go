package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// aheadMost bounds what is read ahead on one connection, in bytes. PROTOCOL's clients send one request at a
// time, so that whoever sends more behind an open one is none of them.
const aheadMost = 16 << 10

// errFlood ends a connection on which more came behind an open request than is kept.
var errFlood = errors.New("over 16 KiB behind an open request")

// aheadConn is a client's connection that goes on reading behind an open request once it is told to. net/http
// looks for the client's leaving with a read of one byte: where bytes of another request follow, it would see
// no close behind them, and the request would be served behind its client's back.
//
// Read is for one goroutine at a time; the rest is safe for concurrent use.
type aheadConn struct {
	net.Conn

	mu       sync.Mutex
	deadline time.Time     // of reads, as it was set last
	reading  chan struct{} // closed when the reading ahead has ended; nil: there is none
	stopping bool
	buf      []byte
	flooded  bool  // what came behind buf was dropped
	err      error // what the reading ahead ended with
}

// watch reads ahead until the next Read. left is called if the connection ends meanwhile.
func (c *aheadConn) watch(left func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = make(chan struct{})
	go c.readAhead(c.reading, left)
}

func (c *aheadConn) readAhead(ended chan struct{}, left func()) {
	defer close(ended)
	piece := make([]byte, 512)
	for {
		n, err := c.Conn.Read(piece)
		c.mu.Lock()
		kept := min(n, aheadMost-len(c.buf))
		c.buf = append(c.buf, piece[:kept]...)
		c.flooded = c.flooded || kept < n
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
		}
		gone := c.err != nil
		c.mu.Unlock()
		if gone {
			left()
		}
		if err != nil {
			return
		}
	}
}

// Read gives what was read ahead first.
func (c *aheadConn) Read(b []byte) (int, error) {
	if n, err := c.kept(b); n > 0 || err != nil {
		return n, err
	}
	return c.Conn.Read(b)
}

// kept ends the reading ahead and gives what is left of it; nothing where there was none.
func (c *aheadConn) kept(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ended := c.reading; ended != nil {
		c.reading, c.stopping = nil, true
		_ = c.Conn.SetReadDeadline(longAgo) // a connection that can't has ended, and the read with it
		c.mu.Unlock()
		<-ended
		c.mu.Lock()
		c.stopping = false
		_ = c.Conn.SetReadDeadline(c.deadline) // likewise
	}
	switch n = copy(b, c.buf); {
	case n > 0:
		c.buf = c.buf[n:]
	case c.flooded:
		err = errFlood
	default:
		c.buf, err = nil, c.err
	}
	return n, err
}

// SetReadDeadline is net.Conn's; it does not keep reading ahead from being stopped.
func (c *aheadConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline = at; c.stopping {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// SetDeadline is net.Conn's.
func (c *aheadConn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}
