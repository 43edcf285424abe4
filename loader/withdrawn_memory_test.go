package loader_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// TestWithdrawnModelTakesRoom guards against servers that are ordered to load beyond their memory,
// because a model that they hold is no longer in the desired state (LIMIT). The second leader has
// never seen a desired state with it.
func TestWithdrawnModelTakesRoom(t *testing.T) {
	for name, newLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster([]string{"a"}, 1, 4)
			s := c.servers[0]
			for _, m := range []string{"m0", "m1", "m2"} {
				s.addModel(m)
			}
			c.withModels("m0", "m1", "m2")
			c.run(3 * time.Second)
			c.withModels("m1", "m2", "m3")
			if newLeader {
				c.cores["a"] = loader.New(c.now, loader.Settings{Leader: "h2", Cell: "a", Cells: 1})
			}
			c.demand = []waiting.ModelDemand{demandFor(c, "m3", "")}
			c.run(10 * time.Second)
			assert.Equal(t, s.crashed, "", "%v", c.orderLog)
			assert.Assert(t, s.holds["m3"] != nil && s.holds["m1"] != nil && s.holds["m2"] != nil && s.holds["m0"] == nil, "%v", c.orderLog)
		})
	}
}

// TestWithdrawnModelIsUnloaded guards against copies of a withdrawn model that stay for ever, and
// against a leader that unloads one before it can know that its desired state is not just old.
func TestWithdrawnModelIsUnloaded(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 2)
	s := c.servers[0]
	s.addModel("m0")
	s.addModel("m1")
	c.run(time.Second)
	c.withModels("m1")
	c.run(4 * time.Second)
	assert.Assert(t, s.holds["m0"] != nil, "%v", c.orderLog)
	c.run(2 * time.Second)
	assert.Assert(t, s.holds["m0"] == nil && s.holds["m1"] != nil, "%v", c.orderLog)
}

// TestServersStayWithinMemoryWhileModelsChange guards against the same for any series of desired
// states, with orders and responses that are lost and servers that restart.
func TestServersStayWithinMemoryWhileModelsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster([]string{"a", "b"}, 2, 8)
		for _, s := range c.servers {
			s.addModel(fmt.Sprint("m", rapid.IntRange(0, 7).Draw(t, "held")))
		}
		c.loseMessage = func() bool { return rapid.IntRange(0, 9).Draw(t, "lose") == 0 }
		for range 10 {
			if rapid.Bool().Draw(t, "change") {
				var names []string
				for i := range 8 {
					if rapid.IntRange(0, 3).Draw(t, "kept") > 0 {
						names = append(names, fmt.Sprint("m", i))
					}
				}
				c.withModels(names...)
			}
			c.demand = nil
			for range rapid.IntRange(0, 4).Draw(t, "demand") {
				adapter := rapid.SampledFrom([]string{"", "a1", "a2", "a3"}).Draw(t, "adapter")
				model := fmt.Sprint("m", rapid.IntRange(0, 7).Draw(t, "model"))
				c.demand = append(c.demand, demandFor(c, model, adapter))
				c.arrive(model, true, rapid.IntRange(1, 20).Draw(t, "count"))
			}
			switch rapid.IntRange(0, 5).Draw(t, "trouble") {
			case 0:
				s := c.servers[rapid.IntRange(0, 3).Draw(t, "server")]
				disk := s.onDisk
				s.entry.Start++
				s.entry.Holds = nil
				*s = fakeServer{entry: s.entry, holds: map[string]map[string]bool{}, onDisk: disk}
				s.step(c.now)
			case 1:
				c.cores["a"].Reset(c.now)
			}
			c.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "time")) * time.Millisecond)
			for _, s := range c.servers {
				if s.crashed != "" {
					t.Fatalf("%s: %s\n%v", s.entry.ID, s.crashed, c.orderLog)
				}
			}
		}
	})
}

// TestOrderOfWithdrawnModelTakesRoom guards against a load that was ordered before its model was
// withdrawn and that no longer counts while it is in progress.
func TestOrderOfWithdrawnModelTakesRoom(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 4)
	s := c.servers[0]
	s.addModel("m0")
	s.addModel("m1")
	c.withModels("m0", "m1", "m2")
	c.run(3 * time.Second)
	c.demand = []waiting.ModelDemand{demandFor(c, "m2", "")}
	c.run(time.Second)
	assert.Equal(t, s.pending.Model, "m2", "%v", c.orderLog)
	c.withModels("m0", "m1", "m3")
	c.demand = []waiting.ModelDemand{demandFor(c, "m3", ""), demandFor(c, "m2", "a1")}
	c.run(15 * time.Second)
	assert.Equal(t, s.crashed, "", "%v", c.orderLog)
	assert.Assert(t, s.holds["m3"] != nil, "%v", c.orderLog)
}
