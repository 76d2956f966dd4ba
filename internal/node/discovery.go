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
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 400 * time.Millisecond
	maxList      = 4 << 20
	olderMost    = 3 // answers of an older version, then the whole list is asked for
)

// listTimes are how long a node waits for discovery. Whatever becomes of a call, a change counts as told
// toldAfter from when discovery had it and could be reached; a watch that has fallen silent counts as told
// toldBehind its own wait, if that is later.
type listTimes struct {
	wait  time.Duration // a watch answers after this at the latest, be there changes or not
	watch time.Duration // a watch is taken for silent, and opened anew
	whole time.Duration // a call that need not wait is taken for silent
}

const (
	toldAfter  = 6 * time.Second
	toldBehind = 2 * time.Second
)

// timesFor gives the times. An agent on the node's own machine answers at once and at no cost, so that watches of
// it are short enough for a silent one to be found out within toldAfter. Where one service is asked by all, each
// call costs it as much as many lines, and it works through calls in turn: watches are as long as it can bear,
// which toldBehind allows for, and what it has not got to is not taken for silence.
func timesFor(asked bool) listTimes {
	if asked {
		const wait = 10 * time.Second
		return listTimes{wait: wait, watch: wait + toldBehind/2, whole: 5 * time.Second}
	}
	const watch = toldAfter - 1500*time.Millisecond // the rest is for the new call
	return listTimes{wait: watch - 500*time.Millisecond, watch: watch, whole: time.Second}
}

// discovery follows the list of servers: once as a whole, then by a watch that
// is re-armed at once, so that no change falls between two calls.
type discovery struct {
	addr  string
	asked bool // discovery is one service for all: the module says when to call again
	zones []string
	kinds []string
	clock core.Clock
	log   *slog.Logger
	// members hands a list on; endpoints go with the entries.
	members func(kind policy.ListKind, entries []policy.Entry, endpoints []string)
	// apart gets those servers that are of model, and members the rest, where another
	// front has servers of its own in the list.
	apart func(kind policy.ListKind, entries []policy.Entry, endpoints []string)
	model string
	// listed is told of all lines as they came, ahead of members; nil if nobody cares.
	listed func(all bool, targets []target)
	// heard is told of each answer once it is in place; nil if nobody cares.
	heard func(rev int64)
	// first is called once the first list is in place, or the first call has
	// failed and the known list has to do.
	first func()

	// limit ends a call that takes too long; it is context.WithTimeout but in tests.
	limit func(context.Context, time.Duration) (context.Context, context.CancelFunc)

	client  http.Client
	wanted  chan struct{} // the module wants a watch
	moves   chan string   // new addresses of discovery
	started bool          // first was called
	rev     int64
	current bool // rev is discovery's own
	older   int  // answers in a row with a version from before rev
	known   bool // there is a list of before, which serves until the first call
	doubted bool // what is handed on is of before, and nobody has confirmed it
}

