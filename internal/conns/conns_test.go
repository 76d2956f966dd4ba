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

// peer accepts connections and hands them to the test.
func peer(t *testing.T) (core.Server, chan net.Conn) {
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

// A kept connection is used again unless it has not settled, is old, is closed by the
// server, or has something unread on it: none of these carries a request.
func TestOnlySoundConnectionsAreUsedAgain(t *testing.T) {
	const ever = time.Hour
	for name, c := range map[string]struct {
		idleFor, settle time.Duration
		spoil           func(theirs net.Conn)
		again, open     int // the second Get gives the first connection; connections then
	}{
		"sound":     {ever, 0, func(net.Conn) {}, 1, 1},
		"unsettled": {ever, ever, func(net.Conn) {}, 0, 2},
		"old":       {1, 0, func(net.Conn) {}, 0, 1},
		"closed":    {ever, 0, func(c net.Conn) { c.Close() }, 0, 1},
		"unread":    {ever, 0, func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) }, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			to, came := peer(t)
			p := New(Options{IdleFor: c.idleFor, Connect: 10 * time.Second, Settle: c.settle, Most: 8})
			defer p.Close()
			first := get(t, p, to)
			theirs := <-came
			defer theirs.Close()
			p.Put(first, true)
			if c.spoil(theirs); name == "closed" || name == "unread" {
				for until := time.Now().Add(10 * time.Second); first.quiet() && time.Now().Before(until); {
					time.Sleep(time.Millisecond)
				}
			}
			second := get(t, p, to)
			if open, _ := p.Count(); (second == first) != (c.again == 1) || open != c.open {
				t.Errorf("the same again: %v; %d open, want %d", second == first, open, c.open)
			}
			p.Put(second, false)
			p.Sweep()
			if open, _ := p.Count(); name != "unsettled" && open != 0 {
				t.Errorf("%d open in the end", open)
			}
		})
	}
}

// The bound holds: what is idle makes room, what is busy does not, and a server that is
// gone keeps none.
func TestBound(t *testing.T) {
	to, _ := peer(t)
	other, _ := peer(t)
	p := New(Options{IdleFor: time.Hour, Connect: 10 * time.Second, Most: 2})
	defer p.Close()
	one, two := get(t, p, to), get(t, p, to)
	if _, err := p.Get(t.Context(), other); !errors.Is(err, ErrNone) {
		t.Errorf("beyond the bound: %v", err)
	}
	p.Put(one, true)
	three := get(t, p, other)
	if open, idle := p.Count(); open != 2 || idle != 0 {
		t.Errorf("%d open, %d idle", open, idle)
	}
	p.Put(two, true)
	p.Put(three, true)
	p.Drop(to)
	if open, idle := p.Count(); open != 1 || idle != 1 {
		t.Errorf("%d open, %d idle after one server is gone", open, idle)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := p.Get(ctx, to); !errors.Is(err, context.Canceled) {
		t.Errorf("given up: %v", err)
	}
	if open, _ := p.Count(); open != 1 {
		t.Errorf("%d open after a connection that did not come up", open)
	}
}
