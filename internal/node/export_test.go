package node

import (
	"github.com/redwingnotch/redwingnotch/internal/entry"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// RankFloor returns the floor of a rank with the overrides of the release in force.
func (n *Node) RankFloor(r fleet.Rank) float64 {
	return withRankOverrides(n.cfg.Admission, n.catalog.current.Load().ranks).Ranks[r].Floor
}

// Reconfirm makes the node check again which release is in force, as after a pause.
func (n *Node) Reconfirm(now time.Time) { n.releaseLoop.reconfirm(now) }

// Quarantine returns the quarantine that the node's entry handler uses.
func (n *Node) Quarantine() entry.Quarantine { return n.cell }
