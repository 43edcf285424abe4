package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
)

const (
	// confirmInterval is the least time between two raises sent to one engine.
	confirmInterval = 50 * time.Millisecond
	// silentAfter is the time without an answer after which an engine takes no
	// new loads and its replicas count for limits only.
	silentAfter = 3 * time.Second
)

// contactEngines requests reports and raises the epoch at engines that have not
// been raised at their present boot.
func (c *Core) contactEngines(t *tick) {
	lastRaise := c.lastRaise()
	for _, b := range c.rows {
		if !b.isEngine() {
			continue
		}
		if c.reportDue(t.now, b) {
			b.requestAt = t.now
			t.effects.Reports = append(t.effects.Reports, ReportRequest{Backend: b.row.ID, Address: b.row.Address})
		}
		if c.raiseDue(t.now, b, lastRaise) {
			c.newOrder(b, engine.OrderRaiseEpoch).order.Boot = "" // whichever boot it meets
		}
		if c.stopping[b.row.ID] && b.raised && !b.leaving && !b.hasOpen(engine.OrderDrain) {
			c.newOrder(b, engine.OrderDrain)
		}
	}
}

func (b *backend) hasOpen(kind engine.OrderKind) bool {
	for _, o := range b.open {
		if o.order.Kind == kind {
			return true
		}
	}
	return false
}

// lastRaise returns when an engine was last raised.
func (c *Core) lastRaise() time.Time {
	var last time.Time
	for _, b := range c.rows {
		if b.raisedAt.After(last) {
			last = b.raisedAt
		}
	}
	return last
}

func (c *Core) reportDue(now time.Time, b *backend) bool {
	return now.Sub(b.requestAt) >= c.cfg.ReportInterval
}

// raiseDue reports whether the engine must be raised, or asked again because
// another was raised after it was last asked. Engines that do not fence are
// asked in the same way, as only the answer to an order does not lag.
func (c *Core) raiseDue(now time.Time, b *backend, lastRaise time.Time) bool {
	stale := !b.raised || b.readAt.Before(lastRaise) || b.readAt.Before(b.recheckAt)
	return stale && now.Sub(b.raiseSent) >= confirmInterval && !b.hasOpen(engine.OrderRaiseEpoch)
}
