package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// modelState is the state of one model.
type modelState struct {
	targets         []*targetQueues // targets with waiters, ordered by adapter
	replicas        []*replicaState // all replicas, ordered by key
	coldLoadTime    time.Duration   // estimated time of a cold load; zero if unknown
	averages        movingAverages
	progress        [fleet.RankCount]overdueProgress // grants to overdue waiters, by rank
	refusals        map[fleet.AdapterID]*refusals    // recent refusals by adapter, "" for the base model
	info            fleet.Model                      // entry in the release
	inRelease       bool                             // the release has the model
	hasReadyReplica bool                             // a replica is ready and not draining
	adapters        map[fleet.AdapterID]bool         // adapters in force
	lastArrival     map[fleet.AdapterID]time.Time    // latest arrival by adapter, "" for the base model
}

// model returns the state of a model, creating it if needed.
func (q *Queue) model(id fleet.ModelID) *modelState {
	m := q.models[id]
	if m == nil {
		m = &modelState{lastArrival: make(map[fleet.AdapterID]time.Time)}
		q.models[id] = m
	}
	return m
}

// findTarget returns the position of the adapter in targets, or where to insert
// it, and whether it is there.
func (m *modelState) findTarget(a fleet.AdapterID) (int, bool) {
	return slices.BinarySearchFunc(m.targets, a, func(t *targetQueues, a fleet.AdapterID) int {
		return cmp.Compare(t.adapter, a)
	})
}

// add puts a waiter into the queue of its target, rank and caller.
func (m *modelState) add(w *waiter, fifo bool) {
	at, found := m.findTarget(w.Target.Adapter)
	if !found {
		m.targets = slices.Insert(m.targets, at, &targetQueues{adapter: w.Target.Adapter})
	}
	m.targets[at].queueOf(w).add(w, fifo)
}

// remove takes a waiter out of its queue.
func (m *modelState) remove(w *waiter) {
	at, _ := m.findTarget(w.Target.Adapter)
	t := m.targets[at]
	t.queueOf(w).remove(w)
	if t.empty() {
		m.targets = slices.Delete(m.targets, at, at+1)
	}
}

// waiting returns the number of waiters of the rank, overdue ones included.
func (m *modelState) waiting(rank fleet.Rank) int {
	n := 0
	for _, t := range m.targets {
		n += t.len(rank)
	}
	return n
}

// countAhead returns the number of waiters of the same rank that are due no
// later than w: among the overdue ones if w is overdue, otherwise among those on
// time.
func (m *modelState) countAhead(w *waiter) int {
	n := 0
	for _, t := range m.targets {
		n += t.queueOf(w).countAhead(w.dueTime())
	}
	if w.queue != nil {
		n-- // w itself
	}
	return n
}

// SetModels sets the models and adapters in force. Until the first call, the
// queue accepts all targets.
func (q *Queue) SetModels(now time.Time, ms []fleet.Model, as []fleet.Adapter) {
	q.hasRelease = true
	for _, m := range q.models {
		m.inRelease = false
		m.adapters = nil
	}
	for _, info := range ms {
		m := q.model(info.ID)
		m.info = info
		m.inRelease = true
		m.adapters = make(map[fleet.AdapterID]bool)
	}
	for _, a := range as {
		if m := q.models[a.Model]; m != nil && m.inRelease && !a.Withdrawn {
			m.adapters[a.ID] = true
		}
	}
	q.refuseWithdrawn(now)
	maps.DeleteFunc(q.models, func(_ fleet.ModelID, m *modelState) bool {
		return !m.inRelease && len(m.targets) == 0 && len(m.replicas) == 0
	})
}

// refuseWithdrawn refuses waiters that the release no longer allows.
func (q *Queue) refuseWithdrawn(now time.Time) {
	for _, id := range sortedKeys(q.waiters) {
		w := q.waiters[id]
		if refusal, refused := q.checkAllowed(now, q.models[w.Target.Model], &w.Request); refused {
			q.refuse(now, w, refusal)
		}
	}
}

