package credentials

import (
	"slices"

	"github.com/redwingnotch/redwingnotch/routes"
)

// Limits of the priorities that a rank tells apart.
const (
	routeRanks      = 1000    // priorities of routes within one priority of teams
	maxTeamPriority = 1 << 20 // priorities of teams beyond it count as it
)

// Priorities at a model engine.
const (
	engineStep   = 2 // difference between two ranks while there is room
	engineLowest = 9
)

// Rank returns the order of a request among all: by the priority of its team, then by that of its
// route; 0 is the first. A request without a team ranks as one of a team without a priority.
func Rank(team *routes.Team, routePriority int) int {
	rank := min(max(routePriority, 0), routeRanks-1)
	if team != nil {
		rank += min(max(team.Priority, 0), maxTeamPriority) * routeRanks
	}
	return rank
}

// EngineRanks maps ranks to priorities at a model engine. Use NewEngineRanks.
type EngineRanks []int // ranks that occur, sorted

// NewEngineRanks returns the mapping for the teams and for routes to model engines with the
// priorities.
func NewEngineRanks(teams []routes.Team, routePriorities []int) EngineRanks {
	var ranks EngineRanks
	for _, priority := range routePriorities {
		ranks = append(ranks, Rank(nil, priority))
		for i := range teams {
			ranks = append(ranks, Rank(&teams[i], priority))
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// Priority returns the priority at a model engine, 0 (first) to 9, of requests with the rank. It
// keeps the order of ranks; if there are more ranks than priorities, adjacent ones share one.
func (r EngineRanks) Priority(rank int) int {
	position, _ := slices.BinarySearch(r, rank)
	switch count := len(r); {
	case (count-1)*engineStep <= engineLowest:
		position *= engineStep
	case count > engineLowest+1:
		position = position * (engineLowest + 1) / count
	}
	return min(position, engineLowest)
}
