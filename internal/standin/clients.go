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

	"otterstep/internal/clientretry"
	"otterstep/internal/load"
)

const (
	probeInterval = 50 * time.Millisecond // between calls of each node's /up
	probeTimeout  = 500 * time.Millisecond
	// answerGrace is how long past the client's deadline an answer may arrive, since
	// the client measures the time itself and runs late on a busy machine.
	answerGrace = 250 * time.Millisecond
	maxRun      = 8 * time.Hour // of clients whose context does not end
)

// Front distributes requests among nodes in turn. It uses a node once its /up answers
// 200, and stops when /up answers otherwise or connections to the node fail.
type Front struct {
	probe http.Client

	mu            sync.Mutex
	nodes         []*frontNode
	next          int
	onExtraAnswer func(id string) // called with the ID of a request that was answered more than once
}

type frontNode struct {
	addr      string
	available bool
	transport *http.Transport
}

// NewFront returns a front for the nodes at the given addresses. Run has to run for it to use any.
func NewFront(addrs []string) *Front {
	f := &Front{probe: http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, addr := range addrs {
		f.nodes = append(f.nodes, &frontNode{addr: addr, transport: &http.Transport{
			MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second, DisableCompression: true,
			DialContext: countAnswers(new(net.Dialer).DialContext, f.reportExtraAnswer),
		}})
	}
	return f
}

// reportExtraAnswer tells the clients, if there are any, of an additional answer.
func (f *Front) reportExtraAnswer(id string) {
	f.mu.Lock()
	onExtra := f.onExtraAnswer
	f.mu.Unlock()
	if onExtra != nil {
		onExtra(id)
	}
}

// Run polls the nodes' /up until ctx ends.
func (f *Front) Run(ctx context.Context) {
	var probes sync.WaitGroup
	for _, n := range f.nodes {
		probes.Go(func() {
			defer n.transport.CloseIdleConnections()
			for every := time.NewTicker(probeInterval); ; {
				up := f.probeUp(ctx, n.addr)
				f.mu.Lock()
				n.available = up
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
	probes.Wait()
}

func (f *Front) probeUp(ctx context.Context, addr string) bool {
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

// Available returns the number of available nodes.
func (f *Front) Available() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, node := range f.nodes {
		if node.available {
			n++
		}
	}
	return n
}

// Unavailable returns the addresses of the nodes that are not available.
func (f *Front) Unavailable() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, n := range f.nodes {
		if !n.available {
			out = append(out, n.addr)
		}
	}
	return out
}

// pick returns the next available node in turn, or nil if there is none.
func (f *Front) pick() *frontNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.nodes {
		f.next = (f.next + 1) % len(f.nodes)
		if n := f.nodes[f.next]; n.available {
			return n
		}
	}
	return nil
}

func (f *Front) exclude(n *frontNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n.available = false
}

// ClientOptions describe the clients' load.
type ClientOptions struct {
	Rate    float64                     // requests per second, at random moments
	Curve   func(time.Duration) float64 // factor on Rate over time; nil: 1
	Classes []Class
	Tenants []string
	Skew    float64 // exponent of the Zipf distribution over tenants; 0: uniform
	Keys    int     // number of distinct keys in request paths
	Seed    uint64
	MaxOpen int // bound on open requests; above it none is sent, see Clients.Skipped
	// FullDeadline gives each request the full deadline of its class instead of 70% to 100% of it.
	FullDeadline bool
	Comeback     clientretry.Behavior // retries after a refusal, or after a failure of a request that may run twice
	// OnEnd, if set, is called at the end of each request, on any goroutine.
	OnEnd func(RequestResult)
}

// RequestResult is the result of a request, over all of its tries.
type RequestResult struct {
	Class   int
	Due     time.Time // the scheduled time of sending
	Took    time.Duration
	Outcome Outcome
	Tries   int // requests sent to nodes
	Sent    bool
}

// Clients send requests through a front and record each one's final answer. A request on a
// reused connection that the node closed at the same moment is sent once more on a new one, as
// the protocol allows; whether a client retries after an answer is in the options.
type Clients struct {
	opt           ClientOptions
	front         *Front
	ledger        *Ledger
	lastID        atomic.Int64
	skipped       atomic.Int64
	withinAim     atomic.Int64
	latencies     *load.Recorder
	tenantWeights []float64     // cumulative Zipf weights
	finished      chan struct{} // Run has returned
	report        load.Report
}

// NewClients returns clients of a front; Run makes them send.
func NewClients(opt ClientOptions, f *Front, l *Ledger) *Clients {
	c := &Clients{opt: opt, front: f, ledger: l, latencies: load.NewRecorder(), finished: make(chan struct{})}
	f.mu.Lock()
	f.onExtraAnswer = func(id string) { l.RecordAnswer(id, "", Failed, time.Now()) }
	f.mu.Unlock()
	sum := 0.0
	for i := range opt.Tenants {
		sum += math.Pow(float64(i+1), -opt.Skew)
		c.tenantWeights = append(c.tenantWeights, sum)
	}
	return c
}

// Skipped returns the number of requests that no node was sent, because too many were
// open or no node was available.
func (c *Clients) Skipped() int { return int(c.skipped.Load()) }

// Begun returns the number of requests begun so far. The lower half of the latest request's ID is this number.
func (c *Clients) Begun() int { return int(c.lastID.Load()) }

// Report returns the load generator's report, which tells whether it lagged. It is valid once Wait has returned.
func (c *Clients) Report() load.Report { return c.report }

// Within returns the number of requests served within their class's aim.
func (c *Clients) Within() int { return int(c.withinAim.Load()) }

// Latency returns a quantile, between 0 and 1, of the served requests' latencies, measured
// from the scheduled time of sending.
func (c *Clients) Latency(q float64) time.Duration { return c.latencies.Quantile(q) }

// Wait waits until Run has returned.
func (c *Clients) Wait() { <-c.finished }

// Run sends requests until ctx ends and returns after the last answer. It may be called only once.
func (c *Clients) Run(ctx context.Context) {
	defer close(c.finished)
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
		Duration: maxRun, MaxOpen: c.opt.MaxOpen, Timeout: longest + answerGrace, Seed: c.opt.Seed, Record: c.latencies,
	})
	if err != nil {
		report.Void = err.Error()
	}
	c.skipped.Add(int64(report.Skipped))
	c.report = report
}

// Do implements load.Target: it sends one client's request, with all of its tries.
func (c *Clients) Do(ctx context.Context, n uint64, due time.Time) load.Outcome {
	rng := rand.New(rand.NewPCG(c.opt.Seed, n))
	e := RequestResult{Class: c.drawClass(rng.Float64()), Due: due, Outcome: Lost}
	class := c.opt.Classes[e.Class]
	tenant := ""
	if len(c.tenantWeights) > 0 {
		i, _ := slices.BinarySearch(c.tenantWeights, rng.Float64()*c.tenantWeights[len(c.tenantWeights)-1])
		tenant = c.opt.Tenants[i]
	}
	key := rng.IntN(max(c.opt.Keys, 1))
	left := class.Deadline
	if !c.opt.FullDeadline {
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
		wait, again := client.Retry(clientretry.Answer{
			Attempts: e.Tries, Refused: e.Outcome == Refused, Unsafe: class.Effect == Unsafe, RetryAfter: retryAfter, TimeLeft: time.Until(end),
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
		c.withinAim.Add(1)
	}
	if c.opt.OnEnd != nil {
		c.opt.OnEnd(e)
	}
	return [...]load.Outcome{Served: load.Served, Refused: load.Refused, Failed: load.Failed, Lost: load.Broken}[e.Outcome]
}

func (c *Clients) drawClass(at float64) int {
	for i, class := range c.opt.Classes {
		if at -= class.Share; at < 0 {
			return i
		}
	}
	return len(c.opt.Classes) - 1
}

// errNotSent means that no connection to the node could be opened.
var errNotSent = errors.New("not sent")

// request makes one try at an available node; it returns false if there is none that accepts a connection.
func (c *Clients) request(ctx context.Context, class Class, tenant string, key int, left time.Duration) (Outcome, time.Duration, bool) {
	id := fmt.Sprintf("%016x", uint64(c.lastID.Add(1))^c.opt.Seed<<32)
	ctx, cancel := context.WithTimeout(ctx, left+answerGrace)
	defer cancel()
	began := time.Now()
	for range 2 * len(c.front.nodes) {
		n := c.front.pick()
		if n == nil {
			break
		}
		outcome, retryAfter, err := c.sendTo(ctx, n, id, class, tenant, key, left-time.Since(began))
		if !errors.Is(err, errNotSent) {
			c.ledger.RecordAnswer(id, class.Name, outcome, time.Now())
			return outcome, retryAfter, true
		}
		c.front.exclude(n)
	}
	c.skipped.Add(1)
	return Lost, 0, false
}

// sendTo sends a request to a node, once more if the node closed a reused connection
// before it answered.
func (c *Clients) sendTo(ctx context.Context, n *frontNode, id string, class Class, tenant string, key int, left time.Duration) (Outcome, time.Duration, error) {
	for again := false; ; again = true {
		var reused, answered atomic.Bool // the transport's goroutines may still run after an error
		trace := httptrace.ClientTrace{
			GotConn: func(i httptrace.GotConnInfo) {
				reused.Store(i.Reused)
				i.Conn.(*countingConn).noteRequest(id)
			},
			GotFirstResponseByte: func() { answered.Store(true) },
		}
		r, err := newRequest(httptrace.WithClientTrace(ctx, &trace), n.addr, id, class, tenant, key, left)
		if err != nil {
			return Lost, 0, err
		}
		resp, err := n.transport.RoundTrip(r)
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
			n.transport.CloseIdleConnections() // so that the next try gets a new connection
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

// readOutcome reads an answer. The body of a 200 has to be a box's answer to this request.
func readOutcome(resp *http.Response, id string) (Outcome, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 128<<10))
	if err != nil {
		return Lost, fmt.Errorf("request %s: %w", id, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if !strings.HasPrefix(string(body), id+" by ") {
			return Lost, fmt.Errorf("request %s: body %q is not the answer to this request", id, body)
		}
		return Served, nil
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Refused, nil
	}
	return Failed, nil
}
