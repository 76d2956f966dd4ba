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
	probeInterval     = 40 * time.Millisecond  // per node, so that each node always has requests to send
	sampleInterval    = 200 * time.Millisecond // of the status shown to operators
	maxArrivals       = 500_000
	maxClaims         = 100_000
	desiredStateBoxes = 8 // the default budget lets two of them be banned
)

// stateObserver changes the desired state of a fleet and records what boxes, nodes and operators see of the changes.
type stateObserver struct {
	lab        *Lab
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu          sync.Mutex
	arrivals    []faults.Arrival
	claims      []faults.Claim
	agreedAt    map[uint64]time.Time
	changeCount int
	stopped     []*proc.Process // node processes under SIGSTOP
}

// newStateObserver returns an observer and changes the fleet's options so that boxes report arriving requests to it.
// The observer's start is called once the fleet runs.
func newStateObserver(opt *Options) *stateObserver {
	w := &stateObserver{agreedAt: map[uint64]time.Time{}, stop: func() {}}
	shape := opt.AdjustBox
	opt.AdjustBox = func(i int, o *standin.BoxOptions) {
		if shape != nil {
			shape(i, o)
		}
		box := o.UID
		o.OnArrival = func(id string, at time.Time) {
			node, _, _ := strings.Cut(id, ".")
			w.mu.Lock()
			defer w.mu.Unlock()
			if len(w.arrivals) < maxArrivals {
				w.arrivals = append(w.arrivals, faults.Arrival{Node: node, Box: box, At: at})
			}
		}
	}
	return w
}

// start sends requests to each node and samples the status shown to operators until close.
func (w *stateObserver) start(l *Lab) {
	w.lab = l
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	for _, i := range l.Instances {
		w.goroutines.Go(func() { w.probe(ctx, i) })
	}
	w.goroutines.Go(func() { w.sample(ctx) })
}

// waitForServerCount waits until the council knows the number of boxes.
func (w *stateObserver) waitForServerCount(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if v, err := w.lab.Fleet.Desired(limit); err == nil && v.Current && v.State.Servers == len(w.lab.Boxes) {
			return nil
		}
		select {
		case <-limit.Done():
			return fmt.Errorf("lab: council does not know the number of boxes: %w", limit.Err())
		case <-time.After(pollInterval):
		}
	}
}

func (w *stateObserver) close() {
	w.stop()
	w.goroutines.Wait()
}

