package front

import (
	"context"
	"errors"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/internal/bootclock"
	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// reconcileLoads runs the loaders of the cells that this node leads. The caller
// holds n.mu.
func (n *Node) reconcileLoads(ctx context.Context, now time.Time) {
	table := n.desired.Load()
	if table == nil {
		return
	}
	var liveCells []string
	var led []*cell
	for _, c := range n.cells {
		if c.leadership.Leading(now) {
			led = append(led, c)
			liveCells = append(liveCells, c.zone)
		} else if n.peers.leaderAlive(now, c.zone) {
			liveCells = append(liveCells, c.zone)
		}
	}
	if len(led) == 0 {
		return
	}
	demand := append(n.queue.Demand(now, n.table), n.peers.demand(now)...)
	changed := false
	for _, c := range led {
		for name, service := range table.Services {
			if service.Engine != nil && n.reconcileService(ctx, now, c, service, demandOf(demand, name), liveCells) {
				changed = true
			}
		}
	}
	if changed {
		n.dispatchWaiting(now)
		n.publish(now, sendAllNow)
	}
}

// reconcileService runs the loader of one service in a cell, starts the orders
// and report requests that it asks for, and reports whether server statuses
// changed that other nodes have to receive at once. The caller holds n.mu.
func (n *Node) reconcileService(ctx context.Context, now time.Time, c *cell, service *routes.Service, demand []waiting.ModelDemand, liveCells []string) bool {
	core := c.loader(now, service.Name, n.settings)
	token, _ := c.leadership.Authority(now)
	effects := core.Tick(now, loader.Input{
		Engine:         service.Engine,
		Servers:        n.reachable(now, service.Name),
		ServerStatuses: func(id string) (replicas.ServerStatus, bool) { return n.table.ServerStatus(now, id) },
		Demand:         demand,
		LiveCells:      liveCells,
		LoadCost:       func(cell, name string) (float64, bool) { return n.loadCost(now, cell, service.Name, name) },
		Token:          token,
		CopyRate:       n.copyRate(service),
		MayOrder:       func(id string) bool { return c.leadership.MayOrder(now, id) && !n.table.Paused(now, id) },
	})
	for _, o := range effects.Orders {
		c.leadership.OrderSent(o.Order.ServerID, o.Order.Token)
		go n.sendOrder(ctx, c, core, o, now.Add(min(orderTimeout, c.leadership.ValidFor(now))))
	}
	for _, server := range effects.ReportRequests {
		if n.table.Paused(now, server.ID) {
			core.HandleReport(now, server.ID, server.Start, replicas.Report{}, errServerPaused)
			continue
		}
		go n.requestReport(ctx, core, server)
	}
	for _, status := range core.ServerStatuses(now) {
		n.table.SetServerStatus(now, status)
	}
	n.table.SetPlanned(now, c.zone+"/"+service.Name, core.ExpectedReady())
	return effects.Changed
}

// errServerPaused means that a server wants no requests now.
var errServerPaused = errors.New("the server turns requests away")

// reachable returns the entries of a service's servers, without those that have
// been unreachable for long. The caller holds n.mu.
func (n *Node) reachable(now time.Time, service string) []replicas.Entry {
	return slices.DeleteFunc(n.entriesOf(service), func(e replicas.Entry) bool { return n.table.Disconnected(now, e.ID) })
}

// loadCost returns the newest estimated cost to load a model or adapter in
// another cell; false if there is no estimate. The caller holds n.mu.
func (n *Node) loadCost(now time.Time, zone, service, name string) (float64, bool) {
	for _, c := range n.cells {
		if c.zone == zone && c.leadership.Leading(now) {
			cost, known := c.loader(now, service, n.settings).LoadCosts(now)[name]
			return cost, known
		}
	}
	return n.peers.loadCost(now, zone, service, name)
}

// loader returns the cell's loader of a service, which is created if there is
// none.
func (c *cell) loader(now time.Time, service string, s platform.Settings) *loader.Core {
	core := c.loaders[service]
	if core == nil {
		core = loader.New(now, loader.Settings{Leader: s.Node, Cell: c.zone, Cells: len(s.Zones)})
		c.loaders[service] = core
	}
	return core
}

// demandOf returns the part of the demand that is for a service.
func demandOf(demand []waiting.ModelDemand, service string) []waiting.ModelDemand {
	var own []waiting.ModelDemand
	for _, d := range demand {
		if d.Service == service {
			own = append(own, d)
		}
	}
	return own
}

// sendOrder sends an order. No part of it leaves this node after the time until.
func (n *Node) sendOrder(ctx context.Context, c *cell, core *loader.Core, o loader.OutgoingOrder, until time.Time) {
	sent := bootclock.Now()
	ctx, cancel := context.WithTimeout(withWriteDeadline(ctx, until), until.Sub(sent))
	defer cancel()
	result, reply, err := platform.SendOrder(ctx, n.serverClients.orderClient, o.Server.Address, o.Order)
	n.recordReply(o.Server, reply)
	now := bootclock.Now()
	level.Info(n.log).Log("event", "order", "cell", c.zone, "server", o.Order.ServerID, "unload", o.Order.Unload, "model", o.Order.Model,
		"adapter", o.Order.Adapter, "after", o.Order.After, "token", o.Order.Token, "reason", o.Reason, "from_store", o.UsesStore,
		"result", result, "took_ms", now.Sub(sent).Milliseconds(), "send_limit_ms", until.Sub(sent).Milliseconds(), "err", err)
	n.metrics.Order(orderKind(o.Order), result.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	c.leadership.OrderEnded(now, o.Order.ServerID, o.Order.Token)
	core.HandleOrderResult(now, o.Order, o.Server.Start, result)
}

// orderKind returns the order's kind as the metrics name it.
func orderKind(o replicas.Order) string {
	switch {
	case o.Adapter != "" && o.Unload:
		return "unload_adapter"
	case o.Adapter != "":
		return "load_adapter"
	case o.Unload:
		return "unload"
	}
	return "load"
}

// requestReport asks a server for its report and hands it to the loader.
func (n *Node) requestReport(ctx context.Context, core *loader.Core, server replicas.Entry) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, reply, err := platform.Report(ctx, n.serverClients.client(server), server.Address, server.ID)
	n.recordReply(server, reply)
	if err != nil {
		level.Warn(n.log).Log("event", "report_failed", "server", server.ID, "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	core.HandleReport(bootclock.Now(), server.ID, server.Start, r, err)
}

// publishedStatus is a server status as this node last sent it.
type publishedStatus struct {
	token  uint64 // fencing token of the leadership with which it was sent
	status replicas.ServerStatus
}

// statusesToPublish returns the server statuses that have changed since they were
// last sent, and those not sent since this node acquired the leadership, as another
// leader may have sent others. In periodic messages it adds some unchanged ones in
// rotation, so that each is sent once per statusRepublishPeriod. The caller holds n.mu.
func (n *Node) statusesToPublish(now time.Time, periodic bool) []replicas.ServerStatus {
	var statuses, unchanged []replicas.ServerStatus
	for _, c := range n.cells {
		if !c.leadership.Leading(now) {
			continue
		}
		for _, core := range c.loaders {
			for _, status := range core.ServerStatuses(now) {
				if status.Loading != "" {
					status.LoadInMS = status.LoadEnds.Sub(now).Milliseconds()
				}
				sent := publishedStatus{token: c.leadership.Token(), status: status}
				before := n.publishedStatus[status.ID]
				before.status.LoadEnds, before.status.LoadInMS = status.LoadEnds, status.LoadInMS
				if reflect.DeepEqual(before, sent) {
					unchanged = append(unchanged, status)
					continue
				}
				n.publishedStatus[status.ID] = sent
				statuses = append(statuses, status)
			}
		}
	}
	again := 0
	if periodic {
		again = int(math.Ceil(float64(len(unchanged)) * float64(n.peers.sendInterval()) / float64(statusRepublishPeriod)))
	}
	for range again {
		n.nextRepublished++
		statuses = append(statuses, unchanged[n.nextRepublished%len(unchanged)])
	}
	return statuses
}

// countArrival counts a request that arrived at this node.
func (n *Node) countArrival(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retryBudget(x.arrived, x.service).AddRequest(x.arrived)
	if x.params.Model == "" {
		return
	}
	key := arrivalKey{x.service, x.params.Model, x.params.Adapter, x.fast()}
	c := n.arrivals[key]
	if c == nil {
		c = &arrivalCount{}
		n.arrivals[key] = c
	}
	c.count++
	c.at = x.arrived
	n.arrived(x.arrived, key, 1)
}

// arrived passes requests that arrived at any node to the loaders of all
// cells, because this node may become the leader of any of them. The caller holds
// n.mu.
func (n *Node) arrived(now time.Time, key arrivalKey, count int) {
	for _, c := range n.cells {
		c.loader(now, key.service, n.settings).CountRequests(now, key.model, key.adapter, key.fast, count)
	}
}
