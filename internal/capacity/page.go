package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"text/template"

	"github.com/redwingnotch/redwingnotch/internal/benchresults"
)

// pageFunctions are the functions that a page template may call, with the
// benchmark results that they read.
type pageFunctions struct{ *benchresults.Results }

// renderPage executes the page template. Each figure on the page is an expression
// over the results, so the page can be regenerated from another run.
func renderPage(text string, r *pageFunctions) ([]byte, error) {
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

// functions returns the function map of the page template.
func (r *pageFunctions) functions() template.FuncMap {
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

// slope returns the fitted increase of a series per unit of its size parameter.
func (r *pageFunctions) slope(benchmark, parameter, unit string) (float64, error) {
	l, err := r.Fit(benchmark, parameter, unit)
	return l.Slope, err
}

// estimate returns the fitted value of a series at a size.
func (r *pageFunctions) estimate(benchmark, parameter, unit string, size float64) (float64, error) {
	l, err := r.Fit(benchmark, parameter, unit)
	return l.Intercept + l.Slope*size, err
}

// slopesTable returns a Markdown table with a row for each series of two or more
// points: the points and the fitted slope.
func (r *pageFunctions) slopesTable() (string, error) {
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

// formatPoints formats points as "8: 120, 80: 900".
func formatPoints(points []benchresults.Point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = formatNumber(p.Size) + ": " + formatNumber(p.Value)
	}
	return strings.Join(parts, ", ")
}

// significantDigits is the precision of all figures on a page.
const significantDigits = 3

// formatNumber formats a figure with three significant digits. Zero and absolute
// values from 1e-3 to below 1e8 are written without an exponent.
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
