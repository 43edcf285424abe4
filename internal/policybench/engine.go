package policybench

import (
	"fmt"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// server is a fake backend server with one model engine.
type server struct {
	world    *world
	id       fleet.BackendID
	vm       fleet.VM
	starts   int  // boots so far
	up       bool // false while it restarts or once reclaimed
	gone     bool // reclaimed
	draining bool
	epoch    fleet.Epoch
	loaded   map[fleet.ModelID]*loaded
	disk     []fleet.ModelID // checkpoints, most recently used first
	memory   []fleet.ModelID
	applied  []string
}

// loaded is one model at a server, loading or ready.
type loaded struct {
	model     fleet.Model
	ready     bool
	unloading bool
	began     time.Time
	expected  time.Duration // of the load
	fromStore *storeLoad
	streams   map[*call]struct{}
	adapters  []fleet.AdapterID
	idleSince time.Time
}

// boot names the present run of the server.
func (s *server) boot() fleet.BootID {
	return fleet.BootID(fmt.Sprintf("%s-%d", s.id, s.starts))
}

// near returns where the weights of a model are.
func (s *server) near(m fleet.ModelID) fleet.Nearness {
	switch {
	case slices.Contains(s.memory, m):
		return fleet.NearMemory
	case slices.Contains(s.disk, m):
		return fleet.NearDisk
	default:
		return fleet.NearRemote
	}
}

// loadTime returns the time of a load from the nearest copy at full speed.
func (s *server) loadTime(m fleet.Model) time.Duration {
	switch s.near(m.ID) {
	case fleet.NearMemory:
		return time.Duration(memoryShare * float64(m.LoadTime))
	case fleet.NearDisk:
		return time.Duration(diskShare * float64(m.LoadTime))
	default:
		return m.LoadTime
	}
}

// used returns the memory committed at the server.
func (s *server) used() int64 {
	sum := int64(0)
	for _, l := range s.loaded {
		sum += l.model.MemoryBytes
	}
	return sum
}

// order carries out an order and returns the report or the error.
func (s *server) order(o engine.Order) (engine.Report, error) {
	switch {
	case !s.up:
		return engine.Report{}, engine.ErrUnreachable
	case o.Epoch < s.epoch:
		return engine.Report{}, engine.ErrFenced
	case o.Kind != engine.OrderRaiseEpoch && o.Boot != "" && o.Boot != s.boot():
		return engine.Report{}, engine.ErrWrongBoot
	}
	s.epoch = o.Epoch
	if err := s.apply(o); err != nil {
		return engine.Report{}, err
	}
	if !slices.Contains(s.applied, o.ID) {
		s.applied = append(s.applied, o.ID)
	}
	return s.report(), nil
}

// apply makes the change that an order asks for.
func (s *server) apply(o engine.Order) error {
	l := s.loaded[o.Model]
	switch o.Kind {
	case engine.OrderLoad:
		if l != nil {
			return nil
		}
		return s.load(s.world.modelByID[o.Model])
	case engine.OrderUnload:
		if l != nil && !l.unloading {
			s.unload(l)
		}
	case engine.OrderLoadAdapter:
		if l == nil {
			return engine.ErrNotLoaded
		}
		s.world.clock.after(adapterLoad, func() {
			if s.loaded[o.Model] == l && !slices.Contains(l.adapters, o.Adapter) {
				l.adapters = append(l.adapters, o.Adapter)
			}
		})
	case engine.OrderUnloadAdapter:
		if l != nil {
			l.adapters = slices.DeleteFunc(l.adapters, func(a fleet.AdapterID) bool { return a == o.Adapter })
		}
	case engine.OrderDrain:
		s.draining = true
	}
	return nil
}

// load begins to load a model.
func (s *server) load(m fleet.Model) error {
	if s.used()+m.MemoryBytes > s.vm.Memory {
		return engine.ErrNoMemory
	}
	w := s.world
	l := &loaded{model: m, began: w.clock.now, expected: s.loadTime(m), streams: make(map[*call]struct{})}
	s.loaded[m.ID] = l
	w.loadStarted(m.ID)
	done := func() {
		if s.loaded[m.ID] != l {
			return
		}
		l.ready = true
		l.fromStore = nil
		l.idleSince = w.clock.now
		s.remember(m.ID)
	}
	if s.near(m.ID) == fleet.NearRemote {
		l.fromStore = w.store.start(m.LoadTime, done)
		return nil
	}
	w.clock.after(l.expected, done)
	return nil
}

// remember keeps the weights near after a load.
func (s *server) remember(m fleet.ModelID) {
	s.memory = front(s.memory, m, memoryModels)
	s.disk = front(s.disk, m, diskModels)
}

// front moves an element to the front of a list of limited length.
func front(list []fleet.ModelID, m fleet.ModelID, limit int) []fleet.ModelID {
	list = slices.DeleteFunc(list, func(o fleet.ModelID) bool { return o == m })
	list = slices.Insert(list, 0, m)
	return list[:min(limit, len(list))]
}

// unload removes a model once its streams ended.
func (s *server) unload(l *loaded) {
	l.unloading = true
	s.world.clock.after(unloadTime, func() { s.removeIdle(l) })
}

// removeIdle removes a model being unloaded if it runs nothing.
func (s *server) removeIdle(l *loaded) {
	if s.loaded[l.model.ID] != l || len(l.streams) > 0 {
		return
	}
	s.drop(l)
}

// drop takes a model out at once.
func (s *server) drop(l *loaded) {
	s.world.countIdle(l)
	if l.fromStore != nil {
		s.world.store.stop(l.fromStore)
	}
	delete(s.loaded, l.model.ID)
}

// crash ends the server's run with all its streams.
func (s *server) crash(back time.Duration) {
	s.up = false
	var cut []*call
	for _, id := range sortedModels(s.loaded) {
		l := s.loaded[id]
		for c := range l.streams {
			cut = append(cut, c)
		}
		l.streams = nil
		s.drop(l)
	}
	slices.SortFunc(cut, func(a, b *call) int { return a.number - b.number })
	s.memory = nil
	s.draining = false
	for _, c := range cut {
		s.world.broken(c)
	}
	if back > 0 {
		s.world.clock.after(back, func() {
			s.starts++
			s.epoch = 0
			s.up = true
			s.applied = nil
		})
	}
}

// report returns the state of the engine.
func (s *server) report() engine.Report {
	r := engine.Report{
		Backend:      s.id,
		Boot:         s.boot(),
		Epoch:        s.epoch,
		Memory:       s.vm.Memory,
		Draining:     s.draining,
		MeasuredAt:   s.world.clock.now,
		AppliedOrder: slices.Clone(s.applied[max(0, len(s.applied)-16):]),
	}
	for _, id := range sortedModels(s.loaded) {
		r.Replicas = append(r.Replicas, s.reportReplica(s.loaded[id]))
	}
	for _, m := range s.disk {
		r.Cached = append(r.Cached, engine.CachedWeights{Model: m, Version: "1", Near: s.near(m)})
	}
	return r
}

// reportReplica returns the state of one model.
func (s *server) reportReplica(l *loaded) engine.LoadedReplica {
	out := engine.LoadedReplica{
		Model:    l.model.ID,
		Version:  l.model.Version,
		Memory:   l.model.MemoryBytes,
		Adapters: slices.Sorted(slices.Values(l.adapters)),
		Running:  len(l.streams),
	}
	switch {
	case l.unloading:
		out.State = fleet.ReplicaUnloading
	case l.ready:
		out.State = fleet.ReplicaReady
		out.Progress = 1
	default:
		out.State = fleet.ReplicaLoading
		out.Progress = s.progress(l)
	}
	return out
}

// progress returns the share of a load that is done.
func (s *server) progress(l *loaded) float64 {
	if l.fromStore != nil {
		s.world.store.advance()
		return 1 - float64(l.fromStore.left)/float64(l.fromStore.total)
	}
	return min(1, float64(s.world.clock.now.Sub(l.began))/float64(l.expected))
}
