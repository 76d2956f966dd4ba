package main

import (
	"os"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// progress shows a progress bar with the runs done and the estimated time left on the
// command's standard error, if that is a terminal.
type progress struct{ bar *progressbar.ProgressBar }

func newProgress(c *cobra.Command, runs int) progress {
	out := c.ErrOrStderr()
	file, ok := out.(*os.File)
	return progress{progressbar.NewOptions(runs,
		progressbar.OptionSetWriter(out), progressbar.OptionSetVisibility(ok && term.IsTerminal(int(file.Fd()))),
		progressbar.OptionSetDescription("runs"), progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetWidth(30),
	)}
}

// runDone counts a completed run; it is safe for concurrent use.
func (p progress) runDone() { _ = p.bar.Add(1) } // fails only if writing to the terminal does

// close removes the bar from the terminal, even if not all runs were done.
func (p progress) close() { _ = p.bar.Finish() }
