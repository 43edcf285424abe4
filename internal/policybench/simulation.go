package policybench

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/admission"
	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
	"github.com/redwingnotch/redwingnotch/quarantine"
)

// Retention is a keep-warm policy under test.
type Retention interface {
	controller.Retention
	// Observe records an arrival of a request for the target.
	Observe(now time.Time, t fleet.Target, rank fleet.Rank)
}

// Loader decides which model is loaded on which backend server. It is either the
// controller or the naive baseline.
type Loader interface {
	// SetBackends replaces the VM list, which was read at asOf.
	SetBackends(now time.Time, records []platform.VMRecord, asOf time.Time)
	// HandleReport handles a report requested at the given time.
	HandleReport(now time.Time, requestedAt time.Time, r engine.Report)
	// HandleOrderResult handles the result of an order sent before.
	HandleOrderResult(now time.Time, res controller.OrderResult)
	// Tick returns the orders and report requests to send now.
	Tick(now time.Time, demands []fleet.Demand, keep controller.Retention) controller.Effects
	// Replicas returns the replicas that the admission queue may use.
	Replicas() []fleet.Replica
}

// Policies is the set of policies used in one run.
type Policies struct {
	Name       string
	Admission  admission.Settings
	Retention  Retention
	Loader     func(sim *simulation) Loader
	Quarantine bool // whether requests are quarantined after crashes
}

// Intervals of the simulated nodes.
const (
	busyTick       = 100 * time.Millisecond // tick interval while requests wait or loads run
	idleTick       = 2 * time.Second        // tick interval otherwise
	busyTickHold   = time.Second            // how long busyTick continues after the last pending work, as reports arrive late
	pollInterval   = 5 * time.Second        // between repeated offers of a waiting call
	reportInterval = time.Second            // report requests of the naive loader
)

// simulation is the state of one run: a deployment under one set of policies.
type simulation struct {
	clock
	deployment   Deployment
	policies     Policies
	rng          *rand.Rand
	models       []fleet.Model
	modelByID    map[fleet.ModelID]fleet.Model
	adapters     []fleet.Adapter
	servers      []*server
	serversByID  map[fleet.BackendID]*server
	store        *weightStore
	queue        *admission.Queue
	loader       Loader
	calls        map[string]*call // calls without an outcome, by request id
	waiting      int              // number of calls without a grant
	nextTick     time.Time        // zero if none is scheduled
	result       *Result
	busyUntil    time.Time // end of the time in which busyTick applies
	measuring    bool      // false during the warm-up and after the measured period
	measuredFrom time.Time // start of the measured period
}

// newSimulation sets up a deployment in which each server has weights of random
// models cached on disk.
func newSimulation(d Deployment, p Policies, begin time.Time) *simulation {
	sim := &simulation{
		deployment:  d,
		policies:    p,
		rng:         rand.New(rand.NewPCG(d.Seed, 1)),
		modelByID:   make(map[fleet.ModelID]fleet.Model),
		serversByID: make(map[fleet.BackendID]*server),
		calls:       make(map[string]*call),
		result:      newResult(d, p.Name),
	}
	sim.now = begin
	sim.store = &weightStore{clock: &sim.clock, fullSpeedLoads: d.MaxLoadsInFlight, slowdown: 1, lastAdvance: begin}
	sim.models = d.models(sim.rng)
	for _, m := range sim.models {
		sim.modelByID[m.ID] = m
	}
	settings := p.Admission
	if p.Quarantine {
		settings.Quarantine = quarantine.New(quarantine.DefaultSettings())
	}
	sim.queue = admission.New(settings)
	adapters := d.adapters(sim.models, sim.rng)
	sim.queue.SetModels(begin, sim.models, adapters)
	sim.adapters = adapters
	sim.loader = p.Loader(sim)
	sim.addServers()
	return sim
}

// addServers sets up the backend servers, spread over the availability zones.
func (sim *simulation) addServers() {
	for i := range sim.deployment.Servers {
		srv := &server{
			simulation: sim,
			id:         fleet.BackendID(fmt.Sprintf("s%02d", i)),
			vm:         fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm%02d", i)), Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%zoneCount)), Memory: serverMemory},
			up:         true,
			replica:    make(map[fleet.ModelID]*replica),
		}
		for range diskCacheModels {
			m := sim.models[sim.rng.IntN(len(sim.models))].ID
			srv.diskCache = moveToFront(srv.diskCache, m, diskCacheModels)
		}
		sim.servers = append(sim.servers, srv)
		sim.serversByID[srv.id] = srv
	}
	sim.updateBackends()
}

