// Package ctl implements otterctl's command line.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/buildinfo"
	"otterstep/internal/cli"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/pki"
	"otterstep/internal/fleet/protocol"
)

// fleetEnvVar is the environment variable with the path of the fleet file, used without --fleet.
const fleetEnvVar = "OTTERCTL_FLEET"

// options holds the flags shared by commands.
type options struct {
	fleet   string
	output  string
	timeout time.Duration
	dryRun  bool
	group   string
	labels  []string
}

// Command builds the command line.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use: "otterctl", Short: "Show many instances and command them as one group", Version: buildinfo.Version(),
		Long: `Show many instances and command them as one group.

Exit codes: 0 all done, 1 some failed, 2 wrong usage (nothing was done), 3 some did
not answer, 4 another command came first (nothing was done).`,
	}
	o := &options{}
	root.PersistentFlags().StringVar(&o.fleet, "fleet", "", "`file` that lists the agents; $"+fleetEnvVar+" or fleet.toml if not given")
	root.PersistentFlags().StringVarP(&o.output, "output", "o", "table", "table, wide or json")
	root.PersistentFlags().DurationVar(&o.timeout, "timeout", 30*time.Second, "time limit of the whole command, even if agents hang; 5s for commands that only read")
	root.AddCommand(o.listCommand(), o.inspectCommand(), o.agentsCommand(), o.watchCommand(), o.opsCommand(), o.ownersCommand(), o.jobsCommand(), o.councilCommand(), o.recoveryCommand(), o.keptCommand(), pkiCommand())
	root.AddCommand(o.backupCommands()...)
	root.AddCommand(o.fleetCommands()...)
	for kind, short := range map[string]string{
		protocol.Start:   "Start instances and wait until they serve",
		protocol.Drain:   "Drain and stop instances, and keep them down",
		protocol.Restart: "Restart instances, all at once; see rollout for a few at a time",
		protocol.Reload:  "Make instances reload their configuration",
	} {
		root.AddCommand(o.orderCommand(kind, short))
	}
	rollout := &cobra.Command{Use: "rollout", Short: "Command a group a few instances at a time"}
	rollout.AddCommand(o.rolloutCommand())
	root.AddCommand(rollout)
	return root
}

func usageErrorf(format string, args ...any) error {
	return &cli.Exit{Code: cli.Usage, Err: fmt.Errorf(format, args...)}
}

// loadFleet checks the shared flags and reads the fleet file.
func (o *options) loadFleet() (*group.Fleet, error) {
	switch o.output {
	case "table", "wide", "json":
	default:
		return nil, usageErrorf("-o %q: table, wide or json", o.output)
	}
	if o.timeout <= 0 {
		return nil, usageErrorf("--timeout %v: must be positive", o.timeout)
	}
	path := o.fleet
	if path == "" {
		path = os.Getenv(fleetEnvVar)
	}
	if path == "" {
		path = "fleet.toml"
	}
	f, err := group.Load(path)
	if err != nil {
		return nil, &cli.Exit{Code: cli.Usage, Err: err}
	}
	return f, nil
}

// readTimeout is the default time limit of commands that only read: an agent that hangs
// must not delay the others' answers for long.
const readTimeout = 5 * time.Second

// withReadTimeout is withFleet for commands that only read.
func (o *options) withReadTimeout(c *cobra.Command, call func(ctx context.Context, f *group.Fleet) error) error {
	if !c.Flags().Changed("timeout") {
		o.timeout = readTimeout
	}
	return o.withFleet(c, call)
}

// withFleet runs a command on the fleet within the time limit.
func (o *options) withFleet(c *cobra.Command, call func(ctx context.Context, f *group.Fleet) error) error {
	f, err := o.loadFleet()
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
	defer cancel()
	return call(ctx, f)
}

func (o *options) addSelectionFlags(c *cobra.Command) {
	c.Flags().StringVar(&o.group, "group", "", "only instances of this group")
	c.Flags().StringArrayVar(&o.labels, "label", nil, "only instances with this label, as `key=value`; may be given again")
	c.ValidArgsFunction = o.complete
}

