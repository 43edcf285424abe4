package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

const (
	// grantFlight bounds the time from a grant to the arrival of its request at
	// the engine.
	grantFlight = time.Second
	// keepForever stands for no end when no retention policy is given.
	keepForever = 365 * 24 * time.Hour
)

// markDraining decides which replicas take no new work: those of models or
// versions no longer in force, those above the limit, and those past their
// retention.
func (c *Core) markDraining(t *tick) {
	for _, b := range c.rows {
		for _, r := range b.rows {
			c.markReplica(t, b, r)
		}
	}
	for id := range c.placed {
		if m, ok := c.inForce(id); ok {
			c.drainSurplus(t, m)
		}
	}
}

func (c *Core) markReplica(t *tick, b *backend, r *replica) {
	m, ok := c.inForce(r.key.Model)
	switch {
	case !ok:
		r.drain(t.now)
	case r.key.Version != m.Version:
		if ready, _ := c.serving(m); ready > 0 || c.expired(t, r) {
			r.drain(t.now)
		}
	case r.draining && r.expired && t.demand[m.ID] != nil && r.state == fleet.ReplicaReady:
		r.draining, r.expired = false, false // asked for again in time
	case !r.draining && c.expired(t, r):
		r.drain(t.now)
		r.expired = true
	case c.misplaced(b, m) && r.idle() && t.demand[m.ID] == nil:
		r.drain(t.now)
	}
}

// expired reports whether a replica is idle past its retention.
func (c *Core) expired(t *tick, r *replica) bool {
	return r.state == fleet.ReplicaReady && r.idle() && t.demand[r.key.Model] == nil &&
		!t.ahead[r.key.Model] && !c.keepUntil(t, r).After(t.now)
}

// keepUntil returns until when a replica is worth keeping, for the base model
// or any adapter on it.
func (c *Core) keepUntil(t *tick, r *replica) time.Time {
	if t.keep == nil {
		return t.now.Add(keepForever)
	}
	base := fleet.Target{Model: r.key.Model}
	last := r.lastUsed
	if used := c.used[base]; used.After(last) {
		last = used
	}
	until := t.keep.KeepUntil(base, last)
	for id, a := range r.adapters {
		if until.After(t.now) {
			break
		}
		target := fleet.Target{Model: r.key.Model, Adapter: id}
		if u := t.keep.KeepUntil(target, c.adapterUsed(target, a)); u.After(until) {
			until = u
		}
	}
	return until
}

func (c *Core) adapterUsed(target fleet.Target, a *adapter) time.Time {
	if used := c.used[target]; used.After(a.lastUsed) {
		return used
	}
	return a.lastUsed
}

// drainSurplus drains the least recently used replicas above the limit, after
// the limit was lowered.
func (c *Core) drainSurplus(t *tick, m fleet.Model) {
	if len(c.placed[m.ID]) <= m.MaxReplicas {
		return
	}
	var kept []*replica
	for id := range c.placed[m.ID] {
		for key, r := range c.backends[id].replicas {
			if key.model == m.ID && !r.draining {
				kept = append(kept, r)
			}
		}
	}
	for len(kept) > m.MaxReplicas {
		least := 0
		for i, r := range kept {
			if lessUsed(r, kept[least]) {
				least = i
			}
		}
		kept[least].drain(t.now)
		kept = append(kept[:least], kept[least+1:]...)
	}
}

func lessUsed(a, b *replica) bool {
	if a.lastUsed.Equal(b.lastUsed) {
		return compareReplicas(a, b) > 0
	}
	return a.lastUsed.Before(b.lastUsed)
}

// unloadDraining unloads what drains and runs nothing.
func (c *Core) unloadDraining(t *tick) {
	for _, b := range c.rows {
		leaving := b.draining(c.stopping)
		if !leaving {
			b.drainSince = time.Time{}
		} else if b.drainSince.IsZero() {
			b.drainSince = t.now
		}
		if !b.raised {
			continue
		}
		for _, r := range b.rows {
			if (r.draining || leaving) && c.drained(t, b, r) {
				c.unload(t, b, r)
			}
		}
	}
}

// drained reports whether no request runs, waits, or may be on its way with a
// grant from before the draining began.
func (c *Core) drained(t *tick, b *backend, r *replica) bool {
	if r.state != fleet.ReplicaReady || !r.idle() {
		return false
	}
	since := r.drainedAt
	if !r.draining {
		since = b.drainSince
	}
	if t.demand[r.key.Model] != nil || since.Sub(c.lastUse(r)) < grantFlight {
		since = since.Add(grantFlight)
	}
	if t.now.Before(since) {
		return false
	}
	if since.After(b.recheckAt) {
		b.recheckAt = since
	}
	return !b.readAt.Before(since)
}

// lastUse returns when the replica's model or any of its adapters was last
// asked for or ran.
func (c *Core) lastUse(r *replica) time.Time {
	last := r.lastUsed
	for target, used := range c.used {
		if target.Model == r.key.Model && used.After(last) {
			last = used
		}
	}
	return last
}

func (c *Core) unload(t *tick, b *backend, r *replica) {
	invariant.Check(r.idle(), invariant.GracefulStop,
		"unload of %s at %s with %d requests", r.key.Model, b.row.ID, r.running+r.waiting)
	o := c.newOrder(b, engine.OrderUnload)
	o.order.Model, o.order.Version = r.key.Model, r.key.Version
	o.replica = r
	r.state = fleet.ReplicaUnloading
}
