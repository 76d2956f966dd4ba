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
	const left, slack = time.Second, 50 * time.Millisecond
	s := stuckserver.New(t)
	d := newRegistry(t, target{UID: "s1", Endpoint: s.Addr(), AZ: "a", State: "in_service", CapacityHint: 1})
	addr, _ := startNodeConfigured(t, d, operator.File{}, Reloads{}, quiet(), func(c *Config) { c.MemoryMB, c.Sockets = 32, 512 })
	for _, mb := range []int{6, 8} {
		t.Run(fmt.Sprint(mb, " MB"), func(t *testing.T) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			written := make(chan time.Time, 1)
			go func() {
				head := headOf("POST", "push", fmt.Sprint("slow", mb), fmt.Sprintf("Content-Length: %d\r\n", mb<<20))
				_, _ = io.WriteString(c, strings.Replace(head, "X-Time-Left: 2.9", "X-Time-Left: 1", 1)+strings.Repeat("b", mb<<20))
				written <- time.Now()
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			answered := time.Now()
			if err != nil || resp.StatusCode < 500 {
				t.Fatalf("%v, %v, want an error in place of an answer", resp, err)
			}
			if late := answered.Sub(<-written) - left; late > slack {
				t.Errorf("answered %v after the client's time", late)
			}
		})
	}
}
