package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// waiter is one waiting request.
type waiter struct {
	Request
	offered time.Time // last offer
	seq     uint64    // order of first offer
	place   *callerQueue
	index   int  // in the caller's heap
	held    bool // kept apart by the quarantine
}

// before orders waiters by deadline, then arrival, then first offer.
func (w *waiter) before(o *waiter) bool {
	return cmp.Or(w.Deadline.Compare(o.Deadline), w.Arrival.Compare(o.Arrival), cmp.Compare(w.seq, o.seq)) < 0
}

// callerQueue holds the waiters of one caller for one model and rank.
type callerQueue struct {
	caller  string
	waiters []*waiter
	fifo    bool
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (c *callerQueue) Len() int { return len(c.waiters) }

// Less orders by deadline, or by first offer in the naive baseline.
func (c *callerQueue) Less(i, j int) bool {
	if c.fifo {
		return c.waiters[i].seq < c.waiters[j].seq
	}
	return c.waiters[i].before(c.waiters[j])
}

// Swap exchanges two waiters.
func (c *callerQueue) Swap(i, j int) {
	c.waiters[i], c.waiters[j] = c.waiters[j], c.waiters[i]
	c.waiters[i].index = i
	c.waiters[j].index = j
}

// Push appends a waiter.
func (c *callerQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(c.waiters)
	c.waiters = append(c.waiters, w)
}

// Pop removes the last waiter.
func (c *callerQueue) Pop() any {
	last := len(c.waiters) - 1
	w := c.waiters[last]
	c.waiters[last] = nil
	c.waiters = c.waiters[:last]
	return w
}

// rankQueue holds the waiters of one model and rank.
type rankQueue struct {
	callers   []*callerQueue // with waiters, ordered by caller
	deadlines []int64        // of all waiters, sorted, Unix nanoseconds
}

// add queues a waiter.
func (q *rankQueue) add(w *waiter, fifo bool) {
	at, found := slices.BinarySearchFunc(q.callers, w.Caller, func(c *callerQueue, name string) int {
		return cmp.Compare(c.caller, name)
	})
	if !found {
		q.callers = slices.Insert(q.callers, at, &callerQueue{caller: w.Caller, fifo: fifo})
	}
	w.place = q.callers[at]
	heap.Push(w.place, w)
	deadline := w.Deadline.UnixNano()
	at, _ = slices.BinarySearch(q.deadlines, deadline)
	q.deadlines = slices.Insert(q.deadlines, at, deadline)
}

// remove takes a waiter out.
func (q *rankQueue) remove(w *waiter) {
	heap.Remove(w.place, w.index)
	if w.place.Len() == 0 {
		at, _ := slices.BinarySearchFunc(q.callers, w.Caller, func(c *callerQueue, name string) int {
			return cmp.Compare(c.caller, name)
		})
		q.callers = slices.Delete(q.callers, at, at+1)
	}
	w.place = nil
	at, _ := slices.BinarySearch(q.deadlines, w.Deadline.UnixNano())
	q.deadlines = slices.Delete(q.deadlines, at, at+1)
}

// len returns the number of waiters.
func (q *rankQueue) len() int { return len(q.deadlines) }

// ahead returns the number of waiters with a deadline no later than t.
func (q *rankQueue) ahead(t time.Time) int {
	at, _ := slices.BinarySearch(q.deadlines, t.UnixNano()+1)
	return at
}

// first returns the waiter to serve next: the earliest deadline among callers
// within their share, else among all. It returns nil if none waits.
func (q *rankQueue) first(overShare func(caller string) bool) *waiter {
	var within, any *waiter
	for _, c := range q.callers {
		head := c.waiters[0]
		if any == nil || earlier(c.fifo, head, any) {
			any = head
		}
		if len(q.callers) > 1 && !c.fifo && overShare(c.caller) {
			continue
		}
		if within == nil || earlier(c.fifo, head, within) {
			within = head
		}
	}
	if within != nil {
		return within
	}
	return any
}

// earlier reports whether a goes before b.
func earlier(fifo bool, a, b *waiter) bool {
	if fifo {
		return a.seq < b.seq
	}
	return a.before(b)
}

// targetQueues hold the waiters of one target.
type targetQueues struct {
	adapter fleet.AdapterID
	byRank  [fleet.RankCount]rankQueue
}

// empty reports whether nothing waits.
func (t *targetQueues) empty() bool {
	for r := range t.byRank {
		if t.byRank[r].len() > 0 {
			return false
		}
	}
	return true
}
