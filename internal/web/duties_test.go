package web

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"otterstep/internal/standin/webbox"
)

// echo tells in its answer what it has seen.
func echo(s webbox.Request, c net.Conn) bool {
	_, err := io.WriteString(c, webbox.OK(string(s.Body)))
	return err == nil
}

// duty is what the specifications ask of an intermediary: a message, and what the other
// side must see of it.
type duty struct {
	section string // of RFC 9110 if nothing else is said
	sent    string // by the client
	code    int    // what the client must get
	line    string // the server's request line; "" if it must see nothing
	has     []string
	hasNot  []string // names
}

const (
	h11  = " HTTP/1.1\r\nHost: a.example\r\n"
	none = "\r\n"
)

// duties are about requests. Each "has" is a field as the server must see it.
var duties = []duty{
	{"7.6.1: fields that Connection names end", "GET /x" + h11 + "Connection: X-Hop, close\r\nX-Hop: 1\r\nX-End: 2\r\n" + none, 200, "GET /x HTTP/1.1", []string{"X-End: 2"}, []string{"X-Hop", "Connection"}},
	{"7.6.1: Keep-Alive ends", "GET /x" + h11 + "Keep-Alive: timeout=5\r\n" + none, 200, "GET /x HTTP/1.1", nil, []string{"Keep-Alive"}},
	{"7.6.1: Proxy-Connection ends", "GET /x" + h11 + "Proxy-Connection: keep-alive\r\n" + none, 200, "GET /x HTTP/1.1", nil, []string{"Proxy-Connection"}},
	{"7.6.1: TE ends, but for trailers", "GET /x" + h11 + "Connection: TE\r\nTE: trailers, deflate\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Te: trailers", "Connection: TE"}, nil},
	{"7.6.1: TE without trailers ends", "GET /x" + h11 + "Connection: TE\r\nTE: deflate\r\n" + none, 200, "GET /x HTTP/1.1", nil, []string{"Te"}},
	{"7.6.1: Upgrade ends if Connection does not name it", "GET /x" + h11 + "Upgrade: websocket\r\n" + none, 200, "GET /x HTTP/1.1", nil, []string{"Upgrade"}},
	{"7.6.1: a Connection can't take the length away", "POST /x" + h11 + "Connection: Content-Length\r\nContent-Length: 3\r\n\r\nabc", 200, "POST /x HTTP/1.1", []string{"Content-Length: 3"}, nil},
	{"7.6.1: nor the host", "GET /x" + h11 + "Connection: Host\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Host: a.example"}, nil},
	{"7.6.3: Via is added", "GET /x" + h11 + none, 200, "GET /x HTTP/1.1", []string{"Via: 1.1 otterstep-t"}, nil},
	{"7.6.3: to what there is", "GET /x" + h11 + "Via: 1.0 fred\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Via: 1.0 fred", "Via: 1.1 otterstep-t"}, nil},
	{"7.6.3: with the version received", "GET /x HTTP/1.0\r\nHost: a.example\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Via: 1.0 otterstep-t"}, nil},
	{"7.6.3: a loop ends", "GET /x" + h11 + "Via: 1.1 otterstep-t\r\n" + none, 508, "", nil, nil},
	{"7.6.2: Max-Forwards of OPTIONS counts down", "OPTIONS /x" + h11 + "Max-Forwards: 5\r\n" + none, 200, "OPTIONS /x HTTP/1.1", []string{"Max-Forwards: 4"}, nil},
	{"7.6.2: and ends here at 0", "OPTIONS /x" + h11 + "Max-Forwards: 0\r\n" + none, 204, "", nil, nil},
	{"7.6.2: one that is no number", "OPTIONS /x" + h11 + "Max-Forwards: -1\r\n" + none, 400, "", nil, nil},
	{"7.6.2: of other methods it is passed on", "GET /x" + h11 + "Max-Forwards: 0\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Max-Forwards: 0"}, nil},
	{"7.1: OPTIONS * stays", "OPTIONS *" + h11 + none, 200, "OPTIONS * HTTP/1.1", nil, nil},
	{"9.3.6: CONNECT is not carried", "CONNECT a.example:443" + h11 + none, 405, "", nil, nil},
	{"9.3.8: TRACE is not carried", "TRACE /x" + h11 + none, 405, "", nil, nil},
	{"9.1: methods that are unknown pass", "BREW /pot" + h11 + none, 200, "BREW /pot HTTP/1.1", nil, nil},
	{"5.1: fields that are unknown pass", "GET /x" + h11 + "X-Odd-1: a, b\r\n" + none, 200, "GET /x HTTP/1.1", []string{"X-Odd-1: a, b"}, nil},
	{"5.3: order of a field's lines stays", "GET /x" + h11 + "X-A: 1\r\nX-A: 2\r\n" + none, 200, "GET /x HTTP/1.1", []string{"X-A: 1\r\nX-A: 2"}, nil},
	{"5.5: an empty value stays", "GET /x" + h11 + "X-A:\r\n" + none, 200, "GET /x HTTP/1.1", []string{"X-A: "}, nil},
	{"7.2: Host is the client's", "GET /x HTTP/1.1\r\nHost: shop.example:8080\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Host: shop.example:8080"}, nil},
	{"7.2: IPv6 too", "GET /x HTTP/1.1\r\nHost: [::1]:8080\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Host: [::1]:8080"}, nil},
	{"RFC 9112, 3.2: no Host is an error", "GET /x HTTP/1.1\r\n" + none, 400, "", nil, nil},
	{"RFC 9112, 3.2: two are", "GET /x" + h11 + "Host: b.example\r\n" + none, 400, "", nil, nil},
	{"RFC 9112, 3.2: a bad one is", "GET /x HTTP/1.1\r\nHost: a b\r\n" + none, 400, "", nil, nil},
	{"RFC 9112, 3.2.2: absolute form wins over Host", "GET http://b.example/y?q" + h11 + none, 200, "GET /y?q HTTP/1.1", []string{"Host: b.example"}, nil},
	{"RFC 9112, 3.2.2: without a path", "GET http://b.example" + h11 + none, 200, "GET / HTTP/1.1", []string{"Host: b.example"}, nil},
	{"4.2.3: the path is passed on as it is written", "GET /a%2Cb;c/%C3%A4?x=%2F..&y" + h11 + none, 200, "GET /a%2Cb;c/%C3%A4?x=%2F..&y HTTP/1.1", nil, nil},
	{"8.6: a length that is no number", "POST /x" + h11 + "Content-Length: 3x\r\n\r\nabc", 400, "", nil, nil},
	{"8.6: a negative one", "POST /x" + h11 + "Content-Length: -3\r\n\r\nabc", 400, "", nil, nil},
	{"8.6: one too large for a number", "POST /x" + h11 + "Content-Length: 99999999999999999999\r\n\r\nabc", 400, "", nil, nil},
	{"RFC 9112, 6.3: two lengths that differ", "POST /x" + h11 + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", 400, "", nil, nil},
	{"8.6: two alike count as one", "POST /x" + h11 + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 200, "POST /x HTTP/1.1", []string{"Content-Length: 3\r\n"}, nil},
	{"8.6: a body of no length is sent with one", "POST /x" + h11 + "Content-Length: 0\r\n" + none, 200, "POST /x HTTP/1.1", []string{"Content-Length: 0"}, nil},
	{"RFC 9112, 6.1: an unknown coding", "POST /x" + h11 + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501, "", nil, nil},
	{"RFC 9112, 6.1: chunked twice", "POST /x" + h11 + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", 501, "", nil, nil},
	{"RFC 9112, 6.3: a length beside chunked is not passed on", "POST /x" + h11 + "Content-Length: 99\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "POST /x HTTP/1.1", []string{"Content-Length: 3\r\n"}, []string{"Transfer-Encoding"}},
	{"RFC 9112, 7.1.1: chunk extensions are not passed on", "POST /x" + h11 + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\n\r\n", 200, "POST /x HTTP/1.1", []string{"Content-Length: 3\r\n"}, nil},
	{"RFC 9112, 7.1: a chunk's size that overflows", "POST /x" + h11 + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc\r\n0\r\n\r\n", 408, "", nil, nil},
	{"RFC 9112, 5.1: whitespace before the colon", "GET /x" + h11 + "X-A : 1\r\n" + none, 400, "", nil, nil},
	{"RFC 9112, 5.2: a folded line is one line", "GET /x" + h11 + "X-A: 1\r\n 2\r\n" + none, 200, "GET /x HTTP/1.1", []string{"X-A: 1 2"}, nil},
	{"RFC 9112, 2.2: a bare CR", "GET /x" + h11 + "X-A: 1\rX-B: 2\r\n" + none, 400, "", nil, nil},
	{"RFC 9112, 2.2: a bare LF ends a line, for the server too", "GET /x HTTP/1.1\nHost: a.example\nX-A: 1\n\n", 200, "GET /x HTTP/1.1", []string{"X-A: 1\r\n"}, nil},
	{"RFC 9112, 3: a blank in the target", "GET /x y" + h11 + none, 400, "", nil, nil},
	{"5.5: a NUL in a value", "GET /x" + h11 + "X-A: a\x00b\r\n" + none, 400, "", nil, nil},
	{"RFC 9112, 2.3: an unknown version", "GET /x HTTP/3.1\r\nHost: a\r\n" + none, 505, "", nil, nil},
	{"RFC 3986, 6.2.2.3: dot segments", "GET /a/../b" + h11 + none, 400, "", nil, nil},
	{"escaped ones", "GET /a/%2e%2E/b" + h11 + none, 400, "", nil, nil},
	{"an escaped slash", "GET /a%2fb" + h11 + none, 400, "", nil, nil},
	{"a backslash", "GET /a\\..\\b" + h11 + none, 400, "", nil, nil},
	{"a dot segment with parameters", "GET /a/..;x/b" + h11 + none, 400, "", nil, nil},
	{"one escaped twice", "GET /a/%252e%252e/b" + h11 + none, 400, "", nil, nil},
	{"RFC 7239, 4: Forwarded is told, a stranger's word is not", "GET /x" + h11 + "Forwarded: for=10.0.0.1\r\nX-Forwarded-For: 10.0.0.1\r\nX-Real-IP: 10.0.0.1\r\n" + none, 200, "GET /x HTTP/1.1", []string{`Forwarded: for=127.0.0.1;proto=http;host="a.example"`, "X-Forwarded-For: 127.0.0.1\r\n", "X-Forwarded-Proto: http"}, []string{"X-Real-Ip"}},
	{"10.1.1: an expectation that is unknown", "POST /x" + h11 + "Expect: 200-ok\r\nContent-Length: 0\r\n" + none, 417, "", nil, nil},
	{"7.1: a fragment is no part of a target", "GET /x#y" + h11 + none, 400, "", nil, nil},
	{"two keys", "POST /x" + h11 + "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n" + none, 400, "", nil, nil},
	{"a request's id is made where there is none", "GET /x" + h11 + none, 200, "GET /x HTTP/1.1", []string{"X-Request-Id: "}, nil},
	{"and kept where there is one", "GET /x" + h11 + "X-Request-Id: abc\r\n" + none, 200, "GET /x HTTP/1.1", []string{"X-Request-Id: abc\r\n"}, nil},
	{"Trace Context, 2.2: a trace goes on", "GET /x" + h11 + "Traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Traceparent: 00-0af7651916cd43dd8448eb211c80319c-"}, nil},
	{"6.6.1: Date is the server's or none is made up", "GET /x" + h11 + "Date: Tue, 15 Nov 1994 08:12:31 GMT\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Date: Tue, 15 Nov 1994 08:12:31 GMT"}, nil},
	{"11.7: credentials for us go no further", "GET /x" + h11 + "Proxy-Authorization: Basic eA==\r\nAuthorization: Basic eQ==\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Authorization: Basic eQ=="}, []string{"Proxy-Authorization"}},
	{"13: conditions pass", "GET /x" + h11 + "If-None-Match: \"x\"\r\nRange: bytes=0-1\r\n" + none, 200, "GET /x HTTP/1.1", []string{"If-None-Match: \"x\"", "Range: bytes=0-1"}, nil},
	{"RFC 6455, 4.1: an upgrade is asked for on", "GET /x" + h11 + "Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Key: k\r\n" + none, 200, "GET /x HTTP/1.1", []string{"Connection: Upgrade", "Upgrade: websocket", "Sec-Websocket-Key: k"}, nil},
	{"RFC 9113, 3.1: not one to HTTP/2", "GET /x" + h11 + "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: x\r\n" + none, 200, "GET /x HTTP/1.1", nil, []string{"Upgrade", "Http2-Settings", "Connection"}},
}

// Each duty of an intermediary is kept.
func TestDuties(t *testing.T) {
	if len(duties) < 60 {
		t.Errorf("%d duties", len(duties))
	}
	r := open(t, "", echo)
	for _, d := range duties {
		t.Run(d.section, func(t *testing.T) {
			r.t = t
			before := r.requests()
			a := r.ask(strings.Fields(d.sent)[0], d.sent)
			if a.err != nil || a.code != d.code {
				t.Fatalf("the client got %d %.80q, %v; want %d", a.code, a.body, a.err, d.code)
			}
			if d.line == "" {
				if r.requests() > before {
					t.Errorf("the server saw %s", r.boxes[0].Requests()[before].Raw)
				}
				return
			}
			if r.requests() != before+1 {
				t.Fatalf("the server saw %d requests", r.requests()-before)
			}
			seen := r.boxes[0].Requests()[before]
			if seen.RequestLine != d.line {
				t.Errorf("request line %q, want %q", seen.RequestLine, d.line)
			}
			for _, want := range d.has {
				if !strings.Contains(string(seen.Raw), "\r\n"+want) {
					t.Errorf("no %q in\n%s", want, seen.Raw)
				}
			}
			for _, name := range d.hasNot {
				if len(seen.Header[name]) > 0 {
					t.Errorf("%s in\n%s", name, seen.Raw)
				}
			}
		})
	}
}

// Whoever is trusted is believed of others, and its word grows.
func TestTrustedForwarding(t *testing.T) {
	r := open(t, "trust = [\"127.0.0.0/8\"]\n", echo)
	r.ask("GET", "GET /x"+h11+"Forwarded: for=10.0.0.1\r\nX-Forwarded-For: 10.0.0.1\r\nX-Forwarded-Proto: https\r\n\r\n")
	seen := r.boxes[0].Requests()[0].Header
	if seen.Get("Forwarded") != `for=10.0.0.1, for=127.0.0.1;proto=http;host="a.example"` || seen.Get("X-Forwarded-For") != "10.0.0.1, 127.0.0.1" || seen.Get("X-Forwarded-Proto") != "https" {
		t.Errorf("%v", seen)
	}
}

// The node's own answers say what is the matter (RFC 9457), and when to come back.
func TestOwnAnswers(t *testing.T) {
	r := open(t, "attempts = 1\n[[web.class]]\nname = \"d\"\naim = \"20ms\"\ndeadline = \"100ms\"\n", func(_ webbox.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1)) // silent
		return false
	})
	kinds := map[int]bool{}
	for range 40 {
		a := r.ask("GET", "GET /x"+h11+"X-Request-Id: me\r\n\r\n")
		kinds[a.code] = true
		if a.header.Get("Content-Type") != "application/problem+json" || !strings.Contains(a.body, `"instance":"me"`) || !strings.Contains(a.body, fmt.Sprintf(`"status":%d`, a.code)) {
			t.Fatalf("%+v", a)
		}
		if a.code == 503 && a.header.Get("Retry-After") != "1" {
			t.Errorf("refused without advice: %v", a.header)
		}
		if kinds[503] {
			return
		}
	}
	t.Errorf("never refused: %v", kinds)
}

// Pipelined requests are answered in their order, each by one answer.
func TestPipelined(t *testing.T) {
	r := open(t, "", echo)
	c := r.dial()
	var all strings.Builder
	for n := range 5 {
		all.WriteString(post(fmt.Sprint("body ", n)))
	}
	if _, err := io.WriteString(c, all.String()); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(c)
	for n := range 5 {
		if a := read(in, http.MethodPost); a.body != fmt.Sprint("body ", n) {
			t.Fatalf("answer %d: %+v", n, a)
		}
	}
}
