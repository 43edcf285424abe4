package main

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// ErrNoMeasurement means that a page asks for a figure that no run gave.
var ErrNoMeasurement = errors.New("no such measurement")

// point is one measured value of one metric at one size.
type point struct {
	size  float64
	value float64
}

// seriesKey names the points of one metric of one benchmark over one size
// parameter, such as ScaleMembership over members, in wire-B/s.
type seriesKey struct {
	benchmark string
	parameter string
	unit      string
}

// results holds the values of one run of the benchmarks.
type results struct {
	values map[string]map[string]float64 // full name, then unit
	series map[seriesKey][]point
}

// readResults reads the output of go test -bench. The last value of a repeated
// benchmark wins.
func readResults(r io.Reader, fileName string) (*results, error) {
	out := &results{
		values: make(map[string]map[string]float64),
		series: make(map[seriesKey][]point),
	}
	reader := benchfmt.NewReader(r, fileName)
	for reader.Scan() {
		if res, ok := reader.Result().(*benchfmt.Result); ok {
			out.add(res)
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("read benchmark output: %w", err)
	}
	out.buildSeries()
	return out, nil
}

// add records all metrics of one benchmark line.
func (r *results) add(res *benchfmt.Result) {
	name := benchmarkName(res.Name)
	metrics := r.values[name]
	if metrics == nil {
		metrics = make(map[string]float64)
		r.values[name] = metrics
	}
	for _, v := range res.Values {
		unit, value := v.Unit, v.Value
		if v.OrigUnit != "" {
			unit, value = v.OrigUnit, v.OrigValue
		}
		metrics[unit] = value
	}
}

// benchmarkName drops the GOMAXPROCS suffix from a benchmark's name.
func benchmarkName(n benchfmt.Name) string {
	base, parts := n.Parts()
	name := string(base)
	for _, p := range parts {
		if len(p) > 0 && p[0] == '/' {
			name += string(p)
		}
	}
	return name
}

// buildSeries groups values whose names end in /parameter=number.
func (r *results) buildSeries() {
	for name, metrics := range r.values {
		benchmark, parameter, size, ok := splitSize(name)
		if !ok {
			continue
		}
		for unit, value := range metrics {
			key := seriesKey{benchmark, parameter, unit}
			r.series[key] = append(r.series[key], point{size, value})
		}
	}
	for _, points := range r.series {
		sort.Slice(points, func(i, j int) bool { return points[i].size < points[j].size })
	}
}

// splitSize splits "Benchmark/parameter=8" into its parts.
func splitSize(name string) (benchmark, parameter string, size float64, ok bool) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return "", "", 0, false
	}
	parameter, number, found := strings.Cut(name[slash+1:], "=")
	if !found {
		return "", "", 0, false
	}
	size, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return "", "", 0, false
	}
	return name[:slash], parameter, size, true
}

// at returns one measured value.
func (r *results) at(name, unit string) (float64, error) {
	value, ok := r.values[name][unit]
	if !ok {
		return 0, fmt.Errorf("%w: %s in %s", ErrNoMeasurement, name, unit)
	}
	return value, nil
}

// keys returns the names of all series, sorted.
func (r *results) keys() []seriesKey {
	keys := make([]seriesKey, 0, len(r.series))
	for key := range r.series {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.benchmark != b.benchmark {
			return a.benchmark < b.benchmark
		}
		if a.parameter != b.parameter {
			return a.parameter < b.parameter
		}
		return a.unit < b.unit
	})
	return keys
}
