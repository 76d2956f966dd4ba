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

	"otterstep/internal/ledger"
)

// Class is a class of requests as boxes and clients see it.
type Class struct {
	Name     string
	Effect   Effect
	Deadline time.Duration
	Aim      time.Duration
	Window   time.Duration // Keyed: how long repeats are dropped
	Work     time.Duration // mean, on one core of speed 1
	Spread   float64       // of the work's logarithm; 0: evenly from 70% to 130%
	Share    float64       // of the clients' requests
}

// part draws how much of its mean a request's work is.
func (c *Class) part(rng *rand.Rand) float64 {
	if c.Spread > 0 { // the mean of exp(N(m, s)) is exp(m + s^2/2)
		return math.Exp(c.Spread*rng.NormFloat64() - c.Spread*c.Spread/2)
	}
	return 0.7 + 0.6*rng.Float64()
}

// BoxOptions describe an app box.
type BoxOptions struct {
	UID, Zone string
	Addr      string // where it listens; "" for any port on loopback
	Cores     int
	Speed     float64 // of a core; 1 does a class's Work in that time
	Queue     int     // requests that wait for a core; more are turned away unseen
	Classes   []Class
	// Cold start: the share of the capacity at boot, growing evenly to the whole at
	// ColdFor. Sent more than FallMultiple times what it can do for FallFor, a cold
	// box falls over and stays down.
	ColdFrom     float64
	ColdFor      time.Duration
	FallMultiple float64
	FallFor      time.Duration
	Cold         bool // it has just started
	Seed         uint64
	// Arrived, if set, is told of each request's id as it comes.
	Arrived func(id string, at time.Time)
}

// Box is an app box on loopback. Its methods that change how it behaves may be
// called at any time.
type Box struct {
	opt       BoxOptions
	classes   map[string]Class
	mean      float64 // of the classes' work, in seconds
	ledger    *Ledger
	discovery *Discovery
	addr      string
	cores     chan struct{}
	// Conns counts the connections that were opened to it.
	Conns Peak

	mu       sync.Mutex
	server   *http.Server // nil while it is down
	listener net.Listener
	booted   time.Time // zero: long ago
	slow     float64   // work takes so many times longer
	errors   float64   // share of requests that fail fast
	hang     chan struct{}
	draining bool
	fell     bool
	waiting  int
	cold     ledger.Cold
	load     float64 // seconds of work beyond what a cold box can take, see push
	loadAt   time.Time
	rng      *rand.Rand
}

