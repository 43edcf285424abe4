package loader_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/loader"
	"github.com/redwingnotch/redwingnotch/replicas"
	"github.com/redwingnotch/redwingnotch/routes"
	"github.com/redwingnotch/redwingnotch/waiting"
)

// Size of tocka-prod-grown, with requests that wait for some models and adapters.
const (
	grownServers   = 72
	grownModels    = 424
	grownPerServer = 3   // models that a server holds
	grownAsked     = 150 // models that were requested lately
	grownWaiting   = 20  // models that requests wait for, half of them for adapters
)

// grownLeader returns the loader of one of three cells at that size, and a function that runs its
// next tick.
func grownLeader() (*loader.Core, func()) {
	rng := rand.New(rand.NewPCG(1, 1))
	now := startTime
	engine := &routes.Engine{Slots: 16, WeightsMB: 220_000, AdapterSlots: 8, LoadsPerSecond: 25}
	for i := range grownModels {
		engine.Models = append(engine.Models, routes.Model{Name: fmt.Sprint("m", i), WeightsMB: 70_000, LoadTime: 7800 * time.Millisecond,
			DiskLoadTime: time.Second, WarmLoadTime: 400 * time.Millisecond, Adapters: 1, AdapterSizeMB: 100})
	}
	zones := []string{"a", "b", "c"}
	core := loader.New(now, loader.Settings{Leader: "h", Cell: "a", Cells: len(zones)})
	statuses := map[string]replicas.ServerStatus{}
	var entries []replicas.Entry
	for i := range grownServers {
		e := replicas.Entry{ID: fmt.Sprint("i-", i), Start: 1, Service: "llm", Zone: zones[i%3], Slots: 16}
		for range grownPerServer {
			e.Holds = append(e.Holds, replicas.Holding{Model: fmt.Sprint("m", rng.IntN(grownAsked))})
			e.OnDisk = append(e.OnDisk, fmt.Sprint("m", rng.IntN(grownModels)))
		}
		entries = append(entries, e)
		statuses[e.ID] = replicas.ServerStatus{ID: e.ID, Start: 1, Holds: e.Holds}
	}
	var demand []waiting.ModelDemand
	for i := range grownWaiting {
		d := waiting.ModelDemand{Service: "llm", Model: fmt.Sprint("m", rng.IntN(grownModels)), Count: 1, Priority: i % 3, Deadline: now.Add(time.Hour)}
		if i%2 == 0 {
			d.Adapter = "a1"
		}
		demand = append(demand, d)
	}
	in := loader.Input{
		Engine: engine, Servers: entries, LiveCells: zones, Token: 1,
		ServerStatuses: func(id string) (replicas.ServerStatus, bool) { s, ok := statuses[id]; return s, ok },
		LoadCost:       func(string, string) (float64, bool) { return 1e9, true },
		MayOrder:       func(string) bool { return false },
	}
	for i := range grownAsked {
		core.CountRequests(now, fmt.Sprint("m", i), "a1", true, 1+rng.IntN(20))
	}
	for _, e := range entries {
		in.Demand = nil
		core.Tick(now, in)
		core.HandleReport(now, e.ID, 1, replicas.Report{Start: 1, Holds: e.Holds, OnDisk: e.OnDisk}, nil)
	}
	return core, func() {
		now = now.Add(tick)
		in.Demand = append([]waiting.ModelDemand(nil), demand...)
		core.Tick(now, in)
	}
}

// BenchmarkTick measures a tick of a cell's leader.
func BenchmarkTick(b *testing.B) {
	_, next := grownLeader()
	for b.Loop() {
		next()
	}
}

// TestTickComparesEachCopyFewTimes guards against a leader that spends its processor time on the
// worth of copies, for each model and server anew, and then learns of changes seconds late
// (CONFIG, DRAIN).
func TestTickComparesEachCopyFewTimes(t *testing.T) {
	core, next := grownLeader()
	const ticks, timesPerCopy = 50, 20
	before := core.Compared()
	for range ticks {
		next()
	}
	perTick := (core.Compared() - before) / ticks
	assert.Assert(t, perTick <= timesPerCopy*grownServers*(grownPerServer+1), "%d servers compared in a tick", perTick)
}
