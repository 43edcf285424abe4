package node

import (
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// RankFloor returns the floor of a rank by the release in force.
func (n *Node) RankFloor(r fleet.Rank) float64 {
	return withRankOverrides(n.cfg.Admission, n.catalog.current.Load().ranks).Ranks[r].Floor
}

// Reconfirm makes the node ask again which release is in force, as a pause does.
func (n *Node) Reconfirm(now time.Time) { n.releases.reconfirm(now) }

// Quarantine returns what the node's entry tells of crashes and asks.
func (n *Node) Quarantine() entry.Quarantine { return n.cell }
