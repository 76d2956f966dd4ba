package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterstep/internal/core"
	"otterstep/internal/lifecycle"
	"otterstep/internal/operator"
	"otterstep/internal/wire"
	"otterstep/policy"
)

const settings = `{
 "Accounts": [{"Name": "acme", "QuotaPerS": 1000}],
 "Classes": [
  {"Name": "read", "DeadlineMs": 3000, "PromiseMs": 2000, "Effect": "pure"},
  {"Name": "push", "DeadlineMs": 3000, "PromiseMs": 2000, "Effect": "token", "DedupScope": "all", "KeyTtlMs": 6000},
  {"Name": "book", "DeadlineMs": 3000, "PromiseMs": 2000, "Effect": "side_effect"}],
 "Limits": {"MaxAttempts": 4, "Cancel": true, "RetryAfter": true, "MaxRetryAfterMs": 600, "ConnectTimeoutMs": 5000},
 "Zones": ["a"]}`

// registry is a scripted discovery.
type registry struct {
	*httptest.Server
	mu      sync.Mutex
	rev     int64
	all     map[string]target
	changed map[string]int64 // revision of the last change by UID
	news    chan struct{}    // closed and replaced at each change
	down    bool
	failed  int   // requests answered with 503
	asked   bool  // the settings make nodes poll instead of watching
	watched int64 // revision that the latest watch started from
}

func newRegistry(t *testing.T, targets ...target) *registry {
	d := &registry{rev: 1, all: map[string]target{}, changed: map[string]int64{}, news: make(chan struct{})}
	for _, e := range targets {
		d.all[e.UID], d.changed[e.UID] = e, 1
	}
	d.Server = httptest.NewServer(d)
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func (d *registry) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.news)
	d.news = make(chan struct{})
}

func (d *registry) change(e target) {
	d.set(func() { d.rev++; d.all[e.UID], d.changed[e.UID] = e, d.rev })
}

func (d *registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := int64(0)
	if text := r.URL.Query().Get("since"); text != "" && !d.down {
		since, _ = strconv.ParseInt(text, 10, 64)
		d.watched = since
		if news := d.news; since >= d.rev {
			d.mu.Unlock()
			select {
			case <-news:
			case <-r.Context().Done():
			}
			d.mu.Lock()
		}
	}
	if d.down {
		d.failed++
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := hostList{Rev: d.rev, All: since == 0}
	for uid, e := range d.all {
		if d.changed[uid] > since {
			list.Targets = append(list.Targets, e)
		}
	}
	json.NewEncoder(w).Encode(list)
}

// awaitApplied waits until the node has applied the latest revision, which shows in that it watches from there.
func (d *registry) awaitApplied(t *testing.T) {
	t.Helper()
	waitFor(t, "watch from the latest revision", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.watched == d.rev
	})
}

func listedTarget(s *server, uid string) target {
	return target{UID: uid, Endpoint: s.addr, AZ: "a", State: "in_service", CapacityHint: 1}
}

