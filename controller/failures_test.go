package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

const (
	// takeoverBound is the time within which a crash must be detected and the
	// cell controlled again.
	takeoverBound = deadAfter + 3*time.Second
	coldStart     = 6 * time.Second // load time and control
)

// eachKind runs a failure with engines that check fencing numbers, with ones
// that do not, and with some of both.
func eachKind(t *testing.T, run func(t *testing.T, c *fakeCell)) {
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

// delayLoads holds each load order of n back on its way to the engine.
func (c *fakeCell) delayLoads(n *testNode, d time.Duration) {
	inc := n.inc
	c.order = func(from *testNode, o engine.Order) time.Duration {
		if from == n && from.inc == inc && o.Kind == engine.OrderLoad {
			return d
		}
		return 0
	}
}

func (c *fakeCell) untilOrdered(n *testNode, m string) {
	c.ask(m)
	c.until(time.Minute, "a reservation", func() bool {
		for _, r := range n.ctrl.Replicas() {
			if r.Model == fleet.ModelID(m) {
				return true
			}
		}
		return false
	})
}

func TestHolderPausedWithOrderHalfSent(t *testing.T) {
	eachKind(t, func(t *testing.T, c *fakeCell) {
		a := c.settle()
		c.delayLoads(a, 40*time.Second)
		c.untilOrdered(a, "m0")
		c.run(100 * time.Millisecond)
		c.pause(a)
		c.until(takeoverBound, "takeover", func() bool { h := c.holder(); return h != nil && h != a })
		c.untilServed(coldStart+5*time.Second, "m0")
		c.run(20 * time.Second)
		c.wake(a)
		c.run(60 * time.Second)
		assert.Equal(t, c.count("m0"), 1)
		assert.Assert(t, !a.auth.InOffice, "%+v", a.auth)
	})
}

func TestControllerCrashDuringLoad(t *testing.T) {
	for name, wait := range map[string]time.Duration{"before the engine took it": 0, "after": time.Second} {
		t.Run(name, func(t *testing.T) {
			eachKind(t, func(t *testing.T, c *fakeCell) {
				a := c.settle()
				c.untilOrdered(a, "m0")
				if wait == 0 {
					c.delayLoads(a, time.Hour)
				}
				c.run(wait)
				c.crash(a)
				c.untilServed(takeoverBound+coldStart, "m0")
				assert.Equal(t, c.count("m0"), 1)
			})
		})
	}
}

func TestStoreDownWithColdStartAndCrash(t *testing.T) {
	c := newCell(t, 3, 4, 6, true)
	a := c.settle()
	epoch := a.auth.Epoch
	c.store.up = false
	c.run(3 * time.Minute)
	c.untilServed(coldStart, "m0")
	c.crash(a)
	c.untilServed(takeoverBound+coldStart, "m1")
	b := c.holder()
	assert.Equal(t, b.auth.AdvanceRank, 1)
	assert.Equal(t, b.auth.Epoch, epoch+1)
	c.crash(b)
	c.untilServed(takeoverBound+coldStart, "m2")
	assert.Equal(t, c.holder().auth.AdvanceRank, 2)
	c.run(10*time.Minute - c.now.Sub(epochStart))
	c.store.up = true
	c.until(10*time.Second, "a claim", func() bool { h := c.holder(); return h != nil && h.auth.AdvanceRank == 0 })
	c.untilServed(coldStart, "m3")
	for _, m := range []string{"m0", "m1", "m2"} {
		assert.Equal(t, c.count(m), 1, m)
	}
}

func TestStoreDownWithNonFencingEnginesSaysSo(t *testing.T) {
	c := newCell(t, 3, 4, 6, false)
	a := c.settle()
	c.untilServed(coldStart, "m0")
	c.store.up = false
	c.run(10 * time.Second)
	c.ask("m1")
	c.run(time.Minute)
	assert.Equal(t, c.count("m1"), 0)
	assert.Equal(t, len(a.blocked), 1)
	assert.Equal(t, string(a.blocked[0].Reason), string("object API is silent and a backend server does not check fencing numbers"))
	c.store.up = true
	c.untilServed(coldStart+2*time.Second, "m1")
}

func TestLostAnswersForClaimAndIntent(t *testing.T) {
	c := newCell(t, 3, 4, 6, false)
	c.store.lose = 2
	a := c.settle()
	c.store.lose = 1
	c.untilServed(coldStart+3*time.Second, "m0")
	assert.Equal(t, c.loads("m0"), 1)
	c.store.lose = 1
	c.crash(a)
	c.until(takeoverBound+2*time.Second, "takeover", func() bool { h := c.holder(); return h != nil && h != a })
	c.untilServed(coldStart, "m1")
	assert.Equal(t, c.count("m0"), 1)
}

func TestTwoControllersAtOnce(t *testing.T) {
	eachKind(t, func(t *testing.T, c *fakeCell) {
		a := c.settle()
		// The holder loses the other nodes and the store, not the engines.
		c.cut[string(a.id)+"/store"] = true
		a.downAt = c.now
		c.until(takeoverBound, "takeover", func() bool {
			c.pretendDead(a)
			h := c.holder()
			return h != nil && h != a
		})
		ordered := a.orders
		for i, m := range []string{"m0", "m1", "m2", "m3"} {
			c.ask(m)
			c.run(time.Duration(i) * 100 * time.Millisecond)
		}
		c.run(time.Minute)
		if c.engines[len(c.engines)-1].fencing {
			assert.Assert(t, !a.auth.InOffice, "an engine's answer tells")
		} else {
			assert.Equal(t, a.orders, ordered, "cut off from what could tell: orders nothing")
		}
		for _, m := range []string{"m0", "m1", "m2", "m3"} {
			assert.Equal(t, c.count(m), 1, m)
		}
	})
}

// pretendDead makes membership call a living node dead.
func (c *fakeCell) pretendDead(n *testNode) { c.dead = n }

// TestReportAsOldAsAnOrdersAnswer gives the controller a report that the engine
// made at the very time of its answer to a load order, but before the order.
func TestReportAsOldAsAnOrdersAnswer(t *testing.T) {
	c := newCell(t, 1, 1, 4, true)
	c.run(5 * time.Second)
	c.demand[fleet.Target{Model: "m0"}] = fleet.RankUrgent
	c.run(time.Second)
	ctrl := c.nodes[0].ctrl
	replicas := ctrl.Replicas()
	assert.Equal(t, len(replicas), 1)
	holder := replicas[0].Backend
	for _, e := range c.engines {
		if e.id != holder {
			continue
		}
		report := e.report()
		ctrl.HandleReport(c.now, c.now, report)
		report.Replicas = nil
		ctrl.HandleReport(c.now, c.now, report)
	}
	assert.Equal(t, len(ctrl.Replicas()), 1, "the load is forgotten, and may be made twice")
}

func TestEngineRestartsEmpty(t *testing.T) {
	eachKind(t, func(t *testing.T, c *fakeCell) {
		c.settle()
		c.untilServed(coldStart+time.Second, "m0")
		c.holding("m0").restart()
		c.untilServed(coldStart+4*time.Second, "m0")
		assert.Equal(t, c.count("m0"), 1)
	})
}

func (c *fakeCell) holding(m string) *fakeEngine {
	for _, e := range c.engines {
		if e.up() && e.replicas[fleet.ModelID(m)] != nil {
			return e
		}
	}
	c.t.Fatalf("no engine holds %s", m)
	return nil
}

func TestEngineRestartsWithOldOrderOnItsWay(t *testing.T) {
	eachKind(t, func(t *testing.T, c *fakeCell) {
		a := c.settle()
		c.delayLoads(a, 20*time.Second)
		c.untilOrdered(a, "m0")
		c.run(100 * time.Millisecond)
		target := c.engine(a.ctrl.Replicas()[0].Backend)
		c.order = nil
		target.restart()
		c.untilServed(coldStart+5*time.Second, "m0")
		c.run(time.Minute)
		assert.Equal(t, c.count("m0"), 1)
		assert.Equal(t, c.loads("m0"), 1)
	})
}

func TestSameVMNameAnotherIncarnation(t *testing.T) {
	eachKind(t, func(t *testing.T, c *fakeCell) {
		a := c.settle()
		c.untilServed(coldStart+time.Second, "m0")
		// The entry VM and an engine's VM come back under their old names.
		c.crash(a)
		c.run(time.Second)
		c.start(a)
		c.holding("m0").restart()
		c.untilServed(takeoverBound+coldStart, "m0")
		assert.Equal(t, c.count("m0"), 1)
	})
}

func TestThirdOfBackendsReclaimed(t *testing.T) {
	eachKind(t, func(t *testing.T, c *fakeCell) {
		c.settle()
		for _, m := range []string{"m0", "m1", "m2"} {
			c.untilServed(coldStart+time.Second, m)
		}
		lost := []*fakeEngine{c.holding("m0"), c.holding("m1")}
		for _, e := range lost {
			e.goneAt = c.now
		}
		// Where all candidates of a model are lost, the roster must change first.
		for _, m := range []string{"m0", "m1", "m2"} {
			c.untilServed(listLag+coldStart+15*time.Second, m)
			assert.Equal(t, c.count(m), 1)
		}
	})
}

func TestSlowWeightStoreDoesNotHoldNearLoads(t *testing.T) {
	c := newCell(t, 5, 3, 6, true)
	for _, e := range c.engines {
		e.slow = 10
		e.cached = []engine.CachedWeights{{Model: "m5", Version: "1", Near: fleet.NearMemory}}
	}
	c.settle()
	for _, m := range []string{"m0", "m1", "m2", "m3"} {
		c.ask(m)
	}
	c.run(2 * time.Second)
	c.ask("m4")
	c.ask("m5")
	c.run(time.Second)
	assert.Equal(t, c.loads("m4"), 0, "a fifth load from the weight store")
	assert.Equal(t, c.loads("m5"), 1, "a load from memory waits for the weight store")
}

func TestLimitsThroughTakeover(t *testing.T) {
	c := newCell(t, 9, 4, 8, true)
	for _, e := range c.engines {
		e.slow = 10
	}
	a := c.settle()
	for _, m := range []string{"m0", "m1", "m2"} {
		c.ask(m)
	}
	c.run(2 * time.Second)
	c.crash(a)
	c.ask("m3")
	c.ask("m4")
	c.until(takeoverBound, "takeover", func() bool { h := c.holder(); return h != nil && h != a })
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
	for i, first := range c.started {
		second := 0
		for _, later := range c.started[i:] {
			if later.at.Sub(first.at) < time.Second {
				second++
			}
		}
		assert.Assert(t, float64(second) <= c.budget.LoadsPerSecond, "%d loads within a second", second)
	}
}

func TestUrgentLoadsFirst(t *testing.T) {
	c := newCell(t, 5, 3, 8, true)
	c.budget.LoadsPerSecond = 1
	for _, n := range c.nodes {
		c.start(n)
	}
	c.settle()
	for i, rank := range []fleet.Rank{fleet.RankBulk, fleet.RankBulk, fleet.RankStandard, fleet.RankUrgent} {
		c.demand[fleet.Target{Model: c.models[i].ID}] = rank
	}
	c.run(5 * time.Second)
	var order []fleet.ModelID
	for _, s := range c.started {
		order = append(order, s.model)
	}
	assert.DeepEqual(t, order, []fleet.ModelID{"m3", "m2", "m0", "m1"})
}

func TestAdapterLoadsKeepTheirLimit(t *testing.T) {
	s := newSteadyCell(fleetSize{replicas: 4, models: 4, adapters: 4})
	for range 10 {
		s.step(nil)
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
	s.now = s.now.Add(tickEvery)
	loads := 0
	for _, o := range s.core.Tick(s.now, demands, forever{}).Orders {
		if o.Order.Kind == engine.OrderLoadAdapter {
			loads++
		}
	}
	assert.Equal(t, loads, 32)
}

func TestPlannedStopOfBackendServer(t *testing.T) {
	eachKind(t, func(t *testing.T, c *fakeCell) {
		a := c.settle()
		c.untilServed(coldStart+time.Second, "m1") // limit 2
		old := c.holding("m1")
		row := old.replicas["m1"]
		row.Running = 1
		c.stopping = []fleet.BackendID{old.id}
		a.ctrl.SetStopping(c.now, c.stopping)
		for _, r := range a.ctrl.Replicas() {
			assert.Equal(t, r.Draining, r.Backend == old.id)
		}
		c.run(coldStart + time.Second)
		assert.Equal(t, c.count("m1"), 2, "loaded elsewhere while requests run")
		assert.Assert(t, old.draining)
		row.Running = 0
		c.run(3 * time.Second)
		assert.Equal(t, len(old.replicas), 0)
		assert.Equal(t, c.count("m1"), 1)
	})
}

func TestWithdrawnModelDrains(t *testing.T) {
	c := newCell(t, 2, 3, 6, true)
	c.settle()
	c.untilServed(coldStart, "m0")
	row := c.holding("m0").replicas["m0"]
	row.Running = 1
	c.models[0].Withdrawn = true
	c.release++
	c.run(5 * time.Second)
	assert.Equal(t, c.count("m0"), 1, "unloaded while a request runs")
	row.Running = 0
	c.run(5 * time.Second)
	assert.Equal(t, c.count("m0"), 0)
	assert.Equal(t, c.loads("m0"), 1)
}

func TestNewVersionReplacesOld(t *testing.T) {
	for m, limit := range map[int]int{0: 1, 1: 2} {
		c := newCell(t, 2, 3, 6, true)
		c.settle()
		id := string(c.models[m].ID)
		c.untilServed(coldStart, id)
		old := c.holding(id)
		c.models[m].Version = "2"
		c.release++
		served := 0
		for range 30 {
			c.run(time.Second)
			if c.serves(fleet.Target{Model: fleet.ModelID(id)}) {
				served++
			}
		}
		assert.Equal(t, c.count(id), 1)
		assert.Equal(t, string(c.holding(id).replicas[c.models[m].ID].Version), "2")
		if limit == 2 {
			assert.Assert(t, c.holding(id) != old)
			assert.Equal(t, served, 30, "the old version serves until the new one does")
		}
	}
}

func TestLeastLoadTimeIsThatOfTheNearestCopy(t *testing.T) {
	c := newCell(t, 1, 1, 4, true)
	ctrl := c.nodes[0].ctrl
	assert.Equal(t, ctrl.LeastLoadTime("m0"), time.Duration(0), "nothing is known yet")
	c.run(5 * time.Second)
	full := ctrl.LeastLoadTime("m0")
	assert.Equal(t, full, c.models[0].LoadTime)
	report := c.engines[0].report()
	report.MeasuredAt = report.MeasuredAt.Add(time.Hour)
	report.Cached = append(report.Cached, engine.CachedWeights{Model: "m0", Version: c.models[0].Version, Near: fleet.NearDisk})
	ctrl.HandleReport(c.now, c.now, report)
	assert.Assert(t, ctrl.LeastLoadTime("m0") < full)
	assert.Equal(t, ctrl.LeastLoadTime("unknown"), time.Duration(0))
}

func TestEvictionMakesRoom(t *testing.T) {
	c := newCell(t, 2, 3, 2, true) // room for 4 of 6 models
	c.keep = 5 * time.Second
	c.settle()
	for _, m := range c.models {
		target := c.ask(string(m.ID))
		c.untilServed(coldStart+4*time.Second, string(m.ID))
		delete(c.demand, target)
		c.run(10 * time.Second)
	}
}

func TestAdaptersLoadInBulk(t *testing.T) {
	eachKind(t, func(t *testing.T, c *fakeCell) {
		c.settle()
		target := fleet.Target{Model: "m0", Adapter: "a"}
		c.demand[target] = fleet.RankUrgent
		c.until(coldStart+2*time.Second, "adapter", func() bool { return c.serves(target) })
		assert.Equal(t, c.loads("m0"), 1)
	})
}
