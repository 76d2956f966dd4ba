package policy

// All decisions are made in this file, except which server gets an attempt (pick.go). The interface
// (settings, events and actions) is in api.go, the state in state.go, and the validation of the settings
// in settings.go.

import (
	"math"
	"slices"
	"time"
)

// Tuning parameters.
const (
	maxOutcomes        = 100              // outcomes that a server is judged by
	outcomeTTL         = 10 * time.Second // and for how long: an avoided server gets another try
	priorWeight        = 3.0              // weight of the fleet's mean beside a server's own outcomes
	successWeight      = 0.7              // of the score
	latencyWeight      = 0.3              // of the score
	tieMargin          = 0.1              // scores this close are decided by this node's work in flight
	crossZoneMargin    = 0.3              // higher score needed in other zones, if crossing has a price
	unsafeMargin       = 0.05             // higher success that draws unsafe requests elsewhere
	failuresToOpen     = 5                // consecutive failures that open a breaker
	failureWindow      = 10 * time.Minute // and their window: a server may be used only twice a minute
	openInitial        = 2 * time.Second  // after this an open breaker turns half-open;
	openMax            = 30 * time.Second // doubled with each failed trial up to this
	backoffFraction    = 1.0 / 16         // first retry delay as a share of the class's aim; doubles
	slowFactor         = 4.0              // times the unloaded latency: a sparse node avoids the server
	maxAvoidTime       = 5 * time.Second
	avoidDivisor       = 4       // at most one server in this many is avoided
	minSubset          = 8       // servers that a sparse node uses at least
	silentFactor       = 4.0     // times the expected latency: an unanswered attempt counts as a failure
	copyFactor         = 2.0     // times the expected latency: a second copy may be sent
	copyBudget         = 0.1     // second copies per request, and retries of a sparse node
	copyBurst          = 10.0    // saved up at most
	fairLimit          = 4.0     // requests in flight per server, over all nodes together, at the start
	congestionSamples  = 64.0    // answers that the mean congestion covers
	congestionTarget   = 0.3     // target log of latency over that of an unloaded request
	limitGrowth        = 0.025   // growth of the limit per typical latency, while requests wait for it
	slowStartFactor    = 6.0     // times that until the first congestion
	minUnloadedSamples = 60      // unloaded latencies needed before the limit may grow
	baselineSamples    = 12      // unloaded latencies of a class before its mean becomes the baseline
	limitDecrease      = 0.1     // decrease of the limit per typical latency and unit of excess
	goodLimitDecay     = 60.0    // seconds in which a limit known to be good decays
	pressureTarget     = 0.5     // target latency of very sparse nodes, as a share of the adjusted aim
	pressureSamples    = 16      // answers that the mean pressure covers,
	pressureSpan       = 2.0     // and seconds: few answers weigh more each
	shedRate           = 2.0     // decrease of the admitted share per second and unit of excess
	admitRate          = 0.5     // and its increase per unit of slack
	minAdmitted        = 0.05    // always admitted, to see a recovery, yet lets overloaded servers rest
	earnedFraction     = 1.0 / 3 // of what they serve in FallFor: saved up at most
	minEarned          = 2.0     // or this many requests
	coldSafety         = 0.75    // of the multiple that overloads cold servers
	keySpread          = 5.0     // servers per key for each that its part of the requests would fill
	maxFullScan        = 64      // with more servers than this, a random sample is used
	pickSample         = 24      // size of the sample for a pick
	sweepInterval      = 10 * time.Millisecond
	watchRetryDelay    = 500 * time.Millisecond
	watchSpacing       = 100 * time.Millisecond // between two nodes' calls
	maxWatchDelay      = 4 * time.Second        // a change counts as announced 6 s on, even if calls fail
	maxAttempts        = 16                     // upper bound on the setting
)

// scanInterval times the number of servers is the time between full scans when there are many.
const scanInterval = 100 * time.Microsecond

// ---- server list

