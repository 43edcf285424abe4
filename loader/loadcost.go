package loader

import (
	"time"

	"github.com/redwingnotch/redwingnotch/waiting"
)

// Parameters of load costs.
const (
	estimateWait      = 150 * time.Millisecond // longest wait for the other cells' load costs
	estimateTTL       = 1 * time.Second        // a load cost that was not updated for this long is dropped
	notAllowedPenalty = 2.0                    // seconds added for a server that this node may not order yet
	noEstimate        = 1e9                    // cost published by a cell that cannot load the model
)

// loadCost is what it would cost this cell to load a model or adapter that requests
// wait for or that needs another copy. Cells publish their costs; the cell with the
// lowest one loads it.
type loadCost struct {
	cost      float64   // estimate as in candidate.cost, or noEstimate
	firstAt   time.Time // time of the first estimate
	updatedAt time.Time // time of the latest estimate
}

// costName returns the name under which cells publish what it costs to load what requests wait
// for. A model waited for on servers of one version of the software has a cost of its own.
func costName(d waiting.ModelDemand) string {
	name := d.Model
	if d.Adapter != "" {
		name += "/" + d.Adapter
	}
	if d.Software != "" {
		name += "@" + d.Software
	}
	return name
}

// hasLowestCost records this cell's cost of loading the named model or model/adapter,
// noEstimate unless canLoad, and reports whether it is the lowest of all live cells.
// It waits for the costs of other cells for estimateWait at most. Of equal costs,
// that of the first cell by name wins.
func (c *Core) hasLowestCost(now time.Time, name string, choice candidate, canLoad bool) bool {
	cost := noEstimate
	if canLoad {
		cost = choice.cost
	}
	own, exists := c.loadCosts[name]
	if !exists {
		own.firstAt = now
		c.effects.Changed = true
	}
	own.cost, own.updatedAt = cost, now
	c.loadCosts[name] = own
	if !canLoad {
		return false
	}
	for _, cell := range c.input.LiveCells {
		if cell == c.settings.Cell {
			continue
		}
		other, published := c.input.LoadCost(cell, name)
		if !published {
			if now.Sub(own.firstAt) < estimateWait {
				return false
			}
			continue
		}
		if other < cost || other == cost && cell < c.settings.Cell {
			return false
		}
	}
	return true
}

// LoadCosts returns this cell's load costs by model or model/adapter, and drops old ones.
func (c *Core) LoadCosts(now time.Time) map[string]float64 {
	costs := map[string]float64{}
	for name, own := range c.loadCosts {
		if now.Sub(own.updatedAt) > estimateTTL {
			delete(c.loadCosts, name)
			continue
		}
		costs[name] = own.cost
	}
	return costs
}
