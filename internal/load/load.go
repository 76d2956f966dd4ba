// Package load generates load on real servers and measures latency from the time at which
// each request was scheduled: a slow server neither slows the generator nor hides the
// requests that waited behind it ("coordinated omission", Tene, How NOT to Measure
// Latency, 2015). If the generator itself lags behind its schedule, the run is reported
// as void.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"otterstep/internal/latency"
)

// Limits of a run.
const (
	maxRate           = 200_000 // requests per second
	maxOpen           = 100_000 // concurrent requests
	maxTimeout        = 10 * time.Minute
	maxDuration       = 24 * time.Hour
	dueTolerance      = 500 * time.Microsecond // requests due within this time are sent without waiting
	maxLagP99         = 20 * time.Millisecond  // a run whose p99 lag behind the schedule is greater is void
	significantDigits = 3                      // of the latency histograms
)

// Outcome is how one request ended.
type Outcome uint8

const (
	Served  Outcome = iota
	Refused         // 429 or 503
	Failed          // any other answer
	Broken          // no complete answer
	numOutcomes
)

func (o Outcome) String() string { return [...]string{"served", "refused", "failed", "broken"}[o] }

// Target receives the requests; its method is called from many goroutines.
type Target interface {
	// Do sends the n-th request, which was scheduled for due, and waits for its outcome
	// until ctx is done.
	Do(ctx context.Context, n uint64, due time.Time) Outcome
}

// Options describe a run.
type Options struct {
	// Rate returns the scheduled requests per second at a time since the start; nil if
	// ClosedClients is set.
	Rate func(since time.Duration) float64
	// ClosedClients is the number of closed-loop clients, each of which sends its next request as
	// soon as the last one is answered. A closed loop slows down with its server by design:
	// latencies are measured from when the request was sent.
	ClosedClients int
	Duration      time.Duration
	Steady        bool          // evenly spaced requests instead of Poisson arrivals
	MaxOpen       int           // maximum of concurrent requests; a request beyond it is not sent and voids the run
	Timeout       time.Duration // per request
	Aim           time.Duration // served requests that take longer are not counted in Report.Within; 0: all are
	Seed          uint64
	Record        *Recorder // if set, allows quantiles to be read during the run
}

// Report holds the results of a run.
type Report struct {
	Sent     uint64            `json:"sent"`
	Outcomes map[string]uint64 `json:"ends"`
	Skipped  uint64            `json:"skipped"` // not sent, since Options.MaxOpen was reached
	Within   uint64            `json:"within"`  // served within the aim
	Elapsed  time.Duration     `json:"took"`
	Void     string            `json:"void,omitempty"` // why the results are invalid
	Rate     float64           `json:"rate"`           // requests completed per second
	P50      time.Duration     `json:"p50"`            // of the served requests, from their scheduled time
	P90      time.Duration     `json:"p90"`
	P99      time.Duration     `json:"p99"`
	P999     time.Duration     `json:"p999"`
	Max      time.Duration     `json:"most"`
	LagP99   time.Duration     `json:"lag_p99"` // delay of sending behind the schedule
}

func (o *Options) validate() error {
	switch {
	case (o.Rate == nil) == (o.ClosedClients == 0):
		return fmt.Errorf("load: set either a rate or the number of closed-loop clients")
	case o.ClosedClients < 0 || o.ClosedClients > maxOpen:
		return fmt.Errorf("load: %d clients, must be from 1 to %d", o.ClosedClients, maxOpen)
	case o.MaxOpen < 1 || o.MaxOpen > maxOpen:
		return fmt.Errorf("load: %d concurrent requests, must be from 1 to %d", o.MaxOpen, maxOpen)
	case o.Duration <= 0 || o.Duration > maxDuration:
		return fmt.Errorf("load: duration %v, must be above 0 and at most %v", o.Duration, maxDuration)
	case o.Aim < 0:
		return fmt.Errorf("load: aim %v, must be 0 for none or above", o.Aim)
	case o.Timeout <= 0 || o.Timeout > maxTimeout:
		return fmt.Errorf("load: time-out %v, must be above 0 and at most %v", o.Timeout, maxTimeout)
	}
	return nil
}

// Recorder collects the outcomes of requests; its methods are safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	latency  *latency.Histogram // of the served requests
	lag      *latency.Histogram
	outcomes [numOutcomes]uint64
	sent     uint64
	within   uint64
}

// NewRecorder returns an empty recorder, whose memory does not grow with the number of
// requests.
func NewRecorder() *Recorder {
	return &Recorder{latency: latency.New(significantDigits), lag: latency.New(significantDigits)}
}

