package policybench

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// server simulates a backend server with one model engine.
type server struct {
	simulation    *simulation
	id            fleet.BackendID
	vm            fleet.VM
	restarts      int  // number of restarts so far
	up            bool // false while restarting and after reclamation
	reclaimed     bool // the platform took the VM back
	draining      bool
	epoch         fleet.Epoch
	replica       map[fleet.ModelID]*replica
	diskCache     []fleet.ModelID // weights cached on disk, most recently used first
	memoryCache   []fleet.ModelID // weights cached in host memory, most recently used first
	appliedOrders []string        // IDs of all orders applied since the last restart, oldest first
}

// replica is one copy of a model at a server: loading, ready or unloading.
type replica struct {
	model            fleet.Model
	ready            bool
	unloading        bool
	startedAt        time.Time     // start of the load
	expectedLoadTime time.Duration // load time at full speed
	loadFromStore    *storeLoad    // nil unless loading from the weight store
	streams          map[*call]struct{}
	adapters         []fleet.AdapterID
	idleSince        time.Time
}

// boot returns the boot ID, which changes with each restart of the server.
func (s *server) boot() fleet.BootID {
	return fleet.BootID(fmt.Sprintf("%s-%d", s.id, s.restarts))
}

// weightsLocation returns the nearest location of a model's weights.
func (s *server) weightsLocation(m fleet.ModelID) fleet.Locality {
	switch {
	case slices.Contains(s.memoryCache, m):
		return fleet.LocalityMemory
	case slices.Contains(s.diskCache, m):
		return fleet.LocalityDisk
	default:
		return fleet.LocalityRemote
	}
}

// loadTime returns the time to load a model from the nearest location of its
// weights, at full speed.
func (s *server) loadTime(m fleet.Model) time.Duration {
	switch s.weightsLocation(m.ID) {
	case fleet.LocalityMemory:
		return time.Duration(memoryLoadFraction * float64(m.LoadTime))
	case fleet.LocalityDisk:
		return time.Duration(diskLoadFraction * float64(m.LoadTime))
	default:
		return m.LoadTime
	}
}

// committedMemory returns the bytes taken by all replicas of the server.
func (s *server) committedMemory() int64 {
	sum := int64(0)
	for _, r := range s.replica {
		sum += r.model.MemoryBytes
	}
	return sum
}

// handleOrder applies an order and returns the server's report afterwards. It
// rejects orders of an older epoch or for another boot.
func (s *server) handleOrder(o engine.Order) (engine.Report, error) {
	switch {
	case !s.up:
		return engine.Report{}, engine.ErrUnreachable
	case o.Epoch < s.epoch:
		return engine.Report{}, engine.ErrFenced
	case o.Kind != engine.OrderRaiseEpoch && o.Boot != "" && o.Boot != s.boot():
		return engine.Report{}, engine.ErrWrongBoot
	}
	s.epoch = o.Epoch
	if err := s.applyOrder(o); err != nil {
		return engine.Report{}, err
	}
	if !slices.Contains(s.appliedOrders, o.ID) {
		s.appliedOrders = append(s.appliedOrders, o.ID)
	}
	return s.report(), nil
}

// applyOrder carries out an order that was accepted.
func (s *server) applyOrder(o engine.Order) error {
	r := s.replica[o.Model]
	switch o.Kind {
	case engine.OrderLoad:
		if r != nil {
			return nil
		}
		return s.startLoad(s.simulation.modelByID[o.Model])
	case engine.OrderUnload:
		if r != nil && !r.unloading {
			s.startUnload(r)
		}
	case engine.OrderLoadAdapter:
		if r == nil {
			return engine.ErrNotLoaded
		}
		s.simulation.clock.after(adapterLoadTime, func() {
			if s.replica[o.Model] == r && !slices.Contains(r.adapters, o.Adapter) {
				r.adapters = append(r.adapters, o.Adapter)
			}
		})
	case engine.OrderUnloadAdapter:
		if r != nil {
			r.adapters = slices.DeleteFunc(r.adapters, func(a fleet.AdapterID) bool { return a == o.Adapter })
		}
	case engine.OrderDrain:
		s.draining = true
	}
	return nil
}

// startLoad starts to load a model, or fails if the memory is not enough.
func (s *server) startLoad(m fleet.Model) error {
	if s.committedMemory()+m.MemoryBytes > s.vm.Memory {
		return engine.ErrNoMemory
	}
	sim := s.simulation
	r := &replica{model: m, startedAt: sim.clock.now, expectedLoadTime: s.loadTime(m), streams: make(map[*call]struct{})}
	s.replica[m.ID] = r
	sim.countLoad(m.ID)
	done := func() {
		if s.replica[m.ID] != r {
			return
		}
		r.ready = true
		r.loadFromStore = nil
		r.idleSince = sim.clock.now
		s.cacheWeights(m.ID)
	}
	if s.weightsLocation(m.ID) == fleet.LocalityRemote {
		r.loadFromStore = sim.store.start(m.LoadTime, done)
		return nil
	}
	sim.clock.after(r.expectedLoadTime, done)
	return nil
}

