package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Direct returns the replicas of the model that an entry node may use by itself
// for a request's content while the controller is silent. Every node gets the
// same at most limit backend servers for one content hash, by rendezvous
// hashing, so that a poison request cannot reach more of them through many
// nodes. A request with no hash may use all.
func Direct(rs []fleet.Replica, model fleet.ModelID, adapter fleet.AdapterID, hash fleet.ContentHash, limit int) []fleet.Replica {
	var usable []fleet.Replica
	for _, r := range rs {
		resident := adapter == "" || slices.Contains(r.Adapters, adapter)
		if r.Model == model && r.State == fleet.ReplicaReady && !r.Draining && resident {
			usable = append(usable, r)
		}
	}
	if hash == "" || len(usable) <= limit {
		return usable
	}
	slices.SortFunc(usable, func(a, b fleet.Replica) int {
		wa, wb := rendezvous(hash, a.Backend), rendezvous(hash, b.Backend)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		default:
			return 0
		}
	})
	return usable[:limit]
}

// rendezvous weighs a backend server for a content hash.
func rendezvous(hash fleet.ContentHash, b fleet.BackendID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(hash)) // never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(b))
	return d.Sum64()
}
