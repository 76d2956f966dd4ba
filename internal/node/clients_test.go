package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"otterstep/internal/lifecycle"
	"otterstep/internal/membudget"
	"otterstep/internal/wire"
)

// sendRaw sends text on a new connection and reads to its end. It returns the status code of a
// complete answer, or 0 if the connection is closed without one.
func sendRaw(t *testing.T, addr, text string) (code int) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go io.WriteString(c, text) // the node may stop reading at any point
	c.SetReadDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("neither an answer nor a close")
		}
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0 // truncated by a close while this side was still sending
	}
	if _, err := in.ReadByte(); err == nil {
		t.Errorf("more data after answer %d", resp.StatusCode)
	} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
		t.Errorf("the connection stays open after answer %d", resp.StatusCode)
	}
	return resp.StatusCode
}

// requestTextWith serializes a request with additional header lines.
func requestTextWith(t *testing.T, class string, lines ...string) string {
	t.Helper()
	var b bytes.Buffer
	if err := clientRequest(t, "api", class, "2.5").Write(&b); err != nil {
		t.Fatal(err)
	}
	head, body, _ := strings.Cut(b.String(), "\r\n\r\n")
	return head + "\r\n" + strings.Join(append(lines, ""), "\r\n") + "\r\n" + body
}

// Guards against clients that occupy connections with invalid or incomplete requests: each gets
// an error or a close in time, whatever it sends next, and nothing is forwarded to a server. Two
// lengths could smuggle a second request in the first one's body; in a trial 72 such requests
// were forwarded.
func TestInvalidConnectionsAreRejected(t *testing.T) {
	s := newServer(t, respondWith(ok("x"), true))
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	hidden := requestTextWith(t, "read")
	for name, c := range map[string]struct {
		text  string
		codes []int
	}{
		"silence":                      {"", []int{0, 408}},
		"half a head":                  {"GET /read/1 HTTP/1.1\r\nHost: ap", []int{0, 408}},
		"half a body":                  {strings.TrimSuffix(requestTextWith(t, "book"), "load"), []int{0, 408}},
		"random bytes":                 {"\x00\x01\xff\xfe\r\n\r\n\r\n", []int{0, 400}},
		"head without end":             {strings.TrimSuffix(requestTextWith(t, "read"), "\r\n") + strings.Repeat("X-Pad: pppppppppp\r\n", 20000), []int{0, 431}},
		"line with no colon":           {requestTextWith(t, "read", "no colon"), []int{400}},
		"both lengths":                 {strings.Replace(requestTextWith(t, "book", "Transfer-Encoding: chunked"), "payload", "0\r\n\r\n"+hidden, 1), []int{400}},
		"negative length":              {strings.Replace(requestTextWith(t, "book"), "Length: 7", "Length: -7", 1), []int{400}},
		"length not a number":          {strings.Replace(requestTextWith(t, "book"), "Length: 7", "Length: ten", 1), []int{400}},
		"two lengths":                  {requestTextWith(t, "book", "Content-Length: 9"), []int{400}},
		"huge length":                  {strings.Replace(requestTextWith(t, "book"), "Length: 7", "Length: 99999999999999", 1), []int{0, 413}},
		"70 MB":                        {strings.Replace(requestTextWith(t, "book"), "Length: 7", "Length: 73400320", 1) + strings.Repeat("b", 1<<20), []int{0, 413}},
		"hundreds of requests at once": {strings.Repeat("GET /nope/1 HTTP/1.1\r\nHost: api\r\n\r\n", 500), []int{400}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code := sendRaw(t, addr, c.text)
			for _, want := range c.codes {
				if code == want {
					return
				}
			}
			t.Errorf("answered %d, want one of %v", code, c.codes)
		})
	}
	t.Cleanup(func() {
		if n := s.requests.Load(); n != 0 {
			t.Errorf("%d requests were forwarded, want 0", n)
		}
	})
}

