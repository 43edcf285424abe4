package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
)

// orderTimeout bounds one call to an engine that is no inference.
const orderTimeout = 2 * time.Second

// carryOut sends what the controller asks for.
func (c *cell) carryOut(ctx context.Context, now time.Time, effects controller.Effects) {
	n := c.node
	if effects.Wanted != nil {
		n.office.setWanted(now, *effects.Wanted)
	}
	if effects.Deposed != 0 {
		n.office.deposed(now, effects.Deposed)
	}
	c.noteBlocked(now, effects.Blocked)
	for _, order := range effects.Orders {
		n.background.Go(func() { c.sendOrder(ctx, now, order) })
	}
	for _, request := range effects.Reports {
		n.background.Go(func() { c.requestReport(ctx, now, request) })
	}
}

// blockedLogInterval is the least time between two log lines of blocked targets.
const blockedLogInterval = 5 * time.Second

// noteBlocked logs why targets that are asked for are not being loaded.
func (c *cell) noteBlocked(now time.Time, blocked []controller.Blocked) {
	c.mu.Lock()
	c.blocked = blocked
	c.mu.Unlock()
	if len(blocked) == 0 || now.Sub(c.blockedLogged) < blockedLogInterval {
		return
	}
	c.blockedLogged = now
	for _, b := range blocked {
		level.Info(c.node.cfg.Log).Log("event", "load_blocked", "target", b.Target, "reason", b.Reason)
	}
}

func (c *cell) sendOrder(ctx context.Context, sentAt time.Time, o controller.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.orderOn(ctx, o)
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

// orderOn sends an order, to the boot that it names if the engine does not check
// boots itself.
func (c *cell) orderOn(ctx context.Context, o controller.SendOrder) (engine.Report, error) {
	client := c.node.backends.engine(o.Address)
	if o.VerifyBoot {
		return client.OrderAtBoot(ctx, o.Order)
	}
	return client.Order(ctx, o.Order)
}

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
