package node

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"otterstep/internal/core"
	"otterstep/policy"
)

// scriptedDiscovery is a discovery service whose answers are given one by one by the test.
type scriptedDiscovery struct {
	*httptest.Server
	calls   chan string // the query of each call
	answers chan string
}

func newScriptedDiscovery(t *testing.T) *scriptedDiscovery {
	s := &scriptedDiscovery{calls: make(chan string, 16), answers: make(chan string, 16)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls <- r.URL.RawQuery
		select {
		case text := <-s.answers:
			fmt.Fprint(w, text)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s
}

// follower runs a discovery client and records the lists that it delivers.
type follower struct {
	*discovery
	ready chan struct{}
	lists chan string
	log   bytes.Buffer // read only after stop
	stop  func()
}

func follow(t *testing.T, addr, mode string, known hostList) *follower {
	t.Helper()
	return followWithTimeout(t, addr, mode, known, context.WithTimeout)
}

// followWithTimeout is follow with a replacement for context.WithTimeout.
func followWithTimeout(t *testing.T, addr, mode string, known hostList, limit func(context.Context, time.Duration) (context.Context, context.CancelFunc)) *follower {
	t.Helper()
	site := siteOf(t, strings.Replace(settings, "{", fmt.Sprintf(`{"RegistryMode": %q,`, mode), 1))
	f := &follower{ready: make(chan struct{}), lists: make(chan string, 16)}
	f.discovery = newDiscovery(addr, site, core.NewClock(), slog.New(slog.NewTextHandler(&f.log, nil)))
	f.withTimeout = limit
	f.onFirst = func() { close(f.ready) }
	f.onList = func(kind policy.ListKind, entries []policy.Entry, _ []string) {
		f.lists <- fmt.Sprintf("%d:%d", kind, len(entries))
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.applyInitial(known)
		f.run(ctx)
	}()
	f.stop = func() { stop(); <-ended }
	t.Cleanup(f.stop)
	return f
}

func (f *follower) want(t *testing.T, kind policy.ListKind, entries int) {
	t.Helper()
	if got, want := <-f.lists, fmt.Sprintf("%d:%d", kind, entries); got != want {
		t.Fatalf("delivered list %s, want %s (kind:entries)", got, want)
	}
}

func answer(rev int, all bool) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","az":"a","state":"in_service"}]}`, rev, all)
}

// Guards against overload of discovery when many nodes start at once and each requests the full list and then a watch.
// With a cached list a node is ready at once, waits until the decision module requests a call, and makes one call for
// changes since that list. When moved to another discovery service it calls that one immediately.
func TestOnRequestDiscoveryStartsFromCachedList(t *testing.T) {
	d, next := newScriptedDiscovery(t), newScriptedDiscovery(t)
	f := follow(t, d.Listener.Addr().String(), "on_request", hostList{Rev: 7, All: true, Targets: []target{{UID: "a", Endpoint: "127.0.0.1:1", State: "in_service"}}})
	f.want(t, policy.ListCached, 1)
	<-f.ready
	if len(d.calls) > 0 {
		t.Fatal("discovery was called before the decision module requested it")
	}
	f.requestCall()
	if q := <-d.calls; !strings.Contains(q, "since=7&") {
		t.Fatalf("first call %q, want changes since the cached list", q)
	}
	d.answers <- answer(8, false)
	f.want(t, policy.ListDelta, 1)
	if q := <-d.calls; !strings.Contains(q, "since=8&") {
		t.Fatalf("second call %q, want a watch from version 8", q)
	}
	f.setAddress(t.Context(), next.Listener.Addr().String())
	if q := <-next.calls; q != "" {
		t.Fatalf("first call to the new discovery service %q, want the full list", q)
	}
	next.answers <- answer(1, true)
	f.want(t, policy.ListFull, 1)
}

// Guards against outdated and invalid answers: they are rejected and logged, and the list stays unchanged. After three
// answers with older versions, discovery is assumed to have restarted its version numbers and is asked for the full
// list.
func TestOlderAndInvalidAnswersAreIgnored(t *testing.T) {
	d := newScriptedDiscovery(t)
	f := follow(t, d.Listener.Addr().String(), "pushed", hostList{})
	f.want(t, policy.ListCached, 0)
	d.answers <- answer(41, true)
	f.want(t, policy.ListFull, 1)
	<-d.calls
	for i, text := range []string{answer(40, false), answer(42, false)[:30], answer(3, true), answer(4, false)} {
		if q := <-d.calls; !strings.Contains(q, "since=41&") {
			t.Fatalf("call %d: %q, want changes since 41", i, q)
		}
		d.answers <- text
	}
	if q := <-d.calls; q != "" {
		t.Fatalf("call %q after three older answers, want the full list", q)
	}
	if len(f.lists) > 0 {
		t.Fatal("an outdated or invalid answer was applied")
	}
	d.answers <- answer(5, true)
	f.want(t, policy.ListFull, 1)
	if f.stop(); !strings.Contains(f.log.String(), "rev: 40 is older than 41") {
		t.Errorf("the rejected answer is not logged:\n%s", &f.log)
	}
}
