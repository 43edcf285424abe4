package controller

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
)

// openOrder is an order of this term that is not resolved.
type openOrder struct {
	order          engine.Order
	backend        fleet.BackendID
	replica        *replica
	adapter        *adapter // adapter of replica; only for adapter orders
	isInherited    bool     // may have been sent in an earlier term; counted through its intent
	needsIntent    bool     // its intent must be durable in the lease record before it is sent
	sentAt         time.Time
	attempts       int
	inFlight       bool
	mayHaveArrived bool // an attempt may have reached the engine
}

func (o *openOrder) isLoad() bool {
	return o.order.Kind == engine.OrderLoad || o.order.Kind == engine.OrderLoadAdapter
}

// newOrder adds an open order for a backend server's current boot.
func (c *Core) newOrder(b *backend, kind engine.OrderKind) *openOrder {
	c.orderSeq++
	o := &openOrder{
		backend: b.record.ID,
		order: engine.Order{
			ID:    fmt.Sprintf("%s-%d-%08d", c.cell, c.epoch, c.orderSeq),
			Kind:  kind,
			Cell:  c.cell,
			Epoch: c.epoch,
			Boot:  b.boot,
		},
	}
	c.addOrder(b, o)
	return o
}

func (c *Core) addOrder(b *backend, o *openOrder) {
	c.openOrders[o.order.ID] = o
	b.openOrders[o.order.ID] = o
}

// closeOrder removes an order that is resolved.
func (c *Core) closeOrder(id string) {
	o := c.openOrders[id]
	if o == nil {
		return
	}
	delete(c.openOrders, id)
	delete(c.backends[o.backend].openOrders, id)
}

// sendDueOrders sends new orders whose intents are durable, and resends orders
// without a response under the same id.
func (c *Core) sendDueOrders(t *tick) {
	ids := make([]string, 0, len(c.openOrders))
	for id := range c.openOrders {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if o := c.openOrders[id]; o != nil {
			c.sendIfDue(t, o)
		}
	}
}

func (c *Core) sendIfDue(t *tick, o *openOrder) {
	if o.attempts > 0 && t.now.Sub(o.sentAt) < c.resendInterval(o) {
		return
	}
	if o.inFlight {
		o.inFlight = false
		o.mayHaveArrived = true
	}
	b := c.backends[o.backend]
	// This engine does not check fencing tokens, and a node that can't write the
	// lease record could not detect a newer controller.
	if !b.record.Fencing && o.order.Kind != engine.OrderRaiseEpoch && !c.canWriteIntents() {
		c.cancelUnsent(o)
		return
	}
	if o.isLoad() && !c.canSendLoad(t, b, o) {
		return
	}
	if o.isLoad() && o.attempts == 0 && !o.isInherited {
		c.checkLoadInvariants(b, o)
	}
	if o.order.Kind == engine.OrderRaiseEpoch {
		b.raiseSentAt = t.now
	}
	o.order.ExpiresAt = t.now.Add(c.cfg.OrderLifetime)
	o.sentAt = t.now
	o.attempts++
	o.inFlight = true
	t.effects.Orders = append(t.effects.Orders, SendOrder{
		Backend:    o.backend,
		Address:    b.record.Address,
		Order:      o.order,
		VerifyBoot: !b.record.Fencing && o.order.Kind != engine.OrderRaiseEpoch,
	})
}

// resendInterval returns the time after which an order without a response is
// sent again. Repeating a raise-epoch order changes nothing, so it is sent
// again at the report interval.
func (c *Core) resendInterval(o *openOrder) time.Duration {
	if o.order.Kind == engine.OrderRaiseEpoch {
		return c.cfg.ReportInterval
	}
	return c.cfg.ResponseTimeout
}

// canSendLoad reports whether a load order may be sent now. An order that was
// never sent and may not be sent any more is cancelled.
func (c *Core) canSendLoad(t *tick, b *backend, o *openOrder) bool {
	if b.draining(c.stopping) {
		c.cancelUnsent(o)
		return false
	}
	if o.attempts > 0 || o.isInherited {
		return true
	}
	if !c.stillValid(b, o) {
		c.cancelUnsent(o)
		return false
	}
	if !o.needsIntent || c.intentDurable(o.order.ID) {
		return true
	}
	if !c.canWriteIntents() {
		c.cancelUnsent(o)
		return false
	}
	t.block(fleet.Target{Model: o.order.Model, Adapter: o.order.Adapter}, BlockedIntent)
	return false
}

// stillValid reports whether the conditions under which the order was created
// still hold: other engines may have restarted and the release may have changed
// since then.
func (c *Core) stillValid(b *backend, o *openOrder) bool {
	m, ok := c.inForce(o.order.Model)
	if !ok || c.committed(b) > b.capacity() {
		return false
	}
	if o.order.Kind == engine.OrderLoadAdapter {
		return true
	}
	return c.countReplicas(m.ID, b) <= m.MaxReplicas
}

