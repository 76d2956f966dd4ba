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

// ownersCommand measures what docs/measurements/owners.md tells.
func ownersCommand() *cobra.Command {
	root := &cobra.Command{Use: "owners", Short: "Measure a fleet whose work has one owner at a time"}
	root.AddCommand(takeover(), rollouts(), rest())
	return root
}

func council(agents int, lease time.Duration) *lab.Council {
	voters := 3
	if agents >= 5 {
		voters = 5
	}
	return &lab.Council{Voters: voters, Lease: lease}
}

func takeover() *cobra.Command {
	o := &options{}
	trials, abreast, lease := 0, 0, time.Duration(0)
	c := &cobra.Command{
		Use: "takeover", Short: "Time from an owner's end in mid-rollout to its successor's first effect", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if trials < 1 || abreast < 1 {
				return errors.New("--trials and --abreast must be 1 or more")
			}
			if err := o.programs(""); err != nil {
				return err
			}
			o.lab.Council = council(o.lab.Agents, lease)
			return o.inDir(func() error {
				for _, fault := range []string{lab.OwnerKilled, lab.OwnerStopped, lab.OwnerCut} {
					times, err := o.times(c.Context(), trials, abreast, func(ctx context.Context, opt lab.Options) (time.Duration, error) {
						return lab.Takeover(ctx, opt, fault)
					})
					if err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "%-5s lease %v: p50 %v, p99 %v, most %v of %d\n", fault, lease, at(times, 0.5), at(times, 0.99), at(times, 1), len(times))
				}
				return nil
			})
		},
	}
	o.flags(c, 6, 3)
	c.Flags().IntVar(&trials, "trials", 100, "of each kind of fault")
	c.Flags().IntVar(&abreast, "abreast", 4, "fleets at once")
	c.Flags().DurationVar(&lease, "lease", 5*time.Second, "of a duty")
	return c
}

// at gives a quantile of sorted times.
func at(times []time.Duration, q float64) time.Duration {
	return times[int(q*float64(len(times)-1)+0.5)].Round(10 * time.Millisecond)
}

// times does something on so many fleets of its own, some at once, and gives the times sorted.
func (o *options) times(ctx context.Context, n, abreast int, do func(context.Context, lab.Options) (time.Duration, error)) ([]time.Duration, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	var mu sync.Mutex
	var all []time.Duration
	var work sync.WaitGroup
	slots := make(chan struct{}, abreast)
	for i := range n {
		work.Go(func() {
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
				if took, err = do(ctx, opt); err == nil {
					mu.Lock()
					all = append(all, took)
					mu.Unlock()
					return
				}
			}
			stop(err)
		})
	}
	work.Wait()
	slices.Sort(all)
	return all, context.Cause(ctx)
}

func rollouts() *cobra.Command {
	o := &options{}
	trials, most := 0, 0
	c := &cobra.Command{
		Use: "rollout", Short: "Time a rollout by the council beside one that the tool drives", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if trials < 1 || most < 1 {
				return errors.New("--trials and --max-unavailable must be 1 or more")
			}
			if err := o.programs(""); err != nil {
				return err
			}
			return o.inDir(func() error {
				for _, by := range []string{"tool", "council"} {
					o.lab.Council = nil
					if by == "council" {
						o.lab.Council = council(o.lab.Agents, 5*time.Second)
					}
					times, err := o.times(c.Context(), trials, 1, func(ctx context.Context, opt lab.Options) (time.Duration, error) {
						return lab.Rollout(ctx, opt, most)
					})
					if err != nil {
						return err
					}
					fmt.Fprintf(c.OutOrStdout(), "%d instances, %d away at most, by the %s: median %v, most %v of %d\n", o.lab.Instances, most, by, at(times, 0.5), at(times, 1), len(times))
				}
				return nil
			})
		},
	}
	o.flags(c, 10, 3)
	c.Flags().IntVar(&trials, "trials", 5, "of each")
	c.Flags().IntVar(&most, "max-unavailable", 2, "instances that may be away at once")
	return c
}

func rest() *cobra.Command {
	o := &options{}
	wait := time.Duration(0)
	c := &cobra.Command{
		Use: "rest", Short: "Measure what a council's voters and the agents that ask them cost while nothing happens", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.programs(""); err != nil {
				return err
			}
			o.lab.Council = council(o.lab.Agents, 5*time.Second)
			o.lab.Council.Direct = true // a relay for each of thousands of pairs is not what is measured
			if o.lab.Agents <= o.lab.Council.Voters {
				return fmt.Errorf("--agents %d: more than the %d voters are needed", o.lab.Agents, o.lab.Council.Voters)
			}
			return o.inDir(func() error {
				r, err := lab.MeasureIdle(c.Context(), o.lab, wait)
				if err != nil {
					return err
				}
				share := func(d time.Duration) float64 { return 100 * d.Seconds() / r.For.Seconds() }
				fmt.Fprintf(c.OutOrStdout(), "%d voters, %d agents that ask, %v\na voter:  %.2f%% of a core, %.0f bytes/s, %.2f writes/s to its store\nan asker: %.2f%% of a core, %.0f bytes/s\n",
					o.lab.Council.Voters, o.lab.Agents-o.lab.Council.Voters, r.For.Round(time.Second), share(r.VoterCPU), r.VoterBytes, r.VoterWrites, share(r.NonVoterCPU), r.NonVoterBytes)
				return nil
			})
		},
	}
	o.flags(c, 105, 105)
	o.lab.Rate = 0
	c.Flags().DurationVar(&wait, "for", 30*time.Second, "how long")
	return c
}

// middle gives the median.
func middle(times []time.Duration) time.Duration {
	slices.Sort(times)
	return at(times, 0.5)
}
