package conns

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"otterstep/internal/core"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startListener starts a listener and returns the connections that it accepts.
func startListener(t *testing.T) (core.Server, chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	came, ended := make(chan net.Conn, 10), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			came <- c
		}
	}()
	t.Cleanup(func() { l.Close(); <-ended })
	return core.Server{Addr: l.Addr().String()}, came
}

func get(t *testing.T, p *Pool, to core.Server) *Conn {
	t.Helper()
	c, err := p.Get(t.Context(), to)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A pooled connection is reused unless it has not settled, is too old, was closed by the
// server, or has unread data.
func TestReuseOfIdleConnections(t *testing.T) {
	const ever = time.Hour
	for name, c := range map[string]struct {
		idleFor, settle time.Duration
		spoil           func(theirs net.Conn)
		again, open     int // again is 1 if the second Get returns the first connection; open counts connections
	}{
		"sound":     {ever, 0, func(net.Conn) {}, 1, 1},
		"unsettled": {ever, ever, func(net.Conn) {}, 0, 2},
		"old":       {1, 0, func(net.Conn) {}, 0, 1},
		"closed":    {ever, 0, func(c net.Conn) { c.Close() }, 0, 1},
		"unread":    {ever, 0, func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) }, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			to, came := startListener(t)
			p := New(Options{MaxIdle: c.idleFor, ConnectTimeout: 10 * time.Second, SettleTime: c.settle, MaxConns: 8})
			defer p.Close()
			first := get(t, p, to)
			remote := <-came
			defer remote.Close()
			p.Put(first, true)
			if c.spoil(remote); name == "closed" || name == "unread" {
				awaitNotQuiet(first)
			}
			second := get(t, p, to)
			if open, _ := p.Count(); (second == first) != (c.again == 1) || open != c.open {
				t.Errorf("connection reused: %v; %d open, want %d", second == first, open, c.open)
			}
			p.Put(second, false)
			p.Sweep()
			if open, _ := p.Count(); name != "unsettled" && open != 0 {
				t.Errorf("%d connections open after the sweep, want 0", open)
			}
		})
	}
}

// awaitNotQuiet waits until bytes or a close have come on an idle connection.
func awaitNotQuiet(c *Conn) {
	for until := time.Now().Add(10 * time.Second); c.inspect() == connQuiet && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
}

// Guards against second answers that come so late that they meet a connection's next request: the connections of a server
// that has sent bytes nobody asked for are left alone for longer, for a while.
func TestConnectionsSettleLongerBehindUnaskedBytes(t *testing.T) {
	const betweenSettleTimes = (DefaultSettleTime + unaskedSettleTime) / 2
	nothing := func(*Pool, core.Server) {}
	aMinutePasses := func(p *Pool, to core.Server) { p.unasked[to] = p.unasked[to].Add(-unaskedMemory) }
	for name, c := range map[string]struct {
		spoils       bool                     // the server sends bytes on an idle connection
		then         func(*Pool, core.Server) // what happens behind them
		idleFor      time.Duration
		sameConn     bool
		rememberedBy int // servers, behind a sweep
	}{
		"sound server":           {false, nothing, betweenSettleTimes, true, 0},
		"unsettled":              {true, nothing, betweenSettleTimes, false, 1},
		"settled":                {true, nothing, 2 * unaskedSettleTime, true, 1},
		"bytes came long ago":    {true, aMinutePasses, betweenSettleTimes, true, 0},
		"the server was removed": {true, (*Pool).Drop, betweenSettleTimes, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			to, came := startListener(t)
			p := New(Options{MaxIdle: time.Hour, ConnectTimeout: 10 * time.Second, SettleTime: DefaultSettleTime, MaxConns: 8})
			defer p.Close()
			first := get(t, p, to)
			remote := <-came
			defer remote.Close()
			p.Put(first, true)
			if c.spoils {
				_, _ = remote.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
				awaitNotQuiet(first)
			}
			idleSince(p, first, time.Hour/2)
			second := get(t, p, to)
			if (second == first) == c.spoils {
				t.Fatalf("connection reused: %v", second == first)
			}
			c.then(p, to)
			p.Put(second, true)
			idleSince(p, second, c.idleFor)
			third := get(t, p, to)
			if (third == second) != c.sameConn {
				t.Errorf("behind %v: connection reused: %v", c.idleFor, third == second)
			}
			p.Put(third, false)
			p.Sweep()
			if len(p.unasked) != c.rememberedBy {
				t.Errorf("%d servers are remembered, want %d", len(p.unasked), c.rememberedBy)
			}
		})
	}
}

// idleSince makes a pooled connection one that has been idle for so long.
func idleSince(p *Pool, c *Conn, idleFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now().Add(-idleFor)
}

// The connection limit holds: idle connections are evicted to make room, busy ones are not,
// and a dropped server keeps no idle connections.
func TestConnectionLimit(t *testing.T) {
	to, _ := startListener(t)
	other, _ := startListener(t)
	p := New(Options{MaxIdle: time.Hour, ConnectTimeout: 10 * time.Second, MaxConns: 2})
	defer p.Close()
	one, two := get(t, p, to), get(t, p, to)
	if _, err := p.Get(t.Context(), other); !errors.Is(err, ErrExhausted) {
		t.Errorf("Get beyond the limit: %v, want ErrExhausted", err)
	}
	p.Put(one, true)
	three := get(t, p, other)
	if open, idle := p.Count(); open != 2 || idle != 0 {
		t.Errorf("%d open, %d idle; want 2, 0", open, idle)
	}
	p.Put(two, true)
	p.Put(three, true)
	p.Drop(to)
	if open, idle := p.Count(); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle after Drop; want 1, 1", open, idle)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.Get(ctx, to); !errors.Is(err, context.Canceled) {
		t.Errorf("Get with a canceled context: %v, want context.Canceled", err)
	}
	if open, _ := p.Count(); open != 1 {
		t.Errorf("%d open after a failed connect, want 1", open)
	}
}
