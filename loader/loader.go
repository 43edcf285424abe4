// Package loader decides which models and adapters the backend servers of a
// service hold. It loads what requests wait for, keeps enough copies of models in
// demand, and preloads models that no server has on disk while the weight store is
// idle. The state of a server is taken from its reports. A report says how many
// orders the server has accepted, and each order names that number, so that the
// server rejects a late or repeated one. A server is never ordered to hold more
// than fits.
//
// Core does no I/O, has no clock and is not safe for concurrent use.
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

// Intervals, time limits and limits of the loader.
const (
	reportLag          = 250 * time.Millisecond  // usual delay until a report shows the end of a load: the age of a report plus the time until the next one
	reportInterval     = 4 * time.Second         // interval between reports of a server without an order in progress
	busyReportDelay    = 150 * time.Millisecond  // delay until the next report of a server that is still busy
	reportRetryDelay   = 600 * time.Millisecond  // delay until a report is requested again after a failure
	reportTimeout      = 1200 * time.Millisecond // time allowed for a requested report
	unloadTime         = 300 * time.Millisecond  // usual time until a report no longer lists an unloaded model
	unloadPublishLead  = 25 * time.Millisecond   // delay between publishing an unload and ordering it, for other nodes to receive it
	idleUnloadTime     = 60 * time.Millisecond   // duration of an accepted unload of a model that no request uses
	loadMargin         = 40 * time.Millisecond   // time added to the usual duration of a load
	confirmReportDelay = 500 * time.Millisecond  // delay of the report after an order's expected end; earlier reports may still show the state before
	adapterOrderTime   = 15 * time.Millisecond   // usual time to carry out an order for an adapter
	orderTimeout       = 3 * time.Second         // time after which an order without a known result is dropped
	minHoldTime        = 2 * time.Second         // time after its load during which a model is not unloaded
	preloadStartDelay  = 2 * time.Second         // time after the start without preloads, unless all servers have reported sooner
	refusalReportDelay = 100 * time.Millisecond  // delay until a report is requested after a refused order
	maxAdapterLoads    = 16                      // limit of adapter loads in flight from the weight store
)

// Settings configure the loader of one service in one cell.
type Settings struct {
	Leader string // name of this node, which leads the cell; written into each order
	Cell   string // availability zone of the backend servers that this loader orders
	Cells  int    // number of cells of the deployment; each may use the same share of the weight store's load rate
}

// Input is the state on which a tick decides.
type Input struct {
	Engine  *routes.Engine   // models and limits of the service
	Servers []replicas.Entry // backend servers of the service in all cells
	// ServerStatuses returns the status of a backend server of another cell, as last published.
	ServerStatuses func(id string) (replicas.ServerStatus, bool)
	Demand         []waiting.ModelDemand // models and adapters that requests wait for
	LiveCells      []string              // cells that have a leader, including this one
	// LoadCost returns the latest load cost that another cell published for a model or model/adapter.
	LoadCost func(cell, name string) (float64, bool)
	Token    uint64  // fencing token written into each order
	CopyRate float64 // requests per second that one copy of a model was seen to serve well; zero if it serves slotRate for each slot
	// MayOrder reports whether this node may send orders to a backend server now.
	MayOrder func(id string) bool
}

// Effects are the actions that the caller must carry out after a tick.
type Effects struct {
	Orders         []OutgoingOrder  // orders to send
	ReportRequests []replicas.Entry // backend servers to request a report from
	Changed        bool             // server statuses or load costs have changed and are to be published at once
}

// OutgoingOrder is an order and the backend server to send it to.
type OutgoingOrder struct {
	Order     replicas.Order
	Server    replicas.Entry
	Reason    string // reason of the order, for the log
	UsesStore bool   // the order loads weights from the weight store
}

// Core is the loader of one service in one cell.
type Core struct {
	settings         Settings
	engine           *routes.Engine
	models           map[string]*routes.Model // the engine's models, by name
	tally            *tally                   // see counted; nil if it is outdated
	compared         int                      // servers that were compared to value copies of models, since New
	engineSince      time.Time                // when the engine's desired state came into force here
	withdrawn        map[string]*routes.Model // models of earlier desired states that servers still use
	servers          map[string]*server       // backend servers of the service in all cells, by id
	sorted           []*server                // the same, ordered by id; outdated if it has another length
	demand           demand
	budget           *loadbudget.Budget
	storeConcurrency int                  // learned number of loads that the weight store runs concurrently at full speed
	expectedReady    map[string]time.Time // when models that wait for the weight store are expected to be loaded
	startedAt        time.Time            // time of New or of the latest Reset
	input            Input                // input of the current tick
	loadCosts        map[string]loadCost  // load costs of this cell, by model or model/adapter
	effects          Effects              // effects collected by the current tick
}

