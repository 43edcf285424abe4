package front

import (
	"context"
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
	var live []string
	var led []*cell
	for _, c := range n.cells {
		if c.leadership.Holding(now) {
			led = append(led, c)
			live = append(live, c.zone)
		} else if n.peers.leaderAlive(now, c.zone) {
			live = append(live, c.zone)
		}
	}
	if len(led) == 0 {
		return
	}
	demand := append(n.waitList.Wants(now, n.table), n.peers.demand(now)...)
	changed := false
	for _, c := range led {
		for name, service := range table.Services {
			if service.Engine != nil && n.reconcileService(ctx, now, c, service, demandOf(demand, name), live) {
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
func (n *Node) reconcileService(ctx context.Context, now time.Time, c *cell, service *routes.Service, demand []waiting.Want, live []string) bool {
	core := c.loader(now, service.Name, n.settings)
	token, _ := c.leadership.Authority(now)
	effects := core.Tick(now, loader.Input{
		Engine:   service.Engine,
		Servers:  n.reachable(now, service.Name),
		Views:    func(id string) (replicas.View, bool) { return n.table.View(now, id) },
		Wants:    demand,
		Live:     live,
		Bid:      func(cell, name string) (float64, bool) { return n.loadCost(now, cell, service.Name, name) },
		Token:    token,
		MayOrder: func(id string) bool { return c.leadership.MayOrder(now, id) },
	})
	for _, o := range effects.Orders {
		c.token = o.Order.Token
		c.ordersInFlight++
		go n.sendOrder(ctx, c, core, o, now.Add(min(orderTimeout, c.leadership.ValidFor(now))))
	}
	for _, server := range effects.Reports {
		go n.requestReport(ctx, core, server)
	}
	for _, v := range core.Views(now) {
		n.table.SetView(now, v)
	}
	n.table.SetPlanned(now, c.zone+"/"+service.Name, core.Planned())
	return effects.Changed
}

// reachable returns the entries of a service's servers, without those that have
// been unreachable for long. The caller holds n.mu.
func (n *Node) reachable(now time.Time, service string) []replicas.Entry {
	return slices.DeleteFunc(n.entriesOf(service), func(e replicas.Entry) bool { return n.table.Lost(now, e.ID) })
}

// loadCost returns the newest estimated cost to load a model or adapter in
// another cell; false if there is no estimate. The caller holds n.mu.
func (n *Node) loadCost(now time.Time, zone, service, name string) (float64, bool) {
	for _, c := range n.cells {
		if c.zone == zone && c.leadership.Holding(now) {
			cost, known := c.loader(now, service, n.settings).Bids(now)[name]
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
		core = loader.New(now, loader.Settings{Holder: s.Node, Cell: c.zone, Cells: len(s.Zones)})
		c.loaders[service] = core
	}
	return core
}

// demandOf returns the part of the demand that is for a service.
func demandOf(demand []waiting.Want, service string) []waiting.Want {
	var own []waiting.Want
	for _, w := range demand {
		if w.Service == service {
			own = append(own, w)
		}
	}
	return own
}

// sendOrder sends an order. No part of it leaves this node after the time until.
func (n *Node) sendOrder(ctx context.Context, c *cell, core *loader.Core, o loader.Outgoing, until time.Time) {
	ctx, cancel := context.WithTimeout(withWriteDeadline(ctx, until), until.Sub(bootclock.Now()))
	defer cancel()
	result, err := platform.SendOrder(ctx, n.serverClients.orderClient, o.Server.Address, o.Order)
	level.Info(n.log).Log("event", "order", "cell", c.zone, "server", o.Order.Replica, "unload", o.Order.Unload, "model", o.Order.Model,
		"adapter", o.Order.Adapter, "after", o.Order.After, "token", o.Order.Token, "reason", o.Reason, "from_store", o.Store,
		"result", result, "err", err)
	n.metrics.Order(orderKind(o.Order), result.String())
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	c.ordersInFlight--
	c.lastOrderDone[o.Order.Replica] = now
	core.OrderDone(now, o.Order, o.Server.Start, result)
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
	r, err := platform.Report(ctx, n.serverClients.orderClient, server.Address, server.ID)
	if err != nil {
		level.Warn(n.log).Log("event", "report_failed", "server", server.ID, "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	core.Reported(bootclock.Now(), server.ID, server.Start, r, err)
}

// statusesToPublish returns the server statuses that have changed since they were
// last sent. In periodic messages it adds some unchanged ones in rotation, so
// that each is sent once per statusRepublishPeriod. The caller holds n.mu.
func (n *Node) statusesToPublish(now time.Time, periodic bool) []replicas.View {
	var statuses, unchanged []replicas.View
	for _, c := range n.cells {
		if !c.leadership.Holding(now) {
			continue
		}
		for _, core := range c.loaders {
			for _, v := range core.Views(now) {
				if v.Loading != "" {
					v.LoadInMS = v.LoadEnds.Sub(now).Milliseconds()
				}
				before := n.publishedStatus[v.ID]
				before.LoadEnds, before.LoadInMS = v.LoadEnds, v.LoadInMS
				if reflect.DeepEqual(before, v) {
					unchanged = append(unchanged, v)
					continue
				}
				n.publishedStatus[v.ID] = v
				statuses = append(statuses, v)
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

// arrived reports requests that arrived at any node to the loaders of all cells,
// because this node may become the leader of any of them. The caller holds n.mu.
func (n *Node) arrived(now time.Time, key arrivalKey, count int) {
	for _, c := range n.cells {
		c.loader(now, key.service, n.settings).Arrived(now, key.model, key.adapter, key.fast, count)
	}
}

// fetchDesired reads the desired state from the store because another node has a
// newer version in force. The caller holds n.mu.
func (n *Node) fetchDesired(version uint64) {
	if version == 0 || n.fetchingDesired {
		return
	}
	n.fetchingDesired = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		object, err := n.store.Get(ctx, platform.KindConfig, platform.ConfigName)
		if err != nil {
			level.Warn(n.log).Log("event", "desired_state_unread", "version", version, "err", err)
			time.Sleep(storeRetryDelay)
		} else {
			n.setDesired(object)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.fetchingDesired = false
	}()
}
