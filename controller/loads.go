package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/placement"
)

// scaleOutWaiting is the number of waiting requests a slot of the ready
// replicas above which another replica is loaded.
const scaleOutWaiting = 2

// need is one replica that should be loaded.
type need struct {
	model    fleet.Model
	rank     fleet.Rank
	deadline time.Time
	waited   bool // somebody waits for it
}

// plan is a load that waits for memory to be freed at a backend server.
type plan struct {
	backend fleet.BackendID
	memory  int64
}

// planLoads orders the loads that are needed, most urgent first.
func (c *Core) planLoads(t *tick) {
	needs := c.needs(t)
	wanted := make(map[fleet.ModelID]bool, len(needs))
	for _, n := range needs {
		wanted[n.model.ID] = true
	}
	for m := range c.plans {
		if !wanted[m] {
			delete(c.plans, m)
		}
	}
	for _, n := range needs {
		if reason := c.tryLoad(t, n); reason != "" && n.waited {
			t.block(fleet.Target{Model: n.model.ID}, reason)
		}
	}
}

func (c *Core) needs(t *tick) []need {
	var needs []need
	for id, d := range t.demand {
		m, ok := c.inForce(id)
		if !ok {
			t.block(fleet.Target{Model: id}, BlockedNoModel)
			continue
		}
		if c.wantsReplica(t, m, d) {
			needs = append(needs, need{model: m, rank: d.rank, deadline: d.deadline, waited: true})
		}
	}
	for id := range c.placed {
		m, ok := c.inForce(id)
		if ok && t.demand[id] == nil && c.needsReplacement(t, m) {
			needs = append(needs, need{model: m, rank: fleet.RankBulk})
		}
	}
	for id := range t.ahead {
		m, ok := c.inForce(id)
		if ok && t.demand[id] == nil && len(c.placed[id]) == 0 {
			needs = append(needs, need{model: m, rank: fleet.RankBulk})
		}
	}
	slices.SortFunc(needs, func(a, b need) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), compareDeadlines(a.deadline, b.deadline),
			cmp.Compare(a.model.ID, b.model.ID))
	})
	slices.SortFunc(t.effects.Blocked, func(a, b Blocked) int { return cmp.Compare(a.Target.Model, b.Target.Model) })
	return needs
}

// serves reports whether a replica takes requests now or soon.
func (c *Core) serves(b *backend, r *replica) bool {
	if r.draining || r.state == fleet.ReplicaUnloading || b.draining(c.stopping) || b.silent(c.lastTick) {
		return false
	}
	o := c.open[r.orderID]
	return o == nil || o.attempts < 2
}

func (b *backend) silent(now time.Time) bool { return now.Sub(b.answeredAt) > silentAfter }

// serving counts the replicas of the version in force that take requests now
// and soon.
func (c *Core) serving(m fleet.Model) (ready, coming int) {
	for id := range c.placed[m.ID] {
		b := c.backends[id]
		r := b.replicas[modelVersion{m.ID, m.Version}]
		if r == nil || !c.serves(b, r) {
			continue
		}
		if r.state == fleet.ReplicaReady {
			ready++
		} else {
			coming++
		}
	}
	return ready, coming
}

// wantsReplica reports whether a model that is waited for needs one more
// replica. While one is coming, none is added, however many ask.
func (c *Core) wantsReplica(t *tick, m fleet.Model, d *modelDemand) bool {
	ready, coming := c.serving(m)
	if coming > 0 {
		return false
	}
	if ready == 0 {
		return true
	}
	crowded := d.waiting > scaleOutWaiting*max(1, m.Slots)*ready
	lasting := !d.oldest.IsZero() && t.now.Sub(d.oldest) >= m.LoadTime/2
	return crowded && lasting && ready < m.MaxReplicas
}

