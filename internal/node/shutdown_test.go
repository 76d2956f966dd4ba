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

	"otterstep/internal/lifecycle"
	"otterstep/internal/operator"
)

// clientConn is a client's raw connection.
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

// answer reads one complete answer; the status is 0 if the connection ends without one.
func (c *clientConn) answer(t *testing.T) (code int, body string, closes bool) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
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

// expectClose expects that the node closes the connection, without a reset and without sending anything.
func (c *clientConn) expectClose(t *testing.T, name string) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := c.in.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		t.Errorf("%s: read %d bytes, %v; want EOF", name, n, err)
	}
}

// requestText returns a client's request as sent on the wire.
func requestText(t *testing.T, addr, class, left string) string {
	t.Helper()
	var b strings.Builder
	if err := clientRequest(t, addr, class, left).Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// startNodeWithLongDeadlines starts a node whose classes have deadlines of 5 s, more than the 3 s that count for the time of SIGKILL.
func startNodeWithLongDeadlines(t *testing.T, d *registry) (addr string, stop func() error) {
	t.Helper()
	return startNodeConfigured(t, d, operator.File{}, Reloads{}, quiet(), func(c *Config) {
		c.Site = siteOf(t, strings.ReplaceAll(settings, "3000", "5000"))
	})
}

// Guards against requests that SIGKILL leaves unanswered (rule 1). It comes 3.7 s after SIGTERM, however far deadlines
// are away: every request that was read has its complete answer by then, whether it came before SIGTERM, right after it
// or shortly before the end. The test takes 3.6 s of real time.
func TestShutdownCompletesBeforeKill(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 64)
	silent := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		came <- struct{}{}
		c.Read(make([]byte, 1)) // until the node closes the connection
		return false
	})
	addr, stop := startNodeWithLongDeadlines(t, newRegistry(t, listedTarget(silent, "s1")))
	const kill = 3700 * time.Millisecond
	early, late := connect(t, addr), connect(t, addr)
	early.send(t, requestText(t, addr, "book", "5"))
	<-came
	late.send(t, requestText(t, addr, "read", "0.01")) // the connection is idle from then on
	if code, text, _ := late.answer(t); code == 0 {
		t.Fatal(text)
	}
	terminatedAt := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- stop() }()
	for n := 0; ; n++ { // one request after another, for as long as the connection stays open
		late.send(t, requestText(t, addr, []string{"read", "push", "book"}[n%3], "0.3"))
		code, text, closes := late.answer(t)
		if code == 0 {
			t.Fatalf("request %d, %v after the signal: no complete answer: %s", n, time.Since(terminatedAt), text)
		}
		if closes {
			break
		}
	}
	if code, text, _ := early.answer(t); code == 0 {
		t.Errorf("request sent before the signal: no complete answer: %s", text)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if took := time.Since(terminatedAt); took > kill {
		t.Errorf("the node ended %v after SIGTERM, SIGKILL comes after %v", took, kill)
	}
}

