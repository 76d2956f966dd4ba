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

// parseLeniently parses requests as lenient servers do: a line ends at any LF, whitespace
// around names is ignored, folded lines are accepted, "chunked" anywhere in a transfer coding
// counts, and the last Content-Length applies. It returns the request lines with the bodies.
func parseLeniently(text []byte) (all []string) {
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

// parseStrictly parses requests as net/http does.
func parseStrictly(text []byte) (all []string) {
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

// recordingServer records all bytes that it receives, and answers the first request of each
// connection if net/http can parse it.
type recordingServer struct {
	listener net.Listener
	received chan []byte // all bytes of each connection, sent when it has ended
}

func newRecordingServer(t testing.TB) *recordingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &recordingServer{l, make(chan []byte, 1000)}
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
					_, _ = io.Copy(io.Discard, in) // record all further bytes
				}
				w.received <- all.Bytes()
			}()
		}
	}()
	t.Cleanup(func() { l.Close(); <-ended })
	return w
}

// FuzzSmuggling checks that for any bytes a client sends, a strict and a lenient server
// behind the node parse the same requests.
func FuzzSmuggling(f *testing.F) {
	for _, d := range requirements {
		f.Add([]byte(d.request))
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
	w := newRecordingServer(f)
	r := &fixture{t: f}
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
			case got := <-w.received:
				strict, lax := parseStrictly(got), parseLeniently(got)
				if !slices.Equal(strict, lax) {
					t.Fatalf("sent %q; a strict server parses %q, a lenient one %q", sent, strict, lax)
				}
				continue
			case <-time.After(time.Millisecond):
			}
			return
		}
	})
}

// http2Client is a client that writes and reads HTTP/2 frames.
type http2Client struct {
	net.Conn
	*http2.Framer
	fields bytes.Buffer
	encode *hpack.Encoder
}

func (r *fixture) dialHTTP2() *http2Client {
	r.t.Helper()
	c := &http2Client{Conn: r.dial()}
	c.Framer = http2.NewFramer(c.Conn, c.Conn)
	c.AllowIllegalWrites = true
	c.encode = hpack.NewEncoder(&c.fields)
	_, _ = io.WriteString(c, http2.ClientPreface)
	_ = c.WriteSettings()
	return c
}

