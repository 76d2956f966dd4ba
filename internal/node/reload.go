package node

import (
	"context"
	"log/slog"
	"os"
	"reflect"
)

// Reloads is the source of configuration reloads: the file, and the signals at which it is read.
type Reloads struct {
	Path    string
	Signals <-chan os.Signal
}

// follow reads the file at each signal and passes a changed discovery address to move. An invalid file changes
// nothing. done is called with the result of each reload.
func (r Reloads) follow(ctx context.Context, current Config, move func(addr string), done func(error), log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.Signals:
		}
		next, err := LoadConfig(r.Path)
		if err != nil {
			log.Error("reload failed, keeping the current configuration", "err", err)
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
				log.Warn("reload: ignoring a change that requires a restart", "what", what)
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
