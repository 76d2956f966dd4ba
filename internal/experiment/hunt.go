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

// Bounds of a hunt.
const (
	huntFaults  = 5   // drawn for a candidate at most, beside the file's
	shrinkTries = 400 // runs that shrinking takes at most
	lossKept    = 0.8 // of what the worst run did not serve
)

// Hunt looks for a run in which a rule breaks, or else for the one that serves least:
// tries candidates, each with a seed of its own, with the file's faults in other orders
// and further ones. What it finds it shrinks to a file as small as still shows it (after
// Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002): fewer
// and shorter faults, fewer servers and nodes, less load. It tells of its progress.
func (x *Experiment) Hunt(ctx context.Context, seed uint64, tries int, progress func(string)) (*Experiment, Run, error) {
	h := hunt{base: x, rng: sim.Stream(seed, "hunt")}
	worst, found := Run{Share: math.Inf(1)}, (*Experiment)(nil)
	for n := range tries {
		if err := ctx.Err(); err != nil {
			return nil, Run{}, err
		}
		c, err := h.candidate()
		if err != nil {
			return nil, Run{}, err
		}
		r, err := c.play(seed + uint64(n))
		if err != nil {
			return nil, Run{}, err
		}
		broke := len(r.Results.Broken) > 0
		if broke || r.Share < worst.Share {
			worst, found = r, c
			progress(fmt.Sprintf("try %d: %s", n+1, describe(r)))
		}
		if broke {
			break
		}
	}
	if found == nil {
		return nil, Run{}, errors.New("hunt: no run came to an end")
	}
	return h.shrink(ctx, found, worst, progress)
}

// describe says what is the matter with a run.
func describe(r Run) string {
	if len(r.Results.Broken) > 0 {
		return "a rule broke: " + r.Results.First
	}
	return fmt.Sprintf("%.4f served within the aim", r.Share)
}

type hunt struct {
	base *Experiment
	rng  *rand.Rand
}

// candidate draws one.
func (h *hunt) candidate() (*Experiment, error) {
	file := h.base.File
	file.Fault = nil
	for _, f := range h.base.File.Fault {
		switch h.rng.IntN(3) {
		case 0:
			continue
		case 1:
			f.At = h.when(f.For.Duration)
		}
		file.Fault = append(file.Fault, f)
	}
	for range 1 + h.rng.IntN(huntFaults) {
		file.Fault = append(file.Fault, h.fault())
	}
	slices.SortStableFunc(file.Fault, func(a, b Fault) int { return int(a.At.Duration - b.At.Duration) })
	return h.base.with(file)
}

// with gives the experiment with another file.
func (x *Experiment) with(file File) (*Experiment, error) {
	text, err := toml.Marshal(file)
	if err != nil {
		return nil, fmt.Errorf("hunt: %w", err)
	}
	got, err := parse(x.path, text)
	if err != nil {
		return nil, err
	}
	got.Options.Policy, got.Options.Defects = x.Options.Policy, x.Options.Defects
	return got, nil
}

// when draws a time at which something of a length begins, in whole milliseconds.
func (h *hunt) when(length time.Duration) tomlfile.Duration {
	warm, end := h.base.File.Warm.Duration, h.base.File.For.Duration
	room := max(time.Second, end-warm-length)
	return tomlfile.Duration{Duration: (warm + time.Duration(h.rng.Float64()*float64(room))).Round(time.Millisecond)}
}

func (h *hunt) fault() Fault {
	f := Fault{What: sim.Faults[h.rng.IntN(len(sim.Faults))]}
	f.For.Duration = time.Duration(h.rng.Float64() * float64(h.base.File.For.Duration) / 3).Round(time.Millisecond)
	f.At = h.when(f.For.Duration)
	switch f.What {
	case "slow":
		f.Amount = 2 + 10*h.rng.Float64()
	case "fail":
		f.Amount = 0.2 + 0.8*h.rng.Float64()
	case "flap":
		f.Amount = 0.1 + h.rng.Float64()
	}
	some := func(most int) []int { // up to a third, at least one
		all := h.rng.Perm(most)[:1+h.rng.IntN((most+2)/3)]
		slices.Sort(all)
		return all
	}
	switch {
	case f.What == "node-crash":
		f.Nodes = some(h.base.Options.Nodes)
	case !sim.AffectsDiscovery(f.What):
		f.Servers = some(len(h.base.Options.Servers))
	}
	return f
}

