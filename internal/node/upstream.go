package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"otterstep/internal/core"
	"otterstep/policy"
)

const (
	maxBody = 64 << 10 // of a request or an answer

	// A server writes its answer in one go, so one that stops half-way for so long
	// will not go on: its length does not fit. Without this the attempt would hold
	// its request until the client's time is up.
	stallFor = 300 * time.Millisecond
	// A connection rests for so long before its next request. What a server sent
	// behind its answer has come by then and shows in quiet; on a connection used
	// again at once it would be read as the next request's answer.
	settleFor = 10 * time.Millisecond
)

// forwarded are the client's headers that go on to servers unchanged.
var forwarded = []string{
	"X-Correlation-Id", "Idempotency-Key", "X-Service-Class", "X-Account", "X-Repeat",
	"X-Weight-Hint", "X-Facts", "Content-Type", "Accept",
}

// message is a client's request as it goes on to servers. It does not change
// once it is handed over, so attempts may share it.
type message struct {
	method   string
	uri      string // as the client wrote it
	host     string
	header   http.Header
	body     []byte
	upstream *upstream
}

// Attempt implements core.Message.
func (m *message) Attempt(ctx context.Context, to core.Server, wait time.Duration, turn core.Turn) core.Reply {
	p := m.upstream.roundTrip(ctx, to, m, wait, turn.Begin)
	return core.Reply{Status: p.status, Body: p, Rejected: p.rejected}
}

// encode writes the whole request into memory, so that one write sends it and
// tells whether its last byte went out. What stands in it has passed net/http's
// checks on the way in, so no value holds a line's end.
func (m *message) encode(wait time.Duration) []byte {
	b := make([]byte, 0, 512+len(m.body))
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Time-Left: %.3f\r\n", m.method, m.uri, m.host, wait.Seconds())
	for _, name := range forwarded {
		for _, value := range m.header[name] {
			b = fmt.Appendf(b, "%s: %s\r\n", name, value)
		}
	}
	if m.method != http.MethodGet {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(m.body))
	}
	return append(append(b, "\r\n"...), m.body...)
}

// reply is what came of an attempt; the body only where it was served.
type reply struct {
	status      policy.Status
	contentType string
	body        []byte
	rejected    bool // the server can't use the request
}

// upstream carries out attempts on pooled connections, one request each at a
// time. It does so by hand because net/http's Transport sends a GET, or anything
// with an Idempotency-Key, once more by itself when a kept connection turns out
// dead: an attempt that the module knows nothing of.
type upstream struct {
	idleFor        time.Duration // kept idle at most
	connectTimeout time.Duration
	most           int // connections, idle ones included

	mu   sync.Mutex
	idle map[core.Server][]*conn // the latest used last
	open int
}

// newUpstream retires idle connections well before servers do (connIdle): a
// request that crosses a server's close ends as a reset that may have run.
func newUpstream(connIdle, connectTimeout time.Duration, most int) *upstream {
	return &upstream{
		idleFor: connIdle * 3 / 4, connectTimeout: connectTimeout, most: most, idle: map[core.Server][]*conn{},
	}
}

type conn struct {
	*net.TCPConn
	to        core.Server
	budget    io.LimitedReader // what an answer may still take of memory
	in        *bufio.Reader
	idleSince time.Time
}

var errNoSockets = errors.New("all sockets in use")

// roundTrip makes one attempt. begin is asked right before the first byte; if it
// says no, nothing is written. The status follows from whether the last byte was
// written: before that the request can't have run, after that it may have.
func (u *upstream) roundTrip(ctx context.Context, to core.Server, m *message, wait time.Duration, begin func() bool) reply {
	c, err := u.get(ctx, to)
	switch {
	case errors.Is(err, errNoSockets):
		return reply{status: policy.Moot} // our own limit says nothing of the server
	case err != nil:
		return reply{status: policy.ConnectFailed}
	}
	release := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // wakes reads and writes
	if !begin() {
		u.put(c, release())
		return reply{status: policy.Moot}
	}
	if _, err := c.Write(m.encode(wait)); err != nil {
		release()
		u.put(c, false)
		return reply{status: policy.ConnectFailed}
	}
	p, reusable := c.read(ctx)
	u.put(c, release() && reusable)
	return p
}

