package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"otterstep/internal/sim"
	"otterstep/internal/tomlfile"
)

// Limits of a hunt.
const (
	maxAddedFaults = 5   // random faults added to a candidate, beside the file's
	maxShrinkRuns  = 400 // runs used for shrinking
	minLossShare   = 0.8 // share of the worst run's loss that a shrunk file has to reproduce
)

// Hunt searches for a run that violates a rule, or else for the one with the smallest share
// served within the aim. It runs candidates, each with its own seed, in which the file's
// faults are dropped or moved at random and random faults are added. The run that it finds
// is shrunk to a minimal file that still reproduces it (after Zeller and Hildebrandt,
// Simplifying and Isolating Failure-Inducing Input, 2002): fewer and shorter faults, fewer
// servers and nodes, less load. progress is called with messages.
func (x *Experiment) Hunt(ctx context.Context, seed uint64, tries int, progress func(string)) (*Experiment, Run, error) {
	h := hunter{base: x, rng: sim.Stream(seed, "hunt")}
	worst, found := Run{Share: math.Inf(1)}, (*Experiment)(nil)
	for n := range tries {
		if err := ctx.Err(); err != nil {
			return nil, Run{}, err
		}
		c, err := h.candidate()
		if err != nil {
			return nil, Run{}, err
		}
		r, err := c.runSeed(seed + uint64(n))
		if err != nil {
			return nil, Run{}, err
		}
		violated := len(r.Results.Broken) > 0
		if violated || r.Share < worst.Share {
			worst, found = r, c
			progress(fmt.Sprintf("try %d: %s", n+1, describeRun(r)))
		}
		if violated {
			break
		}
	}
	if found == nil {
		return nil, Run{}, errors.New("hunt: no run completed")
	}
	return h.shrink(ctx, found, worst, progress)
}

// describeRun describes the failure of a run.
func describeRun(r Run) string {
	if len(r.Results.Broken) > 0 {
		return "a rule broke: " + r.Results.First
	}
	return fmt.Sprintf("%.4f served within the aim", r.Share)
}

type hunter struct {
	base *Experiment
	rng  *rand.Rand
}

