package loader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLostBusyModelIsLoadedBeforeRareOnes guards against a busy model whose only server is lost
// and that is not loaded again for long because each time the weight store has a free slot it
// goes to another model that some request waits for. The load: 20 requests a second for one
// model, all refused at once, and one waiting request for each of ten rare models.
func TestLostBusyModelIsLoadedBeforeRareOnes(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"}, 2, 40)
	c.storeConcurrency = 2
	busy := c.engine.Models[39].Name
	for _, m := range c.engine.Models[20:30] {
		c.demand = append(c.demand, demandFor(c, m.Name, ""))
	}
	c.run(2 * time.Second)
	lost := c.now
	for c.copies(busy) == 0 && c.now.Sub(lost) < time.Minute {
		c.arrive(busy, true, 2)
		c.run(100 * time.Millisecond)
	}
	// Two loads may be in progress, each slowed down by the other cells' loads.
	assert.Assert(t, c.now.Sub(lost) < 20*time.Second, "after %v: %v", c.now.Sub(lost), c.orderLog)
}

// TestOverloadedModelGetsCopiesWhileRareOnesWait guards against a busy model that stays on one
// server because each server that becomes free loads a rare model that some request waits for. The
// load: 200 requests a second for one model that every server has on disk, and a steady change of
// rare models with one waiting request each, more than the servers can load.
func TestOverloadedModelGetsCopiesWhileRareOnesWait(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"}, 3, 60)
	busy := c.engine.Models[0].Name
	for i, s := range c.servers {
		for _, m := range c.engine.Models {
			s.onDisk[m.Name] = true
			s.entry.OnDisk = append(s.entry.OnDisk, m.Name)
		}
		if i == 0 {
			s.addModel(busy)
		}
	}
	began := c.now
	for step := 0; c.copies(busy) < 8 && c.now.Sub(began) < time.Minute; step++ {
		c.demand = nil
		for i := range 20 {
			c.demand = append(c.demand, demandFor(c, c.engine.Models[1+(step/10*7+i)%59].Name, ""))
		}
		c.arrive(busy, true, 20)
		c.run(100 * time.Millisecond)
	}
	assert.Assert(t, c.now.Sub(began) < 15*time.Second, "after %v: %v", c.now.Sub(began), c.orderLog)
}

// TestDiskLoadOvertakesSlowStoreLoad guards against a busy model that stays missing for as long as
// a load from the weight store takes, although a server that has it on disk has returned meanwhile.
func TestDiskLoadOvertakesSlowStoreLoad(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 2, 1)
	busy := c.engine.Models[0].Name
	for i := range c.engine.Models {
		c.engine.Models[i].LoadTime = 40 * time.Second
	}
	returning := c.servers[3]
	c.servers = c.servers[:3]
	for range 20 {
		c.arrive(busy, true, 2)
		c.run(100 * time.Millisecond)
	}
	assert.Equal(t, c.storeLoads, 1, "%v", c.orderLog)
	returning.onDisk[busy] = true
	returning.entry.OnDisk = append(returning.entry.OnDisk, busy)
	c.servers = append(c.servers, returning)
	back := c.now
	for c.copies(busy) == 0 && c.now.Sub(back) < time.Minute {
		c.arrive(busy, true, 2)
		c.run(100 * time.Millisecond)
	}
	// The load from disk takes one second.
	assert.Assert(t, c.now.Sub(back) < 5*time.Second, "after %v: %v", c.now.Sub(back), c.orderLog)
}
