package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/wire"
	"otterstep/policy"
)

const (
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 400 * time.Millisecond
	maxListSize     = 4 << 20 // maximum size of a list in bytes
	maxOlderAnswers = 3       // consecutive answers with an older version before the full list is requested
)

// callTimeouts are the timeouts for calls to discovery. A node is required to learn of a change within
// maxChangeDelay of discovery having it and being reachable, whatever happens to a call. If a watch does not
// answer, the limit is the watch's wait plus watchMargin, if that is later.
type callTimeouts struct {
	watchWait    time.Duration // how long discovery may hold a watch open when there are no changes
	watchTimeout time.Duration // timeout of a watch, after which it is reopened
	listTimeout  time.Duration // timeout of a call for the full list, which discovery answers at once
}

const (
	maxChangeDelay = 6 * time.Second
	watchMargin    = 2 * time.Second
)

// timeoutsFor returns the timeouts. An agent on the node's own machine answers immediately and cheaply, so its
// watches are short enough for a silent one to be detected within maxChangeDelay. A single service for all nodes
// processes calls one after the other, and each call costs it as much as many list entries. Its watches are as long
// as watchMargin permits, and calls that are still queued there do not count as unanswered.
func timeoutsFor(asked bool) callTimeouts {
	if asked {
		const wait = 10 * time.Second
		return callTimeouts{watchWait: wait, watchTimeout: wait + watchMargin/2, listTimeout: 5 * time.Second}
	}
	const watch = maxChangeDelay - 1500*time.Millisecond // leaves 1.5 s for the next call
	return callTimeouts{watchWait: watch - 500*time.Millisecond, watchTimeout: watch, listTimeout: time.Second}
}

// discovery keeps the list of servers up to date: it requests the full list once, then
// watches for changes since the last known version, so that none is missed between calls.
type discovery struct {
	addr      string
	onRequest bool // discovery is one service for all nodes; the decision module schedules retries
	zones     []string
	kinds     []string
	clock     core.Clock
	log       *slog.Logger
	// onList receives each list; endpoints[i] belongs to entries[i].
	onList func(kind policy.ListKind, entries []policy.Entry, endpoints []string)
	// onModelList receives the servers whose model is model, and members the others, if another
	// front has its own servers in the list. It is nil otherwise.
	onModelList func(kind policy.ListKind, entries []policy.Entry, endpoints []string)
	model       string
	// onTargets, if not nil, is called with all targets of an answer before members is.
	onTargets func(all bool, targets []target)
	// onVersion, if not nil, is called with the version of each answer after it was applied.
	onVersion func(rev int64)
	// onFirst is called once, after the first list was applied or the first call has failed
	// and the cached list is used instead.
	onFirst func()

	// withTimeout sets the timeout of a call: context.WithTimeout, except in tests.
	withTimeout func(context.Context, time.Duration) (context.Context, context.CancelFunc)

	client       http.Client
	requested    chan struct{} // the decision module requests a call
	newAddrs     chan string   // new addresses of discovery, from reloads
	firstCalled  bool          // first has been called
	rev          int64
	revKnown     bool // rev is from the present discovery service
	olderAnswers int  // consecutive answers with a version below rev
	cached       bool // a cached list is in use until the first call
	unconfirmed  bool // the entries being delivered are cached and unconfirmed
}

func newDiscovery(addr string, site wire.Site, c core.Clock, log *slog.Logger) *discovery {
	return &discovery{
		addr: addr, onRequest: site.Settings.ListWatched, zones: site.Zones, kinds: site.Kinds, clock: c, log: log,
		requested: make(chan struct{}, 1), newAddrs: make(chan string),
		withTimeout: context.WithTimeout,
		client:      http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// requestCall requests the next call after a failed one; it never blocks.
func (d *discovery) requestCall() {
	select {
	case d.requested <- struct{}{}:
	default:
	}
}

// run follows the list until ctx ends. When the address changes it starts over at the new
// one: the pending call is canceled, since a watch could wait for seconds at the old address,
// and the version is reset, since each service has its own version numbers.
func (d *discovery) run(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.follow(callCtx)
		}()
		var next string
		select {
		case next = <-d.newAddrs:
		case <-ctx.Done():
		}
		cancel()
		<-ended
		d.client.CloseIdleConnections()
		d.addr, d.rev, d.revKnown, d.olderAnswers = next, 0, false, 0
	}
}

// setAddress makes run continue at another address.
func (d *discovery) setAddress(ctx context.Context, addr string) {
	select {
	case d.newAddrs <- addr:
	case <-ctx.Done():
	}
}

