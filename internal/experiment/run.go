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

// Run is one seed's.
type Run struct {
	Seed    uint64       `json:"seed"`
	Results *sim.Results `json:"results"`
	Share   float64      `json:"share"`  // served within the aim
	Failed  []string     `json:"failed"` // what did not hold
}

// Play plays an experiment with seeds seed, seed+1 and so on, several at once; each run
// is alone in its own time. It ends early with ctx.
func (x *Experiment) Play(ctx context.Context, seed uint64, runs int) ([]Run, error) {
	all := make([]Run, runs)
	errs := make([]error, runs)
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(runs, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for n := range next {
				all[n], errs[n] = x.play(seed + uint64(n))
				if x.played != nil {
					x.played()
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
	return all, nil
}

// Told gives the experiment with a function that is told of each run's end, on any
// goroutine.
func (x *Experiment) Told(played func()) *Experiment {
	other := *x
	other.played = played
	return &other
}

func (x *Experiment) play(seed uint64) (Run, error) {
	w, err := sim.New(x.Options, seed)
	if err != nil {
		return Run{}, err
	}
	return x.Judge(seed, w.Run()), nil
}

// Judge holds what came of a run against what must hold.
func (x *Experiment) Judge(seed uint64, r *sim.Results) Run {
	run := Run{Seed: seed, Results: r, Share: r.Share()}
	no := func(format string, args ...any) { run.Failed = append(run.Failed, fmt.Sprintf(format, args...)) }
	if len(r.Broken) > 0 {
		no("a rule broke: %s", r.First)
	}
	h := x.File.Hold
	if run.Share < h.Within {
		no("%.4f served within the aim, want %.4f", run.Share, h.Within)
	}
	if h.P99.Duration > 0 && r.P99 > h.P99.Duration {
		no("p99 %v, want %v", r.P99, h.P99)
	}
	if per := r.PerRequest(); h.Attempts > 0 && per > h.Attempts {
		no("%.3f attempts a request, want %.3f", per, h.Attempts)
	}
	if h.Recovered > 0 {
		var asked, within uint64
		for n, s := range r.Seconds {
			if time.Duration(n)*time.Second >= h.From.Duration {
				asked += s.Asked
				within += s.Within
			}
		}
		if got := float64(within) / float64(max(1, asked)); got < h.Recovered {
			no("%.4f within the aim from %v on, want %.4f", got, h.From, h.Recovered)
		}
	}
	return run
}

// Difference is how two experiments' shares within the aim differ over the same seeds.
type Difference struct {
	A, B      float64 // means
	Mean      float64 // of B less A
	Low, High float64 // 95% interval of it, by the bootstrap
	Wins      int     // seeds at which B is better
}

// resamples of the bootstrap.
const resamples = 2000

// Compare pairs runs of the same seeds; the interval is the percentile bootstrap's (Efron
// and Tibshirani, An Introduction to the Bootstrap, 1993, chapter 13) over seeds.
func Compare(a, b []Run) Difference {
	var d Difference
	each := make([]float64, len(a))
	for i := range a {
		each[i] = b[i].Share - a[i].Share
		d.A += a[i].Share / float64(len(a))
		d.B += b[i].Share / float64(len(a))
		if each[i] > 0 {
			d.Wins++
		}
	}
	d.Mean, d.Low, d.High = Interval(each, a[0].Seed)
	return d
}

// Interval gives a mean and its 95% interval.
func Interval(each []float64, seed uint64) (mean, low, high float64) {
	rng := rand.New(rand.NewPCG(seed, 95))
	means := make([]float64, resamples)
	for i := range means {
		for range each {
			means[i] += each[rng.IntN(len(each))] / float64(len(each))
		}
	}
	slices.Sort(means)
	return stat.Mean(each, nil), stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)
}
