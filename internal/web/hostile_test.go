package web

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"otterstep/internal/standin/webbox"
)

// laxRead takes requests off bytes as forgiving servers do: lines end with any LF, blanks
// round names are nothing, folded lines go on, "chunked" anywhere in a coding counts, and
// the last length counts. It gives the request lines with their bodies.
func laxRead(text []byte) (all []string) {
	in := bufio.NewReader(bytes.NewReader(text))
	for {
		line, err := in.ReadString('\n')
		if line = strings.TrimSpace(line); err != nil {
			return all
		}
		if line == "" {
			continue
		}
		length, chunked := 0, false
		for {
			field, err := in.ReadString('\n')
			if field = strings.TrimSpace(field); err != nil || field == "" {
				break
			}
			name, value, _ := strings.Cut(field, ":")
			switch strings.ToLower(strings.TrimSpace(name)) {
			case "content-length":
				length, _ = strconv.Atoi(strings.TrimSpace(value))
			case "transfer-encoding":
				chunked = chunked || strings.Contains(strings.ToLower(value), "chunked")
			}
		}
		var body []byte
		for chunked {
			size, err := in.ReadString('\n')
			size, _, _ = strings.Cut(strings.TrimSpace(size), ";")
			n, err2 := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
			if err != nil || err2 != nil {
				return append(all, line+" with a broken body")
			}
			if n == 0 {
				for rest, err := in.ReadString('\n'); err == nil && strings.TrimSpace(rest) != ""; {
					rest, err = in.ReadString('\n')
				}
				break
			}
			part := make([]byte, n)
			_, _ = io.ReadFull(in, part)
			_, _ = in.ReadString('\n')
			body = append(body, part...)
		}
		if !chunked {
			body = make([]byte, max(0, length))
			_, _ = io.ReadFull(in, body)
		}
		all = append(all, fmt.Sprintf("%s %q", line, body))
	}
}

// strictRead takes them as net/http does.
func strictRead(text []byte) (all []string) {
	in := bufio.NewReader(bytes.NewReader(text))
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return all
		}
		body, _ := io.ReadAll(q.Body)
		all = append(all, fmt.Sprintf("%s %s %s %q", q.Method, q.RequestURI, q.Proto, body))
	}
}

// wiretap is a server that keeps all bytes that it was sent, and answers each request that a
// strict reader sees.
type wiretap struct {
	listener net.Listener
	got      chan []byte // of each connection, once it has ended
}

func newWiretap(t testing.TB) *wiretap {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wiretap{l, make(chan []byte, 1000)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var all bytes.Buffer
				in := bufio.NewReader(io.TeeReader(c, &all))
				if q, err := http.ReadRequest(in); err == nil {
					_, _ = io.Copy(io.Discard, q.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
					_ = c.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, in) // all further bytes are in the tap too
				}
				w.got <- all.Bytes()
			}()
		}
	}()
	t.Cleanup(func() { l.Close(); <-ended })
	return w
}