// UpdateServers applies a server list event. A list that has to be watched is watched from the start, and
// again after each failure, with growing delays.
func (b *Balancer) UpdateServers(now time.Duration, kind ListKind, entries []Entry) {
	if kind == ListFailed {
		delay := b.jitter(b.watchDelay)
		b.host.SetTimer(now+delay+b.randomDelay(min(b.watchSpread, maxWatchDelay-delay)), tokenWatch)
		b.watchDelay = min(2*b.watchDelay, b.set.Rules.MaxCallInterval/4+watchRetryDelay, maxWatchDelay/3)
		b.watchSpread = min(2*b.watchSpread, b.set.Rules.MaxCallInterval)
		return
	}
	b.watchDelay, b.watchSpread = watchRetryDelay, b.callSpread()
	if kind == ListCached && b.set.ListWatched {
		if b.watchSpread > 0 {
			b.host.SetTimer(now+b.randomDelay(b.watchSpread), tokenWatch)
		} else {
			b.host.WatchList()
		}
	}
	hadUnconfirmed := b.hasUnconfirmed()
	b.applyList(kind, entries)
	if !hadUnconfirmed && b.hasUnconfirmed() {
		b.startRecovery(now)
	}
	b.refreshedAt = -1
	b.dispatch(now)
}

// callSpread is the time over which the nodes spread their calls for the list. One service answers the calls
// one by one: if all nodes called at once, every caller would have timed out by the time it got to it.
func (b *Balancer) callSpread() time.Duration {
	return min(time.Duration(b.set.Nodes-1)*watchSpacing, b.set.Rules.MaxCallInterval/2)
}

// randomDelay is this node's random time within a spread.
func (b *Balancer) randomDelay(spread time.Duration) time.Duration {
	return time.Duration(b.rng.Float64() * float64(spread))
}

// coldShare is the least share of its capacity that a server has.
func (b *Balancer) coldShare(s *server, now time.Duration) float64 {
	start := s.lastStart()
	age := max(0, now-start)
	if s.Unconfirmed && b.set.Rules.ColdFor > 0 {
		return b.set.Rules.ColdFrom // it may restart at any time: only what it serves raises its budget
	}
	if start <= 0 || age >= b.set.Rules.ColdFor {
		return 1
	}
	from := b.set.Rules.ColdFrom
	return from + (1-from)*age.Seconds()/b.set.Rules.ColdFor.Seconds()
}

// coldBudget reports whether a cold server can take this work too. This node cannot see the others, so it
// keeps to its own part: what a warm server of this size gets from it, scaled by the cold share and the
// multiple that overloads a server. A warm server's part is the smaller of what warm servers are sent and an
// equal split of all demand (while most of the fleet restarts). The part is saved up, from a random start,
// until a request is covered in full: hundreds of nodes that each sent one at once would overload the server.
// What the server has earned counts instead where it is more.
func (b *Balancer) coldBudget(s *server, now time.Duration, work float64) bool {
	share := b.coldShare(s, now)
	if share >= 1 {
		return true
	}
	part := b.demand.perSecond(now) / float64(len(b.ready))
	if b.sparse() { // doubled, as whole requests exhaust it by chance; the draw by cold share keeps the mean
		part = 2 * b.demand.perSecond(now) * b.admitted / max(b.coldShares, share, 1e-9)
	} else if b.warmServers > 0 {
		part = min(part, b.warmRate/float64(b.warmServers))
	}
	if b.warmingUp() {
		part = min(part, b.provenRate())
	}
	if b.weight > 0 && s.Weight > 0 {
		part *= s.Weight / b.weight
	}
	if s.coldAt == 0 {
		s.coldAt, s.coldSaved = now, s.limitOffset*work
	}
	rate := part * b.nodePart * b.set.Rules.FallMultiple * share * coldSafety
	most := max(6*work, rate*b.set.Rules.FallFor.Seconds())
	if b.warmingUp() && b.sparse() { // so that earned fractions of a request are not stuck
		s.earned = max(s.earned,
			min(s.earned+b.minRate()*rate/max(part, 1e-9)*(now-s.coldAt).Seconds(), work))
	}
	s.coldSaved = max(min(s.coldSaved+rate*(now-s.coldAt).Seconds(), most), -most)
	s.coldAt = now
	return s.coldSaved >= work || s.earned >= work
}

