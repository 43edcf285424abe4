package main

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/internal/benchresults"
)

const sampleOutput = `goos: linux
pkg: example
BenchmarkScaleTable/members=8-10   	 1	 100 ns/op	 24.0 wire-B/s
BenchmarkScaleTable/members=80-10  	 1	 900 ns/op	 168 wire-B/s
BenchmarkScaleTable/members=780-10 	 1	 9000 ns/op	 1568 wire-B/s
BenchmarkTakeover-10               	 1	 5.50 virtual-s
PASS
`

func sampleResults(t *testing.T) *pageFunctions {
	t.Helper()
	r, err := benchresults.Read(strings.NewReader(sampleOutput), "sample")
	assert.NilError(t, err)
	return &pageFunctions{r}
}

func TestFitReturnsSlopeAndIntercept(t *testing.T) {
	l, err := sampleResults(t).Fit("ScaleTable", "members", "wire-B/s")
	assert.NilError(t, err)
	assert.Equal(t, formatNumber(l.Slope), "2")
	assert.Equal(t, formatNumber(l.Intercept), "8")
}

func TestRenderPageFillsTemplateFromResults(t *testing.T) {
	text := `{{num (at "Takeover" "virtual-s")}} s; {{num (est "ScaleTable" "members" "wire-B/s" 1000)}} B/s`
	page, err := renderPage(text, sampleResults(t))
	assert.NilError(t, err)
	assert.Equal(t, string(page), "5.5 s; 2010 B/s")
}

func TestRenderPageFailsOnMissingMeasurement(t *testing.T) {
	_, err := renderPage(`{{at "Takeover" "B/s"}}`, sampleResults(t))
	assert.ErrorIs(t, err, benchresults.ErrNoMeasurement)
	_, err = renderPage(`{{slope "Takeover" "members" "B/s"}}`, sampleResults(t))
	assert.ErrorIs(t, err, benchresults.ErrNoMeasurement)
}

func TestFormatNumber(t *testing.T) {
	for _, tc := range []struct {
		in   float64
		want string
	}{
		{0, "0"}, {1234567, "1230000"}, {0.01234, "0.0123"}, {7e-7, "7.00e-07"}, {3.2e9, "3.20e+09"},
	} {
		assert.Equal(t, formatNumber(tc.in), tc.want)
	}
}

func TestCommittedPageMatchesBenchmarkOutput(t *testing.T) {
	const root = "../../docs/"
	page, err := buildPage(root+"capacity/bench.txt", root+"capacity/CAPACITY.md.tmpl")
	assert.NilError(t, err)
	committed, err := os.ReadFile(root + "CAPACITY.md")
	assert.NilError(t, err)
	assert.Equal(t, string(committed), string(page), "run: go run ./internal/capacity")
}
