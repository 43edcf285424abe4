package main

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// line is a least-squares fit: value = fixed + slope × size.
type line struct {
	fixed float64
	slope float64
}

// fit returns the line through all measured sizes of a series.
func (r *results) fit(benchmark, parameter, unit string) (line, error) {
	points := r.series[seriesKey{benchmark, parameter, unit}]
	if len(points) < 2 {
		return line{}, fmt.Errorf("%w: %s over %s in %s at two sizes or more", ErrNoMeasurement, benchmark, parameter, unit)
	}
	sizes := make([]float64, len(points))
	values := make([]float64, len(points))
	for i, p := range points {
		sizes[i] = p.size
		values[i] = p.value
	}
	fixed, slope := stat.LinearRegression(sizes, values, nil, false)
	return line{fixed: fixed, slope: slope}, nil
}
