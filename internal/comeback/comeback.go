// Package comeback decides whether a client asks again after an answer that it did not
// want, and when: the habits of clients, the same in virtual time and on sockets. It does
// no I/O and has no clock.
package comeback

import (
	"math/rand/v2"
	"time"
)

// leastLeft is what a client has left when it asks again.
const leastLeft = 50 * time.Millisecond

// Habits are those of all clients.
type Habits struct {
	Tries int     // of a request, the first one too; 0: one
	Heed  float64 // share of clients that come back after a refusal's Retry-After; the rest leave
	Rash  float64 // share that ask again at once, refused or failed, whatever they were told
}

// Client is one of them. Draw makes it.
type Client struct {
	tries       int
	heeds, rash bool
}

// Draw gives a client at random.
func (h Habits) Draw(rng *rand.Rand) Client {
	return Client{tries: max(1, h.Tries), heeds: rng.Float64() < h.Heed, rash: rng.Float64() < h.Rash}
}

// Answer is what a client was answered.
type Answer struct {
	Tries      int  // so far
	Refused    bool // trying again is harmless; else it failed
	Unsafe     bool // the request must not run twice, so that only a refusal allows another try
	RetryAfter time.Duration
	Left       time.Duration // until the client's time is up
}

// Again tells whether the client asks again, and how long it waits before: Retry-After and
// up to half of it more, so that those who were refused together don't return so.
func (c Client) Again(a Answer, rng *rand.Rand) (wait time.Duration, again bool) {
	switch {
	case a.Tries >= c.tries || a.Left <= leastLeft || a.Unsafe && !a.Refused:
		return 0, false
	case c.rash:
		return 0, true
	case !c.heeds || !a.Refused:
		return 0, false
	}
	wait = a.RetryAfter + time.Duration(float64(a.RetryAfter)*rng.Float64()/2)
	return wait, wait+leastLeft < a.Left
}
