package policy

// Selection of the server for an attempt.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maySend is the check that every attempt passes. It allows no attempt after the end of the request or
// beyond the limit, none to a server that drains or is gone, none that could repeat an effect, and none that
// would overload a cold server.
func (b *Balancer) maySend(now time.Duration, r *request, s *server) bool {
	if r.done || r.streaming || r.noRetry || now >= r.deadline ||
		len(r.attempts) >= b.set.Limits.MaxAttempts || !s.acceptsWork() {
		return false
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && !b.set.Limits.SecondCopies {
			return false
		}
	}
	return r.mayRepeatAt(now, s) && b.coldBudget(s, now, b.unloadedLatency(r))
}

// mayRepeatAt reports whether an attempt at a server repeats no effect of those before it.
func (r *request) mayRepeatAt(now time.Duration, s *server) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		switch {
		case a.neverRan:
			continue
		case r.class.Effect == Unsafe:
			return false
		case r.class.Effect == Keyed && (now-a.sentAt >= r.class.Window || !r.class.sameScope(a, s)):
			return false
		}
	}
	return true
}

// mayRefuse reports whether a refusal's promise that a retry is safe holds.
func (r *request) mayRefuse() bool {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return r.class.Effect == Safe || (r.class.Effect == Keyed && r.class.Scope == ScopeAll)
		}
	}
	return true
}

// hasRoom reports whether a server is below this node's concurrency limit for it. Each server's own random
// offset decides the rounding, so that a limit of 1.4 means 2 at two of five servers.
func (b *Balancer) hasRoom(s *server, now time.Duration) bool {
	limit := max(1, math.Floor(b.limit*s.relativeWeight*b.coldShare(s, now)+s.limitOffset))
	return now >= s.avoidUntil && (b.sparse() || float64(len(s.inFlight)+1) <= limit)
}

// sparse reports whether there are more nodes than servers, so that each node sends a server few requests. A
// fair concurrency limit would be below one request per server, so it applies to all servers together.
func (b *Balancer) sparse() bool { return b.set.Nodes > len(b.ready) }

// ranksKeys reports whether servers keep keys warm and this node, being sparse, sees each key too seldom to
// remember which server served it.
func (b *Balancer) ranksKeys() bool { return b.set.WarmKeys && b.sparse() }

// verySparse reports whether there are so many more nodes than servers that the fair limit would be below
// one request in total: too coarse to control by, and used up by one stuck attempt.
func (b *Balancer) verySparse() bool { return float64(b.set.Nodes) > fairLimit*float64(len(b.ready)) }

// pick chooses a server for the next attempt, or nil: a half-open server that awaits its trial; otherwise,
// for a first attempt, the better of two random closed servers, and for a further one the best other closed
// server. A sparse node draws by capacity, as it has too little in flight to see small servers become
// congested. Where servers keep keys warm, the one that served the key last is one of the two.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	b.refresh(now)
	for _, s := range b.notClosed {
		if b.canBeTrial(r, s) && !r.tried(s) && b.maySend(now, r, s) {
			return s
		}
	}
	if !b.verySparse() && b.atLimit() {
		b.limitReached = true
		return nil
	}
	b.candidates = b.candidates[:0]
	from, keyed := b.ready, b.ranksKeys() && r.Key != 0
	if b.sparse() {
		from = b.subset
	}
	if b.large() && !keyed { // a key's own servers have to be among the candidates
		for range pickSample {
			b.addCandidate(now, r, from[b.rng.IntN(len(from))])
		}
		if warm := b.keys[r.Key]; b.set.WarmKeys && r.Key != 0 && warm != nil {
			b.addCandidate(now, r, warm)
		}
	}
	if len(b.candidates) == 0 {
		b.addCandidates(now, r, from)
	}
	if len(b.candidates) == 0 && len(from) < len(b.ready) {
		b.addCandidates(now, r, b.ready)
	}
	b.filterForRequest(now, r)
	n := len(b.candidates)
	if n == 0 {
		return nil
	}
	if len(r.attempts) == 0 && n > 2 {
		if keyed {
			return b.pickByKey(r)
		}
		i := b.rng.IntN(n)
		j := (i + 1 + b.rng.IntN(n-1)) % n
		if b.sparse() {
			i = b.drawWeighted(-1)
			j = b.drawWeighted(i)
		}
		if warm := slices.Index(b.candidates, b.keys[r.Key]); b.set.WarmKeys && r.Key != 0 && warm >= 0 {
			i, j = warm, i // the warm server wins ties
		}
		return better(b.candidates[i], b.candidates[j])
	}
	if b.set.Nodes > 1 { // otherwise nodes with equal knowledge would all prefer the same server
		b.rng.Shuffle(n,
			func(i, j int) { b.candidates[i], b.candidates[j] = b.candidates[j], b.candidates[i] })
	}
	best := b.candidates[0]
	for _, s := range b.candidates[1:] {
		best = better(best, s)
	}
	return best
}

