package ctl

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/cli"
	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/fleet/reconcile"
	"otterstep/internal/tomlfile"
)

// desiredFile is the operators' file with the fleet's desired state.
type desiredFile struct {
	Budgets *struct {
		Away     *int               `toml:"away"`
		Zone     *int               `toml:"zone"`
		OutShare *float64           `toml:"out_share"`
		Starts   *float64           `toml:"starts"`
		Trial    *tomlfile.Duration `toml:"trial"`
	} `toml:"budgets"`
	Group []struct {
		Name    string `toml:"name"`
		Program string `toml:"program"`
	} `toml:"group"`
	Ban []struct {
		Server string            `toml:"server"`
		Reason string            `toml:"reason"`
		For    tomlfile.Duration `toml:"for"`
	} `toml:"ban"`
}

// loadDesiredFile reads a file as a change of a document: groups that it does not name are reset to the agents'
// files, budgets that it does not give have their default, and bans that it does not name stay.
func loadDesiredFile(path string, now *desired.Document) (*desired.Patch, error) {
	var file desiredFile
	f, err := tomlfile.Load(path, &file)
	if err != nil {
		return nil, err
	}
	p := &desired.Patch{Groups: map[string]*desired.Group{}, Bans: map[string]*desired.Ban{}}
	for name := range now.Groups {
		p.Groups[name] = nil
	}
	if b := file.Budgets; b != nil {
		budgets := desired.DefaultBudgets
		if b.Away != nil {
			budgets.Unavailable = *b.Away
		}
		if b.Zone != nil {
			budgets.ZoneUnavailable = *b.Zone
		}
		if b.OutShare != nil {
			budgets.OutShare = *b.OutShare
		}
		if b.Starts != nil {
			budgets.StartsPerSecond = *b.Starts
		}
		if b.Trial != nil {
			budgets.Trial = b.Trial.Duration
		}
		p.Budgets = &budgets
		if err := (desired.Patch{Budgets: &budgets}).Check(); err != nil {
			f.Errorf("budgets", "%v", err)
		}
	}
	for n, g := range file.Group {
		at := fmt.Sprintf("group[%d]", n+1)
		if p.Groups[g.Name] != nil {
			f.Errorf(at+".name", "%q is given twice", g.Name)
		}
		p.Groups[g.Name] = &desired.Group{Program: g.Program}
		if err := (desired.Patch{Groups: map[string]*desired.Group{g.Name: p.Groups[g.Name]}}).Check(); err != nil {
			f.Errorf(at, "%v", err)
		}
	}
	for n, b := range file.Ban {
		at := fmt.Sprintf("ban[%d]", n+1)
		if p.Bans[b.Server] != nil {
			f.Errorf(at+".server", "%q is given twice", b.Server)
		}
		p.Bans[b.Server] = &desired.Ban{Server: b.Server, Reason: b.Reason, Duration: b.For.Duration}
		if err := (desired.Patch{Bans: map[string]*desired.Ban{b.Server: p.Bans[b.Server]}}).Check(); err != nil {
			f.Errorf(at, "%v", err)
		}
	}
	return p, f.Err()
}

// withDesired calls show with the fleet's desired state. with is withFleet or withReadTimeout.
func (o *options) withDesired(c *cobra.Command, with func(*cobra.Command, func(context.Context, *group.Fleet) error) error, show func(context.Context, *group.Fleet, duty.FleetView) error) error {
	return with(c, func(ctx context.Context, f *group.Fleet) error {
		v, err := f.Desired(ctx)
		if errors.Is(err, group.ErrNoFleet) {
			return &cli.Exit{Code: cli.Usage, Err: err}
		}
		if err != nil {
			return councilError(err)
		}
		return show(ctx, f, v)
	})
}

// change builds a change from the current desired state, submits it, and waits until all nodes have confirmed it
// unless detach is set.
func (o *options) change(c *cobra.Command, detach bool, build func(v duty.FleetView) (desired.Change, error)) error {
	return o.withDesired(c, o.withFleet, func(ctx context.Context, f *group.Fleet, v duty.FleetView) error {
		if !v.Current {
			return councilError(protocol.Errorf(protocol.CodeNoCouncil, "%s has only a state that may be outdated, as no leader can be reached: nothing was changed", v.From))
		}
		change, err := build(v)
		if err != nil {
			return err
		}
		change.ID, change.At, change.BasedOn = protocol.NewID(time.Now(), rand.Uint64()), time.Now(), v.State.Document.Version
		version, err := f.Change(ctx, change)
		if err != nil {
			return councilError(err)
		}
		if detach {
			return o.show(c.OutOrStdout(), struct {
				Version desired.Version `json:"version"`
			}{version}, func(p *printer) { fmt.Fprintf(p.tab, "version %v\n", version) }, false)
		}
		report := waitForVersion(ctx, f, version)
		return o.show(c.OutOrStdout(), report.progress, func(p *printer) { p.versionStatus(report) }, !report.confirmed())
	})
}

