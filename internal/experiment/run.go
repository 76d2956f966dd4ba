package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"otterstep/internal/sim"
)

// Run is the result of an experiment with one seed.
type Run struct {
	Seed    uint64       `json:"seed"`
	Results *sim.Results `json:"results"`
	Share   float64      `json:"share"`  // share of the requests served within the aim
	Failed  []string     `json:"failed"` // the expectations that were not met
}

// Run runs an experiment with the seeds seed, seed+1 and so on, several in parallel; each
// run has its own simulated time. It stops early when ctx is done.
func (x *Experiment) Run(ctx context.Context, seed uint64, runs int) ([]Run, error) {
	results := make([]Run, runs)
	errs := make([]error, runs)
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(runs, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for n := range next {
				results[n], errs[n] = x.runSeed(seed + uint64(n))
				if x.runDone != nil {
					x.runDone()
				}
			}
		})
	}
	err := func() error {
		defer workers.Wait()
		defer close(next)
		for n := range runs {
			select {
			case next <- n:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		return nil
	}()
	if err != nil {
		return nil, err
	}
	if i := slices.IndexFunc(errs, func(err error) bool { return err != nil }); i >= 0 {
		return nil, errs[i]
	}
	return results, nil
}

// OnRunDone returns a copy of the experiment that calls a function after each run, on any
// goroutine.
func (x *Experiment) OnRunDone(runDone func()) *Experiment {
	other := *x
	other.runDone = runDone
	return &other
}

func (x *Experiment) runSeed(seed uint64) (Run, error) {
	w, err := sim.New(x.Options, seed)
	if err != nil {
		return Run{}, err
	}
	return x.Evaluate(seed, w.Run()), nil
}

// Evaluate evaluates the results of a run against the file's expectations.
func (x *Experiment) Evaluate(seed uint64, r *sim.Results) Run {
	run := Run{Seed: seed, Results: r, Share: r.Share()}
	fail := func(format string, args ...any) { run.Failed = append(run.Failed, fmt.Sprintf(format, args...)) }
	if len(r.Broken) > 0 {
		fail("a rule broke: %s", r.First)
	}
	h := x.File.Expect
	if run.Share < h.Within {
		fail("%.4f served within the aim, want %.4f", run.Share, h.Within)
	}
	if h.P99.Duration > 0 && r.P99 > h.P99.Duration {
		fail("p99 %v, want %v", r.P99, h.P99)
	}
	if attempts := r.PerRequest(); h.Attempts > 0 && attempts > h.Attempts {
		fail("%.3f attempts per request, want %.3f", attempts, h.Attempts)
	}
	if h.Recovered > 0 {
		var asked, within uint64
		for n, s := range r.Seconds {
			if time.Duration(n)*time.Second >= h.From.Duration {
				asked += s.Asked
				within += s.Within
			}
		}
		if share := float64(within) / float64(max(1, asked)); share < h.Recovered {
			fail("%.4f within the aim from %v on, want %.4f", share, h.From, h.Recovered)
		}
	}
	return run
}

// Difference compares the shares within the aim of two experiments over the same seeds.
type Difference struct {
	A, B      float64 // means
	Mean      float64 // of B minus A
	Low, High float64 // its 95% bootstrap confidence interval
	Wins      int     // seeds at which B is better
}

// resamples is the number of bootstrap resamples.
const resamples = 2000

// Compare pairs runs by seed; the interval is the percentile bootstrap's (Efron and
// Tibshirani, An Introduction to the Bootstrap, 1993, chapter 13) over the seeds.
func Compare(a, b []Run) Difference {
	var d Difference
	differences := make([]float64, len(a))
	for i := range a {
		differences[i] = b[i].Share - a[i].Share
		d.A += a[i].Share / float64(len(a))
		d.B += b[i].Share / float64(len(a))
		if differences[i] > 0 {
			d.Wins++
		}
	}
	d.Mean, d.Low, d.High = ConfidenceInterval(differences, a[0].Seed)
	return d
}

// ConfidenceInterval returns the mean and its 95% bootstrap confidence interval.
func ConfidenceInterval(samples []float64, seed uint64) (mean, low, high float64) {
	rng := rand.New(rand.NewPCG(seed, 95))
	means := make([]float64, resamples)
	for i := range means {
		for range samples {
			means[i] += samples[rng.IntN(len(samples))] / float64(len(samples))
		}
	}
	slices.Sort(means)
	return stat.Mean(samples, nil), stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
