package controller

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// countReplicas returns the largest number of replicas of a model that may
// exist, to decide whether another may be loaded at target. A backend server
// that may hold a replica counts as at least one unless its current boot has
// confirmed the epoch in response to an order sent after target's epoch was
// raised. See "Two writers" in docs/design/authority.md.
func (c *Core) countReplicas(m fleet.ModelID, target *backend) int {
	total := 0
	possibleServers := c.possibleReplicaServers(m)
	for _, id := range possibleServers {
		total += c.countOnServer(id, m, target)
	}
	for id := range c.placedOn[m] {
		if !possibleServers.contains(id) {
			total += c.countOnServer(id, m, target)
		}
	}
	for _, i := range c.inheritedIntents {
		_, placedOn := c.placedOn[m][i.Backend]
		if i.Model == m && i.Adapter == "" && !placedOn && !possibleServers.contains(i.Backend) {
			total++
		}
	}
	return total
}

// possibleReplicaServers returns the backend servers on which a replica of the
// model may have been placed. If this term started without a write to the lease
// record, its server sets may be some seconds old. The previous term may then
// have used any engine of the VM list that is in none of them, so these are
// included.
func (c *Core) possibleReplicaServers(m fleet.ModelID) backendSet {
	possibleServers := c.serverSets.possibleServers(m)
	if c.auth.SuccessorPosition == 0 {
		return possibleServers
	}
	all := slices.Clone(possibleServers)
	for _, b := range c.sorted {
		if b.isEngine() && !all.contains(b.record.ID) && !c.serverSets.lists(b.record.ID) {
			all = append(all, b.record.ID)
		}
	}
	return all
}

func (c *Core) countOnServer(id fleet.BackendID, m fleet.ModelID, target *backend) int {
	b := c.backends[id]
	if b == nil {
		if c.confirmedRemoved(id) {
			return 0
		}
		return 1
	}
	pending, _ := c.inheritedOn(id, m)
	known := b.replicaCount(m) + pending
	if b == target || b.confirmedSince(target.epochRaisedAt) {
		return known
	}
	return max(1, known)
}

// confirmedSince reports whether the current boot has confirmed the epoch in
// response to an order sent at or after since.
func (b *backend) confirmedSince(since time.Time) bool {
	return b.epochRaised && !b.confirmedAt.Before(since)
}

// confirmedRemoved reports whether a backend server of a server set has been
// removed from the platform, rather than being missing from a VM list that is
// older than the set.
func (c *Core) confirmedRemoved(id fleet.BackendID) bool {
	return c.backends[id] == nil && !c.vmListTime.IsZero() && !c.vmListTime.Before(c.serverSets.newestListTime())
}

// committed returns the memory committed at a backend server, in bytes.
func (c *Core) committed(b *backend) int64 {
	var sum int64
	for _, r := range b.replicas {
		sum += r.committed()
	}
	if len(c.inheritedIntents) > 0 {
		_, pending := c.inheritedOn(b.record.ID, "")
		sum += pending
	}
	return sum
}

// checkLoadInvariants checks the invariants that a load order can violate. It
// is called when the order is sent for the first time.
func (c *Core) checkLoadInvariants(b *backend, o *openOrder) {
	invariant.Check(!b.draining(c.stopping), invariant.NoWorkToDraining,
		"order %s loads %s at departing backend server %s", o.order.ID, o.order.Model, o.backend)
	invariant.Check(o.order.Epoch == c.epoch && c.higherEpoch <= c.epoch, invariant.EpochMonotonic,
		"order %s has epoch %d, current term has %d, highest epoch seen is %d", o.order.ID, o.order.Epoch, c.epoch, c.higherEpoch)
	committed := c.committed(b)
	invariant.Check(committed <= b.capacity(), invariant.MemoryCommitted,
		"order %s: %d bytes committed at %s of %d", o.order.ID, committed, o.backend, b.capacity())
	if o.order.Kind != engine.OrderLoad {
		return
	}
	limit := c.models[o.order.Model].MaxReplicas
	count := c.scanReplicas(o.order.Model, b)
	invariant.Check(count <= limit, invariant.ReplicaLimit,
		"order %s: %d replicas of %s counted, limit %d", o.order.ID, count, o.order.Model, limit)
	loads := c.unreportedLoads(o.order.Model, o.order.Version)
	invariant.Check(loads <= 1, invariant.SingleDispatcher,
		"order %s: %d loads of %s in flight", o.order.ID, loads, o.order.Model)
}

// scanReplicas returns the same count as countReplicas, computed from all
// tables and without the placedOn index.
func (c *Core) scanReplicas(m fleet.ModelID, target *backend) int {
	possibleServers := c.possibleReplicaServers(m)
	total := 0
	for id, b := range c.backends {
		pending, _ := c.inheritedOn(id, m)
		known := pending + b.replicaCount(m)
		if known == 0 && b != target && possibleServers.contains(id) && !b.confirmedSince(target.epochRaisedAt) {
			known = 1
		}
		total += known
	}
	for _, id := range possibleServers {
		if c.backends[id] == nil && !c.confirmedRemoved(id) {
			total++
		}
	}
	for _, i := range c.inheritedIntents {
		if c.backends[i.Backend] == nil && i.Model == m && i.Adapter == "" && !possibleServers.contains(i.Backend) {
			total++
		}
	}
	return total
}

// unreportedLoads returns the number of loads of a version that no engine has
// reported yet, on backend servers that respond and are not departing.
func (c *Core) unreportedLoads(m fleet.ModelID, v fleet.Version) int {
	n := 0
	for id := range c.placedOn[m] {
		b := c.backends[id]
		r := b.replicas[modelVersion{m, v}]
		if r != nil && c.isServing(b, r) && r.state == fleet.ReplicaReserved {
			n++
		}
	}
	return n
}
