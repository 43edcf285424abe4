package node

import "github.com/redwingnotch/redwingnotch/fleet"

// RankFloor returns the floor of a rank by the release in force.
func (n *Node) RankFloor(r fleet.Rank) float64 {
	return rankTerms(n.cfg.Admission, n.catalog.current.Load().ranks).Ranks[r].Floor
}
