package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/quarantine"
	"github.com/redwingnotch/redwingnotch/release"
)

// suspectHold is how long a new controller does not start suspected requests, since
// it does not know which of them its predecessor has started.
const suspectHold = 30 * time.Second

// cell holds the cores that control the cell while this node is the active
// controller: controller, admission queue and quarantine table. mu guards the cores
// and the other fields, except node, activeController and blockedLoggedAt.
type cell struct {
	node             *Node
	mu               sync.Mutex
	controller       *controller.Core
	queue            *admission.Queue
	queueCount       uint64 // queues created so far
	wasActive        bool   // this node has been the active controller
	quarantine       *quarantine.Table
	authority        lease.Authority
	activeController atomic.Pointer[lease.Holder] // copy of authority.Holder for readers without mu
	releaseVersion   uint64                       // last release version passed to the cores
	loads            map[fleet.ReplicaKey]admission.ReplicaLoad
	acquireCalls     map[string]chan admission.Decision // blocked Acquire calls by request id
	waitingIDs       map[string]struct{}                // ids of requests in the queue
	publishedItems   map[string]uint64                  // by item key: newest version of a quarantine item published or received

	blocked         []controller.Blocked // targets blocked at the last tick
	blockedLoggedAt time.Time            // last time blocked was logged; used by tick only
	coldEstimatesAt time.Time            // last time the queue got cold load estimates
}

func newCell(n *Node) *cell {
	cfg := n.cfg.Controller
	cfg.Incarnation = n.incarnation
	c := &cell{
		node:           n,
		controller:     controller.New(cfg, n.cfg.Cell, n.cfg.ID),
		quarantine:     quarantine.New(n.cfg.Quarantine),
		loads:          make(map[fleet.ReplicaKey]admission.ReplicaLoad),
		acquireCalls:   make(map[string]chan admission.Decision),
		waitingIDs:     make(map[string]struct{}),
		publishedItems: make(map[string]uint64),
	}
	c.queue = c.newQueue(0)
	return c
}

// newQueue returns an empty queue for one term as active controller. A term that was
// suspended goes on with a new queue and the same epoch, so the epoch alone does not
// make grant ids unique.
func (c *cell) newQueue(epoch fleet.Epoch) *admission.Queue {
	c.queueCount++
	s := c.node.cfg.Admission
	s.GrantPrefix = fmt.Sprintf("%s-%d-%d", c.node.cfg.ID, epoch, c.queueCount)
	s.Quarantine = c.quarantine
	return admission.New(s)
}

// tick runs the cores and applies their effects.
func (c *cell) tick(ctx context.Context, now time.Time) error {
	authority := c.node.leaseLoop.authority(now)
	c.activeController.Store(&authority.Holder)
	c.mu.Lock()
	c.setAuthority(now, authority)
	c.setRelease(now)
	effects := c.controller.Tick(now, c.currentDemands(now), c.node.cfg.Retention)
	if authority.Active {
		c.queue.SetReplicas(now, c.controller.Replicas(), c.replicaLoads())
		c.estimateColdLoads(now)
		c.deliver(c.queue.Tick(now))
	}
	c.mu.Unlock()
	c.applyEffects(ctx, now, effects)
	return nil
}

// currentDemands returns the targets with waiting requests. It returns none unless the
// release is current: a node cut off from all others and from the store does not
// know what is in force, so it must not order loads.
func (c *cell) currentDemands(now time.Time) []fleet.Demand {
	if c.node.catalog.getSyncState() != release.SyncCurrent {
		return nil
	}
	return c.queue.Demands(now)
}

// setAuthority starts or ends a term as active controller. When a term ends, waiting
// Acquire calls are redirected to the successor. The caller holds c.mu.
func (c *cell) setAuthority(now time.Time, a lease.Authority) {
	began := a.Active && (!c.authority.Active || a.Epoch != c.authority.Epoch)
	ended := c.authority.Active && !a.Active
	c.authority = a
	c.controller.SetAuthority(now, a)
	if !began && !ended {
		return
	}
	level.Info(c.node.cfg.Log).Log("event", "office", "in_office", a.Active, "epoch", a.Epoch, "holder", a.Holder.Node)
	c.queue = c.newQueue(a.Epoch)
	c.releaseVersion = 0
	c.coldEstimatesAt = time.Time{}
	clear(c.waitingIDs)
	for id, decided := range c.acquireCalls {
		close(decided)
		delete(c.acquireCalls, id)
	}
	// The first term of a cell has no predecessor, unless it was suspended.
	if began && (a.Epoch > 1 || c.wasActive) {
		c.quarantine.HoldSuspects(now.Add(suspectHold))
	}
	c.wasActive = true
}

