package lab

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"otterstep/internal/fleet/desired"
	"otterstep/internal/fleet/proc"
	"otterstep/internal/fleet/protocol"
	"otterstep/internal/standin"
	"otterstep/internal/standin/faults"
)

const (
	probeEvery   = 40 * time.Millisecond  // of each node, so that it has something to send
	sampleEvery  = 200 * time.Millisecond // of what operators are told
	arrivalsMost = 500_000
	claimsMost   = 100_000
	wordBoxes    = 8 // of which two may be out
)

// wordPlay watches what becomes of the fleet's word.
type wordPlay struct {
	lab  *Lab
	stop context.CancelFunc
	work sync.WaitGroup

	mu       sync.Mutex
	arrivals []faults.Arrival
	claims   []faults.Claim
	agreed   map[uint64]time.Time
	changes  int
	stopped  []*proc.Process // nodes
}

// watchWords prepares a fleet's options for it; begin is called with the fleet.
func watchWords(opt *Options) *wordPlay {
	w := &wordPlay{agreed: map[uint64]time.Time{}, stop: func() {}}
	shape := opt.Shape
	opt.Shape = func(i int, o *standin.BoxOptions) {
		if shape != nil {
			shape(i, o)
		}
		box := o.UID
		o.Arrived = func(id string, at time.Time) {
			node, _, _ := strings.Cut(id, ".")
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.arrivals) < arrivalsMost {
				w.arrivals = append(w.arrivals, faults.Arrival{Node: node, Box: box, At: at})
			}
		}
	}
	return w
}

// begin has each node be asked something, and looks at what operators are told, until end.
func (w *wordPlay) begin(l *Lab) {
	w.lab = l
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	for _, i := range l.Instances {
		w.work.Go(func() { w.probe(ctx, i) })
	}
	w.work.Go(func() { w.sample(ctx) })
}

// counted waits until the council knows how many boxes there are.
func (w *wordPlay) counted(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	for {
		if v, err := w.lab.Fleet.Desired(limit); err == nil && v.Current && v.State.Servers == len(w.lab.Boxes) {
			return nil
		}
		select {
		case <-limit.Done():
			return fmt.Errorf("lab: the council does not know the boxes: %w", limit.Err())
		case <-time.After(pollEvery):
		}
	}
}

func (w *wordPlay) end() {
	w.stop()
	w.work.Wait()
}

// probe asks a node for something safe again and again; what it answers does not matter here.
func (w *wordPlay) probe(ctx context.Context, i Instance) {
	client := http.Client{Transport: &http.Transport{}, Timeout: 1500 * time.Millisecond}
	defer client.CloseIdleConnections()
	every := time.NewTicker(probeEvery)
	defer every.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/avail-read/k%d", i.Addr, n%50), nil)
		if err != nil {
			return
		}
		r.Header.Set("X-Correlation-Id", fmt.Sprintf("%s.%d", i.Name, n))
		r.Header.Set("X-Service-Class", "avail-read")
		r.Header.Set("X-Account", tenants[0])
		r.Header.Set("X-Time-Left", "1.200")
		if resp, err := client.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
}

// sample looks at what otterctl status would say until ctx ends.
func (w *wordPlay) sample(ctx context.Context) {
	every := time.NewTicker(sampleEvery)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		w.sampleOnce(ctx)
	}
}

// sampleOnce records as claims the versions that otterctl status shows now.
func (w *wordPlay) sampleOnce(ctx context.Context) {
	asked := time.Now()
	_, told := w.lab.Fleet.Standing(ctx, 0)
	answer := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for agent, f := range told {
		for _, t := range f.Instances {
			if t.Runs && t.Version > 0 && len(w.claims) < claimsMost {
				w.claims = append(w.claims, faults.Claim{Node: agent + "/" + t.Instance, Version: uint64(t.Version), Asked: asked, Answer: answer})
			}
		}
	}
}

// change makes an operator's change of what is there now; one that is refused, or of which no answer comes, is
// the operator's to repeat.
func (w *wordPlay) change(ctx context.Context, make func(s *desired.State) *desired.Change) {
	limit, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	v, err := w.lab.Fleet.Desired(limit)
	if err != nil || !v.Current {
		return
	}
	c := make(v.State)
	if c == nil {
		return
	}
	w.mu.Lock()
	w.changes++
	c.ID = protocol.NewID(time.Now(), uint64(w.changes))
	w.mu.Unlock()
	c.Saw, c.At, c.By = v.State.Document.Version, time.Now(), "campaign"
	version, err := w.lab.Fleet.Change(limit, *c)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.agreed[uint64(version)]; !known {
		w.agreed[uint64(version)] = time.Now()
	}
}

