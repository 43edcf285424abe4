package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	committedDir        = "../../docs/plots"
	committedRows       = committedDir + "/data/policy.jsonl"
	committedMembership = committedDir + "/data/membership.txt"
)

func TestCommittedPlotsMatchData(t *testing.T) {
	plots, err := buildPlots(committedRows, committedMembership)
	assert.NilError(t, err)
	generated := make(map[string]bool)
	for _, p := range plots {
		generated[p.name] = true
		svg, err := os.ReadFile(filepath.Join(committedDir, p.name))
		assert.NilError(t, err)
		assert.Assert(t, string(svg) == string(p.svg), "%s differs; run: go run ./internal/plots", p.name)
	}
	files, err := filepath.Glob(filepath.Join(committedDir, "*.svg"))
	assert.NilError(t, err)
	for _, file := range files {
		assert.Assert(t, generated[filepath.Base(file)], "no plot generates %s", file)
	}
}

func TestBuildPlotsNamesMissingRuns(t *testing.T) {
	rows := filepath.Join(t.TempDir(), "rows.jsonl")
	assert.NilError(t, os.WriteFile(rows, []byte(`{"deployment":"d","scenario":"poison","policy":"naive"}`+"\n"), 0o600))
	_, err := buildPlots(rows, committedMembership)
	assert.ErrorIs(t, err, errNoRow)
	assert.ErrorContains(t, err, "d, ordinary-day, naive")

	bench := filepath.Join(t.TempDir(), "bench.txt")
	assert.NilError(t, os.WriteFile(bench, []byte("BenchmarkScaleMembership/N=8-10 1 5 ns/op\n"), 0o600))
	_, err = buildPlots(committedRows, bench)
	assert.ErrorContains(t, err, "form-sentB/node-s")
}

func TestBuildPlotsRejectsUnknownFields(t *testing.T) {
	rows := filepath.Join(t.TempDir(), "rows.jsonl")
	assert.NilError(t, os.WriteFile(rows, []byte(`{"deployment":"d","cold_p50":1}`+"\n"), 0o600))
	_, err := buildPlots(rows, committedMembership)
	assert.ErrorContains(t, err, "cold_p50")
}
