package controller

import (
	"slices"
	"strings"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
)

// inheritedIntent is an intent of an earlier term. Its order may still be in
// flight, so its memory and replica stay committed until it is resolved.
type inheritedIntent struct {
	lease.Intent
}

func compareIntents(a, b lease.Intent) int { return strings.Compare(a.OrderID, b.OrderID) }

func (c *Core) inheritedIDs() []string {
	ids := make([]string, 0, len(c.inheritedIntents))
	for id := range c.inheritedIntents {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// resolveInherited drops the intents whose orders can no longer take effect or
// whose effects were reported, and sends the orders of the others again: an
// engine executes an order id at most once, so a late copy has no effect. The
// death of the sender resolves nothing, because bytes that it wrote may still
// arrive.
func (c *Core) resolveInherited(t *tick) {
	for _, id := range c.inheritedIDs() {
		i := c.inheritedIntents[id]
		if c.resolved(i) {
			c.dropInherited(i)
			continue
		}
		c.resendInherited(t, i)
	}
}

func (c *Core) dropInherited(i *inheritedIntent) {
	delete(c.inheritedIntents, i.OrderID)
	c.closeOrder(i.OrderID)
	c.budget.EndAdapter(i.OrderID)
	if b := c.backends[i.Backend]; b == nil || b.replicas[modelVersion{i.Model, i.Version}] == nil {
		c.budget.EndLoad(budgetID(i.replicaKey()))
	}
}

func (i *inheritedIntent) replicaKey() fleet.ReplicaKey {
	return fleet.ReplicaKey{Backend: i.Backend, Boot: i.Boot, Model: i.Model, Version: i.Version}
}

// resolved reports whether the order of an inherited intent can no longer take
// effect, or its effect was reported. A backend server that was not removed must
// first have confirmed the epoch. The order can then no longer take effect if the
// server has restarted, checks fencing tokens or is draining.
func (c *Core) resolved(i *inheritedIntent) bool {
	b := c.backends[i.Backend]
	if b == nil {
		return c.confirmedRemoved(i.Backend)
	}
	if b.boot == "" || !b.epochRaised {
		return false
	}
	if b.boot != i.Boot || b.record.Fencing {
		return true
	}
	return b.reportedDraining || c.effectReported(b, i.Intent) // a draining engine accepts no more loads
}

func (c *Core) effectReported(b *backend, i lease.Intent) bool {
	r := b.replicas[modelVersion{i.Model, i.Version}]
	if r == nil || !r.reported {
		return false
	}
	if i.Adapter == "" {
		return true
	}
	a := r.adapters[i.Adapter]
	return a != nil && a.resident
}

// resolveApplied drops the inherited intents whose orders the engine reports as
// applied.
func (c *Core) resolveApplied(b *backend, r engine.Report) {
	if len(c.inheritedIntents) == 0 {
		return
	}
	for _, id := range r.AppliedOrders {
		if i := c.inheritedIntents[id]; i != nil && i.Backend == b.record.ID {
			c.dropInherited(i)
		}
	}
}

func (c *Core) resendInherited(t *tick, i *inheritedIntent) {
	b := c.backends[i.Backend]
	if c.openOrders[i.OrderID] != nil || b == nil || b.boot != i.Boot || b.draining(c.stopping) || !c.canWriteIntents() {
		return
	}
	kind := engine.OrderLoad
	if i.Adapter != "" {
		kind = engine.OrderLoadAdapter
	}
	if !c.chargeInherited(t, i) {
		return
	}
	// newOrder assigns a new ID, but the order must have the ID of the intent. It is
	// closed and added again under that ID.
	o := c.newOrder(b, kind)
	c.closeOrder(o.order.ID)
	o.order.ID = i.OrderID
	o.order.Model, o.order.Version, o.order.Adapter = i.Model, i.Version, i.Adapter
	o.order.Memory = i.Memory
	o.isInherited, o.needsIntent, o.mayHaveArrived = true, true, true
	c.addOrder(b, o)
}

// chargeInherited counts the load of an inherited intent against the weight
// store's limits and reports whether they allow it.
func (c *Core) chargeInherited(t *tick, i *inheritedIntent) bool {
	if i.Adapter != "" {
		return c.budget.StartAdapter(i.OrderID)
	}
	if c.backends[i.Backend].locality(i.Model, i.Version) != fleet.LocalityRemote {
		return true
	}
	return c.budget.StartLoad(t.now, budgetID(i.replicaKey()))
}

// inheritedOn returns the number of replicas of a model, or of all models if m
// is empty, that inherited intents may still create on a backend server. It
// also returns the memory of these intents in bytes, adapters included.
func (c *Core) inheritedOn(b fleet.BackendID, m fleet.ModelID) (replicas int, memory int64) {
	for _, i := range c.inheritedIntents {
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
