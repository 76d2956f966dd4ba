// Package pace is when many parties may each begin what they all may do at once: starts, calls,
// connections, trials. It is the one place for delays that many processes share. Nobody asks
// anybody: the bound holds by arithmetic over how many there are. It does no I/O and has no
// clock; chance is handed in.
package pace

import "time"

// Bound is what all parties together may begin.
type Bound struct {
	Parties int     // how many there are; at least 1
	Rate    float64 // a second, of all together; 0: there is no bound
	// Burst may be begun at once by all together. With so many parties or fewer each begins its
	// first without waiting.
	Burst int
}

// Turns are one party's turns under a bound.
type Turns struct {
	each, first, later time.Duration
	given              int
	last               time.Duration
}

// Turns makes a party's. draw gives numbers in [0, 1), and is asked twice.
//
// In any stretch of time w all parties together begin Rate × w + Parties at most, whenever they
// came and whenever they ask: each begins its own at distances of Parties / Rate and more. Beyond
// Burst parties, each draws where in its first distance it begins, so that of parties that came
// together Rate × w is begun in the mean from the first moment on.
func (b Bound) Turns(draw func() float64) *Turns {
	t := &Turns{}
	if b.Rate <= 0 {
		return t
	}
	each := float64(max(1, b.Parties)) / b.Rate * float64(time.Second)
	t.each = time.Duration(each)
	if b.Parties > b.Burst {
		t.first = time.Duration(draw() * each)
	}
	// From the second on no two parties that came together are in step.
	t.later = time.Duration(draw() * each)
	return t
}

// Next gives when the next thing may be begun, now or later.
func (t *Turns) Next(now time.Duration) time.Duration {
	at := now
	switch {
	case t.each == 0:
		return now
	case t.given == 0:
		at += t.first
	case t.given == 1:
		at = max(now, t.last+t.each+t.later)
	default:
		at = max(now, t.last+t.each)
	}
	t.given++
	t.last = at
	return at
}
