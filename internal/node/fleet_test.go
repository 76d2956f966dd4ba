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

// tellSoon brings a word to a node that may just be starting.
func tellSoon(t *testing.T, socket string, w control.Word) (is control.Fleet) {
	t.Helper()
	waitFor(t, "the node takes a word", func() bool {
		var err error
		is, err = control.Tell(context.Background(), socket, w)
		return err == nil
	})
	return is
}

// A node holds back until it was told, sends nothing to what the fleet leaves out, takes no older word, and
// keeps the fleet's word and calls by hand apart. A word holds when the node comes back with its agent away.
func TestFleetsWord(t *testing.T) {
	t.Parallel()
	one, two := newServer(t, says(ok("1"), true)), newServer(t, says(ok("2"), true))
	d := newRegistry(t, listed(one, "s1"), listed(two, "s2"))
	dir := t.TempDir()
	var op operator.File
	op.Control.Socket = filepath.Join(dir, "s")
	op.Fleet.Wait.Duration = time.Minute
	op.Kept.File, op.Kept.Every.Duration = filepath.Join(dir, "kept"), time.Second
	ban := func(version, token uint64, sure bool, ids ...string) control.Word {
		w := control.Word{Word: cordon.Word{Version: version, Token: token}, Sure: sure}
		for _, id := range ids {
			w.Bans = append(w.Bans, cordon.Ban{ID: id, Reason: "disk", By: "ada"})
		}
		return w
	}
	held := make(chan string, 1)
	go func() {
		// What may be old is in force at once, and lets nobody in.
		is := tellSoon(t, op.Control.Socket, ban(4, 1, false, "s1"))
		held <- is.Waits
		tellSoon(t, op.Control.Socket, ban(5, 2, true, "s1", "s9"))
	}()
	addr, tell, stop := startOperatedAs(t, d, op)
	if waits := <-held; !strings.Contains(waits, "for the fleet's word") {
		t.Errorf("waits %q behind a word that may be old", waits)
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
		t.Errorf("with s1 out: %v", got)
	}
	for _, old := range []control.Word{ban(4, 2, true), ban(6, 1, true)} {
		if _, err := control.Tell(t.Context(), op.Control.Socket, old); !errors.Is(err, control.ErrOldWord) {
			t.Errorf("version %d under %d: %v", old.Version, old.Token, err)
		}
	}
	if code, text := tell("POST", "/admin/uncordon/s1"); code != http.StatusConflict || !strings.Contains(text, "by ada: disk") {
		t.Errorf("a call back by hand of what the fleet leaves out: %d %s", code, text)
	}
	if code, _ := tell("POST", "/admin/cordon/s1"); code != http.StatusOK {
		t.Errorf("out by hand as well: %d", code)
	}
	is := tellSoon(t, op.Control.Socket, ban(6, 2, true))
	if len(is.Hand) != 1 || is.Hand[0] != "s1" || is.Bans != 0 || is.Listed != 2 {
		t.Errorf("%+v", is)
	}
	if got := by(); got["1"] > 0 {
		t.Errorf("the fleet's end of a ban undid a call by hand: %v", got)
	}
	if code, _ := tell("POST", "/admin/uncordon/s1"); code != http.StatusOK {
		t.Errorf("back: %d", code)
	}
	waitFor(t, "s1 in use again", func() bool { return by()["1"] > 0 })

	if is := tellSoon(t, op.Control.Socket, ban(7, 2, true, "s2", "s9")); len(is.Missing) != 1 || is.Missing[0] != "s9" {
		t.Errorf("%+v", is)
	}
	if err := stop(); err != nil {
		t.Fatal(err)
	}
	op.Fleet.Wait.Duration = 50 * time.Millisecond // nobody tells it anything
	addr, _, _ = startOperatedAs(t, d, op)
	waitFor(t, "the node serves by what it kept", func() bool { return by()["1"] > 0 })
	if got := by(); got["2"] > 0 {
		t.Errorf("the ban is forgotten: %v", got)
	}
}

// A node whose operator's file says nothing of a fleet takes no word.
func TestNoFleet(t *testing.T) {
	t.Parallel()
	d := newRegistry(t, listed(newServer(t, says(ok("1"), true)), "s1"))
	var op operator.File
	op.Control.Socket = filepath.Join(t.TempDir(), "s")
	startOperatedAs(t, d, op)
	waitFor(t, "the control socket answers", func() bool {
		_, err := control.Tell(t.Context(), op.Control.Socket, control.Word{})
		return errors.Is(err, control.ErrNoFleet)
	})
}
