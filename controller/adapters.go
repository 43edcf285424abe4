package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// minAdapterIdle is the time without a request after which an adapter may be
// unloaded to make room for another.
const minAdapterIdle = 30 * time.Second

// loadAdapters creates orders for all adapter loads that are needed, most
// urgent first, and unloads adapters that are no longer in force.
func (c *Core) loadAdapters(t *tick) {
	c.unloadObsoleteAdapters(t)
	for _, d := range t.sortedDemands() {
		if d.Target.Adapter == "" {
			continue
		}
		rank, _ := mostUrgent(d)
		if reason := c.tryLoadAdapter(t, d.Target, rank); reason != "" {
			t.block(d.Target, reason)
		}
	}
	for _, target := range t.preloadTargets {
		if target.Adapter != "" {
			c.tryLoadAdapter(t, target, fleet.RankBulk)
		}
	}
}

// tryLoadAdapter loads an adapter on a ready replica of its model unless one
// already has it, or returns why it cannot.
func (c *Core) tryLoadAdapter(t *tick, target fleet.Target, rank fleet.Rank) BlockReason {
	desired, ok := c.adapters[target]
	m, modelOK := c.inForce(target.Model)
	if !ok || desired.Withdrawn || !modelOK {
		return BlockedNoModel
	}
	hosts := c.adapterHosts(m)
	for _, r := range hosts {
		if a := r.adapters[target.Adapter]; a != nil && !a.unloading {
			return ""
		}
	}
	if len(hosts) == 0 {
		return "" // the model's own block reason is reported instead
	}
	for _, r := range hosts {
		if r.adapters[target.Adapter] != nil {
			continue // an old version is being unloaded
		}
		b := c.backends[r.key.Backend]
		if reason := c.adapterBlocked(b); reason != "" {
			return reason
		}
		if c.freeMemory(b, m.ID) < desired.MemoryBytes {
			c.evictAdapters(t, b, desired.MemoryBytes-c.freeMemory(b, m.ID))
			continue
		}
		return c.reserveAdapter(t, b, r, desired, rank)
	}
	return BlockedNoRoom
}

func (c *Core) adapterBlocked(b *backend) BlockReason {
	if !b.record.Fencing && !c.canWriteIntents() {
		return BlockedObjectAPI
	}
	return ""
}

// adapterHosts returns the ready replicas of the version in force, least busy
// first.
func (c *Core) adapterHosts(m fleet.Model) []*replica {
	var hosts []*replica
	for id := range c.placedOn[m.ID] {
		b := c.backends[id]
		r := b.replicas[modelVersion{m.ID, m.Version}]
		if r != nil && r.state == fleet.ReplicaReady && b.epochRaised && c.isServing(b, r) {
			hosts = append(hosts, r)
		}
	}
	slices.SortFunc(hosts, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.running+a.waiting, b.running+b.waiting), compareReplicas(a, b))
	})
	return hosts
}

func (c *Core) reserveAdapter(t *tick, b *backend, r *replica, desired fleet.Adapter, rank fleet.Rank) BlockReason {
	o := c.newOrder(b, engine.OrderLoadAdapter)
	if !c.budget.StartAdapter(o.order.ID) {
		c.closeOrder(o.order.ID)
		return BlockedLoadBudget
	}
	o.order.Model, o.order.Version = desired.Model, desired.Version
	o.order.Adapter = desired.ID
	o.order.Memory = desired.MemoryBytes
	o.order.LoadRank = rank
	o.needsIntent = !b.record.Fencing
	o.replica = r
	o.adapter = &adapter{memory: desired.MemoryBytes, version: desired.Version, orderID: o.order.ID, lastUsed: t.now}
	r.adapters[desired.ID] = o.adapter
	return ""
}

// evictAdapters unloads idle adapters of one backend server, least recently
// used first, until the missing bytes are freed.
func (c *Core) evictAdapters(t *tick, b *backend, missing int64) {
	type victim struct {
		r    *replica
		id   fleet.AdapterID
		used time.Time
	}
	var victims []victim
	for _, r := range b.sorted {
		for id, a := range r.adapters {
			if a.unloading {
				missing -= a.memory
				continue
			}
			used := c.adapterLastUsed(fleet.Target{Model: r.key.Model, Adapter: id}, a)
			if a.resident && t.now.Sub(used) >= minAdapterIdle {
				victims = append(victims, victim{r, id, used})
			}
		}
	}
	slices.SortFunc(victims, func(x, y victim) int {
		return cmp.Or(x.used.Compare(y.used), cmp.Compare(x.id, y.id))
	})
	for _, v := range victims {
		if missing <= 0 {
			return
		}
		missing -= v.r.adapters[v.id].memory
		c.unloadAdapter(t, b, v.r, v.id)
	}
}

// unloadObsoleteAdapters unloads adapters that were withdrawn or replaced by
// another version, once their replica is idle.
func (c *Core) unloadObsoleteAdapters(t *tick) {
	if c.adaptersCheckedVersion == c.releaseVersion {
		return
	}
	done := true
	for _, b := range c.sorted {
		for _, r := range b.sorted {
			for adapterID, a := range r.adapters {
				done = c.unloadIfObsolete(t, b, r, adapterID, a) && done
			}
		}
	}
	if done && c.allEpochsRaised() {
		c.adaptersCheckedVersion = c.releaseVersion
	}
}

// unloadIfObsolete unloads an adapter that is no longer in force, if its
// replica is idle. It reports whether nothing is left to do for the adapter.
func (c *Core) unloadIfObsolete(t *tick, b *backend, r *replica, id fleet.AdapterID, a *adapter) bool {
	known, ok := c.adapters[fleet.Target{Model: r.key.Model, Adapter: id}]
	current := ok && !known.Withdrawn && (a.version == "" || a.version == known.Version)
	if current || a.unloading {
		return true
	}
	if a.resident && r.idle() && b.epochRaised {
		c.unloadAdapter(t, b, r, id)
		return true
	}
	return false
}

func (c *Core) unloadAdapter(t *tick, b *backend, r *replica, id fleet.AdapterID) {
	a := r.adapters[id]
	o := c.newOrder(b, engine.OrderUnloadAdapter)
	o.order.Model, o.order.Version, o.order.Adapter = r.key.Model, r.key.Version, id
	o.replica, o.adapter = r, a
	a.unloading = true
}
