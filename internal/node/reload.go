package node

import (
	"context"
	"log/slog"
	"os"
	"reflect"
)

// Reloads says where a running node finds a new configuration, and when.
type Reloads struct {
	Path    string
	Signals <-chan os.Signal
}

// follow reads the file at each signal and hands discovery's address on. A file
// that would not do at a start changes nothing. done is told how each reload ended.
func (r Reloads) follow(ctx context.Context, current Config, move func(addr string), done func(error), log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		next, err := LoadConfig(r.Path)
		if err != nil {
			log.Error("reload failed, the configuration stays", "err", err)
			done(err)
			continue
		}
		for what, same := range map[string]bool{
			"name":     next.Name == current.Name,
			"listen":   next.Listen == current.Listen,
			"limits":   next.MemoryMB == current.MemoryMB && next.Sockets == current.Sockets,
			"settings": reflect.DeepEqual(next.Site, current.Site),
		} {
			if !same {
				log.Warn("reload: a change that takes a restart is left out", "what", what)
			}
		}
		log.Info("reloaded", "discovery", next.Discovery)
		if next.Discovery != current.Discovery {
			current.Discovery = next.Discovery
			move(next.Discovery)
		}
		done(nil)
	}
}
