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

// expiring is a call's context whose time passes when the test says so.
type expiring struct{ context.Context }

// Err implements context.Context.
func (e expiring) Err() error {
	if e.Context.Err() == nil {
		return nil
	}
	return context.Cause(e.Context)
}

// hushed is a discovery on the level of bytes: what it says to each call is the test's, and so is the time
// that a call's limit takes.
type hushed struct {
	*server
	calls chan *call
	limit atomic.Pointer[func()] // lets the present call's time pass
	took  chan time.Duration     // the limits of calls
}

// call is one call on its connection.
type call struct {
	net.Conn
	query string
}

func newHushed(t *testing.T) *hushed {
	t.Helper()
	h := &hushed{calls: make(chan *call, 16), took: make(chan time.Duration, 64)}
	h.server = newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		h.calls <- &call{c, r.URL.RawQuery}
		return true
	})
	return h
}

// expire is a discovery's limit on a call.
func (h *hushed) expire(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancelCause(ctx)
	pass := func() { cancel(context.DeadlineExceeded) }
	h.limit.Store(&pass)
	h.took <- d
	return expiring{c}, func() { cancel(context.Canceled) }
}

// next waits for a call.
func (h *hushed) next(t *testing.T) *call {
	t.Helper()
	select {
	case c := <-h.calls:
		return c
	case <-time.After(patience):
		t.Fatal("no call")
		return nil
	}
}

// say gives an answer whole.
func (c *call) say(text string) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text)
}

// Guards rule 3 against a watch that falls silent, wherever that is: it is opened anew in time for what it missed, on
// a clock of the test's own, without waiting for the module, and what the new call tells is taken. Once a silence
// there is one line in the log.
func TestSilentWatchIsOpenedAnewInTime(t *testing.T) {
	t.Parallel()
	whole := answer(1, true)
	for mode, most := range map[string]time.Duration{
		"pushed":     toldAfter - time.Second, // for the new call
		"on_request": timesFor(true).wait + toldBehind - time.Second,
	} {
		for where, part := range map[string]string{
			"before the head": "",
			"in the head":     "HTTP/1.1 200 OK\r\nContent-Le",
			"behind the head": "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n",
			"in the body":     "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n{\"rev\":2,\"all\":false,\"targets\":[{\"uid\"",
			"in a chunk":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n{\"rev\":2,",
			"in its trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
		} {
			t.Run(mode+" "+where, func(t *testing.T) {
				t.Parallel()
				h := newHushed(t)
				f := followBy(t, h.addr, mode, hostList{}, h.expire)
				f.want(t, policy.ListCached, 0)
				if mode == "on_request" {
					f.watch()
				}
				h.next(t).say(whole)
				<-h.took
				f.want(t, policy.ListFull, 1)
				for range 3 { // one silence behind another
					c := h.next(t)
					if !strings.HasPrefix(c.query, "since=1&") {
						t.Fatalf("call %q, want a watch", c.query)
					}
					io.WriteString(c, part)
					if took := <-h.took; took > most {
						t.Errorf("a silent watch is given up after %v, want %v at most", took, most)
					}
					(*h.limit.Load())()
				}
				h.next(t).say(strings.Replace(answer(2, false), "in_service", "terminating", 1))
				f.want(t, policy.ListDelta, 1)
				io.WriteString(h.next(t), part)
				moved := newHushed(t) // a reload goes ahead of any silence
				f.move(t.Context(), moved.addr)
				c := moved.next(t)
				if c.query != "" {
					t.Errorf("call %q of another discovery, want the whole list", c.query)
				}
				c.say(answer(1, true))
				f.want(t, policy.ListFull, 1)
				moved.next(t)
				f.stop()
				if n := strings.Count(f.log.String(), "discovery is down"); n != 1 {
					t.Errorf("%d lines on one silence:\n%s", n, f.log.String())
				}
			})
		}
	}
}

// A list comes late, indented, in pieces of one byte, or ends the watch in place of a change: it is taken for what it
// is. What a whole list does not name is gone, though it may still answer.
func TestListsInAllForms(t *testing.T) {
	t.Parallel()
	h := newHushed(t)
	f := followBy(t, h.addr, "pushed", hostList{}, h.expire)
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
	h.next(t).Close() // an end in place of an answer
	c = h.next(t)
	if !strings.HasPrefix(c.query, "since=2&") {
		t.Fatalf("call %q behind an end, want the watch again", c.query)
	}
	c.say(`{"rev":3,"all":true,"targets":[]}`)
	f.want(t, policy.ListFull, 0)
	h.next(t)
}