// fleetCommands returns the commands on the fleet's desired state.
func (o *options) fleetCommands() []*cobra.Command {
	detach := false
	addDetachFlag := func(c *cobra.Command) *cobra.Command {
		c.Flags().BoolVar(&detach, "detach", false, "do not wait until all nodes have confirmed it")
		return c
	}
	reason, duration := "", time.Duration(0)
	ban := addDetachFlag(&cobra.Command{
		Use: "ban SERVER --reason TEXT", Short: "Ban a server at all nodes, for a time or until unban", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.change(c, detach, func(duty.FleetView) (desired.Change, error) {
				p := &desired.Patch{Bans: map[string]*desired.Ban{args[0]: {Server: args[0], Reason: reason, Duration: duration}}}
				if err := p.Check(); err != nil {
					return desired.Change{}, usageErrorf("%v", err)
				}
				return desired.Change{Set: p, Note: reason}, nil
			})
		},
	})
	ban.Flags().StringVar(&reason, "reason", "", "reason, shown in the status")
	ban.Flags().DurationVar(&duration, "for", 0, "duration of the ban; until unban if not given")
	unban := addDetachFlag(&cobra.Command{
		Use: "unban SERVER", Short: "End the fleet's ban of a server; a manual cordon at a single node stays", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.change(c, detach, func(v duty.FleetView) (desired.Change, error) {
				if v.State.Document.Bans[args[0]] == nil {
					return desired.Change{}, usageErrorf("server %q is not banned", args[0])
				}
				return desired.Change{Set: &desired.Patch{Bans: map[string]*desired.Ban{args[0]: nil}}}, nil
			})
		},
	})
	file := ""
	apply := addDetachFlag(&cobra.Command{
		Use: "apply -f FILE", Short: "Set the fleet's desired state from a file", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				return usageErrorf("-f FILE: required")
			}
			if o.dryRun {
				return o.showFileDiff(c, file)
			}
			return o.change(c, detach, func(v duty.FleetView) (desired.Change, error) {
				p, err := loadDesiredFile(file, &v.State.Document)
				if err != nil {
					return desired.Change{}, &cli.Exit{Code: cli.Usage, Err: err}
				}
				return desired.Change{Set: p, Note: "apply"}, nil
			})
		},
	})
	apply.Flags().StringVarP(&file, "file", "f", "", "file with the fleet's desired state")
	apply.Flags().BoolVar(&o.dryRun, "dry-run", false, "show what would change, and change nothing")
	diff := &cobra.Command{
		Use: "diff [-f FILE | VERSION]", Short: "Show what a file would change, or what has changed since a version", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if file != "" {
				return o.showFileDiff(c, file)
			}
			since := desired.Version(0)
			if len(args) == 1 {
				var err error
				if since, err = parseVersion(args[0]); err != nil {
					return err
				}
			}
			return o.withDesired(c, o.withReadTimeout, func(_ context.Context, _ *group.Fleet, v duty.FleetView) error {
				if len(args) == 0 {
					since = v.State.Floor
				}
				lines, ok := v.State.Diff(since)
				if !ok {
					return usageErrorf("changes since version %v are no longer in the history, which starts at version %v", since, v.State.Floor)
				}
				return o.showChanges(c, v, lines)
			})
		},
	}
	diff.Flags().StringVarP(&file, "file", "f", "", "file with the fleet's desired state")
	return []*cobra.Command{ban, unban, apply, diff, o.statusCommand(), addDetachFlag(&cobra.Command{
		Use: "undo [VERSION]", Short: "Revert the changes of a version, by default the latest, as a new version", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.change(c, detach, func(v duty.FleetView) (desired.Change, error) {
				if len(args) == 1 {
					back, err := parseVersion(args[0])
					return desired.Change{Undo: back, Note: "undo " + args[0]}, err
				}
				if len(v.State.History) == 0 {
					return desired.Change{}, usageErrorf("there is no change to revert")
				}
				back := v.State.History[len(v.State.History)-1].Version
				return desired.Change{Undo: back, Note: "undo " + back.String()}, nil
			})
		},
	})}
}

