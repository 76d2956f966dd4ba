// Package standin provides stand-ins for a node's surroundings: discovery, app boxes and
// clients, all on loopback, with faults on command and a Ledger that checks the four rules
// from outside. It is used by tests and cmd/otterlab only, never in production.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Target is an entry of discovery's list.
type Target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	AZ           string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int     `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"`
}

// The states of a target.
const (
	InService   = "in_service"
	Terminating = "terminating"
	Terminated  = "terminated"
)

const (
	// maxHistory bounds the changes that discovery remembers; a watch from an earlier
	// version gets the whole list.
	maxHistory = 256
	maxWatch   = 60 * time.Second
	// assumedDelivery is the time after which a change counts as delivered even if it was not.
	assumedDelivery = 6 * time.Second
	// queueTimeout is how long a call may wait for its turn at a shared outlet.
	queueTimeout = 2 * time.Second
)

type change struct {
	rev    int64
	target Target
	at     time.Time
}

// Discovery holds one list of servers. Nodes reach it through outlets: one for each node
// where lists are pushed (by the agent on the node's machine), and a single one, shared by
// all nodes, where nodes ask discovery itself.
type Discovery struct {
	mu          sync.Mutex
	rev         int64
	targets     map[string]Target // without terminated ones
	history     []change          // the latest maxHistory changes
	changed     chan struct{}     // closed and replaced at each change
	down        bool
	answerOneIn int // one call in this many is answered; 0: all
	calls       int
	outlets     []*Outlet
}

// NewDiscovery returns a Discovery with an empty list.
func NewDiscovery() *Discovery {
	return &Discovery{targets: map[string]Target{}, changed: make(chan struct{})}
}

// Set adds or changes a target; one that is Terminated is removed from the list.
func (d *Discovery) Set(t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rev++
	if t.State == Terminated {
		delete(d.targets, t.UID)
	} else {
		d.targets[t.UID] = t
	}
	d.history = append(d.history, change{d.rev, t, time.Now()})
	if extra := len(d.history) - maxHistory; extra > 0 {
		d.history = slices.Delete(d.history, 0, extra)
	}
	d.notifyWatches()
}

// SetDown makes discovery fail or work again. Watches at a shared outlet end when it goes down.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notifyWatches()
}

// RejectAllButOneIn makes discovery answer one call in so many and reject the others as busy; 0 ends that.
func (d *Discovery) RejectAllButOneIn(one int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answerOneIn = one
}

// rejectsCall counts a call and reports whether RejectAllButOneIn has it rejected.
func (d *Discovery) rejectsCall() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return d.answerOneIn > 0 && d.calls%d.answerOneIn != 0
}

// notifyWatches wakes all waiting watches. The caller holds d.mu.
func (d *Discovery) notifyWatches() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Targets returns the current list, sorted by UID.
func (d *Discovery) Targets() []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sorted()
}

// sorted returns the targets sorted by UID. The caller holds d.mu.
func (d *Discovery) sorted() []Target {
	list := make([]Target, 0, len(d.targets))
	for _, uid := range slices.Sorted(maps.Keys(d.targets)) {
		list = append(list, d.targets[uid])
	}
	return list
}

type listResponse struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// changesSince returns the changes after a version, or the whole list if the history does
// not reach back to it. The caller holds d.mu.
func (d *Discovery) changesSince(rev int64) listResponse {
	if rev > d.rev || rev < d.rev-int64(len(d.history)) {
		return listResponse{d.rev, true, d.sorted()}
	}
	a := listResponse{Rev: d.rev, Targets: []Target{}}
	seen := map[string]bool{}
	for _, c := range slices.Backward(d.history) {
		if c.rev > rev && !seen[c.target.UID] {
			seen[c.target.UID] = true
			a.Targets = append(a.Targets, c.target)
		}
	}
	return a
}

// DeliveredToAll returns the time since which every outlet counts as having delivered that a target
// is no longer in service; false if it is in service or the change is not in the history. An
// outlet that has not delivered it counts as of assumedDelivery after the change.
func (d *Discovery) DeliveredToAll(uid string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t, listed := d.targets[uid]; listed && t.State == InService {
		return time.Time{}, false
	}
	// left is the change since which the target has been out of service without a break.
	var left *change
	in := true
	for i := range d.history {
		c := &d.history[i]
		if c.target.UID != uid {
			continue
		}
		if was := in; was && c.target.State != InService {
			left = c
		}
		in = c.target.State == InService
	}
	if left == nil {
		return time.Time{}, false
	}
	latest := left.at
	for _, o := range d.outlets {
		delivered, ok := o.deliveredAt(left.rev)
		if !ok {
			delivered = left.at.Add(assumedDelivery)
		}
		if delivered.After(latest) {
			latest = delivered
		}
	}
	return latest, true
}

