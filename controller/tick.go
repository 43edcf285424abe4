package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// modelDemand sums up what waits for one model with any of its adapters.
type modelDemand struct {
	waiting  int
	rank     fleet.Rank // the most urgent that waits
	deadline time.Time  // the earliest of that rank; zero if unknown
	oldest   time.Time  // arrival
}

// tick is the working set of one Tick.
type tick struct {
	now           time.Time
	keep          Retention
	demands       []fleet.Demand
	demand        map[fleet.ModelID]*modelDemand // only models that capacity is missing for
	ahead         map[fleet.ModelID]bool         // models to be loaded ahead of requests
	aheadTargets  []fleet.Target
	remoteBlocked bool // a load waits for the weight store; later ones must not pass it
	effects       Effects
}

func (c *Core) newTick(now time.Time, demands []fleet.Demand, keep Retention) *tick {
	t := &tick{
		now:     now,
		keep:    keep,
		demands: demands,
		demand:  map[fleet.ModelID]*modelDemand{},
		ahead:   map[fleet.ModelID]bool{},
	}
	for _, d := range demands {
		c.noteUse(t, d)
		if d.Pressure() > 0 {
			t.addDemand(d)
		}
	}
	if keep != nil {
		t.aheadTargets = keep.LoadAhead(now)
	}
	for _, target := range t.aheadTargets {
		t.ahead[target.Model] = true
	}
	for target := range c.used {
		if c.placed[target.Model] == nil && t.demand[target.Model] == nil {
			delete(c.used, target)
		}
	}
	return t
}

func (c *Core) noteUse(t *tick, d fleet.Demand) {
	last := d.LastArrival
	if d.Pressure() > 0 {
		last = t.now
	}
	if last.After(c.used[d.Target]) {
		c.used[d.Target] = last
	}
}

func (t *tick) addDemand(d fleet.Demand) {
	rank, deadline := mostUrgent(d)
	m := t.demand[d.Target.Model]
	if m == nil {
		m = &modelDemand{rank: rank, deadline: deadline, oldest: d.OldestArrival}
		t.demand[d.Target.Model] = m
	}
	m.waiting += d.Pressure()
	if d.OldestArrival.Before(m.oldest) {
		m.oldest = d.OldestArrival
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

// compareDeadlines orders deadlines; an unknown one comes last.
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

// sortedDemands returns the demands that capacity is missing for, most urgent first.
func (t *tick) sortedDemands() []fleet.Demand {
	var waiting []fleet.Demand
	for _, d := range t.demands {
		if d.Pressure() > 0 {
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
