package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

const (
	// maxGrantDelay is the maximum time from a grant to the arrival of its
	// request at the engine.
	maxGrantDelay = time.Second
	// unlimitedRetention is the retention when no retention policy is given.
	unlimitedRetention = 365 * 24 * time.Hour
)

// markDraining marks the replicas that accept no new work: those of models or
// versions no longer in force, those above the replica limit, and those past
// their retention.
func (c *Core) markDraining(t *tick) {
	for _, b := range c.sorted {
		for _, r := range b.sorted {
			c.markReplica(t, b, r)
		}
	}
	for id := range c.placedOn {
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
		if ready, _ := c.countServing(m); ready > 0 || c.retentionExpired(t, r) {
			r.drain(t.now)
		}
	case r.draining && r.retentionExpired && t.modelDemands[m.ID] != nil && r.state == fleet.ReplicaReady:
		r.draining, r.retentionExpired = false, false // in demand again before it was unloaded
	case !r.draining && c.retentionExpired(t, r):
		r.drain(t.now)
		r.retentionExpired = true
	case c.misplaced(b, m) && r.idle() && t.modelDemands[m.ID] == nil:
		r.drain(t.now)
	}
}

// retentionExpired reports whether a replica is idle past its retention.
func (c *Core) retentionExpired(t *tick, r *replica) bool {
	return r.state == fleet.ReplicaReady && r.idle() && t.modelDemands[r.key.Model] == nil &&
		!t.preload[r.key.Model] && !c.keepUntil(t, r).After(t.now)
}

// keepUntil returns the time until which a replica is kept, for the base model
// or any adapter on it.
func (c *Core) keepUntil(t *tick, r *replica) time.Time {
	if t.retention == nil {
		return t.now.Add(unlimitedRetention)
	}
	base := fleet.Target{Model: r.key.Model}
	last := r.lastUsed
	if lastRequested := c.lastRequested[base]; lastRequested.After(last) {
		last = lastRequested
	}
	until := t.retention.KeepUntil(base, last)
	for id, a := range r.adapters {
		if until.After(t.now) {
			break
		}
		target := fleet.Target{Model: r.key.Model, Adapter: id}
		if u := t.retention.KeepUntil(target, c.adapterLastUsed(target, a)); u.After(until) {
			until = u
		}
	}
	return until
}

func (c *Core) adapterLastUsed(target fleet.Target, a *adapter) time.Time {
	if lastRequested := c.lastRequested[target]; lastRequested.After(a.lastUsed) {
		return lastRequested
	}
	return a.lastUsed
}

// drainSurplus drains the least recently used replicas above the replica limit,
// after the limit was lowered.
func (c *Core) drainSurplus(t *tick, m fleet.Model) {
	if len(c.placedOn[m.ID]) <= m.MaxReplicas {
		return
	}
	var remaining []*replica
	for id := range c.placedOn[m.ID] {
		for key, r := range c.backends[id].replicas {
			if key.model == m.ID && !r.draining {
				remaining = append(remaining, r)
			}
		}
	}
	for len(remaining) > m.MaxReplicas {
		least := 0
		for i, r := range remaining {
			if lessRecentlyUsed(r, remaining[least]) {
				least = i
			}
		}
		remaining[least].drain(t.now)
		remaining = append(remaining[:least], remaining[least+1:]...)
	}
}

func lessRecentlyUsed(a, b *replica) bool {
	if a.lastUsed.Equal(b.lastUsed) {
		return compareReplicas(a, b) > 0
	}
	return a.lastUsed.Before(b.lastUsed)
}

// unloadDraining unloads the draining replicas that have no requests left.
func (c *Core) unloadDraining(t *tick) {
	for _, b := range c.sorted {
		departing := b.draining(c.stopping)
		if !departing {
			b.departingSince = time.Time{}
		} else if b.departingSince.IsZero() {
			b.departingSince = t.now
		}
		if !b.epochRaised {
			continue
		}
		for _, r := range b.sorted {
			if (r.draining || departing) && c.readyToUnload(t, b, r) {
				c.unload(t, b, r)
			}
		}
	}
}

// readyToUnload reports whether no request runs, waits or may still arrive with
// a grant from before draining began. The engine must also have confirmed the
// epoch in response to an order sent after that time. For this, reconfirmAfter is
// set, so that a raise-epoch order is sent.
func (c *Core) readyToUnload(t *tick, b *backend, r *replica) bool {
	if r.state != fleet.ReplicaReady || !r.idle() {
		return false
	}
	since := r.drainingSince
	if !r.draining {
		since = b.departingSince
	}
	if t.modelDemands[r.key.Model] != nil || since.Sub(c.lastModelUse(r)) < maxGrantDelay {
		since = since.Add(maxGrantDelay)
	}
	if t.now.Before(since) {
		return false
	}
	if since.After(b.reconfirmAfter) {
		b.reconfirmAfter = since
	}
	return !b.confirmedAt.Before(since)
}

// lastModelUse returns when the replica's model or any of its adapters was last
// requested or last ran a request.
func (c *Core) lastModelUse(r *replica) time.Time {
	last := r.lastUsed
	for target, lastRequested := range c.lastRequested {
		if target.Model == r.key.Model && lastRequested.After(last) {
			last = lastRequested
		}
	}
	return last
}

func (c *Core) unload(t *tick, b *backend, r *replica) {
	invariant.Check(r.idle(), invariant.GracefulStop,
		"unload of %s at %s with %d requests", r.key.Model, b.record.ID, r.running+r.waiting)
	o := c.newOrder(b, engine.OrderUnload)
	o.order.Model, o.order.Version = r.key.Model, r.key.Version
	o.replica = r
	r.state = fleet.ReplicaUnloading
}
