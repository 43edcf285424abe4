package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// MinCandidates is the least size of a model's candidate set.
const MinCandidates = 8

// CandidatesPerReplica is the size of a candidate set for each replica that the
// limit allows.
const CandidatesPerReplica = 2

// CandidateCount returns the size of a model's candidate set.
func CandidateCount(maxReplicas int) int {
	return max(MinCandidates, CandidatesPerReplica*maxReplicas)
}

// Roster is a list of backend servers prepared for hashing.
type Roster struct {
	ids    []fleet.BackendID
	hashes []uint64
}

// NewRoster prepares a list of backend servers.
func NewRoster(ids []fleet.BackendID) Roster {
	r := Roster{ids: slices.Clone(ids), hashes: make([]uint64, len(ids))}
	for i, id := range r.ids {
		r.hashes[i] = xxhash.Sum64String(string(id))
	}
	return r
}

type weighted struct {
	weight uint64
	id     fleet.BackendID
}

func compareWeighted(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
}

// Candidates returns the count backend servers that rendezvous hashing ranks
// highest for the model, highest first.
func (r Roster) Candidates(model fleet.ModelID, count int) []fleet.BackendID {
	seed := xxhash.Sum64String(string(model))
	top := make([]weighted, 0, count+1)
	for i, id := range r.ids {
		w := weighted{weight: mix(r.hashes[i] ^ seed), id: id}
		if len(top) == count && compareWeighted(w, top[len(top)-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, w, compareWeighted)
		top = slices.Insert(top, at, w)
		top = top[:min(count, len(top))]
	}
	ids := make([]fleet.BackendID, len(top))
	for i, w := range top {
		ids[i] = w.id
	}
	return ids
}

// mix is the finalizer of xxhash64: it spreads the combined hashes over all
// bits.
func mix(h uint64) uint64 {
	const prime2, prime3 = 14029467366897019727, 1609587929392839161
	h ^= h >> 33
	h *= prime2
	h ^= h >> 29
	h *= prime3
	return h ^ h>>32
}
