package requestlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"otterstep/internal/core"
)

func TestFailedRequestsAreLoggedWithTheirAttempts(t *testing.T) {
	var out bytes.Buffer
	l := New(slog.New(slog.NewTextHandler(&out, nil)))
	now := time.Unix(100, 0)
	attempts := []core.AttemptSummary{
		{Server: core.Server{Addr: "10.0.0.1:80"}, State: "reset", Took: 12 * time.Millisecond},
		{Server: core.Server{Addr: "10.0.0.2:80"}, State: "timed out", Took: 640 * time.Millisecond},
	}
	l.Failed(now, "a1", "book", 738*time.Millisecond, core.Answer{Outcome: core.Failed, Attempts: attempts})
	l.writers.Wait()
	l.Failed(now, "a2", "book", 0, core.Answer{Outcome: core.DeadlineExceeded})
	l.writers.Wait()
	for _, other := range []core.Outcome{core.Served, core.Refused, core.Duplicate} {
		l.Failed(now, "a3", "book", 0, core.Answer{Outcome: other})
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	want := []string{
		`id=a1 class=book outcome=failed took=738ms attempts="10.0.0.1:80 reset 12ms, 10.0.0.2:80 timed out 640ms" omitted=0`,
		`id=a2 class=book outcome=overdue took=0s attempts=none omitted=0`,
	}
	if len(lines) != len(want) {
		t.Fatalf("%d lines, want %d:\n%s", len(lines), len(want), out.String())
	}
	for i, text := range want {
		if !strings.HasSuffix(lines[i], text) {
			t.Errorf("line %d: %s\nwant %s", i, lines[i], text)
		}
	}
}

// However many requests fail, the log is bounded, and says how many it leaves out.
func TestLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(slog.New(slog.NewTextHandler(&out, nil)))
	began := time.Unix(100, 0)
	const failed, seconds = 4000, 4
	for i := range failed {
		l.Failed(began.Add(time.Duration(i)*time.Millisecond), strings.Repeat("i", 4000), "book", 0, core.Answer{Outcome: core.Failed})
		l.writers.Wait()
	}
	if n := strings.Count(out.String(), "\n"); n != seconds*linesPerSecond {
		t.Errorf("%d lines in %d seconds, want %d", n, seconds, seconds*linesPerSecond)
	}
	if n := strings.Count(out.String(), "id="+strings.Repeat("i", maxIDLength)+" "); n != seconds*linesPerSecond {
		t.Errorf("%d lines with an id of %d bytes, want %d", n, maxIDLength, seconds*linesPerSecond)
	}
	if n := strings.Count(out.String(), "omitted=990"); n != seconds-1 {
		t.Errorf("%d lines name 990 omitted ones, want %d", n, seconds-1)
	}
}

// gatedWriter takes nothing until its gate opens.
type gatedWriter struct {
	gate    chan struct{}
	written bytes.Buffer
}

func (w *gatedWriter) Write(b []byte) (int, error) {
	<-w.gate
	return w.written.Write(b)
}

// Guards against requests that wait for a log that nobody reads.
func TestBlockedLogHoldsNoRequestUp(t *testing.T) {
	out := &gatedWriter{gate: make(chan struct{})}
	l := New(slog.New(slog.NewTextHandler(out, nil)))
	now := time.Unix(100, 0)
	const failed = 100
	for i := range failed {
		l.Failed(now.Add(time.Duration(i)*time.Second), "a", "book", 0, core.Answer{Outcome: core.Failed})
	}
	close(out.gate)
	l.writers.Wait()
	l.Failed(now.Add(failed*time.Second), "a", "book", 0, core.Answer{Outcome: core.Failed})
	l.writers.Wait()
	if n := strings.Count(out.written.String(), "\n"); n != maxWriting+1 {
		t.Errorf("%d lines, want %d", n, maxWriting+1)
	}
	if last := "omitted=90\n"; !strings.HasSuffix(out.written.String(), last) {
		t.Errorf("the last line does not end in %q:\n%s", last, out.written.String())
	}
}
