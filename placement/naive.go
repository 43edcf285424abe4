package placement

import (
	"time"
)

// FirstFit is the baseline: the first server, in the order given, with enough
// free memory; else the first where evicting idle replicas in the order given
// makes room. It looks neither at the place of the weights nor at the value of
// what it evicts.
func FirstFit(_ time.Time, need Need, servers []Server) (Choice, bool) {
	for _, s := range servers {
		if s.FreeBytes >= need.MemoryBytes {
			return Choice{Backend: s.Backend, Near: s.Near}, true
		}
	}
	for _, s := range servers {
		if evict, ok := firstEvictions(need, s); ok {
			return Choice{Backend: s.Backend, Near: s.Near, Evict: evict}, true
		}
	}
	return Choice{}, false
}

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
