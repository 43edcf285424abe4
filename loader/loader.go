// Package loader decides which models and adapters the backend servers of a
// service hold: it loads what requests wait for, keeps enough copies of what is
// asked for often, and copies what no server has to disks while the weight store
// is idle. A server's state is what its reports say as of a number of accepted
// orders; each order names that number, so that an order that arrives late or
// twice is void, and a server is never ordered to hold more than it can.
//
// Core is free of I/O, has no clock and is not safe for concurrent use.
package loader

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/loadbudget"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Times of the loader.
const (
	reportLag      = 250 * time.Millisecond // a report's age, and the time until the next
	reportEvery    = 4 * time.Second        // reports of servers without an order
	reportBusy     = 150 * time.Millisecond // reports of a server whose order should be complete
	reportRetry    = 600 * time.Millisecond // after a report that failed
	reportTimeout  = 1200 * time.Millisecond
	unloadTime     = 300 * time.Millisecond // usual time until an unloaded model is seen gone
	announceAhead  = 25 * time.Millisecond  // other nodes learn of an unload before it is ordered
	unloadDone     = 60 * time.Millisecond  // until an unload without running requests is done
	loadSlack      = 40 * time.Millisecond  // beyond the usual time of a load
	reportSettled  = 500 * time.Millisecond // after an order's expected end: reports before may be older than it
	adapterTime    = 15 * time.Millisecond  // usual time until an adapter is ready
	orderTimeout   = 3 * time.Second        // an order whose result is not told is given up after this
	settleFor      = 2 * time.Second        // a model that was just loaded is not unloaded for this long
	unknownFor     = 2 * time.Second        // after the start during which reports are awaited before loading for later
	conflictPause  = 100 * time.Millisecond // after a refused order
	adaptersAtOnce = 16                     // adapters on their way from the weight store
)

// Settings are the terms of a loader.
type Settings struct {
	Holder string // named in orders
	Cell   string // availability zone whose servers it orders
	Cells  int    // of the deployment: each has the same share of the weight store's rate
}

// Input is what a tick rests on.
type Input struct {
	Engine  *routes.Engine
	Servers []replicas.Entry // of the service, in all cells
	Views   func(id string) (replicas.View, bool)
	Wants   []waiting.Want
	Live    []string // cells that have a loader now, this one included
	// Bid returns the newest bid of another cell.
	Bid   func(cell, name string) (float64, bool)
	Token uint64
	// MayOrder reports whether this node may order a server now.
	MayOrder func(id string) bool
}

// Effects are what the caller carries out.
type Effects struct {
	Orders  []Outgoing
	Reports []replicas.Entry // servers to be asked for a report
	Changed bool             // views have changed: other nodes are to be told at once
}

// Outgoing is an order and the server it goes to.
type Outgoing struct {
	Order  replicas.Order
	Server replicas.Entry
	Reason string // for the log
	Store  bool   // it draws on the weight store
}

// Core is the loader of one service.
type Core struct {
	settings Settings
	engine   *routes.Engine
	servers  map[string]*server
	demand   demand
	budget   *loadbudget.Budget
	atOnce   int                  // loads from the weight store side by side that run at full speed, as learnt
	planned  map[string]time.Time // when models that wait for the weight store are expected
	began    time.Time
	input    Input
	bids     map[string]bid // by model or model/adapter
	effects  Effects
}

// New returns the loader of a service with engines.
func New(now time.Time, s Settings) *Core {
	return &Core{settings: s, servers: map[string]*server{}, demand: newDemand(), began: now, bids: map[string]bid{}, atOnce: atOnceFirst}
}

// Arrived counts requests for a model that came to any node. Fast ones have an
// objective shorter than a load.
func (c *Core) Arrived(now time.Time, model, adapter string, fast bool, n int) {
	c.demand.arrived(now, model, adapter != "", fast, n)
	if adapter == "" {
		return
	}
	for _, s := range c.servers {
		if r := s.holds[model]; r != nil {
			if _, loaded := r.adapters[adapter]; loaded {
				r.adapters[adapter] = now
			}
		}
	}
}

