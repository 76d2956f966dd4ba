package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/control"
	"otterstep/internal/fleet/group"
)

// keptCommand is about the saved state that instances use to restart without discovery.
func (o *options) keptCommand() *cobra.Command {
	root := &cobra.Command{Use: "kept", Short: "Show, drop or freeze the state that instances save for a restart without discovery"}
	stateCommand := func(use, short, do string) *cobra.Command {
		return o.queryInstances(&cobra.Command{Use: use, Short: short}, func(f *group.Fleet, ctx context.Context, rows []group.Row) []group.Inspected {
			return f.SendStateCommand(ctx, rows, control.StateCommand{Do: do})
		}, (*printer).savedState)
	}
	root.AddCommand(
		o.queryInstances(&cobra.Command{Use: "show NAME…", Short: "Show how instances restarted, and their saved state"}, (*group.Fleet).Inspect, (*printer).savedState),
		stateCommand("forget NAME…", "Delete saved servers and statistics from the instances' disks; manual cordons stay", control.StateForget),
		stateCommand("hold NAME…", "Stop writing saved state, except for manual cordons", control.StateHold),
		stateCommand("release NAME…", "Resume writing saved state", control.StateRelease),
	)
	return root
}

// savedState shows how each instance restarted, and its saved state.
func (p *printer) savedState(all []group.Inspected) {
	p.line("INSTANCE", "RESTARTED", "UNCONFIRMED", "SERVERS", "CORDONS", "REV", "SAVED", "STATE")
	for _, i := range all {
		name := i.Agent + "/" + i.Name
		switch {
		case i.Inspection == nil:
			p.line(name, fmt.Sprintf("no answer after %v: %s", i.Waited.Round(time.Millisecond), i.Err))
			continue
		case i.Inspection.Return == nil:
			p.line(name, "keeps nothing: its operator's file has no kept.file")
			continue
		}
		r := i.Inspection.Return
		source := "with discovery"
		if r.Used {
			source = "by its list"
			if r.AgeKnown {
				source += " of " + (time.Duration(r.AgeMs) * time.Millisecond).Round(time.Second).String() + " before"
			}
		}
		saved := "never"
		if !r.Saved.IsZero() {
			saved = p.age(r.Saved) + " ago"
		}
		state := "written on change and by age"
		switch {
		case r.Failure != "":
			state = "NOT WRITTEN: " + r.Failure
		case r.Held:
			state = "HELD"
		case !r.Heard:
			state = "no answer of discovery yet"
		}
		if len(r.Said) > 0 {
			state += "; at the start: " + strings.Join(r.Said, "; ")
		}
		p.line(name, source, r.Doubted, r.Servers, r.Hand, r.Rev, saved, state)
	}
}
