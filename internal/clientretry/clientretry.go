// Package clientretry models how clients retry: whether a client sends a request again after
// a refusal or a failure, and after which delay. The simulator and the load generator share
// it, so it does no I/O and reads no clock.
package clientretry

import (
	"math/rand/v2"
	"time"
)

// minTimeLeft is the least time before its deadline with which a client still retries.
const minTimeLeft = 50 * time.Millisecond

// Behavior configures the retry behavior of the whole client population.
type Behavior struct {
	MaxAttempts      int     // attempts per request, including the first; 0 means 1
	HonorRetryAfter  float64 // share of clients that retry after a refusal's Retry-After; the others give up
	RetryImmediately float64 // share of clients that retry immediately after a refusal or failure, ignoring Retry-After
}

// Client is the retry behavior of one client, created by Behavior.Draw.
type Client struct {
	maxAttempts                          int
	honorsRetryAfter, retriesImmediately bool
}

// Draw returns a randomly chosen client.
func (h Behavior) Draw(rng *rand.Rand) Client {
	return Client{maxAttempts: max(1, h.MaxAttempts), honorsRetryAfter: rng.Float64() < h.HonorRetryAfter, retriesImmediately: rng.Float64() < h.RetryImmediately}
}

// Answer describes the outcome of a client's latest attempt.
type Answer struct {
	Attempts   int  // attempts made so far
	Refused    bool // the request did not run, so a retry is safe; false means that it failed
	Unsafe     bool // the request must not run twice, so only a refusal permits a retry
	RetryAfter time.Duration
	TimeLeft   time.Duration // until the client's deadline
}

// Retry reports whether the client retries and how long it waits first. The wait is
// Retry-After plus up to 50% random jitter, so that clients refused at the same time do
// not retry at the same time.
func (c Client) Retry(a Answer, rng *rand.Rand) (wait time.Duration, again bool) {
	switch {
	case a.Attempts >= c.maxAttempts || a.TimeLeft <= minTimeLeft || a.Unsafe && !a.Refused:
		return 0, false
	case c.retriesImmediately:
		return 0, true
	case !c.honorsRetryAfter || !a.Refused:
		return 0, false
	}
	wait = a.RetryAfter + time.Duration(float64(a.RetryAfter)*rng.Float64()/2)
	return wait, wait+minTimeLeft < a.TimeLeft
}
