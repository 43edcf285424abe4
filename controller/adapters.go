package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// adapterIdle is the time without a request after which an adapter may be
// unloaded to make room for another.
const adapterIdle = 30 * time.Second

// loadAdapters orders the adapter loads that are needed, in bulk, most urgent
// first, and unloads adapters no longer in force.
func (c *Core) loadAdapters(t *tick) {
	c.retireAdapters(t)
	for _, d := range t.sortedDemands() {
		if d.Target.Adapter == "" {
			continue
		}
		rank, _ := mostUrgent(d)
		if reason := c.tryAdapter(t, d.Target, rank); reason != "" {
			t.block(d.Target, reason)
		}
	}
	for _, target := range t.aheadTargets {
		if target.Adapter != "" {
			c.tryAdapter(t, target, fleet.RankBulk)
		}
	}
}

// tryAdapter loads an adapter at a ready replica of its model, if it stands at
// none, or returns why it cannot.
func (c *Core) tryAdapter(t *tick, target fleet.Target, rank fleet.Rank) BlockReason {
	want, ok := c.adapters[target]
	m, modelOK := c.inForce(target.Model)
	if !ok || want.Withdrawn || !modelOK {
		return BlockedNoModel
	}
	hosts := c.adapterHosts(m)
	for _, r := range hosts {
		if a := r.adapters[target.Adapter]; a != nil && !a.leaving {
			return ""
		}
	}
	if len(hosts) == 0 {
		return "" // the model's own load is reported
	}
	for _, r := range hosts {
		if r.adapters[target.Adapter] != nil {
			continue // an old version is leaving
		}
		b := c.backends[r.key.Backend]
		if reason := c.adapterBlocked(b); reason != "" {
			return reason
		}
		if c.free(b, m.ID) < want.MemoryBytes {
			c.evictAdapters(t, b, want.MemoryBytes-c.free(b, m.ID))
			continue
		}
		return c.reserveAdapter(t, b, r, want, rank)
	}
	return BlockedNoPlace
}

func (c *Core) adapterBlocked(b *backend) BlockReason {
	if !b.row.Fencing && !c.canWriteIntents() {
		return BlockedStore
	}
	return ""
}

// adapterHosts returns the ready replicas of the version in force, least busy
// first.
func (c *Core) adapterHosts(m fleet.Model) []*replica {
	var hosts []*replica
	for id := range c.placed[m.ID] {
		b := c.backends[id]
		r := b.replicas[modelVersion{m.ID, m.Version}]
		if r != nil && r.state == fleet.ReplicaReady && b.raised && c.serves(b, r) {
			hosts = append(hosts, r)
		}
	}
	slices.SortFunc(hosts, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.running+a.waiting, b.running+b.waiting), compareReplicas(a, b))
	})
	return hosts
}

func (c *Core) reserveAdapter(t *tick, b *backend, r *replica, want fleet.Adapter, rank fleet.Rank) BlockReason {
	o := c.newOrder(b, engine.OrderLoadAdapter)
	if !c.budget.StartAdapter(o.order.ID) {
		c.closeOrder(o.order.ID)
		return BlockedBudget
	}
	o.order.Model, o.order.Version = want.Model, want.Version
	o.order.Adapter = want.ID
	o.order.Memory = want.MemoryBytes
	o.order.LoadClass = rank
	o.needsIntent = !b.row.Fencing
	o.replica = r
	o.adapter = &adapter{memory: want.MemoryBytes, version: want.Version, orderID: o.order.ID, lastUsed: t.now}
	r.adapters[want.ID] = o.adapter
	return ""
}

// evictAdapters unloads the adapters of one backend server that have not been
// asked for the longest, until enough bytes come free.
func (c *Core) evictAdapters(t *tick, b *backend, missing int64) {
	type victim struct {
		r    *replica
		id   fleet.AdapterID
		used time.Time
	}
	var victims []victim
	for _, r := range b.rows {
		for id, a := range r.adapters {
			if a.leaving {
				missing -= a.memory
				continue
			}
			used := c.adapterUsed(fleet.Target{Model: r.key.Model, Adapter: id}, a)
			if a.resident && t.now.Sub(used) >= adapterIdle {
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

// retireAdapters unloads adapters that were withdrawn or replaced by another
// version, once their replica runs nothing.
func (c *Core) retireAdapters(t *tick) {
	if c.adaptersChecked == c.version {
		return
	}
	done := true
	for _, b := range c.rows {
		for _, r := range b.rows {
			for adapterID, a := range r.adapters {
				done = c.retireAdapter(t, b, r, adapterID, a) && done
			}
		}
	}
	if done && c.allRaised() {
		c.adaptersChecked = c.version
	}
}

// retireAdapter reports whether nothing is left to do for the adapter.
func (c *Core) retireAdapter(t *tick, b *backend, r *replica, id fleet.AdapterID, a *adapter) bool {
	known, ok := c.adapters[fleet.Target{Model: r.key.Model, Adapter: id}]
	current := ok && !known.Withdrawn && (a.version == "" || a.version == known.Version)
	if current || a.leaving {
		return true
	}
	if a.resident && r.idle() && b.raised {
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
	a.leaving = true
}
