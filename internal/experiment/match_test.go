package experiment

import (
	"strings"
	"testing"
	"time"

	"otterstep/internal/sim"
)

// Differences beyond the limits are reported, in either direction, and no others.
func TestMatched(t *testing.T) {
	runs := func(share float64, p50, p99 time.Duration) []Run {
		return []Run{{Share: share, Results: &sim.Results{P50: p50, P99: p99}}, {Share: share, Results: &sim.Results{P50: p50, P99: p99}}}
	}
	const p50, p99 = 20 * time.Millisecond, 80 * time.Millisecond
	for _, c := range []struct {
		real []Run
		want []string
	}{
		{runs(0.95, p50, p99), nil},
		{runs(0.965, p50*5/4, p99*3/2), nil},
		{runs(0.925, p50, p99), []string{"shares"}},
		{runs(0.975, p50*2/3, p99/2), []string{"shares", "p50", "p99"}},
		{runs(0.95, p50*3/2, p99*2), []string{"p50", "p99"}},
		{append(runs(0.95, p50, p99), Run{Share: 0.95, Results: &sim.Results{P50: p50, P99: p99}, Failed: []string{"void: lags"}}), []string{"void"}},
	} {
		m := CompareModes(runs(0.95, p50, p99), c.real)
		if len(m.Failed) != len(c.want) {
			t.Errorf("%+v: %v", c.real, m.Failed)
			continue
		}
		var b strings.Builder
		if err := PrintMatches(&b, []string{"x"}, []Match{m}); err != nil {
			t.Error(err)
		}
		for i, want := range c.want {
			if !strings.HasPrefix(m.Failed[i], want) || !strings.Contains(b.String(), "x: "+m.Failed[i]) {
				t.Errorf("%q, want %s; %s", m.Failed[i], want, b.String())
			}
		}
	}
}

// The callback is called once per run, also with another policy.
func TestRunDoneIsCalledOncePerRun(t *testing.T) {
	x, err := Load("../../experiments/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	calls := make(chan struct{}, 100)
	runDone := func() { calls <- struct{}{} }
	if _, err := x.OnRunDone(runDone).WithPolicy("random").Run(t.Context(), 1, 5); err != nil || len(calls) != 5 {
		t.Errorf("%d calls for 5 runs, %v", len(calls), err)
	}
}