func (o *options) selector(names []string) (group.Selector, error) {
	s := group.Selector{Names: names, Group: o.group, Labels: map[string]string{}}
	for _, l := range o.labels {
		k, v, ok := strings.Cut(l, "=")
		if !ok || k == "" {
			return s, usageErrorf("--label %q: not of the form key=value", l)
		}
		s.Labels[k] = v
	}
	return s, nil
}

// complete returns instance names for shell completion.
func (o *options) complete(c *cobra.Command, _ []string, start string) ([]string, cobra.ShellCompDirective) {
	f, err := o.loadFleet()
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	names := []string{}
	for _, r := range append(f.List(ctx).Rows, group.Row{Instance: protocol.Instance{Name: "all"}}) {
		if strings.HasPrefix(r.Name, start) {
			names = append(names, r.Name)
		}
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func (o *options) listCommand() *cobra.Command {
	c := &cobra.Command{Use: "list [NAME…]", Short: "List instances"}
	o.addSelectionFlags(c)
	c.RunE = func(c *cobra.Command, names []string) error {
		s, err := o.selector(names)
		if err != nil {
			return err
		}
		return o.withReadTimeout(c, func(ctx context.Context, f *group.Fleet) error {
			l := f.List(ctx)
			if !s.Empty() {
				rows, err := l.Select(s)
				if err != nil && len(l.Silent) == 0 {
					return &cli.Exit{Code: cli.Usage, Err: err}
				}
				l.Rows = append([]group.Row{}, rows...)
			}
			return o.show(c.OutOrStdout(), l, func(p *printer) { p.rows(l.Rows); p.silent(l.Silent) }, len(l.Silent) > 0)
		})
	}
	return c
}

func (o *options) inspectCommand() *cobra.Command {
	c := &cobra.Command{Use: "inspect NAME…", Short: "Show the state of instances, including their servers"}
	return o.queryInstances(c, (*group.Fleet).Inspect, (*printer).inspected)
}

// queryInstances completes a command that calls each of the selected instances and shows their answers.
func (o *options) queryInstances(c *cobra.Command, call func(*group.Fleet, context.Context, []group.Row) []group.Inspected, table func(*printer, []group.Inspected)) *cobra.Command {
	o.addSelectionFlags(c)
	c.RunE = func(c *cobra.Command, names []string) error {
		s, err := o.selector(names)
		if err != nil {
			return err
		}
		if s.Empty() {
			return usageErrorf("%s: name instances, or all", strings.TrimPrefix(c.CommandPath(), "otterctl "))
		}
		return o.withReadTimeout(c, func(ctx context.Context, f *group.Fleet) error {
			l := f.ListForSelection(ctx)
			rows, err := l.Select(s)
			if err != nil && len(l.Silent) == 0 {
				return &cli.Exit{Code: cli.Usage, Err: err}
			}
			all := call(f, ctx, rows)
			silent, failed := len(l.Silent) > 0, false
			for _, i := range all {
				silent = silent || i.Silent
				failed = failed || i.Err != "" && !i.Silent
			}
			answer := struct {
				Instances []group.Inspected  `json:"instances"`
				Silent    []group.Unanswered `json:"silent"`
			}{all, l.Silent}
			err = o.show(c.OutOrStdout(), answer, func(p *printer) { table(p, all); p.silent(l.Silent) }, silent)
			if failed {
				return &cli.Exit{Code: cli.Failed}
			}
			return err
		})
	}
	return c
}

func (o *options) agentsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "agents", Short: "List the agents", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withReadTimeout(c, func(ctx context.Context, f *group.Fleet) error {
				agents, silent := f.Agents(ctx)
				answer := struct {
					Agents []protocol.Agent   `json:"agents"`
					Silent []group.Unanswered `json:"silent"`
				}{agents, silent}
				return o.show(c.OutOrStdout(), answer, func(p *printer) { p.agents(agents); p.silent(silent) }, len(silent) > 0)
			})
		},
	}
}

