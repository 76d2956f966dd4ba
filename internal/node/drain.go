package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"otterstep/internal/lifecycle"
)

// drainPollInterval is how often a draining node checks its connections.
const drainPollInterval = 20 * time.Millisecond

// drain goes on serving and closes clients' connections by the timetable, which counts from terminatedAt.
// accepts reports whether new connections are still accepted. A connection on which a request has begun stays open
// until the request is answered or answers are due: none is closed after a part of a request was read.
func drain(ctx context.Context, terminatedAt time.Time, timetable lifecycle.Termination, accepts func() bool, f *front, g *clients, server *http.Server) error {
	waitUntil := func(at time.Duration, done func() bool) {
		for time.Since(terminatedAt) < at && !done() {
			time.Sleep(min(drainPollInterval, at-time.Since(terminatedAt)))
		}
	}
	waitUntil(timetable.CloseAfterAnswer, func() bool { return !accepts() && g.empty() })
	f.draining.Store(true)
	waitUntil(timetable.CloseIdle, g.empty)
	waitUntil(timetable.AnswersDue, func() bool {
		g.evictAllIdle()
		return g.empty()
	})
	shutdownCtx, cancel := context.WithDeadline(ctx, terminatedAt.Add(timetable.CloseAll))
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	_ = server.Close() // closes the connections that outlasted Shutdown
	return nil
}
