package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

const (
	// takeoverLimit is the time within which a crash must be detected and a
	// successor be active.
	takeoverLimit  = suspicionTimeout + 3*time.Second
	coldStartLimit = 6 * time.Second // load time and control overhead
)

// forEachFencingMix runs a test with engines that check fencing tokens, with
// engines that do not, and with both.
func forEachFencingMix(t *testing.T, run func(t *testing.T, c *fakeCell)) {
	for name, nonFencing := range map[string]int{"fencing": 0, "mixed": 3, "non-fencing": 6} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 7, 4, 6, true)
			for _, e := range c.engines[:nonFencing] {
				e.fencing = false
			}
			run(t, c)
		})
	}
}

// delayLoads delays each load order of n on its way to the engine.
func (c *fakeCell) delayLoads(n *testNode, d time.Duration) {
	incarnation := n.incarnation
	c.orderDelay = func(from *testNode, o engine.Order) time.Duration {
		if from == n && from.incarnation == incarnation && o.Kind == engine.OrderLoad {
			return d
		}
		return 0
	}
}

func (c *fakeCell) waitReserved(n *testNode, m string) {
	c.addDemand(m)
	c.waitUntil(time.Minute, "a reserved replica", func() bool {
		for _, r := range n.ctrl.Replicas() {
			if r.Model == fleet.ModelID(m) {
				return true
			}
		}
		return false
	})
}

func TestControllerPausedWithOrderInFlight(t *testing.T) {
	forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
		a := c.waitForActive()
		c.delayLoads(a, 40*time.Second)
		c.waitReserved(a, "m0")
		c.run(100 * time.Millisecond)
		c.pause(a)
		c.waitUntil(takeoverLimit, "takeover", func() bool { h := c.activeNode(); return h != nil && h != a })
		c.waitServed(coldStartLimit+5*time.Second, "m0")
		c.run(20 * time.Second)
		c.resume(a)
		c.run(60 * time.Second)
		assert.Equal(t, c.replicaCount("m0"), 1)
		assert.Assert(t, !a.authority.Active, "%+v", a.authority)
	})
}

func TestControllerCrashDuringLoad(t *testing.T) {
	for name, wait := range map[string]time.Duration{"before the engine received the order": 0, "after": time.Second} {
		t.Run(name, func(t *testing.T) {
			forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
				a := c.waitForActive()
				c.waitReserved(a, "m0")
				if wait == 0 {
					c.delayLoads(a, time.Hour)
				}
				c.run(wait)
				c.crash(a)
				c.waitServed(takeoverLimit+coldStartLimit, "m0")
				assert.Equal(t, c.replicaCount("m0"), 1)
			})
		})
	}
}

func TestColdStartsAndCrashesWhileObjectAPIDown(t *testing.T) {
	c := newCell(t, 3, 4, 6, true)
	a := c.waitForActive()
	epoch := a.authority.Epoch
	c.store.up = false
	c.run(3 * time.Minute)
	c.waitServed(coldStartLimit, "m0")
	c.crash(a)
	c.waitServed(takeoverLimit+coldStartLimit, "m1")
	b := c.activeNode()
	assert.Equal(t, b.authority.SuccessorPosition, 1)
	assert.Equal(t, b.authority.Epoch, epoch+1)
	c.crash(b)
	c.waitServed(takeoverLimit+coldStartLimit, "m2")
	assert.Equal(t, c.activeNode().authority.SuccessorPosition, 2)
	c.run(10*time.Minute - c.now.Sub(epochStart))
	c.store.up = true
	c.waitUntil(10*time.Second, "a claim by the active controller", func() bool { h := c.activeNode(); return h != nil && h.authority.SuccessorPosition == 0 })
	c.waitServed(coldStartLimit, "m3")
	for _, m := range []string{"m0", "m1", "m2"} {
		assert.Equal(t, c.replicaCount(m), 1, m)
	}
}

