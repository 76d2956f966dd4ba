package policy

import (
	"testing"
	"time"
)

// While a request is still arriving from the client, no deadline applies: its server does not count as silent, no
// copy is sent and the request is not given up, however long the client takes. From RequestSent on, its time and its
// server's latency count.
func TestTimeCountsFromSent(t *testing.T) {
	set := testSettings()
	set.Classes = set.Classes[:1]
	r := newRig(t, set, 3)
	r.serve(100, 0, 10*ms)
	r.next++
	id := r.next
	r.b.Request(r.now, Request{ID: id, Class: 0, TimeLeft: 2 * time.Second, Uploading: true})
	to := r.sendsOf(id)
	if len(to) != 1 {
		t.Fatalf("sent %d times", len(to))
	}
	r.advance(30 * time.Second)
	if n := len(r.sendsOf(id)); n != 1 || r.h.failed[id] || r.b.servers[to[0]].breaker != closed || len(r.b.servers[to[0]].failures) != 0 {
		t.Fatalf("after 30 s of upload: %d sends, failed %v", n, r.h.failed[id])
	}
	r.b.RequestSent(r.now, id, 0, 2*time.Second)
	r.advance(20 * ms)
	r.end(id, OK, 20*ms)
	if s := r.b.servers[to[0]]; s.latency > 3 {
		t.Errorf("the upload counts as latency: %v times the unloaded one", s.latency)
	}
	// A server that does not answer after RequestSent is overdue.
	r.next++
	id = r.next
	r.b.Request(r.now, Request{ID: id, Class: 0, TimeLeft: 2 * time.Second, Uploading: true})
	r.advance(5 * time.Second)
	r.b.RequestSent(r.now, id, 0, 2*time.Second)
	r.advance(3 * time.Second)
	if len(r.sendsOf(id)) < 2 {
		t.Error("no copy of an overdue request after it was sent")
	}
}

// A request that finds no server in time is refused, and one whose body is no longer available gets no further
// attempt: it is refused if it never ran.
func TestUploadingRequestsEnd(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 3)
	for _, c := range []struct {
		class   int
		status  Status
		refused bool
	}{{0, ConnectFailed, true}, {2, ConnectFailed, true}, {2, Reset, false}, {0, Reset, true}} {
		r.next++
		id := r.next
		r.b.Request(r.now, Request{ID: id, Class: c.class, TimeLeft: 2 * time.Second, Uploading: true})
		r.b.DisallowRetry(id)
		r.end(id, c.status, 10*ms)
		r.advance(5 * time.Second)
		if _, refused := r.h.refused[id]; refused != c.refused || r.h.failed[id] == c.refused || len(r.sendsOf(id)) != 1 {
			t.Errorf("class %d, %v: refused %v, failed %v, %d sends", c.class, c.status, refused, r.h.failed[id], len(r.sendsOf(id)))
		}
	}
	full := newRig(t, set, 1)
	full.b.Cordon(full.now, 1)
	full.next++
	full.b.Request(full.now, Request{ID: full.next, TimeLeft: 2 * time.Second, Uploading: true})
	if _, refused := full.h.refused[full.next]; !refused {
		t.Error("without a server the request waits")
	}
}

// Two processes that make up one node keep to its quota together.
func TestProcessesShareQuotas(t *testing.T) {
	set := testSettings()
	set.Tenants, set.OverShareWorth = []Tenant{{QuotaPerS: 100}}, 0.1
	within := func(part float64) (n int) {
		b, err := New(set, 1, newHost())
		if err != nil {
			t.Fatal(err)
		}
		b.SetNodePart(time.Hour, part)
		for i := range 5000 { // five seconds
			if b.tenants[0].take(time.Hour + time.Duration(i)*ms) {
				n++
			}
		}
		return n
	}
	whole, one, other := within(1), within(0.9), within(0.1)
	if d := one + other - whole; d < -3 || d > 3 {
		t.Errorf("%d and %d within the quota, a single process has %d", one, other, whole)
	}
}

// Guards against slow uploads that keep all other requests waiting: a request that is still arriving is no load for its
// server, however long its client takes. From RequestSent on it is one.
func TestUploadsAddNoLoad(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 1)
	upload := func(class int) RequestID {
		r.next++
		r.b.Request(r.now, Request{ID: r.next, Class: class, TimeLeft: 2 * time.Second, Uploading: true})
		return r.next
	}
	var uploads []RequestID
	for range 50 {
		uploads = append(uploads, upload(2))
	}
	r.advance(30 * time.Second)
	server := r.b.servers[1]
	if n := len(r.h.sends); n != len(uploads) || len(server.inFlight) != 0 || r.b.inFlight != 0 {
		t.Fatalf("%d of %d uploads sent, %d in flight", n, len(uploads), len(server.inFlight))
	}
	id := r.request(0)
	if len(r.sendsOf(id)) != 1 {
		t.Fatal("a request waits for uploads")
	}
	r.advance(10 * ms)
	if r.end(id, OK, 10*ms); server.latency > 3 {
		t.Errorf("uploads count as latency: %v times the unloaded one", server.latency)
	}
	for _, id := range uploads {
		r.b.RequestSent(r.now, id, 0, 2*time.Second)
	}
	if n := len(server.inFlight); n != len(uploads) || server.load <= 0 {
		t.Errorf("%d in flight once all were sent, want %d; load %v", n, len(uploads), server.load)
	}
	waits := r.request(0)
	if len(r.sendsOf(waits)) != 0 {
		t.Error("requests that have been sent are no load")
	}
	for n, id := range uploads {
		r.end(id, []Status{OK, NotSent, Cancelled}[n%3], 10*ms)
	}
	r.end(waits, OK, 10*ms)
	cancelled := upload(2)
	r.b.ClientGone(r.now, cancelled)
	r.end(cancelled, Cancelled, 10*ms)
	r.advance(5 * time.Second)
	if v := r.b.Inspect(r.now); v.Open != 0 || v.InFlight != 0 || server.load != 0 {
		t.Errorf("not cleaned up: %+v, load %v", v, server.load)
	}
}

// Guards against a slow upload that keeps a recovered server out: while the trial of a half-open server is still
// arriving, one other request takes its place.
func TestUploadDoesNotHoldTheTrial(t *testing.T) {
	set := testSettings()
	r := newRig(t, set, 1)
	server := r.b.servers[1]
	server.breaker = halfOpen
	r.b.notClosed = append(r.b.notClosed, server)
	upload := func() RequestID {
		r.next++
		r.b.Request(r.now, Request{ID: r.next, Class: 0, TimeLeft: 2 * time.Second, Uploading: true})
		return r.next
	}
	first, second := upload(), upload()
	if len(r.sendsOf(first)) != 1 || len(r.sendsOf(second)) != 0 {
		t.Fatalf("%d and %d sends, want the first upload as the trial", len(r.sendsOf(first)), len(r.sendsOf(second)))
	}
	id, other := r.request(0), r.request(0)
	if len(r.sendsOf(id)) != 1 || len(r.sendsOf(other)) != 0 {
		t.Fatalf("%d and %d sends, want one request in the upload's place", len(r.sendsOf(id)), len(r.sendsOf(other)))
	}
	r.advance(10 * ms)
	r.end(id, OK, 10*ms)
	if next := r.request(0); server.breaker != closed || len(r.sendsOf(next)) != 1 {
		t.Errorf("breaker %v after a good trial, %d sends of the next request", server.breaker, len(r.sendsOf(next)))
	}
}
