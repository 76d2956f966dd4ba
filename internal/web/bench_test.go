package web

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/load"
)

// benchServers opens nine servers of net/http that answer after a few milliseconds with so
// many bytes; trouble spoils the first: "hang" or "fail".
func benchServers(b *testing.B, size int, wait time.Duration) (addrs []string, trouble *atomic.Value) {
	b.Helper()
	trouble = &atomic.Value{}
	trouble.Store("")
	text := bytes.Repeat([]byte("x"), size)
	for i := range 9 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case i == 0 && trouble.Load() == "hang":
				<-r.Context().Done()
				return
			case i == 0 && trouble.Load() == "fail":
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			if wait > 0 {
				time.Sleep(wait)
			}
			_, _ = w.Write(text)
		})}
		go s.Serve(l)
		b.Cleanup(func() { s.Close() })
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, trouble
}

// benchProxies gives the addresses of the front and of net/http's ReverseProxy with a
// server at random.
func benchProxies(b *testing.B, addrs []string) map[string]string {
	b.Helper()
	text := "[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.class]]\nname = \"d\"\naim = \"500ms\"\ndeadline = \"5s\"\n"
	for i, a := range addrs {
		text += fmt.Sprintf("[[web.server]]\nname = \"s%d\"\naddress = %q\n", i, a)
	}
	r := &rig{t: b}
	r.start(text)
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: &httputil.ReverseProxy{Transport: transport, Rewrite: func(q *httputil.ProxyRequest) {
		q.SetURL(&url.URL{Scheme: "http", Host: addrs[rand.IntN(len(addrs))]})
	}, ErrorLog: log.New(io.Discard, "", 0)}}
	go s.Serve(l)
	b.Cleanup(func() { s.Close(); transport.CloseIdleConnections() })
	return map[string]string{"otterstep": r.front.Addr(), "reverseproxy": l.Addr().String()}
}

// BenchmarkWeb gives requests a second and latencies through the front and through
// net/http's ReverseProxy, in turn in one process: 32 clients in a closed loop; and the share
// in 500 ms of 200 requests a second while one of nine servers hangs, or fails fast.
func BenchmarkWeb(b *testing.B) {
	const span = 4 * time.Second
	for _, c := range []struct {
		name string
		size int
		wait time.Duration
	}{{"small", 200, 0}, {"1MiB", 1 << 20, 0}} {
		addrs, _ := benchServers(b, c.size, c.wait)
		for name, at := range benchProxies(b, addrs) {
			b.Run(c.name+"/"+name, func(b *testing.B) {
				for range b.N {
					r := benchLoad(b, at, load.Options{Closed: 32, For: span, Open: 1000, TimeOut: 10 * time.Second})
					b.ReportMetric(float64(r.Ends["served"])/span.Seconds(), "served/s")
					b.ReportMetric(float64(r.P50.Microseconds())/1000, "ms-p50")
					b.ReportMetric(float64(r.P99.Microseconds())/1000, "ms-p99")
				}
			})
		}
	}
	for _, what := range []string{"hang", "fail"} {
		addrs, trouble := benchServers(b, 200, 5*time.Millisecond)
		for name, at := range benchProxies(b, addrs) {
			b.Run(what+"/"+name, func(b *testing.B) {
				for range b.N {
					trouble.Store("")
					rate := load.Options{For: span, Open: 4000, TimeOut: 5 * time.Second, Aim: 500 * time.Millisecond, Rate: func(time.Duration) float64 { return 200 }}
					benchLoad(b, at, rate)
					trouble.Store(what)
					rate.For = 2 * span
					r := benchLoad(b, at, rate)
					b.ReportMetric(100*float64(r.Within)/float64(r.Sent), "%-in-500ms")
				}
			})
		}
		trouble.Store("")
	}
}

func benchLoad(b *testing.B, at string, o load.Options) load.Report {
	b.Helper()
	h, err := load.NewHTTP(load.HTTPOptions{URL: "http://" + at + "/x", Method: http.MethodGet, Kept: 256})
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	r, err := load.Run(b.Context(), h, o)
	if err != nil {
		b.Fatal(err)
	}
	if r.Void != "" {
		b.Log("void: " + r.Void)
	}
	return r
}

// BenchmarkOpenStream gives the heap and stacks that an open stream of events holds, the
// servers' and clients' sides included, as all share a process.
func BenchmarkOpenStream(b *testing.B) {
	const many = 1000
	addr := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "data: x\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		})}
		go s.Serve(l)
		b.Cleanup(func() { s.Close() })
		return l.Addr().String()
	}()
	held := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	for name, through := range map[string]bool{"through": true, "direct": false} {
		b.Run(name, func(b *testing.B) {
			at := addr
			if through {
				at = benchProxies(b, []string{addr})["otterstep"]
			}
			for range b.N {
				before := held()
				var all []net.Conn
				for range many {
					c, err := net.Dial("tcp", at)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.WriteString(c, get("/x"))
					if _, err := io.ReadFull(c, make([]byte, 60)); err != nil {
						b.Fatal(err)
					}
					all = append(all, c)
				}
				b.ReportMetric(float64(held()-before)/many, "B/stream")
				for _, c := range all {
					c.Close()
				}
			}
		})
	}
}
