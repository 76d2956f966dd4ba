package web

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"otterstep/internal/core"
	"otterstep/internal/standin/logbuffer"
	"otterstep/internal/standin/webbox"
	"otterstep/internal/tomlfile"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds waits that fail a test; it is far longer than any expected wait.
const testTimeout = 20 * time.Second

// fixture is a running front with its servers.
type fixture struct {
	t       testing.TB
	front   *Front
	servers []*webbox.Box
	log     logbuffer.Buffer
	memory  Memory
	stop    func()
}

// newFixture starts a front with one server per script and extraConfig in its [[web]] table.
// Servers answer before the end of a request's body if extraConfig contains "# early".
func newFixture(t testing.TB, extraConfig string, scripts ...webbox.Script) *fixture {
	t.Helper()
	r := &fixture{t: t}
	r.startWith(extraConfig, scripts...)
	return r
}

// startWith starts the servers and the front of newFixture.
func (r *fixture) startWith(extraConfig string, scripts ...webbox.Script) {
	t := r.t
	t.Helper()
	text := "[[web]]\nname = \"t\"\nlisten = \"127.0.0.1:0\"\n" + extraConfig
	for i, s := range scripts {
		b, err := webbox.New(s, strings.Contains(extraConfig, "# early"))
		if err != nil {
			t.Fatal(err)
		}
		r.servers = append(r.servers, b)
		text += fmt.Sprintf("[[web.server]]\nname = \"s%d\"\naddress = %q\n", i, b.Addr())
	}
	r.start(text)
}

func (r *fixture) start(text string) {
	r.t.Helper()
	var file struct {
		Web []Config `toml:"web"`
	}
	f := tomlfile.Parse("web.toml", []byte(text), &file)
	CheckAll(f, file.Web)
	if err := f.Err(); err != nil {
		r.t.Fatal(err)
	}
	var err error
	if r.front, err = New(file.Web[0], r.memory, 1, core.NewClock(), slog.New(slog.NewTextHandler(&r.log, nil))); err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.front.Run(ctx) }()
	r.stop = func() {
		cancel()
		if err := <-ended; err != nil {
			r.t.Error(err)
		}
		for _, b := range r.servers {
			b.Close()
		}
		r.stop = func() {}
	}
	r.t.Cleanup(func() { r.stop() })
}

// dial opens a client connection that is closed at the end of the test.
func (r *fixture) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.front.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// response is an answer as a client receives it.
type response struct {
	code    int
	header  http.Header
	body    string
	trailer http.Header
	err     error // the answer is missing or truncated
}

// roundTrip sends text on a new connection and reads the answer to a request with method.
func (r *fixture) roundTrip(method, text string) response {
	r.t.Helper()
	c := r.dial()
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
	return readResponse(bufio.NewReader(c), method)
}