// earn lets a cold server that served a request have more: the multiple of what it served. All nodes together
// then send it no more than the multiple of what it can do, whatever its size, and the capacity of a tier
// that starts as a whole, without warm servers to compare with, is found as fast as it answers. Work is
// counted as it is estimated now: while a class's unloaded latency is still being learned at cold servers,
// credit from an earlier estimate would not cover the next request.
func (b *Balancer) earn(now time.Duration, r *request, s *server) {
	if b.sparse() && (b.recoveryStart == 0 || b.verySparse()) || b.coldShare(s, now) >= 1 {
		return
	}
	work, least := b.unloadedLatency(r), minEarned
	if b.sparse() { // with so many nodes, each must save up little
		least = 1
	}
	s.servedRate.add(now, work)
	most := max(least*work, s.servedRate.perSecond(now)*b.set.Rules.FallFor.Seconds()*earnedFraction)
	s.earned = min(s.earned+work*b.nodePart*b.set.Rules.FallMultiple*coldSafety, most)
}

// ---- server health

// refresh updates the scores: 0.7 x success + 0.3 x (1 - latency / the highest). Servers without outcomes get
// the mean. An attempt in flight counts by its age, so that a missing answer lowers the score early.
func (b *Balancer) refresh(now time.Duration) {
	recent := b.large() && now-b.refreshedAt < time.Duration(len(b.ready))*scanInterval
	if b.refreshedAt == now || b.refreshedAt >= 0 && recent {
		b.updateBreakers(now)
		return
	}
	b.refreshedAt = now
	b.summarize(now)
	b.updateBreakers(now)
	b.maxLatency = 0
	for _, s := range b.ready {
		b.updateHealth(now, s)
		if s.breaker == closed {
			b.maxLatency = max(b.maxLatency, s.latency)
		}
	}
	for _, s := range b.ready {
		b.updateScore(s)
	}
}

// updateHealth computes a server's success and latency as of now.
func (b *Balancer) updateHealth(now time.Duration, s *server) {
	s.success = (float64(s.successes) + priorWeight*b.meanSuccess) / (float64(s.judged) + priorWeight)
	s.latency = (s.latencySum + priorWeight*b.meanLatency) / (float64(s.successes) + priorWeight)
	if len(s.inFlight) > 0 {
		oldest := s.inFlight[0]
		age := (now - oldest.sentAt).Seconds() / b.unloadedLatency(oldest.request)
		s.latency = max(s.latency, age)
	}
}

// updateScore computes a server's score from its success and latency.
func (b *Balancer) updateScore(s *server) {
	s.score = successWeight*s.success + latencyWeight*(1-s.latency/max(b.maxLatency, s.latency, 1e-9))
}

// updateBreakers turns open breakers half-open when they are due, and counts the usable servers.
func (b *Balancer) updateBreakers(now time.Duration) {
	b.usable = len(b.ready) - len(b.notClosed)
	for _, s := range b.notClosed {
		if s.breaker == open && now >= s.reopenAt {
			s.breaker, s.trial = halfOpen, nil
		}
		if s.awaitsTrial() {
			b.usable++
		}
	}
}

// large reports whether there are too many servers to scan all of them at each event.
func (b *Balancer) large() bool { return len(b.ready) > maxFullScan }

// recordFailure counts a failure towards opening the breaker. One that may be mere slowness opens it only
// while fewer than half of the servers are out: when all are slow, opening all would refuse everything.
func (b *Balancer) recordFailure(now time.Duration, a *attempt, slowness bool) {
	s := a.server
	s.failures = append(s.failures, now)
	for now-s.failures[0] > failureWindow {
		s.failures = s.failures[1:]
	}
	switch {
	case s.breaker == halfOpen && s.trial == a:
		s.openFor = min(2*s.openFor, openMax)
	case s.breaker != closed || len(s.failures) < failuresToOpen:
		return
	case slowness && 2*(len(b.notClosed)+1) > len(b.ready):
		return
	}
	if s.breaker == closed && s.acceptsWork() {
		b.notClosed = append(b.notClosed, s)
	}
	s.breaker, s.trial = open, nil
	s.reopenAt = now + b.jitter(s.openFor)
}

