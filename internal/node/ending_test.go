package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"otterstep/internal/life"
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

// Whatever arrives round a node's end: what was read whole has a whole answer ahead of the kill, parts that came on
// both sides of the signal too, also while a third of the servers hang and behind a SIGHUP. What rests or never
// becomes whole is ended, and never by a reset. Deadlines of 400 ms make it a kill after 1.1 s of real time.
func TestWhatArrivesRoundTheEnd(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	heldFirst := make(chan struct{}, 16)
	server := func(_ int64, r *http.Request, c net.Conn) bool {
		if strings.HasSuffix(r.RequestURI, "hold") {
			heldFirst <- struct{}{}
			<-hold
		}
		io.WriteString(c, ok("x"))
		return true
	}
	one, two := newServer(t, server), newServer(t, server)
	hangs := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool { c.Read(make([]byte, 1)); return false })
	d, log, hangups := newRegistry(t, listed(one, "s1"), listed(two, "s2"), listed(hangs, "s3")), &lines{}, make(chan os.Signal, 1)
	addr, stop := startNodeConfigured(t, d, operator.File{}, Reloads{"nowhere", hangups}, slog.New(slog.NewTextHandler(log, nil)), func(c *Config) {
		c.Site = siteOf(t, strings.NewReplacer("3000", "400", "2000", "200").Replace(settings))
	})
	const kill = 1100 * time.Millisecond

	read := func(more string) string {
		return strings.Replace(requestText(t, addr, "read", "0.4"), "?q=%20", more, 1)
	}
	push, late := requestText(t, addr, "push", "0.4"), requestText(t, addr, "push", "0.4")
	half := len(push) / 2
	body := strings.Index(late, "\r\n\r\n") + 6
	pipelined, torn, bodiless, resting, unfinished := connect(t, addr), connect(t, addr), connect(t, addr), connect(t, addr), connect(t, addr)
	resting.send(t, read(""))
	if code, text, _ := resting.answer(t); code == 0 {
		t.Fatal(text)
	}
	for len(heldFirst) == 0 { // one that was given to the server that hangs is refused, and asked again
		pipelined.send(t, read("hold")+read(""))
		select {
		case <-heldFirst:
			heldFirst <- struct{}{}
		case <-time.After(time.Second):
			t.Log(pipelined.answer(t))
			t.Log(pipelined.answer(t))
		}
	}
	torn.send(t, push[:half])
	bodiless.send(t, late[:body])
	unfinished.send(t, "GET /read/1 HTTP/1.1\r\nHost: a")

	told := time.Now()
	ended := make(chan error, 1)
	hangups <- syscall.SIGHUP
	go func() { ended <- stop() }()
	waitFor(t, "draining", func() bool { return strings.Contains(log.String(), "draining") })
	fresh := connect(t, addr)
	fresh.send(t, read(""))
	torn.send(t, push[half:])
	bodiless.send(t, late[body:])
	spoilt := connect(t, addr)
	spoilt.send(t, "GET /nope/1 HTTP/1.1\r\nHost: a\r\n\r\n")
	if code, text, closes := spoilt.answer(t); code != http.StatusBadRequest || !closes {
		t.Errorf("a bad request in the end: answered %d %s, closes %v", code, text, closes)
	}
	close(hold)
	for name, c := range map[string]*clientConn{
		"connected behind the signal": fresh, "in two parts": torn, "its body behind the signal": bodiless,
		"held before the signal": pipelined, "the second of two": pipelined,
	} {
		if code, text, _ := c.answer(t); code == 0 {
			t.Errorf("%s: no whole answer: %s", name, text)
		}
	}
	for name, c := range map[string]*clientConn{"resting": resting, "never whole": unfinished} {
		c.SetReadDeadline(time.Now().Add(patience))
		if n, err := c.in.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
			t.Errorf("%s: read %d bytes, %v; want a plain end", name, n, err)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(told); took > kill {
		t.Errorf("ended %v after the signal, the kill comes after %v", took, kill)
	}
	if n := strings.Count(log.String(), "reload failed"); n != 1 {
		t.Errorf("%d lines on the SIGHUP ahead of the end, want 1:\n%s", n, log.String())
	}
}

// Half a request's head has been read when the node begins to close what rests, on a new connection and on one that was
// used before: neither is closed over it, and both are answered whole once the rest has come. The rest is sent only
// when a connection that rested has been closed, so that the closing has begun; the timetable leaves it any time.
func TestHalfAHeadOutlivesTheClosing(t *testing.T) {
	t.Parallel()
	s := newServer(t, says(ok("x"), true))
	b := startFront(t, testUpstream(t, 8), 1, s.addr)
	fresh, used, resting := connect(t, b.addr), connect(t, b.addr), connect(t, b.addr)
	for _, c := range []*clientConn{used, resting} {
		c.send(t, requestText(t, b.addr, "read", "59"))
		if code, text, _ := c.answer(t); code != http.StatusOK {
			t.Fatal(code, text)
		}
	}
	text := map[*clientConn]string{fresh: requestText(t, b.addr, "read", "59"), used: requestText(t, b.addr, "push", "59")}
	for c := range text {
		c.send(t, text[c][:30])
	}
	waitFor(t, "two heads that have begun", func() bool {
		g := b.front.clients
		g.mu.Lock()
		defer g.mu.Unlock()
		begun := 0
		for c := range g.conns {
			if c.begun {
				begun++
			}
		}
		return begun == 2
	})
	ended := make(chan error, 1)
	go func() {
		ended <- drain(context.Background(), time.Now(), life.Termination{Answers: patience, Close: patience, Kill: patience},
			func() bool { return false }, b.front, b.front.clients, b.server)
	}()
	resting.SetReadDeadline(time.Now().Add(patience))
	if _, err := resting.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the resting connection: %v, want an end", err)
	}
	for c := range text {
		c.send(t, text[c][30:])
		if code, body, closes := c.answer(t); code != http.StatusOK || !closes {
			t.Errorf("answered %d %s, closes %v; want 200 and the end behind it", code, body, closes)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
