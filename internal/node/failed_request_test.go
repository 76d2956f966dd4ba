package node

import (
	"log/slog"
	"net"
	"net/http"
	"regexp"
	"testing"

	"otterstep/internal/operator"
)

// Guards against failures that no log explains: the client's id, and what became of each attempt.
func TestFailedRequestIsLogged(t *testing.T) {
	t.Parallel()
	hangsUp := newServer(t, func(_ int64, _ *http.Request, _ net.Conn) bool { return false })
	log := &logBuffer{}
	addr, _ := startNodeConfigured(t, newRegistry(t, listedTarget(hangsUp, "s1")), operator.File{}, Reloads{}, slog.New(slog.NewTextHandler(log, nil)), func(*Config) {})
	r := clientRequest(t, addr, "book", "2")
	if code, _, text := do(t, r); code != http.StatusBadGateway {
		t.Fatal(code, text)
	}
	line := regexp.MustCompile(`msg="request failed" id=` + r.Header.Get("X-Correlation-Id") + ` class=book outcome=failed took=\S+ attempts="` + regexp.QuoteMeta(hangsUp.addr) + ` broken off \S+" omitted=0`)
	waitFor(t, "line like "+line.String(), func() bool { return line.MatchString(log.String()) })
}
