package transaction

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// runTimers fires a machine's timers until none is left. It returns the times in
// milliseconds at which they caused a transmission or the end, and the last action.
func runTimers(m *Machine, from time.Duration) (at []int64, last Action) {
	for due := m.Due(); due > 0; due = m.Due() {
		if due < from {
			panic("timer due in the past")
		}
		from = due
		if last = m.Fire(due); last&(Transmit|Ended) != 0 {
			at = append(at, due.Milliseconds())
		}
	}
	return at, last
}

// Each timer fires at the times that follow from the RFC's default values.
func TestTimers(t *testing.T) {
	const start = 1000 * ms
	client := func(invite, reliable bool, codes ...int) Machine {
		m := NewClient(start, DefaultTiming(), invite, reliable)
		for _, c := range codes {
			m.Response(start, c)
		}
		return m
	}
	server := func(invite, reliable bool, codes ...int) Machine {
		m := NewServer(DefaultTiming(), invite, reliable)
		for _, c := range codes {
			m.Respond(start, c)
		}
		return m
	}
	for _, c := range []struct {
		name string
		m    Machine
		want []int64
		last Action
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
		at, last := runTimers(&c.m, start)
		if !slices.Equal(at, c.want) || last != c.last {
			t.Errorf("%s: timers fired at %v with last action %b, want %v and %b", c.name, at, last, c.want, c.last)
		}
	}
	m := server(true, false, 486)
	if m.Ack(start + 700*ms); m.Due() != start+5700*ms || m.State() != Confirmed || m.Request() != 0 {
		t.Errorf("timer I is due at %v", m.Due())
	}
	for _, codes := range [][]int{nil, {180}} {
		if m = client(true, false, codes...); true {
			m.Abandon(start + 1000*ms)
		}
		if m.Response(start+2000*ms, 180)&Deliver == 0 || m.Due() != start+33000*ms {
			t.Errorf("abandoned after responses %v: due at %v", codes, m.Due())
		}
		if at, last := runTimers(&m, start); len(at) != 1 || last != Ended {
			t.Errorf("abandoned: timers fired at %v with last action %b", at, last)
		}
	}
}

// referenceModel tracks what the RFCs guarantee to the transaction user, independently of
// the state machines.
type referenceModel struct {
	invite, server bool
	final          int
	ended          bool
}

// Runs random events in random order. A transaction passes on one final response, or
// further 2xx after a 2xx to an INVITE; a terminated one acts no more; each one terminates.
func TestAgainstReferenceModel(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		p := referenceModel{invite: rng.IntN(2) == 0, server: rng.IntN(2) == 0}
		reliable := rng.IntN(2) == 0
		now := 1000 * ms
		var m Machine
		if p.server {
			m = NewServer(DefaultTiming(), p.invite, reliable)
		} else {
			m = NewClient(now, DefaultTiming(), p.invite, reliable)
		}
		trace := fmt.Sprintf("seed %d, %+v, reliable %v:", seed, p, reliable)
		record := func(what string, act Action, code int) {
			trace += fmt.Sprintf("\n%v %s %d: %05b, %v", now, what, code, act, m.State())
			if p.ended && act != 0 {
				t.Fatalf("action after termination\n%s", trace)
			}
			passed := act&Deliver != 0 || p.server && what == "respond" && act&Transmit != 0
			if passed && code >= 200 {
				if p.final != 0 && !(p.invite && p.final/100 == 2 && code/100 == 2) {
					t.Fatalf("final response %d after %d\n%s", code, p.final, trace)
				}
				p.final = code
			}
			if act&Ended != 0 {
				p.ended = true
			}
			if p.ended != (m.State() == Terminated) || p.ended && m.Due() != 0 {
				t.Fatalf("terminated: %v, next timer due at %v\n%s", p.ended, m.Due(), trace)
			}
			if act&Transmit != 0 && reliable && what == "timer" && !(p.server && p.invite) {
				t.Fatalf("retransmission on a reliable transport\n%s", trace)
			}
		}
		for range 30 {
			now += time.Duration(rng.IntN(3000)) * ms
			for due := m.Due(); due > 0 && due <= now; due = m.Due() {
				record("timer", m.Fire(due), 0)
			}
			code := []int{100, 180, 200, 202, 404, 503, 603}[rng.IntN(7)]
			switch {
			case !p.server:
				record("response", m.Response(now, code), code)
			case rng.IntN(3) == 0:
				record("request", m.Request(), 0)
			case rng.IntN(3) == 0:
				record("ack", m.Ack(now), 0)
			default:
				record("respond", m.Respond(now, code), code)
			}
		}
		if !p.server {
			m.Abandon(now) // otherwise an INVITE may ring for ever, as timer C belongs to the transaction user
		} else if p.final == 0 {
			record("respond", m.Respond(now, 500), 500)
		}
		for due := m.Due(); due > 0; due = m.Due() {
			now = due
			record("timer", m.Fire(due), 0)
		}
		if m.State() != Terminated {
			t.Fatalf("transaction does not terminate\n%s", trace)
		}
		if m.Fail() != 0 {
			t.Fatal("Fail acted on a terminated transaction")
		}
	}
}