// candidate returns a random variation of the base experiment.
func (h *hunter) candidate() (*Experiment, error) {
	file := h.base.File
	file.Fault = nil
	for _, f := range h.base.File.Fault {
		switch h.rng.IntN(3) {
		case 0:
			continue
		case 1:
			f.At = h.randomStart(f.Duration.Duration)
		}
		file.Fault = append(file.Fault, f)
	}
	for range 1 + h.rng.IntN(maxAddedFaults) {
		file.Fault = append(file.Fault, h.randomFault())
	}
	slices.SortStableFunc(file.Fault, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	return h.base.withFile(file)
}

// withFile returns the experiment with another file, but the same policy and defects.
func (x *Experiment) withFile(file File) (*Experiment, error) {
	text, err := toml.Marshal(file)
	if err != nil {
		return nil, fmt.Errorf("hunt: %w", err)
	}
	got, err := parseText(x.path, text)
	if err != nil {
		return nil, err
	}
	got.Options.Policy, got.Options.Defects = x.Options.Policy, x.Options.Defects
	return got, nil
}

// randomStart returns a random start time for a fault of the given length, in whole
// milliseconds.
func (h *hunter) randomStart(length time.Duration) tomlfile.Duration {
	warm, end := h.base.File.WarmUp.Duration, h.base.File.Duration.Duration
	span := max(time.Second, end-warm-length)
	return tomlfile.Duration{Duration: (warm + time.Duration(h.rng.Float64()*float64(span))).Round(time.Millisecond)}
}

func (h *hunter) randomFault() Fault {
	f := Fault{Kind: sim.Faults[h.rng.IntN(len(sim.Faults))]}
	f.Duration.Duration = time.Duration(h.rng.Float64() * float64(h.base.File.Duration.Duration) / 3).Round(time.Millisecond)
	f.At = h.randomStart(f.Duration.Duration)
	switch f.Kind {
	case "slow":
		f.Amount = 2 + 10*h.rng.Float64()
	case "fail":
		f.Amount = 0.2 + 0.8*h.rng.Float64()
	case "flap":
		f.Amount = 0.1 + h.rng.Float64()
	}
	randomSubset := func(count int) []int { // up to a third of them, at least one
		indexes := h.rng.Perm(count)[:1+h.rng.IntN((count+2)/3)]
		slices.Sort(indexes)
		return indexes
	}
	switch {
	case f.Kind == "node-crash":
		f.Nodes = randomSubset(h.base.Options.Nodes)
	case !sim.AffectsDiscovery(f.Kind):
		f.Servers = randomSubset(len(h.base.Options.Servers))
	}
	return f
}

// shrink tries smaller files for as long as one of them reproduces the failure: the same
// rule violated, or nearly as small a share served.
func (h *hunter) shrink(ctx context.Context, x *Experiment, r Run, progress func(string)) (*Experiment, Run, error) {
	original := r
	reproduced := func(got Run) bool {
		if len(original.Results.Broken) > 0 {
			for rule := range original.Results.Broken {
				if got.Results.Broken[rule] > 0 {
					return true
				}
			}
			return false
		}
		return got.Results.Counted > 0 && 1-got.Share >= minLossShare*(1-original.Share)
	}
	seed := r.Seed
	for tries, reduced := 0, true; reduced; {
		reduced = false
		for _, file := range smallerFiles(x.File, len(original.Results.Broken) > 0) {
			if tries++; tries > maxShrinkRuns {
				progress(fmt.Sprintf("shrinking stopped after %d runs", maxShrinkRuns))
				reduced = false
				break
			}
			if err := ctx.Err(); err != nil {
				return nil, Run{}, err
			}
			c, err := x.withFile(file)
			if err != nil {
				continue // a fault refers to a server or node that was removed
			}
			if got, err := c.runSeed(seed); err == nil && reproduced(got) {
				x, r, reduced = c, got, true
				break
			}
		}
	}
	x.File.Found = &Found{Seed: seed, Digest: r.Results.Digest, Failure: describeRun(r)}
	x.File.Description = fmt.Sprintf("Found by a hunt: %s.", x.File.Found.Failure)
	progress(fmt.Sprintf("shrunk to %d faults, %d servers, %d nodes, %v of %.0f requests a second: %s", len(x.File.Fault), x.File.Fleet.Servers,
		x.File.Fleet.Nodes, x.File.Duration, x.File.Load.Rate, describeRun(r)))
	return x, r, nil
}

// smallerFiles returns files reduced by one step, the largest steps first: fewer or shorter
// faults, and if whole is set also a smaller fleet, load and duration. Without a violated
// rule, a run with fewer servers would fail for another reason.
func smallerFiles(f File, whole bool) []File {
	var files []File
	add := func(change func(*File)) {
		smaller := f
		smaller.Fault = slices.Clone(f.Fault)
		change(&smaller)
		files = append(files, smaller)
	}
	if n := len(f.Fault); n > 1 {
		add(func(s *File) { s.Fault = s.Fault[:n/2] })
		add(func(s *File) { s.Fault = s.Fault[n/2:] })
	}
	for i := range f.Fault {
		add(func(s *File) { s.Fault = slices.Delete(s.Fault, i, i+1) })
	}
	for i, g := range f.Fault {
		for j := range g.Servers {
			if len(g.Servers) > 1 {
				add(func(s *File) { s.Fault[i].Servers = slices.Delete(slices.Clone(g.Servers), j, j+1) })
			}
		}
		if g.Duration.Duration > 200*time.Millisecond {
			add(func(s *File) { s.Fault[i].Duration.Duration = (g.Duration.Duration / 2).Round(time.Millisecond) })
		}
	}
	if !whole {
		return files
	}
	if shortest := f.WarmUp.Duration + time.Second; f.Duration.Duration > shortest {
		end := shortest
		for _, g := range f.Fault {
			end = max(end, g.At.Duration+g.Duration.Duration+time.Second)
		}
		for _, d := range []time.Duration{f.Duration.Duration / 2, end, f.Duration.Duration - time.Second} {
			if d >= shortest && d < f.Duration.Duration {
				add(func(s *File) { s.Duration.Duration = d.Round(time.Millisecond) })
			}
		}
	}
	halve := func(n int, set func(*File, int)) {
		for _, fewer := range []int{n / 2, n - 1} {
			if fewer >= 1 && fewer < n {
				add(func(s *File) { set(s, fewer) })
			}
		}
	}
	halve(f.Fleet.Nodes, func(s *File, n int) { s.Fleet.Nodes = n })
	halve(f.Fleet.Servers, func(s *File, n int) { s.Fleet.Servers = n; s.Fleet.Zones = min(s.Fleet.Zones, n) })
	if f.Load.Rate > 2 {
		add(func(s *File) { s.Load.Rate = math.Ceil(f.Load.Rate / 2) })
	}
	if f.Load.Tenants > 1 || f.Load.Keys > 0 || f.Load.Bursts || len(f.Load.Curve) > 0 || f.Load.RetryImmediately > 0 || f.Load.Impatient > 0 {
		add(func(s *File) {
			s.Load.Tenants, s.Load.Keys, s.Load.Bursts, s.Load.Curve, s.Load.RetryImmediately, s.Load.Impatient = 1, 0, false, nil, 0, 0
		})
	}
	return files
}

// Marshal returns the experiment's file as TOML.
func (x *Experiment) Marshal() ([]byte, error) {
	text, err := toml.Marshal(x.File)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return text, nil
}

// Replay repeats the run that a hunt found; a different result is an error.
func (x *Experiment) Replay() (Run, error) {
	f := x.File.Found
	if f == nil {
		return Run{}, fmt.Errorf("%s: no [found] section, so no hunt wrote this file; use run", x.path)
	}
	r, err := x.runSeed(f.Seed)
	if err != nil {
		return Run{}, err
	}
	if got := describeRun(r); r.Results.Digest != f.Digest || !strings.HasPrefix(f.Failure, got) {
		return r, fmt.Errorf("%s: the hunt found %s (digest %s), the replay gave %s (digest %s): another build, or no longer reproducible", x.path, f.Failure, f.Digest, got, r.Results.Digest)
	}
	return r, nil
}
