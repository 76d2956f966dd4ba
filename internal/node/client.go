package node

import (
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"otterstep/internal/connpace"
	"otterstep/internal/framing"
	"otterstep/internal/sockbuf"
)

// client is a client's connection. Closing it between two requests could race with the next
// request, which would have reached the node's machine and get no answer. Therefore eviction
// does not close it, but interrupts the wait for data; data that has arrived by then cancels
// the eviction.
type client struct {
	net.Conn
	group       *clients
	list        *list.List // the list that holds it, silent or idle; nil while a request is open
	element     *list.Element
	since       time.Time         // when it was added to the list
	evicted     bool              // evicted, unless data arrives first
	active      bool              // a request is open
	headStarted bool              // a request's head has arrived in part
	requests    *framing.Reader   // reads the connection for net/http
	answers     *connpace.Answers // those of /up

	socket    syscall.RawConn    // nil if the connection has none
	readAhead *readAheadConn     // the same as Conn
	release   func()             // returns the connection's memory
	cancel    context.CancelFunc // cancels the context of the connection's requests; nil if there is none
}

type clientKey struct{}

// withClient is used as http.Server.ConnContext.
func withClient(ctx context.Context, conn net.Conn) context.Context {
	c := conn.(*client)
	ctx, c.cancel = context.WithCancel(context.WithValue(ctx, clientKey{}, c))
	return ctx
}

// clientOf returns the client connection of a request, or nil if ctx has none.
func clientOf(ctx context.Context) *client {
	c, _ := ctx.Value(clientKey{}).(*client)
	return c
}

var pastTime = time.Unix(1, 0)

// readerFunc is a function as an io.Reader.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// Read returns whole heads of requests, and bodies as they come.
func (c *client) Read(b []byte) (int, error) {
	n, err := c.requests.Read(b)
	if n == 1 && len(b) == 1 && c.hasOpenRequest() { // net/http's disconnect detection reads no further than this byte
		c.readAhead.startReadAhead(c.cancel)
	}
	return n, err
}

// Close implements net.Conn.
func (c *client) Close() error {
	c.requests.Close()
	if c.release != nil {
		defer c.release()
	}
	return c.Conn.Close()
}

// limitHead limits the time of a head that has begun behind another request. net/http limits that of a connection's
// first head, and of others only once it has seen a part of them.
func (c *client) limitHead() {
	_ = c.SetReadDeadline(time.Now().Add(headTimeout)) // an error means that the connection is broken, which the read shows
}

// readRaw reads from the connection. It tries once more when the wait for a request has timed out, through eviction or
// net/http's idle timeout: on a node short of CPU, a request may have arrived between the
// timeout and this point.
func (c *client) readRaw(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.awaitingRequest() {
		c.Conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.dataArrived()
	}
	return n, err
}

// disconnected reports, without blocking, whether the client has closed or reset its connection, even if unread bytes
// precede the close. net/http's own detection may run only after an attempt's first byte: if a client disconnected
// before it was accepted, both become runnable at the same time.
func (c *client) disconnected() bool {
	if c.socket == nil {
		return false
	}
	gone := false
	err := c.socket.Control(func(fd uintptr) { // socket.Read would wait for net/http's pending read
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err != nil:
			gone = !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		case n == 0:
			gone = true
		default: // a close may follow the unread bytes
			look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, err := unix.Poll(look, 0)
			gone = err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	})
	return gone || err != nil
}

// unread returns how many bytes wait in the system's receive buffer.
func (c *client) unread() int { return sockbuf.Unread(c.socket) }

// received returns the state of what has been received on the connection.
func (c *client) received() sockbuf.State { return sockbuf.Inspect(c.socket) }

// mayHaveLeft reports, right before an attempt's first byte, that the client has disconnected, or that it has sent so
// much behind its request that a disconnect can't be seen. The connection of such a client ends with nothing sent on.
func (c *client) mayHaveLeft() bool {
	if c.disconnected() {
		return true
	}
	// A close shows once all that came before it has been received. While bytes wait in the system's buffer that is not
	// sure: reading ahead takes them, up to its limit.
	if c.unread() == 0 {
		return false
	}
	for polls, settled := 0, 0; polls < maxLeavePolls; polls++ {
		time.Sleep(leavePollInterval)
		switch {
		case c.disconnected():
			return true
		case c.unread() > 0:
			settled = 0
		default:
			settled++
		}
		if settled == settledPolls {
			return false
		}
	}
	if c.cancel != nil {
		c.cancel()
	}
	return true
}

// hasOpenRequest reports whether a request is open and its context can be canceled.
func (c *client) hasOpenRequest() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.active && c.cancel != nil
}

// SetReadDeadline is called by net/http; it does not undo an eviction.
func (c *client) SetReadDeadline(at time.Time) error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.evicted {
		at = pastTime
	}
	return c.Conn.SetReadDeadline(at)
}

func (c *client) awaitingRequest() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return c.list != nil || c.evicted
}

// dataArrived records that data has arrived: the connection is no longer idle, although the
// request's head may be incomplete, and an eviction is undone.
func (c *client) dataArrived() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if c.list == &c.group.idle {
		c.move(nil)
	}
	c.headStarted = !c.active
	c.undoEviction()
}

// undoEviction undoes an eviction; the group's mu must be held.
func (c *client) undoEviction() {
	if c.evicted {
		c.evicted = false
		c.group.evicted--
		c.Conn.SetReadDeadline(time.Now().Add(headTimeout))
	}
}

// move moves the connection to a list, or out of any if to is nil; the group's mu must be held.
func (c *client) move(to *list.List) {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	if c.list = to; to != nil {
		c.element, c.since = to.PushBack(c), time.Now()
	}
}

// evict interrupts the connection's wait for data; the group's mu must be held.
func (c *client) evict() {
	c.move(nil)
	c.evicted = true
	c.group.evicted++
	c.Conn.SetReadDeadline(pastTime)
}