func siteOf(t testing.TB, text string) wire.Site {
	t.Helper()
	site, err := wire.ParseSite([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return site
}

// startNode runs a node until the end of the test; stop drains it.
func startNode(t *testing.T, d *registry, known ...target) (addr string, stop func() error) {
	t.Helper()
	return startNodeWithReloads(t, d, Reloads{}, known...)
}

func startNodeWithReloads(t *testing.T, d *registry, reloads Reloads, known ...target) (addr string, stop func() error) {
	t.Helper()
	return startNodeWithOperatorFile(t, d, operator.File{}, reloads, known...)
}

func startNodeWithOperatorFile(t *testing.T, d *registry, op operator.File, reloads Reloads, known ...target) (addr string, stop func() error) {
	t.Helper()
	return startNodeConfigured(t, d, op, reloads, quiet(), func(*Config) {}, known...)
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func startNodeConfigured(t *testing.T, d *registry, op operator.File, reloads Reloads, log *slog.Logger, change func(*Config), known ...target) (addr string, stop func() error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startNodeOn(t, l, d, op, reloads, log, change, known...)
}

// startNodeOn is startNodeConfigured with a listener for clients that the test has opened.
func startNodeOn(t *testing.T, l net.Listener, d *registry, op operator.File, reloads Reloads, log *slog.Logger, change func(*Config), known ...target) (addr string, stop func() error) {
	t.Helper()
	text := settings
	if d.asked {
		text = strings.Replace(text, "{", `{"RegistryMode": "on_request",`, 1)
	}
	site := siteOf(t, text)
	cfg := Config{
		Name: "n0", Listen: l.Addr().String(), Discovery: d.Listener.Addr().String(), Seed: 1,
		Sockets: minSockets, Known: hostList{Rev: 1, All: true, Targets: known}, Site: site,
	}
	change(&cfg)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, cfg, op, l, reloads, log) }()
	stop = sync.OnceValue(func() error { cancel(); return <-ended })
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections() // so that the drain does not wait for them
		stop()
	})
	waitFor(t, "ready node", func() bool {
		resp, err := http.Get("http://" + l.Addr().String() + "/up")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return l.Addr().String(), stop
}

var lastID atomic.Int64 // makes request IDs unique

// clientRequest returns a client's request of a class, in the form of the platform's PROTOCOL document.
func clientRequest(t *testing.T, addr, class, left string) *http.Request {
	t.Helper()
	method, body := http.MethodPost, "payload"
	if class == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, "http://"+addr+"/"+class+"/k%2F1?q=%20", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"X-Correlation-Id": fmt.Sprint("id-", lastID.Add(1)), "X-Service-Class": class, "X-Account": "acme", "X-Time-Left": left,
	} {
		r.Header.Set(name, value)
	}
	if class == "push" {
		r.Header.Set("Idempotency-Key", "idem")
	}
	return r
}

