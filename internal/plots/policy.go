package main

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot/plotter"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/internal/policybench"
)

// drawn is a policy as named in the pictures.
type drawn struct {
	policy string
	label  string
	colour color.Color
}

// naive and ours are the two policies of all pictures of the benchmark.
var (
	naive = drawn{policybench.PolicyNaive, "naive", orange}
	fixed = drawn{policybench.PolicyFixed, "ours, kept 10 min", blue}
	ours  = drawn{policybench.PolicyRedwing, "ours", green}
)

// Ticks of the vertical axes, and the part of the axis left to the legend.
const (
	secondsStep  = 10.0
	percentStep  = 20.0
	wholePercent = 100.0
	legendOfFour = 0.7
	legendOfTwo  = 0.4
)

// coldStarts draws the percentiles of cold starts on an ordinary day, and the
// bound of the 99th.
func coldStarts(rows []policybench.Row, deployment string) ([]byte, error) {
	p := newPlot("Cold starts, "+deployment+", ordinary day", "", "first token after arrival, s")
	var series []bars
	bound := 0.0   // seconds, of the 99th percentile of ours
	highest := 0.0 // seconds
	for _, d := range []drawn{naive, fixed, ours} {
		row, err := find(rows, deployment, scenarioOrdinary, d.policy)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%s, %d cold starts", d.label, row.ColdStarts)
		series = append(series, bars{name, d.colour, plotter.Values{row.ColdP50, row.ColdP95, row.ColdP99}})
		highest = max(highest, row.ColdP99)
		if row.ColdP99ToBound > 0 {
			bound = row.ColdP99 / row.ColdP99ToBound
		}
	}
	categories := []string{"p50", "p95", "p99"}
	if err := addBars(p, series, categories, ticksTo(highest, secondsStep), highest*(1+legendOfFour)); err != nil {
		return nil, err
	}
	addBound(p, fmt.Sprintf("bound of ours at p99, %.1f s", bound), bound)
	return render(p)
}

// floodService draws the share of requests answered within the target of their
// rank while urgent or bulk requests flood the fleet.
func floodService(rows []policybench.Row, deployment string) ([]byte, error) {
	p := newPlot("Service in a flood, "+deployment, "", "first token within target, % of offered")
	var series []bars
	for _, d := range []drawn{naive, ours} {
		s := bars{name: d.label, colour: d.colour}
		for _, scenario := range []string{scenarioUrgentFlood, scenarioBulkFlood} {
			row, err := find(rows, deployment, scenario, d.policy)
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
	if err := addBars(p, series, names, ticksTo(wholePercent, percentStep), wholePercent*(1+legendOfTwo)); err != nil {
		return nil, err
	}
	return render(p)
}
