package faults

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts an echo server behind a relay and returns the relay and its socket.
func echo(t *testing.T) (*Relay, string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "of") // short, since a socket's path is limited in length
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	l, err := net.Listen("unix", filepath.Join(dir, "to"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	at := filepath.Join(dir, "at")
	r, err := NewRelay(at, l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r, at
}

type lineConn struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, at string) *lineConn {
	t.Helper()
	c, err := net.Dial("unix", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &lineConn{c, bufio.NewReader(c)}
}

// sendLine sends a line and waits for the answer for up to wait.
func (l *lineConn) sendLine(text string, wait time.Duration) (string, error) {
	if _, err := fmt.Fprintln(l, text); err != nil {
		return "", err
	}
	return l.readLine(wait)
}

func (l *lineConn) readLine(wait time.Duration) (string, error) {
	if err := l.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	return l.r.ReadString('\n')
}

const (
	responseTimeout = 10 * time.Second
	silencePeriod   = 50 * time.Millisecond
)

// Held data arrives complete when the direction passes again. Cut data never arrives, and its
// stream is reset when the direction passes again. Streams that a mode does not apply to pass.
func TestRelayModes(t *testing.T) {
	for name, back := range map[string]bool{"there": false, "back": true} {
		t.Run(name, func(t *testing.T) {
			r, at := echo(t)
			set := func(m Mode) {
				if back {
					r.Set(Pass, m)
				} else {
					r.Set(m, Pass)
				}
			}
			l := dial(t, at)
			if got, err := l.sendLine("a", responseTimeout); err != nil || got != "a\n" {
				t.Fatalf("%q, %v", got, err)
			}
			set(Hold)
			if got, err := l.sendLine("b", silencePeriod); err == nil {
				t.Errorf("held, and answered %q", got)
			}
			set(Pass)
			if got, err := l.readLine(responseTimeout); err != nil || got != "b\n" {
				t.Errorf("late: %q, %v", got, err)
			}
			set(Cut)
			if got, err := l.sendLine("c", silencePeriod); err == nil {
				t.Errorf("cut, and answered %q", got)
			}
			set(Pass)
			if got, err := l.readLine(responseTimeout); err == nil {
				t.Errorf("a stream that was cut goes on: %q", got)
			}
			set(Reset)
			if got, err := dial(t, at).sendLine("d", responseTimeout); err == nil {
				t.Errorf("reset, and answered %q", got)
			}
			set(Pass)
			if got, err := dial(t, at).sendLine("e", responseTimeout); err != nil || got != "e\n" {
				t.Errorf("healed: %q, %v", got, err)
			}
		})
	}
	t.Run("one kind, from a sender that is gone", func(t *testing.T) {
		r, at := echo(t)
		r.HoldOnly("/run/")
		l := dial(t, at)
		if got, err := l.sendLine("other", responseTimeout); err != nil || got != "other\n" {
			t.Errorf("%q, %v", got, err)
		}
		if got, err := l.sendLine("POST /run/ x", silencePeriod); err == nil || r.Held() != 1 {
			t.Errorf("%q, %d held", got, r.Held())
		}
		if got, err := dial(t, at).sendLine("another stream", responseTimeout); err != nil {
			t.Errorf("%q, %v", got, err)
		}
		r.Set(Pass, Pass)
		if got, err := l.readLine(responseTimeout); err != nil || got != "POST /run/ x\n" {
			t.Errorf("late: %q, %v", got, err)
		}
	})
	t.Run("delay", func(t *testing.T) {
		r, at := echo(t)
		r.Delay(silencePeriod)
		began := time.Now()
		if got, err := dial(t, at).sendLine("a", responseTimeout); err != nil || time.Since(began) < 2*silencePeriod {
			t.Errorf("%q after %v, %v", got, time.Since(began), err)
		}
	})
}

// A seed always gives the same schedule, and schedules contain each kind of fault.
func TestSchedulesAreDeterministic(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(100) {
		a, b := Draw(seed, 5, 20, time.Second, seed%2 == 0), Draw(seed, 5, 20, time.Second, seed%2 == 0)
		if a.String() != b.String() || len(a) < 20 {
			t.Fatalf("seed %d: %s\n%s", seed, a, b)
		}
		for _, f := range a {
			kinds[f.Kind] = true
			if f.Agent == f.Other && f.Kind != Submit {
				t.Errorf("seed %d: %v", seed, f)
			}
		}
	}
	for _, k := range Kinds {
		if !kinds[k] {
			t.Errorf("no %s in 100 seeds", k)
		}
	}
}
