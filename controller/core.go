package controller

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/loadbudget"
	"github.com/redwingnotch/redwingnotch/placement"
)

// Core is one node's controller of one cell. It sends orders only while it is
// active.
type Core struct {
	cfg  Config
	cell fleet.CellID
	self lease.Holder

	auth        lease.Authority
	active      bool        // a term has started and its tables are in use
	suspended   bool        // this node is not the active controller now; tables are retained, nothing is sent
	termStart   time.Time   // reports requested earlier are ignored
	epoch       fleet.Epoch // epoch of the latest term; never decreases
	higherEpoch fleet.Epoch // highest epoch of another controller seen; zero if none
	lastTick    time.Time
	orderSeq    uint64

	releaseVersion uint64
	models         map[fleet.ModelID]fleet.Model
	adapters       map[fleet.Target]fleet.Adapter

	vmListTime time.Time // time of the newest VM list
	backends   map[fleet.BackendID]*backend
	sorted     []*backend               // values of backends, sorted by id
	stopping   map[fleet.BackendID]bool // backend servers that an operator is stopping

	openOrders             map[string]*openOrder
	inheritedIntents       map[string]*inheritedIntent
	serverSets             serverSetTable
	evictionPlans          map[fleet.ModelID]evictionPlan
	lastRequested          map[fleet.Target]time.Time // time of the last request for the target
	adaptersCheckedVersion uint64                     // release version whose obsolete adapters have all been unloaded
	budget                 *loadbudget.Budget
	placedOn               map[fleet.ModelID]map[fleet.BackendID]struct{} // backend servers that hold a replica of the model
}

// New returns a controller that is not active.
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
	c.endTerm()
	return c
}

// SetAuthority applies the result of lease.Core.Authority. Depending on it, the
// controller starts a term, continues, is suspended or steps down.
func (c *Core) SetAuthority(now time.Time, a lease.Authority) {
	c.auth = a
	c.suspended = !a.Active
	switch {
	case a.Active && c.higherEpoch > a.Epoch:
		return
	case a.Active && (!c.active || a.Epoch != c.epoch):
		c.startTerm(now, a)
	case !a.Active && a.Epoch > c.epoch:
		c.stepDown(a.Epoch)
	}
	if !c.active || c.suspended {
		return
	}
	c.serverSets.update(a.ServerSets)
}

// startTerm begins a term with empty tables and the intents of the lease
// record. What is loaded is read from the engines.
func (c *Core) startTerm(now time.Time, a lease.Authority) {
	invariant.Check(a.Epoch > c.epoch, invariant.EpochMonotonic,
		"cell %s: term starts with epoch %d after epoch %d", c.cell, a.Epoch, c.epoch)
	c.endTerm()
	c.active = true
	c.epoch = a.Epoch
	c.termStart = c.afterTick(now)
	c.budget = loadbudget.New(now, c.cfg.Budget)
	for _, i := range a.Intents {
		c.inheritedIntents[i.OrderID] = &inheritedIntent{Intent: i}
	}
}

func (c *Core) endTerm() {
	c.active = false
	c.adaptersCheckedVersion = 0
	c.openOrders = map[string]*openOrder{}
	c.inheritedIntents = map[string]*inheritedIntent{}
	c.evictionPlans = map[fleet.ModelID]evictionPlan{}
	c.lastRequested = map[fleet.Target]time.Time{}
	c.placedOn = map[fleet.ModelID]map[fleet.BackendID]struct{}{}
	c.serverSets = serverSetTable{}
	for _, b := range c.backends {
		b.reset()
	}
}

// stepDown records that another controller has a higher epoch and drops the
// tables. No order is sent after it. The term cannot be resumed, because its
// orders in flight are forgotten with the tables.
func (c *Core) stepDown(epoch fleet.Epoch) {
	c.higherEpoch = max(c.higherEpoch, epoch)
	if c.active {
		c.endTerm()
	}
}

