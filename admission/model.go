package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// modelState is what the queue knows of one model.
type modelState struct {
	targets  []*targetQueues // with waiters, ordered by adapter
	replicas []*replicaState // all, ordered by key
	cold     time.Duration   // estimate of a cold load, zero if unknown
	learnt   learntTimes
	lateness [fleet.RankCount]overdueRate
	pressure map[fleet.AdapterID]*pressure // by adapter, "" for the base model
	info     fleet.Model
	known    bool // in the release
	serving  bool // has a replica that takes work
	adapters map[fleet.AdapterID]bool
	last     map[fleet.AdapterID]time.Time // latest arrival, "" for the base model
}

// model returns the state of a model and creates it if needed.
func (q *Queue) model(id fleet.ModelID) *modelState {
	m := q.models[id]
	if m == nil {
		m = &modelState{last: make(map[fleet.AdapterID]time.Time)}
		q.models[id] = m
	}
	return m
}

// find returns where the adapter's queues stand or would stand.
func (m *modelState) find(a fleet.AdapterID) (int, bool) {
	return slices.BinarySearchFunc(m.targets, a, func(t *targetQueues, a fleet.AdapterID) int {
		return cmp.Compare(t.adapter, a)
	})
}

// add queues a waiter.
func (m *modelState) add(w *waiter, fifo bool) {
	at, found := m.find(w.Target.Adapter)
	if !found {
		m.targets = slices.Insert(m.targets, at, &targetQueues{adapter: w.Target.Adapter})
	}
	m.targets[at].queueOf(w).add(w, fifo)
}

// remove takes a waiter out.
func (m *modelState) remove(w *waiter) {
	at, _ := m.find(w.Target.Adapter)
	t := m.targets[at]
	t.queueOf(w).remove(w)
	if t.empty() {
		m.targets = slices.Delete(m.targets, at, at+1)
	}
}

// waiting returns the number of waiters of the rank.
func (m *modelState) waiting(rank fleet.Rank) int {
	n := 0
	for _, t := range m.targets {
		n += t.len(rank)
	}
	return n
}

// ahead returns the number of waiters of the same rank and class that go before
// w: of those on time or of those overdue.
func (m *modelState) ahead(w *waiter) int {
	n := 0
	for _, t := range m.targets {
		n += t.queueOf(w).ahead(w.due())
	}
	if w.place != nil {
		n-- // itself
	}
	return n
}

// SetModels tells the queue the models and adapters in force. Until the first
// call all targets are accepted.
func (q *Queue) SetModels(now time.Time, ms []fleet.Model, as []fleet.Adapter) {
	q.released = true
	for _, m := range q.models {
		m.known = false
		m.adapters = nil
	}
	for _, info := range ms {
		m := q.model(info.ID)
		m.info = info
		m.known = true
		m.adapters = make(map[fleet.AdapterID]bool)
	}
	for _, a := range as {
		if m := q.models[a.Model]; m != nil && m.known && !a.Withdrawn {
			m.adapters[a.ID] = true
		}
	}
	q.refuseWithdrawn(now)
	maps.DeleteFunc(q.models, func(_ fleet.ModelID, m *modelState) bool {
		return !m.known && len(m.targets) == 0 && len(m.replicas) == 0
	})
}

// refuseWithdrawn ends the wait for targets that are no longer in force.
func (q *Queue) refuseWithdrawn(now time.Time) {
	for _, id := range sortedKeys(q.waiters) {
		w := q.waiters[id]
		if refusal, refused := q.screen(now, q.models[w.Target.Model], &w.Request); refused {
			q.refuse(now, w, refusal)
		}
	}
}

// SetColdEstimates tells the queue how long loads of models without a replica
// would take. Models not named become unknown.
func (q *Queue) SetColdEstimates(es []ColdEstimate) {
	for _, m := range q.models {
		m.cold = 0
	}
	for _, e := range es {
		q.model(e.Model).cold = e.ReadyIn
	}
}

// SetReplicas replaces the replica table and the lagging load reports. Grants
// whose replica is no longer listed keep no slot.
func (q *Queue) SetReplicas(now time.Time, rs []fleet.Replica, loads []ReplicaLoad) {
	old := q.backends
	q.backends = make(map[bootKey]*backendState, len(old))
	for _, m := range q.models {
		m.replicas = m.replicas[:0]
		m.serving = false
	}
	byKey := make(map[fleet.ReplicaKey]*replicaState, len(rs))
	for _, row := range rs {
		byKey[row.ReplicaKey] = q.addReplica(row, old)
	}
	q.reattachGrants(byKey)
	q.applyLoads(now, loads, byKey)
	q.serveAll(now)
}

// addReplica enters one row of the replica table.
func (q *Queue) addReplica(row fleet.Replica, old map[bootKey]*backendState) *replicaState {
	key := bootKey{row.Backend, row.Boot}
	b := q.backends[key]
	if b == nil {
		b = &backendState{key: key}
		if before := old[key]; before != nil {
			b.finished = before.finished
			b.usage = before.usage
			b.downUntil = before.downUntil
			b.paused = before.paused
		}
		q.backends[key] = b
	}
	r := &replicaState{Replica: row, backend: b}
	b.replicas = append(b.replicas, r)
	m := q.model(row.Model)
	m.replicas = append(m.replicas, r)
	m.serving = m.serving || r.serves()
	return r
}

// reattachGrants counts the grants in flight on the replicas now listed.
func (q *Queue) reattachGrants(byKey map[fleet.ReplicaKey]*replicaState) {
	for _, g := range q.grants {
		r := byKey[g.terms.Replica]
		g.replica = r
		if r == nil {
			continue
		}
		g.cost = r.cost()
		r.running++
		r.backend.used[g.request.Rank] += g.cost
	}
}

// applyLoads takes over what reports say of token rates and of requests that
// this queue did not grant.
func (q *Queue) applyLoads(now time.Time, loads []ReplicaLoad, byKey map[fleet.ReplicaKey]*replicaState) {
	byBackend := make(map[*backendState][]ReplicaLoad)
	for _, load := range loads {
		r := byKey[load.Key]
		if r == nil || now.Sub(load.MeasuredAt) > finishMemory {
			continue
		}
		if m := q.models[load.Key.Model]; load.MeasuredAt.After(m.learnt.reportedAt) {
			m.learnt.reportedAt = load.MeasuredAt
			m.learnt.report(load)
		}
		byBackend[r.backend] = append(byBackend[r.backend], load)
	}
	if len(byBackend) == 0 {
		return
	}
	granted := make(map[fleet.ReplicaKey][]time.Time, len(q.grants))
	for _, g := range q.grants {
		granted[g.terms.Replica] = append(granted[g.terms.Replica], g.grantedAt)
	}
	for b, reports := range byBackend {
		b.setForeign(now, reports, func(k fleet.ReplicaKey, at time.Time) int {
			n := 0
			for _, grantedAt := range granted[k] {
				if !grantedAt.After(at) {
					n++
				}
			}
			return n
		})
	}
}

// serveAll grants what it can for all models that are waited for, in order.
func (q *Queue) serveAll(now time.Time) {
	for _, id := range sortedKeys(q.demanded) {
		q.serveModel(now, q.models[id])
	}
	q.serveHeld(now)
}

// sortedKeys returns a map's keys in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// compareTargets orders targets by model, then by adapter.
func compareTargets(a, b fleet.Target) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
