package loadbudget

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/redwingnotch/redwingnotch/invariant"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	settings = Settings{LoadsPerSecond: 5, LoadsInFlight: 4, AdaptersInFlight: 32}
)

// countStarted runs a budget for some seconds, ending each load at once, and returns
// how many loads could start.
func countStarted(b *Budget, seconds int) int {
	n := 0
	for ms := range seconds * 1000 {
		id := fmt.Sprint(ms)
		if b.StartLoad(start.Add(time.Duration(ms)*time.Millisecond), id) {
			b.EndLoad(id)
			n++
		}
	}
	return n
}

func TestShareScalesLoadRate(t *testing.T) {
	for share, want := range map[float64]int{ShareWhole: 50, ShareHalf: 25, ShareSuccessor: 12} {
		b := New(start, settings)
		b.SetShare(start, share)
		got := countStarted(b, 10)
		assert.Assert(t, got <= want && got >= want-1, "share %v: %d loads, want %d", share, got, want)
	}
}

func TestSharesSumToTheWhole(t *testing.T) {
	sum := 0
	adapters := 0
	for _, share := range []float64{ShareHalf, ShareSuccessor, ShareSuccessor} {
		b := New(start, settings)
		b.SetShare(start, share)
		sum += b.limit(settings.LoadsInFlight)
		adapters += b.limit(settings.AdaptersInFlight)
	}
	assert.Equal(t, sum, settings.LoadsInFlight)
	assert.Equal(t, adapters, settings.AdaptersInFlight)
}

func TestInFlightLimitCountsAdoptedLoads(t *testing.T) {
	b := New(start, settings)
	now := start.Add(time.Minute)
	b.AdoptLoad("x")
	for i := range 3 {
		assert.Assert(t, b.StartLoad(now.Add(time.Duration(i)*time.Second), fmt.Sprint(i)))
	}
	assert.Assert(t, !b.StartLoad(now.Add(time.Minute), "fifth"))
	b.EndLoad("x")
	assert.Assert(t, b.StartLoad(now.Add(time.Minute), "fifth"))
}

func TestAdapterLimit(t *testing.T) {
	b := New(start, settings)
	for i := range settings.AdaptersInFlight {
		assert.Assert(t, b.StartAdapter(fmt.Sprint(i)))
	}
	assert.Assert(t, !b.StartAdapter("more"))
	loads, adapters := b.InFlight()
	assert.Equal(t, loads, 0)
	assert.Equal(t, adapters, settings.AdaptersInFlight)
}

func TestExceededLimitViolatesInvariant(t *testing.T) {
	for name, exceed := range map[string]func(*Budget){
		"rate":     func(b *Budget) { b.startLoad(start, "a") },
		"adapters": func(b *Budget) { b.settings.AdaptersInFlight = 1; b.startAdapter("a"); b.startAdapter("b") },
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				v, ok := recover().(invariant.Violation)
				assert.Assert(t, ok)
				assert.Equal(t, v.Name, invariant.LoadBudget)
			}()
			exceed(New(start, settings))
			t.Error("no invariant violation was reported")
		})
	}
}
