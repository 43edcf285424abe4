package loader

import (
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// withdrawnUnloadDelay is the time for which this loader has known that the desired state does not
// have a model before it is unloaded for that reason: the version in force may be older than
// the one by which another node loaded it.
const withdrawnUnloadDelay = 5 * time.Second

// follow puts a desired state of the engine in force.
func (c *Core) follow(now time.Time, e *routes.Engine) {
	if e == c.engine {
		return
	}
	if c.engine != nil {
		for i := range c.engine.Models {
			m := &c.engine.Models[i]
			c.withdrawn[m.Name] = m
		}
	}
	c.engine, c.engineSince = e, now
	c.models = make(map[string]*routes.Model, len(e.Models))
	for i := range e.Models {
		c.models[e.Models[i].Name] = &e.Models[i]
	}
	for name := range c.withdrawn {
		if c.models[name] != nil || !c.anyUses(name) {
			delete(c.withdrawn, name)
		}
	}
}

// anyUses reports whether any server holds the model or was ordered to load it.
func (c *Core) anyUses(model string) bool {
	for _, s := range c.servers {
		if s.holds[model] != nil || s.orderedLoad() == model {
			return true
		}
	}
	return false
}

// sizesOf returns the model with its sizes, also if it was withdrawn; nil if it is not known.
func (c *Core) sizesOf(model string) *routes.Model {
	if m := c.models[model]; m != nil {
		return m
	}
	return c.withdrawn[model]
}

// sizesKnown reports whether the sizes of all models on the server are known.
func (c *Core) sizesKnown(s *server) bool {
	for name := range s.holds {
		if c.sizesOf(name) == nil {
			return false
		}
	}
	return true
}

// occupiedMB returns the memory in MB that a model and a number of its adapters occupy. A model of
// unknown size occupies all.
func (c *Core) occupiedMB(model string, adapters int) float64 {
	if m := c.sizesOf(model); m != nil {
		return m.WeightsMB + float64(adapters)*m.AdapterSizeMB
	}
	return c.engine.WeightsMB
}

// usedMB returns the memory in MB that the models and adapters on a server occupy, with those of a
// load in progress.
func (c *Core) usedMB(s *server) float64 {
	used := 0.0
	for name, held := range s.holds {
		used += c.occupiedMB(name, len(held.adapterUsed))
	}
	if l := s.orderedLoad(); l != "" && s.holds[l] == nil {
		used += c.occupiedMB(l, 0)
	}
	return used
}

// unloadWithdrawn plans the unload of models that the desired state does not have, at servers that
// have nothing else to do.
func (c *Core) unloadWithdrawn(now time.Time) {
	if now.Sub(c.engineSince) < withdrawnUnloadDelay || now.Sub(c.startedAt) < withdrawnUnloadDelay {
		return
	}
	for _, s := range c.sortedServers() {
		if !s.ready() || s.plan != nil {
			continue
		}
		var models []string
		for name := range s.holds {
			if c.models[name] == nil {
				models = append(models, name)
			}
		}
		if len(models) > 0 {
			slices.Sort(models)
			c.setPlan(s, &plan{victims: models, plannedAt: now})
		}
	}
}

// loadOrder returns the order to load a model at the server, which holds no more victims of its
// plan; false if it does not fit, as an adapter took the memory meanwhile.
func (c *Core) loadOrder(s *server, m *routes.Model, token uint64) (replicas.Order, bool) {
	o := replicas.Order{ServerID: s.entry.ID, Model: m.Name, After: s.acceptedOrders, Leader: c.settings.Leader, Token: token}
	return o, c.usedMB(s)+m.WeightsMB <= c.engine.WeightsMB
}
