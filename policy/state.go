package policy

// The state of a Balancer and its bookkeeping. No decisions are made here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Timer tokens.
const tokenSweep, tokenWatch = 0, 1

type breaker uint8

const (
	closed breaker = iota
	open
	halfOpen
)

// outcome is one judged attempt: whether it succeeded, and its latency as a
// multiple of the unloaded latency of its request.
type outcome struct {
	at      time.Duration
	ok      bool
	latency float64
}

type server struct {
	Entry
	breaker  breaker
	local    bool // in this node's zone
	kind     *machineKind
	failures []time.Duration // consecutive failures within the window
	openFor  time.Duration
	reopenAt time.Duration // when open: time at which it turns half-open
	trial    *attempt      // when half-open: the trial in flight

	ring         [maxOutcomes]outcome
	head, judged int
	successes    int     // successes in the ring
	latencySum   float64 // sum over the successes in the ring
	answeredAt   time.Duration
	score        float64 // as of the last refresh
	success      float64
	latency      float64

	relativeWeight  float64    // its weight over the mean of the ready servers; 1 where unknown
	inFlight        []*attempt // this node's attempts in flight that add load, oldest first
	load            float64    // their work
	limitOffset     float64    // in [0,1): see hasRoom
	unloaded        float64    // mean log latency of unloaded attempts, relative to the class's baseline
	unloadedSamples float64
	avoidUntil      time.Duration // it rejected a request as full, or answered slowly; not picked until then

	rank       float64 // scratch space of pickByKey and chooseSubset
	sentRate   meter   // work sent to it
	servedRate meter   // work that it has served while cold
	earned     float64 // work that it may be sent while cold, on account of what it served
	coldSaved  float64 // work that it may be sent while cold, as of coldAt
	coldAt     time.Duration
	cordon     cordonState
}

// meter is an exponentially decaying rate of work per second.
type meter struct {
	at    time.Duration
	value float64
}

const meterTimeConstant = 2.0 // time constant in seconds

func (m *meter) add(now time.Duration, work float64) {
	m.value = m.perSecond(now) + work/meterTimeConstant
	m.at = now
}

func (m *meter) perSecond(now time.Duration) float64 {
	elapsed := (now - m.at).Seconds() / meterTimeConstant
	return m.value / (1 + elapsed + elapsed*elapsed/2) // close to exp(-elapsed)
}

type attempt struct {
	server     *server
	request    *request
	zone, cell int
	sentAt     time.Duration
	inFlight   bool
	neverRan   bool
	work       float64
	unloaded   bool // no other attempt of this node was in flight at the server
	silent     bool // already counted as a failure for lack of an answer
	stalled    bool // its answer has begun and does not go on
}

type request struct {
	Request
	class       *class
	deadline    time.Duration // the client gives up
	usefulUntil time.Duration // an answer after this has no worth
	worth       float64       // current worth of an answer
	attempts    []attempt
	inFlight    int
	retryAt     time.Duration // end of the backoff; 0: none
	copyAt      time.Duration // end of the backoff before a copy beside stalled attempts
	queued      bool
	streaming   bool
	noRetry     bool // no further attempt is possible
	done        bool
	index       int // position in Balancer.unfinished
}

type class struct {
	Class
	aimFactor       float64 // multiple of the aim that the pressure is measured against
	unloaded        float64 // mean unloaded latency of a request of mean size, seconds
	baseline        float64 // the same once it had settled; 0 until then
	unloadedSamples float64
	work            float64 // mean latency of all its served requests; 1 where worth counts by work
	samples         float64
	meanHint        float64 // mean hint, seconds
	hintSamples     float64
}

// machineKind holds the latency statistics of a machine type.
type machineKind struct {
	latency float64 // mean log latency of its answers, relative to unloaded ones
	samples float64
	speed   float64 // exp(-latency)
}

const kindSamples = 100.0 // answers that the mean of a kind covers

// tokenBucket holds one second's worth of tokens; without a rate it is unlimited.
type tokenBucket struct {
	perSecond, tokens float64
	at                time.Duration
}

func (t *tokenBucket) refill(now time.Duration) {
	t.tokens = min(max(t.perSecond, 1), t.tokens+t.perSecond*(now-t.at).Seconds())
	t.at = now
}

