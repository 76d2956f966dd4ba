package sim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"otterstep/internal/comeback"
	"otterstep/internal/core"
	"otterstep/policy"
)

// Load is what clients ask for: an open loop, so that a slow answer does not slow the
// asking.
type Load struct {
	Rate    float64   // requests a second at most, over all nodes
	Shares  []float64 // of the classes
	Tenants int
	Skew    float64 // Zipf's exponent of the tenants; 0: all alike
	Keys    int     // different keys; 0: each request its own
	Bursts  bool    // arrivals in groups of ten
	Curve   func(time.Duration) float64
	comeback.Habits
	// Impatient is the share of clients that leave without an answer after a time that is
	// uniform from 0 to twice Patience.
	Impatient float64
	Patience  time.Duration
	Trace     []Arrival // plays these, by their times, in place of Rate, Curve and Shares
}

// Arrival is a request of a recorded trace.
type Arrival struct {
	At            time.Duration // since the start
	Class, Tenant int
	Key           uint64 // 0: its own
}

// clients draw requests and judge their ends.
type clients struct {
	world   *World
	rng     *rand.Rand
	tenants []float64 // cumulative
	last    uint64
}

// request is what a client wants, over all of its tries.
type request struct {
	class, tenant int
	key           uint64
	began, end    time.Duration
	tries         int
	client        comeback.Client
	patience      time.Duration // it leaves after that; 0: it stays to its end
}

// try is one try of a request: one request at one node.
type try struct {
	*request
	world    *World
	record   *record
	deadline time.Duration
	over     bool
	at       *node
	pending  *core.Pending // of ours
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

// arrive schedules the next arrival: Poisson by thinning under a curve.
func (c *clients) arrive() {
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
				c.ask()
			}
		}
		c.arrive()
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
			c.begin(q)
			c.replay(n + 1)
		})
	}
}

func (c *clients) ask() { c.begin(c.draw()) }

// draw gives a request at random.
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
	c.last++
	if q.key = c.last; l.Keys > 0 {
		q.key = 1 + c.rng.Uint64N(uint64(l.Keys))
	}
	return q
}

func (c *clients) begin(q *request) {
	w := c.world
	q.end = q.began + w.settings.Classes[q.class].Deadline
	w.results.Asked++
	c.try(q)
}

// try sends a request to a node at random that is up.
func (c *clients) try(q *request) {
	w := c.world
	q.tries++
	w.results.Tried(w.since())
	up := w.nodes[c.rng.IntN(len(w.nodes))]
	for range w.nodes {
		if !up.down {
			break
		}
		up = w.nodes[(up.index+1)%len(w.nodes)]
	}
	t := &try{request: q, world: w, deadline: q.end, at: up}
	t.record = w.ledger.begin(w.results.Tries, q.class, q.end)
	w.engine.At(q.end+10*time.Millisecond, func() {
		if !t.over {
			t.over = true
			w.ledger.end(t.record, true)
			w.end(t, "unanswered")
		}
	})
	if q.patience > 0 && q.tries == 1 {
		w.engine.At(q.began+q.patience, t.leave)
	}
	w.engine.After(w.opt.ClientNet.Draw(c.rng), func() { up.submit(t) })
}

// leave ends a try whose client waits no longer; its node hears of that a while later.
func (t *try) leave() {
	if t.over {
		return
	}
	t.over = true
	w := t.world
	w.ledger.end(t.record, false)
	w.end(t, "left")
	w.engine.After(w.opt.ClientNet.Draw(w.clients.rng), func() { t.at.left(t) })
}

// answered takes an answer that has come.
func (t *try) answered(a core.Answer) {
	w := t.world
	w.ledger.answered(t.record, a.Kind)
	if t.over {
		return
	}
	t.over = true
	w.ledger.end(t.record, true)
	wait, again := t.client.Again(comeback.Answer{
		Tries: t.tries, Refused: a.Kind == core.Refused, Unsafe: w.settings.Classes[t.class].Effect == policy.Unsafe,
		RetryAfter: a.RetryAfter, Left: t.end - w.engine.Now(),
	}, w.clients.rng)
	switch {
	case a.Kind == core.Served || !again:
		w.end(t, a.Kind.String())
	case wait == 0:
		w.clients.try(t.request)
	default:
		w.engine.After(wait, func() { w.clients.try(t.request) })
	}
}

// gone tells that the node died with the try: its client sees that, and the rules owe it
// nothing.
func (t *try) gone() {
	if t.over {
		return
	}
	t.over = true
	t.world.ledger.end(t.record, false)
	t.world.end(t, "node died")
}

func sortTries(all []*try) {
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.record.id, b.record.id) })
}

// word gives a try as the digest has it.
func (t *try) word(how string) string {
	return fmt.Sprintf("%d %d %d %d %s\n", t.record.id, t.class, t.began, t.world.engine.Now(), how)
}
