package policy

import (
	"testing"
	"time"
)

// Guards against answers that never end taking all of their clients' time, and against the answers of slow but sound servers
// being given up: another attempt is made elsewhere, where the effect allows it, while the stalled one goes on.
func TestStalledAnswerIsTriedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		class        int
		secondCopies bool
		change       func(*Settings)
		sends        []int // within 0.1, 0.4, 0.8 and 2 s
		cancels      int   // in the end
	}{
		"beside it":              {class: 0, secondCopies: true, sends: []int{1, 2, 2, 2}},
		"keyed":                  {class: 1, secondCopies: true, sends: []int{1, 2, 2, 2}},
		"unsafe":                 {class: 2, secondCopies: true, sends: []int{1, 1, 1, 1}},
		"in its place":           {class: 0, sends: []int{1, 1, 1, 2}, cancels: 1},
		"unsafe, not beside it":  {class: 2, sends: []int{1, 1, 1, 1}},
		"a single attempt":       {class: 0, secondCopies: true, change: func(s *Settings) { s.Limits.MaxAttempts = 1 }, sends: []int{1, 1, 1, 1}},
		"a single attempt alone": {class: 0, change: func(s *Settings) { s.Limits.MaxAttempts = 1 }, sends: []int{1, 1, 1, 1}},
		"sparse":                 {class: 0, secondCopies: true, change: func(s *Settings) { s.Nodes = 8 }, sends: []int{1, 1, 1, 1}}, // its copies are used up
	} {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			set.Limits.SecondCopies = c.secondCopies
			set.Classes[1].Scope = ScopeAll
			set.Classes[c.class].Aim = set.Classes[c.class].Deadline
			if c.change != nil {
				c.change(&set)
			}
			r := newRig(t, set, 4)
			r.b.Request(r.now, Request{ID: 1, Class: c.class, TimeLeft: 2 * time.Second})
			r.b.Stalled(r.now, 1, 0)
			r.b.Stalled(r.now, 1, 0) // has no effect
			for i, d := range []time.Duration{100 * ms, 300 * ms, 400 * ms, 1200 * ms} {
				for range d / (10 * ms) {
					r.advance(10 * ms)
					if r.h.cancels > r.done[1] {
						r.end(1, Cancelled, r.now-time.Hour)
					}
				}
				if n := len(r.sendsOf(1)); n != c.sends[i] {
					t.Errorf("%d attempts within %v, want %d", n, r.now-time.Hour, c.sends[i])
				}
			}
			if sends := r.sendsOf(1); len(sends) > 1 && sends[0] == sends[1] {
				t.Error("both at one server")
			}
			if r.h.cancels != c.cancels || r.h.failed[1] {
				t.Errorf("%d cancelled, want %d; failed %v", r.h.cancels, c.cancels, r.h.failed[1])
			}
		})
	}
}

// A server whose answers stall counts as silent, until one of them comes whole.
func TestStalledAnswersOpenTheBreaker(t *testing.T) {
	r := newRig(t, testSettings(), 4)
	for range failuresToOpen {
		r.b.recordFailure(r.now, &attempt{server: r.b.ready[1]}, false) // the others' breakers make no difference
		id := r.request(2)
		if len(r.sendsOf(id)) == 0 {
			t.Fatal("not sent")
		}
		s := r.b.servers[r.sendsOf(id)[0]]
		before := len(s.failures)
		r.b.Stalled(r.now, id, 0)
		if len(s.failures) != before+1 && s.breaker == closed {
			t.Errorf("%d failures behind a stalled answer, %d before", len(s.failures), before)
		}
		r.end(id, OK, 500*ms)
		if len(s.failures) != 0 || s.breaker == open && s.reopenAt > r.now {
			t.Errorf("%d failures behind the whole answer", len(s.failures))
		}
	}
}
