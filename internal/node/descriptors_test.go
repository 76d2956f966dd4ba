package node

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterstep/internal/operator"
)

// Idle clients exhaust the descriptors while discovery is down and while it comes back. New clients must still be
// served, discovery's changes on its return must be applied, each state must be logged once, and an invalid request
// must get its 4xx. After the idle clients have closed, new ones are served.
func TestIdleClientsExhaustDescriptors(t *testing.T) {
	t.Parallel()
	one, two := newServer(t, respondWith(ok("1"), true)), newServer(t, respondWith(ok("2"), true))
	d, log := newRegistry(t, listedTarget(one, "s1")), &logBuffer{}
	addr, _ := startNodeConfigured(t, d, operator.File{}, Reloads{}, slog.New(slog.NewTextHandler(log, nil)), func(*Config) {})
	d.awaitApplied(t)
	d.set(func() { d.down = true })
	waitFor(t, "log line that discovery is down", func() bool { return strings.Contains(log.String(), "discovery is down") })
	var idle []*clientConn
	connectIdle := func() {
		for range 2 * maxClients { // a third sends one request, a third half a head, a third nothing
			c := connect(t, addr)
			switch len(idle) % 3 {
			case 0:
				c.send(t, requestText(t, addr, "read", "2.9"))
				if code, text, _ := c.answer(t); code != http.StatusOK {
					t.Fatalf("connection %d: answered %d %s", len(idle), code, text)
				}
			case 1:
				c.send(t, "GET /read/1 HTTP/1.1\r\nHo")
			}
			idle = append(idle, c)
		}
	}
	expectServed := func(want string) {
		t.Helper()
		c := connect(t, addr)
		c.send(t, requestText(t, addr, "push", "2.9"))
		if code, text, _ := c.answer(t); code != http.StatusOK || text != want {
			t.Errorf("a new client is answered %d %q, want 200 %q", code, text, want)
		}
	}
	connectIdle()
	expectServed("1")
	d.set(func() { d.down = false })
	connectIdle()
	gone := listedTarget(one, "s1")
	gone.State = "terminating"
	d.change(listedTarget(two, "s2"))
	d.change(gone)
	d.awaitApplied(t)
	expectServed("2")
	if code := sendRaw(t, addr, "GET /nope/1 HTTP/1.1\r\nHost: api\r\n\r\n"); code != http.StatusBadRequest {
		t.Errorf("an invalid request is answered %d, want 400", code)
	}
	for _, c := range idle {
		c.Close()
	}
	expectServed("2")
	for _, word := range []string{"discovery is down", "discovery is back"} {
		if n := strings.Count(log.String(), word); n != 1 {
			t.Errorf("%d log lines contain %q, want 1", n, word)
		}
	}
	if n := strings.Count(log.String(), "\n"); n > 12 {
		t.Errorf("%d log lines, want at most 12:\n%s", n, log.String())
	}
}

// A client that sends its head one byte at a time is subject to the same timeout as others. Runs in real time for 2.5 s.
func TestSlowHeadTimesOut(t *testing.T) {
	t.Parallel()
	s := newServer(t, respondWith(ok("x"), true))
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	c := connect(t, addr)
	began := time.Now()
	go func() {
		for _, b := range []byte("GET /read/1 HTTP/1.1\r\nHost: a") {
			if _, err := c.Write([]byte{b}); err != nil {
				return
			}
			<-time.After(100 * time.Millisecond)
		}
	}()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadAll(c.in); err != nil {
		t.Logf("ended with %v", err) // a reset, if bytes were still in flight
	}
	if took := time.Since(began); took < headTimeout || took > 2*headTimeout {
		t.Errorf("ended after %v, want %v", took, headTimeout)
	}
}

// The number of clients' connections never exceeds the number of descriptors for them; each one that closes admits the
// next.
func TestClientConnectionLimit(t *testing.T) {
	t.Parallel()
	const most = 16
	g := newClients(most, newClientMemory(0, most))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered, leave := make(chan int, 3*most), make(chan struct{})
	s := &http.Server{ConnState: g.connState, ConnContext: withClient, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- g.connected()
		<-leave
		w.Header().Set("Connection", "close")
	})}
	go func() { _ = s.Serve(g.listener(l)) }()
	t.Cleanup(func() { s.Close() })
	for range 3 * most {
		connect(t, l.Addr().String()).send(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	for n := range 3 * most {
		if held := <-entered; held > most {
			t.Fatalf("%d connections are open at request %d, want at most %d", held, n, most)
		}
		if n >= most-1 {
			leave <- struct{}{}
		}
	}
	close(leave)
}
