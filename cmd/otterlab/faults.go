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

// launchWord makes this program the launcher of an instance, as otteragent's does.
const launchWord = "launch"

// agentCommand is an agent that follows orders: what otterlab faults starts.
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
			opt.Launcher, opt.FirstStart, opt.Version = []string{"/proc/self/exe", launchWord}, first, buildinfo.Version()
			opt.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
			a, err := agent.New(cfg, opt)
			if err != nil {
				return err
			}
			return a.Run(c.Context())
		},
	}
	c.Flags().StringVar(&file, "config", "", "the agent's `file`")
	c.Flags().BoolVar(&first, "first", false, "the fleet's first start")
	return c
}

func faultsCommand() *cobra.Command {
	o := &options{}
	d, lease := drawn{}, time.Duration(0)
	c := &cobra.Command{
		Use: "faults", Short: "Play drawn faults between the processes of a fleet with a council; exit 1 if a promise broke",
		Long: `Plays drawn faults between the processes of a fleet with a council, seed after seed.

Each seed has one schedule. When all its faults have ended the fleet has to come to rest, and a
checker reads what the processes wrote down: tokens in the order of effects, each job's effects
once, the most that were away at once, and what the clients got. A seed that broke something is
printed with its schedule and the command that plays it again.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.programs(""); err != nil {
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
			return o.inDir(func() error { return o.campaign(c, d) })
		},
	}
	o.flags(c, 9, 3)
	f := c.Flags()
	f.Lookup("seed").Usage = "the first seed"
	f.Lookup("rate").DefValue = "20"
	o.lab.Rate = 20
	f.BoolVar(&d.Losses, "losses", false, "also take agents' memories and the council's stores away, with power cuts; no clients send")
	f.BoolVar(&d.DesiredState, "words", false, "change what the fleet should be, with faults between that and the nodes, in place of jobs; no clients send")
	f.IntVar(&d.Faults, "faults", 12, "faults of a schedule")
	f.IntVar(&d.MaxUnavailable, "max-unavailable", 1, "instances that each job may have away")
	f.IntVar(&d.seeds, "seeds", 1, "how many seeds; 0: as many as fit --for")
	f.IntVar(&d.abreast, "abreast", 1, "seeds that are played at once")
	f.DurationVar(&d.limit, "for", 0, "begin no seed after this")
	f.DurationVar(&lease, "lease", 2*time.Second, "of a duty")
	c.PreRunE = func(c *cobra.Command, _ []string) error {
		d.seed = o.lab.Seed
		if d.Losses && !c.Flags().Changed("rate") {
			o.lab.Rate = 0 // a power cut takes requests along
		}
		if d.limit > 0 && !c.Flags().Changed("seeds") {
			d.seeds = 0
		}
		if d.abreast < 1 || d.Faults < 1 || d.MaxUnavailable < 1 || d.seeds < 1 && d.limit <= 0 {
			return errors.New("--abreast, --faults and --max-unavailable must be 1 or more; --seeds 0 needs --for")
		}
		return nil
	}
	return c
}

// drawn is a campaign of drawn faults.
type drawn struct {
	seed uint64
	lab.Campaign
	seeds, abreast int
	limit          time.Duration
}

// campaign plays seeds, some at once, and sums them up.
func (o *options) campaign(c *cobra.Command, d drawn) error {
	ctx, stop := context.WithCancelCause(c.Context())
	defer stop(nil)
	out := c.OutOrStdout()
	began := time.Now()
	var mu sync.Mutex // over what follows
	next, broken, sum := d.seed, 0, lab.FaultRun{}
	var rests []time.Duration
	take := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil || d.seeds > 0 && next-d.seed >= uint64(d.seeds) || d.limit > 0 && time.Since(began) > d.limit {
			return 0, false
		}
		next++
		return next - 1, true
	}
	var work sync.WaitGroup
	for range d.abreast {
		work.Go(func() {
			for seed, ok := take(); ok; seed, ok = take() {
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
				sum.Add(run)
				rests = append(rests, run.RecoveryTime)
				o.printRun(out, d, run)
				mu.Unlock()
			}
		})
	}
	work.Wait()
	if len(rests) == 0 {
		if err := context.Cause(ctx); err != nil {
			return err
		}
		return errors.New("no seed was played")
	}
	slices.Sort(rests)
	fmt.Fprintf(out, "%d seeds in %v, %d broken; %v, at rest after %v (median) to %v\n", len(rests), time.Since(began).Round(time.Second), broken,
		sum, rests[len(rests)/2].Round(10*time.Millisecond), rests[len(rests)-1].Round(10*time.Millisecond))
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("%d seeds broke something", broken)
	}
	return nil
}

// printRun tells how a seed went; of one that broke something, how to play it again.
func (o *options) printRun(out io.Writer, d drawn, run lab.FaultRun) {
	word := "held"
	if len(run.Failed) > 0 {
		word = "BROKEN"
	}
	fmt.Fprintf(out, "seed %d %s: %v, at rest after %v\n", run.Seed, word, run, run.RecoveryTime.Round(10*time.Millisecond))
	if len(run.Failed) == 0 {
		return
	}
	for _, f := range run.Failed {
		fmt.Fprintln(out, "  ", f)
	}
	fmt.Fprintf(out, "  its schedule:\n%s  again: otterlab faults --seed %d --faults %d --losses=%v --words=%v --max-unavailable %d --instances %d --agents %d --lease %v\n",
		run.Schedule, run.Seed, d.Faults, d.Losses, d.DesiredState, d.MaxUnavailable, o.lab.Instances, o.lab.Agents, o.lab.Council.Lease)
}
