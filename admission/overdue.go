package admission

import "time"

// overdueRate is how fast waiters that missed their target get slots.
type overdueRate struct {
	gap   time.Duration // average between grants while some waited
	since time.Time     // of the latest grant, or when the first waiter became overdue
}

// granted learns from a grant to an overdue waiter.
func (o *overdueRate) granted(now time.Time) {
	learnDuration(&o.gap, now.Sub(o.since))
	o.since = now
}

// wait estimates the time until the waiter behind so many others gets a slot.
// It is zero until the rate is known to be lower than the time that passed.
func (o *overdueRate) wait(now time.Time, ahead int) time.Duration {
	if o.since.IsZero() {
		return 0
	}
	return time.Duration(ahead) * max(o.gap, now.Sub(o.since))
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
	late := &m.lateness[w.Rank]
	if !m.anyOverdue(w) {
		late.since = now
		late.gap = 0
	}
	w.overdue = true
	m.add(w, q.settings.FIFO)
}

// anyOverdue reports whether a waiter of the same rank is overdue.
func (m *modelState) anyOverdue(w *waiter) bool {
	for _, t := range m.targets {
		if t.overdue[w.Rank].len() > 0 {
			return true
		}
	}
	return false
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