func TestLoadBlockedWhileObjectAPIDownWithoutFencing(t *testing.T) {
	c := newCell(t, 3, 4, 6, false)
	a := c.waitForActive()
	c.waitServed(coldStartLimit, "m0")
	c.store.up = false
	c.run(10 * time.Second)
	c.addDemand("m1")
	c.run(time.Minute)
	assert.Equal(t, c.replicaCount("m1"), 0)
	assert.Equal(t, len(a.blocked), 1)
	assert.Equal(t, string(a.blocked[0].Reason), string("object API is silent and a backend server does not check fencing numbers"))
	c.store.up = true
	c.waitServed(coldStartLimit+2*time.Second, "m1")
}

func TestLostResponsesToClaimAndIntentWrites(t *testing.T) {
	c := newCell(t, 3, 4, 6, false)
	c.store.responsesToLose = 2
	a := c.waitForActive()
	c.store.responsesToLose = 1
	c.waitServed(coldStartLimit+3*time.Second, "m0")
	assert.Equal(t, c.loadCount("m0"), 1)
	c.store.responsesToLose = 1
	c.crash(a)
	c.waitUntil(takeoverLimit+2*time.Second, "takeover", func() bool { h := c.activeNode(); return h != nil && h != a })
	c.waitServed(coldStartLimit, "m1")
	assert.Equal(t, c.replicaCount("m0"), 1)
}

func TestTwoControllersAtOnce(t *testing.T) {
	forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
		a := c.waitForActive()
		// The active node loses contact with the other nodes and the object
		// API, but not with the engines.
		c.partitioned[string(a.id)+"/store"] = true
		a.unresponsiveSince = c.now
		c.waitUntil(takeoverLimit, "takeover", func() bool {
			c.reportDead(a)
			h := c.activeNode()
			return h != nil && h != a
		})
		ordered := a.orders
		for i, m := range []string{"m0", "m1", "m2", "m3"} {
			c.addDemand(m)
			c.run(time.Duration(i) * 100 * time.Millisecond)
		}
		c.run(time.Minute)
		if c.engines[len(c.engines)-1].fencing {
			assert.Assert(t, !a.authority.Active, "the engines' responses reveal the higher epoch")
		} else {
			assert.Equal(t, a.orders, ordered, "no order is sent while a newer controller cannot be detected")
		}
		for _, m := range []string{"m0", "m1", "m2", "m3"} {
			assert.Equal(t, c.replicaCount(m), 1, m)
		}
	})
}

// reportDead makes membership report a running node dead.
func (c *fakeCell) reportDead(n *testNode) { c.falselyDead = n }

// TestReportMeasuredWithOrderResponseKeepsLoad gives the controller a report
// measured at the same time as the response to a load order, but made before
// the order. The load must not be forgotten.
func TestReportMeasuredWithOrderResponseKeepsLoad(t *testing.T) {
	c := newCell(t, 1, 1, 4, true)
	c.run(5 * time.Second)
	c.demandRanks[fleet.Target{Model: "m0"}] = fleet.RankUrgent
	c.run(time.Second)
	ctrl := c.nodes[0].ctrl
	replicas := ctrl.Replicas()
	assert.Equal(t, len(replicas), 1)
	backendID := replicas[0].Backend
	for _, e := range c.engines {
		if e.id != backendID {
			continue
		}
		report := e.report()
		ctrl.HandleReport(c.now, c.now, report)
		report.Replicas = nil
		ctrl.HandleReport(c.now, c.now, report)
	}
	assert.Equal(t, len(ctrl.Replicas()), 1, "the load was forgotten and could be ordered twice")
}

func TestModelReloadedAfterEngineRestart(t *testing.T) {
	forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
		c.waitForActive()
		c.waitServed(coldStartLimit+time.Second, "m0")
		c.engineHolding("m0").restart()
		c.waitServed(coldStartLimit+4*time.Second, "m0")
		assert.Equal(t, c.replicaCount("m0"), 1)
	})
}

