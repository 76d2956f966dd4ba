package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"otterstep/internal/standin/hostile"
)

func hostileCommand() *cobra.Command {
	o := hostile.Options{MemoryMB: 32, Sockets: 1024, Cores: 1, Time: 5 * time.Second}
	only, front := "", ""
	c := &cobra.Command{
		Use: "hostile", Short: "Measure one node's memory and its usual clients while others behave badly; exit 1 if a bound broke",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := o.Check(); err != nil {
				return err
			}
			own, err := os.Executable()
			if err != nil {
				return err
			}
			o.Node = []string{filepath.Join(filepath.Dir(own), "otterstep")}
			if o.Dir, err = os.MkdirTemp("", "otterlab-hostile-"); err != nil {
				return err
			}
			defer os.RemoveAll(o.Dir)
			return runHostile(c.Context(), o, only, hostile.FrontKind(front), c.OutOrStdout())
		},
	}
	f := c.Flags()
	f.IntVar(&o.MemoryMB, "memory-mb", o.MemoryMB, "the node's limit of memory")
	f.IntVar(&o.Sockets, "sockets", o.Sockets, "the node's limit of descriptors")
	f.IntVar(&o.Cores, "cores", o.Cores, "cores that the node may use")
	f.DurationVar(&o.Time, "time", o.Time, "of each load")
	f.StringVar(&only, "load", "", "play only the loads whose names contain `text`")
	f.StringVar(&front, "front", "", "play at one `front` only: platform or web")
	return c
}

// runHostile plays the loads whose names contain only, at one front or at all, and prints a row for each.
func runHostile(ctx context.Context, o hostile.Options, only string, front hostile.FrontKind, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "LOAD\tFRONT\tPEAK MB\tSENT\tSERVED\tOTHER\tLATE\tP50\tP99\t")
	played, broken := 0, 0
	for _, load := range hostile.Loads() {
		for _, kind := range load.Fronts {
			if !strings.Contains(load.Name, only) || front != "" && kind != front {
				continue
			}
			played++
			r, err := hostile.Run(ctx, o, kind, load)
			if err != nil {
				return err
			}
			verdict := ""
			if r.Exceeded {
				verdict += " memory"
			}
			if r.Ended {
				verdict += " ended"
			}
			if r.Usual.Late > 0 {
				verdict += " late"
			}
			if verdict != "" {
				broken++
			}
			u := r.Usual
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%d\t%d\t%d\t%d\t%v\t%v\t%s\n", r.Load, r.Front, float64(r.PeakBytes)/(1<<20), u.Sent, u.Served, u.Other, u.Late,
				u.P50.Round(100*time.Microsecond), u.P99.Round(100*time.Microsecond), verdict)
			w.Flush()
		}
	}
	switch {
	case played == 0:
		return fmt.Errorf("no load contains %q at front %q", only, front)
	case broken > 0:
		return fmt.Errorf("%d of %d loads broke a bound", broken, played)
	}
	return nil
}
