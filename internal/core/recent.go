package core

import (
	"hash/maphash"
	"time"

	"otterstep/policy"
)

// recentIDs is the set of request IDs that are open or were recently. Servers identify
// requests by ID, so a second request with the ID of another client's open request could
// receive that request's answer. The duplicate may also arrive shortly after that answer, so
// IDs are remembered for a while. Memory is bounded by keeping two generations of hashes and
// dropping the older one as a whole.
type recentIDs struct {
	seed              maphash.Seed
	interval          time.Duration
	rotatedAt         time.Duration
	current, previous map[uint64]struct{}
}

// newRecentIDs returns a set that remembers an ID for longer than any request may be open.
func newRecentIDs(classes []policy.Class) recentIDs {
	every := 2 * time.Second
	for _, c := range classes {
		every = max(every, c.Deadline)
	}
	return recentIDs{seed: maphash.MakeSeed(), interval: every, current: map[uint64]struct{}{}}
}

// add records an ID; it returns false if the ID is already known.
func (ids *recentIDs) add(now time.Duration, id string) bool {
	if now-ids.rotatedAt > ids.interval {
		if ids.previous = ids.current; now-ids.rotatedAt > 2*ids.interval {
			ids.previous = nil
		}
		ids.rotatedAt, ids.current = now, map[uint64]struct{}{}
	}
	h := maphash.String(ids.seed, id)
	_, inCurrent := ids.current[h]
	_, inPrevious := ids.previous[h]
	ids.current[h] = struct{}{}
	return !inCurrent && !inPrevious
}