// recordSuccess closes the breaker. An answer to an older attempt makes an open breaker's trial due at once.
// While most servers are out, the cause is likely shared, and a successful trial suggests that it is over:
// the others' trials then come soon as well, each at a random time.
func (b *Balancer) recordSuccess(now time.Duration, a *attempt) {
	s := a.server
	s.failures = s.failures[:0]
	s.answeredAt = now
	switch {
	case s.breaker == halfOpen && s.trial == a:
		shared := 2*len(b.notClosed) > len(b.ready)
		s.breaker, s.trial, s.openFor = closed, nil, openInitial
		b.notClosed = slices.DeleteFunc(b.notClosed, func(o *server) bool { return o == s })
		for _, o := range b.notClosed {
			if shared && o.breaker == open {
				o.openFor = openInitial
				o.reopenAt = min(o.reopenAt, now+time.Duration(b.rng.Float64()*float64(openInitial)))
			}
		}
	case s.breaker == open:
		s.reopenAt = now
	}
}

// adjustLimit adjusts the node's concurrency limit. No server tells how much it can hold before its
// throughput drops, but congestion shows: requests take longer than unloaded ones did there. The limit
// starts low, grows while requests wait for it without congestion, and shrinks with congestion; but not far
// below the last good limit, since a fleet that is slow as a whole looks the same.
func (b *Balancer) adjustLimit(now time.Duration) {
	seconds := min((now - b.adjustedAt).Seconds(), 0.1)
	rounds := seconds / b.typicalLatency // answers arrive once per round; faster steps would oscillate
	b.adjustedAt = now
	excess := b.congestion - congestionTarget
	crossed := b.crossedZone
	b.crossedZone = false
	switch {
	case excess > 0 && !b.congestedBefore: // the initial fast growth overshot
		b.congestedBefore, b.limit, b.goodLimit = true, 0.6*b.limit, 0.6*b.limit
	case excess > 0:
		least := max(1/float64(b.set.Nodes), 0.9*b.goodLimit)
		b.limit = max(least, b.limit*(1-limitDecrease*min(excess, 0.2)*rounds))
		b.goodLimit *= 1 - seconds/goodLimitDecay
	case (len(b.queue) > 0 || crossed) && b.unloadedSamples >= minUnloadedSamples:
		if b.sparse() { // growth must not outrun the information in few answers
			rounds = min(rounds, 2.0/congestionSamples)
		} else if !b.congestedBefore {
			rounds *= slowStartFactor
		}
		b.limit *= 1 + limitGrowth*rounds
		if len(b.queue) > 0 { // otherwise other zones have room, and the fleet is not known to be full
			b.goodLimit = max(b.goodLimit, b.limit)
		}
	}
}

// ---- admission of very sparse nodes

// admit is the load shedding of a very sparse node: it controls the share of requests that are sent so that
// answers take about half of their aim, and refuses the rest at once. Requests beyond their tenant's quota
// are refused first.
func (b *Balancer) admit(now time.Duration, overQuota bool) bool {
	b.adjustAdmitted(now)
	if b.overQuotaShare -= b.overQuotaShare / 64; overQuota {
		b.overQuotaShare += 1.0 / 64
		return b.rng.Float64()*b.overQuotaShare < b.admitted-(1-b.overQuotaShare)
	}
	return b.rng.Float64()*(1-b.overQuotaShare) < b.admitted
}

// updatePressure adds an outcome to the pressure: its latency as a share of the aim, or 1 if it was late,
// rejected or timed out. A higher value for timeouts kept the admitted share of nodes with few answers low.
func (b *Balancer) updatePressure(now time.Duration, r *request, o Outcome) {
	ratio := o.Latency.Seconds() / (r.class.Aim.Seconds() * r.class.aimFactor)
	if o.Status == Full || o.Status == Timeout {
		ratio = max(ratio, 1)
	}
	b.adjustAdmitted(now)
	b.pressure += (min(ratio, 1) - b.pressure) * recentWeight(now-b.pressureAt)
	b.pressureAt = now
}