// New returns a loader that knows no backend servers and has seen no requests.
func New(now time.Time, s Settings) *Core {
	return &Core{settings: s, servers: map[string]*server{}, withdrawn: map[string]*routes.Model{}, demand: newDemand(), startedAt: now, loadCosts: map[string]loadCost{}, storeConcurrency: initialStoreConcurrency}
}

// CountRequests counts n requests, at any node, for a model and an adapter unless empty.
// Fast ones have a latency objective shorter than any load.
func (c *Core) CountRequests(now time.Time, model, adapter string, fast bool, n int) {
	c.demand.add(now, model, adapter != "", fast, n)
	if adapter == "" {
		return
	}
	for _, s := range c.servers {
		if held := s.holds[model]; held != nil {
			if _, loaded := held.adapterUsed[adapter]; loaded {
				held.adapterUsed[adapter] = now
			}
		}
	}
}

// Reset discards the state of the servers and their orders, as another node may
// have sent orders since. The observed demand is retained.
func (c *Core) Reset(now time.Time) {
	c.servers, c.sorted = map[string]*server{}, nil
	c.budget = nil
	c.startedAt = now
}

// Tick decides on loads and unloads, and returns what the caller must carry out.
func (c *Core) Tick(now time.Time, in Input) Effects {
	c.effects = Effects{}
	c.input, c.tally = in, nil
	c.follow(now, in.Engine)
	if c.budget == nil {
		c.budget = loadbudget.New(now, loadbudget.Settings{
			LoadsPerSecond: c.engine.LoadsPerSecond, LoadsInFlight: maxStoreConcurrency, AdaptersInFlight: maxAdapterLoads,
		})
		// Cells do not share a count of started loads, so each gets an equal part of the rate.
		c.budget.SetShare(now, 1/float64(max(1, c.settings.Cells)))
	}
	c.syncServers(now, in)
	for _, s := range c.sortedServers() {
		c.expireOrder(now, s)
	}
	c.planMissing(now)
	c.planOverloaded(now)
	c.planWaiting(now, in.Demand)
	c.planExtraCopies(now)
	if now.Sub(c.startedAt) > preloadStartDelay || c.allReported() {
		c.planPreload(now)
	}
	c.unloadWithdrawn(now)
	for _, s := range c.sortedServers() {
		c.advancePlan(now, s, in.Token)
	}
	c.orderAdapters(now, in.Demand, in.Token)
	for _, s := range c.sortedServers() {
		c.requestReport(now, s)
	}
	return c.effects
}

// ServerStatuses returns the status of each server of this cell whose state is known.
func (c *Core) ServerStatuses(now time.Time) []replicas.ServerStatus {
	var statuses []replicas.ServerStatus
	for _, s := range c.sortedServers() {
		if s.local && s.known {
			statuses = append(statuses, s.status(now, c.engine))
		}
	}
	return statuses
}

// sortedServers returns the servers, ordered by ID.
func (c *Core) sortedServers() []*server {
	if len(c.sorted) != len(c.servers) {
		c.sorted = slices.SortedFunc(maps.Values(c.servers), func(a, b *server) int { return strings.Compare(a.entry.ID, b.entry.ID) })
	}
	return c.sorted
}

// syncServers applies the list of servers. One that restarted or moved counts as new.
func (c *Core) syncServers(now time.Time, in Input) {
	listed := map[string]bool{}
	for _, e := range in.Servers {
		listed[e.ID] = true
		s := c.servers[e.ID]
		if s == nil || s.entry.Start != e.Start || s.entry.Address != e.Address {
			c.abandonOrder(s)
			s = newServer(e)
			c.servers[e.ID], c.sorted = s, nil
		}
		s.entry, s.local = e, e.Zone == c.settings.Cell
		if !s.local {
			status, published := in.ServerStatuses(e.ID)
			s.setRemoteStatus(now, status, published && status.Start == e.Start)
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
			c.abandonOrder(s)
			delete(c.servers, id)
			c.sorted = nil
		}
	}
}

func (c *Core) abandonOrder(s *server) {
	if s != nil && s.order != nil {
		c.endOrder(s)
	}
}

