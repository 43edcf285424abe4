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

// Retention is the keep-warm policy under test.
type Retention interface {
	controller.Retention
	Observe(now time.Time, t fleet.Target, rank fleet.Rank)
}

// Loader decides what is loaded where: the controller or a naive version.
type Loader interface {
	SetBackends(now time.Time, rs []platform.VMRecord, asOf time.Time)
	HandleReport(now time.Time, requestedAt time.Time, r engine.Report)
	HandleOrderResult(now time.Time, res controller.OrderResult)
	Tick(now time.Time, demands []fleet.Demand, keep controller.Retention) controller.Effects
	Replicas() []fleet.Replica
}

// Policies are the decisions of one run.
type Policies struct {
	Name       string
	Admission  admission.Settings
	Retention  Retention
	Loader     func(w *world) Loader
	Quarantine bool
}

// Intervals of the node's work in the harness.
const (
	busyTick     = 100 * time.Millisecond // while requests wait or loads run
	idleTick     = 2 * time.Second
	settleTime   = time.Second // after work, until lagging reports have shown its end
	pollInterval = 5 * time.Second
	reportEvery  = time.Second // by the naive loader
)

// world is one run.
type world struct {
	clock
	deployment   Deployment
	policies     Policies
	rng          *rand.Rand
	models       []fleet.Model
	modelByID    map[fleet.ModelID]fleet.Model
	adapters     []fleet.Adapter
	servers      []*server
	byID         map[fleet.BackendID]*server
	store        *weightStore
	queue        *admission.Queue
	loader       Loader
	calls        map[string]*call // without an outcome
	waiting      int              // calls without a grant
	tickAt       time.Time        // next tick
	result       *Result
	busyUntil    time.Time
	measuring    bool
	measuredFrom time.Time
}

// newWorld sets up a deployment with unevenly cached weights.
func newWorld(d Deployment, p Policies, begin time.Time) *world {
	w := &world{
		deployment: d,
		policies:   p,
		rng:        rand.New(rand.NewPCG(d.Seed, 1)),
		modelByID:  make(map[fleet.ModelID]fleet.Model),
		byID:       make(map[fleet.BackendID]*server),
		calls:      make(map[string]*call),
		result:     newResult(d, p.Name),
	}
	w.now = begin
	w.store = &weightStore{clock: &w.clock, atOnce: d.LoadsAtOnce, slow: 1, updated: begin}
	w.models = d.models(w.rng)
	for _, m := range w.models {
		w.modelByID[m.ID] = m
	}
	settings := p.Admission
	if p.Quarantine {
		settings.Quarantine = quarantine.New(quarantine.DefaultSettings())
	}
	w.queue = admission.New(settings)
	adapters := d.adapters(w.models, w.rng)
	w.queue.SetModels(begin, w.models, adapters)
	w.adapters = adapters
	w.loader = p.Loader(w)
	w.addServers()
	return w
}

// addServers sets up the backend servers over the availability zones.
func (w *world) addServers() {
	for i := range w.deployment.Servers {
		s := &server{
			world:  w,
			id:     fleet.BackendID(fmt.Sprintf("s%02d", i)),
			vm:     fleet.VM{ID: fleet.VMID(fmt.Sprintf("vm%02d", i)), Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%zones)), Memory: serverMemory},
			up:     true,
			loaded: make(map[fleet.ModelID]*loaded),
		}
		for range diskModels {
			m := w.models[w.rng.IntN(len(w.models))].ID
			s.disk = front(s.disk, m, diskModels)
		}
		w.servers = append(w.servers, s)
		w.byID[s.id] = s
	}
	w.setBackends()
}

// setBackends passes the VM list to the loader.
func (w *world) setBackends() {
	var rs []platform.VMRecord
	for _, s := range w.servers {
		if s.gone {
			continue
		}
		vm := s.vm
		if s.draining {
			vm.State = fleet.VMLeaving
		}
		rs = append(rs, platform.VMRecord{VM: vm, Backend: fleet.BackendServer{ID: s.id, VM: s.vm.ID, Cell: cellID, Address: string(s.id), Fencing: true}})
	}
	w.loader.SetBackends(w.now, rs, w.now)
}