// recentWeight is the weight of an answer in a mean of recent ones: higher after a longer pause.
func recentWeight(since time.Duration) float64 {
	return min(max(since.Seconds()/pressureSpan, 1.0/pressureSamples), 4.0/pressureSamples)
}

// aimFactor extends the aim in the pressure by the worth of a late answer, less the prices of such work.
func (b *Balancer) aimFactor(c *Class) float64 {
	return 1 + max(0, c.LateWorth-b.set.Prices.Waste-b.set.Prices.LateFail)
}

// adjustAdmitted moves the admitted share: down in proportion to itself, up linearly.
func (b *Balancer) adjustAdmitted(now time.Duration) {
	seconds := min((now - b.adjustedAt).Seconds(), 0.5)
	b.adjustedAt = now
	if excess := b.pressure/pressureTarget - 1; excess > 0 {
		b.admitted *= 1 - shedRate*min(excess, 1)*seconds
	} else {
		b.admitted -= admitRate * excess * seconds
	}
	b.admitted = min(max(b.admitted, minAdmitted), 1)
}

// ---- sending

// send starts an attempt; pick has checked maySend.
func (b *Balancer) send(now time.Duration, r *request, s *server) {
	a := b.startAttempt(now, r, s)
	if s.breaker == halfOpen {
		s.trial = a
	}
	work := b.unloadedLatency(r)
	s.sentRate.add(now, work)
	s.coldSaved -= work
	s.earned = max(0, s.earned-work)
	b.host.Send(r.ID, s.Server, 0)
}

// ---- requests

// Request handles a client's request.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests[q.ID] != nil {
		return
	}
	if q.Class < 0 || q.Class >= len(b.classes) {
		b.host.Refuse(q.ID, 0)
		return
	}
	c := &b.classes[q.Class]
	r := b.newRequest(q, c)
	b.startClock(now, r, q.TimeLeft)
	r.worth = c.Worth
	overQuota := q.Tenant >= 0 && q.Tenant < len(b.tenants) && !b.tenants[q.Tenant].take(now)
	if overQuota {
		r.worth *= b.set.OverShareWorth
	}
	b.demand.add(now, b.unloadedLatency(r))
	if b.ranksKeys() {
		b.keyPopularity.add(q.Key)
	}
	b.copyTokens = min(b.copyTokens+copyBudget, copyBurst)
	if b.verySparse() && !b.admit(now, overQuota) {
		b.giveUp(now, r)
	} else {
		b.enqueue(r)
		b.dispatch(now)
		b.enforceMaxOpen(now)
		b.scheduleSweep(now)
	}
}

// enforceMaxOpen gives up the queued request with the least worth while the node holds more requests than it
// can: otherwise the next one would find no connection, whatever its worth.
func (b *Balancer) enforceMaxOpen(now time.Duration) {
	if most := b.set.Limits.MaxOpen; most <= 0 || len(b.unfinished) <= most || len(b.queue) == 0 {
		return
	}
	last := len(b.queue) - 1
	r := b.queue[last]
	b.queue[last] = nil
	b.queue = b.queue[:last]
	r.queued = false
	b.giveUp(now, r)
}

// precedes orders queued requests: highest worth for its work first, then earliest end of use.
func (r *request) precedes(o *request) bool {
	x, y := r.worth/r.class.work, o.worth/o.class.work
	return x > y || (x == y && r.usefulUntil < o.usefulUntil)
}

// dispatch sends queued requests while servers have room; with every breaker open it refuses them at once.
func (b *Balancer) dispatch(now time.Duration) {
	if len(b.queue) == 0 {
		return
	}
	b.refresh(now)
	kept, full := b.queue[:0], math.Inf(1) // work of the smallest request that found no room
	for _, r := range b.queue {
		var s *server
		if !r.done && b.unloadedLatency(r) < full {
			s = b.pick(now, r)
		}
		switch {
		case r.done:
		case s != nil:
			r.queued = false
			b.send(now, r, s)
		case b.usable == 0:
			r.queued = false
			b.giveUp(now, r)
		default:
			kept = append(kept, r)
			if len(r.attempts) == 0 && !b.skipsTrial(r) { // no room for any that is not bound to a scope
				full = min(full, b.blockedWork(r))
			}
		}
	}
	b.queue = kept
}