func newDiscovery(addr string, site wire.Site, c core.Clock, log *slog.Logger) *discovery {
	return &discovery{
		addr: addr, asked: site.Settings.ListAsked, zones: site.Zones, kinds: site.Kinds, clock: c, log: log,
		wanted: make(chan struct{}, 1), moves: make(chan string),
		limit:  context.WithTimeout,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// watch asks for a call after a failed one; it never blocks.
func (d *discovery) watch() {
	select {
	case d.wanted <- struct{}{}:
	default:
	}
}

// run follows the list until ctx ends, and at each move starts over at the new
// address: the call under way is broken off, as a watch would go on for seconds and
// hear nothing more, and the version is forgotten, as another service counts its own.
func (d *discovery) run(ctx context.Context) {
	for ctx.Err() == nil {
		here, leave := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.follow(here)
		}()
		var next string
		select {
		case next = <-d.moves:
		case <-ctx.Done():
		}
		leave()
		<-ended
		d.client.CloseIdleConnections()
		d.addr, d.rev, d.current, d.older = next, 0, false, 0
	}
}

// move makes run go on at another address.
func (d *discovery) move(ctx context.Context, addr string) {
	select {
	case d.moves <- addr:
	case <-ctx.Done():
	}
}

// follow follows the list at one address until ctx ends.
func (d *discovery) follow(ctx context.Context) {
	backoff, down := backoffFirst, false
	if d.asked && d.known { // the module says when to make the first call of all
		d.known = false
		d.ready()
		d.await(ctx)
	}
	for ctx.Err() == nil {
		err := d.call(ctx)
		if ctx.Err() != nil {
			return
		}
		d.ready()
		if err == nil {
			if down {
				d.log.Info("discovery is back", "rev", d.rev)
			}
			backoff, down = backoffFirst, false
			continue
		}
		if !down {
			down = true
			d.log.Warn("discovery is down, keeping the list", "rev", d.rev, "err", err)
		}
		if errors.Is(err, errSilent) { // it is opened anew at once: calls can't come thicker than their time-out
			continue
		}
		if d.asked { // its calls cost all nodes: the module spreads them
			for len(d.wanted) > 0 {
				<-d.wanted
			}
			d.members(policy.ListFailed, nil, nil)
			d.await(ctx)
			continue
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, backoffMost)
	}
}

// ready lets first know, once.
func (d *discovery) ready() {
	if !d.started {
		d.started = true
		d.first()
	}
}

// await waits until the module wants a watch.
func (d *discovery) await(ctx context.Context) {
	select {
	case <-d.wanted:
	case <-ctx.Done():
	}
}

// call makes one call, of the whole list at first and then of what is newer.
func (d *discovery) call(ctx context.Context) error {
	address := url.URL{Scheme: "http", Host: d.addr, Path: "/discovery/hosts"}
	times := timesFor(d.asked)
	wait := times.whole
	if d.current {
		wait = times.watch
		address.RawQuery = "since=" + strconv.FormatInt(d.rev, 10) +
			"&timeout_ms=" + strconv.FormatInt(times.wait.Milliseconds(), 10)
	}
	ctx, cancel := d.limit(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return fmt.Errorf("list: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return d.failed(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if resp.StatusCode/100 == 4 {
			d.current = false // it does not know our version: start over
		}
		return fmt.Errorf("list: status %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return d.failed(ctx, err)
	}
	list, err := parseList(text)
	switch {
	case err != nil:
		return err
	case !d.current && !list.All:
		return errors.New("list: all: changes in place of the whole list")
	case d.current && list.Rev < d.rev:
		if d.older++; d.older >= olderMost { // not a late answer: it counts anew
			d.current = false
		}
		return fmt.Errorf("list: rev: %d is older than %d", list.Rev, d.rev)
	}
	d.older = 0
	d.current, d.rev = true, list.Rev
	kind := policy.ListDelta
	if list.All {
		kind = policy.ListFull
	}
	if list.All || len(list.Targets) > 0 || d.asked {
		d.hand(kind, list.Targets)
	}
	if d.heard != nil {
		d.heard(d.rev)
	}
	return nil
}

// errSilent is wrapped where a watch has said nothing for longer than it may wait.
var errSilent = errors.New("the watch has fallen silent")

// failed words what became of a call that gave no answer.
func (d *discovery) failed(ctx context.Context, err error) error {
	if d.current && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("list: %w: %w", errSilent, err)
	}
	return fmt.Errorf("list: %w", err)
}

// recall takes the list that this node kept. Whether discovery has begun anew since is not known, so that
// nothing but the whole list confirms it.
func (d *discovery) recall(targets []target) {
	d.known = true
	d.doubted = true
	d.hand(policy.ListCached, targets)
	d.doubted = false
}

// begin takes the list of before, which may be old. Where discovery is asked, the first call is for what
// is newer: it costs the one service less than the whole list, and more than one call a start.
func (d *discovery) begin(known hostList) {
	d.known = known.All && len(known.Targets) > 0
	if d.asked && d.known {
		d.current, d.rev = true, known.Rev
	}
	d.hand(policy.ListCached, known.Targets)
}

// hand gives discovery's lines to the pools that they belong to.
func (d *discovery) hand(kind policy.ListKind, targets []target) {
	if d.listed != nil {
		d.listed(kind != policy.ListDelta, targets)
	}
	if d.apart != nil {
		var apart, rest []target
		for _, t := range targets {
			if t.Model == d.model {
				apart = append(apart, t)
			} else {
				rest = append(rest, t)
			}
		}
		d.give(kind, apart, d.apart)
		if targets = rest; kind == policy.ListDelta && len(rest) == 0 && len(apart) > 0 && !d.asked {
			return
		}
	}
	d.give(kind, targets, d.members)
}

// give turns discovery's lines into the module's entries.
func (d *discovery) give(kind policy.ListKind, targets []target, members func(policy.ListKind, []policy.Entry, []string)) {
	entries, endpoints := make([]policy.Entry, len(targets)), make([]string, len(targets))
	for i, t := range targets {
		entries[i] = policy.Entry{
			Server: serverID(t.UID), Zone: slices.Index(d.zones, t.AZ), Cell: t.PodGroup, Kind: slices.Index(d.kinds, t.Model),
			State: state(t.State), Weight: max(0, t.CapacityHint), Started: d.clock.FromUnixMs(t.BootMs), Doubted: d.doubted,
		}
		endpoints[i] = t.Endpoint
		if kind == policy.ListDelta {
			d.log.Info("server", "uid", t.UID, "endpoint", t.Endpoint, "state", t.State, "boot_ms", t.BootMs)
		}
	}
	members(kind, entries, endpoints)
}

// state reads a word for a server's state. One that is new to us gets no new work.
func state(word string) policy.State {
	switch word {
	case "in_service":
		return policy.Ready
	case wordGone:
		return policy.Gone
	}
	return policy.Draining
}

// serverID names a server to the module: the same for a uid at all times, so
// nothing has to be remembered for servers that come and go.
func serverID(uid string) policy.ServerID {
	h := fnv.New64a()
	io.WriteString(h, uid)
	return policy.ServerID(h.Sum64())
}
