package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Limits within which a simulation has to agree with a run on real sockets for its results
// to be trusted. The file's network latency has to be that of loopback, about 50us.
const (
	maxShareDifference = 0.02 // difference of the shares within the aim
	maxP50Factor       = 1.3  // factor between the medians, in either direction
	maxP99Factor       = 1.6  // factor between the 99th percentiles, in either direction
)

// Match compares one experiment's results in simulation and on sockets, as means over the
// seeds.
type Match struct {
	Simulated, Real Means
	Failed          []string // the limits that were exceeded
}

// Means holds the mean results of several runs.
type Means struct {
	Share    float64
	P50, P99 time.Duration
	Attempts float64
}

// CompareModes compares runs of one experiment in both modes.
func CompareModes(simulated, real []Run) Match {
	m := Match{Simulated: summarize(simulated).Means, Real: summarize(real).Means}
	fail := func(format string, args ...any) { m.Failed = append(m.Failed, fmt.Sprintf(format, args...)) }
	if d := m.Real.Share - m.Simulated.Share; d > maxShareDifference || d < -maxShareDifference {
		fail("shares within the aim differ by %.4f, the limit is %.2f", d, maxShareDifference)
	}
	checkFactor := func(what string, simulated, real time.Duration, limit float64) {
		if factor := float64(real) / float64(max(1, simulated)); factor > limit || factor < 1/limit {
			fail("%s on sockets is %.2f times the simulated one, the limit is a factor of %.1f in either direction", what, factor, limit)
		}
	}
	checkFactor("p50", m.Simulated.P50, m.Real.P50, maxP50Factor)
	checkFactor("p99", m.Simulated.P99, m.Real.P99, maxP99Factor)
	for _, r := range real {
		m.Failed = append(m.Failed, r.Failed...)
	}
	return m
}

// PrintMatches writes matches of the named experiments as a table.
func PrintMatches(w io.Writer, names []string, matches []Match) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "EXPERIMENT\tMODE\tWITHIN AIM\tP50\tP99\tATTEMPTS")
	for i, m := range matches {
		for _, mode := range []struct {
			name string
			f    Means
		}{{"sim", m.Simulated}, {"real", m.Real}} {
			fmt.Fprintf(t, "%s\t%s\t%.4f\t%v\t%v\t%.3f\n", names[i], mode.name, mode.f.Share,
				mode.f.P50.Round(10*time.Microsecond), mode.f.P99.Round(10*time.Microsecond), mode.f.Attempts)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i, m := range matches {
		for _, f := range m.Failed {
			fmt.Fprintf(w, "%s: %s\n", names[i], f)
		}
	}
	return nil
}