func (c *Core) cancelUnsent(o *openOrder) {
	if o.attempts == 0 {
		c.rollBack(o)
	}
}

// rollBack closes an order that did not and will not take effect, and undoes
// its changes to the tables.
func (c *Core) rollBack(o *openOrder) {
	c.closeOrder(o.order.ID)
	if o.isInherited {
		return // counted until its intent is resolved
	}
	b := c.backends[o.backend]
	switch o.order.Kind {
	case engine.OrderLoad:
		if !o.replica.reported {
			c.removeReplica(b, o.replica)
		}
	case engine.OrderLoadAdapter:
		if !o.adapter.resident {
			c.removeAdapter(o.replica, o.order.Adapter, o.adapter)
		}
	case engine.OrderUnload:
		o.replica.state = fleet.ReplicaReady
	case engine.OrderUnloadAdapter:
		o.adapter.unloading = false
	}
}

// closeOrders closes all open orders to a backend server.
func (c *Core) closeOrders(id fleet.BackendID) {
	for orderID := range c.backends[id].openOrders {
		c.closeOrder(orderID)
	}
}

// HandleOrderResult processes the outcome of one attempt to send an order.
func (c *Core) HandleOrderResult(now time.Time, res OrderResult) {
	if !c.active {
		return
	}
	if res.Report != nil {
		c.handleReport(now, res.SentAt, *res.Report, true)
	}
	o := c.openOrders[res.OrderID]
	if o == nil || o.backend != res.Backend {
		return
	}
	o.inFlight = false
	if res.Err == nil {
		c.handleAccepted(o)
		return
	}
	c.handleOrderError(now, o, res)
}

// handleAccepted closes an order that an engine accepted. A load stays open
// until a report lists its replica or adapter, or lists the order as applied.
func (c *Core) handleAccepted(o *openOrder) {
	if o.isLoad() {
		o.mayHaveArrived = true
		return
	}
	c.closeOrder(o.order.ID)
}

func (c *Core) handleOrderError(now time.Time, o *openOrder, res OrderResult) {
	b, err := c.backends[o.backend], res.Err
	newestAttempt := !res.SentAt.Before(o.sentAt)
	switch {
	case errors.Is(err, engine.ErrFenced):
		// The engine has seen a higher epoch, whose value the error does not give.
		c.stepDown(c.epoch + 1)
	case errors.Is(err, engine.ErrWrongBoot):
		c.rollBack(o)
		b.reportRequestedAt = time.Time{} // requests a report of the new boot at the next tick
	case errors.Is(err, engine.ErrExpired) && !errors.Is(err, engine.ErrNotSent) && newestAttempt:
		c.rollBack(o) // earlier attempts expired before this one
	case isNotApplied(err) && !(o.mayHaveArrived && o.isLoad()):
		if o.order.Kind == engine.OrderLoad {
			b.loadBackoff[o.order.Model] = now.Add(c.cfg.RetryDelay)
		}
		c.rollBack(o)
	case !isNotApplied(err):
		o.mayHaveArrived = true
	}
}

// isNotApplied reports whether this attempt had no effect. An earlier attempt
// may have had one.
func isNotApplied(err error) bool {
	for _, refusal := range []error{
		engine.ErrNoMemory, engine.ErrDraining, engine.ErrNotLoaded, engine.ErrRejected,
		engine.ErrNotSent, engine.ErrUnreachable,
	} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

func (c *Core) intentDurable(orderID string) bool {
	return slices.ContainsFunc(c.auth.Intents, func(i lease.Intent) bool { return i.OrderID == orderID })
}

// canWriteIntents reports whether this node can write the lease record.
func (c *Core) canWriteIntents() bool { return c.auth.StoreContact && c.auth.SuccessorPosition == 0 }

// desired returns the server sets and intents that the lease record
// should hold.
func (c *Core) desired() *lease.DesiredRecord {
	d := &lease.DesiredRecord{ServerSets: c.serverSets.desired}
	for id, i := range c.inheritedIntents {
		if c.openOrders[id] == nil {
			d.Intents = append(d.Intents, i.Intent)
		}
	}
	for _, o := range c.openOrders {
		if o.needsIntent {
			d.Intents = append(d.Intents, c.intentOf(o))
		}
	}
	slices.SortFunc(d.Intents, compareIntents)
	return d
}

func (c *Core) intentOf(o *openOrder) lease.Intent {
	if i := c.inheritedIntents[o.order.ID]; i != nil {
		return i.Intent
	}
	return lease.Intent{
		OrderID: o.order.ID,
		Backend: o.backend,
		Boot:    o.order.Boot,
		Model:   o.order.Model,
		Version: o.order.Version,
		Adapter: o.order.Adapter,
		Memory:  o.order.Memory,
		Sender:  c.self,
	}
}
