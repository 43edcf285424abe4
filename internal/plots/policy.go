package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot/plotter"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/policybench"
)

// policyStyle is the label and the colour of a policy in the plots.
type policyStyle struct {
	policy string
	label  string
	colour color.Color
}

// Styles of the policies of the policy benchmark.
var (
	naiveStyle   = policyStyle{policybench.PolicyNaive, "naive", orange}
	fixedStyle   = policyStyle{policybench.PolicyFixed, "ours, kept 10 min", blue}
	redwingStyle = policyStyle{policybench.PolicyRedwing, "ours", green}
)

// Tick distances and lengths of the vertical axes.
const (
	secondsPerTick    = 10.0
	percentPerTick    = 20.0
	maxPercent        = 100.0
	legendSpaceOfFour = 0.7 // room for a legend of four lines, as a fraction of the highest value
	legendSpaceOfTwo  = 0.4 // room for a legend of two lines, as a fraction of the highest value
)

// plotColdStarts draws the p50, p95 and p99 of cold start times on an ordinary day
// and the lower bound of the p99.
func plotColdStarts(rows []policybench.Row, deployment string) ([]byte, error) {
	p := newPlot("Cold starts, "+deployment+", ordinary day", "", "first token after arrival, s")
	var series []bars
	bound := 0.0   // lower bound of the p99 under the last policy drawn, in seconds
	highest := 0.0 // highest p99, in seconds
	for _, style := range []policyStyle{naiveStyle, fixedStyle, redwingStyle} {
		row, err := findRow(rows, deployment, scenarioOrdinary, style.policy)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%s, %d cold starts", style.label, row.ColdStarts)
		series = append(series, bars{name, style.colour, plotter.Values{row.ColdP50, row.ColdP95, row.ColdP99}})
		highest = max(highest, row.ColdP99)
		if row.ColdP99ToBound > 0 {
			bound = row.ColdP99 / row.ColdP99ToBound
		}
	}
	categories := []string{"p50", "p95", "p99"}
	if err := addBars(p, series, categories, ticksTo(highest, secondsPerTick), highest*(1+legendSpaceOfFour)); err != nil {
		return nil, err
	}
	addBound(p, fmt.Sprintf("bound of ours at p99, %.1f s", bound), bound)
	return render(p)
}

// plotFloods draws, for each rank, the share of requests whose first token
// came within the rank's target during a flood of urgent or of bulk requests.
func plotFloods(rows []policybench.Row, deployment string) ([]byte, error) {
	p := newPlot("Service in a flood, "+deployment, "", "first token within target, % of offered")
	var series []bars
	for _, style := range []policyStyle{naiveStyle, redwingStyle} {
		s := bars{name: style.label, colour: style.colour}
		for _, scenario := range []string{scenarioUrgentFlood, scenarioBulkFlood} {
			row, err := findRow(rows, deployment, scenario, style.policy)
			if err != nil {
				return nil, err
			}
			for rank := range fleet.RankCount {
				s.values = append(s.values, 100*row.WithinTarget[rank])
			}
		}
		series = append(series, s)
	}
	var names []string
	for _, flood := range []fleet.Rank{fleet.RankUrgent, fleet.RankBulk} {
		for rank := range fleet.RankCount {
			names = append(names, fmt.Sprintf("%s\n(%s flood)", fleet.Rank(rank), flood))
		}
	}
	if err := addBars(p, series, names, ticksTo(maxPercent, percentPerTick), maxPercent*(1+legendSpaceOfTwo)); err != nil {
		return nil, err
	}
	return render(p)
}
