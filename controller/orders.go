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

// openOrder is an order of this office that is not settled.
type openOrder struct {
	order       engine.Order
	backend     fleet.BackendID
	replica     *replica
	adapter     *adapter // of replica, for orders on adapters
	inherited   bool     // an earlier office may have sent it; its effect is counted
	needsIntent bool     // must be durable in the lease record before it is sent
	sentAt      time.Time
	attempts    int
	inFlight    bool
	uncertain   bool // a sending may have arrived
}

func (o *openOrder) isLoad() bool {
	return o.order.Kind == engine.OrderLoad || o.order.Kind == engine.OrderLoadAdapter
}

// newOrder returns an open order to a backend server's present boot.
func (c *Core) newOrder(b *backend, kind engine.OrderKind) *openOrder {
	c.orderSeq++
	o := &openOrder{
		backend: b.row.ID,
		order: engine.Order{
			ID:    fmt.Sprintf("%s-%d-%08d", c.cell, c.epoch, c.orderSeq),
			Kind:  kind,
			Cell:  c.cell,
			Epoch: c.epoch,
			Boot:  b.boot,
		},
	}
	c.enterOrder(b, o)
	return o
}

func (c *Core) enterOrder(b *backend, o *openOrder) {
	c.open[o.order.ID] = o
	b.open[o.order.ID] = o
}

// closeOrder forgets an order that is settled.
func (c *Core) closeOrder(id string) {
	o := c.open[id]
	if o == nil {
		return
	}
	delete(c.open, id)
	delete(c.backends[o.backend].open, id)
}

// sendDue sends new orders whose intents are durable, and sends again what has
// not been answered, with the same id.
func (c *Core) sendDue(t *tick) {
	ids := make([]string, 0, len(c.open))
	for id := range c.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if o := c.open[id]; o != nil {
			c.sendIfDue(t, o)
		}
	}
}

func (c *Core) sendIfDue(t *tick, o *openOrder) {
	if o.attempts > 0 && t.now.Sub(o.sentAt) < c.answerTimeout(o) {
		return
	}
	if o.inFlight {
		o.inFlight = false
		o.uncertain = true
	}
	b := c.backends[o.backend]
	if !b.row.Fencing && o.order.Kind != engine.OrderRaiseEpoch && !c.canWriteIntents() {
		c.cancelUnsent(o) // a newer controller could not be told from none
		return
	}
	if o.isLoad() && !c.mayLoad(t, b, o) {
		return
	}
	if o.isLoad() && o.attempts == 0 && !o.inherited {
		c.assertLoad(b, o)
	}
	if o.order.Kind == engine.OrderRaiseEpoch {
		b.raiseSent = t.now
	}
	o.order.ExpiresAt = t.now.Add(c.cfg.OrderLifetime)
	o.sentAt = t.now
	o.attempts++
	o.inFlight = true
	t.effects.Orders = append(t.effects.Orders, SendOrder{
		Backend:    o.backend,
		Address:    b.row.Address,
		Order:      o.order,
		VerifyBoot: !b.row.Fencing && o.order.Kind != engine.OrderRaiseEpoch,
	})
}

// answerTimeout returns when an order is sent again. A raise changes nothing, so
// that it is repeated as often as reports are requested.
func (c *Core) answerTimeout(o *openOrder) time.Duration {
	if o.order.Kind == engine.OrderRaiseEpoch {
		return c.cfg.ReportInterval
	}
	return c.cfg.AnswerTimeout
}

// mayLoad reports whether a load order may leave now. One that has never left
// and may not leave any more is cancelled.
func (c *Core) mayLoad(t *tick, b *backend, o *openOrder) bool {
	if b.draining(c.stopping) {
		c.cancelUnsent(o)
		return false
	}
	if o.attempts > 0 || o.inherited {
		return true
	}
	if !c.stillAllowed(b, o) {
		c.cancelUnsent(o)
		return false
	}
	if !o.needsIntent || c.durable(o.order.ID) {
		return true
	}
	if !c.canWriteIntents() {
		c.cancelUnsent(o)
		return false
	}
	t.block(fleet.Target{Model: o.order.Model, Adapter: o.order.Adapter}, BlockedIntent)
	return false
}

