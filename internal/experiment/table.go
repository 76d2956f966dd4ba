package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"otterstep/internal/sim"
)

// WithPolicy returns a copy of the experiment whose nodes use another policy.
func (x *Experiment) WithPolicy(policy string) *Experiment {
	other := *x
	other.Options.Policy = policy
	return &other
}

// RunPolicyTable runs each experiment with each policy and the same seeds, and writes a
// table of how the shares within the aim differ from those of our policy, with 95%
// confidence intervals; a star marks policies that broke a rule with some seed.
func RunPolicyTable(ctx context.Context, w io.Writer, names []string, experiments []*Experiment, seed uint64, runs int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "EXPERIMENT\tPOLICY\tWITHIN AIM\tATTEMPTS\tOURS IS BETTER BY\t95% INTERVAL\t")
	for i, x := range experiments {
		var base []Run
		for _, policy := range sim.Policies {
			got, err := x.WithPolicy(policy).Run(ctx, seed, runs)
			if err != nil {
				return err
			}
			if base == nil {
				base = got
			}
			d := Compare(got, base)
			mark, attempts := "", 0.0
			for _, r := range got {
				attempts += r.Results.PerRequest() / float64(len(got))
				if len(r.Results.Broken) > 0 {
					mark = "*"
				}
			}
			fmt.Fprintf(t, "%s\t%s%s\t%.4f\t%.3f\t%+.4f\t%+.4f to %+.4f\t\n", names[i], policy, mark, d.A, attempts, d.Mean, d.Low, d.High)
		}
		if err := t.Flush(); err != nil {
			return err
		}
	}
	return nil
}