// NewBox starts a warm box and lists it.
func NewBox(opt BoxOptions, d *Discovery, l *Ledger) (*Box, error) {
	b := &Box{
		opt: opt, classes: map[string]Class{}, ledger: l, discovery: d, slow: 1,
		cores: make(chan struct{}, opt.Cores), rng: rand.New(rand.NewPCG(opt.Seed, 1)),
	}
	for _, c := range opt.Classes {
		b.classes[c.Name] = c
		b.mean += c.Work.Seconds() / float64(len(opt.Classes))
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

// UID is the box's name in the list.
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

// List has discovery list it in a state, whatever it is in.
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

// Slow makes work take so many times longer; 1 is normal.
func (b *Box) Slow(times float64) { b.set(func() { b.slow = times }) }

// FailFast makes a share of the requests fail at once, before they run.
func (b *Box) FailFast(share float64) { b.set(func() { b.errors = share }) }

// Hang makes it take requests and answer none; those that it holds when it ends
// are dropped.
func (b *Box) Hang(on bool) {
	b.set(func() {
		if on && b.hang == nil {
			b.hang = make(chan struct{})
		} else if !on && b.hang != nil {
			close(b.hang)
			b.hang = nil
		}
	})
}

func (b *Box) set(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// Drain makes it finish what it has; the list says so.
func (b *Box) Drain() {
	b.List(Terminating)
	b.set(func() { b.draining = true })
}

// Resume takes a drain back.
func (b *Box) Resume() {
	b.set(func() { b.draining = false })
	b.List(InService)
}

// Crash ends it: connections break, new ones are refused. The list is not told.
func (b *Box) Crash() {
	b.mu.Lock()
	s, l := b.server, b.listener
	b.server = nil
	b.mu.Unlock()
	if s != nil {
		l.Close() // the server may not have come to know of it yet
		s.Close()
	}
	b.Hang(false)
}

// Leave takes it off the list and ends it.
func (b *Box) Leave() {
	b.List(Terminated)
	b.Crash()
}

// Replace ends it and starts another machine at its address, cold, under another name and so many times as
// slow. Discovery lists that in its place.
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

// Return starts it again, cold, at its old address, and lists it.
func (b *Box) Return() error {
	b.Crash()
	b.set(func() {
		b.booted, b.draining, b.fell, b.slow, b.errors, b.load = time.Now(), false, false, 1, 0, 0
		b.cold.Restart()
	})
	if err := b.listen(b.addr); err != nil {
		return err
	}
	b.List(InService)
	return nil
}

// Heal ends slowness, errors and hanging.
func (b *Box) Heal() {
	b.set(func() { b.slow, b.errors = 1, 0 })
	b.Hang(false)
}

// State says in a word how it is.
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
	case b.errors > 0:
		return "failing"
	case b.slow > 1:
		return "slow"
	case b.share(time.Now()) < 1:
		return "cold"
	}
	return "ok"
}

// share is the part of its capacity that it has; it needs the lock.
func (b *Box) share(now time.Time) float64 {
	if b.booted.IsZero() || b.opt.ColdFor <= 0 {
		return 1
	}
	age := float64(now.Sub(b.booted)) / float64(b.opt.ColdFor)
	return min(1, b.opt.ColdFrom+(1-b.opt.ColdFrom)*age)
}

// push notes work that was sent and tells whether that pushes a cold box over: the
// work of any stretch of FallFor is held against FallMultiple times what the box
// can do in it. It needs the lock.
func (b *Box) push(now time.Time, work time.Duration) bool {
	share := b.share(now)
	if share >= 1 {
		return false
	}
	limit := b.opt.FallMultiple * share * float64(b.opt.Cores) * b.opt.Speed // core seconds a second
	b.cold.Add(now.Sub(b.booted), b.opt.FallFor, work.Seconds()/b.mean, limit*b.opt.FallFor.Seconds()/b.mean)
	if !b.loadAt.IsZero() {
		b.load = max(0, b.load-limit*now.Sub(b.loadAt).Seconds())
	}
	b.loadAt = now
	b.load += work.Seconds()
	return b.load > limit*b.opt.FallFor.Seconds()
}

// ColdOver gives the requests of mean work that came while it was cold beyond what the rules allow and chance
// explains; see ledger.Cold.
func (b *Box) ColdOver() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cold.Over()
}

// ServeHTTP is a request that a node sent. Once it runs it goes on to its end,
// whether or not anybody waits.
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
		return // never began
	}
	told, _ := b.discovery.ToldAll(b.opt.UID)
	b.ledger.Arrived(id, b.opt.UID, now, told)
	if b.opt.Arrived != nil {
		b.opt.Arrived(id, now)
	}

	b.mu.Lock()
	if b.push(now, class.Work) && !b.fell {
		b.fell = true
		b.mu.Unlock()
		b.ledger.Fell(b.opt.UID)
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	hang, draining, full := b.hang, b.draining, b.waiting >= b.opt.Queue+b.opt.Cores
	fails := b.errors > 0 && b.rng.Float64() < b.errors
	took := time.Duration(float64(class.Work) * class.part(b.rng) * b.slow / b.opt.Speed / b.share(now))
	if hang == nil && !draining && !full && !fails {
		b.waiting++
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
	if b.ledger.Ran(id, b.opt.UID, class.Effect, class.Window, time.Now()) {
		time.Sleep(took)
	}
	<-b.cores
	b.set(func() { b.waiting-- })
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	io.WriteString(w, Body(id, b.opt.UID))
}

// Body is a box's answer to a request.
func Body(id, box string) string { return id + " by " + box + "\n" }
