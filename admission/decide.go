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

// expiryScanInterval is the interval at which all waiters are checked for
// expiry.
const expiryScanInterval = 250 * time.Millisecond

// demandRetention is the time after the last arrival for which a target without
// waiters is still listed in the demand.
const demandRetention = 15 * time.Minute

// minRetryAfter is the shortest retry time given to the caller of a request
// refused because of its deadline.
const minRetryAfter = time.Second

// grantDecision returns the decision to grant g.
func grantDecision(g *grantState) Decision {
	return Decision{
		Kind:        Grant,
		RequestID:   g.request.ID,
		Attempt:     g.request.Attempt,
		Entry:       g.request.Entry,
		Incarnation: g.request.Incarnation,
		Grant:       g.details,
	}
}

// refuseDecision returns the decision to refuse r.
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

// waitDecision returns the decision to wait, with its reason. If a decision on
// the waiter is pending, it returns that instead and removes it from the pending
// ones.
func (q *Queue) waitDecision(now time.Time, w *waiter) Decision {
	for i, d := range q.pendingDecisions {
		if d.RequestID == w.ID {
			q.pendingDecisions = slices.Delete(q.pendingDecisions, i, i+1)
			return d
		}
	}
	m := q.models[w.Target.Model]
	estimate, known := q.estimate(now, m, w)
	reason := "queued behind other requests"
	if slotSupplyOf(m).readySlots == 0 {
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

// checkAllowed refuses requests whose target or rank is not allowed by the
// release, and quarantined requests.
func (q *Queue) checkAllowed(now time.Time, m *modelState, r *Request) (Refusal, bool) {
	if q.hasRelease {
		switch {
		case !m.inRelease || (r.Target.Adapter != "" && !m.adapters[r.Target.Adapter]):
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
	key := contentKey(r)
	if table.Decision(now, key) != quarantine.Refuse {
		return Refusal{}, false
	}
	return q.poisonRefusal(now, key), true
}

// poisonRefusal returns the refusal of a quarantined request and extends its
// quarantine.
func (q *Queue) poisonRefusal(now time.Time, key quarantine.Key) Refusal {
	table := q.settings.Quarantine
	table.RecordRefusal(now, key)
	detail := fmt.Sprintf("the request was in flight at %d crashes of backend servers", quarantine.MaxCrashes)
	return Refusal{Code: CodePoison, Detail: detail, RetryAfter: table.RetryAfter(now, key)}
}

// checkDeadline refuses a request whose first token is expected after its
// deadline, given the requests queued before it and the loads in progress.
func (q *Queue) checkDeadline(now time.Time, m *modelState, w *waiter) (Refusal, bool) {
	if refusal, refused := q.checkExpired(now, m, w); refused || q.settings.FIFO {
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

// checkExpired refuses a request whose deadline has passed, or which would miss
// it even if it started now on a free slot.
func (q *Queue) checkExpired(now time.Time, m *modelState, w *waiter) (Refusal, bool) {
	slack := w.Deadline.Sub(now)
	if slack > 0 && (q.settings.FIFO || m.averages.firstTokenTime(now) <= slack) {
		return Refusal{}, false
	}
	detail := fmt.Sprintf("deadline in %v", slack.Round(time.Millisecond))
	retry := minRetryAfter
	if estimate, known := q.estimate(now, m, w); known {
		retry = max(retry, estimate)
	}
	return Refusal{Code: CodeExpired, Detail: detail, RetryAfter: retry}, true
}

// Tick refuses requests that expired or whose entry node stopped polling, grants
// free slots, and returns the decisions made since the last Tick or TakeDecisions.
// Those that Offer returned are not included.
func (q *Queue) Tick(now time.Time) []Decision {
	if now.Sub(q.lastScan) >= expiryScanInterval {
		q.lastScan = now
		q.markOverdue(now)
		q.refuseExpired(now)
	}
	q.serveAll(now)
	q.checkWaiterCount()
	return q.TakeDecisions()
}

// TakeDecisions returns the decisions made since the last Tick or TakeDecisions, other than
// those that Offer returned. It does no further work. Calling it after Finish
// passes on at once the grants that Finish made possible.
func (q *Queue) TakeDecisions() []Decision {
	out := q.pendingDecisions
	q.pendingDecisions = nil
	return out
}

// refuseExpired refuses all waiters that checkWaiter refuses, in order of
// request ID.
func (q *Queue) refuseExpired(now time.Time) {
	refusalByID := make(map[string]Refusal)
	for id, w := range q.waiters {
		if refusal, refused := q.checkWaiter(now, w); refused {
			refusalByID[id] = refusal
		}
	}
	for _, id := range sortedKeys(refusalByID) {
		q.refuse(now, q.waiters[id], refusalByID[id])
	}
}

// checkWaiter returns the refusal of a waiter whose entry node stopped polling
// or whose deadline has passed or can't be met. The estimate of the queue counts
// only while the model has no ready replica or the waiter is overdue.
func (q *Queue) checkWaiter(now time.Time, w *waiter) (Refusal, bool) {
	if now.Sub(w.lastOffer) >= q.settings.PollTimeout {
		return Refusal{Code: CodeCancelled, Detail: "the entry node stopped polling"}, true
	}
	m := q.models[w.Target.Model]
	if refusal, refused := q.checkExpired(now, m, w); refused {
		return refusal, true
	}
	if q.settings.FIFO || (m.hasReadyReplica && !w.overdue) {
		return Refusal{}, false
	}
	return q.checkDeadline(now, m, w)
}

// checkWaiterCount asserts that the queues hold as many waiters as the index by
// request ID.
func (q *Queue) checkWaiterCount() {
	queued := len(q.held)
	for id := range q.queuedModels {
		for _, t := range q.models[id].targets {
			for r := range fleet.Rank(fleet.RankCount) {
				queued += t.len(r)
			}
		}
	}
	invariant.Check(queued == len(q.waiters), invariant.NoLostWaiter, "%d waiters in the index by request ID, %d queued or held", len(q.waiters), queued)
}

// Demands returns the waiting and recently refused requests of each target and
// the time of its last arrival, ordered by target.
func (q *Queue) Demands(now time.Time) []fleet.Demand {
	byTarget := make(map[fleet.Target]*fleet.Demand)
	for id, m := range q.models {
		maps.DeleteFunc(m.lastArrival, func(_ fleet.AdapterID, lastArrival time.Time) bool {
			return now.Sub(lastArrival) > demandRetention
		})
		for adapter, lastArrival := range m.lastArrival {
			target := fleet.Target{Model: id, Adapter: adapter}
			byTarget[target] = &fleet.Demand{Target: target, LastArrival: lastArrival}
		}
	}
	for id, m := range q.models {
		m.addRefusals(now, id, byTarget)
	}
	for id := range q.queuedModels {
		for _, t := range q.models[id].targets {
			d := demandRow(byTarget, fleet.Target{Model: id, Adapter: t.adapter})
			for r := range fleet.Rank(fleet.RankCount) {
				t.onTime[r].addToDemand(d, r)
				t.overdue[r].addToDemand(d, r)
			}
		}
	}
	for _, w := range q.held {
		d := demandRow(byTarget, w.Target)
		addDemand(d, w.Rank, 1, w.dueTime(), w.Arrival)
	}
	out := make([]fleet.Demand, 0, len(byTarget))
	for _, d := range byTarget {
		out = append(out, *d)
	}
	slices.SortFunc(out, func(a, b fleet.Demand) int { return compareTargets(a.Target, b.Target) })
	return out
}

// demandRow returns the row of the target, adding it if needed.
func demandRow(rows map[fleet.Target]*fleet.Demand, t fleet.Target) *fleet.Demand {
	d := rows[t]
	if d == nil {
		d = &fleet.Demand{Target: t}
		rows[t] = d
	}
	return d
}

// addToDemand adds the waiters of the queue to the demand. The oldest arrival is
// taken from the first waiter of each caller only.
func (q *rankQueue) addToDemand(d *fleet.Demand, rank fleet.Rank) {
	if q.len() == 0 {
		return
	}
	oldest := q.callers[0].waiters[0].Arrival
	for _, c := range q.callers[1:] {
		if head := c.waiters[0]; head.Arrival.Before(oldest) {
			oldest = head.Arrival
		}
	}
	addDemand(d, rank, q.len(), time.Unix(0, q.dueTimes[0]), oldest)
}

// addDemand adds n waiters to a row. The parameter deadline is their earliest
// due time, arrival their oldest arrival.
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
