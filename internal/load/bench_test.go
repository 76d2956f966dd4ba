package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const benchFor, benchClients = 3 * time.Second, 32

func benchServer(b *testing.B) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }))
	b.Cleanup(s.Close)
	return s.URL
}

// BenchmarkGenerator asks a server that answers at once from a closed loop, in the same
// process: requests a second, against BenchmarkPlainClient's.
func BenchmarkGenerator(b *testing.B) {
	h, err := NewHTTP(HTTPOptions{URL: benchServer(b), Method: http.MethodGet, Kept: benchClients})
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	for range b.N {
		r, err := Run(b.Context(), h, Options{Closed: benchClients, For: benchFor, Open: benchClients, TimeOut: time.Second})
		if err != nil || r.Void != "" {
			b.Fatalf("%v, %s", err, r.Void)
		}
		b.ReportMetric(r.Rate, "req/s")
	}
}

// BenchmarkPlainClient does the same with net/http's client and nothing else.
func BenchmarkPlainClient(b *testing.B) {
	url := benchServer(b)
	t := &http.Transport{MaxIdleConnsPerHost: benchClients}
	defer t.CloseIdleConnections()
	client := &http.Client{Transport: t}
	for range b.N {
		var done atomic.Int64
		var clients sync.WaitGroup
		began := time.Now()
		for range benchClients {
			clients.Go(func() {
				for time.Since(began) < benchFor {
					resp, err := client.Get(url)
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					done.Add(1)
				}
			})
		}
		clients.Wait()
		b.ReportMetric(float64(done.Load())/time.Since(began).Seconds(), "req/s")
	}
}

// BenchmarkOpenLoop finds the greatest rate that the generator keeps to, at a server that
// answers at once.
func BenchmarkOpenLoop(b *testing.B) {
	h, err := NewHTTP(HTTPOptions{URL: benchServer(b), Method: http.MethodGet, Kept: 256})
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	for range b.N {
		k, err := FindKnee(b.Context(), h, Options{For: benchFor, Open: 1024, TimeOut: time.Second}, KneeOptions{From: 2000, P99: 20 * time.Millisecond, Share: 0.999, Steps: 12})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(k.Best, "req/s")
	}
}
