package standin

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"otterstep/internal/rulecheck"
)

// Class is a class of requests as boxes and clients see it.
type Class struct {
	Name     string
	Effect   Effect
	Deadline time.Duration
	Aim      time.Duration
	Window   time.Duration // Keyed: how long repetitions are dropped
	Work     time.Duration // mean, on one core of speed 1
	Spread   float64       // standard deviation of the work's logarithm; 0: uniform from 70% to 130%
	Share    float64       // of the clients' requests
}

// drawWorkFactor draws a request's work as a multiple of the mean.
func (c *Class) drawWorkFactor(rng *rand.Rand) float64 {
	if c.Spread > 0 { // the mean of exp(N(m, s)) is exp(m + s^2/2)
		return math.Exp(c.Spread*rng.NormFloat64() - c.Spread*c.Spread/2)
	}
	return 0.7 + 0.6*rng.Float64()
}

// BoxOptions describe an app box.
type BoxOptions struct {
	UID, Zone string
	Addr      string // to listen on; "" for any port on loopback
	Cores     int
	Speed     float64 // of a core; at 1 a request takes its class's Work
	Queue     int     // requests that may wait for a core; more are turned away unprocessed
	Classes   []Class
	// Cold start: capacity begins at the share ColdFrom and grows linearly to the whole
	// over ColdFor. A cold box that is sent more than FallMultiple times its capacity over
	// FallFor falls over and stays down.
	ColdFrom     float64
	ColdFor      time.Duration
	FallMultiple float64
	FallFor      time.Duration
	Cold         bool // starts cold
	Seed         uint64
	// OnArrival, if set, is called with each request's ID on arrival.
	OnArrival func(id string, at time.Time)
}

// Box is an app box on loopback. The methods that change its behavior may be called at
// any time.
type Box struct {
	opt       BoxOptions
	classes   map[string]Class
	meanWork  float64 // of the classes' work, in seconds
	ledger    *Ledger
	discovery *Discovery
	addr      string
	cores     chan struct{}
	// Conns counts the connections opened to it.
	Conns Peak

	mu         sync.Mutex
	server     *http.Server // nil while it is down
	listener   net.Listener
	booted     time.Time // zero: long ago, the box is warm
	slowdown   float64   // factor on the time that work takes
	errorShare float64   // share of requests that fail fast
	hang       chan struct{}
	draining   bool
	fell       bool
	admitted   int
	cold       rulecheck.ColdLoad
	excessWork float64 // seconds of work beyond a cold box's limit, see addColdWork
	excessAt   time.Time
	rng        *rand.Rand
}

// NewBox starts a box, warm unless opt.Cold is set, and adds it to discovery's list.
func NewBox(opt BoxOptions, d *Discovery, l *Ledger) (*Box, error) {
	b := &Box{
		opt: opt, classes: map[string]Class{}, ledger: l, discovery: d, slowdown: 1,
		cores: make(chan struct{}, opt.Cores), rng: rand.New(rand.NewPCG(opt.Seed, 1)),
	}
	for _, c := range opt.Classes {
		b.classes[c.Name] = c
		b.meanWork += c.Work.Seconds() / float64(len(opt.Classes))
	}
	if opt.Cold {
		b.booted = time.Now()
	}
	if err := b.listen(cmp.Or(opt.Addr, "127.0.0.1:0")); err != nil {
		return nil, err
	}
	b.List(InService)
	return b, nil
}

// UID returns the box's name in discovery's list.
func (b *Box) UID() string { return b.opt.UID }

func (b *Box) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("app box %s: %w", b.opt.UID, err)
	}
	s := &http.Server{Handler: b, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 15 * time.Second}
	s.ConnState = func(_ net.Conn, to http.ConnState) {
		if to == http.StateNew {
			b.Conns.Add()
		}
	}
	b.mu.Lock()
	b.addr, b.server, b.listener = l.Addr().String(), s, l
	b.mu.Unlock()
	go s.Serve(l)
	return nil
}

// List sets the box's state in discovery's list, whatever its real state is.
func (b *Box) List(state string) {
	b.mu.Lock()
	t := Target{
		UID: b.opt.UID, Endpoint: b.addr, AZ: b.opt.Zone, Model: "m1", State: state,
		CapacityHint: float64(b.opt.Cores) * b.opt.Speed,
	}
	if !b.booted.IsZero() {
		t.BootMs = b.booted.UnixMilli()
	}
	b.mu.Unlock()
	b.discovery.Set(t)
}

// Slow multiplies the time that work takes by times; 1 is normal.
func (b *Box) Slow(times float64) { b.update(func() { b.slowdown = times }) }

// FailFast makes a share of the requests fail at once, without running.
func (b *Box) FailFast(share float64) { b.update(func() { b.errorShare = share }) }

// Hang makes the box accept requests and answer none; when it is switched off, the
// requests held until then are aborted.
func (b *Box) Hang(on bool) {
	b.update(func() {
		if on && b.hang == nil {
			b.hang = make(chan struct{})
		} else if !on && b.hang != nil {
			close(b.hang)
			b.hang = nil
		}
	})
}

