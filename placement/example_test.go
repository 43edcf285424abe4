package placement_test

import (
	"fmt"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/placement"
)

// A backend server that has the weights cached in memory is preferred to an empty
// one that has to read them from the weight store, even if it must evict a
// replica.
func ExampleBest() {
	now := time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)
	const gib = 1 << 30
	need := placement.Need{Model: "lathe-diagnosis", Version: "v1", MemoryBytes: 14 * gib, LoadTime: 25 * time.Second}
	servers := []placement.Server{
		{Backend: "engine-1", WeightLocality: fleet.LocalityRemote, FreeBytes: 80 * gib},
		{Backend: "engine-2", WeightLocality: fleet.LocalityMemory, FreeBytes: 4 * gib, Residents: []placement.Resident{{
			Model: "deck-order", Version: "v2", MemoryBytes: 12 * gib, Evictable: true,
			KeepUntil: now.Add(-time.Minute), ReloadTime: 2 * time.Second,
		}}},
	}
	choice, ok := placement.Best(now, need, servers)
	fmt.Println(ok, choice.Backend, choice.WeightLocality)
	for _, resident := range choice.Evict {
		fmt.Println("evict", resident.Model)
	}
	// Output:
	// true engine-2 memory
	// evict deck-order
}
