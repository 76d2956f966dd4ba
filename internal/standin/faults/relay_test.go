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

// echo answers each line with itself, and gives the ways to it through a relay.
func echo(t *testing.T) (*Relay, string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "of") // short: a socket's path is bounded
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

type line struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, at string) *line {
	t.Helper()
	c, err := net.Dial("unix", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &line{c, bufio.NewReader(c)}
}

// says sends a line and waits so long for the answer.
func (l *line) says(text string, wait time.Duration) (string, error) {
	if _, err := fmt.Fprintln(l, text); err != nil {
		return "", err
	}
	return l.hears(wait)
}

func (l *line) hears(wait time.Duration) (string, error) {
	if err := l.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	return l.r.ReadString('\n')
}

const (
	soon = 10 * time.Second
	not  = 50 * time.Millisecond
)

// What is held comes late and whole; what is cut never comes, and its stream breaks when the
// way is whole again; others pass.
func TestRelayBreaksWhatItIsTold(t *testing.T) {
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
			if got, err := l.says("a", soon); err != nil || got != "a\n" {
				t.Fatalf("%q, %v", got, err)
			}
			set(Hold)
			if got, err := l.says("b", not); err == nil {
				t.Errorf("held, and answered %q", got)
			}
			set(Pass)
			if got, err := l.hears(soon); err != nil || got != "b\n" {
				t.Errorf("late: %q, %v", got, err)
			}
			set(Cut)
			if got, err := l.says("c", not); err == nil {
				t.Errorf("cut, and answered %q", got)
			}
			set(Pass)
			if got, err := l.hears(soon); err == nil {
				t.Errorf("a stream that was cut goes on: %q", got)
			}
			set(Reset)
			if got, err := dial(t, at).says("d", soon); err == nil {
				t.Errorf("reset, and answered %q", got)
			}
			set(Pass)
			if got, err := dial(t, at).says("e", soon); err != nil || got != "e\n" {
				t.Errorf("healed: %q, %v", got, err)
			}
		})
	}
	t.Run("one kind, from a sender that is gone", func(t *testing.T) {
		r, at := echo(t)
		r.HoldOnly("/run/")
		l := dial(t, at)
		if got, err := l.says("other", soon); err != nil || got != "other\n" {
			t.Errorf("%q, %v", got, err)
		}
		if got, err := l.says("POST /run/ x", not); err == nil || r.Held() != 1 {
			t.Errorf("%q, %d held", got, r.Held())
		}
		if got, err := dial(t, at).says("another stream", soon); err != nil {
			t.Errorf("%q, %v", got, err)
		}
		r.Set(Pass, Pass)
		if got, err := l.hears(soon); err != nil || got != "POST /run/ x\n" {
			t.Errorf("late: %q, %v", got, err)
		}
	})
	t.Run("delay", func(t *testing.T) {
		r, at := echo(t)
		r.Delay(not)
		began := time.Now()
		if got, err := dial(t, at).says("a", soon); err != nil || time.Since(began) < 2*not {
			t.Errorf("%q after %v, %v", got, time.Since(began), err)
		}
	})
}

// One seed, one schedule; and schedules have every kind of fault.
func TestSchedulesComeFromTheirSeeds(t *testing.T) {
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