// Guards against mixed-up answers: a request that reuses the id of an open or recently answered
// one must not get that request's answer, run, or disturb it.
func TestDuplicateIDIsRejected(t *testing.T) {
	came, release := make(chan struct{}, 1), make(chan struct{})
	s := newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		came <- struct{}{}
		<-release
		io.WriteString(c, ok("first"))
		return true
	})
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	first, second := clientRequest(t, addr, "book", "2.9"), clientRequest(t, addr, "read", "2.9")
	second.Header.Set("X-Correlation-Id", first.Header.Get("X-Correlation-Id"))
	done := make(chan string, 1)
	go func() {
		resp, err := http.DefaultClient.Do(first)
		if err != nil {
			done <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		done <- fmt.Sprint(resp.StatusCode, " ", string(text))
	}()
	<-came
	if code, _, _ := do(t, second); code != http.StatusConflict {
		t.Errorf("answered %d while the first is open, want 409", code)
	}
	close(release)
	if got := <-done; got != "200 first" {
		t.Errorf("the first is answered %s, want 200 first", got)
	}
	if code, _, _ := do(t, second.Clone(t.Context())); code != http.StatusConflict {
		t.Errorf("answered %d right after the first, want 409", code)
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d requests were forwarded, want 1", n)
	}
}

// Guards against denial of service by silent connections: as they never became idle and so were
// not evicted, hundreds of them filled the limit and stalled the listener for seconds.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	s := newServer(t, respondWith(ok("x"), true))
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	var silent []net.Conn
	for range 3 * maxClients {
		c, _ := dialClient(t, addr)
		silent = append(silent, c)
	}
	_, ask := dialClient(t, addr)
	if code, err := ask(); code != http.StatusOK || err != nil {
		t.Errorf("answered %d, %v after silent connections; want 200", code, err)
	}
	for _, c := range silent {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Fatal("a silent connection receives data")
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Fatal("a silent connection stays open")
		}
	}
}

// Guards against truncated errors while few descriptors are left: the error is flushed before
// the connection is aborted and must be complete. In a trial, a regular client whose id was in
// use got a chunked answer without its last chunk.
func TestErrorIsCompleteNearDescriptorLimit(t *testing.T) {
	s := newServer(t, respondWith(ok("x"), true))
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	for range maxClients*3/4 + 1 {
		_, ask := dialClient(t, addr)
		if code, err := ask(); code != http.StatusOK {
			t.Fatalf("answered %d, %v; want 200", code, err)
		}
	}
	if code := sendRaw(t, addr, "GET /nope/1 HTTP/1.1\r\nHost: api\r\n\r\n"); code != http.StatusBadRequest {
		t.Errorf("answered %d, want 400", code)
	}
}

// Guards against requests lost to eviction: a recently used connection is not evicted, and a
// request that has arrived by the time of the eviction is read rather than cut off.
func TestDataUndoesEviction(t *testing.T) {
	g := newClients(1, newClientMemory(0, 1))
	add := func() (*client, net.Conn) {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { ours.Close(); theirs.Close() })
		c := g.newClient(ours)
		g.connState(c, http.StateNew)
		g.connState(c, http.StateIdle)
		return c, theirs
	}
	first, peer := add()
	second, _ := add()
	if g.evicted != 0 {
		t.Error("a recently used connection was evicted")
	}
	first.since = time.Now().Add(-2 * evictIdleAfter)
	g.connState(second, http.StateActive)
	if !first.evicted || second.evicted {
		t.Fatal("the longest idle connection was not evicted")
	}
	if first.SetReadDeadline(time.Time{}); !first.evicted { // as net/http does
		t.Error("a new read deadline undid the eviction")
	}
	go io.WriteString(peer, "GET")
	waitFor(t, "data that undoes the eviction", func() bool {
		b := make([]byte, 3)
		n, _ := first.readRaw(b)
		return string(b[:n]) == "GET"
	})
	if first.evicted || g.count() != 2 {
		t.Error("the eviction was not undone by data")
	}
	g.connState(first, http.StateIdle)
	first.since = time.Now().Add(-2 * evictIdleAfter)
	g.connState(second, http.StateActive)
	if _, err := first.Read(make([]byte, 1)); err == nil || !first.evicted {
		t.Errorf("read: %v, want the wait of an evicted connection to be interrupted", err)
	}
	g.connState(first, http.StateClosed)
	if g.count() != 1 || g.evicted != 0 {
		t.Errorf("%d connections, %d evicted; want 1, 0", g.count(), g.evicted)
	}
}

