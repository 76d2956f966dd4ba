package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	upEvery = 50 * time.Millisecond // how often the front asks each node's /up
	upWait  = 500 * time.Millisecond
	// answerGrace is what an answer may take beyond the client's time, as the
	// client's own clock counts it on a busy machine.
	answerGrace = 250 * time.Millisecond
)

// Front deals requests out among nodes. It takes a node in once its /up answers
// 200, and leaves it when /up says otherwise or connections to it fail.
type Front struct {
	probe http.Client

	mu    sync.Mutex
	nodes []*frontNode
	next  int
}

type frontNode struct {
	addr   string
	in     bool
	client *http.Transport
}

// NewFront makes a front for nodes at the given addresses; run it with Run.
func NewFront(addrs []string) *Front {
	f := &Front{probe: http.Client{Timeout: upWait, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, addr := range addrs {
		f.nodes = append(f.nodes, &frontNode{addr: addr, client: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
		}})
	}
	return f
}

// Run follows the nodes' /up until ctx ends.
func (f *Front) Run(ctx context.Context) {
	var asking sync.WaitGroup
	for _, n := range f.nodes {
		asking.Go(func() {
			defer n.client.CloseIdleConnections()
			for every := time.NewTicker(upEvery); ; {
				up := f.up(ctx, n.addr)
				f.mu.Lock()
				n.in = up
				f.mu.Unlock()
				select {
				case <-every.C:
				case <-ctx.Done():
					every.Stop()
					return
				}
			}
		})
	}
	asking.Wait()
}

func (f *Front) up(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/up", nil)
	if err != nil {
		return false
	}
	resp, err := f.probe.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// In counts the nodes that take requests.
func (f *Front) In() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, node := range f.nodes {
		if node.in {
			n++
		}
	}
	return n
}

// pick gives the next node in turn; nil while none is in.
func (f *Front) pick() *frontNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.nodes {
		f.next = (f.next + 1) % len(f.nodes)
		if n := f.nodes[f.next]; n.in {
			return n
		}
	}
	return nil
}

func (f *Front) out(n *frontNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.in = false
}

// ClientOptions describe the clients' load.
type ClientOptions struct {
	Rate    float64 // requests a second, at random moments
	Classes []Class
	Tenants []string
	Keys    int // things that requests are about
	Seed    uint64
	Most    int // requests open at once; beyond them a client waits, see Clients.Skipped
}

// Clients send requests through a front and note each one's final answer. They
// don't try again, but for what the protocol allows: a request that crossed the
// close of a kept connection goes out once more on a new one.
type Clients struct {
	opt     ClientOptions
	front   *Front
	ledger  *Ledger
	open    chan struct{}
	last    atomic.Int64
	skipped atomic.Int64
	within  atomic.Int64
	latency *latencies
	done    chan struct{} // Run has returned
}

// NewClients makes them; Run sends.
func NewClients(opt ClientOptions, f *Front, l *Ledger) *Clients {
	return &Clients{opt: opt, front: f, ledger: l, open: make(chan struct{}, opt.Most), latency: newLatencies(1 << 16), done: make(chan struct{})}
}

// Skipped counts requests that were not sent because too many were open, or
// because no node was in: none of them was asked of a node.
func (c *Clients) Skipped() int { return int(c.skipped.Load()) }

// Within counts the requests that were served within their class's aim.
func (c *Clients) Within() int { return int(c.within.Load()) }

// Latency gives a quantile, between 0 and 1, of the latest served requests' times.
func (c *Clients) Latency(q float64) time.Duration { return c.latency.quantile(q) }

// Wait waits until Run has returned.
func (c *Clients) Wait() { <-c.done }

