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

// Idle clients fill the descriptors while discovery is down, and go on doing so while it comes back: a newcomer is
// served all the same, what discovery tells at its return is taken and used, the log says each state once, and a bad
// request gets its 4xx. When they have left, nothing is held.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	t.Parallel()
	one, two := newServer(t, says(ok("1"), true)), newServer(t, says(ok("2"), true))
	d, log := newRegistry(t, listed(one, "s1")), &lines{}
	addr, _ := startNodeConfigured(t, d, operator.File{}, Reloads{}, slog.New(slog.NewTextHandler(log, nil)), func(*Config) {})
	d.told(t)
	d.set(func() { d.down = true })
	waitFor(t, "discovery missed", func() bool { return strings.Contains(log.String(), "discovery is down") })
	var idle []*clientConn
	crowd := func() {
		for range 2 * mostClients { // some have asked once, some never say a word, some stop in a head
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
	newcomer := func(want string) {
		t.Helper()
		c := connect(t, addr)
		c.send(t, requestText(t, addr, "push", "2.9"))
		if code, text, _ := c.answer(t); code != http.StatusOK || text != want {
			t.Errorf("a newcomer is answered %d %q, want 200 %q", code, text, want)
		}
	}
	crowd()
	newcomer("1")
	d.set(func() { d.down = false })
	crowd()
	gone := listed(one, "s1")
	gone.State = "terminating"
	d.change(listed(two, "s2"))
	d.change(gone)
	d.told(t)
	newcomer("2")
	if code := raw(t, addr, "GET /nope/1 HTTP/1.1\r\nHost: api\r\n\r\n"); code != http.StatusBadRequest {
		t.Errorf("a bad request among them is answered %d, want 400", code)
	}
	for _, c := range idle {
		c.Close()
	}
	newcomer("2")
	for _, word := range []string{"discovery is down", "discovery is back"} {
		if n := strings.Count(log.String(), word); n != 1 {
			t.Errorf("%d lines say that %s, want 1", n, word)
		}
	}
	if n := strings.Count(log.String(), "\n"); n > 12 {
		t.Errorf("%d lines in the log:\n%s", n, log.String())
	}
}

// A client that sends a head by a byte at a time gets no longer than others for it, whoever else is there: real time,
// 2.5 s.
func TestHeadInDribblesIsEnded(t *testing.T) {
	t.Parallel()
	s := newServer(t, says(ok("x"), true))
	addr, _ := startNode(t, newRegistry(t, listed(s, "s1")))
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
	c.SetReadDeadline(time.Now().Add(patience))
	if _, err := io.ReadAll(c.in); err != nil {
		t.Logf("ended with %v", err) // a reset: bytes may have been on their way
	}
	if took := time.Since(began); took < headTimeout || took > 2*headTimeout {
		t.Errorf("ended after %v, want %v", took, headTimeout)
	}
}

// Whatever comes, no more clients' connections are held than there are descriptors for them; each one that goes lets
// the next one in.
func TestNoMoreClientsThanDescriptors(t *testing.T) {
	t.Parallel()
	const most = 16
	g := newClients(most)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered, leave := make(chan int, 3*most), make(chan struct{})
	s := &http.Server{ConnState: g.state, ConnContext: withClient, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
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
			t.Fatalf("%d connections are held at request %d, there are descriptors for %d", held, n, most)
		}
		if n >= most-1 {
			leave <- struct{}{}
		}
	}
	close(leave)
}
