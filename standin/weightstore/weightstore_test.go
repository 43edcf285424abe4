package weightstore_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/standin/weightstore"
)

// runConcurrently starts n loads at once and returns the time until all are done.
func runConcurrently(n int, load func() error) time.Duration {
	start := time.Now()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { _ = load() })
	}
	wg.Wait()
	return time.Since(start).Round(time.Millisecond)
}

func TestModelLoadsBeyondCapacityShareSpeed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		loads int
		want  time.Duration
	}{
		{"one", 1, 8 * time.Second},
		{"full-speed capacity", 4, 8 * time.Second},
		{"twice the capacity", 8, 16 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := weightstore.New(weightstore.Options{LoadsPerSecond: 1e9})
				elapsed := runConcurrently(tc.loads, func() error { return s.LoadModel(t.Context(), "m", 8*time.Second) })
				assert.Equal(t, elapsed, tc.want)
				assert.Equal(t, s.Counts().Loads["m"], tc.loads)
				assert.Equal(t, s.Counts().MaxLoads, tc.loads)
			})
		})
	}
}

func TestAdapterLoadsBeyondCapacityShareSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weightstore.New(weightstore.Options{})
		load := func() error { return s.LoadAdapter(t.Context(), 8*time.Millisecond) }
		assert.Equal(t, runConcurrently(32, load), 8*time.Millisecond)
		assert.Equal(t, runConcurrently(64, load), 16*time.Millisecond)
		assert.Equal(t, s.Counts().MaxAdapters, 64)
	})
}

func TestLoadRateLimitSlowdownAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weightstore.New(weightstore.Options{LoadsPerSecond: 5})
		load := func() error { return s.LoadModel(t.Context(), "m", time.Second) }
		// Loads start 200 ms apart; the last starts after 400 ms.
		assert.Equal(t, runConcurrently(3, load), 1400*time.Millisecond)
		// The next load runs 500 ms at full speed; its other half takes ten times as long.
		time.AfterFunc(700*time.Millisecond, func() { s.SetSlowdown(10) })
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, runConcurrently(1, load), 5500*time.Millisecond)
		s.Faults.SetOutage(true)
		assert.ErrorIs(t, load(), weightstore.ErrFailed)
	})
}