func (t *tokenBucket) take(now time.Duration) bool {
	t.refill(now)
	if t.perSecond > 0 && t.tokens < 1 {
		return false
	}
	t.tokens--
	return true
}

// Balancer makes the decisions of one node. Create it with New.
type Balancer struct {
	set     Settings
	host    Host
	rng     *rand.Rand
	classes []class
	tenants []tokenBucket

	allUnsafe bool // no class may ever be repeated

	servers       map[ServerID]*server
	ready         []*server // listed as ready and not cordoned, in the order of the list
	subset        []*server // those of them that a sparse node uses
	notClosed     []*server // ready servers whose breaker is not closed
	weight        float64   // mean weight of the ready servers
	usable        int       // ready servers that are closed or await a trial, as of the last refresh
	candidates    []*server
	filtered      []*server            // scratch space of filterCandidates
	crossedZone   bool                 // a request went to another zone for lack of room since the limit was last adjusted
	kinds         map[int]*machineKind // as many as the settings or the simulator's wire name, 65,536 at most
	keys          map[uint64]*server   // the server that served a key last
	keyPopularity popularity

	cordons      map[ServerID]cordonState // nil until the operators' first call
	nodePart     float64                  // the part of the node that this process makes up
	requests     map[RequestID]*request
	unfinished   []*request // those that are not done
	queue        []*request // those that wait for a server, highest worth for their work first
	lateRequests []*request // scratch space of shedLate
	pool         []*request

	refreshedAt      time.Duration
	meanSuccess      float64
	meanLatency      float64 // as a multiple of the unloaded latency
	maxLatency       float64 // highest latency of a closed server, as of the last refresh
	demand           meter   // work requested
	warmServers      int     // warm servers whose breaker is closed, as of the last refresh
	warmRate         float64 // work per second sent to them
	coldShares       float64 // sum of the cold shares of all ready servers
	inFlight         int     // attempts in flight that add load
	limit            float64 // concurrency limit per ready server; may be below one
	limitOffset      float64 // in [0,1): offset that decides the rounding of a small total limit
	unloadedSamples  int
	congestedBefore  bool
	goodLimit        float64 // the highest recent limit without congestion
	typicalLatency   float64 // recent mean latency, seconds
	adjustedAt       time.Duration
	sparseLimit      float64    // concurrency limit per ready server by answer times; used where nodes outnumber servers
	slowStartOver    bool       // answers have shown congestion
	limitReached     bool       // a request found the node at its limit since the last answer
	answerTimes      answerTime // of all servers
	minAnswerTime    float64    // recent minimum of the mean of answerTimes
	localAnswerTimes answerTime // of the servers in this node's zone
	otherAnswerTimes answerTime // of the others
	spillShare       float64    // share of the requests that may go to servers of any zone
	spillChangedAt   time.Duration
	congestion       float64 // mean log latency, relative to unloaded requests at the same server
	pressure         float64 // mean latency as a share of the aim
	pressureAt       time.Duration
	admitted         float64 // share of the requests that is admitted
	overQuotaShare   float64 // share of the requests beyond their tenant's quota
	copyTokens       float64
	sweepScheduled   bool
	watchDelay       time.Duration
	watchSpread      time.Duration

	unconfirmed    int // ready servers that discovery has not confirmed
	recoveryStart  time.Duration
	servedRate     meter     // work served
	peakServedRate float64   // recent peak of that
	restored       *restored // nil: all measurements are this Balancer's own
}

func (s *server) dropOutcome(oldest *outcome) {
	s.judged--
	if oldest.ok {
		s.successes--
		s.latencySum -= oldest.latency
	}
}

func (s *server) record(now time.Duration, ok bool, latency float64) {
	if s.judged == maxOutcomes {
		s.dropOutcome(&s.ring[s.head])
	}
	s.ring[s.head] = outcome{now, ok, latency}
	s.head = (s.head + 1) % maxOutcomes
	s.judged++
	if ok {
		s.successes++
		s.latencySum += latency
	}
}

