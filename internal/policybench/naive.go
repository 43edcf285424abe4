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

// naiveLoader loads a model that is asked for on a random server with room, or
// on a random one that it makes room at. It knows nothing of nearness, ranks or
// the limits of the weight store.
type naiveLoader struct {
	rng      *rand.Rand
	models   map[fleet.ModelID]fleet.Model
	servers  map[fleet.BackendID]*naiveServer
	lastUsed map[fleet.ReplicaKey]time.Time
	orders   int
	askedAt  time.Time
}

// naiveServer is what the naive loader knows of a server.
type naiveServer struct {
	row     platform.VMRecord
	report  engine.Report
	pending map[fleet.ModelID]time.Time // loads ordered and not yet reported
	leaving map[fleet.ModelID]time.Time // unloads ordered
}

// newNaiveLoader returns the baseline's loader.
func newNaiveLoader(w *world) Loader {
	return &naiveLoader{
		rng:      rand.New(rand.NewPCG(w.deployment.Seed, 2)),
		models:   w.modelByID,
		servers:  make(map[fleet.BackendID]*naiveServer),
		lastUsed: make(map[fleet.ReplicaKey]time.Time),
	}
}

// naiveForget is when an order without a trace in a report is given up.
const naiveForget = 5 * time.Second

// SetBackends takes over the VM list.
func (n *naiveLoader) SetBackends(_ time.Time, rs []platform.VMRecord, _ time.Time) {
	listed := make(map[fleet.BackendID]bool)
	for _, r := range rs {
		listed[r.Backend.ID] = true
		s := n.servers[r.Backend.ID]
		if s == nil {
			s = &naiveServer{pending: make(map[fleet.ModelID]time.Time), leaving: make(map[fleet.ModelID]time.Time)}
			n.servers[r.Backend.ID] = s
		}
		s.row = r
	}
	maps.DeleteFunc(n.servers, func(id fleet.BackendID, _ *naiveServer) bool { return !listed[id] })
}

// HandleReport takes over a report.
func (n *naiveLoader) HandleReport(now time.Time, _ time.Time, r engine.Report) {
	s := n.servers[r.Backend]
	if s == nil || r.MeasuredAt.Before(s.report.MeasuredAt) {
		return
	}
	s.report = r
	for _, l := range r.Replicas {
		delete(s.pending, l.Model)
		if l.Running > 0 {
			n.lastUsed[n.key(r, l)] = now
		}
	}
	maps.DeleteFunc(s.pending, func(_ fleet.ModelID, at time.Time) bool { return now.Sub(at) > naiveForget })
	maps.DeleteFunc(s.leaving, func(_ fleet.ModelID, at time.Time) bool { return now.Sub(at) > naiveForget })
}

// HandleOrderResult takes over the report in an answer.
func (n *naiveLoader) HandleOrderResult(now time.Time, res controller.OrderResult) {
	if res.Report != nil {
		n.HandleReport(now, res.SentAt, *res.Report)
		return
	}
	if s := n.servers[res.Backend]; s != nil && errors.Is(res.Err, engine.ErrNoMemory) {
		clear(s.pending)
	}
}

// key names a reported replica.
func (n *naiveLoader) key(r engine.Report, l engine.LoadedReplica) fleet.ReplicaKey {
	return fleet.ReplicaKey{Backend: r.Backend, Boot: r.Boot, Model: l.Model, Version: l.Version}
}

// Tick orders loads for targets that wait and unloads of what was kept long
// enough.
func (n *naiveLoader) Tick(now time.Time, demands []fleet.Demand, keep controller.Retention) controller.Effects {
	var e controller.Effects
	if now.Sub(n.askedAt) >= reportEvery {
		n.askedAt = now
		for _, id := range slices.Sorted(maps.Keys(n.servers)) {
			e.Reports = append(e.Reports, controller.ReportRequest{Backend: id})
		}
	}
	for _, d := range demands {
		if !d.LastArrival.IsZero() {
			n.touch(d)
		}
		if d.Total() > 0 && !n.hasReplica(d.Target.Model) {
			e.Orders = append(e.Orders, n.load(now, n.models[d.Target.Model])...)
		}
	}
	e.Orders = append(e.Orders, n.unloadExpired(now, keep)...)
	return e
}

