// Package cli runs a program's command line and maps its result to an exit code.
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

// Exit codes of every program. They are stable.
const (
	OK       = 0
	Failed   = 1 // some or all of the work failed
	Usage    = 2 // invalid command line; nothing was done
	NoAnswer = 3 // some did not answer; nothing failed at those that did
	Conflict = 4 // another command came first; nothing was done
)

// Exit is an error with an exit code. If Err is nil, no message is printed.
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

// Unwrap returns the cause.
func (e *Exit) Unwrap() error { return e.Err }

// Run runs a command line and returns the exit code. SIGTERM and SIGINT cancel its
// context. Errors before the command itself runs are usage errors.
func Run(root *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return RunWith(ctx, root, os.Stderr)
}

// RunWith is Run with a context, and with a writer for error messages.
func RunWith(ctx context.Context, root *cobra.Command, stderr io.Writer) int {
	parsed := false
	root.SilenceErrors, root.SilenceUsage = true, true
	root.PersistentPreRun = func(*cobra.Command, []string) { parsed = true }
	err := root.ExecuteContext(ctx)
	if err == nil {
		return OK
	}
	code := Failed
	var exit *Exit
	switch {
	case errors.As(err, &exit):
		code = exit.Code
	case !parsed:
		code = Usage
	}
	if exit == nil || exit.Err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", root.Name(), err)
	}
	return code
}
