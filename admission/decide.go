package admission

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// scanInterval is how often all waiters are checked for expiry.
const scanInterval = 250 * time.Millisecond

// demandMemory is how long a target without waiters is named in the demand.
const demandMemory = 15 * time.Minute

// minRetryAfter is the least time after which a refused caller should return.
const minRetryAfter = time.Second

// grantDecision returns the decision that carries a grant.
func grantDecision(g *grantState) Decision {
	return Decision{
		Kind:        Grant,
		RequestID:   g.request.ID,
		Attempt:     g.request.Attempt,
		Entry:       g.request.Entry,
		Incarnation: g.request.Incarnation,
		Grant:       g.terms,
	}
}

// refuseDecision returns the decision that carries a refusal.
func refuseDecision(r *Request, refusal Refusal) Decision {
	return Decision{
		Kind:        Refuse,
		RequestID:   r.ID,
		Attempt:     r.Attempt,
		Entry:       r.Entry,
		Incarnation: r.Incarnation,
		Refusal:     refusal,
	}
}

// waitDecision returns the decision to wait, with what it waits for. A decision
// that was made meanwhile goes first.
func (q *Queue) waitDecision(now time.Time, w *waiter) Decision {
	for i, d := range q.ready {
		if d.RequestID == w.ID {
			q.ready = slices.Delete(q.ready, i, i+1)
			return d
		}
	}
	m := q.models[w.Target.Model]
	estimate, known := q.estimate(now, m, w)
	reason := "queued behind other requests"
	if supplyOf(m).readySlots == 0 {
		reason = "waiting for the model to load"
	}
	if w.held {
		reason = "kept apart after a backend server crashed"
	}
	if !known {
		estimate = 0
	}
	return Decision{
		Kind:        Wait,
		RequestID:   w.ID,
		Attempt:     w.Attempt,
		Entry:       w.Entry,
		Incarnation: w.Incarnation,
		Estimate:    estimate,
		Reason:      reason,
	}
}

// screen refuses what must not run at all.
func (q *Queue) screen(now time.Time, m *modelState, r *Request) (Refusal, bool) {
	if q.released {
		switch {
		case !m.known || (r.Target.Adapter != "" && !m.adapters[r.Target.Adapter]):
			return Refusal{Code: CodeUnknownTarget, Detail: r.Target.String() + " is not in force"}, true
		case m.info.Withdrawn:
			return Refusal{Code: CodeWithdrawn, Detail: string(r.Target.Model) + " is withdrawn"}, true
		case len(m.info.AllowedRanks) > 0 && !slices.Contains(m.info.AllowedRanks, r.Rank):
			return Refusal{Code: CodeRank, Detail: fmt.Sprintf("%s does not serve rank %s", r.Target.Model, r.Rank)}, true
		}
	}
	table := q.settings.Quarantine
	if table == nil {
		return Refusal{}, false
	}
	key := keyOf(r)
	if table.Verdict(now, key) != quarantine.Refuse {
		return Refusal{}, false
	}
	return q.poisonRefusal(now, key), true
}

// poisonRefusal refuses a convicted request and keeps it convicted.
func (q *Queue) poisonRefusal(now time.Time, key quarantine.Key) Refusal {
	table := q.settings.Quarantine
	table.Refused(now, key)
	detail := fmt.Sprintf("the request was in flight at %d crashes of backend servers", quarantine.MaxCrashes)
	return Refusal{Code: CodePoison, Detail: detail, RetryAfter: table.RetryAfter(now, key)}
}

// tooLate refuses a request that cannot get its first token by its deadline,
// by the estimate of the queue ahead and of loads.
func (q *Queue) tooLate(now time.Time, m *modelState, w *waiter) (Refusal, bool) {
	if refusal, refused := q.tooLateNow(now, m, w); refused || q.settings.FIFO {
		return refusal, refused
	}
	estimate, known := q.estimate(now, m, w)
	slack := w.Deadline.Sub(now)
	if !known || estimate <= slack {
		return Refusal{}, false
	}
	detail := fmt.Sprintf("first token expected in %v, deadline in %v", estimate.Round(time.Millisecond), slack.Round(time.Millisecond))
	return Refusal{Code: CodeDeadline, Detail: detail, RetryAfter: max(minRetryAfter, estimate-slack)}, true
}

// tooLateNow refuses a request that would be late even if it began now.
func (q *Queue) tooLateNow(now time.Time, m *modelState, w *waiter) (Refusal, bool) {
	slack := w.Deadline.Sub(now)
	if slack > 0 && (q.settings.FIFO || m.learnt.firstTokenTime(now) <= slack) {
		return Refusal{}, false
	}
	detail := fmt.Sprintf("deadline in %v", slack.Round(time.Millisecond))
	retry := minRetryAfter
	if estimate, known := q.estimate(now, m, w); known {
		retry = max(retry, estimate)
	}
	return Refusal{Code: CodeExpired, Detail: detail, RetryAfter: retry}, true
}

