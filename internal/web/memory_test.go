package web

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"golang.org/x/net/http2"

	"otterstep/internal/membudget"
	"otterstep/internal/standin/webbox"
)

// Guards against heads that take many times their size in memory: one with too many fields is answered 431, over HTTP/1.1
// before it has ended.
func TestHeadsOfManyFields(t *testing.T) {
	r := newFixture(t, "[web.limits]\nfields = 10\n", webbox.Respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false))
	fields := ""
	block := [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/"}, {":authority", "a"}}
	for n := range 11 {
		fields += fmt.Sprintf("a%d: b\r\n", n)
		block = append(block, [2]string{fmt.Sprint("a", n), "b"})
	}
	c := r.dial()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+fields); err != nil {
		t.Fatal(err)
	}
	if a := readResponse(bufio.NewReader(c), "GET"); a.code != 431 || !strings.Contains(string(a.body), "over 10 fields") {
		t.Errorf("HTTP/1.1: %d %q", a.code, a.body)
	}
	h := r.dialHTTP2()
	_ = h.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true, EndStream: true, BlockFragment: h.headerBlock(block...)})
	if got := h.outcome(1); got != "431" {
		t.Errorf("HTTP/2: %s", got)
	}
	if n := r.requestCount(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
}

// A request for which no memory is left is refused over both protocols before anything of it is passed on, and what
// requests held comes back.
func TestNoMemoryForARequest(t *testing.T) {
	budget := membudget.New(1 << 20)
	r := &fixture{t: t, memory: Memory{Requests: budget.Account("requests", 1)}}
	r.startWith("", webbox.Respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false))
	overHTTP1 := func() string {
		c := r.dial()
		defer c.Close()
		if _, err := io.WriteString(c, getRequest("/")); err != nil {
			t.Fatal(err)
		}
		return fmt.Sprint(readResponse(bufio.NewReader(c), "GET").code)
	}
	overHTTP2 := func() string {
		h := r.dialHTTP2()
		defer h.Close()
		_ = h.WriteHeaders(http2.HeadersFrameParam{
			StreamID: 1, EndHeaders: true, EndStream: true,
			BlockFragment: h.headerBlock([2]string{":method", "GET"}, [2]string{":scheme", "http"}, [2]string{":path", "/"}, [2]string{":authority", "a"}),
		})
		return h.outcome(1)
	}
	others := budget.Account("others", 1)
	for _, c := range []struct {
		ask  func() string
		room int64
	}{{overHTTP1, http1Room}, {overHTTP2, http2Room}} {
		if got := c.ask(); got != "200" {
			t.Errorf("answered %s", got)
		}
		r.waitFor("memory that came back", func() bool { return budget.Inspect()[0].Held == 0 })
		others.Reserve(1<<20 - c.room)
		if got := c.ask(); got != "503" {
			t.Errorf("answered %s without memory", got)
		}
		others.Release(1<<20 - c.room)
	}
	if n := r.requestCount(); n != 2 {
		t.Errorf("%d requests reached the server, want the first two", n)
	}
}

// Room in which no request fits: over HTTP/2 its connection does.
const (
	http1Room      = 10 << 10
	http2Room      = http2ConnBytes + 2<<10
	http2ConnBytes = 48 << 10
)