func (r *Recorder) add(o Outcome, took, lag, aim time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.outcomes[o]++
	r.lag.Record(lag)
	if o == Served {
		r.latency.Record(took)
		if aim == 0 || took <= aim {
			r.within++
		}
	}
}

// Run sends requests to target until o.Duration has elapsed or ctx is done, and then waits up to
// o.Timeout for the requests in flight. It returns an error for invalid options only.
func Run(ctx context.Context, target Target, o Options) (Report, error) {
	if err := o.validate(); err != nil {
		return Report{}, err
	}
	rec := o.Record
	if rec == nil {
		rec = NewRecorder()
	}
	var skipped uint64
	began := time.Now()
	if o.ClosedClients > 0 {
		closedLoop(ctx, target, o, rec, began)
	} else {
		skipped = openLoop(ctx, target, o, rec, began)
	}
	return rec.report(skipped, time.Since(began)), nil
}

// Quantile returns a quantile, from 0 to 1, of the latencies of the requests served so far.
func (r *Recorder) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latency.Quantile(q)
}

func (r *Recorder) report(skipped uint64, took time.Duration) Report {
	p := Report{
		Sent: r.sent, Skipped: skipped, Within: r.within, Elapsed: took, Outcomes: map[string]uint64{}, Rate: float64(r.sent) / took.Seconds(),
		P50: r.latency.Quantile(0.5), P90: r.latency.Quantile(0.9), P99: r.latency.Quantile(0.99), P999: r.latency.Quantile(0.999), Max: r.latency.Quantile(1),
		LagP99: r.lag.Quantile(0.99),
	}
	for o, n := range r.outcomes {
		if n > 0 {
			p.Outcomes[Outcome(o).String()] = n
		}
	}
	switch {
	case r.sent == 0:
		p.Void = "no requests were sent"
	case skipped > 0:
		p.Void = fmt.Sprintf("%d requests were not sent: the maximum of concurrent requests was reached", skipped)
	case p.LagP99 > maxLagP99:
		p.Void = fmt.Sprintf("the generator lags: 1%% of the requests were sent more than %v behind schedule, the limit is %v", p.LagP99, maxLagP99)
	}
	return p
}

// closedLoop runs clients that each send their next request once the last one is answered.
func closedLoop(ctx context.Context, target Target, o Options, rec *Recorder, began time.Time) {
	var clients sync.WaitGroup
	for c := range o.ClosedClients {
		clients.Go(func() {
			for n := uint64(c); time.Since(began) < o.Duration && ctx.Err() == nil; n += uint64(o.ClosedClients) {
				sent := time.Now()
				rec.add(sendOne(ctx, target, o.Timeout, n, sent), time.Since(sent), 0, o.Aim)
			}
		})
	}
	clients.Wait()
}

func sendOne(ctx context.Context, target Target, timeOut time.Duration, n uint64, due time.Time) Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeOut)
	defer cancel()
	return target.Do(ctx, n, due)
}

// openLoop sends by the schedule, whatever the answers. Requests are sent by a pool of
// goroutines that grows to o.MaxOpen; one that finds the pool full and none idle is skipped.
func openLoop(ctx context.Context, target Target, o Options, rec *Recorder, began time.Time) (skipped uint64) {
	rng := rand.New(rand.NewPCG(o.Seed, 3))
	type due struct {
		n    uint64
		when time.Time
	}
	queue := make(chan due)
	var workers sync.WaitGroup
	started := 0
	defer workers.Wait()
	defer close(queue)
	worker := func(first due) {
		for d, ok := first, true; ok; d, ok = <-queue {
			lag := time.Since(d.when)
			end := sendOne(ctx, target, o.Timeout, d.n, d.when)
			rec.add(end, time.Since(d.when), max(0, lag), o.Aim)
		}
	}
	offset := time.Duration(0)
	for n := uint64(0); ctx.Err() == nil; {
		rate := min(o.Rate(offset), maxRate)
		if rate <= 0 { // nothing is scheduled now: check again 10 ms later
			if offset += 10 * time.Millisecond; offset >= o.Duration {
				return skipped
			}
			continue
		}
		gap := 1 / rate
		if !o.Steady {
			gap *= rng.ExpFloat64()
		}
		if offset += time.Duration(gap * float64(time.Second)); offset >= o.Duration {
			return skipped
		}
		when := began.Add(offset)
		if wait := time.Until(when); wait > dueTolerance {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return skipped
			}
		}
		d := due{n, when}
		n++
		select {
		case queue <- d:
		default:
			if started == o.MaxOpen {
				skipped++
				continue
			}
			started++
			workers.Go(func() { worker(d) })
		}
	}
	return skipped
}
