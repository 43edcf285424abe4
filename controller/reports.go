package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

func compareReplicas(a, b *replica) int {
	return cmp.Or(
		cmp.Compare(a.key.Backend, b.key.Backend),
		cmp.Compare(a.key.Model, b.key.Model),
		cmp.Compare(a.key.Version, b.key.Version),
	)
}

// HandleReport processes a report and the time of the Tick that requested it. A
// report is one snapshot of boot, epoch and replicas; it may lag.
func (c *Core) HandleReport(now time.Time, requestedAt time.Time, r engine.Report) {
	c.handleReport(now, requestedAt, r, false)
}

// handleReport processes a report. A report that comes with the response to an
// order was made when the order was accepted and does not lag.
func (c *Core) handleReport(now time.Time, requestedAt time.Time, r engine.Report, fromOrder bool) {
	if !c.active {
		return
	}
	if r.Epoch > c.epoch {
		c.stepDown(r.Epoch)
		return
	}
	b := c.backends[r.Backend]
	if b == nil || requestedAt.Before(c.termStart) || !c.acceptBoot(now, b, requestedAt, r.Boot) {
		return
	}
	b.lastContact = now
	if b.epochRaised && b.record.Fencing && r.Epoch != c.epoch {
		return // made before the epoch was raised
	}
	// A report with the same measurement time as the last one may have been
	// made before it. Its omissions prove nothing, and it is used only if it is
	// the response to an order.
	newer := r.MeasuredAt.After(b.measuredAt)
	if !newer && !(fromOrder && r.MeasuredAt.Equal(b.measuredAt)) {
		return
	}
	if fromOrder && (!b.record.Fencing || r.Epoch == c.epoch) {
		c.confirm(now, b, requestedAt)
	}
	b.measuredAt = r.MeasuredAt
	c.applyReport(now, b, r, newer)
}

// confirm records that the engine accepts no orders of an earlier term at this
// boot, and when the order that confirmed it was sent. Only the response to an
// order proves this: a report that lags may be older than the orders of another
// controller.
func (c *Core) confirm(now time.Time, b *backend, requestedAt time.Time) {
	if !b.epochRaised {
		b.epochRaised = true
		b.epochRaisedAt = c.afterTick(now)
		if !b.record.Fencing {
			b.epochRaisedAt = c.termStart // from then on, earlier terms cannot write intents
		}
	}
	if requestedAt.After(b.confirmedAt) {
		b.confirmedAt = requestedAt
	}
}

// acceptBoot reports whether a report of the given boot is current. A boot that
// was replaced is accepted again only from a report requested after its
// replacement was seen.
func (c *Core) acceptBoot(now time.Time, b *backend, requestedAt time.Time, boot fleet.BootID) bool {
	if boot == b.boot {
		return true
	}
	for i, old := range b.replacedBoots {
		if old.boot != boot {
			continue
		}
		if requestedAt.Before(old.replacedAt) {
			return false
		}
		b.replacedBoots = slices.Delete(b.replacedBoots, i, i+1)
		break
	}
	c.changeBoot(now, b, boot)
	return true
}

func (c *Core) changeBoot(now time.Time, b *backend, boot fleet.BootID) {
	if b.boot != "" {
		b.replacedBoots = append(b.replacedBoots, replacedBoot{boot: b.boot, replacedAt: c.afterTick(now)})
		b.replacedBoots = b.replacedBoots[max(0, len(b.replacedBoots)-maxReplacedBoots):]
	}
	for _, r := range slices.Clone(b.sorted) {
		c.removeReplica(b, r)
	}
	c.closeOrders(b.record.ID)
	b.resetBoot(boot)
}

// applyReport updates the tables with what the report lists and, if the report
// is newer than all before it, removes what it does not list.
func (c *Core) applyReport(now time.Time, b *backend, r engine.Report, newer bool) {
	b.reportedMemory = r.Memory
	b.reportedDraining = r.Draining
	clear(b.weightLocality)
	for _, w := range r.Cached {
		b.weightLocality[modelVersion{w.Model, w.Version}] = w.WeightLocality
	}
	listed := make(map[modelVersion]bool, len(r.Replicas))
	for _, lr := range r.Replicas {
		listed[modelVersion{lr.Model, lr.Version}] = true
		c.applyReplica(now, b, lr, newer)
	}
	if !newer {
		return
	}
	for _, tracked := range slices.Clone(b.sorted) {
		if !listed[modelVersion{tracked.key.Model, tracked.key.Version}] {
			c.removeIfAbsent(now, b, tracked, r)
		}
	}
	c.resolveApplied(b, r)
}

