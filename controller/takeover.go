package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
)

const (
	// confirmInterval is the least time between two report requests to one
	// engine while a raise elsewhere must be confirmed.
	confirmInterval = 50 * time.Millisecond
	// silentAfter is the time without an answer after which an engine takes no
	// new loads and its replicas count for limits only.
	silentAfter = 3 * time.Second
)

// contactEngines requests reports and raises the epoch at engines that have not
// been raised at their present boot.
func (c *Core) contactEngines(t *tick) {
	lastRaise := c.lastRaise()
	for _, id := range c.order {
		b := c.backends[id]
		if !b.isEngine() {
			continue
		}
		if c.reportDue(t.now, b, lastRaise) {
			b.requestAt = t.now
			t.effects.Reports = append(t.effects.Reports, ReportRequest{Backend: id, Address: b.row.Address})
		}
		if b.row.Fencing && b.boot != "" && !b.raised && !c.hasOpen(b, engine.OrderRaiseEpoch) {
			c.newOrder(t.now, b, engine.OrderRaiseEpoch)
		}
		if c.stopping[id] && b.raised && !b.leaving && !c.hasOpen(b, engine.OrderDrain) {
			c.newOrder(t.now, b, engine.OrderDrain)
		}
	}
}

func (c *Core) hasOpen(b *backend, kind engine.OrderKind) bool {
	for _, o := range c.open {
		if o.backend == b.row.ID && o.order.Kind == kind {
			return true
		}
	}
	return false
}

// lastRaise returns when an engine was last raised.
func (c *Core) lastRaise() time.Time {
	var last time.Time
	for _, b := range c.backends {
		if b.raisedAt.After(last) {
			last = b.raisedAt
		}
	}
	return last
}

func (c *Core) reportDue(now time.Time, b *backend, lastRaise time.Time) bool {
	since := now.Sub(b.requestAt)
	if since >= c.cfg.ReportInterval {
		return true
	}
	return b.requestAt.Before(lastRaise) && since >= confirmInterval
}