// allReported reports whether the state of all servers of this cell that stay is known.
func (c *Core) allReported() bool {
	for _, s := range c.servers {
		if s.local && !s.known && !s.entry.Draining {
			return false
		}
	}
	return len(c.servers) > 0
}

func (c *Core) requestReport(now time.Time, s *server) {
	if !s.local || s.reportPending || now.Before(s.nextReport) || s.entry.Draining {
		return
	}
	s.reportPending, s.reportSentAt = true, now
	s.nextReport = now.Add(reportTimeout)
	c.effects.ReportRequests = append(c.effects.ReportRequests, s.entry)
}

// HandleReport processes a report of the server id, or the error of requesting it, and
// ignores it if the server's start time is not the given one any more.
func (c *Core) HandleReport(now time.Time, id string, start int64, r replicas.Report, err error) {
	s := c.servers[id]
	if s == nil || s.entry.Start != start {
		return
	}
	s.reportPending = false
	if err != nil {
		s.nextReport = now.Add(reportRetryDelay)
		return
	}
	s.nextReport = now.Add(reportInterval)
	if r.Start != 0 && s.entry.Start != 0 && r.Start != s.entry.Start {
		return // the server restarted; its new entry has not arrived yet
	}
	s.running = r.Running
	if r.Orders < s.acceptedOrders {
		s.nextReport = now.Add(busyReportDelay) // older than the last accepted order
		return
	}
	if s.order != nil && !s.order.accepted {
		if r.Orders <= s.order.order.After {
			return // no response yet: the server may still carry out the order
		}
		if !s.doubtful && r.Orders == s.order.order.After+1 {
			c.acceptedUnheard(now, s)
		}
	}
	if !c.reportSettled(now, s, r.Orders) {
		return
	}
	if r.Busy {
		s.nextReport = now.Add(busyReportDelay)
		if s.order != nil && s.order.accepted && now.Before(s.order.expectedEnd) {
			s.nextReport = s.order.expectedEnd
		}
		if !s.known || s.order != nil {
			return
		}
	}
	if s.order != nil {
		c.learnStoreConcurrency(now, s.order)
		c.endOrder(s)
	}
	s.unconfirmed = nil
	if !s.known || !sameHoldings(s.holds, r.Holds) {
		c.effects.Changed = true
	}
	s.known = !r.Busy
	s.setHolds(now, r.Holds)
	s.addArrivingAdapters(now, r.Arriving)
	s.inMemory, s.onDisk = r.InMemory, r.OnDisk
}

// acceptedUnheard handles an order that the server has accepted although its response was
// lost.
func (c *Core) acceptedUnheard(now time.Time, s *server) {
	o := s.order.order
	if o.Adapter != "" {
		c.adapterDone(now, s, o, replicas.OrderAccepted)
		return
	}
	s.order.accepted = true
	s.acceptModelOrder(now, o.After+1)
}

// reportSettled reports whether what a report says of models can be believed. If the server
// has accepted orders that can't be told from others of unknown result, or that another
// node sent, its state is unknown until a report that was requested confirmReportDelay
// later: what an earlier one says of models may be older than its number of orders.
func (c *Core) reportSettled(now time.Time, s *server, orders uint64) bool {
	if !s.reported {
		s.reported, s.acceptedOrders = true, orders
	}
	if orders != s.acceptedOrders {
		if s.order != nil {
			c.endOrder(s)
		}
		s.acceptModelOrder(now, orders)
		s.known, s.unconfirmed = false, nil
		c.effects.Changed = true
	}
	if s.reportSentAt.Before(s.settledAt) {
		s.nextReport = later(now.Add(busyReportDelay), s.settledAt)
		return false
	}
	s.settledAt = time.Time{}
	return true
}

// sameHoldings reports whether the models and their numbers of adapters are the same.
func sameHoldings(have map[string]*heldModel, hs []replicas.Holding) bool {
	if len(have) != len(hs) {
		return false
	}
	for _, h := range hs {
		held := have[h.Model]
		if held == nil || len(held.adapterUsed) != len(h.Adapters) {
			return false
		}
	}
	return true
}

func (c *Core) endOrder(s *server) {
	o := s.order
	s.order = nil
	if o.usesStore {
		c.budget.EndLoad(orderID(o.order))
	}
}

func orderID(o replicas.Order) string { return o.ServerID + "/" + o.Model }

func withModel(models []string, model string) []string {
	if slices.Contains(models, model) {
		return models
	}
	return append(slices.Clone(models), model)
}