// needsReplacement reports whether a model that nobody waits for right now
// stands only where it cannot stay, or in an old version, and is worth keeping.
func (c *Core) needsReplacement(t *tick, m fleet.Model) bool {
	for id := range c.placed[m.ID] {
		b := c.backends[id]
		if r := b.replicas[modelVersion{m.ID, m.Version}]; r != nil && c.serves(b, r) {
			return false
		}
	}
	for id := range c.placed[m.ID] {
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
func (c *Core) tryLoad(t *tick, n need) BlockReason {
	needsIntent := c.needsIntent(n.model.ID)
	if needsIntent && !c.canWriteIntents() {
		return BlockedStore
	}
	servers, reason := c.servers(t, n)
	if len(servers) == 0 {
		return reason
	}
	if c.waitsForPlan(n.model, servers) {
		return BlockedEviction
	}
	allowed := servers
	if t.remoteBlocked || !c.budget.CanStartLoad(t.now) {
		allowed = slices.DeleteFunc(slices.Clone(servers), func(s placement.Server) bool {
			return s.Near == fleet.NearRemote
		})
	}
	choice, ok := placement.Best(t.now, c.placementNeed(n), allowed)
	if !ok && len(allowed) < len(servers) {
		t.remoteBlocked = true
		return BlockedBudget
	}
	if !ok {
		return BlockedNoPlace
	}
	if len(choice.Evict) > 0 {
		c.evict(t, n.model, choice)
		return BlockedEviction
	}
	c.reserve(t, n, choice, needsIntent)
	return ""
}

func (c *Core) placementNeed(n need) placement.Need {
	return placement.Need{
		Model:       n.model.ID,
		Version:     n.model.Version,
		MemoryBytes: n.model.MemoryBytes,
		LoadTime:    n.model.LoadTime,
		Speculative: !n.waited,
	}
}

// needsIntent reports whether orders of a model must be announced in the lease
// record: any of its candidates may be one that does not check fencing numbers.
func (c *Core) needsIntent(m fleet.ModelID) bool {
	for _, id := range c.rosters.holders(m) {
		b := c.backends[id]
		if b == nil && !c.gone(id) || b != nil && !b.row.Fencing {
			return true
		}
	}
	return false
}

// servers returns the candidates at which the model may be loaded now, or why
// there is none.
func (c *Core) servers(t *tick, n need) ([]placement.Server, BlockReason) {
	reason := BlockedNoPlace
	var servers []placement.Server
	for _, id := range c.rosters.candidates(n.model.ID, n.model.MaxReplicas) {
		b := c.backends[id]
		if b == nil || b.draining(c.stopping) || b.holds(n.model.ID) > 0 || b.avoids(t.now, n.model.ID) {
			continue
		}
		if !b.raised || b.silent(t.now) {
			reason = BlockedUnconfirmed
			continue
		}
		if c.countReplicas(n.model.ID, b) >= n.model.MaxReplicas {
			reason = c.limitReason(t, n)
			continue
		}
		servers = append(servers, c.server(t, b, n.model))
	}
	return servers, reason
}

// limitReason tells known replicas from those that are only counted as the
// worst case. If a replica of an old version takes the place, it is drained.
func (c *Core) limitReason(t *tick, n need) BlockReason {
	known := 0
	var old *replica
	for id := range c.placed[n.model.ID] {
		b := c.backends[id]
		known += b.holds(n.model.ID)
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

func (c *Core) server(t *tick, b *backend, m fleet.Model) placement.Server {
	s := placement.Server{
		Backend:   b.row.ID,
		Near:      b.nearness(m.ID, m.Version),
		FreeBytes: c.free(b, m.ID),
	}
	for _, r := range b.rows {
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

// LeastLoadTime returns how long a load of the model's version in force takes
// from the nearest copy at a backend server where it may be placed; zero if none
// of them has reported.
func (c *Core) LeastLoadTime(id fleet.ModelID) time.Duration {
	m, ok := c.inForce(id)
	if !ok {
		return 0
	}
	least := time.Duration(0)
	for _, candidate := range c.rosters.candidates(m.ID, m.MaxReplicas) {
		b := c.backends[candidate]
		if b == nil || !b.raised || b.draining(c.stopping) {
			continue
		}
		if took := b.loadDuration(m); least == 0 || took < least {
			least = took
		}
	}
	return least
}

// evictable reports whether a replica runs nothing and is not about to.
func (c *Core) evictable(t *tick, r *replica) bool {
	return r.state == fleet.ReplicaReady && r.idle() && !r.draining &&
		t.demand[r.key.Model] == nil && !t.ahead[r.key.Model]
}

// free returns the memory that a model may use at a backend server. Memory that
// is being freed for others is left to them.
func (c *Core) free(b *backend, m fleet.ModelID) int64 {
	planned := int64(0)
	for other, p := range c.plans {
		if other != m && p.backend == b.row.ID {
			planned += p.memory
		}
	}
	return b.capacity() - c.committed(b) - max(0, planned-pendingFree(b))
}

// pendingFree returns the memory that ends with replicas that are leaving.
func pendingFree(b *backend) int64 {
	var sum int64
	for _, r := range b.replicas {
		if r.draining || r.state == fleet.ReplicaUnloading {
			sum += r.committed()
		}
	}
	return sum
}

// waitsForPlan reports whether memory for the model is still being freed at
// the place chosen for it. A plan that no longer works is dropped.
func (c *Core) waitsForPlan(m fleet.Model, servers []placement.Server) bool {
	p, ok := c.plans[m.ID]
	if !ok {
		return false
	}
	for _, s := range servers {
		if s.Backend != p.backend || s.FreeBytes >= m.MemoryBytes {
			continue
		}
		if s.FreeBytes+pendingFree(c.backends[p.backend]) >= m.MemoryBytes {
			return true
		}
	}
	delete(c.plans, m.ID)
	return false
}

func (c *Core) evict(t *tick, m fleet.Model, choice placement.Choice) {
	b := c.backends[choice.Backend]
	for _, victim := range choice.Evict {
		b.replicas[modelVersion{victim.Model, victim.Version}].drain(t.now)
	}
	c.plans[m.ID] = plan{backend: choice.Backend, memory: m.MemoryBytes}
}

// reserve commits memory and a replica before the order leaves.
func (c *Core) reserve(t *tick, n need, choice placement.Choice, needsIntent bool) {
	b := c.backends[choice.Backend]
	o := c.newOrder(b, engine.OrderLoad)
	o.order.Model, o.order.Version = n.model.ID, n.model.Version
	o.order.Memory = n.model.MemoryBytes
	o.order.LoadClass = n.rank
	o.needsIntent = needsIntent
	o.replica = &replica{
		key:      fleet.ReplicaKey{Backend: b.row.ID, Boot: b.boot, Model: n.model.ID, Version: n.model.Version},
		state:    fleet.ReplicaReserved,
		memory:   n.model.MemoryBytes,
		slots:    max(1, n.model.Slots),
		orderID:  o.order.ID,
		readyAt:  t.now.Add(placement.LoadDuration(n.model.LoadTime, choice.Near)),
		lastUsed: t.now,
		adapters: map[fleet.AdapterID]*adapter{},
	}
	c.addReplica(b, o.replica)
	delete(c.plans, n.model.ID)
	if choice.Near == fleet.NearRemote {
		c.budget.StartLoad(t.now, budgetID(o.replica.key))
	}
}
