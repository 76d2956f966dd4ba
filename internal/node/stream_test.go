package node

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/operator"
	"otterstep/policy"
)

// newDigestServer starts a server that answers each request with the length and hash of its body
// and with its method. The answer to HEAD has the length given in the query.
func newDigestServer(t *testing.T) *server {
	return newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		all, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		text := digest(all) + " " + r.Method
		if r.Method == http.MethodHead {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n", r.URL.Query().Get("length"))
			return true
		}
		io.WriteString(c, ok(text))
		return true
	})
}

func digest(b []byte) string { return fmt.Sprintf("%d %x", len(b), sha256.Sum256(b)) }

// startSized starts a node with a memory limit of mb megabytes.
func startSized(t *testing.T, mb int, s *server) string {
	t.Helper()
	addr, _ := startNodeConfigured(t, newRegistry(t, listedTarget(s, "s1")), operator.File{}, Reloads{}, quiet(), func(c *Config) {
		c.MemoryMB, c.Sockets = mb, 512
	})
	return addr
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.NewChaCha8([32]byte{byte(n)}).Read(b) // never fails
	return b
}

// Request bodies of all sizes and framings reach the server unchanged, whether they are buffered
// or streamed.
func TestRequestBodiesAreForwardedUnchanged(t *testing.T) {
	t.Parallel()
	addr := startSized(t, 16, newDigestServer(t)) // 4 MB for bodies
	for _, size := range []int{0, 1, smallBody, smallBody + 1, 64 << 10, 64<<10 + 1, 900 << 10, 3 << 20, 9 << 20} {
		for _, form := range []string{"length", "chunked", "expect"} {
			body := randomBytes(size)
			r := clientRequest(t, addr, "push", "2.9")
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(size)
			switch {
			case form == "chunked":
				r.ContentLength = -1
				r.Trailer = http.Header{"X-Sum": {"1"}}
			case form == "expect":
				r.Header.Set("Expect", "100-continue")
			case size == 0:
				r.Body = http.NoBody
			}
			if code, _, got := do(t, r); code != http.StatusOK || got != digest(body)+" POST" {
				t.Errorf("%d bytes, %s: %d, %.60s", size, form, code, got)
			}
		}
	}
}

// Guards the memory limit: forty concurrent bodies of 4 MB with 4 MB of memory for bodies are
// each either forwarded completely or refused.
func TestManyLargeBodiesConcurrently(t *testing.T) {
	addr := startSized(t, 16, newDigestServer(t))
	body := randomBytes(4 << 20)
	want := digest(body) + " POST"
	var all sync.WaitGroup
	var whole atomic.Int64
	for range 40 {
		all.Go(func() {
			r := clientRequest(t, addr, "push", "2.9")
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), -1
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			text, _ := io.ReadAll(resp.Body)
			switch {
			case resp.StatusCode == http.StatusOK && string(text) == want:
				whole.Add(1)
			case resp.StatusCode != http.StatusServiceUnavailable: // acceptable: the single server's concurrency limit was reached
				t.Errorf("%s %.40q", resp.Status, text)
			}
		})
	}
	all.Wait()
	if whole.Load() == 0 {
		t.Error("no body was forwarded completely")
	}
}

// rawAnswer sends bytes on a new connection and returns the answer.
func rawAnswer(t *testing.T, addr string, pieces ...string) (*http.Response, []byte, error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			break // the node may have answered and closed already
		}
	}
	method, _, _ := strings.Cut(pieces[0], " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	text, err := io.ReadAll(resp.Body)
	return resp, text, err
}

func headOf(method, class, id, more string) string {
	s := method + " /" + class + "/k HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + class +
		"\r\nX-Account: acme\r\nX-Time-Left: 2.9\r\n" + more
	if class == "push" {
		s += "Idempotency-Key: k\r\n"
	}
	return s + "\r\n"
}

