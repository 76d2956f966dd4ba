package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"otterstep/policy"
)

const (
	maxBody = 64 << 10 // of a request or an answer
	maxHead = 64 << 10 // of an answer, interim ones included
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
	deadline time.Duration // on the node's clock: the client gives up
}

// encode writes the whole request into memory, so that one write sends it and
// tells whether its last byte went out.
func (m *message) encode(wait time.Duration) ([]byte, error) {
	h := make(http.Header, len(m.header)+2)
	for name, values := range m.header {
		h[name] = values
	}
	h["X-Time-Left"] = []string{strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}
	h["User-Agent"] = []string{""} // net/http adds its own otherwise
	req := http.Request{
		Method: m.method, URL: &url.URL{Opaque: m.uri}, Host: m.host, Header: h,
		Body: http.NoBody, ContentLength: int64(len(m.body)),
	}
	if len(m.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return b.Bytes(), nil
}

// reply is what came of an attempt; the body only where it was served.
type reply struct {
	status      policy.Status
	contentType string
	body        []byte
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
	idle map[string][]*conn // the latest used last
	open int
}

// newUpstream retires idle connections well before servers do (connIdle): a
// request that crosses a server's close ends as a reset that may have run.
func newUpstream(connIdle, connectTimeout time.Duration, most int) *upstream {
	return &upstream{
		idleFor: connIdle * 3 / 4, connectTimeout: connectTimeout, most: most, idle: map[string][]*conn{},
	}
}

type conn struct {
	*net.TCPConn
	addr      string
	budget    io.LimitedReader // what an answer may still take of memory
	in        *bufio.Reader
	idleSince time.Time
}

var errNoSockets = errors.New("all sockets in use")

// roundTrip makes one attempt. begin is asked right before the first byte; if it
// says no, nothing is written. The status follows from whether the last byte was
// written: before that the request can't have run, after that it may have.
func (u *upstream) roundTrip(ctx context.Context, addr string, m *message, wait time.Duration, begin func() bool) reply {
	raw, err := m.encode(wait)
	if err != nil {
		return reply{status: policy.Moot}
	}
	c, err := u.get(ctx, addr)
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
	if _, err := c.Write(raw); err != nil {
		release()
		u.put(c, false)
		return reply{status: policy.ConnectFailed}
	}
	p, reusable := c.read(m.method)
	u.put(c, release() && reusable)
	return p
}

// read takes in an answer. What can't be read may have run, as may whatever is
// neither 200 nor marked as unprocessed.
func (c *conn) read(method string) (p reply, reusable bool) {
	p.status = policy.Reset
	c.budget.N = maxHead + maxBody
	var resp *http.Response
	for {
		var err error
		if resp, err = http.ReadResponse(c.in, &http.Request{Method: method}); err != nil {
			return p, false
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil || len(body) > maxBody {
		return p, false
	}
	turnedAway := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case resp.StatusCode == http.StatusOK:
		p = reply{policy.OK, resp.Header.Get("Content-Type"), body}
	case turnedAway && resp.Header.Get("X-Unprocessed") == "1":
		p.status = policy.Full
	default:
		p.status = policy.Error
	}
	return p, !resp.Close && c.in.Buffered() == 0
}

// get gives an idle connection that is young and open still, or a new one.
func (u *upstream) get(ctx context.Context, addr string) (*conn, error) {
	u.mu.Lock()
	for len(u.idle[addr]) > 0 {
		list := u.idle[addr]
		c := list[len(list)-1]
		u.idle[addr] = list[:len(list)-1]
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
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, fmt.Errorf("connect: %w", err)
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), addr: addr}
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
	u.idle[c.addr] = append(u.idle[c.addr], c)
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
	u.idle[oldest.addr] = u.idle[oldest.addr][1:]
	u.close(oldest)
	return true
}

// drop closes the idle connections to a server that is gone.
func (u *upstream) drop(addr string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.idle[addr] {
		u.close(c)
	}
	delete(u.idle, addr)
}

// sweep closes idle connections that are old or that the server has closed, so
// that they don't go on holding descriptors.
func (u *upstream) sweep() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for addr, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < u.idleFor && c.quiet() {
				kept = append(kept, c)
			} else {
				u.close(c)
			}
		}
		clear(list[len(kept):])
		if u.idle[addr] = kept; len(kept) == 0 {
			delete(u.idle, addr)
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
