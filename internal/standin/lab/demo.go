package lab

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"otterstep/internal/fleet/group"
	"otterstep/internal/fleet/protocol"
)

// DemoTimes is the schedule of the demo.
type DemoTimes struct {
	BeforeHang, Hang, AfterHang time.Duration // before, during and after the hang of a box
	AfterRestart                time.Duration // after the rolling restart
}

// Demo runs load, a box that hangs, a rolling restart and a box that crashes. It writes the events and a table of the
// outcomes to w, and returns whether the rules held.
func (l *Lab) Demo(ctx context.Context, s DemoTimes, w io.Writer) (held bool, err error) {
	say := func(format string, args ...any) {
		fmt.Fprintf(w, "%5.1fs  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	}
	if err := pause(ctx, s.BeforeHang); err != nil {
		return false, err
	}
	box := l.Boxes[0]
	say("box %s hangs: it accepts requests and does not answer", box.UID())
	box.Hang(true)
	if err := pause(ctx, s.Hang); err != nil {
		return false, err
	}
	box.Heal()
	say("box %s answers again", box.UID())
	if err := pause(ctx, s.AfterHang); err != nil {
		return false, err
	}
	say("rolling restart of all instances through %d agents", l.opt.Agents)
	if err := l.RestartAll(ctx, 1, func(r group.Result) {
		say("  %s/%s %s in %.1fs %s", r.Agent, r.Instance, r.Outcome, r.Took.Seconds(), r.Text)
	}); err != nil {
		return false, err
	}
	box = l.Boxes[len(l.Boxes)-1]
	say("all instances are back; box %s crashes, and returns cold after a second", box.UID())
	box.Crash()
	if err := pause(ctx, time.Second); err != nil {
		return false, err
	}
	if err := box.Return(); err != nil {
		return false, err
	}
	if err := pause(ctx, s.AfterRestart); err != nil {
		return false, err
	}
	l.StopClients()
	return l.PrintReport(w), nil
}

// RestartAll restarts all instances, with at most the given number unavailable at once.
func (l *Lab) RestartAll(ctx context.Context, maxUnavailable int, progress func(group.Result)) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(1+len(l.Instances))*startTimeout)
	defer cancel()
	r, err := l.Fleet.Execute(ctx, group.Order{
		Plan: group.Plan{Kind: protocol.Restart, MaxUnavailable: maxUnavailable}, Select: group.Selector{Names: []string{"all"}}, Progress: progress,
	})
	switch {
	case err != nil:
		return fmt.Errorf("demo: %w", err)
	case r.Conflict != nil:
		return fmt.Errorf("demo: %w", r.Conflict)
	case r.Stopped != "":
		return fmt.Errorf("demo: the rollout stopped: %s", r.Stopped)
	case len(r.Silent) > 0:
		return fmt.Errorf("demo: agent %s did not answer: %s", r.Silent[0].Agent, r.Silent[0].Reason)
	}
	return nil
}

// PrintReport writes a table of the requests' outcomes and the rule violations. It returns whether the rules held.
func (l *Lab) PrintReport(w io.Writer) bool {
	r := l.Ledger.Report()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\nclass\tserved\trefused\tfailed\tlost\t")
	for _, class := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(t, "%s\t", class)
		for _, n := range r.Counts[class] {
			fmt.Fprintf(t, "%d\t", n)
		}
		fmt.Fprintln(t)
	}
	t.Flush()
	if l.Clients != nil {
		fmt.Fprintf(w, "\nserved within the aim: %d; p50 %v, p99 %v; repeats dropped by boxes: %d; never sent: %d\n", l.Clients.Within(),
			l.Clients.Latency(0.5).Round(time.Millisecond), l.Clients.Latency(0.99).Round(time.Millisecond), r.DroppedRepeats, l.Clients.Skipped())
	}
	if r.Violations == 0 {
		fmt.Fprintln(w, "all four rules held")
		return true
	}
	fmt.Fprintf(w, "broken rules: %d\n", r.Violations)
	for _, b := range r.Descriptions {
		fmt.Fprintln(w, " ", b)
	}
	return false
}
