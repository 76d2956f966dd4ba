package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// call sends a call to an outlet on a connection of its own.
func call(ctx context.Context, o *Outlet, query string) (int, listResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.Addr()+"/discovery/hosts"+query, nil)
	if err != nil {
		return 0, listResponse{}, err
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, listResponse{}, err
	}
	defer resp.Body.Close()
	var a listResponse
	if resp.StatusCode == http.StatusOK {
		err = json.NewDecoder(resp.Body).Decode(&a)
	}
	return resp.StatusCode, a, err
}

func pushed(t *testing.T, d *Discovery) *Outlet {
	t.Helper()
	o, err := d.NewPushOutlet()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return o
}

func TestDiscoveryListsAndWatches(t *testing.T) {
	d := NewDiscovery()
	o := pushed(t, d)
	d.Set(Target{UID: "s1", State: InService})
	code, a, err := call(t.Context(), o, "")
	if code != 200 || err != nil || !a.All || a.Rev != 1 || len(a.Targets) != 1 {
		t.Fatalf("list: %d %+v %v", code, a, err)
	}
	got := make(chan listResponse, 1)
	go func() {
		_, a, _ := call(context.Background(), o, "?since=1&timeout_ms=20000")
		got <- a
	}()
	d.Set(Target{UID: "s2", State: InService})
	d.Set(Target{UID: "s1", State: Terminating})
	if a := <-got; a.All || a.Rev < 2 || len(a.Targets) < 1 {
		t.Errorf("watch: %+v", a)
	}
	if _, a, err := call(t.Context(), o, "?since=3&timeout_ms=1"); err != nil || a.All || a.Rev != 3 || len(a.Targets) != 0 {
		t.Errorf("watch that is over: %+v, %v", a, err)
	}
	for query, want := range map[string]int{"?since=x": 400, "?since=1": 400, "?since=-1&timeout_ms=0": 400} {
		if code, _, _ := call(t.Context(), o, query); code != want {
			t.Errorf("%s: %d", query, code)
		}
	}
	// For a version before the history, and for one from another run of discovery, it gives the whole list.
	for n := range maxHistory + 5 {
		d.Set(Target{UID: "s3", State: InService, BootMs: int64(n)})
	}
	for _, since := range []int{2, 1 << 30} {
		if _, a, err := call(t.Context(), o, fmt.Sprintf("?since=%d&timeout_ms=10", since)); err != nil || !a.All || len(a.Targets) != 3 {
			t.Errorf("since %d: %+v, %v", since, a, err)
		}
	}
	if len(d.history) > maxHistory {
		t.Errorf("%d changes are remembered", len(d.history))
	}
}

