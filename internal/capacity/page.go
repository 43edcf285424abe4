package main

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"text/template"
)

// renderPage fills the page's template with measured figures. Each figure in
// the page is an expression over the results, so the page can be redone from
// another run.
func renderPage(text string, r *results) ([]byte, error) {
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
func (r *results) functions() template.FuncMap {
	return template.FuncMap{
		"at":     r.at,
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
func (r *results) slope(benchmark, parameter, unit string) (float64, error) {
	l, err := r.fit(benchmark, parameter, unit)
	return l.slope, err
}

// estimate returns the fitted value of a series at a size.
func (r *results) estimate(benchmark, parameter, unit string, size float64) (float64, error) {
	l, err := r.fit(benchmark, parameter, unit)
	return l.fixed + l.slope*size, err
}

// slopesTable returns one row per series: the measured points and the fit.
func (r *results) slopesTable() (string, error) {
	var out strings.Builder
	out.WriteString("| benchmark | over | unit | measured (size: value) | slope |\n|---|---|---|---|---|\n")
	for _, key := range r.keys() {
		points := r.series[key]
		if len(points) < 2 {
			continue
		}
		l, err := r.fit(key.benchmark, key.parameter, key.unit)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&out, "| %s | %s | %s | %s | %s |\n",
			key.benchmark, key.parameter, key.unit, formatPoints(points), formatNumber(l.slope))
	}
	return strings.TrimSuffix(out.String(), "\n"), nil
}

// formatPoints lists measured points as "8: 120, 80: 900".
func formatPoints(points []point) string {
	parts := make([]string, len(points))
	for i, p := range points {
		parts[i] = formatNumber(p.size) + ": " + formatNumber(p.value)
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
