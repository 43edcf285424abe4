package controller_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
	"github.com/redwingnotch/redwingnotch/loadbudget"
	"github.com/redwingnotch/redwingnotch/platform"
)

// fleetSize is the size of a simulated cell.
type fleetSize struct {
	replicas, models, adapters int
}

// fleetSizes are, in order: the larger of the existing deployments, a hundredth
// of the planned fleet with a tenth of its adapters, a tenth of the fleet with a
// tenth of the adapters, a tenth of the fleet with all adapters, and the whole
// planned fleet.
var fleetSizes = []fleetSize{{18, 110, 200}, {73, 210, 2700}, {730, 210, 2700}, {730, 210, 27000}, {7300, 210, 27000}}

func (s fleetSize) String() string {
	return fmt.Sprintf("replicas=%d/adapters=%d", s.replicas, s.adapters)
}

// steadyCell simulates one controller and engines that each hold one replica.
type steadyCell struct {
	size    fleetSize
	now     time.Time
	core    *controller.Core
	reports map[fleet.BackendID]engine.Report
	orders  int
}

func newSteadyCell(size fleetSize) *steadyCell {
	s := &steadyCell{size: size, now: epochStart, reports: map[fleet.BackendID]engine.Report{}}
	budget := loadbudget.Settings{LoadsPerSecond: 5, LoadsInFlight: 4, AdaptersInFlight: 32}
	s.core = controller.New(controller.Config{Incarnation: 1, Budget: budget}, testCell, "n0")
	limit := size.replicas/size.models + 1
	var models []fleet.Model
	for i := range size.models {
		models = append(models, fleet.Model{ID: modelID(i), Version: "1", MaxReplicas: limit,
			MemoryBytes: 15 * gib, LoadTime: 4 * time.Second, Slots: 8})
	}
	var adapters []fleet.Adapter
	for i := range size.adapters {
		adapters = append(adapters, fleet.Adapter{Model: modelID(i % size.replicas % size.models), ID: adapterID(i), Version: "1", MemoryBytes: gib / 16})
	}
	s.core.SetRelease(s.now, 1, models, adapters)
	serverSet := lease.ServerSet{Candidates: max(4, 2*limit), AsOf: s.now}
	var vms []platform.VMRecord
	for i := range size.replicas {
		id := fleet.BackendID(fmt.Sprintf("backend-%05d", i))
		serverSet.Backends = append(serverSet.Backends, id)
		vm := fleet.VM{ID: fleet.VMID(id), Memory: 80 * gib}
		vms = append(vms, platform.VMRecord{VM: vm, Backend: fleet.BackendServer{
			ID: id, VM: vm.ID, Cell: testCell, Address: string(id), Fencing: true}})
		s.reports[id] = s.report(id, i)
	}
	s.core.SetBackends(s.now, vms, s.now)
	s.core.SetAuthority(s.now, lease.Authority{Cell: testCell, Epoch: 1, Active: true, StoreContact: true,
		PredecessorsStopped: true, SuccessorsAlive: true, ServerSets: []lease.ServerSet{serverSet}})
	return s
}

func modelID(i int) fleet.ModelID     { return fleet.ModelID(fmt.Sprintf("model-%03d", i)) }
func adapterID(i int) fleet.AdapterID { return fleet.AdapterID(fmt.Sprintf("adapter-%05d", i)) }

func (s *steadyCell) report(id fleet.BackendID, i int) engine.Report {
	row := engine.LoadedReplica{Model: modelID(i % s.size.models), Version: "1", State: fleet.ReplicaReady, Memory: 15 * gib}
	for a := i; a < s.size.adapters; a += s.size.replicas {
		row.Adapters = append(row.Adapters, adapterID(a))
	}
	return engine.Report{Backend: id, Boot: fleet.BootID(id + "-1"), Epoch: 1, Memory: 80 * gib,
		Replicas: []engine.LoadedReplica{row}}
}