func TestDiscoveryDown(t *testing.T) {
	d := NewDiscovery()
	push := pushed(t, d)
	ask, err := d.NewSharedOutlet(time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer ask.Close()
	ended := make(chan int, 1)
	go func() {
		code, _, _ := call(context.Background(), ask, "?since=0&timeout_ms=60000")
		ended <- code
	}()
	d.SetDown(true)
	if code := <-ended; code != 503 {
		t.Errorf("a watch ends with %d", code)
	}
	if code, _, _ := call(t.Context(), ask, ""); code != 503 {
		t.Errorf("asked while down: %d", code)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if code, _, err := call(ctx, push, ""); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("pushed while down: %d, %v, want silence", code, err)
	}
	d.SetDown(false)
	for _, o := range []*Outlet{push, ask} {
		if code, _, err := call(t.Context(), o, ""); code != 200 || err != nil {
			t.Errorf("back again: %d, %v", code, err)
		}
	}
}

// The drain rule counts from the time at which the last outlet delivered the present drain, not an earlier one.
func TestDeliveredToAll(t *testing.T) {
	d := NewDiscovery()
	one, two := pushed(t, d), pushed(t, d)
	d.Set(Target{UID: "s1", State: InService})
	if _, ok := d.DeliveredToAll("s1"); ok {
		t.Error("a target in service counts as draining")
	}
	d.Set(Target{UID: "s1", State: Terminating})
	began := time.Now()
	call(t.Context(), one, "")
	told, ok := d.DeliveredToAll("s1")
	if !ok || told.Sub(began) < assumedDelivery-time.Second {
		t.Errorf("delivered after %v, %v, want the assumed delivery while one outlet was not asked", told.Sub(began), ok)
	}
	call(t.Context(), two, "")
	if told, ok = d.DeliveredToAll("s1"); !ok || told.Sub(began) > 2*time.Second {
		t.Errorf("delivered after %v, %v, want the real delivery once both outlets were asked", told.Sub(began), ok)
	}
	d.Set(Target{UID: "s1", State: InService})
	d.Set(Target{UID: "s1", State: Terminated})
	if again, ok := d.DeliveredToAll("s1"); !ok || !again.After(told) {
		t.Errorf("a second removal counts from the first: %v, %v", again, ok)
	}
}

var classes = []Class{
	{Name: "read", Effect: Safe, Work: time.Millisecond, Share: 0.5},
	{Name: "push", Effect: Keyed, Work: time.Millisecond, Window: time.Hour, Share: 0.3},
	{Name: "book", Effect: Unsafe, Work: time.Millisecond, Share: 0.2},
}

func newBox(t *testing.T, change func(*BoxOptions)) (*Box, *Discovery, *Ledger) {
	t.Helper()
	d, l := NewDiscovery(), NewLedger(1000)
	opt := BoxOptions{
		UID: "s1", Cores: 2, Speed: 1, Queue: 2, Classes: classes,
		ColdFrom: 0.3, ColdFor: time.Hour, FallMultiple: 3, FallFor: time.Second,
	}
	if change != nil {
		change(&opt)
	}
	b, err := NewBox(opt, d, l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Crash)
	return b, d, l
}

// send sends a request to a box and returns the status, whether the answer is marked as
// unprocessed, and the body.
func send(t *testing.T, b *Box, class, id string) (code int, unprocessed bool, body string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+b.addr+"/"+class+"/k1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Correlation-Id", id)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, false, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Unprocessed") == "1", string(text), err
}

func TestBoxInjectsFaults(t *testing.T) {
	b, d, _ := newBox(t, nil)
	if code, _, body, err := send(t, b, "read", "a"); code != 200 || body != Body("a", "s1") || err != nil {
		t.Errorf("as usual: %d %q %v", code, body, err)
	}
	if code, _, _, _ := send(t, b, "nope", "a"); code != 404 {
		t.Errorf("unknown class: %d", code)
	}
	b.FailFast(1)
	if code, un, _, _ := send(t, b, "read", "b"); code != 500 || un || b.State() != "failing" {
		t.Errorf("failing: %d %v %s", code, un, b.State())
	}
	b.Heal()
	b.Hang(true)
	ended := make(chan error, 1)
	go func() {
		_, _, _, err := send(t, b, "read", "c")
		ended <- err
	}()
	for b.ledger.seen("c") == false {
		time.Sleep(time.Millisecond)
	}
	b.Heal()
	if err := <-ended; err == nil {
		t.Error("a hanging box answered")
	}
	b.Drain()
	if code, un, _, _ := send(t, b, "read", "d"); code != 503 || !un || d.Targets()[0].State != Terminating {
		t.Errorf("draining: %d %v %+v", code, un, d.Targets())
	}
	b.Crash()
	if _, _, _, err := send(t, b, "read", "e"); err == nil || b.State() != "down" {
		t.Errorf("crashed: %v, %s", err, b.State())
	}
	if err := b.Return(); err != nil {
		t.Fatal(err)
	}
	if code, _, _, err := send(t, b, "read", "f"); code != 200 || err != nil || b.State() != "cold" || d.Targets()[0].BootMs == 0 {
		t.Errorf("back: %d %v %s %+v", code, err, b.State(), d.Targets())
	}
	b.Leave()
	if len(d.Targets()) != 0 {
		t.Error("a box that left is still listed")
	}
}

