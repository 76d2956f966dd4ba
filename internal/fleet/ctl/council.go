package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/cli"
	"otterstep/internal/fleet/duty"
	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
)

// councilError adds the exit code to an error of a council call. After a refusal nothing has changed;
// without an answer the result is unknown.
func councilError(err error) error {
	var refused *protocol.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, group.ErrNoCouncil):
		return &cli.Exit{Code: cli.Usage, Err: err}
	case !errors.As(err, &refused), refused.Code == protocol.CodeNoCouncil:
		return &cli.Exit{Code: cli.NoAnswer, Err: err}
	case refused.Code == protocol.CodeConflict, refused.Code == protocol.CodeFenced:
		return &cli.Exit{Code: cli.Conflict, Err: err}
	case refused.Code == protocol.CodeUsage, refused.Code == protocol.CodeNotFound:
		return &cli.Exit{Code: cli.Usage, Err: err}
	}
	return &cli.Exit{Code: cli.Failed, Err: err}
}

// submit submits a rollout to the council, and watches it unless detach is set. The job runs
// independently of the tool.
func (o *options) submit(ctx context.Context, c *cobra.Command, f *group.Fleet, order group.Order, detach bool) error {
	j, silent, err := f.Submit(ctx, order)
	if errors.Is(err, group.ErrNoInstances) {
		return &cli.Exit{Code: cli.Usage, Err: err}
	}
	if err != nil {
		return councilError(err)
	}
	if detach {
		return o.show(c.OutOrStdout(), j, func(p *printer) { fmt.Fprintf(p.tab, "job %s\n", j.ID); p.silent(silent) }, len(silent) > 0)
	}
	quiet := o.output == "json"
	if !quiet {
		fmt.Fprintf(c.ErrOrStderr(), "job %s goes on without this tool\n", j.ID)
	}
	progress := newProgress(c.ErrOrStderr(), !quiet)
	lastMessage := ""
	j = f.Follow(ctx, j, progress.result, func(text string) {
		if text != lastMessage && !quiet {
			lastMessage = text
			fmt.Fprintln(c.ErrOrStderr(), stripControl(text))
		}
	})
	progress.end()
	if err := o.show(c.OutOrStdout(), j, func(p *printer) { p.job(j); p.silent(silent) }, false); err != nil {
		return err
	}
	if err := jobError(j); err != nil || len(silent) == 0 {
		return err
	}
	return &cli.Exit{Code: cli.NoAnswer}
}

// jobError returns an error with a job's exit code, which is 3 until the job has ended.
func jobError(j *duty.Job) error {
	switch {
	case j.Open() || j.State == duty.Paused:
		return &cli.Exit{Code: cli.NoAnswer}
	case j.State != duty.Finished:
		return &cli.Exit{Code: cli.Failed}
	}
	return nil
}

// showView shows the council's state. If the state may be outdated, it prints a warning and the
// exit code is 3.
func (o *options) showView(c *cobra.Command, show func(v duty.View) (answer any, table func(*printer), err error)) error {
	return o.withReadTimeout(c, func(ctx context.Context, f *group.Fleet) error {
		v, err := f.View(ctx)
		if err != nil {
			return councilError(err)
		}
		answer, table, err := show(v)
		if err != nil {
			return err
		}
		return o.show(c.OutOrStdout(), answer, func(p *printer) {
			p.staleViewWarning(v)
			table(p)
		}, !v.Current)
	})
}

// runCouncilCommand submits a command to the council and prints done.
func (o *options) runCouncilCommand(c *cobra.Command, k duty.Command, done string) error {
	return o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
		a, err := f.CouncilSubmit(ctx, k)
		if err != nil {
			return councilError(err)
		}
		return o.show(c.OutOrStdout(), a, func(p *printer) { fmt.Fprintln(p.tab, done) }, false)
	})
}

