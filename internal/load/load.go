// Package load asks real servers at a rate, and tells how long answers took since each
// request was meant to go out: a slow server does not slow the asking, and does not hide
// what waited behind it (Tene, How NOT to Measure Latency, 2015, "coordinated omission").
// A generator that lags itself says so and its figures are void.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"otterstep/internal/latency"
)

// Bounds of a run.
const (
	mostRate = 200_000 // requests a second
	mostOpen = 100_000 // requests at once
	longest  = 10 * time.Minute
	runMost  = 24 * time.Hour
	tick     = 500 * time.Microsecond // requests due within one go out together
	lagMost  = 20 * time.Millisecond  // 99% of the requests go out later than meant by no more, or the run is void
	figures  = 3                      // significant ones, of the histograms
)

// Outcome is how one request ended.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota
	Refused         // 429 or 503
	Failed          // any other answer
	Broken          // no whole answer
	outcomes
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "broken"}[o] }

// Target is asked one request at a time, by many goroutines.
type Target interface {
	// Ask sends the n-th request, which was meant to go out at due, and waits for its end,
	// no longer than ctx lives.
	Ask(ctx context.Context, n uint64, due time.Time) Outcome
}

// Options describe a run.
type Options struct {
	// Rate gives the requests a second that are meant at a time since the start; nil with
	// Closed.
	Rate func(since time.Duration) float64
	// Closed is the number of clients that each ask again as soon as they are answered. A
	// closed loop slows with its server by design: its latencies count from the sending.
	Closed  int
	For     time.Duration
	Steady  bool          // evenly spaced, in place of Poisson
	Open    int           // requests at once at most; one beyond is not sent, and voids the run
	TimeOut time.Duration // of each request
	Aim     time.Duration // served requests that take longer don't count as within; 0: all do
	Seed    uint64
	Record  *Recorder // if set, figures can be read from it while the run lasts
}

// Report is what came of a run.
type Report struct {
	Sent    uint64            `json:"sent"`
	Ends    map[string]uint64 `json:"ends"`
	Skipped uint64            `json:"skipped"` // not sent: too many open
	Within  uint64            `json:"within"`  // served within the aim
	Took    time.Duration     `json:"took"`
	Void    string            `json:"void,omitempty"` // why the figures don't count
	Rate    float64           `json:"rate"`           // answered a second
	P50     time.Duration     `json:"p50"`            // of the served, since they were meant to go out
	P90     time.Duration     `json:"p90"`
	P99     time.Duration     `json:"p99"`
	P999    time.Duration     `json:"p999"`
	Most    time.Duration     `json:"most"`
	LagP99  time.Duration     `json:"lag_p99"` // of the generator: sent after it was meant
}

// check says what is impossible.
func (o *Options) check() error {
	switch {
	case (o.Rate == nil) == (o.Closed == 0):
		return fmt.Errorf("load: give a rate, or the number of clients of a closed loop")
	case o.Closed < 0 || o.Closed > mostOpen:
		return fmt.Errorf("load: %d clients: 1 to %d", o.Closed, mostOpen)
	case o.Open < 1 || o.Open > mostOpen:
		return fmt.Errorf("load: %d requests at once: 1 to %d", o.Open, mostOpen)
	case o.For <= 0 || o.For > runMost:
		return fmt.Errorf("load: for %v: above 0, %v at most", o.For, runMost)
	case o.Aim < 0:
		return fmt.Errorf("load: an aim of %v: 0 for none, or above", o.Aim)
	case o.TimeOut <= 0 || o.TimeOut > longest:
		return fmt.Errorf("load: time-out %v: above 0, %v at most", o.TimeOut, longest)
	}
	return nil
}

// Recorder takes what came of requests; its methods may be called on any goroutine.
type Recorder struct {
	mu      sync.Mutex
	latency *latency.Histogram // of the served
	lag     *latency.Histogram
	ends    [outcomes]uint64
	sent    uint64
	within  uint64
}

// NewRecorder makes one. Its memory does not grow with what it takes.
func NewRecorder() *Recorder {
	return &Recorder{latency: latency.New(figures), lag: latency.New(figures)}
}