// advancePlan sends the next order of a server's plan if the server can take one.
func (c *Core) advancePlan(now time.Time, s *server, token uint64) {
	p := s.plan
	if p == nil || !s.ready() || !c.input.MayOrder(s.entry.ID) {
		return
	}
	m := c.models[p.model]
	if p.model != "" && m == nil || s.holds[p.model] != nil {
		s.plan = nil
		c.effects.Changed = true
		return
	}
	for len(p.victims) > 0 && s.holds[p.victims[0]] == nil {
		p.victims, p.publishedAt = p.victims[1:], time.Time{}
	}
	if len(p.victims) > 0 {
		c.unloadNextVictim(now, s, token)
		return
	}
	if m == nil {
		s.plan = nil // all withdrawn models are unloaded
		return
	}
	o, fits := c.loadOrder(s, m, token)
	if !fits {
		s.plan = nil
		return
	}
	usesStore := s.sourceOf(p.model) == fromStore
	if usesStore && !c.canStartStoreLoad(now, p.urgent) {
		return
	}
	if usesStore {
		c.budget.StartLoad(now, orderID(o))
	}
	expectedEnd := now.Add(loadTime(m, s.sourceOf(p.model)) + loadMargin)
	reason := "ahead"
	if p.hasWaiters {
		reason = "waited_for"
	}
	s.plan = nil
	running, planned := c.storeLoads()
	c.send(s, &sentOrder{order: o, usesStore: usesStore, sentAt: now, expectedEnd: expectedEnd, concurrentLoads: running + planned}, reason)
}

// unloadNextVictim publishes the unload of the plan's next victim, and orders it
// once other nodes have had time to receive that.
func (c *Core) unloadNextVictim(now time.Time, s *server, token uint64) {
	p := s.plan
	if p.publishedAt.IsZero() {
		p.publishedAt = now
		c.effects.Changed = true
		return
	}
	if now.Sub(p.publishedAt) < unloadPublishLead {
		return
	}
	o := replicas.Order{ServerID: s.entry.ID, Unload: true, Model: p.victims[0], After: s.acceptedOrders, Leader: c.settings.Leader, Token: token}
	reason := "makes_room"
	if p.model == "" {
		reason = "withdrawn"
	}
	c.send(s, &sentOrder{order: o, sentAt: now, expectedEnd: now.Add(unloadTime)}, reason)
}

func (c *Core) send(s *server, o *sentOrder, reason string) {
	s.order = o
	c.effects.Changed = true
	c.effects.Orders = append(c.effects.Orders, OutgoingOrder{Order: o.order, Server: s.entry, Reason: reason, UsesStore: o.usesStore})
}

// canStartStoreLoad reports whether a load from the weight store may start. Loads
// that other cells plan count only while some load runs: otherwise cells would
// wait for each other's plans.
func (c *Core) canStartStoreLoad(now time.Time, urgent bool) bool {
	running, planned := c.storeLoads()
	return (running+planned < c.storeLimit(urgent) || running == 0) && c.budget.CanStartLoad(now)
}

// storeLimit returns how many loads from the weight store may run. Urgent ones may slow down
// the others.
func (c *Core) storeLimit(urgent bool) int {
	if urgent {
		return c.storeConcurrency + urgentStoreLoads
	}
	return c.storeConcurrency
}

// canPlanStoreLoad reports whether another load from the weight store may be
// planned. A plan that waits for the weight store would keep its server from loads
// that do not need it.
func (c *Core) canPlanStoreLoad(now time.Time, urgent bool) bool {
	running, planned := c.storeLoads()
	return running+planned+c.plannedFromStore() < c.storeLimit(urgent) && c.budget.CanStartLoad(now)
}

// storeLoads counts the loads from the weight store that run in any cell, and those
// that other cells plan.
func (c *Core) storeLoads() (running, planned int) {
	running, _ = c.budget.InFlight()
	for _, s := range c.servers {
		switch {
		case s.remoteStatus == nil || s.remoteStatus.Loading == "" || !s.remoteStatus.FromStore:
		case s.remoteStatus.Planned:
			planned++
		default:
			running++
		}
	}
	return running, planned
}

// sortByValue sorts models by a value, highest first, then by name.
func sortByValue(models []string, value func(string) float64) {
	values := make(map[string]float64, len(models))
	for _, m := range models {
		values[m] = value(m)
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(values[b], values[a]), strings.Compare(a, b))
	})
}