// do sends a request and returns the answer's status, header and body.
func do(t *testing.T, r *http.Request) (int, http.Header, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(body)
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	got := make(chan string, 1)
	s := newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		body, _ := io.ReadAll(r.Body)
		left, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
		got <- fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Header.Get("X-Correlation-Id"), " ",
			r.Header.Get("Idempotency-Key"), " ", string(body), " ", err == nil && left > 0 && left < 2.5)
		io.WriteString(c, ok("made for you"))
		return true
	})
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	for class, want := range map[string]string{
		"read": "GET /read/k%2F1?q=%20 ID   true",
		"push": "POST /push/k%2F1?q=%20 ID idem payload true",
		"book": "POST /book/k%2F1?q=%20 ID  payload true",
	} {
		r := clientRequest(t, addr, class, "2.5")
		code, _, body := do(t, r)
		want = strings.Replace(want, "ID", r.Header.Get("X-Correlation-Id"), 1)
		if code != http.StatusOK || body != "made for you" {
			t.Errorf("%s: answered %d %q", class, code, body)
		}
		if line := <-got; line != want {
			t.Errorf("%s: server received %q, want %q", class, line, want)
		}
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	s := newServer(t, respondWith(ok("x"), true))
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	for name, c := range map[string]struct {
		class  string
		modify func(r *http.Request)
		code   int
	}{
		"unknown class":    {"read", func(r *http.Request) { r.Header.Set("X-Service-Class", "nope") }, 400},
		"unknown account":  {"read", func(r *http.Request) { r.Header.Set("X-Account", "nobody") }, 400},
		"no id":            {"read", func(r *http.Request) { r.Header.Del("X-Correlation-Id") }, 400},
		"two ids":          {"read", func(r *http.Request) { r.Header.Add("X-Correlation-Id", "b") }, 400},
		"other path":       {"read", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/book/1", "" }, 400},
		"out of its class": {"read", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/read/../book/1", "/read/../book/1" }, 400},
		"escaped":          {"read", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/read/../book/1", "/read/%2e%2E/book/1" }, 400},
		"with parameters":  {"read", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/read/..;a=b/1", "/read/..;a=b/1" }, 400},
		"dot as the key":   {"read", func(r *http.Request) { r.URL.Path, r.URL.RawPath = "/read/.", "/read/." }, 400},
		"no time":          {"read", func(r *http.Request) { r.Header.Del("X-Time-Left") }, 400},
		"negative time":    {"read", func(r *http.Request) { r.Header.Set("X-Time-Left", "-1") }, 400},
		"time no number":   {"read", func(r *http.Request) { r.Header.Set("X-Time-Left", "NaN") }, 400},
		"endless time":     {"read", func(r *http.Request) { r.Header.Set("X-Time-Left", "99999999999999999999999") }, 400},
		"body of a GET":    {"read", func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1 }, 400},
		"hint no number":   {"read", func(r *http.Request) { r.Header.Set("X-Weight-Hint", "x") }, 400},
		"wrong method":     {"book", func(r *http.Request) { r.Method = http.MethodPut }, 405},
		"no key":           {"push", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"unsafe with key":  {"book", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k") }, 400},
		"body too long": {"book", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("a")), maxRequestBody+1
			r.Header.Set("Expect", "100-continue") // no byte of it is sent
		}, 413},
	} {
		r := clientRequest(t, addr, c.class, "2.5")
		c.modify(r)
		if code, _, _ := do(t, r); code != c.code {
			t.Errorf("%s: answered %d, want %d", name, code, c.code)
		}
	}
	if n := s.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the server, want 0", n)
	}
}

// Guards against attempts and connections that go on after the client has disconnected.
func TestClientDisconnectCancelsAttempt(t *testing.T) {
	came, closed := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		close(came)
		c.Read(make([]byte, 1)) // returns once the node closes
		close(closed)
		return false
	})
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	ctx, leave := context.WithCancel(t.Context())
	go func() { <-came; leave() }()
	began := time.Now()
	if resp, err := http.DefaultClient.Do(clientRequest(t, addr, "book", "2.9").WithContext(ctx)); err == nil {
		t.Fatalf("answered %s", resp.Status)
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the attempt's connection stays open")
	}
	if time.Since(began) > 2900*time.Millisecond {
		t.Skip("the machine is too slow to tell the disconnect from the deadline")
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// If the server does not answer, the client gets its final answer at its deadline; only classes that may be retried
// get a 503.
func TestDeadlineWithASilentServer(t *testing.T) {
	for class, want := range map[string]int{"read": 503, "push": 503, "book": 502} {
		closed := make(chan struct{}, 8)
		s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
			c.Read(make([]byte, 1))
			closed <- struct{}{}
			return false
		})
		addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
		began := time.Now()
		code, _, _ := do(t, clientRequest(t, addr, class, "0.3"))
		if code != want {
			t.Errorf("%s: answered %d, want %d", class, code, want)
		}
		if took := time.Since(began); took < 200*time.Millisecond {
			t.Errorf("%s: answered after %v, before the deadline", class, took)
		}
		select {
		case <-closed:
		case <-time.After(testTimeout):
			t.Errorf("%s: the attempt is not cancelled", class)
		}
	}
}

func TestRefusalHasRetryAfter(t *testing.T) {
	addr, _ := startNode(t, newRegistry(t)) // no server at all
	began := time.Now()
	code, header, _ := do(t, clientRequest(t, addr, "push", "2.9"))
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if code != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 0.6 {
		t.Errorf("answered %d with Retry-After %q, want 503 and at most 0.6", code, header.Get("Retry-After"))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("took %v, want an answer at once", took)
	}
}

