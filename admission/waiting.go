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
	overdue bool // can no longer get its first token within its rank's target
	target  time.Time
	held    bool // kept apart by the quarantine
}

// due returns when the first token is due: within the rank's target while that
// can be met, then by the deadline.
func (w *waiter) due() time.Time {
	if w.overdue || w.target.After(w.Deadline) {
		return w.Deadline
	}
	return w.target
}

// before orders waiters: those that can still meet their target first, then by
// when they are due, by deadline, by arrival and by first offer.
func (w *waiter) before(o *waiter) bool {
	if w.overdue != o.overdue {
		return o.overdue
	}
	return cmp.Or(w.due().Compare(o.due()), w.Deadline.Compare(o.Deadline), w.Arrival.Compare(o.Arrival), cmp.Compare(w.seq, o.seq)) < 0
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
	callers []*callerQueue // with waiters, ordered by caller
	dues    []int64        // of all waiters, sorted, Unix nanoseconds
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
	due := w.due().UnixNano()
	at, _ = slices.BinarySearch(q.dues, due)
	q.dues = slices.Insert(q.dues, at, due)
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
	at, _ := slices.BinarySearch(q.dues, w.due().UnixNano())
	q.dues = slices.Delete(q.dues, at, at+1)
}

// len returns the number of waiters.
func (q *rankQueue) len() int { return len(q.dues) }

// ahead returns the number of waiters due no later than t.
func (q *rankQueue) ahead(t time.Time) int {
	at, _ := slices.BinarySearch(q.dues, t.UnixNano()+1)
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
	onTime  [fleet.RankCount]rankQueue // can still meet the rank's target
	overdue [fleet.RankCount]rankQueue
}

// queueOf returns the queue that a waiter belongs to.
func (t *targetQueues) queueOf(w *waiter) *rankQueue {
	if w.overdue {
		return &t.overdue[w.Rank]
	}
	return &t.onTime[w.Rank]
}

// len returns the number of waiters of a rank.
func (t *targetQueues) len(rank fleet.Rank) int {
	return t.onTime[rank].len() + t.overdue[rank].len()
}

// first returns the waiter of a rank to serve next, or nil.
func (t *targetQueues) first(rank fleet.Rank, overShare func(caller string) bool) *waiter {
	if t.onTime[rank].len() > 0 {
		return t.onTime[rank].first(overShare)
	}
	return t.overdue[rank].first(overShare)
}

// empty reports whether nothing waits.
func (t *targetQueues) empty() bool {
	for r := range fleet.Rank(fleet.RankCount) {
		if t.len(r) > 0 {
			return false
		}
	}
	return true
}
