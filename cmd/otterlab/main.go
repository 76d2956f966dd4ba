// Command otterlab runs a whole fleet on loopback: discovery, app boxes that inject faults
// on command, clients, agents, and real instances of the node.
//
// Exit codes: 0 success, 1 a rule broke or something failed, 2 usage error.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/buildinfo"
	"otterstep/internal/cli"
	"otterstep/internal/fleet/proc"
	"otterstep/internal/standin/lab"
)

func main() {
	if len(os.Args) > 4 && os.Args[1] == launchArg {
		_ = proc.Launch(os.Args[2], os.Args[3], os.Args[4:]) // Launch has reported the error to its parent
		os.Exit(cli.Failed)
	}
	os.Exit(cli.Run(rootCommand()))
}

type options struct {
	lab lab.Options
	dir string
}

func (o *options) flags(c *cobra.Command, instances, agents int) {
	f := c.Flags()
	f.IntVar(&o.lab.Instances, "instances", instances, "instances of the node")
	f.IntVar(&o.lab.Agents, "agents", agents, "agents, to which the instances are distributed")
	f.IntVar(&o.lab.Boxes, "boxes", 8, "app boxes")
	f.Float64Var(&o.lab.Rate, "rate", 120, "client requests per second; 0 for none")
	f.Uint64Var(&o.lab.Seed, "seed", 1, "random seed")
	f.BoolVar(&o.lab.Pull, "asked", false, "nodes query discovery, instead of having the list pushed to them")
	f.StringVar(&o.dir, "dir", "", "`directory` for configurations, logs and sockets; a temporary one if not given")
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{Use: "otterlab", Short: "Run a fleet on loopback, with faults, experiments and measurements", Version: buildinfo.Version()}
	root.AddCommand(demoCommand(), upgradeCommand(), upCommand(), boxCommand(), statusCommand(), guardCommand(), faultsCommand(), agentCommand(), ownersCommand(), desiredCommand(), comebackCommand(), experimentCommand(), loadCommand(), hostileCommand())
	return root
}

func demoCommand() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use: "demo", Short: "Run 30 seconds of load with a hanging box, a rolling restart and a crash; exit 1 if a rule broke",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withLab(c.Context(), func(l *lab.Lab, _ string) error {
				held, err := l.Demo(c.Context(), lab.DemoTimes{
					BeforeHang: 5 * time.Second, Hang: 6 * time.Second, AfterHang: 2 * time.Second, AfterRestart: 4 * time.Second,
				}, c.OutOrStdout())
				if err == nil && !held {
					err = errors.New("a rule broke")
				}
				return err
			})
		},
	}
	o.flags(c, 3, 2)
	return c
}

func upgradeCommand() *cobra.Command {
	o := &options{}
	times, every := 5, 3*time.Second
	c := &cobra.Command{
		Use: "upgrade", Short: "Upgrade an instance repeatedly under load, with boxes cordoned by hand; exit 1 if a rule broke",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.findPrograms(""); err != nil {
				return err
			}
			return o.inDir(func() error {
				held, err := lab.Upgrade(c.Context(), o.lab, times, every, c.OutOrStdout())
				if err == nil && !held {
					err = errors.New("a rule broke")
				}
				return err
			})
		},
	}
	o.flags(c, 1, 1)
	c.Flags().IntVar(&times, "times", times, "number of upgrades")
	c.Flags().DurationVar(&every, "every", every, "time between two upgrades")
	return c
}

func upCommand() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use: "up", Short: "Run a fleet until interrupted, and print example commands", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withLab(c.Context(), func(l *lab.Lab, bin string) error {
				fmt.Fprintf(c.OutOrStdout(), "%d instances under %d agents serve %.0f requests per second from %d boxes. Commands to try in another terminal:\n\n%s\nInterrupt to stop the fleet.\n",
					o.lab.Instances, o.lab.Agents, o.lab.Rate, o.lab.Boxes, l.ExampleCommands(bin))
				if err := l.Serve(c.Context()); err != nil {
					return err
				}
				l.StopClients()
				if !l.PrintReport(c.OutOrStdout()) {
					return errors.New("a rule broke")
				}
				return nil
			})
		},
	}
	o.flags(c, 10, 3)
	return c
}

func boxCommand() *cobra.Command {
	dir := ""
	c := &cobra.Command{
		Use: "box BOX WORD [NUMBER]", Short: "Send a command to a box of a running lab: hang, slow 4, fail 0.5, heal, drain, leave, crash or return",
		Args: cobra.RangeArgs(2, 3),
		RunE: func(c *cobra.Command, words []string) error {
			_, err := lab.SendCommand(c.Context(), dir, words)
			return err
		},
	}
	c.Flags().StringVar(&dir, "dir", ".", "the lab's `directory`")
	return c
}

func statusCommand() *cobra.Command {
	dir := ""
	c := &cobra.Command{
		Use: "status", Short: "Show a running lab's boxes and its clients' results", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := lab.SendCommand(c.Context(), dir, nil)
			fmt.Fprint(c.OutOrStdout(), text)
			return err
		},
	}
	c.Flags().StringVar(&dir, "dir", ".", "the lab's `directory`")
	return c
}

// guardCommand is started by the lab itself: it stops the instances once the lab's process
// has died.
func guardCommand() *cobra.Command {
	return &cobra.Command{
		Use: "guard DIR", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return lab.Guard(os.Stdin, args[0]) },
	}
}

// withLab runs do with a lab in its directory, and removes the directory if it created it.
func (o *options) withLab(ctx context.Context, do func(l *lab.Lab, bin string) error) error {
	if err := o.findPrograms(""); err != nil {
		return err
	}
	return o.inDir(func() error {
		l, err := lab.New(ctx, o.lab)
		if err != nil {
			return err
		}
		defer l.Close()
		return do(l, filepath.Dir(o.lab.Guard[0]))
	})
}

// findPrograms sets the programs that a lab starts: node, if given, and the others from this
// program's directory.
func (o *options) findPrograms(node string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	bin := filepath.Dir(self)
	if node == "" {
		node = filepath.Join(bin, "otterstep")
	}
	agent := filepath.Join(bin, "otteragent")
	for _, program := range []string{node, agent} {
		if _, err := os.Stat(program); err != nil {
			return fmt.Errorf("the other programs must be in this program's directory, build them all: %w", err)
		}
	}
	o.lab.Node, o.lab.Agent, o.lab.Guard = []string{node}, []string{agent, "run"}, []string{self, "guard"}
	return nil
}

// inDir runs do with the lab's directory, and removes the directory if it created it.
func (o *options) inDir(do func() error) (err error) {
	if o.dir == "" {
		if o.dir, err = os.MkdirTemp("", "otterlab-"); err != nil {
			return err
		}
		defer os.RemoveAll(o.dir)
	} else if err := os.MkdirAll(o.dir, 0o700); err != nil {
		return err
	}
	if o.lab.Dir, err = filepath.Abs(o.dir); err != nil {
		return err
	}
	return do()
}
