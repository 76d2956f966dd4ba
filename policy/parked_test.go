package policy

import (
	"testing"
	"time"
)

// Latencies below the grain of a class are treated as equal.
func TestGrain(t *testing.T) {
	for _, grain := range []time.Duration{0, 100 * ms} {
		s := testSettings()
		s.Classes[0].LatencyFloor = grain
		r := newRig(t, s, 1)
		for n := range 200 {
			id := r.request(0)
			latency := time.Duration(5+5*(n%2)) * ms
			r.now += latency
			r.b.Outcome(r.now, Outcome{ID: id, Server: 1, Status: OK, Ended: true, Latency: latency})
		}
		v := r.b.servers[1]
		fast, slow := v.ring[(v.head+maxOutcomes-2)%maxOutcomes].latency, v.ring[(v.head+maxOutcomes-1)%maxOutcomes].latency
		if alike := slow < 1.1*fast; alike != (grain > 0) {
			t.Errorf("grain %v: 5 and 10 ms are %.3f and %.3f of the unloaded latency", grain, fast, slow)
		}
	}
}

// Attempts of a parked class add no load once the server has accepted them, and are judged by the time until
// the answer started; after that only a failure counts.
func TestParkedAttempts(t *testing.T) {
	s := testSettings()
	s.Classes[2].Parked, s.Classes[2].Deadline = true, time.Minute
	r := newRig(t, s, 1)
	server := func() ServerView { return r.b.Inspect(r.now).Servers[0] }
	first, second := r.request(2), r.request(2)
	if len(r.h.sends) != 1 {
		t.Fatalf("%d sends to a server with room for one", len(r.h.sends))
	}
	r.b.Accepted(r.now, first, 0)
	if len(r.h.sends) != 2 || server().InFlight != 1 {
		t.Errorf("%d sends once the first is accepted, %d in flight", len(r.h.sends), server().InFlight)
	}
	r.now += 100 * ms
	for range 2 {
		r.b.StreamStarted(r.now, first, 0)
	}
	if v := server(); v.Judged != 1 || v.Success != 1 {
		t.Errorf("once started it is judged %d times, success %v", v.Judged, v.Success)
	}
	r.b.Outcome(r.now, Outcome{ID: first, Server: 1, Status: OK, Ended: true, Latency: 30 * time.Second}) // the phone rang for long
	if v := server(); v.Judged != 1 || r.b.meanLatency > 2 {
		t.Errorf("once answered it is judged %d times, mean latency %v", v.Judged, r.b.meanLatency)
	}
	r.b.StreamStarted(r.now, second, 0)
	r.now += 30 * time.Second
	r.b.Outcome(r.now, Outcome{ID: second, Server: 1, Status: Timeout, Latency: 30 * time.Second})
	if good := r.b.servers[1].successes; good != 2 || r.b.servers[1].judged != 3 || !r.h.failed[second] {
		t.Errorf("after a timeout once started: %d good of %d, failed %v", good, r.b.servers[1].judged, r.h.failed)
	}
	if v := r.b.Inspect(r.now); v.Open != 0 || v.InFlight != 0 || v.Servers[0].InFlight != 0 {
		t.Errorf("not cleaned up: %+v", v)
	}
}

// With all servers half-open, unsafe requests at the head of the queue, which must not be trials, do not keep a safe
// one behind them from being the trial. A simulated retry storm left nodes stuck in this state.
func TestUnsafeRequestsDontBlockTheTrial(t *testing.T) {
	s := testSettings()
	s.Classes[2].Worth = 100 // first in the queue
	r := newRig(t, s, 2)
	for id := range r.b.servers {
		r.b.servers[id].breaker, r.b.servers[id].reopenAt = open, r.now+ms
	}
	r.b.notClosed = append(r.b.notClosed, r.b.ready...)
	r.now += 10 * ms
	before := len(r.h.sends)
	for range 3 {
		r.request(2)
	}
	if len(r.h.sends) != before {
		t.Fatal("an unsafe request was sent as a trial")
	}
	id := r.request(0)
	if len(r.sendsOf(id)) != 1 {
		t.Error("a safe request behind unsafe ones was not sent as the trial")
	}
}
