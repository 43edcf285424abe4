package engine

import (
	"container/heap"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// batch gives a replica's slots to requests, by rank and then by arrival. It is
// guarded by the engine's lock.
type batch struct {
	slots   int
	running int
	arrived uint64
	waiting waitQueue
}

type waiter struct {
	rank    fleet.Rank
	arrival uint64
	granted chan struct{}
	index   int // in the queue; -1 once it has left
}

func newBatch(slots int) *batch {
	if slots == 0 {
		slots = DefaultSlots
	}
	return &batch{slots: slots}
}

// enter takes a slot or queues for one.
func (b *batch) enter(rank fleet.Rank) *waiter {
	b.arrived++
	w := &waiter{rank: rank, arrival: b.arrived, granted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.grant()
	return w
}

// leave gives up the waiter's slot or its place in the queue.
func (b *batch) leave(w *waiter) {
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		return
	}
	b.running--
	b.grant()
}

func (b *batch) grant() {
	for b.running < b.slots && b.waiting.Len() > 0 {
		w := heap.Pop(&b.waiting).(*waiter)
		b.running++
		close(w.granted)
	}
}

// waitQueue implements heap.Interface.
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