// Guards against requests lost at the end of a drain: idle connections are evicted, but one on
// which a request has arrived by then stays open to answer it.
func TestDataUndoesEvictionAtDrain(t *testing.T) {
	g := newClients(8, newClientMemory(0, 8))
	var conns [2]*client
	var peers [2]net.Conn
	for i := range conns {
		ours, theirs := net.Pipe()
		defer ours.Close()
		defer theirs.Close()
		conns[i], peers[i] = g.newClient(ours), theirs
		g.connState(conns[i], http.StateNew)
		g.connState(conns[i], http.StateIdle)
	}
	g.evictAllIdle()
	go io.WriteString(peers[0], "GET")
	waitFor(t, "data that undoes the eviction", func() bool {
		n, _ := conns[0].readRaw(make([]byte, 3))
		return n == 3
	})
	if _, err := conns[1].Read(make([]byte, 1)); err == nil || g.evicted != 1 {
		t.Errorf("read: %v, %d evicted; want the idle connection to be evicted", err, g.evicted)
	}
}

// Guards against a lost answer when an eviction races with a request: the eviction is undone
// both while the head arrives and between the end of the head and net/http's report of the
// active state. net/http takes an interrupted read for a disconnect, so the request would get
// no answer.
func TestEvictionRacingWithRequest(t *testing.T) {
	g := newClients(8, newClientMemory(0, 8))
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	c := g.newClient(near)
	g.connState(c, http.StateNew)
	go io.WriteString(far, "GET")
	if n, err := c.readRaw(make([]byte, 3)); n != 3 {
		t.Fatal(n, err)
	}
	if g.evictAllIdle(); g.evicted != 0 {
		t.Error("a new connection was evicted while its first head was arriving")
	}
	g.connState(c, http.StateActive)
	g.connState(c, http.StateIdle)
	go io.WriteString(far, "GET")
	if n, err := c.readRaw(make([]byte, 3)); n != 3 {
		t.Fatal(n, err)
	}
	g.evictAllIdle()
	if g.evicted != 0 {
		t.Error("a connection was evicted while its next head was arriving")
	}
	g.connState(c, http.StateIdle)
	g.evictAllIdle() // races with the end of the head
	if g.evicted != 1 {
		t.Fatal("an idle connection was not evicted")
	}
	g.connState(c, http.StateActive)
	if g.evicted != 0 || c.evicted {
		t.Error("the eviction is not undone while a request is open")
	}
	go func() {
		time.Sleep(20 * time.Millisecond)
		io.WriteString(far, "x")
	}()
	if n, err := c.Read(make([]byte, 1)); n != 1 {
		t.Errorf("net/http's disconnect detection was interrupted: %v", err)
	}
}

// Guards the memory limit: the total of all bodies is limited by their declared lengths, which
// are reserved before any of a body is read.
func TestBodyBudgetIsReservedBeforeReading(t *testing.T) {
	memory := newClientMemory(0, 8)
	memory.bodies = membudget.New(10<<10).Account("bodies", 1)
	f := newFront(idle(t), nil, wire.Site{Classes: []string{"book"}}, newClients(8, memory), memory, new(lifecycle.Lifecycle), false)
	f.site.Settings.Classes = siteOf(t, settings).Settings.Classes[2:]
	ask := func() (code int, read int64) {
		body := &countingReader{}
		r := clientRequest(t, "api", "book", "2.5")
		r.RequestURI, r.Body, r.ContentLength = "/book/1", body, 6<<10
		r.URL.Path, r.URL.RawPath = "/book/1", ""
		w := httptest.NewRecorder()
		f.ServeHTTP(w, r)
		return w.Code, body.n
	}
	if !memory.bodies.Reserve(6 << 10) {
		t.Fatal("the budget has no room for the first body")
	}
	if code, read := ask(); code != http.StatusServiceUnavailable || read != 0 {
		t.Errorf("answered %d after %d bytes, want 503 with the body unread", code, read)
	}
	memory.bodies.Release(6 << 10)
	if code, read := ask(); code != http.StatusRequestTimeout || read == 0 {
		t.Errorf("answered %d after %d bytes, want 408 after reading the truncated body", code, read)
	}
	if !memory.bodies.Reserve(memory.bodies.Limit()) {
		t.Error("bytes are still reserved")
	}
}

// countingReader returns one byte and then io.EOF.
type countingReader struct{ n int64 }

func (c *countingReader) Read(b []byte) (int, error) {
	if c.n > 0 {
		return 0, io.EOF
	}
	c.n = 1
	return 1, nil
}

func (*countingReader) Close() error { return nil }
