package admission

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// overdueProgress records whether the overdue waiters of one model and rank get
// slots. A waiter is overdue if it can no longer get its first token within the
// target of its rank.
type overdueProgress struct {
	lastGrant time.Time // time of the latest grant to an overdue waiter, or when the first one became overdue
}

// starvedShare is a fraction of the time from a request's arrival to its
// deadline. If no overdue waiter has got a slot for that long, expectedWait
// assumes that each further slot takes as long.
const starvedShare = 0.5

// expectedWait estimates the time until an overdue waiter gets a slot, given the
// number of overdue waiters of its model and rank. It returns zero, for unknown,
// if there are none or if lastGrant is recent. The allowance is the time from the
// request's arrival to its deadline.
func (o *overdueProgress) expectedWait(now time.Time, overdueWaiters int, allowance time.Duration) time.Duration {
	sinceGrant := now.Sub(o.lastGrant)
	if overdueWaiters == 0 || sinceGrant < time.Duration(starvedShare*float64(allowance)) {
		return 0
	}
	return time.Duration(overdueWaiters) * sinceGrant
}

// missesTarget reports whether a waiter that is not overdue can no longer get
// its first token within its rank's target. It reports false while the model has
// no ready replica, so that the order of its waiters does not change during a
// load.
func (q *Queue) missesTarget(now time.Time, m *modelState, w *waiter) bool {
	if q.settings.FIFO || w.overdue || !m.hasReadyReplica {
		return false
	}
	return w.targetTime.Before(w.Deadline) && now.Add(m.averages.firstTokenTime(now)).After(w.targetTime)
}

// moveToOverdue moves a waiter to the queue of overdue waiters.
func (q *Queue) moveToOverdue(now time.Time, m *modelState, w *waiter) {
	m.remove(w)
	w.overdue = true
	m.trackFirstOverdue(now, w)
	m.add(w, q.settings.FIFO)
}

// trackFirstOverdue sets lastGrant to now if w is the only overdue waiter of its
// rank. It is called before w is queued.
func (m *modelState) trackFirstOverdue(now time.Time, w *waiter) {
	if w.overdue && m.overdue(w.Rank) == 0 {
		m.progress[w.Rank].lastGrant = now
	}
}

// overdue returns the number of overdue waiters of the rank.
func (m *modelState) overdue(rank fleet.Rank) int {
	n := 0
	for _, t := range m.targets {
		n += t.overdue[rank].len()
	}
	return n
}

// markOverdue moves all waiters that miss their target to the overdue queues.
func (q *Queue) markOverdue(now time.Time) {
	for _, id := range sortedKeys(q.queuedModels) {
		m := q.models[id]
		for _, w := range m.waitersMissingTarget(now, q) {
			q.moveToOverdue(now, m, w)
		}
	}
}

// waitersMissingTarget returns the waiters for which missesTarget is true,
// ordered by adapter, rank and caller.
func (m *modelState) waitersMissingTarget(now time.Time, q *Queue) []*waiter {
	var out []*waiter
	for _, t := range m.targets {
		for r := range t.onTime {
			for _, c := range t.onTime[r].callers {
				for _, w := range c.waiters {
					if q.missesTarget(now, m, w) {
						out = append(out, w)
					}
				}
			}
		}
	}
	return out
}