// read takes in an answer. What can't be read may have run, as may whatever is
// neither 200 nor marked as unprocessed.
func (c *conn) read(ctx context.Context) (p reply, reusable bool) {
	c.budget.N = maxAnswerHead + maxBody
	a, err := readAnswer(c.in,
		func() { c.limit(ctx, time.Time{}) },
		func() { c.limit(ctx, time.Now().Add(stallFor)) })
	if err != nil {
		return reply{status: policy.Reset}, false
	}
	turnedAway := a.code == http.StatusServiceUnavailable || a.code == http.StatusGatewayTimeout
	switch {
	case a.code == http.StatusOK:
		p = reply{status: policy.OK, contentType: a.header.Get("Content-Type"), body: a.body}
	case turnedAway && a.header.Get("X-Unprocessed") == "1":
		p.status = policy.Full
	default:
		p.status = policy.Error
		p.rejected = a.code/100 == 4 && a.code != http.StatusRequestTimeout && a.code != http.StatusTooManyRequests
	}
	c.limit(ctx, time.Time{})
	return p, !a.closes && c.in.Buffered() == 0
}

// limit sets the time limit on reading, but leaves one in place that ctx has set.
func (c *conn) limit(ctx context.Context, at time.Time) {
	c.SetReadDeadline(at)
	if ctx.Err() != nil {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// get gives an idle connection that has settled, is young and open still, or a
// new one.
func (u *upstream) get(ctx context.Context, to core.Server) (*conn, error) {
	u.mu.Lock()
	for {
		list := u.idle[to]
		i := len(list) - 1
		for i >= 0 && time.Since(list[i].idleSince) < settleFor {
			i--
		}
		if i < 0 {
			break
		}
		c := list[i]
		u.idle[to] = slices.Delete(list, i, i+1)
		if time.Since(c.idleSince) < u.idleFor && c.quiet() {
			u.mu.Unlock()
			return c, nil
		}
		u.close(c)
	}
	if u.open >= u.most && !u.evict() {
		u.mu.Unlock()
		return nil, errNoSockets
	}
	u.open++
	u.mu.Unlock()

	dialer := net.Dialer{Timeout: u.connectTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, fmt.Errorf("connect: %w", err)
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), to: to}
	c.budget.R = c.TCPConn
	c.in = bufio.NewReaderSize(&c.budget, 4<<10)
	return c, nil
}

// put takes a connection back, or closes it if it is of no further use.
func (u *upstream) put(c *conn, reusable bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !reusable {
		u.close(c)
		return
	}
	c.idleSince = time.Now()
	u.idle[c.to] = append(u.idle[c.to], c)
}

// close needs the lock.
func (u *upstream) close(c *conn) {
	u.open--
	c.Close()
}

// evict closes the connection that has been idle longest; it needs the lock.
func (u *upstream) evict() bool {
	var oldest *conn
	for _, list := range u.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	u.idle[oldest.to] = slices.Delete(u.idle[oldest.to], 0, 1)
	u.close(oldest)
	return true
}

// drop closes the idle connections to a server that is gone.
func (u *upstream) drop(to core.Server) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[to] {
		u.close(c)
	}
	delete(u.idle, to)
}

// sweep closes idle connections that are old or that the server has closed, so
// that they don't go on holding descriptors.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for to, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < u.idleFor && c.quiet() {
				kept = append(kept, c)
			} else {
				u.close(c)
			}
		}
		clear(list[len(kept):])
		if u.idle[to] = kept; len(kept) == 0 {
			delete(u.idle, to)
		}
	}
}

// quiet tells that an idle connection is open and that nothing has come on it: a
// look without waiting. A close that is seen here costs no request.
func (c *conn) quiet() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	var peek error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peek = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peek, syscall.EAGAIN)
}
