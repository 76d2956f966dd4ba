package policy

// The concurrency limit of a sparse node, one whose tier has more nodes than servers.

import (
	"math"
	"time"
)

const (
	congestedRatio  = 1.75  // target mean answer time, as a multiple of the recent minimum mean
	maxTargetShare  = 0.9   // the highest target, as a share of the aim
	congestedShare  = 0.8   // one answer that takes this share of its aim or more is a sign of congestion
	maxCountedShare = 2.0   // one answer counts for at most this share of its aim
	minimumDecay    = 300.0 // seconds in which the minimum mean rises by a factor of e, to follow servers that became slower
	initialGrowth   = 2.0   // square roots of the initial limit that it may grow by before the minimum mean is known
	limitBackoff    = 0.3   // share of the limit taken off by an answer of Full, or at the first sign of congestion
	limitGain       = 0.3   // change of the limit per answer, in requests, for a mean that is off by a factor of e
	spillThreshold  = 1.2   // requests leave their zone from this multiple of the minimum mean
	spillRate       = 1.0   // change per second of the share that leaves, for a mean that is off by a factor of e
	maxSpillStep    = 0.5   // seconds of change that one answer causes at most
	sendMargin      = 1.5   // a queued request is sent only with this many expected latencies left
)

// answerTime is a moving geometric mean of answer times, each as a share of its class's aim. A geometric mean keeps
// a few slow servers from hiding the others.
type answerTime struct {
	mean    float64 // natural logarithm
	samples int
	at      time.Duration
}

// add records an answer by the logarithm of its share of the aim.
func (m *answerTime) add(now time.Duration, share float64) {
	m.samples++
	m.mean += (share - m.mean) * max(recentWeight(now-m.at), 1/float64(m.samples))
	m.at = now
}

// established reports whether enough answers have been recorded to compare this mean with others.
func (m *answerTime) established() bool { return m.samples >= pressureSamples }

// recordAnswerTime records the time until a server began to answer an attempt, or until it failed to.
func (b *Balancer) recordAnswerTime(now time.Duration, a *attempt, o Outcome) {
	if !b.sparse() || b.verySparse() || o.Status != OK && o.Status != Full && o.Status != Timeout {
		return
	}
	aim := a.request.class.Aim
	share := math.Log(max(o.Latency.Seconds()*b.warmFactor(a), 1e-4) / aim.Seconds())
	switch {
	case o.Status == Full || o.Status == Timeout && o.Latency >= aim:
		share = max(share, 0)
	case o.Status == Timeout && share < b.answerTimes.mean:
		return // caused by a client's short timeout: says nothing about the server
	}
	share = min(share, math.Log(maxCountedShare))
	b.minAnswerTime += (now - b.answerTimes.at).Seconds() / minimumDecay
	b.answerTimes.add(now, share)
	if b.answerTimes.established() {
		b.minAnswerTime = min(b.minAnswerTime, b.answerTimes.mean)
	}
	b.adaptSpill(now, a.server, share)
	b.adaptSparseLimit(share, o.Status == Full)
}

// adaptSparseLimit adjusts the limit by the time of an answer. Until the first sign of congestion it grows by one
// request per answer while requests wait for it. After that it follows the distance of the mean answer time from its
// target, a multiple of the recent minimum mean. This needs no latencies of unloaded servers, of which a node that uses
// each server only every few seconds sees too few. All nodes have the same target, as they share the servers: a
// baseline of few latencies varies by chance, and nodes with a high one would crowd out the others.
func (b *Balancer) adaptSparseLimit(share float64, full bool) {
	servers := float64(max(len(b.ready), 1))
	target := min(b.minAnswerTime+math.Log(congestedRatio), math.Log(maxTargetShare))
	slack := 0.0
	if b.answerTimes.established() {
		slack = target - b.answerTimes.mean
	}
	late := share > math.Log(congestedShare)
	waited := b.limitReached
	b.limitReached = false
	change := 0.0
	switch {
	case full, !b.slowStartOver && (late || slack < 0):
		b.slowStartOver = true
		change = -limitBackoff * b.sparseLimit * servers
	case slack < 0:
		change = limitGain * max(slack, -1)
	case !waited || late:
	case !b.answerTimes.established():
		start := fairLimit * servers / float64(b.set.Nodes)
		change = min(1, max(0, start+initialGrowth*math.Sqrt(start)-b.sparseLimit*servers))
	case !b.slowStartOver:
		change = 1
	default:
		change = limitGain * slack
	}
	b.sparseLimit = max(b.sparseLimit+change/servers, 1/float64(b.set.Nodes))
}

// adaptSpill moves the share of requests that may go to servers of any zone: up while the local servers take long to
// answer, and longer than the others; down otherwise.
func (b *Balancer) adaptSpill(now time.Duration, s *server, share float64) {
	answers := &b.otherAnswerTimes
	if s.local {
		answers = &b.localAnswerTimes
	}
	answers.add(now, share)
	seconds := min((now - b.spillChangedAt).Seconds(), maxSpillStep)
	b.spillChangedAt = now
	from := b.minAnswerTime + math.Log(spillThreshold)
	if b.otherAnswerTimes.samples > 0 {
		from = max(from, b.otherAnswerTimes.mean)
	}
	b.spillShare = min(max(b.spillShare+spillRate*(b.localAnswerTimes.mean-from)*seconds, 0), 1)
}

// spillsOver decides at random whether a request may go to servers of any zone.
func (b *Balancer) spillsOver() bool { return b.sparse() && b.rng.Float64() < b.spillShare }

// requiredTime is the time that a queued request must have left to be sent. About half of the requests that have only
// the mean left are answered late, and other requests lose the capacity they use.
func (b *Balancer) requiredTime(r *request) time.Duration {
	expected := b.expectedLatency(r)
	if b.sparse() && !b.verySparse() {
		return time.Duration(sendMargin * float64(expected))
	}
	return expected
}
