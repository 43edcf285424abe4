package admission

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// overdueRate tells whether waiters that missed their target get slots.
type overdueRate struct {
	since time.Time // of the latest grant, or when the first waiter became overdue
}

// starvedShare is the share of a request's allowance for which overdue waiters
// must have got nothing before that is taken to go on.
const starvedShare = 0.5

// wait estimates the time until an overdue waiter behind so many others gets a
// slot. It is zero, for unknown, as long as others got slots lately.
func (o *overdueRate) wait(now time.Time, ahead int, allowance time.Duration) time.Duration {
	starved := now.Sub(o.since)
	if ahead == 0 || starved < time.Duration(starvedShare*float64(allowance)) {
		return 0
	}
	return time.Duration(ahead) * starved
}

// missesTarget reports whether a waiter can no longer get its first token
// within its rank's target. Models that are not ready keep their order.
func (q *Queue) missesTarget(now time.Time, m *modelState, w *waiter) bool {
	if q.settings.FIFO || w.overdue || !m.serving {
		return false
	}
	return w.target.Before(w.Deadline) && now.Add(m.learnt.firstTokenTime(now)).After(w.target)
}

// makeOverdue moves a queued waiter to those that missed their target.
func (q *Queue) makeOverdue(now time.Time, m *modelState, w *waiter) {
	m.remove(w)
	w.overdue = true
	m.noteOverdue(now, w)
	m.add(w, q.settings.FIFO)
}

// noteOverdue starts the account of a rank's overdue waiters with the first.
func (m *modelState) noteOverdue(now time.Time, w *waiter) {
	if w.overdue && m.overdue(w.Rank) == 0 {
		m.lateness[w.Rank].since = now
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

// markOverdue moves all waiters that missed their target.
func (q *Queue) markOverdue(now time.Time) {
	for _, id := range sortedKeys(q.demanded) {
		m := q.models[id]
		for _, w := range m.late(now, q) {
			q.makeOverdue(now, m, w)
		}
	}
}

// late returns the queued waiters that miss their target now, in order.
func (m *modelState) late(now time.Time, q *Queue) []*waiter {
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