// No request is sent to a server after discovery has reported that it drains (rule 3).
func TestDrainFromDiscovery(t *testing.T) {
	s1, s2 := newServer(t, respondWith(ok("1"), true)), newServer(t, respondWith(ok("2"), true))
	d := newRegistry(t, listedTarget(s1, "s1"), listedTarget(s2, "s2"))
	addr, _ := startNode(t, d)
	_, _, preferred := do(t, clientRequest(t, addr, "read", "2.5"))
	draining, other := s1, "2"
	gone := listedTarget(s1, "s1")
	if preferred == "2" {
		draining, other = s2, "1"
		gone = listedTarget(s2, "s2")
	}
	gone.State = "terminating"
	d.change(gone)
	d.awaitApplied(t)
	before := draining.requests.Load()
	for range 20 {
		if code, _, body := do(t, clientRequest(t, addr, "read", "2.5")); code != http.StatusOK || body != other {
			t.Errorf("answered %d %q, want 200 from the other server", code, body)
		}
	}
	if n := draining.requests.Load(); n != before {
		t.Errorf("%d requests to the draining server", n-before)
	}
}

// Where lists are pushed, the node renews the watch itself; where they are polled, the decision module is told of the
// failure and decides when to ask again.
func TestWatchRecovers(t *testing.T) {
	for name, asked := range map[string]bool{"pushed": false, "asked": true} {
		t.Run(name, func(t *testing.T) {
			s1, s2 := newServer(t, respondWith(ok("1"), true)), newServer(t, respondWith(ok("2"), true))
			d := newRegistry(t, listedTarget(s1, "s1"))
			d.asked = asked
			addr, _ := startNode(t, d)
			d.awaitApplied(t)
			d.set(func() { d.down = true })
			waitFor(t, "further request while discovery is down", func() bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.failed >= 2
			})
			if code, _, body := do(t, clientRequest(t, addr, "read", "2.5")); code != http.StatusOK || body != "1" {
				t.Errorf("answered %d %q while discovery is down, want 200 from the old list", code, body)
			}
			gone := listedTarget(s1, "s1")
			gone.State = "terminated"
			d.change(listedTarget(s2, "s2"))
			d.change(gone)
			d.set(func() { d.down = false })
			d.awaitApplied(t)
			if code, _, body := do(t, clientRequest(t, addr, "read", "2.5")); code != http.StatusOK || body != "2" {
				t.Errorf("answered %d %q, want 200 from the new server", code, body)
			}
		})
	}
}

// With discovery down from the start, the node uses the list in its configuration.
func TestKnownListServesWhileDiscoveryIsDown(t *testing.T) {
	s := newServer(t, respondWith(ok("1"), true))
	d := newRegistry(t)
	d.down = true
	addr, _ := startNode(t, d, listedTarget(s, "s1"))
	if code, _, body := do(t, clientRequest(t, addr, "read", "2.5")); code != http.StatusOK || body != "1" {
		t.Errorf("answered %d %q, want 200", code, body)
	}
}

// A failed first attempt is retried at another server only if the class allows it.
func TestResetIsRetriedOnlyWhereAllowed(t *testing.T) {
	for class, want := range map[string]struct {
		code   int
		copies int64
	}{"read": {200, 2}, "push": {200, 2}, "book": {502, 1}} {
		var all server
		breaks := func(_ int64, _ *http.Request, c net.Conn) bool {
			if all.requests.Add(1) > 1 {
				io.WriteString(c, ok("second"))
				return true
			}
			return false
		}
		addr, _ := startNode(t, newRegistry(t, listedTarget(newServer(t, breaks), "s1"), listedTarget(newServer(t, breaks), "s2")))
		if code, _, _ := do(t, clientRequest(t, addr, class, "2.9")); code != want.code {
			t.Errorf("%s: answered %d, want %d", class, code, want.code)
		}
		if n := all.requests.Load(); n != want.copies {
			t.Errorf("%s: %d attempts, want %d", class, n, want.copies)
		}
	}
}