// updateBackends passes the current VM list to the loader.
func (sim *simulation) updateBackends() {
	var records []platform.VMRecord
	for _, s := range sim.servers {
		if s.reclaimed {
			continue
		}
		vm := s.vm
		if s.draining {
			vm.State = fleet.VMLeaving
		}
		records = append(records, platform.VMRecord{VM: vm, Backend: fleet.BackendServer{ID: s.id, VM: s.vm.ID, Cell: cellID, Address: string(s.id), Fencing: true}})
	}
	sim.loader.SetBackends(sim.now, records, sim.now)
}

// cellID identifies the only cell of a simulated deployment.
const cellID = fleet.CellID("cell")

// hasPendingWork reports whether a call waits or a model is loading or unloading.
func (sim *simulation) hasPendingWork() bool {
	if sim.waiting > 0 {
		return true
	}
	for _, s := range sim.servers {
		for _, r := range s.replica {
			if !r.ready || r.unloading {
				return true
			}
		}
	}
	return false
}

// scheduleTick schedules a tick after the given time, unless an earlier one is
// scheduled.
func (sim *simulation) scheduleTick(in time.Duration) {
	at := sim.now.Add(in)
	if !sim.nextTick.IsZero() && !sim.nextTick.After(at) && sim.nextTick.After(sim.now) {
		return
	}
	sim.nextTick = at
	sim.after(in, func() {
		if sim.nextTick.Equal(sim.now) {
			sim.tick()
		}
	})
}

// tick runs one iteration of the loader and the admission queue.
func (sim *simulation) tick() {
	effects := sim.loader.Tick(sim.now, sim.queue.Demands(sim.now), sim.policies.Retention)
	for _, o := range effects.Orders {
		sim.sendOrder(o)
	}
	for _, r := range effects.Reports {
		sim.requestReport(r.Backend)
	}
	sim.queue.SetReplicas(sim.now, sim.loader.Replicas(), nil)
	for _, d := range sim.queue.Tick(sim.now) {
		sim.handleDecision(d)
	}
	if sim.hasPendingWork() || len(effects.Orders) > 0 {
		sim.busyUntil = sim.now.Add(busyTickHold)
	}
	next := idleTick
	if sim.now.Before(sim.busyUntil) {
		next = busyTick
	}
	sim.nextTick = time.Time{}
	sim.scheduleTick(next)
}

// sendOrder sends an order to its server and passes the result to the loader.
func (sim *simulation) sendOrder(o controller.SendOrder) {
	sentAt := sim.now
	sim.after(nodeOneWay, func() {
		s := sim.serversByID[o.Backend]
		report, err := s.handleOrder(o.Order)
		sim.after(nodeOneWay, func() {
			res := controller.OrderResult{OrderID: o.Order.ID, Backend: o.Backend, SentAt: sentAt, Err: err}
			if err == nil {
				res.Report = &report
			}
			sim.loader.HandleOrderResult(sim.now, res)
		})
	})
}

// requestReport fetches a server's report, which reaches the loader with a delay.
func (sim *simulation) requestReport(id fleet.BackendID) {
	requestedAt := sim.now
	s := sim.serversByID[id]
	if s == nil || !s.up {
		return
	}
	sim.after(nodeOneWay, func() {
		if !s.up {
			return
		}
		report := s.report()
		sim.after(reportDelay, func() { sim.loader.HandleReport(sim.now, requestedAt, report) })
	})
}

// reclaim drains every third server and removes it after the notice period.
func (sim *simulation) reclaim(noticePeriod time.Duration) {
	for i, s := range sim.servers {
		if i%3 != 0 {
			continue
		}
		s.draining = true
		sim.after(noticePeriod, func() {
			s.reclaimed = true
			s.crash(0)
			sim.updateBackends()
		})
	}
	sim.after(time.Second, sim.updateBackends) // the VM list shows the draining servers with a delay
}

// fastestLoadTime returns the shortest load time of a model over all live
// servers, with loads at full speed.
func (sim *simulation) fastestLoadTime(m fleet.Model) time.Duration {
	best := m.LoadTime
	for _, s := range sim.servers {
		if s.up && !s.draining {
			best = min(best, s.loadTime(m))
		}
	}
	return best
}

// replicaState reports whether a replica of the model is ready and whether one is
// loading.
func (sim *simulation) replicaState(m fleet.ModelID) (ready, loading bool) {
	for _, s := range sim.servers {
		if r := s.replica[m]; r != nil && !r.unloading && !s.draining {
			ready = ready || r.ready
			loading = loading || !r.ready
		}
	}
	return ready, loading
}

// sortedModelIDs returns the models loaded at a server, sorted.
func sortedModelIDs(m map[fleet.ModelID]*replica) []fleet.ModelID {
	return slices.Sorted(maps.Keys(m))
}
