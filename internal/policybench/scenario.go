package policybench

import (
	"time"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// Scenario is one course of events.
type Scenario struct {
	Name     string
	Learn    time.Duration // of arrivals that the keep-warm policy observes before the run
	Settle   time.Duration // of the run before the measurement
	Length   time.Duration // of the measurement
	Arrivals func(d Deployment) []Arrival
	Events   func(w *world) // scheduled at the begin of the run
}

// Lengths of scenarios.
const (
	learnDays = 5 * day
	partDay   = 6 * time.Hour
)

// Scenarios returns the courses of events in the order of the report.
func Scenarios() []Scenario {
	total := learnDays + day
	return []Scenario{
		{
			Name: "ordinary-day", Learn: learnDays, Length: day,
			Arrivals: func(d Deployment) []Arrival { return ordinary(d, total) },
		},
		{
			Name: "urgent-flood", Settle: floodBegin, Length: floodEnd - floodBegin + floodTail,
			Arrivals: func(d Deployment) []Arrival { return flood(d, fleet.RankUrgent) },
		},
		{
			Name: "bulk-flood", Settle: floodBegin, Length: floodEnd - floodBegin + floodTail,
			Arrivals: func(d Deployment) []Arrival { return flood(d, fleet.RankBulk) },
		},
		{
			Name: "slow-store", Length: partDay,
			Arrivals: func(d Deployment) []Arrival { return ordinary(d, partDay) },
			Events: func(w *world) {
				w.after(time.Hour, func() { w.store.setSlow(10) })
				w.after(partDay-time.Hour, func() { w.store.setSlow(1) })
			},
		},
		{
			Name: "reclaimed-third", Length: partDay,
			Arrivals: func(d Deployment) []Arrival { return ordinary(d, partDay) },
			Events: func(w *world) {
				w.after(partDay/2, func() { w.reclaim(30 * time.Second) })
			},
		},
		{
			Name: "poison", Length: 25 * time.Minute,
			Arrivals: poison,
		},
	}
}

// drainTime is how long a run goes on after its last arrival, so that all calls
// come to their end.
const drainTime = 10 * time.Minute

// begin is the time at which runs begin.
var begin = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// Run plays one scenario with one set of policies.
func Run(d Deployment, s Scenario, p Policies) *Result {
	w := newWorld(d, p, begin.Add(s.Learn))
	w.result.Scenario = s.Name
	arrivals := s.Arrivals(d)
	if s.Events != nil {
		s.Events(w)
	}
	w.feed(arrivals, w.observeAll(arrivals, s.Learn))
	w.wake(0)
	w.run(begin.Add(s.Learn + s.Settle))
	w.measuring = true
	w.measuredFrom = w.now
	w.run(begin.Add(s.Learn + s.Settle + s.Length))
	w.countAllIdle()
	w.measureRest()
	from := s.Learn + s.Settle
	w.result.BoundHours = idleBound(arrivals, d.KeepWarm, from, from+s.Length)
	return w.result
}

// observeAll shows the keep-warm policy the arrivals before the run and returns
// the index of the first one of the run.
func (w *world) observeAll(arrivals []Arrival, until time.Duration) int {
	for i, a := range arrivals {
		if a.At >= until {
			return i
		}
		w.policies.Retention.Observe(begin.Add(a.At), fleet.Target{Model: w.models[a.Model].ID}, a.Rank)
	}
	return len(arrivals)
}

// measureRest lets calls of the measurement come to their end.
func (w *world) measureRest() {
	end := w.now.Add(drainTime + w.policies.Admission.Ranks[fleet.RankBulk].MaxWait)
	saved := w.result.IdleHours
	for len(w.calls) > 0 && w.now.Before(end) {
		w.run(w.now.Add(time.Minute))
	}
	w.result.IdleHours = saved
	w.measuring = false
	w.result.Lost = len(w.calls)
}

// feed schedules the arrivals one after the other.
func (w *world) feed(arrivals []Arrival, next int) {
	if next >= len(arrivals) {
		return
	}
	a := arrivals[next]
	w.after(begin.Add(a.At).Sub(w.now), func() {
		w.arrive(next, a)
		w.feed(arrivals, next+1)
	})
}

// countAllIdle adds the idle time of all replicas up to now.
func (w *world) countAllIdle() {
	for _, s := range w.servers {
		for _, id := range sortedModels(s.loaded) {
			w.countIdle(s.loaded[id])
		}
	}
}
