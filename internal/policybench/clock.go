// Package policybench measures the decisions of admission, keep-warm, placement
// and quarantine together. It runs the real cores in virtual time against fake
// engines and a fake weight store at the sizes of both deployments, beside a
// naive version of each decision. All randomness comes from fixed seeds.
package policybench

import (
	"container/heap"
	"time"
)

// event is one thing to do at a time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// clock runs events in the order of their times.
type clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// after schedules a function.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(0, d)), seq: c.seq, do: do})
}

// run executes events up to and at the end time.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// eventHeap implements heap.Interface by time, then by order of scheduling.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders by time.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}
