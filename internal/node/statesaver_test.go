package node

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"otterstep/internal/operator"
)

// A cordon made just before a node is killed, and the list, hold when it restarts while discovery is down; once
// discovery answers, its list takes precedence over the saved one. The second node gets only the files that were on
// disk when the call was confirmed.
func TestCordonsAndListSurviveRestart(t *testing.T) {
	t.Parallel()
	one, two := newServer(t, respondWith(ok("1"), true)), newServer(t, respondWith(ok("2"), true))
	d := newRegistry(t, listedTarget(one, "s1"), listedTarget(two, "s2"))
	var op operator.File
	op.Kept.File, op.Kept.Every.Duration = filepath.Join(t.TempDir(), "kept"), time.Second
	_, tell, stop := startWithOperatorAPIAs(t, d, op)
	d.awaitApplied(t)
	if code, text := tell("POST", "/admin/cordon/s1"); code != http.StatusOK {
		t.Fatalf("%d %s", code, text)
	}
	next := op
	next.Kept.File = filepath.Join(t.TempDir(), "kept")
	for _, suffix := range []string{".a", ".b"} {
		text, err := os.ReadFile(op.Kept.File + suffix)
		if err == nil {
			err = os.WriteFile(next.Kept.File+suffix, text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}

	if err := stop(); err != nil { // otherwise its watch could be mistaken for the second node's
		t.Fatal(err)
	}
	d.set(func() { d.down = true })
	addr, tell, _ := startWithOperatorAPIAs(t, d, next)
	by := func() map[string]int {
		got := map[string]int{}
		for range 20 {
			switch code, _, body := do(t, clientRequest(t, addr, "read", "2.5")); code {
			case http.StatusOK:
				got[body]++
			case http.StatusServiceUnavailable: // more requests than an unconfirmed or cold server is sent
				got["refused"]++
			default:
				t.Errorf("answered %d", code)
			}
		}
		return got
	}
	if got := by(); got["2"] == 0 || got["1"] > 0 {
		t.Errorf("while discovery is down: %v", got)
	}
	three := newServer(t, respondWith(ok("3"), true))
	d.set(func() { // s2 has moved to another address, and s1 has restarted
		d.down, d.rev = false, 7
		moved, anew := listedTarget(three, "s2"), listedTarget(one, "s1")
		anew.BootMs = time.Now().UnixMilli()
		d.all, d.changed = map[string]target{"s1": anew, "s2": moved}, map[string]int64{"s1": 7, "s2": 7}
	})
	d.awaitApplied(t)
	if got := by(); got["3"] == 0 || got["1"]+got["2"] > 0 {
		t.Errorf("after discovery has answered: %v", got)
	}
	if code, text := tell("POST", "/admin/uncordon/s1"); code != http.StatusOK {
		t.Fatalf("%d %s", code, text)
	}
	waitFor(t, "use of s1 after the uncordon", func() bool { return by()["1"] > 0 })
}
