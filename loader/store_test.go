package loader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// A weight store that runs two loads at full speed slows down all of them when more
// run. The loaders must learn to keep to about that number.
func TestLearnsWeightStoreConcurrency(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 6, 40)
	c.storeConcurrency = 2
	c.run(60 * time.Second)
	most := 0
	for range 500 {
		c.step()
		most = max(most, c.storeLoadsInProgress())
	}
	assert.Assert(t, most >= 1 && most <= 4, "%d concurrent loads", most)
}

// The expected ready times of models that wait for the weight store allow requests
// that can't be served in time to be refused at once.
func TestEstimatesReadyTimesOfWaitingModels(t *testing.T) {
	c := newCluster([]string{"a"}, 8, 12)
	for i := range c.engine.Models {
		c.demand = append(c.demand, demandFor(c, c.engine.Models[i].Name, ""))
	}
	c.run(2 * time.Second)
	expected := c.cores["a"].ExpectedReady()
	assert.Assert(t, len(expected) > 0)
	earliest, latest := time.Time{}, time.Time{}
	for _, at := range expected {
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
		if at.After(latest) {
			latest = at
		}
	}
	assert.Assert(t, earliest.Sub(c.now) > 6*time.Second)
	assert.Assert(t, latest.Sub(earliest) >= 6*time.Second)
}

// All cells together must start no more loads than the weight store allows, even if
// each load is short.
func TestCellsTogetherKeepWeightStoreRate(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"}, 8, 24)
	c.engine.LoadsPerSecond = 1
	for i := range c.engine.Models {
		c.engine.Models[i].LoadTime = 200 * time.Millisecond
		c.demand = append(c.demand, demandFor(c, c.engine.Models[i].Name, ""))
	}
	const window = 5 * time.Second
	c.run(window)
	assert.Assert(t, c.storeLoads > 0)
	assert.Assert(t, float64(c.storeLoads) <= c.engine.LoadsPerSecond*window.Seconds()+3, "%d loads in %v", c.storeLoads, window)
}

func TestPreloadsModelsWithoutCopies(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"}, 2, 12)
	c.run(30 * time.Second)
	for _, m := range c.engine.Models {
		onDisk := 0
		for _, s := range c.servers {
			if s.onDisk[m.Name] {
				onDisk++
			}
		}
		assert.Equal(t, onDisk, 1, "%s: %v", m.Name, c.orderLog)
	}
}

// While a cell makes room for a load from the weight store, other cells plan or start
// theirs. The cell starts its load if the others have only planned, as all would
// wait forever otherwise, and waits while the others' loads run.
func TestCellsDoNotWaitForEachOthersPlans(t *testing.T) {
	for _, tc := range []struct {
		name    string
		planned bool // the loads of the other cells are planned only
		starts  bool
	}{
		{"others plan", true, true},
		{"others run", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, loadBesideOthers(t, tc.planned), tc.starts) })
	}
}

// loadBesideOthers reports whether a cell starts a planned load from the weight store
// when three servers of another cell, as many as run at full speed at first, have
// published such loads, either planned or running.
func loadBesideOthers(t *testing.T, planned bool) bool {
	c := newCluster([]string{"a", "b"}, 3, 24)
	core, statuses := c.cores["a"], map[string]replicas.ServerStatus{}
	var entries []replicas.Entry
	for i, s := range c.servers {
		for j := range 3 {
			s.addModel(c.engine.Models[3*i+j].Name)
		}
		entries = append(entries, s.entry)
	}
	in := loader.Input{
		Engine: c.engine, Servers: entries, LiveCells: []string{"a"}, Token: 1, Demand: []waiting.ModelDemand{demandFor(c, "m20", "")},
		ServerStatuses: func(id string) (replicas.ServerStatus, bool) { status, ok := statuses[id]; return status, ok },
		LoadCost:       func(string, string) (float64, bool) { return 0, false },
		MayOrder:       func(string) bool { return true },
	}
	for range 50 {
		c.now = c.now.Add(tick)
		effects := core.Tick(c.now, in)
		for _, e := range effects.ReportRequests {
			s := c.server(e.ID)
			s.step(c.now)
			core.HandleReport(c.now, e.ID, e.Start, s.pastReports[len(s.pastReports)-1].report, nil)
		}
		for _, o := range effects.Orders {
			if !o.Order.Unload {
				assert.Assert(t, o.UsesStore)
				return true
			}
			core.HandleOrderResult(c.now, o.Order, o.Server.Start, replicas.OrderAccepted)
			for i, s := range c.servers[3:] {
				statuses[s.entry.ID] = replicas.ServerStatus{ID: s.entry.ID, Start: 1, Loading: c.engine.Models[21+i].Name, FromStore: true, Planned: planned}
			}
		}
	}
	return false
}
