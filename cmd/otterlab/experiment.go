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

// playing is how files are played.
type playing struct {
	seed                  uint64
	runs                  int
	output, policy, other string
	mode, node, otherNode string
	report                string
}

const (
	simulated = "sim"
	onSockets = "real"
)

// play plays one file, in virtual time or on sockets.
func (o *playing) play(ctx context.Context, x *experiment.Experiment, policy, node string, p progress) ([]experiment.Run, error) {
	if o.mode == simulated {
		return x.WithPolicy(policy).OnRunDone(p.played).Play(ctx, o.seed, o.runs)
	}
	return o.onSockets(ctx, x, node, p)
}

// onSockets plays a file with real instances of the node, one run after the other.
func (o *playing) onSockets(ctx context.Context, x *experiment.Experiment, node string, p progress) ([]experiment.Run, error) {
	var all []experiment.Run
	for n := range o.runs {
		l := &options{}
		if err := l.programs(node); err != nil {
			return nil, err
		}
		err := l.inDir(func() error {
			run, err := lab.Play(ctx, x, l.lab, o.seed+uint64(n))
			all = append(all, run)
			p.played()
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (o *playing) check(c *cobra.Command, usual int) error {
	wrong := func(format string, args ...any) error {
		return &cli.Exit{Code: cli.Usage, Err: fmt.Errorf(format, args...)}
	}
	if !c.Flags().Changed("runs") {
		o.runs = usual
	}
	switch {
	case o.runs < 1 || o.runs > 10_000:
		return wrong("--runs %d: 1 to 10000", o.runs)
	case o.output != "text" && o.output != "json":
		return wrong("--output %q: text or json", o.output)
	case o.mode != simulated && o.mode != onSockets:
		return wrong("--mode %q: %s or %s", o.mode, simulated, onSockets)
	case o.mode == onSockets && (o.policy != "ours" || o.other != "ours"):
		return wrong("--policy: only in virtual time")
	case o.mode == simulated && (o.node != "" || o.otherNode != ""):
		return wrong("--node: only with --mode %s", onSockets)
	}
	return nil
}

// flags gives a command those of playing, some of which others have no use for.
func (o *playing) flags(c *cobra.Command, usual int, names ...string) *cobra.Command {
	f := c.Flags()
	f.Uint64Var(&o.seed, "seed", 1, "first seed; further runs take the next ones")
	f.IntVar(&o.runs, "runs", 0, fmt.Sprintf("runs, each with a seed of its own (%d if not given)", usual))
	f.StringVarP(&o.output, "output", "o", "text", "text or json")
	usage := "what decides in the nodes: " + strings.Join(sim.Policies, ", ")
	for _, name := range names {
		switch name {
		case "policy":
			f.StringVar(&o.policy, name, "ours", usage)
		case "policy-b":
			f.StringVar(&o.other, name, "ours", "the same of B")
		case "mode":
			f.StringVar(&o.mode, name, simulated, "sim: virtual time; real: sockets, boxes and instances of the node")
		case "node":
			f.StringVar(&o.node, name, "", "`program` of the node, beside this one if not given; with --mode real")
		case "node-b":
			f.StringVar(&o.otherNode, name, "", "the same of B")
		case "report":
			f.StringVar(&o.report, name, "", "HTML `file` to write, with plots")
		}
	}
	c.PreRunE = func(c *cobra.Command, _ []string) error { return o.check(c, usual) }
	return c
}

func newPlaying() *playing { return &playing{policy: "ours", other: "ours", mode: simulated} }

// experiments plays files in virtual time or on real sockets.
func experiments() *cobra.Command {
	c := &cobra.Command{Use: "experiment", Short: "Play load and faults from a file, and judge what must hold"}
	check := &cobra.Command{
		Use: "check FILE...", Short: "Say all that is wrong with files, and play nothing", Args: cobra.MinimumNArgs(1),
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
	o := newPlaying()
	return o.flags(&cobra.Command{
		Use: "run FILE...", Short: "Play files; exit 1 if something did not hold", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			held := true
			var parts []report.Section
			p := newProgress(c, len(files)*o.runs)
			defer p.close()
			for _, file := range files {
				x, err := experiment.Load(file)
				if err != nil {
					return err
				}
				all, err := o.play(c.Context(), x, o.policy, o.node, p)
				if err != nil {
					return err
				}
				held = held && experiment.AllPassed(all)
				parts = append(parts, report.Section{Title: title(file), Experiment: x, Runs: all})
				if o.output == "json" {
					err = json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"file": file, "mode": o.mode, "held": experiment.AllPassed(all), "runs": all})
				} else {
					err = experiment.PrintRuns(c.OutOrStdout(), x, all)
				}
				if err != nil {
					return err
				}
			}
			if err := o.write("Experiments", parts); err != nil {
				return err
			}
			if !held {
				return errors.New("something did not hold")
			}
			return nil
		},
	}, 1, "policy", "mode", "node", "report")
}

// write writes the report, if one is wanted.
func (o *playing) write(heading string, parts []report.Section) error {
	if o.report == "" {
		return nil
	}
	return report.Write(o.report, heading, parts)
}

func title(file string) string { return strings.TrimSuffix(filepath.Base(file), ".toml") }

func compareCommand() *cobra.Command {
	o := newPlaying()
	return o.flags(&cobra.Command{
		Use: "compare A B", Short: "Play two files with the same seeds, and say how their shares within the aim differ", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, files []string) error {
			var both [2][]experiment.Run
			var parts []report.Section
			p := newProgress(c, 2*o.runs)
			defer p.close()
			for i, file := range files {
				x, err := experiment.Load(file)
				if err != nil {
					return err
				}
				if both[i], err = o.play(c.Context(), x, []string{o.policy, o.other}[i], []string{o.node, o.otherNode}[i], p); err != nil {
					return err
				}
				parts = append(parts, report.Section{Title: []string{"A: ", "B: "}[i] + title(file), Experiment: x, Runs: both[i]})
			}
			if err := o.write("Comparison", parts); err != nil {
				return err
			}
			d := experiment.Compare(both[0], both[1])
			if o.output == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(d)
			}
			fmt.Fprintf(c.OutOrStdout(), "within the aim: A %.4f, B %.4f; B less A %+.4f, 95%% interval %+.4f to %+.4f; B is better at %d of %d seeds\n",
				d.A, d.B, d.Mean, d.Low, d.High, d.Wins, o.runs)
			return nil
		},
	}, 20, "policy", "policy-b", "mode", "node", "node-b", "report")
}