// FuzzSmuggling: whatever bytes a client sends, a strict and a lax server behind the node
// see the same requests.
func FuzzSmuggling(f *testing.F) {
	for _, d := range duties {
		f.Add([]byte(d.sent))
	}
	for _, s := range []string{
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-encoding: x\r\n\r\n0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\x0bchunked\r\n\r\n0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET /y HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;\nabc\r\n\r\n3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: a\r\nX: a\n\tTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	w := newWiretap(f)
	r := &rig{t: f}
	r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\nattempts = 1\n[web.limits]\nread = \"100ms\"\n[[web.class]]\nname = \"d\"\naim = \"1s\"\ndeadline = \"2s\"\n[[web.server]]\nname = \"s\"\naddress = %q\n", w.listener.Addr()))
	f.Fuzz(func(t *testing.T, sent []byte) {
		c, err := net.Dial("tcp", r.front.Addr())
		if err != nil {
			t.Skip(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = c.Write(sent)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		for {
			select {
			case got := <-w.got:
				strict, lax := strictRead(got), laxRead(got)
				if !slices.Equal(strict, lax) {
					t.Fatalf("sent %q; a strict server sees %q, a lax one %q", sent, strict, lax)
				}
				continue
			case <-time.After(time.Millisecond):
			}
			return
		}
	})
}

// h2 is a client of HTTP/2 on the level of frames.
type h2 struct {
	net.Conn
	*http2.Framer
	fields bytes.Buffer
	encode *hpack.Encoder
}

func (r *rig) h2() *h2 {
	r.t.Helper()
	c := &h2{Conn: r.dial()}
	c.Framer = http2.NewFramer(c.Conn, c.Conn)
	c.AllowIllegalWrites = true
	c.encode = hpack.NewEncoder(&c.fields)
	_, _ = io.WriteString(c, http2.ClientPreface)
	_ = c.WriteSettings()
	return c
}

func (c *h2) block(fields ...[2]string) []byte {
	c.fields.Reset()
	for _, f := range fields {
		_ = c.encode.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	return bytes.Clone(c.fields.Bytes())
}

// end reads until stream's answer has its status, or the stream or the connection is ended.
func (c *h2) end(stream uint32) string {
	decode := hpack.NewDecoder(4096, nil)
	for {
		f, err := c.ReadFrame()
		switch f := f.(type) {
		case *http2.HeadersFrame:
			fields, _ := decode.DecodeFull(f.HeaderBlockFragment())
			if f.StreamID == stream && len(fields) > 0 {
				return fields[0].Value
			}
		case *http2.RSTStreamFrame:
			if f.StreamID == stream {
				return "reset"
			}
		case *http2.GoAwayFrame:
			if f.ErrCode != http2.ErrCodeNo {
				return "away"
			}
		}
		if err != nil {
			return "away"
		}
	}
}

// Fields of HTTP/2 that would be something else in HTTP/1.1 never reach a server (RFC 9113,
// sections 8.2 and 8.3).
func TestSmugglingByHTTP2(t *testing.T) {
	r := open(t, "", echo)
	usual := [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/x"}, {":authority", "a.example"}}
	with := func(more ...[2]string) [][2]string { return append(slices.Clone(usual), more...) }
	path := func(p string) [][2]string {
		all := slices.Clone(usual)
		all[2][1] = p
		return all
	}
	for name, c := range map[string]struct {
		fields [][2]string
		body   string
		passes bool
	}{
		"usual":                {usual, "", true},
		"CR in a value":        {with([2]string{"x-a", "1\r\nx-b: 2"}), "", false},
		"NUL in a value":       {with([2]string{"x-a", "1\x00"}), "", false},
		"LF in a name":         {with([2]string{"x-a\nx-b", "1"}), "", false},
		"upper case":           {with([2]string{"X-A", "1"}), "", false},
		"a colon in a name":    {with([2]string{"x-a: 1", "1"}), "", false},
		"transfer-encoding":    {with([2]string{"transfer-encoding", "chunked"}), "", false},
		"connection":           {with([2]string{"connection", "x"}), "", false},
		"a blank in the path":  {path("/x HTTP/1.1"), "", false},
		"no slash in the path": {path("x"), "", false},
		"two paths":            {with([2]string{":path", "/y"}), "", false},
		"a lying length":       {with([2]string{"content-length", "99"}), "abc", false},
		"dots in the path":     {path("/a/../x"), "", false},
	} {
		t.Run(name, func(t *testing.T) {
			r.t = t
			before := r.requests()
			h := r.h2()
			_ = h.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: h.block(c.fields...), EndHeaders: true, EndStream: c.body == ""})
			if c.body != "" {
				_ = h.WriteData(1, true, []byte(c.body))
			}
			end := h.end(1)
			if (end == "200") != c.passes || r.requests()-before != map[bool]int{true: 1}[c.passes] {
				t.Errorf("ended with %s, %d requests passed", end, r.requests()-before)
			}
		})
	}
}

// Floods of HTTP/2 end their own connection or cost it alone: others are served meanwhile,
// and memory is bounded.
func TestFloodsOfHTTP2(t *testing.T) {
	r := open(t, "", echo)
	for name, flood := range map[string]func(h *h2, n uint32) error{
		"rapid reset": func(h *h2, n uint32) error {
			id := 2*n + 1
			err := h.WriteHeaders(http2.HeadersFrameParam{
				StreamID: id, EndHeaders: true, EndStream: true,
				BlockFragment: h.block([2]string{":method", "GET"}, [2]string{":scheme", "http"}, [2]string{":path", "/x"}, [2]string{":authority", "a"}),
			})
			if err == nil {
				err = h.WriteRSTStream(id, http2.ErrCodeCancel)
			}
			return err
		},
		"continuation": func(h *h2, n uint32) error {
			if n == 0 {
				return h.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: h.block([2]string{":method", "GET"})})
			}
			return h.WriteContinuation(1, false, h.block([2]string{fmt.Sprint("x-", n), strings.Repeat("a", 100)}))
		},
		"settings": func(h *h2, _ uint32) error {
			return h.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
		},
		"ping": func(h *h2, n uint32) error { return h.WritePing(false, [8]byte{byte(n)}) },
		"empty data": func(h *h2, n uint32) error {
			if n == 0 {
				return h.WriteHeaders(http2.HeadersFrameParam{
					StreamID: 1, EndHeaders: true,
					BlockFragment: h.block([2]string{":method", "POST"}, [2]string{":scheme", "http"}, [2]string{":path", "/x"}, [2]string{":authority", "a"}),
				})
			}
			return h.WriteData(1, false, nil)
		},
		"table bomb": func(h *h2, n uint32) error {
			many := make([][2]string, 0, 400)
			many = append(many, [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/x"}, {":authority", "a"}}...)
			for range 390 {
				many = append(many, [2]string{"x-bomb", strings.Repeat("b", 2000)})
			}
			return h.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*n + 1, BlockFragment: h.block(many...), EndHeaders: true, EndStream: true})
		},
		"windows never opened": func(h *h2, n uint32) error {
			if n == 0 {
				if err := h.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}); err != nil {
					return err
				}
			}
			return h.WriteHeaders(http2.HeadersFrameParam{
				StreamID: 2*n + 1, EndHeaders: true, EndStream: true,
				BlockFragment: h.block([2]string{":method", "GET"}, [2]string{":scheme", "http"}, [2]string{":path", "/x"}, [2]string{":authority", "a"}),
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r.t = t
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h := r.h2()
			go func() { _, _ = io.Copy(io.Discard, h.Conn) }()
			flooded := make(chan struct{})
			go func() {
				defer close(flooded)
				for n := range uint32(20_000) {
					if flood(h, n) != nil {
						return
					}
				}
			}()
			slowest := time.Duration(0)
			for range 50 {
				began := time.Now()
				if a := r.ask("GET", get("/other")); a.code != 200 {
					t.Errorf("another client: %+v", a)
				}
				slowest = max(slowest, time.Since(began))
			}
			h.Close()
			<-flooded
			runtime.GC()
			runtime.ReadMemStats(&after)
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 32<<20 || slowest > 5*time.Second {
				t.Errorf("%d bytes of heap more; another client's slowest answer took %v", grown, slowest)
			}
		})
	}
}