// tick runs one tick and responds to all its orders and report requests.
func (s *steadyCell) tick(demands []fleet.Demand) {
	s.now = s.now.Add(tickInterval)
	eff := s.core.Tick(s.now, demands, unlimitedRetention{})
	for _, r := range eff.Reports {
		s.core.HandleReport(s.now, s.now, s.measured(r.Backend))
	}
	for _, o := range eff.Orders {
		s.orders++
		r := s.measured(o.Backend)
		s.core.HandleOrderResult(s.now, controller.OrderResult{OrderID: o.Order.ID, Backend: o.Backend, SentAt: s.now, Report: &r})
	}
}

func (s *steadyCell) measured(id fleet.BackendID) engine.Report {
	r := s.reports[id]
	r.MeasuredAt = s.now
	return r
}

type unlimitedRetention struct{}

func (unlimitedRetention) KeepUntil(_ fleet.Target, lastUsed time.Time) time.Time {
	return lastUsed.Add(365 * 24 * time.Hour)
}
func (unlimitedRetention) Preloads(time.Time) []fleet.Target { return nil }

func (s *steadyCell) demands(n int) []fleet.Demand {
	var ds []fleet.Demand
	for i := range n {
		d := fleet.Demand{Target: fleet.Target{Model: modelID(i % s.size.models)}, OldestArrival: s.now, LastArrival: s.now}
		d.Waiting[fleet.RankStandard] = 1
		ds = append(ds, d)
	}
	return ds
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkScaleTick measures one tick of a steady cell with demand for 26% of
// the models, and the bytes that stay resident.
func BenchmarkScaleTick(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			before := heapBytes()
			s := newSteadyCell(size)
			for range 20 {
				s.tick(nil)
			}
			s.reports = nil
			resident := float64(heapBytes() - before)
			demands := s.demands(size.models * 26 / 100)
			b.ResetTimer()
			for range b.N {
				s.now = s.now.Add(time.Microsecond)
				s.core.Tick(s.now, demands, unlimitedRetention{})
			}
			b.ReportMetric(resident, "resident-B")
			b.ReportMetric(resident/float64(size.replicas), "resident-B/replica")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkScaleReport measures the processing of one engine's report.
func BenchmarkScaleReport(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			s := newSteadyCell(size)
			for range 20 {
				s.tick(nil)
			}
			r := s.measured("backend-00003")
			b.ResetTimer()
			for range b.N {
				r.MeasuredAt = r.MeasuredAt.Add(time.Nanosecond)
				s.core.HandleReport(s.now, s.now, r)
			}
		})
	}
}

// BenchmarkScaleTakeover measures raising the epoch and reading the reports of
// all engines of a cell, and the number of orders per engine.
func BenchmarkScaleTakeover(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(size.String(), func(b *testing.B) {
			orders := 0
			for range b.N {
				s := newSteadyCell(size)
				for range 10 {
					s.tick(nil)
				}
				orders = s.orders
			}
			b.ReportMetric(float64(orders)/float64(size.replicas), "orders/engine")
		})
	}
}

// BenchmarkScaleWithoutAuthority measures the virtual time from the crash of
// the active controller until a successor is active, and from then until the
// first load starts.
func BenchmarkScaleWithoutAuthority(b *testing.B) {
	for _, storeUp := range []bool{true, false} {
		for _, engines := range []int{9, 18, 73} {
			b.Run(fmt.Sprintf("store=%t/engines=%d", storeUp, engines), func(b *testing.B) {
				var takeover, load time.Duration
				for i := range b.N {
					c := newCell(b, int64(i+1), 8, engines, true)
					a := c.waitForActive()
					c.store.up = storeUp
					c.run(3 * time.Second)
					c.crash(a)
					takeover += c.waitUntil(time.Minute, "an active successor", func() bool { return c.activeNode() != nil })
					c.addDemand("m0")
					load += c.waitUntil(time.Minute, "a load", func() bool { return c.loadCount("m0") > 0 })
				}
				b.ReportMetric(takeover.Seconds()/float64(b.N), "virtual-s-to-office")
				b.ReportMetric(load.Seconds()/float64(b.N), "virtual-s-office-to-load")
			})
		}
	}
}
