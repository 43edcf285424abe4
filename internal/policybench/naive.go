package policybench

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/platform"
)

// naiveLoader is the baseline. It loads a requested model on a random server with
// enough free memory, or evicts idle replicas of a random server. It ignores where
// weights are cached, ranks and the limits of the weight store.
type naiveLoader struct {
	rng                *rand.Rand
	models             map[fleet.ModelID]fleet.Model
	servers            map[fleet.BackendID]*naiveServer
	lastUsed           map[fleet.ReplicaKey]time.Time
	orders             int
	reportsRequestedAt time.Time
}

// naiveServer is the naive loader's state of one server.
type naiveServer struct {
	record       platform.VMRecord
	report       engine.Report
	pendingLoads map[fleet.ModelID]time.Time // time of load orders whose replica is not reported yet
	unloading    map[fleet.ModelID]time.Time // time of unload orders
}

// newNaiveLoader returns the baseline loader.
func newNaiveLoader(sim *simulation) Loader {
	return &naiveLoader{
		rng:      rand.New(rand.NewPCG(sim.deployment.Seed, 2)),
		models:   sim.modelByID,
		servers:  make(map[fleet.BackendID]*naiveServer),
		lastUsed: make(map[fleet.ReplicaKey]time.Time),
	}
}

// naiveOrderTimeout is how long the naive loader waits for an order to show in a
// report.
const naiveOrderTimeout = 5 * time.Second

// SetBackends replaces the list of servers.
func (n *naiveLoader) SetBackends(_ time.Time, records []platform.VMRecord, _ time.Time) {
	listed := make(map[fleet.BackendID]bool)
	for _, r := range records {
		listed[r.Backend.ID] = true
		s := n.servers[r.Backend.ID]
		if s == nil {
			s = &naiveServer{pendingLoads: make(map[fleet.ModelID]time.Time), unloading: make(map[fleet.ModelID]time.Time)}
			n.servers[r.Backend.ID] = s
		}
		s.record = r
	}
	maps.DeleteFunc(n.servers, func(id fleet.BackendID, _ *naiveServer) bool { return !listed[id] })
}

// HandleReport stores a report and ignores one older than the stored one.
func (n *naiveLoader) HandleReport(now time.Time, _ time.Time, r engine.Report) {
	s := n.servers[r.Backend]
	if s == nil || r.MeasuredAt.Before(s.report.MeasuredAt) {
		return
	}
	s.report = r
	for _, l := range r.Replicas {
		delete(s.pendingLoads, l.Model)
		if l.Running > 0 {
			n.lastUsed[n.key(r, l)] = now
		}
	}
	maps.DeleteFunc(s.pendingLoads, func(_ fleet.ModelID, at time.Time) bool { return now.Sub(at) > naiveOrderTimeout })
	maps.DeleteFunc(s.unloading, func(_ fleet.ModelID, at time.Time) bool { return now.Sub(at) > naiveOrderTimeout })
}

// HandleOrderResult stores the report of a successful order. If the server had too
// little memory, it clears the server's pending loads, so that they are ordered again.
func (n *naiveLoader) HandleOrderResult(now time.Time, res controller.OrderResult) {
	if res.Report != nil {
		n.HandleReport(now, res.SentAt, *res.Report)
		return
	}
	if s := n.servers[res.Backend]; s != nil && errors.Is(res.Err, engine.ErrNoMemory) {
		clear(s.pendingLoads)
	}
}

// key returns the key of a reported replica.
func (n *naiveLoader) key(r engine.Report, l engine.LoadedReplica) fleet.ReplicaKey {
	return fleet.ReplicaKey{Backend: r.Backend, Boot: r.Boot, Model: l.Model, Version: l.Version}
}

// Tick orders loads of models with waiting requests and unloads of replicas whose
// keep time has expired.
func (n *naiveLoader) Tick(now time.Time, demands []fleet.Demand, keep controller.Retention) controller.Effects {
	var e controller.Effects
	if now.Sub(n.reportsRequestedAt) >= reportInterval {
		n.reportsRequestedAt = now
		for _, id := range slices.Sorted(maps.Keys(n.servers)) {
			e.Reports = append(e.Reports, controller.ReportRequest{Backend: id})
		}
	}
	for _, d := range demands {
		if !d.LastArrival.IsZero() {
			n.updateLastUsed(d)
		}
		if d.Total() > 0 && !n.hasReplica(d.Target.Model) {
			e.Orders = append(e.Orders, n.load(now, n.models[d.Target.Model])...)
		}
	}
	e.Orders = append(e.Orders, n.unloadExpired(now, keep)...)
	return e
}