func readResponse(in *bufio.Reader, method string) response {
	q, _ := http.NewRequest(method, "/", nil)
	for {
		a, err := http.ReadResponse(in, q)
		if err != nil {
			return response{err: err}
		}
		if a.StatusCode/100 == 1 && a.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		text, err := io.ReadAll(a.Body)
		return response{a.StatusCode, a.Header, string(text), a.Trailer, err}
	}
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n" }

func postRequest(body string) string {
	return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// requestCount returns the number of requests that all servers have received.
func (r *fixture) requestCount() (n int) {
	for _, b := range r.servers {
		n += len(b.Requests())
	}
	return n
}

// inspect returns the state of the core loop.
func (r *fixture) inspect() core.View {
	r.t.Helper()
	v, err := r.front.loop.Inspect(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	return v
}

// waitFor polls a condition and fails the test if it does not hold within testTimeout.
func (r *fixture) waitFor(what string, condition func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// A server's answer reaches the client unchanged, whatever its status and framing.
func TestAnswersAreForwardedUnchanged(t *testing.T) {
	for name, c := range map[string]struct {
		method, answer string
		code           int
		body           string
		header         map[string]string
	}{
		"ok":            {"GET", webbox.OK("hello"), 200, "hello", map[string]string{"Content-Length": "5"}},
		"chunked":       {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5;x=y\r\nhello\r\n0\r\nX-Sum: 7\r\n\r\n", 200, "hello", nil},
		"until close":   {"GET", "HTTP/1.0 200 OK\r\nContent-Type: text/x\r\n\r\nhello", 200, "hello", map[string]string{"Content-Type": "text/x"}},
		"not found":     {"GET", "HTTP/1.1 404 No\r\nContent-Length: 2\r\nX-A: b\r\n\r\nno", 404, "no", map[string]string{"X-A": "b"}},
		"redirect":      {"GET", "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", 302, "", map[string]string{"Location": "/x"}},
		"range":         {"GET", "HTTP/1.1 206 Part\r\nContent-Range: bytes 1-2/9\r\nContent-Length: 2\r\n\r\nel", 206, "el", map[string]string{"Content-Range": "bytes 1-2/9"}},
		"no content":    {"DELETE", "HTTP/1.1 204 None\r\nX-A: b\r\n\r\n", 204, "", map[string]string{"X-A": "b"}},
		"not modified":  {"GET", "HTTP/1.1 304 Same\r\nEtag: \"x\"\r\n\r\n", 304, "", map[string]string{"Etag": "\"x\""}},
		"head":          {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4711\r\n\r\n", 200, "", map[string]string{"Content-Length": "4711"}},
		"too many":      {"GET", "HTTP/1.1 429 Slow\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n", 429, "", map[string]string{"Retry-After": "7"}},
		"early hints":   {"GET", "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n" + webbox.OK("hello"), 200, "hello", nil},
		"no media type": {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n<html>", 200, "<html>", map[string]string{"Content-Type": ""}},
		"cookies":       {"GET", "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n", 200, "", map[string]string{"Set-Cookie": "a=1"}},
		"hop-by-hop":    {"GET", "HTTP/1.1 200 OK\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: x\r\nX-A: b\r\nContent-Length: 0\r\n\r\n", 200, "", map[string]string{"X-Hop": "", "Keep-Alive": "", "X-A": "b"}},
		"failed":        {"POST", "HTTP/1.1 500 No\r\nX-A: b\r\nContent-Length: 4\r\n\r\noops", 500, "oops", map[string]string{"X-A": "b"}},
		"failed, long":  {"GET", "HTTP/1.1 500 No\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000), 500, strings.Repeat("x", 100000), nil},
		"odd status":    {"GET", "HTTP/1.1 299 Odd\r\nContent-Length: 1\r\n\r\nx", 299, "x", nil},
		"failed, busy":  {"GET", "HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 4\r\n\r\nbusy", 503, "busy", map[string]string{"Retry-After": "3"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, "", webbox.Respond(c.answer, !strings.HasPrefix(c.answer, "HTTP/1.0")))
			a := r.roundTrip(c.method, c.method+" /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
			if a.err != nil || a.code != c.code || a.body != c.body {
				t.Fatalf("%d %.60q, %v; want %d %.60q", a.code, a.body, a.err, c.code, c.body)
			}
			for k, v := range c.header {
				if a.header.Get(k) != v {
					t.Errorf("%s: %q, want %q", k, a.header.Get(k), v)
				}
			}
			if name == "chunked" && a.trailer.Get("X-Sum") != "7" {
				t.Errorf("trailer %v", a.trailer)
			}
		})
	}
}

// An answer that the server truncates, at any byte, must never look complete to the client,
// and the unsafe request must not be sent a second time.
func TestTruncatedAnswersNeverLookComplete(t *testing.T) {
	for name, complete := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		at := make(chan int, 1)
		r := newFixture(t, "attempts = 3\n", func(_ webbox.Request, c net.Conn) bool {
			n := <-at
			_, _ = io.WriteString(c, complete[:n])
			return false
		})
		for n := range len(complete) {
			at <- n
			before := r.requestCount()
			a := r.roundTrip("POST", postRequest("b"))
			switch {
			case a.err == nil && a.code == 200:
				t.Fatalf("%s truncated at %d: looks complete: %+v", name, n, a)
			case a.err == nil && a.code != 502 && a.code != 503:
				t.Errorf("%s truncated at %d: %+v", name, n, a)
			case r.requestCount() > before+1:
				t.Fatalf("%s truncated at %d: sent %d times", name, n, r.requestCount()-before)
			}
			if r.requestCount() == before { // refused because the breaker is open: take back the unused offset
				<-at
			}
		}
		r.stop()
	}
}

// Requests that may be retried go to another server. Others are sent once, and the server's
// answer reaches the client.
func TestRetries(t *testing.T) {
	const failed = "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops"
	const notRun = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nbusy"
	for name, c := range map[string]struct {
		request, first string
		code, attempts int
	}{
		"safe":                  {getRequest("/x"), failed, 200, 2},
		"idempotent":            {"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", failed, 200, 2},
		"unsafe":                {postRequest("b"), failed, 500, 1},
		"unsafe, has not run":   {postRequest("b"), notRun, 200, 2},
		"keyed":                 {strings.Replace(postRequest("b"), "Host", "Idempotency-Key: k\r\nHost", 1), failed, 200, 2},
		"safe, broken":          {getRequest("/x"), "", 200, 2},
		"unsafe, broken":        {postRequest("b"), "", 502, 1},
		"safe, malformed":       {getRequest("/x"), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 200, 2},
		"chunked with length":   {getRequest("/x"), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, 2},
		"chunked, small, retry": {"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", failed, 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			first := make(chan bool, 1)
			first <- true
			script := func(s webbox.Request, conn net.Conn) bool {
				select {
				case <-first:
					_, _ = io.WriteString(conn, c.first)
					return false
				default:
					_, _ = io.WriteString(conn, webbox.OK(string(s.Body)))
					return true
				}
			}
			r := newFixture(t, "[[web.class]]\nname = \"d\"\nrepeats_dropped = \"10s\"\n", script, script)
			a := r.roundTrip("GET", c.request)
			if a.err != nil || a.code != c.code || r.requestCount() != c.attempts {
				t.Errorf("%d %q, %v after %d attempts; want %d after %d", a.code, a.body, a.err, r.requestCount(), c.code, c.attempts)
			}
			if a.code == 200 && strings.Contains(c.request, "abc") && a.body != "abc" {
				t.Errorf("the second server received body %q", a.body)
			}
		})
	}
}
