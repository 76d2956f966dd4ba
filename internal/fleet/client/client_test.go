package client

import (
	"errors"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"

	"otterstep/internal/fleet/protocol"
)

// startFakeAgent starts a server that gives the same answer to every call, and returns its client.
func startFakeAgent(t *testing.T, status int, version, body string) *Client {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	l, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.VersionHeader, version)
		w.WriteHeader(status)
		io.WriteString(w, body)
	})}
	go s.Serve(l)
	c, err := New("m1", "unix:"+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); s.Close() })
	return c
}

// Guards against taking an answer of another protocol version, or of a server that is no agent, for an
// agent's answer.
func TestRejectsForeignAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		status        int
		version, body string
		refused       bool // a *protocol.Error, not a *NoAnswerError
		want          string
	}{
		"newer agent refuses": {400, "2", `{"code":"version","text":"speaks version 2"}`, true, "speaks version 2"},
		"newer agent answers": {200, "2", `[]`, true, "bring tool and agent to one version"},
		"no agent at all":     {200, "", `[]`, true, `version ""`},
		"an error, not ours":  {500, "", `<html>`, false, "without an agent's error"},
		"garbage":             {200, "1", `{{{`, false, "can't be read"},
		"another shape":       {200, "1", `{"name":"m1"}`, false, "can't be read"},
		"over the size limit": {200, "1", `"` + strings.Repeat("x", protocol.MaxAnswerSize) + `"`, false, "exceeds"},
	} {
		_, err := startFakeAgent(t, c.status, c.version, c.body).Instances(t.Context())
		var refused *protocol.Error
		var unanswered *NoAnswerError
		if err == nil || errors.As(err, &refused) != c.refused || errors.As(err, &unanswered) == c.refused || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestAddresses(t *testing.T) {
	for _, address := range []string{"", "unix:", "http://127.0.0.1:1", "127.0.0.1:1", "https://", "https://127.0.0.1:1/path", "https://127.0.0.1:1"} {
		if _, err := New("m1", address, nil); err == nil {
			t.Errorf("%q was accepted", address)
		}
	}
}
