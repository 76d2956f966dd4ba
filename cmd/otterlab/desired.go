package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/standin/lab"
	"otterstep/internal/standin/mutant"
)

// desiredCommand measures what docs/measurements/desired.md tells.
func desiredCommand() *cobra.Command {
	root := &cobra.Command{Use: "desired", Short: "Measure a fleet that is brought to what it should be"}
	root.AddCommand(bans(), harm())
	return root
}

func bans() *cobra.Command {
	o := &options{}
	times := 0
	var hung []int
	c := &cobra.Command{
		Use: "bans", Short: "Time bans from the operator's call until the last node has confirmed them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if times < 1 {
				return errors.New("--times must be 1 or more")
			}
			if err := o.programs(""); err != nil {
				return err
			}
			o.lab.Council = &lab.Council{Voters: 3, Lease: 5 * time.Second, Direct: true}
			for _, n := range hung {
				if err := o.inDir(func() error {
					all, err := lab.BanTimes(c.Context(), o.lab, times, n)
					if err == nil {
						fmt.Fprintf(c.OutOrStdout(), "%d nodes under %d agents, %d of them stopped: p50 %v, p99 %v, most %v of %d\n", o.lab.Instances, o.lab.Agents, n, at(all, 0.5), at(all, 0.99), at(all, 1), len(all))
					}
					return err
				}); err != nil {
					return err
				}
			}
			return nil
		},
	}
	o.flags(c, 30, 10)
	o.lab.Rate = 0
	c.Flags().IntVar(&times, "times", 100, "bans and their ends")
	c.Flags().IntSliceVar(&hung, "hung", []int{0, 1, 3}, "agents that are stopped")
	return c
}

func harm() *cobra.Command {
	o := &options{}
	var trials []time.Duration
	c := &cobra.Command{
		Use: "harm", Short: "Have a fleet under load go to a version that is slow once two requests are open; from a checkout", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.programs(""); err != nil {
				return err
			}
			o.lab.Council = &lab.Council{Voters: 3, Lease: 5 * time.Second, Direct: true}
			return o.inDir(func() error {
				slow, err := mutant.Build(o.lab.Dir, "cmd/otterstep", lab.SlowUnderLoad)
				if err != nil {
					return err
				}
				dir := o.lab.Dir
				for n, trial := range trials {
					opt := o.lab
					opt.Dir = filepath.Join(dir, fmt.Sprint("h", n))
					if err := os.Mkdir(opt.Dir, 0o700); err != nil {
						return err
					}
					h, err := lab.MeasureDefect(c.Context(), opt, []string{slow}, trial)
					if err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "trial of %v: %d of %d instances had it at most, back after %v; clients: %d served, %d not; %s\n", trial, h.MaxInstances, o.lab.Instances, h.RollbackTime.Round(100*time.Millisecond), h.Served, h.Unserved, h.Note)
				}
				return nil
			})
		},
	}
	o.flags(c, 9, 3)
	c.Flags().DurationSliceVar(&trials, "trials", []time.Duration{30 * time.Second, time.Nanosecond}, "how long the version is watched; next to nothing: not at all")
	return c
}
