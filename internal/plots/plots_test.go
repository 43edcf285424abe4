package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	committed      = "../../docs/plots"
	committedRows  = committed + "/data/policy.jsonl"
	committedBench = committed + "/data/membership.txt"
)

func TestCommittedPicturesMatchTheData(t *testing.T) {
	pictures, err := build(committedRows, committedBench)
	assert.NilError(t, err)
	drawn := make(map[string]bool)
	for _, p := range pictures {
		drawn[p.name] = true
		svg, err := os.ReadFile(filepath.Join(committed, p.name))
		assert.NilError(t, err)
		assert.Assert(t, string(svg) == string(p.svg), "%s differs; run: go run ./internal/plots", p.name)
	}
	files, err := filepath.Glob(filepath.Join(committed, "*.svg"))
	assert.NilError(t, err)
	for _, file := range files {
		assert.Assert(t, drawn[filepath.Base(file)], "%s is drawn by nothing", file)
	}
}

func TestMissingRunsAreNamed(t *testing.T) {
	rows := filepath.Join(t.TempDir(), "rows.jsonl")
	assert.NilError(t, os.WriteFile(rows, []byte(`{"deployment":"d","scenario":"poison","policy":"naive"}`+"\n"), 0o600))
	_, err := build(rows, committedBench)
	assert.ErrorIs(t, err, errNoRow)
	assert.ErrorContains(t, err, "d, ordinary-day, naive")

	bench := filepath.Join(t.TempDir(), "bench.txt")
	assert.NilError(t, os.WriteFile(bench, []byte("BenchmarkScaleMembership/N=8-10 1 5 ns/op\n"), 0o600))
	_, err = build(committedRows, bench)
	assert.ErrorContains(t, err, "form-sentB/node-s")
}

func TestUnknownFieldsAreRefused(t *testing.T) {
	rows := filepath.Join(t.TempDir(), "rows.jsonl")
	assert.NilError(t, os.WriteFile(rows, []byte(`{"deployment":"d","cold_p50":1}`+"\n"), 0o600))
	_, err := build(rows, committedBench)
	assert.ErrorContains(t, err, "cold_p50")
}
