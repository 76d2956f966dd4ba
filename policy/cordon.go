package policy

// Servers cordoned by operators, and their return; nodes whose work is shared by two processes.

import "time"

// cordonState is what operators said about a server. It is kept apart from the list and outlasts its entries.
type cordonState struct {
	cordoned     bool
	since        time.Duration // time of the cordon
	uncordonedAt time.Duration // time of the uncordon; meaningless while cordoned
}

// Cordon excludes a server from all picks until Uncordon, whatever the list says and however often the
// server restarts. The server need not be listed, and the call may be repeated.
func (b *Balancer) Cordon(now time.Duration, id ServerID) {
	b.expireUncordoned(now)
	if h := b.cordons[id]; !h.cordoned {
		b.cordons[id] = cordonState{cordoned: true, since: now}
	}
	if s := b.servers[id]; s != nil {
		s.cordon = b.cordons[id]
		b.updateReady()
	}
	b.refreshedAt = -1
	b.dispatch(now) // with no server left, queued requests are answered now
}

// Uncordon lets a server serve again. It has usually been restarted meanwhile, which the list reports late,
// so it counts as cold from now on, unless the list says that it restarted long ago while it was cordoned.
// It counts as unmeasured and half-open, so that its trial comes at once: an unmeasured server would be
// picked late where many others are better known. A server that is not cordoned is left unchanged. called
// is the time of the call, which lies before now if another process received it.
func (b *Balancer) Uncordon(now time.Duration, id ServerID, called time.Duration) {
	h := b.cordons[id]
	if !h.cordoned {
		return
	}
	b.expireUncordoned(now)
	s := b.servers[id]
	h.cordoned, h.uncordonedAt = false, min(called, now)
	if s != nil && s.Started > h.since && now-s.Started >= b.set.Rules.ColdFor {
		h.uncordonedAt = s.Started
	}
	b.cordons[id] = h
	if s != nil {
		*s = server{Entry: s.Entry, local: s.local, kind: s.kind, limitOffset: s.limitOffset,
			openFor: openInitial, inFlight: s.inFlight, load: s.load, cordon: h, breaker: halfOpen}
		if s.acceptsWork() {
			b.ready = append(b.ready, s)
		}
		b.updateReady()
	}
	b.refreshedAt = -1
	b.dispatch(now)
}

// expireUncordoned forgets uncordoned servers that are warm by now.
func (b *Balancer) expireUncordoned(now time.Duration) {
	if b.cordons == nil {
		b.cordons = map[ServerID]cordonState{}
	}
	for id, h := range b.cordons {
		if !h.cordoned && now-h.uncordonedAt > b.set.Rules.ColdFor {
			delete(b.cordons, id)
		}
	}
}

// acceptsWork reports whether the list and the operators allow new work at a server.
func (s *server) acceptsWork() bool { return s.State == Ready && !s.cordon.cordoned }

// lastStart is the latest known start of a server; 0: long ago. An uncordoned server may have started at
// any time before the uncordon.
func (s *server) lastStart() time.Duration { return max(s.Started, s.cordon.uncordonedAt) }

// SetNodePart sets the part of its node that this process makes up, with another process as the rest, as
// during an upgrade. The process keeps to that part of each cold server's budget and of each quota. 1: the
// whole.
func (b *Balancer) SetNodePart(now time.Duration, part float64) {
	for i := range b.tenants {
		t := &b.tenants[i]
		t.refill(now)
		t.perSecond *= part / b.nodePart
		t.tokens = min(t.tokens, max(t.perSecond, 1))
	}
	b.nodePart = part
}
