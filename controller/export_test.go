package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/placement"
)

// ForceLoad reserves a replica past all decisions and returns the order.
func (c *Core) ForceLoad(now time.Time, id fleet.BackendID, m fleet.Model, near fleet.Nearness) {
	t := c.newTick(now, nil, nil)
	c.reserve(t, need{model: m}, placement.Choice{Backend: id, Near: near}, false)
}

// ForceSend sends what is open without asking whether it still may leave.
func (c *Core) ForceSend(now time.Time) {
	t := c.newTick(now, nil, nil)
	for _, o := range c.open {
		if !o.isLoad() {
			continue
		}
		c.assertLoad(c.backends[o.backend], o)
		c.sendIfDue(t, o)
	}
}

// ForceUnload unloads a replica whatever runs there.
func (c *Core) ForceUnload(now time.Time, id fleet.BackendID, m fleet.ModelID) {
	b := c.backends[id]
	for _, r := range b.rows {
		if r.key.Model == m {
			c.unload(c.newTick(now, nil, nil), b, r)
		}
	}
}

// ForgeEpoch changes the epoch of the orders to come.
func (c *Core) ForgeEpoch(delta fleet.Epoch) {
	for _, o := range c.open {
		if o.order.Kind == engine.OrderLoad {
			o.order.Epoch += delta
		}
	}
}

// StateSize counts the rows of all tables that grow with use.
func (c *Core) StateSize() int {
	return len(c.open) + len(c.inherited) + len(c.plans) + len(c.used) + len(c.placed) +
		len(c.rosters.current) + len(c.rosters.all)
}
