package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/platform"
)

// Core controls one cell for one node.
type Core struct {
	cfg  Config
	cell fleet.CellID
	node fleet.NodeID
}

// New returns a controller that is not in office.
func New(cfg Config, cell fleet.CellID, node fleet.NodeID) *Core {
	return &Core{cfg: cfg.withDefaults(), cell: cell, node: node}
}

// SetAuthority takes in what lease.Core.Authority returned.
func (c *Core) SetAuthority(now time.Time, a lease.Authority) {}

// SetRelease takes in the models and adapters in force. Lower versions are
// ignored.
func (c *Core) SetRelease(now time.Time, version uint64, ms []fleet.Model, as []fleet.Adapter) {}

// SetBackends takes in the platform's VM list as of a time of the platform.
func (c *Core) SetBackends(now time.Time, rs []platform.VMRecord, asOf time.Time) {}

// SetStopping names the backend servers that an operator stops as planned.
func (c *Core) SetStopping(now time.Time, ids []fleet.BackendID) {}

// HandleReport takes in a report and the time of the Tick that requested it.
func (c *Core) HandleReport(now time.Time, requestedAt time.Time, r engine.Report) {}

// HandleOrderResult takes in the end of one sending of an order.
func (c *Core) HandleOrderResult(now time.Time, res OrderResult) {}

// Tick returns what to do now.
func (c *Core) Tick(now time.Time, demands []fleet.Demand, keep Retention) Effects {
	return Effects{}
}

// Replicas returns the replicas of the cell, ordered by key. The slice and its
// rows are the caller's.
func (c *Core) Replicas() []fleet.Replica { return nil }
