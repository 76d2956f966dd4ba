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
	"otterstep/internal/standin/webbox"
	"otterstep/internal/tomlfile"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// limit is far above anything that a test waits for in vain.
const limit = 20 * time.Second

// rig is a front with its servers.
type rig struct {
	t     testing.TB
	front *Front
	boxes []*webbox.Box
	stop  func()
}

// open starts a front before servers that follow scripts; more is of its configuration.
func open(t testing.TB, more string, scripts ...webbox.Script) *rig {
	t.Helper()
	r := &rig{t: t}
	text := "[[web]]\nname = \"t\"\nlisten = \"127.0.0.1:0\"\n" + more
	for i, s := range scripts {
		b, err := webbox.New(s, strings.Contains(more, "# early"))
		if err != nil {
			t.Fatal(err)
		}
		r.boxes = append(r.boxes, b)
		text += fmt.Sprintf("[[web.server]]\nname = \"s%d\"\naddress = %q\n", i, b.Addr())
	}
	r.start(text)
	return r
}

func (r *rig) start(text string) {
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
	if r.front, err = New(file.Web[0], 1, core.NewClock(), slog.New(slog.DiscardHandler)); err != nil {
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
		for _, b := range r.boxes {
			b.Close()
		}
		r.stop = func() {}
	}
	r.t.Cleanup(func() { r.stop() })
}

// dial opens a client's connection.
func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.front.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(limit))
	return c
}

// got is an answer as a client sees it.
type got struct {
	code    int
	header  http.Header
	body    string
	trailer http.Header
	err     error // it did not look whole
}

// ask sends bytes and reads an answer to a method.
func (r *rig) ask(method, text string) got {
	r.t.Helper()
	c := r.dial()
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
	return read(bufio.NewReader(c), method)
}

