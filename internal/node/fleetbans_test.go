package node

import (
	"context"
	"errors"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterstep/internal/control"
	"otterstep/internal/cordon"
	"otterstep/internal/operator"
)

// sendFleetBans sends fleet bans to a node that may still be starting.
func sendFleetBans(t *testing.T, socket string, w control.FleetBans) (status control.FleetStatus) {
	t.Helper()
	waitFor(t, "acceptance of fleet bans", func() bool {
		var err error
		status, err = control.SendFleetBans(context.Background(), socket, w)
		return err == nil
	})
	return status
}

// A node does not serve until it has received confirmed fleet bans, sends nothing to banned servers, rejects older
// bans, and keeps fleet bans and manual cordons apart. The bans still hold after a restart without its agent.
func TestFleetBans(t *testing.T) {
	t.Parallel()
	one, two := newServer(t, respondWith(ok("1"), true)), newServer(t, respondWith(ok("2"), true))
	d := newRegistry(t, listedTarget(one, "s1"), listedTarget(two, "s2"))
	dir := t.TempDir()
	var op operator.File
	op.Control.Socket = filepath.Join(dir, "s")
	op.Fleet.Wait.Duration = time.Minute
	op.Kept.File, op.Kept.Every.Duration = filepath.Join(dir, "kept"), time.Second
	ban := func(version, token uint64, sure bool, ids ...string) control.FleetBans {
		w := control.FleetBans{FleetBans: cordon.FleetBans{Version: version, Token: token}, Sure: sure}
		for _, id := range ids {
			w.Bans = append(w.Bans, cordon.Ban{ID: id, Reason: "disk", By: "ada"})
		}
		return w
	}
	held := make(chan string, 1)
	go func() {
		// Unconfirmed bans are in force at once, but the node does not serve yet.
		status := sendFleetBans(t, op.Control.Socket, ban(4, 1, false, "s1"))
		held <- status.Waits
		sendFleetBans(t, op.Control.Socket, ban(5, 2, true, "s1", "s9"))
	}()
	addr, tell, stop := startWithOperatorAPIAs(t, d, op)
	if waits := <-held; !strings.Contains(waits, "for the fleet's word") {
		t.Errorf("waits %q after unconfirmed bans", waits)
	}
	by := func() map[string]int {
		got := map[string]int{}
		for range 20 {
			if code, _, body := do(t, clientRequest(t, addr, "read", "2.5")); code == http.StatusOK {
				got[body]++
			}
		}
		return got
	}
	if got := by(); got["1"] > 0 || got["2"] == 0 {
		t.Errorf("with s1 banned: %v", got)
	}
	for _, old := range []control.FleetBans{ban(4, 2, true), ban(6, 1, true)} {
		if _, err := control.SendFleetBans(t.Context(), op.Control.Socket, old); !errors.Is(err, control.ErrOutdatedBans) {
			t.Errorf("version %d with token %d: %v", old.Version, old.Token, err)
		}
	}
	if code, text := tell("POST", "/admin/uncordon/s1"); code != http.StatusConflict || !strings.Contains(text, "by ada: disk") {
		t.Errorf("manual uncordon of a banned server: %d %s", code, text)
	}
	if code, _ := tell("POST", "/admin/cordon/s1"); code != http.StatusOK {
		t.Errorf("manual cordon of a banned server: %d", code)
	}
	status := sendFleetBans(t, op.Control.Socket, ban(6, 2, true))
	if len(status.Hand) != 1 || status.Hand[0] != "s1" || status.Bans != 0 || status.Listed != 2 {
		t.Errorf("%+v", status)
	}
	if got := by(); got["1"] > 0 {
		t.Errorf("the end of the ban undid the manual cordon: %v", got)
	}
	if code, _ := tell("POST", "/admin/uncordon/s1"); code != http.StatusOK {
		t.Errorf("uncordon: %d", code)
	}
	waitFor(t, "use of s1 after the uncordon", func() bool { return by()["1"] > 0 })

	if status := sendFleetBans(t, op.Control.Socket, ban(7, 2, true, "s2", "s9")); len(status.Missing) != 1 || status.Missing[0] != "s9" {
		t.Errorf("%+v", status)
	}
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	op.Fleet.Wait.Duration = 50 * time.Millisecond // no agent sends bans
	addr, _, _ = startWithOperatorAPIAs(t, d, op)
	waitFor(t, "service with the saved state", func() bool { return by()["1"] > 0 })
	if got := by(); got["2"] > 0 {
		t.Errorf("the ban was lost: %v", got)
	}
}

// A node without [fleet] in its operator's file accepts no fleet bans.
func TestFleetBansNotAccepted(t *testing.T) {
	t.Parallel()
	d := newRegistry(t, listedTarget(newServer(t, respondWith(ok("1"), true)), "s1"))
	var op operator.File
	op.Control.Socket = filepath.Join(t.TempDir(), "s")
	startWithOperatorAPIAs(t, d, op)
	waitFor(t, "answer on the control socket", func() bool {
		_, err := control.SendFleetBans(t.Context(), op.Control.Socket, control.FleetBans{})
		return errors.Is(err, control.ErrNoFleet)
	})
}
