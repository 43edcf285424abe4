package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
)

// orderTimeout is the timeout of one order or report request to an engine.
const orderTimeout = 2 * time.Second

// applyEffects sends the orders and report requests of the controller and passes its
// other effects to the lease.
func (c *cell) applyEffects(ctx context.Context, now time.Time, effects controller.Effects) {
	n := c.node
	if effects.Wanted != nil {
		n.leaseLoop.setDesired(now, *effects.Wanted)
	}
	if effects.Deposed != 0 {
		n.leaseLoop.handleHigherEpoch(now, effects.Deposed)
	}
	c.recordBlocked(now, effects.Blocked)
	for _, order := range effects.Orders {
		n.background.Go(func() { c.sendOrder(ctx, now, order) })
	}
	for _, request := range effects.Reports {
		n.background.Go(func() { c.requestReport(ctx, now, request) })
	}
}

// blockedLogInterval is the minimum time between two logs of the blocked targets.
const blockedLogInterval = 5 * time.Second

// recordBlocked stores why requested targets are not being loaded and logs it.
func (c *cell) recordBlocked(now time.Time, blocked []controller.Blocked) {
	c.mu.Lock()
	c.blocked = blocked
	c.mu.Unlock()
	if len(blocked) == 0 || now.Sub(c.blockedLoggedAt) < blockedLogInterval {
		return
	}
	c.blockedLoggedAt = now
	for _, b := range blocked {
		level.Info(c.node.cfg.Log).Log("event", "load_blocked", "target", b.Target, "reason", b.Reason)
	}
}

// sendOrder sends an order and passes its result to the controller. sentAt is the
// time of the controller's tick that returned the order.
func (c *cell) sendOrder(ctx context.Context, sentAt time.Time, o controller.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.callEngine(ctx, o)
	result := controller.OrderResult{OrderID: o.Order.ID, Backend: o.Backend, SentAt: sentAt, Err: err}
	outcome := "ok"
	if err == nil {
		result.Report = &report
	} else {
		outcome = "failed"
	}
	c.node.cfg.Metrics.Order(string(o.Order.Kind), outcome)
	level.Info(c.node.cfg.Log).Log("event", "order", "kind", o.Order.Kind, "backend", o.Backend, "model", o.Order.Model,
		"adapter", o.Order.Adapter, "epoch", o.Order.Epoch, "order", o.Order.ID, "result", outcome, "err", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.HandleOrderResult(time.Now(), result)
}

// callEngine sends an order. If the engine does not check the boot id in the order,
// the client verifies it.
func (c *cell) callEngine(ctx context.Context, o controller.SendOrder) (engine.Report, error) {
	client := c.node.backends.engine(o.Address)
	if o.VerifyBoot {
		return client.OrderAtBoot(ctx, o.Order)
	}
	return client.Order(ctx, o.Order)
}

// requestReport requests a report from an engine and passes it to the controller.
// A failed request is only logged.
func (c *cell) requestReport(ctx context.Context, requestedAt time.Time, r controller.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.node.backends.engine(r.Address).Report(ctx)
	if err != nil {
		level.Debug(c.node.cfg.Log).Log("event", "report_failed", "backend", r.Backend, "err", err)
		return
	}
	c.handleReport(requestedAt, report)
}