// setRelease passes a newer release on to the cores. The caller holds c.mu.
func (c *cell) setRelease(now time.Time) {
	current := c.node.catalog.current.Load()
	if current.version == c.releaseVersion {
		return
	}
	c.releaseVersion = current.version
	c.controller.SetRelease(now, current.version, current.models, current.adapters)
	c.queue.SetModels(now, current.models, current.adapters)
	settings := withRankOverrides(c.node.cfg.Admission, current.ranks)
	if err := settings.Validate(); err != nil {
		level.Error(c.node.cfg.Log).Log("event", "rank_terms_ignored", "version", current.version, "err", err)
		return
	}
	c.queue.SetRanks(settings.Ranks)
}

// withRankOverrides returns the settings s with the overrides of the release
// applied.
func withRankOverrides(s admission.Settings, overrides []release.RankSettings) admission.Settings {
	for _, o := range overrides {
		rank := &s.Ranks[o.Rank]
		if o.Target > 0 {
			rank.FirstTokenTarget = o.Target
		}
		rank.Floor, rank.Worth = o.Floor, o.Worth
	}
	return s
}

func (c *cell) setBackends(records []platform.VMRecord, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.SetBackends(time.Now(), records, asOf)
}

// dropEntryNode frees the slots and queue places of one run of an entry node.
func (c *cell) dropEntryNode(id fleet.NodeID, run fleet.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.EntryNodeFailed(time.Now(), id, run)
	c.deliver(c.queue.TakeDecisions())
}

// deliver passes decisions to the Acquire calls that wait for them. If no call is
// waiting, the entry node gets the decision with its next Acquire call.
func (c *cell) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		delete(c.waitingIDs, d.RequestID)
		if decided := c.acquireCalls[d.RequestID]; decided != nil {
			decided <- d
			delete(c.acquireCalls, d.RequestID)
		}
	}
}

// handleReport processes a report of an engine.
func (c *cell) handleReport(requestedAt time.Time, r engine.Report) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.HandleReport(now, requestedAt, r)
	c.recordLoads(r)
}

// recordLoads replaces the stored loads of the reporting engine, for the queue.
func (c *cell) recordLoads(r engine.Report) {
	for key := range c.loads {
		if key.Backend == r.Backend {
			delete(c.loads, key)
		}
	}
	for _, loaded := range r.Replicas {
		key := fleet.ReplicaKey{Backend: r.Backend, Boot: r.Boot, Model: loaded.Model, Version: loaded.Version}
		c.loads[key] = admission.ReplicaLoad{Key: key, Running: loaded.Running, Waiting: loaded.Waiting, MeasuredAt: r.MeasuredAt}
	}
}

func (c *cell) replicaLoads() []admission.ReplicaLoad {
	loads := make([]admission.ReplicaLoad, 0, len(c.loads))
	for _, l := range c.loads {
		loads = append(loads, l)
	}
	return loads
}

// estimateInterval is the time between two updates of the cold load estimates.
const estimateInterval = time.Second

// estimateColdLoads passes the estimated load time of each model on to the queue.
// The estimate is zero if the nearest copy of the model is not known, so that no
// request is refused because of it.
func (c *cell) estimateColdLoads(now time.Time) {
	if now.Sub(c.coldEstimatesAt) < estimateInterval {
		return
	}
	c.coldEstimatesAt = now
	models := c.node.catalog.current.Load().models
	estimates := make([]admission.ColdEstimate, 0, len(models))
	for _, m := range models {
		estimates = append(estimates, admission.ColdEstimate{Model: m.ID, ReadyIn: c.controller.MinLoadTime(m.ID)})
	}
	c.queue.SetColdEstimates(estimates)
}
