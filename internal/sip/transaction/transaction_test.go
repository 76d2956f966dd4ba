package transaction

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// fires runs a machine's timers and gives when each fired and what it gave.
func fires(m *Machine, from time.Duration) (at []int64, last Act) {
	for due := m.Due(); due > 0; due = m.Due() {
		if due < from {
			panic("a timer that is due before now")
		}
		from = due
		if last = m.Fire(due); last&(Transmit|Ended) != 0 {
			at = append(at, due.Milliseconds())
		}
	}
	return at, last
}

// The schedule of each timer, with the RFC's values.
func TestTimers(t *testing.T) {
	const start = 1000 * ms
	client := func(invite, reliable bool, codes ...int) Machine {
		m := NewClient(start, Standard(), invite, reliable)
		for _, c := range codes {
			m.Response(start, c)
		}
		return m
	}
	server := func(invite, reliable bool, codes ...int) Machine {
		m := NewServer(Standard(), invite, reliable)
		for _, c := range codes {
			m.Respond(start, c)
		}
		return m
	}
	for _, c := range []struct {
		name string
		m    Machine
		want []int64
		last Act
	}{
		{"A and B", client(true, false), []int64{1500, 2500, 4500, 8500, 16500, 32500, 33000}, TimedOut | Ended},
		{"B alone", client(true, true), []int64{33000}, TimedOut | Ended},
		{"an INVITE that rings", client(true, false, 180), nil, 0},
		{"D", client(true, false, 486), []int64{33000}, Ended},
		{"no D", client(true, true, 486), nil, 0},
		{"M", client(true, true, 200), []int64{33000}, Ended},
		{"E and F", client(false, false), []int64{1500, 2500, 4500, 8500, 12500, 16500, 20500, 24500, 28500, 32500, 33000}, TimedOut | Ended},
		{"F alone", client(false, true), []int64{33000}, TimedOut | Ended},
		{"E after a 100", client(false, false, 100), []int64{1500, 5500, 9500, 13500, 17500, 21500, 25500, 29500, 33000}, TimedOut | Ended},
		{"K", client(false, false, 200), []int64{6000}, Ended},
		{"no K", client(false, true, 200), nil, 0},
		{"G and H", server(true, false, 100, 486), []int64{1500, 2500, 4500, 8500, 12500, 16500, 20500, 24500, 28500, 32500, 33000}, TimedOut | Ended},
		{"H alone", server(true, true, 486), []int64{33000}, TimedOut | Ended},
		{"L", server(true, true, 200), []int64{33000}, Ended},
		{"J", server(false, false, 200), []int64{33000}, Ended},
		{"no J", server(false, true, 200), nil, 0},
		{"a server that rings", server(true, false, 180), nil, 0},
	} {
		at, last := fires(&c.m, start)
		if !slices.Equal(at, c.want) || last != c.last {
			t.Errorf("%s: fired at %v and gave %b, want %v and %b", c.name, at, last, c.want, c.last)
		}
	}
	m := server(true, false, 486)
	if m.Ack(start + 700*ms); m.Due() != start+5700*ms || m.State() != Confirmed || m.Request() != 0 {
		t.Errorf("I is due at %v", m.Due())
	}
	for _, codes := range [][]int{nil, {180}} {
		if m = client(true, false, codes...); true {
			m.Abandon(start + 1000*ms)
		}
		if m.Response(start+2000*ms, 180)&Pass == 0 || m.Due() != start+33000*ms {
			t.Errorf("abandoned after %v it ends at %v", codes, m.Due())
		}
		if at, last := fires(&m, start); len(at) != 1 || last != Ended {
			t.Errorf("abandoned it fired at %v and gave %b", at, last)
		}
	}
}

// plain is what the RFCs promise the user, without their machines: the slow model.
type plain struct {
	invite, server bool
	final          int
	ended          bool
}

// Whatever comes in whichever order: one final goes by, or 2xx only behind a 2xx to an
// INVITE; nothing comes of an ended machine; every machine ends.
func TestAgainstThePlainModel(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p := plain{invite: rng.IntN(2) == 0, server: rng.IntN(2) == 0}
		reliable := rng.IntN(2) == 0
		now := 1000 * ms
		var m Machine
		if p.server {
			m = NewServer(Standard(), p.invite, reliable)
		} else {
			m = NewClient(now, Standard(), p.invite, reliable)
		}
		story := fmt.Sprintf("seed %d, %+v, reliable %v:", seed, p, reliable)
		see := func(what string, act Act, code int) {
			story += fmt.Sprintf("\n%v %s %d: %05b, %v", now, what, code, act, m.State())
			if p.ended && act != 0 {
				t.Fatalf("it acts after its end\n%s", story)
			}
			passed := act&Pass != 0 || p.server && what == "respond" && act&Transmit != 0
			if passed && code >= 200 {
				if p.final != 0 && !(p.invite && p.final/100 == 2 && code/100 == 2) {
					t.Fatalf("%d behind %d\n%s", code, p.final, story)
				}
				p.final = code
			}
			if act&Ended != 0 {
				p.ended = true
			}
			if p.ended != (m.State() == Terminated) || p.ended && m.Due() != 0 {
				t.Fatalf("ended: %v, due %v\n%s", p.ended, m.Due(), story)
			}
			if act&Transmit != 0 && reliable && what == "timer" && !(p.server && p.invite) {
				t.Fatalf("sent again over what loses nothing\n%s", story)
			}
		}
		for range 30 {
			now += time.Duration(rng.IntN(3000)) * ms
			for due := m.Due(); due > 0 && due <= now; due = m.Due() {
				see("timer", m.Fire(due), 0)
			}
			code := []int{100, 180, 200, 202, 404, 503, 603}[rng.IntN(7)]
			switch {
			case !p.server:
				see("response", m.Response(now, code), code)
			case rng.IntN(3) == 0:
				see("request", m.Request(), 0)
			case rng.IntN(3) == 0:
				see("ack", m.Ack(now), 0)
			default:
				see("respond", m.Respond(now, code), code)
			}
		}
		if !p.server {
			m.Abandon(now) // else an INVITE may ring for ever: its timer C is the user's
		} else if p.final == 0 {
			see("respond", m.Respond(now, 500), 500)
		}
		for due := m.Due(); due > 0; due = m.Due() {
			now = due
			see("timer", m.Fire(due), 0)
		}
		if m.State() != Terminated {
			t.Fatalf("it does not end\n%s", story)
		}
		if m.Fail() != 0 {
			t.Fatal("it ends twice")
		}
	}
}
