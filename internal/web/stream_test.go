package web

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"otterstep/internal/fleet/pki"
	"otterstep/internal/serverlist"
	"otterstep/internal/standin/webbox"
	"otterstep/policy"
)

const events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// ticking answers with events until its connection ends, and tells of that.
func ticking(ended chan<- struct{}) webbox.Script {
	return func(_ webbox.Request, c net.Conn) bool {
		_, err := io.WriteString(c, events)
		for err == nil {
			_, err = io.WriteString(c, "8\r\ndata: x\n\r\n")
			time.Sleep(5 * time.Millisecond)
		}
		ended <- struct{}{}
		return false
	}
}

// Events arrive while the answer lasts, beyond any deadline; a client that goes is told to
// the server.
func TestEventsArriveAsTheyCome(t *testing.T) {
	ended := make(chan struct{}, 10)
	r := open(t, "[[web.class]]\nname = \"d\"\naim = \"50ms\"\ndeadline = \"100ms\"\n", ticking(ended))
	c := r.dial()
	_, _ = io.WriteString(c, get("/events"))
	in := bufio.NewReader(c)
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(a.Body)
	began := time.Now()
	for n := 0; time.Since(began) < 300*time.Millisecond; n++ {
		if !lines.Scan() {
			t.Fatalf("ended after %d events and %v: %v", n, time.Since(began), lines.Err())
		}
	}
	if n := r.view().Requests; r.front.streams.Load() != 1 || n != 1 {
		t.Errorf("%d streams, %d requests", r.front.streams.Load(), n)
	}
	c.Close()
	select {
	case <-ended:
	case <-time.After(limit):
		t.Fatal("the server was not told")
	}
	r.await("end of the stream", func() bool { return r.front.streams.Load() == 0 && r.view().Requests == 0 })
}

// A body that is longer than what is kept goes through as it comes, both ways, and holds no
// more memory than buffers; it is sent once.
func TestLongBodiesAreStreamed(t *testing.T) {
	const size = 64 << 20
	r := open(t, "# early\n", func(s webbox.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		_, err := io.CopyN(c, c, size)
		return err == nil
	})
	c := r.dial()
	_, _ = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", size)
	go func() {
		block := make([]byte, 1<<20)
		for i := range block {
			block[i] = byte(i * i)
		}
		for range size / len(block) {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}()
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	var first runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&first)
	var most uint64
	got := 0
	block := make([]byte, 1<<20)
	for err == nil {
		var n int
		n, err = io.ReadFull(a.Body, block)
		for i := range n {
			if block[i] != byte(i*i) {
				t.Fatalf("byte %d is another", got+i)
			}
		}
		if got += n; got%(16<<20) == 0 {
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
		}
	}
	if got != size || most > first.HeapAlloc+16<<20 {
		t.Errorf("%d bytes of %d came, %v; %d bytes of heap at most, %d at first", got, size, err, most, first.HeapAlloc)
	}
}

// A body that can't be sent again ends its request when its server fails: sent once.
func TestStreamedBodyIsSentOnce(t *testing.T) {
	r := open(t, "[web.limits]\nkept = \"1KiB\"\n", webbox.Respond("", false), webbox.Respond("", false))
	a := r.ask("PUT", "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000))
	if a.code != 502 || r.requests() > 1 {
		t.Errorf("%+v after %d requests", a, r.requests())
	}
}

// An answer that comes before the body's end goes to the client at once, and the rest of
// the body is read as nothing else.
func TestEarlyAnswer(t *testing.T) {
	r := open(t, "# early\n", webbox.Respond("HTTP/1.1 403 No\r\nContent-Length: 2\r\nConnection: close\r\n\r\nno", false))
	c := r.dial()
	_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 100_000))
	in := bufio.NewReader(c)
	if a := read(in, "POST"); a.err != nil || a.code != 403 || a.body != "no" {
		t.Fatalf("%+v", a)
	}
	_, _ = io.WriteString(c, get("/hidden"))
	if a := read(in, "GET"); a.err == nil || r.requests() != 1 {
		t.Errorf("%+v, %d requests", a, r.requests())
	}
}

