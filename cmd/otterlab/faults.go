package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/buildinfo"
	"otterstep/internal/fleet/agent"
	"otterstep/internal/standin/faults"
	"otterstep/internal/standin/lab"
)

// launchArg makes this program the launcher of an instance, as in otteragent.
const launchArg = "launch"

// agentCommand runs an agent that accepts injected faults, as started by otterlab faults.
func agentCommand() *cobra.Command {
	file, first := "", false
	c := &cobra.Command{
		Use: "agent", Hidden: true, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := agent.LoadConfig(file)
			if err != nil {
				return err
			}
			opt := faults.AgentOptions(os.Getenv(lab.OrdersVar))
			opt.Launcher, opt.FirstStart, opt.Version = []string{"/proc/self/exe", launchArg}, first, buildinfo.Version()
			opt.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
			a, err := agent.New(cfg, opt)
			if err != nil {
				return err
			}
			return a.Run(c.Context())
		},
	}
	c.Flags().StringVar(&file, "config", "", "the agent's configuration `file`")
	c.Flags().BoolVar(&first, "first", false, "this is the fleet's first start")
	return c
}

func faultsCommand() *cobra.Command {
	o := &options{}
	d, lease := campaign{}, time.Duration(0)
	c := &cobra.Command{
		Use: "faults", Short: "Inject random faults between the processes of a fleet with a council; exit 1 if a guarantee was violated",
		Long: `Injects random faults between the processes of a fleet with a council, seed by seed.

Each seed determines one schedule. After its last fault the fleet has to recover, and a checker
reads the records of the processes: tokens in the order of effects, each job's effects once, the
maximum of unavailable instances, and the clients' results. A seed with a violation is printed
with its schedule and the command that repeats it.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.findPrograms(""); err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.lab.Agent = []string{self, "agent"}
			voters := 3
			if o.lab.Agents >= 5 {
				voters = 5
			}
			o.lab.Council = &lab.Council{Voters: voters, Lease: lease, Orders: true}
			return o.inDir(func() error { return o.runCampaign(c, d) })
		},
	}
	o.flags(c, 9, 3)
	f := c.Flags()
	f.Lookup("seed").Usage = "the first seed"
	f.Lookup("rate").DefValue = "20"
	o.lab.Rate = 20
	f.BoolVar(&d.Losses, "losses", false, "also lose the agents' state and the council's stores, and cut power; without client load")
	f.BoolVar(&d.DesiredState, "words", false, "change the fleet's desired state instead of running jobs, with faults on the way to the nodes; without client load")
	f.IntVar(&d.Faults, "faults", 12, "number of faults per schedule")
	f.IntVar(&d.MaxUnavailable, "max-unavailable", 1, "maximum of unavailable instances per job")
	f.IntVar(&d.seeds, "seeds", 1, "number of seeds; 0: as many as fit into --for")
	f.IntVar(&d.parallel, "abreast", 1, "seeds run in parallel")
	f.DurationVar(&d.limit, "for", 0, "start no further seed after this time")
	f.DurationVar(&lease, "lease", 2*time.Second, "lease of a duty")
	c.PreRunE = func(c *cobra.Command, _ []string) error {
		d.seed = o.lab.Seed
		if d.Losses && !c.Flags().Changed("rate") {
			o.lab.Rate = 0 // a power cut also loses requests in flight
		}
		if d.limit > 0 && !c.Flags().Changed("seeds") {
			d.seeds = 0
		}
		if d.parallel < 1 || d.Faults < 1 || d.MaxUnavailable < 1 || d.seeds < 1 && d.limit <= 0 {
			return errors.New("--abreast, --faults and --max-unavailable must be 1 or more; --seeds 0 needs --for")
		}
		return nil
	}
	return c
}

// campaign describes a series of seeds with random faults.
type campaign struct {
	seed uint64
	lab.Campaign
	seeds, parallel int
	limit           time.Duration
}

// runCampaign runs the seeds, some in parallel, and prints a summary.
func (o *options) runCampaign(c *cobra.Command, d campaign) error {
	ctx, stop := context.WithCancelCause(c.Context())
	defer stop(nil)
	out := c.OutOrStdout()
	began := time.Now()
	var mu sync.Mutex // guards the variables below
	next, broken, total := d.seed, 0, lab.FaultRun{}
	var recoveryTimes []time.Duration
	nextSeed := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil || d.seeds > 0 && next-d.seed >= uint64(d.seeds) || d.limit > 0 && time.Since(began) > d.limit {
			return 0, false
		}
		next++
		return next - 1, true
	}
	var workers sync.WaitGroup
	for range d.parallel {
		workers.Go(func() {
			for seed, ok := nextSeed(); ok; seed, ok = nextSeed() {
				opt := o.lab
				opt.Dir = filepath.Join(o.lab.Dir, fmt.Sprint(seed))
				err := os.MkdirAll(opt.Dir, 0o700)
				var run lab.FaultRun
				if err == nil {
					run, err = lab.RunFaults(ctx, opt, seed, d.Campaign)
				}
				if err != nil {
					stop(fmt.Errorf("seed %d: %w", seed, err))
					return
				}
				if len(run.Failed) == 0 && o.dir == "" {
					os.RemoveAll(opt.Dir)
				}
				mu.Lock()
				if len(run.Failed) > 0 {
					broken++
				}
				total.Add(run)
				recoveryTimes = append(recoveryTimes, run.RecoveryTime)
				o.printRun(out, d, run)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	if len(recoveryTimes) == 0 {
		if err := context.Cause(ctx); err != nil {
			return err
		}
		return errors.New("no seed was run")
	}
	slices.Sort(recoveryTimes)
	fmt.Fprintf(out, "%d seeds in %v, %d with violations; %v, recovered after %v (median) to %v\n", len(recoveryTimes), time.Since(began).Round(time.Second), broken,
		total, recoveryTimes[len(recoveryTimes)/2].Round(10*time.Millisecond), recoveryTimes[len(recoveryTimes)-1].Round(10*time.Millisecond))
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d seeds had violations", broken)
	}
	return nil
}

// printRun prints the result of a seed and, if it had violations, how to repeat it.
func (o *options) printRun(out io.Writer, d campaign, run lab.FaultRun) {
	status := "held"
	if len(run.Failed) > 0 {
		status = "BROKEN"
	}
	fmt.Fprintf(out, "seed %d %s: %v, recovered after %v\n", run.Seed, status, run, run.RecoveryTime.Round(10*time.Millisecond))
	if len(run.Failed) == 0 {
		return
	}
	for _, f := range run.Failed {
		fmt.Fprintln(out, "  ", f)
	}
	fmt.Fprintf(out, "  schedule:\n%s  to repeat: otterlab faults --seed %d --faults %d --losses=%v --words=%v --max-unavailable %d --instances %d --agents %d --lease %v\n",
		run.Schedule, run.Seed, d.Faults, d.Losses, d.DesiredState, d.MaxUnavailable, o.lab.Instances, o.lab.Agents, o.lab.Council.Lease)
}