// Outlet is an HTTP address at which nodes reach discovery.
type Outlet struct {
	discovery   *Discovery
	server      *http.Server
	addr        string
	slot        chan struct{} // holds the call being served; nil where lists are pushed
	serviceTime time.Duration
	// Calls counts the calls received, also while discovery is down.
	Calls Peak

	mu         sync.Mutex
	deliveries []delivery // versions with the time of their first delivery; the latest maxHistory
}

type delivery struct {
	rev int64
	at  time.Time
}

// NewPushOutlet opens the outlet of one node. It answers without queueing, and not at all while
// discovery is down.
func (d *Discovery) NewPushOutlet() (*Outlet, error) { return d.outlet(nil, 0) }

// NewSharedOutlet opens the outlet that all nodes share. It serves calls one at a time, each taking
// service, and fails those that waited for two seconds, and all while discovery is down.
func (d *Discovery) NewSharedOutlet(service time.Duration) (*Outlet, error) {
	return d.outlet(make(chan struct{}, 1), service)
}

func (d *Discovery) outlet(turns chan struct{}, service time.Duration) (*Outlet, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	o := &Outlet{discovery: d, addr: l.Addr().String(), slot: turns, serviceTime: service}
	o.server = &http.Server{Handler: o, ReadHeaderTimeout: 5 * time.Second}
	d.mu.Lock()
	d.outlets = append(d.outlets, o)
	d.mu.Unlock()
	go o.server.Serve(l)
	return o, nil
}

// Addr returns the address on which it listens.
func (o *Outlet) Addr() string { return o.addr }

// Close closes the outlet and its watches.
func (o *Outlet) Close() {
	d := o.discovery
	d.mu.Lock()
	d.outlets = slices.DeleteFunc(d.outlets, func(x *Outlet) bool { return x == o })
	d.mu.Unlock()
	o.server.Close()
}

// deliveredAt returns when a version, or a later one, was first delivered.
func (o *Outlet) deliveredAt(rev int64) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range o.deliveries {
		if t.rev >= rev {
			return t.at, true
		}
	}
	return time.Time{}, false
}

func (o *Outlet) recordDelivery(rev int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.deliveries); n > 0 && o.deliveries[n-1].rev >= rev {
		return
	}
	if len(o.deliveries) == maxHistory {
		o.deliveries = slices.Delete(o.deliveries, 0, 1)
	}
	o.deliveries = append(o.deliveries, delivery{rev, time.Now()})
}

// ServeHTTP answers calls for the list and watches of it.
func (o *Outlet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/discovery/hosts" {
		http.NotFound(w, r)
		return
	}
	o.Calls.Add()
	query := r.URL.Query()
	since, wait := int64(-1), time.Duration(0)
	if text := query.Get("since"); text != "" {
		rev, err := strconv.ParseInt(text, 10, 64)
		ms, err2 := strconv.ParseInt(query.Get("timeout_ms"), 10, 64)
		if err != nil || err2 != nil || rev < 0 || ms < 0 {
			http.Error(w, "since or timeout_ms: no whole number", http.StatusBadRequest)
			return
		}
		since, wait = rev, min(time.Duration(ms)*time.Millisecond, maxWatch)
	}
	if o.discovery.rejectsCall() || !o.awaitTurn(r.Context()) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	a, ok := o.awaitChange(r.Context(), since, wait)
	if !ok {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	text, err := json.Marshal(a)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err == nil {
		o.recordDelivery(a.Rev)
	}
}

// awaitTurn waits for a call's turn at a shared outlet and takes the time of its service; it returns
// false if the call gave up or its time ran out.
func (o *Outlet) awaitTurn(ctx context.Context) bool {
	if o.slot == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	select {
	case o.slot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-o.slot }()
	select {
	case <-time.After(o.serviceTime):
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitChange waits until there is a change after since, or for maxWait; it returns false if the call is
// to fail.
func (o *Outlet) awaitChange(ctx context.Context, since int64, maxWait time.Duration) (listResponse, bool) {
	d := o.discovery
	expired := time.After(maxWait)
	timedOut := false
	for {
		d.mu.Lock()
		a, down, changed := d.changesSince(since), d.down, d.changed
		d.mu.Unlock()
		switch {
		case down && o.slot != nil:
			return listResponse{}, false
		case !down && (since < 0 || a.Rev > since || a.All || timedOut):
			if since < 0 {
				a.All = true
			}
			return a, true
		}
		select {
		case <-changed:
		case <-expired:
			timedOut, expired = true, nil
		case <-ctx.Done():
			return listResponse{}, false
		}
	}
}
