package node

import (
	"bufio"
	"fmt"
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
	const left, slack = time.Second, 50 * time.Millisecond
	s := stuckserver.New(t)
	d := newRegistry(t, target{UID: "s1", Endpoint: s.Addr(), AZ: "a", State: "in_service", CapacityHint: 1})
	addr, _ := startNodeConfigured(t, d, operator.File{}, Reloads{}, quiet(), func(c *Config) { c.MemoryMB, c.Sockets = 32, 512 })
	tested := 0
	for _, mb := range []int{7, 6} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		head := headOf("POST", "push", fmt.Sprint("slow", mb), fmt.Sprintf("Content-Length: %d\r\n", mb<<20))
		written, whole := stuckserver.WriteIntoBuffers(c, strings.Replace(head, "X-Time-Left: 2.9", "X-Time-Left: 1", 1)+strings.Repeat("b", mb<<20))
		if !whole {
			continue
		}
		tested++
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 500 {
			t.Fatalf("%d MB: %v, %v, want an error in place of an answer", mb, resp, err)
		}
		if late := time.Since(written) - left; late > slack {
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
	const left, slack = time.Second, 50 * time.Millisecond
	d := newRegistry(t, target{UID: "s1", Endpoint: stuckserver.New(t).Addr(), AZ: "a", State: "in_service", CapacityHint: 1})
	addr, _ := startNodeConfigured(t, d, operator.File{}, Reloads{}, quiet(), func(c *Config) { c.MemoryMB, c.Sockets = 32, 512 })
	tested := 0
	for _, mb := range []int{7, 6, 5} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		head := headOf("POST", "push", fmt.Sprint("chunked", mb), "Transfer-Encoding: chunked\r\n")
		body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", mb<<20, strings.Repeat("b", mb<<20))
		written, whole := stuckserver.WriteIntoBuffers(c, strings.Replace(head, "X-Time-Left: 2.9", "X-Time-Left: 1", 1)+body)
		if !whole {
			continue
		}
		tested++
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 500 {
			t.Fatalf("%d MB: %v, %v, want an error in place of an answer", mb, resp, err)
		}
		if late := time.Since(written) - left; late > slack {
			t.Errorf("%d MB: answered %v after the client's time", mb, late)
		}
	}
	if tested == 0 {
		t.Error("the systems' buffers took no request as a whole")
	}
}
