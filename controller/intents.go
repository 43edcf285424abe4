package controller

import (
	"slices"
	"strings"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
)

// inheritedIntent is an intent of an earlier office. Its order may still be on
// its way: memory and replica stay committed until it is settled.
type inheritedIntent struct {
	lease.Intent
}

func compareIntents(a, b lease.Intent) int { return strings.Compare(a.OrderID, b.OrderID) }

func (c *Core) inheritedIDs() []string {
	ids := make([]string, 0, len(c.inherited))
	for id := range c.inherited {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// settleInherited drops the intents that can no longer take effect or have
// become visible, and sends the others again: an engine carries out an order id
// at most once, so that the late one has no effect. That the sender is dead
// settles nothing, as bytes that it wrote may outlive it.
func (c *Core) settleInherited(t *tick) {
	for _, id := range c.inheritedIDs() {
		i := c.inherited[id]
		if c.settled(i) {
			c.dropInherited(i)
			continue
		}
		c.resendInherited(t, i)
	}
}

func (c *Core) dropInherited(i *inheritedIntent) {
	delete(c.inherited, i.OrderID)
	c.closeOrder(i.OrderID)
	c.budget.EndAdapter(i.OrderID)
	if b := c.backends[i.Backend]; b == nil || b.replicas[modelVersion{i.Model, i.Version}] == nil {
		c.budget.EndLoad(budgetID(i.replicaKey()))
	}
}

func (i *inheritedIntent) replicaKey() fleet.ReplicaKey {
	return fleet.ReplicaKey{Backend: i.Backend, Boot: i.Boot, Model: i.Model, Version: i.Version}
}

func (c *Core) settled(i *inheritedIntent) bool {
	b := c.backends[i.Backend]
	if b == nil {
		return c.gone(i.Backend)
	}
	if b.boot == "" || !b.raised {
		return false
	}
	if b.boot != i.Boot || b.row.Fencing {
		return true
	}
	return b.leaving || c.shows(b, i.Intent) // an engine that drains takes no load any more
}

func (c *Core) shows(b *backend, i lease.Intent) bool {
	r := b.replicas[modelVersion{i.Model, i.Version}]
	if r == nil || !r.seen {
		return false
	}
	if i.Adapter == "" {
		return true
	}
	a := r.adapters[i.Adapter]
	return a != nil && a.resident
}

// settleShown drops the inherited intents whose orders the engine says it has
// carried out.
func (c *Core) settleShown(b *backend, r engine.Report) {
	if len(c.inherited) == 0 {
		return
	}
	for _, id := range r.AppliedOrder {
		if i := c.inherited[id]; i != nil && i.Backend == b.row.ID {
			c.dropInherited(i)
		}
	}
}

func (c *Core) resendInherited(t *tick, i *inheritedIntent) {
	b := c.backends[i.Backend]
	if c.open[i.OrderID] != nil || b == nil || b.boot != i.Boot || b.draining(c.stopping) || !c.canWriteIntents() {
		return
	}
	kind := engine.OrderLoad
	if i.Adapter != "" {
		kind = engine.OrderLoadAdapter
	}
	if !c.startInherited(t, i) {
		return
	}
	o := c.newOrder(b, kind)
	c.closeOrder(o.order.ID)
	o.order.ID = i.OrderID
	o.order.Model, o.order.Version, o.order.Adapter = i.Model, i.Version, i.Adapter
	o.order.Memory = i.Memory
	o.inherited, o.needsIntent, o.uncertain = true, true, true
	c.enterOrder(b, o)
}

// startInherited counts the load against the weight store's limits.
func (c *Core) startInherited(t *tick, i *inheritedIntent) bool {
	if i.Adapter != "" {
		return c.budget.StartAdapter(i.OrderID)
	}
	if c.backends[i.Backend].nearness(i.Model, i.Version) != fleet.NearRemote {
		return true
	}
	return c.budget.StartLoad(t.now, budgetID(i.replicaKey()))
}

// inheritedAt returns the replicas of a model, or of all models if it is
// empty, that inherited intents may still bring about at a backend server, and
// their memory in bytes.
func (c *Core) inheritedAt(b fleet.BackendID, m fleet.ModelID) (replicas int, memory int64) {
	for _, i := range c.inherited {
		if i.Backend != b || (m != "" && i.Model != m) {
			continue
		}
		memory += i.Memory
		if i.Adapter == "" {
			replicas++
		}
	}
	return replicas, memory
}
