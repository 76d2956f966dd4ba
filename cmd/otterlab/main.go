// Command otterlab runs a whole fleet on loopback: discovery, app boxes that
// misbehave on command, clients, and real instances of the node.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/standin/lab"
)

// Exit codes: 0 all went well, 1 a rule broke or something failed, 2 wrong use.
const (
	exitFailed = 1
	exitUsage  = 2
)

// errBroken means that the demo ran to its end and a rule broke; its table says so.
var errBroken = errors.New("a rule broke")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	used := false
	root := command(&used)
	root.SetContext(ctx)
	err := root.Execute()
	switch {
	case err == nil:
	case !used:
		fmt.Fprintln(os.Stderr, "otterlab:", err)
		os.Exit(exitUsage)
	default:
		fmt.Fprintln(os.Stderr, "otterlab:", err)
		os.Exit(exitFailed)
	}
}

// command builds the command line; used is set once the words were understood.
func command(used *bool) *cobra.Command {
	root := &cobra.Command{
		Use: "otterlab", Short: "A fleet on loopback, to look at and to break",
		SilenceErrors: true, SilenceUsage: true,
		PersistentPreRun: func(*cobra.Command, []string) { *used = true },
	}
	opt := lab.Options{}
	dir := ""
	flags := func(c *cobra.Command, instances int) {
		c.Flags().IntVar(&opt.Instances, "instances", instances, "instances of the node")
		c.Flags().IntVar(&opt.Boxes, "boxes", 8, "app boxes")
		c.Flags().Float64Var(&opt.Rate, "rate", 120, "clients' requests a second; 0 for none")
		c.Flags().Uint64Var(&opt.Seed, "seed", 1, "seed of all that is random")
		c.Flags().BoolVar(&opt.Asked, "asked", false, "discovery is asked, instead of pushing its list")
		c.Flags().StringVar(&dir, "dir", "", "folder for configurations, logs and sockets; a new one that goes with the lab if not given")
	}
	demo := &cobra.Command{
		Use: "demo", Short: "Play 30 seconds of load, a box that hangs and a rolling restart; exit 1 if a rule broke",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return with(c.Context(), &opt, dir, func(l *lab.Lab) error {
				held, err := l.Demo(c.Context(), lab.Story{
					Calm: 6 * time.Second, Hang: 6 * time.Second, Healed: 2 * time.Second, After: 3 * time.Second,
				}, c.OutOrStdout())
				if err == nil && !held {
					err = errBroken
				}
				return err
			})
		},
	}
	flags(demo, 3)
	root.AddCommand(demo)
	return root
}

// with runs a lab in a folder, and removes the folder if it made it.
func with(ctx context.Context, opt *lab.Options, dir string, do func(*lab.Lab) error) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	node := filepath.Join(filepath.Dir(self), "otterstep")
	if _, err := os.Stat(node); err != nil {
		return fmt.Errorf("the node's program should stand beside this one, build both: %w", err)
	}
	opt.Node = []string{node}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "otterlab-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if opt.Dir, err = filepath.Abs(dir); err != nil {
		return err
	}
	l, err := lab.New(ctx, *opt)
	if err != nil {
		return err
	}
	defer l.Close()
	return do(l)
}
