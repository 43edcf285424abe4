// Package placement selects the backend server on which to load a model and the
// replicas to evict there. Its functions have no side effects.
//
// ServerSet.Candidates limits each model to a few backend servers, so that a newly
// active controller has to query only those for the model's replicas. Best
// selects among them.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Need describes one replica to be loaded.
type Need struct {
	Model       fleet.ModelID
	Version     fleet.Version
	MemoryBytes int64         // memory that the replica occupies
	LoadTime    time.Duration // duration of a load from the weight store
	Speculative bool          // no request waits; must not evict retained replicas
}

// Resident is one replica on a backend server.
type Resident struct {
	Model       fleet.ModelID
	Version     fleet.Version
	MemoryBytes int64
	Evictable   bool          // idle and not about to be used
	KeepUntil   time.Time     // the replica is retained until then
	ReloadTime  time.Duration // time to load it again from the nearest copy of its weights
}

// Server is one backend server that may take the load.
type Server struct {
	Backend        fleet.BackendID
	WeightLocality fleet.Locality // locality of the weights to be loaded
	FreeBytes      int64
	Loads          int // loads in progress on the server
	Residents      []Resident
}

// Choice is the backend server to load on and the replicas to evict there first.
type Choice struct {
	Backend        fleet.BackendID
	WeightLocality fleet.Locality // locality of the weights to be loaded
	Evict          []Resident
}

// Load time as a fraction of that from the weight store, by locality of the
// weights.
const (
	memoryLoadFraction = 0.1
	diskLoadFraction   = 0.4
	remoteLoadFraction = 1.0
)

// Weights of an evicted replica's reload time in the eviction cost. A replica
// before its KeepUntil is likely to be requested again, one past it is not.
const (
	retainedEvictionWeight = 1.0
	expiredEvictionWeight  = 0.1
)

// LoadDuration returns the expected duration of a load from weights of the given
// locality, where fromStore is the duration of a load from the weight store.
func LoadDuration(fromStore time.Duration, locality fleet.Locality) time.Duration {
	fraction := remoteLoadFraction
	switch locality {
	case fleet.LocalityMemory:
		fraction = memoryLoadFraction
	case fleet.LocalityDisk:
		fraction = diskLoadFraction
	}
	return time.Duration(float64(fromStore) * fraction)
}

// Best returns the choice with the lowest cost: the expected duration of the load,
// multiplied by one plus the number of loads in progress on the server, plus the
// weighted reload times of the evicted replicas. It returns false if the replica
// fits on no server.
func Best(now time.Time, need Need, servers []Server) (Choice, bool) {
	var best Choice
	var bestCost time.Duration
	var bestFree int64
	found := false
	for _, s := range servers {
		evict, evictCost, ok := selectEvictions(now, need, s)
		if !ok {
			continue
		}
		cost := LoadDuration(need.LoadTime, s.WeightLocality)*time.Duration(1+s.Loads) + evictCost
		if found && !better(cost, bestCost, s, bestFree, best) {
			continue
		}
		found = true
		bestCost, bestFree = cost, s.FreeBytes
		best = Choice{Backend: s.Backend, WeightLocality: s.WeightLocality, Evict: evict}
	}
	return best, found
}

// better reports whether loading on s at the given cost is preferred to the best
// choice so far. Equal costs are ordered by free memory, then by server ID, so
// that results are deterministic.
func better(cost, bestCost time.Duration, s Server, bestFree int64, best Choice) bool {
	order := cmp.Or(
		cmp.Compare(cost, bestCost),
		cmp.Compare(bestFree, s.FreeBytes),
		cmp.Compare(s.Backend, best.Backend),
	)
	return order < 0
}

// maxExhaustiveSearch is the largest number of evictable replicas for which all
// subsets are compared.
const maxExhaustiveSearch = 8

// selectEvictions returns the replicas to evict from s so that need fits, and
// their total eviction cost. It returns false if need can't be made to fit.
func selectEvictions(now time.Time, need Need, s Server) ([]Resident, time.Duration, bool) {
	missing := need.MemoryBytes - s.FreeBytes
	if missing <= 0 {
		return nil, 0, true
	}
	var evictable []Resident
	for _, r := range s.Residents {
		retained := r.KeepUntil.After(now)
		if r.Evictable && !(retained && need.Speculative) {
			evictable = append(evictable, r)
		}
	}
	slices.SortFunc(evictable, func(a, b Resident) int {
		if byCost := cmp.Compare(costPerByte(now, a), costPerByte(now, b)); byCost != 0 {
			return byCost
		}
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	selectSubset := cheapestSubset
	if len(evictable) > maxExhaustiveSearch {
		selectSubset = greedySubset
	}
	selected := selectSubset(now, evictable, missing)
	return selected, totalCost(now, selected), len(selected) > 0
}

// cheapestSubset compares all subsets and returns the one with the lowest
// eviction cost that frees the missing bytes, or nil if none does.
func cheapestSubset(now time.Time, evictable []Resident, missing int64) []Resident {
	var costs [maxExhaustiveSearch]time.Duration
	for i, r := range evictable {
		costs[i] = evictionCost(now, r)
	}
	best := 0
	var bestCost time.Duration
	for mask := 1; mask < 1<<len(evictable); mask++ {
		var freed int64
		var cost time.Duration
		for i := range evictable {
			if mask&(1<<i) != 0 {
				freed += evictable[i].MemoryBytes
				cost += costs[i]
			}
		}
		if freed >= missing && (best == 0 || cost < bestCost) {
			best, bestCost = mask, cost
		}
	}
	var selected []Resident
	for i, r := range evictable {
		if best&(1<<i) != 0 {
			selected = append(selected, r)
		}
	}
	return selected
}

// greedySubset selects replicas in the given order, cheapest per byte first, until
// the missing bytes are free, and drops those that turn out to be unneeded. It
// returns nil if all of them together free too little.
func greedySubset(_ time.Time, evictable []Resident, missing int64) []Resident {
	var freed int64
	for i, r := range evictable {
		freed += r.MemoryBytes
		if freed >= missing {
			return dropUnneeded(slices.Clone(evictable[:i+1]), freed-missing)
		}
	}
	return nil
}

// dropUnneeded removes replicas from the eviction list, the most expensive per
// byte first, as long as their memory fits in the spare bytes.
func dropUnneeded(selected []Resident, spare int64) []Resident {
	for i := len(selected) - 1; i >= 0; i-- {
		if selected[i].MemoryBytes <= spare {
			spare -= selected[i].MemoryBytes
			selected = slices.Delete(selected, i, i+1)
		}
	}
	return selected
}

func totalCost(now time.Time, rs []Resident) time.Duration {
	var sum time.Duration
	for _, r := range rs {
		sum += evictionCost(now, r)
	}
	return sum
}

func evictionCost(now time.Time, r Resident) time.Duration {
	weight := expiredEvictionWeight
	if r.KeepUntil.After(now) {
		weight = retainedEvictionWeight
	}
	return time.Duration(float64(r.ReloadTime) * weight)
}

func costPerByte(now time.Time, r Resident) float64 {
	return float64(evictionCost(now, r)) / float64(max(1, r.MemoryBytes))
}