func read(in *bufio.Reader, method string) got {
	q, _ := http.NewRequest(method, "/", nil)
	for {
		a, err := http.ReadResponse(in, q)
		if err != nil {
			return got{err: err}
		}
		if a.StatusCode/100 == 1 && a.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		text, err := io.ReadAll(a.Body)
		return got{a.StatusCode, a.Header, string(text), a.Trailer, err}
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n" }

func post(body string) string {
	return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// requests counts what all servers have seen.
func (r *rig) requests() (n int) {
	for _, b := range r.boxes {
		n += len(b.Requests())
	}
	return n
}

// view inspects the pool.
func (r *rig) view() core.View {
	r.t.Helper()
	v, err := r.front.loop.Inspect(r.t.Context())
	if err != nil {
		r.t.Fatal(err)
	}
	return v
}

// await waits for something that must come about.
func (r *rig) await(what string, is func() bool) {
	r.t.Helper()
	for until := time.Now().Add(limit); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			r.t.Fatalf("no %s", what)
		}
	}
}

// What a server answers reaches the client as it is, whatever its status and framing.
func TestAnswersArePassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		method, answer string
		code           int
		body           string
		header         map[string]string
	}{
		"ok":            {"GET", webbox.OK("hello"), 200, "hello", map[string]string{"Content-Length": "5"}},
		"chunked":       {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5;x=y\r\nhello\r\n0\r\nX-Sum: 7\r\n\r\n", 200, "hello", nil},
		"till the end":  {"GET", "HTTP/1.0 200 OK\r\nContent-Type: text/x\r\n\r\nhello", 200, "hello", map[string]string{"Content-Type": "text/x"}},
		"not found":     {"GET", "HTTP/1.1 404 No\r\nContent-Length: 2\r\nX-A: b\r\n\r\nno", 404, "no", map[string]string{"X-A": "b"}},
		"redirect":      {"GET", "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", 302, "", map[string]string{"Location": "/x"}},
		"range":         {"GET", "HTTP/1.1 206 Part\r\nContent-Range: bytes 1-2/9\r\nContent-Length: 2\r\n\r\nel", 206, "el", map[string]string{"Content-Range": "bytes 1-2/9"}},
		"no content":    {"DELETE", "HTTP/1.1 204 None\r\nX-A: b\r\n\r\n", 204, "", map[string]string{"X-A": "b"}},
		"not modified":  {"GET", "HTTP/1.1 304 Same\r\nEtag: \"x\"\r\n\r\n", 304, "", map[string]string{"Etag": "\"x\""}},
		"head":          {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 4711\r\n\r\n", 200, "", map[string]string{"Content-Length": "4711"}},
		"too many":      {"GET", "HTTP/1.1 429 Slow\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n", 429, "", map[string]string{"Retry-After": "7"}},
		"early hints":   {"GET", "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n" + webbox.OK("hello"), 200, "hello", nil},
		"no type":       {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n<html>", 200, "<html>", map[string]string{"Content-Type": ""}},
		"cookies":       {"GET", "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n", 200, "", map[string]string{"Set-Cookie": "a=1"}},
		"hop by hop":    {"GET", "HTTP/1.1 200 OK\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: x\r\nX-A: b\r\nContent-Length: 0\r\n\r\n", 200, "", map[string]string{"X-Hop": "", "Keep-Alive": "", "X-A": "b"}},
		"failed":        {"POST", "HTTP/1.1 500 No\r\nX-A: b\r\nContent-Length: 4\r\n\r\noops", 500, "oops", map[string]string{"X-A": "b"}},
		"failed, long":  {"GET", "HTTP/1.1 500 No\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100000), 500, strings.Repeat("x", 100000), nil},
		"odd status":    {"GET", "HTTP/1.1 299 Odd\r\nContent-Length: 1\r\n\r\nx", 299, "x", nil},
		"failed, again": {"GET", "HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 4\r\n\r\nbusy", 503, "busy", map[string]string{"Retry-After": "3"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := open(t, "", webbox.Respond(c.answer, !strings.HasPrefix(c.answer, "HTTP/1.0")))
			a := r.ask(c.method, c.method+" /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
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

// An answer that a server leaves unfinished, at whichever byte, never looks whole, and is
// the only one; unsafe work is sent once.
func TestCutAnswersNeverLookWhole(t *testing.T) {
	for name, whole := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		at := make(chan int, 1)
		r := open(t, "attempts = 3\n", func(_ webbox.Request, c net.Conn) bool {
			n := <-at
			_, _ = io.WriteString(c, whole[:n])
			return false
		})
		for n := range len(whole) {
			at <- n
			before := r.requests()
			a := r.ask("POST", post("b"))
			switch {
			case a.err == nil && a.code == 200:
				t.Fatalf("%s cut at %d: looks whole: %+v", name, n, a)
			case a.err == nil && a.code != 502 && a.code != 503:
				t.Errorf("%s cut at %d: %+v", name, n, a)
			case r.requests() > before+1:
				t.Fatalf("%s cut at %d: sent %d times", name, n, r.requests()-before)
			}
			if r.requests() == before { // refused: its breaker is open, so the byte is left over
				<-at
			}
		}
		r.stop()
	}
}

// What may be tried again goes to another server; what may not does not, and its server's
// answer reaches the client.
func TestFurtherAttempts(t *testing.T) {
	const fails = "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops"
	const unseen = "HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nbusy"
	for name, c := range map[string]struct {
		request, first string
		code, attempts int
	}{
		"safe":                  {get("/x"), fails, 200, 2},
		"idempotent":            {"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", fails, 200, 2},
		"unsafe":                {post("b"), fails, 500, 1},
		"unsafe, has not run":   {post("b"), unseen, 200, 2},
		"keyed":                 {strings.Replace(post("b"), "Host", "Idempotency-Key: k\r\nHost", 1), fails, 200, 2},
		"safe, broken":          {get("/x"), "", 200, 2},
		"unsafe, broken":        {post("b"), "", 502, 1},
		"safe, spoilt":          {get("/x"), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 200, 2},
		"chunked and both":      {get("/x"), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200, 2},
		"chunked, small, again": {"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", fails, 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			first := make(chan bool, 1)
			first <- true
			play := func(s webbox.Request, conn net.Conn) bool {
				select {
				case <-first:
					_, _ = io.WriteString(conn, c.first)
					return false
				default:
					_, _ = io.WriteString(conn, webbox.OK(string(s.Body)))
					return true
				}
			}
			r := open(t, "[[web.class]]\nname = \"d\"\nrepeats_dropped = \"10s\"\n", play, play)
			a := r.ask("GET", c.request)
			if a.err != nil || a.code != c.code || r.requests() != c.attempts {
				t.Errorf("%d %q, %v after %d attempts; want %d after %d", a.code, a.body, a.err, r.requests(), c.code, c.attempts)
			}
			if a.code == 200 && strings.Contains(c.request, "abc") && a.body != "abc" {
				t.Errorf("the second server got body %q", a.body)
			}
		})
	}
}
