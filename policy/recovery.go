package policy

// Recovery of a node that has restarted with a server list that discovery has not confirmed: what it admits, when
// refused clients may retry, and how long it relies on restored measurements.

import (
	"math"
	"time"
)

const (
	recoveryGrace   = 250 * time.Millisecond // time for the first answers before queued requests are refused as too many
	recoveryGrowth  = 1.5                    // times the rate served so far: the rate assumed to be possible next
	refutedFactor   = 2.5                    // restored latencies that are off by this factor, either way, are wrong
	refuteSamples   = 8                      // unloaded answers needed to decide that,
	refuteServers   = 3                      // from this many servers, or from all if there are fewer
	minServerRate   = 0.5                    // seconds of work per second that any warm server sustains, from all nodes together
	peakServedDecay = 60.0                   // seconds in which the peak served rate decays
)

// restored tracks measurements taken over from another process until answers confirm or refute them.
type restored struct {
	fallback        Memory               // the state before the restore, to fall back to
	answeredBy      map[ServerID]bool    // servers that have answered
	samples         int                  // unloaded answers
	logErrorSum     float64              // sum of the logarithms of measured over expected latency
	restoredServers map[ServerID]float64 // servers whose own measurements were restored, with these
}

// hasUnconfirmed reports whether this node has restarted without reaching discovery and uses servers that discovery
// has not confirmed.
func (b *Balancer) hasUnconfirmed() bool { return b.unconfirmed > 0 }

// warmingUp reports whether this node has restarted and no server is known to be warm yet.
func (b *Balancer) warmingUp() bool { return b.recoveryStart > 0 && b.warmServers == 0 }

// startRecovery begins recovery with an unconfirmed list. A node with too little in flight to measure what its servers
// sustain starts by admitting what cold servers would, and increases from there.
func (b *Balancer) startRecovery(now time.Duration) {
	b.recoveryStart, b.servedRate = now, meter{}
	if b.verySparse() {
		b.admitted, b.adjustedAt = min(b.admitted, b.set.Rules.ColdFrom), now
	}
}

// recordServed adds served work to the peak served rate.
func (b *Balancer) recordServed(now time.Duration, work float64) {
	b.peakServedRate /= 1 + (now-b.servedRate.at).Seconds()/peakServedDecay
	b.servedRate.add(now, work)
	b.peakServedRate = max(b.peakServedRate, b.servedRate.value)
}

// provenRate is the work per second from this node that a server is known to have sustained while warm: its part of
// the recent peak, measured before or during recovery, and at least this node's part of the minimum that any server
// sustains. Demand says nothing while no server is warm: it may be many times what the servers can do.
func (b *Balancer) provenRate() float64 {
	return max(b.peakServedRate/float64(len(b.ready)), b.minRate())
}

// minRate is the work per second from this node that any warm server sustains.
func (b *Balancer) minRate() float64 { return minServerRate / float64(b.set.Nodes) }

// blockedWork returns the work from which requests need not be tried any more in a dispatch in which r found no server.
// During recovery servers are short of capacity for work, so a lighter request may still fit; otherwise they are short
// of concurrency, and no request fits.
func (b *Balancer) blockedWork(r *request) float64 {
	if b.warmingUp() {
		return b.unloadedLatency(r)
	}
	return 0
}

// cannotBeServed reports whether a queued request will not be reached in time at the rate that the servers have proven
// so far. ahead is the work queued before it, place its position.
func (b *Balancer) cannotBeServed(now time.Duration, r *request, ahead float64, place int) bool {
	// One request for each server is always let through, as only answers prove a rate.
	if !b.hasUnconfirmed() || place < b.usable || now < b.recoveryStart+recoveryGrace {
		return false
	}
	rate := recoveryGrowth * b.servedRate.perSecond(now)
	return now+b.expectedLatency(r)+time.Duration(min(ahead/max(rate, 1e-9), 3600)*float64(time.Second)) > r.usefulUntil
}

// spreadRetryAfter returns when a client refused during recovery may retry: randomized, so that refused clients do not
// return together, and not before the backlog can have cleared, as far as clients honour such waits.
func (b *Balancer) spreadRetryAfter(now, wait time.Duration) time.Duration {
	ahead := 0.0
	for _, r := range b.queue {
		ahead += b.unloadedLatency(r)
	}
	backlog := time.Duration(min(ahead/max(recoveryGrowth*b.servedRate.perSecond(now), 1e-9), 3600) * float64(time.Second))
	most := max(wait, min(backlog, b.set.Limits.MaxRetryAfter))
	return wait/2 + time.Duration(b.rng.Float64()*float64(most-wait/2))
}

// markRestored notes that the Balancer's measurements from now on are those of another process that has not been
// heard from since, as are those of the servers named in m.
func (b *Balancer) markRestored(now time.Duration, m Memory) {
	b.restored = nil
	if !b.hasUnconfirmed() {
		return
	}
	b.restored = &restored{fallback: b.Learned(now), answeredBy: map[ServerID]bool{}, restoredServers: map[ServerID]float64{}}
	b.restored.fallback.Servers, b.restored.fallback.Keys = nil, nil
	for _, s := range m.Servers {
		if s.UnloadedSamples > 0 {
			b.restored.restoredServers[s.Server] = s.Unloaded
		}
	}
}

// checkRestored compares an unloaded answer with the restored measurements. They come from one process at one time, so
// once enough answers show that they are wrong, whatever now runs at these addresses, they are dropped for all servers
// at once. Otherwise each server's error would be found only by overloading that server.
func (b *Balancer) checkRestored(now time.Duration, a *attempt, r *request, latency float64) {
	w := b.restored
	if w == nil || !a.unloaded {
		return
	}
	w.answeredBy[a.server.Server] = true
	w.samples++
	expected := b.unloadedLatency(r) * math.Exp(w.restoredServers[a.server.Server])
	w.logErrorSum += math.Log(max(latency*b.warmFactor(a), 1e-4) / expected)
	if w.samples < refuteSamples || len(w.answeredBy) < min(refuteServers, len(b.ready)) {
		return
	}
	if b.restored = nil; math.Abs(w.logErrorSum)/float64(w.samples) <= math.Log(refutedFactor) {
		return // confirmed: they count as this Balancer's own from now on
	}
	m := w.fallback
	m.Pressure, m.Admitted, m.Demand = b.pressure, b.admitted, b.demand.perSecond(now)
	m.PeakServedRate = b.servedRate.perSecond(now) // in units of the restored latencies, so too high by at most the factor they were off
	for _, k := range b.kinds {
		*k = machineKind{speed: 1}
	}
	for _, s := range b.servers {
		s.unloaded, s.unloadedSamples = 0, 0
	}
	if err := b.Restore(now, m); err != nil {
		panic(err) // it came from this Balancer
	}
	b.restored, b.congestion = nil, 0
}