// summarize drops expired outcomes and computes the means over all ready servers.
func (b *Balancer) summarize(now time.Duration) {
	kept, good, latency := 0, 0, 0.0
	b.warmServers, b.warmRate, b.coldShares = 0, 0, 0
	for _, s := range b.ready {
		for s.judged > 0 {
			oldest := &s.ring[(s.head+maxOutcomes-s.judged)%maxOutcomes]
			if now-oldest.at < outcomeTTL {
				break
			}
			s.dropOutcome(oldest)
		}
		b.coldShares += b.coldShare(s, now)
		if s.breaker == closed && b.coldShare(s, now) >= 1 {
			b.warmServers++
			b.warmRate += s.sentRate.perSecond(now)
		}
		kept += s.judged
		good += s.successes
		latency += s.latencySum
	}
	if kept > 0 {
		b.meanSuccess = float64(good) / float64(kept)
	}
	if good > 0 {
		b.meanLatency = latency / float64(good)
	}
}

// applyList applies a full list or a change. Measurements of a server are kept
// as long as it is the same process; after a restart it counts as unmeasured.
func (b *Balancer) applyList(kind ListKind, entries []Entry) {
	if kind != ListDelta {
		for _, s := range b.servers {
			s.State = Gone
		}
		b.ready = b.ready[:0]
	}
	for _, e := range entries {
		s := b.servers[e.Server]
		if s == nil {
			s = &server{limitOffset: b.rng.Float64(), openFor: openInitial}
			b.servers[e.Server] = s
		} else if e.Started != s.Started {
			*s = server{Entry: s.Entry, limitOffset: s.limitOffset, openFor: openInitial, inFlight: s.inFlight, load: s.load}
		}
		s.cordon = b.cordons[e.Server]
		listed := s.acceptsWork()
		s.Entry = e
		s.local = e.Zone == b.set.Zone
		if s.kind = b.kinds[e.Kind]; s.kind == nil {
			s.kind = &machineKind{speed: 1}
			b.kinds[e.Kind] = s.kind
		}
		if s.acceptsWork() && !listed {
			b.ready = append(b.ready, s)
		}
	}
	b.updateReady()
	for id, s := range b.servers {
		if s.State == Gone && len(s.inFlight) == 0 {
			delete(b.servers, id)
		}
	}
}

// updateReady drops servers that no longer accept work and recomputes what depends on the ready ones.
func (b *Balancer) updateReady() {
	kept := b.ready[:0]
	b.weight, b.unconfirmed = 0, 0
	for _, s := range b.ready {
		if s.acceptsWork() {
			kept = append(kept, s)
			if s.Unconfirmed {
				b.unconfirmed++
			}
			b.weight += s.Weight
		}
	}
	b.ready = kept
	b.weight /= float64(max(1, len(kept)))
	b.notClosed = b.notClosed[:0]
	for _, s := range kept {
		if s.breaker != closed {
			b.notClosed = append(b.notClosed, s)
		}
		if s.relativeWeight = 1; s.Weight > 0 {
			s.relativeWeight = s.Weight / b.weight
		}
	}
	b.chooseSubset()
}

// chooseSubset chooses the servers that this node uses while it is sparse. Each node then uses fewer servers more often
// and holds fewer connections, and all nodes together still use all servers (after "Load Balancing in the Datacenter",
// Site Reliability Engineering, 2016). Rendezvous hashing keeps the subset stable when a server comes or goes.
func (b *Balancer) chooseSubset() {
	clear(b.subset)
	if b.subset = b.subset[:0]; !b.sparse() {
		return
	}
	b.subset = append(b.subset, b.ready...)
	for _, s := range b.subset {
		s.rank = uniform(uint64(s.Server) ^ math.Float64bits(b.limitOffset))
	}
	slices.SortFunc(b.subset, func(x, y *server) int { return cmp.Compare(x.rank, y.rank) })
	kept := min(len(b.subset), max(minSubset, (len(b.subset)+1)/2))
	clear(b.subset[kept:])
	b.subset = b.subset[:kept]
}

// newRequest registers a request.
func (b *Balancer) newRequest(q Request, c *class) *request {
	if q.Hint > 0 {
		c.hintSamples = min(c.hintSamples+1, 64)
		c.meanHint += (q.Hint.Seconds() - c.meanHint) / c.hintSamples
	}
	var r *request
	if n := len(b.pool); n > 0 {
		r = b.pool[n-1]
		b.pool = b.pool[:n-1]
	} else {
		r = &request{attempts: make([]attempt, 0, b.set.Limits.MaxAttempts)} // never grown: servers point into it
	}
	*r = request{Request: q, class: c, attempts: r.attempts[:0], index: len(b.unfinished)}
	b.requests[q.ID] = r
	b.unfinished = append(b.unfinished, r)
	return r
}

