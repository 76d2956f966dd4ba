package main

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"

	"github.com/spf13/cobra"

	"otterstep/internal/core"
	"otterstep/internal/serverlist"
	"otterstep/internal/tomlfile"
	"otterstep/internal/web"
)

// serveCommand load-balances any web service with the decision module, without the platform's configuration.
func serveCommand() *cobra.Command {
	root := &cobra.Command{Use: "otterstep"}
	listen, servers, file, check := "", []string(nil), "", false
	c := &cobra.Command{
		Use: "serve --listen ADDRESS:PORT --server ADDRESS:PORT...", Short: "Load-balance ordinary HTTP until SIGTERM, then drain",
		Long: "With --file the listeners, servers and all other settings are read from [[web]] tables in a file; see docs/operate/web.md.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			all, err := webConfigs(listen, servers, file)
			if err != nil || check {
				return err
			}
			return serve(c.Context(), all, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	f := c.Flags()
	f.StringVar(&listen, "listen", "", "`address:port` for clients")
	f.StringArrayVar(&servers, "server", nil, "`address:port` of a server; may be repeated")
	f.StringVar(&file, "file", "", "`file` with [[web]] tables, instead of --listen and --server")
	f.BoolVar(&check, "check", false, "check the configuration, print all errors and exit")
	c.MarkFlagsMutuallyExclusive("file", "listen")
	c.MarkFlagsMutuallyExclusive("file", "server")
	c.MarkFlagsOneRequired("file", "listen")
	root.AddCommand(c)
	return root
}

// webConfigs returns the checked configurations of the fronts.
func webConfigs(listen string, servers []string, path string) ([]web.Config, error) {
	var file struct {
		Web []web.Config `toml:"web"`
	}
	if path == "" {
		one := web.Config{Listen: listen}
		for i, s := range servers {
			one.Servers = append(one.Servers, serverlist.Server{Name: fmt.Sprint("s", i+1), Address: s})
		}
		file.Web = []web.Config{one}
		f := tomlfile.Parse("command line", nil, &struct{}{})
		web.CheckAll(f, file.Web)
		return file.Web, f.Err()
	}
	f, err := tomlfile.Load(path, &file)
	if err != nil {
		return nil, err
	}
	web.CheckAll(f, file.Web)
	if len(file.Web) == 0 {
		f.Errorf("web", "no [[web]] table: there is nothing to serve")
	}
	return file.Web, f.Err()
}

// serve runs the fronts until ctx ends, then drains them.
func serve(ctx context.Context, all []web.Config, log *slog.Logger) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	fronts, err := web.Start(running, all, web.Memory{}, rand.Uint64(), core.NewClock(), log)
	if err != nil {
		return err
	}
	select {
	case err = <-fronts.Failed():
	case <-ctx.Done():
		log.Info("draining")
		fronts.Drain(running)
	}
	stop()
	fronts.Wait()
	log.Info("stopped")
	return err
}
