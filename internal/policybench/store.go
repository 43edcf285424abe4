package policybench

import (
	"time"
)

// weightStore is the fake weight store: it serves so many loads at full speed,
// and beyond that all proportionally slower.
type weightStore struct {
	clock   *clock
	atOnce  int
	slow    float64 // factor by which all loads take longer
	loads   []*storeLoad
	updated time.Time
	version uint64 // invalidates scheduled ends
	started int
}

// storeLoad is one load in progress.
type storeLoad struct {
	total time.Duration // at full speed
	left  time.Duration // at full speed
	done  func()
}

// speed returns the share of full speed at which each load runs.
func (s *weightStore) speed() float64 {
	share := 1.0
	if n := len(s.loads); n > s.atOnce {
		share = float64(s.atOnce) / float64(n)
	}
	return share / s.slow
}

// start begins a load and returns it, so that it can be stopped.
func (s *weightStore) start(fullSpeed time.Duration, done func()) *storeLoad {
	s.advance()
	s.started++
	load := &storeLoad{total: fullSpeed, left: fullSpeed, done: done}
	s.loads = append(s.loads, load)
	s.schedule()
	return load
}

// stop abandons a load.
func (s *weightStore) stop(load *storeLoad) {
	s.advance()
	s.remove(load)
	s.schedule()
}

// setSlow changes the speed of all loads.
func (s *weightStore) setSlow(factor float64) {
	s.advance()
	s.slow = factor
	s.schedule()
}

// advance accounts for the time since the last change.
func (s *weightStore) advance() {
	passed := time.Duration(float64(s.clock.now.Sub(s.updated)) * s.speed())
	for _, load := range s.loads {
		load.left -= passed
	}
	s.updated = s.clock.now
}

// remove takes a load out.
func (s *weightStore) remove(load *storeLoad) {
	for i, other := range s.loads {
		if other == load {
			s.loads = append(s.loads[:i], s.loads[i+1:]...)
			return
		}
	}
}

// schedule plans the end of the load that ends first.
func (s *weightStore) schedule() {
	s.version++
	if len(s.loads) == 0 {
		return
	}
	first := s.loads[0]
	for _, load := range s.loads {
		if load.left < first.left {
			first = load
		}
	}
	version := s.version
	wait := time.Duration(float64(first.left)/s.speed()) + time.Nanosecond
	s.clock.after(wait, func() {
		if version != s.version {
			return
		}
		s.advance()
		s.remove(first)
		s.schedule()
		first.done()
	})
}