// orderCommand returns a command that runs on all selected instances at once.
func (o *options) orderCommand(kind, short string) *cobra.Command {
	c := &cobra.Command{Use: kind + " NAME…", Short: short}
	o.addSelectionFlags(c)
	c.Flags().BoolVar(&o.dryRun, "dry-run", false, "show what would be done, and do nothing")
	c.RunE = func(c *cobra.Command, names []string) error {
		return o.execute(c, names, group.Order{Plan: group.Plan{Kind: kind}})
	}
	return c
}

func (o *options) rolloutCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "restart NAME…", Short: "Restart a group a few instances at a time, and stop when its health degrades",
	}
	o.addSelectionFlags(c)
	c.Flags().BoolVar(&o.dryRun, "dry-run", false, "show what would be done, and do nothing")
	maxUnavailable := c.Flags().Int("max-unavailable", 1, "limit of the group's instances that are unavailable at once, for any reason")
	pause := c.Flags().Duration("pause", 0, "time between an instance's return and the next restart")
	detach := c.Flags().Bool("detach", false, "with a council: submit the job, and don't watch it")
	c.RunE = func(c *cobra.Command, names []string) error {
		if *maxUnavailable < 1 || *pause < 0 {
			return usageErrorf("--max-unavailable must be 1 or more, --pause not negative")
		}
		if !c.Flags().Changed("timeout") {
			o.timeout = 10 * time.Minute
		}
		return o.rollOut(c, names, group.Order{Plan: group.Plan{Kind: protocol.Restart, MaxUnavailable: *maxUnavailable, Pause: *pause}}, *detach)
	}
	return c
}

// rollOut submits a rollout to the council and watches it. In a fleet without a council the tool
// executes the rollout itself.
func (o *options) rollOut(c *cobra.Command, names []string, order group.Order, detach bool) error {
	s, err := o.selector(names)
	if err != nil {
		return err
	}
	if s.Empty() {
		return errNoSelection(c)
	}
	order.Select = s
	driveDirectly := o.dryRun
	if !driveDirectly {
		err := o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
			if _, err := f.View(ctx); !errors.Is(err, group.ErrNoCouncil) {
				return o.submit(ctx, c, f, order, detach)
			}
			driveDirectly = true
			return nil
		})
		if !driveDirectly {
			return err
		}
	}
	if detach {
		return usageErrorf("--detach: no agent of this fleet has [council], so the tool executes the rollout itself and can't detach")
	}
	return o.execute(c, names, order)
}

func errNoSelection(c *cobra.Command) error {
	return usageErrorf("%s: name instances, or all, or narrow them down by --group or --label", c.CommandPath())
}

// execute executes an order and prints its report.
func (o *options) execute(c *cobra.Command, names []string, order group.Order) error {
	s, err := o.selector(names)
	if err != nil {
		return err
	}
	if s.Empty() && order.Resume == "" {
		return errNoSelection(c)
	}
	order.Select, order.DryRun = s, o.dryRun
	return o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
		progress := newProgress(c.ErrOrStderr(), o.output != "json")
		order.Progress = progress.result
		r, err := f.Execute(ctx, order)
		progress.end()
		if err != nil {
			return &cli.Exit{Code: cli.Usage, Err: err}
		}
		if err := o.show(c.OutOrStdout(), r, func(p *printer) { p.report(r) }, false); err != nil {
			return err
		}
		if code := reportExitCode(r); code != cli.OK {
			return &cli.Exit{Code: code}
		}
		return nil
	})
}

// reportExitCode returns the exit code of a report.
func reportExitCode(r *group.Report) int {
	if r.Conflict != nil {
		return cli.Conflict
	}
	code := cli.OK
	if len(r.Silent) > 0 {
		code = cli.NoAnswer
	}
	for _, result := range r.Results {
		switch result.Outcome {
		case group.Failed:
			return cli.Failed
		case group.NoAnswer:
			code = cli.NoAnswer
		}
	}
	if r.Stopped != "" && code == cli.OK {
		code = cli.Failed
	}
	return code
}

