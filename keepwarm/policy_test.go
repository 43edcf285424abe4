package keepwarm_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/redwingnotch/redwingnotch/fleet"
	"github.com/redwingnotch/redwingnotch/keepwarm"
)

var start = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

func target(name string) fleet.Target { return fleet.Target{Model: fleet.ModelID(name)} }

// observeEvery observes n arrivals at a fixed interval and returns the time of the last.
func observeEvery(p *keepwarm.Policy, t fleet.Target, interval time.Duration, n int, rank fleet.Rank) time.Time {
	now := start
	for range n {
		now = now.Add(interval)
		p.Observe(now, t, rank)
	}
	return now
}

func keepTime(p *keepwarm.Policy, t fleet.Target, last time.Time) time.Duration {
	return p.KeepUntil(t, last).Sub(last)
}

func TestKeepTimeFollowsIdleTimes(t *testing.T) {
	p := keepwarm.New(keepwarm.DefaultSettings())
	for _, tc := range []struct {
		name     string
		interval time.Duration
		rank     fleet.Rank
		min, max time.Duration
	}{
		{"every seven minutes", 7 * time.Minute, fleet.RankUrgent, 7 * time.Minute, 10 * time.Minute},
		{"every two days", 48 * time.Hour, fleet.RankUrgent, time.Minute, time.Minute},
		{"bulk is not worth it", 7 * time.Minute, fleet.RankBulk, time.Minute, time.Minute},
	} {
		last := observeEvery(p, target(tc.name), tc.interval, 20, tc.rank)
		got := keepTime(p, target(tc.name), last)
		assert.Assert(t, got >= tc.min && got <= tc.max, "%s: %v", tc.name, got)
	}
}

func TestUnknownModelIsKeptUntilBreakEven(t *testing.T) {
	p := keepwarm.New(keepwarm.DefaultSettings())
	assert.Equal(t, keepTime(p, target("never seen"), start), 3*time.Minute)
	p.Observe(start, target("once"), fleet.RankUrgent)
	assert.Equal(t, keepTime(p, target("once"), start), 15*time.Minute)
}

func TestPreloadsOnDailyPattern(t *testing.T) {
	p := keepwarm.New(keepwarm.DefaultSettings())
	for day := range 6 {
		p.Observe(start.Add(time.Duration(day)*24*time.Hour+6*time.Hour+5*time.Minute), target("shift"), fleet.RankUrgent)
	}
	shift := start.Add(6*24*time.Hour + 6*time.Hour)
	assert.Equal(t, len(p.Preloads(shift.Add(-time.Hour))), 0)
	assert.DeepEqual(t, p.Preloads(shift.Add(-time.Minute)), []fleet.Target{target("shift")})
	until := p.KeepUntil(target("shift"), shift.Add(-24*time.Hour))
	assert.Equal(t, until, shift.Add(10*time.Minute))
	p.Observe(shift.Add(time.Minute), target("shift"), fleet.RankUrgent)
	assert.Equal(t, len(p.Preloads(shift.Add(2*time.Minute))), 0)
}

func TestDropsWithdrawnAndExcessModels(t *testing.T) {
	s := keepwarm.DefaultSettings()
	s.MaxModels = 2
	p := keepwarm.New(s)
	for i, name := range []string{"a", "b", "c"} {
		p.Observe(start.Add(time.Duration(i)*time.Second), target(name), fleet.RankUrgent)
	}
	assert.Equal(t, keepTime(p, target("a"), start), 3*time.Minute) // the default of unknown models
	assert.Equal(t, keepTime(p, target("c"), start), 15*time.Minute)
	p.SetModels([]fleet.ModelID{"a"})
	assert.Equal(t, keepTime(p, target("c"), start), 3*time.Minute)
}

// The learned keep time must not cost more than a fixed one over repeating idle times,
// in idle price and cold starts together.
func TestCostsNoMoreThanFixed(t *testing.T) {
	s := keepwarm.DefaultSettings()
	cost := func(keep time.Duration, idle time.Duration) float64 {
		c := s.IdleHourPrice * min(idle, keep).Hours()
		if idle > keep {
			c += s.ColdWorth[fleet.RankUrgent]
		}
		return c
	}
	rapid.Check(t, func(rt *rapid.T) {
		minutes := rapid.SliceOfN(rapid.IntRange(1, 300), 1, 5).Draw(rt, "idle minutes")
		p := keepwarm.New(s)
		now := start
		learned, fixed := 0.0, 0.0
		for i := range 300 {
			idle := time.Duration(minutes[i%len(minutes)]) * time.Minute
			if i >= 100 {
				learned += cost(keepTime(p, target("m"), now), idle)
				fixed += cost(time.Duration(keepwarm.FixedTenMinutes), idle)
			}
			now = now.Add(idle)
			p.Observe(now, target("m"), fleet.RankUrgent)
		}
		// The histogram resolves idle times to about 10%, so the learned cost may be higher.
		if learned > fixed*1.15 {
			rt.Fatalf("learned keep time costs %.2f, fixed one %.2f", learned, fixed)
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	p := keepwarm.New(keepwarm.DefaultSettings())
	targets := make([]fleet.Target, 210)
	for i := range targets {
		targets[i] = target(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Observe(start.Add(time.Duration(i)*time.Second), targets[i%len(targets)], fleet.RankStandard)
	}
}
