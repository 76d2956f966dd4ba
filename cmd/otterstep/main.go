// Command otterstep runs one load-balancing node. Its configuration is the file that PROXY_CONFIG
// names; SIGHUP reloads that file, SIGTERM and SIGINT drain the node, which then exits with status 0. With
// -operator it also reads the operator's file; with -check it only validates both files.
//
// "otterstep serve" needs no configuration file: it serves ordinary HTTP from the servers given on the
// command line.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"otterstep/internal/cli"
	"otterstep/internal/node"
	"otterstep/internal/operator"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		os.Exit(cli.Run(serveCommand()))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	operatorFile := flag.String("operator", "", "the operator's `file`; without it every feature that it can enable is off")
	check := flag.Bool("check", false, "check the configuration, print all errors and exit")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "otterstep: unexpected argument:", flag.Arg(0))
		os.Exit(2)
	}
	if err := run(ctx, *operatorFile, *check); err != nil {
		fmt.Fprintln(os.Stderr, "otterstep:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, operatorFile string, check bool) error {
	// Installed first, because an unhandled SIGHUP ends the process. A buffer of one is enough: the file is
	// read after the pending signal is received.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("configuration: PROXY_CONFIG is not set")
	}
	cfg, err := node.LoadConfig(path)
	op, operatorErr := operator.Load(operatorFile)
	if err := errors.Join(err, operatorErr); err != nil {
		return err
	}
	if check {
		if warning := cfg.MemoryWarning(); warning != "" {
			fmt.Fprintln(os.Stderr, "otterstep: warning:", warning)
		}
		return nil
	}
	return node.Run(ctx, cfg, op, node.Reloads{Path: path, Signals: hangups}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
