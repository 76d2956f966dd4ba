package node

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"otterstep/internal/operator"
)

// A ban told just before the node is killed holds when it comes back with discovery away, and so does
// the list; what discovery then says is above both. What is on the disk at the yes is all that the second
// node gets.
func TestBansAndListsOutliveANode(t *testing.T) {
	t.Parallel()
	one, two := newServer(t, says(ok("1"), true)), newServer(t, says(ok("2"), true))
	d := newRegistry(t, listed(one, "s1"), listed(two, "s2"))
	var op operator.File
	op.Kept.File, op.Kept.Every.Duration = filepath.Join(t.TempDir(), "kept"), time.Second
	_, tell, stop := startOperatedAs(t, d, op)
	d.told(t)
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

	if err := stop(); err != nil { // else its watch is taken for the second node's
		t.Fatal(err)
	}
	d.set(func() { d.down = true })
	addr, tell, _ := startOperatedAs(t, d, next)
	by := func() map[string]int {
		got := map[string]int{}
		for range 20 {
			switch code, _, body := do(t, clientRequest(t, addr, "read", "2.5")); code {
			case http.StatusOK:
				got[body]++
			case http.StatusServiceUnavailable: // more than a server that is doubted, or cold, is sent
				got["refused"]++
			default:
				t.Errorf("answered %d", code)
			}
		}
		return got
	}
	if got := by(); got["2"] == 0 || got["1"] > 0 {
		t.Errorf("with discovery away: %v", got)
	}
	three := newServer(t, says(ok("3"), true))
	d.set(func() { // s2 is another machine by now, and s1 has started anew
		d.down, d.rev = false, 7
		moved, anew := listed(three, "s2"), listed(one, "s1")
		anew.BootMs = time.Now().UnixMilli()
		d.all, d.changed = map[string]target{"s1": anew, "s2": moved}, map[string]int64{"s1": 7, "s2": 7}
	})
	d.told(t)
	if got := by(); got["3"] == 0 || got["1"]+got["2"] > 0 {
		t.Errorf("as discovery says: %v", got)
	}
	if code, text := tell("POST", "/admin/uncordon/s1"); code != http.StatusOK {
		t.Fatalf("%d %s", code, text)
	}
	waitFor(t, "the server is in use again", func() bool { return by()["1"] > 0 })
}
