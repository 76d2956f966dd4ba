package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"otterstep/internal/comeback"
	"otterstep/internal/load"
)

const (
	upEvery = 50 * time.Millisecond // how often the front asks each node's /up
	upWait  = 500 * time.Millisecond
	// answerGrace is what an answer may take beyond the client's time, as the
	// client's own clock counts it on a busy machine.
	answerGrace = 250 * time.Millisecond
	runMost     = 8 * time.Hour // of clients that nobody ends
)

// Front deals requests out among nodes. It takes a node in once its /up answers
// 200, and leaves it when /up says otherwise or connections to it fail.
type Front struct {
	probe http.Client

	mu    sync.Mutex
	nodes []*frontNode
	next  int
	twice func(id string) // of a request that was answered once more
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
			DialContext: countAnswers(new(net.Dialer).DialContext, f.answeredTwice),
		}})
	}
	return f
}

// answeredTwice tells the clients, if there are any, of a further answer.
func (f *Front) answeredTwice(id string) {
	f.mu.Lock()
	twice := f.twice
	f.mu.Unlock()
	if twice != nil {
		twice(id)
	}
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

// Out gives the addresses of the nodes that take none.
func (f *Front) Out() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, n := range f.nodes {
		if !n.in {
			out = append(out, n.addr)
		}
	}
	return out
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
	Rate    float64                     // requests a second, at random moments
	Curve   func(time.Duration) float64 // parts of the rate over time; nil: the whole
	Classes []Class
	Tenants []string
	Skew    float64 // Zipf's exponent of the tenants; 0: all alike
	Keys    int     // things that requests are about
	Seed    uint64
	Most    int // requests open at once; beyond them none is sent, see Clients.Skipped
	// Whole gives each request its class's whole deadline, in place of 70% to all of it.
	Whole    bool
	Comeback comeback.Habits // after a refusal, or a failure of what may run twice
	// Ended, if set, is told of each request's end: on any goroutine.
	Ended func(End)
}

// End is how a request ended, over all of its tries.
type End struct {
	Class   int
	Due     time.Time // when it was meant to go out
	Took    time.Duration
	Outcome Outcome
	Tries   int // requests at nodes
	Sent    bool
}

// Clients send requests through a front and note each one's final answer. A request that
// crossed the close of a kept connection goes out once more on a new one, as the protocol
// allows; whether a client comes back after an answer is in the options.
type Clients struct {
	opt     ClientOptions
	front   *Front
	ledger  *Ledger
	last    atomic.Int64
	skipped atomic.Int64
	within  atomic.Int64
	record  *load.Recorder
	tenants []float64     // cumulative
	done    chan struct{} // Run has returned
	report  load.Report
}

// NewClients makes them; Run sends.
func NewClients(opt ClientOptions, f *Front, l *Ledger) *Clients {
	c := &Clients{opt: opt, front: f, ledger: l, record: load.NewRecorder(), done: make(chan struct{})}
	f.mu.Lock()
	f.twice = func(id string) { l.Answered(id, "", Failed, time.Now()) }
	f.mu.Unlock()
	sum := 0.0
	for i := range opt.Tenants {
		sum += math.Pow(float64(i+1), -opt.Skew)
		c.tenants = append(c.tenants, sum)
	}
	return c
}

// Skipped counts requests that were not sent because too many were open, or
// because no node was in: none of them was asked of a node.
func (c *Clients) Skipped() int { return int(c.skipped.Load()) }

// Begun counts the requests at nodes that were begun so far; the latest has it in the lower half of its id.
func (c *Clients) Begun() int { return int(c.last.Load()) }

// Report is the generator's account, once Wait has returned; it tells whether it lagged.
func (c *Clients) Report() load.Report { return c.report }

// Within counts the requests that were served within their class's aim.
func (c *Clients) Within() int { return int(c.within.Load()) }

// Latency gives a quantile, between 0 and 1, of the served requests' times since they
// were meant to go out.
func (c *Clients) Latency(q float64) time.Duration { return c.record.Quantile(q) }

// Wait waits until Run has returned.
func (c *Clients) Wait() { <-c.done }

// Run sends until ctx ends and returns once the last answer is in. It runs once.
func (c *Clients) Run(ctx context.Context) {
	defer close(c.done)
	longest := time.Duration(0)
	for _, class := range c.opt.Classes {
		longest = max(longest, class.Deadline)
	}
	report, err := load.Run(ctx, c, load.Options{
		Rate: func(since time.Duration) float64 {
			if c.opt.Curve != nil {
				return c.opt.Rate * c.opt.Curve(since)
			}
			return c.opt.Rate
		},
		For: runMost, Open: c.opt.Most, TimeOut: longest + answerGrace, Seed: c.opt.Seed, Record: c.record,
	})
	if err != nil {
		report.Void = err.Error()
	}
	c.skipped.Add(int64(report.Skipped))
	c.report = report
}

