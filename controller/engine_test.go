package controller_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/platform"
)

// fakeEngine simulates an engine and checks the replica and memory limits at
// each load. It never refuses a load for lack of memory, so that overcommitted
// memory is detected.
type fakeEngine struct {
	c              *fakeCell
	id             fleet.BackendID
	fencing        bool
	memory         int64
	boot           fleet.BootID
	boots          int
	epoch          fleet.Epoch
	snapshot       engine.Report // content of lagging reports
	reportsFrozen  bool          // the snapshot is no longer refreshed
	dropOrdersFrom *testNode     // node whose orders are lost while its report requests arrive
	replicas       map[fleet.ModelID]*engine.LoadedReplica
	applied        []string
	cached         []engine.CachedWeights
	unresponsive   bool
	draining       bool
	drainAt        time.Time
	listedLeaving  bool
	removedAt      time.Time
	loadTimeFactor int // factor on load times
	loadCount      map[fleet.ModelID]int
}

func newEngine(c *fakeCell, id string, fencing bool, memory int64) *fakeEngine {
	e := &fakeEngine{
		c: c, id: fleet.BackendID(id), fencing: fencing, memory: memory, loadTimeFactor: 1, loadCount: map[fleet.ModelID]int{},
	}
	e.restart()
	return e
}

func (e *fakeEngine) restart() {
	e.boots++
	e.boot = fleet.BootID(fmt.Sprintf("%s-boot%d", e.id, e.boots))
	e.epoch = 0
	e.applied = nil
	e.snapshot, e.reportsFrozen = engine.Report{}, false
	e.replicas = map[fleet.ModelID]*engine.LoadedReplica{}
}

func (e *fakeEngine) up() bool { return !e.unresponsive && e.removedAt.IsZero() }

// laggingReport returns a report that is less than reportLag old, or older if
// reports are frozen.
func (e *fakeEngine) laggingReport() engine.Report {
	if !e.reportsFrozen && e.c.now.Sub(e.snapshot.MeasuredAt) >= reportLag {
		e.snapshot = e.report()
	}
	return e.snapshot
}

func (e *fakeEngine) report() engine.Report {
	r := engine.Report{
		Backend: e.id, Boot: e.boot, Epoch: e.epoch, Memory: e.memory, Draining: e.draining,
		AppliedOrders: slices.Clone(e.applied), Cached: e.cached, MeasuredAt: e.c.now,
	}
	for _, m := range e.c.models {
		if lr := e.replicas[m.ID]; lr != nil {
			row := *lr
			row.Adapters = slices.Clone(lr.Adapters)
			r.Replicas = append(r.Replicas, row)
		}
	}
	return r
}

func (e *fakeEngine) handleOrder(o engine.Order) (*engine.Report, error) {
	if e.fencing {
		if o.Epoch < e.epoch {
			return nil, engine.ErrFenced
		}
		if o.Boot != "" && o.Boot != e.boot {
			return nil, engine.ErrWrongBoot
		}
		e.epoch = o.Epoch
		if !e.c.now.Before(o.ExpiresAt) {
			return nil, engine.ErrExpired
		}
	}
	if !slices.Contains(e.applied, o.ID) {
		if err := e.apply(o); err != nil {
			return nil, err
		}
		e.applied = append(e.applied, o.ID)
	}
	r := e.report()
	return &r, nil
}

func (e *fakeEngine) apply(o engine.Order) error {
	row := e.replicas[o.Model]
	switch o.Kind {
	case engine.OrderLoad:
		if e.draining {
			return engine.ErrDraining
		}
		e.load(o)
	case engine.OrderUnload:
		if row == nil {
			return engine.ErrNotLoaded
		}
		delete(e.replicas, o.Model)
	case engine.OrderLoadAdapter:
		if row == nil {
			return engine.ErrNotLoaded
		}
		row.Adapters = append(row.Adapters, o.Adapter)
		e.checkLimits(o.Model)
	case engine.OrderUnloadAdapter:
		if row != nil {
			row.Adapters = slices.DeleteFunc(row.Adapters, func(a fleet.AdapterID) bool { return a == o.Adapter })
		}
	case engine.OrderDrain:
		e.draining = true
	}
	return nil
}

func (e *fakeEngine) load(o engine.Order) {
	if e.replicas[o.Model] != nil {
		e.c.violations = append(e.c.violations, fmt.Sprintf("%s loads %s twice", e.id, o.Model))
		return
	}
	e.loadCount[o.Model]++
	e.c.startedLoads = append(e.c.startedLoads, startedLoad{e.c.now, o.Model})
	boot := e.boot
	row := &engine.LoadedReplica{Model: o.Model, Version: o.Version, State: fleet.ReplicaLoading, Memory: o.Memory}
	e.replicas[o.Model] = row
	e.checkLimits(o.Model)
	e.c.after(4*time.Second*time.Duration(e.loadTimeFactor), func() {
		if e.boot == boot && e.replicas[o.Model] == row {
			row.State = fleet.ReplicaReady
		}
	})
}

// checkLimits checks the replica limit over all engines and the memory of this
// one.
func (e *fakeEngine) checkLimits(m fleet.ModelID) {
	count, limit, used := 0, 0, int64(0)
	for _, model := range e.c.models {
		if model.ID == m {
			limit = model.MaxReplicas
		}
	}
	for _, other := range e.c.engines {
		if other.removedAt.IsZero() && other.replicas[m] != nil {
			count++
		}
	}
	if count > limit {
		e.c.violations = append(e.c.violations, fmt.Sprintf("%d replicas of %s, limit %d", count, m, limit))
	}
	for _, r := range e.replicas {
		used += r.Memory + int64(len(r.Adapters))*gib
	}
	if used > e.memory {
		e.c.violations = append(e.c.violations, fmt.Sprintf("%s has %d bytes of %d committed", e.id, used, e.memory))
	}
}

// fakeStore simulates the object API with one lease object.
type fakeStore struct {
	up              bool
	obj             platform.Object
	responsesToLose int // number of next writes whose responses are lost after taking effect
	writes          int
	reads           int
	conflicts       int
}

func (s *fakeStore) get() (platform.Object, error) {
	s.reads++
	if s.obj.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.obj, nil
}

func (s *fakeStore) put(w *lease.Write) (uint64, error) {
	s.writes++
	if w.Expect != s.obj.Version {
		s.conflicts++
		return 0, platform.ErrConflict
	}
	s.obj = platform.Object{Kind: platform.KindLease, Version: s.obj.Version + 1, Writer: w.Writer, Value: w.Value}
	return s.obj.Version, nil
}

func (s *fakeStore) loseResponse() bool {
	if s.responsesToLose == 0 {
		return false
	}
	s.responsesToLose--
	return true
}