// enqueue inserts a request into the queue.
func (b *Balancer) enqueue(r *request) {
	low, high := 0, len(b.queue)
	for low < high {
		if mid := (low + high) / 2; r.precedes(b.queue[mid]) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	b.queue = slices.Insert(b.queue, low, r)
	r.queued = true
}

// startAttempt registers a new attempt.
func (b *Balancer) startAttempt(now time.Duration, r *request, s *server) *attempt {
	r.attempts = append(r.attempts, attempt{
		server: s, request: r, zone: s.Zone, cell: s.Cell, sentAt: now, inFlight: true, work: b.unloadedLatency(r),
	})
	a := &r.attempts[len(r.attempts)-1]
	r.inFlight++
	if !r.Uploading { // a server begins a request when its last byte has come
		b.addLoad(a)
	}
	return a
}

// addLoad adds an attempt to its server's load.
func (b *Balancer) addLoad(a *attempt) {
	s := a.server
	a.unloaded = len(s.inFlight) == 0 && b.inFlight*b.set.Nodes <= 3*len(b.ready)
	b.inFlight++
	s.inFlight = append(s.inFlight, a)
	s.load += a.work
}

// findAttempt returns the attempt that an event is about; nil if it is not in flight.
func (b *Balancer) findAttempt(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || index < 0 || index >= len(r.attempts) || !r.attempts[index].inFlight {
		return nil, nil
	}
	return r, &r.attempts[index]
}

// endAttempt deregisters an attempt.
func (b *Balancer) endAttempt(r *request, a *attempt) {
	a.inFlight = false
	r.inFlight--
	b.releaseLoad(a)
}

// releaseLoad takes an attempt off its server's load; it has no effect on one that adds none.
func (b *Balancer) releaseLoad(a *attempt) {
	if i := slices.Index(a.server.inFlight, a); i >= 0 {
		a.server.inFlight = slices.Delete(a.server.inFlight, i, i+1)
		if a.server.load -= a.work; len(a.server.inFlight) == 0 {
			a.server.load = 0 // clears rounding errors
		}
		b.inFlight--
	}
}

// withLatencyFloor raises an outcome's latency to the class's floor: differences below it must not rank
// servers or make them count as congested or silent.
func (c *class) withLatencyFloor(o Outcome) Outcome {
	o.Latency = max(o.Latency, c.LatencyFloor)
	return o
}

func (c *class) sameScope(a *attempt, s *server) bool {
	switch c.Scope {
	case ScopeZone:
		return a.zone == s.Zone
	case ScopeCell:
		return a.cell == s.Cell
	}
	return true
}

func (r *request) tried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return true
		}
	}
	return false
}

// size is the request's hinted work as a multiple of its class's mean; 1 without a hint.
func (r *request) size() float64 {
	if r.Hint <= 0 || r.class.meanHint <= 0 {
		return 1
	}
	return min(max(r.Hint.Seconds()/r.class.meanHint, 0.25), 4)
}

// closeRequest marks a request as done and forgets it once its attempts have ended.
func (b *Balancer) closeRequest(r *request) {
	if !r.done {
		r.done = true
		last := b.unfinished[len(b.unfinished)-1]
		b.unfinished[r.index] = last
		last.index = r.index
		b.unfinished = b.unfinished[:len(b.unfinished)-1]
	}
	if r.inFlight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		if !r.queued { // otherwise dispatch drops it from the queue first
			b.pool = append(b.pool, r)
		}
	}
}

// worthUntil is when an answer loses its last worth.
func (r *request) worthUntil() time.Duration {
	if r.class.LateWorth > 0 {
		return r.deadline
	}
	return r.usefulUntil
}

// unloadedLatency is the time that the request should take at a server without other load, in seconds.
func (b *Balancer) unloadedLatency(r *request) float64 { return r.class.unloaded*r.size() + 0.001 }

// expectedLatency is the time that the request should take at present.
func (b *Balancer) expectedLatency(r *request) time.Duration {
	return time.Duration(b.unloadedLatency(r) * b.meanLatency * float64(time.Second))
}

// jitter randomizes a delay by up to a fifth either way, so that doubled delays still grow.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*b.rng.Float64()))
}

