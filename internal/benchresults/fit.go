package benchresults

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// Line is a least-squares fit: value = Intercept + Slope × size.
type Line struct {
	Intercept float64
	Slope     float64
}

// Fit returns the line fitted to all points of a series. It returns
// ErrNoMeasurement for fewer than two points.
func (r *Results) Fit(benchmark, parameter, unit string) (Line, error) {
	points := r.series[SeriesKey{benchmark, parameter, unit}]
	if len(points) < 2 {
		return Line{}, fmt.Errorf("%w: %s over %s in %s at two or more sizes", ErrNoMeasurement, benchmark, parameter, unit)
	}
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for i, p := range points {
		sizes[i] = p.Size
		values[i] = p.Value
	}
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	return Line{Intercept: intercept, Slope: slope}, nil
}
