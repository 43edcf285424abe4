package loader

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Parameters of plans.
const (
	evictWeight          = 15.0 // seconds of load cost per unit of worth that is evicted
	preloadEvictionLimit = 0.5  // highest total worth of the copies evicted for a preload
	minEvictionLimit     = 0.3  // total worth of copies that may always be evicted for a model with waiting requests
	evictionLimitShare   = 0.7  // share of the waiting model's worth that the evicted copies may be worth
	urgentGain           = 1.0  // worth, in weighted requests per second, of a model without a copy from which its load is urgent
	urgentStoreLoads     = 2    // urgent loads that may start although the weight store is busy
	minCopyGain          = 0.3  // worth, in weighted requests per second, that a further copy must add
	adapterDelayWeight   = 1.0  // seconds of load cost per adapter request expected at the server during the load
	runningWeight        = 0.02 // seconds of load cost per running request of the server
)

// candidate is a server that could load a model or adapter.
type candidate struct {
	server       *server
	victims      []string // models to unload first, in this order
	cost         float64  // seconds until the model is ready plus penalties; for an adapter, the number of adapters held
	evictedWorth float64  // total worth of the victims
}

// cheapestServer returns the server of this cell that can load the model at the
// lowest cost, of those that run the software unless it is empty. The last copies of protected
// models are not evicted for it.
func (c *Core) cheapestServer(now time.Time, m *routes.Model, software string, protected map[string]bool) (candidate, bool) {
	var found candidate
	ok := false
	for _, s := range c.sortedServers() {
		if !s.local || !s.known || s.entry.Draining || !s.runs(software) || s.plan != nil || s.holds[m.Name] != nil || s.loadPending(m.Name) {
			continue
		}
		victims, evictedWorth, fits := c.victims(now, s, m, protected)
		if !fits {
			continue
		}
		choice := candidate{server: s, victims: victims, evictedWorth: evictedWorth}
		choice.cost = loadTime(m, s.sourceOf(m.Name)).Seconds() + evictedWorth*evictWeight + runningWeight*float64(s.running) +
			float64(len(victims))*unloadTime.Seconds()
		if s.order != nil {
			choice.cost += max(0, s.order.expectedEnd.Sub(now).Seconds()) + reportLag.Seconds()
		}
		if s.sourceOf(m.Name) == fromStore {
			// A server takes no orders for adapters during a load, so these are delayed.
			choice.cost += m.LoadTime.Seconds() * c.adapterRate(now, s) * adapterDelayWeight
		}
		if !c.input.MayOrder(s.entry.ID) {
			choice.cost += notAllowedPenalty
		}
		if !ok || choice.cost < found.cost {
			found, ok = choice, true
		}
	}
	return found, ok
}

// planWaiting plans a load for each model that requests wait for and that no server
// holds or is about to load, the most urgent first.
func (c *Core) planWaiting(now time.Time, demand []waiting.ModelDemand) {
	protected := map[string]bool{}
	for _, d := range demand {
		protected[d.Model] = c.models[d.Model] != nil
	}
	slices.SortStableFunc(demand, func(a, b waiting.ModelDemand) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.Deadline.Compare(b.Deadline)
	})
	var queued []string // models that wait for the weight store
	for _, d := range demand {
		m := c.models[d.Model]
		slow := d.Software == "" && c.onlySlowCopy(now, d.Model) && c.onAnyDisk(d.Model)
		if m == nil || !slow && c.copyCountAt(now, d.Model, d.Software) > 0 || slices.Contains(queued, d.Model) {
			continue
		}
		if d.Software == "" && !c.onAnyDisk(d.Model) && !c.canPlanStoreLoad(now, false) {
			queued = append(queued, d.Model)
		}
		choice, ok := c.cheapestServer(now, m, d.Software, protected)
		ok = ok && !(slow && choice.server.sourceOf(d.Model) == fromStore)
		if !c.hasLowestCost(now, costName(d), choice, ok && choice.evictedWorth <= c.evictionLimit(now, d.Model)) {
			continue
		}
		if choice.server.sourceOf(d.Model) == fromStore && !c.canPlanStoreLoad(now, false) {
			c.dropPreloadPlans(now)
			continue
		}
		c.setPlan(choice.server, &plan{model: d.Model, victims: choice.victims, plannedAt: now, hasWaiters: true})
		c.effects.Changed = true
	}
	c.estimateReady(now, queued)
}

// evictionLimit returns the highest total worth of copies that may be evicted for a
// model that requests wait for. A load that would evict more is put off until a
// cheaper server is found.
func (c *Core) evictionLimit(now time.Time, model string) float64 {
	return max(minEvictionLimit, evictionLimitShare*c.modelTally(now, model).worth)
}