// added are the fields that the page lists as the node's, or as made anew.
var added = []string{"Date", "Content-Length", "Connection", "Transfer-Encoding", "Trailer"}

// Whatever is asked, a client gets through the node what a direct connection gives, but for
// the fields that the page lists.
func TestSameAsDirect(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		seed, _ := strconv.ParseUint(q.URL.Query().Get("seed"), 10, 64)
		rng := rand.New(rand.NewPCG(seed, 1))
		body, _ := io.ReadAll(q.Body)
		for range rng.IntN(4) {
			w.Header().Add(fmt.Sprint("X-", rng.IntN(3)), fmt.Sprint(rng.IntN(9), ", ", rng.IntN(9)))
		}
		codes := []int{200, 200, 200, 201, 204, 206, 301, 304, 400, 404, 410, 418, 422, 429, 451}
		code := codes[rng.IntN(len(codes))]
		size := rng.IntN(100_000)
		if rng.IntN(2) == 0 && code != 204 && code != 304 {
			w.Header().Set("Content-Length", strconv.Itoa(size+len(body)))
		}
		if rng.IntN(3) == 0 {
			w.Header().Set("Trailer", "X-Sum")
			defer w.Header().Set("X-Sum", fmt.Sprint(size))
		}
		w.WriteHeader(code)
		_, _ = w.Write(body)
		for left := size; left > 0; {
			n := min(left, 1+rng.IntN(30_000))
			_, _ = w.Write(bytes.Repeat([]byte{byte('a' + n%26)}, n))
			if left -= n; rng.IntN(3) == 0 {
				_ = http.NewResponseController(w).Flush()
			}
		}
	}))
	defer s.Close()
	r := &rig{t: t}
	r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.server]]\nname = \"s\"\naddress = %q\n", s.Listener.Addr()))
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	ask := func(addr string, seed uint64) (string, http.Header) {
		rng := rand.New(rand.NewPCG(seed, 2))
		method := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}[rng.IntN(7)]
		var body io.Reader
		if method != "GET" && method != "HEAD" && rng.IntN(2) == 0 {
			body = strings.NewReader(strings.Repeat("b", rng.IntN(150_000)))
			if rng.IntN(2) == 0 {
				body = io.MultiReader(body) // its length is not known
			}
		}
		q, err := http.NewRequest(method, fmt.Sprintf("http://%s/a%%2C/%d?seed=%d", addr, rng.IntN(9), seed), body)
		if err != nil {
			t.Fatal(err)
		}
		a, err := transport.RoundTrip(q)
		if err != nil {
			return err.Error(), nil
		}
		defer a.Body.Close()
		text, err := io.ReadAll(a.Body)
		return fmt.Sprintf("%s %d, %d bytes %x, %v, trailer %v", method, a.StatusCode, len(text), hash(text), err, a.Trailer), a.Header
	}
	for seed := range uint64(250) {
		want, wantHeader := ask(s.Listener.Addr().String(), seed)
		got, gotHeader := ask(r.front.Addr(), seed)
		if got != want {
			t.Fatalf("seed %d: %s, direct %s", seed, got, want)
		}
		for _, name := range added {
			delete(wantHeader, name)
			delete(gotHeader, name)
		}
		if !maps.EqualFunc(gotHeader, wantHeader, slices.Equal) {
			t.Fatalf("seed %d: %v, direct %v", seed, gotHeader, wantHeader)
		}
	}
}

func hash(text []byte) (sum uint64) {
	for _, b := range text {
		sum = sum*31 + uint64(b)
	}
	return sum
}

// A slow client holds its own stream and no more: the server's sending stops, and it is told
// when the client takes nothing for too long.
func TestSlowClient(t *testing.T) {
	ended := make(chan int64, 1)
	r := open(t, "[web.limits]\nstall = \"300ms\"\n", func(_ webbox.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		block, sent := make([]byte, 1<<16), int64(0)
		for {
			n, err := c.Write(block)
			if sent += int64(n); err != nil {
				ended <- sent
				return false
			}
		}
	})
	c := r.dial()
	_, _ = io.WriteString(c, get("/x"))
	select {
	case sent := <-ended:
		if sent > 64<<20 {
			t.Errorf("%d bytes were taken from the server for a client that takes none", sent)
		}
	case <-time.After(limit):
		t.Fatal("the server was not told")
	}
	r.await("end of the stream", func() bool { return r.front.streams.Load() == 0 })
}
