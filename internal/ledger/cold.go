package ledger

import (
	"math"
	"time"
)

// Cold counts what comes to one cold server from all nodes together, and by how much that is over what chance
// explains. Its zero value is ready for a server that has just started.
type Cold struct {
	came []arrival // within the rule's window: as many as come in it
	sum  float64   // of their work
	over float64
}

// arrival is a request's, with its work as a multiple of the mean.
type arrival struct {
	at   time.Duration
	work float64
}

// Add notes a request that comes now, no earlier than the one before it, with its work as a multiple of the mean.
// Within the window the server may get allowed requests of mean work, as it is now; it falls to N + 2 x root of
// N + 2 of them, N being that, as more is no chance.
func (c *Cold) Add(now, window time.Duration, work, allowed float64) {
	c.came = append(c.came, arrival{now, work})
	c.sum += work
	for now-c.came[0].at >= window {
		c.sum -= c.came[0].work
		c.came = c.came[1:]
	}
	c.over = max(c.over, c.sum-allowed-2*math.Sqrt(allowed)-2)
}

// Restart begins anew with a server that has started again; Over goes on.
func (c *Cold) Restart() { c.came, c.sum = nil, 0 }

// Over gives the most by which a window was over that so far, in requests of mean work; 0: none was.
func (c *Cold) Over() float64 { return c.over }