// Ask implements load.Target: one client's request, over all of its tries.
func (c *Clients) Ask(ctx context.Context, n uint64, due time.Time) load.Outcome {
	rng := rand.New(rand.NewPCG(c.opt.Seed, n))
	e := End{Class: c.class(rng.Float64()), Due: due, Outcome: Lost}
	class := c.opt.Classes[e.Class]
	tenant := ""
	if len(c.tenants) > 0 {
		i, _ := slices.BinarySearch(c.tenants, rng.Float64()*c.tenants[len(c.tenants)-1])
		tenant = c.opt.Tenants[i]
	}
	key := rng.IntN(max(c.opt.Keys, 1))
	left := class.Deadline
	if !c.opt.Whole {
		left = time.Duration(float64(class.Deadline) * (0.7 + 0.3*rng.Float64()))
	}
	end := time.Now().Add(left)
	client := c.opt.Comeback.Draw(rng)
	for {
		var retryAfter time.Duration
		var asked bool
		e.Outcome, retryAfter, asked = c.request(ctx, class, tenant, key, time.Until(end))
		if !asked {
			break
		}
		e.Sent = true
		e.Tries++
		wait, again := client.Again(comeback.Answer{
			Tries: e.Tries, Refused: e.Outcome == Refused, Unsafe: class.Effect == Unsafe, RetryAfter: retryAfter, Left: time.Until(end),
		}, rng)
		if e.Outcome == Served || e.Outcome == Lost || !again {
			break
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	e.Took = time.Since(due)
	if e.Outcome == Served && e.Took <= class.Aim {
		c.within.Add(1)
	}
	if c.opt.Ended != nil {
		c.opt.Ended(e)
	}
	return [...]load.Outcome{Served: load.Served, Refused: load.Refused, Failed: load.Failed, Lost: load.Broken}[e.Outcome]
}

func (c *Clients) class(at float64) int {
	for i, class := range c.opt.Classes {
		if at -= class.Share; at < 0 {
			return i
		}
	}
	return len(c.opt.Classes) - 1
}

// errNotSent means that no node has taken the request.
var errNotSent = errors.New("not sent")

// request makes one try at a node that is in; false if there is none that takes it.
func (c *Clients) request(ctx context.Context, class Class, tenant string, key int, left time.Duration) (Outcome, time.Duration, bool) {
	id := fmt.Sprintf("%016x", uint64(c.last.Add(1))^c.opt.Seed<<32)
	ctx, cancel := context.WithTimeout(ctx, left+answerGrace)
	defer cancel()
	began := time.Now()
	for range 2 * len(c.front.nodes) {
		n := c.front.pick()
		if n == nil {
			break
		}
		outcome, retryAfter, err := c.try(ctx, n, id, class, tenant, key, left-time.Since(began))
		if !errors.Is(err, errNotSent) {
			c.ledger.Answered(id, class.Name, outcome, time.Now())
			return outcome, retryAfter, true
		}
		c.front.out(n)
	}
	c.skipped.Add(1)
	return Lost, 0, false
}

// try sends a request to a node, once more if it crossed the close of a kept
// connection.
func (c *Clients) try(ctx context.Context, n *frontNode, id string, class Class, tenant string, key int, left time.Duration) (Outcome, time.Duration, error) {
	for again := false; ; again = true {
		var reused, answered atomic.Bool // the transport's goroutines may go on behind an error
		trace := httptrace.ClientTrace{
			GotConn: func(i httptrace.GotConnInfo) {
				reused.Store(i.Reused)
				i.Conn.(*answers).asked(id)
			},
			GotFirstResponseByte: func() { answered.Store(true) },
		}
		r, err := newRequest(httptrace.WithClientTrace(ctx, &trace), n.addr, id, class, tenant, key, left)
		if err != nil {
			return Lost, 0, err
		}
		resp, err := n.client.RoundTrip(r)
		if err == nil {
			outcome, err := readOutcome(resp, id)
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // absent: 0
			return outcome, time.Duration(seconds * float64(time.Second)), err
		}
		var op *net.OpError
		switch {
		case errors.As(err, &op) && op.Op == "dial":
			return Lost, 0, errNotSent
		case reused.Load() && !answered.Load() && !again && ctx.Err() == nil:
			n.client.CloseIdleConnections() // so that the next one is new
		default:
			return Lost, 0, err
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