// touch notes the latest use of a model's replicas.
func (n *naiveLoader) touch(d fleet.Demand) {
	for _, s := range n.servers {
		for _, l := range s.report.Replicas {
			key := n.key(s.report, l)
			if l.Model == d.Target.Model && d.LastArrival.After(n.lastUsed[key]) {
				n.lastUsed[key] = d.LastArrival
			}
		}
	}
}

// hasReplica reports whether a replica of the model stands or is on its way.
func (n *naiveLoader) hasReplica(m fleet.ModelID) bool {
	for _, s := range n.servers {
		if _, ok := s.pending[m]; ok {
			return true
		}
		_, leaving := s.leaving[m]
		for _, l := range s.report.Replicas {
			if l.Model == m && !leaving && s.usable() {
				return true
			}
		}
	}
	return false
}

// usable reports whether the server takes loads.
func (s *naiveServer) usable() bool {
	return s.report.Boot != "" && !s.report.Draining && s.row.VM.State == fleet.VMLive
}

// free returns the memory not committed.
func (n *naiveLoader) free(s *naiveServer) int64 {
	free := s.report.Memory
	for _, l := range s.report.Replicas {
		free -= l.Memory
	}
	for m := range s.pending {
		free -= n.models[m].MemoryBytes
	}
	return free
}

// load orders a load on a random server.
func (n *naiveLoader) load(now time.Time, m fleet.Model) []controller.SendOrder {
	ids := slices.Sorted(maps.Keys(n.servers))
	n.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids {
		s := n.servers[id]
		if s.usable() && n.free(s) >= m.MemoryBytes {
			s.pending[m.ID] = now
			return []controller.SendOrder{n.order(s, engine.OrderLoad, m.ID)}
		}
	}
	for _, id := range ids {
		if orders := n.evict(now, n.servers[id], m.MemoryBytes); len(orders) > 0 {
			return orders
		}
	}
	return nil
}

// evict unloads idle replicas of a server until the need fits.
func (n *naiveLoader) evict(now time.Time, s *naiveServer, need int64) []controller.SendOrder {
	if !s.usable() || len(s.leaving) > 0 {
		return nil
	}
	free := n.free(s)
	var orders []controller.SendOrder
	for _, l := range s.report.Replicas {
		if free >= need {
			break
		}
		if l.State != fleet.ReplicaReady || l.Running > 0 {
			continue
		}
		free += l.Memory
		s.leaving[l.Model] = now
		orders = append(orders, n.order(s, engine.OrderUnload, l.Model))
	}
	return orders
}

// unloadExpired unloads replicas that were kept long enough.
func (n *naiveLoader) unloadExpired(now time.Time, keep controller.Retention) []controller.SendOrder {
	var orders []controller.SendOrder
	for _, id := range slices.Sorted(maps.Keys(n.servers)) {
		s := n.servers[id]
		for _, l := range s.report.Replicas {
			key := n.key(s.report, l)
			if n.lastUsed[key].IsZero() {
				n.lastUsed[key] = now
			}
			_, leaving := s.leaving[l.Model]
			if leaving || l.State != fleet.ReplicaReady || l.Running > 0 {
				continue
			}
			if now.After(keep.KeepUntil(fleet.Target{Model: l.Model}, n.lastUsed[key])) {
				s.leaving[l.Model] = now
				delete(n.lastUsed, key)
				orders = append(orders, n.order(s, engine.OrderUnload, l.Model))
			}
		}
	}
	return orders
}

// order makes an order to a server.
func (n *naiveLoader) order(s *naiveServer, kind engine.OrderKind, m fleet.ModelID) controller.SendOrder {
	n.orders++
	return controller.SendOrder{Backend: s.row.Backend.ID, Order: engine.Order{
		ID:      fmt.Sprint("naive-", n.orders),
		Kind:    kind,
		Epoch:   1,
		Boot:    s.report.Boot,
		Model:   m,
		Version: n.models[m].Version,
		Memory:  n.models[m].MemoryBytes,
	}}
}

// Replicas returns what the reports show.
func (n *naiveLoader) Replicas() []fleet.Replica {
	var out []fleet.Replica
	for _, id := range slices.Sorted(maps.Keys(n.servers)) {
		s := n.servers[id]
		for _, l := range s.report.Replicas {
			_, leaving := s.leaving[l.Model]
			out = append(out, fleet.Replica{
				ReplicaKey: n.key(s.report, l),
				State:      l.State,
				Slots:      n.models[l.Model].Slots,
				Adapters:   l.Adapters,
				Draining:   leaving || !s.usable(),
			})
		}
	}
	return out
}
