package node

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a request ID that runs twice in an upgrade: an ID that is in use in the old process is a duplicate in the
// new one, also once its client has left, and is remembered there when the old process has ended.
func TestRequestIDsAreSharedInAnUpgrade(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	s := newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		if strings.HasPrefix(r.Header.Get("X-Correlation-Id"), "held") {
			<-gate
		}
		io.WriteString(c, ok("done"))
		return true
	})
	p := newPlatform(t, newRegistry(t, listedTarget(s, "s1"), listedTarget(s, "s2"), listedTarget(s, "s3")))
	expect := func(id string, want int) {
		t.Helper()
		c := connect(t, p.cfg.Listen)
		c.send(t, headOf("GET", "read", id, ""))
		if code, text, _ := c.answer(t); code != want {
			t.Errorf("%s: answered %d %q, want %d", id, code, text, want)
		}
	}
	old := p.start()
	old.awaitReady()
	expect("ended", http.StatusOK)
	held, gone := connect(t, p.cfg.Listen), connect(t, p.cfg.Listen)
	held.send(t, headOf("GET", "read", "held-open", ""))
	gone.send(t, headOf("GET", "read", "held-gone", ""))
	waitFor(t, "requests at the server", func() bool { return s.requests.Load() == 3 })
	gone.Close()
	next := p.start()
	next.awaitReady()
	for _, id := range []string{"held-open", "held-gone", "ended"} {
		expect(id, http.StatusConflict)
	}
	close(gate)
	if code, text, _ := held.answer(t); code != http.StatusOK {
		t.Errorf("answered %d %q", code, text)
	}
	old.end()
	expect("held-open", http.StatusConflict)
	if n := s.requests.Load(); n != 3 {
		t.Errorf("%d requests ran, want 3", n)
	}
	next.end()
}
