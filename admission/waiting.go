package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// waiter is a waiting request.
type waiter struct {
	Request
	lastOffer  time.Time    // time of the last offer
	seq        uint64       // order of the first offers
	queue      *callerQueue // nil if the waiter is in no queue
	heapIndex  int          // position in the heap of queue
	overdue    bool         // can no longer get its first token within the target of its rank
	targetTime time.Time    // arrival plus the rank's first-token target
	held       bool         // held by the quarantine
}

// dueTime returns the time by which the first token is due: the target time, or
// the deadline if that is earlier or the target can no longer be met.
func (w *waiter) dueTime() time.Time {
	if w.overdue || w.targetTime.After(w.Deadline) {
		return w.Deadline
	}
	return w.targetTime
}

// before reports whether w goes before o: waiters that can still meet their
// target first, then by due time, deadline, arrival and first offer.
func (w *waiter) before(o *waiter) bool {
	if w.overdue != o.overdue {
		return o.overdue
	}
	return cmp.Or(w.dueTime().Compare(o.dueTime()), w.Deadline.Compare(o.Deadline), w.Arrival.Compare(o.Arrival), cmp.Compare(w.seq, o.seq)) < 0
}

// callerQueue is a heap of the waiters of one caller in a rankQueue.
type callerQueue struct {
	caller  string
	waiters []*waiter
	fifo    bool // ordered by first offer only
}

// Len returns the number of waiters. Together with Less, Swap, Push and Pop it
// implements heap.Interface.
func (c *callerQueue) Len() int { return len(c.waiters) }

// Less reports whether waiter i is served before waiter j: in FIFO mode by first
// offer, otherwise as before orders them.
func (c *callerQueue) Less(i, j int) bool {
	if c.fifo {
		return c.waiters[i].seq < c.waiters[j].seq
	}
	return c.waiters[i].before(c.waiters[j])
}

// Swap exchanges two waiters.
func (c *callerQueue) Swap(i, j int) {
	c.waiters[i], c.waiters[j] = c.waiters[j], c.waiters[i]
	c.waiters[i].heapIndex = i
	c.waiters[j].heapIndex = j
}

// Push appends a waiter.
func (c *callerQueue) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(c.waiters)
	c.waiters = append(c.waiters, w)
}

// Pop removes the last waiter and returns it.
func (c *callerQueue) Pop() any {
	last := len(c.waiters) - 1
	w := c.waiters[last]
	c.waiters[last] = nil
	c.waiters = c.waiters[:last]
	return w
}

// rankQueue holds the waiters of one target and rank that are on time, or those
// that are overdue.
type rankQueue struct {
	callers  []*callerQueue // callers with waiters, ordered by name
	dueTimes []int64        // due times of all waiters, sorted, in Unix nanoseconds
}

// add adds a waiter.
func (q *rankQueue) add(w *waiter, fifo bool) {
	at, found := slices.BinarySearchFunc(q.callers, w.Caller, func(c *callerQueue, name string) int {
		return cmp.Compare(c.caller, name)
	})
	if !found {
		q.callers = slices.Insert(q.callers, at, &callerQueue{caller: w.Caller, fifo: fifo})
	}
	w.queue = q.callers[at]
	heap.Push(w.queue, w)
	dueTime := w.dueTime().UnixNano()
	at, _ = slices.BinarySearch(q.dueTimes, dueTime)
	q.dueTimes = slices.Insert(q.dueTimes, at, dueTime)
}

// remove removes a waiter.
func (q *rankQueue) remove(w *waiter) {
	heap.Remove(w.queue, w.heapIndex)
	if w.queue.Len() == 0 {
		at, _ := slices.BinarySearchFunc(q.callers, w.Caller, func(c *callerQueue, name string) int {
			return cmp.Compare(c.caller, name)
		})
		q.callers = slices.Delete(q.callers, at, at+1)
	}
	w.queue = nil
	at, _ := slices.BinarySearch(q.dueTimes, w.dueTime().UnixNano())
	q.dueTimes = slices.Delete(q.dueTimes, at, at+1)
}

// len returns the number of waiters.
func (q *rankQueue) len() int { return len(q.dueTimes) }

// countAhead returns the number of waiters due no later than t.
func (q *rankQueue) countAhead(t time.Time) int {
	at, _ := slices.BinarySearch(q.dueTimes, t.UnixNano()+1)
	return at
}

// first returns the waiter to serve next: the first one of the callers within
// their fair share or, if there are none, of all callers. It returns nil if the
// queue is empty.
func (q *rankQueue) first(exceedsFairShare func(caller string) bool) *waiter {
	var withinShare, any *waiter
	for _, c := range q.callers {
		head := c.waiters[0]
		if any == nil || goesBefore(c.fifo, head, any) {
			any = head
		}
		if len(q.callers) > 1 && !c.fifo && exceedsFairShare(c.caller) {
			continue
		}
		if withinShare == nil || goesBefore(c.fifo, head, withinShare) {
			withinShare = head
		}
	}
	if withinShare != nil {
		return withinShare
	}
	return any
}

// goesBefore reports whether a is served before b.
func goesBefore(fifo bool, a, b *waiter) bool {
	if fifo {
		return a.seq < b.seq
	}
	return a.before(b)
}

// targetQueues holds the waiters of one target.
type targetQueues struct {
	adapter fleet.AdapterID            // "" for the base model
	onTime  [fleet.RankCount]rankQueue // can still get their first token within the target of their rank
	overdue [fleet.RankCount]rankQueue // can no longer get their first token within the target of their rank
}

// queueOf returns the queue of a waiter.
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

// first returns the next waiter of a rank to serve, or nil.
func (t *targetQueues) first(rank fleet.Rank, exceedsFairShare func(caller string) bool) *waiter {
	if t.onTime[rank].len() > 0 {
		return t.onTime[rank].first(exceedsFairShare)
	}
	return t.overdue[rank].first(exceedsFairShare)
}

// empty reports whether there are no waiters.
func (t *targetQueues) empty() bool {
	for r := range fleet.Rank(fleet.RankCount) {
		if t.len(r) > 0 {
			return false
		}
	}
	return true
}
