// Package policybench benchmarks the admission, keep-warm, placement and
// quarantine policies together. It runs their real code in virtual time against
// simulated model engines and a simulated weight store, and compares it with a naive
// baseline of each policy. The simulated deployments, tocka and naipes, are those
// whose settings are in the folder examples. All randomness comes from fixed seeds,
// so runs are repeatable.
package policybench

import (
	"container/heap"
	"time"
)

// event is a function scheduled for a point in virtual time. Events of equal
// time run in the order of their sequence numbers.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// clock is a discrete-event scheduler in virtual time.
type clock struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// after schedules a function to run once d has passed; a negative d counts as 0.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(0, d)), seq: c.seq, do: do})
}

// run executes all events up to and including the end time, then sets the clock
// to it.
func (c *clock) run(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// eventHeap is a heap.Interface ordered by time, then by order of scheduling.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, then by sequence number.
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
