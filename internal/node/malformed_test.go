package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/clienttime"
	"otterstep/internal/core"
	"otterstep/internal/streaming"
	"otterstep/policy"
)

// Guards against a wrong answer when a server sends a duplicate response shortly after the first:
// on a connection reused immediately it would be read as the answer to the next request.
func TestLateBytesAreNotReadAsAnswer(t *testing.T) {
	sent := make(chan struct{}, 8)
	s := newServer(t, func(n int64, r *http.Request, c net.Conn) bool {
		io.WriteString(c, ok(r.Header.Get("X-Correlation-Id")))
		time.Sleep(time.Millisecond)
		io.WriteString(c, ok("stale"))
		sent <- struct{}{}
		return true
	})
	u := newUpstream(time.Hour, testTimeout, 8)
	t.Cleanup(u.pool.Close)
	for i, m := range []*message{get(), push(), get(), push()} {
		p := u.roundTrip(t.Context(), at(s.addr), m, time.Now().Add(time.Second), permit)
		if want := m.header.Get("X-Correlation-Id"); string(p.body) != want {
			t.Errorf("status %d, body %q; want %q", p.status, p.body, want)
		}
		if i == 1 { // from here on the duplicate has arrived before the next request
			<-sent
			<-sent
		}
	}
}

// stallTurn is a turn that counts the reports that its answer does not go on.
type stallTurn struct {
	fixedTurn
	stalls *atomic.Int32
}

func (s stallTurn) Stalled() { s.stalls.Add(1) }

// An interim response may precede the final one by any time: an answer counts as stalled only after
// the first byte of a response.
func TestInterimResponseStartsNoStallTimeout(t *testing.T) {
	turn := stallTurn{permit, new(atomic.Int32)}
	s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		time.Sleep(clienttime.MaxStall + 100*time.Millisecond)
		io.WriteString(c, ok("hello"))
		return true
	})
	if p := testUpstream(t, 8).roundTrip(t.Context(), at(s.addr), get(), time.Now().Add(testTimeout), turn); p.status != policy.OK || turn.stalls.Load() != 0 {
		t.Errorf("status %d, want served; stalled %d times", p.status, turn.stalls.Load())
	}
}

// Guards against waiting for oversized answers: one whose declared length exceeds the limit fails
// immediately and is not read, although its server keeps sending.
func TestOversizedAnswerFailsUnread(t *testing.T) {
	closed := make(chan int, 1)
	s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		n, err := 0, error(nil)
		for block := make([]byte, 64<<10); err == nil; {
			var w int
			w, err = c.Write(block)
			n += w
		}
		closed <- n
		return false
	})
	if p := testUpstream(t, 8).roundTrip(t.Context(), at(s.addr), get(), time.Now().Add(testTimeout), permit); p.status != policy.Reset {
		t.Errorf("status %d, want a reset", p.status)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the connection stays open")
	}
}

// A server's 4xx blames the request: the request is not retried on another server, and the
// server's breaker is not affected.
func TestRejectedRequestIsNotRetried(t *testing.T) {
	s := newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		if r.Method == http.MethodGet {
			io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		} else {
			io.WriteString(c, ok("x"))
		}
		return true
	})
	other := newServer(t, respondWith("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", true))
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	two, _ := startNode(t, newRegistry(t, listedTarget(other, "s1"), listedTarget(other, "s2")))
	for range 8 { // more failures than would open the breaker
		if code, _, _ := do(t, clientRequest(t, addr, "read", "2.5")); code != http.StatusBadGateway {
			t.Errorf("answered %d, want 502", code)
		}
	}
	if code, _, _ := do(t, clientRequest(t, addr, "push", "2.5")); code != http.StatusOK {
		t.Errorf("answered %d after rejected requests, want 200", code)
	}
	if do(t, clientRequest(t, two, "read", "2.5")); other.requests.Load() != 1 {
		t.Errorf("%d attempts of a rejected request, want 1", other.requests.Load())
	}
}