func TestRequestFramings(t *testing.T) {
	t.Parallel()
	s := newDigestServer(t)
	addr := startSized(t, 16, s)
	big := strings.Repeat("x", 70<<10)
	chunk := fmt.Sprintf("%x;ext=\"a;b\"\r\n%s\r\n", len(big), big)
	for name, c := range map[string]struct {
		text string
		want string
		code int
	}{
		"chunks with extensions and trailers": {headOf("POST", "push", "f1", "Transfer-Encoding: chunked\r\nTrailer: A\r\n") + chunk + chunk + "0\r\nA: b\r\n\r\n", digest([]byte(big+big)) + " POST", 200},
		"HTTP/1.0":                            {strings.Replace(headOf("POST", "push", "f2", "Content-Length: 3\r\n"), "HTTP/1.1", "HTTP/1.0", 1) + "abc", digest([]byte("abc")) + " POST", 200},
		"HEAD of 1048576":                     {strings.Replace(headOf("HEAD", "read", "f3", ""), "/k", "/k?length=1048576", 1), "", 200},
		"HEAD of 100":                         {strings.Replace(headOf("HEAD", "read", "fb", ""), "/k", "/k?length=100", 1), "", 200},
		"two lengths":                         {headOf("POST", "push", "f4", "Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd", "", 400},
		"length beside chunked":               {headOf("POST", "push", "f5", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", "", 400},
		"chunked in HTTP/1.0":                 {strings.Replace(headOf("POST", "push", "f6", "Transfer-Encoding: chunked\r\n"), "HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n", "", 400},
		"another coding":                      {headOf("POST", "push", "f7", "Transfer-Encoding: gzip\r\n") + "x", "", 501},
		"body of a GET":                       {headOf("GET", "read", "f8", "Content-Length: 1\r\n") + "x", "", 400},
		"over the size limit":                 {headOf("POST", "push", "f9", "Content-Length: 99999999\r\n"), "", 413},
		"chunk without a size":                {headOf("POST", "push", "fa", "Transfer-Encoding: chunked\r\n") + "zz\r\n", "", 408},
	} {
		before := s.requests.Load()
		resp, text, err := rawAnswer(t, addr, c.text)
		if err != nil || resp.StatusCode != c.code || c.code == 200 && string(text) != c.want {
			t.Errorf("%s: %v, %v, %.80q", name, resp, err, text)
			continue
		}
		if length, ok := strings.CutPrefix(name, "HEAD of "); ok && fmt.Sprint(resp.ContentLength) != length {
			t.Errorf("%s: length %d", name, resp.ContentLength)
		}
		if c.code != 200 && s.requests.Load() != before {
			t.Errorf("%s: forwarded to the server", name)
		}
	}
}

// A truncated request body is never forwarded as complete.
func TestTruncatedRequestBodies(t *testing.T) {
	t.Parallel()
	s := newDigestServer(t)
	addr := startSized(t, 16, s)
	for _, size := range []int{10, 100 << 10, 6 << 20} {
		for _, form := range []string{fmt.Sprintf("Content-Length: %d\r\n", size+5), "Transfer-Encoding: chunked\r\n"} {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			text := strings.Repeat("x", size)
			if strings.HasPrefix(form, "T") {
				text = fmt.Sprintf("%x\r\n%s\r\n5\r\nab", size, text)
			}
			io.WriteString(c, headOf("POST", "push", fmt.Sprint("b", size, form[:1]), form)+text)
			c.(*net.TCPConn).CloseWrite()
			c.SetReadDeadline(time.Now().Add(testTimeout))
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == http.StatusOK {
				t.Errorf("%d bytes, %s: answered %s", size, form, resp.Status)
			}
			c.Close()
		}
	}
	if n := s.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the server as complete", n)
	}
}

// A streamed body allows only one attempt: if its server fails before the last byte, the request
// has not run and is refused rather than retried.
func TestConsumedBodyIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			io.ReadFull(c, make([]byte, 1<<20))
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	addr := startSized(t, 16, &server{addr: l.Addr().String()})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	// The client sends the whole body before it reads the answer, as many clients do.
	io.WriteString(c, headOf("POST", "book", "gone", "Content-Length: 20971520\r\n"))
	if n, err := c.Write(randomBytes(20 << 20)); err != nil {
		t.Errorf("cut off after %d bytes: %v", n, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("answered %v, %v", resp, err)
	}
}

// Small and large answers in all framings reach the client unchanged.
func TestLargeAnswersAreForwardedUnchanged(t *testing.T) {
	t.Parallel()
	for name, write := range map[string]func(c net.Conn, body []byte) bool{
		"length": func(c net.Conn, body []byte) bool {
			fmt.Fprintf(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
			c.Write(body)
			return true
		},
		"chunked": func(c net.Conn, body []byte) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n")
			for len(body) > 0 {
				n := min(len(body), 9000)
				fmt.Fprintf(c, "%x;a=b\r\n%s\r\n", n, body[:n])
				body = body[n:]
			}
			io.WriteString(c, "0\r\nA: b\r\n\r\n")
			return true
		},
		"chunks of a byte": func(c net.Conn, body []byte) bool {
			text := []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for i, b := range body {
				if text = append(text, '1', '\r', '\n', b, '\r', '\n'); i%4000 == 0 {
					c.Write(text)
					text = text[:0]
				}
			}
			c.Write(append(text, "0\r\n\r\n"...))
			return true
		},
		"ended by close": func(c net.Conn, body []byte) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
			c.Write(body)
			return false
		},
		"HTTP/1.0": func(c net.Conn, body []byte) bool {
			io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\n")
			c.Write(body)
			return false
		},
	} {
		var body atomic.Pointer[[]byte]
		s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool { return write(c, *body.Load()) })
		addr := startSized(t, 16, s)
		for _, size := range []int{100, 64 << 10, 64<<10 + 1, 5 << 20} {
			want := randomBytes(size)
			body.Store(&want)
			for range 2 { // the second request reuses connections where the server keeps them
				code, _, got := do(t, clientRequest(t, addr, "read", "2.9"))
				if code != http.StatusOK || got != string(want) {
					t.Errorf("%d bytes, %s: %d, %d bytes", size, name, code, len(got))
				}
				time.Sleep(2 * settleTime)
			}
		}
		if name == "chunked" && s.conns.Load() != 1 {
			t.Errorf("%s: %d connections for eight requests", name, s.conns.Load())
		}
	}
}

// The first part of a large answer reaches the client before the server has sent the rest, and so
// does the part before a pause in an answer of unknown length. The client can detect truncation.
// An answer without a length on a connection not announced to close fails the attempt.
func TestPausingAndTruncatedAnswers(t *testing.T) {
	t.Parallel()
	goOn := make(chan bool)
	part := strings.Repeat("x", 10<<10)
	for name, c := range map[string]struct{ head, first string }{
		"length":  {"HTTP/1.1 200 OK\r\nContent-Length: 102400\r\n\r\n", part},
		"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(part), part)},
	} {
		s := newServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
			io.WriteString(conn, c.head+c.first)
			<-goOn
			return false // truncates the answer
		})
		addr := startSized(t, 16, s)
		resp, err := http.DefaultClient.Do(clientRequest(t, addr, "book", "2.9"))
		if err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(part))
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != part {
			t.Errorf("%s: the first part: %v", name, err)
		}
		goOn <- true
		if rest, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%s: then %d bytes, %v; want io.ErrUnexpectedEOF", name, len(rest), err)
		}
		resp.Body.Close()
	}
	u := testUpstream(t, 8)
	s := newServer(t, respondWith("HTTP/1.1 200 OK\r\n\r\nabc", false))
	if p := u.roundTrip(t.Context(), at(s.addr), get(), time.Now().Add(testTimeout), permit); p.status != policy.Reset {
		t.Errorf("an answer without a length or an announced close: status %d", p.status)
	}
}
