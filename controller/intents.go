package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
)

// inheritedIntent is an intent of an earlier office. Its order may still be on
// its way: memory and replica stay committed until it is settled.
type inheritedIntent struct {
	lease.OpenIntent
	stoppedAt time.Time // when the sender was first known to have stopped
}

func compareIntents(a, b lease.Intent) int { return strings.Compare(a.OrderID, b.OrderID) }

func (c *Core) noteSenderStopped(now time.Time, i lease.OpenIntent) {
	own := c.inherited[i.OrderID]
	if own != nil && i.SenderStopped && own.stoppedAt.IsZero() {
		own.stoppedAt = c.afterTick(now)
	}
}

func (c *Core) inheritedIDs() []string {
	ids := make([]string, 0, len(c.inherited))
	for id := range c.inherited {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// settleInherited drops the intents that can no longer take effect or have
// become visible, and sends those again that somebody waits for: an engine
// carries out an order id at most once.
func (c *Core) settleInherited(t *tick) {
	for _, id := range c.inheritedIDs() {
		i := c.inherited[id]
		if c.settled(i) {
			delete(c.inherited, id)
			delete(c.open, id)
			continue
		}
		c.resendInherited(t, i)
	}
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
	if c.shows(b, i.Intent) {
		return true
	}
	return !i.stoppedAt.IsZero() && !b.readAt.Before(i.stoppedAt)
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
			delete(c.inherited, id)
			delete(c.open, id)
		}
	}
}

func (c *Core) resendInherited(t *tick, i *inheritedIntent) {
	b := c.backends[i.Backend]
	waited := t.demand[i.Model] != nil && i.Adapter == ""
	if c.open[i.OrderID] != nil || !waited || b == nil || b.boot != i.Boot || b.draining(c.stopping) {
		return
	}
	if m, ok := c.inForce(i.Model); !ok || m.Version != i.Version {
		return
	}
	o := c.newOrder(t.now, b, engine.OrderLoad)
	delete(c.open, o.order.ID)
	o.order.ID = i.OrderID
	o.order.Model, o.order.Version, o.order.Memory = i.Model, i.Version, i.Memory
	o.needsIntent = true
	o.uncertain = true // the earlier sending may have arrived
	c.open[i.OrderID] = o
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
