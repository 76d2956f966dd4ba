// Package pace is a rate limiter without coordination: each of many parties (processes, clients)
// schedules its own starts, calls, connections or trials so that all of them together stay below a
// rate. The parties exchange no messages; the bound follows from their number alone. The package
// does no I/O and has no clock; the source of randomness is an argument.
package pace

import "time"

// Bound limits the combined rate of all parties.
type Bound struct {
	Parties int     // number of parties, at least 1
	Rate    float64 // events per second of all parties together; 0 means unlimited
	// Burst is how many events may happen at once. With at most this many parties, each starts its
	// first event without delay.
	Burst int
}

// Schedule is one party's schedule under a Bound.
type Schedule struct {
	interval, firstOffset, secondOffset time.Duration
	issued                              int
	last                                time.Duration
}

// NewSchedule returns the schedule of one party. random returns random numbers in [0, 1) and is called at
// most twice.
//
// In any time window w all parties together start at most Rate × w + Parties events, whenever they
// joined and whenever they ask, because each one spaces its own events at least Parties / Rate apart.
// With more than Burst parties, each draws a random offset within its first interval, so that parties
// that join at the same time start Rate × w events on average from the beginning.
func (b Bound) NewSchedule(random func() float64) *Schedule {
	t := &Schedule{}
	if b.Rate <= 0 {
		return t
	}
	interval := float64(max(1, b.Parties)) / b.Rate * float64(time.Second)
	t.interval = time.Duration(interval)
	if b.Parties > b.Burst {
		t.firstOffset = time.Duration(random() * interval)
	}
	// A second random offset keeps parties that joined together from staying in step.
	t.secondOffset = time.Duration(random() * interval)
	return t
}

// Next returns when the next event may start, now or later.
func (t *Schedule) Next(now time.Duration) time.Duration {
	at := now
	switch {
	case t.interval == 0:
		return now
	case t.issued == 0:
		at += t.firstOffset
	case t.issued == 1:
		at = max(now, t.last+t.interval+t.secondOffset)
	default:
		at = max(now, t.last+t.interval)
	}
	t.issued++
	t.last = at
	return at
}
