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

// benchServers starts nine net/http servers that answer with size bytes after wait. Storing
// "hang" or "fail" in fault makes the first one hang or answer 500.
func benchServers(b *testing.B, size int, wait time.Duration) (addrs []string, fault *atomic.Value) {
	b.Helper()
	fault = &atomic.Value{}
	fault.Store("")
	text := bytes.Repeat([]byte("x"), size)
	for i := range 9 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case i == 0 && fault.Load() == "hang":
				<-r.Context().Done()
				return
			case i == 0 && fault.Load() == "fail":
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
	return addrs, fault
}

// benchProxies starts the front, and net/http's ReverseProxy with random selection of
// servers, and returns their addresses.
func benchProxies(b *testing.B, addrs []string) map[string]string {
	b.Helper()
	text := "[[web]]\nlisten = \"127.0.0.1:0\"\n[[web.class]]\nname = \"d\"\naim = \"500ms\"\ndeadline = \"5s\"\n"
	for i, a := range addrs {
		text += fmt.Sprintf("[[web.server]]\nname = \"s%d\"\naddress = %q\n", i, a)
	}
	r := &fixture{t: b}
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

// BenchmarkWeb compares the front with net/http's ReverseProxy, one after the other in one
// process. It measures throughput and latency with 32 clients in a closed loop, and the share
// of requests answered within 500 ms, at 200 requests per second, while one of nine servers
// hangs or fails fast.
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
					r := benchLoad(b, at, load.Options{ClosedClients: 32, Duration: span, MaxOpen: 1000, Timeout: 10 * time.Second})
					b.ReportMetric(float64(r.Outcomes["served"])/span.Seconds(), "served/s")
					b.ReportMetric(float64(r.P50.Microseconds())/1000, "ms-p50")
					b.ReportMetric(float64(r.P99.Microseconds())/1000, "ms-p99")
				}
			})
		}
	}
	for _, mode := range []string{"hang", "fail"} {
		addrs, fault := benchServers(b, 200, 5*time.Millisecond)
		for name, at := range benchProxies(b, addrs) {
			b.Run(mode+"/"+name, func(b *testing.B) {
				for range b.N {
					fault.Store("")
					rate := load.Options{Duration: span, MaxOpen: 4000, Timeout: 5 * time.Second, Aim: 500 * time.Millisecond, Rate: func(time.Duration) float64 { return 200 }}
					benchLoad(b, at, rate)
					fault.Store(mode)
					rate.Duration = 2 * span
					r := benchLoad(b, at, rate)
					b.ReportMetric(100*float64(r.Within)/float64(r.Sent), "%-in-500ms")
				}
			})
		}
		fault.Store("")
	}
}

func benchLoad(b *testing.B, at string, o load.Options) load.Report {
	b.Helper()
	h, err := load.NewHTTP(load.HTTPOptions{URL: "http://" + at + "/x", Method: http.MethodGet, MaxIdlePerSource: 256})
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

// BenchmarkOpenStream measures heap and stack memory per open event stream. It includes the
// client's and the server's side, which run in the same process.
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
	memoryInUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	for name, proxied := range map[string]bool{"through": true, "direct": false} {
		b.Run(name, func(b *testing.B) {
			at := addr
			if proxied {
				at = benchProxies(b, []string{addr})["otterstep"]
			}
			for range b.N {
				before := memoryInUse()
				var all []net.Conn
				for range many {
					c, err := net.Dial("tcp", at)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.WriteString(c, getRequest("/x"))
					if _, err := io.ReadFull(c, make([]byte, 60)); err != nil {
						b.Fatal(err)
					}
					all = append(all, c)
				}
				b.ReportMetric(float64(memoryInUse()-before)/many, "B/stream")
				for _, c := range all {
					c.Close()
				}
			}
		})
	}
}
