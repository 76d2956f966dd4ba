package main

import (
	"os"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// progress shows on a terminal how many runs of how many are played, and when the rest
// should be; elsewhere it shows nothing. It writes to the standard error of its command.
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

// played notes the end of a run, on any goroutine.
func (p progress) played() { _ = p.bar.Add(1) } // fails only if the terminal does

// close takes the bar off the terminal, however many runs were played.
func (p progress) close() { _ = p.bar.Finish() }
