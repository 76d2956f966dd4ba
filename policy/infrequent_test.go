package policy

import (
	"testing"
	"time"
)

// Guards against a failing server that keeps its full part of the requests of a node that uses it twice a minute: it got
// 18 of 197, with 20 as its fair part, and callers of unsafe requests saw each error. Five failures had to fall within
// 60 s to open the breaker, and outcomes are forgotten after 10 s, before the server is used again, so neither breaker
// nor score told it apart. The failure window is now ten minutes; only a success in between resets it.
func TestSeldomUsedFailingServerIsAvoided(t *testing.T) {
	const servers, minutes = 10, 20
	r := newRig(t, testSettings(), servers)
	bad, all := 0, 0
	for r.now < time.Hour+minutes*time.Minute {
		id := r.request(2)
		server := r.sendsOf(id)[0]
		r.advance(50 * ms)
		status := OK
		if server == 1 {
			status = Error
		}
		r.end(id, status, 50*ms)
		if r.now > time.Hour+minutes/2*time.Minute { // each server has been used twenty times by then
			all++
			if server == 1 {
				bad++
			}
		}
		r.advance(3 * time.Second)
	}
	if fair := float64(all) / servers; float64(bad) > fair/2 {
		t.Errorf("%d of %d requests still go to a server that always fails, a fair part would be %.0f", bad, all, fair)
	}
}