// skipsTrial reports whether a request that found no server leaves room for others behind it: it can't be the trial
// that a server awaits. Otherwise unsafe requests with the highest worth would keep all servers half-open indefinitely.
func (b *Balancer) skipsTrial(r *request) bool {
	return slices.ContainsFunc(b.notClosed, func(s *server) bool { return s.awaitsTrial() && !b.canBeTrial(r, s) })
}

// canBeTrial reports whether a request can be the trial of a half-open server.
func (b *Balancer) canBeTrial(r *request, s *server) bool {
	return s.awaitsTrial() && (s.trial == nil || !r.Uploading) && (r.class.Effect != Unsafe || b.allUnsafe)
}

// awaitsTrial reports whether a half-open server has no trial that it can be working on. A request that is still being
// uploaded may take minutes until it shows anything: another one takes its place.
func (s *server) awaitsTrial() bool {
	return s.breaker == halfOpen && (s.trial == nil || s.trial.request.Uploading)
}

// recordLatency records the latency of a served request, relative to unloaded ones of its class at its
// server; it returns false while these are not known.
func (b *Balancer) recordLatency(a *attempt, r *request, latency float64) bool {
	s, c := a.server, r.class
	b.typicalLatency += (latency - b.typicalLatency) / 64
	c.samples = min(c.samples+1, 400)
	if !b.set.WorthByWork {
		c.work += (latency - c.work) / c.samples // from all answers, as unloaded ones are rare in a busy fleet
	}
	latency *= b.warmFactor(a)
	k := s.kind
	k.samples = min(k.samples+1, kindSamples)
	k.latency += (math.Log(max(latency, 1e-4)/b.unloadedLatency(r)) - k.latency) / k.samples
	k.speed = math.Exp(-k.latency)
	if a.unloaded {
		c.unloadedSamples = min(c.unloadedSamples+1, 400)
		c.unloaded += (latency/r.size() - c.unloaded) / c.unloadedSamples
		if c.unloadedSamples == baselineSamples {
			c.baseline = c.unloaded // stays fixed, as servers are compared by it from now on
		}
	}
	if c.baseline == 0 {
		return false
	}
	relative := math.Log(max(latency, 1e-4) / (c.baseline * r.size()))
	if a.unloaded {
		s.unloadedSamples = min(s.unloadedSamples+1, 16)
		s.unloaded += (relative - s.unloaded) / s.unloadedSamples
		b.unloadedSamples++
	}
	if s.unloadedSamples == 0 {
		return false
	}
	b.congestion += (relative - s.unloaded - b.congestion) / congestionSamples
	return true
}

// warmFactor is the factor that converts the latency of an attempt at a cold server to that of a warm one. The
// server has at least its cold share of its capacity and at most all of it; the geometric mean of the two is
// assumed. A baseline measured at cold servers would hide congestion of warm ones.
func (b *Balancer) warmFactor(a *attempt) float64 { return math.Sqrt(b.coldShare(a.server, a.sentAt)) }

// recordOverrun records an attempt that timed out at a server which answers others: its latency would have been
// higher still. Without this a node whose requests mostly time out would learn only from the few that
// don't, and go on congesting its servers.
func (b *Balancer) recordOverrun(a *attempt, r *request, latency float64) bool {
	s, c := a.server, r.class
	if c.baseline == 0 || s.unloadedSamples == 0 {
		return false
	}
	excess := math.Log(max(latency*b.warmFactor(a), 1e-4)/(c.baseline*r.size())) - s.unloaded
	if excess <= b.congestion { // caused by a client's short timeout: says nothing
		return false
	}
	b.congestion += (excess - b.congestion) / congestionSamples
	return true
}

// rememberKey notes which server served a key last. The table is small, as entries soon lose their use.
func (b *Balancer) rememberKey(key uint64, s *server) {
	if !b.set.WarmKeys {
		return
	}
	if len(b.keys) >= 4096 {
		clear(b.keys)
	}
	b.keys[key] = s
}

// Timer handles a timer set earlier; one that is no longer needed has no effect.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	switch token {
	case tokenSweep:
		b.sweepScheduled = false
		b.sweep(now)
	case tokenWatch:
		b.host.WatchList()
	}
}

func (b *Balancer) scheduleSweep(now time.Duration) {
	if !b.sweepScheduled && len(b.unfinished) > 0 {
		b.sweepScheduled = true
		b.host.SetTimer(now+sweepInterval, tokenSweep)
	}
}

