package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// DirectReplicas returns the replicas that an entry node may use without a grant while
// the controller is unresponsive: those of the model that are ready, not
// draining and have the adapter. For one content hash, every node gets the same
// replicas, at most limit, by rendezvous hashing. A poison request therefore
// can't reach more backend servers by arriving at several nodes. A request
// without a hash may use all of them.
func DirectReplicas(rs []fleet.Replica, model fleet.ModelID, adapter fleet.AdapterID, hash fleet.ContentHash, limit int) []fleet.Replica {
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
		weightA, weightB := rendezvousWeight(hash, a.Backend), rendezvousWeight(hash, b.Backend)
		switch {
		case weightA > weightB:
			return -1
		case weightA < weightB:
			return 1
		default:
			return 0
		}
	})
	return usable[:limit]
}

// rendezvousWeight returns the weight of a backend server for a content hash.
// The servers of highest weight are selected.
func rendezvousWeight(hash fleet.ContentHash, b fleet.BackendID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(hash)) // Digest.WriteString returns no error
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(b))
	return d.Sum64()
}