// Tick refuses what expired or is no longer asked for, serves what can be
// served, and returns the decisions made since the last Tick that Offer did not
// return itself.
func (q *Queue) Tick(now time.Time) []Decision {
	if now.Sub(q.scanned) >= scanInterval {
		q.scanned = now
		q.markOverdue(now)
		q.refuseUseless(now)
	}
	q.serveAll(now)
	q.checkBooks()
	return q.Decided()
}

// Decided returns the decisions made since the last Tick or Decided that Offer
// did not return itself. It costs nothing beyond that, so that a node can pass
// on the grants that a Finish made possible at once.
func (q *Queue) Decided() []Decision {
	out := q.ready
	q.ready = nil
	return out
}

// refuseUseless ends the waits that became useless, in order of request id.
func (q *Queue) refuseUseless(now time.Time) {
	useless := make(map[string]Refusal)
	for id, w := range q.waiters {
		if refusal, refused := q.checkWaiter(now, w); refused {
			useless[id] = refusal
		}
	}
	for _, id := range sortedKeys(useless) {
		q.refuse(now, q.waiters[id], useless[id])
	}
}

// checkWaiter returns the refusal of a wait that became useless.
func (q *Queue) checkWaiter(now time.Time, w *waiter) (Refusal, bool) {
	if now.Sub(w.offered) >= q.settings.PollTimeout {
		return Refusal{Code: CodeCancelled, Detail: "the entry node stopped asking"}, true
	}
	m := q.models[w.Target.Model]
	if refusal, refused := q.tooLateNow(now, m, w); refused {
		return refusal, true
	}
	if q.settings.FIFO || (m.serving && !w.overdue) {
		return Refusal{}, false
	}
	return q.tooLate(now, m, w)
}

// checkBooks asserts that each waiter stands in exactly one place.
func (q *Queue) checkBooks() {
	queued := len(q.held)
	for id := range q.demanded {
		for _, t := range q.models[id].targets {
			for r := range fleet.Rank(fleet.RankCount) {
				queued += t.len(r)
			}
		}
	}
	invariant.Check(queued == len(q.waiters), invariant.NoLostWaiter, "%d requests wait, %d are queued", len(q.waiters), queued)
}

// Demands returns what waits at the cell by target, and when targets were asked
// for lately, ordered by target.
func (q *Queue) Demands(now time.Time) []fleet.Demand {
	byTarget := make(map[fleet.Target]*fleet.Demand)
	for id, m := range q.models {
		maps.DeleteFunc(m.last, func(_ fleet.AdapterID, last time.Time) bool {
			return now.Sub(last) > demandMemory
		})
		for adapter, last := range m.last {
			target := fleet.Target{Model: id, Adapter: adapter}
			byTarget[target] = &fleet.Demand{Target: target, LastArrival: last}
		}
	}
	for id, m := range q.models {
		m.addPressure(now, id, byTarget)
	}
	for id := range q.demanded {
		for _, t := range q.models[id].targets {
			d := demandOf(byTarget, fleet.Target{Model: id, Adapter: t.adapter})
			for r := range fleet.Rank(fleet.RankCount) {
				t.onTime[r].addTo(d, r)
				t.overdue[r].addTo(d, r)
			}
		}
	}
	for _, w := range q.held {
		d := demandOf(byTarget, w.Target)
		addDemand(d, w.Rank, 1, w.due(), w.Arrival)
	}
	out := make([]fleet.Demand, 0, len(byTarget))
	for _, d := range byTarget {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b fleet.Demand) int { return compareTargets(a.Target, b.Target) })
	return out
}

// demandOf returns the target's row and adds it if needed.
func demandOf(rows map[fleet.Target]*fleet.Demand, t fleet.Target) *fleet.Demand {
	d := rows[t]
	if d == nil {
		d = &fleet.Demand{Target: t}
		rows[t] = d
	}
	return d
}

// addTo adds a queue's waiters to the demand. The oldest arrival is taken among
// the first waiters of the callers.
func (q *rankQueue) addTo(d *fleet.Demand, rank fleet.Rank) {
	if q.len() == 0 {
		return
	}
	oldest := q.callers[0].waiters[0].Arrival
	for _, c := range q.callers[1:] {
		if head := c.waiters[0]; head.Arrival.Before(oldest) {
			oldest = head.Arrival
		}
	}
	addDemand(d, rank, q.len(), time.Unix(0, q.dues[0]), oldest)
}

// addDemand adds waiters to a row.
func addDemand(d *fleet.Demand, rank fleet.Rank, n int, deadline, arrival time.Time) {
	d.Waiting[rank] += n
	if earliest := d.EarliestDeadline[rank]; earliest.IsZero() || deadline.Before(earliest) {
		d.EarliestDeadline[rank] = deadline
	}
	if d.OldestArrival.IsZero() || arrival.Before(d.OldestArrival) {
		d.OldestArrival = arrival
	}
	if arrival.After(d.LastArrival) {
		d.LastArrival = arrival
	}
}