// giveUp answers a request that is not served: with a refusal if a retry is safe, otherwise with a failure.
func (b *Balancer) giveUp(now time.Duration, r *request) {
	if r.mayRefuse() {
		b.host.Refuse(r.ID, b.retryAfter(now, r))
	} else {
		b.host.Fail(r.ID)
	}
	b.finish(r)
}

// retryAfter is the time until the next trial, or a delay that lets congestion clear.
func (b *Balancer) retryAfter(now time.Duration, r *request) time.Duration {
	wait := min(r.class.Aim/2, b.set.Limits.MaxRetryAfter)
	for _, s := range b.notClosed {
		if s.breaker == open {
			wait = min(wait, max(0, s.reopenAt-now))
		}
	}
	if b.hasUnconfirmed() {
		return b.spreadRetryAfter(now, wait)
	}
	return wait
}

// Outcome handles the end of an attempt: first for the server's health, then for the request.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r, a := b.findAttempt(o.ID, o.Attempt)
	if r == nil {
		return
	}
	b.endAttempt(r, a)
	a.neverRan = o.Status == Full || o.Status == ConnectFailed || o.Status == NotSent
	o = r.class.withLatencyFloor(o)
	if !r.streaming { // otherwise its time was recorded when it started
		b.recordAnswerTime(now, a, o)
	}
	b.judge(now, r, a, o)
	if o.Ended || o.Status == OK {
		b.finish(r)
	} else if !r.done && r.inFlight == 0 {
		b.retry(now, r)
	}
	if r.done {
		b.closeRequest(r)
	}
	b.dispatch(now)
}

// judge applies an outcome to the server's health, unless an earlier process of the server got the attempt.
func (b *Balancer) judge(now time.Duration, r *request, a *attempt, o Outcome) {
	s := a.server
	if b.verySparse() && (o.Status == OK || o.Status == Full || o.Status == Timeout) {
		b.updatePressure(now, r, o)
	}
	started := r.streaming && r.class.Parked // and was judged then: how long its client reads says nothing
	if a.sentAt < s.lastStart() || started && (o.Status == OK && o.Ended || o.Status == Cancelled) {
		return
	}
	latency := o.Latency.Seconds() / b.unloadedLatency(r)
	switch o.Status {
	case OK:
		s.record(now, true, latency)
		b.recordServed(now, b.unloadedLatency(r))
		b.checkRestored(now, a, r, o.Latency.Seconds())
		if b.sparse() && latency > slowFactor {
			s.avoidUntil = now + b.avoidTime(now, r)
		}
		b.recordSuccess(now, a)
		b.rememberKey(r.Key, s)
		if b.recordLatency(a, r, o.Latency.Seconds()) && !b.verySparse() {
			b.adjustLimit(now)
		}
		b.earn(now, r, s)
	case Error, Reset, ConnectFailed:
		s.record(now, false, latency)
		b.recordFailure(now, a, false)
	case Timeout:
		// Short timeouts of impatient clients say nothing about the server.
		if s.answeredAt > a.sentAt && b.recordOverrun(a, r, o.Latency.Seconds()) && !b.verySparse() {
			b.adjustLimit(now)
		}
		if latency > b.meanLatency*silentFactor {
			s.record(now, false, latency)
			if !a.silent {
				b.recordFailure(now, a, true)
			}
		}
	case Full:
		s.avoidUntil = now + b.expectedLatency(r)
		if b.sparse() {
			s.avoidUntil = now + b.avoidTime(now, r)
		}
	case Cancelled:
		s.record(now, !a.silent, max(latency, s.latency)) // it would have taken longer
	}
	if s.trial == a {
		s.trial = nil // no verdict: the next request is the trial
	}
}

// avoidTime is how long a sparse node avoids a server that is full or slow: the time in which it would send
// each server one such request. It uses each server so seldom that a shorter time would have no effect, and
// a server overloaded by many nodes needs them all to stay away.
func (b *Balancer) avoidTime(now time.Duration, r *request) time.Duration {
	avoided := 0
	for _, s := range b.ready {
		if now < s.avoidUntil {
			avoided++
		}
	}
	if b.warmRate <= 0 || avoidDivisor*avoided >= len(b.ready) {
		return b.expectedLatency(r)
	}
	return min(time.Duration(b.unloadedLatency(r)*float64(b.warmServers)/b.warmRate*float64(time.Second)),
		maxAvoidTime)
}