// A box that is stopped and restarted at once can listen on its old address again.
func TestBoxRestartsOnItsAddress(t *testing.T) {
	b, _, _ := newBox(t, nil)
	for n := range 200 {
		if err := b.Return(); err != nil {
			t.Fatalf("return %d: %v", n, err)
		}
	}
}

func (l *Ledger) seen(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id] != nil
}

func TestBoxRejectsBeyondItsQueue(t *testing.T) {
	b, _, _ := newBox(t, func(o *BoxOptions) {
		o.Classes = []Class{{Name: "read", Work: 200 * time.Millisecond}}
	})
	codes := make(chan int, 12)
	for n := range 12 {
		go func() {
			code, un, _, _ := send(t, b, "read", fmt.Sprint(n))
			if un != (code == 503) {
				code = -1
			}
			codes <- code
		}()
	}
	by := map[int]int{}
	for range 12 {
		by[<-codes]++
	}
	if by[200] < 4 || by[503] == 0 || by[200]+by[503] != 12 {
		t.Errorf("answers by status: %v, want at least four served and the rest turned away", by)
	}
}

// A cold box that is overloaded falls over and stays down; a warm one does not.
func TestColdBoxFalls(t *testing.T) {
	for name, cold := range map[string]bool{"cold": true, "warm": false} {
		b, _, l := newBox(t, nil)
		if cold {
			b.update(func() { b.booted = time.Now() })
		}
		for n := range 6 { // 3 s of work against a limit of 3 × 0.3 × 2 core seconds within 1 s
			b.mu.Lock()
			fell := b.addColdWork(time.Now(), 500*time.Millisecond)
			b.mu.Unlock()
			if fell != (cold && n >= 3) {
				t.Errorf("%s: push %d: fell %v", name, n, fell)
			}
		}
		if cold {
			if _, _, _, err := send(t, b, "read", "x"); err == nil || b.State() != "fallen" {
				t.Errorf("pushed over: %v, %s", err, b.State())
			}
			if r := l.Report(); r.Violations != 1 || !strings.Contains(r.Descriptions[0], "pushed over") {
				t.Errorf("%+v", r)
			}
		}
	}
}