// follow follows the list at one address until ctx ends.
func (d *discovery) follow(ctx context.Context) {
	backoff, down := minBackoff, false
	if d.onRequest && d.cached { // the decision module also schedules the first call
		d.cached = false
		d.notifyFirst()
		d.awaitRequest(ctx)
	}
	for ctx.Err() == nil {
		err := d.call(ctx)
		if ctx.Err() != nil {
			return
		}
		d.notifyFirst()
		if err == nil {
			if down {
				d.log.Info("discovery is back", "rev", d.rev)
			}
			backoff, down = minBackoff, false
			continue
		}
		if !down {
			down = true
			d.log.Warn("discovery is down, keeping the last known list", "rev", d.rev, "err", err)
		}
		if errors.Is(err, errWatchTimeout) { // retry immediately: the watch timeout already limits the rate of calls
			continue
		}
		if d.onRequest { // calls load the shared service, so the decision module spreads them
			for len(d.requested) > 0 {
				<-d.requested
			}
			d.onList(policy.ListFailed, nil, nil)
			d.awaitRequest(ctx)
			continue
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// notifyFirst calls first, once.
func (d *discovery) notifyFirst() {
	if !d.firstCalled {
		d.firstCalled = true
		d.onFirst()
	}
}

// awaitRequest waits until the decision module requests a call.
func (d *discovery) awaitRequest(ctx context.Context) {
	select {
	case <-d.requested:
	case <-ctx.Done():
	}
}

// call makes one call: for the full list if the version is unknown, else for changes since it.
func (d *discovery) call(ctx context.Context) error {
	address := url.URL{Scheme: "http", Host: d.addr, Path: "/discovery/hosts"}
	times := timeoutsFor(d.onRequest)
	wait := times.listTimeout
	if d.revKnown {
		wait = times.watchTimeout
		address.RawQuery = "since=" + strconv.FormatInt(d.rev, 10) +
			"&timeout_ms=" + strconv.FormatInt(times.watchWait.Milliseconds(), 10)
	}
	ctx, cancel := d.withTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return d.callError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if resp.StatusCode/100 == 4 {
			d.revKnown = false // discovery does not know our version: request the full list
		}
		return fmt.Errorf("list: status %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListSize))
	if err != nil {
		return d.callError(ctx, err)
	}
	list, err := parseList(text)
	switch {
	case err != nil:
		return err
	case !d.revKnown && !list.All:
		return errors.New("list: all: got changes, want the full list")
	case d.revKnown && list.Rev < d.rev:
		if d.olderAnswers++; d.olderAnswers >= maxOlderAnswers { // not a delayed answer: discovery has restarted its version numbers
			d.revKnown = false
		}
		return fmt.Errorf("list: rev: %d is older than %d", list.Rev, d.rev)
	}
	d.olderAnswers = 0
	d.revKnown, d.rev = true, list.Rev
	kind := policy.ListDelta
	if list.All {
		kind = policy.ListFull
	}
	if list.All || len(list.Targets) > 0 || d.onRequest {
		d.deliver(kind, list.Targets)
	}
	if d.onVersion != nil {
		d.onVersion(d.rev)
	}
	return nil
}

// errWatchTimeout is wrapped by errors of a watch that did not answer in time.
var errWatchTimeout = errors.New("watch timed out without an answer")

// callError wraps the error of a call that gave no answer.
func (d *discovery) callError(ctx context.Context, err error) error {
	if d.revKnown && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("list: %w: %w", errWatchTimeout, err)
	}
	return fmt.Errorf("list: %w", err)
}

// applySaved applies the list that this node had saved. Discovery may have restarted its version numbers since, so
// only a full list confirms the entries.
func (d *discovery) applySaved(targets []target) {
	d.cached = true
	d.unconfirmed = true
	d.deliver(policy.ListCached, targets)
	d.unconfirmed = false
}

// applyInitial applies the list given at the start, which may be outdated. If discovery is one service for all nodes, the
// first call asks for changes since that list, which costs the service less than the full list would, and saves
// it a second call for each start of a node.
func (d *discovery) applyInitial(known hostList) {
	d.cached = known.All && len(known.Targets) > 0
	if d.onRequest && d.cached {
		d.revKnown, d.rev = true, known.Rev
	}
	d.deliver(policy.ListCached, known.Targets)
}

// deliver distributes discovery's targets to the pools that they belong to.
func (d *discovery) deliver(kind policy.ListKind, targets []target) {
	if d.onTargets != nil {
		d.onTargets(kind != policy.ListDelta, targets)
	}
	if d.onModelList != nil {
		var apart, rest []target
		for _, t := range targets {
			if t.Model == d.model {
				apart = append(apart, t)
			} else {
				rest = append(rest, t)
			}
		}
		d.deliverTo(kind, apart, d.onModelList)
		if targets = rest; kind == policy.ListDelta && len(rest) == 0 && len(apart) > 0 && !d.onRequest {
			return
		}
	}
	d.deliverTo(kind, targets, d.onList)
}

// deliverTo converts discovery's targets into entries of the decision module and passes them to members.
func (d *discovery) deliverTo(kind policy.ListKind, targets []target, members func(policy.ListKind, []policy.Entry, []string)) {
	entries, endpoints := make([]policy.Entry, len(targets)), make([]string, len(targets))
	for i, t := range targets {
		entries[i] = policy.Entry{
			Server: serverID(t.UID), Zone: slices.Index(d.zones, t.AZ), Cell: t.PodGroup, Kind: slices.Index(d.kinds, t.Model),
			State: serverState(t.State), Weight: max(0, t.CapacityHint), Started: d.clock.FromUnixMs(t.BootMs), Unconfirmed: d.unconfirmed,
		}
		endpoints[i] = t.Endpoint
		if kind == policy.ListDelta {
			d.log.Info("server changed", "uid", t.UID, "endpoint", t.Endpoint, "state", t.State, "boot_ms", t.BootMs)
		}
	}
	members(kind, entries, endpoints)
}

// serverState maps discovery's name of a server state. A server in an unknown state gets no new requests.
func serverState(word string) policy.State {
	switch word {
	case "in_service":
		return policy.Ready
	case stateTerminated:
		return policy.Gone
	}
	return policy.Draining
}

// serverID derives a server's ID in the decision module from its uid by hashing, so that no
// table of IDs has to be kept for servers that come and go.
func serverID(uid string) policy.ServerID {
	h := fnv.New64a()
	io.WriteString(h, uid)
	return policy.ServerID(h.Sum64())
}
