// Package writelimit limits the time that writes to a connection may take.
//
// The WriteTimeout of net/http's Server starts when a request's head has been read. A body that arrives
// slowly uses it up, and the answer can no longer be written. The limit of this package counts the time in
// which writes wait, whatever happened on the connection before.
package writelimit

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Limits limit the time of writes.
type Limits struct {
	// Grace is how long a write may take, or writes may take beyond what BytesPerSecond permits.
	Grace time.Duration
	// BytesPerSecond is the rate at which the other side has to accept data; 0 for none. A write that
	// waits for room in the system's send queue, which may hold megabytes, goes on for as long as the
	// queue shrinks fast enough.
	BytesPerSecond int
}

// How long a write whose rate matters waits before it first looks at the send queue, and the shortest wait after that.
const (
	firstWait   = time.Second
	minimumWait = 100 * time.Millisecond
)

// Listener returns a listener whose connections have limited writes.
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

// Conn is a connection on which each Write fails once it has taken longer than the limits permit. Deadlines that
// the caller sets hold as well: the earlier one of both ends a write. Writes must not be concurrent; the other
// methods are safe for concurrent use.
type Conn struct {
	net.Conn
	limits Limits
	behind time.Duration // time that writes have taken beyond what the rate permits; used by Write alone

	mu       sync.Mutex
	deadline time.Time // set by the caller; zero for none
	waitEnds time.Time // when the current wait of a write ends; the last one between writes
	byCaller bool      // the deadline in effect is the caller's
}

// NewConn returns c with limited writes.
func NewConn(c net.Conn, limits Limits) *Conn { return &Conn{Conn: c, limits: limits} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	queue := unknownLength
	for {
		wait := c.nextWait(queue)
		began := time.Now()
		c.startWait(began.Add(wait))
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.endedByCaller() {
			c.account(time.Since(began), n)
			return written, err
		}
		accepted := n
		now := sendQueueLength(c.Conn)
		if queue != unknownLength && now != unknownLength {
			accepted += queue - now
		}
		queue = now
		c.account(wait, accepted)
		if c.limits.BytesPerSecond == 0 || c.behind >= c.limits.Grace {
			return written, err
		}
	}
}

// nextWait returns how long a write may wait before the send queue, whose length was queue, is looked at.
func (c *Conn) nextWait(queue int) time.Duration {
	switch {
	case c.limits.BytesPerSecond == 0:
		return c.limits.Grace
	case queue == unknownLength:
		return min(firstWait, c.limits.Grace)
	}
	return max(c.limits.Grace-c.behind, minimumWait)
}

// account records that the other side took some time to accept a number of bytes.
func (c *Conn) account(took time.Duration, accepted int) {
	if c.limits.BytesPerSecond == 0 {
		return
	}
	permitted := float64(accepted) / float64(c.limits.BytesPerSecond) * float64(time.Second)
	c.behind = max(0, c.behind+took-time.Duration(permitted))
}

// startWait records when the current wait of a write ends. Between writes no deadline has to be in effect, so the
// last one is left as it is.
func (c *Conn) startWait(ends time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitEnds = ends
	_ = c.applyDeadline() // fails only on a closed connection, on which the write fails too
}

// endedByCaller reports whether the deadline in effect is the caller's.
func (c *Conn) endedByCaller() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byCaller
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	return c.applyDeadline()
}

// applyDeadline sets the earlier one of the caller's deadline and the end of the wait; mu must be held.
func (c *Conn) applyDeadline() error {
	c.byCaller = !c.deadline.IsZero() && (c.waitEnds.IsZero() || !c.waitEnds.Before(c.deadline))
	if c.byCaller {
		return c.Conn.SetWriteDeadline(c.deadline)
	}
	return c.Conn.SetWriteDeadline(c.waitEnds)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}
