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

// fakeEngine keeps what an engine must keep and asserts the promises where
// they count. It never refuses for lack of memory, so that an overcommitment
// shows.
type fakeEngine struct {
	c           *fakeCell
	id          fleet.BackendID
	fencing     bool
	memory      int64
	boot        fleet.BootID
	boots       int
	epoch       fleet.Epoch
	snapshot    engine.Report // what reports show
	frozen      bool          // reports lag without end
	deafTo      *testNode     // whose orders are lost, though it reads reports
	replicas    map[fleet.ModelID]*engine.LoadedReplica
	applied     []string
	cached      []engine.CachedWeights
	silent      bool
	draining    bool
	drainAt     time.Time
	leavingList bool
	goneAt      time.Time
	slow        int // factor on load times
	loads       map[fleet.ModelID]int
}

func newEngine(c *fakeCell, id string, fencing bool, memory int64) *fakeEngine {
	e := &fakeEngine{
		c: c, id: fleet.BackendID(id), fencing: fencing, memory: memory, slow: 1, loads: map[fleet.ModelID]int{},
	}
	e.restart()
	return e
}

func (e *fakeEngine) restart() {
	e.boots++
	e.boot = fleet.BootID(fmt.Sprintf("%s-boot%d", e.id, e.boots))
	e.epoch = 0
	e.applied = nil
	e.snapshot, e.frozen = engine.Report{}, false
	e.replicas = map[fleet.ModelID]*engine.LoadedReplica{}
}

func (e *fakeEngine) up() bool { return !e.silent && e.goneAt.IsZero() }

// laggingReport returns a report of at most reportLag of age.
func (e *fakeEngine) laggingReport() engine.Report {
	if !e.frozen && e.c.now.Sub(e.snapshot.MeasuredAt) >= reportLag {
		e.snapshot = e.report()
	}
	return e.snapshot
}

func (e *fakeEngine) report() engine.Report {
	r := engine.Report{
		Backend: e.id, Boot: e.boot, Epoch: e.epoch, Memory: e.memory, Draining: e.draining,
		AppliedOrder: slices.Clone(e.applied), Cached: e.cached, MeasuredAt: e.c.now,
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

func (e *fakeEngine) carryOut(o engine.Order) (*engine.Report, error) {
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
		e.check(o.Model)
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
		e.c.faults = append(e.c.faults, fmt.Sprintf("%s loads %s twice", e.id, o.Model))
		return
	}
	e.loads[o.Model]++
	e.c.started = append(e.c.started, startedLoad{e.c.now, o.Model})
	boot := e.boot
	row := &engine.LoadedReplica{Model: o.Model, Version: o.Version, State: fleet.ReplicaLoading, Memory: o.Memory}
	e.replicas[o.Model] = row
	e.check(o.Model)
	e.c.after(4*time.Second*time.Duration(e.slow), func() {
		if e.boot == boot && e.replicas[o.Model] == row {
			row.State = fleet.ReplicaReady
		}
	})
}

// check asserts the replica limit over all engines and the memory of this one.
func (e *fakeEngine) check(m fleet.ModelID) {
	count, limit, used := 0, 0, int64(0)
	for _, model := range e.c.models {
		if model.ID == m {
			limit = model.MaxReplicas
		}
	}
	for _, other := range e.c.engines {
		if other.goneAt.IsZero() && other.replicas[m] != nil {
			count++
		}
	}
	if count > limit {
		e.c.faults = append(e.c.faults, fmt.Sprintf("%d replicas of %s, limit %d", count, m, limit))
	}
	for _, r := range e.replicas {
		used += r.Memory + int64(len(r.Adapters))*gib
	}
	if used > e.memory {
		e.c.faults = append(e.c.faults, fmt.Sprintf("%s has %d bytes of %d committed", e.id, used, e.memory))
	}
}

// fakeStore holds the one lease object.
type fakeStore struct {
	up       bool
	obj      platform.Object
	lose     int // answers to the next writes that are lost after taking effect
	writes   int
	reads    int
	conflict int
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
		s.conflict++
		return 0, platform.ErrConflict
	}
	s.obj = platform.Object{Kind: platform.KindLease, Version: s.obj.Version + 1, Writer: w.Writer, Value: w.Value}
	return s.obj.Version, nil
}

func (s *fakeStore) loseNext() bool {
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}
