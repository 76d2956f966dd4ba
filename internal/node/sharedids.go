package node

import (
	"context"
	"sync"

	"otterstep/internal/core"
	"otterstep/internal/handover"
)

// maxSharedIDs bounds the request IDs of one message and those that wait to be sent.
const (
	maxSharedIDs  = 1000
	maxWaitingIDs = 100_000
)

// sharedIDs sends the request IDs of this process to the other one of an upgrade, so that an ID that is in use in one of
// them is a duplicate in both. The core's loop never waits for it.
type sharedIDs struct {
	link *handover.Link

	mu      sync.Mutex
	waiting core.IDChange
	changed chan struct{} // has a buffer of one
}

func newSharedIDs(link *handover.Link) *sharedIDs {
	return &sharedIDs{link: link, changed: make(chan struct{}, 1)}
}

// add queues a change. If the other process takes nothing any more, the latest ones are dropped.
func (s *sharedIDs) add(c core.IDChange) {
	s.mu.Lock()
	if len(s.waiting.Open)+len(s.waiting.Ended) < maxWaitingIDs {
		s.waiting.Open = append(s.waiting.Open, c.Open...)
		s.waiting.Ended = append(s.waiting.Ended, c.Ended...)
	}
	s.mu.Unlock()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// take returns what the next message holds; false if nothing waits.
func (s *sharedIDs) take() (c core.IDChange, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Open, s.waiting.Open = split(s.waiting.Open)
	if len(s.waiting.Open) == 0 { // an ID ends after it was opened
		c.Ended, s.waiting.Ended = split(s.waiting.Ended)
	}
	return c, len(c.Open)+len(c.Ended) > 0
}

func split(ids []uint64) (first, rest []uint64) {
	n := min(len(ids), maxSharedIDs)
	return ids[:n:n], ids[n:]
}

// flush sends all that waits.
func (s *sharedIDs) flush() error {
	for c, ok := s.take(); ok; c, ok = s.take() {
		if err := s.link.Send(handover.Message{RequestIDs: &c}); err != nil {
			return err
		}
	}
	return nil
}

// run sends changes until the other process ends.
func (s *sharedIDs) run() {
	for {
		select {
		case <-s.changed:
			if s.flush() != nil {
				return // the link's own goroutine notices
			}
		case <-s.link.Done():
			return
		}
	}
}

// shareIDs begins to tell the other process of this one's request IDs. All that are in use now are sent when it returns.
func (s *handoverManager) shareIDs(link *handover.Link) {
	ids := newSharedIDs(link)
	known, err := s.ops.loop.ShareRequestIDs(context.Background(), ids.add)
	if err != nil {
		return // the loop has stopped
	}
	ids.add(known)
	if ids.flush() == nil { // else the other process is gone
		go ids.run()
	}
}