// Guards against requests that a drain leaves unanswered (rule 1): a client that goes on using its connection is
// answered each time, until an answer closes the connection; a request accepted before is answered too, and Run returns
// nil.
func TestDrainServesOpenConnections(t *testing.T) {
	came, release := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(_ int64, r *http.Request, c net.Conn) bool {
		if r.Method == http.MethodPost {
			close(came)
			<-release
		}
		io.WriteString(c, ok("x"))
		return true
	})
	addr, stop := startNode(t, newRegistry(t, listedTarget(s, "s1"), listedTarget(s, "s2")))
	earlier := make(chan int, 1)
	go func() {
		resp, err := http.DefaultClient.Do(clientRequest(t, addr, "book", "2.9"))
		if err != nil {
			earlier <- 0
			return
		}
		resp.Body.Close()
		earlier <- resp.StatusCode
	}()
	<-came
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	ended := make(chan error, 1)
	for i, closes := 0, false; !closes; i++ {
		if i == 1 {
			go func() { ended <- stop() }()
			close(release)
		}
		if err := clientRequest(t, addr, "read", "2.9").Write(c); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		c.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("request %d: answered %s, %v; want 200", i, resp.Status, err)
		}
		closes = resp.Close
		time.Sleep(5 * time.Millisecond)
	}
	if code := <-earlier; code != http.StatusOK {
		t.Errorf("answered %d, want 200 for the request accepted before the drain", code)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("the node still accepts")
	}
}

// testCore runs a core loop without a node.
func testCore(t *testing.T) (*core.Loop, *upstream) {
	t.Helper()
	up := testUpstream(t, 8)
	l, err := core.New(core.Options{Settings: siteOf(t, settings).Settings, Seed: 1, Clock: core.NewClock(), Watch: func() {}, Drop: up.pool.Drop})
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(t.Context())
	return l, up
}

// idle returns a core loop that is not running.
func idle(t *testing.T) *core.Loop {
	t.Helper()
	l, err := core.New(core.Options{Settings: siteOf(t, settings).Settings, Seed: 1, Clock: core.NewClock()})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// With tell_up in the operator's file, /up reports a drain while the node still accepts, so that clients that poll it
// leave before connections are closed; without it /up goes on answering 200, as the platform expects.
func TestUpReportsDrainIfConfigured(t *testing.T) {
	for _, tell := range []bool{true, false} {
		came, hold := make(chan struct{}), make(chan struct{})
		s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
			close(came)
			<-hold
			io.WriteString(c, ok("x"))
			return true
		})
		var op operator.File
		op.Drain.TellUp = tell
		addr, stop := startNodeWithOperatorFile(t, newRegistry(t, listedTarget(s, "s1")), op, Reloads{})
		answered := make(chan int, 1)
		r := clientRequest(t, addr, "book", "2.9")
		go func() {
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				answered <- 0
				return
			}
			resp.Body.Close()
			answered <- resp.StatusCode
		}()
		<-came // a client is connected, so that the drain lasts
		stopped := make(chan error, 1)
		go func() { stopped <- stop() }()
		reported := false
		for until := time.Now().Add(lifecycle.AcceptWindow); time.Now().Before(until) && !reported; {
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(httptest.NewRequest(http.MethodGet, "http://"+addr+"/up", nil))
			if err != nil {
				t.Fatalf("tell_up %v: the node no longer accepts: %v", tell, err)
			}
			resp.Body.Close()
			reported = resp.StatusCode == http.StatusServiceUnavailable
		}
		if reported != tell {
			t.Errorf("tell_up %v: /up reported the drain: %v", tell, reported)
		}
		close(hold)
		if code := <-answered; code != http.StatusOK {
			t.Errorf("tell_up %v: the request in progress was answered %d", tell, code)
		}
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	}
}

