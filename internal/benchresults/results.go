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

// ErrNoMeasurement means that the benchmark output doesn't contain the requested
// value.
var ErrNoMeasurement = errors.New("no such measurement")

// Point is the measured value of a metric at one size.
type Point struct {
	Size  float64
	Value float64
}

// SeriesKey identifies a series: a metric of a benchmark over a size parameter, such
// as ScaleMembership over members in wire-B/s.
type SeriesKey struct {
	Benchmark string
	Parameter string
	Unit      string
}

// Results holds the values of a benchmark run.
type Results struct {
	values map[string]map[string]float64 // by full benchmark name, then unit
	series map[SeriesKey][]Point
}

// Read parses the output of go test -bench. If a benchmark is repeated, its last
// value counts. The file name is used in error messages.
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

// add records all metrics of a benchmark line, in their original units.
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

// benchmarkName returns a benchmark's name without the GOMAXPROCS suffix.
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

// buildSeries groups the values of benchmarks named NAME/parameter=number into
// series, sorted by size.
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

// splitSize splits "NAME/parameter=8" into its parts.
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

// At returns the value of a benchmark in a unit, or ErrNoMeasurement. The name is
// without "Benchmark" and the GOMAXPROCS suffix, but with sub-benchmarks, as in
// ScaleMembership/N=8.
func (r *Results) At(name, unit string) (float64, error) {
	value, ok := r.values[name][unit]
	if !ok {
		return 0, fmt.Errorf("%w: %s in %s", ErrNoMeasurement, name, unit)
	}
	return value, nil
}

// Keys returns the keys of all series, sorted.
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

// Series returns the points of a series in ascending order of size.
func (r *Results) Series(key SeriesKey) []Point { return r.series[key] }