// Requests that arrive around SIGTERM: every complete request, also one whose parts came before and after the signal,
// has a complete answer before SIGKILL, while a third of the servers hang and after a SIGHUP. Idle connections and those
// with an incomplete request are closed without a reset, and the node ends before SIGKILL, which comes 1.1 s after SIGTERM
// with deadlines of 400 ms. The test sets the clock that the timetable goes by.
func TestRequestsAroundShutdown(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	firstHeld := make(chan struct{}, 16)
	server := func(_ int64, r *http.Request, c net.Conn) bool {
		if strings.HasSuffix(r.RequestURI, "hold") {
			firstHeld <- struct{}{}
			<-hold
		}
		io.WriteString(c, ok("x"))
		return true
	}
	one, two := newServer(t, server), newServer(t, server)
	hangs := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool { c.Read(make([]byte, 1)); return false })
	d, log, hangups := newRegistry(t, listedTarget(one, "s1"), listedTarget(two, "s2"), listedTarget(hangs, "s3")), &logBuffer{}, make(chan os.Signal, 1)
	clock := newManualTerminationClock()
	addr, stop := startNodeConfigured(t, d, operator.File{}, Reloads{"nowhere", hangups}, slog.New(slog.NewTextHandler(log, nil)), func(c *Config) {
		c.Site = siteOf(t, strings.NewReplacer("3000", "400", "2000", "200").Replace(settings))
		c.startTerminationClock = func() terminationClock { return clock }
	})
	const (
		kill         = 1100 * time.Millisecond
		beforeAnswer = kill - 100*time.Millisecond - 1 // answers are due 100 ms before SIGKILL
	)

	read := func(more string) string {
		return strings.Replace(requestText(t, addr, "read", "0.4"), "?q=%20", more, 1)
	}
	push, late := requestText(t, addr, "push", "0.4"), requestText(t, addr, "push", "0.4")
	half := len(push) / 2
	body := strings.Index(late, "\r\n\r\n") + 6
	pipelined, partial, partialBody, idleConn, incomplete := connect(t, addr), connect(t, addr), connect(t, addr), connect(t, addr), connect(t, addr)
	idleConn.send(t, read(""))
	if code, text, _ := idleConn.answer(t); code == 0 {
		t.Fatal(text)
	}
	for len(firstHeld) == 0 { // a request that was sent to the hanging server is refused; repeat it
		pipelined.send(t, read("hold")+read(""))
		select {
		case <-firstHeld:
			firstHeld <- struct{}{}
		case <-time.After(time.Second):
			t.Log(pipelined.answer(t))
			t.Log(pipelined.answer(t))
		}
	}
	partial.send(t, push[:half])
	partialBody.send(t, late[:body])
	incomplete.send(t, "GET /read/1 HTTP/1.1\r\nHost: a")

	ended := make(chan error, 1)
	hangups <- syscall.SIGHUP
	go func() { ended <- stop() }()
	waitFor(t, "draining", func() bool { return strings.Contains(log.String(), "draining") })
	fresh := connect(t, addr)
	fresh.send(t, read(""))
	partial.send(t, push[half:])
	partialBody.send(t, late[body:])
	invalid := connect(t, addr)
	invalid.send(t, "GET /nope/1 HTTP/1.1\r\nHost: a\r\n\r\n")
	if code, text, closes := invalid.answer(t); code != http.StatusBadRequest || !closes {
		t.Errorf("bad request while draining: answered %d %s, closes %v", code, text, closes)
	}
	close(hold)
	for name, c := range map[string]*clientConn{
		"connected after the signal": fresh, "in two parts": partial, "body after the signal": partialBody,
		"held before the signal": pipelined, "the second of two": pipelined,
	} {
		if code, text, _ := c.answer(t); code == 0 {
			t.Errorf("%s: no complete answer: %s", name, text)
		}
	}
	clock.set(beforeAnswer)
	idleConn.expectClose(t, "idle connection")
	if len(ended) != 0 {
		t.Error("the node ended before answers are due, though a client's request is incomplete")
	}
	clock.set(kill - 1)
	const endsWithin = time.Second // of real time: less than the node waits for the rest of a head
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(endsWithin):
		t.Fatalf("not ended %v after SIGTERM, SIGKILL comes after %v", clock.Elapsed(), kill)
	}
	incomplete.expectClose(t, "incomplete request")
	if n := strings.Count(log.String(), "reload failed"); n != 1 {
		t.Errorf("%d log lines about the SIGHUP before SIGTERM, want 1:\n%s", n, log.String())
	}
}

// Half of a request's head has been read, on a new connection and on a reused one, when the node starts to close idle
// connections: neither connection is closed, and both requests are answered completely once the rest has arrived. The
// rest is sent only after an idle connection has been closed; the timetable sets no limit on that.
func TestPartialHeadSurvivesIdleClose(t *testing.T) {
	t.Parallel()
	s := newServer(t, respondWith(ok("x"), true))
	b := startFront(t, testUpstream(t, 8), 1, s.addr)
	fresh, used, idleConn := connect(t, b.addr), connect(t, b.addr), connect(t, b.addr)
	for _, c := range []*clientConn{used, idleConn} {
		c.send(t, requestText(t, b.addr, "read", "59"))
		if code, text, _ := c.answer(t); code != http.StatusOK {
			t.Fatal(code, text)
		}
	}
	text := map[*clientConn]string{fresh: requestText(t, b.addr, "read", "59"), used: requestText(t, b.addr, "push", "59")}
	for c := range text {
		c.send(t, text[c][:30])
	}
	waitFor(t, "two partially read heads", func() bool {
		g := b.front.clients
		g.mu.Lock()
		defer g.mu.Unlock()
		begun := 0
		for c := range g.conns {
			if c.headStarted {
				begun++
			}
		}
		return begun == 2
	})
	ended := make(chan error, 1)
	go func() {
		ended <- drain(context.Background(), startTerminationClock(), lifecycle.Termination{AnswersDue: testTimeout, CloseAll: testTimeout, Kill: testTimeout},
			func() bool { return false }, b.front, b.front.clients, b.server)
	}()
	idleConn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := idleConn.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Fatalf("the idle connection: %v, want EOF", err)
	}
	for c := range text {
		c.send(t, text[c][30:])
		if code, body, closes := c.answer(t); code != http.StatusOK || !closes {
			t.Errorf("answered %d %s, closes %v; want 200 and the connection closed", code, body, closes)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
