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

const benchDuration, benchClients = 3 * time.Second, 32

func benchServer(b *testing.B) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") }))
	b.Cleanup(s.Close)
	return s.URL
}

// BenchmarkGenerator measures the closed loop's requests per second against a server in the
// same process that answers immediately, for comparison with BenchmarkPlainClient.
func BenchmarkGenerator(b *testing.B) {
	h, err := NewHTTP(HTTPOptions{URL: benchServer(b), Method: http.MethodGet, MaxIdlePerSource: benchClients})
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	for range b.N {
		r, err := Run(b.Context(), h, Options{ClosedClients: benchClients, Duration: benchDuration, MaxOpen: benchClients, Timeout: time.Second})
		if err != nil || r.Void != "" {
			b.Fatalf("%v, %s", err, r.Void)
		}
		b.ReportMetric(r.Rate, "req/s")
	}
}

// BenchmarkPlainClient measures the same with only net/http's client.
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
				for time.Since(began) < benchDuration {
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

// BenchmarkOpenLoop finds the highest rate that the generator sustains against a server
// that answers immediately.
func BenchmarkOpenLoop(b *testing.B) {
	h, err := NewHTTP(HTTPOptions{URL: benchServer(b), Method: http.MethodGet, MaxIdlePerSource: 256})
	if err != nil {
		b.Fatal(err)
	}
	defer h.Close()
	for range b.N {
		k, err := FindKnee(b.Context(), h, Options{Duration: benchDuration, MaxOpen: 1024, Timeout: time.Second}, KneeOptions{StartRate: 2000, MaxP99: 20 * time.Millisecond, MinServed: 0.999, MaxSteps: 12})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(k.Best, "req/s")
	}
}
