package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"otterstep/policy"
)

// BenchmarkLoop measures the time and allocations of one request through the loop, with a
// server that answers immediately and one request at a time.
func BenchmarkLoop(b *testing.B) {
	l, err := New(Options{Settings: settings(), Seed: 1, Clock: NewClock(), Watch: func() {}, Drop: func(Server) {}})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go l.Run(ctx)
	entries, addrs := make([]policy.Entry, 8), make([]string, 8)
	for i := range entries {
		entries[i] = policy.Entry{Server: policy.ServerID(i + 1), State: policy.Ready, Weight: 1}
	}
	l.UpdateServers(policy.ListFull, entries, addrs)
	names := make([]string, b.N)
	for i := range names {
		names[i] = fmt.Sprint(i)
	}
	m := &okMessage{}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		answers := make(chan Answer, 1)
		l.Submit(Request{Name: names[i], Deadline: l.Clock().Now() + time.Second, Message: m, Answers: answers})
		if a := <-answers; a.Outcome != Served {
			b.Fatalf("%+v", a)
		}
	}
}

type okMessage struct{}

func (okMessage) Attempt(_ context.Context, _ Server, _ time.Time, turn AttemptHandle) AttemptResult {
	turn.Begin()
	return AttemptResult{Status: policy.OK}
}