func (c *http2Client) headerBlock(fields ...[2]string) []byte {
	c.fields.Reset()
	for _, f := range fields {
		_ = c.encode.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	return bytes.Clone(c.fields.Bytes())
}

// outcome returns the status of the answer on stream, "reset" if the stream was reset, or
// "away" if the connection has ended.
func (c *http2Client) outcome(stream uint32) string {
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

// HTTP/2 fields that would have another meaning in HTTP/1.1 must not reach a server (RFC
// 9113, sections 8.2 and 8.3).
func TestHTTP2Smuggling(t *testing.T) {
	r := newFixture(t, "", echo)
	valid := [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/x"}, {":authority", "a.example"}}
	withField := func(more ...[2]string) [][2]string { return append(slices.Clone(valid), more...) }
	path := func(p string) [][2]string {
		all := slices.Clone(valid)
		all[2][1] = p
		return all
	}
	for name, c := range map[string]struct {
		fields [][2]string
		body   string
		passes bool
	}{
		"valid":                {valid, "", true},
		"CR in a value":        {withField([2]string{"x-a", "1\r\nx-b: 2"}), "", false},
		"NUL in a value":       {withField([2]string{"x-a", "1\x00"}), "", false},
		"LF in a name":         {withField([2]string{"x-a\nx-b", "1"}), "", false},
		"upper case":           {withField([2]string{"X-A", "1"}), "", false},
		"a colon in a name":    {withField([2]string{"x-a: 1", "1"}), "", false},
		"transfer-encoding":    {withField([2]string{"transfer-encoding", "chunked"}), "", false},
		"connection":           {withField([2]string{"connection", "x"}), "", false},
		"a space in the path":  {path("/x HTTP/1.1"), "", false},
		"no slash in the path": {path("x"), "", false},
		"two paths":            {withField([2]string{":path", "/y"}), "", false},
		"a wrong length":       {withField([2]string{"content-length", "99"}), "abc", false},
		"dots in the path":     {path("/a/../x"), "", false},
	} {
		t.Run(name, func(t *testing.T) {
			r.t = t
			before := r.requestCount()
			h := r.dialHTTP2()
			_ = h.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: h.headerBlock(c.fields...), EndHeaders: true, EndStream: c.body == ""})
			if c.body != "" {
				_ = h.WriteData(1, true, []byte(c.body))
			}
			end := h.outcome(1)
			if (end == "200") != c.passes || r.requestCount()-before != map[bool]int{true: 1}[c.passes] {
				t.Errorf("ended with %s; %d requests were forwarded", end, r.requestCount()-before)
			}
		})
	}
}

// A flood of HTTP/2 frames must not affect other clients, and the memory that it uses must
// stay bounded.
func TestHTTP2Floods(t *testing.T) {
	r := newFixture(t, "", echo)
	for name, flood := range map[string]func(h *http2Client, n uint32) error{
		"rapid reset": func(h *http2Client, n uint32) error {
			id := 2*n + 1
			err := h.WriteHeaders(http2.HeadersFrameParam{
				StreamID: id, EndHeaders: true, EndStream: true,
				BlockFragment: h.headerBlock([2]string{":method", "GET"}, [2]string{":scheme", "http"}, [2]string{":path", "/x"}, [2]string{":authority", "a"}),
			})
			if err == nil {
				err = h.WriteRSTStream(id, http2.ErrCodeCancel)
			}
			return err
		},
		"continuation": func(h *http2Client, n uint32) error {
			if n == 0 {
				return h.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: h.headerBlock([2]string{":method", "GET"})})
			}
			return h.WriteContinuation(1, false, h.headerBlock([2]string{fmt.Sprint("x-", n), strings.Repeat("a", 100)}))
		},
		"settings": func(h *http2Client, _ uint32) error {
			return h.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1})
		},
		"ping": func(h *http2Client, n uint32) error { return h.WritePing(false, [8]byte{byte(n)}) },
		"empty data": func(h *http2Client, n uint32) error {
			if n == 0 {
				return h.WriteHeaders(http2.HeadersFrameParam{
					StreamID: 1, EndHeaders: true,
					BlockFragment: h.headerBlock([2]string{":method", "POST"}, [2]string{":scheme", "http"}, [2]string{":path", "/x"}, [2]string{":authority", "a"}),
				})
			}
			return h.WriteData(1, false, nil)
		},
		"header table bomb": func(h *http2Client, n uint32) error {
			fields := make([][2]string, 0, 400)
			fields = append(fields, [][2]string{{":method", "GET"}, {":scheme", "http"}, {":path", "/x"}, {":authority", "a"}}...)
			for range 390 {
				fields = append(fields, [2]string{"x-bomb", strings.Repeat("b", 2000)})
			}
			return h.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*n + 1, BlockFragment: h.headerBlock(fields...), EndHeaders: true, EndStream: true})
		},
		"windows never opened": func(h *http2Client, n uint32) error {
			if n == 0 {
				if err := h.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0}); err != nil {
					return err
				}
			}
			return h.WriteHeaders(http2.HeadersFrameParam{
				StreamID: 2*n + 1, EndHeaders: true, EndStream: true,
				BlockFragment: h.headerBlock([2]string{":method", "GET"}, [2]string{":scheme", "http"}, [2]string{":path", "/x"}, [2]string{":authority", "a"}),
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r.t = t
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			h := r.dialHTTP2()
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
				if a := r.roundTrip("GET", getRequest("/other")); a.code != 200 {
					t.Errorf("another client: %+v", a)
				}
				slowest = max(slowest, time.Since(began))
			}
			h.Close()
			<-flooded
			runtime.GC()
			runtime.ReadMemStats(&after)
			if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 32<<20 || slowest > 5*time.Second {
				t.Errorf("the heap grew by %d bytes; the slowest answer to another client took %v", grown, slowest)
			}
		})
	}
}

// proxyFields are the response fields that the node adds or regenerates, as documented for
// operators.
var proxyFields = []string{"Date", "Content-Length", "Connection", "Transfer-Encoding", "Trailer"}

// For random requests a client receives through the node the same answer as on a direct
// connection, except for proxyFields.
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
	r := &fixture{t: t}
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
				body = io.MultiReader(body) // hides the length from net/http
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
		for _, name := range proxyFields {
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

// If a client does not read, the node stops reading from the server, and closes the server's
// connection after the stall timeout.
func TestSlowClient(t *testing.T) {
	ended := make(chan int64, 1)
	r := newFixture(t, "[web.limits]\nstall = \"300ms\"\n", func(_ webbox.Request, c net.Conn) bool {
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
	_, _ = io.WriteString(c, getRequest("/x"))
	select {
	case sent := <-ended:
		if sent > 64<<20 {
			t.Errorf("%d bytes were read from the server for a client that reads none", sent)
		}
	case <-time.After(testTimeout):
		t.Fatal("the server's connection was not closed")
	}
	r.waitFor("end of the stream", func() bool { return r.front.streams.Load() == 0 })
}
