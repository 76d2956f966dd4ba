package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterstep/internal/operator"
	"otterstep/internal/standin/stuckserver"
)

// Guards against answers that come seconds after their time: a server reads nothing of a large request, whose client has
// written its last byte into the buffers of both systems. The client's time counts from then.
func TestServerThatReadsSlowlyIsAnsweredInTime(t *testing.T) {
	expectUnreadUploadsAnsweredInTime(t, []int{7 << 20, 6 << 20}, func(size int) (framing, body string) {
		return fmt.Sprintf("Content-Length: %d\r\n", size), strings.Repeat("b", size)
	})
}

// Guards against answers that come seconds after their time to requests without a length: their server reads nothing, and
// nobody knows whether the client has written its last byte.
func TestUnreadChunkedUploadIsAnsweredInTime(t *testing.T) {
	expectUnreadUploadsAnsweredInTime(t, []int{7 << 20, 6 << 20, 5 << 20}, func(size int) (framing, body string) {
		return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("b", size))
	})
}

// expectUnreadUploadsAnsweredInTime expects an error in time for requests that their server does not read, with bodies of
// these sizes. Those that the systems' buffers do not take as a whole are left out, but for one at least.
func expectUnreadUploadsAnsweredInTime(t *testing.T, sizes []int, encode func(size int) (framing, body string)) {
	t.Helper()
	const left, slack = time.Second, 50 * time.Millisecond
	d := newRegistry(t, target{UID: "s1", Endpoint: stuckserver.New(t).Addr(), AZ: "a", State: "in_service", CapacityHint: 1})
	addr, _ := startNodeConfigured(t, d, operator.File{}, Reloads{}, quiet(), func(c *Config) { c.MemoryMB, c.Sockets = 32, 512 })
	tested := 0
	for _, size := range sizes {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		framing, body := encode(size)
		head := strings.Replace(headOf("POST", "push", fmt.Sprint("unread", size), framing), "X-Time-Left: 2.9", "X-Time-Left: 1", 1)
		written, whole := stuckserver.WriteIntoBuffers(c, head+body)
		if !whole {
			continue
		}
		tested++
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 500 {
			t.Fatalf("%d bytes: %v, %v, want an error in place of an answer", size, resp, err)
		}
		if late := time.Since(written) - left; late > slack {
			t.Errorf("%d bytes: answered %v after the client's time", size, late)
		}
	}
	if tested == 0 {
		t.Error("the systems' buffers took no request as a whole")
	}
}

// Guards against failures that are taken for broken answers, or cost their client's time, because a server writes the body
// behind them slowly: the head says what has become of the request.
func TestSlowFailureAnswersAreTriedElsewhere(t *testing.T) {
	for name, head := range map[string]string{
		"turned away": "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n",
		"error":       "HTTP/1.1 500 No\r\n",
	} {
		for framing, body := range map[string]string{"a length": "Content-Length: 100000\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n", "a small length": "Content-Length: 10\r\n\r\nno"} {
			t.Run(name+" with "+framing, func(t *testing.T) {
				s := newServer(t, func(n int64, _ *http.Request, c net.Conn) bool {
					if n > 1 {
						_, _ = io.WriteString(c, ok("served"))
						return true
					}
					_, _ = io.WriteString(c, head+body)
					_, _ = c.Read(make([]byte, 1)) // until the node gives up
					return false
				})
				addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1"), listedTarget(s, "s2")))
				class := "read"
				if name == "turned away" {
					class = "book" // an unsafe request may be tried again only if it has not run
				}
				began := time.Now()
				if code, _, text := do(t, clientRequest(t, addr, class, "2.9")); code != http.StatusOK || text != "served" {
					t.Errorf("%d %.60s", code, text)
				}
				if took := time.Since(began); took > 2900*time.Millisecond/2 {
					t.Errorf("answered behind %v of the client's 2.9 s", took)
				}
			})
		}
	}
}
