package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
)

const (
	// minRaiseInterval is the minimum time between two raise-epoch orders to
	// one engine.
	minRaiseInterval = 50 * time.Millisecond
	// unresponsiveAfter is the time without a report after which an engine gets
	// no new loads. Its replicas then count against the replica limit, but not as
	// serving.
	unresponsiveAfter = 3 * time.Second
)

// contactEngines requests reports, sends raise-epoch orders to engines that
// have not confirmed this term at their current boot, and sends drain orders to
// engines that are being stopped.
func (c *Core) contactEngines(t *tick) {
	lastEpochRaise := c.lastEpochRaise()
	for _, b := range c.sorted {
		if !b.isEngine() {
			continue
		}
		if c.reportDue(t.now, b) {
			b.reportRequestedAt = t.now
			t.effects.Reports = append(t.effects.Reports, ReportRequest{Backend: b.record.ID, Address: b.record.Address})
		}
		if c.epochRaiseDue(t.now, b, lastEpochRaise) {
			c.newOrder(b, engine.OrderRaiseEpoch).order.Boot = "" // valid for any boot
		}
		if c.stopping[b.record.ID] && b.epochRaised && !b.reportedDraining && !b.hasOpenOrder(engine.OrderDrain) {
			c.newOrder(b, engine.OrderDrain)
		}
	}
}

func (b *backend) hasOpenOrder(kind engine.OrderKind) bool {
	for _, o := range b.openOrders {
		if o.order.Kind == kind {
			return true
		}
	}
	return false
}

// lastEpochRaise returns the latest time at which the epoch of any engine was
// raised.
func (c *Core) lastEpochRaise() time.Time {
	var last time.Time
	for _, b := range c.sorted {
		if b.epochRaisedAt.After(last) {
			last = b.epochRaisedAt
		}
	}
	return last
}

func (c *Core) reportDue(now time.Time, b *backend) bool {
	return now.Sub(b.reportRequestedAt) >= c.cfg.ReportInterval
}

// epochRaiseDue reports whether the engine needs a raise-epoch order: its epoch
// has not been raised yet, another engine's epoch was raised after this one was
// last confirmed, or a more recent confirmation is required. Engines that do
// not check fencing tokens get the order too, because only the response to an
// order does not lag.
func (c *Core) epochRaiseDue(now time.Time, b *backend, lastRaise time.Time) bool {
	stale := !b.epochRaised || b.confirmedAt.Before(lastRaise) || b.confirmedAt.Before(b.reconfirmAfter)
	return stale && now.Sub(b.raiseSentAt) >= minRaiseInterval && !b.hasOpenOrder(engine.OrderRaiseEpoch)
}
