package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/placement"
)

// ForceLoad creates a load order without any check.
func (c *Core) ForceLoad(now time.Time, id fleet.BackendID, m fleet.Model, near fleet.Locality) {
	t := c.newTick(now, nil, nil)
	c.reserveReplica(t, loadNeed{model: m}, placement.Choice{Backend: id, WeightLocality: near}, false)
}

// ForceSend sends all open load orders without checking whether they may still
// be sent.
func (c *Core) ForceSend(now time.Time) {
	t := c.newTick(now, nil, nil)
	for _, o := range c.openOrders {
		if !o.isLoad() {
			continue
		}
		c.checkLoadInvariants(c.backends[o.backend], o)
		c.sendIfDue(t, o)
	}
}

// ForceUnload unloads a replica even if requests run on it.
func (c *Core) ForceUnload(now time.Time, id fleet.BackendID, m fleet.ModelID) {
	b := c.backends[id]
	for _, r := range b.sorted {
		if r.key.Model == m {
			c.unload(c.newTick(now, nil, nil), b, r)
		}
	}
}

// ForgeEpoch adds delta to the epoch of the open load orders.
func (c *Core) ForgeEpoch(delta fleet.Epoch) {
	for _, o := range c.openOrders {
		if o.order.Kind == engine.OrderLoad {
			o.order.Epoch += delta
		}
	}
}

// StateSize returns the number of entries in all tables that grow with use.
func (c *Core) StateSize() int {
	return len(c.openOrders) + len(c.inheritedIntents) + len(c.evictionPlans) + len(c.lastRequested) + len(c.placedOn) +
		len(c.serverSets.newestByModel) + len(c.serverSets.allByModel)
}
