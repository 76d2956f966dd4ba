package policy

// A node that has come back and goes by a list that nobody has confirmed: what it admits, when those that it
// refuses may come again, and how long it believes figures of before.

import (
	"math"
	"time"
)

const (
	proveFor   = 250 * time.Millisecond // that a node waits for the first proofs
	climb      = 1.5                    // times what servers have proved of late: what they are taken to bear next
	wrongBy    = 2.5                    // times, either way: figures of before that are off by so much are wrong
	judgedBy   = 8                      // lone answers that they are judged by,
	judgedFrom = 3                      // of so many servers, or of all there are
	borneLeast = 0.5                    // of one request at a time: what any server bears, warm, of all nodes together
	borneFor   = 60.0                   // seconds over which the most that was served is forgotten
)

// before is what is believed of another process's figures, until answers have spoken.
type before struct {
	fresh   Memory               // what this Balancer went by ahead of them
	of      map[ServerID]bool    // servers that answered
	seen    int                  // lone answers
	off     float64              // the sum of their latencies over the expected ones, as logarithms
	servers map[ServerID]float64 // those whose own figures are of before, and these
}

// doubting tells that this node has come back with nobody to ask: it uses servers that discovery has not
// confirmed.
func (b *Balancer) doubting() bool { return b.doubted > 0 }

// onTheWay tells that this node has come back and no server is known to be warm yet.
func (b *Balancer) onTheWay() bool { return b.cameBack > 0 && b.warm == 0 }

// comeBack begins with a list that is in doubt. A node with too little in flight to find out what its servers
// bear admits what cold ones would, and climbs from there.
func (b *Balancer) comeBack(now time.Duration) {
	b.cameBack, b.served = now, meter{}
	if b.scant() {
		b.admitted, b.steered = min(b.admitted, b.set.Rules.ColdFrom), now
	}
}

// bear notes work that was served.
func (b *Balancer) bear(now time.Duration, work float64) {
	b.bore /= 1 + (now-b.served.at).Seconds()/borneFor
	b.served.add(now, work)
	b.bore = max(b.bore, b.served.value)
}

// borne is the work a second of this node's that a server is known to have borne while it was warm: its part
// of the most that they served of late, before the way back or on it. Of one that nothing is known of it is
// this node's part of what any does. What is asked for says nothing where no
// server is warm: it may be many times what they can do.
func (b *Balancer) borne() float64 {
	return max(b.bore/float64(len(b.ready)), b.least())
}

// least is the work a second of this node's that any server bears warm.
func (b *Balancer) least() float64 { return borneLeast / float64(b.set.Nodes) }

// leastThatMay is the work below which others may still find a server where a request found none. On the way
// back work is what servers are short of, so that lighter ones may; else room, and nobody does.
func (b *Balancer) leastThatMay(r *request) float64 {
	if b.onTheWay() {
		return b.loneLatency(r)
	}
	return 0
}

// outOfReach tells, of a request that waits behind others, that what the servers have proved so far does not
// reach it in time. ahead is the work of those before it, place their number.
func (b *Balancer) outOfReach(now time.Duration, r *request, ahead float64, place int) bool {
	if !b.doubting() || place < b.usable || now < b.cameBack+proveFor { // one more at each server is how they prove anything
		return false
	}
	able := climb * b.served.perSecond(now)
	return now+b.expected(r)+time.Duration(min(ahead/max(able, 1e-9), 3600)*float64(time.Second)) > r.useful
}

// spreadOut is when a client may come again that a doubting node has refused: not in step with the others
// that it refused, and not before the backlog can have passed, as far as clients heed such times.
func (b *Balancer) spreadOut(now, wait time.Duration) time.Duration {
	ahead := 0.0
	for _, r := range b.held {
		ahead += b.loneLatency(r)
	}
	backlog := time.Duration(min(ahead/max(climb*b.served.perSecond(now), 1e-9), 3600) * float64(time.Second))
	most := max(wait, min(backlog, b.set.Limits.MaxRetryAfter))
	return wait/2 + time.Duration(b.rng.Float64()*float64(most-wait/2))
}

// believe notes that what this Balancer goes by from now on is of another process that nobody has heard
// since, as are the servers it is about.
func (b *Balancer) believe(now time.Duration, m Memory) {
	b.before = nil
	if !b.doubting() {
		return
	}
	b.before = &before{fresh: b.Learnt(now), of: map[ServerID]bool{}, servers: map[ServerID]float64{}}
	b.before.fresh.Servers, b.before.fresh.Keys = nil, nil
	for _, s := range m.Servers {
		if s.LoneSeen > 0 {
			b.before.servers[s.Server] = s.Lone
		}
	}
}

// prove holds a lone answer against the figures of before. They are one process's, of one time: once enough
// answers say that they are wrong, whatever stands behind these addresses now, they are dropped for all
// servers at once. Servers would else be found out one by one, each by harm done to it.
func (b *Balancer) prove(now time.Duration, a *attempt, r *request, latency float64) {
	w := b.before
	if w == nil || !a.lone {
		return
	}
	w.of[a.server.Server] = true
	w.seen++
	expected := b.loneLatency(r) * math.Exp(w.servers[a.server.Server])
	w.off += math.Log(max(latency*b.asWarm(a), 1e-4) / expected)
	if w.seen < judgedBy || len(w.of) < min(judgedFrom, len(b.ready)) {
		return
	}
	if b.before = nil; math.Abs(w.off)/float64(w.seen) <= math.Log(wrongBy) {
		return // they stand, and are this Balancer's own from now on
	}
	m := w.fresh
	m.Pressure, m.Admitted, m.Demand = b.pressure, b.admitted, b.demand.perSecond(now)
	m.Bore = b.served.perSecond(now) // in these figures' terms: too much at most by as much as they were off
	for _, k := range b.kinds {
		*k = model{speed: 1}
	}
	for _, s := range b.servers {
		s.lone, s.loneSeen = 0, 0
	}
	if err := b.Recall(now, m); err != nil {
		panic(err) // it was this Balancer's own
	}
	b.before, b.crowding = nil, 0
}
