package loader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

func TestLoadsAdapterOnServerHoldingModel(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 2, 1)
	c.servers[2].addModel("m0")
	c.run(time.Second)
	c.demand = []waiting.ModelDemand{demandFor(c, "m0", "a1"), demandFor(c, "m0", "a2")}
	c.run(500 * time.Millisecond)
	assert.Equal(t, len(c.servers[2].holds["m0"]), 2, "%v", c.orderLog)
	c.demand = []waiting.ModelDemand{demandFor(c, "m0", "a3")}
	c.run(500 * time.Millisecond)
	assert.Assert(t, c.servers[2].holds["m0"]["a3"], "%v", c.orderLog)
	assert.Equal(t, len(c.servers[2].holds["m0"]), 2)
}

// A server takes no orders for adapters while it loads from the weight store, so the
// load must go to a server without adapter requests.
func TestStoreLoadAvoidsServerWithAdapterRequests(t *testing.T) {
	c := newCluster([]string{"a"}, 2, 3)
	c.servers[0].addModel("m0")
	c.servers[1].addModel("m1")
	for range 50 {
		for _, core := range c.cores {
			core.CountRequests(c.now, "m0", "a1", true, 1)
			core.CountRequests(c.now, "m1", "", true, 1)
		}
		c.now = c.now.Add(tick)
	}
	c.demand = []waiting.ModelDemand{demandFor(c, "m2", "")}
	c.run(8 * time.Second)
	assert.Assert(t, c.servers[1].holds["m2"] != nil, "%v", c.orderLog)
}

// Adapters being loaded are reported apart from the held ones, but occupy slots too:
// a server must not be ordered to load more adapters than it has slots for.
func TestArrivingAdaptersOccupySlots(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 1)
	s := c.servers[0]
	s.addModel("m0")
	s.holds["m0"]["a1"] = true
	core, ordered := c.cores["a"], []replicas.Order{}
	in := loader.Input{
		Engine: c.engine, Servers: []replicas.Entry{s.entry}, LiveCells: []string{"a"}, Token: 1, Demand: []waiting.ModelDemand{demandFor(c, "m0", "a3")},
		ServerStatuses: func(string) (replicas.ServerStatus, bool) { return replicas.ServerStatus{}, false },
		LoadCost:       func(string, string) (float64, bool) { return 0, false },
		MayOrder:       func(string) bool { return true },
	}
	core.Tick(c.now, in)
	core.HandleReport(c.now, s.entry.ID, 1, replicas.Report{
		Start: 1, Orders: 2, Holds: []replicas.Holding{{Model: "m0", Adapters: []string{"a1"}}}, Arriving: []string{"m0/a2@1"},
	}, nil)
	for range 10 {
		c.now = c.now.Add(tick)
		for _, o := range core.Tick(c.now, in).Orders {
			ordered = append(ordered, o.Order)
		}
	}
	assert.Assert(t, len(ordered) > 0)
	assert.Assert(t, ordered[0].Unload, "both slots are occupied: %+v", ordered[0])
}

// A server that accepts the unload of an adapter drops it only when its running
// requests have ended. Until a report shows that, the slot must not be reused.
func TestUnloadingAdapterOccupiesSlotUntilRemoved(t *testing.T) {
	c := newCluster([]string{"a"}, 1, 1)
	s := c.servers[0]
	s.addModel("m0")
	core := c.cores["a"]
	in := loader.Input{
		Engine: c.engine, Servers: []replicas.Entry{s.entry}, LiveCells: []string{"a"}, Token: 1, Demand: []waiting.ModelDemand{demandFor(c, "m0", "a3")},
		ServerStatuses: func(string) (replicas.ServerStatus, bool) { return replicas.ServerStatus{}, false },
		LoadCost:       func(string, string) (float64, bool) { return 0, false },
		MayOrder:       func(string) bool { return true },
	}
	report := func(orders uint64, adapters ...string) {
		core.HandleReport(c.now, s.entry.ID, 1, replicas.Report{Start: 1, Orders: orders, Holds: []replicas.Holding{{Model: "m0", Adapters: adapters}}}, nil)
	}
	next := func() (orders []replicas.Order) {
		for range 30 {
			c.now = c.now.Add(tick)
			for _, o := range core.Tick(c.now, in).Orders {
				orders = append(orders, o.Order)
			}
		}
		return orders
	}
	core.Tick(c.now, in)
	report(2, "a1", "a2")
	unload := next()
	assert.Equal(t, len(unload), 1)
	assert.Assert(t, unload[0].Unload)
	core.HandleOrderResult(c.now, unload[0], 1, replicas.OrderAccepted)
	for _, o := range next() {
		assert.Assert(t, o.Unload, "both slots are still occupied: %+v", o)
	}
	report(3, "a2")
	load := next()
	assert.Assert(t, len(load) > 0)
	assert.Assert(t, !load[0].Unload && load[0].Adapter == "a3", "%+v", load[0])
}
