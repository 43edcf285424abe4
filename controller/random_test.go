package controller_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Randomized tests run the same way each time by default; -rapid.seed and
// -rapid.checks select longer or other runs.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// faultMachine injects random faults and advances the cell between them.
type faultMachine struct {
	c         *fakeCell
	reclaimed int
}

func (m *faultMachine) node(t *rapid.T) *testNode {
	return m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "node")]
}

func (m *faultMachine) engine(t *rapid.T) *fakeEngine {
	return m.c.engines[rapid.IntRange(0, len(m.c.engines)-1).Draw(t, "engine")]
}

func (m *faultMachine) step(t *rapid.T) {
	ms := rapid.IntRange(1, 7000).Draw(t, "ms")
	m.c.run(time.Duration(ms) * time.Millisecond)
}

func (m *faultMachine) actions() map[string]func(*rapid.T) {
	c := m.c
	return map[string]func(*rapid.T){
		"pause": func(t *rapid.T) {
			if n := m.node(t); !n.crashed {
				c.pause(n)
			}
		},
		"pause holder": func(*rapid.T) {
			if n := c.activeNode(); n != nil {
				c.pause(n)
			}
		},
		"wake": func(t *rapid.T) {
			if n := m.node(t); n.paused {
				c.resume(n)
			}
		},
		"crash holder": func(*rapid.T) {
			if n := c.activeNode(); n != nil {
				c.crash(n)
			}
		},
		"restart node": func(t *rapid.T) {
			if n := m.node(t); n.crashed || n.left {
				c.start(n)
			}
		},
		"leave": func(t *rapid.T) {
			if n := m.node(t); !n.crashed && !n.paused {
				n.lease.SetLeaving(c.now)
				c.deliver(n, n.incarnation, 3*time.Second, func() { n.left = true })
			}
		},
		"called dead":  func(t *rapid.T) { c.falselyDead = m.node(t) },
		"called alive": func(*rapid.T) { c.falselyDead = nil },
		"restart engine": func(t *rapid.T) {
			if e := m.engine(t); e.removedAt.IsZero() {
				e.restart()
			}
		},
		"silence engine": func(t *rapid.T) { m.engine(t).unresponsive = true },
		"engine answers": func(t *rapid.T) { m.engine(t).unresponsive = false },
		"reclaim engine": func(t *rapid.T) {
			if e := m.engine(t); m.reclaimed < 2 && e.removedAt.IsZero() {
				m.reclaimed++
				e.removedAt = c.now
			}
		},
		"cut": func(t *rapid.T) {
			c.partitioned[string(m.node(t).id)+"/"+string(m.engine(t).id)] = true
		},
		"cut from store": func(t *rapid.T) { c.partitioned[string(m.node(t).id)+"/store"] = true },
		"heal":           func(*rapid.T) { clear(c.partitioned) },
		"store down":     func(*rapid.T) { c.store.up = false },
		"store up":       func(*rapid.T) { c.store.up = true },
		"late orders":    func(t *rapid.T) { c.delayLoads(m.node(t), 30*time.Second) },
		"lossy":          func(*rapid.T) { c.lossRate = 0.1 },
		"lossless":       func(*rapid.T) { c.lossRate, c.orderDelay = 0, nil },
		"ask": func(t *rapid.T) {
			c.addDemand(fmt.Sprintf("m%d", rapid.IntRange(0, len(c.models)-1).Draw(t, "model")))
		},
		"ask for adapter": func(t *rapid.T) {
			model := c.models[rapid.IntRange(0, len(c.models)-1).Draw(t, "model")].ID
			c.demandRanks[fleet.Target{Model: model, Adapter: "a"}] = fleet.RankStandard
		},
		"new version": func(t *rapid.T) {
			model := rapid.IntRange(0, len(c.models)-1).Draw(t, "model")
			c.models = slices.Clone(c.models)
			c.models[model].Version += "+"
			c.release++
		},
		"planned stop": func(t *rapid.T) {
			if e := m.engine(t); m.reclaimed < 2 && e.removedAt.IsZero() && !slices.Contains(c.stopping, e.id) {
				m.reclaimed++
				c.stopping = append(c.stopping, e.id)
			}
		},
		"unask": func(t *rapid.T) {
			model := rapid.IntRange(0, len(c.models)-1).Draw(t, "model")
			delete(c.demandRanks, fleet.Target{Model: c.models[model].ID})
		},
		"": m.step,
	}
}

// TestRandomFaults injects faults in random order; the engines check the
// replica and memory limits at each load. After all faults are removed, every
// model that naiveServed can serve must be served.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCell(rt, int64(rapid.IntRange(1, 1<<30).Draw(rt, "seed")), 3, 6, true)
		for i := range rapid.IntRange(0, len(c.engines)).Draw(rt, "non-fencing") {
			c.engines[i].fencing = false
		}
		c.retention = time.Duration(rapid.IntRange(5, 60).Draw(rt, "keep")) * time.Second
		c.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "settle")) * time.Millisecond)
		m := &faultMachine{c: c}
		actions := m.actions()
		rt.Repeat(actions)
		m.heal()
		c.run(90 * time.Second)
		for model := range naiveServed(c) {
			target := fleet.Target{Model: model}
			c.waitUntil(time.Minute, string(model)+" served after the faults were removed", func() bool { return c.isServed(target) })
		}
	})
}

func (m *faultMachine) heal() {
	c := m.c
	c.store.up, c.lossRate, c.orderDelay, c.falselyDead = true, 0, nil, nil
	clear(c.partitioned)
	for _, e := range c.engines {
		e.unresponsive = false
	}
	for _, n := range c.nodes {
		switch {
		case n.paused:
			c.resume(n)
		case n.crashed || n.left:
			c.start(n)
		}
	}
}

// naiveServed is the baseline: it places each model in demand on the first
// engine with room, with complete knowledge and without failures, and returns
// the models placed.
func naiveServed(c *fakeCell) map[fleet.ModelID]bool {
	used := map[fleet.BackendID]int64{}
	served := map[fleet.ModelID]bool{}
	for _, m := range c.models {
		if _, asked := c.demandRanks[fleet.Target{Model: m.ID}]; !asked {
			continue
		}
		for _, e := range c.engines {
			available := e.removedAt.IsZero() && !slices.Contains(c.stopping, e.id)
			if available && used[e.id]+m.MemoryBytes <= e.memory {
				used[e.id] += m.MemoryBytes
				served[m.ID] = true
				break
			}
		}
	}
	return served
}
