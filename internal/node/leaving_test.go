package node

import (
	"bufio"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/conns"
	"otterstep/internal/core"
	"otterstep/internal/life"
	"otterstep/policy"
)

// bench is a front on real connections with its loop and the connections to servers at hand.
type bench struct {
	addr   string
	loop   *core.Loop
	front  *front
	server *http.Server
}

// startFront serves clients by way of so many servers, all at one address. Classes have a minute's time, so that
// a further attempt comes seconds behind the one before it.
func startFront(t *testing.T, up *upstream, servers int, at string) *bench {
	t.Helper()
	b, accept := startUnheard(t, up, servers, at)
	accept()
	return b
}

// startUnheard is startFront that accepts nobody before accept is called.
func startUnheard(t *testing.T, up *upstream, servers int, at string) (b *bench, accept func()) {
	t.Helper()
	site := siteOf(t, strings.NewReplacer("3000", "60000", "2000", "60000").Replace(settings))
	l, err := core.New(core.Options{Settings: site.Settings, Seed: 1, Clock: core.NewClock(), Watch: func() {}, Drop: up.pool.Drop})
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(t.Context())
	for id := range policy.ServerID(servers) {
		l.Members(policy.ListDelta, []policy.Entry{{Server: id + 1, State: policy.Ready}}, []string{at})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := newClients(512)
	f := newFront(l, up, site, g, 1<<20, new(life.Life), false)
	s := f.server(quiet())
	t.Cleanup(func() { s.Close(); listener.Close() })
	return &bench{listener.Addr().String(), l, f, s}, func() { go func() { _ = s.Serve(g.listener(listener)) }() }
}

// open counts the requests that are owed an answer or have an attempt out.
func (b *bench) open(t *testing.T) int {
	t.Helper()
	v, err := b.loop.Inspect(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v.Requests
}

// handshake is a server whose connections come up when the gate opens; it answers nothing.
type handshake struct {
	addr       string
	config     *tls.Config // of its clients
	connecting chan struct{}
	gate       chan struct{}
	told       chan string // X-Time-Left of what came whole
}

func newHandshake(t *testing.T) *handshake {
	t.Helper()
	keys := httptest.NewTLSServer(nil) // for its certificate alone
	t.Cleanup(keys.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	h := &handshake{
		l.Addr().String(), &tls.Config{InsecureSkipVerify: true},
		make(chan struct{}, 16), make(chan struct{}), make(chan string, 16),
	}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer raw.Close()
				h.connecting <- struct{}{}
				<-h.gate
				c := tls.Server(raw, &tls.Config{Certificates: keys.TLS.Certificates})
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					h.told <- r.Header.Get("X-Time-Left")
					c.Read(make([]byte, 1)) // until the node gives up
				}
			}()
		}
	}()
	return h
}

