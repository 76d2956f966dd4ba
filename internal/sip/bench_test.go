package sip

import (
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/sip/transaction"
	"otterstep/internal/standin/sipua"
)

// benchDesk opens servers and a way to them: the front, or the minimal proxy.
func benchDesk(b *testing.B, plain bool, servers int) (addr string, all []*sipua.Server, f *desk) {
	b.Helper()
	var addrs []string
	if plain {
		for range servers {
			s, err := sipua.NewServer(sipua.Options{Transport: "udp", T1: transaction.Standard().T1}, sipua.Answer)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(s.Close)
			all, addrs = append(all, s), append(addrs, s.Addr())
		}
		p, err := sipua.NewPlain(addrs)
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

// callers run whole calls (INVITE, 180, 200, ACK, BYE, 200) through addr: as fast as they
// can with rate 0, else at that many a second whatever comes back. It gives calls a
// second and the setup times of those that were answered.
func callers(b *testing.B, addr string, rate float64, d time.Duration) (perSecond float64, setups []time.Duration, begun int64) {
	b.Helper()
	const many = 8
	var mu sync.Mutex
	var all, calls sync.WaitGroup
	var ended, started atomic.Int64
	end := time.Now().Add(d)
	for range many {
		c, err := sipua.NewCaller(sipua.Options{Proxy: addr, Transport: "udp", T1: transaction.Standard().T1})
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		call := func() {
			at := time.Now()
			started.Add(1)
			tx := c.Send(sipua.Request{Method: "INVITE"})
			if tx.Final(5*time.Second) != 200 {
				return
			}
			mu.Lock()
			setups = append(setups, time.Since(at))
			mu.Unlock()
			q := tx.Dialog()
			q.Method = "BYE"
			if c.Send(q).Final(5*time.Second) == 200 && time.Now().Before(end) {
				ended.Add(1)
			}
		}
		if rate == 0 {
			for range 4 {
				all.Go(func() {
					for time.Now().Before(end) {
						call()
					}
				})
			}
			continue
		}
		all.Go(func() {
			every := time.NewTicker(time.Duration(many / rate * float64(time.Second)))
			defer every.Stop()
			for time.Now().Before(end) {
				<-every.C
				calls.Go(call)
			}
		})
	}
	all.Wait()
	calls.Wait()
	slices.Sort(setups)
	return float64(ended.Load()) / d.Seconds(), setups, started.Load()
}

// BenchmarkSIPCalls gives calls a second at most, setup times at half and nine tenths of
// that, and the share of calls set up within the aim of 500 ms while one of four servers
// hangs, for the front and for a minimal proxy with a random server.
func BenchmarkSIPCalls(b *testing.B) {
	const span = 4 * time.Second
	for _, plain := range []bool{false, true} {
		name := map[bool]string{false: "otterstep", true: "plain"}[plain]
		b.Run(name, func(b *testing.B) {
			for range b.N {
				addr, servers, _ := benchDesk(b, plain, 4)
				most, _, _ := callers(b, addr, 0, span)
				b.ReportMetric(most, "calls/s")
				for _, part := range []float64{0.5, 0.9} {
					_, setups, _ := callers(b, addr, most*part, span)
					label := map[float64]string{0.5: "-at-50%", 0.9: "-at-90%"}[part]
					b.ReportMetric(quantile(setups, 0.5), "ms-p50"+label)
					b.ReportMetric(quantile(setups, 0.99), "ms-p99"+label)
				}
				servers[0].Hang(true)
				_, setups, begun := callers(b, addr, 100, 2*span)
				within := 0
				for _, s := range setups {
					if s <= 500*time.Millisecond {
						within++
					}
				}
				b.ReportMetric(100*float64(within)/float64(begun), "%-within-aim-one-hangs")
				servers[0].Hang(false)
			}
		})
	}
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return -1
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
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
