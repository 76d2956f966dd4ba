// Command otterstep is one load-balancing node. Its configuration is the file
// that PROXY_CONFIG names; SIGHUP makes it read that file again, SIGTERM and SIGINT
// make it drain and exit with 0.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"otterstep/internal/node"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "otterstep:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	// From the first moment on, as an uncaught SIGHUP ends the process. One signal
	// that waits stands for all: the file is read after it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("configuration: PROXY_CONFIG names no file")
	}
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	return node.Run(ctx, cfg, node.Reloads{Path: path, Signals: hangups}, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}