// Restart forgets what servers hold and what was ordered, as another node may
// have ordered since. What is asked for is kept.
func (c *Core) Restart(now time.Time) {
	c.servers = map[string]*server{}
	c.budget = nil
	c.began = now
}

// Tick decides what is to be done.
func (c *Core) Tick(now time.Time, in Input) Effects {
	c.effects = Effects{}
	c.input, c.engine = in, in.Engine
	if c.budget == nil {
		c.budget = loadbudget.New(now, loadbudget.Settings{
			LoadsPerSecond: c.engine.LoadsPerSecond, LoadsInFlight: atOnceMost, AdaptersInFlight: adaptersAtOnce,
		})
		// The cells do not count together how many loads begin in a second.
		c.budget.SetShare(now, 1/float64(max(1, c.settings.Cells)))
	}
	c.sync(now, in)
	for _, s := range c.ordered() {
		c.expire(now, s)
	}
	c.planWanted(now, in.Wants)
	c.planCopies(now)
	if now.Sub(c.began) > unknownFor || c.allKnown() {
		c.planAhead(now)
	}
	for _, s := range c.ordered() {
		c.advance(now, s, in.Token)
	}
	c.orderAdapters(now, in.Wants, in.Token)
	for _, s := range c.ordered() {
		c.askReport(now, s)
	}
	return c.effects
}

// Views returns what other nodes are told of each server of the cell whose state
// is known.
func (c *Core) Views(now time.Time) []replicas.View {
	var views []replicas.View
	for _, s := range c.ordered() {
		if s.mine && s.known {
			views = append(views, s.view(now, c.engine))
		}
	}
	return views
}

func (c *Core) ordered() []*server {
	ids := slices.Sorted(maps.Keys(c.servers))
	servers := make([]*server, len(ids))
	for i, id := range ids {
		servers[i] = c.servers[id]
	}
	return servers
}

// sync takes over the servers listed. One that started anew is a new one.
func (c *Core) sync(now time.Time, in Input) {
	listed := map[string]bool{}
	for _, e := range in.Servers {
		listed[e.ID] = true
		s := c.servers[e.ID]
		if s == nil || s.entry.Start != e.Start || s.entry.Address != e.Address {
			c.forget(s)
			s = newServer(e)
			c.servers[e.ID] = s
		}
		s.entry, s.mine = e, e.Zone == c.settings.Cell
		if !s.mine {
			v, told := in.Views(e.ID)
			s.setForeign(now, v, told && v.Start == e.Start)
			continue
		}
		if !s.known {
			s.inMemory, s.onDisk = e.InMemory, e.OnDisk
		}
		if e.Draining {
			s.plan = nil
		}
	}
	for id, s := range c.servers {
		if !listed[id] {
			c.forget(s)
			delete(c.servers, id)
		}
	}
}

func (c *Core) forget(s *server) {
	if s != nil && s.order != nil {
		c.endOrder(s)
	}
}

func (c *Core) allKnown() bool {
	for _, s := range c.servers {
		if s.mine && !s.known && !s.entry.Draining {
			return false
		}
	}
	return len(c.servers) > 0
}

func (c *Core) askReport(now time.Time, s *server) {
	if !s.mine || s.asked || now.Before(s.reportDue) || s.entry.Draining {
		return
	}
	s.asked = true
	s.reportDue = now.Add(reportTimeout)
	c.effects.Reports = append(c.effects.Reports, s.entry)
}

