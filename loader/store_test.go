package loader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// TestTheWeightStoresSpeedIsLearnt answers a weight store that runs fewer loads
// side by side at full speed than are begun: each takes longer in proportion.
func TestTheWeightStoresSpeedIsLearnt(t *testing.T) {
	c := newCluster([]string{"a", "b"}, 6, 40)
	c.storeAtOnce = 2
	c.run(60 * time.Second)
	most := 0
	for range 500 {
		c.step()
		most = max(most, c.inStore())
	}
	assert.Assert(t, most >= 1 && most <= 4, "%d loads side by side", most)
}

// TestModelsThatWaitForTheWeightStoreAreTold: who can't be served in time is
// refused at once.
func TestModelsThatWaitForTheWeightStoreAreTold(t *testing.T) {
	c := newCluster([]string{"a"}, 8, 12)
	for i := range c.engine.Models {
		c.wants = append(c.wants, want(c, c.engine.Models[i].Name, ""))
	}
	c.run(2 * time.Second)
	planned := c.cores["a"].Planned()
	assert.Assert(t, len(planned) > 0)
	earliest, latest := time.Time{}, time.Time{}
	for _, at := range planned {
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

// TestTheCellsKeepTheWeightStoresRateTogether answers models that load fast
// from a weight store that allows few loads a second.
func TestTheCellsKeepTheWeightStoresRateTogether(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"}, 8, 24)
	c.engine.LoadsPerSecond = 1
	for i := range c.engine.Models {
		c.engine.Models[i].LoadTime = 200 * time.Millisecond
		c.wants = append(c.wants, want(c, c.engine.Models[i].Name, ""))
	}
	const window = 5 * time.Second
	c.run(window)
	assert.Assert(t, c.loads > 0)
	assert.Assert(t, float64(c.loads) <= c.engine.LoadsPerSecond*window.Seconds()+3, "%d loads in %v", c.loads, window)
}

func TestModelsWithoutACopyAreLoadedAhead(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"}, 2, 12)
	c.run(30 * time.Second)
	for _, m := range c.engine.Models {
		onDisk := 0
		for _, s := range c.servers {
			if s.onDisk[m.Name] {
				onDisk++
			}
		}
		assert.Equal(t, onDisk, 1, "%s: %v", m.Name, c.orders)
	}
}

// TestCellsDoNotWaitForEachOthersPlans: a cell makes room for a load from the
// weight store while other cells plan theirs. It starts if none runs, and waits
// while others run.
func TestCellsDoNotWaitForEachOthersPlans(t *testing.T) {
	for _, tc := range []struct {
		name   string
		others bool // the other cells' loads are plans only
		starts bool
	}{
		{"others plan", true, true},
		{"others run", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, loadBesideOthers(t, tc.others), tc.starts) })
	}
}

// loadBesideOthers reports whether a cell starts the load that it planned before
// as many other servers as run at full speed load, or plan to.
func loadBesideOthers(t *testing.T, planned bool) bool {
	c := newCluster([]string{"a", "b"}, 3, 24)
	core, views := c.cores["a"], map[string]replicas.View{}
	var entries []replicas.Entry
	for i, s := range c.servers {
		for j := range 3 {
			s.put(c.engine.Models[3*i+j].Name)
		}
		entries = append(entries, s.entry)
	}
	in := loader.Input{
		Engine: c.engine, Servers: entries, Live: []string{"a"}, Token: 1, Wants: []waiting.Want{want(c, "m20", "")},
		Views:    func(id string) (replicas.View, bool) { v, ok := views[id]; return v, ok },
		Bid:      func(string, string) (float64, bool) { return 0, false },
		MayOrder: func(string) bool { return true },
	}
	for range 50 {
		c.now = c.now.Add(tick)
		effects := core.Tick(c.now, in)
		for _, e := range effects.Reports {
			s := c.server(e.ID)
			s.step(c.now)
			core.Reported(c.now, e.ID, e.Start, s.history[len(s.history)-1].report, nil)
		}
		for _, o := range effects.Orders {
			if !o.Order.Unload {
				assert.Assert(t, o.Store)
				return true
			}
			core.OrderDone(c.now, o.Order, o.Server.Start, replicas.OrderAccepted)
			for i, s := range c.servers[3:] {
				views[s.entry.ID] = replicas.View{ID: s.entry.ID, Start: 1, Loading: c.engine.Models[21+i].Name, FromStore: true, Planned: planned}
			}
		}
	}
	return false
}
