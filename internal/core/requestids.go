package core

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"otterstep/policy"
)

// idHash stands for a request's ID in a requestIDs. It is the same in every process.
type idHash uint64

func hashID(id string) idHash {
	sum := sha256.Sum256([]byte(id))
	return idHash(binary.BigEndian.Uint64(sum[:8]))
}

// IDChange tells another process of the same node which request IDs are in use here, by their hashes.
type IDChange struct {
	Open  []uint64 `json:"open,omitempty"`  // in use from now on
	Ended []uint64 `json:"ended,omitempty"` // no longer in use, but recently
}

// requestIDs is the set of request IDs that are in use or were recently. Servers identify
// requests by ID, so a second request with the ID of another client's open request could
// receive that request's answer. An ID is in use until the last byte of its answer, however
// long that takes. The duplicate may also arrive shortly after that, so IDs are remembered
// for a while. The memory of past ones is bounded by keeping two generations of hashes and
// dropping the older one as a whole.
type requestIDs struct {
	interval          time.Duration
	rotatedAt         time.Duration
	open              map[idHash]struct{}
	current, previous map[idHash]struct{}
	peer              map[idHash]struct{} // in use in another process of the node
	report            func(IDChange)      // tells that process of changes; nil if there is none
}

// newRequestIDs returns a set that remembers an ID for longer than a client waits for an answer.
func newRequestIDs(classes []policy.Class) requestIDs {
	interval := 2 * time.Second
	for _, c := range classes {
		interval = max(interval, c.Deadline)
	}
	return requestIDs{interval: interval, open: map[idHash]struct{}{}, current: map[idHash]struct{}{}, peer: map[idHash]struct{}{}}
}

// begin records that an ID is in use, until end. It returns false if the ID is in use already,
// or was recently.
func (ids *requestIDs) begin(now time.Duration, id string) (idHash, bool) {
	ids.rotate(now)
	h := hashID(id)
	if _, inUse := ids.open[h]; inUse {
		return h, false
	}
	if _, inUse := ids.peer[h]; inUse {
		return h, false
	}
	_, inCurrent := ids.current[h]
	_, inPrevious := ids.previous[h]
	if inCurrent || inPrevious {
		ids.current[h] = struct{}{}
		return h, false
	}
	ids.open[h] = struct{}{}
	if ids.report != nil {
		ids.report(IDChange{Open: []uint64{uint64(h)}})
	}
	return h, true
}

// end records that an ID for which begin returned true is no longer in use.
func (ids *requestIDs) end(now time.Duration, h idHash) {
	ids.rotate(now)
	delete(ids.open, h)
	ids.current[h] = struct{}{}
	if ids.report != nil {
		ids.report(IDChange{Ended: []uint64{uint64(h)}})
	}
}

// share returns what another process has to know, and reports all changes from now on.
func (ids *requestIDs) share(now time.Duration, report func(IDChange)) (c IDChange) {
	ids.rotate(now)
	ids.report = report
	for h := range ids.open {
		c.Open = append(c.Open, uint64(h))
	}
	for _, recent := range []map[idHash]struct{}{ids.current, ids.previous} {
		for h := range recent {
			c.Ended = append(c.Ended, uint64(h))
		}
	}
	return c
}

// learn applies what another process has told.
func (ids *requestIDs) learn(now time.Duration, c IDChange) {
	ids.rotate(now)
	for _, h := range c.Open {
		ids.peer[idHash(h)] = struct{}{}
	}
	for _, h := range c.Ended {
		delete(ids.peer, idHash(h))
		ids.current[idHash(h)] = struct{}{}
	}
}

// unshare ends the sharing. The requests that the other process still had have ended with it.
func (ids *requestIDs) unshare(now time.Duration) {
	ids.report = nil
	ended := slices.Collect(maps.Keys(ids.peer))
	for _, h := range ended {
		ids.learn(now, IDChange{Ended: []uint64{uint64(h)}})
	}
}

// rotate starts a new generation once the current one is old enough.
func (ids *requestIDs) rotate(now time.Duration) {
	age := now - ids.rotatedAt
	if age <= ids.interval {
		return
	}
	if ids.previous = ids.current; age > 2*ids.interval {
		ids.previous = nil
	}
	ids.rotatedAt, ids.current = now, map[idHash]struct{}{}
}
