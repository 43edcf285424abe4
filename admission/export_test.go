package admission

import "time"

// GrantToDraining grants a request on a replica that is made to drain between
// the choice and the grant, past the checks that prevent it.
func GrantToDraining(q *Queue, now time.Time, r Request) {
	m := q.model(r.Target.Model)
	q.normalise(now, &r)
	w := &waiter{Request: r, offered: now}
	q.enqueue(now, m, w)
	m.replicas[0].Draining = true
	q.grant(now, w, m.replicas[0])
}

// LoseWaiter takes a waiter out of its queue without a decision.
func LoseWaiter(q *Queue, id string) { q.dequeue(q.waiters[id]) }
