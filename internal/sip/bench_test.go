package sip

import (
	"net"
	"runtime"
	"testing"
	"time"

	"otterstep/internal/load"
	"otterstep/internal/sip/transaction"
	"otterstep/internal/standin/sipua"
)

// startBench starts servers, and the front or the baseline proxy before them.
func startBench(b *testing.B, baseline bool, servers int) (addr string, all []*sipua.Server, f *testFront) {
	b.Helper()
	var addrs []string
	if baseline {
		for range servers {
			s, err := sipua.NewServer(sipua.Options{Transport: "udp", T1: transaction.DefaultTiming().T1}, sipua.RingAndAnswer)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(s.Close)
			all, addrs = append(all, s), append(addrs, s.Addr())
		}
		p, err := sipua.NewBaselineProxy(addrs)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(p.Close)
		return p.Addr(), all, nil
	}
	f = startTestFront(b, testFrontOptions{servers: servers, timing: transaction.DefaultTiming(), modify: func(c *Config) {
		c.Class.Invite.Aim.Duration, c.Class.Invite.Deadline.Duration = 500*time.Millisecond, 4*time.Second
		c.Limits.Transactions, c.Limits.PerSource = 2_000_000, 2_000_000
		c.Ping.Duration = 200 * time.Millisecond
	}})
	return f.front.Listen()["udp"], f.servers, f
}

// runCalls runs calls (INVITE, 180, 200, ACK, BYE, 200) through addr. With rate 0, 32 clients each
// make one call after the other; otherwise calls start at rate per second, independent of the
// responses.
func runCalls(b *testing.B, addr string, rate float64, d time.Duration) load.Report {
	b.Helper()
	c, err := sipua.NewCalls(sipua.CallsOptions{URL: "sip:" + addr, T1: transaction.DefaultTiming().T1, AwaitBye: rate == 0})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	o := load.Options{Duration: d, Steady: true, MaxOpen: 20_000, Timeout: 5 * time.Second, Aim: 500 * time.Millisecond}
	if rate == 0 {
		o.ClosedClients = 32
	} else {
		o.Rate = func(time.Duration) float64 { return rate }
	}
	r, err := load.Run(b.Context(), c, o)
	if err != nil {
		b.Fatal(err)
	}
	if r.Void != "" {
		b.Log("void: " + r.Void)
	}
	return r
}

// BenchmarkSIPCalls measures the maximum calls per second, setup times at 50% and 90% of that,
// and the share of calls set up within the aim of 500 ms while one of four servers hangs, for
// the front and for a baseline proxy that chooses servers at random.
func BenchmarkSIPCalls(b *testing.B) {
	const span = 4 * time.Second
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	for _, baseline := range []bool{false, true} {
		name := map[bool]string{false: "otterstep", true: "plain"}[baseline]
		b.Run(name, func(b *testing.B) {
			for range b.N {
				addr, servers, _ := startBench(b, baseline, 4)
				most := runCalls(b, addr, 0, span)
				best := float64(most.Outcomes["served"]) / span.Seconds()
				b.ReportMetric(best, "calls/s")
				for _, part := range []float64{0.5, 0.9} {
					r := runCalls(b, addr, best*part, span)
					label := map[float64]string{0.5: "-at-50%", 0.9: "-at-90%"}[part]
					b.ReportMetric(ms(r.P50), "ms-p50"+label)
					b.ReportMetric(ms(r.P99), "ms-p99"+label)
				}
				servers[0].Hang(true)
				r := runCalls(b, addr, 100, 2*span)
				b.ReportMetric(100*float64(r.Within)/float64(r.Sent), "%-within-aim-one-hangs")
				servers[0].Hang(false)
			}
		})
	}
}

// liveBytes returns the bytes of live heap objects and of stacks.
func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkSIPMemory measures the memory that the front holds for a ringing call and for an
// idle connection. Stand-in user agents in the same process hold memory too. Callers are
// therefore raw sockets, and the servers' share is subtracted by measuring the same number of
// calls without the front.
func BenchmarkSIPMemory(b *testing.B) {
	const many = 2000
	for range b.N {
		ringing := func(through bool) (per float64) {
			d := startTestFront(b, testFrontOptions{timing: transaction.DefaultTiming(), script: func(c *sipua.Call) { c.Reply(180) }, modify: func(c *Config) {
				c.Limits.Transactions, c.Limits.PerSource = 2*many, 2*many
			}})
			to := d.front.Listen()["udp"]
			if !through {
				to = d.servers[0].Addr()
			}
			conn, err := net.Dial("udp", to)
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			before := liveBytes()
			for n := range many {
				q := sipua.Request{Method: "INVITE", Via: "SIP/2.0/UDP " + conn.LocalAddr().String() + ";rport;branch=z9hG4bKm" + string(rune('a'+n%26)) + time.Now().Format("150405.000000000")}
				if _, err := conn.Write(d.caller.Write(&q)); err != nil {
					b.Fatal(err)
				}
				if !d.servers[0].Await("INVITE", q.CallID, 1, waitLimit) {
					b.Fatal("lost")
				}
			}
			return float64(liveBytes()-before) / many
		}
		through, alone := ringing(true), ringing(false)
		b.ReportMetric(through-alone, "B/ringing-call")

		d := startTestFront(b, testFrontOptions{transport: "tcp", modify: func(c *Config) { c.Limits.Connections = many + 10 }})
		conns := make([]net.Conn, many)
		before := liveBytes()
		for n := range conns {
			var err error
			if conns[n], err = net.Dial("tcp", d.front.Listen()["tcp"]); err != nil {
				b.Fatal(err)
			}
			defer conns[n].Close()
		}
		d.await("connections", func(v View) bool { return v.Connections >= many })
		b.ReportMetric(float64(liveBytes()-before)/many, "B/idle-connection")
	}
}
