package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"otterstep/internal/cli"
	"otterstep/internal/experiment"
	"otterstep/internal/experiment/report"
	"otterstep/internal/sim"
	"otterstep/internal/standin/lab"
)

// runOptions are the options of the commands that run experiments.
type runOptions struct {
	seed                    uint64
	runs                    int
	output, policy, policyB string
	mode, node, nodeB       string
	report                  string
}

const (
	modeSim  = "sim"
	modeReal = "real"
)

// runFile runs one experiment, in virtual time or on sockets.
func (o *runOptions) runFile(ctx context.Context, x *experiment.Experiment, policy, node string, p progress) ([]experiment.Run, error) {
	if o.mode == modeSim {
		return x.WithPolicy(policy).OnRunDone(p.runDone).Run(ctx, o.seed, o.runs)
	}
	return o.runOnSockets(ctx, x, node, p)
}

// runOnSockets runs an experiment with real instances of the node, one run after the other.
func (o *runOptions) runOnSockets(ctx context.Context, x *experiment.Experiment, node string, p progress) ([]experiment.Run, error) {
	var all []experiment.Run
	for n := range o.runs {
		l := &options{}
		if err := l.findPrograms(node); err != nil {
			return nil, err
		}
		err := l.inDir(func() error {
			run, err := lab.RunExperiment(ctx, x, l.lab, o.seed+uint64(n))
			all = append(all, run)
			p.runDone()
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (o *runOptions) validate(c *cobra.Command, defaultRuns int) error {
	usageError := func(format string, args ...any) error {
		return &cli.Exit{Code: cli.Usage, Err: fmt.Errorf(format, args...)}
	}
	if !c.Flags().Changed("runs") {
		o.runs = defaultRuns
	}
	switch {
	case o.runs < 1 || o.runs > 10_000:
		return usageError("--runs %d: must be from 1 to 10000", o.runs)
	case o.output != "text" && o.output != "json":
		return usageError("--output %q: must be text or json", o.output)
	case o.mode != modeSim && o.mode != modeReal:
		return usageError("--mode %q: must be %s or %s", o.mode, modeSim, modeReal)
	case o.mode == modeReal && (o.policy != "ours" || o.policyB != "ours"):
		return usageError("--policy: only in virtual time")
	case o.mode == modeSim && (o.node != "" || o.nodeB != ""):
		return usageError("--node: only with --mode %s", modeReal)
	}
	return nil
}

// flags adds the common flags of run commands, and of the optional ones those named.
func (o *runOptions) flags(c *cobra.Command, defaultRuns int, names ...string) *cobra.Command {
	f := c.Flags()
	f.Uint64Var(&o.seed, "seed", 1, "first seed; further runs use the following ones")
	f.IntVar(&o.runs, "runs", 0, fmt.Sprintf("number of runs, each with its own seed (%d if not given)", defaultRuns))
	f.StringVarP(&o.output, "output", "o", "text", "text or json")
	usage := "policy of the nodes: " + strings.Join(sim.Policies, ", ")
	for _, name := range names {
		switch name {
		case "policy":
			f.StringVar(&o.policy, name, "ours", usage)
		case "policy-b":
			f.StringVar(&o.policyB, name, "ours", "policy of the nodes in B")
		case "mode":
			f.StringVar(&o.mode, name, modeSim, "sim: virtual time; real: sockets, boxes and instances of the node")
		case "node":
			f.StringVar(&o.node, name, "", "`program` of the node, by default from this program's directory; with --mode real")
		case "node-b":
			f.StringVar(&o.nodeB, name, "", "program of the node in B")
		case "report":
			f.StringVar(&o.report, name, "", "HTML `file` to write, with plots")
		}
	}
	c.PreRunE = func(c *cobra.Command, _ []string) error { return o.validate(c, defaultRuns) }
	return c
}

func newRunOptions() *runOptions { return &runOptions{policy: "ours", policyB: "ours", mode: modeSim} }

// experimentCommand runs experiments in virtual time or on real sockets.
func experimentCommand() *cobra.Command {
	c := &cobra.Command{Use: "experiment", Short: "Run load and faults described by a file, and check its expectations"}
	check := &cobra.Command{
		Use: "check FILE...", Short: "Validate files without running them", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			var errs []error
			for _, file := range files {
				_, err := experiment.Load(file)
				errs = append(errs, err)
			}
			return errors.Join(errs...)
		},
	}
	c.AddCommand(check, runCommand(), compareCommand(), tableCommand(), matchCommand(), sweepCommand(), huntCommand(), replayCommand())
	return c
}

func runCommand() *cobra.Command {
	o := newRunOptions()
	return o.flags(&cobra.Command{
		Use: "run FILE...", Short: "Run files; exit 1 if something did not hold", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			allPassed := true
			var sections []report.Section
			p := newProgress(c, len(files)*o.runs)
			defer p.close()
			for _, file := range files {
				x, err := experiment.Load(file)
				if err != nil {
					return err
				}
				all, err := o.runFile(c.Context(), x, o.policy, o.node, p)
				if err != nil {
					return err
				}
				allPassed = allPassed && experiment.AllPassed(all)
				sections = append(sections, report.Section{Title: title(file), Experiment: x, Runs: all})
				if o.output == "json" {
					err = json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"file": file, "mode": o.mode, "held": experiment.AllPassed(all), "runs": all})
				} else {
					err = experiment.PrintRuns(c.OutOrStdout(), x, all)
				}
				if err != nil {
					return err
				}
			}
			if err := o.writeReport("Experiments", sections); err != nil {
				return err
			}
			if !allPassed {
				return errors.New("something did not hold")
			}
			return nil
		},
	}, 1, "policy", "mode", "node", "report")
}

