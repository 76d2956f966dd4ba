// Package sim is a discrete-event simulation of nodes, servers, networks, clients and their
// faults in virtual time. It is single-threaded and deterministic: the same seed gives the
// same run. The nodes are core.Machines, the code that runs in production; everything around
// them is modelled.
package sim

import (
	"container/heap"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"
)

// Engine runs events in virtual time, ordered by time and, where times are equal, by creation.
type Engine struct {
	now     time.Duration
	created uint64
	queue   eventQueue
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// NewEngine returns an Engine whose virtual time begins at start.
func NewEngine(start time.Duration) *Engine { return &Engine{now: start} }

// Now returns the virtual time.
func (e *Engine) Now() time.Duration { return e.now }

// At schedules do for the given time, or for now if that time has passed.
func (e *Engine) At(at time.Duration, do func()) {
	e.created++
	heap.Push(&e.queue, event{max(at, e.now), e.created, do})
}

// After schedules do to run after d.
func (e *Engine) After(d time.Duration, do func()) { e.At(e.now+d, do) }

// Run runs events until none is left or the next one is later than end, and returns how many
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

// Stream returns the random number generator of a model. Each model has its own, so that a
// change to one model does not change the numbers that the others draw.
func Stream(seed uint64, model string) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, model)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
