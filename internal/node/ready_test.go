package node

import (
	"io"
	"net"
	"testing"
	"time"

	"otterstep/policy"
)

// A starting node becomes ready as soon as the first request for the list has ended, whatever its result; the test
// controls the request's timeout. This is well within the 10 s in which 90 % of restarted processes have to be ready.
func TestReadyAfterFirstDiscoveryRequest(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pushed", "on_request"} {
		for name, finish := range map[string]func(h *rawDiscovery, c *call){
			"no answer": func(h *rawDiscovery, _ *call) { (*h.limit.Load())() },
			"incomplete answer": func(h *rawDiscovery, c *call) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")
				(*h.limit.Load())()
			},
			"connection closed": func(_ *rawDiscovery, c *call) { c.Close() },
			"status 503":        func(_ *rawDiscovery, c *call) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
			"invalid list":      func(_ *rawDiscovery, c *call) { c.say("[]") },
			"valid list":        func(_ *rawDiscovery, c *call) { c.say(answer(1, true)) },
		} {
			t.Run(mode+" "+name, func(t *testing.T) {
				t.Parallel()
				h := newRawDiscovery(t)
				f := followWithTimeout(t, h.addr, mode, hostList{}, h.expire)
				f.want(t, policy.ListCached, 0)
				c := h.next(t)
				if took := <-h.timeouts; took > 6*time.Second {
					t.Errorf("the first request has a timeout of %v, want at most 6 s", took)
				}
				finish(h, c)
				select {
				case <-f.ready:
				case <-time.After(testTimeout):
					t.Fatal("the node did not become ready")
				}
			})
		}
		t.Run(mode+" refused", func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
			select {
			case <-follow(t, l.Addr().String(), mode, hostList{}).ready:
			case <-time.After(testTimeout):
				t.Fatal("the node did not become ready")
			}
		})
	}
}
