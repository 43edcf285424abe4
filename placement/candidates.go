package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// MinCandidates is the minimum size of a model's candidate set.
const MinCandidates = 8

// CandidatesPerReplica is the number of candidates per replica that the model's
// replica limit allows.
const CandidatesPerReplica = 2

// CandidateCount returns the size of the candidate set of a model with the given
// replica limit.
func CandidateCount(maxReplicas int) int {
	return max(MinCandidates, CandidatesPerReplica*maxReplicas)
}

// ServerSet is the server set that candidates are drawn from, with precomputed
// hashes of the server IDs.
type ServerSet struct {
	ids    []fleet.BackendID
	hashes []uint64 // hash of the ID at the same index
}

// NewServerSet returns the server set of the given IDs.
func NewServerSet(ids []fleet.BackendID) ServerSet {
	r := ServerSet{ids: slices.Clone(ids), hashes: make([]uint64, len(ids))}
	for i, id := range r.ids {
		r.hashes[i] = xxhash.Sum64String(string(id))
	}
	return r
}

type weightedServer struct {
	weight uint64
	id     fleet.BackendID
}

func compareWeights(a, b weightedServer) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
}

// Candidates returns the backend servers that rendezvous hashing ranks highest
// for the model, highest first, at most count.
func (r ServerSet) Candidates(model fleet.ModelID, count int) []fleet.BackendID {
	seed := xxhash.Sum64String(string(model))
	top := make([]weightedServer, 0, count+1)
	for i, id := range r.ids {
		w := weightedServer{weight: mix(r.hashes[i] ^ seed), id: id}
		if len(top) == count && compareWeights(w, top[len(top)-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, w, compareWeights)
		top = slices.Insert(top, at, w)
		top = top[:min(count, len(top))]
	}
	ids := make([]fleet.BackendID, len(top))
	for i, w := range top {
		ids[i] = w.id
	}
	return ids
}

// mix applies the finalizer of xxhash64, so that each bit of the combined hashes
// affects all bits of the result.
func mix(h uint64) uint64 {
	const prime2, prime3 = 14029467366897019727, 1609587929392839161
	h ^= h >> 33
	h *= prime2
	h ^= h >> 29
	h *= prime3
	return h ^ h>>32
}
