// Package cli is what the project's command lines share: how a program ends.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// The exit codes of every program. They are stable.
const (
	OK       = 0
	Failed   = 1 // some or all of it failed
	Usage    = 2 // it was asked in a way that can't be understood; nothing was done
	Silent   = 3 // nothing failed that answered, and some did not answer
	Conflict = 4 // another command came first; nothing was done
)

// Exit is an error with an exit code. What there is to say was said if Err is nil.
type Exit struct {
	Code int
	Err  error
}

func (e *Exit) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap gives the cause.
func (e *Exit) Unwrap() error { return e.Err }

// Run runs a command line until it is done or SIGTERM or SIGINT ends its context,
// and gives the exit code. Errors that come before a command runs are of usage.
func Run(root *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return RunWith(ctx, root, os.Stderr)
}

// RunWith is Run with a context, and another place for what goes wrong.
func RunWith(ctx context.Context, root *cobra.Command, stderr io.Writer) int {
	understood := false
	root.SilenceErrors, root.SilenceUsage = true, true
	root.PersistentPreRun = func(*cobra.Command, []string) { understood = true }
	err := root.ExecuteContext(ctx)
	if err == nil {
		return OK
	}
	code := Failed
	var exit *Exit
	switch {
	case errors.As(err, &exit):
		code = exit.Code
	case !understood:
		code = Usage
	}
	if exit == nil || exit.Err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	}
	return code
}