func (o *options) ownersCommand() *cobra.Command {
	owners := &cobra.Command{
		Use: "owners", Short: "Show each duty's owner, token and remaining lease", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.showView(c, func(v duty.View) (any, func(*printer), error) {
				return v, func(p *printer) { p.owners(v) }, nil
			})
		},
	}
	owners.AddCommand(&cobra.Command{
		Use: "release DUTY", Short: "Revoke a duty from its owner: another agent may acquire it at once, and the owner's orders are refused", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
				v, err := f.View(ctx)
				if err != nil {
					return councilError(err)
				}
				i := slices.IndexFunc(v.Duties, func(d duty.LeasedDuty) bool { return d.Name == args[0] })
				if i < 0 {
					return usageErrorf("there is no duty %q", args[0])
				}
				if v.Duties[i].Owner == "" {
					return usageErrorf("nobody owns %s", args[0])
				}
				d := v.Duties[i]
				a, err := f.CouncilSubmit(ctx, duty.Command{Release: &duty.Release{Fence: duty.Fence{Duty: d.Name, Token: d.Token}, Forced: true}})
				if err != nil {
					return councilError(err)
				}
				return o.show(c.OutOrStdout(), a, func(p *printer) {
					fmt.Fprintf(p.tab, "%s was %s's, token %v\n", d.Name, d.Owner, d.Token)
				}, false)
			})
		},
	})
	return owners
}

func (o *options) jobsCommand() *cobra.Command {
	jobs := &cobra.Command{Use: "jobs", Short: "Show the fleet's jobs, and pause, resume or cancel them"}
	jobs.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List jobs, the latest last", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				return o.showView(c, func(v duty.View) (any, func(*printer), error) {
					return v, func(p *printer) { p.jobs(v) }, nil
				})
			},
		},
		&cobra.Command{
			Use: "show ID", Short: "Show a job with each instance", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return o.showView(c, func(v duty.View) (any, func(*printer), error) {
					i := slices.IndexFunc(v.Jobs, func(j *duty.Job) bool { return j.ID == args[0] })
					if i < 0 {
						return nil, nil, usageErrorf("there is no job %s", args[0])
					}
					answer := struct {
						*duty.Job
						Says    string `json:"says,omitempty"`
						Current bool   `json:"current"`
					}{v.Jobs[i], v.Messages[args[0]], v.Current}
					return answer, func(p *printer) {
						p.job(v.Jobs[i])
						if why := v.Messages[args[0]]; why != "" {
							fmt.Fprintln(p.tab, stripControl(why))
						}
					}, nil
				})
			},
		})
	for _, action := range []struct{ word, to, short, done string }{
		{"pause", duty.Paused, "Pause a job: no further instance is started, running operations end", "paused"},
		{"resume", duty.Active, "Resume a paused or stopped job; failed instances are retried", "resumed"},
		{"cancel", duty.Cancelled, "Cancel a job; running operations end", "cancelled"},
	} {
		jobs.AddCommand(&cobra.Command{
			Use: action.word + " ID", Short: action.short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return o.runCouncilCommand(c, duty.Command{SetJobState: &duty.SetJobState{Job: args[0], State: action.to}}, fmt.Sprintf("job %s %s", args[0], action.done))
			},
		})
	}
	return jobs
}

