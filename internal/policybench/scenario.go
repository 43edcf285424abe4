package policybench

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Scenario is a workload with the faults injected during it.
type Scenario struct {
	Name           string
	History        time.Duration // period of arrivals that only the keep-warm policy observes, before the run
	WarmUp         time.Duration // warm-up at the start of the run, not measured
	Measured       time.Duration // measured period
	Arrivals       func(d Deployment) []Arrival
	ScheduleFaults func(sim *simulation) // schedules faults when the run starts; may be nil
}

// Periods of the scenarios.
const (
	historyPeriod = 5 * day
	partialDay    = 6 * time.Hour
)

// Scenarios returns all scenarios, in the order of the report.
func Scenarios() []Scenario {
	total := historyPeriod + day
	return []Scenario{
		{
			Name: "ordinary-day", History: historyPeriod, Measured: day,
			Arrivals: func(d Deployment) []Arrival { return ordinaryTraffic(d, total) },
		},
		{
			Name: "urgent-flood", WarmUp: floodBegin, Measured: floodEnd - floodBegin + floodTail,
			Arrivals: func(d Deployment) []Arrival { return floodTraffic(d, fleet.RankUrgent) },
		},
		{
			Name: "bulk-flood", WarmUp: floodBegin, Measured: floodEnd - floodBegin + floodTail,
			Arrivals: func(d Deployment) []Arrival { return floodTraffic(d, fleet.RankBulk) },
		},
		{
			Name: "slow-store", Measured: partialDay,
			Arrivals: func(d Deployment) []Arrival { return ordinaryTraffic(d, partialDay) },
			ScheduleFaults: func(sim *simulation) {
				sim.after(time.Hour, func() { sim.store.setSlowdown(10) })
				sim.after(partialDay-time.Hour, func() { sim.store.setSlowdown(1) })
			},
		},
		{
			Name: "reclaimed-third", Measured: partialDay,
			Arrivals: func(d Deployment) []Arrival { return ordinaryTraffic(d, partialDay) },
			ScheduleFaults: func(sim *simulation) {
				sim.after(partialDay/2, func() { sim.reclaim(30 * time.Second) })
			},
		},
		{
			Name: "poison", Measured: 25 * time.Minute,
			Arrivals: poisonTraffic,
		},
	}
}

// drainTime is how long a run continues after the measured period, in addition to
// the longest wait of a bulk request, so that pending calls can end.
const drainTime = 10 * time.Minute

// startTime is the virtual time at which every scenario starts.
var startTime = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// Run simulates one scenario with one set of policies and returns what was
// measured.
func Run(d Deployment, s Scenario, p Policies) *Result {
	sim := newSimulation(d, p, startTime.Add(s.History))
	sim.result.Scenario = s.Name
	arrivals := s.Arrivals(d)
	if s.ScheduleFaults != nil {
		s.ScheduleFaults(sim)
	}
	sim.scheduleArrivals(arrivals, sim.replayHistory(arrivals, s.History))
	sim.scheduleTick(0)
	sim.run(startTime.Add(s.History + s.WarmUp))
	sim.measuring = true
	sim.measuredFrom = sim.now
	sim.run(startTime.Add(s.History + s.WarmUp + s.Measured))
	sim.addIdleTimeOfAll()
	sim.drainCalls()
	from := s.History + s.WarmUp
	sim.result.OptimalIdleHours = optimalIdleHours(arrivals, d.KeepWarm, from, from+s.Measured)
	return sim.result
}

// replayHistory passes the arrivals before the run to the keep-warm policy and
// returns the index of the first arrival of the run.
func (sim *simulation) replayHistory(arrivals []Arrival, until time.Duration) int {
	for i, a := range arrivals {
		if a.Offset >= until {
			return i
		}
		sim.policies.Retention.Observe(startTime.Add(a.Offset), fleet.Target{Model: sim.models[a.Model].ID}, a.Rank)
	}
	return len(arrivals)
}

// drainCalls runs on until all calls have ended or the drain time is over, and
// counts calls without an outcome as lost. Idle hours of this time are not counted.
func (sim *simulation) drainCalls() {
	end := sim.now.Add(drainTime + sim.policies.Admission.Ranks[fleet.RankBulk].MaxWait)
	saved := sim.result.IdleHours
	for len(sim.calls) > 0 && sim.now.Before(end) {
		sim.run(sim.now.Add(time.Minute))
	}
	sim.result.IdleHours = saved
	sim.measuring = false
	sim.result.Lost = len(sim.calls)
}

// scheduleArrivals schedules the arrival with index next; each arrival schedules
// its successor.
func (sim *simulation) scheduleArrivals(arrivals []Arrival, next int) {
	if next >= len(arrivals) {
		return
	}
	a := arrivals[next]
	sim.after(startTime.Add(a.Offset).Sub(sim.now), func() {
		sim.startCall(next, a)
		sim.scheduleArrivals(arrivals, next+1)
	})
}

// addIdleTimeOfAll adds the idle time of all replicas up to now.
func (sim *simulation) addIdleTimeOfAll() {
	for _, s := range sim.servers {
		for _, id := range sortedModelIDs(s.replica) {
			sim.addIdleTime(s.replica[id])
		}
	}
}
