package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/controller"
	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/lease"
)

// newFalselyDeadCell returns a cell whose active node a is reported dead and
// cut off from the object API and all engines.
func newFalselyDeadCell(t *testing.T, engines int) (c *fakeCell, a *testNode) {
	c = newCell(t, 5, 3, engines, true)
	a = c.waitForActive()
	c.run(lease.DefaultClaimGrace) // its claim no longer proves that it is running
	c.falselyDead = a
	c.partitioned[string(a.id)+"/store"] = true
	c.setPartitioned(a, true, c.engines...)
	return c, a
}

// cacheWeights gives the engine the weights in memory, so that placement
// prefers it.
func (e *fakeEngine) cacheWeights(m fleet.ModelID) {
	e.cached = []engine.CachedWeights{{Model: m, Version: "1", WeightLocality: fleet.LocalityMemory}}
}

func (c *fakeCell) setPartitioned(n *testNode, partitioned bool, engines ...*fakeEngine) {
	for _, e := range engines {
		c.partitioned[string(n.id)+"/"+string(e.id)] = partitioned
	}
}

func (c *fakeCell) waitForTakeover(a *testNode) *testNode {
	c.t.Helper()
	c.waitUntil(time.Second, "takeover", func() bool { h := c.activeNode(); return h != nil && h != a })
	return c.activeNode()
}

// The new controller has loaded the model on one engine. The old controller
// last read that engine before its epoch was raised, and then reaches only
// restarted engines. It must not load the model again.
func TestOldControllerDoesNotReloadOnRestartedEngines(t *testing.T) {
	for name, lagging := range map[string]bool{"cut off": false, "receives lagging reports": true} {
		t.Run(name, func(t *testing.T) { runRestartedEngines(t, lagging) })
	}
}

func runRestartedEngines(t *testing.T, lagging bool) {
	c, a := newFalselyDeadCell(t, 4)
	for _, e := range c.engines {
		e.loadTimeFactor = 10
		e.reportsFrozen = lagging
		e.snapshot = e.report()
	}
	b := c.waitForTakeover(a)
	c.run(200 * time.Millisecond)
	c.noDemandNode = a
	c.addDemand("m0")
	c.waitUntil(time.Second, "a load", func() bool { return c.replicaCount("m0") == 1 })
	loaded := c.engineHolding("m0")
	for _, e := range c.engines {
		if e != loaded {
			e.restart()
			e.cacheWeights("m0")
			c.setPartitioned(a, false, e)
			c.setPartitioned(b, true, e)
		}
	}
	c.run(4 * time.Second) // the old controller now considers the loaded engine unresponsive
	if lagging {
		c.setPartitioned(a, false, loaded)
		loaded.dropOrdersFrom = a
	}
	c.noDemandNode = nil
	c.run(2 * time.Second)
	assert.Equal(t, c.loadCount("m0"), 1)
	raised := 0
	for _, e := range c.engines {
		if e != loaded && e.epoch == a.authority.Epoch {
			raised++
		}
	}
	assert.Equal(t, raised, 3, "the old controller did not raise the epoch of the restarted engines, so the test proves nothing")
}

// The new controller has read one engine, which then restarts and is loaded by
// the old controller. The new controller reaches the other engine only
// afterwards and must not load the model again.
func TestNewControllerRecountsRestartedEngine(t *testing.T) {
	c, a := newFalselyDeadCell(t, 2)
	first, second := c.engines[0], c.engines[1]
	for _, n := range c.nodes {
		if n != a {
			c.setPartitioned(n, true, second)
		}
	}
	b := c.waitForTakeover(a)
	c.waitUntil(time.Second, "the raised epoch at the first engine", func() bool { return first.epoch == b.authority.Epoch })
	c.run(50 * time.Millisecond)
	first.cacheWeights("m0")
	first.restart()
	c.setPartitioned(b, true, first)
	c.setPartitioned(a, false, first, second)
	c.run(700 * time.Millisecond)
	c.noDemandNode = b
	c.addDemand("m0")
	c.waitUntil(2*time.Second, "a load by the old controller", func() bool { return first.replicas["m0"] != nil })
	c.noDemandNode = nil
	second.cacheWeights("m0")
	c.setPartitioned(b, false, second)
	c.run(2 * time.Second)
	assert.Equal(t, c.loadCount("m0"), 1)
	assert.Equal(t, second.epoch, b.authority.Epoch)
}

// The response to an order adds what it lists even if a report with the same
// measurement time arrived first. It removes nothing, because it may be older
// than that report.
func TestOrderResponseWithSameMeasurementTimeAsReport(t *testing.T) {
	s := newSteadyCell(fleetSize{replicas: 4, models: 4, adapters: 4})
	for range 10 {
		s.tick(nil)
	}
	s.now = s.now.Add(time.Second)
	r := s.measured("backend-00000")
	s.core.HandleReport(s.now, s.now, r)
	r.Replicas = []engine.LoadedReplica{{Model: "other", Version: "1", State: fleet.ReplicaLoading}}
	s.core.HandleOrderResult(s.now, controller.OrderResult{OrderID: "x", Backend: r.Backend, SentAt: s.now, Report: &r})
	var models []fleet.ModelID
	for _, row := range s.core.Replicas()[:2] {
		models = append(models, row.Model)
	}
	assert.DeepEqual(t, models, []fleet.ModelID{"model-000", "other"})
}
