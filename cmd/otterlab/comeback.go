package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"otterstep/internal/cli"
	"otterstep/internal/sim"
	"otterstep/internal/sim/fleetrestart"
	"otterstep/internal/standin/lab"
)

// comeback measures what docs/measurements/recovery.md tells.
func comeback() *cobra.Command {
	o := &options{}
	trials, rate, burst, file := 0, 0.0, 0, ""
	var away time.Duration
	var losses []string
	d := lab.FleetRestart{}
	c := &cobra.Command{
		Use: "comeback", Short: "Kill a whole fleet at once, take away what it knew, and time how it comes back", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if trials < 1 || d.Drained < 0 || d.Drained >= o.lab.Instances {
				return errors.New("--trials must be 1 or more, --drained fewer than --instances")
			}
			if err := o.programs(""); err != nil {
				return err
			}
			o.lab.Council = council(o.lab.Agents, 5*time.Second)
			o.lab.Council.Direct, o.lab.Pull = true, true
			return o.inDir(func() error {
				var all []lab.NamedResult
				for _, d.Loss = range losses {
					for _, paced := range []float64{0, rate} {
						o.lab.Pace, o.lab.Burst = paced, burst
						d.DiscoveryDown = 0
						if d.Loss == lab.LoseNothing {
							d.DiscoveryDown = away
						}
						first, err := o.comesBack(c, d, trials)
						if err != nil {
							return err
						}
						all = append(all, lab.NamedResult{Name: fmt.Sprintf("lost: %s, %v/s", d.Loss, paced), RestartResult: first, Dashed: paced > 0})
					}
				}
				if file == "" {
					return nil
				}
				return lab.PlotRestarts(file, all)
			})
		},
	}
	o.flags(c, 30, 10)
	c.Flags().IntVar(&trials, "trials", 3, "of each case; the median is told")
	c.Flags().IntVar(&d.Drained, "drained", 3, "instances that are drained before")
	c.Flags().StringSliceVar(&losses, "loss", lab.Losses, "what is lost")
	c.Flags().Float64Var(&rate, "pace", 10, "starts a second of the paced case")
	c.Flags().IntVar(&burst, "burst", 5, "starts at once of the paced case")
	c.Flags().DurationVar(&away, "away", 0, "how long discovery is away where nothing is lost")
	c.Flags().StringVar(&file, "plot", "", "an SVG `file` of the first trials")
	c.AddCommand(relearn(), virtual(), herd())
	return c
}

// comesBack plays a case and prints its medians; it gives the first trial.
func (o *options) comesBack(c *cobra.Command, d lab.FleetRestart, trials int) (first lab.RestartResult, err error) {
	var held, wrong, ready, calls, conns int
	var halves, nine, all []time.Duration
	_, err = o.times(c.Context(), trials, 1, func(ctx context.Context, opt lab.Options) (time.Duration, error) {
		r, err := d.Run(ctx, opt)
		if len(all) == 0 {
			first = r
		}
		held, wrong = held+r.Held, wrong+r.DrainedStarted
		ready, calls, conns = max(ready, r.MaxReadyBurst), max(calls, r.MaxCalls), max(conns, r.MaxConns)
		halves, nine, all = append(halves, r.Half), append(nine, r.NineTenths), append(all, r.All)
		return r.All, err
	})
	if err != nil {
		return first, err
	}
	name := d.Loss
	if d.DiscoveryDown > 0 {
		name += fmt.Sprintf(", discovery away for %v", d.DiscoveryDown)
	}
	fmt.Fprintf(c.OutOrStdout(), "lost %-9s rate %-4v 50%% %v, 90%% %v, all %v; within 100 ms at most: %d ready, %d calls of discovery, %d connections to one server; %d held, %d wrongly started\n",
		name, o.lab.Pace, middle(halves), middle(nine), middle(all), ready, calls, conns, held, wrong)
	return first, nil
}

// relearn measures how many agents learn again, at once, what is desired.
func relearn() *cobra.Command {
	o := &options{}
	agents, instances := 0, 0
	c := &cobra.Command{
		Use: "relearn", Short: "Time many agents that have lost their memory and ask a council of three at once", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if agents < 1 || instances < agents {
				return errors.New("--of must be 1 or more, --with that many or more")
			}
			if err := o.programs(""); err != nil {
				return err
			}
			o.lab.Council = council(3, 5*time.Second)
			o.lab.Council.Direct = true
			return o.inDir(func() error {
				o.lab.Rate = 0
				r, err := lab.Relearn(c.Context(), o.lab, agents, instances)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%d agents with %d instances: all had asked and told after %v (each median %v, most %v); %d bytes of answers in all, %d at most to one, %d bytes of reports\n",
					agents, instances, r.All.Round(time.Millisecond), r.Each[len(r.Each)/2].Round(time.Millisecond), r.Each[len(r.Each)-1].Round(time.Millisecond), r.SentBytes, r.MaxSentBytes, r.ReportedBytes)
				return nil
			})
		},
	}
	o.flags(c, 3, 3)
	c.Flags().IntVar(&agents, "of", 100, "agents that ask")
	c.Flags().IntVar(&instances, "with", 1000, "their instances")
	return c
}

