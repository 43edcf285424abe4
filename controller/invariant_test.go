package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/invariant"
	"github.com/redwingnotch/redwingnotch/lease"
)

func TestInvariantViolationsAreDetected(t *testing.T) {
	load := func(n *testNode, c *fakeCell, engine, model int) {
		n.ctrl.ForceLoad(c.now, c.engines[engine].id, c.models[model], fleet.LocalityMemory)
		n.ctrl.ForceSend(c.now)
	}
	for name, violate := range map[invariant.Name]func(n *testNode, c *fakeCell){
		invariant.ReplicaLimit: func(n *testNode, c *fakeCell) {
			load(n, c, 0, 0)
			c.run(5 * time.Second)
			load(n, c, 1, 0)
		},
		invariant.SingleDispatcher: func(n *testNode, c *fakeCell) {
			load(n, c, 0, 1) // replica limit 2
			load(n, c, 1, 1)
		},
		invariant.MemoryCommitted: func(n *testNode, c *fakeCell) {
			load(n, c, 0, 0)
			load(n, c, 0, 1)
			load(n, c, 0, 2)
		},
		invariant.NoWorkToDraining: func(n *testNode, c *fakeCell) {
			n.ctrl.SetStopping(c.now, []fleet.BackendID{c.engines[0].id})
			load(n, c, 0, 0)
		},
		invariant.EpochMonotonic: func(n *testNode, c *fakeCell) {
			n.ctrl.ForceLoad(c.now, c.engines[0].id, c.models[0], fleet.LocalityMemory)
			n.ctrl.ForgeEpoch(^fleet.Epoch(0))
			n.ctrl.ForceSend(c.now)
		},
		invariant.GracefulStop: func(n *testNode, c *fakeCell) {
			c.waitServed(coldStartLimit, "m0")
			e := c.engineHolding("m0")
			e.replicas["m0"].Running = 1
			c.run(time.Second)
			n.ctrl.ForceUnload(c.now, e.id, "m0")
		},
	} {
		t.Run(string(name), func(t *testing.T) {
			c := newCell(t, 1, 3, 6, true)
			n := c.waitForActive()
			defer func() {
				v, ok := recover().(invariant.Violation)
				assert.Assert(t, ok)
				assert.Equal(t, v.Name, name)
			}()
			violate(n, c)
			t.Error("no violation was detected")
		})
	}
}

func TestLowerEpochViolatesInvariant(t *testing.T) {
	c := newCell(t, 1, 3, 6, true)
	n := c.waitForActive()
	defer func() {
		v, ok := recover().(invariant.Violation)
		assert.Assert(t, ok)
		assert.Equal(t, v.Name, invariant.EpochMonotonic)
	}()
	n.ctrl.SetAuthority(c.now, lease.Authority{Cell: testCell, Active: true})
	t.Error("no violation was detected")
}

func TestStateDoesNotGrow(t *testing.T) {
	c := newCell(t, 4, 1, 6, true)
	c.retention = time.Second
	n := c.waitForActive()
	size := 0
	for round := range 40 {
		for _, m := range c.models {
			c.demandRanks[fleet.Target{Model: m.ID, Adapter: "a"}] = fleet.RankBulk
		}
		c.run(20 * time.Second)
		clear(c.demandRanks)
		c.engines[round%6].restart()
		c.run(10 * time.Second)
		if round == 3 {
			size = n.ctrl.StateSize()
		}
	}
	assert.Assert(t, n.ctrl.StateSize() <= size, "%d rows, %d before", n.ctrl.StateSize(), size)
}
