package core

import (
	"hash/maphash"
	"time"

	"otterstep/policy"
)

// recentIDs knows the ids of requests that are open or were lately. Servers tell
// requests apart by their ids, so a second one with the id of another client's open
// request could be given that one's answer. It may also reach the node a moment
// after that answer, so ids stay known for a while. Two generations of hashes keep
// it small: each is dropped whole.
type recentIDs struct {
	seed       maphash.Seed
	every      time.Duration
	since      time.Duration
	young, old map[uint64]struct{}
}

// newRecentIDs keeps an id for longer than any request may be open.
func newRecentIDs(classes []policy.Class) recentIDs {
	every := 2 * time.Second
	for _, c := range classes {
		every = max(every, c.Deadline)
	}
	return recentIDs{seed: maphash.MakeSeed(), every: every, young: map[uint64]struct{}{}}
}

// add notes an id; false if it is known already.
func (ids *recentIDs) add(now time.Duration, id string) bool {
	if now-ids.since > ids.every {
		if ids.old = ids.young; now-ids.since > 2*ids.every {
			ids.old = nil
		}
		ids.since, ids.young = now, map[uint64]struct{}{}
	}
	h := maphash.String(ids.seed, id)
	_, young := ids.young[h]
	_, old := ids.old[h]
	ids.young[h] = struct{}{}
	return !young && !old
}