func banOf(server string, last time.Duration) func(*desired.State) *desired.Change {
	return func(*desired.State) *desired.Change {
		return &desired.Change{Set: &desired.Part{Bans: map[string]*desired.Ban{server: {Server: server, Reason: "drawn", For: last}}}}
	}
}

// lift ends one of the bans that there are.
func lift(n int) func(*desired.State) *desired.Change {
	return func(s *desired.State) *desired.Change {
		all := slices.Sorted(maps.Keys(s.Document.Bans))
		if len(all) == 0 {
			return nil
		}
		return &desired.Change{Set: &desired.Part{Bans: map[string]*desired.Ban{all[n%len(all)]: nil}}}
	}
}

func undoLatest(s *desired.State) *desired.Change {
	if len(s.History) == 0 {
		return nil
	}
	return &desired.Change{Undo: s.History[len(s.History)-1].Version}
}

// play plays one fault of those that only this knows; false if it is none.
func (w *wordPlay) play(ctx context.Context, f faults.Fault) (heal func() error, mine bool) {
	server := fmt.Sprint("s", f.Box+1)
	switch f.Kind {
	case faults.Ban:
		w.change(ctx, banOf(server, f.For))
	case faults.Unban:
		w.change(ctx, lift(f.Box))
	case faults.Undo:
		w.change(ctx, undoLatest)
	case faults.NodeKill:
		if p := w.node(f.Node); p != nil {
			_ = p.Signal(syscall.SIGKILL) // it may have ended by itself
			p.Release()
		}
	case faults.NodeStop:
		p := w.node(f.Node)
		if p == nil {
			break
		}
		_ = p.Signal(syscall.SIGSTOP) // likewise
		w.stopped = append(w.stopped, p)
		return func() error { _ = p.Signal(syscall.SIGCONT); return nil }, true
	default:
		return nil, false
	}
	return nil, true
}

// node gives a node's process; nil if none runs.
func (w *wordPlay) node(n int) *proc.Process {
	p, err := proc.Adopt(w.lab.Instances[n].RunFile)
	if err != nil {
		return nil
	}
	return p
}

// heal wakes all nodes.
func (w *wordPlay) heal() {
	for _, p := range w.stopped {
		_ = p.Signal(syscall.SIGCONT) // it may be gone
		p.Release()
	}
	w.stopped = nil
}

// rest waits until all nodes have confirmed the latest version and nothing more changes by itself; it tells
// what is not so.
func (w *wordPlay) rest(ctx context.Context) (state *desired.State, open string) {
	for {
		v, err := w.lab.Fleet.Desired(ctx)
		switch {
		case err != nil || !v.Current:
			open = fmt.Sprintf("the council has no current word: %v", err)
		default:
			state, open = v.State, ""
			for id, b := range v.State.Document.Bans {
				if b.For > 0 {
					open = fmt.Sprintf("the ban of %s lasts on", id)
				}
			}
			if st, _ := w.lab.Fleet.Standing(ctx, v.State.Document.Version); len(st.Waiting) > 0 {
				open = fmt.Sprintf("%+v", st)
			}
		}
		if open == "" {
			return state, ""
		}
		select {
		case <-ctx.Done():
			return state, open
		case <-time.After(pollEvery):
		}
	}
}

// judge judges by what was written down. The history has every version, as there are fewer than it keeps.
func (w *wordPlay) judge(state *desired.State) ([]string, int, error) {
	words := faults.Words{Logs: w.lab.Files().Logs, Out: map[uint64][]string{}}
	w.mu.Lock()
	words.Arrivals, words.Claims, words.Agreed = w.arrivals, w.claims, w.agreed
	w.mu.Unlock()
	out := map[string]bool{}
	for _, e := range state.History {
		for id, b := range e.Is.Bans {
			out[id] = b != nil
		}
		for id, is := range out {
			if is {
				words.Out[uint64(e.Version)] = append(words.Out[uint64(e.Version)], id)
			}
		}
	}
	broken, lives, err := faults.CheckWords(words)
	if state.Floor > 0 {
		broken = append(broken, "more changes than are remembered: the judge can't tell")
	}
	return broken, lives, err
}
