package group_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	. "otterstep/internal/fleet/group" // agents import it, which these tests start
	"otterstep/internal/fleet/protocol"
)

// quantiles reports the p50 and p99 of times, in milliseconds.
func quantiles(b *testing.B, times []time.Duration) {
	b.Helper()
	slices.Sort(times)
	ms := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))]) / float64(time.Millisecond)
	}
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.99), "p99-ms")
}

// addHangingAgents adds agents that accept connections and never answer.
func addHangingAgents(b *testing.B, hosts []*host, n int) []*host {
	b.Helper()
	for i := range n {
		h := &host{name: fmt.Sprintf("h%02d", i), socket: filepath.Join(shortTempDir(b), "s")}
		l, err := net.Listen("unix", h.socket)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() { io.Copy(io.Discard, c); c.Close() }()
			}
		}()
		hosts = append(hosts, h)
	}
	return hosts
}

// BenchmarkFleet measures list and inspect of 1,000 stand-in instances under ten
// agents, without and with three more agents that hang, within a time limit of 2 s.
// "one by one" corresponds to a shell loop over the instances, without the cost of
// starting processes.
func BenchmarkFleet(b *testing.B) {
	good := startHosts(b, 10, 100)
	for _, silent := range []int{0, 3} {
		f := newFleet(b, addHangingAgents(b, good, silent))
		limit := 2 * time.Second
		run := func(name string, do func(ctx context.Context) int) {
			b.Run(fmt.Sprintf("%s/hanging=%d", name, silent), func(b *testing.B) {
				var times []time.Duration
				for b.Loop() {
					ctx, cancel := context.WithTimeout(b.Context(), limit)
					began := time.Now()
					if n := do(ctx); n != 1000 {
						b.Fatalf("%d of 1,000 instances", n)
					}
					times = append(times, time.Since(began))
					cancel()
				}
				quantiles(b, times)
			})
		}
		run("list", func(ctx context.Context) int { return len(f.List(ctx).Rows) })
		run("inspect", func(ctx context.Context) int {
			n := 0
			for _, i := range f.Inspect(ctx, f.ListForSelection(ctx).Rows) {
				if i.Inspection != nil {
					n++
				}
			}
			return n
		})
		if silent == 0 {
			run("inspect one by one", func(ctx context.Context) int {
				n := 0
				for _, r := range f.List(ctx).Rows {
					if _, err := f.Client(r.Agent).Inspect(ctx, r.Name); err == nil {
						n++
					}
				}
				return n
			})
		}
	}
}

// BenchmarkOperations measures whole operations (command, start, steps and end, each
// synced to disk) on one agent: one restart at a time, and 100 instances in one command.
func BenchmarkOperations(b *testing.B) {
	hosts := startHosts(b, 1, 100)
	f := newFleet(b, hosts)
	for name, s := range map[string]Selector{"one": {Names: []string{"n1"}}, "hundred": {Names: []string{"all"}}} {
		b.Run(name, func(b *testing.B) {
			ops := 0
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
				r, err := f.Execute(ctx, Order{Plan: Plan{Kind: protocol.Restart}, Select: s})
				cancel()
				if err != nil || r.Conflict != nil {
					b.Fatal(err, r)
				}
				ops += len(r.Results)
			}
			b.ReportMetric(float64(ops)/b.Elapsed().Seconds(), "ops/s")
		})
	}
}

// BenchmarkIdle measures the cost of an idle supervised instance to its agent: heap
// and stacks, and CPU over 5 s.
func BenchmarkIdle(b *testing.B) {
	used := func() (bytes uint64, cpu time.Duration) {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return m.HeapInuse + m.StackInuse, time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	before, _ := used()
	startHosts(b, 1, 1000)
	after, cpu := used()
	const watched = 5 * time.Second
	for b.Loop() {
		time.Sleep(watched)
	}
	_, later := used()
	b.ReportMetric(float64(after-before)/1000, "bytes/instance")
	b.ReportMetric(float64(later-cpu)/float64(b.Elapsed())*1e6/1000, "cpu-µs/instance/s")
}