// A client that asks first sends its body when the server wants it, and not otherwise.
func TestExpectations(t *testing.T) {
	for _, wants := range []bool{true, false} {
		r := open(t, "# early\n", func(s webbox.Request, c net.Conn) bool {
			if s.Header.Get("Expect") != "100-continue" {
				_, _ = io.WriteString(c, webbox.OK("no expectation"))
				return false
			}
			if !wants {
				_, _ = io.WriteString(c, "HTTP/1.1 413 Long\r\nContent-Length: 0\r\n\r\n")
				return false
			}
			_, _ = io.WriteString(c, "HTTP/1.1 100 Go on\r\n\r\n")
			b := make([]byte, 4)
			_, err := io.ReadFull(c, b)
			_, _ = io.WriteString(c, webbox.OK(string(b)))
			return err == nil
		})
		c := r.dial()
		_, _ = io.WriteString(c, "PUT /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		in := bufio.NewReader(c)
		a, err := http.ReadResponse(in, nil)
		switch {
		case err != nil:
			t.Fatal(err)
		case wants && a.StatusCode != 100, !wants && a.StatusCode != 413:
			t.Errorf("wants %v: %s", wants, a.Status)
		case wants:
			_, _ = io.WriteString(c, "body")
			if a := read(in, "PUT"); a.body != "body" {
				t.Errorf("%+v", a)
			}
		}
		r.stop()
	}
}

const switches = "HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n"

// echoing changes protocols and gives back what comes.
func echoing(_ webbox.Request, c net.Conn) bool {
	_, _ = io.WriteString(c, switches)
	_, _ = io.Copy(c, c)
	return false
}

func (r *rig) upgrade() (net.Conn, *bufio.Reader) {
	r.t.Helper()
	c := r.dial()
	_, _ = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
	in := bufio.NewReader(c)
	a, err := http.ReadResponse(in, nil)
	if err != nil || a.StatusCode != 101 || a.Header.Get("Upgrade") != "echo" {
		r.t.Fatalf("%+v, %v", a, err)
	}
	return c, in
}

// An upgrade is one pick, then a tunnel: bytes go both ways, each side's end is told to the
// other, and it is counted. A change that nobody asked for is no answer.
func TestTunnels(t *testing.T) {
	r := open(t, "", echoing)
	c, in := r.upgrade()
	for _, word := range []string{"one", "two"} {
		_, _ = io.WriteString(c, word)
		b := make([]byte, 3)
		if _, err := io.ReadFull(in, b); err != nil || string(b) != word {
			t.Fatalf("%q, %v", b, err)
		}
	}
	if r.front.tunnels.Load() != 1 {
		t.Errorf("%d tunnels", r.front.tunnels.Load())
	}
	_, _ = io.WriteString(c, "end")
	_ = c.(*net.TCPConn).CloseWrite()
	if rest, err := io.ReadAll(in); err != nil || string(rest) != "end" {
		t.Errorf("%q, %v", rest, err)
	}
	r.await("end of the tunnel", func() bool { return r.front.tunnels.Load() == 0 })
	if a := r.ask("GET", get("/x")); a.code == 101 {
		t.Errorf("a change that was not asked for: %+v", a)
	}
}

// While a node drains nothing new is taken, what is open may end, and what does not is
// ended at the stated time; all of it is counted.
func TestDrainOfStreamsAndTunnels(t *testing.T) {
	const many = 60
	ended := make(chan struct{}, many)
	r := open(t, "drain = \"600ms\"\n[web.limits]\nstreams = 200\n", func(s webbox.Request, c net.Conn) bool {
		if s.Header.Get("Upgrade") != "" {
			return echoing(s, c)
		}
		if strings.Contains(s.RequestLine, "/poll") {
			time.Sleep(300 * time.Millisecond)
			_, err := io.WriteString(c, webbox.OK("polled"))
			return err == nil
		}
		return ticking(ended)(s, c)
	})
	var polls, streams sync.WaitGroup
	polled := make(chan got, many)
	for range many {
		c, _ := r.upgrade()
		streams.Go(func() { _, _ = io.Copy(io.Discard, c) })
		s := r.dial()
		_, _ = io.WriteString(s, get("/events"))
		streams.Go(func() {
			if a := read(bufio.NewReader(s), "GET"); a.err == nil {
				t.Error("a stream that was cut looks whole")
			}
		})
		p := r.dial()
		_, _ = io.WriteString(p, get("/poll"))
		polls.Go(func() { polled <- read(bufio.NewReader(p), "GET") })
	}
	r.await("streams and tunnels", func() bool {
		return r.front.tunnels.Load() == many && r.front.streams.Load() >= many && r.requests() == 3*many
	})
	drained := make(chan time.Duration)
	began := time.Now()
	go func() {
		r.front.Drain(context.Background())
		drained <- time.Since(began)
	}()
	r.await("a closed listener", func() bool {
		c, err := net.Dial("tcp", r.front.Addr())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	took := <-drained
	if took < 500*time.Millisecond || took > 5*time.Second {
		t.Errorf("drained in %v", took)
	}
	polls.Wait()
	streams.Wait()
	for range many {
		if a := <-polled; a.err != nil || a.body != "polled" {
			t.Errorf("a poll that was open when the drain began: %+v", a)
		}
	}
	r.await("end of all", func() bool { return r.front.tunnels.Load()+r.front.streams.Load() == 0 })
	if n := r.requests(); n != 3*many {
		t.Errorf("%d requests", n)
	}
}

// A server that the list calls draining gets nothing new, its open streams go on.
func TestDrainingServerGetsNothingNew(t *testing.T) {
	ended := make(chan struct{}, 1)
	r := open(t, "", ticking(ended), echo)
	var c net.Conn
	for c == nil {
		one := r.dial()
		_, _ = io.WriteString(one, get("/x"))
		if a, err := http.ReadResponse(bufio.NewReader(one), nil); err != nil {
			t.Fatal(err)
		} else if a.Header.Get("Content-Type") == "text/event-stream" {
			c = one
		}
	}
	entries, addrs := serverlist.Entries(r.front.opt.Servers[:1])
	entries[0].State = policy.Draining
	r.front.loop.UpdateServers(policy.ListDelta, entries, addrs)
	before := len(r.boxes[0].Requests())
	for range 20 {
		if a := r.ask("GET", get("/x")); a.code != 200 {
			t.Errorf("%+v", a)
		}
	}
	if n := len(r.boxes[0].Requests()); n != before {
		t.Errorf("%d new requests", n-before)
	}
	if _, err := io.ReadFull(c, make([]byte, 100)); err != nil {
		t.Errorf("the open stream: %v", err)
	}
	c.Close()
	<-ended
}

// HTTP/2 clients by prior knowledge: many streams on a connection, trailers, and a cut
// answer ends its stream alone.
func TestHTTP2Clients(t *testing.T) {
	r := open(t, "", func(s webbox.Request, c net.Conn) bool {
		switch {
		case strings.Contains(s.RequestLine, "/cut"):
			_, _ = io.WriteString(c, events+"5\r\nhel")
			return false
		case s.Header.Get("Te") == "trailers":
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nGrpc-Status: 0\r\n\r\n")
			return err == nil
		}
		return echo(s, c)
	})
	transport := &http2.Transport{AllowHTTP: true, DialTLSContext: func(ctx context.Context, network, addr string, _ *tls.Config) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, addr)
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var all sync.WaitGroup
	for n := range 40 {
		all.Go(func() {
			q, _ := http.NewRequest("PUT", "http://"+r.front.Addr()+"/x", strings.NewReader(fmt.Sprint("body ", n)))
			a, err := client.Do(q)
			if err != nil {
				t.Error(err)
				return
			}
			defer a.Body.Close()
			if text, err := io.ReadAll(a.Body); err != nil || string(text) != fmt.Sprint("body ", n) || a.ProtoMajor != 2 {
				t.Errorf("%s %q, %v", a.Proto, text, err)
			}
		})
	}
	all.Wait()
	q, _ := http.NewRequest("GET", "http://"+r.front.Addr()+"/x", nil)
	q.Header.Set("Te", "trailers")
	a, err := client.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(a.Body); err != nil || a.Trailer.Get("Grpc-Status") != "0" {
		t.Errorf("trailer %v, %v", a.Trailer, err)
	}
	a, err = client.Get("http://" + r.front.Addr() + "/cut")
	if err == nil {
		_, err = io.ReadAll(a.Body)
	}
	var reset http2.StreamError
	if !errors.As(err, &reset) {
		t.Errorf("a cut answer: %v", err)
	}
	if a, err := client.Get("http://" + r.front.Addr() + "/x"); err != nil || a.StatusCode != 200 {
		t.Errorf("the connection behind a cut answer: %v", err)
	}
}

// h2box is a server of HTTP/2 by prior knowledge, on net/http.
func h2box(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, Protocols: new(http.Protocols)}
	s.Protocols.SetUnencryptedHTTP2(true)
	ended := make(chan struct{})
	go func() { defer close(ended); _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close(); <-ended })
	return l.Addr().String()
}

// Servers of HTTP/2 get many requests on a connection, long bodies as they come, and their
// trailers reach the client; what they refuse unseen goes to another one.
func TestHTTP2Servers(t *testing.T) {
	addr := h2box(t, func(w http.ResponseWriter, q *http.Request) {
		if q.ProtoMajor != 2 || q.Header.Get("Via") == "" {
			t.Errorf("%s %v", q.Proto, q.Header)
		}
		w.Header().Set("Trailer", "Grpc-Status")
		n, _ := io.Copy(w, q.Body)
		w.Header().Set("Grpc-Status", fmt.Sprint(n%7))
	})
	r := &rig{t: t}
	r.start(fmt.Sprintf("[[web]]\nlisten = \"127.0.0.1:0\"\n[web.upstream]\nhttp2 = true\n[[web.server]]\nname = \"a\"\naddress = %q\n", addr))
	var all sync.WaitGroup
	for n := range 20 {
		all.Go(func() {
			text := strings.Repeat("x", 1+n*20_000)
			a := r.ask("PUT", fmt.Sprintf("PUT /a%%2Cb?q HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(text), text))
			if a.err != nil || a.code != 200 || a.body != text || a.trailer.Get("Grpc-Status") != fmt.Sprint(len(text)%7) {
				t.Errorf("%d: %d, %d bytes, %v, %v", n, a.code, len(a.body), a.trailer, a.err)
			}
		})
	}
	all.Wait()
}

// TLS: the certificate goes by the name that is asked for, and follows its file while the
// node runs; HTTP/2 by ALPN; a file that can't be read leaves the old one.
func TestTLS(t *testing.T) {
	dir := t.TempDir()
	if err := pki.Init(dir, "test", time.Now()); err != nil {
		t.Fatal(err)
	}
	issue := func(name string) (cert, key string) {
		if err := pki.Issue(dir, pki.Request{Name: name, Role: pki.Agent, Hosts: []string{name}, ValidFor: time.Hour}, time.Now()); err != nil {
			t.Fatal(err)
		}
		return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
	}
	certA, keyA := issue("a.example")
	certB, keyB := issue("b.example")
	r := open(t, fmt.Sprintf("[[web.cert]]\ncert = %q\nkey = %q\n[[web.cert]]\ncert = %q\nkey = %q\n", certA, keyA, certB, keyB), echo)
	shown := func(name string) (string, string) {
		c, err := tls.Dial("tcp", r.front.Addr(), &tls.Config{ServerName: name, InsecureSkipVerify: true, NextProtos: []string{"h2"}})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		s := c.ConnectionState()
		return s.PeerCertificates[0].Subject.CommonName, s.NegotiatedProtocol
	}
	for _, name := range []string{"a.example", "b.example"} {
		if got, proto := shown(name); got != name || proto != "h2" {
			t.Errorf("asked for %s: %s, %s", name, got, proto)
		}
	}
	newer, newKey := issue("c.example")
	copyFile(t, newer, certB)
	copyFile(t, newKey, keyB)
	later := time.Now().Add(time.Hour)
	for _, p := range []string{certB, keyB} {
		if err := os.Chtimes(p, later, later); err != nil {
			t.Fatal(err)
		}
	}
	r.await("the new certificate", func() bool { got, _ := shown("c.example"); return got == "c.example" })
	if err := os.WriteFile(certA, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, _ := shown("a.example"); got != "a.example" {
		t.Errorf("with a broken file: %s", got)
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	text, err := os.ReadFile(from)
	if err == nil {
		err = os.WriteFile(to, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Beyond the bound on tunnels a wish to change protocols is not passed on, and the request
// is answered as any other; beyond the room for kept bodies one is sent once, as it comes.
func TestBounds(t *testing.T) {
	r := open(t, "[web.limits]\ntunnels = 1\nkept = \"1KiB\"\nkept_all = \"1KiB\"\n", func(s webbox.Request, c net.Conn) bool {
		if s.Header.Get("Upgrade") != "" {
			return echoing(s, c)
		}
		return echo(s, c)
	})
	r.upgrade()
	if a := r.ask("GET", "GET /x HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n"); a.code != 200 {
		t.Errorf("a second tunnel: %+v", a)
	}
	slow := r.dial() // holds all the room while its body comes
	_, _ = io.WriteString(slow, "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1024\r\n\r\n")
	r.await("a full room", func() bool { return r.front.kept.Load() == 1024 })
	if a := r.ask("PUT", "PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"); a.body != "body" || r.front.kept.Load() != 1024 {
		t.Errorf("with no room left: %+v, %d kept", a, r.front.kept.Load())
	}
	_, _ = io.WriteString(slow, strings.Repeat("x", 1024))
	if a := read(bufio.NewReader(slow), "PUT"); len(a.body) != 1024 {
		t.Errorf("%+v", a)
	}
	r.await("room again", func() bool { return r.front.kept.Load() == 0 })
}
