package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"otterstep/internal/life"
)

// drainEvery is how often a node that ends looks at its connections.
const drainEvery = 20 * time.Millisecond

// drain serves on and closes clients' connections by the timetable, counted from when the node was told.
// accepts tells whether new ones still come. A connection on which a request has begun stays until the request
// is answered, or until answers are due: none is closed over bytes that were read.
func drain(ctx context.Context, told time.Time, plan life.Termination, accepts func() bool, f *front, g *clients, server *http.Server) error {
	until := func(at time.Duration, done func() bool) {
		for time.Since(told) < at && !done() {
			time.Sleep(min(drainEvery, at-time.Since(told)))
		}
	}
	until(plan.Behind, func() bool { return !accepts() && g.empty() })
	f.draining.Store(true)
	until(plan.Idle, g.empty)
	until(plan.Answers, func() bool {
		g.leave()
		return g.empty()
	})
	limit, cancel := context.WithDeadline(ctx, told.Add(plan.Close))
	defer cancel()
	if err := server.Shutdown(limit); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	_ = server.Close() // what Shutdown has left over has had its time
	return nil
}