// writeReport writes the report if --report is set.
func (o *runOptions) writeReport(heading string, sections []report.Section) error {
	if o.report == "" {
		return nil
	}
	return report.Write(o.report, heading, sections)
}

func title(file string) string { return strings.TrimSuffix(filepath.Base(file), ".toml") }

func compareCommand() *cobra.Command {
	o := newRunOptions()
	return o.flags(&cobra.Command{
		Use: "compare A B", Short: "Run two files with the same seeds, and compare their shares within the aim", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, files []string) error {
			var both [2][]experiment.Run
			var sections []report.Section
			p := newProgress(c, 2*o.runs)
			defer p.close()
			for i, file := range files {
				x, err := experiment.Load(file)
				if err != nil {
					return err
				}
				if both[i], err = o.runFile(c.Context(), x, []string{o.policy, o.policyB}[i], []string{o.node, o.nodeB}[i], p); err != nil {
					return err
				}
				sections = append(sections, report.Section{Title: []string{"A: ", "B: "}[i] + title(file), Experiment: x, Runs: both[i]})
			}
			if err := o.writeReport("Comparison", sections); err != nil {
				return err
			}
			d := experiment.Compare(both[0], both[1])
			if o.output == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(d)
			}
			fmt.Fprintf(c.OutOrStdout(), "within the aim: A %.4f, B %.4f; B minus A %+.4f, 95%% interval %+.4f to %+.4f; B is better with %d of %d seeds\n",
				d.A, d.B, d.Mean, d.Low, d.High, d.Wins, o.runs)
			return nil
		},
	}, 20, "policy", "policy-b", "mode", "node", "node-b", "report")
}

func tableCommand() *cobra.Command {
	o := newRunOptions()
	return o.flags(&cobra.Command{
		Use: "table FILE...", Short: "Run files with the decision module and with other policies, and compare the results", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var names []string
			var all []*experiment.Experiment
			p := newProgress(c, len(files)*len(sim.Policies)*o.runs)
			defer p.close()
			for _, file := range files {
				x, err := experiment.Load(file)
				if err != nil {
					return err
				}
				names, all = append(names, title(file)), append(all, x.OnRunDone(p.runDone))
			}
			return experiment.RunPolicyTable(c.Context(), c.OutOrStdout(), names, all, o.seed, o.runs)
		},
	}, 5)
}

