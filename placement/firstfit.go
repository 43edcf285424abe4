package placement

import (
	"time"
)

// FirstFit is the baseline that Best is compared with. It returns the first
// server with enough free memory, else the first on which evicting idle replicas
// in the given order makes room. It ignores the locality of the weights and the
// cost of evictions. It returns false if no server can take the load.
func FirstFit(_ time.Time, need Need, servers []Server) (Choice, bool) {
	for _, s := range servers {
		if s.FreeBytes >= need.MemoryBytes {
			return Choice{Backend: s.Backend, WeightLocality: s.WeightLocality}, true
		}
	}
	for _, s := range servers {
		if evict, ok := firstEvictions(need, s); ok {
			return Choice{Backend: s.Backend, WeightLocality: s.WeightLocality, Evict: evict}, true
		}
	}
	return Choice{}, false
}

// firstEvictions returns the first evictable replicas of s that make room for
// need, or false if all of them together don't.
func firstEvictions(need Need, s Server) ([]Resident, bool) {
	free := s.FreeBytes
	var evict []Resident
	for _, r := range s.Residents {
		if free >= need.MemoryBytes {
			break
		}
		if r.Evictable {
			free += r.MemoryBytes
			evict = append(evict, r)
		}
	}
	return evict, free >= need.MemoryBytes
}