// shrink tries smaller files for as long as one of them shows the same: the same rule
// broken, or nearly as little served.
func (h *hunt) shrink(ctx context.Context, x *Experiment, r Run, progress func(string)) (*Experiment, Run, error) {
	first := r
	same := func(got Run) bool {
		if len(first.Results.Broken) > 0 {
			for rule := range first.Results.Broken {
				if got.Results.Broken[rule] > 0 {
					return true
				}
			}
			return false
		}
		return got.Results.Counted > 0 && 1-got.Share >= lossKept*(1-first.Share)
	}
	seed := r.Seed
	for tries, smaller := 0, true; smaller; {
		smaller = false
		for _, file := range reductions(x.File, len(first.Results.Broken) > 0) {
			if tries++; tries > shrinkTries {
				progress(fmt.Sprintf("shrinking ends after %d runs", shrinkTries))
				smaller = false
				break
			}
			if err := ctx.Err(); err != nil {
				return nil, Run{}, err
			}
			c, err := x.with(file)
			if err != nil {
				continue // a fault names what is no longer there
			}
			if got, err := c.play(seed); err == nil && same(got) {
				x, r, smaller = c, got, true
				break
			}
		}
	}
	x.File.Found = &Found{Seed: seed, Digest: r.Results.Digest, Failed: describe(r)}
	x.File.About = fmt.Sprintf("Found by a hunt: %s.", x.File.Found.Failed)
	progress(fmt.Sprintf("shrunk to %d faults, %d servers, %d nodes, %v of %.0f requests a second: %s", len(x.File.Fault), x.File.Fleet.Servers,
		x.File.Fleet.Nodes, x.File.For, x.File.Load.Rate, describe(r)))
	return x, r, nil
}

// reductions gives files that are one step smaller, the greatest steps first: in its
// faults, and if whole in fleet, load and length too. A run that is bad, but breaks no
// rule, would only become another one with fewer servers.
func reductions(f File, whole bool) []File {
	var all []File
	add := func(change func(*File)) {
		smaller := f
		smaller.Fault = slices.Clone(f.Fault)
		change(&smaller)
		all = append(all, smaller)
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
		if g.For.Duration > 200*time.Millisecond {
			add(func(s *File) { s.Fault[i].For.Duration = (g.For.Duration / 2).Round(time.Millisecond) })
		}
	}
	if !whole {
		return all
	}
	if last := f.Warm.Duration + time.Second; f.For.Duration > last {
		end := last
		for _, g := range f.Fault {
			end = max(end, g.At.Duration+g.For.Duration+time.Second)
		}
		for _, d := range []time.Duration{f.For.Duration / 2, end, f.For.Duration - time.Second} {
			if d >= last && d < f.For.Duration {
				add(func(s *File) { s.For.Duration = d.Round(time.Millisecond) })
			}
		}
	}
	halve := func(n int, set func(*File, int)) {
		for _, less := range []int{n / 2, n - 1} {
			if less >= 1 && less < n {
				add(func(s *File) { set(s, less) })
			}
		}
	}
	halve(f.Fleet.Nodes, func(s *File, n int) { s.Fleet.Nodes = n })
	halve(f.Fleet.Servers, func(s *File, n int) { s.Fleet.Servers = n; s.Fleet.Zones = min(s.Fleet.Zones, n) })
	if f.Load.Rate > 2 {
		add(func(s *File) { s.Load.Rate = math.Ceil(f.Load.Rate / 2) })
	}
	if f.Load.Tenants > 1 || f.Load.Keys > 0 || f.Load.Bursts || len(f.Load.Curve) > 0 || f.Load.Rash > 0 || f.Load.Impatient > 0 {
		add(func(s *File) {
			s.Load.Tenants, s.Load.Keys, s.Load.Bursts, s.Load.Curve, s.Load.Rash, s.Load.Impatient = 1, 0, false, nil, 0, 0
		})
	}
	return all
}

// Text writes the experiment as a file.
func (x *Experiment) Text() ([]byte, error) {
	text, err := toml.Marshal(x.File)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return text, nil
}

// Replay plays a find again. It is an error if it comes out otherwise than it was found.
func (x *Experiment) Replay() (Run, error) {
	f := x.File.Found
	if f == nil {
		return Run{}, fmt.Errorf("%s: no [found]: not a hunt's find, use run", x.path)
	}
	r, err := x.play(f.Seed)
	if err != nil {
		return Run{}, err
	}
	if got := describe(r); r.Results.Digest != f.Digest || !strings.HasPrefix(f.Failed, got) {
		return r, fmt.Errorf("%s: found was %s (digest %s), now %s (digest %s): another build, or no longer so", x.path, f.Failed, f.Digest, got, r.Results.Digest)
	}
	return r, nil
}