func (r *Recorder) add(o Outcome, took, lag, aim time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.ends[o]++
	r.lag.Record(lag)
	if o == Served {
		r.latency.Record(took)
		if aim == 0 || took <= aim {
			r.within++
		}
	}
}

// Run asks a target until o.For is over or ctx ends; requests that are out then are waited
// for, no longer than o.TimeOut. An error tells of impossible options only.
func Run(ctx context.Context, target Target, o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	rec := o.Record
	if rec == nil {
		rec = NewRecorder()
	}
	var skipped uint64
	began := time.Now()
	if o.Closed > 0 {
		closedLoop(ctx, target, o, rec, began)
	} else {
		skipped = openLoop(ctx, target, o, rec, began)
	}
	return rec.report(skipped, time.Since(began)), nil
}

// Quantile gives a quantile, from 0 to 1, of the served requests' times so far.
func (r *Recorder) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latency.Quantile(q)
}

func (r *Recorder) report(skipped uint64, took time.Duration) Report {
	p := Report{
		Sent: r.sent, Skipped: skipped, Within: r.within, Took: took, Ends: map[string]uint64{}, Rate: float64(r.sent) / took.Seconds(),
		P50: r.latency.Quantile(0.5), P90: r.latency.Quantile(0.9), P99: r.latency.Quantile(0.99), P999: r.latency.Quantile(0.999), Most: r.latency.Quantile(1),
		LagP99: r.lag.Quantile(0.99),
	}
	for o, n := range r.ends {
		if n > 0 {
			p.Ends[Outcome(o).String()] = n
		}
	}
	switch {
	case r.sent == 0:
		p.Void = "nothing was sent"
	case skipped > 0:
		p.Void = fmt.Sprintf("%d requests were not sent: as many as allowed were open", skipped)
	case p.LagP99 > lagMost:
		p.Void = fmt.Sprintf("the generator lags: 1%% of the requests went out over %v after they were meant to, %v is the most that counts", p.LagP99, lagMost)
	}
	return p
}

// closedLoop has each client ask again once it is answered.
func closedLoop(ctx context.Context, target Target, o Options, rec *Recorder, began time.Time) {
	var clients sync.WaitGroup
	for c := range o.Closed {
		clients.Go(func() {
			for n := uint64(c); time.Since(began) < o.For && ctx.Err() == nil; n += uint64(o.Closed) {
				sent := time.Now()
				rec.add(ask(ctx, target, o.TimeOut, n, sent), time.Since(sent), 0, o.Aim)
			}
		})
	}
	clients.Wait()
}

func ask(ctx context.Context, target Target, timeOut time.Duration, n uint64, due time.Time) Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeOut)
	defer cancel()
	return target.Ask(ctx, n, due)
}

// openLoop sends by the plan whatever comes back. Requests wait for a goroutine of a pool
// that grows to o.Open; one that finds none idle and the pool full is not sent.
func openLoop(ctx context.Context, target Target, o Options, rec *Recorder, began time.Time) (skipped uint64) {
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	type due struct {
		n    uint64
		when time.Time
	}
	work := make(chan due)
	var workers sync.WaitGroup
	started := 0
	defer workers.Wait()
	defer close(work)
	worker := func(first due) {
		for d, ok := first, true; ok; d, ok = <-work {
			lag := time.Since(d.when)
			end := ask(ctx, target, o.TimeOut, d.n, d.when)
			rec.add(end, time.Since(d.when), max(0, lag), o.Aim)
		}
	}
	at := time.Duration(0)
	for n := uint64(0); ctx.Err() == nil; {
		rate := min(o.Rate(at), mostRate)
		if rate <= 0 { // nothing is meant now: look again a little later
			if at += 10 * time.Millisecond; at >= o.For {
				return skipped
			}
			continue
		}
		gap := 1 / rate
		if !o.Steady {
			gap *= rng.ExpFloat64()
		}
		if at += time.Duration(gap * float64(time.Second)); at >= o.For {
			return skipped
		}
		when := began.Add(at)
		if wait := time.Until(when); wait > tick {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return skipped
			}
		}
		d := due{n, when}
		n++
		select {
		case work <- d:
		default:
			if started == o.Open {
				skipped++
				continue
			}
			started++
			workers.Go(func() { worker(d) })
		}
	}
	return skipped
}