// virtual plays returns of large fleets in virtual time.
func virtual() *cobra.Command {
	opt := fleetrestart.Options{}
	seeds, losses := 0, []string(nil)
	c := &cobra.Command{
		Use: "virtual", Short: "Play a fleet's return in virtual time, seed after seed; exit 1 if a drained instance was started", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 {
				return errors.New("--seeds must be 1 or more")
			}
			wrong, rate := 0, opt.Pace.Rate
			opt.Pace.Parties = opt.Agents
			for _, opt.Loss = range losses {
				for _, opt.Pace.Rate = range slices.Compact([]float64{0, rate}) {
					var half, nine, all []time.Duration
					sum := fleetrestart.Result{}
					for n := range seeds {
						opt.Seed = uint64(n + 1)
						r, err := fleetrestart.Simulate(opt)
						if err != nil {
							return &cli.Exit{Code: cli.Usage, Err: err}
						}
						half, nine, all = append(half, r.Half), append(nine, r.Most), append(all, r.All)
						sum.Wrong, sum.Held, sum.Late = sum.Wrong+r.Wrong, sum.Held+r.Held, sum.Late+r.Late
						sum.StartsMost, sum.CallsMost = max(sum.StartsMost, r.StartsMost), max(sum.CallsMost, r.CallsMost)
					}
					wrong += sum.Wrong
					slices.Sort(half)
					slices.Sort(nine)
					slices.Sort(all)
					fmt.Fprintf(c.OutOrStdout(), "lost %-8s rate %-4v 50%% %v, 90%% %v, all %v (most %v); within 100 ms at most: %d starts, %d calls; %d held, %d not up, %d wrongly started in %d seeds\n",
						opt.Loss, opt.Pace.Rate, at(half, 0.5), at(nine, 0.5), at(all, 0.5), at(all, 1), sum.StartsMost, sum.CallsMost, sum.Held, sum.Late, sum.Wrong, seeds)
				}
			}
			if wrong > 0 && !opt.Naive {
				return fmt.Errorf("%d instances were started that are to be down", wrong)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&opt.Agents, "agents", 100, "how many")
	f.IntVar(&opt.Instances, "instances", 300, "of all agents")
	f.IntVar(&opt.Changes, "changes", 60, "operators' words before")
	f.IntVar(&seeds, "seeds", 20, "how many")
	f.StringSliceVar(&losses, "loss", fleetrestart.Losses, "what is lost")
	f.Float64Var(&opt.Pace.Rate, "pace", 50, "starts a second of the paced case")
	f.IntVar(&opt.Pace.Burst, "burst", 20, "starts at once of the paced case")
	f.DurationVar(&opt.Within, "within", time.Second, "in which the agents start")
	f.DurationVar(&opt.Council, "council", time.Second, "from when on the council answers; negative: there is none")
	f.DurationVar(&opt.DiscoveryDown, "away", 0, "until when discovery is away")
	f.DurationVar(&opt.CallTime, "service", 10*time.Millisecond, "of one call of discovery")
	f.DurationVar(&opt.Limit, "limit", 3*time.Minute, "of virtual time")
	f.BoolVar(&opt.Naive, "naive", false, "agents go by their own record alone, as before there was any recovery")
	return c
}

// herdCases are what nodes find of what they kept.
var herdCases = []struct {
	name    string
	kept    *sim.SavedState
	believe bool
}{
	{"nothing", nil, false},
	{"fresh", &sim.SavedState{}, false},
	{"hour", &sim.SavedState{ExtraAge: time.Hour}, false},
	{"weeks", &sim.SavedState{ExtraAge: 21 * 24 * time.Hour}, false},
	{"broken", &sim.SavedState{UnusableShare: 0.5}, false},
	{"believed", &sim.SavedState{}, true},
}

// herd plays the return of whole tiers with their servers in virtual time, by what the nodes kept.
func herd() *cobra.Command {
	h := sim.TierRestart{}
	seeds, abreast, file, names := 0, 0, "", []string(nil)
	var all []string
	for _, c := range herdCases {
		all = append(all, c.name)
	}
	c := &cobra.Command{
		Use: "herd", Short: "Play a tier of nodes that comes back with its servers, all cold, while discovery is away; exit 1 if one was pushed over", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 || abreast < 1 {
				return errors.New("--seeds and --abreast must be 1 or more")
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "KEPT\tFIRST\t50%\t90%\tFULL\tATTEMPTS\tREFUSALS\tPUSHED MOST\tFELL\tOTHER RULES")
			fell := 0
			var shares, pushed []lab.Series
			for _, name := range names {
				n := slices.Index(all, name)
				if n < 0 {
					return fmt.Errorf("--kept: %q is none of %s", name, strings.Join(all, ", "))
				}
				k := herdCases[n]
				h.SavedState, h.TrustSavedState = k.kept, k.believe
				rs := make([]sim.TierRestartResult, seeds)
				g, ctx := errgroup.WithContext(c.Context())
				g.SetLimit(abreast)
				for i := range rs {
					g.Go(func() (err error) {
						if ctx.Err() == nil {
							rs[i], err = h.Run(uint64(i + 1))
						}
						return err
					})
				}
				if err := g.Wait(); err != nil {
					return &cli.Exit{Code: cli.Usage, Err: err}
				}
				if err := c.Context().Err(); err != nil {
					return err
				}
				of := func(what func(r sim.TierRestartResult) float64) string {
					var x []float64
					for _, r := range rs {
						x = append(x, what(r))
					}
					slices.Sort(x)
					return fmt.Sprintf("%.2f (%.2f to %.2f)", x[len(x)/2], x[len(x)/20], x[len(x)-1-len(x)/20])
				}
				broken, down := 0, 0
				for _, r := range rs {
					broken, down = broken+r.OtherViolations, down+r.PushedOver
				}
				if !k.believe {
					fell += down
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", name,
					of(func(r sim.TierRestartResult) float64 { return r.First.Seconds() }), of(func(r sim.TierRestartResult) float64 { return r.Half.Seconds() }),
					of(func(r sim.TierRestartResult) float64 { return r.Most.Seconds() }), of(func(r sim.TierRestartResult) float64 { return r.Full.Seconds() }),
					of(func(r sim.TierRestartResult) float64 { return r.Attempts }), of(func(r sim.TierRestartResult) float64 { return r.Refusals }),
					of(func(r sim.TierRestartResult) float64 { return r.ColdLoads[len(r.ColdLoads)-1] }), down, broken)
				share, push := lab.Series{Name: name, Color: len(shares), Dashed: k.believe}, lab.Series{Name: name, Color: len(shares), Dashed: k.believe}
				for i, s := range rs[0].Served {
					share.X, share.Y = append(share.X, float64(i+1)/10), append(share.Y, s)
				}
				for i, p := range rs[0].ColdLoads {
					push.X, push.Y = append(push.X, float64(i+1)/float64(len(rs[0].ColdLoads))), append(push.Y, p)
				}
				shares, pushed = append(shares, share), append(pushed, push)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			if file != "" {
				err := lab.Axes{Title: "Service of before, behind the return of all nodes and servers", X: "seconds since the return", Y: "share"}.Plot(file+"-served.svg", shares)
				if err = errors.Join(err, lab.Axes{Title: "Most work sent to each server while it was cold", X: "share of the servers", Y: "of what pushes it over"}.Plot(file+"-pushed.svg", pushed)); err != nil {
					return err
				}
			}
			if fell > 0 {
				return fmt.Errorf("%d servers were pushed over", fell)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&h.Nodes, "nodes", 80, "how many")
	f.IntVar(&h.Servers, "servers", 60, "how many")
	f.Float64Var(&h.Load, "load", 0.7, "of what the servers can do warm; may be over 1")
	f.DurationVar(&h.DiscoveryDown, "away", 6*time.Second, "how long discovery is away")
	f.DurationVar(&h.CallTime, "call", 10*time.Millisecond, "of discovery; one at a time, and what would wait for over 2 s is turned away")
	f.DurationVar(&h.Observe, "for", 20*time.Second, "of virtual time, from the return on")
	f.IntVar(&h.ClientBehavior.MaxAttempts, "tries", 1, "of each client's request")
	f.Float64Var(&h.ClientBehavior.RetryImmediately, "rash", 0.3, "share of the clients that ask again at once")
	f.Float64Var(&h.ClientBehavior.HonorRetryAfter, "heed", 0.7, "share of the rest that come back when they were told to")
	f.Float64Var(&h.FallMultiple, "fall", 2, "multiple of what a cold server can do that pushes it over")
	f.IntVar(&h.Queue, "queue", 32, "requests that wait at a server; what comes beyond is turned away")
	f.IntVar(&h.ExtraRestarts, "again", 0, "all nodes are killed again at so many of the first seconds")
	f.BoolVar(&h.CutServers, "cut", false, "every other server is cut off for the first 3 s")
	f.StringSliceVar(&names, "kept", all, "what the nodes find")
	f.IntVar(&seeds, "seeds", 20, "how many")
	f.IntVar(&abreast, "abreast", 2, "seeds played at once")
	f.StringVar(&file, "plot", "", "begin of two SVG `file` names")
	return c
}
