package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"text/template"

	"github.com/redwingnotch/redwingnotch/internal/benchresults"
)

// figures are measured results as a page template uses them.
type figures struct{ *benchresults.Results }

// renderPage fills the page's template with measured figures. Each figure in
// the page is an expression over the results, so the page can be redone from
// another run.
func renderPage(text string, r *figures) ([]byte, error) {
	page, err := template.New("page").Funcs(r.functions()).Parse(text)
	if err != nil {
		return nil, fmt.Errorf("parse page template: %w", err)
	}
	var out bytes.Buffer
	if err := page.Execute(&out, nil); err != nil {
		return nil, fmt.Errorf("fill page template: %w", err)
	}
	return out.Bytes(), nil
}

// functions returns what a page template may call.
func (r *figures) functions() template.FuncMap {
	return template.FuncMap{
		"at":     r.At,
		"slope":  r.slope,
		"est":    r.estimate,
		"slopes": r.slopesTable,
		"mul":    func(a, b float64) float64 { return a * b },
		"div":    func(a, b float64) float64 { return a / b },
		"add":    func(a, b float64) float64 { return a + b },
		"num":    formatNumber,
	}
}

// slope returns a series' growth per unit of its size parameter.
func (r *figures) slope(benchmark, parameter, unit string) (float64, error) {
	l, err := r.Fit(benchmark, parameter, unit)
	return l.Slope, err
}

// estimate returns the fitted value of a series at a size.
func (r *figures) estimate(benchmark, parameter, unit string, size float64) (float64, error) {
	l, err := r.Fit(benchmark, parameter, unit)
	return l.Fixed + l.Slope*size, err
}

// slopesTable returns one row per series: the measured points and the fit.
func (r *figures) slopesTable() (string, error) {
	var out strings.Builder
	out.WriteString("| benchmark | over | unit | measured (size: value) | slope |\n|---|---|---|---|---|\n")
	for _, key := range r.Keys() {
		points := r.Series(key)
		if len(points) < 2 {
			continue
		}
		l, err := r.Fit(key.Benchmark, key.Parameter, key.Unit)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s |\n",
			key.Benchmark, key.Parameter, key.Unit, formatPoints(points), formatNumber(l.Slope))
	}
	return strings.TrimSuffix(out.String(), "\n"), nil
}

// formatPoints lists measured points as "8: 120, 80: 900".
func formatPoints(points []benchresults.Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = formatNumber(p.Size) + ": " + formatNumber(p.Value)
	}
	return strings.Join(parts, ", ")
}

// significantDigits is the precision of all figures in a page.
const significantDigits = 3

// formatNumber prints a figure with three significant digits and no exponent
// between a thousandth and a hundred million.
func formatNumber(x float64) string {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(x, 'e', significantDigits-1, 64), 64)
	if err != nil {
		return strconv.FormatFloat(x, 'g', significantDigits, 64)
	}
	if rounded != 0 && (rounded >= 1e8 || rounded <= -1e8 || (rounded < 1e-3 && rounded > -1e-3)) {
		return strconv.FormatFloat(rounded, 'e', significantDigits-1, 64)
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
