package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/conns"
	"otterstep/internal/core"
	"otterstep/policy"
)

const testTimeout = 20 * time.Second // timeout for events that are certain to happen

// server is a scripted server. handle is called for each complete request with its number,
// starting at 1, and its connection, and reports whether to keep the connection.
type server struct {
	addr     string
	requests atomic.Int64
	conns    atomic.Int64
}

func newServer(t *testing.T, handle func(n int64, r *http.Request, c net.Conn) bool) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &server{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if body, err := io.ReadAll(r.Body); err != nil {
						return
					} else {
						r.Body = io.NopCloser(strings.NewReader(string(body)))
					}
					if !handle(s.requests.Add(1), r, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// respondWith answers each request with the same bytes, then keeps or closes the connection.
func respondWith(text string, keep bool) func(int64, *http.Request, net.Conn) bool {
	return func(_ int64, _ *http.Request, c net.Conn) bool {
		io.WriteString(c, text)
		return keep
	}
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func get() *message {
	return &message{method: "GET", uri: "/read/k", host: "api", header: http.Header{"X-Correlation-Id": {"1"}}}
}

func push() *message {
	return &message{method: "POST", uri: "/push/k", host: "api", body: whole("b"),
		header: http.Header{"X-Correlation-Id": {"2"}, "Idempotency-Key": {"i"}}}
}

// at returns a server at an address, with no start time.
func at(addr string) core.Server { return core.Server{Addr: addr} }

// fixedTurn is a turn that permits or forbids an attempt and permits no streaming.
type fixedTurn bool

const permit, deny = fixedTurn(true), fixedTurn(false)

func (a fixedTurn) Begin() bool             { return bool(a) }
func (fixedTurn) ClaimAnswer() bool         { return false }
func (fixedTurn) RequestSent(time.Duration) {}
func (fixedTurn) Hold(func()) bool          { return false }
func (fixedTurn) EndHold() bool             { return true }
func (fixedTurn) Stalled()                  {}

// whole returns a completely buffered body.
func whole(text string) *body {
	return &body{buffered: [][]byte{[]byte(text)}, length: int64(len(text))}
}

// testUpstream returns an upstream without a settle time.
func testUpstream(t *testing.T, most int) *upstream {
	u := &upstream{pool: conns.New(conns.Options{MaxIdle: time.Hour, ConnectTimeout: testTimeout, MaxConns: most})}
	t.Cleanup(u.pool.Close)
	return u
}

// open returns the number of an upstream's connections.
func (u *upstream) open() int {
	n, _ := u.pool.Count()
	return n
}

func TestAttemptStatus(t *testing.T) {
	spare := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	head := func(lines string) string { return "HTTP/1.1 200 OK\r\n" + lines + "\r\n\r\nhello" }
	for name, c := range map[string]struct {
		text   string
		keep   bool
		status policy.Status
		pooled int
	}{
		"served":                    {ok("hello"), true, policy.OK, 1},
		"served after interim":      {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok("hello"), true, policy.OK, 1},
		"served in chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true, policy.OK, 1},
		"served, then closed":       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello", false, policy.OK, 0},
		"served with data after it": {ok("hello") + spare, true, policy.OK, 0},
		"error":                     {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", true, policy.Error, 1},
		"turned away":               {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.Full, 1},
		"turned away as overdue":    {"HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.Full, 1},
		"unmarked 503 may have run": {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", true, policy.Error, 1},
		"marked 500 may have run":   {"HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", true, policy.Error, 1},
		"closed after the request":  {"", false, policy.Reset, 0},
		"ends in the body":          {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false, policy.Reset, 0},
		"not HTTP":                  {"\x00\x01\x02 nothing\r\n\r\n", true, policy.Reset, 0},
		"head without end":          {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", maxAnswerHead+maxBufferedBody), true, policy.Reset, 0},
		"many short header lines":   {"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: a\r\n", maxAnswerHead), true, policy.Reset, 0},
		"head that stops":           {"HTTP/1.1 200 OK\r\nContent-Le", true, policy.Reset, 0},
		"body that stops":           {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true, policy.Reset, 0},
		"chunks that stop":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true, policy.Reset, 0},
		"invalid chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n", true, policy.Reset, 0},
		"no length":                 {head("A: b"), true, policy.Reset, 0},
		"no length, then closed":    {head("A: b"), false, policy.Reset, 0},
		"ended by announced close":  {head("Connection: close"), false, policy.OK, 0},
		"both lengths":              {head("Content-Length: 5\r\nTransfer-Encoding: chunked"), true, policy.Reset, 0},
		"two lengths":               {head("Content-Length: 5\r\nContent-Length: 4"), true, policy.Reset, 0},
		"negative length":           {head("Content-Length: -5"), true, policy.Reset, 0},
		"length not a number":       {head("Content-Length: five"), true, policy.Reset, 0},
		"line with no colon":        {head("no colon\r\nContent-Length: 5"), true, policy.Reset, 0},
		"code not a number":         {"HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhello", true, policy.Reset, 0},
		"code after its text":       {"HTTP/1.1 OK 200\r\nContent-Length: 5\r\n\r\nhello", true, policy.Reset, 0},
		"other protocol":            {"ICY 200 OK\r\nContent-Length: 5\r\n\r\nhello", true, policy.Reset, 0},
		"interim without end":       {strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20) + ok("hello"), true, policy.Reset, 0},
		"switches protocols":        {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", true, policy.Reset, 0},
		"invalid load report":       {head("X-Backend-Load: {\"%%=,\r\nContent-Length: 5"), true, policy.OK, 1},
		"body over the limit":       {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("a", maxBufferedBody+1), true, policy.Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, u := newServer(t, respondWith(c.text, c.keep)), testUpstream(t, 8)
			p := u.roundTrip(t.Context(), at(s.addr), get(), time.Now().Add(time.Second), permit)
			if open, kept := u.pool.Count(); p.status != c.status || kept != c.pooled || open != c.pooled {
				t.Errorf("status %d, %d idle, %d open; want %d, %d idle", p.status, kept, open, c.status, c.pooled)
			}
			if want := map[bool]string{true: "hello"}[c.status == policy.OK]; string(p.body) != want {
				t.Errorf("body %q, want %q", p.body, want)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests received, want 1", n)
			}
		})
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	u := testUpstream(t, 8)
	if p := u.roundTrip(t.Context(), at(l.Addr().String()), push(), time.Now().Add(time.Second), permit); p.status != policy.ConnectFailed || u.open() != 0 {
		t.Errorf("status %d, %d open; want ConnectFailed, 0", p.status, u.open())
	}
}

// A connect to an unreachable machine gets no answer and times out. A listener with a full queue
// behaves the same.
func TestUnreachableMachineIsConnectFailed(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for full := false; !full; {
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if full = err != nil; !full {
			defer c.Close()
		}
	}
	u := newUpstream(time.Hour, 200*time.Millisecond, 8)
	if p := u.roundTrip(t.Context(), at(addr), push(), time.Now().Add(time.Second), permit); p.status != policy.ConnectFailed {
		t.Errorf("status %d, want ConnectFailed", p.status)
	}
}

// If the last byte of a request could not be written, the request certainly did not run.
func TestWriteErrorIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // never accepts or reads, so it does not close the connection either
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	u := testUpstream(t, 8)
	c, err := u.pool.Get(t.Context(), at(l.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil { // makes further writes fail
		t.Fatal(err)
	}
	u.pool.Put(c, true)
	if p := u.roundTrip(t.Context(), at(l.Addr().String()), push(), time.Now().Add(time.Second), permit); p.status != policy.ConnectFailed || u.open() != 0 {
		t.Errorf("status %d, %d open; want ConnectFailed, 0", p.status, u.open())
	}
}

// Guards against hidden resends: net/http's Transport resends a GET or a request with an
// Idempotency-Key on its own when a pooled connection fails.
func TestNoHiddenResendOnAStaleConnection(t *testing.T) {
	for name, m := range map[string]*message{"GET": get(), "keyed POST": push()} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, func(n int64, _ *http.Request, c net.Conn) bool {
				if n == 1 {
					io.WriteString(c, ok("first"))
				}
				return n == 1 // the connection is closed instead of answering the second request
			})
			u := testUpstream(t, 8)
			if p := u.roundTrip(t.Context(), at(s.addr), m, time.Now().Add(time.Second), permit); p.status != policy.OK {
				t.Fatalf("status %d, want served", p.status)
			}
			if p := u.roundTrip(t.Context(), at(s.addr), m, time.Now().Add(time.Second), permit); p.status != policy.Reset {
				t.Errorf("status %d, want reset", p.status)
			}
			if n, c := s.requests.Load(), s.conns.Load(); n != 2 || c != 1 {
				t.Errorf("%d requests on %d connections, want 2 on 1", n, c)
			}
		})
	}
}

// Guards against attempts that are sent after the loop has abandoned them.
func TestAbandonedAttemptSendsNothing(t *testing.T) {
	s, u := newServer(t, respondWith(ok("x"), true)), testUpstream(t, 8)
	if p := u.roundTrip(t.Context(), at(s.addr), push(), time.Now().Add(time.Second), deny); p.status != policy.NotSent {
		t.Errorf("status %d, want NotSent", p.status)
	}
	// The connection is unused and carries the next request as its first.
	if p := u.roundTrip(t.Context(), at(s.addr), push(), time.Now().Add(time.Second), permit); p.status != policy.OK {
		t.Errorf("status %d, want served", p.status)
	}
	if n, c := s.requests.Load(), s.conns.Load(); n != 1 || c != 1 {
		t.Errorf("%d requests on %d connections, want 1 on 1", n, c)
	}
}

// Guards the descriptor limit: an idle connection is evicted to make room, a busy one is not.
func TestConnectionLimit(t *testing.T) {
	hold := make(chan struct{})
	busy := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		<-hold
		io.WriteString(c, ok("x"))
		return true
	})
	quick := newServer(t, respondWith(ok("x"), true))
	u := testUpstream(t, 1)
	if p := u.roundTrip(t.Context(), at(quick.addr), get(), time.Now().Add(time.Second), permit); p.status != policy.OK {
		t.Fatalf("status %d, want served", p.status)
	}
	done := make(chan reply, 1)
	go func() {
		done <- u.roundTrip(context.Background(), at(busy.addr), get(), time.Now().Add(time.Second), permit)
	}()
	waitFor(t, "request at the busy server", func() bool { return busy.requests.Load() == 1 })
	if p := u.roundTrip(t.Context(), at(quick.addr), get(), time.Now().Add(time.Second), permit); p.status != policy.NotSent {
		t.Errorf("status %d beyond the limit, want NotSent", p.status)
	}
	close(hold)
	if p := <-done; p.status != policy.OK {
		t.Errorf("status %d, want served on the connection that replaced the evicted one", p.status)
	}
	if u.open() != 1 {
		t.Errorf("%d open, want 1", u.open())
	}
}

// waitFor polls until a condition that is certain to become true holds, however slow the machine.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out: no %s", what)
		}
	}
}
