package loader_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// withModels puts a desired state in force that has only the named models.
func (c *cluster) withModels(names ...string) {
	next := *c.engine
	next.Models = slices.DeleteFunc(slices.Clone(c.engine.Models), func(m routes.Model) bool { return !slices.Contains(names, m.Name) })
	c.desired = &next
}

// TestAdapterOfWithdrawnModelIsNotOrdered guards against a leader that ends because requests wait
// for an adapter of a model that servers hold and the desired state no longer has (LOST).
func TestAdapterOfWithdrawnModelIsNotOrdered(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 1, 2)
	for _, s := range c.servers {
		s.addModel("m0")
	}
	c.run(time.Second)
	c.withModels("m1")
	c.demand = []waiting.ModelDemand{demandFor(c, "m0", "a1")}
	c.run(2 * time.Second)
	for _, order := range c.orderLog {
		assert.Assert(t, !strings.Contains(order, "m0/"), order)
	}
}