// Guards against requests that SIGKILL leaves unanswered at the end of a drain (rule 1): a late request is answered
// before, however far its deadline is away.
func TestDrainLimitsDeadlines(t *testing.T) {
	s := newServer(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		c.Read(make([]byte, 1)) // sends nothing until the node closes the connection
		return false
	})
	l, up := testCore(t)
	l.UpdateServers(policy.ListFull, []policy.Entry{{Server: 1, State: policy.Ready}}, []string{s.addr})
	l.ShutDownIn(100 * time.Millisecond)
	done, m := make(chan core.Answer, 1), get()
	m.upstream = up
	l.Submit(core.Request{Name: "1", Deadline: l.Clock().Now() + time.Hour, Message: m, Answers: done})
	select {
	case a := <-done:
		if a.Outcome == core.Served {
			t.Error("served, though the server sent nothing")
		}
	case <-time.After(testTimeout):
		t.Error("no answer")
	}
}

// dialClient opens a new connection; ask sends a request on it and returns the answer's status.
func dialClient(t *testing.T, addr string) (c net.Conn, ask func() (int, error)) {
	t.Helper()
	conn := connect(t, addr)
	return conn, func() (int, error) {
		if err := clientRequest(t, addr, "read", "2.9").Write(conn); err != nil {
			return 0, err
		}
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		resp, err := http.ReadResponse(conn.in, nil)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, err
	}
}

const maxClients = 24 // of a node with the minimum of descriptors

// Guards against lost requests at the descriptor limit (rule 1): if a connection is left in the kernel's accept queue,
// the kernel accepts its request but nobody answers it. Seen under overload with 256 descriptors: 12,640 requests lost.
func TestClientBeyondTheCapIsRefusedAtOnce(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := newServer(t, func(int64, *http.Request, net.Conn) bool { <-hold; return false })
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	for range maxClients {
		c, _ := dialClient(t, addr)
		if err := clientRequest(t, addr, "read", "2.9").Write(c); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "refusal", func() bool {
		_, ask := dialClient(t, addr)
		code, err := ask()
		return err == nil && code == http.StatusServiceUnavailable
	})
}

// Guards against closing connections that are about to be used: while few descriptors are left, connections are
// closed with an answer, when no request can be in flight.
func TestCrowdedConnectionsCloseAfterAnswer(t *testing.T) {
	s := newServer(t, respondWith(ok("x"), true))
	addr, _ := startNode(t, newRegistry(t, listedTarget(s, "s1")))
	var first func() (int, error)
	for i := range maxClients + 8 {
		_, ask := dialClient(t, addr)
		if code, err := ask(); code != http.StatusOK {
			t.Fatalf("answered %d, %v; want 200", code, err)
		}
		if i == 0 {
			first = ask
		}
	}
	if code, err := first(); code != http.StatusOK {
		t.Errorf("the first connection answers %d, %v; want it to be still open", code, err)
	}
}

func TestKeyOfAPath(t *testing.T) {
	if key("") != 0 || key("a/") != 0 {
		t.Error("a path without a last segment has a key")
	}
	if a, b := key("x/7"), key("7"); a != b || a == 0 || a == key("8") {
		t.Error("the key must depend on the last segment only")
	}
}

func TestUnknownStateGetsNoNewRequests(t *testing.T) {
	for word, want := range map[string]policy.State{
		"in_service": policy.Ready, "terminating": policy.Draining, "terminated": policy.Gone, "resting": policy.Draining,
	} {
		if got := serverState(word); got != want {
			t.Errorf("%s: state %d, want %d", word, got, want)
		}
	}
}

// Guards against clients that use a draining node's connections until they are cut off: once draining is set, each
// answer closes its connection.
func TestDrainingFrontClosesAfterAnswers(t *testing.T) {
	var state lifecycle.Lifecycle
	state.Ready()
	f := newFront(idle(t), nil, wire.Site{}, newClients(8, newClientMemory(0, 8)), newClientMemory(0, 8), &state, false)
	for _, draining := range []bool{false, true} {
		f.draining.Store(draining)
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/up", nil))
		if closes := w.Header().Get("Connection") == "close"; w.Code != http.StatusOK || closes != draining {
			t.Errorf("draining %v: answered %d, closes %v", draining, w.Code, closes)
		}
	}
}
