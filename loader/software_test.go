package loader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/waiting"
)

// TestDemandOfOneSoftwareVersionIsLoadedThere guards against a stream that can't go on because
// its model is only on servers of another software version.
func TestDemandOfOneSoftwareVersionIsLoadedThere(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 2, 1)
	for i, s := range c.servers {
		s.entry.Software = []string{"v1", "v2"}[i%2]
		s.onDisk["m0"] = true
		s.entry.OnDisk = []string{"m0"}
	}
	c.servers[0].addModel("m0")
	c.run(time.Second)
	d := demandFor(c, "m0", "")
	d.Software = "v2"
	c.demand = []waiting.ModelDemand{d}
	c.run(3 * time.Second)
	assert.Equal(t, c.copies("m0"), 2, "%v", c.orderLog)
	assert.Assert(t, c.servers[1].holds["m0"] != nil || c.servers[3].holds["m0"] != nil, "%v", c.orderLog)

	d.Adapter = "a1"
	c.demand = []waiting.ModelDemand{d}
	c.run(time.Second)
	for _, s := range c.servers {
		assert.Equal(t, s.holds["m0"]["a1"], s.entry.Software == "v2" && s.holds["m0"] != nil, "%v", c.orderLog)
	}
}
