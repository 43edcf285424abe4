package controller

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
)

// countReplicas returns how many replicas of a model there may be, as far as a
// load at target is concerned. A backend server that may hold one counts as one
// unless it has answered, at its present boot, a report that was requested
// after target was raised. See "Two writers" in docs/design/authority.md.
func (c *Core) countReplicas(m fleet.ModelID, target *backend) int {
	total := 0
	holders := c.possibleHolders(m)
	for _, id := range holders {
		total += c.countAt(id, m, target)
	}
	for id := range c.placed[m] {
		if !holders.contains(id) {
			total += c.countAt(id, m, target)
		}
	}
	for _, i := range c.inherited {
		_, placed := c.placed[m][i.Backend]
		if i.Model == m && i.Adapter == "" && !placed && !holders.contains(i.Backend) {
			total++
		}
	}
	return total
}

// possibleHolders returns where a replica of the model may have been placed. An
// office without a write has rosters that may be some seconds old: the one
// before it may have used any listed engine that they do not name.
func (c *Core) possibleHolders(m fleet.ModelID) backendSet {
	holders := c.rosters.holders(m)
	if c.auth.AdvanceRank == 0 {
		return holders
	}
	all := slices.Clone(holders)
	for _, b := range c.rows {
		if b.isEngine() && !all.contains(b.row.ID) && !c.rosters.names(b.row.ID) {
			all = append(all, b.row.ID)
		}
	}
	return all
}

func (c *Core) countAt(id fleet.BackendID, m fleet.ModelID, target *backend) int {
	b := c.backends[id]
	if b == nil {
		if c.gone(id) {
			return 0
		}
		return 1
	}
	pending, _ := c.inheritedAt(id, m)
	known := b.holds(m) + pending
	if b == target || b.confirmedSince(target.raisedAt) {
		return known
	}
	return max(1, known)
}

// confirmedSince reports whether the present boot has answered a report that
// was requested at or after since.
func (b *backend) confirmedSince(since time.Time) bool {
	return b.raised && !b.readAt.Before(since)
}

// gone reports whether a backend server of the roster that is not listed is
// known to be gone, and not merely missing from a list that lags.
func (c *Core) gone(id fleet.BackendID) bool {
	return c.backends[id] == nil && !c.listAsOf.IsZero() && !c.listAsOf.Before(c.rosters.newest())
}

// committed returns the memory committed at a backend server, in bytes.
func (c *Core) committed(b *backend) int64 {
	var sum int64
	for _, r := range b.replicas {
		sum += r.committed()
	}
	if len(c.inherited) > 0 {
		_, pending := c.inheritedAt(b.row.ID, "")
		sum += pending
	}
	return sum
}

// assertLoad asserts the promises that a load order may break, at the moment it
// leaves for the first time.
func (c *Core) assertLoad(b *backend, o *openOrder) {
	invariant.Check(!b.draining(c.stopping), invariant.NoWorkToLeaving,
		"order %s loads %s at leaving backend server %s", o.order.ID, o.order.Model, o.backend)
	invariant.Check(o.order.Epoch == c.epoch && c.deposed <= c.epoch, invariant.EpochMonotonic,
		"order %s with epoch %d, office has %d, engines have %d", o.order.ID, o.order.Epoch, c.epoch, c.deposed)
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
	loads := c.openLoads(o.order.Model, o.order.Version)
	invariant.Check(loads <= 1, invariant.SingleDispatcher,
		"order %s: %d loads of %s under way", o.order.ID, loads, o.order.Model)
}

// scanReplicas counts as countReplicas does, from all rows and without the
// index of places.
func (c *Core) scanReplicas(m fleet.ModelID, target *backend) int {
	holders := c.possibleHolders(m)
	total := 0
	for id, b := range c.backends {
		pending, _ := c.inheritedAt(id, m)
		known := pending + b.holds(m)
		if known == 0 && b != target && holders.contains(id) && !b.confirmedSince(target.raisedAt) {
			known = 1
		}
		total += known
	}
	for _, id := range holders {
		if c.backends[id] == nil && !c.gone(id) {
			total++
		}
	}
	for _, i := range c.inherited {
		if c.backends[i.Backend] == nil && i.Model == m && i.Adapter == "" && !holders.contains(i.Backend) {
			total++
		}
	}
	return total
}

// openLoads returns the loads of a version that no engine has shown yet, at
// backend servers that answer and stay.
func (c *Core) openLoads(m fleet.ModelID, v fleet.Version) int {
	n := 0
	for id := range c.placed[m] {
		b := c.backends[id]
		r := b.replicas[modelVersion{m, v}]
		if r != nil && c.serves(b, r) && r.state == fleet.ReplicaReserved {
			n++
		}
	}
	return n
}
