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

// comebackCommand runs the measurements reported in docs/measurements/recovery.md.
func comebackCommand() *cobra.Command {
	o := &options{}
	trials, rate, burst, file := 0, 0.0, 0, ""
	var away time.Duration
	var losses []string
	d := lab.FleetRestart{}
	c := &cobra.Command{
		Use: "comeback", Short: "Kill a whole fleet at once, remove stored state, and measure how long it takes to restart", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if trials < 1 || d.Drained < 0 || d.Drained >= o.lab.Instances {
				return errors.New("--trials must be 1 or more, --drained fewer than --instances")
			}
			if err := o.findPrograms(""); err != nil {
				return err
			}
			o.lab.Council = councilOptions(o.lab.Agents, 5*time.Second)
			o.lab.Council.Direct, o.lab.Pull = true, true
			return o.inDir(func() error {
				var results []lab.NamedResult
				for _, d.Loss = range losses {
					for _, pace := range []float64{0, rate} {
						o.lab.Pace, o.lab.Burst = pace, burst
						d.DiscoveryDown = 0
						if d.Loss == lab.LoseNothing {
							d.DiscoveryDown = away
						}
						first, err := o.measureRestart(c, d, trials)
						if err != nil {
							return err
						}
						results = append(results, lab.NamedResult{Name: fmt.Sprintf("lost: %s, %v/s", d.Loss, pace), RestartResult: first, Dashed: pace > 0})
					}
				}
				if file == "" {
					return nil
				}
				return lab.PlotRestarts(file, results)
			})
		},
	}
	o.flags(c, 30, 10)
	c.Flags().IntVar(&trials, "trials", 3, "trials of each case, of which the median is reported")
	c.Flags().IntVar(&d.Drained, "drained", 3, "instances drained beforehand")
	c.Flags().StringSliceVar(&losses, "loss", lab.Losses, "the state that is lost")
	c.Flags().Float64Var(&rate, "pace", 10, "starts per second in the paced case")
	c.Flags().IntVar(&burst, "burst", 5, "burst of starts in the paced case")
	c.Flags().DurationVar(&away, "away", 0, "how long discovery is down in the case without loss")
	c.Flags().StringVar(&file, "plot", "", "SVG `file` with a plot of the first trials")
	c.AddCommand(relearnCommand(), virtualCommand(), herdCommand())
	return c
}

// measureRestart runs the trials of a case, prints their medians and returns the first.
func (o *options) measureRestart(c *cobra.Command, d lab.FleetRestart, trials int) (first lab.RestartResult, err error) {
	var held, wrong, ready, calls, conns int
	var halves, ninetyPercent, all []time.Duration
	_, err = o.measure(c.Context(), trials, 1, func(ctx context.Context, opt lab.Options) (time.Duration, error) {
		r, err := d.Run(ctx, opt)
		if len(all) == 0 {
			first = r
		}
		held, wrong = held+r.Held, wrong+r.DrainedStarted
		ready, calls, conns = max(ready, r.MaxReadyBurst), max(calls, r.MaxCalls), max(conns, r.MaxConns)
		halves, ninetyPercent, all = append(halves, r.Half), append(ninetyPercent, r.NineTenths), append(all, r.All)
		return r.All, err
	})
	if err != nil {
		return first, err
	}
	name := d.Loss
	if d.DiscoveryDown > 0 {
		name += fmt.Sprintf(", discovery down for %v", d.DiscoveryDown)
	}
	fmt.Fprintf(c.OutOrStdout(), "lost %-9s rate %-4v 50%% %v, 90%% %v, all %v; maximum within 100 ms: %d ready, %d discovery calls, %d connections to one server; %d held, %d wrongly started\n",
		name, o.lab.Pace, median(halves), median(ninetyPercent), median(all), ready, calls, conns, held, wrong)
	return first, nil
}

// relearnCommand measures how long many agents take to fetch the desired state at once.
func relearnCommand() *cobra.Command {
	o := &options{}
	agents, instances := 0, 0
	c := &cobra.Command{
		Use: "relearn", Short: "Measure many agents without stored state that query a council of three at once", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if agents < 1 || instances < agents {
				return errors.New("--of must be 1 or more, --with that many or more")
			}
			if err := o.findPrograms(""); err != nil {
				return err
			}
			o.lab.Council = councilOptions(3, 5*time.Second)
			o.lab.Council.Direct = true
			return o.inDir(func() error {
				o.lab.Rate = 0
				r, err := lab.Relearn(c.Context(), o.lab, agents, instances)
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%d agents with %d instances: all had queried and reported after %v (each: median %v, max %v); %d bytes of answers in total, at most %d to one agent, %d bytes of reports\n",
					agents, instances, r.All.Round(time.Millisecond), r.Each[len(r.Each)/2].Round(time.Millisecond), r.Each[len(r.Each)-1].Round(time.Millisecond), r.SentBytes, r.MaxSentBytes, r.ReportedBytes)
				return nil
			})
		},
	}
	o.flags(c, 3, 3)
	c.Flags().IntVar(&agents, "of", 100, "number of agents that query the council")
	c.Flags().IntVar(&instances, "with", 1000, "total number of their instances")
	return c
}