// afterTick returns a time that is later than the request times of all reports
// requested by ticks up to now, and not later than those of later ticks.
func (c *Core) afterTick(now time.Time) time.Time {
	if now.After(c.lastTick) {
		return now
	}
	return c.lastTick.Add(1)
}

// SetRelease sets the models and adapters in force. A version that is not
// higher than the last is ignored.
func (c *Core) SetRelease(_ time.Time, releaseVersion uint64, ms []fleet.Model, as []fleet.Adapter) {
	if releaseVersion <= c.releaseVersion {
		return
	}
	c.releaseVersion = releaseVersion
	c.serverSets.resetCandidates()
	clear(c.models)
	for _, m := range ms {
		c.models[m.ID] = m
	}
	clear(c.adapters)
	for _, a := range as {
		c.adapters[fleet.Target{Model: a.Model, Adapter: a.ID}] = a
	}
}

// inForce returns a model and reports whether it is in force and accepts new
// work.
func (c *Core) inForce(id fleet.ModelID) (fleet.Model, bool) {
	m, ok := c.models[id]
	return m, ok && !m.Withdrawn
}

// Tick returns the orders to send and the reports to request at now.
func (c *Core) Tick(now time.Time, demands []fleet.Demand, retention Retention) Effects {
	c.lastTick = now
	if !c.active || c.suspended {
		return c.inactiveEffects()
	}
	t := c.newTick(now, demands, retention)
	c.budget.SetShare(now, c.budgetShare())
	c.contactEngines(t)
	c.resolveInherited(t)
	c.updateServerSet(t)
	c.markDraining(t)
	c.planLoads(t)
	c.loadAdapters(t)
	c.unloadDraining(t)
	c.sendDueOrders(t)
	t.effects.DesiredRecord = c.desired()
	return t.effects
}

func (c *Core) inactiveEffects() Effects {
	if c.higherEpoch > c.epoch {
		return Effects{HigherEpoch: c.higherEpoch}
	}
	return Effects{}
}

// budgetShare returns the share of the weight store's limits that this
// controller may use. docs/design/authority.md derives the shares.
func (c *Core) budgetShare() float64 {
	switch {
	case c.auth.SuccessorPosition > 0:
		return loadbudget.ShareSuccessor
	case !c.auth.StoreContact, !c.auth.SuccessorsAlive:
		return loadbudget.ShareHalf
	case !c.auth.PredecessorsStopped && !c.allEpochsRaised():
		return loadbudget.ShareHalf
	default:
		return loadbudget.ShareWhole
	}
}

// allEpochsRaised reports whether no engine accepts orders of an earlier term
// any more.
func (c *Core) allEpochsRaised() bool {
	for _, b := range c.sorted {
		if b.isEngine() && !b.epochRaised {
			return false
		}
	}
	return true
}

// Replicas returns the replicas of the cell, sorted by key. The caller owns the
// slice and its elements.
func (c *Core) Replicas() []fleet.Replica {
	var sorted []fleet.Replica
	for _, b := range c.sorted {
		for _, r := range b.sorted {
			sorted = append(sorted, c.record(b, r))
		}
	}
	return sorted
}

func (c *Core) record(b *backend, r *replica) fleet.Replica {
	return fleet.Replica{
		ReplicaKey:  r.key,
		Address:     b.record.Address,
		State:       r.state,
		MemoryBytes: r.committed(),
		Slots:       r.slots,
		Adapters:    r.residentAdapters(),
		ReadyAt:     r.readyAt,
		LastUsed:    r.lastUsed,
		Draining:    r.draining || r.state == fleet.ReplicaUnloading || b.draining(c.stopping),
	}
}

// loadDuration returns the expected duration of a load at a backend server.
func (b *backend) loadDuration(m fleet.Model) time.Duration {
	return placement.LoadDuration(m.LoadTime, b.locality(m.ID, m.Version))
}
