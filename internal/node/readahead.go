package node

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"otterstep/internal/membudget"
)

const (
	// maxReadAhead limits the bytes read ahead on one connection. What exceeds it stays in the system's
	// buffer, which slows the client down. All but the first part is reserved.
	maxReadAhead  = 256 << 10
	readAheadFree = 4 << 10
	readAheadStep = 16 << 10 // that is reserved at once
	// readAheadPart is the part of the memory for heads that reading ahead can use.
	readAheadPart = 0.5
	// disconnectPollInterval is how often a connection with maxReadAhead bytes is checked for a disconnect.
	disconnectPollInterval = 20 * time.Millisecond
)

// readAheadConn is a client's connection that, once told to, keeps reading after an open request. net/http
// detects a client's disconnect with a one-byte read. If bytes of another request follow, that read does not
// see the close after them, and the request would be served although its client is gone. The open request may
// have been answered already: a client can send its next request before net/http has noticed that.
//
// Read must not be called concurrently; the other methods are safe for concurrent use.
type readAheadConn struct {
	net.Conn
	disconnected func() bool // reports a disconnect that follows unread bytes, without blocking
	memory       *membudget.Account

	mu       sync.Mutex
	deadline time.Time // latest read deadline set by the caller
	ahead    *readAhead
	stopping bool
	buf      []byte
	reserved int64 // for buf
	closed   bool
	err      error // error that ended reading ahead
}

// readAhead is the reading ahead that is active.
type readAhead struct {
	stop  chan struct{} // closed to end it
	ended chan struct{} // closed when it has ended
}

// startReadAhead reads ahead until the next Read. onDisconnect is called if the client disconnects before that.
func (c *readAheadConn) startReadAhead(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = &readAhead{make(chan struct{}), make(chan struct{})}
	go func(a *readAhead) {
		defer close(a.ended)
		if full := c.fillBuffer(onDisconnect); full {
			c.awaitDisconnect(a.stop, onDisconnect)
		}
	}(c.ahead)
}

// room returns how many more bytes may be read ahead, and reserves memory for them.
func (c *readAheadConn) room() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	room := readAheadFree + int(c.reserved) - len(c.buf)
	if room > 0 || c.closed || c.reserved+readAheadStep > maxReadAhead || !c.memory.ReserveWithin(readAheadStep, readAheadPart) {
		return max(0, room)
	}
	c.reserved += readAheadStep
	return readAheadStep
}

// release returns the reserved memory; mu must be held.
func (c *readAheadConn) release() {
	c.memory.Release(c.reserved)
	c.reserved = 0
}

// Close implements net.Conn.
func (c *readAheadConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// fillBuffer reads until maxReadAhead bytes are buffered, which it reports, or a read fails.
func (c *readAheadConn) fillBuffer(onDisconnect func()) (full bool) {
	piece := make([]byte, 4<<10)
	for room := c.room(); room > 0; room = c.room() {
		n, err := c.Conn.Read(piece[:min(len(piece), room)])
		c.mu.Lock()
		c.buf = append(c.buf, piece[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
		}
		closed := c.err != nil
		c.mu.Unlock()
		if closed {
			onDisconnect()
		}
		if err != nil {
			return false
		}
	}
	return true
}

// awaitDisconnect waits for the client's disconnect without reading.
func (c *readAheadConn) awaitDisconnect(stop <-chan struct{}, onDisconnect func()) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for !c.disconnected() {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
	onDisconnect()
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
	if ahead := c.ahead; ahead != nil {
		c.ahead, c.stopping = nil, true
		close(ahead.stop)
		_ = c.Conn.SetReadDeadline(pastTime) // an error means that the connection and the read have ended
		c.mu.Unlock()
		<-ahead.ended
		c.mu.Lock()
		c.stopping = false
		_ = c.Conn.SetReadDeadline(c.deadline) // an error means the same here
	}
	if n = copy(b, c.buf); n > 0 {
		c.buf = c.buf[n:]
		return n, nil
	}
	c.buf = nil
	c.release()
	return 0, c.err
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
