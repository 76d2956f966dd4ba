package duty

import "time"

// maxClockDrift is the assumed bound on the drift rate of a machine's clock, as a share of elapsed time.
// With more drift a lease may overlap the next one. The cost is that agents refuse the former owner's
// orders: fencing by tokens does not depend on clocks.
const maxClockDrift = 0.10

// UsableLease returns the part of a lease that its owner may use, by the owner's clock and measured from
// before the request. The leader waits for the whole lease by its own clock: the owner's clock may
// be slow and the leader's fast, each by maxClockDrift.
func UsableLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 - maxClockDrift) / (1 + maxClockDrift))
}

// OwnerLease is a lease as its owner tracks it.
type OwnerLease struct {
	Fence
	Until time.Duration // by the owner's clock
}

// Valid reports whether the owner may start new work.
func (l OwnerLease) Valid(now time.Duration) bool { return l.Token != 0 && now < l.Until }

// Renewed returns the lease extended by a renewal that was requested at the time asked.
func (l OwnerLease) Renewed(asked, lease time.Duration) OwnerLease {
	l.Until = max(l.Until, asked+UsableLease(lease))
	return l
}

// Leases tracks all leases at the leader, by its own clock. A lease that has ended is never renewed.
// Renewals don't go through the log, so a new leader does not know them: it assumes that each lease
// was granted when its leadership started.
type Leases struct {
	duration time.Duration
	leading  bool
	since    time.Duration
	ends     map[string]time.Duration // lease ends by duty
}

// NewLeases returns the leases of a voter that does not lead.
func NewLeases(length time.Duration) *Leases {
	return &Leases{duration: length, ends: map[string]time.Duration{}}
}

// StartLeading records that the voter's leadership starts.
func (l *Leases) StartLeading(now time.Duration) {
	l.leading, l.since = true, now
	clear(l.ends)
}

// stopLeading records that the voter leads no longer: it has no knowledge of leases from then on.
func (l *Leases) stopLeading() { l.leading = false }

// Granted records that a duty was assigned to an owner. now must be read after that was committed.
func (l *Leases) Granted(duty string, now time.Duration) { l.ends[duty] = now + l.duration }

// Remaining returns the remaining time of a duty's lease, 0 if it has ended. ok is false at a voter that
// does not lead.
func (l *Leases) Remaining(duty string, now time.Duration) (left time.Duration, ok bool) {
	if !l.leading {
		return 0, false
	}
	end, known := l.ends[duty]
	if !known {
		end = l.since + l.duration
	}
	return max(0, end-now), true
}

// Renew extends a lease unless it has ended, and reports whether it did. now must be read after the
// leader has verified that it still leads.
func (l *Leases) Renew(duty string, now time.Duration) bool {
	left, ok := l.Remaining(duty, now)
	if !ok || left == 0 {
		return false
	}
	l.ends[duty] = now + l.duration
	return true
}
