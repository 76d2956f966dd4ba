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

// kept is about what instances keep for when they come back with nobody to ask.
func (o *options) keptCommand() *cobra.Command {
	root := &cobra.Command{Use: "kept", Short: "Show, drop or hold what instances keep for their way back"}
	stateCommand := func(use, short, do string) *cobra.Command {
		return o.queryInstances(&cobra.Command{Use: use, Short: short}, func(f *group.Fleet, ctx context.Context, rows []group.Row) []group.Inspected {
			return f.SendStateCommand(ctx, rows, control.Keep{Do: do})
		}, (*printer).savedState)
	}
	root.AddCommand(
		o.queryInstances(&cobra.Command{Use: "show NAME…", Short: "Show how instances came back, and what they keep"}, (*group.Fleet).Inspect, (*printer).savedState),
		stateCommand("forget NAME…", "Have instances drop servers and figures from the disk; calls by hand stay", control.KeepForget),
		stateCommand("hold NAME…", "Have files stay as they are, but for calls by hand", control.KeepHold),
		stateCommand("release NAME…", "Have files that are held be written again", control.KeepRelease),
	)
	return root
}

// kept shows the way back of each instance.
func (p *printer) savedState(all []group.Inspected) {
	p.line("INSTANCE", "CAME BACK", "UNCONFIRMED", "KEPT", "BY HAND", "REV", "SAVED", "STATE")
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
		state := "written by change and age"
		switch {
		case r.Failure != "":
			state = "NOT WRITTEN: " + r.Failure
		case r.Held:
			state = "HELD"
		case !r.Heard:
			state = "discovery not heard"
		}
		if len(r.Said) > 0 {
			state += "; at the start: " + strings.Join(r.Said, "; ")
		}
		p.line(name, source, r.Doubted, r.Servers, r.Hand, r.Rev, saved, state)
	}
}
