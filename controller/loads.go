package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/placement"
)

// maxWaitingPerSlot is the number of waiting requests per slot of the ready
// replicas above which another replica is loaded.
const maxWaitingPerSlot = 2

// loadNeed is a replica that should be loaded.
type loadNeed struct {
	model      fleet.Model
	rank       fleet.Rank
	deadline   time.Time
	hasWaiters bool // requests wait for it
}

// evictionPlan is a load that waits for memory to be freed on a backend server.
type evictionPlan struct {
	backend fleet.BackendID
	memory  int64 // bytes
}

// planLoads creates orders for the loads that are needed, most urgent first.
func (c *Core) planLoads(t *tick) {
	needs := c.needs(t)
	needed := make(map[fleet.ModelID]bool, len(needs))
	for _, n := range needs {
		needed[n.model.ID] = true
	}
	for m := range c.evictionPlans {
		if !needed[m] {
			delete(c.evictionPlans, m)
		}
	}
	for _, n := range needs {
		if reason := c.tryLoad(t, n); reason != "" && n.hasWaiters {
			t.block(fleet.Target{Model: n.model.ID}, reason)
		}
	}
}

func (c *Core) needs(t *tick) []loadNeed {
	var needs []loadNeed
	for id, d := range t.modelDemands {
		m, ok := c.inForce(id)
		if !ok {
			t.block(fleet.Target{Model: id}, BlockedNoModel)
			continue
		}
		if c.needsReplica(t, m, d) {
			needs = append(needs, loadNeed{model: m, rank: d.rank, deadline: d.deadline, hasWaiters: true})
		}
	}
	for id := range c.placedOn {
		m, ok := c.inForce(id)
		if ok && t.modelDemands[id] == nil && c.needsReplacement(t, m) {
			needs = append(needs, loadNeed{model: m, rank: fleet.RankBulk})
		}
	}
	for id := range t.preload {
		m, ok := c.inForce(id)
		if ok && t.modelDemands[id] == nil && len(c.placedOn[id]) == 0 {
			needs = append(needs, loadNeed{model: m, rank: fleet.RankBulk})
		}
	}
	slices.SortFunc(needs, func(a, b loadNeed) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), compareDeadlines(a.deadline, b.deadline),
			cmp.Compare(a.model.ID, b.model.ID))
	})
	// Map iteration above added the blocked models in random order.
	slices.SortFunc(t.effects.Blocked, func(a, b Blocked) int { return cmp.Compare(a.Target.Model, b.Target.Model) })
	return needs
}

// isServing reports whether a replica accepts requests now or will soon. It is
// false if its load order was sent more than once and is not resolved.
func (c *Core) isServing(b *backend, r *replica) bool {
	if r.draining || r.state == fleet.ReplicaUnloading || b.draining(c.stopping) || b.unresponsive(c.lastTick) {
		return false
	}
	o := c.openOrders[r.orderID]
	return o == nil || o.attempts < 2
}

func (b *backend) unresponsive(now time.Time) bool { return now.Sub(b.lastContact) > unresponsiveAfter }

// countServing counts the replicas of the version in force that accept requests
// now (ready) or will soon (starting).
func (c *Core) countServing(m fleet.Model) (ready, starting int) {
	for id := range c.placedOn[m.ID] {
		b := c.backends[id]
		r := b.replicas[modelVersion{m.ID, m.Version}]
		if r == nil || !c.isServing(b, r) {
			continue
		}
		if r.state == fleet.ReplicaReady {
			ready++
		} else {
			starting++
		}
	}
	return ready, starting
}

// needsReplica reports whether a model in demand needs one more replica: it has
// no ready one, or it is below its replica limit, more than maxWaitingPerSlot
// requests wait per slot of the ready ones, and the oldest has waited for at
// least half the load time. While one is being loaded, no other is added, however
// many requests wait.
func (c *Core) needsReplica(t *tick, m fleet.Model, d *modelDemand) bool {
	ready, starting := c.countServing(m)
	if starting > 0 {
		return false
	}
	if ready == 0 {
		return true
	}
	overloaded := d.waiting > maxWaitingPerSlot*max(1, m.Slots)*ready
	sustained := !d.oldestArrival.IsZero() && t.now.Sub(d.oldestArrival) >= m.LoadTime/2
	return overloaded && sustained && ready < m.MaxReplicas
}

