package node

import (
	"io"
	"net"
	"testing"
	"time"

	"otterstep/policy"
)

// A node that starts says that it is ready as soon as the first call for the list has ended, however it ends, on a clock
// of the test's own: well within the 10 s that nine in ten restarted processes have.
func TestReadyWhateverBecomesOfTheFirstCall(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"pushed", "on_request"} {
		for name, become := range map[string]func(h *hushed, c *call){
			"silent": func(h *hushed, _ *call) { (*h.limit.Load())() },
			"silent half-way": func(h *hushed, c *call) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")
				(*h.limit.Load())()
			},
			"broken off":  func(_ *hushed, c *call) { c.Close() },
			"turned away": func(_ *hushed, c *call) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
			"no list":     func(_ *hushed, c *call) { c.say("[]") },
			"a list":      func(_ *hushed, c *call) { c.say(answer(1, true)) },
		} {
			t.Run(mode+" "+name, func(t *testing.T) {
				t.Parallel()
				h := newHushed(t)
				f := followBy(t, h.addr, mode, hostList{}, h.expire)
				f.want(t, policy.ListCached, 0)
				c := h.next(t)
				if took := <-h.took; took > 6*time.Second {
					t.Errorf("the first call may take %v", took)
				}
				become(h, c)
				select {
				case <-f.ready:
				case <-time.After(patience):
					t.Fatal("never ready")
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
			case <-time.After(patience):
				t.Fatal("never ready")
			}
		})
	}
}
