package rollout

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("n", i))
	}
	return list
}

func serves(up func(string) bool) func(string) InstanceState {
	return func(name string) InstanceState {
		if up(name) {
			return Serving
		}
		return Away
	}
}

// Simulates instances that fail, recover and restart slowly: a plan must never make more
// of them unavailable than allowed, must restart each at most once, and must end with
// all done unless it is stopped.
func TestMaxUnavailable(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 2))
		all := names(1 + rng.IntN(12))
		opt := Options{Instances: all, MaxUnavailable: 1 + rng.IntN(4), Pause: time.Duration(rng.IntN(3)) * time.Second}
		p, err := New(opt, Counts{})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Unix(1000, 0)
		down := map[string]bool{}         // away for other reasons
		working := map[string]time.Time{} // when they come back
		started := map[string]int{}
		var lastEnd time.Time
		for step := 0; !p.Finished(); step++ {
			if step > 5000 {
				t.Fatalf("seed %d: plan does not end: %+v", seed, p)
			}
			now = now.Add(100 * time.Millisecond)
			if rng.IntN(40) == 0 {
				down[all[rng.IntN(len(all))]] = true
			}
			for name := range down {
				if rng.IntN(20) == 0 {
					delete(down, name)
				}
			}
			for name, back := range working {
				if now.After(back) {
					delete(working, name)
					delete(down, name)
					p.Ended(now, name, nil)
					lastEnd = now
				}
			}
			toStart := p.Next(now, serves(func(name string) bool { _, busy := working[name]; return !busy && !down[name] }), nil)
			for _, name := range toStart {
				if started[name]++; started[name] > 1 {
					t.Fatalf("seed %d: %s restarted twice", seed, name)
				}
				if !lastEnd.IsZero() && now.Sub(lastEnd) < opt.Pause {
					t.Fatalf("seed %d: %s restarted after %v, want a pause of %v", seed, name, now.Sub(lastEnd), opt.Pause)
				}
				working[name] = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
			if len(working) > opt.MaxUnavailable { // those that were away may have come up meanwhile
				t.Fatalf("seed %d: %d are worked on at once, at most %d may be away", seed, len(working), opt.MaxUnavailable)
			}
			away := map[string]bool{}
			for name := range working {
				away[name] = true
			}
			costly := slices.ContainsFunc(toStart, func(name string) bool { return !down[name] })
			for name := range down {
				away[name] = true
			}
			if costly && len(away) > opt.MaxUnavailable {
				t.Fatalf("seed %d: %d away, at most %d may be", seed, len(away), opt.MaxUnavailable)
			}
		}
		if p.StopReason() == "" && (len(p.Done()) != len(all) || len(p.Untouched()) != 0) {
			t.Fatalf("seed %d: done %v, left %v", seed, p.Done(), p.Untouched())
		}
	}
}

func TestStopReasons(t *testing.T) {
	up := func(string) bool { return true }
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		do     func(p *Plan)
		reason string
	}{
		"one does not come back": {func(p *Plan) { p.Ended(now, "n0", errors.New("exit status 1")) }, "n0 did not come back: exit status 1"},
		"failures rise":          {func(p *Plan) { p.Observe(Counts{Served: 80, Failed: 20}) }, "failed answers rose from 1.0% to 20.0%"},
		"refusals rise":          {func(p *Plan) { p.Observe(Counts{Served: 50, Refused: 50}) }, "refused answers rose"},
		"external reason":        {func(p *Plan) { p.Stop("the time is up") }, "the time is up"},
	} {
		p, err := New(Options{Instances: names(3), MaxUnavailable: 1}, Counts{Served: 99, Failed: 1})
		if err != nil {
			t.Fatal(err)
		}
		if turn := p.Next(now, serves(up), nil); !slices.Equal(turn, []string{"n0"}) {
			t.Fatalf("first turn %v", turn)
		}
		c.do(p)
		if turn := p.Next(now.Add(time.Hour), serves(up), nil); len(turn) > 0 || !strings.Contains(p.StopReason(), c.reason) {
			t.Errorf("%s: %v, stopped %q, want %q", name, turn, p.StopReason(), c.reason)
		}
		if left := p.Untouched(); !slices.Equal(left, []string{"n1", "n2"}) {
			t.Errorf("%s: left %v", name, left)
		}
	}
}

func TestFewAnswersAreNotJudged(t *testing.T) {
	p, err := New(Options{Instances: names(2), MaxUnavailable: 1}, Counts{})
	if err != nil {
		t.Fatal(err)
	}
	p.Observe(Counts{Failed: minAnswers - 1})
	p.Observe(Counts{Served: 1000, Failed: 40, Refused: 100})
	if p.StopReason() != "" {
		t.Errorf("stopped: %s", p.StopReason())
	}
	if _, err := New(Options{Instances: names(1)}, Counts{}); err == nil {
		t.Error("MaxUnavailable 0 was accepted")
	}
}

func TestStallTimeout(t *testing.T) {
	p, err := New(Options{Instances: names(3), MaxUnavailable: 1}, Counts{})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	if turn := p.Next(now, serves(func(string) bool { return true }), nil); !slices.Equal(turn, []string{"n0"}) {
		t.Fatalf("first turn %v", turn)
	}
	p.Ended(now, "n0", nil)
	up := func(name string) bool { return name != "n0" } // gone again
	if turn := p.Next(now, serves(up), nil); len(turn) > 0 {
		t.Fatalf("restarts %v while one is away", turn)
	}
	p.Next(now.Add(stallTimeout), serves(up), nil)
	if !strings.Contains(p.StopReason(), "1 instances are away") {
		t.Errorf("stopped %q", p.StopReason())
	}
}
