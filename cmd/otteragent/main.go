// Command otteragent supervises the instances on one machine: it starts them, restarts
// them after crashes, and executes operators' commands. It carries no client traffic, and
// instances keep running when it exits or crashes.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"otterstep/internal/buildinfo"
	"otterstep/internal/cli"
	"otterstep/internal/fleet/agent"
	"otterstep/internal/fleet/proc"
)

// launchCommand makes this program act as the launcher of an instance; see package proc.
const launchCommand = "launch"

func main() {
	if len(os.Args) > 4 && os.Args[1] == launchCommand {
		_ = proc.Launch(os.Args[2], os.Args[3], os.Args[4:]) // the error has been reported to the parent
		os.Exit(cli.Failed)
	}
	os.Exit(cli.Run(command()))
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "otteragent", Short: "Supervises the node instances on one machine", Version: buildinfo.Version()}
	file, first := "", false
	load := func() (agent.Config, error) {
		cfg, err := agent.LoadConfig(file)
		if err != nil {
			return cfg, &cli.Exit{Code: cli.Usage, Err: err}
		}
		return cfg, nil
	}
	run := &cobra.Command{
		Use: "run", Short: "Supervise the instances until SIGTERM; they keep running afterwards", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := load()
			if err != nil {
				return err
			}
			a, err := agent.New(cfg, agent.Options{
				Launcher: []string{"/proc/self/exe", launchCommand}, Version: buildinfo.Version(),
				Log: slog.New(slog.NewTextHandler(os.Stderr, nil)), FirstStart: first,
			})
			if err != nil {
				return err
			}
			return a.Run(c.Context())
		},
	}
	run.Flags().BoolVar(&first, "first", false, "this agent starts for the first time: an empty state folder is expected. With [council], the first voter bootstraps the council once all voters are reachable")
	check := &cobra.Command{
		Use: "check", Short: "Report all errors in the agent's file without starting anything", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := load()
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: agent %s with %d instances\n", file, cfg.Name, len(cfg.Instance))
			}
			return err
		},
	}
	for _, c := range []*cobra.Command{run, check} {
		c.Flags().StringVar(&file, "config", "agent.toml", "the agent's `file`")
		root.AddCommand(c)
	}
	return root
}
