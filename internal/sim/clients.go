package sim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"otterstep/internal/clientretry"
	"otterstep/internal/core"
	"otterstep/policy"
)

// Load describes the requests of clients. It is an open-loop load: slow answers do not delay
// further requests.
type Load struct {
	Rate    float64   // peak requests per second, over all nodes
	Shares  []float64 // of the classes
	Tenants int
	Skew    float64                     // Zipf exponent of the tenants; 0: uniform
	Keys    int                         // number of distinct keys; 0: a unique key per request
	Bursts  bool                        // arrivals in groups of ten
	Curve   func(time.Duration) float64 // fraction of Rate over time; nil: constant
	clientretry.Behavior
	// Impatient is the share of clients that disconnect without an answer after a time that
	// is uniformly distributed from 0 to twice Patience.
	Impatient float64
	Patience  time.Duration
	Trace     []Arrival // if set, is replayed instead of Rate, Curve and Shares
}

// Arrival is a request of a recorded trace.
type Arrival struct {
	At            time.Duration // since the start
	Class, Tenant int
	Key           uint64 // 0: a unique key
}

// clients generates requests and handles their answers.
type clients struct {
	world   *World
	rng     *rand.Rand
	tenants []float64 // cumulative weights
	lastKey uint64
}

// request is a client's request, across all of its tries.
type request struct {
	class, tenant int
	key           uint64
	began, end    time.Duration
	tries         int
	client        clientretry.Client
	patience      time.Duration // the client disconnects after that; 0: it waits until the deadline
}

// try is one try of a request at one node.
type try struct {
	*request
	world    *World
	record   *record
	deadline time.Duration
	ended    bool
	node     *node
	pending  *core.Pending // set by machineBalancer
}

func newClients(w *World) *clients {
	c := &clients{world: w, rng: Stream(w.seed, "clients")}
	sum := 0.0
	for i := range max(1, w.opt.Load.Tenants) {
		sum += 1 / math.Pow(float64(i+1), w.opt.Load.Skew)
		c.tenants = append(c.tenants, sum)
	}
	return c
}

// scheduleArrival schedules the next arrival of a Poisson process, thinned by Load.Curve.
func (c *clients) scheduleArrival() {
	w := c.world
	l := w.opt.Load
	if l.Trace != nil {
		c.replay(0)
		return
	}
	group := 1
	if l.Bursts {
		group = 10
	}
	gap := time.Duration(c.rng.ExpFloat64() * float64(group) / l.Rate * float64(time.Second))
	w.engine.After(gap, func() {
		if w.engine.Now() >= w.start+w.opt.For {
			return
		}
		if l.Curve == nil || c.rng.Float64() < l.Curve(w.engine.Now()-w.start) {
			for range group {
				c.startRandom()
			}
		}
		c.scheduleArrival()
	})
}

// replay schedules the n-th arrival of the trace.
func (c *clients) replay(n int) {
	w := c.world
	if trace := w.opt.Load.Trace; n < len(trace) && trace[n].At < w.opt.For {
		w.engine.At(w.start+trace[n].At, func() {
			a := trace[n]
			q := c.draw()
			q.class, q.tenant = a.Class, a.Tenant
			if a.Key != 0 {
				q.key = a.Key
			}
			c.start(q)
			c.replay(n + 1)
		})
	}
}

func (c *clients) startRandom() { c.start(c.draw()) }

// draw returns a random request.
func (c *clients) draw() *request {
	w := c.world
	l := w.opt.Load
	q := &request{began: w.engine.Now(), client: l.Draw(c.rng)}
	if l.Impatient > 0 && c.rng.Float64() < l.Impatient {
		q.patience = time.Duration(2 * c.rng.Float64() * float64(l.Patience))
	}
	at := c.rng.Float64()
	for i, share := range l.Shares {
		if q.class = i; at < share {
			break
		}
		at -= share
	}
	x := c.rng.Float64() * c.tenants[len(c.tenants)-1]
	q.tenant, _ = slices.BinarySearch(c.tenants, x)
	c.lastKey++
	if q.key = c.lastKey; l.Keys > 0 {
		q.key = 1 + c.rng.Uint64N(uint64(l.Keys))
	}
	return q
}

func (c *clients) start(q *request) {
	w := c.world
	q.end = q.began + w.settings.Classes[q.class].Deadline
	w.results.Asked++
	c.try(q)
}

// try sends a request to a random node that is up.
func (c *clients) try(q *request) {
	w := c.world
	q.tries++
	w.results.RecordTry(w.since())
	up := w.nodes[c.rng.IntN(len(w.nodes))]
	for range w.nodes {
		if !up.down {
			break
		}
		up = w.nodes[(up.index+1)%len(w.nodes)]
	}
	t := &try{request: q, world: w, deadline: q.end, node: up}
	t.record = w.checker.openRecord(w.results.Tries, q.class, q.end)
	w.engine.At(q.end+10*time.Millisecond, func() {
		if !t.ended {
			t.ended = true
			w.checker.closeRecord(t.record, true)
			w.requestEnded(t, "unanswered")
		}
	})
	if q.patience > 0 && q.tries == 1 {
		w.engine.At(q.began+q.patience, t.clientLeaves)
	}
	w.engine.After(w.opt.ClientNet.Draw(c.rng), func() { up.submit(t) })
}

// clientLeaves ends a try whose client disconnects; the node learns of it one network latency later.
func (t *try) clientLeaves() {
	if t.ended {
		return
	}
	t.ended = true
	w := t.world
	w.checker.closeRecord(t.record, false)
	w.requestEnded(t, "left")
	w.engine.After(w.opt.ClientNet.Draw(w.clients.rng), func() { t.node.clientGone(t) })
}

// answered handles an answer that has arrived at the client.
func (t *try) answered(a core.Answer) {
	w := t.world
	w.checker.answered(t.record, a.Outcome)
	if t.ended {
		return
	}
	t.ended = true
	w.checker.closeRecord(t.record, true)
	wait, again := t.client.Retry(clientretry.Answer{
		Attempts: t.tries, Refused: a.Outcome == core.Refused, Unsafe: w.settings.Classes[t.class].Effect == policy.Unsafe,
		RetryAfter: a.RetryAfter, TimeLeft: t.end - w.engine.Now(),
	}, w.clients.rng)
	switch {
	case a.Outcome == core.Served || !again:
		w.requestEnded(t, a.Outcome.String())
	case wait == 0:
		w.clients.try(t.request)
	default:
		w.engine.After(wait, func() { w.clients.try(t.request) })
	}
}

// nodeCrashed ends a try whose node crashed. The client notices, and the rules do not require an
// answer in this case.
func (t *try) nodeCrashed() {
	if t.ended {
		return
	}
	t.ended = true
	t.world.checker.closeRecord(t.record, false)
	t.world.requestEnded(t, "node died")
}

func sortTries(all []*try) {
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.record.id, b.record.id) })
}

// digestLine returns the line for an ended try that goes into the digest.
func (t *try) digestLine(how string) string {
	return fmt.Sprintf("%d %d %d %d %s\n", t.record.id, t.class, t.began, t.world.engine.Now(), how)
}