// needsReplacement reports whether a model without demand is worth keeping, but
// has replicas only on backend servers where they cannot stay or only of an old
// version.
func (c *Core) needsReplacement(t *tick, m fleet.Model) bool {
	for id := range c.placedOn[m.ID] {
		b := c.backends[id]
		if r := b.replicas[modelVersion{m.ID, m.Version}]; r != nil && c.isServing(b, r) {
			return false
		}
	}
	for id := range c.placedOn[m.ID] {
		b := c.backends[id]
		for key, r := range b.replicas {
			if key.model != m.ID || r.draining && key.version == m.Version {
				continue
			}
			if !r.idle() || c.keepUntil(t, r).After(t.now) {
				return true
			}
		}
	}
	return false
}

// tryLoad reserves a replica or returns why it cannot.
func (c *Core) tryLoad(t *tick, n loadNeed) BlockReason {
	needsIntent := c.needsIntent(n.model.ID)
	if needsIntent && !c.canWriteIntents() {
		return BlockedObjectAPI
	}
	loadCandidates, reason := c.loadCandidates(t, n)
	if len(loadCandidates) == 0 {
		return reason
	}
	if c.evictionPending(n.model, loadCandidates) {
		return BlockedEviction
	}
	allowed := loadCandidates
	if t.storeLoadsBlocked || !c.budget.CanStartLoad(t.now) {
		allowed = slices.DeleteFunc(slices.Clone(loadCandidates), func(s placement.Server) bool {
			return s.WeightLocality == fleet.LocalityRemote
		})
	}
	choice, ok := placement.Best(t.now, c.placementNeed(n), allowed)
	if !ok && len(allowed) < len(loadCandidates) {
		t.storeLoadsBlocked = true
		return BlockedLoadBudget
	}
	if !ok {
		return BlockedNoRoom
	}
	if len(choice.Evict) > 0 {
		c.evict(t, n.model, choice)
		return BlockedEviction
	}
	c.reserveReplica(t, n, choice, needsIntent)
	return ""
}

func (c *Core) placementNeed(n loadNeed) placement.Need {
	return placement.Need{
		Model:       n.model.ID,
		Version:     n.model.Version,
		MemoryBytes: n.model.MemoryBytes,
		LoadTime:    n.model.LoadTime,
		Speculative: !n.hasWaiters,
	}
}

// needsIntent reports whether an intent must be stored in the lease record before
// a load order of the model is sent, because a backend server that may hold the
// model may not check fencing tokens.
func (c *Core) needsIntent(m fleet.ModelID) bool {
	for _, id := range c.serverSets.possibleServers(m) {
		b := c.backends[id]
		if b == nil && !c.confirmedRemoved(id) || b != nil && !b.record.Fencing {
			return true
		}
	}
	return false
}

// loadCandidates returns the candidates on which the model can be loaded now,
// or the reason why there is none.
func (c *Core) loadCandidates(t *tick, n loadNeed) ([]placement.Server, BlockReason) {
	reason := BlockedNoRoom
	var loadCandidates []placement.Server
	for _, id := range c.serverSets.candidates(n.model.ID, n.model.MaxReplicas) {
		b := c.backends[id]
		if b == nil || b.draining(c.stopping) || b.replicaCount(n.model.ID) > 0 || b.inLoadBackoff(t.now, n.model.ID) {
			continue
		}
		if !b.epochRaised || b.unresponsive(t.now) {
			reason = BlockedUnconfirmed
			continue
		}
		if c.countReplicas(n.model.ID, b) >= n.model.MaxReplicas {
			reason = c.handleReplicaLimit(t, n)
			continue
		}
		loadCandidates = append(loadCandidates, c.placementServer(t, b, n.model))
	}
	return loadCandidates, reason
}

// handleReplicaLimit returns the block reason for a model at its replica limit,
// which depends on whether the limit is reached by known replicas or only by
// replicas that may exist. If known replicas reach it and one has an old
// version, that one is drained.
func (c *Core) handleReplicaLimit(t *tick, n loadNeed) BlockReason {
	known := 0
	var old *replica
	for id := range c.placedOn[n.model.ID] {
		b := c.backends[id]
		known += b.replicaCount(n.model.ID)
		for key, r := range b.replicas {
			if key.model == n.model.ID && key.version != n.model.Version && (old == nil || compareReplicas(r, old) < 0) {
				old = r
			}
		}
	}
	if known < n.model.MaxReplicas {
		return BlockedUnconfirmed
	}
	if old != nil {
		old.drain(t.now)
	}
	return BlockedReplicaLimit
}

