package policybench

import (
	"time"
)

// weightStore simulates the weight store. Up to a number of concurrent loads run
// at full speed; beyond it, all loads share that total speed.
type weightStore struct {
	clock          *clock
	fullSpeedLoads int     // number of concurrent loads at full speed
	slowdown       float64 // factor by which all loads take longer
	loads          []*storeLoad
	lastAdvance    time.Time // when the progress of the loads was last updated
	generation     uint64    // incremented to invalidate scheduled completions
	loadsStarted   int
}

// storeLoad is a load in progress.
type storeLoad struct {
	fullSpeedTime time.Duration // duration of the load at full speed
	remaining     time.Duration // time left at full speed
	done          func()        // called when the load completes
}

// speed returns the share of full speed at which each load runs.
func (s *weightStore) speed() float64 {
	share := 1.0
	if n := len(s.loads); n > s.fullSpeedLoads {
		share = float64(s.fullSpeedLoads) / float64(n)
	}
	return share / s.slowdown
}

// start begins a load and returns a handle for cancel.
func (s *weightStore) start(fullSpeed time.Duration, done func()) *storeLoad {
	s.advance()
	s.loadsStarted++
	load := &storeLoad{fullSpeedTime: fullSpeed, remaining: fullSpeed, done: done}
	s.loads = append(s.loads, load)
	s.schedule()
	return load
}

// cancel ends a load without completing it.
func (s *weightStore) cancel(load *storeLoad) {
	s.advance()
	s.remove(load)
	s.schedule()
}

// setSlowdown changes the factor by which all loads take longer.
func (s *weightStore) setSlowdown(factor float64) {
	s.advance()
	s.slowdown = factor
	s.schedule()
}

// advance updates the remaining time of all loads to the current time. It must
// run before the speed changes.
func (s *weightStore) advance() {
	progress := time.Duration(float64(s.clock.now.Sub(s.lastAdvance)) * s.speed())
	for _, load := range s.loads {
		load.remaining -= progress
	}
	s.lastAdvance = s.clock.now
}

// remove removes a load from the list.
func (s *weightStore) remove(load *storeLoad) {
	for i, other := range s.loads {
		if other == load {
			s.loads = append(s.loads[:i], s.loads[i+1:]...)
			return
		}
	}
}

// schedule schedules the completion of the load with the least time left, and
// invalidates the completion scheduled before.
func (s *weightStore) schedule() {
	s.generation++
	if len(s.loads) == 0 {
		return
	}
	first := s.loads[0]
	for _, load := range s.loads {
		if load.remaining < first.remaining {
			first = load
		}
	}
	generation := s.generation
	untilDone := time.Duration(float64(first.remaining)/s.speed()) + time.Nanosecond
	s.clock.after(untilDone, func() {
		if generation != s.generation {
			return
		}
		s.advance()
		s.remove(first)
		s.schedule()
		first.done()
	})
}