// parseVersion parses a version such as "0.17".
func parseVersion(text string) (desired.Version, error) {
	epoch, number, ok := strings.Cut(text, ".")
	e, err1 := strconv.ParseUint(epoch, 10, 64-protocol.EpochShift)
	n, err2 := strconv.ParseUint(number, 10, protocol.EpochShift)
	if !ok || err1 != nil || err2 != nil {
		return 0, usageErrorf("%q is not a version such as 0.17", text)
	}
	return desired.Version(e<<protocol.EpochShift | n), nil
}

// showFileDiff shows what a file would change.
func (o *options) showFileDiff(c *cobra.Command, file string) error {
	return o.withDesired(c, o.withReadTimeout, func(_ context.Context, _ *group.Fleet, v duty.FleetView) error {
		p, err := loadDesiredFile(file, &v.State.Document)
		if err != nil {
			return &cli.Exit{Code: cli.Usage, Err: err}
		}
		return o.showChanges(c, v, v.State.Preview(*p))
	})
}

func (o *options) showChanges(c *cobra.Command, v duty.FleetView, lines []string) error {
	answer := struct {
		Version desired.Version `json:"version"`
		Current bool            `json:"current"`
		Changes []string        `json:"changes"`
	}{v.State.Document.Version, v.Current, append([]string{}, lines...)}
	return o.show(c.OutOrStdout(), answer, func(p *printer) {
		p.staleFleetWarning(v)
		for _, line := range lines {
			fmt.Fprintln(p.tab, stripControl(line))
		}
		if len(lines) == 0 {
			fmt.Fprintln(p.tab, "no change")
		}
	}, !v.Current)
}

func (o *options) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the fleet's desired state, and which version each node has confirmed", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withDesired(c, o.withReadTimeout, func(ctx context.Context, f *group.Fleet, v duty.FleetView) error {
				report := queryVersion(ctx, f, v.State.Document.Version)
				answer := struct {
					Current  bool                            `json:"current"`
					Owner    string                          `json:"owner"`
					State    *desired.State                  `json:"state"`
					Standing reconcile.Progress              `json:"standing"`
					Agents   map[string]protocol.FleetStatus `json:"agents"`
				}{v.Current, v.Owner, v.State, report.progress, report.byAgent}
				return o.show(c.OutOrStdout(), answer, func(p *printer) {
					p.staleFleetWarning(v)
					p.document(v.State)
					p.versionStatus(report)
				}, !v.Current || !report.confirmed())
			})
		},
	}
}

func (p *printer) staleFleetWarning(v duty.FleetView) {
	if !v.Current {
		fmt.Fprintf(p.tab, "MAY BE OLD: answer of %s, not confirmed by a majority\n", stripControl(v.From))
	}
}

// document shows the fleet's desired state.
func (p *printer) document(s *desired.State) {
	d := &s.Document
	fmt.Fprintf(p.tab, "version %v; %d servers listed; limits: %v of them banned, %d of a group's instances unavailable", d.Version, s.Servers, d.Budgets.OutShare, d.Budgets.Unavailable)
	if d.Budgets.ZoneUnavailable > 0 {
		fmt.Fprintf(p.tab, ", %d of a zone's", d.Budgets.ZoneUnavailable)
	}
	fmt.Fprint(p.tab, "\n\n")
	if len(d.Bans) > 0 {
		p.line("BANNED SERVER", "REASON", "BY", "SINCE", "LASTS")
		for _, id := range slices.Sorted(maps.Keys(d.Bans)) {
			b := d.Bans[id]
			lasts := "until unban"
			if b.Duration > 0 {
				lasts = fmt.Sprintf("%v, about %v left", b.Duration, b.Remaining.Round(time.Second))
			}
			p.line(id, b.Reason, b.By, p.age(b.At)+" ago", lasts)
		}
		fmt.Fprintln(p.tab)
	}
	if len(d.Groups) > 0 {
		p.line("GROUP", "PROGRAM")
		for _, name := range slices.Sorted(maps.Keys(d.Groups)) {
			p.line(name, d.Groups[name].Program)
		}
		fmt.Fprintln(p.tab)
	}
}