func (b *Box) update(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// Drain lists the box as terminating; it finishes its running requests and turns new ones away.
func (b *Box) Drain() {
	b.List(Terminating)
	b.update(func() { b.draining = true })
}

// Resume cancels a drain.
func (b *Box) Resume() {
	b.update(func() { b.draining = false })
	b.List(InService)
}

// Crash stops the box: connections break, new ones are refused. Discovery's list is not changed.
func (b *Box) Crash() {
	b.mu.Lock()
	s, l := b.server, b.listener
	b.server = nil
	b.mu.Unlock()
	if s != nil {
		l.Close() // Serve may not have registered it with the server yet
		s.Close()
	}
	b.Hang(false)
}

// Leave removes the box from discovery's list and stops it.
func (b *Box) Leave() {
	b.List(Terminated)
	b.Crash()
}

// Replace stops the box and starts another one at its address, cold, under another name and slower by a
// factor. Discovery lists the new one in its place.
func (b *Box) Replace(uid string, slower float64) (*Box, error) {
	b.Leave()
	b.mu.Lock()
	opt := b.opt
	opt.Addr = b.addr
	b.mu.Unlock()
	opt.UID, opt.Cold = uid, true
	opt.Speed /= slower
	return NewBox(opt, b.discovery, b.ledger)
}

// Return restarts the box, cold, at its old address and lists it as in service.
func (b *Box) Return() error {
	b.Crash()
	b.update(func() {
		b.booted, b.draining, b.fell, b.slowdown, b.errorShare, b.excessWork = time.Now(), false, false, 1, 0, 0
		b.cold.Restart()
	})
	if err := b.listen(b.addr); err != nil {
		return err
	}
	b.List(InService)
	return nil
}

// Heal ends the faults set by Slow, FailFast and Hang.
func (b *Box) Heal() {
	b.update(func() { b.slowdown, b.errorShare = 1, 0 })
	b.Hang(false)
}

// State returns one word for the box's state.
func (b *Box) State() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.fell:
		return "fallen"
	case b.server == nil:
		return "down"
	case b.draining:
		return "draining"
	case b.hang != nil:
		return "hanging"
	case b.errorShare > 0:
		return "failing"
	case b.slowdown > 1:
		return "slow"
	case b.capacityShare(time.Now()) < 1:
		return "cold"
	}
	return "ok"
}

// capacityShare returns the available share of the full capacity. The caller holds b.mu.
func (b *Box) capacityShare(now time.Time) float64 {
	if b.booted.IsZero() || b.opt.ColdFor <= 0 {
		return 1
	}
	age := float64(now.Sub(b.booted)) / float64(b.opt.ColdFor)
	return min(1, b.opt.ColdFrom+(1-b.opt.ColdFrom)*age)
}

// addColdWork records work sent to a cold box and reports whether the box falls over from it:
// the work within any FallFor is compared with FallMultiple times what the box can do in that
// time. The caller holds b.mu.
func (b *Box) addColdWork(now time.Time, work time.Duration) bool {
	share := b.capacityShare(now)
	if share >= 1 {
		return false
	}
	limit := b.opt.FallMultiple * share * float64(b.opt.Cores) * b.opt.Speed // core seconds per second
	b.cold.Add(now.Sub(b.booted), b.opt.FallFor, work.Seconds()/b.meanWork, limit*b.opt.FallFor.Seconds()/b.meanWork)
	if !b.excessAt.IsZero() {
		b.excessWork = max(0, b.excessWork-limit*now.Sub(b.excessAt).Seconds())
	}
	b.excessAt = now
	b.excessWork += work.Seconds()
	return b.excessWork > limit*b.opt.FallFor.Seconds()
}

// ColdOver returns the number of requests, of mean work, that came while the box was cold beyond what the rules
// allow and chance explains; see rulecheck.ColdLoad.
func (b *Box) ColdOver() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cold.Excess()
}

// ServeHTTP handles a request from a node. A request that has begun to run goes on to its
// end even if the client has gone.
func (b *Box) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	id := r.Header.Get("X-Correlation-Id")
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class, known := b.classes[name]
	if id == "" || !known {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, 64<<10)); err != nil {
		return // the request did not arrive whole and never runs
	}
	drainKnown, _ := b.discovery.DeliveredToAll(b.opt.UID)
	b.ledger.RecordAttempt(id, b.opt.UID, now, drainKnown)
	if b.opt.OnArrival != nil {
		b.opt.OnArrival(id, now)
	}

	b.mu.Lock()
	if b.addColdWork(now, class.Work) && !b.fell {
		b.fell = true
		b.mu.Unlock()
		b.ledger.RecordFall(b.opt.UID)
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	hang, draining, full := b.hang, b.draining, b.admitted >= b.opt.Queue+b.opt.Cores
	fails := b.errorShare > 0 && b.rng.Float64() < b.errorShare
	took := time.Duration(float64(class.Work) * class.drawWorkFactor(b.rng) * b.slowdown / b.opt.Speed / b.capacityShare(now))
	if hang == nil && !draining && !full && !fails {
		b.admitted++
	}
	b.mu.Unlock()
	switch {
	case hang != nil:
		select {
		case <-hang:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	case draining, full:
		w.Header().Set("X-Unprocessed", "1")
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return
	case fails:
		http.Error(w, "broken", http.StatusInternalServerError)
		return
	}
	b.cores <- struct{}{}
	if b.ledger.RecordRun(id, b.opt.UID, class.Effect, class.Window, time.Now()) {
		time.Sleep(took)
	}
	<-b.cores
	b.update(func() { b.admitted-- })
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	io.WriteString(w, Body(id, b.opt.UID))
}

// Body returns the body with which a box answers a request.
func Body(id, box string) string { return id + " by " + box + "\n" }
