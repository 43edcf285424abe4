package loader

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/redwingnotch/redwingnotch/routes"
)

// tally holds what one tick derives from the demand and from all servers, so that it is derived
// once and not for each model and server that is compared. See setPlan.
type tally struct {
	holders map[string][]*server // servers that hold a model, by model
	loading map[string]int       // servers that stay and whose load of a model is ordered or planned, by model
	slow    map[string]int       // those of loading that load from the weight store
	models  map[string]*modelTally
	victims map[*server][]victim
}

// modelTally is what a tick knows of one model.
type modelTally struct {
	worth          float64  // see Core.modelWorth
	needed, enough int      // copies that the demand needs, and those beyond which a copy is surplus
	keepers        []uint64 // copyHash of the servers that stay and keep the model, highest first
	copies         int      // keepers and servers whose load of it is pending
}

// victim is a held model that may be unloaded.
type victim struct {
	model string
	worth float64 // of the server's copy
	mb    float64 // memory that it and its adapters occupy
}

// counted returns the tally of the tick.
func (c *Core) counted() *tally {
	if c.tally != nil {
		return c.tally
	}
	t := &tally{holders: map[string][]*server{}, loading: map[string]int{}, slow: map[string]int{}, models: map[string]*modelTally{}, victims: map[*server][]victim{}}
	for _, s := range c.servers {
		c.compared += 1 + len(s.holds)
		for name := range s.holds {
			t.holders[name] = append(t.holders[name], s)
		}
		t.countLoads(s, 1)
	}
	c.tally = t
	return t
}

// countLoads adds the loads that are pending at the server, times sign.
func (t *tally) countLoads(s *server, sign int) {
	if s.entry.Draining {
		return
	}
	for _, name := range s.pendingLoads() {
		if s.keeps(name) {
			continue
		}
		t.loading[name] += sign
		if s.pendingFromStore(name) {
			t.slow[name] += sign
		}
	}
}

// pendingFromStore reports whether the pending load of the model reads from the weight store.
func (s *server) pendingFromStore(model string) bool {
	switch {
	case s.remoteStatus != nil:
		return s.remoteStatus.FromStore
	case s.orderedLoad() == model:
		return s.order.usesStore
	}
	return s.sourceOf(model) == fromStore
}

// pendingLoads returns the models whose load is ordered or planned at the server.
func (s *server) pendingLoads() []string {
	var models []string
	add := func(name string) {
		if name != "" && !slices.Contains(models, name) {
			models = append(models, name)
		}
	}
	if s.remoteStatus != nil {
		add(s.remoteStatus.Loading)
		return models
	}
	add(s.orderedLoad())
	if s.plan != nil {
		add(s.plan.model)
	}
	return models
}

// setPlan replaces the plan of a server, nil for none, and drops what the tally derived from it.
func (c *Core) setPlan(s *server, p *plan) {
	t := c.counted()
	t.countLoads(s, -1)
	changed := append(s.plan.models(), p.models()...)
	s.plan = p
	t.countLoads(s, 1)
	delete(t.victims, s)
	for _, name := range changed {
		delete(t.models, name)
		for _, holder := range t.holders[name] {
			delete(t.victims, holder)
		}
	}
}

// models returns the models that the plan loads or unloads.
func (p *plan) models() []string {
	if p == nil {
		return nil
	}
	return append(slices.Clone(p.victims), p.model)
}

// modelTally returns what the tick knows of the model.
func (c *Core) modelTally(now time.Time, model string) *modelTally {
	t := c.counted()
	m := t.models[model]
	if m != nil {
		return m
	}
	m = &modelTally{worth: c.modelWorth(now, model), needed: c.neededCopies(now, model, 1), enough: c.neededCopies(now, model, surplusFactor)}
	c.compared += len(t.holders[model])
	for _, s := range t.holders[model] {
		if !s.entry.Draining && s.keeps(model) {
			m.keepers = append(m.keepers, copyHash(model, s.entry.ID))
		}
	}
	slices.SortFunc(m.keepers, func(a, b uint64) int { return cmp.Compare(b, a) })
	m.copies = len(m.keepers) + t.loading[model]
	t.models[model] = m
	return m
}

// copyCount counts the servers that hold the model and will keep it, and those with
// a pending load of it.
func (c *Core) copyCount(now time.Time, model string) int { return c.modelTally(now, model).copies }

// copyWorth returns the worth of a server's copy of the model. The copies are ordered
// by copyHash, so that all cells agree on which ones are surplus and no two cells
// unload a needed copy at the same time.
func (c *Core) copyWorth(now time.Time, s *server, model string) float64 {
	m := c.modelTally(now, model)
	own := copyHash(model, s.entry.ID)
	preceding := 0
	for preceding < len(m.keepers) && m.keepers[preceding] > own {
		preceding++
	}
	c.compared += preceding + 1
	switch {
	case preceding >= m.enough:
		return m.worth * surplusWeight
	case preceding >= m.needed:
		return m.worth * spareWeight
	case preceding > 0:
		return m.worth * extraCopyWeight
	}
	return m.worth
}

// evictable returns the models that may be unloaded from the server, the one of least worth
// first.
func (c *Core) evictable(now time.Time, s *server) []victim {
	t := c.counted()
	if found, known := t.victims[s]; known {
		return found
	}
	found := []victim{}
	for name, held := range s.holds {
		// Right after the start, the time since which a model is held is that of its first
		// report, not of its load, so minHoldTime does not apply yet.
		if now.Sub(held.heldSince) < minHoldTime && now.Sub(c.startedAt) > minHoldTime || name == s.unloadingModel() {
			continue
		}
		found = append(found, victim{name, c.copyWorth(now, s, name), c.occupiedMB(name, len(held.adapterUsed))})
	}
	slices.SortFunc(found, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.worth, b.worth), strings.Compare(a.model, b.model))
	})
	t.victims[s] = found
	return found
}

// victims returns the models to unload from the server so that the new one
// fits, the one of least worth first, and their total worth. It reports false if
// unloading all that may be unloaded is not enough.
func (c *Core) victims(now time.Time, s *server, m *routes.Model, protected map[string]bool) ([]string, float64, bool) {
	excess := c.usedMB(s) + m.WeightsMB - c.engine.WeightsMB
	if excess <= 0 {
		return nil, 0, true
	}
	var models []string
	worth := 0.0
	for _, v := range c.evictable(now, s) {
		if protected[v.model] && c.copyCount(now, v.model) <= 1 {
			continue
		}
		models = append(models, v.model)
		worth += v.worth
		if excess -= v.mb; excess <= 0 {
			return models, worth, true
		}
	}
	return nil, 0, false
}