// dropPreloadPlans drops planned loads from the weight store that no request waits
// for, unless the unload of a victim is published already.
func (c *Core) dropPreloadPlans(now time.Time) {
	for _, s := range c.sortedServers() {
		if s.loadsFromStore() && !s.plan.hasWaiters && s.plan.publishedAt.IsZero() {
			c.setPlan(s, nil)
		}
	}
}

// planMissing plans loads of models in demand that no server holds. They come before models
// that requests wait for: those who ask for a busy model do not wait for a load that takes
// longer than their time limit, but are refused until it has ended.
func (c *Core) planMissing(now time.Time) {
	for _, name := range c.underReplicated(now) {
		if c.copyCount(now, name) > 0 {
			if c.onlySlowCopy(now, name) && c.onAnyDisk(name) {
				c.planCopy(now, name, c.modelTally(now, name).worth)
			}
			continue
		}
		if c.planCopy(now, name, c.modelTally(now, name).worth) == needsStore {
			c.dropPreloadPlans(now)
		}
	}
}

// planExtraCopies plans loads of models that have fewer copies than their demand needs.
func (c *Core) planExtraCopies(now time.Time) {
	for _, name := range c.underReplicated(now) {
		gain := c.modelTally(now, name).worth
		if c.copyCount(now, name) > 0 {
			gain *= spareWeight
		}
		c.planCopy(now, name, gain)
	}
}

// underReplicated returns the models that have fewer copies than their demand needs, the one
// of most worth first.
func (c *Core) underReplicated(now time.Time) []string {
	var names []string
	for name := range c.demand.rates {
		if m := c.models[name]; m != nil && c.copyCount(now, name) < c.modelTally(now, name).needed {
			names = append(names, name)
		}
	}
	sortByValue(names, func(name string) float64 { return c.modelTally(now, name).worth })
	return names
}

// copyPlan is the outcome of planCopy.
type copyPlan uint8

const (
	notPlanned copyPlan = iota // the copy is not worth it, or another cell loads it
	planned                    // a server has the plan
	needsStore                 // the load has to wait for the weight store
)

// planCopy plans the load of one more copy of a model that adds the gain.
func (c *Core) planCopy(now time.Time, name string, gain float64) copyPlan {
	if gain < minCopyGain {
		return notPlanned
	}
	choice, ok := c.cheapestServer(now, c.models[name], "", nil)
	if ok && c.onlySlowCopy(now, name) && choice.server.sourceOf(name) == fromStore {
		ok = false // a second slow load delays the first
	}
	if !c.hasLowestCost(now, name, choice, ok && choice.evictedWorth < gain) {
		return notPlanned
	}
	urgent := c.copyCount(now, name) == 0 && gain >= urgentGain
	if choice.server.sourceOf(name) == fromStore && !c.canPlanStoreLoad(now, urgent) {
		return needsStore
	}
	c.setPlan(choice.server, &plan{model: name, victims: choice.victims, plannedAt: now, urgent: urgent})
	return planned
}

// planPreload plans the load of a model that no server holds or has on disk, while
// the weight store is idle, so that later requests find it on a disk or in memory. Models
// whose requests were refused lately come first: those who ask for rare models ask again.
func (c *Core) planPreload(now time.Time) {
	if !c.canStartStoreLoad(now, false) || c.plannedFromStore() > 0 {
		return
	}
	var next *routes.Model
	most := -1.0
	for i := range c.engine.Models {
		m := &c.engine.Models[i]
		if asked := c.demand.remembered(now, m.Name); asked > most && c.copyCount(now, m.Name) == 0 && !c.onAnyDisk(m.Name) && c.ownsPreload(m.Name) {
			next, most = m, asked
		}
	}
	if next == nil {
		return
	}
	choice, ok := c.cheapestServer(now, next, "", nil)
	if ok && choice.evictedWorth <= preloadEvictionLimit {
		c.setPlan(choice.server, &plan{model: next.Name, victims: choice.victims, plannedAt: now})
	}
}

// ownsPreload reports whether this cell is the one that preloads the model. All live
// cells agree on it by rendezvous hashing.
func (c *Core) ownsPreload(model string) bool {
	best, bestHash := c.settings.Cell, xxhash.Sum64String(c.settings.Cell+"/"+model)
	for _, cell := range c.input.LiveCells {
		if h := xxhash.Sum64String(cell + "/" + model); h > bestHash {
			best, bestHash = cell, h
		}
	}
	return best == c.settings.Cell
}

// loadsFromStore reports whether the server has the plan of a load from the weight store.
func (s *server) loadsFromStore() bool {
	return s.plan != nil && s.plan.model != "" && s.sourceOf(s.plan.model) == fromStore
}

