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

// HandleReport takes in a report and the time of the Tick that requested it. A
// report is one snapshot of boot, epoch and replicas; it may lag.
func (c *Core) HandleReport(now time.Time, requestedAt time.Time, r engine.Report) {
	c.handleReport(now, requestedAt, r, false)
}

// handleReport takes in a report. A fresh one was made when an order was
// accepted and does not lag.
func (c *Core) handleReport(now time.Time, requestedAt time.Time, r engine.Report, fresh bool) {
	if !c.inOffice {
		return
	}
	if r.Epoch > c.epoch {
		c.depose(r.Epoch)
		return
	}
	b := c.backends[r.Backend]
	if b == nil || requestedAt.Before(c.officeAt) || !c.acceptBoot(now, b, requestedAt, r.Boot) {
		return
	}
	b.answeredAt = now
	if b.raised && b.row.Fencing && r.Epoch != c.epoch {
		return // made before the raise
	}
	// What is as old as what is known may be its forerunner within the same
	// instant: it proves no absence, and counts only as the answer to an order.
	newer := r.MeasuredAt.After(b.measuredAt)
	if !newer && !(fresh && r.MeasuredAt.Equal(b.measuredAt)) {
		return
	}
	if fresh && (!b.row.Fencing || r.Epoch == c.epoch) {
		c.confirm(now, b, requestedAt)
	}
	b.measuredAt = r.MeasuredAt
	c.takeContent(now, b, r, newer)
}

// confirm notes that the engine takes no orders of an earlier office at this
// boot, and when that was asked. Only an answer to an order tells: a report that
// lags may be older than the orders of another controller.
func (c *Core) confirm(now time.Time, b *backend, requestedAt time.Time) {
	if !b.raised {
		b.raised = true
		b.raisedAt = c.afterTick(now)
		if !b.row.Fencing {
			b.raisedAt = c.officeAt // earlier offices can write no intent since then
		}
	}
	if requestedAt.After(b.readAt) {
		b.readAt = requestedAt
	}
}

// acceptBoot reports whether a report of the given boot is of the present. A
// boot that was replaced is believed again only by a report requested after
// its replacement was seen.
func (c *Core) acceptBoot(now time.Time, b *backend, requestedAt time.Time, boot fleet.BootID) bool {
	if boot == b.boot {
		return true
	}
	for i, old := range b.retired {
		if old.boot != boot {
			continue
		}
		if requestedAt.Before(old.at) {
			return false
		}
		b.retired = slices.Delete(b.retired, i, i+1)
		break
	}
	c.changeBoot(now, b, boot)
	return true
}

func (c *Core) changeBoot(now time.Time, b *backend, boot fleet.BootID) {
	if b.boot != "" {
		b.retired = append(b.retired, retiredBoot{boot: b.boot, at: c.afterTick(now)})
		b.retired = b.retired[max(0, len(b.retired)-maxRetiredBoots):]
	}
	for _, r := range slices.Clone(b.rows) {
		c.removeReplica(b, r)
	}
	c.closeOrdersOf(b.row.ID)
	b.restart(boot)
}

// takeContent fills in what the report shows and, if it is newer than all
// before it, removes what it does not show.
func (c *Core) takeContent(now time.Time, b *backend, r engine.Report, newer bool) {
	b.memory = r.Memory
	b.leaving = r.Draining
	clear(b.near)
	for _, w := range r.Cached {
		b.near[modelVersion{w.Model, w.Version}] = w.Near
	}
	shown := make(map[modelVersion]bool, len(r.Replicas))
	for _, lr := range r.Replicas {
		shown[modelVersion{lr.Model, lr.Version}] = true
		c.takeReplica(now, b, lr, newer)
	}
	if !newer {
		return
	}
	for _, row := range slices.Clone(b.rows) {
		if !shown[modelVersion{row.key.Model, row.key.Version}] {
			c.takeAbsence(now, b, row, r)
		}
	}
	c.settleShown(b, r)
}