// cellID names the one cell of a deployment.
const cellID = fleet.CellID("cell")

// busy reports whether something waits for the controller's work.
func (w *world) busy() bool {
	if w.waiting > 0 {
		return true
	}
	for _, s := range w.servers {
		for _, l := range s.loaded {
			if !l.ready || l.unloading {
				return true
			}
		}
	}
	return false
}

// wake brings the next tick forward.
func (w *world) wake(in time.Duration) {
	at := w.now.Add(in)
	if !w.tickAt.IsZero() && !w.tickAt.After(at) && w.tickAt.After(w.now) {
		return
	}
	w.tickAt = at
	w.after(in, func() {
		if w.tickAt.Equal(w.now) {
			w.tick()
		}
	})
}

// tick runs one round of the controller's node.
func (w *world) tick() {
	effects := w.loader.Tick(w.now, w.queue.Demands(w.now), w.policies.Retention)
	for _, o := range effects.Orders {
		w.send(o)
	}
	for _, r := range effects.Reports {
		w.requestReport(r.Backend)
	}
	w.queue.SetReplicas(w.now, w.loader.Replicas(), nil)
	for _, d := range w.queue.Tick(w.now) {
		w.decided(d)
	}
	if w.busy() || len(effects.Orders) > 0 {
		w.busyUntil = w.now.Add(settleTime)
	}
	next := idleTick
	if w.now.Before(w.busyUntil) {
		next = busyTick
	}
	w.tickAt = time.Time{}
	w.wake(next)
}

// send carries an order to its server and the answer back.
func (w *world) send(o controller.SendOrder) {
	sentAt := w.now
	w.after(nodeOneWay, func() {
		s := w.byID[o.Backend]
		report, err := s.order(o.Order)
		w.after(nodeOneWay, func() {
			res := controller.OrderResult{OrderID: o.Order.ID, Backend: o.Backend, SentAt: sentAt, Err: err}
			if err == nil {
				res.Report = &report
			}
			w.loader.HandleOrderResult(w.now, res)
		})
	})
}

// requestReport fetches a report, which lags.
func (w *world) requestReport(id fleet.BackendID) {
	requestedAt := w.now
	s := w.byID[id]
	if s == nil || !s.up {
		return
	}
	w.after(nodeOneWay, func() {
		if !s.up {
			return
		}
		report := s.report()
		w.after(reportLag, func() { w.loader.HandleReport(w.now, requestedAt, report) })
	})
}

// reclaim takes a third of the servers away: they get notice, then are gone.
func (w *world) reclaim(notice time.Duration) {
	for i, s := range w.servers {
		if i%3 != 0 {
			continue
		}
		s.draining = true
		w.after(notice, func() {
			s.gone = true
			s.crash(0)
			w.setBackends()
		})
	}
	w.after(time.Second, w.setBackends) // the list lags
}

// nearestLoad returns the load time of a model from its nearest copy on a live
// server, at full speed.
func (w *world) nearestLoad(m fleet.Model) time.Duration {
	best := m.LoadTime
	for _, s := range w.servers {
		if s.up && !s.draining {
			best = min(best, s.loadTime(m))
		}
	}
	return best
}

// isWarm reports whether a replica of the model is ready or loading.
func (w *world) isWarm(m fleet.ModelID) (ready, loading bool) {
	for _, s := range w.servers {
		if l := s.loaded[m]; l != nil && !l.unloading && !s.draining {
			ready = ready || l.ready
			loading = loading || !l.ready
		}
	}
	return ready, loading
}

// sortedModels returns the models at a server in order.
func sortedModels(m map[fleet.ModelID]*loaded) []fleet.ModelID {
	return slices.Sorted(maps.Keys(m))
}
