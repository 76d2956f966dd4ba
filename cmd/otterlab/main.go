// Command otterlab runs a whole fleet on loopback: discovery, app boxes that
// misbehave on command, clients, agents, and real instances of the node.
//
// Exit codes: 0 all went well, 1 a rule broke or something failed, 2 wrong use.
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
	if len(os.Args) > 4 && os.Args[1] == launchWord {
		_ = proc.Launch(os.Args[2], os.Args[3], os.Args[4:]) // it told its parent why it returned
		os.Exit(cli.Failed)
	}
	os.Exit(cli.Run(command()))
}

type options struct {
	lab lab.Options
	dir string
}

func (o *options) flags(c *cobra.Command, instances, agents int) {
	f := c.Flags()
	f.IntVar(&o.lab.Instances, "instances", instances, "instances of the node")
	f.IntVar(&o.lab.Agents, "agents", agents, "agents, among which the instances are dealt out")
	f.IntVar(&o.lab.Boxes, "boxes", 8, "app boxes")
	f.Float64Var(&o.lab.Rate, "rate", 120, "clients' requests a second; 0 for none")
	f.Uint64Var(&o.lab.Seed, "seed", 1, "seed of all that is random")
	f.BoolVar(&o.lab.Pull, "asked", false, "discovery is asked, instead of pushing its list")
	f.StringVar(&o.dir, "dir", "", "`folder` for configurations, logs and sockets; one that goes with the lab if not given")
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "otterlab", Short: "A fleet on loopback, to look at and to break", Version: buildinfo.Version()}
	root.AddCommand(demo(), upgrade(), up(), box(), status(), guard(), faultsCommand(), agentCommand(), ownersCommand(), desiredCommand(), comeback(), experiments(), loadCommand())
	return root
}

func demo() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use: "demo", Short: "Play 30 seconds of load, a box that hangs, a rolling restart and a crash; exit 1 if a rule broke",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.with(c.Context(), func(l *lab.Lab, _ string) error {
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

func upgrade() *cobra.Command {
	o := &options{}
	times, every := 5, 3*time.Second
	c := &cobra.Command{
		Use: "upgrade", Short: "Play new versions of an instance under load, with boxes left out by hand; exit 1 if a rule broke",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.programs(""); err != nil {
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
	c.Flags().IntVar(&times, "times", times, "upgrades")
	c.Flags().DurationVar(&every, "every", every, "time between two")
	return c
}

func up() *cobra.Command {
	o := &options{}
	c := &cobra.Command{
		Use: "up", Short: "Run a fleet until interrupted, and say what to type next", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.with(c.Context(), func(l *lab.Lab, bin string) error {
				fmt.Fprintf(c.OutOrStdout(), "%d instances under %d agents serve %.0f requests a second from %d boxes. Now type, elsewhere:\n\n%s\nInterrupt to end it all.\n",
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

func box() *cobra.Command {
	dir := ""
	c := &cobra.Command{
		Use: "box BOX WORD [NUMBER]", Short: "Have a box of a running lab hang, slow 4, fail 0.5, heal, drain, leave, crash or return",
		Args: cobra.RangeArgs(2, 3),
		RunE: func(c *cobra.Command, words []string) error {
			_, err := lab.SendCommand(c.Context(), dir, words)
			return err
		},
	}
	c.Flags().StringVar(&dir, "dir", ".", "the lab's `folder`")
	return c
}

func status() *cobra.Command {
	dir := ""
	c := &cobra.Command{
		Use: "status", Short: "Show a running lab's boxes and what its clients got", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := lab.SendCommand(c.Context(), dir, nil)
			fmt.Fprint(c.OutOrStdout(), text)
			return err
		},
	}
	c.Flags().StringVar(&dir, "dir", ".", "the lab's `folder`")
	return c
}

// guard is the lab's own: it ends the instances of a lab that has died.
func guard() *cobra.Command {
	return &cobra.Command{
		Use: "guard DIR", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return lab.Guard(os.Stdin, args[0]) },
	}
}

// with runs a lab in a folder, and removes the folder if it made it.
func (o *options) with(ctx context.Context, do func(l *lab.Lab, bin string) error) error {
	if err := o.programs(""); err != nil {
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

// programs finds those that a lab starts: node, if given, and the rest beside this one.
func (o *options) programs(node string) error {
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
			return fmt.Errorf("the other programs should stand beside this one, build them all: %w", err)
		}
	}
	o.lab.Node, o.lab.Agent, o.lab.Guard = []string{node}, []string{agent, "run"}, []string{self, "guard"}
	return nil
}

// inDir does something in the lab's folder, and removes the folder if it made it.
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
