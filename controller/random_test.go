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

// Randomised runs are the same each time unless flags say otherwise;
// -rapid.seed and -rapid.checks make a soak run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// machine draws faults and steps the cell between them.
type machine struct {
	c         *fakeCell
	reclaimed int
}

func (m *machine) node(t *rapid.T) *testNode {
	return m.c.nodes[rapid.IntRange(0, len(m.c.nodes)-1).Draw(t, "node")]
}

func (m *machine) engine(t *rapid.T) *fakeEngine {
	return m.c.engines[rapid.IntRange(0, len(m.c.engines)-1).Draw(t, "engine")]
}

func (m *machine) step(t *rapid.T) {
	ms := rapid.IntRange(1, 7000).Draw(t, "ms")
	m.c.run(time.Duration(ms) * time.Millisecond)
}

func (m *machine) actions() map[string]func(*rapid.T) {
	c := m.c
	return map[string]func(*rapid.T){
		"pause": func(t *rapid.T) {
			if n := m.node(t); !n.crashed {
				c.pause(n)
			}
		},
		"pause holder": func(*rapid.T) {
			if n := c.holder(); n != nil {
				c.pause(n)
			}
		},
		"wake": func(t *rapid.T) {
			if n := m.node(t); n.paused {
				c.wake(n)
			}
		},
		"crash holder": func(*rapid.T) {
			if n := c.holder(); n != nil {
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
				c.toNode(n, n.inc, 3*time.Second, func() { n.left = true })
			}
		},
		"called dead":  func(t *rapid.T) { c.dead = m.node(t) },
		"called alive": func(*rapid.T) { c.dead = nil },
		"restart engine": func(t *rapid.T) {
			if e := m.engine(t); e.goneAt.IsZero() {
				e.restart()
			}
		},
		"silence engine": func(t *rapid.T) { m.engine(t).silent = true },
		"engine answers": func(t *rapid.T) { m.engine(t).silent = false },
		"reclaim engine": func(t *rapid.T) {
			if e := m.engine(t); m.reclaimed < 2 && e.goneAt.IsZero() {
				m.reclaimed++
				e.goneAt = c.now
			}
		},
		"cut": func(t *rapid.T) {
			c.cut[string(m.node(t).id)+"/"+string(m.engine(t).id)] = true
		},
		"cut from store": func(t *rapid.T) { c.cut[string(m.node(t).id)+"/store"] = true },
		"heal":           func(*rapid.T) { clear(c.cut) },
		"store down":     func(*rapid.T) { c.store.up = false },
		"store up":       func(*rapid.T) { c.store.up = true },
		"late orders":    func(t *rapid.T) { c.delayLoads(m.node(t), 30*time.Second) },
		"lossy":          func(*rapid.T) { c.loss = 0.1 },
		"lossless":       func(*rapid.T) { c.loss, c.order = 0, nil },
		"ask": func(t *rapid.T) {
			c.ask(fmt.Sprintf("m%d", rapid.IntRange(0, len(c.models)-1).Draw(t, "model")))
		},
		"ask for adapter": func(t *rapid.T) {
			model := c.models[rapid.IntRange(0, len(c.models)-1).Draw(t, "model")].ID
			c.demand[fleet.Target{Model: model, Adapter: "a"}] = fleet.RankStandard
		},
		"new version": func(t *rapid.T) {
			model := rapid.IntRange(0, len(c.models)-1).Draw(t, "model")
			c.models = slices.Clone(c.models)
			c.models[model].Version += "+"
			c.release++
		},
		"planned stop": func(t *rapid.T) {
			if e := m.engine(t); m.reclaimed < 2 && e.goneAt.IsZero() && !slices.Contains(c.stopping, e.id) {
				m.reclaimed++
				c.stopping = append(c.stopping, e.id)
			}
		},
		"unask": func(t *rapid.T) {
			model := rapid.IntRange(0, len(c.models)-1).Draw(t, "model")
			delete(c.demand, fleet.Target{Model: c.models[model].ID})
		},
		"": m.step,
	}
}

// TestRandomFaults draws faults in any order and asserts the replica limit and
// memory at the engines after each load. When all is healed, every model that
// an omniscient table would serve is served.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCell(rt, int64(rapid.IntRange(1, 1<<30).Draw(rt, "seed")), 3, 6, true)
		for i := range rapid.IntRange(0, len(c.engines)).Draw(rt, "non-fencing") {
			c.engines[i].fencing = false
		}
		c.keep = time.Duration(rapid.IntRange(5, 60).Draw(rt, "keep")) * time.Second
		c.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "settle")) * time.Millisecond)
		m := &machine{c: c}
		actions := m.actions()
		rt.Repeat(actions)
		m.heal()
		c.run(90 * time.Second)
		for model := range naiveServed(c) {
			target := fleet.Target{Model: model}
			c.until(time.Minute, string(model)+" served after healing", func() bool { return c.serves(target) })
		}
	})
}

func (m *machine) heal() {
	c := m.c
	c.store.up, c.loss, c.order, c.dead = true, 0, nil, nil
	clear(c.cut)
	for _, e := range c.engines {
		e.silent = false
	}
	for _, n := range c.nodes {
		switch {
		case n.paused:
			c.wake(n)
		case n.crashed || n.left:
			c.start(n)
		}
	}
}

// naiveServed is the baseline: one omniscient table that loads each model that
// is asked for at the first engine with room, without failures.
func naiveServed(c *fakeCell) map[fleet.ModelID]bool {
	used := map[fleet.BackendID]int64{}
	served := map[fleet.ModelID]bool{}
	for _, m := range c.models {
		if _, asked := c.demand[fleet.Target{Model: m.ID}]; !asked {
			continue
		}
		for _, e := range c.engines {
			stays := e.goneAt.IsZero() && !slices.Contains(c.stopping, e.id)
			if stays && used[e.id]+m.MemoryBytes <= e.memory {
				used[e.id] += m.MemoryBytes
				served[m.ID] = true
				break
			}
		}
	}
	return served
}