// retry schedules a further attempt after a backoff, or answers now if none is possible in time.
func (b *Balancer) retry(now time.Duration, r *request) {
	delay := b.backoff(r)
	possible := slices.ContainsFunc(b.ready, func(s *server) bool {
		return s.breaker != open && !r.tried(s) && b.maySend(now, r, s)
	})
	switch {
	case !possible || now+delay+b.expectedLatency(r) > r.worthUntil() || b.sparse() && b.copyTokens < 1:
		b.giveUp(now, r)
		return
	case b.sparse(): // three more attempts each from hundreds of nodes at full servers would be a retry storm
		b.copyTokens--
	}
	r.retryAt = now + delay
	b.scheduleSweep(now)
}

// backoff is the delay before a request's next attempt.
func (b *Balancer) backoff(r *request) time.Duration {
	first := time.Duration(float64(r.class.Aim) * backoffFraction)
	return b.jitter(first << (len(r.attempts) - 1))
}

// ---- timers

// sweep checks every unfinished request: due retries, expired queued ones, overdue attempts.
func (b *Balancer) sweep(now time.Duration) {
	b.refresh(now)
	b.shedLate(now)
	for i := len(b.unfinished) - 1; i >= 0; i-- { // finish moves the last one here, which was already checked
		r := b.unfinished[i]
		switch {
		case r.streaming, r.Uploading && r.inFlight > 0: // no answer is due yet
		case r.stalledOnly():
			b.retryStalled(now, r)
		case r.inFlight > 0:
			b.checkOverdue(now, r)
		case now >= r.deadline:
			b.giveUp(now, r)
		case r.retryAt > 0 && now >= r.retryAt:
			r.retryAt = 0
			b.enqueue(r)
		}
	}
	b.dispatch(now)
	b.scheduleSweep(now)
}

// shedLate gives up queued requests that can no longer be answered in time, or moves them behind the rest
// if a late answer still has some worth.
func (b *Balancer) shedLate(now time.Duration) {
	kept, late, ahead := b.queue[:0], b.lateRequests[:0], 0.0
	for _, r := range b.queue {
		switch {
		case !r.done && b.cannotBeServed(now, r, ahead, len(kept)):
			r.queued = false
			b.giveUp(now, r)
		case r.done || now+b.requiredTime(r) <= r.usefulUntil:
			kept = append(kept, r)
			ahead += b.unloadedLatency(r)
		case r.class.LateWorth > 0 && r.usefulUntil < r.deadline:
			r.usefulUntil = r.deadline
			r.worth *= r.class.LateWorth
			late = append(late, r)
		default:
			r.queued = false
			b.giveUp(now, r)
		}
	}
	b.queue = kept
	for _, r := range late {
		b.enqueue(r)
	}
	b.lateRequests = late
}

// checkOverdue counts attempts that a server leaves unanswered as failures, and sends second copies.
func (b *Balancer) checkOverdue(now time.Duration, r *request) {
	expected := b.expectedLatency(r)
	for i := range r.attempts {
		a := &r.attempts[i]
		age := float64(now - a.sentAt)
		if a.inFlight && !a.silent && age > silentFactor*float64(expected) && a.server.answeredAt < a.sentAt {
			a.silent = true
			b.recordFailure(now, a, true)
		}
	}
	last := &r.attempts[len(r.attempts)-1]
	overdue := last.inFlight && float64(now-last.sentAt) > copyFactor*float64(expected)
	if !overdue || r.inFlight > 1 || !b.set.Limits.SecondCopies || b.copyTokens < 1 ||
		now+expected > r.usefulUntil {
		return
	}
	if b.sparse() { // with so many nodes, overdue requests mean congestion, which copies would worsen
		return
	}
	if s := b.pick(now, r); s != nil {
		b.copyTokens--
		b.send(now, r, s)
	}
}
