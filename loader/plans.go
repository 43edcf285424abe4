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

// Terms of plans.
const (
	evictWeight   = 15.0 // seconds of loading that a unit of worth is given
	aheadMaxWorth = 0.5  // no copy worth more is unloaded for a load that nobody waits for
	wantedWorth   = 0.3  // copies worth this much may go for any model that requests wait for
	wantedShare   = 0.7  // copies worth this share of the wanted model may go for it
	copyMinGain   = 0.3  // requests a second that a further copy must serve
	adapterWeight = 1.0  // seconds for each request for an adapter that comes to the server meanwhile
	runningWeight = 0.02 // seconds for each running request of the server
)

// option is a server that could load a model.
type option struct {
	server  *server
	victims []string
	cost    float64 // seconds until it is ready, and the worth of what goes
	evicts  float64 // worth of what goes
}

// best returns the server of the cell that loads the model at the least cost.
func (c *Core) best(now time.Time, m *routes.Model, protected map[string]bool) (option, bool) {
	var found option
	ok := false
	for _, s := range c.ordered() {
		if !s.mine || !s.known || s.entry.Draining || s.plan != nil || s.holds[m.Name] != nil || s.gets(m.Name) {
			continue
		}
		victims, evicts, fits := c.victims(now, s, m, protected)
		if !fits {
			continue
		}
		o := option{server: s, victims: victims, evicts: evicts}
		o.cost = loadTime(m, s.placeOf(m.Name)).Seconds() + evicts*evictWeight + runningWeight*float64(s.running) +
			float64(len(victims))*unloadTime.Seconds()
		if s.order != nil {
			o.cost += max(0, s.order.due.Sub(now).Seconds()) + reportLag.Seconds()
		}
		if s.placeOf(m.Name) == fromStore {
			// A server takes no order for an adapter while it loads.
			o.cost += m.LoadTime.Seconds() * c.adapterRate(now, s) * adapterWeight
		}
		if !c.input.MayOrder(s.entry.ID) {
			o.cost += notYetCost
		}
		if !ok || o.cost < found.cost {
			found, ok = o, true
		}
	}
	return found, ok
}

// victims returns which models of the server go so that the new one fits, the
// least worth first, and what they are worth together.
func (c *Core) victims(now time.Time, s *server, m *routes.Model, protected map[string]bool) ([]string, float64, bool) {
	free := c.engine.WeightsMB - s.usedMB(c.engine)
	if l := s.ordered(); l != "" && s.holds[l] == nil {
		if lm := c.engine.Model(l); lm != nil {
			free -= lm.WeightsMB
		}
	}
	if free >= m.WeightsMB {
		return nil, 0, true
	}
	var models []string
	for name, r := range s.holds {
		if protected[name] && c.copies(name) <= 1 || now.Sub(r.since) < settleFor && now.Sub(c.began) > settleFor || name == s.leaving() {
			continue
		}
		models = append(models, name)
	}
	byDemand(models, func(name string) float64 { return -c.keepWorth(now, s, name) })
	worth := 0.0
	for i, name := range models {
		vm := c.engine.Model(name)
		if vm == nil {
			continue
		}
		free += vm.WeightsMB + float64(len(s.holds[name].adapters))*vm.AdapterSizeMB
		worth += c.keepWorth(now, s, name)
		if free >= m.WeightsMB {
			return models[:i+1], worth, true
		}
	}
	return nil, 0, false
}

// planWanted plans a load for each model that requests wait for and no server
// holds or loads.
func (c *Core) planWanted(now time.Time, wants []waiting.Want) {
	protected := map[string]bool{}
	for _, w := range wants {
		protected[w.Model] = true
	}
	slices.SortStableFunc(wants, func(a, b waiting.Want) int {
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
		return a.GiveUp.Compare(b.GiveUp)
	})
	var far []string // models that wait for the weight store
	for _, w := range wants {
		m := c.engine.Model(w.Model)
		if m == nil || c.copies(w.Model) > 0 || slices.Contains(far, w.Model) {
			continue
		}
		if !c.onAnyDisk(w.Model) && !c.storeOpen(now) {
			far = append(far, w.Model)
		}
		o, ok := c.best(now, m, protected)
		if !c.outbids(now, w.Model, o, ok && o.evicts <= c.mayEvict(now, w.Model)) {
			continue
		}
		if o.server.placeOf(w.Model) == fromStore && !c.storeOpen(now) {
			c.makeWay(now)
			continue
		}
		o.server.plan = &plan{model: w.Model, victims: o.victims, since: now, urgent: true}
		c.effects.Changed = true
	}
	c.planStore(now, far)
}

// mayEvict returns what the copies may be worth that go for a model which
// requests wait for. A load that costs more waits for a better place.
func (c *Core) mayEvict(now time.Time, model string) float64 {
	return max(wantedWorth, wantedShare*c.worth(now, model))
}

// makeWay drops plans from the weight store that nobody waits for.
func (c *Core) makeWay(now time.Time) {
	for _, s := range c.ordered() {
		if s.plan != nil && !s.plan.urgent && s.plan.announce.IsZero() && s.placeOf(s.plan.model) == fromStore {
			s.plan = nil
		}
	}
}

