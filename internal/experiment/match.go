package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// How close virtual time has to come to real sockets for its figures to be believed. The
// network's latency in the file has to be loopback's: 50us is close.
const (
	matchShare = 0.02 // difference of the shares within the aim
	matchP50   = 1.3  // factor between the medians, either way
	matchP99   = 1.6  // and between the 99th percentiles
)

// Match is how the same experiment came out in virtual time and on sockets, as means over
// the seeds.
type Match struct {
	Simulated, Real Figures
	Failed          []string // what is further apart than it may be
}

// Figures of several runs: means.
type Figures struct {
	Share    float64
	P50, P99 time.Duration
	Attempts float64
}

// Matched compares runs of one experiment in both modes.
func Matched(simulated, real []Run) Match {
	m := Match{Simulated: sum(simulated).Figures, Real: sum(real).Figures}
	no := func(format string, args ...any) { m.Failed = append(m.Failed, fmt.Sprintf(format, args...)) }
	if d := m.Real.Share - m.Simulated.Share; d > matchShare || d < -matchShare {
		no("shares within the aim are %.4f apart, %.2f at most", d, matchShare)
	}
	apart := func(what string, simulated, real time.Duration, most float64) {
		if f := float64(real) / float64(max(1, simulated)); f > most || f < 1/most {
			no("%s on sockets is %.2f of the simulated, a factor of %.1f at most either way", what, f, most)
		}
	}
	apart("p50", m.Simulated.P50, m.Real.P50, matchP50)
	apart("p99", m.Simulated.P99, m.Real.P99, matchP99)
	for _, r := range real {
		m.Failed = append(m.Failed, r.Failed...)
	}
	return m
}

// PrintMatches writes matches of the named experiments as a table.
func PrintMatches(w io.Writer, names []string, all []Match) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "EXPERIMENT\tMODE\tWITHIN AIM\tP50\tP99\tATTEMPTS")
	for i, m := range all {
		for _, mode := range []struct {
			name string
			f    Figures
		}{{"sim", m.Simulated}, {"real", m.Real}} {
			fmt.Fprintf(t, "%s\t%s\t%.4f\t%v\t%v\t%.3f\n", names[i], mode.name, mode.f.Share,
				mode.f.P50.Round(10*time.Microsecond), mode.f.P99.Round(10*time.Microsecond), mode.f.Attempts)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i, m := range all {
		for _, f := range m.Failed {
			fmt.Fprintf(w, "%s: %s\n", names[i], f)
		}
	}
	return nil
}