// pickByKey chooses among the servers that keep a key warm. Many nodes see each key too seldom to remember
// which server served it, so all use the same ranking, which depends on key and server only (weighted
// rendezvous hashing; Thaler and Ravishankar, 1998). The first few in it serve the key: as many as its part
// of all requests needs, so that a hot key does not overload one server. The better of two of them is used.
func (b *Balancer) pickByKey(r *request) *server {
	n := len(b.candidates)
	keyServers := min(1+int(keySpread*b.keyPopularity.share(r.Key)*float64(len(b.ready))), n-1)
	for _, s := range b.candidates {
		s.rank = -math.Log(uniform(uint64(s.Server)^r.Key*0x9e3779b97f4a7c15)) / s.capacity()
	}
	slices.SortFunc(b.candidates, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	i := b.rng.IntN(keyServers)
	j := b.rng.IntN(keyServers)
	if j >= i {
		j++
	}
	return better(b.candidates[i], b.candidates[j])
}

// uniform hashes x to (0,1) with the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func uniform(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// atLimit reports whether attempts in flight at closed servers have reached the total concurrency limit.
func (b *Balancer) atLimit() bool {
	inFlight := 0
	if b.large() {
		inFlight = b.inFlight
		for _, s := range b.notClosed {
			inFlight -= len(s.inFlight)
		}
	} else {
		for _, s := range b.ready {
			if s.breaker == closed {
				inFlight += len(s.inFlight)
			}
		}
	}
	closed := float64(len(b.ready) - len(b.notClosed))
	limit := b.limit * closed
	if b.sparse() { // limits this small, rounded down at all nodes, would leave servers idle
		limit = max(b.limit, b.sparseLimit)*closed + b.limitOffset
	}
	return inFlight >= max(1, int(limit))
}

// addCandidate adds a server to the candidates if an attempt may go there now.
func (b *Balancer) addCandidate(now time.Duration, r *request, s *server) {
	if s.breaker == closed && !r.tried(s) && b.hasRoom(s, now) && b.maySend(now, r, s) {
		if b.large() { // the last update of all scores may be old
			b.updateHealth(now, s)
			b.updateScore(s)
		}
		b.candidates = append(b.candidates, s)
	}
}

func (b *Balancer) addCandidates(now time.Duration, r *request, servers []*server) {
	for _, s := range servers {
		b.addCandidate(now, r, s)
	}
}

// filterCandidates keeps the candidates that pass, unless none does; it reports whether any did.
func (b *Balancer) filterCandidates(pass func(*server) bool) bool {
	b.filtered = b.filtered[:0]
	for _, s := range b.candidates {
		if pass(s) {
			b.filtered = append(b.filtered, s)
		}
	}
	if len(b.filtered) == 0 {
		return false
	}
	b.candidates, b.filtered = b.filtered, b.candidates
	return true
}

// filterForRequest keeps the candidates that suit the request: those fast enough to answer one of its size in
// time; for an unsafe one, which has a single attempt, those with the highest success; and of these, where
// crossing zones has a price, local ones that are neither much worse than the rest nor fail more often than
// crossing costs.
func (b *Balancer) filterForRequest(now time.Duration, r *request) {
	if len(b.candidates) == 0 {
		return
	}
	if r.Hint > 0 {
		left, unloaded := (r.usefulUntil - now).Seconds(), b.unloadedLatency(r)
		b.filterCandidates(func(s *server) bool { return s.latency*unloaded <= left })
	}
	success, score := 0.0, 0.0
	for _, s := range b.candidates {
		success, score = max(success, s.success), max(score, s.score)
	}
	if r.class.Effect == Unsafe {
		b.filterCandidates(func(s *server) bool { return s.success >= success-unsafeMargin })
	}
	if price := b.set.Prices.CrossZone; price > 0 && !b.spillsOver() {
		good := func(s *server) bool { return s.score >= score-crossZoneMargin && s.success >= success-price }
		if !b.filterCandidates(func(s *server) bool { return s.local && good(s) }) {
			b.crossedZone = true
		}
	}
}

// better compares by score. Near-ties go to the server with less of this node's work in flight for its size,
// and equal ones to the local zone.
func better(x, y *server) *server {
	switch {
	case x.score > y.score+tieMargin:
		return x
	case y.score > x.score+tieMargin || y.load*x.relativeWeight < x.load*y.relativeWeight:
		return y
	case y.load*x.relativeWeight == x.load*y.relativeWeight && y.local && !x.local:
		return y
	}
	return x
}