func (c *fakeCell) engineHolding(m string) *fakeEngine {
	for _, e := range c.engines {
		if e.up() && e.replicas[fleet.ModelID(m)] != nil {
			return e
		}
	}
	c.t.Fatalf("no engine holds %s", m)
	return nil
}

func TestEngineRestartsWithOrderInFlight(t *testing.T) {
	forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
		a := c.waitForActive()
		c.delayLoads(a, 20*time.Second)
		c.waitReserved(a, "m0")
		c.run(100 * time.Millisecond)
		target := c.findEngine(a.ctrl.Replicas()[0].Backend)
		c.orderDelay = nil
		target.restart()
		c.waitServed(coldStartLimit+5*time.Second, "m0")
		c.run(time.Minute)
		assert.Equal(t, c.replicaCount("m0"), 1)
		assert.Equal(t, c.loadCount("m0"), 1)
	})
}

func TestRestartsUnderSameName(t *testing.T) {
	forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
		a := c.waitForActive()
		c.waitServed(coldStartLimit+time.Second, "m0")
		// The entry node and an engine restart under their old names.
		c.crash(a)
		c.run(time.Second)
		c.start(a)
		c.engineHolding("m0").restart()
		c.waitServed(takeoverLimit+coldStartLimit, "m0")
		assert.Equal(t, c.replicaCount("m0"), 1)
	})
}

func TestThirdOfBackendsReclaimed(t *testing.T) {
	forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
		c.waitForActive()
		for _, m := range []string{"m0", "m1", "m2"} {
			c.waitServed(coldStartLimit+time.Second, m)
		}
		removed := []*fakeEngine{c.engineHolding("m0"), c.engineHolding("m1")}
		for _, e := range removed {
			e.removedAt = c.now
		}
		// If all candidates of a model are removed, the server set must change
		// before the model can be loaded.
		for _, m := range []string{"m0", "m1", "m2"} {
			c.waitServed(listLag+coldStartLimit+15*time.Second, m)
			assert.Equal(t, c.replicaCount(m), 1)
		}
	})
}

func TestSlowWeightStoreDoesNotBlockCachedLoads(t *testing.T) {
	c := newCell(t, 5, 3, 6, true)
	for _, e := range c.engines {
		e.loadTimeFactor = 10
		e.cached = []engine.CachedWeights{{Model: "m5", Version: "1", WeightLocality: fleet.LocalityMemory}}
	}
	c.waitForActive()
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		c.addDemand(m)
	}
	c.run(2 * time.Second)
	c.addDemand("m4")
	c.addDemand("m5")
	c.run(time.Second)
	assert.Equal(t, c.loadCount("m4"), 0, "a fifth load from the weight store was started")
	assert.Equal(t, c.loadCount("m5"), 1, "a load from memory waited for the weight store")
}

func TestLoadBudgetHoldsThroughTakeover(t *testing.T) {
	c := newCell(t, 9, 4, 8, true)
	for _, e := range c.engines {
		e.loadTimeFactor = 10
	}
	a := c.waitForActive()
	for _, m := range []string{"m0", "m1", "m2"} {
		c.addDemand(m)
	}
	c.run(2 * time.Second)
	c.crash(a)
	c.addDemand("m3")
	c.addDemand("m4")
	c.waitUntil(takeoverLimit, "takeover", func() bool { h := c.activeNode(); return h != nil && h != a })
	c.run(5 * time.Second)
	inFlight := 0
	for _, e := range c.engines {
		for _, r := range e.replicas {
			if r.State == fleet.ReplicaLoading {
				inFlight++
			}
		}
	}
	assert.Equal(t, inFlight, c.budget.LoadsInFlight)
	for i, first := range c.startedLoads {
		startedLater := 0
		for _, later := range c.startedLoads[i:] {
			if later.at.Sub(first.at) < time.Second {
				startedLater++
			}
		}
		assert.Assert(t, float64(startedLater) <= c.budget.LoadsPerSecond, "%d loads within a second", startedLater)
	}
}

