package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// modelDemand summarizes the demand for one model and its adapters.
type modelDemand struct {
	waiting       int
	rank          fleet.Rank // most urgent rank of the demand
	deadline      time.Time  // earliest deadline of that rank; zero if unknown
	oldestArrival time.Time  // arrival of the oldest request
}

// tick holds the inputs and the intermediate and final results of one Tick.
type tick struct {
	now               time.Time
	retention         Retention
	demands           []fleet.Demand
	modelDemands      map[fleet.ModelID]*modelDemand // models that lack capacity
	preload           map[fleet.ModelID]bool         // models to load before they are requested
	preloadTargets    []fleet.Target
	storeLoadsBlocked bool // a load waits for the weight store's budget; later loads from the store must not overtake it
	effects           Effects
}

func (c *Core) newTick(now time.Time, demands []fleet.Demand, retention Retention) *tick {
	t := &tick{
		now:          now,
		retention:    retention,
		demands:      demands,
		modelDemands: map[fleet.ModelID]*modelDemand{},
		preload:      map[fleet.ModelID]bool{},
	}
	for _, d := range demands {
		c.recordUse(t, d)
		if d.Unserved() > 0 {
			t.addDemand(d)
		}
	}
	if retention != nil {
		t.preloadTargets = retention.Preloads(now)
	}
	for _, target := range t.preloadTargets {
		t.preload[target.Model] = true
	}
	for target := range c.lastRequested {
		if c.placedOn[target.Model] == nil && t.modelDemands[target.Model] == nil {
			delete(c.lastRequested, target)
		}
	}
	return t
}

func (c *Core) recordUse(t *tick, d fleet.Demand) {
	last := d.LastArrival
	if d.Unserved() > 0 {
		last = t.now
	}
	if last.After(c.lastRequested[d.Target]) {
		c.lastRequested[d.Target] = last
	}
}

func (t *tick) addDemand(d fleet.Demand) {
	rank, deadline := mostUrgent(d)
	m := t.modelDemands[d.Target.Model]
	if m == nil {
		m = &modelDemand{rank: rank, deadline: deadline, oldestArrival: d.OldestArrival}
		t.modelDemands[d.Target.Model] = m
	}
	m.waiting += d.Unserved()
	if d.OldestArrival.Before(m.oldestArrival) {
		m.oldestArrival = d.OldestArrival
	}
	if cmp.Or(cmp.Compare(rank, m.rank), compareDeadlines(deadline, m.deadline)) < 0 {
		m.rank, m.deadline = rank, deadline
	}
}

func mostUrgent(d fleet.Demand) (fleet.Rank, time.Time) {
	for rank, n := range d.Waiting {
		if n+d.Refused[rank] > 0 {
			return fleet.Rank(rank), d.EarliestDeadline[rank]
		}
	}
	return fleet.RankBulk, time.Time{}
}

// compareDeadlines compares deadlines; an unknown (zero) deadline sorts last.
func compareDeadlines(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return 1
		}
		return -1
	}
	return a.Compare(b)
}

func (t *tick) block(target fleet.Target, reason BlockReason) {
	t.effects.Blocked = append(t.effects.Blocked, Blocked{Target: target, Reason: reason})
}

// sortedDemands returns the demands that lack capacity, most urgent first.
func (t *tick) sortedDemands() []fleet.Demand {
	var waiting []fleet.Demand
	for _, d := range t.demands {
		if d.Unserved() > 0 {
			waiting = append(waiting, d)
		}
	}
	slices.SortStableFunc(waiting, func(a, b fleet.Demand) int {
		rankA, deadlineA := mostUrgent(a)
		rankB, deadlineB := mostUrgent(b)
		return cmp.Or(cmp.Compare(rankA, rankB), compareDeadlines(deadlineA, deadlineB),
			cmp.Compare(a.Target.Model, b.Target.Model), cmp.Compare(a.Target.Adapter, b.Target.Adapter))
	})
	return waiting
}