// Reported takes the report of a server's start.
func (c *Core) Reported(now time.Time, id string, start int64, r replicas.Report, err error) {
	s := c.servers[id]
	if s == nil || s.entry.Start != start {
		return
	}
	s.asked = false
	if err != nil {
		s.reportDue = now.Add(reportRetry)
		return
	}
	s.reportDue = now.Add(reportEvery)
	if r.Start != 0 && s.entry.Start != 0 && r.Start != s.entry.Start {
		return // the entry of the new start is on its way
	}
	s.running = r.Running
	if r.Orders < s.orders {
		s.reportDue = now.Add(reportBusy) // as old as an order's answer
		return
	}
	if s.order != nil && !s.order.answered {
		if r.Orders <= s.order.order.After {
			return // the order's answer is awaited; it may still be carried out
		}
		s.order.answered, s.orders = true, r.Orders // its answer was lost
	}
	if r.Busy {
		s.reportDue = now.Add(reportBusy)
		if s.order != nil && s.order.answered && now.Before(s.order.due) {
			s.reportDue = s.order.due
		}
		if !s.known || s.order != nil {
			return
		}
	}
	if s.order != nil {
		c.learnSpeed(now, s.order)
		c.endOrder(s)
	}
	s.unsettled = nil
	if !s.known || r.Orders != s.orders || !sameHolds(s.holds, r.Holds) {
		c.effects.Changed = true
	}
	s.known, s.orders = !r.Busy, r.Orders
	s.setHolds(now, r.Holds)
	s.addArriving(now, r.Arriving)
	s.inMemory, s.onDisk = r.InMemory, r.OnDisk
}

func sameHolds(have map[string]*resident, hs []replicas.Holding) bool {
	if len(have) != len(hs) {
		return false
	}
	for _, h := range hs {
		r := have[h.Model]
		if r == nil || len(r.adapters) != len(h.Adapters) {
			return false
		}
	}
	return true
}

func (c *Core) endOrder(s *server) {
	o := s.order
	s.order = nil
	if o.store {
		c.budget.EndLoad(orderID(o.order))
	}
}

func orderID(o replicas.Order) string { return o.Replica + "/" + o.Model }

// OrderDone takes the answer to an order.
func (c *Core) OrderDone(now time.Time, o replicas.Order, start int64, result replicas.OrderResult) {
	s := c.servers[o.Replica]
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
		s.orders = o.After + 1
		s.order.answered = true
		s.unsettled = nil
		s.reportDue = s.order.due
		if o.Unload {
			s.order.due = now.Add(unloadDone)
		}
		if !s.order.store {
			s.reportDue = s.order.due.Add(reportSettled)
		}
	case replicas.OrderUnknown:
		// It may be carried out later, unless another order that names the same
		// number of orders before it is accepted first: it is sent again.
		c.endOrder(s)
		s.reportDue = now
	default:
		c.refusedOrder(now, s)
	}
}

// refusedOrder handles a server that did not take an order: an earlier one is
// not done yet, or the server's state is not what it was taken for.
func (c *Core) refusedOrder(now time.Time, s *server) {
	c.endOrder(s)
	s.reportDue = now.Add(conflictPause)
	if s.unsettled == nil {
		s.known = false
		return
	}
	s.order, s.unsettled = s.unsettled, nil
	s.order.late = true
}

// expire gives up waiting for the answer to an order. Another order with the
// same number of orders before it makes the first one void if it is accepted.
func (c *Core) expire(now time.Time, s *server) {
	if s.order != nil && !s.order.answered && now.Sub(s.order.begun) > orderTimeout {
		c.endOrder(s)
	}
	if s.order == nil || !s.order.answered || now.Before(s.order.due) {
		return
	}
	if s.order.order.Adapter != "" {
		s.order = nil
		c.effects.Changed = true
		return
	}
	if !s.order.store && !s.order.late {
		c.takeAsDone(now, s)
	}
}

// takeAsDone takes an order as complete when it should be, before a report can
// say so. A server that is not done yet refuses the next order, and is then
// asked.
func (c *Core) takeAsDone(now time.Time, s *server) {
	o := s.order.order
	if o.Unload {
		delete(s.holds, o.Model)
	} else {
		s.holds[o.Model] = &resident{adapters: map[string]time.Time{}, since: now}
		s.inMemory, s.onDisk = with(s.inMemory, o.Model), with(s.onDisk, o.Model)
	}
	s.unsettled = s.order
	c.endOrder(s)
	s.reportDue = now.Add(reportSettled)
	c.effects.Changed = true
}

