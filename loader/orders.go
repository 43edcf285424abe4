package loader

import (
	"time"

	"github.com/redwingnotch/redwingnotch/replicas"
)

// HandleOrderResult processes the result of an order to a server with the given start time.
// It is ignored if the server has restarted or has another order since.
func (c *Core) HandleOrderResult(now time.Time, o replicas.Order, start int64, result replicas.OrderResult) {
	s := c.servers[o.ServerID]
	if s == nil || s.entry.Start != start || s.order == nil || s.order.order != o {
		return
	}
	c.effects.Changed = true
	if o.Adapter != "" {
		c.adapterDone(now, s, o, result)
		return
	}
	switch result {
	case replicas.OrderAccepted:
		s.acceptModelOrder(now, o.After+1)
		s.order.accepted = true
		s.unconfirmed = nil
		s.nextReport = s.order.expectedEnd
		if o.Unload {
			s.order.expectedEnd = now.Add(idleUnloadTime)
		}
		if !s.order.usesStore {
			s.nextReport = s.order.expectedEnd.Add(confirmReportDelay)
		}
	case replicas.OrderUnknown:
		// The server may still carry it out later. An order sent again names the
		// same number of accepted orders, so at most one of the two is accepted.
		c.endOrder(s)
		s.doubtful, s.nextReport = true, now
	default:
		c.handleRefusal(now, s)
	}
}

// handleRefusal handles an order that a server did not accept. If an earlier one was assumed to
// be complete, it is in progress again until a report ends it; else the server's state is unknown.
func (c *Core) handleRefusal(now time.Time, s *server) {
	c.endOrder(s)
	s.nextReport = now.Add(refusalReportDelay)
	if s.unconfirmed == nil {
		s.known = false
		return
	}
	s.order, s.unconfirmed = s.unconfirmed, nil
	s.order.overdue = true
}

// expireOrder drops an order without a result within orderTimeout, and ends an accepted one at
// its expected end; store loads and overdue orders end only with a report. A dropped order is
// rejected once another one is accepted, as both name the same number of accepted orders.
func (c *Core) expireOrder(now time.Time, s *server) {
	if s.order != nil && !s.order.accepted && now.Sub(s.order.sentAt) > orderTimeout {
		c.endOrder(s)
		s.doubtful = true
	}
	if s.order == nil || !s.order.accepted || now.Before(s.order.expectedEnd) {
		return
	}
	if s.order.order.Adapter != "" {
		s.order = nil
		c.effects.Changed = true
		return
	}
	if !s.order.usesStore && !s.order.overdue {
		c.assumeComplete(now, s)
	}
}

// assumeComplete treats an order as complete before a report says so. A server that
// is still busy refuses the next order; a report then shows its state.
func (c *Core) assumeComplete(now time.Time, s *server) {
	o := s.order.order
	if o.Unload {
		delete(s.holds, o.Model)
	} else {
		s.holds[o.Model] = &heldModel{adapterUsed: map[string]time.Time{}, heldSince: now}
		s.inMemory, s.onDisk = withModel(s.inMemory, o.Model), withModel(s.onDisk, o.Model)
	}
	s.unconfirmed = s.order
	c.endOrder(s)
	s.nextReport = now.Add(confirmReportDelay)
	c.effects.Changed = true
}