func TestUrgentLoadsFirst(t *testing.T) {
	c := newCell(t, 5, 3, 8, true)
	c.budget.LoadsPerSecond = 1
	for _, n := range c.nodes {
		c.start(n)
	}
	c.waitForActive()
	for i, rank := range []fleet.Rank{fleet.RankBulk, fleet.RankBulk, fleet.RankStandard, fleet.RankUrgent} {
		c.demandRanks[fleet.Target{Model: c.models[i].ID}] = rank
	}
	c.run(5 * time.Second)
	var order []fleet.ModelID
	for _, s := range c.startedLoads {
		order = append(order, s.model)
	}
	assert.DeepEqual(t, order, []fleet.ModelID{"m3", "m2", "m0", "m1"})
}

func TestAdapterLoadsRespectBudget(t *testing.T) {
	s := newSteadyCell(fleetSize{replicas: 4, models: 4, adapters: 4})
	for range 10 {
		s.tick(nil)
	}
	var adapters []fleet.Adapter
	var demands []fleet.Demand
	for i := range 50 {
		a := fleet.Adapter{Model: modelID(i % 4), ID: adapterID(100 + i), Version: "1", MemoryBytes: gib / 16}
		adapters = append(adapters, a)
		d := fleet.Demand{Target: fleet.Target{Model: a.Model, Adapter: a.ID}}
		d.Waiting[fleet.RankStandard] = 1
		demands = append(demands, d)
	}
	var models []fleet.Model
	for i := range 4 {
		models = append(models, fleet.Model{ID: modelID(i), Version: "1", MaxReplicas: 2, MemoryBytes: 15 * gib, Slots: 8})
	}
	s.core.SetRelease(s.now, 2, models, adapters)
	s.now = s.now.Add(tickInterval)
	loads := 0
	for _, o := range s.core.Tick(s.now, demands, unlimitedRetention{}).Orders {
		if o.Order.Kind == engine.OrderLoadAdapter {
			loads++
		}
	}
	assert.Equal(t, loads, 32)
}

func TestPlannedStopOfBackendServer(t *testing.T) {
	forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
		a := c.waitForActive()
		c.waitServed(coldStartLimit+time.Second, "m1") // limit 2
		old := c.engineHolding("m1")
		row := old.replicas["m1"]
		row.Running = 1
		c.stopping = []fleet.BackendID{old.id}
		a.ctrl.SetStopping(c.now, c.stopping)
		for _, r := range a.ctrl.Replicas() {
			assert.Equal(t, r.Draining, r.Backend == old.id)
		}
		c.run(coldStartLimit + time.Second)
		assert.Equal(t, c.replicaCount("m1"), 2, "the model must be loaded elsewhere while requests run")
		assert.Assert(t, old.draining)
		row.Running = 0
		c.run(3 * time.Second)
		assert.Equal(t, len(old.replicas), 0)
		assert.Equal(t, c.replicaCount("m1"), 1)
	})
}

func TestWithdrawnModelDrains(t *testing.T) {
	c := newCell(t, 2, 3, 6, true)
	c.waitForActive()
	c.waitServed(coldStartLimit, "m0")
	row := c.engineHolding("m0").replicas["m0"]
	row.Running = 1
	c.models[0].Withdrawn = true
	c.release++
	c.run(5 * time.Second)
	assert.Equal(t, c.replicaCount("m0"), 1, "the model was unloaded while a request ran")
	row.Running = 0
	c.run(5 * time.Second)
	assert.Equal(t, c.replicaCount("m0"), 0)
	assert.Equal(t, c.loadCount("m0"), 1)
}

