// Package placement chooses the backend server for a load and what must be
// evicted there. Its functions are pure.
//
// Roster names the few backend servers that may hold a model at all, so that a
// controller that takes over has few to ask. Best chooses among them.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Need is one replica to be loaded.
type Need struct {
	Model       fleet.ModelID
	Version     fleet.Version
	MemoryBytes int64
	LoadTime    time.Duration // from the weight store
	Speculative bool          // nobody waits; must not evict what is kept
}

// Resident is one replica that stands at a server.
type Resident struct {
	Model       fleet.ModelID
	Version     fleet.Version
	MemoryBytes int64
	Evictable   bool          // idle, not about to be used
	KeepUntil   time.Time     // worth keeping until then
	ReloadTime  time.Duration // to load it again, from the nearest place
}

// Server is one backend server that may take the load.
type Server struct {
	Backend   fleet.BackendID
	Near      fleet.Nearness // of the weights needed
	FreeBytes int64
	Loads     int // loads in progress there
	Residents []Resident
}

// Choice is where to load and what to unload there first.
type Choice struct {
	Backend fleet.BackendID
	Near    fleet.Nearness
	Evict   []Resident
}

// Shares of the load time from the weight store, by place of the weights.
const (
	memoryLoadShare = 0.1
	diskLoadShare   = 0.4
	remoteLoadShare = 1.0
)

// Weights of the reload time of an evicted replica: one that is still kept is
// likely to be asked for, one past its time is not.
const (
	keptEvictionWeight    = 1.0
	expiredEvictionWeight = 0.1
)

// LoadDuration returns the expected time of a load from the given place.
func LoadDuration(fromStore time.Duration, near fleet.Nearness) time.Duration {
	share := remoteLoadShare
	switch near {
	case fleet.NearMemory:
		share = memoryLoadShare
	case fleet.NearDisk:
		share = diskLoadShare
	}
	return time.Duration(float64(fromStore) * share)
}

// Best returns the choice with the least expected delay: the load's own
// duration and the reloads that its evictions are likely to cause. It returns
// false if no server can take the load.
func Best(now time.Time, need Need, servers []Server) (Choice, bool) {
	var best Choice
	var bestCost time.Duration
	var bestFree int64
	found := false
	for _, s := range servers {
		evict, evictCost, ok := evictions(now, need, s)
		if !ok {
			continue
		}
		cost := LoadDuration(need.LoadTime, s.Near)*time.Duration(1+s.Loads) + evictCost
		if found && !better(cost, bestCost, s, bestFree, best) {
			continue
		}
		found = true
		bestCost, bestFree = cost, s.FreeBytes
		best = Choice{Backend: s.Backend, Near: s.Near, Evict: evict}
	}
	return best, found
}

// better breaks ties by free memory, then by id, so that choices are the same
// in each run.
func better(cost, bestCost time.Duration, s Server, bestFree int64, best Choice) bool {
	order := cmp.Or(
		cmp.Compare(cost, bestCost),
		cmp.Compare(bestFree, s.FreeBytes),
		cmp.Compare(s.Backend, best.Backend),
	)
	return order < 0
}

// exactEvictions is the number of residents up to which all sets of evictions
// are compared.
const exactEvictions = 8

// evictions returns the cheapest residents whose memory makes room for need.
func evictions(now time.Time, need Need, s Server) ([]Resident, time.Duration, bool) {
	missing := need.MemoryBytes - s.FreeBytes
	if missing <= 0 {
		return nil, 0, true
	}
	var offered []Resident
	for _, r := range s.Residents {
		kept := r.KeepUntil.After(now)
		if r.Evictable && !(kept && need.Speculative) {
			offered = append(offered, r)
		}
	}
	slices.SortFunc(offered, func(a, b Resident) int {
		if byCost := cmp.Compare(costPerByte(now, a), costPerByte(now, b)); byCost != 0 {
			return byCost
		}
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	choose := cheapestSet
	if len(offered) > exactEvictions {
		choose = cheapestFirst
	}
	chosen := choose(now, offered, missing)
	return chosen, totalCost(now, chosen), len(chosen) > 0
}

// cheapestSet compares all sets of residents that free the missing bytes.
func cheapestSet(now time.Time, offered []Resident, missing int64) []Resident {
	var costs [exactEvictions]time.Duration
	for i, r := range offered {
		costs[i] = evictionCost(now, r)
	}
	best := 0
	var bestCost time.Duration
	for mask := 1; mask < 1<<len(offered); mask++ {
		var freed int64
		var cost time.Duration
		for i := range offered {
			if mask&(1<<i) != 0 {
				freed += offered[i].MemoryBytes
				cost += costs[i]
			}
		}
		if freed >= missing && (best == 0 || cost < bestCost) {
			best, bestCost = mask, cost
		}
	}
	var chosen []Resident
	for i, r := range offered {
		if best&(1<<i) != 0 {
			chosen = append(chosen, r)
		}
	}
	return chosen
}

// cheapestFirst takes the cheapest per byte first and gives back what is not
// needed. It returns nil if all of them free too little.
func cheapestFirst(_ time.Time, offered []Resident, missing int64) []Resident {
	var freed int64
	for i, r := range offered {
		freed += r.MemoryBytes
		if freed >= missing {
			return dropUnneeded(slices.Clone(offered[:i+1]), freed-missing)
		}
	}
	return nil
}

// dropUnneeded keeps the most valuable residents that the spare bytes allow.
func dropUnneeded(chosen []Resident, spare int64) []Resident {
	for i := len(chosen) - 1; i >= 0; i-- {
		if chosen[i].MemoryBytes <= spare {
			spare -= chosen[i].MemoryBytes
			chosen = slices.Delete(chosen, i, i+1)
		}
	}
	return chosen
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
		weight = keptEvictionWeight
	}
	return time.Duration(float64(r.ReloadTime) * weight)
}

func costPerByte(now time.Time, r Resident) float64 {
	return float64(evictionCost(now, r)) / float64(max(1, r.MemoryBytes))
}