// planCopies plans further copies of models that are asked for often.
func (c *Core) planCopies(now time.Time) {
	var short []string
	for name := range c.demand.rates {
		if m := c.engine.Model(name); m != nil && c.copies(name) < c.need(now, name, 1) {
			short = append(short, name)
		}
	}
	byDemand(short, func(name string) float64 { return c.worth(now, name) })
	for _, name := range short {
		copies := c.copies(name)
		gain := c.worth(now, name)
		if copies > 0 {
			gain *= spareWeight
		}
		if gain < copyMinGain {
			continue
		}
		o, ok := c.best(now, c.engine.Model(name), nil)
		if !c.outbids(now, name, o, ok && o.evicts < gain) {
			continue
		}
		if o.server.placeOf(name) == fromStore && !c.storeOpen(now) {
			continue
		}
		o.server.plan = &plan{model: name, victims: o.victims, since: now}
	}
}

// planAhead loads models that no server holds or has on disk, while the weight
// store has nothing else to do, so that a later request finds them near.
func (c *Core) planAhead(now time.Time) {
	if !c.storeFree(now) || c.plannedFromStore() > 0 {
		return
	}
	for i := range c.engine.Models {
		m := &c.engine.Models[i]
		if c.copies(m.Name) > 0 || c.onAnyDisk(m.Name) || !c.looksAfter(m.Name) {
			continue
		}
		o, ok := c.best(now, m, nil)
		if !ok || o.evicts > aheadMaxWorth {
			return
		}
		o.server.plan = &plan{model: m.Name, victims: o.victims, since: now}
		return
	}
}

// looksAfter reports whether it is this cell, of those that have a loader, that
// loads the model for later.
func (c *Core) looksAfter(model string) bool {
	best, bestHash := c.settings.Cell, xxhash.Sum64String(c.settings.Cell+"/"+model)
	for _, cell := range c.input.Live {
		if h := xxhash.Sum64String(cell + "/" + model); h > bestHash {
			best, bestHash = cell, h
		}
	}
	return best == c.settings.Cell
}

func (c *Core) plannedFromStore() int {
	n := 0
	for _, s := range c.servers {
		if s.plan != nil && s.placeOf(s.plan.model) == fromStore {
			n++
		}
	}
	return n
}

func (c *Core) onAnyDisk(model string) bool {
	for _, s := range c.servers {
		if !s.entry.Draining && s.placeOf(model) != fromStore {
			return true
		}
	}
	return false
}

// orderAdapters loads adapters that requests wait for at a server that has the
// model.
func (c *Core) orderAdapters(now time.Time, wants []waiting.Want, token uint64) {
	for _, w := range wants {
		if w.Adapter == "" || c.adapterComing(w.Model, w.Adapter) {
			continue
		}
		var best *server
		for _, s := range c.ordered() {
			if s.idle() && s.has(w.Model) && c.input.MayOrder(s.entry.ID) && (best == nil || s.adapterCount() < best.adapterCount()) {
				best = s
			}
		}
		o := option{server: best}
		if best != nil {
			o.cost = float64(best.adapterCount())
		}
		if !c.outbids(now, w.Model+"/"+w.Adapter, o, best != nil) {
			continue
		}
		c.orderAdapter(now, best, w, token)
	}
}

func (c *Core) adapterComing(model, adapter string) bool {
	for _, s := range c.servers {
		if s.entry.Draining || !s.has(model) {
			continue
		}
		if _, loaded := s.holds[model].adapters[adapter]; loaded {
			return true
		}
		if s.order != nil && !s.order.order.Unload && s.order.order.Model == model && s.order.order.Adapter == adapter {
			return true
		}
	}
	return false
}

func (c *Core) orderAdapter(now time.Time, s *server, w waiting.Want, token uint64) {
	m := c.engine.Model(w.Model)
	o := replicas.Order{Replica: s.entry.ID, Model: w.Model, Adapter: w.Adapter, After: s.orders, Holder: c.settings.Holder, Token: token}
	reason := "waited_for"
	if s.adapterCount() >= c.engine.AdapterSlots || s.usedMB(c.engine)+m.AdapterSizeMB > c.engine.WeightsMB {
		model, adapter, ok := s.oldestAdapter()
		if !ok {
			return
		}
		o.Unload, o.Model, o.Adapter, reason = true, model, adapter, "makes_room"
	}
	c.send(s, &sentOrder{order: o, begun: now, due: now.Add(adapterTime)}, reason)
}

// oldestAdapter returns the adapter that was not asked for the longest.
func (s *server) oldestAdapter() (model, adapter string, found bool) {
	var at time.Time
	for name, r := range s.holds {
		for a, used := range r.adapters {
			if !found || used.Before(at) || used.Equal(at) && strings.Compare(name+a, model+adapter) < 0 {
				model, adapter, at, found = name, a, used, true
			}
		}
	}
	return model, adapter, found
}

// adapterDone takes the answer to an order of an adapter.
func (c *Core) adapterDone(now time.Time, s *server, o replicas.Order, result replicas.OrderResult) {
	r := s.holds[o.Model]
	// A load that held already may have counted or not: a report tells.
	done := result == replicas.OrderAccepted && !o.Unload || result == replicas.OrderHolds && o.Unload
	switch {
	case done && r != nil:
		s.orders = o.After + 1
		if o.Unload {
			delete(r.adapters, o.Adapter)
			s.order = nil
			return
		}
		r.adapters[o.Adapter] = now
		s.order.answered, s.order.due = true, now.Add(adapterTime)
	case result == replicas.OrderAccepted:
		// Requests use the adapter still: it takes its place until a report no
		// longer lists it.
		s.orders, s.order = o.After+1, nil
		s.known, s.reportDue = false, now.Add(conflictPause)
	case result == replicas.OrderUnknown:
		s.order = nil
		s.reportDue = now
	default:
		c.refusedOrder(now, s)
	}
}