// removeIfAbsent removes a replica that a report does not list, if an earlier
// report listed it or the engine reports its load order as applied. A draining
// engine accepts no more loads, so a replica that it does not list will not
// appear.
func (c *Core) removeIfAbsent(now time.Time, b *backend, tracked *replica, r engine.Report) {
	applied := tracked.orderID != "" && slices.Contains(r.AppliedOrders, tracked.orderID)
	if !tracked.reported && !applied && !r.Draining {
		return
	}
	if tracked.state == fleet.ReplicaReserved || tracked.state == fleet.ReplicaLoading {
		b.loadBackoff[tracked.key.Model] = now.Add(c.cfg.RetryDelay) // the load failed
	}
	c.removeReplica(b, tracked)
}

func (c *Core) applyReplica(now time.Time, b *backend, lr engine.LoadedReplica, newer bool) {
	tracked := b.replicas[modelVersion{lr.Model, lr.Version}]
	if tracked == nil {
		tracked = c.addReportedReplica(now, b, lr)
	}
	if !tracked.reported {
		tracked.reported = true
		c.closeOrder(tracked.orderID) // the order was applied
	}
	tracked.reportedMemory = lr.Memory
	tracked.running, tracked.waiting = lr.Running, lr.Waiting
	if !tracked.idle() {
		tracked.lastUsed = now
	}
	c.applyReplicaState(now, b, tracked, lr)
	c.applyAdapters(now, tracked, lr.Adapters, newer)
}

func (c *Core) applyReplicaState(now time.Time, b *backend, tracked *replica, lr engine.LoadedReplica) {
	if tracked.state == fleet.ReplicaUnloading {
		return
	}
	m := c.models[lr.Model]
	switch lr.State {
	case fleet.ReplicaReady:
		if tracked.state != fleet.ReplicaReady {
			tracked.readyAt = now
			tracked.lastUsed = now
		}
		c.endLoad(b, tracked)
	case fleet.ReplicaLoading, fleet.ReplicaReserved:
		remaining := float64(b.loadDuration(m)) * (1 - lr.Progress)
		tracked.readyAt = now.Add(time.Duration(remaining))
	case fleet.ReplicaUnloading:
		tracked.drain(now)
		c.endLoad(b, tracked)
	}
	// The engine lists the replica, so it is no longer only reserved.
	tracked.state = max(lr.State, fleet.ReplicaLoading)
}

// addReportedReplica adds a replica that this term did not order. A load in
// progress counts against the load budget.
func (c *Core) addReportedReplica(now time.Time, b *backend, lr engine.LoadedReplica) *replica {
	m := c.models[lr.Model]
	record := &replica{
		key:      fleet.ReplicaKey{Backend: b.record.ID, Boot: b.boot, Model: lr.Model, Version: lr.Version},
		state:    max(lr.State, fleet.ReplicaLoading),
		memory:   m.MemoryBytes,
		slots:    max(1, m.Slots),
		lastUsed: now,
		readyAt:  now,
		adapters: map[fleet.AdapterID]*adapter{},
	}
	c.addReplica(b, record)
	if lr.State == fleet.ReplicaLoading && b.locality(lr.Model, lr.Version) == fleet.LocalityRemote {
		c.budget.AdoptLoad(budgetID(record.key))
	}
	return record
}

func (c *Core) applyAdapters(now time.Time, tracked *replica, ids []fleet.AdapterID, newer bool) {
	listed := make(map[fleet.AdapterID]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
		c.applyAdapter(now, tracked, id)
	}
	for id, a := range tracked.adapters {
		if newer && a.resident && !listed[id] {
			c.removeAdapter(tracked, id, a)
		}
	}
}

func (c *Core) applyAdapter(now time.Time, tracked *replica, id fleet.AdapterID) {
	a := tracked.adapters[id]
	if a == nil {
		known := c.adapters[fleet.Target{Model: tracked.key.Model, Adapter: id}]
		a = &adapter{memory: known.MemoryBytes, lastUsed: now}
		tracked.adapters[id] = a
	}
	if a.resident {
		return
	}
	a.resident = true
	a.lastUsed = now
	c.closeOrder(a.orderID)
	c.budget.EndAdapter(a.orderID)
}