func tableCommand() *cobra.Command {
	o := newPlaying()
	return o.flags(&cobra.Command{
		Use: "table FILE...", Short: "Play files with the module and with what others pick, and say how they differ", Args: cobra.MinimumNArgs(1),
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
				names, all = append(names, title(file)), append(all, x.OnRunDone(p.played))
			}
			return experiment.RunPolicyTable(c.Context(), c.OutOrStdout(), names, all, o.seed, o.runs)
		},
	}, 5)
}

func matchCommand() *cobra.Command {
	o := newPlaying()
	return o.flags(&cobra.Command{
		Use: "match FILE...", Short: "Play files in virtual time and on real sockets; exit 1 if their figures are too far apart", Args: cobra.MinimumNArgs(1),
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
				virtual, err := x.OnRunDone(p.played).Play(c.Context(), o.seed, o.runs)
				if err != nil {
					return err
				}
				real, err := o.onSockets(c.Context(), x, o.node, p)
				if err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				m := experiment.Matched(virtual, real)
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
				err = errors.New("virtual time and sockets are too far apart")
			}
			return err
		},
	}, 3)
}

func sweepCommand() *cobra.Command {
	o := newPlaying()
	return o.flags(&cobra.Command{
		Use: "sweep FILE KEY VALUE...", Short: `Play a file with each of several values for one key, such as "load.rate" or "fault[1].amount"`, Args: cobra.MinimumNArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			p := newProgress(c, len(args[2:])*o.runs)
			defer p.close()
			steps, err := experiment.Sweep(c.Context(), args[0], args[1], args[2:], o.policy, o.seed, o.runs, p.played)
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
	o := newPlaying()
	tries, out := 0, ""
	c := &cobra.Command{
		Use: "hunt FILE", Short: "Search seeds and faults for a broken rule, or the worst run, and shrink it to a small file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			x, err := experiment.Load(files[0])
			if err != nil {
				return err
			}
			say := func(text string) { fmt.Fprintln(c.ErrOrStderr(), text) }
			found, run, err := x.WithPolicy(o.policy).Hunt(c.Context(), o.seed, tries, say)
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
				say("written to " + out + "; replay it with: otterlab experiment replay " + out)
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
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of what is drawn, and of the first run")
	c.Flags().IntVar(&tries, "tries", 100, "runs to search")
	c.Flags().StringVar(&out, "out", "", "`file` for the find; standard output if not given")
	c.Flags().StringVar(&o.policy, "policy", "ours", "what decides in the nodes")
	c.PreRunE = func(*cobra.Command, []string) error {
		if tries < 1 || tries > 1_000_000 {
			return &cli.Exit{Code: cli.Usage, Err: fmt.Errorf("--tries %d: 1 to 1000000", tries)}
		}
		return nil
	}
	return c
}

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use: "replay FILE...", Short: "Play what hunts have found again; exit 1 if it comes out otherwise", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var errs []error
			for _, file := range files {
				x, err := experiment.Load(file)
				if err == nil {
					if _, err = x.Replay(); err == nil {
						fmt.Fprintf(c.OutOrStdout(), "%s: as found: %s\n", file, x.File.Found.Failed)
					}
				}
				errs = append(errs, err)
			}
			return errors.Join(errs...)
		},
	}
}