// The ledger reports each violation of a rule, and none where the rules are kept.
func TestLedgerReportsViolations(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	none := time.Time{}
	for name, c := range map[string]struct {
		do   func(l *Ledger)
		rule string
	}{
		"as it should be": {func(l *Ledger) {
			l.RecordAttempt("a", "s1", now, none)
			l.RecordRun("a", "s1", Unsafe, 0, now)
			l.RecordAnswer("a", "book", Served, now)
		}, ""},
		"lost":           {func(l *Ledger) { l.RecordAnswer("a", "read", Lost, now) }, "no request is lost"},
		"answered twice": {func(l *Ledger) { l.RecordAnswer("a", "read", Served, now); l.RecordAnswer("a", "read", Served, now) }, "answered twice"},
		"sent late": {func(l *Ledger) {
			l.RecordAnswer("a", "read", Refused, now)
			l.RecordAttempt("a", "s1", at(lateAttemptGrace+1), none)
		}, "after its final answer"},
		"just on its way": {func(l *Ledger) {
			l.RecordAnswer("a", "read", Refused, now)
			l.RecordAttempt("a", "s1", at(lateAttemptGrace), none)
		}, ""},
		"unsafe twice": {func(l *Ledger) { l.RecordRun("a", "s1", Unsafe, 0, now); l.RecordRun("a", "s2", Unsafe, 0, now) }, "effect happens twice"},
		"keyed, dropped": {func(l *Ledger) {
			if !l.RecordRun("a", "s1", Keyed, time.Second, now) || l.RecordRun("a", "s2", Keyed, time.Second, at(time.Second-1)) {
				l.RecordFall("wrong")
			}
		}, ""},
		"keyed, too late": {func(l *Ledger) {
			l.RecordRun("a", "s1", Keyed, time.Second, now)
			l.RecordRun("a", "s2", Keyed, time.Second, at(time.Second))
		}, "effect happens twice"},
		"safe twice":           {func(l *Ledger) { l.RecordRun("a", "s1", Safe, 0, now); l.RecordRun("a", "s2", Safe, 0, now) }, ""},
		"refused, then runs":   {func(l *Ledger) { l.RecordAnswer("a", "book", Refused, now); l.RecordRun("a", "s1", Unsafe, 0, now) }, "was refused and has run"},
		"runs, then refused":   {func(l *Ledger) { l.RecordRun("a", "s1", Unsafe, 0, now); l.RecordAnswer("a", "book", Refused, now) }, "was refused and has run"},
		"runs, then fails":     {func(l *Ledger) { l.RecordRun("a", "s1", Unsafe, 0, now); l.RecordAnswer("a", "book", Failed, now) }, ""},
		"after the drain":      {func(l *Ledger) { l.RecordAttempt("a", "s1", at(drainGrace+1), now) }, "drains are kept"},
		"within the grace":     {func(l *Ledger) { l.RecordAttempt("a", "s1", at(drainGrace), now) }, ""},
		"a cold server pushed": {func(l *Ledger) { l.RecordFall("s1") }, "no cold server is pushed over"},
	} {
		l := NewLedger(10)
		c.do(l)
		r := l.Report()
		if (r.Violations > 0) != (c.rule != "") || c.rule != "" && !strings.Contains(r.Descriptions[0], c.rule) {
			t.Errorf("%s: %+v, want %q", name, r.Descriptions, c.rule)
		}
	}
}

func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger(100)
	for n := range 1000 {
		l.RecordAnswer(fmt.Sprint(n), "read", Lost, time.Unix(0, 0))
	}
	if len(l.requests) != 100 || l.Report().Violations != 1000 {
		t.Errorf("%d requests, %d breaks", len(l.requests), l.Report().Violations)
	}
}

// Clients record the outcome of each kind of answer. An answer that breaks off, belongs to another
// request or does not come counts as lost.
func TestClientsRecordOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answers []string // one per connection; "" closes it without an answer
		want    Outcome
	}{
		"served":       {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nID by s1\r\n"}, Served},
		"refused":      {[]string{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"}, Refused},
		"failed":       {[]string{"HTTP/1.1 502 No\r\nContent-Length: 0\r\n\r\n"}, Failed},
		"broken off":   {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nID by s1\r\n"}, Lost},
		"not its own":  {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nXX by s1\r\n"}, Lost},
		"not answered": {[]string{""}, Lost},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan struct{})
		go func() {
			defer close(served)
			for _, text := range c.answers {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				b := make([]byte, 4096)
				n, _ := conn.Read(b)
				_, rest, _ := strings.Cut(string(b[:n]), "X-Correlation-Id: ")
				id, _, _ := strings.Cut(rest, "\r\n")
				text = strings.Replace(text, "Content-Length: 10\r", fmt.Sprintf("Content-Length: %d\r", 8+len(id)), 1)
				io.WriteString(conn, strings.Replace(text, "ID", id, 1))
				conn.Close()
			}
		}()
		ledger := NewLedger(10)
		f := NewFront([]string{l.Addr().String()})
		f.nodes[0].available = true
		clients := NewClients(ClientOptions{Rate: 1, Classes: classes, MaxOpen: 1}, f, ledger)
		clients.request(t.Context(), classes[2], "", 1, time.Second)
		<-served
		l.Close()
		f.nodes[0].transport.CloseIdleConnections()
		if got := ledger.Report().Counts["book"]; len(got) == 0 || got[c.want] != 1 {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
