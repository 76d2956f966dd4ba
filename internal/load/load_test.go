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

// target answers after what it is told to take.
type target func(n uint64) (time.Duration, Outcome)

func (f target) Ask(ctx context.Context, n uint64, _ time.Time) Outcome {
	d, o := f(n)
	select {
	case <-time.After(d):
		return o
	case <-ctx.Done():
		return Broken
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// A server that stands still for a while: requests that were due then count with their
// whole wait, which a closed loop never sees.
func TestNothingIsOmitted(t *testing.T) {
	stall := func() target {
		gate := make(chan struct{})
		time.AfterFunc(500*time.Millisecond, func() { close(gate) })
		return func(uint64) (time.Duration, Outcome) { <-gate; return time.Millisecond, Served }
	}
	o := Options{For: time.Second, Open: 1000, TimeOut: 5 * time.Second, Steady: true, Rate: steady(200)}
	open, err := Run(t.Context(), stall(), o)
	if err != nil {
		t.Fatal(err)
	}
	if open.Sent < 190 || open.P90 < 200*time.Millisecond || open.Void != "" {
		t.Errorf("open loop: %+v", open)
	}
	o.Rate, o.Closed = nil, 2
	closed, err := Run(t.Context(), stall(), o)
	if err != nil {
		t.Fatal(err)
	}
	if closed.P90 > 100*time.Millisecond || closed.Most < 400*time.Millisecond {
		t.Errorf("closed loop: %+v", closed)
	}
}

// Ends are told apart, a request that takes too long is broken, and the plan may change.
func TestEndsAndRamp(t *testing.T) {
	r, err := Run(t.Context(), target(func(n uint64) (time.Duration, Outcome) {
		if n%4 == 3 {
			return time.Hour, Served
		}
		return 0, Outcome(n % 4)
	}), Options{For: time.Second, Open: 1000, TimeOut: 50 * time.Millisecond, Steady: true, Rate: func(at time.Duration) float64 {
		if at < 400*time.Millisecond {
			return 0
		}
		return 400 * at.Seconds()
	}})
	if err != nil {
		t.Fatal(err)
	}
	if r.Sent < 150 || r.Sent > 180 || r.Ends["broken"] < 30 || r.Ends["refused"] < 30 || r.Ends["failed"] < 30 || r.Ends["served"] < 30 {
		t.Errorf("%+v", r)
	}
}

// A generator that can't keep to its plan says so.
func TestVoidRuns(t *testing.T) {
	stuck := target(func(uint64) (time.Duration, Outcome) { return 100 * time.Millisecond, Served })
	r, err := Run(t.Context(), stuck, Options{For: 300 * time.Millisecond, Open: 3, TimeOut: time.Second, Steady: true, Rate: steady(200)})
	if err != nil || r.Skipped == 0 || !strings.Contains(r.Void, "not sent") {
		t.Errorf("a full generator: %+v, %v", r, err)
	}
	// One that stands still for a while: what was due then counts from when it was due.
	stood := false
	r, err = Run(t.Context(), target(func(uint64) (time.Duration, Outcome) { return 0, Served }), Options{
		For: 500 * time.Millisecond, Open: 1000, TimeOut: time.Second, Steady: true, Rate: func(at time.Duration) float64 {
			if at > 100*time.Millisecond && !stood {
				stood = true
				<-time.After(300 * time.Millisecond) // a machine that is busy with something else
			}
			return 400
		}})
	if err != nil || !strings.Contains(r.Void, "lags") || r.P50 < 50*time.Millisecond || r.LagP99 < 200*time.Millisecond {
		t.Errorf("a generator that lags: %+v, %v", r, err)
	}
	if r := NewRecorder().report(0, time.Second); r.Void == "" {
		t.Error("an empty run counts")
	}
}

// The knee of a target that serves 300 a second is found within its bounds.
func TestKnee(t *testing.T) {
	synctest.Test(t, testKnee) // a busy machine makes a generator of real time lag
}

func testKnee(t *testing.T) {
	next := atomic.Int64{}
	began := time.Now()
	queue := target(func(uint64) (time.Duration, Outcome) { // one server, 3.33 ms each, in turn
		for {
			at, now := next.Load(), int64(time.Since(began))
			if next.CompareAndSwap(at, max(at, now)+int64(time.Second)/300) {
				return time.Duration(max(at, now) - now), Served
			}
		}
	})
	k, err := FindKnee(t.Context(), queue, Options{For: 600 * time.Millisecond, Open: 2000, TimeOut: 2 * time.Second, Steady: true},
		KneeOptions{From: 100, P99: 60 * time.Millisecond, Share: 0.99, Steps: 12})
	if err != nil {
		t.Fatal(err)
	}
	if k.Best < 200 || k.Best > 400 || k.Steps[0].Rate != 100 || !k.Steps[0].Held {
		t.Errorf("%.0f a second; %+v", k.Best, k.Steps)
	}
}

// Over sockets: outcomes by status, headers with the number, several source addresses.
func TestHTTP(t *testing.T) {
	sources := map[string]bool{}
	var served atomic.Int64
	seen := make(chan string, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := strings.Cut(r.RemoteAddr, ":")
		seen <- host + " " + r.Header.Get("X-Id")
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
	h, err := NewHTTP(HTTPOptions{URL: s.URL, Method: http.MethodPost, Header: http.Header{"X-Id": {"r%n"}}, Body: []byte("body"), Sources: 3, Kept: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	r, err := Run(t.Context(), h, Options{For: 500 * time.Millisecond, Open: 200, TimeOut: 2 * time.Second, Steady: true, Rate: steady(160)})
	if err != nil {
		t.Fatal(err)
	}
	for _, how := range []string{"served", "refused", "failed", "broken"} {
		if r.Ends[how] < 10 {
			t.Errorf("%s %d of %d", how, r.Ends[how], r.Sent)
		}
	}
	ids := map[string]bool{}
	for range len(seen) {
		host, id, _ := strings.Cut(<-seen, " ")
		sources[host], ids[id] = true, true
	}
	if len(sources) != 3 || !sources["127.0.0.4"] || uint64(len(ids)) != r.Sent {
		t.Errorf("sources %v; %d ids of %d requests", sources, len(ids), r.Sent)
	}
	for _, o := range []HTTPOptions{
		{URL: "ftp://127.0.0.1/"}, {URL: "http://"}, {URL: "http://192.0.2.1/", Sources: 2}, {URL: s.URL, Sources: 300}, {URL: "http://%zz"},
		{URL: s.URL, Body: make([]byte, mostBody+1)},
	} {
		if _, err := NewHTTP(o); err == nil {
			t.Errorf("%s with %d sources is taken", o.URL, o.Sources)
		}
	}
	if ParseHeader(http.Header{}, "nothing") == nil || ParseHeader(http.Header{}, ": x") == nil {
		t.Error("headers without a name are taken")
	}
}

func TestImpossibleOptions(t *testing.T) {
	good := Options{For: time.Second, Open: 1, TimeOut: time.Second, Rate: steady(1)}
	for name, change := range map[string]func(*Options){
		"neither": func(o *Options) { o.Rate = nil }, "both": func(o *Options) { o.Closed = 1 },
		"clients": func(o *Options) { o.Rate, o.Closed = nil, mostOpen+1 }, "open": func(o *Options) { o.Open = 0 },
		"for": func(o *Options) { o.For = 0 }, "time-out": func(o *Options) { o.TimeOut = longest + 1 },
	} {
		o := good
		change(&o)
		if _, err := Run(t.Context(), nil, o); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if _, err := FindKnee(t.Context(), nil, good, KneeOptions{}); err == nil {
		t.Error("a knee of nothing is looked for")
	}
}
