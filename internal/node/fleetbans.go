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

// fleetBans receives the fleet's bans over the control socket. Until it has received confirmed bans, or a configured
// time has passed, the node does not serve.
type fleetBans struct {
	wait     time.Duration
	ops      *operations
	log      *slog.Logger
	released chan struct{} // closed by the first confirmed bans, or when the wait is over

	mu       sync.Mutex
	since    time.Time // when this version was received
	version  uint64
	sure     bool
	waitOver bool // released is closed
}

func newFleetBans(wait time.Duration, ops *operations, log *slog.Logger) *fleetBans {
	return &fleetBans{wait: wait, ops: ops, log: log, released: make(chan struct{})}
}

// await blocks until confirmed bans were received or the wait is over.
func (f *fleetBans) await(ctx context.Context) {
	f.log.Info("waits for the fleet's word", "most", f.wait)
	limit := time.NewTimer(f.wait)
	defer limit.Stop()
	select {
	case <-f.released:
		return
	case <-ctx.Done():
	case <-limit.C:
		f.log.Warn("the fleet has told this node nothing for sure; it serves by what it knows", "waited", f.wait, "version", f.ops.fleetBans().Version)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.release()
}

// release ends the wait. The caller holds mu.
func (f *fleetBans) release() {
	if !f.waitOver {
		f.waitOver = true
		close(f.released)
	}
}

// tell applies bans. When it returns, they are in force in both processes of the node, and on disk.
func (f *fleetBans) tell(ctx context.Context, w control.FleetBans) (control.FleetStatus, error) {
	before := f.ops.fleetBans().Version
	switch err := f.ops.applyFleet(ctx, w.FleetBans); {
	case errors.Is(err, cordon.ErrOutdated):
		return control.FleetStatus{}, fmt.Errorf("%w: %w", control.ErrOutdatedBans, err)
	case err != nil:
		return control.FleetStatus{}, err
	}
	f.mu.Lock()
	repeated := f.version == w.Version && !f.since.IsZero()
	f.mu.Unlock()
	if !repeated {
		if before == w.Version { // the saved version, or version 0: applyFleet has logged nothing
			f.log.Info("the fleet's word", "version", w.Version, "token", w.Token, "out", len(w.Bans), "as", "before")
		}
		if err := f.ops.propagate(ctx, handover.Message{FleetBans: &w.FleetBans}); err != nil {
			return control.FleetStatus{}, err
		}
	}
	f.mu.Lock()
	if !repeated {
		f.version, f.since = w.Version, time.Now()
	}
	if f.sure = w.Sure; w.Sure {
		f.release()
	}
	f.mu.Unlock()
	return *f.inspect(), nil
}

// inspect returns the status for the control socket.
func (f *fleetBans) inspect() *control.FleetStatus {
	w := f.ops.fleetBans()
	missing, cordoned, listed := f.ops.fleetStatus()
	f.mu.Lock()
	defer f.mu.Unlock()
	status := &control.FleetStatus{Version: w.Version, Token: w.Token, Since: f.since, Sure: f.sure, Bans: len(w.Bans), Listed: listed, Missing: missing, Hand: cordoned}
	if !f.waitOver {
		status.Waits = fmt.Sprintf("for the fleet's word, up to %v", f.wait)
	}
	return status
}
