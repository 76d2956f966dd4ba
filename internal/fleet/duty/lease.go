package duty

import "time"

// DriftMost is the stated bound on how far a machine's clock may run fast or slow, as a share
// of the time that passes. With clocks further off a lease may overlap the next one, which
// costs work that is refused at the agents; the tokens hold whatever clocks do.
const DriftMost = 0.10

// Usable is how much of a lease its owner may use, by its own clock, from before it asked. Its
// granter waits out the whole lease by its own: the owner's clock may be slow and the granter's
// fast, each by DriftMost.
func Usable(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 - DriftMost) / (1 + DriftMost))
}

// Hold is an ownership as its owner knows it.
type Hold struct {
	Fence
	Until time.Duration // on the owner's clock
}

// Good tells whether the owner may begin anything.
func (h Hold) Good(now time.Duration) bool { return h.Token != 0 && now < h.Until }

// Renewed extends a hold by a renewal that was asked for at a time.
func (h Hold) Renewed(asked, lease time.Duration) Hold {
	h.Until = max(h.Until, asked+Usable(lease))
	return h
}

// Leases is what a leader knows of leases, on its own clock. A lease that it has seen end is
// never renewed. Renewals don't go through the log: a new leader knows nothing of them, and
// takes each lease for granted just when it began to lead.
type Leases struct {
	length  time.Duration
	leading bool
	since   time.Duration
	ends    map[string]time.Duration // by duty
}

// NewLeases makes the leases of a voter that does not lead.
func NewLeases(length time.Duration) *Leases {
	return &Leases{length: length, ends: map[string]time.Duration{}}
}

// Lead notes that the voter begins to lead.
func (l *Leases) Lead(now time.Duration) {
	l.leading, l.since = true, now
	clear(l.ends)
}

// Follow notes that it leads no longer: it may say nothing of leases.
func (l *Leases) Follow() { l.leading = false }

// Granted notes that a duty went to an owner; now is after that was agreed.
func (l *Leases) Granted(duty string, now time.Duration) { l.ends[duty] = now + l.length }

// Left gives what is left of a duty's lease, 0 if it is over. ok is false at a voter that
// does not lead.
func (l *Leases) Left(duty string, now time.Duration) (left time.Duration, ok bool) {
	if !l.leading {
		return 0, false
	}
	end, known := l.ends[duty]
	if !known {
		end = l.since + l.length
	}
	return max(0, end-now), true
}

// Renew extends a lease unless it is over; now is after the leader has made sure that it
// still leads.
func (l *Leases) Renew(duty string, now time.Duration) bool {
	left, ok := l.Left(duty, now)
	if !ok || left == 0 {
		return false
	}
	l.ends[duty] = now + l.length
	return true
}