// Run sends until ctx ends and returns once the last answer is in. It runs once.
func (c *Clients) Run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(c.opt.Seed, 2))
	var out sync.WaitGroup
	defer close(c.done)
	defer out.Wait()
	for next := time.Now(); ; {
		next = next.Add(time.Duration(rng.ExpFloat64() / c.opt.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		class := c.class(rng.Float64())
		tenant := ""
		if n := len(c.opt.Tenants); n > 0 {
			tenant = c.opt.Tenants[rng.IntN(n)]
		}
		key := rng.IntN(max(c.opt.Keys, 1))
		left := time.Duration(float64(class.Deadline) * (0.7 + 0.3*rng.Float64()))
		select {
		case c.open <- struct{}{}:
		default:
			c.skipped.Add(1)
			continue
		}
		out.Go(func() {
			defer func() { <-c.open }()
			c.request(class, tenant, key, left)
		})
	}
}

func (c *Clients) class(at float64) Class {
	for _, class := range c.opt.Classes {
		if at -= class.Share; at < 0 {
			return class
		}
	}
	return c.opt.Classes[len(c.opt.Classes)-1]
}

// errNotSent means that no node has taken the request.
var errNotSent = errors.New("not sent")

func (c *Clients) request(class Class, tenant string, key int, left time.Duration) {
	id := fmt.Sprintf("%016x", uint64(c.last.Add(1))^c.opt.Seed<<32)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), left+answerGrace)
	defer cancel()
	outcome, err := Lost, errNotSent
	for tries := 0; errors.Is(err, errNotSent) && tries < 2*len(c.front.nodes); tries++ {
		n := c.front.pick()
		if n == nil {
			break
		}
		outcome, err = c.try(ctx, n, id, class, tenant, key, left-time.Since(began))
		if errors.Is(err, errNotSent) {
			c.front.out(n)
		}
	}
	if errors.Is(err, errNotSent) {
		c.skipped.Add(1)
		return
	}
	took := time.Since(began)
	c.ledger.Answered(id, class.Name, outcome, time.Now())
	if outcome == Served {
		c.latency.add(took)
		if took <= class.Aim {
			c.within.Add(1)
		}
	}
}

// try sends a request to a node, once more if it crossed the close of a kept
// connection.
func (c *Clients) try(ctx context.Context, n *frontNode, id string, class Class, tenant string, key int, left time.Duration) (Outcome, error) {
	for again := false; ; again = true {
		reused, answered := false, false
		trace := httptrace.ClientTrace{
			GotConn:              func(i httptrace.GotConnInfo) { reused = i.Reused },
			GotFirstResponseByte: func() { answered = true },
		}
		r, err := newRequest(httptrace.WithClientTrace(ctx, &trace), n.addr, id, class, tenant, key, left)
		if err != nil {
			return Lost, err
		}
		resp, err := n.client.RoundTrip(r)
		if err == nil {
			return readOutcome(resp, id)
		}
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			return Lost, errNotSent
		case reused && !answered && !again && ctx.Err() == nil:
			n.client.CloseIdleConnections() // so that the next one is new
		default:
			return Lost, err
		}
	}
}

func newRequest(ctx context.Context, addr, id string, class Class, tenant string, key int, left time.Duration) (*http.Request, error) {
	method, body := http.MethodPost, "payload of "+id
	if class.Effect == Safe {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/k%d", addr, class.Name, key), strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", id, err)
	}
	if body == "" {
		r.Body = http.NoBody
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Service-Class", class.Name)
	r.Header.Set("X-Time-Left", fmt.Sprintf("%.3f", left.Seconds()))
	if tenant != "" {
		r.Header.Set("X-Account", tenant)
	}
	if class.Effect == Keyed {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r, nil
}

// readOutcome reads an answer. One served must be what a box made for the request.
func readOutcome(resp *http.Response, id string) (Outcome, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 128<<10))
	if err != nil {
		return Lost, fmt.Errorf("request %s: %w", id, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if !strings.HasPrefix(string(body), id+" by ") {
			return Lost, fmt.Errorf("request %s: answered with %q", id, body)
		}
		return Served, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Refused, nil
	}
	return Failed, nil
}
