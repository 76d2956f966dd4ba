package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/policy"
)

// expiringContext is a call's context that expires when the test cancels it.
type expiringContext struct{ context.Context }

// Err implements context.Context.
func (e expiringContext) Err() error {
	if e.Context.Err() == nil {
		return nil
	}
	return context.Cause(e.Context)
}

// rawDiscovery is a discovery service for which the test writes the bytes of each answer and decides when a call
// times out.
type rawDiscovery struct {
	*server
	calls    chan *call
	limit    atomic.Pointer[func()] // makes the current call time out
	timeouts chan time.Duration     // timeouts of calls
}

// call is a call and its connection.
type call struct {
	net.Conn
	query string
}

func newRawDiscovery(t *testing.T) *rawDiscovery {
	t.Helper()
	h := &rawDiscovery{calls: make(chan *call, 16), timeouts: make(chan time.Duration, 64)}
	h.server = newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		h.calls <- &call{c, r.URL.RawQuery}
		return true
	})
	return h
}

// expire replaces context.WithTimeout in a discovery client.
func (h *rawDiscovery) expire(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(ctx)
	pass := func() { cancel(context.DeadlineExceeded) }
	h.limit.Store(&pass)
	h.timeouts <- d
	return expiringContext{c}, func() { cancel(context.Canceled) }
}

// next returns the next call.
func (h *rawDiscovery) next(t *testing.T) *call {
	t.Helper()
	select {
	case c := <-h.calls:
		return c
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a call to discovery")
		return nil
	}
}

// say writes a complete answer.
func (c *call) say(text string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
}

// Guards against missed changes when a watch stops answering, at whatever point of the answer: the watch times out soon
// enough to be reopened within the limit for learning of a change, without waiting for the decision module, and the
// changes from the new call are applied. Each outage is logged once. Timeouts are triggered by the test.
func TestSilentWatchIsReopened(t *testing.T) {
	t.Parallel()
	whole := answer(1, true)
	for mode, most := range map[string]time.Duration{
		"pushed":     maxChangeDelay - time.Second, // leaves 1 s for the new call
		"on_request": timeoutsFor(true).watchWait + watchMargin - time.Second,
	} {
		for where, part := range map[string]string{
			"before the head": "",
			"in the head":     "HTTP/1.1 200 OK\r\nContent-Le",
			"after the head":  "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n",
			"in the body":     "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n{\"rev\":2,\"all\":false,\"targets\":[{\"uid\"",
			"in a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"rev\":2,",
			"in its trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
		} {
			t.Run(mode+" "+where, func(t *testing.T) {
				t.Parallel()
				h := newRawDiscovery(t)
				f := followWithTimeout(t, h.addr, mode, hostList{}, h.expire)
				f.want(t, policy.ListCached, 0)
				if mode == "on_request" {
					f.requestCall()
				}
				h.next(t).say(whole)
				<-h.timeouts
				f.want(t, policy.ListFull, 1)
				for range 3 { // consecutive timeouts
					c := h.next(t)
					if !strings.HasPrefix(c.query, "since=1&") {
						t.Fatalf("call %q, want a watch", c.query)
					}
					io.WriteString(c, part)
					if took := <-h.timeouts; took > most {
						t.Errorf("a silent watch times out after %v, want at most %v", took, most)
					}
					(*h.limit.Load())()
				}
				h.next(t).say(strings.Replace(answer(2, false), "in_service", "terminating", 1))
				f.want(t, policy.ListDelta, 1)
				io.WriteString(h.next(t), part)
				moved := newRawDiscovery(t) // a reload takes effect during a silent watch
				f.setAddress(t.Context(), moved.addr)
				c := moved.next(t)
				if c.query != "" {
					t.Errorf("first call to the new discovery service %q, want the full list", c.query)
				}
				c.say(answer(1, true))
				f.want(t, policy.ListFull, 1)
				moved.next(t)
				f.stop()
				if n := strings.Count(f.log.String(), "discovery is down"); n != 1 {
					t.Errorf("%d log lines for one outage, want 1:\n%s", n, f.log.String())
				}
			})
		}
	}
}

// Lists are decoded correctly if they arrive byte by byte, are indented, or follow a connection closed without an
// answer. A full list in answer to a watch replaces all entries: servers not in it are removed even if they still
// answer.
func TestListFramings(t *testing.T) {
	t.Parallel()
	h := newRawDiscovery(t)
	f := followWithTimeout(t, h.addr, "pushed", hostList{}, h.expire)
	f.want(t, policy.ListCached, 0)
	c := h.next(t)
	for _, b := range []byte("HTTP/1.1 200 OK\r\ncontent-length: " + strconv.Itoa(len(answer(1, true))) + "\r\n\r\n" + answer(1, true)) {
		c.Write([]byte{b})
	}
	f.want(t, policy.ListFull, 1)
	indented := strings.NewReplacer(`{`, "{\n\t", `,`, ",\n\t", `:`, ": ").Replace(answer(2, false))
	indented = strings.Replace(indented, "127.0.0.1: 1", "127.0.0.1:1", 1)
	h.next(t).say(indented)
	f.want(t, policy.ListDelta, 1)
	h.next(t).Close() // closes without an answer
	c = h.next(t)
	if !strings.HasPrefix(c.query, "since=2&") {
		t.Fatalf("call %q after a close, want the watch again", c.query)
	}
	c.say(`{"rev":3,"all":true,"targets":[]}`)
	f.want(t, policy.ListFull, 0)
	h.next(t)
}
