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

// benchDesk opens servers and a way to them: the front, or the minimal proxy.
func benchDesk(b *testing.B, plain bool, servers int) (addr string, all []*sipua.Server, f *desk) {
	b.Helper()
	var addrs []string
	if plain {
		for range servers {
			s, err := sipua.NewServer(sipua.Options{Transport: "udp", T1: transaction.Standard().T1}, sipua.RingAndAnswer)
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
	f = open(b, deskOptions{servers: servers, timing: transaction.Standard(), change: func(c *Config) {
		c.Class.Invite.Aim.Duration, c.Class.Invite.Deadline.Duration = 500*time.Millisecond, 4*time.Second
		c.Limits.Transactions, c.Limits.PerSource = 2_000_000, 2_000_000
		c.Ping.Duration = 200 * time.Millisecond
	}})
	return f.front.Listen()["udp"], f.servers, f
}

// calls runs calls (INVITE, 180, 200, ACK, BYE, 200) through addr: by 32 clients that each
// make one after the other, or with a rate at that many a second whatever comes back.
func calls(b *testing.B, addr string, rate float64, d time.Duration) load.Report {
	b.Helper()
	c, err := sipua.NewCalls(sipua.CallsOptions{URL: "sip:" + addr, T1: transaction.Standard().T1, AwaitBye: rate == 0})
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

// BenchmarkSIPCalls gives calls a second at most, setup times at half and nine tenths of
// that, and the share of calls set up within the aim of 500 ms while one of four servers
// hangs, for the front and for a minimal proxy with a random server.
func BenchmarkSIPCalls(b *testing.B) {
	const span = 4 * time.Second
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	for _, plain := range []bool{false, true} {
		name := map[bool]string{false: "otterstep", true: "plain"}[plain]
		b.Run(name, func(b *testing.B) {
			for range b.N {
				addr, servers, _ := benchDesk(b, plain, 4)
				most := calls(b, addr, 0, span)
				best := float64(most.Outcomes["served"]) / span.Seconds()
				b.ReportMetric(best, "calls/s")
				for _, part := range []float64{0.5, 0.9} {
					r := calls(b, addr, best*part, span)
					label := map[float64]string{0.5: "-at-50%", 0.9: "-at-90%"}[part]
					b.ReportMetric(ms(r.P50), "ms-p50"+label)
					b.ReportMetric(ms(r.P99), "ms-p99"+label)
				}
				servers[0].Hang(true)
				r := calls(b, addr, 100, 2*span)
				b.ReportMetric(100*float64(r.Within)/float64(r.Sent), "%-within-aim-one-hangs")
				servers[0].Hang(false)
			}
		})
	}
}

// heap gives the bytes of live objects and stacks.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkSIPMemory gives the bytes that the front holds for a call that rings, for one
// that was ended and lingers, and for an idle connection. The stand-ins hold memory too:
// the callers' side is raw sockets, and what a server holds is taken off by asking the
// servers alone as many.
func BenchmarkSIPMemory(b *testing.B) {
	const many = 2000
	for range b.N {
		ringing := func(through bool) (per float64) {
			d := open(b, deskOptions{timing: transaction.Standard(), script: func(c *sipua.Call) { c.Reply(180) }, change: func(c *Config) {
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
			before := heap()
			for n := range many {
				q := sipua.Request{Method: "INVITE", Via: "SIP/2.0/UDP " + conn.LocalAddr().String() + ";rport;branch=z9hG4bKm" + string(rune('a'+n%26)) + time.Now().Format("150405.000000000")}
				if _, err := conn.Write(d.caller.Write(&q)); err != nil {
					b.Fatal(err)
				}
				if !d.servers[0].Await("INVITE", q.CallID, 1, limit) {
					b.Fatal("lost")
				}
			}
			return float64(heap()-before) / many
		}
		through, alone := ringing(true), ringing(false)
		b.ReportMetric(through-alone, "B/ringing-call")

		d := open(b, deskOptions{transport: "tcp", change: func(c *Config) { c.Limits.Connections = many + 10 }})
		conns := make([]net.Conn, many)
		before := heap()
		for n := range conns {
			var err error
			if conns[n], err = net.Dial("tcp", d.front.Listen()["tcp"]); err != nil {
				b.Fatal(err)
			}
			defer conns[n].Close()
		}
		d.await("connections", func(v View) bool { return v.Connections >= many })
		b.ReportMetric(float64(heap()-before)/many, "B/idle-connection")
	}
}
