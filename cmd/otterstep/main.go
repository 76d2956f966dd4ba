// Command otterstep is one load-balancing node. Its configuration is the file
// that PROXY_CONFIG names; SIGHUP makes it read that file again, SIGTERM and SIGINT
// make it drain and exit with 0. With -operator it reads the operator's file too,
// with -check it says what is wrong with both and starts nothing.
//
// "otterstep serve" needs none of these: it serves ordinary HTTP from the servers that it is
// given.
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
	operatorFile := flag.String("operator", "", "the operator's `file`; none leaves all that it could switch on off")
	check := flag.Bool("check", false, "check the configuration, say all that is wrong with it, and start nothing")
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
	// From the first moment on, as an uncaught SIGHUP ends the process. One signal
	// that waits stands for all: the file is read after it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("configuration: PROXY_CONFIG names no file")
	}
	cfg, err := node.LoadConfig(path)
	op, err2 := operator.Load(operatorFile)
	if err := errors.Join(err, err2); err != nil || check {
		return err
	}
	return node.Run(ctx, cfg, op, node.Reloads{Path: path, Signals: hangups}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
