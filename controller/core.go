package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/loadbudget"
	"github.com/redwingnotch/redwingnotch/placement"
)

// Core controls one cell for one node.
type Core struct {
	cfg  Config
	cell fleet.CellID
	self lease.Holder

	auth      lease.Authority
	inOffice  bool        // has tables
	suspended bool        // authority is in doubt: keeps its tables and sends nothing
	officeAt  time.Time   // only what was requested since then counts
	epoch     fleet.Epoch // of the last office; never falls
	deposed   fleet.Epoch // higher epoch seen at an engine
	lastTick  time.Time
	orderSeq  uint64

	version  uint64
	models   map[fleet.ModelID]fleet.Model
	adapters map[fleet.Target]fleet.Adapter

	listAsOf time.Time // of the newest VM list
	backends map[fleet.BackendID]*backend
	rows     []*backend // of backends, sorted by id
	stopping map[fleet.BackendID]bool

	open            map[string]*openOrder
	inherited       map[string]*inheritedIntent
	rosters         rosterTable
	plans           map[fleet.ModelID]plan
	used            map[fleet.Target]time.Time
	adaptersChecked uint64 // release by which no adapter is left to unload
	budget          *loadbudget.Budget
	placed          map[fleet.ModelID]map[fleet.BackendID]struct{} // where replicas stand
}

// New returns a controller that is not in office.
func New(cfg Config, cell fleet.CellID, node fleet.NodeID) *Core {
	c := &Core{
		cfg:      cfg.withDefaults(),
		cell:     cell,
		self:     lease.Holder{Node: node, Incarnation: cfg.Incarnation},
		models:   map[fleet.ModelID]fleet.Model{},
		adapters: map[fleet.Target]fleet.Adapter{},
		backends: map[fleet.BackendID]*backend{},
		stopping: map[fleet.BackendID]bool{},
	}
	c.leaveOffice()
	return c
}

// SetAuthority takes in what lease.Core.Authority returned.
func (c *Core) SetAuthority(now time.Time, a lease.Authority) {
	c.auth = a
	c.suspended = !a.InOffice
	switch {
	case a.InOffice && c.deposed > a.Epoch:
		return
	case a.InOffice && (!c.inOffice || a.Epoch != c.epoch):
		c.takeOffice(now, a)
	case !a.InOffice && a.Epoch > c.epoch:
		c.depose(a.Epoch)
	}
	if !c.inOffice || c.suspended {
		return
	}
	c.rosters.set(a.Rosters)
}

// takeOffice starts from nothing but the record: what is loaded is read from
// the engines.
func (c *Core) takeOffice(now time.Time, a lease.Authority) {
	invariant.Check(a.Epoch > c.epoch, invariant.EpochMonotonic,
		"cell %s: takes office with epoch %d after %d", c.cell, a.Epoch, c.epoch)
	c.leaveOffice()
	c.inOffice = true
	c.epoch = a.Epoch
	c.officeAt = c.afterTick(now)
	c.budget = loadbudget.New(now, c.cfg.Budget)
	for _, i := range a.Intents {
		c.inherited[i.OrderID] = &inheritedIntent{Intent: i}
	}
}

func (c *Core) leaveOffice() {
	c.inOffice = false
	c.adaptersChecked = 0
	c.open = map[string]*openOrder{}
	c.inherited = map[string]*inheritedIntent{}
	c.plans = map[fleet.ModelID]plan{}
	c.used = map[fleet.Target]time.Time{}
	c.placed = map[fleet.ModelID]map[fleet.BackendID]struct{}{}
	c.rosters = rosterTable{}
	for _, b := range c.backends {
		b.forget()
	}
}

// depose takes in that another controller has a higher epoch. No order leaves
// after it, and the tables are dropped: this office cannot be taken up again,
// as its orders under way would be forgotten.
func (c *Core) depose(epoch fleet.Epoch) {
	c.deposed = max(c.deposed, epoch)
	if c.inOffice {
		c.leaveOffice()
	}
}

// afterTick returns a time such that report requests of ticks up to now are
// before it and those of later ticks are not.
func (c *Core) afterTick(now time.Time) time.Time {
	if now.After(c.lastTick) {
		return now
	}
	return c.lastTick.Add(1)
}

// SetRelease takes in the models and adapters in force. Only a higher version
// than the last changes anything.
func (c *Core) SetRelease(_ time.Time, version uint64, ms []fleet.Model, as []fleet.Adapter) {
	if version <= c.version {
		return
	}
	c.version = version
	c.rosters.forgetModels()
	clear(c.models)
	for _, m := range ms {
		c.models[m.ID] = m
	}
	clear(c.adapters)
	for _, a := range as {
		c.adapters[fleet.Target{Model: a.Model, Adapter: a.ID}] = a
	}
}

// inForce returns the model if it takes new work.
func (c *Core) inForce(id fleet.ModelID) (fleet.Model, bool) {
	m, ok := c.models[id]
	return m, ok && !m.Withdrawn
}

// Tick returns what to do now.
func (c *Core) Tick(now time.Time, demands []fleet.Demand, keep Retention) Effects {
	c.lastTick = now
	if !c.inOffice || c.suspended {
		return c.outOfOffice()
	}
	t := c.newTick(now, demands, keep)
	c.budget.SetShare(now, c.share())
	c.contactEngines(t)
	c.settleInherited(t)
	c.updateRoster(t)
	c.markDraining(t)
	c.planLoads(t)
	c.loadAdapters(t)
	c.unloadDraining(t)
	c.sendDue(t)
	t.effects.Wanted = c.wanted()
	return t.effects
}

func (c *Core) outOfOffice() Effects {
	if c.deposed > c.epoch {
		return Effects{Deposed: c.deposed}
	}
	return Effects{}
}

// share returns the part of the weight store's limits that this controller may
// use. docs/design/authority.md gives the sums.
func (c *Core) share() float64 {
	switch {
	case c.auth.AdvanceRank > 0:
		return loadbudget.ShareSuccessor
	case !c.auth.StoreContact, !c.auth.SuccessorsAlive:
		return loadbudget.ShareHalf
	case !c.auth.PredecessorStopped && !c.allRaised():
		return loadbudget.ShareHalf
	default:
		return loadbudget.ShareWhole
	}
}

// allRaised reports whether no engine takes orders of an earlier controller.
func (c *Core) allRaised() bool {
	for _, b := range c.rows {
		if b.isEngine() && !b.raised {
			return false
		}
	}
	return true
}

// Replicas returns the replicas of the cell, ordered by key. The slice and its
// rows are the caller's.
func (c *Core) Replicas() []fleet.Replica {
	var rows []fleet.Replica
	for _, b := range c.rows {
		for _, r := range b.rows {
			rows = append(rows, c.row(b, r))
		}
	}
	return rows
}

func (c *Core) row(b *backend, r *replica) fleet.Replica {
	return fleet.Replica{
		ReplicaKey:  r.key,
		Address:     b.row.Address,
		State:       r.state,
		MemoryBytes: r.committed(),
		Slots:       r.slots,
		Adapters:    r.residentAdapters(),
		ReadyAt:     r.readyAt,
		LastUsed:    r.lastUsed,
		Draining:    r.draining || r.state == fleet.ReplicaUnloading || b.draining(c.stopping),
	}
}

// loadDuration returns the expected time of a load at a backend server.
func (b *backend) loadDuration(m fleet.Model) time.Duration {
	return placement.LoadDuration(m.LoadTime, b.nearness(m.ID, m.Version))
}
