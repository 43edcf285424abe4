package admission

import "time"

// GrantToDraining grants a request on a replica that starts to drain after it
// was chosen. It bypasses the checks that prevent this.
func GrantToDraining(q *Queue, now time.Time, r Request) {
	m := q.model(r.Target.Model)
	q.normalise(now, &r)
	w := &waiter{Request: r, lastOffer: now}
	q.enqueue(now, m, w)
	m.replicas[0].Draining = true
	q.grant(now, w, m.replicas[0])
}

// LoseWaiter takes a waiter out of its queue but leaves it in the index by
// request ID.
func LoseWaiter(q *Queue, id string) { q.dequeue(q.waiters[id]) }
