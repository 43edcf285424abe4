package loader

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
)

// TestTallyFollowsPlans guards against a tally that keeps what a plan has changed since.
func TestTallyFollowsPlans(t *testing.T) {
	const models, servers = 6, 5
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		model := func() string { return fmt.Sprint("m", rapid.IntRange(0, models-1).Draw(t, "model")) }
		c := New(now.Add(-time.Minute), Settings{Cell: "a", Cells: 1})
		engine := &routes.Engine{WeightsMB: 100, Slots: 4}
		for i := range models - 1 { // the last one was withdrawn
			engine.Models = append(engine.Models, routes.Model{Name: fmt.Sprint("m", i), WeightsMB: 30})
			c.CountRequests(now, fmt.Sprint("m", i), "", true, rapid.IntRange(0, 40).Draw(t, "requests"))
		}
		c.follow(now, engine)
		for i := range servers {
			s := newServer(replicas.Entry{ID: fmt.Sprint("s", i), Zone: "a", Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0})
			for range rapid.IntRange(0, 3).Draw(t, "held") {
				s.holds[model()] = &heldModel{heldSince: now.Add(-time.Minute)}
			}
			c.servers[s.entry.ID] = s
		}
		for range 8 {
			s := c.sortedServers()[rapid.IntRange(0, servers-1).Draw(t, "server")]
			var p *plan
			if rapid.Bool().Draw(t, "plan") {
				p = &plan{model: model()}
				for range rapid.IntRange(0, 2).Draw(t, "victims") {
					p.victims = append(p.victims, model())
				}
			}
			c.setPlan(s, p)
			kept := c.derived(now)
			c.tally = nil
			assert.DeepEqual(t, kept, c.derived(now))
		}
	})
}

// derived returns all that the tally derives.
func (c *Core) derived(now time.Time) map[string]string {
	all := map[string]string{}
	for i := range 6 {
		name := fmt.Sprint("m", i)
		all[name] = fmt.Sprintf("%+v", *c.modelTally(now, name))
	}
	for _, s := range c.sortedServers() {
		all[s.entry.ID] = fmt.Sprintf("%+v", c.evictable(now, s))
	}
	return all
}