// The ways in which clients leave.
var departures = map[string]func(t *testing.T, c *clientConn){
	"closes":      func(_ *testing.T, c *clientConn) { c.Close() },
	"half-closes": func(_ *testing.T, c *clientConn) { c.Conn.(*net.TCPConn).CloseWrite() },
	"resets": func(_ *testing.T, c *clientConn) {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
	"closes behind another request": func(t *testing.T, c *clientConn) {
		c.send(t, requestText(t, "api", "read", "59"))
		c.Close()
	},
	"half-closes behind half a line": func(t *testing.T, c *clientConn) {
		c.send(t, "GET /rea")
		c.Conn.(*net.TCPConn).CloseWrite()
	},
	"closes behind a flood": func(t *testing.T, c *clientConn) {
		c.send(t, strings.Repeat("x", 3*aheadMost))
		c.Close()
	},
}

// Guards against work for clients that are gone: however a client leaves and wherever its request stands, the
// node notices, and none of it goes on from then.
func TestLeavingIsNoticed(t *testing.T) {
	t.Parallel()
	for way, leave := range departures {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			t.Run("while it waits for its first attempt", func(t *testing.T) {
				hold := make(chan struct{})
				var ids sync.Map
				s := newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
					ids.Store(r.Header.Get("X-Correlation-Id"), true)
					<-hold
					io.WriteString(c, ok("x"))
					return true
				})
				b := startFront(t, testUpstream(t, 64), 1, s.addr)
				var ahead []*clientConn
				for b.open(t) < 12 { // more than the module lets a server of unknown size have at once
					c := connect(t, b.addr)
					c.send(t, requestText(t, b.addr, "book", "59"))
					ahead = append(ahead, c)
					waitFor(t, "request that is open", func() bool { return b.open(t) == len(ahead) })
				}
				c, text := connect(t, b.addr), requestText(t, b.addr, "book", "59")
				c.send(t, text)
				waitFor(t, "request that waits", func() bool { return b.open(t) == len(ahead)+1 })
				leave(t, c)
				waitFor(t, "leaving that is noticed", func() bool { return b.open(t) == len(ahead) })
				close(hold)
				for _, c := range ahead {
					if code, text, _ := c.answer(t); code != http.StatusOK {
						t.Fatal(code, text)
					}
				}
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
				if err != nil {
					t.Fatal(err)
				}
				if _, sent := ids.Load(r.Header.Get("X-Correlation-Id")); sent {
					t.Error("sent on behind its client's leaving")
				}
			})
			t.Run("between two attempts", func(t *testing.T) {
				left := make(chan func(), 1)
				s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
					(<-left)()
					io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
					return true
				})
				b := startFront(t, testUpstream(t, 8), 2, s.addr)
				c := connect(t, b.addr)
				left <- func() { leave(t, c) }
				c.send(t, requestText(t, b.addr, "read", "59"))
				waitFor(t, "request", func() bool { return s.requests.Load() == 1 })
				waitFor(t, "leaving that is noticed", func() bool { return b.open(t) == 0 })
				if n := s.requests.Load(); n != 1 {
					t.Errorf("%d attempts, want the one from before", n)
				}
			})
			t.Run("during a connect", func(t *testing.T) {
				h := newHandshake(t)
				up := &upstream{pool: conns.New(conns.Options{IdleFor: time.Hour, Connect: patience, Most: 8, TLS: h.config})}
				t.Cleanup(up.pool.Close)
				b := startFront(t, up, 1, h.addr)
				c := connect(t, b.addr)
				c.send(t, requestText(t, b.addr, "push", "59"))
				<-h.connecting
				leave(t, c)
				waitFor(t, "leaving that is noticed", func() bool { return b.open(t) == 0 })
				close(h.gate)
				waitFor(t, "end of the connection", func() bool { open, _ := up.pool.Count(); return open == 0 })
				if len(h.told) > 0 {
					t.Error("the attempt began behind its client's leaving")
				}
			})
		})
	}
}

// Clients that have gone by the time that the node accepts them, as behind a stop of the whole machine: nothing of
// theirs begins at a server, whatever order its goroutines run in.
func TestGoneBeforeTheyAreAccepted(t *testing.T) {
	t.Parallel()
	for way, leave := range departures {
		t.Run(way, func(t *testing.T) {
			t.Parallel()
			s := newServer(t, says(ok("x"), true))
			b, accept := startUnheard(t, testUpstream(t, 64), 8, s.addr)
			for n := range 60 {
				c := connect(t, b.addr)
				c.send(t, requestText(t, b.addr, []string{"read", "push", "book"}[n%3], "59"))
				leave(t, c)
			}
			accept()
			waitFor(t, "answer to a client that stays", func() bool {
				c := connect(t, b.addr)
				c.send(t, requestText(t, b.addr, "read", "59"))
				code, _, _ := c.answer(t)
				return code == http.StatusOK
			})
			waitFor(t, "end of all requests", func() bool { return b.open(t) == 0 })
			if n := s.requests.Load(); n != 1 {
				t.Errorf("%d requests of 60 clients that had gone began", n-1)
			}
		})
	}
}