func (o *options) councilCommand() *cobra.Command {
	root := &cobra.Command{Use: "council", Short: "Show the council's voters, and add or remove them"}
	root.AddCommand(&cobra.Command{
		Use: "status", Short: "Show each agent's voter: leader, term, lag, who did not answer", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.withReadTimeout(c, func(ctx context.Context, f *group.Fleet) error {
				voters, silent := f.Voters(ctx)
				answer := struct {
					Voters []duty.Status      `json:"voters"`
					Silent []group.Unanswered `json:"silent"`
				}{voters, silent}
				return o.show(c.OutOrStdout(), answer, func(p *printer) { p.voters(voters); p.silent(silent) }, len(silent) > 0)
			})
		},
	})
	for _, change := range []struct {
		word, short, done string
		add               bool
	}{
		{"add", "Add a voter; it first catches up with the log", "is being added as a voter: otterctl council status shows when it votes", true},
		{"remove", "Remove a voter", "is being removed as a voter", false},
	} {
		root.AddCommand(&cobra.Command{
			Use: change.word + " AGENT", Short: change.short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return o.runCouncilCommand(c, duty.Command{VoterChange: &duty.VoterChange{Name: args[0], Add: change.add}}, args[0]+" "+change.done)
			},
		})
	}
	confirm := ""
	voters := []string{}
	recover := &cobra.Command{
		Use: "recover --voters AGENT --confirm CLUSTER", Short: "Make one voter the only one after a majority is permanently lost", Args: cobra.NoArgs,
		Long: `Make one voter the only one after a majority is permanently lost.

What only the lost voters had agreed on is lost: jobs, their progress, and drains that no agent
and no survivor knows of. Former voters that return later are refused, and have to start with an
empty state directory. All earlier tokens become invalid. The command is refused while a majority
is alive. --confirm takes the fleet's name, council.cluster, as a confirmation.`,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(voters) != 1 {
				return usageErrorf("--voters: name exactly one surviving voter; others are added later by council add")
			}
			if confirm == "" {
				return usageErrorf("--confirm CLUSTER: required; otterctl council recover --help describes what is lost")
			}
			return o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
				a := f.Client(voters[0])
				if a == nil {
					return usageErrorf("--voters: no agent %q", voters[0])
				}
				if err := a.CouncilRecover(ctx, confirm); err != nil {
					return councilError(err)
				}
				fmt.Fprintf(c.OutOrStdout(), "%s becomes the only voter within seconds: otterctl council status shows when; then add two more by council add\n", voters[0])
				return nil
			})
		},
	}
	recover.Flags().StringSliceVar(&voters, "voters", nil, "the surviving voter")
	recover.Flags().StringVar(&confirm, "confirm", "", "the fleet's name")
	root.AddCommand(recover)
	return root
}

// backupCommands returns the commands that write the council's state to a file and restore it.
func (o *options) backupCommands() []*cobra.Command {
	confirm := ""
	restore := &cobra.Command{
		Use: "restore FILE", Short: "Restore what the council has lost from a backup; newer state is kept", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return &cli.Exit{Code: cli.Usage, Err: err}
			}
			b := &duty.Backup{}
			if err := json.Unmarshal(text, b); err != nil {
				return usageErrorf("%s: not a backup, or truncated: %v", args[0], err)
			}
			state, err := b.Check(b.Cluster)
			if err != nil {
				return &cli.Exit{Code: cli.Usage, Err: fmt.Errorf("%s: %w", args[0], err)}
			}
			age := time.Since(b.Taken).Round(time.Second)
			if confirm != b.Cluster {
				instances := 0
				for _, m := range state.Agents() {
					instances += len(m.Instances)
				}
				return usageErrorf("%s: backup of the fleet %q, %v old, with the state of %d instances and %d jobs; later changes are not in it. --confirm %s restores it", args[0], b.Cluster, age, instances, len(state.Jobs()), b.Cluster)
			}
			return o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
				a, err := f.CouncilSubmit(ctx, duty.Command{Restore: &duty.Restore{Backup: b}})
				if err != nil {
					return councilError(err)
				}
				return o.show(c.OutOrStdout(), a, func(p *printer) {
					fmt.Fprintf(p.tab, "restored, as of %v ago\n", age)
					for _, k := range a.KeptNewer {
						fmt.Fprintln(p.tab, stripControl(k))
					}
				}, false)
			})
		},
	}
	restore.Flags().StringVar(&confirm, "confirm", "", "the name of the backup's fleet, as a confirmation")
	return []*cobra.Command{restore, {
		Use: "backup FILE", Short: "Write the council's state to a new file", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return o.withFleet(c, func(ctx context.Context, f *group.Fleet) error {
				b, err := f.Backup(ctx)
				if err != nil {
					return councilError(err)
				}
				text, err := json.Marshal(b)
				if err != nil {
					return err
				}
				file, err := os.OpenFile(args[0], os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
				if err != nil {
					return &cli.Exit{Code: cli.Usage, Err: err}
				}
				_, err = file.Write(text)
				if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %d bytes of the fleet %q\n", args[0], len(text), b.Cluster)
				return nil
			})
		},
	}}
}

