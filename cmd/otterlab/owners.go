package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/standin/lab"
)

// ownersCommand runs the measurements reported in docs/measurements/owners.md.
func ownersCommand() *cobra.Command {
	root := &cobra.Command{Use: "owners", Short: "Measure a fleet whose duties have one owner at a time"}
	root.AddCommand(takeoverCommand(), rolloutCommand(), restCommand())
	return root
}

func councilOptions(agents int, lease time.Duration) *lab.Council {
	voters := 3
	if agents >= 5 {
		voters = 5
	}
	return &lab.Council{Voters: voters, Lease: lease}
}

func takeoverCommand() *cobra.Command {
	o := &options{}
	trials, parallel, lease := 0, 0, time.Duration(0)
	c := &cobra.Command{
		Use: "takeover", Short: "Measure the time from an owner's failure during a rollout to its successor's first effect", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if trials < 1 || parallel < 1 {
				return errors.New("--trials and --abreast must be 1 or more")
			}
			if err := o.findPrograms(""); err != nil {
				return err
			}
			o.lab.Council = councilOptions(o.lab.Agents, lease)
			return o.inDir(func() error {
				for _, fault := range []string{lab.OwnerKilled, lab.OwnerStopped, lab.OwnerCut} {
					times, err := o.measure(c.Context(), trials, parallel, func(ctx context.Context, opt lab.Options) (time.Duration, error) {
						return lab.Takeover(ctx, opt, fault)
					})
					if err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "%-5s lease %v: p50 %v, p99 %v, max %v of %d\n", fault, lease, quantile(times, 0.5), quantile(times, 0.99), quantile(times, 1), len(times))
				}
				return nil
			})
		},
	}
	o.flags(c, 6, 3)
	c.Flags().IntVar(&trials, "trials", 100, "trials per kind of fault")
	c.Flags().IntVar(&parallel, "abreast", 4, "fleets run in parallel")
	c.Flags().DurationVar(&lease, "lease", 5*time.Second, "lease of a duty")
	return c
}

// quantile returns a quantile of sorted times.
func quantile(times []time.Duration, q float64) time.Duration {
	return times[int(q*float64(len(times)-1)+0.5)].Round(10 * time.Millisecond)
}

// measure calls run n times, each with options for a fleet of its own and up to parallel at
// once, and returns the times sorted.
func (o *options) measure(ctx context.Context, n, parallel int, run func(context.Context, lab.Options) (time.Duration, error)) ([]time.Duration, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var mu sync.Mutex
	var all []time.Duration
	var workers sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i := range n {
		workers.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() != nil {
				return
			}
			opt := o.lab
			opt.Seed += uint64(i)
			var err error
			if opt.Dir, err = os.MkdirTemp(o.lab.Dir, "t"); err == nil {
				defer os.RemoveAll(opt.Dir)
				var took time.Duration
				if took, err = run(ctx, opt); err == nil {
					mu.Lock()
					all = append(all, took)
					mu.Unlock()
					return
				}
			}
			stop(err)
		})
	}
	workers.Wait()
	slices.Sort(all)
	return all, context.Cause(ctx)
}

func rolloutCommand() *cobra.Command {
	o := &options{}
	trials, maxUnavailable := 0, 0
	c := &cobra.Command{
		Use: "rollout", Short: "Compare the duration of rollouts run by the council and by the tool", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if trials < 1 || maxUnavailable < 1 {
				return errors.New("--trials and --max-unavailable must be 1 or more")
			}
			if err := o.findPrograms(""); err != nil {
				return err
			}
			return o.inDir(func() error {
				for _, by := range []string{"tool", "council"} {
					o.lab.Council = nil
					if by == "council" {
						o.lab.Council = councilOptions(o.lab.Agents, 5*time.Second)
					}
					times, err := o.measure(c.Context(), trials, 1, func(ctx context.Context, opt lab.Options) (time.Duration, error) {
						return lab.Rollout(ctx, opt, maxUnavailable)
					})
					if err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "%d instances, at most %d unavailable, by the %s: median %v, max %v of %d\n", o.lab.Instances, maxUnavailable, by, quantile(times, 0.5), quantile(times, 1), len(times))
				}
				return nil
			})
		},
	}
	o.flags(c, 10, 3)
	c.Flags().IntVar(&trials, "trials", 5, "trials of each")
	c.Flags().IntVar(&maxUnavailable, "max-unavailable", 2, "maximum of unavailable instances")
	return c
}

func restCommand() *cobra.Command {
	o := &options{}
	duration := time.Duration(0)
	c := &cobra.Command{
		Use: "rest", Short: "Measure the idle cost of a council's voters and of the agents that query them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.findPrograms(""); err != nil {
				return err
			}
			o.lab.Council = councilOptions(o.lab.Agents, 5*time.Second)
			o.lab.Council.Direct = true // a relay for each of thousands of pairs would distort the measurement
			if o.lab.Agents <= o.lab.Council.Voters {
				return fmt.Errorf("--agents %d: must be more than the %d voters", o.lab.Agents, o.lab.Council.Voters)
			}
			return o.inDir(func() error {
				r, err := lab.MeasureIdle(c.Context(), o.lab, duration)
				if err != nil {
					return err
				}
				share := func(d time.Duration) float64 { return 100 * d.Seconds() / r.For.Seconds() }
				fmt.Fprintf(c.OutOrStdout(), "%d voters, %d other agents, %v\nper voter:       %.2f%% of a core, %.0f bytes/s, %.2f writes/s to its store\nper other agent: %.2f%% of a core, %.0f bytes/s\n",
					o.lab.Council.Voters, o.lab.Agents-o.lab.Council.Voters, r.For.Round(time.Second), share(r.VoterCPU), r.VoterBytes, r.VoterWrites, share(r.NonVoterCPU), r.NonVoterBytes)
				return nil
			})
		},
	}
	o.flags(c, 105, 105)
	o.lab.Rate = 0
	c.Flags().DurationVar(&duration, "for", 30*time.Second, "duration of the measurement")
	return c
}

// median sorts times and returns their median.
func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return quantile(times, 0.5)
}