// What a client sends behind an open request is answered in its turn; one that sends more than is kept gets its
// first answer, and its connection ends.
func TestPipelinedRequestsAreAnsweredInTurn(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{}, 8)
	s := newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		<-hold
		io.WriteString(c, ok(r.Header.Get("X-Correlation-Id")))
		return true
	})
	b := startFront(t, testUpstream(t, 8), 1, s.addr)
	c := connect(t, b.addr)
	var ids []string
	text := ""
	for range 4 {
		r := clientRequest(t, b.addr, []string{"push", "read"}[len(ids)%2], "59")
		var one strings.Builder
		if err := r.Write(&one); err != nil {
			t.Fatal(err)
		}
		text += one.String()
		ids = append(ids, r.Header.Get("X-Correlation-Id"))
	}
	first := strings.Index(text, "\r\n\r\n") + 7 // into the body, so that what follows comes in a part of its own
	c.send(t, text[:first])
	c.send(t, text[first:])
	for _, id := range ids {
		hold <- struct{}{}
		if code, body, _ := c.answer(t); code != http.StatusOK || body != id {
			t.Fatalf("answered %d %q, want the answer to %s", code, body, id)
		}
	}
	c.send(t, requestText(t, b.addr, "read", "59"))
	waitFor(t, "fifth request", func() bool { return s.requests.Load() == 5 })
	c.send(t, strings.Repeat("x", 2*aheadMost))
	hold <- struct{}{}
	if code, text, _ := c.answer(t); code != http.StatusOK {
		t.Errorf("answered %d %s ahead of a flood, want 200", code, text)
	}
	c.answer(t) // a 4xx, or the end at once
	if code, text, _ := c.answer(t); code != 0 {
		t.Errorf("answered %d %s behind a flood, want an end", code, text)
	}
}

// A thousand departures at drawn instants: no attempt begins more than 0.1 s after its client's close, none of a
// request that waited at all later.
func TestThousandDepartures(t *testing.T) {
	t.Parallel()
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	var closed sync.Map // id: time of the client's close
	var late, attempts atomic.Int64
	up := testUpstream(t, 64)
	up.began = func(m *message) {
		attempts.Add(1)
		if at, gone := closed.Load(m.header.Get("X-Correlation-Id")); gone && time.Since(at.(time.Time)) > 100*time.Millisecond {
			late.Add(1)
		}
	}
	s := newServer(t, func(n int64, r *http.Request, c net.Conn) bool {
		switch {
		case n%8 == 0:
			io.WriteString(c, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
		case n%2 == 1:
			c.Read(make([]byte, 1)) // silent until the node gives up
			return false
		default:
			io.WriteString(c, ok("x"))
		}
		return true
	})
	b := startFront(t, up, 8, s.addr)
	var clients sync.WaitGroup
	work := make(chan uint64)
	for range 40 {
		clients.Go(func() {
			for n := range work {
				rng := rand.New(rand.NewPCG(seed, n))
				c, err := net.Dial("tcp", b.addr)
				if err != nil {
					t.Error(err)
					return
				}
				r := clientRequest(t, b.addr, []string{"read", "push", "book"}[n%3], "59")
				if r.Write(c) == nil && rng.IntN(3) == 0 {
					io.WriteString(c, "GET /read/more HTTP/1.1\r\n")
				}
				c.SetReadDeadline(time.Now().Add(time.Duration(rng.IntN(30)) * time.Millisecond))
				c.Read(make([]byte, 1)) // it leaves then, or behind its answer
				c.Close()
				closed.Store(r.Header.Get("X-Correlation-Id"), time.Now())
			}
		})
	}
	for n := range uint64(1000) {
		work <- n
	}
	close(work)
	clients.Wait()
	waitFor(t, "end of all requests", func() bool { return b.open(t) == 0 })
	if late.Load() > 0 {
		t.Errorf("seed %d: %d of %d attempts began late", seed, late.Load(), attempts.Load())
	}
}