// staleViewWarning prints a warning if the view may be outdated.
func (p *printer) staleViewWarning(v duty.View) {
	if !v.Current {
		fmt.Fprintf(p.tab, "MAY BE OLD: answer of %s, not confirmed by a majority; its last contact with a leader was %v ago\n", stripControl(v.From), v.Age.Round(time.Second))
	}
}

func (p *printer) owners(v duty.View) {
	p.line("DUTY", "OWNER", "TOKEN", "LEASE LEFT")
	for _, d := range v.Duties {
		left := ""
		switch {
		case d.Owner == "":
		case d.RemainingKnown:
			left = d.Remaining.Round(100 * time.Millisecond).String()
		default:
			left = "not known"
		}
		p.line(d.Name, d.Owner, d.Token, left)
	}
	fmt.Fprintf(p.tab, "\nleader %s, voters %s\n", stripControl(cmp.Or(v.Leader, "not known")), stripControl(strings.Join(v.Voters, ", ")))
}

func (p *printer) jobs(v duty.View) {
	p.line("JOB", "KIND", "STATE", "OPERATOR", "SUBMITTED", "DONE", "OF", "MAX UNAVAILABLE", "WHY")
	for _, j := range v.Jobs {
		done := 0
		for _, s := range j.Steps {
			if s.Phase == duty.Done {
				done++
			}
		}
		p.line(j.ID, j.Kind, j.State, j.Operator, p.age(j.Submitted)+" ago", done, len(j.Steps), j.MaxUnavailable, cmp.Or(j.Reason, v.Messages[j.ID]))
	}
}

func (p *printer) job(j *duty.Job) {
	p.line("AGENT", "INSTANCE", "OUTCOME", "TOKEN", "")
	for i, s := range j.Steps {
		outcome := s.Phase
		switch {
		case s.Phase == duty.Intent:
			outcome = "running"
		case s.Phase == duty.NotStarted && j.Open():
			outcome = "waiting"
		case s.Phase == duty.NotStarted:
			outcome = group.Skipped
		}
		token := ""
		if s.Token != 0 {
			token = s.Token.String()
		}
		p.line(j.Targets[i].Agent, j.Targets[i].Instance, outcome, token, s.Text)
	}
	fmt.Fprintf(p.tab, "\njob %s of %s: %s", j.ID, stripControl(j.Operator), j.State)
	if j.By != "" {
		fmt.Fprintf(p.tab, " by %s", stripControl(j.By))
	}
	if j.Reason != "" {
		fmt.Fprintf(p.tab, ": %s", stripControl(j.Reason))
	}
	fmt.Fprintln(p.tab)
}

func (p *printer) voters(all []duty.Status) {
	last := uint64(0)
	for _, s := range all {
		last = max(last, s.Last)
	}
	p.line("AGENT", "STATE", "LEADER", "TERM", "LAG", "HEARD", "SLOWEST WRITE", "WHY")
	for _, s := range all {
		lag, heard, slow := "", "", ""
		if s.Server != "" {
			lag = fmt.Sprint(last - min(last, s.Applied))
		}
		if s.SinceContact > 0 {
			heard = s.SinceContact.Round(time.Millisecond).String() + " ago"
		}
		if s.SlowestWrite > 0 {
			slow = s.SlowestWrite.Round(time.Millisecond).String()
		}
		p.line(s.Agent, s.State, s.Leader, s.Term, lag, heard, slow, s.Reason)
	}
}