// Guards against reuse of connections to a previous server: another server may have taken over
// the address, or the same one may have restarted. A late update about the old server must not
// close the new one's connections.
func TestReplacedServerGetsNewConnections(t *testing.T) {
	s := newServer(t, respondWith(ok("x"), true))
	d := newRegistry(t, listedTarget(s, "s1"))
	addr, _ := startNode(t, d)
	expectConns := func(want int64, when string) {
		t.Helper()
		for range 2 {
			if code, _, _ := do(t, clientRequest(t, addr, "read", "2.5")); code != http.StatusOK {
				t.Errorf("%s: answered %d, want 200", when, code)
			}
			time.Sleep(2 * settleTime) // lets the connection settle, so that the next request can reuse it
		}
		if n := s.conns.Load(); n != want {
			t.Errorf("%s: %d connections so far, want %d", when, n, want)
		}
	}
	expectConns(1, "at first")
	d.change(listedTarget(s, "s2")) // has the address before the old one is reported as terminated
	gone := listedTarget(s, "s1")
	gone.State = "terminated"
	d.awaitApplied(t)
	d.change(gone)
	d.awaitApplied(t)
	expectConns(2, "replaced")
	d.change(gone)
	d.awaitApplied(t)
	expectConns(2, "late update about the old server")
	again := listedTarget(s, "s2")
	again.BootMs = 1000 // before the clock's start for the decision module, but another process
	d.change(again)
	d.awaitApplied(t)
	again.BootMs = time.Now().Add(-time.Minute).UnixMilli()
	d.change(again)
	d.awaitApplied(t)
	expectConns(3, "restarted")
}

// Guards against leaks: nothing may remain of servers, requests and connections that are gone.
func TestNoLeakOfServersAndRequests(t *testing.T) {
	s := newServer(t, respondWith(ok("x"), true))
	l, u := testCore(t)
	for i := range 300 {
		id := serverID(fmt.Sprint("s", i))
		l.UpdateServers(policy.ListDelta, []policy.Entry{{Server: id, State: policy.Ready}}, []string{s.addr})
		if i > 0 {
			l.UpdateServers(policy.ListDelta, []policy.Entry{{Server: serverID(fmt.Sprint("s", i-1))}}, []string{s.addr})
		}
		m, done := get(), make(chan core.Answer, 1)
		m.upstream = u
		l.Submit(core.Request{
			Request: policy.Request{Key: uint64(i + 1)}, Name: fmt.Sprint("id", i),
			Deadline: l.Clock().Now() + time.Second, Message: m, Answers: done,
		})
		if a := <-done; a.Outcome != core.Served {
			t.Fatalf("request %d ended as %v", i, a.Outcome)
		}
	}
	waitFor(t, "end of all connections but the last server's", func() bool {
		open, _ := u.pool.Count()
		return open <= 1
	})
	var v core.View
	waitFor(t, "end of all timers", func() bool {
		var err error
		if v, err = l.Inspect(t.Context()); err != nil {
			t.Fatal(err)
		}
		return v.Timers+v.Requests == 0
	})
	if v.Members != 1 {
		t.Errorf("%d servers held, want 1", v.Members)
	}
}

// Answers in all framings, truncated at each byte by a close or a reset, must not be taken for
// complete. An answer without a length ends with its connection, so only a reset reveals its
// truncation.
func TestTruncatedAnswerFails(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nmade here",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n4\r\nmade\r\n5;a=b\r\n here\r\n0\r\nA: b\r\n\r\n",
		"ended by close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nmade here",
		"HTTP/1.0":       "HTTP/1.0 200 OK\r\n\r\nmade here",
	} {
		toClose := !strings.Contains(text, "Content-Length") && !strings.Contains(text, "chunked")
		for cut := range len(text) + 1 {
			for _, reset := range []bool{false, true} {
				if cut == len(text) && !(reset && toClose) || !reset && toClose && cut >= strings.Index(text, "\r\n\r\n")+4 {
					continue // complete, or indistinguishable from complete
				}
				s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
					io.WriteString(c, text[:cut])
					if reset {
						c.(*net.TCPConn).SetLinger(0)
					}
					return false
				})
				m := get()
				m.handoff = streaming.New()
				p := testUpstream(t, 1).roundTrip(t.Context(), at(s.addr), m, time.Now().Add(testTimeout), permit)
				if p.status != policy.Reset || p.body != nil {
					t.Fatalf("%s, cut at byte %d, reset %v: status %d with %q", name, cut, reset, p.status, p.body)
				}
			}
		}
	}
}
