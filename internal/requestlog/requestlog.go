// Package requestlog logs requests for which clients got no server's answer, with what became of each attempt.
package requestlog

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"otterstep/internal/core"
)

// Bounds of the log where many requests fail at once or nobody takes its lines, and of what a client puts into a line.
const (
	linesPerSecond = 10
	maxWriting     = 10
	maxIDLength    = 128 // bytes
)

// Log writes a line for each failed request, at most linesPerSecond. Requests do not wait for it. It is safe for
// concurrent use.
type Log struct {
	log *slog.Logger

	mu      sync.Mutex
	second  time.Time // in which lines were written
	lines   int       // written in that second
	writing int       // lines that are being written
	omitted int       // since the last line

	writers sync.WaitGroup
}

// New returns a Log that writes to log.
func New(log *slog.Logger) *Log { return &Log{log: log} }

// Failed logs a request that ended at now, took after it had come, if that was without an answer from a server.
// Refusals are not logged: they are counted, and their clients know that nothing has run. A nil Log writes nothing.
func (l *Log) Failed(now time.Time, id, class string, took time.Duration, a core.Answer) {
	if l == nil || a.Outcome != core.Failed && a.Outcome != core.DeadlineExceeded {
		return
	}
	omitted, ok := l.admit(now)
	if !ok {
		return
	}
	l.writers.Go(func() {
		l.log.Warn("request failed", "id", id[:min(len(id), maxIDLength)], "class", class, "outcome", a.Outcome.String(),
			"took", took.Round(time.Millisecond), "attempts", describe(a.Attempts), "omitted", omitted)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.writing--
	})
}

// admit reports whether a line may be written at now, and how many were omitted before it.
func (l *Log) admit(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines >= linesPerSecond || l.writing >= maxWriting {
		l.omitted++
		return 0, false
	}
	l.lines++
	l.writing++
	omitted, l.omitted = l.omitted, 0
	return omitted, true
}

// describe returns attempts as text: the server, what became of the attempt and behind how long.
func describe(attempts []core.AttemptSummary) string {
	if len(attempts) == 0 {
		return "none"
	}
	var all []string
	for _, a := range attempts {
		all = append(all, a.Server.Addr+" "+a.State+" "+a.Took.Round(time.Millisecond).String())
	}
	return strings.Join(all, ", ")
}