// SetColdEstimates sets the estimated load times of models without a replica.
// The estimates of models that are not listed become unknown.
func (q *Queue) SetColdEstimates(es []ColdEstimate) {
	for _, m := range q.models {
		m.coldLoadTime = 0
	}
	for _, e := range es {
		q.model(e.Model).coldLoadTime = e.ReadyIn
	}
}

// SetReplicas replaces the replica table and applies the load reports. Grants
// whose replica is no longer listed use no slot.
func (q *Queue) SetReplicas(now time.Time, rs []fleet.Replica, loads []ReplicaLoad) {
	old := q.backends
	q.backends = make(map[bootKey]*backendState, len(old))
	for _, m := range q.models {
		m.replicas = m.replicas[:0]
		m.hasReadyReplica = false
	}
	byKey := make(map[fleet.ReplicaKey]*replicaState, len(rs))
	for _, row := range rs {
		byKey[row.ReplicaKey] = q.addReplica(row, old)
	}
	q.reattachGrants(byKey)
	q.applyLoads(now, loads, byKey)
	q.serveAll(now)
}

// addReplica adds one row of the replica table and retains the state of a known
// boot.
func (q *Queue) addReplica(row fleet.Replica, old map[bootKey]*backendState) *replicaState {
	key := bootKey{row.Backend, row.Boot}
	b := q.backends[key]
	if b == nil {
		b = &backendState{key: key}
		if before := old[key]; before != nil {
			b.finished = before.finished
			b.usage = before.usage
			b.downUntil = before.downUntil
			b.pausedUntil = before.pausedUntil
		}
		q.backends[key] = b
	}
	r := &replicaState{Replica: row, backend: b}
	b.replicas = append(b.replicas, r)
	m := q.model(row.Model)
	m.replicas = append(m.replicas, r)
	m.hasReadyReplica = m.hasReadyReplica || r.isReady()
	return r
}

// reattachGrants counts the unfinished grants on the replicas that are now
// listed.
func (q *Queue) reattachGrants(byKey map[fleet.ReplicaKey]*replicaState) {
	for _, g := range q.grants {
		r := byKey[g.details.Replica]
		g.replica = r
		if r == nil {
			continue
		}
		g.cost = r.cost()
		r.running++
		r.backend.used[g.request.Rank] += g.cost
	}
}

// applyLoads updates token rates and the capacity used by external requests from
// the load reports.
func (q *Queue) applyLoads(now time.Time, loads []ReplicaLoad, byKey map[fleet.ReplicaKey]*replicaState) {
	byBackend := make(map[*backendState][]ReplicaLoad)
	for _, load := range loads {
		r := byKey[load.Key]
		if r == nil || now.Sub(load.MeasuredAt) > finishedRetention {
			continue
		}
		if m := q.models[load.Key.Model]; load.MeasuredAt.After(m.averages.reportedAt) {
			m.averages.reportedAt = load.MeasuredAt
			m.averages.observeReport(load)
		}
		byBackend[r.backend] = append(byBackend[r.backend], load)
	}
	if len(byBackend) == 0 {
		return
	}
	granted := make(map[fleet.ReplicaKey][]time.Time, len(q.grants))
	for _, g := range q.grants {
		granted[g.details.Replica] = append(granted[g.details.Replica], g.grantedAt)
	}
	for b, reports := range byBackend {
		b.updateExternal(now, reports, func(k fleet.ReplicaKey, at time.Time) int {
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

// serveAll grants all free slots to waiters, in order of model ID.
func (q *Queue) serveAll(now time.Time) {
	for _, id := range sortedKeys(q.queuedModels) {
		q.serveModel(now, q.models[id])
	}
	q.serveHeld(now)
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// compareTargets orders targets by model, then by adapter.
func compareTargets(a, b fleet.Target) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
}
