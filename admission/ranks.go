package admission

import "github.com/redwingnotch/redwingnotch/fleet"

// SetRanks replaces the operators' terms of the ranks. They must be valid. What
// was decided before stays.
func (q *Queue) SetRanks(ranks [fleet.RankCount]RankSettings) {
	q.settings.Ranks = ranks
	q.limits = newRankLimits(&q.settings)
}
