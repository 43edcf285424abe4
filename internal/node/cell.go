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

// suspectHold is how long a new controller keeps suspected requests from
// starting, as it does not know which copies run.
const suspectHold = 30 * time.Second

// cell holds the cores that control the cell while this node is in office:
// controller, queue and quarantine. All are called under one mutex.
type cell struct {
	node       *Node
	mu         sync.Mutex
	controller *controller.Core
	queue      *admission.Queue
	quarantine *quarantine.Table
	authority  lease.Authority
	holder     atomic.Pointer[lease.Holder] // of authority, for readers without the mutex
	release    uint64                       // version that the cores have
	loads      map[fleet.ReplicaKey]admission.ReplicaLoad
	polls      map[string]chan admission.Decision // waiting Acquire calls by request id
	waiting    map[string]struct{}                // ids of requests that wait
	told       map[string]uint64                  // versions of quarantine items told to the members

	blocked       []controller.Blocked // at the last tick
	blockedLogged time.Time            // used by tick only
	estimatedAt   time.Time            // when the queue was last told the times of cold loads
}

func newCell(n *Node) *cell {
	cfg := n.cfg.Controller
	cfg.Incarnation = n.run
	c := &cell{
		node:       n,
		controller: controller.New(cfg, n.cfg.Cell, n.cfg.ID),
		quarantine: quarantine.New(n.cfg.Quarantine),
		loads:      make(map[fleet.ReplicaKey]admission.ReplicaLoad),
		polls:      make(map[string]chan admission.Decision),
		waiting:    make(map[string]struct{}),
		told:       make(map[string]uint64),
	}
	c.queue = c.newQueue(0)
	return c
}

// newQueue returns an empty queue for one term of office.
func (c *cell) newQueue(epoch fleet.Epoch) *admission.Queue {
	s := c.node.cfg.Admission
	s.GrantPrefix = fmt.Sprintf("%s-%d", c.node.cfg.ID, epoch)
	s.Quarantine = c.quarantine
	return admission.New(s)
}

// tick runs the cores and carries out what they ask for.
func (c *cell) tick(ctx context.Context, now time.Time) error {
	authority := c.node.office.authority(now)
	c.holder.Store(&authority.Holder)
	c.mu.Lock()
	c.setAuthority(now, authority)
	c.setRelease(now)
	effects := c.controller.Tick(now, c.demands(now), c.node.cfg.Retention)
	if authority.InOffice {
		c.queue.SetReplicas(now, c.controller.Replicas(), c.replicaLoads())
		c.estimateColdLoads(now)
		c.deliver(c.queue.Tick(now))
	}
	c.mu.Unlock()
	c.carryOut(ctx, now, effects)
	return nil
}

// demands returns what waits. A node that is cut off from all others and from
// the store orders no loads, as it may not know what is in force.
func (c *cell) demands(now time.Time) []fleet.Demand {
	if c.node.catalog.getStanding() != release.StandingCurrent {
		return nil
	}
	return c.queue.Demands(now)
}

// setAuthority starts or ends a term of office. Requests that wait at the end
// of a term are told to ask the successor.
func (c *cell) setAuthority(now time.Time, a lease.Authority) {
	began := a.InOffice && (!c.authority.InOffice || a.Epoch != c.authority.Epoch)
	ended := c.authority.InOffice && !a.InOffice
	c.authority = a
	c.controller.SetAuthority(now, a)
	if !began && !ended {
		return
	}
	level.Info(c.node.cfg.Log).Log("event", "office", "in_office", a.InOffice, "epoch", a.Epoch, "holder", a.Holder.Node)
	c.queue = c.newQueue(a.Epoch)
	c.release = 0
	c.estimatedAt = time.Time{}
	clear(c.waiting)
	for id, poll := range c.polls {
		close(poll)
		delete(c.polls, id)
	}
	if began && a.Epoch > 1 {
		c.quarantine.Hold(now.Add(suspectHold))
	}
}

// setRelease hands a newer release to the cores.
func (c *cell) setRelease(now time.Time) {
	current := c.node.catalog.current.Load()
	if current.version == c.release {
		return
	}
	c.release = current.version
	c.controller.SetRelease(now, current.version, current.models, current.adapters)
	c.queue.SetModels(now, current.models, current.adapters)
	settings := rankTerms(c.node.cfg.Admission, current.ranks)
	if err := settings.Validate(); err != nil {
		level.Error(c.node.cfg.Log).Log("event", "rank_terms_ignored", "version", current.version, "err", err)
		return
	}
	c.queue.SetRanks(settings.Ranks)
}

// rankTerms returns the node's own settings with what the release overrides.
func rankTerms(s admission.Settings, overrides []release.RankSettings) admission.Settings {
	for _, o := range overrides {
		terms := &s.Ranks[o.Rank]
		if o.Target > 0 {
			terms.FirstTokenTarget = o.Target
		}
		terms.Floor, terms.Worth = o.Floor, o.Worth
	}
	return s
}

func (c *cell) setBackends(records []platform.VMRecord, asOf time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.SetBackends(time.Now(), records, asOf)
}

// entryLost frees what a run of an entry node held.
func (c *cell) entryLost(id fleet.NodeID, run fleet.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.EntryLost(time.Now(), id, run)
	c.deliver(c.queue.Decided())
}

// deliver passes decisions to the calls that wait for them. A decision that no
// call waits for is asked for again by its entry node.
func (c *cell) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		delete(c.waiting, d.RequestID)
		if poll := c.polls[d.RequestID]; poll != nil {
			poll <- d
			delete(c.polls, d.RequestID)
		}
	}
}

// handleReport takes in what an engine said of itself.
func (c *cell) handleReport(requestedAt time.Time, r engine.Report) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controller.HandleReport(now, requestedAt, r)
	c.noteLoads(r)
}

// noteLoads keeps the loads that the engine reported, for the queue.
func (c *cell) noteLoads(r engine.Report) {
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

// estimateInterval is the interval at which the times of loads are estimated.
const estimateInterval = time.Second

// estimateColdLoads gives the queue the time to load each model with no
// replica. Nobody is refused because of a model whose nearest copy is not known.
func (c *cell) estimateColdLoads(now time.Time) {
	if now.Sub(c.estimatedAt) < estimateInterval {
		return
	}
	c.estimatedAt = now
	models := c.node.catalog.current.Load().models
	estimates := make([]admission.ColdEstimate, 0, len(models))
	for _, m := range models {
		estimates = append(estimates, admission.ColdEstimate{Model: m.ID, ReadyIn: c.controller.LeastLoadTime(m.ID)})
	}
	c.queue.SetColdEstimates(estimates)
}