// virtualCommand simulates restarts of large fleets in virtual time.
func virtualCommand() *cobra.Command {
	opt := fleetrestart.Options{}
	seeds, losses := 0, []string(nil)
	c := &cobra.Command{
		Use: "virtual", Short: "Simulate a fleet's restart in virtual time, seed by seed; exit 1 if a drained instance was started", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 {
				return errors.New("--seeds must be 1 or more")
			}
			wrong, rate := 0, opt.Pace.Rate
			opt.Pace.Parties = opt.Agents
			for _, opt.Loss = range losses {
				for _, opt.Pace.Rate = range slices.Compact([]float64{0, rate}) {
					var half, ninetyPercent, all []time.Duration
					sum := fleetrestart.Result{}
					for n := range seeds {
						opt.Seed = uint64(n + 1)
						r, err := fleetrestart.Simulate(opt)
						if err != nil {
							return &cli.Exit{Code: cli.Usage, Err: err}
						}
						half, ninetyPercent, all = append(half, r.Half), append(ninetyPercent, r.Most), append(all, r.All)
						sum.Wrong, sum.Held, sum.Late = sum.Wrong+r.Wrong, sum.Held+r.Held, sum.Late+r.Late
						sum.StartsMost, sum.CallsMost = max(sum.StartsMost, r.StartsMost), max(sum.CallsMost, r.CallsMost)
					}
					wrong += sum.Wrong
					slices.Sort(half)
					slices.Sort(ninetyPercent)
					slices.Sort(all)
					fmt.Fprintf(c.OutOrStdout(), "lost %-8s rate %-4v 50%% %v, 90%% %v, all %v (max %v); maximum within 100 ms: %d starts, %d calls; %d held, %d not started, %d wrongly started in %d seeds\n",
						opt.Loss, opt.Pace.Rate, quantile(half, 0.5), quantile(ninetyPercent, 0.5), quantile(all, 0.5), quantile(all, 1), sum.StartsMost, sum.CallsMost, sum.Held, sum.Late, sum.Wrong, seeds)
				}
			}
			if wrong > 0 && !opt.Naive {
				return fmt.Errorf("%d instances were started that should be down", wrong)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&opt.Agents, "agents", 100, "number of agents")
	f.IntVar(&opt.Instances, "instances", 300, "number of instances of all agents")
	f.IntVar(&opt.Changes, "changes", 60, "operators' changes before the restart")
	f.IntVar(&seeds, "seeds", 20, "number of seeds")
	f.StringSliceVar(&losses, "loss", fleetrestart.Losses, "the state that is lost")
	f.Float64Var(&opt.Pace.Rate, "pace", 50, "starts per second in the paced case")
	f.IntVar(&opt.Pace.Burst, "burst", 20, "burst of starts in the paced case")
	f.DurationVar(&opt.Within, "within", time.Second, "time within which the agents start")
	f.DurationVar(&opt.Council, "council", time.Second, "time from which the council answers; negative: no council")
	f.DurationVar(&opt.DiscoveryDown, "away", 0, "time until which discovery is down")
	f.DurationVar(&opt.CallTime, "service", 10*time.Millisecond, "duration of a discovery call")
	f.DurationVar(&opt.Limit, "limit", 3*time.Minute, "limit of the virtual time")
	f.BoolVar(&opt.Naive, "naive", false, "agents use only their own record, without recovery from other sources")
	return c
}

// herdScenarios are the conditions in which nodes find their saved state.
var herdScenarios = []struct {
	name       string
	savedState *sim.SavedState
	trust      bool
}{
	{"nothing", nil, false},
	{"fresh", &sim.SavedState{}, false},
	{"hour", &sim.SavedState{ExtraAge: time.Hour}, false},
	{"weeks", &sim.SavedState{ExtraAge: 21 * 24 * time.Hour}, false},
	{"broken", &sim.SavedState{UnusableShare: 0.5}, false},
	{"believed", &sim.SavedState{}, true},
}

// herdCommand simulates restarts of a whole tier with its servers in virtual time, for each
// condition of the nodes' saved state.
func herdCommand() *cobra.Command {
	h := sim.TierRestart{}
	seeds, parallel, file, names := 0, 0, "", []string(nil)
	var all []string
	for _, scenario := range herdScenarios {
		all = append(all, scenario.name)
	}
	c := &cobra.Command{
		Use: "herd", Short: "Simulate a tier of nodes that restarts with its servers, all cold, while discovery is down; exit 1 if a server was pushed over", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if seeds < 1 || parallel < 1 {
				return errors.New("--seeds and --abreast must be 1 or more")
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "KEPT\tFIRST\t50%\t90%\tFULL\tATTEMPTS\tREFUSALS\tPUSHED MOST\tFELL\tOTHER RULES")
			totalFallen := 0
			var shares, pushed []lab.Series
			for _, name := range names {
				n := slices.Index(all, name)
				if n < 0 {
					return fmt.Errorf("--kept: %q is not one of %s", name, strings.Join(all, ", "))
				}
				scenario := herdScenarios[n]
				h.SavedState, h.TrustSavedState = scenario.savedState, scenario.trust
				results := make([]sim.TierRestartResult, seeds)
				g, ctx := errgroup.WithContext(c.Context())
				g.SetLimit(parallel)
				for i := range results {
					g.Go(func() (err error) {
						if ctx.Err() == nil {
							results[i], err = h.Run(uint64(i + 1))
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
				summarize := func(metric func(r sim.TierRestartResult) float64) string {
					var x []float64
					for _, r := range results {
						x = append(x, metric(r))
					}
					slices.Sort(x)
					return fmt.Sprintf("%.2f (%.2f to %.2f)", x[len(x)/2], x[len(x)/20], x[len(x)-1-len(x)/20])
				}
				broken, fallen := 0, 0
				for _, r := range results {
					broken, fallen = broken+r.OtherViolations, fallen+r.PushedOver
				}
				if !scenario.trust {
					totalFallen += fallen
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", name,
					summarize(func(r sim.TierRestartResult) float64 { return r.First.Seconds() }), summarize(func(r sim.TierRestartResult) float64 { return r.Half.Seconds() }),
					summarize(func(r sim.TierRestartResult) float64 { return r.Most.Seconds() }), summarize(func(r sim.TierRestartResult) float64 { return r.Full.Seconds() }),
					summarize(func(r sim.TierRestartResult) float64 { return r.Attempts }), summarize(func(r sim.TierRestartResult) float64 { return r.Refusals }),
					summarize(func(r sim.TierRestartResult) float64 { return r.ColdLoads[len(r.ColdLoads)-1] }), fallen, broken)
				share, push := lab.Series{Name: name, Color: len(shares), Dashed: scenario.trust}, lab.Series{Name: name, Color: len(shares), Dashed: scenario.trust}
				for i, s := range results[0].Served {
					share.X, share.Y = append(share.X, float64(i+1)/10), append(share.Y, s)
				}
				for i, p := range results[0].ColdLoads {
					push.X, push.Y = append(push.X, float64(i+1)/float64(len(results[0].ColdLoads))), append(push.Y, p)
				}
				shares, pushed = append(shares, share), append(pushed, push)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			if file != "" {
				err := lab.Axes{Title: "Service relative to before the restart of all nodes and servers", X: "seconds since the restart", Y: "share"}.Plot(file+"-served.svg", shares)
				if err = errors.Join(err, lab.Axes{Title: "Most work sent to each server while it was cold", X: "share of the servers", Y: "share of what pushes it over"}.Plot(file+"-pushed.svg", pushed)); err != nil {
					return err
				}
			}
			if totalFallen > 0 {
				return fmt.Errorf("%d servers were pushed over", totalFallen)
			}
			return nil
		},
	}
	f := c.Flags()
	f.IntVar(&h.Nodes, "nodes", 80, "number of nodes")
	f.IntVar(&h.Servers, "servers", 60, "number of servers")
	f.Float64Var(&h.Load, "load", 0.7, "load as a share of the warm servers' capacity; may be above 1")
	f.DurationVar(&h.DiscoveryDown, "away", 6*time.Second, "how long discovery is down")
	f.DurationVar(&h.CallTime, "call", 10*time.Millisecond, "duration of a discovery call; calls run one at a time, and those that would wait over 2 s are rejected")
	f.DurationVar(&h.Observe, "for", 20*time.Second, "virtual time simulated after the restart")
	f.IntVar(&h.ClientBehavior.MaxAttempts, "tries", 1, "maximum of tries per client request")
	f.Float64Var(&h.ClientBehavior.RetryImmediately, "rash", 0.3, "share of the clients that retry immediately")
	f.Float64Var(&h.ClientBehavior.HonorRetryAfter, "heed", 0.7, "share of the other clients that retry after Retry-After; the rest give up")
	f.Float64Var(&h.FallMultiple, "fall", 2, "multiple of a cold server's capacity that pushes it over")
	f.IntVar(&h.Queue, "queue", 32, "length of a server's queue; requests beyond it are rejected")
	f.IntVar(&h.ExtraRestarts, "again", 0, "number of times, one per second, that all nodes are killed again")
	f.BoolVar(&h.CutServers, "cut", false, "cut off every second server for the first 3 s")
	f.StringSliceVar(&names, "kept", all, "conditions of the nodes' saved state")
	f.IntVar(&seeds, "seeds", 20, "number of seeds")
	f.IntVar(&parallel, "abreast", 2, "seeds run in parallel")
	f.StringVar(&file, "plot", "", "prefix of two SVG `file` names")
	return c
}
