package lab

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Story is the demo's timetable.
type Story struct {
	Calm, Hang, Healed time.Duration // before, while and after a box hangs
	After              time.Duration // after the rolling restart
}

// Demo plays load, a box that hangs and a rolling restart, says on w what happens,
// and prints a table. It reports whether the rules held.
func (l *Lab) Demo(ctx context.Context, s Story, w io.Writer) (held bool, err error) {
	say := func(format string, args ...any) {
		fmt.Fprintf(w, "%5.1fs  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	}
	pause := func(d time.Duration) error {
		select {
		case <-time.After(d):
			return nil
		case <-ctx.Done():
			return fmt.Errorf("demo: %w", ctx.Err())
		}
	}
	say("%d instances serve %.0f requests a second from %d boxes", len(l.Instances), l.opt.Rate, len(l.Boxes))
	if err := pause(s.Calm); err != nil {
		return false, err
	}
	box := l.Boxes[0]
	say("box %s hangs: it takes requests and answers none", box.UID())
	box.Hang(true)
	if err := pause(s.Hang); err != nil {
		return false, err
	}
	box.Heal()
	say("box %s answers again", box.UID())
	if err := pause(s.Healed); err != nil {
		return false, err
	}
	say("rolling restart of all instances, one at a time")
	if err := l.Roll(ctx); err != nil {
		return false, err
	}
	say("all instances are back")
	if err := pause(s.After); err != nil {
		return false, err
	}
	l.Unload()
	return l.Print(w), nil
}

// Roll restarts the instances one after the other, each once the one before it
// serves again.
func (l *Lab) Roll(ctx context.Context) error {
	for _, i := range l.Instances {
		ctx, cancel := context.WithTimeout(ctx, startWithin)
		err := i.Stop(ctx)
		if err == nil {
			err = i.Start()
		}
		if err == nil {
			err = l.allUp(ctx)
		}
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// Print writes the ledger's table and tells whether the rules held.
func (l *Lab) Print(w io.Writer) bool {
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
		fmt.Fprintf(w, "\nserved within the aim: %d; p50 %v, p99 %v; repeats that boxes dropped: %d; never sent: %d\n", l.Clients.Within(),
			l.Clients.Latency(0.5).Round(time.Millisecond), l.Clients.Latency(0.99).Round(time.Millisecond), r.Repeats, l.Clients.Skipped())
	}
	if r.Breaks == 0 {
		fmt.Fprintln(w, "all four rules held")
		return true
	}
	fmt.Fprintf(w, "broken rules: %d\n", r.Breaks)
	for _, b := range r.Broken {
		fmt.Fprintln(w, " ", b)
	}
	return false
}