// stillAllowed reports whether what was true when the order was made still is:
// other engines may have restarted and the release may have changed since.
func (c *Core) stillAllowed(b *backend, o *openOrder) bool {
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
		c.void(o)
	}
}

// void settles an order that did not and will not take effect.
func (c *Core) void(o *openOrder) {
	c.closeOrder(o.order.ID)
	if o.inherited {
		return // counted until its intent is settled
	}
	b := c.backends[o.backend]
	switch o.order.Kind {
	case engine.OrderLoad:
		if !o.replica.seen {
			c.removeReplica(b, o.replica)
		}
	case engine.OrderLoadAdapter:
		if !o.adapter.resident {
			c.removeAdapter(o.replica, o.order.Adapter, o.adapter)
		}
	case engine.OrderUnload:
		o.replica.state = fleet.ReplicaReady
	case engine.OrderUnloadAdapter:
		o.adapter.leaving = false
	}
}

// closeOrdersOf forgets the orders to a boot that is gone.
func (c *Core) closeOrdersOf(id fleet.BackendID) {
	for orderID := range c.backends[id].open {
		c.closeOrder(orderID)
	}
}

// HandleOrderResult takes in the end of one sending of an order.
func (c *Core) HandleOrderResult(now time.Time, res OrderResult) {
	if !c.inOffice {
		return
	}
	if res.Report != nil {
		c.handleReport(now, res.SentAt, *res.Report, true)
	}
	o := c.open[res.OrderID]
	if o == nil || o.backend != res.Backend {
		return
	}
	o.inFlight = false
	if res.Err == nil {
		c.accepted(o)
		return
	}
	c.refused(now, o, res.Err)
}

// accepted settles an order that an engine took. A load stays open until a
// report shows it or says that it was carried out.
func (c *Core) accepted(o *openOrder) {
	if o.isLoad() {
		o.uncertain = true
		return
	}
	c.closeOrder(o.order.ID)
}

func (c *Core) refused(now time.Time, o *openOrder, err error) {
	b := c.backends[o.backend]
	switch {
	case errors.Is(err, engine.ErrFenced):
		c.depose(c.epoch + 1)
	case errors.Is(err, engine.ErrWrongBoot):
		c.void(o)
		b.requestAt = time.Time{} // asks at once for the new boot
	case errors.Is(err, engine.ErrExpired) && !errors.Is(err, engine.ErrNotSent):
		c.void(o) // earlier sendings expired before this one
	case isRefusal(err) && !(o.uncertain && o.isLoad()):
		if o.order.Kind == engine.OrderLoad {
			b.avoid[o.order.Model] = now.Add(c.cfg.RetryDelay)
		}
		c.void(o)
	case !isRefusal(err):
		o.uncertain = true
	}
}

// isRefusal reports whether this sending did not take effect. An earlier one
// may have.
func isRefusal(err error) bool {
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

func (c *Core) durable(orderID string) bool {
	return slices.ContainsFunc(c.auth.Intents, func(i lease.Intent) bool { return i.OrderID == orderID })
}

// canWriteIntents reports whether the lease record can be written by this node.
func (c *Core) canWriteIntents() bool { return c.auth.StoreContact && c.auth.AdvanceRank == 0 }

// wanted returns what the lease record should hold.
func (c *Core) wanted() *lease.Wanted {
	w := &lease.Wanted{Rosters: c.rosters.wanted}
	for id, i := range c.inherited {
		if c.open[id] == nil {
			w.Intents = append(w.Intents, i.Intent)
		}
	}
	for _, o := range c.open {
		if o.needsIntent {
			w.Intents = append(w.Intents, c.intentOf(o))
		}
	}
	slices.SortFunc(w.Intents, compareIntents)
	return w
}

func (c *Core) intentOf(o *openOrder) lease.Intent {
	if i := c.inherited[o.order.ID]; i != nil {
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
