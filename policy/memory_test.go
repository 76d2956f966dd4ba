package policy

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// What one Balancer has learned is taken over by its successor, whose clock differs, and which passes on the
// same. Nothing is taken over for servers that have restarted or are not listed.
func TestMemoryIsRestoredBySuccessor(t *testing.T) {
	set := testSettings()
	set.WarmKeys = true
	r := newRig(t, set, 6)
	e := ready(4, 5)
	e[0].Started, e[1].Started = r.now-3*time.Second, r.now-4*time.Second
	r.list(ListDelta, e...)
	r.serve(500, 0, 30*ms)
	for range 20 { // one server fails
		id := r.request(0)
		status := OK
		if r.sendsOf(id)[0] == 2 {
			status = Error
		}
		r.end(id, status, 30*ms)
		r.advance(time.Millisecond)
	}
	r.b.keys[77] = r.b.servers[3]
	saved := r.b.servers[4].coldSaved
	text, err := json.Marshal(r.b.HandOver(r.now))
	if err != nil {
		t.Fatal(err)
	}
	if s := r.b.servers[4]; s.coldSaved > 0 || s.earned > 0 {
		t.Errorf("both processes have the budget of a cold server: %v, %v", s.coldSaved, s.earned)
	}
	var m Memory
	if err := json.Unmarshal(text, &m); err != nil {
		t.Fatal(err)
	}

	h := newHost()
	b, err := New(set, 2, h)
	if err != nil {
		t.Fatal(err)
	}
	now := 5 * time.Hour
	list := ready(1, 5) // server 6 has gone
	list[3].Started, list[4].Started = now-m.Servers[3].Age, now-time.Second
	b.UpdateServers(now, ListFull, list)
	if err := b.Restore(now, m); err != nil {
		t.Fatal(err)
	}
	if s := b.servers[4]; s.coldSaved != saved {
		t.Errorf("budget of the cold server %v, want %v", s.coldSaved, saved)
	}
	if s := b.servers[5]; s.judged != 0 || s.unloadedSamples != 0 {
		t.Errorf("a restarted server is known: %d outcomes", s.judged)
	}
	if b.keys[77] != b.servers[3] {
		t.Error("the server of a key is not known")
	}
	again := b.HandOver(now)
	if again.Limit != m.Limit || again.UnloadedSamples != m.UnloadedSamples || !reflect.DeepEqual(again.Classes, m.Classes) || !reflect.DeepEqual(again.Kinds, m.Kinds) {
		t.Errorf("%+v, want %+v", again, m)
	}
	for i := range 4 {
		if x, y := again.Servers[i], m.Servers[i]; x.Successes != y.Successes || x.Failed != y.Failed || x.SentRate != y.SentRate || x.ServedRate != y.ServedRate || x.Open != y.Open || math.Abs(x.Latency-y.Latency) > 1e-9 {
			t.Errorf("server %d: %+v, want %+v", i, x, y)
		}
	}
}

// Invalid memory is rejected as a whole.
func TestInvalidMemory(t *testing.T) {
	for name, spoil := range map[string]func(*Memory){
		"limit": func(m *Memory) { m.Limit = 0 }, "typical": func(m *Memory) { m.TypicalLatency = math.NaN() },
		"crowding": func(m *Memory) { m.Congestion = math.Inf(1) }, "admitted": func(m *Memory) { m.Admitted = 0 },
		"classes": func(m *Memory) { m.Classes = m.Classes[:1] }, "classes is": func(m *Memory) { m.Classes[0].Unloaded = -1 },
		"kinds": func(m *Memory) { m.Kinds[0].Latency = math.NaN() }, "servers": func(m *Memory) { m.Servers[0].Successes = maxOutcomes + 1 },
		"servers is": func(m *Memory) { m.Servers[0].SentRate = -1 }, "keys": func(m *Memory) { m.Keys = make([]KeyMemory, 5000) },
		"servers: ": func(m *Memory) { m.Servers[0].Failures = 1 << 40 },
	} {
		r := newRig(t, testSettings(), 3)
		r.serve(50, 0, 20*ms)
		m := r.b.HandOver(r.now)
		m.UnloadedSamples += 1000
		before := r.b.HandOver(r.now)
		spoil(&m)
		if err := r.b.Restore(r.now, m); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
		if after := r.b.HandOver(r.now); !reflect.DeepEqual(after, before) {
			t.Errorf("%s: partly taken over", name)
		}
	}
}