func with(models []string, model string) []string {
	if slices.Contains(models, model) {
		return models
	}
	return append(slices.Clone(models), model)
}

// advance takes the next step of a server's plan.
func (c *Core) advance(now time.Time, s *server, token uint64) {
	p := s.plan
	if p == nil || !s.idle() || !c.input.MayOrder(s.entry.ID) {
		return
	}
	m := c.engine.Model(p.model)
	if m == nil || s.holds[p.model] != nil {
		s.plan = nil
		c.effects.Changed = true
		return
	}
	for len(p.victims) > 0 && s.holds[p.victims[0]] == nil {
		p.victims, p.announce = p.victims[1:], time.Time{}
	}
	if len(p.victims) > 0 {
		c.unloadVictim(now, s, token)
		return
	}
	if s.usedMB(c.engine)+m.WeightsMB > c.engine.WeightsMB {
		s.plan = nil // an adapter took the room
		return
	}
	store := s.placeOf(p.model) == fromStore
	if store && !c.storeFree(now) {
		return
	}
	o := replicas.Order{Replica: s.entry.ID, Model: p.model, After: s.orders, Holder: c.settings.Holder, Token: token}
	if store {
		c.budget.StartLoad(now, orderID(o))
	}
	due := now.Add(loadTime(m, s.placeOf(p.model)) + loadSlack)
	reason := "ahead"
	if p.urgent {
		reason = "waited_for"
	}
	s.plan = nil
	running, planned := c.storeLoads()
	c.send(s, &sentOrder{order: o, store: store, begun: now, due: due, beside: running + planned}, reason)
}

// unloadVictim announces that a model leaves, and orders it once the other
// nodes can know.
func (c *Core) unloadVictim(now time.Time, s *server, token uint64) {
	p := s.plan
	if p.announce.IsZero() {
		p.announce = now
		c.effects.Changed = true
		return
	}
	if now.Sub(p.announce) < announceAhead {
		return
	}
	o := replicas.Order{Replica: s.entry.ID, Unload: true, Model: p.victims[0], After: s.orders, Holder: c.settings.Holder, Token: token}
	c.send(s, &sentOrder{order: o, begun: now, due: now.Add(unloadTime)}, "makes_room")
}

func (c *Core) send(s *server, o *sentOrder, reason string) {
	s.order = o
	c.effects.Changed = true
	c.effects.Orders = append(c.effects.Orders, Outgoing{Order: o.order, Server: s.entry, Reason: reason, Store: o.store})
}

// storeFree reports whether a load from the weight store may start. Loads that
// other cells plan count, but for the case that none runs: the cells would wait
// for each other's plans.
func (c *Core) storeFree(now time.Time) bool {
	running, planned := c.storeLoads()
	return (running+planned < c.atOnce || running == 0) && c.budget.CanStartLoad(now)
}

// storeOpen reports whether another load from the weight store may be planned. A
// plan that has to wait for it would keep its server from loads that need not.
func (c *Core) storeOpen(now time.Time) bool {
	running, planned := c.storeLoads()
	return running+planned+c.plannedFromStore() < c.atOnce && c.budget.CanStartLoad(now)
}

// storeLoads counts the loads from the weight store: those that run in any cell,
// and those that other cells plan.
func (c *Core) storeLoads() (running, planned int) {
	running, _ = c.budget.InFlight()
	for _, s := range c.servers {
		switch {
		case s.foreign == nil || s.foreign.Loading == "" || !s.foreign.FromStore:
		case s.foreign.Planned:
			planned++
		default:
			running++
		}
	}
	return running, planned
}

// byDemand orders models by a value, highest first, then by name.
func byDemand(models []string, value func(string) float64) {
	slices.SortFunc(models, func(a, b string) int {
		if x := cmp.Compare(value(b), value(a)); x != 0 {
			return x
		}
		return strings.Compare(a, b)
	})
}
