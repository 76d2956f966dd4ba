package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/cli"
	"otterstep/internal/fleet/client"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
)

func (o *options) recoveryCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "recovery", Short: "Show agents that have lost stored data, the instances they hold because of it, and what would release them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withReadTimeout(c, func(ctx context.Context, f *group.Fleet) error {
				all, silent := f.Recoveries(ctx)
				answer := struct {
					Agents []protocol.Recovery `json:"agents"`
					Silent []group.Unanswered  `json:"silent"`
				}{all, silent}
				return o.show(c.OutOrStdout(), answer, func(p *printer) { p.recoveries(all); p.silent(silent) }, len(silent) > 0)
			})
		},
	}
	root.AddCommand(&cobra.Command{
		Use: "decide NAME up|down", Short: "Set the desired state of a held instance", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if args[1] != "up" && args[1] != "down" {
				return usageErrorf("recovery decide: %q is neither up nor down", args[1])
			}
			return o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
				rows, err := f.ListForSelection(ctx).Select(group.Selector{Names: args[:1]})
				if err != nil {
					return &cli.Exit{Code: cli.Usage, Err: err}
				}
				if len(rows) > 1 {
					return usageErrorf("recovery decide: %q is at more than one agent: use AGENT/NAME", args[0])
				}
				r, err := f.Client(rows[0].Agent).Decide(ctx, rows[0].Name, args[1] == "up")
				var unanswered *client.NoAnswerError
				if errors.As(err, &unanswered) {
					return &cli.Exit{Code: cli.NoAnswer, Err: err}
				}
				if err != nil {
					return councilError(err)
				}
				return o.show(c.OutOrStdout(), r, func(p *printer) {
					fmt.Fprintf(p.tab, "%s/%s: desired state set to %s\n", rows[0].Agent, rows[0].Name, args[1])
				}, false)
			})
		},
	})
	return root
}

func (p *printer) recoveries(all []protocol.Recovery) {
	p.line("AGENT", "MEMORY", "FORGETFUL", "COUNCIL", "STARTS", "HELD")
	for _, r := range all {
		p.line(r.Agent, r.Memory, r.Forgetful, r.Council, r.Starts, len(r.Held))
	}
	first := true
	for _, r := range all {
		for _, h := range r.Held {
			if first {
				fmt.Fprintln(p.tab)
				p.line("INSTANCE", "HELD FOR", "RUNS", "DECIDES AGAIN", "WHY")
				first = false
			}
			until := "never"
			if !h.Until.IsZero() {
				until = "in " + h.Until.Sub(p.now).Round(time.Second).String()
			}
			p.line(r.Agent+"/"+h.Instance, p.age(h.Since), h.Running, until, h.Reason)
		}
	}
}
