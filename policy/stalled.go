package policy

// Answers that have begun and do not go on.

import "time"

// Stalled reports that an attempt's answer has begun and does not go on: its server may never end it, or may be slow and
// still give it in time. The attempt goes on, and another one is made elsewhere.
func (b *Balancer) Stalled(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if r == nil || r.done || r.streaming || a.stalled {
		return
	}
	a.stalled = true
	if !a.silent {
		a.silent = true
		b.recordFailure(now, a, true)
	}
	r.copyAt = now + b.backoff(r)
	b.scheduleSweep(now)
}

// stalledOnly reports whether all attempts in flight are stalled, and there are any.
func (r *request) stalledOnly() bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && !a.stalled {
			return false
		}
	}
	return r.inFlight > 0
}

// maxInFlight is how many attempts of a request may be in flight together.
func (b *Balancer) maxInFlight() int {
	if b.set.Limits.SecondCopies {
		return 2
	}
	return 1
}

// retryStalled makes another attempt beside those that are stalled. Where no more may be in flight, the oldest one is
// cancelled once only just enough time is left for another attempt.
func (b *Balancer) retryStalled(now time.Duration, r *request) {
	expected := b.expectedLatency(r)
	if now < r.copyAt || now+expected > r.worthUntil() {
		return
	}
	if r.inFlight < b.maxInFlight() {
		b.copyStalled(now, r)
		return
	}
	latest := r.worthUntil() - time.Duration(copyFactor*float64(expected)) - b.backoff(r)
	if now >= latest && b.mayReplaceStalled(now, r) {
		b.cancelOldest(r)
	}
}

// copyStalled sends a copy of a request whose attempts are stalled, if a server has room for it. With nodes that are
// sparse it counts as a second copy, as their retries do.
func (b *Balancer) copyStalled(now time.Duration, r *request) {
	if b.sparse() && b.copyTokens < 1 {
		return
	}
	if s := b.pick(now, r); s != nil {
		if b.sparse() {
			b.copyTokens--
		}
		b.send(now, r, s)
	}
}

// mayReplaceStalled reports whether another attempt could be made if a stalled one were cancelled.
func (b *Balancer) mayReplaceStalled(now time.Duration, r *request) bool {
	if r.noRetry || r.class.Effect == Unsafe || len(r.attempts) >= b.set.Limits.MaxAttempts || b.sparse() && b.copyTokens < 1 {
		return false
	}
	for _, s := range b.ready {
		if s.breaker != open && !r.tried(s) && r.mayRepeatAt(now, s) {
			return true
		}
	}
	return false
}

// cancelOldest cancels the attempt that has been in flight longest.
func (b *Balancer) cancelOldest(r *request) {
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			b.host.Cancel(r.ID, i)
			return
		}
	}
}
