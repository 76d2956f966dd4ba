package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/cordon"
	"otterstep/internal/handover"
)

// fleetWord is what the node has been told on behalf of the fleet. Until it was told, for sure, it holds back
// from serving, up to a stated wait.
type fleetWord struct {
	wait time.Duration
	ops  *operations
	log  *slog.Logger
	told chan struct{} // closed with the first sure word, or when waiting is over

	mu      sync.Mutex
	since   time.Time
	version uint64
	sure    bool
	over    bool // told is closed
}

func newFleetWord(wait time.Duration, ops *operations, log *slog.Logger) *fleetWord {
	return &fleetWord{wait: wait, ops: ops, log: log, told: make(chan struct{})}
}

// await holds the node back until it was told, or the wait is over.
func (f *fleetWord) await(ctx context.Context) {
	f.log.Info("waits for the fleet's word", "most", f.wait)
	limit := time.NewTimer(f.wait)
	defer limit.Stop()
	select {
	case <-f.told:
		return
	case <-ctx.Done():
	case <-limit.C:
		f.log.Warn("the fleet has told this node nothing for sure; it serves by what it knows", "waited", f.wait, "version", f.ops.word().Version)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.end()
}

// end needs mu.
func (f *fleetWord) end() {
	if !f.over {
		f.over = true
		close(f.told)
	}
}

// tell takes a word in. It is in force, with the other process of the node too, and on the disk when tell
// returns.
func (f *fleetWord) tell(ctx context.Context, w control.Word) (control.Fleet, error) {
	before := f.ops.word().Version
	switch err := f.ops.take(ctx, w.Word); {
	case errors.Is(err, cordon.ErrOld):
		return control.Fleet{}, fmt.Errorf("%w: %w", control.ErrOldWord, err)
	case err != nil:
		return control.Fleet{}, err
	}
	f.mu.Lock()
	again := f.version == w.Version && !f.since.IsZero()
	f.mu.Unlock()
	if !again {
		if before == w.Version { // as it was kept, or nothing yet: what is new is that it was told
			f.log.Info("the fleet's word", "version", w.Version, "token", w.Token, "out", len(w.Bans), "as", "before")
		}
		if err := f.ops.spread(ctx, handover.Message{Word: &w.Word}); err != nil {
			return control.Fleet{}, err
		}
	}
	f.mu.Lock()
	if !again {
		f.version, f.since = w.Version, time.Now()
	}
	if f.sure = w.Sure; w.Sure {
		f.end()
	}
	f.mu.Unlock()
	return *f.inspect(), nil
}

// inspect tells operators of it.
func (f *fleetWord) inspect() *control.Fleet {
	w := f.ops.word()
	missing, byHand, listed := f.ops.standing()
	f.mu.Lock()
	defer f.mu.Unlock()
	is := &control.Fleet{Version: w.Version, Token: w.Token, Since: f.since, Sure: f.sure, Bans: len(w.Bans), Listed: listed, Missing: missing, Hand: byHand}
	if !f.over {
		is.Waits = fmt.Sprintf("for the fleet's word, up to %v", f.wait)
	}
	return is
}
