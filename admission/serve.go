package admission

import (
	"time"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// serveModel grants free slots of all backend servers that run the model.
// Waiters of other models may get some of them.
func (q *Queue) serveModel(now time.Time, m *modelState) {
	for _, r := range m.replicas {
		if len(m.targets) == 0 {
			return
		}
		if r.isAvailable(now) {
			q.serveBackend(now, r.backend)
		}
	}
}

// serveBackend grants free slots of a backend server until none is left or no
// waiter can run on it.
func (q *Queue) serveBackend(now time.Time, b *backendState) {
	b.usage.decay(now, q.settings.FloorWindow)
	for {
		w, fallback := q.pickWaiter(now, b)
		if w == nil {
			return
		}
		m := q.models[w.Target.Model]
		if refusal, refused := q.checkExpired(now, m, w); refused {
			q.refuse(now, w, refusal)
			continue
		}
		if q.missesTarget(now, m, w) {
			q.moveToOverdue(now, m, w)
			continue
		}
		if table := q.settings.Quarantine; table != nil {
			key := contentKey(&w.Request)
			if table.Decision(now, key) != quarantine.Allow || !table.MayStart(now, key, b.key.boot) {
				q.holdWaiter(w)
				q.serveHeld(now)
				continue
			}
		}
		q.grant(now, w, q.chooseReplica(now, m, w, fallback))
	}
}

// pickWaiter returns the waiter that a backend server should run next and a
// replica on it for that waiter, or nil if there is none.
func (q *Queue) pickWaiter(now time.Time, b *backendState) (*waiter, *replicaState) {
	var bestWaiter [fleet.RankCount]*waiter
	var bestReplica [fleet.RankCount]*replicaState
	for _, r := range b.replicas {
		if !r.isAvailable(now) {
			continue
		}
		for _, t := range q.models[r.Model].targets {
			if !r.hasAdapter(t.adapter) {
				continue
			}
			q.updateBest(t, r, &bestWaiter, &bestReplica)
		}
	}
	rank, found := q.selectRank(b, &bestWaiter)
	if !found {
		return nil, nil
	}
	return bestWaiter[rank], bestReplica[rank]
}

// updateBest replaces the best waiter of each rank, and its replica, if the
// target has a better one for the replica r.
func (q *Queue) updateBest(t *targetQueues, r *replicaState, bestWaiter *[fleet.RankCount]*waiter, bestReplica *[fleet.RankCount]*replicaState) {
	for rank := range fleet.Rank(fleet.RankCount) {
		if t.len(rank) == 0 || !r.backend.admits(rank, r.cost(), &q.limits) {
			continue
		}
		w := t.first(rank, q.usageByCaller[rank].exceedsFairShare)
		if bestWaiter[rank] == nil || goesBefore(q.settings.FIFO, w, bestWaiter[rank]) {
			bestWaiter[rank] = w
			bestReplica[rank] = r
		}
	}
}

// selectRank returns the rank to serve next: of the ranks that are below their
// floor by at least minDeficit, the one with the largest deficit, otherwise the
// most urgent one.
func (q *Queue) selectRank(b *backendState, bestWaiter *[fleet.RankCount]*waiter) (fleet.Rank, bool) {
	if q.settings.FIFO {
		return earliestOffered(bestWaiter)
	}
	chosen, found := fleet.Rank(0), false
	maxDeficit := 0.0
	for rank, w := range bestWaiter {
		if w == nil {
			continue
		}
		floor := q.settings.Ranks[rank].Floor
		deficit := b.usage.deficit(fleet.Rank(rank), floor)
		if deficit > maxDeficit && deficit >= q.minDeficit(w, floor) {
			chosen, found, maxDeficit = fleet.Rank(rank), true, deficit
		}
	}
	if found {
		return chosen, true
	}
	for rank, w := range bestWaiter {
		if w != nil {
			return fleet.Rank(rank), true
		}
	}
	return 0, false
}

// minDeficit returns the deficit, in slot seconds, from which a rank below its
// floor goes before more urgent ones. It is half the slot time of the request,
// but at most half the slot time that the floor gives one slot in the window.
func (q *Queue) minDeficit(w *waiter, floor float64) float64 {
	perWindow := floor * q.settings.FloorWindow.Seconds()
	slotTime := q.models[w.Target.Model].averages.estimateSlotTime(w.Rank, w.MaxTokens)
	if slotTime == 0 {
		return perWindow / 2
	}
	return min(slotTime.Seconds(), perWindow) / 2
}

// earliestOffered returns the rank whose waiter was offered first.
func earliestOffered(bestWaiter *[fleet.RankCount]*waiter) (fleet.Rank, bool) {
	chosen, found := fleet.Rank(0), false
	for rank, w := range bestWaiter {
		if w != nil && (!found || w.seq < bestWaiter[chosen].seq) {
			chosen, found = fleet.Rank(rank), true
		}
	}
	return chosen, found
}

// hasAdapter reports whether the adapter is loaded on the replica. It is true
// for "", the base model.
func (r *replicaState) hasAdapter(a fleet.AdapterID) bool {
	if a == "" {
		return true
	}
	for _, resident := range r.Adapters {
		if resident == a {
			return true
		}
	}
	return false
}

// chooseReplica returns the best replica for a waiter, or the fallback if no
// replica can run it now.
func (q *Queue) chooseReplica(now time.Time, m *modelState, w *waiter, fallback *replicaState) *replicaState {
	var usable []*replicaState
	var candidates []dispatch.Candidate
	for _, r := range m.replicas {
		if !q.canRun(now, w, r) {
			continue
		}
		usable = append(usable, r)
		candidates = append(candidates, dispatch.Candidate{
			Backend:  r.Backend,
			Load:     float64(r.backend.usedUnits()) / capacityUnits,
			Excluded: isExcluded(w, r.Backend),
		})
	}
	if at := dispatch.Choose(candidates); at >= 0 {
		return usable[at]
	}
	return fallback
}

// canRun reports whether the replica can run the waiter now.
func (q *Queue) canRun(now time.Time, w *waiter, r *replicaState) bool {
	if !r.isAvailable(now) || !r.hasAdapter(w.Target.Adapter) {
		return false
	}
	if !r.backend.admits(w.Rank, r.cost(), &q.limits) {
		return false
	}
	table := q.settings.Quarantine
	return table == nil || table.MayStart(now, contentKey(&w.Request), r.Boot)
}

// isExcluded reports whether the request excludes the backend server.
func isExcluded(w *waiter, b fleet.BackendID) bool {
	for _, excluded := range w.Excluded {
		if excluded == b {
			return true
		}
	}
	return false
}

// serveHeld grants held waiters that the quarantine allows to start, and refuses
// those that are now quarantined or expired.
func (q *Queue) serveHeld(now time.Time) {
	table := q.settings.Quarantine
	for _, w := range append([]*waiter(nil), q.held...) {
		key := contentKey(&w.Request)
		if table.Decision(now, key) == quarantine.Refuse {
			q.refuse(now, w, q.poisonRefusal(now, key))
			continue
		}
		m := q.models[w.Target.Model]
		if refusal, refused := q.checkExpired(now, m, w); refused {
			q.refuse(now, w, refusal)
			continue
		}
		if r := q.chooseReplica(now, m, w, nil); r != nil {
			q.grant(now, w, r)
		}
	}
}

// grant gives a waiter a slot of the replica and ends its wait.
func (q *Queue) grant(now time.Time, w *waiter, r *replicaState) {
	invariant.Check(r.isReady(), invariant.NoWorkToDraining, "request %s granted to %s in state %s, draining %t", w.ID, r.Backend, r.State, r.Draining)
	invariant.Check(q.waiters[w.ID] == w && q.grantsByRequest[w.ID] == nil, invariant.NoLostWaiter, "request %s decided twice", w.ID)
	q.removeWaiter(w)
	isolated := false
	if table := q.settings.Quarantine; table != nil {
		key := contentKey(&w.Request)
		isolated = table.Decision(now, key) == quarantine.Isolate
		table.RecordStart(key, r.Boot)
	}
	m := q.models[w.Target.Model]
	if w.overdue {
		m.progress[w.Rank].lastGrant = now
	}
	g := &grantState{
		request:     w.Request,
		details:     GrantDetails{ID: q.nextGrantID(), Replica: r.ReplicaKey, Address: r.Address, Isolated: isolated},
		replica:     r,
		cost:        r.cost(),
		chargedTime: m.averages.estimateSlotTime(w.Rank, w.MaxTokens),
		grantedAt:   now,
	}
	q.grants[g.details.ID] = g
	q.grantsByRequest[w.ID] = g
	r.running++
	r.backend.used[w.Rank] += g.cost
	r.backend.usage.decay(now, q.settings.FloorWindow)
	r.backend.usage.charge(w.Rank, g.chargedTime)
	q.usageByCaller[w.Rank].charge(now, q.settings.FloorWindow, w.Caller, g.chargedTime)
	q.pendingDecisions = append(q.pendingDecisions, grantDecision(g))
}
