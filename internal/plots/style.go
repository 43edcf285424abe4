package main

import (
	"bytes"
	"fmt"
	"image/color"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes used in all plots.
const (
	width       = 16 * vg.Centimeter
	height      = 9 * vg.Centimeter
	barWidth    = 0.8 * vg.Centimeter
	titleSize   = 12 // points
	textSize    = 10 // points
	labelSize   = 8  // points
	lineWidth   = 1  // points
	glyphRadius = 3  // points
)

// categoryMargin is the space at both ends of an axis of categories, as a fraction
// of the distance between two categories.
const categoryMargin = 0.5

// Colours from a palette that is safe for colour-blind readers.
var (
	orange = color.RGBA{R: 230, G: 159, A: 255}
	green  = color.RGBA{G: 158, B: 115, A: 255}
	blue   = color.RGBA{G: 114, B: 178, A: 255}
	grey   = color.RGBA{R: 220, G: 220, B: 220, A: 255}
)

// newPlot returns an empty plot in the common style.
func newPlot(title, xLabel, yLabel string) *plot.Plot {
	plot.DefaultFont = font.Font{Typeface: "Liberation", Variant: "Sans"}
	plotter.DefaultFont = plot.DefaultFont
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = titleSize
	p.Title.Padding = 2 * vg.Millimeter
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	p.X.Label.TextStyle.Font.Size = textSize
	p.Y.Label.TextStyle.Font.Size = textSize
	p.X.Tick.Label.Font.Size = textSize
	p.Y.Tick.Label.Font.Size = textSize
	p.Legend.TextStyle.Font.Size = textSize
	p.Legend.Top = true
	p.Legend.Padding = vg.Millimeter
	p.BackgroundColor = color.White
	grid := plotter.NewGrid()
	grid.Vertical.Width = 0
	grid.Horizontal.Color = grey
	p.Add(grid)
	return p
}

// bars is a series of a bar chart.
type bars struct {
	name   string
	colour color.Color
	values plotter.Values
}

// addBars draws a grouped bar chart over the named categories, with the value above
// each bar. The vertical axis ends at top, which leaves space for the legend.
func addBars(p *plot.Plot, series []bars, categories []string, ticks plot.ConstantTicks, top float64) error {
	for i, s := range series {
		offset := barWidth * vg.Length(float64(i)-float64(len(series)-1)/2)
		chart, err := plotter.NewBarChart(s.values, barWidth)
		if err != nil {
			return fmt.Errorf("bars %s: %w", s.name, err)
		}
		chart.Color = s.colour
		chart.LineStyle.Width = 0
		chart.Offset = offset
		labels, err := barLabels(s.values, offset)
		if err != nil {
			return fmt.Errorf("labels %s: %w", s.name, err)
		}
		p.Add(chart, labels)
		p.Legend.Add(s.name, chart)
	}
	p.NominalX(categories...)
	p.X.Min, p.X.Max = -categoryMargin, float64(len(categories))-categoryMargin
	p.Y.Min, p.Y.Max = 0, top
	p.Y.Tick.Marker = ticks
	return nil
}

// addBound draws a dashed horizontal line at the value.
func addBound(p *plot.Plot, name string, value float64) {
	line := plotter.NewFunction(func(float64) float64 { return value })
	line.Dashes = []vg.Length{vg.Millimeter, vg.Millimeter}
	line.Width = lineWidth
	p.Add(line)
	p.Legend.Add(name, line)
}

// ticksTo returns labelled ticks at the multiples of step from zero to end.
func ticksTo(end, step float64) plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for value := 0.0; value <= end; value += step {
		ticks = append(ticks, plot.Tick{Value: value, Label: strconv.FormatFloat(value, 'f', -1, 64)})
	}
	return ticks
}

// barLabels returns labels above the bars with their values, to one decimal place.
func barLabels(values plotter.Values, offset vg.Length) (*plotter.Labels, error) {
	var data plotter.XYLabels
	for i, v := range values {
		data.XYs = append(data.XYs, plotter.XY{X: float64(i), Y: v})
		data.Labels = append(data.Labels, strconv.FormatFloat(v, 'f', 1, 64))
	}
	labels, err := plotter.NewLabels(data)
	if err != nil {
		return nil, err
	}
	for i := range labels.TextStyle {
		labels.TextStyle[i].Font.Size = labelSize
		labels.TextStyle[i].XAlign = draw.XCenter
	}
	labels.Offset = vg.Point{X: offset, Y: vg.Millimeter / 2}
	return labels, nil
}

// render returns the plot as an SVG file.
func render(p *plot.Plot) ([]byte, error) {
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("write plot: %w", err)
	}
	return out.Bytes(), nil
}
