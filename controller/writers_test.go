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

// twoWriters returns a cell whose holder a is called dead and cut off.
func twoWriters(t *testing.T, engines int) (c *fakeCell, a *testNode) {
	c = newCell(t, 5, 3, engines, true)
	a = c.settle()
	c.run(lease.DefaultClaimGrace) // its claim proves no longer that it lives
	c.dead = a
	c.cut[string(a.id)+"/store"] = true
	c.cutEngines(a, true, c.engines...)
	return c, a
}

// attract gives the engine the weights, so that it is chosen.
func (e *fakeEngine) attract(m fleet.ModelID) {
	e.cached = []engine.CachedWeights{{Model: m, Version: "1", Near: fleet.NearMemory}}
}

func (c *fakeCell) cutEngines(n *testNode, cut bool, engines ...*fakeEngine) {
	for _, e := range engines {
		c.cut[string(n.id)+"/"+string(e.id)] = cut
	}
}

func (c *fakeCell) takenOver(a *testNode) *testNode {
	c.t.Helper()
	c.until(time.Second, "takeover", func() bool { h := c.holder(); return h != nil && h != a })
	return c.holder()
}

// The new holder has loaded at one engine. The old one, which last read that
// engine before it was raised, meets fresh boots of all others.
func TestOldHolderMeetsFreshBoots(t *testing.T) {
	for name, lagging := range map[string]bool{"cut off": false, "reads reports that lag": true} {
		t.Run(name, func(t *testing.T) { oldHolderMeetsFreshBoots(t, lagging) })
	}
}

func oldHolderMeetsFreshBoots(t *testing.T, lagging bool) {
	c, a := twoWriters(t, 4)
	for _, e := range c.engines {
		e.slow = 10
		e.frozen = lagging
		e.snapshot = e.report()
	}
	b := c.takenOver(a)
	c.run(200 * time.Millisecond)
	c.unasked = a
	c.ask("m0")
	c.until(time.Second, "a load", func() bool { return c.count("m0") == 1 })
	loaded := c.holding("m0")
	for _, e := range c.engines {
		if e != loaded {
			e.restart()
			e.attract("m0")
			c.cutEngines(a, false, e)
			c.cutEngines(b, true, e)
		}
	}
	c.run(4 * time.Second) // the old holder takes the loaded engine for silent
	if lagging {
		c.cutEngines(a, false, loaded)
		loaded.deafTo = a
	}
	c.unasked = nil
	c.run(2 * time.Second)
	assert.Equal(t, c.loads("m0"), 1)
	raised := 0
	for _, e := range c.engines {
		if e != loaded && e.epoch == a.auth.Epoch {
			raised++
		}
	}
	assert.Equal(t, raised, 3, "the old holder did not act at all: the test shows nothing")
}

// The new holder has read one engine, which then restarts and is loaded by the
// old holder. Only afterwards does the new holder reach the other engine.
func TestNewHolderCountedAnOldBoot(t *testing.T) {
	c, a := twoWriters(t, 2)
	first, second := c.engines[0], c.engines[1]
	for _, n := range c.nodes {
		if n != a {
			c.cutEngines(n, true, second)
		}
	}
	b := c.takenOver(a)
	c.until(time.Second, "raise", func() bool { return first.epoch == b.auth.Epoch })
	c.run(50 * time.Millisecond)
	first.attract("m0")
	first.restart()
	c.cutEngines(b, true, first)
	c.cutEngines(a, false, first, second)
	c.run(700 * time.Millisecond)
	c.unasked = b
	c.ask("m0")
	c.until(2*time.Second, "the old holder's load", func() bool { return first.replicas["m0"] != nil })
	c.unasked = nil
	second.attract("m0")
	c.cutEngines(b, false, second)
	c.run(2 * time.Second)
	assert.Equal(t, c.loads("m0"), 1)
	assert.Equal(t, second.epoch, b.auth.Epoch)
}

// An answer to an order is believed in what it shows even if a report of the
// same instant came first; what it does not show may be its forerunner's.
func TestAnswerOfTheSameInstantAsAReport(t *testing.T) {
	s := newSteadyCell(fleetSize{replicas: 4, models: 4, adapters: 4})
	for range 10 {
		s.step(nil)
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
