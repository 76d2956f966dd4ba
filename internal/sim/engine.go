// Package sim plays nodes, servers, networks, clients and their faults in virtual time:
// one thread of events, one seed, one run, the same each time. The nodes are core's
// Machines, the very code that serves; all round them are models.
package sim

import (
	"container/heap"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

// Engine is virtual time: events in the order of their times, and of their making where
// these are equal.
type Engine struct {
	now   time.Duration
	made  uint64
	queue events
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// NewEngine starts virtual time at start.
func NewEngine(start time.Duration) *Engine { return &Engine{now: start} }

// Now gives the virtual time.
func (e *Engine) Now() time.Duration { return e.now }

// At has do run at a time, or next if that has gone by.
func (e *Engine) At(at time.Duration, do func()) {
	e.made++
	heap.Push(&e.queue, event{max(at, e.now), e.made, do})
}

// After has do run after d.
func (e *Engine) After(d time.Duration, do func()) { e.At(e.now+d, do) }

// Run runs events until none is left or the next is later than end; it gives how many
// ran.
func (e *Engine) Run(end time.Duration) (ran int) {
	for len(e.queue) > 0 && e.queue[0].at <= end {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.do()
		ran++
	}
	e.now = max(e.now, end)
	return ran
}

// Stream gives a stream of random numbers of its own to each model, so that a change to
// one does not change what the others draw.
func Stream(seed uint64, model string) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, model)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