func (o *options) opsCommand() *cobra.Command {
	ops := &cobra.Command{Use: "ops", Short: "Show commands, and abort or resume them"}
	ops.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the latest commands", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return o.withReadTimeout(c, func(ctx context.Context, f *group.Fleet) error {
					parts, silent := f.Commands(ctx)
					return o.showParts(c, parts, silent, func(p *printer) { p.commands(parts) })
				})
			},
		},
		&cobra.Command{
			Use: "show ID", Short: "Show a command with its operations and their steps", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return o.withReadTimeout(c, func(ctx context.Context, f *group.Fleet) error {
					parts, silent := f.Command(ctx, args[0])
					if len(parts) == 0 && len(silent) == 0 {
						return usageErrorf("no agent knows of command %s", args[0])
					}
					return o.showParts(c, parts, silent, func(p *printer) { p.steps(parts) })
				})
			},
		},
		&cobra.Command{
			Use: "resume ID", Short: "Resume a command: finished instances are kept, the others are executed", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				if !c.Flags().Changed("timeout") {
					o.timeout = 10 * time.Minute
				}
				return o.execute(c, nil, group.Order{Resume: args[0]})
			},
		},
		&cobra.Command{
			Use: "abort ID", Short: "Abort a command: no further instance is started, interrupted operations are abandoned", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
					parts, silent := f.Abort(ctx, args[0])
					if len(parts) == 0 && len(silent) == 0 {
						return usageErrorf("no agent knows of command %s", args[0])
					}
					return o.showParts(c, parts, silent, func(p *printer) { p.commands(parts) })
				})
			},
		})
	return ops
}

func (o *options) showParts(c *cobra.Command, parts []group.Part, silent []group.Unanswered, table func(*printer)) error {
	answer := struct {
		Commands []group.Part       `json:"commands"`
		Silent   []group.Unanswered `json:"silent"`
	}{parts, silent}
	return o.show(c.OutOrStdout(), answer, func(p *printer) { table(p); p.silent(silent) }, len(silent) > 0)
}

func pkiCommand() *cobra.Command {
	root := &cobra.Command{Use: "pki", Short: "Create a fleet's certificate authority and certificates"}
	dir := "pki"
	root.PersistentFlags().StringVar(&dir, "dir", dir, "`directory` of the certificate authority")
	name := "fleet"
	initialize := &cobra.Command{
		Use: "init", Short: "Create a certificate authority: ca.pem to distribute, ca.key to keep secret", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := pki.Init(dir, name, time.Now()); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), filepath.Join(dir, "ca.pem"))
			return nil
		},
	}
	initialize.Flags().StringVar(&name, "name", name, "the authority's name")
	r := pki.Request{}
	issue := &cobra.Command{
		Use: "issue NAME", Short: "Create NAME.pem and NAME.key for a viewer, an operator or an agent", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r.Name = args[0]
			if err := pki.Issue(dir, r, time.Now()); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), filepath.Join(dir, r.Name+".pem"))
			return nil
		},
	}
	issue.Flags().StringVar(&r.Role, "role", pki.Viewer, "viewer, operator or agent")
	issue.Flags().StringSliceVar(&r.Hosts, "host", nil, "an agent's host names and addresses")
	issue.Flags().DurationVar(&r.ValidFor, "for", 90*24*time.Hour, "validity of the certificate")
	root.AddCommand(initialize, issue)
	return root
}

// watchCommand shows a live table on a terminal, and otherwise prints a line for each change.
func (o *options) watchCommand() *cobra.Command {
	c := &cobra.Command{Use: "watch [NAME…]", Short: "Watch instances until interrupted"}
	o.addSelectionFlags(c)
	interval := c.Flags().Duration("every", time.Second, "time between two queries")
	c.RunE = func(c *cobra.Command, names []string) error {
		s, err := o.selector(names)
		if err != nil {
			return err
		}
		if *interval < 100*time.Millisecond {
			return usageErrorf("--every %v: at least 100ms", *interval)
		}
		f, err := o.loadFleet()
		if err != nil {
			return err
		}
		defer f.Close()
		return o.watchInstances(c.Context(), c.OutOrStdout(), f, s, *interval)
	}
	return c
}