// plannedFromStore counts the plans of this cell that load from the weight store.
func (c *Core) plannedFromStore() int {
	n := 0
	for _, s := range c.servers {
		if s.loadsFromStore() {
			n++
		}
	}
	return n
}

// onAnyDisk reports whether any server has the model's weights on disk or in memory.
func (c *Core) onAnyDisk(model string) bool {
	for _, s := range c.servers {
		if !s.entry.Draining && s.sourceOf(model) != fromStore {
			return true
		}
	}
	return false
}

// orderAdapters orders the load of each adapter that requests wait for, at the server
// holding its model that has the fewest adapters.
func (c *Core) orderAdapters(now time.Time, demand []waiting.ModelDemand, token uint64) {
	for _, d := range demand {
		if d.Adapter == "" || c.models[d.Model] == nil || c.adapterLoadedOrOrdered(d) {
			continue
		}
		var best *server
		for _, s := range c.sortedServers() {
			if s.ready() && s.keeps(d.Model) && s.runs(d.Software) && c.sizesKnown(s) && c.input.MayOrder(s.entry.ID) && (best == nil || s.adapterCount() < best.adapterCount()) {
				best = s
			}
		}
		choice := candidate{server: best}
		if best != nil {
			choice.cost = float64(best.adapterCount())
		}
		if !c.hasLowestCost(now, costName(d), choice, best != nil) {
			continue
		}
		c.orderAdapter(now, best, d, token)
	}
}

// adapterLoadedOrOrdered reports whether a server that will do and keeps the model has the
// adapter, or was ordered to load it.
func (c *Core) adapterLoadedOrOrdered(d waiting.ModelDemand) bool {
	for _, s := range c.servers {
		if s.entry.Draining || !s.keeps(d.Model) || !s.runs(d.Software) {
			continue
		}
		if _, loaded := s.holds[d.Model].adapterUsed[d.Adapter]; loaded {
			return true
		}
		if s.order != nil && !s.order.order.Unload && s.order.order.Model == d.Model && s.order.order.Adapter == d.Adapter {
			return true
		}
	}
	return false
}

// orderAdapter orders the load of an adapter, or first the unload of the least
// recently used one if there is no slot or memory for it.
func (c *Core) orderAdapter(now time.Time, s *server, d waiting.ModelDemand, token uint64) {
	m := c.models[d.Model]
	o := replicas.Order{ServerID: s.entry.ID, Model: d.Model, Adapter: d.Adapter, After: s.acceptedOrders, Leader: c.settings.Leader, Token: token}
	reason := "waited_for"
	if s.adapterCount() >= c.engine.AdapterSlots || c.usedMB(s)+m.AdapterSizeMB > c.engine.WeightsMB {
		model, adapter, ok := s.oldestAdapter()
		if !ok {
			return
		}
		o.Unload, o.Model, o.Adapter, reason = true, model, adapter, "makes_room"
	}
	c.send(s, &sentOrder{order: o, sentAt: now, expectedEnd: now.Add(adapterOrderTime)}, reason)
}

// oldestAdapter returns the least recently used adapter.
func (s *server) oldestAdapter() (model, adapter string, found bool) {
	var at time.Time
	for name, held := range s.holds {
		for a, used := range held.adapterUsed {
			if !found || used.Before(at) || used.Equal(at) && strings.Compare(name+a, model+adapter) < 0 {
				model, adapter, at, found = name, a, used, true
			}
		}
	}
	return model, adapter, found
}

// adapterDone processes the result of an order for an adapter.
func (c *Core) adapterDone(now time.Time, s *server, o replicas.Order, result replicas.OrderResult) {
	held := s.holds[o.Model]
	// A load of an adapter that the server held already may or may not count as an
	// accepted order, so only a report shows the new state.
	done := result == replicas.OrderAccepted && !o.Unload || result == replicas.OrderHolds && o.Unload
	switch {
	case done && held != nil:
		s.accept(o.After + 1)
		if o.Unload {
			delete(held.adapterUsed, o.Adapter)
			s.order = nil
			return
		}
		held.adapterUsed[o.Adapter] = now
		s.order.accepted, s.order.expectedEnd = true, now.Add(adapterOrderTime)
	case result == replicas.OrderAccepted:
		// Running requests may still use the adapter: it occupies its slot and memory
		// until a report no longer lists it.
		s.accept(o.After + 1)
		s.order = nil
		s.known, s.nextReport = false, now.Add(refusalReportDelay)
	case result == replicas.OrderUnknown:
		s.order = nil
		s.doubtful, s.nextReport = true, now
	default:
		c.handleRefusal(now, s)
	}
}
