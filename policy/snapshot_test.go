package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// recorder logs all actions of a Balancer.
type recorder struct {
	log  []string
	sent []Outcome
}

func (r *recorder) note(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf(format, args...))
}
func (r *recorder) Send(id RequestID, s ServerID, t time.Duration) {
	n := 0
	for _, o := range r.sent {
		if o.ID == id {
			n++
		}
	}
	r.sent = append(r.sent, Outcome{ID: id, Attempt: n, Server: s})
	r.note("send %d %d %v", id, s, t)
}
func (r *recorder) Cancel(id RequestID, n int)               { r.note("cancel %d %d", id, n) }
func (r *recorder) Refuse(id RequestID, after time.Duration) { r.note("refuse %d %v", id, after) }
func (r *recorder) Fail(id RequestID)                        { r.note("fail %d", id) }
func (r *recorder) SetTimer(at time.Duration, token uint64)  { r.note("timer %v %d", at, token) }
func (r *recorder) WatchList()                               { r.note("watch") }

// runScenario drives a Balancer through a busy period, and inspects it at every step or
// never.
func runScenario(t *testing.T, seed uint64, inspect bool) ([]string, View) {
	t.Helper()
	host := &recorder{}
	set := Defaults()
	set.Classes = []Class{{Deadline: time.Second, Aim: 500 * time.Millisecond, Worth: 1}}
	set.Limits.MaxAttempts, set.Limits.SecondCopies = 3, true
	b, err := New(set, seed, host)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	now := time.Hour
	var entries []Entry
	for n := range 5 {
		entries = append(entries, Entry{Server: ServerID(n + 1), State: Ready, Weight: 1})
	}
	b.UpdateServers(now, ListFull, entries)
	for id := range 400 {
		now += time.Duration(rng.IntN(10)) * time.Millisecond
		b.Request(now, Request{ID: RequestID(id + 1), TimeLeft: time.Second})
		if inspect {
			b.Inspect(now)
		}
		for len(host.sent) > 2 {
			o := host.sent[0]
			host.sent = host.sent[1:]
			o.Latency = time.Duration(20+rng.IntN(50)) * time.Millisecond
			if o.Server == 3 {
				o.Status = Error
			}
			b.Outcome(now, o)
		}
		b.Timer(now, tokenSweep)
		if inspect {
			b.Inspect(now)
		}
	}
	return host.log, b.Inspect(now)
}

// Inspecting a Balancer changes none of its decisions, and shows its state.
func TestInspectHasNoSideEffects(t *testing.T) {
	for seed := range uint64(20) {
		seen, view := runScenario(t, seed, true)
		unseen, _ := runScenario(t, seed, false)
		if len(seen) != len(unseen) {
			t.Fatalf("seed %d: %d actions with inspection, %d without", seed, len(seen), len(unseen))
		}
		for n := range seen {
			if seen[n] != unseen[n] {
				t.Fatalf("seed %d, action %d: %q with inspection, %q without", seed, n, seen[n], unseen[n])
			}
		}
		open := 0
		for _, s := range view.Servers {
			if s.Breaker == "open" {
				open++
				if s.Server != 3 || s.Success > 0 {
					t.Errorf("seed %d: breaker of %+v is open", seed, s)
				}
			}
		}
		if len(view.Servers) != 5 || open != 1 || view.InFlight == 0 {
			t.Errorf("seed %d: %+v", seed, view)
		}
	}
}
