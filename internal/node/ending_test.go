package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterstep/internal/operator"
)

// clientConn is a client's connection on the level of bytes.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func connect(t *testing.T, addr string) *clientConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &clientConn{c, bufio.NewReader(c)}
}

// send writes bytes of requests.
func (c *clientConn) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// answer reads one whole answer; its status is 0 where the connection ends without one.
func (c *clientConn) answer(t *testing.T) (code int, body string, closes bool) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err.Error(), true
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), true
	}
	return resp.StatusCode, string(text), resp.Close
}

// requestText is a client's request as it stands on the wire.
func requestText(t *testing.T, addr, class, left string) string {
	t.Helper()
	var b strings.Builder
	if err := clientRequest(t, addr, class, left).Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// startLong starts a node whose classes have deadlines of 5 s, longer than counts at a kill.
func startLong(t *testing.T, d *registry) (addr string, stop func() error) {
	t.Helper()
	return startNodeConfigured(t, d, operator.File{}, Reloads{}, quiet(), func(c *Config) {
		c.Site = siteOf(t, strings.ReplaceAll(settings, "3000", "5000"))
	})
}

// Guards rule 1 at the kill, which comes 3.7 s after SIGTERM however long clients would wait: whatever was
// read has its whole answer by then, be it from before the signal, from right behind it or from late in the
// end; and nothing is accepted any more. Real time, as the kill is counted in it: 3.6 s.
func TestEndIsAheadOfTheKill(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 64)
	silent := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		came <- struct{}{}
		c.Read(make([]byte, 1)) // until the node gives up
		return false
	})
	addr, stop := startLong(t, newRegistry(t, listed(silent, "s1")))
	const kill = 3700 * time.Millisecond
	early, late := connect(t, addr), connect(t, addr)
	early.send(t, requestText(t, addr, "book", "5"))
	<-came
	late.send(t, requestText(t, addr, "read", "0.01")) // the connection rests from then on
	if code, text, _ := late.answer(t); code == 0 {
		t.Fatal(text)
	}
	told := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	for n := 0; ; n++ { // one request after another, for as long as the connection stays open
		late.send(t, requestText(t, addr, []string{"read", "push", "book"}[n%3], "0.3"))
		code, text, closes := late.answer(t)
		if code == 0 {
			t.Fatalf("request %d, %v after the signal: no whole answer: %s", n, time.Since(told), text)
		}
		if closes {
			break
		}
	}
	if code, text, _ := early.answer(t); code == 0 {
		t.Errorf("taken before the signal, and no whole answer: %s", text)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(told); took > kill {
		t.Errorf("the node ended %v after the signal, the kill comes after %v", took, kill)
	}
}
