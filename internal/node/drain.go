package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"otterstep/internal/lifecycle"
)

// drainPollInterval is how often a draining node checks its connections.
const drainPollInterval = 20 * time.Millisecond

// drain goes on serving and closes clients' connections by the timetable, which counts from SIGTERM on as clock does.
// accepts reports whether new connections are still accepted. A connection on which a request has begun stays open
// until the request is answered or answers are due: none is closed after a part of a request was read. Connections
// with a transfer, which is a request body that is still arriving or an answer that is being streamed, are left open.
func drain(ctx context.Context, clock terminationClock, timetable lifecycle.Termination, accepts func() bool, f *front, g *clients, server *http.Server) error {
	waitUntil := func(at time.Duration, done func() bool) {
		for clock.Elapsed() < at && !done() {
			<-clock.Reached(min(clock.Elapsed()+drainPollInterval, at))
		}
	}
	waitUntil(timetable.CloseAfterAnswer, func() bool { return !accepts() && g.empty() })
	f.draining.Store(true)
	waitUntil(timetable.CloseIdle, g.empty)
	waitUntil(timetable.AnswersDue, func() bool {
		g.evictAllIdle()
		return g.empty()
	})
	shutdownCtx, cancel := contextUntil(ctx, clock, timetable.CloseAll)
	defer cancel()
	if err := shutDown(shutdownCtx, server); err != nil {
		return err
	}
	g.closeWithoutRequest()
	return nil
}

// finishTransfers waits for the transfers that drain has left open, for at most limit, and reports those that it
// then cuts off.
func finishTransfers(ctx context.Context, limit time.Duration, g *clients, server *http.Server, log *slog.Logger) error {
	defer server.Close()
	open := g.active()
	if open == 0 {
		return nil
	}
	log.Info("waiting for transfers", "open", open, "limit", limit)
	limitCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := shutDown(limitCtx, server)
	if cut := g.active(); cut > 0 {
		log.Warn("time for transfers expired, the rest is cut off", "open", cut, "limit", limit)
	}
	return err
}

// shutDown closes the server's listener and waits until no connection has an open request or ctx is done.
func shutDown(ctx context.Context, server *http.Server) error {
	if err := server.Shutdown(ctx); err != nil && ctx.Err() == nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