// takeAbsence removes a replica that the engine showed before, or whose order
// the engine says it has carried out, and no longer shows. An engine that drains
// takes no load any more: what it does not show then will not come.
func (c *Core) takeAbsence(now time.Time, b *backend, row *replica, r engine.Report) {
	applied := row.orderID != "" && slices.Contains(r.AppliedOrder, row.orderID)
	if !row.seen && !applied && !r.Draining {
		return
	}
	if row.state == fleet.ReplicaReserved || row.state == fleet.ReplicaLoading {
		b.avoid[row.key.Model] = now.Add(c.cfg.RetryDelay) // the load failed
	}
	c.removeReplica(b, row)
}

func (c *Core) takeReplica(now time.Time, b *backend, lr engine.LoadedReplica, newer bool) {
	row := b.replicas[modelVersion{lr.Model, lr.Version}]
	if row == nil {
		row = c.foundReplica(now, b, lr)
	}
	if !row.seen {
		row.seen = true
		c.closeOrder(row.orderID) // carried out
	}
	row.reported = lr.Memory
	row.running, row.waiting = lr.Running, lr.Waiting
	if !row.idle() {
		row.lastUsed = now
	}
	c.takeState(now, b, row, lr)
	c.takeAdapters(now, row, lr.Adapters, newer)
}

func (c *Core) takeState(now time.Time, b *backend, row *replica, lr engine.LoadedReplica) {
	if row.state == fleet.ReplicaUnloading {
		return
	}
	m := c.models[lr.Model]
	switch lr.State {
	case fleet.ReplicaReady:
		if row.state != fleet.ReplicaReady {
			row.readyAt = now
			row.lastUsed = now
		}
		c.endLoad(b, row)
	case fleet.ReplicaLoading, fleet.ReplicaReserved:
		left := float64(b.loadDuration(m)) * (1 - lr.Progress)
		row.readyAt = now.Add(time.Duration(left))
	case fleet.ReplicaUnloading:
		row.drain(now)
		c.endLoad(b, row)
	}
	row.state = max(lr.State, fleet.ReplicaLoading)
}

// foundReplica enters a replica that this office did not order. A load in
// progress counts against the load budget.
func (c *Core) foundReplica(now time.Time, b *backend, lr engine.LoadedReplica) *replica {
	m := c.models[lr.Model]
	row := &replica{
		key:      fleet.ReplicaKey{Backend: b.row.ID, Boot: b.boot, Model: lr.Model, Version: lr.Version},
		state:    max(lr.State, fleet.ReplicaLoading),
		memory:   m.MemoryBytes,
		slots:    max(1, m.Slots),
		lastUsed: now,
		readyAt:  now,
		adapters: map[fleet.AdapterID]*adapter{},
	}
	c.addReplica(b, row)
	if lr.State == fleet.ReplicaLoading && b.nearness(lr.Model, lr.Version) == fleet.NearRemote {
		c.budget.AdoptLoad(budgetID(row.key))
	}
	return row
}

func (c *Core) takeAdapters(now time.Time, row *replica, ids []fleet.AdapterID, newer bool) {
	shown := make(map[fleet.AdapterID]bool, len(ids))
	for _, id := range ids {
		shown[id] = true
		c.takeAdapter(now, row, id)
	}
	for id, a := range row.adapters {
		if newer && a.resident && !shown[id] {
			c.removeAdapter(row, id, a)
		}
	}
}

func (c *Core) takeAdapter(now time.Time, row *replica, id fleet.AdapterID) {
	a := row.adapters[id]
	if a == nil {
		known := c.adapters[fleet.Target{Model: row.key.Model, Adapter: id}]
		a = &adapter{memory: known.MemoryBytes, lastUsed: now}
		row.adapters[id] = a
	}
	if a.resident {
		return
	}
	a.resident = true
	a.lastUsed = now
	c.closeOrder(a.orderID)
	c.budget.EndAdapter(a.orderID)
}
