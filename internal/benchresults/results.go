// Package benchresults reads the output of go test -bench and fits lines over
// benchmarks that were run at several sizes.
package benchresults

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

// ErrNoMeasurement means that somebody asks for a figure that no run gave.
var ErrNoMeasurement = errors.New("no such measurement")

// Point is one measured value of one metric at one size.
type Point struct {
	Size  float64
	Value float64
}

// SeriesKey names the points of one metric of one benchmark over one size
// parameter, such as ScaleMembership over members, in wire-B/s.
type SeriesKey struct {
	Benchmark string
	Parameter string
	Unit      string
}

// Results holds the values of one run of the benchmarks.
type Results struct {
	values map[string]map[string]float64 // full name, then unit
	series map[SeriesKey][]Point
}

// Read reads the output of go test -bench. The last value of a repeated
// benchmark wins.
func Read(r io.Reader, fileName string) (*Results, error) {
	out := &Results{
		values: make(map[string]map[string]float64),
		series: make(map[SeriesKey][]Point),
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
func (r *Results) add(res *benchfmt.Result) {
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
func (r *Results) buildSeries() {
	for name, metrics := range r.values {
		benchmark, parameter, size, ok := splitSize(name)
		if !ok {
			continue
		}
		for unit, value := range metrics {
			key := SeriesKey{benchmark, parameter, unit}
			r.series[key] = append(r.series[key], Point{size, value})
		}
	}
	for _, points := range r.series {
		sort.Slice(points, func(i, j int) bool { return points[i].Size < points[j].Size })
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

// At returns one measured value.
func (r *Results) At(name, unit string) (float64, error) {
	value, ok := r.values[name][unit]
	if !ok {
		return 0, fmt.Errorf("%w: %s in %s", ErrNoMeasurement, name, unit)
	}
	return value, nil
}

// Keys returns the names of all series, sorted.
func (r *Results) Keys() []SeriesKey {
	keys := make([]SeriesKey, 0, len(r.series))
	for key := range r.series {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := keys[i], keys[j]
		if a.Benchmark != b.Benchmark {
			return a.Benchmark < b.Benchmark
		}
		if a.Parameter != b.Parameter {
			return a.Parameter < b.Parameter
		}
		return a.Unit < b.Unit
	})
	return keys
}

// Series returns the points of a series by rising size.
func (r *Results) Series(key SeriesKey) []Point { return r.series[key] }
