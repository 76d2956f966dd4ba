package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"
)

// BenchmarkFleetSize measures the simulated requests per second of one thread and the peak
// heap for fleets of 10, 100 and 1,000 nodes. Each node gets 500 requests per second, except
// where 1,000 nodes share 1,000 servers, which can serve no more than 50,000.
func BenchmarkFleetSize(b *testing.B) {
	large, err := os.ReadFile(filepath.Join("..", "..", "experiments", "large.toml"))
	if err != nil {
		b.Fatal(err)
	}
	text, _, _ := strings.Cut(string(large), "[[fault]]")
	for _, size := range []struct {
		nodes, servers, rate int
		long                 string
	}{{10, 100, 5000, "10s"}, {100, 1000, 50_000, "5s"}, {1000, 1000, 50_000, "5s"}} {
		b.Run(fmt.Sprintf("%d-nodes-%d-servers", size.nodes, size.servers), func(b *testing.B) {
			x, err := parseText("large", []byte(strings.NewReplacer(
				"nodes = 100", fmt.Sprint("nodes = ", size.nodes), "servers = 1000", fmt.Sprint("servers = ", size.servers),
				"rate = 1500.0", fmt.Sprint("rate = ", size.rate, ".0"), `for = "6s"`, fmt.Sprintf("for = %q", size.long),
			).Replace(text)))
			if err != nil {
				b.Fatal(err)
			}
			asked, peakHeap := uint64(0), uint64(0)
			for range b.N {
				runtime.GC()
				runEnded, sampled := make(chan struct{}), make(chan struct{})
				go func() {
					defer close(sampled)
					for every := time.NewTicker(100 * time.Millisecond); ; {
						var m runtime.MemStats
						runtime.ReadMemStats(&m)
						peakHeap = max(peakHeap, m.HeapAlloc)
						select {
						case <-every.C:
						case <-runEnded:
							every.Stop()
							return
						}
					}
				}()
				r, err := x.runSeed(1)
				close(runEnded)
				<-sampled
				if err != nil {
					b.Fatal(err)
				}
				if len(r.Results.Broken) > 0 {
					b.Fatal(r.Results.First)
				}
				asked += r.Results.Asked
			}
			b.ReportMetric(float64(asked)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64(peakHeap)/(1<<20), "MiB")
		})
	}
}
