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

// desiredCommand runs the measurements reported in docs/measurements/desired.md.
func desiredCommand() *cobra.Command {
	root := &cobra.Command{Use: "desired", Short: "Measure a fleet that is reconciled with its desired state"}
	root.AddCommand(bansCommand(), harmCommand())
	return root
}

func bansCommand() *cobra.Command {
	o := &options{}
	times := 0
	var hung []int
	c := &cobra.Command{
		Use: "bans", Short: "Measure the time from an operator's ban until the last node has confirmed it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if times < 1 {
				return errors.New("--times must be 1 or more")
			}
			if err := o.findPrograms(""); err != nil {
				return err
			}
			o.lab.Council = &lab.Council{Voters: 3, Lease: 5 * time.Second, Direct: true}
			for _, n := range hung {
				if err := o.inDir(func() error {
					all, err := lab.BanTimes(c.Context(), o.lab, times, n)
					if err == nil {
						fmt.Fprintf(c.OutOrStdout(), "%d nodes under %d agents, %d of them stopped: p50 %v, p99 %v, max %v of %d\n", o.lab.Instances, o.lab.Agents, n, quantile(all, 0.5), quantile(all, 0.99), quantile(all, 1), len(all))
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
	c.Flags().IntVar(&times, "times", 100, "number of bans, each set and lifted")
	c.Flags().IntSliceVar(&hung, "hung", []int{0, 1, 3}, "numbers of stopped agents, each measured")
	return c
}

func harmCommand() *cobra.Command {
	o := &options{}
	var trials []time.Duration
	c := &cobra.Command{
		Use: "harm", Short: "Roll out a version that is slow with two or more concurrent requests to a fleet under load; needs a source checkout", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.findPrograms(""); err != nil {
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
					fmt.Fprintf(c.OutOrStdout(), "trial of %v: at most %d of %d instances ran it, rolled back after %v; clients: %d served, %d not; %s\n", trial, h.MaxInstances, o.lab.Instances, h.RollbackTime.Round(100*time.Millisecond), h.Served, h.Unserved, h.Note)
				}
				return nil
			})
		},
	}
	o.flags(c, 9, 3)
	c.Flags().DurationSliceVar(&trials, "trials", []time.Duration{30 * time.Second, time.Nanosecond}, "how long the version is observed; 1ns: practically not at all")
	return c
}
