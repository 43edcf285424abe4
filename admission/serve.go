package admission

import (
	"time"

	"github.com/redwingnotch/redwingnotch/dispatch"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// serveModel grants what it can on all backend servers that run the model.
func (q *Queue) serveModel(now time.Time, m *modelState) {
	for _, r := range m.replicas {
		if len(m.targets) == 0 {
			return
		}
		if r.takes(now) {
			q.serveBackend(now, r.backend)
		}
	}
}

// serveBackend grants free slots of a backend server until none is left or
// nothing that it can run waits.
func (q *Queue) serveBackend(now time.Time, b *backendState) {
	b.usage.decay(now, q.settings.FloorWindow)
	for {
		w, fallback := q.pick(now, b)
		if w == nil {
			return
		}
		m := q.models[w.Target.Model]
		if refusal, refused := q.tooLateNow(now, m, w); refused {
			q.refuse(now, w, refusal)
			continue
		}
		if q.missesTarget(now, m, w) {
			q.makeOverdue(now, m, w)
			continue
		}
		if table := q.settings.Quarantine; table != nil {
			key := keyOf(&w.Request)
			if table.Verdict(now, key) != quarantine.Free || !table.MayStart(now, key, b.key.boot) {
				q.hold(w)
				q.serveHeld(now)
				continue
			}
		}
		q.grant(now, w, q.place(now, m, w, fallback))
	}
}

// pick returns the waiter that a backend server should run next with the
// replica to run it on, or nil.
func (q *Queue) pick(now time.Time, b *backendState) (*waiter, *replicaState) {
	var best [fleet.RankCount]*waiter
	var on [fleet.RankCount]*replicaState
	for _, r := range b.replicas {
		if !r.takes(now) {
			continue
		}
		for _, t := range q.models[r.Model].targets {
			if !r.hasAdapter(t.adapter) {
				continue
			}
			q.pickRanks(t, r, &best, &on)
		}
	}
	rank, found := q.pickRank(b, &best)
	if !found {
		return nil, nil
	}
	return best[rank], on[rank]
}

// pickRanks improves the best waiter of each rank by those of one target.
func (q *Queue) pickRanks(t *targetQueues, r *replicaState, best *[fleet.RankCount]*waiter, on *[fleet.RankCount]*replicaState) {
	for rank := range fleet.Rank(fleet.RankCount) {
		if t.len(rank) == 0 || !r.backend.admits(rank, r.cost(), &q.limits) {
			continue
		}
		w := t.first(rank, q.callers[rank].overShare)
		if best[rank] == nil || earlier(q.settings.FIFO, w, best[rank]) {
			best[rank] = w
			on[rank] = r
		}
	}
}

// pickRank chooses the rank to serve: the one furthest below its floor, else
// the most urgent.
func (q *Queue) pickRank(b *backendState, best *[fleet.RankCount]*waiter) (fleet.Rank, bool) {
	if q.settings.FIFO {
		return firstOffered(best)
	}
	chosen, found := fleet.Rank(0), false
	most := 0.0
	for rank, w := range best {
		if w == nil {
			continue
		}
		floor := q.settings.Ranks[rank].Floor
		deficit := b.usage.deficit(fleet.Rank(rank), floor)
		if deficit > most && deficit >= q.quantum(w, floor) {
			chosen, found, most = fleet.Rank(rank), true, deficit
		}
	}
	if found {
		return chosen, true
	}
	for rank, w := range best {
		if w != nil {
			return fleet.Rank(rank), true
		}
	}
	return 0, false
}

// quantum returns the deficit in slot seconds from which a rank below its floor
// goes before more urgent ones: half of what the request takes, and no more
// than half of what the floor gives one slot in the window.
func (q *Queue) quantum(w *waiter, floor float64) float64 {
	perWindow := floor * q.settings.FloorWindow.Seconds()
	service := q.models[w.Target.Model].learnt.serviceTime(w.Rank, w.MaxTokens)
	if service == 0 {
		return perWindow / 2
	}
	return min(service.Seconds(), perWindow) / 2
}

// firstOffered returns the rank of the waiter that came first.
func firstOffered(best *[fleet.RankCount]*waiter) (fleet.Rank, bool) {
	chosen, found := fleet.Rank(0), false
	for rank, w := range best {
		if w != nil && (!found || w.seq < best[chosen].seq) {
			chosen, found = fleet.Rank(rank), true
		}
	}
	return chosen, found
}

// hasAdapter reports whether the adapter is resident; the base model always is.
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

// place returns the best replica for a waiter. The fallback is one that fits.
func (q *Queue) place(now time.Time, m *modelState, w *waiter, fallback *replicaState) *replicaState {
	var fits []*replicaState
	var candidates []dispatch.Candidate
	for _, r := range m.replicas {
		if !q.mayRun(now, w, r) {
			continue
		}
		fits = append(fits, r)
		candidates = append(candidates, dispatch.Candidate{
			Backend:  r.Backend,
			Load:     float64(r.backend.total()) / capacityUnits,
			Excluded: isExcluded(w, r.Backend),
		})
	}
	if at := dispatch.Choose(candidates); at >= 0 {
		return fits[at]
	}
	return fallback
}

// mayRun reports whether the replica can run the waiter now.
func (q *Queue) mayRun(now time.Time, w *waiter, r *replicaState) bool {
	if !r.takes(now) || !r.hasAdapter(w.Target.Adapter) {
		return false
	}
	if !r.backend.admits(w.Rank, r.cost(), &q.limits) {
		return false
	}
	table := q.settings.Quarantine
	return table == nil || table.MayStart(now, keyOf(&w.Request), r.Boot)
}

// isExcluded reports whether the request asked to avoid the backend server.
func isExcluded(w *waiter, b fleet.BackendID) bool {
	for _, x := range w.Excluded {
		if x == b {
			return true
		}
	}
	return false
}

// serveHeld grants waiters kept apart by the quarantine, as far as it lets.
func (q *Queue) serveHeld(now time.Time) {
	table := q.settings.Quarantine
	for _, w := range append([]*waiter(nil), q.held...) {
		key := keyOf(&w.Request)
		if table.Verdict(now, key) == quarantine.Refuse {
			q.refuse(now, w, q.poisonRefusal(now, key))
			continue
		}
		m := q.models[w.Target.Model]
		if refusal, refused := q.tooLateNow(now, m, w); refused {
			q.refuse(now, w, refusal)
			continue
		}
		if r := q.place(now, m, w, nil); r != nil {
			q.grant(now, w, r)
		}
	}
}

// grant ends a wait with a slot on the replica.
func (q *Queue) grant(now time.Time, w *waiter, r *replicaState) {
	invariant.Check(r.serves(), invariant.NoWorkToLeaving, "request %s granted to %s in state %s, draining %t", w.ID, r.Backend, r.State, r.Draining)
	invariant.Check(q.waiters[w.ID] == w && q.granted[w.ID] == nil, invariant.NoLostWaiter, "request %s decided twice", w.ID)
	q.drop(w)
	isolated := false
	if table := q.settings.Quarantine; table != nil {
		key := keyOf(&w.Request)
		isolated = table.Verdict(now, key) == quarantine.Isolate
		table.Start(key, r.Boot)
	}
	m := q.models[w.Target.Model]
	if w.overdue {
		m.lateness[w.Rank].since = now
	}
	g := &grantState{
		request:   w.Request,
		terms:     GrantTerms{ID: q.nextGrantID(), Replica: r.ReplicaKey, Address: r.Address, Isolated: isolated},
		replica:   r,
		cost:      r.cost(),
		charged:   m.learnt.serviceTime(w.Rank, w.MaxTokens),
		grantedAt: now,
	}
	q.grants[g.terms.ID] = g
	q.granted[w.ID] = g
	r.running++
	r.backend.used[w.Rank] += g.cost
	r.backend.usage.decay(now, q.settings.FloorWindow)
	r.backend.usage.charge(w.Rank, g.charged)
	q.callers[w.Rank].charge(now, q.settings.FloorWindow, w.Caller, g.charged)
	q.ready = append(q.ready, grantDecision(g))
}
