package web

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"otterstep/internal/standin/webbox"
)

// Guards against a request that waits behind idle connections for good: at limits.connections a new one is closed unread while
// none has rested for long, and else the one that has rested longest gives way; one whose next request has come is served.
func TestRestingConnectionsGiveWay(t *testing.T) {
	const most = 3
	r := newFixture(t, "[web.limits]\nconnections = 3\n", webbox.Respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true))
	ask := func(c net.Conn, in *bufio.Reader) response {
		t.Helper()
		_, _ = io.WriteString(c, getRequest("/")) // a closed connection shows in the answer
		return readResponse(in, "GET")
	}
	var conns []net.Conn
	var readers []*bufio.Reader
	for range most {
		c := r.dial()
		in := bufio.NewReader(c)
		if a := ask(c, in); a.code != 200 {
			t.Fatalf("%d, %v", a.code, a.err)
		}
		conns, readers = append(conns, c), append(readers, in)
	}
	resting := func() int {
		r.front.resting.mu.Lock()
		defer r.front.resting.mu.Unlock()
		return len(r.front.resting.since)
	}
	r.waitFor("resting connections", func() bool { return resting() == most })
	beyond := r.dial()
	if a := ask(beyond, bufio.NewReader(beyond)); a.err == nil {
		t.Errorf("a connection beyond the limit was served with %d while none has rested for long", a.code)
	}
	r.front.resting.mu.Lock()
	for c := range r.front.resting.since {
		if c.RemoteAddr().String() == conns[0].LocalAddr().String() {
			r.front.resting.since[c] = time.Now().Add(-2 * restingTime)
		}
	}
	r.front.resting.mu.Unlock()
	next := r.dial()
	if a := ask(next, bufio.NewReader(next)); a.code != 200 {
		t.Errorf("a new connection: %d, %v", a.code, a.err)
	}
	if a := ask(conns[0], readers[0]); a.err == nil {
		t.Errorf("the connection that has rested longest was not closed: %d", a.code)
	}
	for n := 1; n < most; n++ {
		if a := ask(conns[n], readers[n]); a.code != 200 {
			t.Errorf("connection %d: %d, %v", n, a.code, a.err)
		}
	}
}
