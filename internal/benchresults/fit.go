package benchresults

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// Line is a least-squares fit: value = fixed + slope × size.
type Line struct {
	Fixed float64
	Slope float64
}

// Fit returns the line through all measured sizes of a series.
func (r *Results) Fit(benchmark, parameter, unit string) (Line, error) {
	points := r.series[SeriesKey{benchmark, parameter, unit}]
	if len(points) < 2 {
		return Line{}, fmt.Errorf("%w: %s over %s in %s at two sizes or more", ErrNoMeasurement, benchmark, parameter, unit)
	}
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for i, p := range points {
		sizes[i] = p.Size
		values[i] = p.Value
	}
	fixed, slope := stat.LinearRegression(sizes, values, nil, false)
	return Line{Fixed: fixed, Slope: slope}, nil
}