// updateLastUsed records the last arrival for all replicas of a model.
func (n *naiveLoader) updateLastUsed(d fleet.Demand) {
	for _, s := range n.servers {
		for _, l := range s.report.Replicas {
			key := n.key(s.report, l)
			if l.Model == d.Target.Model && d.LastArrival.After(n.lastUsed[key]) {
				n.lastUsed[key] = d.LastArrival
			}
		}
	}
}

// hasReplica reports whether a replica of the model exists or is ordered.
func (n *naiveLoader) hasReplica(m fleet.ModelID) bool {
	for _, s := range n.servers {
		if _, ok := s.pendingLoads[m]; ok {
			return true
		}
		_, unloading := s.unloading[m]
		for _, l := range s.report.Replicas {
			if l.Model == m && !unloading && s.acceptsLoads() {
				return true
			}
		}
	}
	return false
}

// acceptsLoads reports whether the server is live, has reported and is not
// draining.
func (s *naiveServer) acceptsLoads() bool {
	return s.report.Boot != "" && !s.report.Draining && s.record.VM.State == fleet.VMLive
}

// freeMemory returns the bytes not taken by reported replicas or pending loads.
func (n *naiveLoader) freeMemory(s *naiveServer) int64 {
	freeMemory := s.report.Memory
	for _, l := range s.report.Replicas {
		freeMemory -= l.Memory
	}
	for m := range s.pendingLoads {
		freeMemory -= n.models[m].MemoryBytes
	}
	return freeMemory
}

// load orders a load on a random server with enough free memory. If there is none,
// it orders unloads on a random server.
func (n *naiveLoader) load(now time.Time, m fleet.Model) []controller.SendOrder {
	ids := slices.Sorted(maps.Keys(n.servers))
	n.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		s := n.servers[id]
		if s.acceptsLoads() && n.freeMemory(s) >= m.MemoryBytes {
			s.pendingLoads[m.ID] = now
			return []controller.SendOrder{n.newOrder(s, engine.OrderLoad, m.ID)}
		}
	}
	for _, id := range ids {
		if orders := n.evict(now, n.servers[id], m.MemoryBytes); len(orders) > 0 {
			return orders
		}
	}
	return nil
}

// evict orders unloads of idle replicas until the needed bytes are free.
func (n *naiveLoader) evict(now time.Time, s *naiveServer, need int64) []controller.SendOrder {
	if !s.acceptsLoads() || len(s.unloading) > 0 {
		return nil
	}
	freeMemory := n.freeMemory(s)
	var orders []controller.SendOrder
	for _, l := range s.report.Replicas {
		if freeMemory >= need {
			break
		}
		if l.State != fleet.ReplicaReady || l.Running > 0 {
			continue
		}
		freeMemory += l.Memory
		s.unloading[l.Model] = now
		orders = append(orders, n.newOrder(s, engine.OrderUnload, l.Model))
	}
	return orders
}

// unloadExpired orders unloads of idle replicas whose keep time has expired.
func (n *naiveLoader) unloadExpired(now time.Time, keep controller.Retention) []controller.SendOrder {
	var orders []controller.SendOrder
	for _, id := range slices.Sorted(maps.Keys(n.servers)) {
		s := n.servers[id]
		for _, l := range s.report.Replicas {
			key := n.key(s.report, l)
			if n.lastUsed[key].IsZero() {
				n.lastUsed[key] = now
			}
			_, unloading := s.unloading[l.Model]
			if unloading || l.State != fleet.ReplicaReady || l.Running > 0 {
				continue
			}
			if now.After(keep.KeepUntil(fleet.Target{Model: l.Model}, n.lastUsed[key])) {
				s.unloading[l.Model] = now
				delete(n.lastUsed, key)
				orders = append(orders, n.newOrder(s, engine.OrderUnload, l.Model))
			}
		}
	}
	return orders
}

// newOrder returns an order for a server.
func (n *naiveLoader) newOrder(s *naiveServer, kind engine.OrderKind, m fleet.ModelID) controller.SendOrder {
	n.orders++
	return controller.SendOrder{Backend: s.record.Backend.ID, Order: engine.Order{
		ID:      fmt.Sprint("naive-", n.orders),
		Kind:    kind,
		Epoch:   1,
		Boot:    s.report.Boot,
		Model:   m,
		Version: n.models[m].Version,
		Memory:  n.models[m].MemoryBytes,
	}}
}

// Replicas returns the reported replicas.
func (n *naiveLoader) Replicas() []fleet.Replica {
	var out []fleet.Replica
	for _, id := range slices.Sorted(maps.Keys(n.servers)) {
		s := n.servers[id]
		for _, l := range s.report.Replicas {
			_, unloading := s.unloading[l.Model]
			out = append(out, fleet.Replica{
				ReplicaKey: n.key(s.report, l),
				State:      l.State,
				Slots:      n.models[l.Model].Slots,
				Adapters:   l.Adapters,
				Draining:   unloading || !s.acceptsLoads(),
			})
		}
	}
	return out
}