func TestNewVersionReplacesOld(t *testing.T) {
	for m, limit := range map[int]int{0: 1, 1: 2} {
		c := newCell(t, 2, 3, 6, true)
		c.waitForActive()
		id := string(c.models[m].ID)
		c.waitServed(coldStartLimit, id)
		old := c.engineHolding(id)
		c.models[m].Version = "2"
		c.release++
		served := 0
		for range 30 {
			c.run(time.Second)
			if c.isServed(fleet.Target{Model: fleet.ModelID(id)}) {
				served++
			}
		}
		assert.Equal(t, c.replicaCount(id), 1)
		assert.Equal(t, string(c.engineHolding(id).replicas[c.models[m].ID].Version), "2")
		if limit == 2 {
			assert.Assert(t, c.engineHolding(id) != old)
			assert.Equal(t, served, 30, "the old version must serve until the new one does")
		}
	}
}

func TestMinLoadTimeUsesNearestCopy(t *testing.T) {
	c := newCell(t, 1, 1, 4, true)
	ctrl := c.nodes[0].ctrl
	assert.Equal(t, ctrl.MinLoadTime("m0"), time.Duration(0), "no engine has reported yet")
	c.run(5 * time.Second)
	full := ctrl.MinLoadTime("m0")
	assert.Equal(t, full, c.models[0].LoadTime)
	report := c.engines[0].report()
	report.MeasuredAt = report.MeasuredAt.Add(time.Hour)
	report.Cached = append(report.Cached, engine.CachedWeights{Model: "m0", Version: c.models[0].Version, WeightLocality: fleet.LocalityDisk})
	ctrl.HandleReport(c.now, c.now, report)
	assert.Assert(t, ctrl.MinLoadTime("m0") < full)
	assert.Equal(t, ctrl.MinLoadTime("unknown"), time.Duration(0))
}

func TestEvictionMakesRoom(t *testing.T) {
	c := newCell(t, 2, 3, 2, true) // room for 4 of 6 models
	c.retention = 5 * time.Second
	c.waitForActive()
	for _, m := range c.models {
		target := c.addDemand(string(m.ID))
		c.waitServed(coldStartLimit+4*time.Second, string(m.ID))
		delete(c.demandRanks, target)
		c.run(10 * time.Second)
	}
}

func TestAdapterDemandLoadsModelOnce(t *testing.T) {
	forEachFencingMix(t, func(t *testing.T, c *fakeCell) {
		c.waitForActive()
		target := fleet.Target{Model: "m0", Adapter: "a"}
		c.demandRanks[target] = fleet.RankUrgent
		c.waitUntil(coldStartLimit+2*time.Second, "adapter", func() bool { return c.isServed(target) })
		assert.Equal(t, c.loadCount("m0"), 1)
	})
}

// TestLateExpiryOfEarlierAttemptDoesNotCancelOrder: that the first attempt of an order
// expired says nothing about a later one, which expires later. The memory and the
// replica of an order that may still be carried out must stay counted.
func TestLateExpiryOfEarlierAttemptDoesNotCancelOrder(t *testing.T) {
	c := newCell(t, 1, 3, 6, true)
	n := c.waitForActive()
	n.ctrl.ForceLoad(c.now, c.engines[0].id, c.models[0], fleet.LocalityMemory)
	loadOrder := func(now time.Time) controller.SendOrder {
		for _, o := range n.ctrl.Tick(now, nil, c).Orders {
			if o.Order.Kind == engine.OrderLoad {
				return o
			}
		}
		t.Fatal("no load order was sent")
		return controller.SendOrder{}
	}
	first := c.now
	order := loadOrder(first)
	second := first.Add(controller.DefaultResponseTimeout)
	assert.Equal(t, loadOrder(second).Order.ID, order.Order.ID)
	expired := controller.OrderResult{OrderID: order.Order.ID, Backend: order.Backend, SentAt: first, Err: engine.ErrExpired}
	n.ctrl.HandleOrderResult(second, expired)
	assert.Equal(t, len(n.ctrl.Replicas()), 1)
	expired.SentAt = second
	n.ctrl.HandleOrderResult(second, expired)
	assert.Equal(t, len(n.ctrl.Replicas()), 0)
}
