package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// SIGHUP, SIGTERM and a second SIGTERM while a server holds a request: the later signals change nothing, the request
// gets its complete answer, and the process exits with status 0.
func TestSecondSignalChangesNothing(t *testing.T) {
	received, hold := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-hold
		io.WriteString(w, "made here")
	}))
	defer server.Close()
	path := configFile(t, func(c map[string]any) {
		c["known"] = map[string]any{"rev": 1, "all": true, "targets": []any{map[string]any{
			"uid": "s1", "endpoint": server.Listener.Addr().String(), "az": "a", "state": "in_service",
		}}}
	})
	cmd := program(path)
	until := startProgram(t, cmd)
	_, rest, _ := strings.Cut(until("msg=ready"), "listen=")
	c, err := net.Dial("tcp", strings.TrimSpace(rest))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "POST /book/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: a\r\nX-Service-Class: book\r\nX-Time-Left: 2\r\nContent-Length: 0\r\n\r\n")
	<-received
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	until("msg=draining")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(hold)
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || string(body) != "made here" {
		t.Errorf("answered %s %q, %v", resp.Status, body, err)
	}
	c.Close()
	until("msg=stopped")
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}
