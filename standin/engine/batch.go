package engine

import (
	"container/heap"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// batch assigns the slots of a replica to requests, by rank and then in order of
// arrival. It is guarded by the engine's lock.
type batch struct {
	slots    int    // maximum of running
	running  int    // requests that hold a slot
	arrivals uint64 // requests enqueued so far
	waiting  waitQueue
}

// waiter is a request that waits for a slot or holds one.
type waiter struct {
	rank    fleet.Rank
	arrival uint64        // order of arrival
	granted chan struct{} // closed when the request gets a slot
	index   int           // in waitQueue; -1 if not queued
}

func newBatch(slots int) *batch {
	if slots == 0 {
		slots = DefaultSlots
	}
	return &batch{slots: slots}
}

// enqueue adds a request of the rank, which gets a free slot immediately if it is
// first in the queue.
func (b *batch) enqueue(rank fleet.Rank) *waiter {
	b.arrivals++
	w := &waiter{rank: rank, arrival: b.arrivals, granted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.grantSlots()
	return w
}

// release frees the waiter's slot or removes it from the queue.
func (b *batch) release(w *waiter) {
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		return
	}
	b.running--
	b.grantSlots()
}

// grantSlots gives free slots to the first requests in the queue.
func (b *batch) grantSlots() {
	for b.running < b.slots && b.waiting.Len() > 0 {
		w := heap.Pop(&b.waiting).(*waiter)
		b.running++
		close(w.granted)
	}
}

// waitQueue implements heap.Interface. The most urgent request is first, the
// earliest one within a rank.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].rank != q[j].rank {
		return q[i].rank < q[j].rank
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	w.index = -1
	return w
}