func (c *Core) placementServer(t *tick, b *backend, m fleet.Model) placement.Server {
	s := placement.Server{
		Backend:        b.record.ID,
		WeightLocality: b.locality(m.ID, m.Version),
		FreeBytes:      c.freeMemory(b, m.ID),
	}
	for _, r := range b.sorted {
		if r.state == fleet.ReplicaReserved || r.state == fleet.ReplicaLoading {
			s.Loads++
		}
		resident := c.models[r.key.Model]
		s.Residents = append(s.Residents, placement.Resident{
			Model:       r.key.Model,
			Version:     r.key.Version,
			MemoryBytes: r.committed(),
			Evictable:   c.evictable(t, r),
			KeepUntil:   c.keepUntil(t, r),
			ReloadTime:  b.loadDuration(resident),
		})
	}
	return s
}

// MinLoadTime returns how long a load of the model's version in force takes
// from the nearest copy of its weights, over the backend servers on which it
// may be placed. It returns zero if none of them has reported.
func (c *Core) MinLoadTime(id fleet.ModelID) time.Duration {
	m, ok := c.inForce(id)
	if !ok {
		return 0
	}
	least := time.Duration(0)
	for _, candidate := range c.serverSets.candidates(m.ID, m.MaxReplicas) {
		b := c.backends[candidate]
		if b == nil || !b.epochRaised || b.draining(c.stopping) {
			continue
		}
		if duration := b.loadDuration(m); least == 0 || duration < least {
			least = duration
		}
	}
	return least
}

// evictable reports whether a replica is ready, idle and not draining, and its
// model is neither in demand nor to be loaded before it is requested.
func (c *Core) evictable(t *tick, r *replica) bool {
	return r.state == fleet.ReplicaReady && r.idle() && !r.draining &&
		t.modelDemands[r.key.Model] == nil && !t.preload[r.key.Model]
}

// freeMemory returns the memory in bytes that a model may use on a backend
// server. Memory that is being freed for other models is not counted.
func (c *Core) freeMemory(b *backend, m fleet.ModelID) int64 {
	planned := int64(0)
	for other, p := range c.evictionPlans {
		if other != m && p.backend == b.record.ID {
			planned += p.memory
		}
	}
	return b.capacity() - c.committed(b) - max(0, planned-pendingFreeMemory(b))
}

// pendingFreeMemory returns the memory in bytes of replicas that are draining
// or unloading.
func pendingFreeMemory(b *backend) int64 {
	var sum int64
	for _, r := range b.replicas {
		if r.draining || r.state == fleet.ReplicaUnloading {
			sum += r.committed()
		}
	}
	return sum
}

// evictionPending reports whether memory for the model is still being freed on
// the backend server chosen for it. A plan that can no longer succeed is
// dropped.
func (c *Core) evictionPending(m fleet.Model, servers []placement.Server) bool {
	p, ok := c.evictionPlans[m.ID]
	if !ok {
		return false
	}
	for _, s := range servers {
		if s.Backend != p.backend || s.FreeBytes >= m.MemoryBytes {
			continue
		}
		if s.FreeBytes+pendingFreeMemory(c.backends[p.backend]) >= m.MemoryBytes {
			return true
		}
	}
	delete(c.evictionPlans, m.ID)
	return false
}

func (c *Core) evict(t *tick, m fleet.Model, choice placement.Choice) {
	b := c.backends[choice.Backend]
	for _, victim := range choice.Evict {
		b.replicas[modelVersion{victim.Model, victim.Version}].drain(t.now)
	}
	c.evictionPlans[m.ID] = evictionPlan{backend: choice.Backend, memory: m.MemoryBytes}
}

// reserveReplica creates a load order and commits the replica and its memory
// before the order is sent.
func (c *Core) reserveReplica(t *tick, n loadNeed, choice placement.Choice, needsIntent bool) {
	b := c.backends[choice.Backend]
	o := c.newOrder(b, engine.OrderLoad)
	o.order.Model, o.order.Version = n.model.ID, n.model.Version
	o.order.Memory = n.model.MemoryBytes
	o.order.LoadRank = n.rank
	o.needsIntent = needsIntent
	o.replica = &replica{
		key:      fleet.ReplicaKey{Backend: b.record.ID, Boot: b.boot, Model: n.model.ID, Version: n.model.Version},
		state:    fleet.ReplicaReserved,
		memory:   n.model.MemoryBytes,
		slots:    max(1, n.model.Slots),
		orderID:  o.order.ID,
		readyAt:  t.now.Add(placement.LoadDuration(n.model.LoadTime, choice.WeightLocality)),
		lastUsed: t.now,
		adapters: map[fleet.AdapterID]*adapter{},
	}
	c.addReplica(b, o.replica)
	delete(c.evictionPlans, n.model.ID)
	if choice.WeightLocality == fleet.LocalityRemote {
		c.budget.StartLoad(t.now, budgetID(o.replica.key))
	}
}
