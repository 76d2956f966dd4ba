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