// cacheWeights caches the weights of a model in memory and on disk.
func (s *server) cacheWeights(m fleet.ModelID) {
	s.memoryCache = moveToFront(s.memoryCache, m, memoryCacheModels)
	s.diskCache = moveToFront(s.diskCache, m, diskCacheModels)
}

// moveToFront inserts the model at the front of a list or moves it there, and
// cuts the list to the limit.
func moveToFront(list []fleet.ModelID, m fleet.ModelID, limit int) []fleet.ModelID {
	list = slices.DeleteFunc(list, func(other fleet.ModelID) bool { return other == m })
	list = slices.Insert(list, 0, m)
	return list[:min(limit, len(list))]
}

// startUnload marks a replica as unloading. It is removed after the unload time, or
// with its last stream if that ends later.
func (s *server) startUnload(r *replica) {
	r.unloading = true
	s.simulation.clock.after(unloadTime, func() { s.finishUnload(r) })
}

// finishUnload removes a replica that is being unloaded unless it still runs
// streams.
func (s *server) finishUnload(r *replica) {
	if s.replica[r.model.ID] != r || len(r.streams) > 0 {
		return
	}
	s.removeReplica(r)
}

// removeReplica removes a replica at once and cancels its load.
func (s *server) removeReplica(r *replica) {
	s.simulation.addIdleTime(r)
	if r.loadFromStore != nil {
		s.simulation.store.cancel(r.loadFromStore)
	}
	delete(s.replica, r.model.ID)
}

// crash breaks all streams of the server and empties its memory. The server
// restarts after the given time, or never if that is 0.
func (s *server) crash(restartAfter time.Duration) {
	s.up = false
	var brokenCalls []*call
	for _, id := range sortedModelIDs(s.replica) {
		r := s.replica[id]
		for c := range r.streams {
			brokenCalls = append(brokenCalls, c)
		}
		r.streams = nil
		s.removeReplica(r)
	}
	slices.SortFunc(brokenCalls, func(a, b *call) int { return a.number - b.number })
	s.memoryCache = nil
	s.draining = false
	for _, c := range brokenCalls {
		s.simulation.handleBrokenStream(c)
	}
	if restartAfter > 0 {
		s.simulation.clock.after(restartAfter, func() {
			s.restarts++
			s.epoch = 0
			s.up = true
			s.appliedOrders = nil
		})
	}
}

// report returns the engine's status report.
func (s *server) report() engine.Report {
	r := engine.Report{
		Backend:       s.id,
		Boot:          s.boot(),
		Epoch:         s.epoch,
		Memory:        s.vm.Memory,
		Draining:      s.draining,
		MeasuredAt:    s.simulation.clock.now,
		AppliedOrders: slices.Clone(s.appliedOrders[max(0, len(s.appliedOrders)-16):]),
	}
	for _, id := range sortedModelIDs(s.replica) {
		r.Replicas = append(r.Replicas, s.reportReplica(s.replica[id]))
	}
	for _, m := range s.diskCache {
		r.Cached = append(r.Cached, engine.CachedWeights{Model: m, Version: "1", WeightLocality: s.weightsLocation(m)})
	}
	return r
}

// reportReplica returns the status of one replica.
func (s *server) reportReplica(r *replica) engine.LoadedReplica {
	out := engine.LoadedReplica{
		Model:    r.model.ID,
		Version:  r.model.Version,
		Memory:   r.model.MemoryBytes,
		Adapters: slices.Sorted(slices.Values(r.adapters)),
		Running:  len(r.streams),
	}
	switch {
	case r.unloading:
		out.State = fleet.ReplicaUnloading
	case r.ready:
		out.State = fleet.ReplicaReady
		out.Progress = 1
	default:
		out.State = fleet.ReplicaLoading
		out.Progress = s.loadProgress(r)
	}
	return out
}

// loadProgress returns the completed share of a load, from 0 to 1.
func (s *server) loadProgress(r *replica) float64 {
	if r.loadFromStore != nil {
		s.simulation.store.advance()
		return 1 - float64(r.loadFromStore.remaining)/float64(r.loadFromStore.fullSpeedTime)
	}
	return min(1, float64(s.simulation.clock.now.Sub(r.startedAt))/float64(r.expectedLoadTime))
}