// finish ends a request and cancels its attempts in flight.
func (b *Balancer) finish(r *request) {
	if !r.done {
		b.cancelOthers(r, nil)
	}
	b.closeRequest(r)
}

// ClientGone reports that the client has gone: it is owed no answer any more.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}

// cancelOthers cancels the attempts in flight except one.
func (b *Balancer) cancelOthers(r *request, except *attempt) {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight && a != except && b.set.Limits.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
}

// Accepted reports that the server has accepted a request of a parked class and works on it: from then on the
// request adds no load. A missing answer still counts as a failure.
func (b *Balancer) Accepted(now time.Duration, id RequestID, index int) {
	if r, a := b.findAttempt(id, index); r != nil && r.class.Parked {
		b.releaseLoad(a)
		b.dispatch(now)
	}
}

// RequestSent reports that the last byte of a request that was still arriving has been sent: from now on its own time
// and its server's latency count, and it is a load for its server.
func (b *Balancer) RequestSent(now time.Duration, id RequestID, index int, left time.Duration) {
	r, a := b.findAttempt(id, index)
	if r == nil || !r.Uploading {
		return
	}
	r.Uploading, a.sentAt = false, now
	b.addLoad(a)
	b.startClock(now, r, left)
}

// startClock sets the deadlines of a request whose client waits from now on.
func (b *Balancer) startClock(now time.Duration, r *request, left time.Duration) {
	r.deadline = now + min(left, r.class.Deadline)
	r.usefulUntil = min(r.deadline, now+r.class.Aim+time.Duration(r.class.AimStretch*float64(r.Hint)))
}

// ShortenDeadline reports that a request has to be answered sooner than first said: within left from now on.
func (b *Balancer) ShortenDeadline(now time.Duration, id RequestID, left time.Duration) {
	if r := b.requests[id]; r != nil {
		r.deadline = min(r.deadline, now+left)
		r.usefulUntil = min(r.usefulUntil, r.deadline)
	}
}

// DisallowRetry reports that no further attempt of a request is possible, as its body is no longer available.
func (b *Balancer) DisallowRetry(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.noRetry = true
	}
}

// StreamStarted reports that the stream of the answer has begun: the attempt now belongs to the client. A server of
// a parked class has done its work by then and is judged by the time it took; for other classes only
// a failure still counts.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if r == nil || r.streaming {
		return
	}
	r.streaming = true
	o := r.class.withLatencyFloor(Outcome{Status: OK, Latency: now - a.sentAt})
	b.recordAnswerTime(now, a, o)
	if r.class.Parked {
		b.judge(now, r, a, o)
		b.releaseLoad(a)
		b.dispatch(now)
	} else {
		b.recordSuccess(now, a)
	}
	b.cancelOthers(r, a)
}

// capacity is a server's estimated capacity relative to the others: its weight, corrected by the speed of its
// kind. A single server answers a node too seldom to be measured itself.
func (s *server) capacity() float64 { return s.relativeWeight * s.kind.speed }

// drawWeighted returns a random candidate other than the excluded one, in proportion to capacity and cold share.
func (b *Balancer) drawWeighted(excluded int) (pick int) {
	total := 0.0
	for i, s := range b.candidates {
		if i == excluded {
			continue
		}
		weight := s.capacity() * b.coldShare(s, b.refreshedAt)
		if total += weight; b.rng.Float64()*total <= weight {
			pick = i
		}
	}
	return pick
}

// popularity counts recent requests by key, with older ones counting for less.
type popularity struct {
	counts map[uint64]float64
	total  float64
}

const (
	popularitySpan  = 256.0 // requests that it covers; it holds at most three times as many keys
	popularityPrior = 15.0  // requests without a key assumed at the start
)

// add counts a request, also one without a key (0). All counts are halved periodically, which drops keys seen only once.
func (p *popularity) add(key uint64) {
	if p.counts == nil {
		p.counts = map[uint64]float64{}
	}
	if key != 0 {
		p.counts[key]++
	}
	if p.total++; p.total < 2*popularitySpan {
		return
	}
	p.total /= 2
	for k, n := range p.counts {
		if p.counts[k] = n / 2; n <= 1 {
			delete(p.counts, k)
		}
	}
}

// share is the key's part of the requests before this one.
func (p *popularity) share(key uint64) float64 {
	return max(0, p.counts[key]-1) / (p.total + popularityPrior)
}
