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

// scripted is a discovery whose answers a test gives one by one.
type scripted struct {
	*httptest.Server
	calls   chan string // the query of each call
	answers chan string
}

func newScripted(t *testing.T) *scripted {
	s := &scripted{calls: make(chan string, 16), answers: make(chan string, 16)}
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

// follower is a discovery on its own, with what it hands on.
type follower struct {
	*discovery
	ready chan struct{}
	lists chan string
	log   bytes.Buffer // to be read once it has stopped
	stop  func()
}

func follow(t *testing.T, addr, mode string, known hostList) *follower {
	t.Helper()
	return followBy(t, addr, mode, known, context.WithTimeout)
}

// followBy is follow with limits on calls by another clock.
func followBy(t *testing.T, addr, mode string, known hostList, limit func(context.Context, time.Duration) (context.Context, context.CancelFunc)) *follower {
	t.Helper()
	site := siteOf(t, strings.Replace(settings, "{", fmt.Sprintf(`{"RegistryMode": %q,`, mode), 1))
	f := &follower{ready: make(chan struct{}), lists: make(chan string, 16)}
	f.discovery = newDiscovery(addr, site, core.NewClock(), slog.New(slog.NewTextHandler(&f.log, nil)))
	f.limit = limit
	f.first = func() { close(f.ready) }
	f.members = func(kind policy.ListKind, entries []policy.Entry, _ []string) {
		f.lists <- fmt.Sprintf("%d:%d", kind, len(entries))
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.begin(known)
		f.run(ctx)
	}()
	f.stop = func() { stop(); <-ended }
	t.Cleanup(f.stop)
	return f
}

func (f *follower) want(t *testing.T, kind policy.ListKind, entries int) {
	t.Helper()
	if got, want := <-f.lists, fmt.Sprintf("%d:%d", kind, entries); got != want {
		t.Fatalf("handed on %s, want %s", got, want)
	}
}

func answer(rev int, all bool) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","az":"a","state":"in_service"}]}`, rev, all)
}

// Guards against a start of many nodes that each ask for the whole list and then for a watch at once: with a list of
// before a node is ready, waits for the module's word and makes one call, for what is newer. Moved to another
// discovery it asks there without being told to.
func TestAskedDiscoveryStartsFromTheListOfBefore(t *testing.T) {
	d, next := newScripted(t), newScripted(t)
	f := follow(t, d.Listener.Addr().String(), "on_request", hostList{Rev: 7, All: true, Targets: []target{{UID: "a", Endpoint: "127.0.0.1:1", State: "in_service"}}})
	f.want(t, policy.ListCached, 1)
	<-f.ready
	if len(d.calls) > 0 {
		t.Fatal("called before the module said so")
	}
	f.watch()
	if q := <-d.calls; !strings.Contains(q, "since=7&") {
		t.Fatalf("first call %q, want what is newer than the list of before", q)
	}
	d.answers <- answer(8, false)
	f.want(t, policy.ListDelta, 1)
	if q := <-d.calls; !strings.Contains(q, "since=8&") {
		t.Fatalf("second call %q, want the watch to go on", q)
	}
	f.move(t.Context(), next.Listener.Addr().String())
	if q := <-next.calls; q != "" {
		t.Fatalf("first call of another discovery %q, want the whole list", q)
	}
	next.answers <- answer(1, true)
	f.want(t, policy.ListFull, 1)
}

// Guards against an answer from before: it is refused, and named in the log, while the list stays; a discovery that
// goes on so counts anew, and is asked for the whole list. The same for one that can't be read.
func TestOlderAndUnreadableAnswersChangeNothing(t *testing.T) {
	d := newScripted(t)
	f := follow(t, d.Listener.Addr().String(), "pushed", hostList{})
	f.want(t, policy.ListCached, 0)
	d.answers <- answer(41, true)
	f.want(t, policy.ListFull, 1)
	<-d.calls
	for i, text := range []string{answer(40, false), answer(42, false)[:30], answer(3, true), answer(4, false)} {
		if q := <-d.calls; !strings.Contains(q, "since=41&") {
			t.Fatalf("call %d: %q, want what is newer than 41", i, q)
		}
		d.answers <- text
	}
	if q := <-d.calls; q != "" {
		t.Fatalf("call %q after three older answers, want the whole list", q)
	}
	if len(f.lists) > 0 {
		t.Fatal("an answer was used that should have been refused")
	}
	d.answers <- answer(5, true)
	f.want(t, policy.ListFull, 1)
	if f.stop(); !strings.Contains(f.log.String(), "rev: 40 is older than 41") {
		t.Errorf("log %s", &f.log)
	}
}
