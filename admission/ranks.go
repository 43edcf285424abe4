package admission

import "github.com/redwingnotch/redwingnotch/fleet"

// SetRanks replaces the settings of the ranks, which must be valid. Earlier
// decisions remain.
func (q *Queue) SetRanks(ranks [fleet.RankCount]RankSettings) {
	q.settings.Ranks = ranks
	q.limits = newRankLimits(&q.settings)
}
