package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// writeConfig writes a configuration with the given discovery address to the file.
func writeConfig(t *testing.T, path, discovery string) {
	t.Helper()
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "1",
		"limits": map[string]any{"sockets": minSockets}, "settings": json.RawMessage(settings),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// When the discovery address changes under load, the running watch at the old address is cancelled, the list of the new
// discovery replaces the old one, no request fails (rule 1) and none goes to a server that the new list does not name
// (rule 3). An invalid file changes nothing.
func TestReloadChangesDiscoveryUnderLoad(t *testing.T) {
	s1, s2 := newServer(t, respondWith(ok("1"), true)), newServer(t, respondWith(ok("2"), true))
	old, next := newRegistry(t, listedTarget(s1, "s1")), newRegistry(t, listedTarget(s2, "s2"))
	for range 5 {
		old.change(listedTarget(s1, "s1")) // a revision that the other discovery has never had
	}
	hangups := make(chan os.Signal, 1)
	path := filepath.Join(t.TempDir(), "config.json")
	addr, _ := startNodeWithReloads(t, old, Reloads{path, hangups})
	old.awaitApplied(t)

	stop, answers := make(chan struct{}), sync.WaitGroup{}
	for range 4 {
		answers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				resp, err := http.DefaultClient.Do(clientRequest(t, addr, "read", "2.5"))
				if err != nil {
					t.Error(err)
					return
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(text) != "1" && string(text) != "2" {
					t.Errorf("answered %s %q, %v", resp.Status, text, err)
					return
				}
			}
		})
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	hangups <- syscall.SIGHUP
	waitFor(t, "receipt of the signal", func() bool { return len(hangups) == 0 })
	old.change(listedTarget(s1, "s1"))
	old.awaitApplied(t) // the invalid file left the watch in place

	writeConfig(t, path, next.Listener.Addr().String())
	hangups <- syscall.SIGHUP
	next.awaitApplied(t)
	close(stop)
	answers.Wait()
	before := s1.requests.Load()
	for range 10 {
		if code, _, body := do(t, clientRequest(t, addr, "read", "2.5")); code != http.StatusOK || body != "2" {
			t.Errorf("answered %d %q, want 200 from the new list", code, body)
		}
	}
	if n := s1.requests.Load(); n != before {
		t.Errorf("%d requests to a server that the new list does not name", n-before)
	}
}

func TestReloadReportsIgnoredChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, "127.0.0.1:2")
	current, err := LoadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	current.Listen, current.Discovery = "127.0.0.1:9", "127.0.0.1:1"
	var text bytes.Buffer
	hangups, moved := make(chan os.Signal), make(chan string, 4)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Reloads{path, hangups}.follow(ctx, current, func(addr string) { moved <- addr }, func(error) {}, slog.New(slog.NewTextHandler(&text, nil)))
	}()
	hangups <- syscall.SIGHUP
	hangups <- syscall.SIGHUP // an unchanged address causes no second move
	stop()
	<-ended
	if len(moved) != 1 || <-moved != "127.0.0.1:2" {
		t.Error("want one move, to the new address")
	}
	if !bytes.Contains(text.Bytes(), []byte("what=listen")) || bytes.Contains(text.Bytes(), []byte("what=settings")) {
		t.Errorf("log %s, want listen named and settings not", fmt.Sprint(&text))
	}
}
