package web

import (
	"net"
	"net/http"
	"sync"
	"time"

	"otterstep/internal/framing"
)

const (
	// restingTime is how long a connection without a request in progress is kept at least: a request may be on its way on
	// one that was used just now.
	restingTime = 2 * time.Second
	// slotTime is how long a new connection waits for one that is being closed in its favour.
	slotTime = 100 * time.Millisecond
)

// restingConns are the connections on which no request is in progress, with the time since when.
type restingConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// connState records a connection's state.
func (r *restingConns) connState(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == http.StateNew || s == http.StateIdle {
		r.since[c] = time.Now()
	} else {
		delete(r.since, c)
	}
}

// closeLongest closes the connection that has been resting longest, and returns false if none has rested for restingTime.
func (r *restingConns) closeLongest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var longest net.Conn
	for c, since := range r.since {
		if longest == nil || since.Before(r.since[longest]) {
			longest = c
		}
	}
	if longest == nil || time.Since(r.since[longest]) < restingTime {
		return false
	}
	delete(r.since, longest)
	if framed, ok := longest.(*framing.Conn); ok {
		framed.Interrupt() // a request that has come just now is still read
		return true
	}
	_ = longest.SetReadDeadline(time.Unix(1, 0)) // a broken connection ends by itself
	return true
}

// limitedListener limits the number of open connections. At the limit the connection that has been resting longest is
// closed in favour of a new one; if none rests the new one is closed, unread. A connection that waits in the system's
// queue would count as accepted, and its request would get no answer.
type limitedListener struct {
	net.Listener
	slots   chan struct{} // one for each open connection
	resting *restingConns
	memory  Memory
}

func newLimitedListener(l net.Listener, most int, resting *restingConns, memory Memory) *limitedListener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, most), resting: resting, memory: memory}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.takeSlot() {
			if l.memory.Connections.Reserve(l.memory.ConnectionBytes) {
				return &limitedConn{TCPConn: c.(*net.TCPConn), release: sync.OnceFunc(l.release)}, nil
			}
			<-l.slots
		}
		c.Close()
	}
}

// release returns what a connection has taken.
func (l *limitedListener) release() {
	l.memory.Connections.Release(l.memory.ConnectionBytes)
	<-l.slots
}

// takeSlot takes a slot for a new connection, and returns false if there is none.
func (l *limitedListener) takeSlot() bool {
	select {
	case l.slots <- struct{}{}:
		return true
	default:
	}
	if !l.resting.closeLongest() {
		return false
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-time.After(slotTime):
		return false
	}
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
