package web

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/standin/stuckserver"
)

// Guards against answers that come seconds after their time: a server reads nothing of a large request, whose client has
// written its last byte into the buffers of both systems. The client's time counts from then.
func TestServerThatReadsSlowlyIsAnsweredInTime(t *testing.T) {
	const deadline, slack = time.Second, 50 * time.Millisecond
	r := &fixture{t: t}
	r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.server]]\nname = \"a\"\naddress = %q\n"+
		"[[web.class]]\nname = \"all\"\naim = \"500ms\"\ndeadline = \"1s\"\n", stuckserver.New(t).Addr()))
	tested := 0
	for _, mb := range []int{6, 5} {
		c := r.dial()
		defer c.Close()
		written, whole := stuckserver.WriteIntoBuffers(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", mb<<20)+strings.Repeat("b", mb<<20))
		if !whole {
			continue
		}
		tested++
		a := readResponse(bufio.NewReader(c), "POST")
		if a.err != nil || a.code < 500 {
			t.Fatalf("%d MB: %d, %v, want an error in place of an answer", mb, a.code, a.err)
		}
		if late := time.Since(written) - deadline; late > slack {
			t.Errorf("%d MB: answered %v after the client's time", mb, late)
		}
	}
	if tested == 0 {
		t.Error("the systems' buffers took no request as a whole")
	}
}

// Guards against answers that come seconds after their time to requests without a length: their server reads nothing, and
// nobody knows whether the client has written its last byte.
func TestUnreadChunkedUploadIsAnsweredInTime(t *testing.T) {
	const deadline, slack = time.Second, 50 * time.Millisecond
	for name, begin := range map[string]func(*fixture) testUpload{"HTTP/1.1": beginHTTP1Upload, "HTTP/2": beginHTTP2Upload} {
		t.Run(name, func(t *testing.T) {
			r := &fixture{t: t}
			r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.server]]\nname = \"a\"\naddress = %q\n"+
				"[[web.class]]\nname = \"all\"\naim = \"500ms\"\ndeadline = \"1s\"\n", stuckserver.New(t).Addr()))
			up := begin(r)
			written := writeUntilBlocked(up)
			if a := up.await(t); a.err != nil || a.code < 500 {
				t.Fatalf("%d, %v, want an error in place of an answer", a.code, a.err)
			}
			if late := time.Since(written) - deadline; late > slack {
				t.Errorf("answered %v after the client's time", late)
			}
		})
	}
}

// writeUntilBlocked writes to an upload until nobody takes more of it, and returns when the last byte was taken.
func writeUntilBlocked(up testUpload) (last time.Time) {
	const blocked = 200 * time.Millisecond
	took := make(chan struct{})
	go func() {
		defer close(took)
		for piece := make([]byte, 16<<10); ; {
			if _, err := up.Write(piece); err != nil { // at the test's end
				return
			}
			took <- struct{}{}
		}
	}()
	last = time.Now()
	for {
		select {
		case _, more := <-took:
			if !more {
				return last
			}
			last = time.Now()
		case <-time.After(blocked):
			go func() {
				for range took { // whatever is taken later
				}
			}()
			return last
		}
	}
}

// Guards against final answers that are lost to the reset of the close, as their client was still sending: a server reads
// nothing of a request that is larger than the systems' buffers.
func TestFinalAnswerReachesAClientThatStillSends(t *testing.T) {
	const size = 64 << 20
	for _, framing := range []string{"a length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			r := &fixture{t: t}
			r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.server]]\nname = \"a\"\naddress = %q\n"+
				"[[web.class]]\nname = \"all\"\naim = \"500ms\"\ndeadline = \"1s\"\n[web.limits]\nstall = \"2s\"\n", stuckserver.New(t).Addr()))
			c := r.dial()
			defer c.Close()
			head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
			if framing == "chunks" {
				head = fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size)
			}
			if _, err := io.WriteString(c, head+strings.Repeat("b", size)); err != nil {
				t.Errorf("cut off while it sends: %v", err)
			}
			if a := readResponse(bufio.NewReader(c), "POST"); a.err != nil || a.code < 500 {
				t.Errorf("%d, %v, want an error in place of an answer", a.code, a.err)
			}
		})
	}
}

// The same for a server that answers before it has read the body.
func TestEarlyAnswerReachesAClientThatStillSends(t *testing.T) {
	const size = 64 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		s, err := l.Accept()
		if err != nil {
			return
		}
		defer s.Close()
		if _, err := http.ReadRequest(bufio.NewReader(s)); err != nil {
			return
		}
		_, _ = io.WriteString(s, "HTTP/1.1 413 Too large\r\nContent-Length: 2\r\n\r\nno")
		_, _ = s.Read(make([]byte, 1)) // leaves all else unread
		<-t.Context().Done()
	}()
	r := &fixture{t: t}
	r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.server]]\nname = \"a\"\naddress = %q\n", l.Addr()))
	c := r.dial()
	defer c.Close()
	if _, err := io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)+strings.Repeat("b", size)); err != nil {
		t.Errorf("cut off while it sends: %v", err)
	}
	if a := readResponse(bufio.NewReader(c), "POST"); a.err != nil || a.code != http.StatusRequestEntityTooLarge {
		t.Errorf("%d, %v, want the server's 413", a.code, a.err)
	}
}

// Guards against failures that cost their client's time, or are cut off, because a server writes their bodies slowly: they
// are tried elsewhere meanwhile, and the answer that is there at the end of that time is given.
func TestSlowFailureAnswers(t *testing.T) {
	const size = 20 << 10
	for _, secondServer := range []bool{false, true} {
		for _, http2Server := range []bool{false, true} {
			t.Run(fmt.Sprintf("second server %v, HTTP/2 %v", secondServer, http2Server), func(t *testing.T) {
				late := make(chan struct{})
				defer time.AfterFunc(1200*time.Millisecond, func() { close(late) }).Stop()
				var requests atomic.Int32
				text := fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.class]]\nname = \"all\"\naim = \"500ms\"\ndeadline = \"1s\"\n[web.upstream]\nhttp2 = %v\n", http2Server)
				for n := range 2 {
					text += fmt.Sprintf("[[web.server]]\nname = \"s%d\"\naddress = %q\n", n, startNetHTTPServer(t, http2Server, func(w http.ResponseWriter, q *http.Request) {
						if requests.Add(1) > 1 && secondServer {
							_, _ = io.WriteString(w, "served")
							return
						}
						w.WriteHeader(http.StatusInternalServerError)
						_, _ = w.Write(make([]byte, size/2))
						_ = http.NewResponseController(w).Flush()
						select {
						case <-late:
						case <-q.Context().Done():
						}
						_, _ = w.Write(make([]byte, size/2))
					}))
				}
				r := &fixture{t: t}
				r.start(text)
				began := time.Now()
				a := r.roundTrip("GET", getRequest("/x"))
				switch took := time.Since(began); {
				case secondServer && (a.code != http.StatusOK || a.body != "served" || took > time.Second):
					t.Errorf("%d %.60q behind %v, %v; want the other server's answer in time", a.code, a.body, took, a.err)
				case !secondServer && (a.code != http.StatusInternalServerError || len(a.body) != size || a.err != nil):
					t.Errorf("%d, %d bytes of %d behind %v, %v", a.code, len(a.body), size, took, a.err)
				}
			})
		}
	}
}
