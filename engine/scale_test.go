package engine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/redwingnotch/redwingnotch/engine"
	"github.com/redwingnotch/redwingnotch/fleet"
)

// BenchmarkScaleReportSize measures the size of an engine's report, and the time
// to encode and decode it, by the number of loaded models.
func BenchmarkScaleReportSize(b *testing.B) {
	for _, models := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			report := newReport(models)
			size := 0
			for b.Loop() {
				data, err := json.Marshal(report)
				if err != nil {
					b.Fatal(err)
				}
				var decoded engine.Report
				if err := json.Unmarshal(data, &decoded); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "report-B")
		})
	}
}

// newReport returns a report of an engine that has loaded the given number of
// models, with two adapters each, and caches their weights on disk.
func newReport(models int) engine.Report {
	r := engine.Report{
		Backend: "backend-0001", Boot: "backend-0001-boot-3", Epoch: 12, Memory: 80 << 30,
		TokensPerSecond: 1234.5, MeasuredAt: time.Date(2026, 1, 1, 0, 0, 0, 123456789, time.UTC),
	}
	for i := range models {
		id, version := fleet.ModelID(fmt.Sprintf("model-%03d", i)), fleet.Version("2026-01-01")
		r.Replicas = append(r.Replicas, engine.LoadedReplica{
			Model: id, Version: version, State: fleet.ReplicaReady, Memory: 15 << 30,
			Adapters: []fleet.AdapterID{"adapter-00001", "adapter-00002"}, Running: 3,
		})
		r.Cached = append(r.Cached, engine.CachedWeights{Model: id, Version: version, WeightLocality: fleet.LocalityDisk})
	}
	return r
}
