package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// PrintRuns writes runs as a table.
func PrintRuns(w io.Writer, x *Experiment, runs []Run) error {
	fmt.Fprintf(w, "%s\n\n", x.File.Description)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SEED\tASKED\tWITHIN AIM\tP50\tP99\tATTEMPTS\tENDS\tDIGEST")
	for _, r := range runs {
		var outcomes []string
		for _, outcome := range slices.Sorted(maps.Keys(r.Results.Ends)) {
			outcomes = append(outcomes, fmt.Sprintf("%s %d", outcome, r.Results.Ends[outcome]))
		}
		fmt.Fprintf(t, "%d\t%d\t%.4f\t%v\t%v\t%.3f\t%s\t%s\n", r.Seed, r.Results.Asked, r.Share, r.Results.P50, r.Results.P99,
			r.Results.PerRequest(), strings.Join(outcomes, ", "), r.Results.Digest)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range runs {
		for _, f := range r.Failed {
			fmt.Fprintf(w, "seed %d: %s\n", r.Seed, f)
		}
	}
	return nil
}

// AllPassed reports whether all runs met all expectations.
func AllPassed(runs []Run) bool {
	return !slices.ContainsFunc(runs, func(r Run) bool { return len(r.Failed) > 0 })
}
