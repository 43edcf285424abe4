package resumption

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Numbers of nodes that hold the record of a stream.
const (
	Holders = 3           // nodes, besides the stream's own, to which its record is sent
	Asked   = Holders + 1 // nodes that are asked for it: the stream's own may rank among the first and is likely to be gone
)

// HoldersOf returns the n nodes that rank first for the stream, or all if there are fewer. Each
// node ranks others in the same order, so those that differ in which nodes they know still
// agree on most.
func HoldersOf(id string, nodes []string, n int) []string {
	type ranked struct {
		node string
		hash uint64
	}
	all := make([]ranked, len(nodes))
	for i, node := range nodes {
		all[i] = ranked{node, xxhash.Sum64String(node + "\x00" + id)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.node, b.node)) })
	holders := make([]string, min(n, len(all)))
	for i := range holders {
		holders[i] = all[i].node
	}
	return holders
}
