package placement

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/fleet"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func need(memory int64) Need {
	return Need{Model: "m", Version: "1", MemoryBytes: memory, LoadTime: 10 * time.Second}
}

func idle(model string, memory int64, retained bool) Resident {
	r := Resident{Model: fleet.ModelID(model), MemoryBytes: memory, Evictable: true, ReloadTime: 10 * time.Second}
	if retained {
		r.KeepUntil = now.Add(time.Minute)
	}
	return r
}

func TestBest(t *testing.T) {
	busy := idle("busy", 10, false)
	busy.Evictable = false
	for name, tc := range map[string]struct {
		need    Need
		servers []Server
		want    fleet.BackendID
		evicts  []fleet.ModelID
	}{
		"prefers the nearest weights": {need(5), []Server{
			{Backend: "a", FreeBytes: 10, WeightLocality: fleet.LocalityRemote},
			{Backend: "b", FreeBytes: 10, WeightLocality: fleet.LocalityMemory},
			{Backend: "c", FreeBytes: 10, WeightLocality: fleet.LocalityDisk},
		}, "b", nil},
		"prefers a server without loads in progress": {need(5), []Server{
			{Backend: "a", FreeBytes: 20, Loads: 1}, {Backend: "b", FreeBytes: 10},
		}, "b", nil},
		"prefers evicting an expired replica to a load from the weight store": {need(5), []Server{
			{Backend: "a", FreeBytes: 10, WeightLocality: fleet.LocalityRemote},
			{Backend: "b", WeightLocality: fleet.LocalityMemory, Residents: []Resident{idle("old", 5, false)}},
		}, "b", []fleet.ModelID{"old"}},
		"does not evict a replica in use": {need(5), []Server{
			{Backend: "a", Residents: []Resident{busy}},
		}, "", nil},
		"evicts the cheapest sufficient replica only": {need(6), []Server{
			{Backend: "a", FreeBytes: 1, Residents: []Resident{
				idle("kept", 6, true), idle("small", 2, false), idle("large", 5, false),
			}},
		}, "a", []fleet.ModelID{"large"}},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := Best(now, tc.need, tc.servers)
			assert.Equal(t, ok, tc.want != "")
			assert.Equal(t, got.Backend, tc.want)
			var evicted []fleet.ModelID
			for _, r := range got.Evict {
				evicted = append(evicted, r.Model)
			}
			assert.DeepEqual(t, evicted, tc.evicts)
		})
	}
}

func TestSpeculativeLoadDoesNotEvictRetainedReplica(t *testing.T) {
	n := need(5)
	n.Speculative = true
	servers := []Server{{Backend: "a", Residents: []Resident{idle("kept", 5, true)}}}
	_, ok := Best(now, n, servers)
	assert.Assert(t, !ok)
	n.Speculative = false
	_, ok = Best(now, n, servers)
	assert.Assert(t, ok)
}

func drawServers(t *rapid.T) []Server {
	var servers []Server
	for i := range rapid.IntRange(0, 5).Draw(t, "servers") {
		s := Server{
			Backend:        fleet.BackendID(fmt.Sprint(i)),
			WeightLocality: fleet.Locality(rapid.IntRange(0, 2).Draw(t, "near")),
			FreeBytes:      rapid.Int64Range(0, 10).Draw(t, "free"),
			Loads:          rapid.IntRange(0, 2).Draw(t, "loads"),
		}
		for j := range rapid.IntRange(0, 4).Draw(t, "residents") {
			r := idle(fmt.Sprint(j), rapid.Int64Range(1, 8).Draw(t, "memory"), rapid.Bool().Draw(t, "kept"))
			r.ReloadTime = time.Duration(rapid.IntRange(1, 60).Draw(t, "reload")) * time.Second
			r.Evictable = rapid.Bool().Draw(t, "evictable")
			s.Residents = append(s.Residents, r)
		}
		servers = append(servers, s)
	}
	return servers
}

// costOf returns the cost that Best minimizes.
func costOf(n Need, c Choice, servers []Server) time.Duration {
	for _, s := range servers {
		if s.Backend == c.Backend {
			return LoadDuration(n.LoadTime, s.WeightLocality)*time.Duration(1+s.Loads) + totalCost(now, c.Evict)
		}
	}
	return 0
}

// TestBestAgainstFirstFit checks that Best finds a server exactly when FirstFit
// does, at no higher cost, frees enough memory and evicts no replica in use.
func TestBestAgainstFirstFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := need(rapid.Int64Range(1, 20).Draw(t, "need"))
		servers := drawServers(t)
		best, ok := Best(now, n, servers)
		baseline, baselineOK := FirstFit(now, n, servers)
		if ok != baselineOK {
			t.Fatalf("Best found a server: %t, FirstFit: %t", ok, baselineOK)
		}
		if !ok {
			return
		}
		if got, base := costOf(n, best, servers), costOf(n, baseline, servers); got > base {
			t.Fatalf("Best costs %v, FirstFit %v", got, base)
		}
		i := slices.IndexFunc(servers, func(s Server) bool { return s.Backend == best.Backend })
		free := servers[i].FreeBytes
		for _, r := range best.Evict {
			if !r.Evictable {
				t.Fatalf("evicts a replica in use: %v", r)
			}
			free += r.MemoryBytes
		}
		if free < n.MemoryBytes {
			t.Fatalf("%d bytes free, %d needed", free, n.MemoryBytes)
		}
	})
}

func ids(n int) []fleet.BackendID {
	var out []fleet.BackendID
	for i := range n {
		out = append(out, fleet.BackendID(fmt.Sprintf("backend-%d", i)))
	}
	return out
}

// TestCandidatesAreStableAndBalanced checks that removing a server changes no
// other candidate, and that models are spread evenly over the servers.
func TestCandidatesAreStableAndBalanced(t *testing.T) {
	const servers, models = 20, 500
	all := NewServerSet(ids(servers))
	fewer := NewServerSet(ids(servers - 1))
	load := map[fleet.BackendID]int{}
	moved := 0
	for i := range models {
		m := fleet.ModelID(fmt.Sprintf("model-%d", i))
		set := all.Candidates(m, 4)
		assert.Equal(t, len(set), 4)
		for _, id := range set {
			load[id]++
			if id != "backend-19" && !slices.Contains(fewer.Candidates(m, 4), id) {
				moved++
			}
		}
	}
	assert.Equal(t, moved, 0, "removing one server changed other candidates")
	const mean = models * 4 / servers
	for id, n := range load {
		assert.Assert(t, n > mean/2 && n < mean*2, "%s is a candidate for %d models, mean %d", id, n, mean)
	}
	assert.Equal(t, len(NewServerSet(ids(2)).Candidates("m", 4)), 2)
	assert.Equal(t, CandidateCount(1), MinCandidates)
	assert.Equal(t, CandidateCount(4), 8)
	assert.Equal(t, CandidateCount(5), 10)
}
