package rulecheck

import (
	"math"
	"time"
)

// ColdLoad sums the work that all nodes together send to one cold server, and by how much it exceeds the allowed amount
// plus random variation. The zero value is ready for a server that has just started.
type ColdLoad struct {
	arrivals []arrival // the arrivals within the window
	sum      float64   // the sum of their work
	excess   float64   // see Excess
}

// arrival is the arrival of a request, with its work as a multiple of the mean.
type arrival struct {
	at   time.Duration
	work float64
}

// Add records a request that arrives now, no earlier than the previous one, with its work as a multiple of the mean.
// allowed is the number N of requests of mean work that the server may currently get within the window. Up to
// N + 2*sqrt(N) + 2 counts as random variation; anything beyond that is recorded as excess.
func (c *ColdLoad) Add(now, window time.Duration, work, allowed float64) {
	c.arrivals = append(c.arrivals, arrival{now, work})
	c.sum += work
	for now-c.arrivals[0].at >= window {
		c.sum -= c.arrivals[0].work
		c.arrivals = c.arrivals[1:]
	}
	c.excess = max(c.excess, c.sum-allowed-2*math.Sqrt(allowed)-2)
}

// Restart discards the recorded arrivals because the server has restarted; Excess is kept.
func (c *ColdLoad) Restart() { c.arrivals, c.sum = nil, 0 }

// Excess returns the largest excess in any window so far, in requests of mean work; 0 if there was none.
func (c *ColdLoad) Excess() float64 { return c.excess }
