package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// funcTarget answers each request with the outcome, and after the delay, that the function
// returns.
type funcTarget func(n uint64) (time.Duration, Outcome)

func (f funcTarget) Do(ctx context.Context, n uint64, _ time.Time) Outcome {
	d, o := f(n)
	select {
	case <-time.After(d):
		return o
	case <-ctx.Done():
		return Broken
	}
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Guards against coordinated omission: while a server stalls, the open loop counts each
// request that was due with its whole wait, which a closed loop does not see.
func TestNoCoordinatedOmission(t *testing.T) {
	stall := func() funcTarget {
		gate := make(chan struct{})
		time.AfterFunc(500*time.Millisecond, func() { close(gate) })
		return func(uint64) (time.Duration, Outcome) { <-gate; return time.Millisecond, Served }
	}
	o := Options{Duration: time.Second, MaxOpen: 1000, Timeout: 5 * time.Second, Steady: true, Rate: constantRate(200)}
	open, err := Run(t.Context(), stall(), o)
	if err != nil {
		t.Fatal(err)
	}
	if open.Sent < 190 || open.P90 < 200*time.Millisecond || open.Void != "" {
		t.Errorf("open loop: %+v", open)
	}
	o.Rate, o.ClosedClients = nil, 2
	closed, err := Run(t.Context(), stall(), o)
	if err != nil {
		t.Fatal(err)
	}
	if closed.P90 > 100*time.Millisecond || closed.Max < 400*time.Millisecond {
		t.Errorf("closed loop: %+v", closed)
	}
}

// Outcomes are counted separately, a request that times out is broken, and the rate may
// change during the run.
func TestOutcomesAndRamp(t *testing.T) {
	r, err := Run(t.Context(), funcTarget(func(n uint64) (time.Duration, Outcome) {
		if n%4 == 3 {
			return time.Hour, Served
		}
		return 0, Outcome(n % 4)
	}), Options{Duration: time.Second, MaxOpen: 1000, Timeout: 50 * time.Millisecond, Steady: true, Rate: func(at time.Duration) float64 {
		if at < 400*time.Millisecond {
			return 0
		}
		return 400 * at.Seconds()
	}})
	if err != nil {
		t.Fatal(err)
	}
	if r.Sent < 150 || r.Sent > 180 || r.Outcomes["broken"] < 30 || r.Outcomes["refused"] < 30 || r.Outcomes["failed"] < 30 || r.Outcomes["served"] < 30 {
		t.Errorf("%+v", r)
	}
}

// A run in which the generator could not keep to its schedule is void.
func TestVoidRuns(t *testing.T) {
	slow := funcTarget(func(uint64) (time.Duration, Outcome) { return 100 * time.Millisecond, Served })
	r, err := Run(t.Context(), slow, Options{Duration: 300 * time.Millisecond, MaxOpen: 3, Timeout: time.Second, Steady: true, Rate: constantRate(200)})
	if err != nil || r.Skipped == 0 || !strings.Contains(r.Void, "not sent") {
		t.Errorf("too many concurrent requests: %+v, %v", r, err)
	}
	// The generator stalls: latencies still count from the scheduled times.
	stalled := false
	r, err = Run(t.Context(), funcTarget(func(uint64) (time.Duration, Outcome) { return 0, Served }), Options{
		Duration: 500 * time.Millisecond, MaxOpen: 1000, Timeout: time.Second, Steady: true, Rate: func(at time.Duration) float64 {
			if at > 100*time.Millisecond && !stalled {
				stalled = true
				<-time.After(300 * time.Millisecond) // as on a machine that is busy otherwise
			}
			return 400
		}})
	if err != nil || !strings.Contains(r.Void, "lags") || r.P50 < 50*time.Millisecond || r.LagP99 < 200*time.Millisecond {
		t.Errorf("lagging generator: %+v, %v", r, err)
	}
	if r := NewRecorder().report(0, time.Second); r.Void == "" {
		t.Error("a run without requests is not void")
	}
}

// The knee found for a target that serves 300 requests per second is between 200 and 400.
func TestKnee(t *testing.T) {
	synctest.Test(t, testKnee) // in real time, the generator lags on a busy machine
}

func testKnee(t *testing.T) {
	nextFree := atomic.Int64{}
	began := time.Now()
	queue := funcTarget(func(uint64) (time.Duration, Outcome) { // one server, 3.33 ms per request, one after the other
		for {
			at, now := nextFree.Load(), int64(time.Since(began))
			if nextFree.CompareAndSwap(at, max(at, now)+int64(time.Second)/300) {
				return time.Duration(max(at, now) - now), Served
			}
		}
	})
	k, err := FindKnee(t.Context(), queue, Options{Duration: 600 * time.Millisecond, MaxOpen: 2000, Timeout: 2 * time.Second, Steady: true},
		KneeOptions{StartRate: 100, MaxP99: 60 * time.Millisecond, MinServed: 0.99, MaxSteps: 12})
	if err != nil {
		t.Fatal(err)
	}
	if k.Best < 200 || k.Best > 400 || k.Steps[0].Rate != 100 || !k.Steps[0].Sustained {
		t.Errorf("%.0f requests/s; %+v", k.Best, k.Steps)
	}
}

// Over sockets: outcomes follow the status, headers hold the request's number, and all
// source addresses are used.
func TestHTTP(t *testing.T) {
	sources := map[string]bool{}
	var served atomic.Int64
	requests := make(chan string, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := strings.Cut(r.RemoteAddr, ":")
		requests <- host + " " + r.Header.Get("X-Id")
		switch served.Add(1) % 4 {
		case 0:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.WriteHeader(http.StatusNotFound)
		case 2:
			panic(http.ErrAbortHandler)
		}
	}))
	s.Config.ErrorLog = nil
	defer s.Close()
	h, err := NewHTTP(HTTPOptions{URL: s.URL, Method: http.MethodPost, Header: http.Header{"X-Id": {"r%n"}}, Body: []byte("body"), Sources: 3, MaxIdlePerSource: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	r, err := Run(t.Context(), h, Options{Duration: 500 * time.Millisecond, MaxOpen: 200, Timeout: 2 * time.Second, Steady: true, Rate: constantRate(160)})
	if err != nil {
		t.Fatal(err)
	}
	for _, outcome := range []string{"served", "refused", "failed", "broken"} {
		if r.Outcomes[outcome] < 10 {
			t.Errorf("%s: %d of %d requests", outcome, r.Outcomes[outcome], r.Sent)
		}
	}
	ids := map[string]bool{}
	for range len(requests) {
		host, id, _ := strings.Cut(<-requests, " ")
		sources[host], ids[id] = true, true
	}
	if len(sources) != 3 || !sources["127.0.0.4"] || uint64(len(ids)) != r.Sent {
		t.Errorf("sources %v; %d ids of %d requests", sources, len(ids), r.Sent)
	}
	for _, o := range []HTTPOptions{
		{URL: "ftp://127.0.0.1/"}, {URL: "http://"}, {URL: "http://192.0.2.1/", Sources: 2}, {URL: s.URL, Sources: 300}, {URL: "http://%zz"},
		{URL: s.URL, Body: make([]byte, maxBody+1)},
	} {
		if _, err := NewHTTP(o); err == nil {
			t.Errorf("%s with %d sources is accepted", o.URL, o.Sources)
		}
	}
	if ParseHeader(http.Header{}, "nothing") == nil || ParseHeader(http.Header{}, ": x") == nil {
		t.Error("a header without a name is accepted")
	}
}

func TestInvalidOptions(t *testing.T) {
	valid := Options{Duration: time.Second, MaxOpen: 1, Timeout: time.Second, Rate: constantRate(1)}
	for name, modify := range map[string]func(*Options){
		"neither": func(o *Options) { o.Rate = nil }, "both": func(o *Options) { o.ClosedClients = 1 },
		"clients": func(o *Options) { o.Rate, o.ClosedClients = nil, maxOpen+1 }, "open": func(o *Options) { o.MaxOpen = 0 },
		"for": func(o *Options) { o.Duration = 0 }, "time-out": func(o *Options) { o.Timeout = maxTimeout + 1 },
	} {
		o := valid
		modify(&o)
		if _, err := Run(t.Context(), nil, o); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := FindKnee(t.Context(), nil, valid, KneeOptions{}); err == nil {
		t.Error("a knee search without options is accepted")
	}
}