// probe sends safe requests to a node until ctx ends and ignores the answers.
func (w *stateObserver) probe(ctx context.Context, i Instance) {
	client := http.Client{Transport: &http.Transport{}, Timeout: 1500 * time.Millisecond}
	defer client.CloseIdleConnections()
	every := time.NewTicker(probeInterval)
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

// sample records what otterctl status would show, at intervals until ctx ends.
func (w *stateObserver) sample(ctx context.Context) {
	every := time.NewTicker(sampleInterval)
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

// sampleOnce records, as claims, the versions that otterctl status shows now.
func (w *stateObserver) sampleOnce(ctx context.Context) {
	requestedAt := time.Now()
	_, byAgent := w.lab.Fleet.VersionStatus(ctx, 0)
	answeredAt := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for agent, f := range byAgent {
		for _, t := range f.Instances {
			if t.Running && t.Version > 0 && len(w.claims) < maxClaims {
				w.claims = append(w.claims, faults.Claim{Node: agent + "/" + t.Instance, Version: uint64(t.Version), Asked: requestedAt, Answer: answeredAt})
			}
		}
	}
}

// submitChange submits a change of the current desired state as an operator does. It does not retry if the change is
// refused or no answer arrives.
func (w *stateObserver) submitChange(ctx context.Context, newChange func(s *desired.State) *desired.Change) {
	limit, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	v, err := w.lab.Fleet.Desired(limit)
	if err != nil || !v.Current {
		return
	}
	c := newChange(v.State)
	if c == nil {
		return
	}
	w.mu.Lock()
	w.changeCount++
	c.ID = protocol.NewID(time.Now(), uint64(w.changeCount))
	w.mu.Unlock()
	c.BasedOn, c.At, c.By = v.State.Document.Version, time.Now(), "campaign"
	version, err := w.lab.Fleet.Change(limit, *c)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.agreedAt[uint64(version)]; !known {
		w.agreedAt[uint64(version)] = time.Now()
	}
}

func banChange(server string, duration time.Duration) func(*desired.State) *desired.Change {
	return func(*desired.State) *desired.Change {
		return &desired.Change{Set: &desired.Patch{Bans: map[string]*desired.Ban{server: {Server: server, Reason: "drawn", Duration: duration}}}}
	}
}

// unbanChange removes the n-th of the current bans, modulo their number.
func unbanChange(n int) func(*desired.State) *desired.Change {
	return func(s *desired.State) *desired.Change {
		all := slices.Sorted(maps.Keys(s.Document.Bans))
		if len(all) == 0 {
			return nil
		}
		return &desired.Change{Set: &desired.Patch{Bans: map[string]*desired.Ban{all[n%len(all)]: nil}}}
	}
}

func undoChange(s *desired.State) *desired.Change {
	if len(s.History) == 0 {
		return nil
	}
	return &desired.Change{Undo: s.History[len(s.History)-1].Version}
}

// inject injects a fault of the desired state or of a node. It returns false for all other faults.
func (w *stateObserver) inject(ctx context.Context, f faults.Fault) (heal func() error, handled bool) {
	server := fmt.Sprint("s", f.Box+1)
	switch f.Kind {
	case faults.Ban:
		w.submitChange(ctx, banChange(server, f.For))
	case faults.Unban:
		w.submitChange(ctx, unbanChange(f.Box))
	case faults.Undo:
		w.submitChange(ctx, undoChange)
	case faults.NodeKill:
		if p := w.nodeProcess(f.Node); p != nil {
			_ = p.Signal(syscall.SIGKILL) // fails if the process has ended
			p.Release()
		}
	case faults.NodeStop:
		p := w.nodeProcess(f.Node)
		if p == nil {
			break
		}
		_ = p.Signal(syscall.SIGSTOP) // fails if the process has ended
		w.stopped = append(w.stopped, p)
		return func() error { _ = p.Signal(syscall.SIGCONT); return nil }, true
	default:
		return nil, false
	}
	return nil, true
}

// nodeProcess returns the process of a node, nil if it is not running.
func (w *stateObserver) nodeProcess(n int) *proc.Process {
	p, err := proc.Adopt(w.lab.Instances[n].RunFile)
	if err != nil {
		return nil
	}
	return p
}

// resumeNodes sends SIGCONT to all stopped nodes.
func (w *stateObserver) resumeNodes() {
	for _, p := range w.stopped {
		_ = p.Signal(syscall.SIGCONT) // fails if the process has ended
		p.Release()
	}
	w.stopped = nil
}

// waitForConvergence waits until all nodes have confirmed the latest version and no ban is left to expire. It returns
// the state, and what is missing when ctx ends.
func (w *stateObserver) waitForConvergence(ctx context.Context) (state *desired.State, missing string) {
	for {
		v, err := w.lab.Fleet.Desired(ctx)
		switch {
		case err != nil || !v.Current:
			missing = fmt.Sprintf("no current answer from the council: %v", err)
		default:
			state, missing = v.State, ""
			for id, b := range v.State.Document.Bans {
				if b.Duration > 0 {
					missing = fmt.Sprintf("the ban of %s has not expired", id)
				}
			}
			if st, _ := w.lab.Fleet.VersionStatus(ctx, v.State.Document.Version); len(st.Unconfirmed) > 0 {
				missing = fmt.Sprintf("%+v", st)
			}
		}
		if missing == "" {
			return state, ""
		}
		select {
		case <-ctx.Done():
			return state, missing
		case <-time.After(pollInterval):
		}
	}
}

// check checks logs and observations against the state's history. The history has to have every version; if some were
// dropped from it, that is reported as a violation.
func (w *stateObserver) check(state *desired.State) ([]string, int, error) {
	words := faults.BanEvidence{Logs: w.lab.Files().Logs, Banned: map[uint64][]string{}}
	w.mu.Lock()
	words.Arrivals, words.Claims, words.Agreed = w.arrivals, w.claims, w.agreedAt
	w.mu.Unlock()
	banned := map[string]bool{}
	for _, e := range state.History {
		for id, b := range e.After.Bans {
			banned[id] = b != nil
		}
		for id, isBanned := range banned {
			if isBanned {
				words.Banned[uint64(e.Version)] = append(words.Banned[uint64(e.Version)], id)
			}
		}
	}
	broken, lives, err := faults.CheckBans(words)
	if state.Floor > 0 {
		broken = append(broken, "the history does not reach back to the first change: cannot check")
	}
	return broken, lives, err
}
