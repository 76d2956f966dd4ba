package operatorapi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recordingNode is a node that records its calls.
type recordingNode struct {
	mu       sync.Mutex
	recorded []string
	err      error
}

func (s *recordingNode) record(format string, args ...any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded = append(s.recorded, fmt.Sprintf(format, args...))
	return s.err
}

func (s *recordingNode) Health() error { return s.record("health") }
func (s *recordingNode) Cordon(_ context.Context, id string, out bool) error {
	return s.record("%q out=%v", id, out)
}
func (s *recordingNode) Quiesce(context.Context) error { return s.record("quiesce") }
func (s *recordingNode) Resume(context.Context) error  { return s.record("resume") }

// start runs a server until the end of the test.
func start(t *testing.T, n Node) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- New(l, n, slog.New(slog.DiscardHandler)).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

// send sends raw bytes and returns the answer; status is 0 if there was none.
func send(t *testing.T, addr, text string) (status int, header http.Header, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, ""
	}
	defer resp.Body.Close()
	if !resp.Close {
		t.Errorf("%.60q: the connection stays open", text)
	}
	all, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, resp.Header, string(all)
}

func TestRequests(t *testing.T) {
	call := func(method, path string) string {
		return method + " " + path + " HTTP/1.1\r\nHost: door\r\n\r\n"
	}
	for _, c := range []struct {
		text   string
		err    error
		status int
		asked  string
		says   string
	}{
		{call("GET", "/admin/health"), nil, 200, "health", "ok"},
		{call("GET", "/admin/health"), errors.New("no list"), 503, "health", "no list"},
		{call("POST", "/admin/cordon/s-1"), nil, 200, `"s-1" out=true`, "ok"},
		{call("POST", "/admin/uncordon/s-1"), nil, 200, `"s-1" out=false`, "ok"},
		{call("POST", "/admin/cordon/a%2Fb%20c"), nil, 200, `"a/b c" out=true`, "ok"},
		{call("POST", "/admin/cordon/x"), fmt.Errorf("%w: server x", ErrUnknown), 404, `"x" out=true`, "server x"},
		{call("POST", "/admin/cordon/x"), fmt.Errorf("%w: full", ErrRefused), 409, `"x" out=true`, "full"},
		{call("POST", "/admin/quiesce"), nil, 200, "quiesce", "ok"},
		{call("POST", "/admin/resume"), nil, 200, "resume", "ok"},
		{"POST /admin/resume HTTP/1.1\r\nHost: d\r\nContent-Length: 2\r\n\r\n{}", nil, 200, "resume", "ok"},
		{call("GET", "/admin/quiesce"), nil, 405, "", "accepts only POST"},
		{call("POST", "/admin/health"), nil, 405, "", "accepts only GET"},
		{call("POST", "/admin/cordon/"), nil, 404, "", "no such endpoint"},
		{call("POST", "/admin/cordon/a/b"), nil, 404, "", "no such endpoint"},
		{call("GET", "/admin"), nil, 404, "", "no such endpoint"},
		{call("POST", "/admin/cordon/%zz"), nil, 400, "", "HTTP/1.1"},
		{"nonsense\r\n\r\n", nil, 400, "", "no complete HTTP/1.1 request"},
		{"POST /admin/resume HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, 400, "", "request bodies are not accepted"},
		{"POST /admin/resume HTTP/1.1\r\nHost: d\r\nContent-Length: 99999\r\n\r\n", nil, 400, "", "request bodies are not accepted"},
		{"GET /admin/health HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxHeadBytes) + "\r\n\r\n", nil, 400, "", "no complete HTTP/1.1 request"},
	} {
		n := &recordingNode{err: c.err}
		addr := start(t, n)
		status, header, body := send(t, addr, c.text)
		if asked := strings.Join(n.recorded, ", "); status != c.status || asked != c.asked || !strings.Contains(body, c.says) {
			t.Errorf("%.60q: %d %q, node called with %q; want %d %q, %q", c.text, status, body, asked, c.status, c.says, c.asked)
		}
		if status == 405 && header.Get("Allow") == "" {
			t.Errorf("%.60q: header %v", c.text, header)
		}
	}
}

// 200 connections without a complete request do not keep operators out or delay their requests, and occupy no more
// than the server's own descriptors.
func TestIncompleteRequestsAreDropped(t *testing.T) {
	n := &recordingNode{}
	addr := start(t, n)
	for i := range 200 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /admin/quiesce HTTP/1.1\r\nHo")
		}
	}
	for i := range 20 {
		began := time.Now()
		if status, _, _ := send(t, addr, "GET /admin/health HTTP/1.1\r\nHost: d\r\n\r\n"); status != 200 {
			t.Errorf("request %d: status %d", i, status)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("request %d took %v", i, took)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.recorded) != 20 {
		t.Errorf("%d requests took effect, want the 20 complete ones", len(n.recorded))
	}
}
