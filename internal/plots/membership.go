package main

import (
	"fmt"
	"image/color"
	"os"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/redwingnotch/redwingnotch/internal/benchresults"
)

// Series of the membership benchmark that are drawn: bytes sent per node and
// second, while nodes restart and releases change at the rates planned for the
// benchmark, and while all nodes start.
var (
	sentBytes        = benchresults.SeriesKey{Benchmark: "ScaleMembership", Parameter: "N", Unit: "sentB/node-s"}
	sentBytesAtStart = benchresults.SeriesKey{Benchmark: "ScaleMembership", Parameter: "N", Unit: "form-sentB/node-s"}
)

// plotBytesByMembers draws the bytes per second that a node sends against the
// number of members.
func plotBytesByMembers(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open membership results: %w", err)
	}
	defer f.Close()
	results, err := benchresults.Read(f, path)
	if err != nil {
		return nil, err
	}
	p := newPlot("Membership: bytes on the wire", "members (logarithmic)", "sent by a node, B/s (logarithmic)")
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	for _, c := range []curve{
		{"while all nodes start at once", sentBytesAtStart, orange, draw.TriangleGlyph{}},
		{"at the plan's rates of change", sentBytes, blue, draw.CircleGlyph{}},
	} {
		if err := addCurve(p, c, results.Series(c.key)); err != nil {
			return nil, err
		}
	}
	p.X.Min, p.X.Max = minMembers, maxMembers
	p.Y.Min, p.Y.Max = minBytesPerSecond, maxBytesPerSecond
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	return render(p)
}

// Ranges of the axes.
const (
	minMembers        = 6
	maxMembers        = 1300
	minBytesPerSecond = 500    // bytes a second
	maxBytesPerSecond = 400000 // bytes a second
)

// curve is a series drawn as a line with a glyph at each point.
type curve struct {
	name   string
	key    benchresults.SeriesKey
	colour color.Color
	glyph  draw.GlyphDrawer
}

// addCurve draws points connected by lines, each labelled with its value. The
// ticks of the horizontal axis are the sizes of the points.
func addCurve(p *plot.Plot, c curve, points []benchresults.Point) error {
	if len(points) == 0 {
		return fmt.Errorf("%w: %s in %s", benchresults.ErrNoMeasurement, c.key.Benchmark, c.key.Unit)
	}
	var data plotter.XYLabels
	var ticks plot.ConstantTicks
	for _, point := range points {
		data.XYs = append(data.XYs, plotter.XY{X: point.Size, Y: point.Value})
		data.Labels = append(data.Labels, strconv.FormatFloat(point.Value, 'f', 0, 64))
		ticks = append(ticks, plot.Tick{Value: point.Size, Label: strconv.FormatFloat(point.Size, 'f', 0, 64)})
	}
	line, dots, err := plotter.NewLinePoints(data.XYs)
	if err != nil {
		return fmt.Errorf("%s in %s: %w", c.key.Benchmark, c.key.Unit, err)
	}
	labels, err := plotter.NewLabels(data)
	if err != nil {
		return fmt.Errorf("labels of %s: %w", c.key.Unit, err)
	}
	line.Color, line.Width = c.colour, lineWidth
	dots.Color, dots.Radius, dots.Shape = c.colour, glyphRadius, c.glyph
	for i := range labels.TextStyle {
		labels.TextStyle[i].Font.Size = textSize
		labels.TextStyle[i].XAlign = draw.XCenter
	}
	labels.Offset = vg.Point{Y: vg.Millimeter * 2}
	p.Add(line, dots, labels)
	p.Legend.Add(c.name, line, dots)
	p.X.Tick.Marker = ticks
	return nil
}