func matchCommand() *cobra.Command {
	o := newRunOptions()
	return o.flags(&cobra.Command{
		Use: "match FILE...", Short: "Run files in virtual time and on real sockets; exit 1 if the results differ too much", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var names []string
			var all []experiment.Match
			p := newProgress(c, 2*len(files)*o.runs)
			defer p.close()
			failed := false
			for _, file := range files {
				x, err := experiment.Load(file)
				if err != nil {
					return err
				}
				virtual, err := x.OnRunDone(p.runDone).Run(c.Context(), o.seed, o.runs)
				if err != nil {
					return err
				}
				real, err := o.runOnSockets(c.Context(), x, o.node, p)
				if err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				m := experiment.CompareModes(virtual, real)
				failed = failed || len(m.Failed) > 0
				names, all = append(names, title(file)), append(all, m)
			}
			var err error
			if o.output == "json" {
				err = json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"names": names, "matches": all})
			} else {
				err = experiment.PrintMatches(c.OutOrStdout(), names, all)
			}
			if err == nil && failed {
				err = errors.New("the results in virtual time and on sockets differ too much")
			}
			return err
		},
	}, 3)
}

func sweepCommand() *cobra.Command {
	o := newRunOptions()
	return o.flags(&cobra.Command{
		Use: "sweep FILE KEY VALUE...", Short: `Run a file with each of several values for one key, such as "load.rate" or "fault[1].amount"`, Args: cobra.MinimumNArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			p := newProgress(c, len(args[2:])*o.runs)
			defer p.close()
			steps, err := experiment.Sweep(c.Context(), args[0], args[1], args[2:], o.policy, o.seed, o.runs, p.runDone)
			if err != nil {
				return err
			}
			if o.output == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"file": args[0], "key": args[1], "steps": steps})
			}
			return experiment.PrintSweep(c.OutOrStdout(), args[1], steps)
		},
	}, 5, "policy")
}

func huntCommand() *cobra.Command {
	o := newRunOptions()
	tries, out := 0, ""
	c := &cobra.Command{
		Use: "hunt FILE", Short: "Search seeds and faults for a violated rule or the worst run, and shrink it to a small file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			x, err := experiment.Load(files[0])
			if err != nil {
				return err
			}
			printProgress := func(text string) { fmt.Fprintln(c.ErrOrStderr(), text) }
			found, run, err := x.WithPolicy(o.policy).Hunt(c.Context(), o.seed, tries, printProgress)
			if err != nil {
				return err
			}
			text, err := found.Marshal()
			if err != nil {
				return err
			}
			if out == "" {
				_, err = c.OutOrStdout().Write(text)
			} else if err = os.WriteFile(out, text, 0o644); err == nil {
				printProgress("written to " + out + "; replay it with: otterlab experiment replay " + out)
			}
			if err != nil {
				return err
			}
			if len(run.Results.Broken) > 0 {
				return errors.New("a rule broke")
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the random faults, and of the first run")
	c.Flags().IntVar(&tries, "tries", 100, "number of runs to search")
	c.Flags().StringVar(&out, "out", "", "output `file`; standard output if not given")
	c.Flags().StringVar(&o.policy, "policy", "ours", "policy of the nodes")
	c.PreRunE = func(*cobra.Command, []string) error {
		if tries < 1 || tries > 1_000_000 {
			return &cli.Exit{Code: cli.Usage, Err: fmt.Errorf("--tries %d: must be from 1 to 1000000", tries)}
		}
		return nil
	}
	return c
}

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "replay FILE...", Short: "Repeat runs that hunts found; exit 1 if a result differs", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var errs []error
			for _, file := range files {
				x, err := experiment.Load(file)
				if err == nil {
					if _, err = x.Replay(); err == nil {
						fmt.Fprintf(c.OutOrStdout(), "%s: reproduced: %s\n", file, x.File.Found.Failure)
					}
				}
				errs = append(errs, err)
			}
			return errors.Join(errs...)
		},
	}
}
