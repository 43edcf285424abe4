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

// tendLoads lets the loaders of the cells that this node holds decide. n.mu is held.
func (n *Node) tendLoads(ctx context.Context, now time.Time) {
	table := n.desired.Load()
	if table == nil {
		return
	}
	var live []string
	var held []*cell
	for _, c := range n.cells {
		if c.tenure.Holding(now) {
			held = append(held, c)
			live = append(live, c.zone)
		} else if n.peers.holderAlive(now, c.zone) {
			live = append(live, c.zone)
		}
	}
	if len(held) == 0 {
		return
	}
	wants := append(n.list.Wants(now, n.table), n.peers.wants(now)...)
	changed := false
	for _, c := range held {
		for name, service := range table.Services {
			if service.Engine != nil && n.tendLoader(ctx, now, c, service, wantsOf(wants, name), live) {
				changed = true
			}
		}
	}
	if changed {
		n.pump(now)
		n.tell(now, allAtOnce)
	}
}

// tendLoader lets the loader of one service in a cell decide, and reports whether
// anything changed. n.mu is held.
func (n *Node) tendLoader(ctx context.Context, now time.Time, c *cell, service *routes.Service, wants []waiting.Want, live []string) bool {
	core := c.loader(now, service.Name, n.settings)
	token, _ := c.tenure.Authority(now)
	effects := core.Tick(now, loader.Input{
		Engine:   service.Engine,
		Servers:  n.reachable(now, service.Name),
		Views:    func(id string) (replicas.View, bool) { return n.table.View(now, id) },
		Wants:    wants,
		Live:     live,
		Bid:      func(cell, name string) (float64, bool) { return n.bid(now, cell, service.Name, name) },
		Token:    token,
		MayOrder: func(id string) bool { return c.tenure.MayOrder(now, id) },
	})
	for _, o := range effects.Orders {
		c.token = o.Order.Token
		c.ordering++
		go n.order(ctx, c, core, o, now.Add(min(orderTimeout, c.tenure.ValidFor(now))))
	}
	for _, server := range effects.Reports {
		go n.report(ctx, core, server)
	}
	for _, v := range core.Views(now) {
		n.table.SetView(now, v)
	}
	n.table.SetPlanned(now, c.zone+"/"+service.Name, core.Planned())
	return effects.Changed
}

// reachable returns the entries of a service's servers but for those that can't
// be reached. n.mu is held.
func (n *Node) reachable(now time.Time, service string) []replicas.Entry {
	return slices.DeleteFunc(n.entriesOf(service), func(e replicas.Entry) bool { return n.table.Lost(now, e.ID) })
}

// bid returns the newest bid of another cell for a model or adapter. n.mu is held.
func (n *Node) bid(now time.Time, zone, service, name string) (float64, bool) {
	for _, c := range n.cells {
		if c.zone == zone && c.tenure.Holding(now) {
			cost, told := c.loader(now, service, n.settings).Bids(now)[name]
			return cost, told
		}
	}
	return n.peers.bid(now, zone, service, name)
}

// loader returns the cell's loader of a service.
func (c *cell) loader(now time.Time, service string, s platform.Settings) *loader.Core {
	core := c.loaders[service]
	if core == nil {
		core = loader.New(now, loader.Settings{Holder: s.Node, Cell: c.zone, Cells: len(s.Zones)})
		c.loaders[service] = core
	}
	return core
}

func wantsOf(wants []waiting.Want, service string) []waiting.Want {
	var own []waiting.Want
	for _, w := range wants {
		if w.Service == service {
			own = append(own, w)
		}
	}
	return own
}

// order sends an order. Nothing of it leaves this node after the time until.
func (n *Node) order(ctx context.Context, c *cell, core *loader.Core, o loader.Outgoing, until time.Time) {
	ctx, cancel := context.WithTimeout(withWriteLimit(ctx, until), until.Sub(bootclock.Now()))
	defer cancel()
	result, err := platform.SendOrder(ctx, n.links.orders, o.Server.Address, o.Order)
	level.Info(n.log).Log("event", "order", "cell", c.zone, "server", o.Order.Replica, "unload", o.Order.Unload, "model", o.Order.Model,
		"adapter", o.Order.Adapter, "after", o.Order.After, "token", o.Order.Token, "reason", o.Reason, "from_store", o.Store,
		"result", result, "err", err)
	n.metrics.Order(orderKind(o.Order), result.String())
	now := bootclock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	c.ordering--
	c.ordered[o.Order.Replica] = now
	core.OrderDone(now, o.Order, o.Server.Start, result)
}

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

func (n *Node) report(ctx context.Context, core *loader.Core, server replicas.Entry) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := platform.Report(ctx, n.links.orders, server.Address, server.ID)
	if err != nil {
		level.Warn(n.log).Log("event", "report_failed", "server", server.ID, "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	core.Reported(bootclock.Now(), server.ID, server.Start, r, err)
}

// viewsToTell returns views that have changed since they were told, and in
// regular messages some others in turn. n.mu is held.
func (n *Node) viewsToTell(now time.Time, regular bool) []replicas.View {
	var views, unchanged []replicas.View
	for _, c := range n.cells {
		if !c.tenure.Holding(now) {
			continue
		}
		for _, core := range c.loaders {
			for _, v := range core.Views(now) {
				if v.Loading != "" {
					v.LoadInMS = v.LoadEnds.Sub(now).Milliseconds()
				}
				before := n.told[v.ID]
				before.LoadEnds, before.LoadInMS = v.LoadEnds, v.LoadInMS
				if reflect.DeepEqual(before, v) {
					unchanged = append(unchanged, v)
					continue
				}
				n.told[v.ID] = v
				views = append(views, v)
			}
		}
	}
	again := 0
	if regular {
		again = int(math.Ceil(float64(len(unchanged)) * float64(n.peers.tellEvery()) / float64(viewsRound)))
	}
	for range again {
		n.toldNext++
		views = append(views, unchanged[n.toldNext%len(unchanged)])
	}
	return views
}

// countArrival counts a request that came to this node.
func (n *Node) countArrival(x *exchange) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget(x.arrived, x.service).Request(x.arrived)
	if x.terms.Model == "" {
		return
	}
	key := arrivalKey{x.service, x.terms.Model, x.terms.Adapter, x.fast()}
	c := n.arrivals[key]
	if c == nil {
		c = &arrivalCount{}
		n.arrivals[key] = c
	}
	c.count++
	c.at = x.arrived
	n.arrived(x.arrived, key, 1)
}

// arrived tells the loaders of requests at any node, also those of cells that
// this node does not hold, as it may hold them next. n.mu is held.
func (n *Node) arrived(now time.Time, key arrivalKey, count int) {
	for _, c := range n.cells {
		c.loader(now, key.service, n.settings).Arrived(now, key.model, key.adapter, key.fast, count)
	}
}

// desiredNews fetches a desired state that another node has in force already.
// n.mu is held.
func (n *Node) desiredNews(version uint64) {
	if version == 0 || n.fetching {
		return
	}
	n.fetching = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		object, err := n.store.Get(ctx, platform.KindConfig, platform.ConfigName)
		if err != nil {
			level.Warn(n.log).Log("event", "desired_state_unread", "version", version, "err", err)
			time.Sleep(storePause)
		} else {
			n.setDesired(object)
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.fetching = false
	}()
}
